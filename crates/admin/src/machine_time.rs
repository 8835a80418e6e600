//! Conversion of persisted points in time, so that they are comparable across processes and steps of the wall
//! clock.
//!
//! Process time starts from the wall clock at the process's start and therefore differs between processes.
//! Machine time is the machine's monotonic clock. Points in time are converted to machine time when they are
//! written, and to the process time of the reader when they are read.

use crate::exclusions::Micros;
use nix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// The offset between process time and machine time, as readings of both at the same moment, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct MachineTime {
    process_origin: Micros,
    machine_origin: Micros,
}

fn monotonic() -> Micros {
    let time = clock_gettime(ClockId::CLOCK_MONOTONIC).map(Duration::from).unwrap_or_default();
    Micros::try_from(time.as_micros()).unwrap_or(Micros::MAX)
}

impl MachineTime {
    /// Creates the offset for a process whose current process time is `now`, in microseconds since the Unix
    /// epoch.
    #[must_use]
    pub fn new(now: Micros) -> Self {
        Self { process_origin: now, machine_origin: monotonic() }
    }

    /// Converts process time to machine time, in microseconds.
    #[must_use]
    pub fn to_machine_time(&self, process_time: Micros) -> Micros {
        (self.machine_origin + process_time).saturating_sub(self.process_origin)
    }

    /// Converts machine time to process time, in microseconds. A time in the future was written before the
    /// machine's last restart, or by an older version that stored wall-clock time. Its age is unknown, and
    /// the time at which this offset was created is returned instead.
    #[must_use]
    pub fn to_process_time(&self, machine_time: Micros) -> Micros {
        if machine_time > monotonic() {
            self.process_origin
        } else {
            (self.process_origin + machine_time).saturating_sub(self.machine_origin)
        }
    }
}

#[cfg(test)]
mod tests;
