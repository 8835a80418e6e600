//! Requests, reports and replies of the decision service.

use balancer::api::{Idempotency, Micros, Outcome};
use request_engine::engine::{Dispatch, IncomingRequest, LeaseGrant};
use request_engine::idempotency::{ClaimError, FinalStatus};
use request_engine::lease::{LeaseError, LeaseId};
use std::net::SocketAddr;
use thiserror::Error;

/// A caller: one stream or one unary call, which ends as a whole. Unique in one run of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallerId(pub u64);

/// Identifies one message of a caller, for its reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestRef {
    /// The caller.
    pub caller: CallerId,
    /// The caller's own number of the message.
    pub tag: u64,
}

/// An HTTP request for which a caller wants a decision.
#[derive(Clone, Debug, PartialEq)]
pub struct DecisionRequest {
    /// Its correlation id.
    pub id: Box<[u8]>,
    /// Its idempotency key, in keyed classes.
    pub idempotency_key: Option<Box<[u8]>>,
    /// Position of its class in the settings.
    pub class: u8,
    /// Position of its tenant in the settings.
    pub tenant: u16,
    /// Affinity key; see [`request_engine::request_key`].
    pub affinity_key: Option<u64>,
    /// When it arrived, microseconds.
    pub arrived_at: Micros,
    /// How long its client waits from its arrival, microseconds.
    pub timeout: Micros,
    /// Expected work on a standard core, microseconds.
    pub expected_work: Option<Micros>,
    /// Whether the client marked it as a retry.
    pub is_retry: bool,
    /// The lease that the caller last held for it.
    pub prior_lease: Option<LeaseId>,
    /// Whether to wait for the final answer where another claim for it is in flight.
    pub waits_for_result: bool,
    /// Whether its caller can send it only once, whatever the outcome.
    pub is_single_use: bool,
}

impl DecisionRequest {
    /// The request as the engine receives it: its caller makes the attempts.
    #[must_use]
    pub fn to_incoming<W>(&self) -> IncomingRequest<W> {
        IncomingRequest {
            class: self.class,
            tenant: self.tenant,
            key: self.affinity_key,
            arrived_at: self.arrived_at,
            timeout: self.timeout,
            expected_work: self.expected_work,
            is_retry: self.is_retry,
            dispatch: Dispatch::Leased,
        }
    }
}

/// The result of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Its lease.
    pub lease: LeaseId,
    /// How it ended; `None`: it became a session.
    pub outcome: Option<Outcome>,
    /// Where it was sent, if the caller states it.
    pub endpoint: Option<SocketAddr>,
    /// The backend's load report, in the order of the settings; empty without one.
    pub load_report: Vec<f32>,
}

/// When a retry may follow an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryScope {
    /// Never.
    Never,
    /// If the attempt has not run.
    UnlessExecuted,
    /// Also if it may have run, within the deduplication scope of its backend.
    WithinDedupScope,
    /// Always.
    Always,
}

impl RetryScope {
    /// The scope after the attempt of this number, from 0, of at most `max_attempts`.
    pub(super) fn after_attempt(idempotency: Idempotency, attempt: u16, max_attempts: u16) -> Self {
        match idempotency {
            _ if attempt + 1 >= max_attempts => Self::Never,
            Idempotency::Idempotent => Self::Always,
            Idempotency::Keyed { .. } => Self::WithinDedupScope,
            Idempotency::NonIdempotent => Self::UnlessExecuted,
        }
    }
}

/// The decision to make an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SendDecision {
    /// Where to send the request.
    pub endpoint: SocketAddr,
    /// The engine's lease.
    pub grant: LeaseGrant,
    /// When a retry may follow.
    pub retry_scope: RetryScope,
}

/// Why a message of a caller changed nothing.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum RejectReason {
    /// Its id or key can't be claimed.
    #[error(transparent)]
    Claim(#[from] ClaimError),
    /// Its lease does not allow it.
    #[error(transparent)]
    Lease(#[from] LeaseError),
    /// The report names another endpoint than the lease, which is for this one.
    #[error("the lease is for {0}")]
    EndpointMismatch(SocketAddr),
    /// The engine is at one of its limits.
    #[error("too many requests or leases are open")]
    Overload,
    /// The caller has this many decisions open, its limit.
    #[error("this caller has {0} decisions open, and no more are taken")]
    CallerLimit(usize),
    /// The processor is shutting down.
    #[error("the processor ends: ask another")]
    Draining,
}

/// The reply to one message of a caller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reply {
    /// Make an attempt.
    Send(SendDecision),
    /// The final answer.
    Final {
        /// How the request ended.
        status: FinalStatus,
        /// Whether the answer was given before, to this or another caller.
        is_repeated: bool,
    },
    /// The lease is settled; the request had its final answer before.
    LeaseSettled,
    /// Another claim for the request is in flight.
    InFlight {
        /// For how long, microseconds.
        age: Micros,
        /// Whether the ids differ and only the keys are equal.
        by_key: bool,
    },
    /// The session expires after this many microseconds unless it is renewed.
    Renewed(Micros),
    /// The message changed nothing.
    Rejected(RejectReason),
}

/// A reply and the message that it is for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallerReply {
    /// The message.
    pub request_ref: RequestRef,
    /// The reply.
    pub reply: Reply,
}

/// A revoked lease and its holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Revocation {
    /// The holder.
    pub caller: CallerId,
    /// The lease.
    pub lease: LeaseId,
}

/// Whether the replies to a caller that ended may have reached it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyDelivery {
    /// They may have reached it.
    Possible,
    /// They have not: the caller was cancelled before they were sent.
    None,
}

/// Totals over all messages since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests for a decision.
    pub requests: u64,
    /// Of these, those with another claim in flight.
    pub in_flight: u64,
    /// Of these, those with a final answer already.
    pub already_answered: u64,
    /// Decisions to make an attempt.
    pub sends: u64,
    /// Accepted reports.
    pub reports: u64,
    /// Messages that changed nothing.
    pub rejected: u64,
    /// Requests withdrawn because their caller ended, nothing having run.
    pub withdrawn: u64,
    /// Requests whose caller ended and which may have run.
    pub unknown: u64,
}
