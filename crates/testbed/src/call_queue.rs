//! Call queue of a discovery service shared by all proxies: it processes calls one at a time, in order of
//! arrival, and fails those that waited too long. Pure: no I/O, no clock.

use balancer::api::Micros;

/// Outcome of a call, with the time at which it is known, microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The call is processed, and done at this time.
    Done(Micros),
    /// The call waits too long, and fails at this time without being processed.
    Failed(Micros),
}

/// The queue of calls.
#[derive(Debug)]
pub struct CallQueue {
    /// Shortest and longest processing time, microseconds.
    call_duration: (Micros, Micros),
    fails_after: Micros,
    free_at: Micros,
    rng: fastrand::Rng,
}

impl CallQueue {
    /// An empty queue. The processing time of a call is uniformly distributed between the two values of
    /// `call_duration`; a call fails after waiting for `fails_after`. All times are in microseconds.
    #[must_use]
    pub fn new(call_duration: (Micros, Micros), fails_after: Micros, seed: u64) -> Self {
        Self { call_duration, fails_after, free_at: 0, rng: fastrand::Rng::with_seed(seed) }
    }

    /// Adds a call that arrives at `now`, in microseconds; returns its outcome. Calls must be added in order
    /// of time.
    pub fn add_call(&mut self, now: Micros) -> CallOutcome {
        let starts_at = self.free_at.max(now);
        if starts_at > now + self.fails_after {
            return CallOutcome::Failed(now + self.fails_after);
        }
        self.free_at = starts_at + self.rng.u64(self.call_duration.0..=self.call_duration.1);
        CallOutcome::Done(self.free_at)
    }
}
