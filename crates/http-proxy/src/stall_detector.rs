//! Detects that the process did not run for a while: it was stopped, got no CPU time, or was busy with one task.
//!
//! A request that is read after such a stall may have arrived at any moment of it, so its time counts from the stall's
//! beginning. A task that wakes many times a second measures how long nothing ran.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How often the detector wakes.
const TICK_INTERVAL: Duration = Duration::from_millis(40);
/// A longer time between two ticks is a stall. Shorter ones are within the slack of the deadlines.
const MIN_STALL: Duration = Duration::from_millis(100);
/// For how long after a stall data that is read may have arrived in it. By then every socket was polled.
const POLL_DELAY: Duration = Duration::from_millis(20);

/// A time in which nothing ran.
#[derive(Clone, Copy, Debug)]
struct Stall {
    began: Instant,
    /// Until when data that is read may have arrived in it.
    affects_reads_until: Instant,
}

/// When this process last ran, and its last stall.
#[derive(Debug)]
pub struct StallDetector {
    last_tick: Cell<Instant>,
    last_stall: Cell<Option<Stall>>,
}

impl StallDetector {
    /// A detector that has seen no stall. It has to [run](Self::run).
    #[must_use]
    pub fn new(now: Instant) -> Rc<Self> {
        Rc::new(Self { last_tick: Cell::new(now), last_stall: Cell::new(None) })
    }

    /// Runs until the process ends.
    pub async fn run(self: Rc<Self>) {
        loop {
            sleep(TICK_INTERVAL).await;
            self.tick(Instant::now());
        }
    }

    fn tick(&self, now: Instant) {
        let began = self.last_tick.replace(now);
        if now.saturating_duration_since(began) > MIN_STALL {
            self.last_stall.set(Some(Stall { began, affects_reads_until: now + POLL_DELAY }));
        }
    }

    /// The earliest moment at which an event may have happened that is noticed at `now`.
    #[must_use]
    pub fn earliest(&self, now: Instant) -> Instant {
        let last_tick = self.last_tick.get();
        if now.saturating_duration_since(last_tick) > MIN_STALL {
            return last_tick;
        }
        self.last_stall.get().filter(|stall| now < stall.affects_reads_until).map_or(now, |stall| stall.began)
    }
}

#[cfg(test)]
mod tests;
