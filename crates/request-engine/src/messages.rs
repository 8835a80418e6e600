//! What travels between the engine, its fronts and its transport.

use crate::lease::LeaseId;
use balancer::api::{BackendId, Micros, Outcome, RequestId};
use thiserror::Error;

/// The front's types that travel through the engine.
pub trait MessageTypes {
    /// What a carried attempt sends, the same at every attempt.
    type OutboundRequest: Clone;
    /// Where the final answer goes.
    type Responder;
    /// A backend's answer.
    type Response;

    /// Whether this can be sent only once, since not all of it is kept.
    fn is_single_use(_work: &Self::OutboundRequest) -> bool {
        false
    }
}

/// Who makes the attempts of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Dispatch<W> {
    /// The engine's transport, with this.
    Proxied(W),
    /// A caller outside, under leases.
    Leased,
}

/// A request as a front took it.
#[derive(Clone, Debug)]
pub struct IncomingRequest<W> {
    /// Position of its class in the settings.
    pub class: u8,
    /// Position of its tenant in the settings.
    pub tenant: u16,
    /// What it is about.
    pub key: Option<u64>,
    /// When it came, microseconds.
    pub arrived_at: Micros,
    /// How long from then on its client waits, microseconds.
    pub timeout: Micros,
    /// Expected work on a standard core, microseconds.
    pub expected_work: Option<Micros>,
    /// Whether the client marked it as a repeat.
    pub is_retry: bool,
    /// Who makes its attempts.
    pub dispatch: Dispatch<W>,
}

/// The final answer to a request.
#[derive(Debug, PartialEq, Eq)]
pub enum FinalOutcome<P> {
    /// A backend's answer; `None` where the holder of a lease has it.
    Served(Option<P>),
    /// Turned away; trying again is harmless.
    Rejected {
        /// How long the client should stay away, microseconds; 0: no word.
        retry_after: Micros,
    },
    /// Failed, with no promise of its effect.
    Failed,
}

/// How an attempt or a probe ended.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd<P> {
    /// The outcome in the decisions' terms.
    pub outcome: Outcome,
    /// The answer, where the outcome is [`Outcome::Ok`].
    pub response: Option<P>,
    /// The load report that came along, in the order of the settings; empty: none.
    pub load_report: Vec<f32>,
    /// The part of its time in which the attempt waited for its client; it says nothing of the backend.
    pub client_wait: Micros,
}

impl<P> From<Outcome> for AttemptEnd<P> {
    fn from(outcome: Outcome) -> Self {
        Self { outcome, response: None, load_report: Vec::new(), client_wait: 0 }
    }
}

/// A lease as its holder is told of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseGrant {
    /// Its id, a fencing token.
    pub lease: LeaseId,
    /// The request.
    pub request: RequestId,
    /// Number of the attempt, from 0.
    pub attempt: u16,
    /// Where to send.
    pub backend: BackendId,
    /// The holder must not begin to send later than this, microseconds.
    pub send_by: Micros,
    /// When to give the attempt up, microseconds.
    pub give_up_at: Micros,
}

/// When an attempt may begin, and when it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// From when on it may not begin any more; `Micros::MAX`: never.
    pub start_by: Micros,
    /// When to give it up.
    pub give_up_at: Micros,
}

/// What the engine wants done.
#[derive(Debug, PartialEq)]
pub enum Command<X: MessageTypes> {
    /// Make an attempt; [`Engine::attempt_finished`](crate::engine::Engine::attempt_finished) is owed for it.
    StartAttempt {
        /// The request.
        request: RequestId,
        /// Number of the attempt, from 0.
        attempt: u16,
        /// Where to.
        backend: BackendId,
        /// When it may begin, and when it ends.
        schedule: Schedule,
        /// What to send.
        outbound_request: X::OutboundRequest,
    },
    /// Give an attempt up; its end is still owed.
    CancelAttempt {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u16,
    },
    /// Give an attempt up if no byte of it has left: its client has gone. Otherwise it goes on; its end is owed either way.
    CancelUnsentAttempt {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u16,
    },
    /// Tell the front that its caller holds a lease; [`Engine::report_result`](crate::engine::Engine::report_result) is owed for it.
    GrantLease(LeaseGrant),
    /// Ask a lease back: a holder that has not begun to send must not, and reports [`Outcome::NotSent`].
    RevokeLease {
        /// The request.
        request: RequestId,
        /// The lease.
        lease: LeaseId,
    },
    /// The final answer.
    Respond {
        /// The request.
        request: RequestId,
        /// Where it goes.
        responder: X::Responder,
        /// What it is.
        outcome: FinalOutcome<X::Response>,
    },
    /// Ask discovery for changes from now on.
    Subscribe,
    /// Probe a backend.
    CheckHealth(BackendId),
    /// Close the idle connections to a backend.
    CloseIdleConnections(BackendId),
    /// A line for the operators.
    Log(String),
}

/// What there may be at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineLimits {
    /// Requests whose attempts have not all ended. A further one is not taken.
    pub requests: usize,
    /// Leases that are out. At the bound no request for leases is taken, and no further attempt granted.
    pub leases: usize,
}

/// A request that was not taken, and where its answer would have gone. Nothing of it has run: the front may refuse.
#[derive(Debug, Error)]
pub enum Overload<R> {
    /// Too many requests are open.
    #[error("too many requests are open")]
    Requests(R),
    /// Too many leases are out.
    #[error("too many leases are out")]
    Leases(R),
}

/// What has become of the requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Taken.
    pub admitted: u64,
    /// Not taken, at a bound.
    pub overloaded: u64,
    /// Answered by a backend.
    pub served: u64,
    /// Refused by the decisions.
    pub rejected: u64,
    /// Failed, those at the last moment too.
    pub failed: u64,
    /// Left open by the decisions until the last moment.
    pub deadline_failures: u64,
    /// Their client left.
    pub client_disconnected: u64,
    /// Attempts begun.
    pub attempts: u64,
    /// Ends of attempts that were not out.
    pub unmatched: u64,
    /// Ends of attempts by outcome, in the order of [`Outcome::ALL`].
    pub outcomes: [u64; Outcome::ALL.len()],
    /// Servers ejected because their requests failed.
    pub ejections: u64,
}
