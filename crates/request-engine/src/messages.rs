//! Messages between the engine, its front ends and its transport.

use crate::lease::LeaseId;
use balancer::api::{BackendId, Micros, Outcome, RequestId, UnservedCounts};
use thiserror::Error;

/// The front end's types that pass through the engine, which does not look into them.
pub trait MessageTypes {
    /// What a proxied attempt sends, the same for every attempt.
    type OutboundRequest: Clone;
    /// Where the final answer goes.
    type Responder;
    /// A backend's answer.
    type Response;

    /// Whether it can be sent only once, since its body is not retained completely.
    fn is_single_use(_outbound_request: &Self::OutboundRequest) -> bool {
        false
    }
}

/// Who makes the attempts of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Dispatch<W> {
    /// The engine's transport, which sends this.
    Proxied(W),
    /// An external client, under leases.
    Leased,
}

/// A request as a front end received it.
#[derive(Clone, Debug)]
pub struct IncomingRequest<W> {
    /// Position of its class in the settings.
    pub class: u8,
    /// Position of its tenant in the settings.
    pub tenant: u16,
    /// Affinity key; see [`request_key`](crate::request_key::request_key).
    pub key: Option<u64>,
    /// When it arrived, microseconds.
    pub arrived_at: Micros,
    /// How long its client waits from its arrival, microseconds.
    pub timeout: Micros,
    /// Expected work on a standard core, microseconds.
    pub expected_work: Option<Micros>,
    /// Whether the client marked it as a retry.
    pub is_retry: bool,
    /// Who makes its attempts.
    pub dispatch: Dispatch<W>,
}

/// The final answer to a request.
#[derive(Debug, PartialEq, Eq)]
pub enum FinalOutcome<P> {
    /// A backend's response; `None` where the holder of a lease has it.
    Served(Option<P>),
    /// Nothing has run; a retry is harmless.
    Rejected {
        /// How long the client should wait before a retry, microseconds; 0: unspecified.
        retry_after: Micros,
    },
    /// Failed; it may have run.
    Failed,
}

/// How an attempt or a health check ended.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd<P> {
    /// The outcome in the balancer's terms.
    pub outcome: Outcome,
    /// The response, where the outcome is [`Outcome::Ok`].
    pub response: Option<P>,
    /// The backend's load report, in the order of the settings; empty without one.
    pub load_report: Vec<f32>,
    /// How long the attempt waited for its client, microseconds. Not part of the backend's latency.
    pub client_wait: Micros,
}

impl<P> From<Outcome> for AttemptEnd<P> {
    fn from(outcome: Outcome) -> Self {
        Self { outcome, response: None, load_report: Vec::new(), client_wait: 0 }
    }
}

/// A lease as its holder receives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseGrant {
    /// Its id, a fencing token.
    pub lease: LeaseId,
    /// The request.
    pub request: RequestId,
    /// Number of the attempt, from 0.
    pub attempt: u16,
    /// The backend to send to.
    pub backend: BackendId,
    /// The holder must not start later than this, microseconds.
    pub send_by: Micros,
    /// When the holder has to give the attempt up, microseconds.
    pub give_up_at: Micros,
}

/// When an attempt may start, and when it is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// It must not start at or after this time, microseconds; `Micros::MAX`: no limit.
    pub start_by: Micros,
    /// When it is given up, microseconds.
    pub give_up_at: Micros,
}

/// An instruction of the engine to its driver.
#[derive(Debug, PartialEq)]
pub enum Command<X: MessageTypes> {
    /// Start an attempt, and call [`Engine::attempt_finished`](crate::engine::Engine::attempt_finished) once it ends.
    StartAttempt {
        /// The request.
        request: RequestId,
        /// Number of the attempt, from 0.
        attempt: u16,
        /// The backend to send to.
        backend: BackendId,
        /// When it may start, and when it is given up.
        schedule: Schedule,
        /// What to send.
        outbound_request: X::OutboundRequest,
    },
    /// Cancel an attempt; its end is still reported.
    CancelAttempt {
        /// The request.
        request: RequestId,
        /// Number of the attempt, from 0.
        attempt: u16,
    },
    /// Cancel an attempt if it has sent no byte, since its client has disconnected. Its end is reported in either case.
    CancelUnsentAttempt {
        /// The request.
        request: RequestId,
        /// Number of the attempt, from 0.
        attempt: u16,
    },
    /// Grant a lease to the request's client, whose result goes to
    /// [`Engine::report_result`](crate::engine::Engine::report_result).
    GrantLease(LeaseGrant),
    /// Revoke a lease: a holder that has not started must not, and reports [`Outcome::NotSent`].
    RevokeLease {
        /// The request.
        request: RequestId,
        /// The lease.
        lease: LeaseId,
    },
    /// Deliver the final answer.
    Respond {
        /// The request.
        request: RequestId,
        /// Where the answer goes.
        responder: X::Responder,
        /// The answer.
        outcome: FinalOutcome<X::Response>,
    },
    /// Subscribe to membership changes.
    Subscribe,
    /// Check a backend's health.
    CheckHealth(BackendId),
    /// Close the idle connections to a backend.
    CloseIdleConnections(BackendId),
    /// Write a log line.
    Log(String),
}

/// Bounds of what the engine holds at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineLimits {
    /// Requests whose attempts have not all finished. At the bound no request is admitted.
    pub requests: usize,
    /// Active leases. At the bound no leased request is admitted and no lease granted.
    pub leases: usize,
}

/// A request was not admitted; holds its responder. Nothing of it has run, so the front end may reject it.
#[derive(Debug, Error)]
pub enum Overload<R> {
    /// Too many requests are open.
    #[error("too many requests are open")]
    Requests(R),
    /// Too many leases are active.
    #[error("too many leases are out")]
    Leases(R),
}

/// Totals over all requests since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Admitted.
    pub admitted: u64,
    /// Not admitted, at one of [`EngineLimits`].
    pub overloaded: u64,
    /// Answered by a backend.
    pub served: u64,
    /// Rejected by the balancer.
    pub rejected: u64,
    /// Failed, including `deadline_failures`.
    pub failed: u64,
    /// Left open by the balancer until shortly before the client's deadline.
    pub deadline_failures: u64,
    /// Their client disconnected before the final answer.
    pub client_disconnected: u64,
    /// Attempts ordered by the balancer, sent or not.
    pub attempts: u64,
    /// Events on attempts that were not in flight.
    pub unmatched: u64,
    /// Finished attempts by outcome, in the order of [`Outcome::ALL`].
    pub outcomes: [u64; Outcome::ALL.len()],
    /// Backends ejected because their requests failed.
    pub ejections: u64,
    /// Ended by the balancer without a backend's response, by cause.
    pub unserved: UnservedCounts,
}
