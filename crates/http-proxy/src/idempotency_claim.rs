//! Claims of clients' requests in the idempotency registry that the HTTP and the gRPC front end share (rule 2).

use crate::exchange::BackendResponse;
use balancer::api::{Class, Idempotency, Micros};
use request_engine::driver::clock::Clock;
use request_engine::engine::FinalOutcome;
use request_engine::idempotency::{
    ClaimError, ClaimId, ClaimStatus, CompletedRequest, ExecutionEffect, FinalStatus, FrontEnd,
    SharedRegistry,
};

/// When a client may retry a request that another caller has in flight, in microseconds.
const IN_FLIGHT_RETRY_DELAY: Micros = 1_000_000;

/// Why a request must not be sent to a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimRejection {
    /// It has not run here; the client may retry after this delay in microseconds.
    RetryAfter(Micros),
    /// Another caller has completed it, or it conflicts with an earlier request. The text is the response's body.
    Conflict(&'static str),
    /// It can't be registered. The text is the response's body.
    Invalid(&'static str),
}

/// How the requests of a class are registered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimTerms {
    /// Whether requests with the same idempotency key are retries of one another.
    keyed: bool,
    /// How long the final status is retained, in microseconds.
    retention: Micros,
}

impl ClaimTerms {
    /// The terms of a class.
    #[must_use]
    pub fn of(class: &Class) -> Self {
        match class.idempotency {
            Idempotency::Idempotent => Self { keyed: false, retention: 0 },
            Idempotency::Keyed { ttl, .. } => Self { keyed: true, retention: ttl.max(class.deadline) },
            Idempotency::NonIdempotent => Self { keyed: false, retention: class.deadline },
        }
    }
}

/// What identifies a request in the registry.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'a> {
    /// The correlation id.
    pub id: &'a [u8],
    /// Position of its class in the settings.
    pub class: u8,
    /// The idempotency key, if it has one.
    pub key: Option<&'a [u8]>,
}

/// A request that the HTTP front end has in flight. Dropped unsettled, it counts as possibly executed.
pub struct IdempotencyClaim<'a> {
    registry: &'a SharedRegistry,
    clock: Clock,
    id: ClaimId,
    retention: Micros,
    settled: bool,
}

impl<'a> IdempotencyClaim<'a> {
    /// Registers a request. `None` if this front end completed it before: the backends then deduplicate the retry, as they
    /// do without a gRPC front end.
    ///
    /// # Errors
    /// Another caller has it, the registry is full, or its names are invalid.
    pub fn acquire(
        registry: &'a SharedRegistry,
        clock: Clock,
        request: RequestIdentity<'_>,
        terms: ClaimTerms,
    ) -> Result<Option<Self>, ClaimRejection> {
        let now = clock.now();
        let key = request.key.filter(|_| terms.keyed);
        let claimed = registry.borrow_mut().claim(now, request.id, request.class, key);
        match claimed {
            Ok(ClaimStatus::New(id)) => {
                Ok(Some(Self { registry, clock, id, retention: terms.retention, settled: false }))
            }
            Ok(ClaimStatus::Completed(CompletedRequest { front_end: FrontEnd::Proxied, .. })) => Ok(None),
            Ok(ClaimStatus::InFlight { .. }) | Err(ClaimError::Full(_)) => {
                Err(ClaimRejection::RetryAfter(IN_FLIGHT_RETRY_DELAY))
            }
            Ok(ClaimStatus::Completed(CompletedRequest { status: FinalStatus::Rejected(until), .. })) => {
                Err(ClaimRejection::RetryAfter(until.saturating_sub(now)))
            }
            Ok(ClaimStatus::Completed(_)) => {
                Err(ClaimRejection::Conflict("another caller sent it: no answer is kept\n"))
            }
            Err(ClaimError::KeyMismatch) => Err(ClaimRejection::Conflict("this id came with another key\n")),
            Err(ClaimError::InvalidName(_)) => {
                Err(ClaimRejection::Invalid("the id or the key is too long\n"))
            }
        }
    }

    /// Records the final outcome; `None` if there will be none.
    pub fn settle(mut self, outcome: Option<&FinalOutcome<BackendResponse>>) {
        self.settled = true;
        let now = self.clock.now();
        match outcome {
            Some(FinalOutcome::Served(_)) => {
                self.complete(now, FinalStatus::Served, ExecutionEffect::Possible);
            }
            Some(&FinalOutcome::Rejected { retry_after }) => {
                let until = now.saturating_add(retry_after);
                self.complete(now, FinalStatus::Rejected(until), ExecutionEffect::None);
            }
            Some(FinalOutcome::Failed) | None => {
                self.complete(now, FinalStatus::Failed, ExecutionEffect::Possible);
            }
        }
    }

    fn complete(&self, now: Micros, status: FinalStatus, effect: ExecutionEffect) {
        let completed = CompletedRequest { front_end: FrontEnd::Proxied, status };
        self.registry.borrow_mut().complete(now, self.id, completed, effect, self.retention);
    }
}

impl Drop for IdempotencyClaim<'_> {
    fn drop(&mut self) {
        if !self.settled {
            self.complete(self.clock.now(), FinalStatus::Unknown, ExecutionEffect::Possible);
        }
    }
}
