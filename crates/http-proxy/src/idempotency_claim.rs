//! Rule 2 across fronts: a client's request that callers outside might ask for too is held in the table they share.

use crate::exchange::Served;
use balancer::api::{Class, Idempotency, Micros};
use request_engine::driver::clock::Clock;
use request_engine::engine::FinalOutcome;
use request_engine::idempotency::{
    self, ClaimError, ClaimId, ClaimStatus, CompletedRequest, FinalStatus, FrontEnd, SharedRegistry,
};

/// When a client may ask again for what another holds, microseconds.
const ASK_RETRY_DELAY: Micros = 1_000_000;

/// The request is not this client's to have sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// Nothing of it has run here: refused, with the time to stay away.
    Refused(Micros),
    /// It has, or has had, an end whose answer is not kept.
    NoAnswer(&'static str),
    /// It can't be held.
    Senseless(&'static str),
}

/// On what terms the requests of a class are held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// Whether its requests are one another's repeats by their keys.
    keyed: bool,
    /// How long an answer is remembered for callers outside.
    memory: Micros,
}

impl Terms {
    /// The terms of a class.
    #[must_use]
    pub fn of(class: &Class) -> Self {
        match class.idempotency {
            Idempotency::Idempotent => Self { keyed: false, memory: 0 },
            Idempotency::Keyed { ttl, .. } => Self { keyed: true, memory: ttl.max(class.deadline) },
            Idempotency::NonIdempotent => Self { keyed: false, memory: class.deadline },
        }
    }
}

/// A request that this front holds. One whose client leaves may have run.
pub struct Claim<'a> {
    claims: &'a SharedRegistry,
    clock: Clock,
    id: ClaimId,
    memory: Micros,
    settled: bool,
}

impl<'a> Claim<'a> {
    /// Takes the claim; `None` where this front itself had it before: as without callers outside, the backends then
    /// drop the repeat or answer it.
    ///
    /// # Errors
    /// Where it is another's, or can't be held.
    pub fn take(
        claims: &'a SharedRegistry,
        clock: Clock,
        id: &[u8],
        class: u8,
        key: Option<&[u8]>,
        Terms { keyed, memory }: Terms,
    ) -> Result<Option<Self>, Taken> {
        let now = clock.now();
        let claimed = claims.borrow_mut().claim(now, id, class, key.filter(|_| keyed));
        match claimed {
            Ok(ClaimStatus::New(id)) => Ok(Some(Self { claims, clock, id, memory, settled: false })),
            Ok(ClaimStatus::Completed(CompletedRequest { front_end: FrontEnd::Proxied, .. })) => Ok(None),
            Ok(ClaimStatus::InFlight { .. }) | Err(ClaimError::Full(_)) => {
                Err(Taken::Refused(ASK_RETRY_DELAY))
            }
            Ok(ClaimStatus::Completed(CompletedRequest { status: FinalStatus::Rejected(until), .. })) => {
                Err(Taken::Refused(until.saturating_sub(now)))
            }
            Ok(ClaimStatus::Completed(_)) => {
                Err(Taken::NoAnswer("another caller sent it: no answer is kept\n"))
            }
            Err(ClaimError::KeyMismatch) => Err(Taken::NoAnswer("this id came with another key\n")),
            Err(ClaimError::InvalidName(_)) => Err(Taken::Senseless("the id or the key is too long\n")),
        }
    }

    /// Its answer is on its way; `None`: there will be none.
    pub fn settle(mut self, verdict: Option<&FinalOutcome<Served>>) {
        self.settled = true;
        let now = self.clock.now();
        match verdict {
            Some(FinalOutcome::Served(_)) => {
                self.end(now, FinalStatus::Served, idempotency::ExecutionEffect::Possible);
            }
            Some(&FinalOutcome::Rejected { retry_after }) => {
                self.end(
                    now,
                    FinalStatus::Rejected(now.saturating_add(retry_after)),
                    idempotency::ExecutionEffect::None,
                );
            }
            Some(FinalOutcome::Failed) | None => {
                self.end(now, FinalStatus::Failed, idempotency::ExecutionEffect::Possible);
            }
        }
    }

    fn end(&self, now: Micros, end: FinalStatus, effect: idempotency::ExecutionEffect) {
        let remembered = CompletedRequest { front_end: FrontEnd::Proxied, status: end };
        self.claims.borrow_mut().complete(now, self.id, remembered, effect, self.memory);
    }
}

impl Drop for Claim<'_> {
    fn drop(&mut self) {
        if !self.settled {
            self.end(self.clock.now(), FinalStatus::Unknown, idempotency::ExecutionEffect::Possible);
        }
    }
}
