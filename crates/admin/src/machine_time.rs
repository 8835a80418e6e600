//! The time that all processes of a machine share and that no step of the wall clock moves.
//!
//! Each process counts its own time from what the wall clock showed when it began. What one process keeps for the next is
//! written by the machine's monotonic clock, and read back as the time of whoever reads it.

use crate::exclusions::Micros;
use nix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// How a process's own time stands to the machine's.
#[derive(Clone, Copy, Debug, Default)]
pub struct MachineTime {
    own: Micros,
    machine: Micros,
}

fn monotonic() -> Micros {
    let time = clock_gettime(ClockId::CLOCK_MONOTONIC).map(Duration::from).unwrap_or_default();
    Micros::try_from(time.as_micros()).unwrap_or(Micros::MAX)
}

impl MachineTime {
    /// For a process whose own time is `now`.
    #[must_use]
    pub fn new(now: Micros) -> Self {
        Self { own: now, machine: monotonic() }
    }

    /// A moment of the process as the machine counts it.
    #[must_use]
    pub fn of_machine(&self, own: Micros) -> Micros {
        (self.machine + own).saturating_sub(self.own)
    }

    /// A moment of the machine as the process counts it. One that has not come yet was written before the machine started, or
    /// by an older version that kept the wall clock's time: how old it is is not known, and it counts as the process's begin.
    #[must_use]
    pub fn of_process(&self, machine: Micros) -> Micros {
        if machine > monotonic() { self.own } else { (self.own + machine).saturating_sub(self.machine) }
    }
}

#[cfg(test)]
mod tests;
