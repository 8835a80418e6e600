//! The decision service's input and output: requests, reports, replies and revocations.

use balancer::api::{Idempotency, Micros, Outcome};
use request_engine::class_registry::RequestClass;
use request_engine::engine::{Dispatch, IncomingRequest, LeaseGrant};
use request_engine::idempotency::{ClaimError, FinalStatus};
use request_engine::lease::{LeaseError, LeaseId};
use std::net::SocketAddr;
use thiserror::Error;

/// Identifies a caller, which is one stream or one unary call. Unique in one run of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallerId(pub u64);

/// Identifies the message of a caller to which a reply belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MessageRef {
    /// The caller that sent the message.
    pub caller: CallerId,
    /// The caller's number for the message, unique among its messages without a reply.
    pub tag: u64,
}

/// An HTTP request for which a caller wants a decision.
#[derive(Clone, Debug, PartialEq)]
pub struct DecisionRequest {
    /// Its correlation id, 1 to [`MAX_ID_BYTES`](request_engine::idempotency::MAX_ID_BYTES) bytes.
    pub id: Box<[u8]>,
    /// Its idempotency key; `None` if it has none.
    pub idempotency_key: Option<Box<[u8]>>,
    /// The name of its class.
    pub class: Box<str>,
    /// Index of its tenant in the settings.
    pub tenant: u16,
    /// Affinity key; see [`request_engine::request_key`].
    pub affinity_key: Option<u64>,
    /// When it arrived, on the engine's clock, microseconds.
    pub arrived_at: Micros,
    /// How long its client waits for the response, from the arrival on, microseconds; `None`: until the class's
    /// response deadline.
    pub timeout: Option<Micros>,
    /// Expected work on a standard core, microseconds.
    pub expected_work: Option<Micros>,
    /// Whether the client marked it as a retry.
    pub is_retry: bool,
    /// The caller's last lease for this request, if that attempt was never reported.
    pub prior_lease: Option<LeaseId>,
    /// Whether to wait for the final outcome if another claim for the request is in flight.
    pub waits_for_result: bool,
    /// Whether the caller can make only one attempt, whatever its outcome.
    pub is_single_attempt: bool,
}

impl DecisionRequest {
    /// Converts to the engine's form of a request of this class whose caller makes the attempts.
    #[must_use]
    pub fn to_incoming<W>(&self, class: &RequestClass) -> IncomingRequest<W> {
        IncomingRequest {
            class: class.index,
            idempotency: Some(class.idempotency),
            tenant: self.tenant,
            key: self.affinity_key,
            arrived_at: self.arrived_at,
            timeout: self.timeout.map_or(class.default_timeout, |timeout| timeout.min(class.deadline)),
            expected_work: self.expected_work,
            is_retry: self.is_retry,
            upload_time: 0,
            identity: None,
            dispatch: Dispatch::Leased,
        }
    }
}

/// A caller's report on an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// The lease of the attempt.
    pub lease: LeaseId,
    /// How the attempt ended; `None` if it became a session.
    pub outcome: Option<Outcome>,
    /// The endpoint to which the attempt was sent, if the caller states it.
    pub endpoint: Option<SocketAddr>,
    /// The backend's load report, in the order of the settings; empty without one.
    pub load_report: Vec<f32>,
}

/// The condition on which a retry may follow an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryScope {
    /// No retry follows.
    Never,
    /// A retry may follow only if the attempt did not run.
    UnlessExecuted,
    /// A retry may follow also if the attempt may have run, on backends in the same dedup scope.
    WithinDedupScope,
    /// A retry may follow whatever the outcome.
    Always,
}

impl RetryScope {
    /// The scope after attempt number `attempt`, which counts from 0, of at most `max_attempts`.
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
    /// The address of the backend.
    pub endpoint: SocketAddr,
    /// The lease, its time limits and the number of the attempt.
    pub grant: LeaseGrant,
    /// Whether a retry may follow this attempt.
    pub retry_scope: RetryScope,
    /// Whether a rejection, which tells the client that a retry is safe, is true although the attempt may have run.
    pub is_retry_safe: bool,
}

/// Why a request does not match the class that it names.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ClassMismatch {
    /// No class has this name.
    #[error("no class `{0}`")]
    Unknown(Box<str>),
    /// The class is keyed, and the request has no idempotency key: its retries cannot be deduplicated.
    #[error("the idempotency key is missing")]
    MissingKey,
    /// The request has an idempotency key, which has no effect in its class.
    #[error("the class has no keys")]
    UnexpectedKey,
}

/// Why a message of a caller was rejected. A rejected message has no effect.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum RejectReason {
    /// The request does not match its class.
    #[error(transparent)]
    Class(#[from] ClassMismatch),
    /// The request's id or idempotency key cannot be claimed.
    #[error(transparent)]
    Claim(#[from] ClaimError),
    /// The state of the lease does not allow the operation.
    #[error(transparent)]
    Lease(#[from] LeaseError),
    /// The report names another endpoint than this one, for which the lease was granted.
    #[error("the lease is for {0}")]
    EndpointMismatch(SocketAddr),
    /// One of the engine's limits is reached.
    #[error("too many requests or leases are open")]
    Overload,
    /// The caller has reached its limit of open decisions, which is this number.
    #[error("this caller has {0} decisions open, and no more are taken")]
    CallerLimit(usize),
    /// The processor is shutting down.
    #[error("the processor ends: ask another")]
    Draining,
}

/// The reply to one message of a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The caller may make an attempt.
    Send(SendDecision),
    /// The request has its final outcome.
    Final {
        /// How the request ended.
        status: FinalStatus,
        /// Whether this outcome was already sent, to this or another caller.
        is_replayed: bool,
    },
    /// The lease is settled; the request already had its final outcome.
    LeaseSettled,
    /// Another claim for the request is in flight.
    InFlight {
        /// Age of that claim, microseconds.
        age: Micros,
        /// Whether the ids differ and only the idempotency keys are equal.
        by_key: bool,
    },
    /// The session expires after this many microseconds unless it is renewed.
    Renewed(Micros),
    /// The message was rejected and has no effect.
    Rejected(RejectReason),
}

/// A reply, addressed to the message that it answers.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerReply {
    /// The message that is answered.
    pub message_ref: MessageRef,
    /// The reply to it.
    pub reply: Reply,
}

/// A revoked lease: its caller must not start the attempt any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Revocation {
    /// The caller to which the lease was granted.
    pub caller: CallerId,
    /// The revoked lease.
    pub lease: LeaseId,
}

/// Whether replies may have reached a caller before it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyDelivery {
    /// Replies may have reached the caller.
    Possible,
    /// No reply has reached the caller: it was cancelled before one was sent.
    None,
}

/// Totals over all messages since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests for a decision, accepted or not.
    pub requests: u64,
    /// Requests that had another claim in flight.
    pub in_flight: u64,
    /// Requests that already had a final outcome.
    pub already_answered: u64,
    /// Attempts that callers were allowed to make.
    pub sends: u64,
    /// Accepted reports on attempts of open requests.
    pub reports: u64,
    /// Messages that were rejected.
    pub rejected: u64,
    /// Requests whose caller ended before anything had run.
    pub withdrawn: u64,
    /// Requests that may have run and whose outcome is unknown, because their caller ended or states a prior
    /// lease.
    pub unknown: u64,
}
