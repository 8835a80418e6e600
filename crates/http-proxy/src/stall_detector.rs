//! Notices that the process stood still: stopped, without its core, or busy with one thing for long.
//!
//! A request that is read after such a time may have come at any moment of it. Its client's time counts from then, and not
//! from when it was read. A task that wakes many times a second finds out how long nothing was done.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How often the monitor wakes.
const TICK: Duration = Duration::from_millis(40);
/// A longer time between two of its turns is a stall. Shorter ones stay within the slack that deadlines have.
const STALL: Duration = Duration::from_millis(100);
/// For how long after a stall what is read may still have come in it: by then the sockets were asked again.
const AFTER: Duration = Duration::from_millis(20);

/// A time in which nothing was done.
#[derive(Clone, Copy, Debug)]
struct Stall {
    began: Instant,
    /// Until when what is read may have come in it.
    concerns_until: Instant,
}

/// When this process last did something, and when it last stood.
#[derive(Debug)]
pub struct StallDetector {
    last_turn: Cell<Instant>,
    stall: Cell<Option<Stall>>,
}

impl StallDetector {
    /// A monitor that has seen no stall. It has to [run](Self::run).
    #[must_use]
    pub fn new(now: Instant) -> Rc<Self> {
        Rc::new(Self { last_turn: Cell::new(now), stall: Cell::new(None) })
    }

    /// Watches for as long as the process runs.
    pub async fn run(self: Rc<Self>) {
        loop {
            sleep(TICK).await;
            self.turn(Instant::now());
        }
    }

    fn turn(&self, now: Instant) {
        let began = self.last_turn.replace(now);
        if now.saturating_duration_since(began) > STALL {
            self.stall.set(Some(Stall { began, concerns_until: now + AFTER }));
        }
    }

    /// The earliest moment at which that may have come which is noticed at `now`.
    #[must_use]
    pub fn earliest(&self, now: Instant) -> Instant {
        let last_turn = self.last_turn.get();
        if now.saturating_duration_since(last_turn) > STALL {
            return last_turn;
        }
        self.stall.get().filter(|stall| now < stall.concerns_until).map_or(now, |stall| stall.began)
    }
}

#[cfg(test)]
mod tests;
