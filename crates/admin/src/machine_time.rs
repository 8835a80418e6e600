//! A clock that all processes of a machine share and that steps of the wall clock do not move.
//!
//! Each process counts its own time from the wall clock at its start. Persisted points in time are converted to the machine's
//! monotonic clock when written, and to the reader's process time when read.

use crate::exclusions::Micros;
use nix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// The offset between the process's time and the machine's monotonic clock: both as they were at one moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct MachineTime {
    process: Micros,
    machine: Micros,
}

fn monotonic() -> Micros {
    let time = clock_gettime(ClockId::CLOCK_MONOTONIC).map(Duration::from).unwrap_or_default();
    Micros::try_from(time.as_micros()).unwrap_or(Micros::MAX)
}

impl MachineTime {
    /// The offset of a process whose time is `now`.
    #[must_use]
    pub fn new(now: Micros) -> Self {
        Self { process: now, machine: monotonic() }
    }

    /// Converts process time to machine time, in microseconds.
    #[must_use]
    pub fn to_machine_time(&self, process: Micros) -> Micros {
        (self.machine + process).saturating_sub(self.process)
    }

    /// Converts machine time to process time, in microseconds. A time in the future was written before the machine's last
    /// start, or by an older version that stored wall-clock time: its age is unknown, and it counts as the process's start.
    #[must_use]
    pub fn to_process_time(&self, machine: Micros) -> Micros {
        if machine > monotonic() {
            self.process
        } else {
            (self.process + machine).saturating_sub(self.machine)
        }
    }
}

#[cfg(test)]
mod tests;
