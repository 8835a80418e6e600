//! The calls to a discovery service that all proxies share: it works through them in turn and fails those that have
//! waited too long. Pure: no I/O, no clock.

use balancer::api::Micros;

/// What becomes of a call, and when it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// Worked through by then.
    Done(Micros),
    /// It has waited too long by then and fails; the service has done nothing for it.
    Failed(Micros),
}

/// The service's calls.
#[derive(Debug)]
pub struct CallQueue {
    /// What a call takes, from and to.
    call: (Micros, Micros),
    fails_after: Micros,
    free_at: Micros,
    rng: fastrand::Rng,
}

impl CallQueue {
    /// A service with no calls. A call takes between the two times of `call`, each as likely as the other, and fails
    /// after so long a wait for its turn; microseconds.
    #[must_use]
    pub fn new(call: (Micros, Micros), fails_after: Micros, seed: u64) -> Self {
        Self { call, fails_after, free_at: 0, rng: fastrand::Rng::with_seed(seed) }
    }

    /// A call comes.
    pub fn come(&mut self, now: Micros) -> CallOutcome {
        let begins = self.free_at.max(now);
        if begins > now + self.fails_after {
            return CallOutcome::Failed(now + self.fails_after);
        }
        self.free_at = begins + self.rng.u64(self.call.0..=self.call.1);
        CallOutcome::Done(self.free_at)
    }
}
