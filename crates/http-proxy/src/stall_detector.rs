//! Detects that the process did not run for a while: it was stopped, got no CPU time, or was busy with a
//! single task.
//!
//! A request that is read after such a stall may have arrived at any moment during it, so its time counts
//! from the beginning of the stall. A task that wakes many times a second measures how long nothing ran.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How often the detector wakes.
const TICK_INTERVAL: Duration = Duration::from_millis(40);
/// A longer time between two ticks is a stall. Shorter delays are within the tolerance of the deadlines.
const MIN_STALL_DURATION: Duration = Duration::from_millis(100);
/// For this time after a stall, data that is read may have arrived during the stall. After it every socket
/// has been polled.
const STALL_READ_WINDOW: Duration = Duration::from_millis(20);

/// A period in which nothing ran.
#[derive(Clone, Copy, Debug)]
struct Stall {
    started_at: Instant,
    /// Data that is read before this moment may have arrived during the stall.
    affects_reads_until: Instant,
}

/// Records when this process last ran, and its last stall.
#[derive(Debug)]
pub struct StallDetector {
    last_tick: Cell<Instant>,
    last_stall: Cell<Option<Stall>>,
}

impl StallDetector {
    /// A detector without a recorded stall; `now` counts as its last tick. Its task has to [run](Self::run).
    #[must_use]
    pub fn new(now: Instant) -> Rc<Self> {
        Rc::new(Self { last_tick: Cell::new(now), last_stall: Cell::new(None) })
    }

    /// Records ticks and stalls until the process ends.
    pub async fn run(self: Rc<Self>) {
        loop {
            sleep(TICK_INTERVAL).await;
            self.tick(Instant::now());
        }
    }

    fn tick(&self, now: Instant) {
        let started_at = self.last_tick.replace(now);
        if now.saturating_duration_since(started_at) > MIN_STALL_DURATION {
            self.last_stall.set(Some(Stall { started_at, affects_reads_until: now + STALL_READ_WINDOW }));
        }
    }

    /// The earliest moment at which an event that is observed at `now` may have happened.
    #[must_use]
    pub fn earliest_event_time(&self, now: Instant) -> Instant {
        let last_tick = self.last_tick.get();
        if now.saturating_duration_since(last_tick) > MIN_STALL_DURATION {
            return last_tick;
        }
        self.last_stall
            .get()
            .filter(|stall| now < stall.affects_reads_until)
            .map_or(now, |stall| stall.started_at)
    }
}

#[cfg(test)]
mod tests;
