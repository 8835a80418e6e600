//! Messages between the engine, its front ends and its transport.

use crate::lease::LeaseId;
use balancer::api::{BackendId, Idempotency, Micros, Outcome, RequestId, RequestIdentity, UnservedCounts};
use thiserror::Error;

/// Types of the front ends that pass through the engine as opaque values.
pub trait MessageTypes {
    /// The request that a proxied attempt sends to its backend, the same for every attempt.
    type OutboundRequest: Clone;
    /// The destination of a request's final outcome.
    type Responder;
    /// A backend's response.
    type Response;

    /// Whether the request can be sent only once, because its body is not completely retained.
    fn is_single_use(_outbound_request: &Self::OutboundRequest) -> bool {
        false
    }
}

/// Whether the engine's transport or an external client makes the attempts of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Dispatch<O> {
    /// The engine's transport makes them and sends this request.
    Proxied(O),
    /// An external client makes them, each under a lease.
    Leased,
}

/// A request as a front end received it.
#[derive(Clone, Debug)]
pub struct IncomingRequest<O> {
    /// Index of the request class in the settings.
    pub class: u8,
    /// The effect of executing the request more than once, by every version of its class that may apply; `None`:
    /// that of its class.
    pub idempotency: Option<Idempotency>,
    /// Index of the tenant in the settings.
    pub tenant: u16,
    /// Affinity key; see [`request_key`](crate::request_key::request_key).
    pub key: Option<u64>,
    /// Time of arrival, microseconds.
    pub arrived_at: Micros,
    /// Time from the arrival until the client's deadline, microseconds.
    pub timeout: Micros,
    /// How long its body may still arrive, microseconds: until then the client's deadline does not run. The
    /// front end ends the attempt in time.
    pub upload_time: Micros,
    /// Expected processing time on a standard core, microseconds.
    pub expected_work: Option<Micros>,
    /// Whether the client marked the request as a retry.
    pub is_retry: bool,
    /// What identifies the request; see [`Request::identity`](balancer::api::Request::identity).
    pub identity: Option<RequestIdentity>,
    /// How the attempts are made.
    pub dispatch: Dispatch<O>,
}

/// The final outcome of a request.
#[derive(Debug, PartialEq, Eq)]
pub enum FinalOutcome<R> {
    /// Served, with the backend's response; `None` if the holder of a lease received it.
    Served(Option<R>),
    /// Rejected without an execution, so that a retry is safe.
    Rejected {
        /// Time that the client should wait before a retry, microseconds; 0: unspecified.
        retry_after: Micros,
    },
    /// Failed; the request may have been executed.
    Failed,
}

/// The end of an attempt or a health check.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptCompletion<R> {
    /// The outcome that the balancer receives.
    pub outcome: Outcome,
    /// The response of a proxied attempt whose outcome is [`Outcome::Ok`].
    pub response: Option<R>,
    /// The backend's load report, in the order of the settings; empty without a report.
    pub load_report: Vec<f32>,
    /// Time for which the attempt waited for its client, microseconds. It does not count as latency of the
    /// backend.
    pub client_wait: Micros,
}

impl<R> From<Outcome> for AttemptCompletion<R> {
    fn from(outcome: Outcome) -> Self {
        Self { outcome, response: None, load_report: Vec::new(), client_wait: 0 }
    }
}

/// A lease, in the form in which its holder receives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseGrant {
    /// The id of the lease, a fencing token.
    pub lease: LeaseId,
    /// The request.
    pub request: RequestId,
    /// Number of the attempt, from 0.
    pub attempt: u16,
    /// The backend to send the request to.
    pub backend: BackendId,
    /// Latest time at which the holder may start the attempt, microseconds.
    pub send_by: Micros,
    /// Time limit at which the holder has to abort the attempt, microseconds.
    pub timeout_at: Micros,
}

/// The latest start and the time limit of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptSchedule {
    /// The attempt must not start at or after this time, microseconds; `Micros::MAX`: no limit.
    pub start_by: Micros,
    /// Time limit at which an unfinished attempt is aborted, microseconds.
    pub timeout_at: Micros,
}

/// A command of the engine to its driver.
#[derive(Debug, PartialEq)]
pub enum Command<M: MessageTypes> {
    /// Start a proxied attempt, and call
    /// [`Engine::attempt_finished`](crate::engine::Engine::attempt_finished) when it has ended.
    StartAttempt {
        /// The request.
        request: RequestId,
        /// Number of the attempt, from 0.
        attempt: u16,
        /// The backend to send the request to.
        backend: BackendId,
        /// The latest start and the time limit of the attempt.
        schedule: AttemptSchedule,
        /// The request to send.
        outbound_request: M::OutboundRequest,
    },
    /// Cancel a proxied attempt. Its end must still be reported.
    CancelAttempt {
        /// The request.
        request: RequestId,
        /// Number of the attempt, from 0.
        attempt: u16,
    },
    /// Cancel a proxied attempt if it has not sent any bytes, because its client has disconnected or the
    /// request has failed at its deadline. Its end must be reported in either case.
    CancelUnsentAttempt {
        /// The request.
        request: RequestId,
        /// Number of the attempt, from 0.
        attempt: u16,
    },
    /// Grant a lease to the request's client. The client's report goes to
    /// [`Engine::report_result`](crate::engine::Engine::report_result).
    GrantLease(LeaseGrant),
    /// Revoke a lease. A holder that has not started its attempt must not start it and reports
    /// [`Outcome::NotSent`].
    RevokeLease {
        /// The request.
        request: RequestId,
        /// The lease.
        lease: LeaseId,
    },
    /// Deliver the final outcome of a request.
    Respond {
        /// The request.
        request: RequestId,
        /// The destination of the outcome.
        responder: M::Responder,
        /// The final outcome.
        outcome: FinalOutcome<M::Response>,
    },
    /// Subscribe to membership changes.
    Subscribe,
    /// Check a backend's health.
    CheckHealth(BackendId),
    /// Close the idle connections to a backend.
    CloseIdleConnections(BackendId),
    /// Write a line to the log.
    Log(String),
}

/// Limits on the engine's memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineLimits {
    /// Maximum number of open requests: those without a final outcome or with an unfinished attempt. At the
    /// limit no request is admitted.
    pub requests: usize,
    /// Maximum number of active leases. At the limit no leased request is admitted and no lease is granted.
    pub leases: usize,
}

/// The engine's limit at which a request was not admitted, with the request's responder. No attempt was made,
/// so the front end may reject the request.
#[derive(Debug, Error)]
pub enum AdmissionError<R> {
    /// [`EngineLimits::requests`] is reached.
    #[error("too many requests are open")]
    Requests(R),
    /// [`EngineLimits::leases`] is reached.
    #[error("too many leases are active")]
    Leases(R),
}

/// Totals over all requests since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests admitted.
    pub admitted: u64,
    /// Requests not admitted because one of the [`EngineLimits`] was reached.
    pub overloaded: u64,
    /// Requests served by a backend.
    pub served: u64,
    /// Requests rejected by the balancer.
    pub rejected: u64,
    /// Requests failed, including `deadline_failures`.
    pub failed: u64,
    /// Requests that failed shortly before the client's deadline because the balancer had not completed them.
    pub deadline_failures: u64,
    /// Requests whose client disconnected before the final outcome.
    pub client_disconnected: u64,
    /// Attempts that the balancer requested, sent or not.
    pub attempts: u64,
    /// Events of attempts that were not in flight.
    pub unmatched: u64,
    /// Finished attempts by outcome, in the order of [`Outcome::ALL`].
    pub outcomes: [u64; Outcome::ALL.len()],
    /// Ejections of backends because their requests failed.
    pub ejections: u64,
    /// Requests that the balancer ended without a backend's response, by cause.
    pub unserved: UnservedCounts,
}
