//! Call queue of a discovery service that all proxies share: it processes calls in order, and fails those that waited too
//! long. Pure: no I/O, no clock.

use balancer::api::Micros;

/// Outcome of a call, with the time at which it is known, microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The call was processed.
    Done(Micros),
    /// The call waited too long and failed without being processed.
    Failed(Micros),
}

/// The queue of calls.
#[derive(Debug)]
pub struct CallQueue {
    /// Shortest and longest processing time, microseconds.
    call: (Micros, Micros),
    fails_after: Micros,
    free_at: Micros,
    rng: fastrand::Rng,
}

impl CallQueue {
    /// An empty queue. The processing time of a call is uniform between the two times of `call`; a call fails after
    /// waiting for `fails_after`. All times in microseconds.
    #[must_use]
    pub fn new(call: (Micros, Micros), fails_after: Micros, seed: u64) -> Self {
        Self { call, fails_after, free_at: 0, rng: fastrand::Rng::with_seed(seed) }
    }

    /// Adds a call at `now`, and returns its outcome.
    pub fn come(&mut self, now: Micros) -> CallOutcome {
        let begins = self.free_at.max(now);
        if begins > now + self.fails_after {
            return CallOutcome::Failed(now + self.fails_after);
        }
        self.free_at = begins + self.rng.u64(self.call.0..=self.call.1);
        CallOutcome::Done(self.free_at)
    }
}
