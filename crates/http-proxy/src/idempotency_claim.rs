//! Claims of clients' requests in the idempotency registry, which the HTTP and the gRPC front end share: a
//! request that is not idempotent must not be executed twice because it arrives over both.

use crate::exchange::BackendResponse;
use balancer::api::Micros;
use request_engine::class_registry::RequestClass;
use request_engine::driver::clock::Clock;
use request_engine::engine::FinalOutcome;
use request_engine::idempotency::{
    ClaimError, ClaimId, ClaimStatus, CompletedRequest, ExecutionStatus, FinalStatus, FrontEnd,
    SharedRegistry,
};

/// The delay after which a client may retry a request that another caller has in flight, in microseconds.
const IN_FLIGHT_RETRY_DELAY: Micros = 1_000_000;

/// Why a request must not be sent to a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimRejection {
    /// It was not executed through this front end; the client may retry after this delay in microseconds.
    RetryAfter(Micros),
    /// Another caller has completed it, or it conflicts with an earlier request. The text is the body of the
    /// response.
    Conflict(&'static str),
    /// Its id or key is invalid, so that it can't be registered. The text is the body of the response.
    Invalid(&'static str),
}

/// What identifies a request in the registry.
#[derive(Clone, Debug)]
pub struct RequestIdentity<'a> {
    /// The correlation id that the client chose.
    pub id: &'a [u8],
    /// Its class.
    pub class: RequestClass,
    /// The idempotency key, if the request has one.
    pub key: Option<&'a [u8]>,
}

/// A request that is registered as in flight in the HTTP front end. If the claim is dropped before it is
/// settled, the request counts as possibly executed.
pub struct IdempotencyClaim<'a> {
    registry: &'a SharedRegistry,
    clock: Clock,
    id: ClaimId,
    retention: Micros,
    settled: bool,
}

impl<'a> IdempotencyClaim<'a> {
    /// Registers a request. Returns `None` if this front end completed it before: the backends then
    /// deduplicate the retry, as they do without a gRPC front end.
    ///
    /// # Errors
    /// Another caller has the request in flight or has completed it, the registry is full, or the id or key
    /// is invalid.
    pub fn acquire(
        registry: &'a SharedRegistry,
        clock: Clock,
        request: &RequestIdentity<'_>,
    ) -> Result<Option<Self>, ClaimRejection> {
        let now = clock.now();
        let policy = request.class.claim_policy;
        let key = request.key.filter(|_| policy.is_keyed);
        let claimed = registry.borrow_mut().claim(now, request.id, &request.class.name, key);
        match claimed {
            Ok(ClaimStatus::New(id)) => {
                Ok(Some(Self { registry, clock, id, retention: policy.retention, settled: false }))
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
            Err(ClaimError::InvalidLength(_)) => {
                Err(ClaimRejection::Invalid("the id or the key is too long\n"))
            }
        }
    }

    /// Records the final outcome of the request; `None` if there is none, which counts as a failure.
    pub fn settle(mut self, outcome: Option<&FinalOutcome<BackendResponse>>) {
        self.settled = true;
        let now = self.clock.now();
        match outcome {
            Some(FinalOutcome::Served(_)) => {
                self.complete(now, FinalStatus::Served, ExecutionStatus::MayHaveExecuted);
            }
            Some(&FinalOutcome::Rejected { retry_after }) => {
                let until = now.saturating_add(retry_after);
                self.complete(now, FinalStatus::Rejected(until), ExecutionStatus::NotExecuted);
            }
            Some(FinalOutcome::Failed) | None => {
                self.complete(now, FinalStatus::Failed, ExecutionStatus::MayHaveExecuted);
            }
        }
    }

    fn complete(&self, now: Micros, status: FinalStatus, effect: ExecutionStatus) {
        let completed = CompletedRequest { front_end: FrontEnd::Proxied, status };
        self.registry.borrow_mut().complete(now, self.id, completed, effect, self.retention);
    }
}

impl Drop for IdempotencyClaim<'_> {
    fn drop(&mut self) {
        if !self.settled {
            self.complete(self.clock.now(), FinalStatus::Unknown, ExecutionStatus::MayHaveExecuted);
        }
    }
}
