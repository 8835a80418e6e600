//! Decisions for external clients: grants attempts, replies to callers' messages, and withdraws the requests
//! of callers that ended. No I/O and no clock; the engine is used through [`LeaseEngine`].
//!
//! 1. Every message gets exactly one [`Reply`], unless its caller has ended.
//! 2. A request's id and its idempotency key belong to one caller at a time
//!    ([`request_engine::idempotency`]). Only the engine decides on retries of a request that may have run.
//! 3. An attempt counts as not sent if its decision cannot have reached the caller. An attempt that was
//!    granted but not reported counts as one that may have run.

mod caller_messages;
mod lease_events;
mod messages;

pub use messages::{
    CallerId, CallerReply, ClassMismatch, Counts, DecisionRequest, MessageRef, RejectReason, Reply,
    ReplyDelivery, Report, RetryScope, Revocation, SendDecision,
};

use balancer::api::{Idempotency, Micros, Outcome, RequestId};
use request_engine::class_registry::{RequestClass, SharedClasses};
use request_engine::idempotency::{
    ClaimId, CompletedRequest, ExecutionStatus, FinalStatus, FrontEnd, SharedRegistry,
};
use request_engine::lease::{LeaseError, LeaseId};
use request_engine::lease_events::RequestHandle;
use rustc_hash::{FxHashMap, FxHashSet};
use smallvec::SmallVec;

/// How long a caller should wait before it repeats a request that has another claim in flight, microseconds.
pub const IN_FLIGHT_RETRY_DELAY: Micros = 250_000;
/// Maximum number of messages that wait for the final outcome of one request. Any more get
/// [`Reply::InFlight`].
pub const MAX_WAITERS: usize = 16;

/// Placeholder outcome of a claim that is completed with a retention of 0 and so never replayed.
const NOT_RETAINED: CompletedRequest =
    CompletedRequest { front_end: FrontEnd::External, status: FinalStatus::Rejected(0) };

/// The operations of the engine that the decision service uses. The events that a call causes are delivered
/// as [`LeaseEvent`](request_engine::lease_events::LeaseEvent)s after the call.
pub trait LeaseEngine {
    /// Admits a request of this class. Returns `None` if one of the engine's limits is reached.
    fn admit(
        &mut self,
        request: &DecisionRequest,
        class: &RequestClass,
        handle: RequestHandle,
    ) -> Option<RequestId>;

    /// Settles a lease with the result of its attempt.
    ///
    /// # Errors
    /// If the lease is not active.
    fn report_result(
        &mut self,
        lease: LeaseId,
        outcome: Outcome,
        load_report: Vec<f32>,
    ) -> Result<(), LeaseError>;

    /// Turns a lease into a session. Returns the time until it expires unless renewed, microseconds.
    ///
    /// # Errors
    /// If the lease is not active or is already a session.
    fn establish_session(&mut self, lease: LeaseId) -> Result<Micros, LeaseError>;

    /// Renews a session. Returns the time until it expires unless renewed, microseconds.
    ///
    /// # Errors
    /// If the lease is not active or is not a session.
    fn renew_session(&mut self, lease: LeaseId) -> Result<Micros, LeaseError>;

    /// Withdraws a request whose client has disconnected: its final outcome is not reported, and attempts
    /// that have not been sent are cancelled.
    fn client_disconnected(&mut self, request: RequestId);
}

/// Limits of the decision service.
#[derive(Clone, Copy, Debug)]
pub struct DecisionLimits {
    /// Maximum number of open decisions of one caller.
    pub open_decisions_per_caller: usize,
    /// How long a final outcome is retained in idempotent classes, microseconds.
    pub idempotent_retention: Micros,
    /// How long a final outcome is retained in non-idempotent classes, microseconds; raised to the class's
    /// response deadline if shorter. Keyed classes use the time to live of their keys, raised likewise.
    pub non_idempotent_retention: Micros,
}

/// A request that a caller owns and that has no final outcome yet. The rules under which it came apply to it
/// until its end, whatever a reload changes.
struct OpenDecision {
    claim: ClaimId,
    request: RequestId,
    idempotency: Idempotency,
    /// How long its final outcome is retained, microseconds.
    retention: Micros,
    max_attempts: u16,
    is_single_attempt: bool,
    /// The caller that has the current lease, or to which the next decision is sent.
    owner: CallerId,
    /// The tag of the owner's message that has no reply yet.
    pending_tag: Option<u64>,
    /// The attempt in flight.
    attempt: Option<SendDecision>,
    may_have_run: bool,
    /// Messages that wait for the final outcome.
    waiters: SmallVec<[MessageRef; 1]>,
}

/// The requests that callers own, and the replies and revocations that have not been taken yet.
pub struct DecisionService {
    registry: SharedRegistry,
    limits: DecisionLimits,
    classes: SharedClasses,
    is_draining: bool,
    next_handle: u64,
    open: FxHashMap<RequestHandle, OpenDecision>,
    by_lease: FxHashMap<LeaseId, RequestHandle>,
    by_claim: FxHashMap<ClaimId, RequestHandle>,
    by_caller: FxHashMap<CallerId, FxHashSet<RequestHandle>>,
    replies: Vec<CallerReply>,
    revocations: Vec<Revocation>,
    counts: Counts,
}

impl DecisionService {
    /// Creates a service without open requests.
    #[must_use]
    pub fn new(limits: DecisionLimits, registry: SharedRegistry, classes: SharedClasses) -> Self {
        Self {
            registry,
            limits,
            classes,
            is_draining: false,
            next_handle: 1,
            open: FxHashMap::default(),
            by_lease: FxHashMap::default(),
            by_claim: FxHashMap::default(),
            by_caller: FxHashMap::default(),
            replies: Vec::new(),
            revocations: Vec::new(),
            counts: Counts::default(),
        }
    }

    /// Rejects new requests from now on; open requests continue.
    pub fn drain(&mut self) {
        self.is_draining = true;
    }

    /// Removes and returns the replies since the last call, in order.
    pub fn take_replies(&mut self) -> Vec<CallerReply> {
        std::mem::take(&mut self.replies)
    }

    /// Removes and returns the revocations since the last call, in order.
    pub fn take_revocations(&mut self) -> Vec<Revocation> {
        std::mem::take(&mut self.revocations)
    }

    /// Number of requests that callers own and that have no final outcome yet.
    #[must_use]
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether no request is open.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Totals over all messages since the start.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }

    fn reply(&mut self, message_ref: MessageRef, reply: Reply) {
        self.replies.push(CallerReply { message_ref, reply });
    }

    fn reject(&mut self, message_ref: MessageRef, reason: RejectReason) {
        self.counts.rejected += 1;
        self.reply(message_ref, Reply::Rejected(reason));
    }

    fn remove_from_caller(&mut self, caller: CallerId, handle: RequestHandle) {
        if let Some(handles) = self.by_caller.get_mut(&caller) {
            handles.remove(&handle);
            if handles.is_empty() {
                self.by_caller.remove(&caller);
            }
        }
    }

    /// Ends a request: completes its claim and replies to its pending message and its waiters. No other
    /// function removes an open request.
    fn finish(&mut self, now: Micros, handle: RequestHandle, status: FinalStatus) {
        let Some(open) = self.open.remove(&handle) else { return };
        self.by_claim.remove(&open.claim);
        self.remove_from_caller(open.owner, handle);
        if let Some(attempt) = open.attempt {
            self.by_lease.remove(&attempt.grant.lease);
        }
        let may_have_run = open.may_have_run || open.attempt.is_some() || status == FinalStatus::Served;
        let effect =
            if may_have_run { ExecutionStatus::MayHaveExecuted } else { ExecutionStatus::NotExecuted };
        let pending = open.pending_tag.map(|tag| MessageRef { caller: open.owner, tag });
        if pending.is_none() && !may_have_run {
            // No caller received an outcome and nothing has run, so the next request is decided anew.
            self.registry.borrow_mut().complete(now, open.claim, NOT_RETAINED, effect, 0);
        } else {
            self.complete_claim(now, open.claim, open.retention, status, effect);
        }
        if let Some(message_ref) = pending {
            self.reply(message_ref, Reply::Final { status, is_replayed: false });
        }
        for message_ref in open.waiters {
            self.reply(message_ref, Reply::Final { status, is_replayed: true });
        }
    }

    fn complete_claim(
        &self,
        now: Micros,
        claim: ClaimId,
        retention: Micros,
        status: FinalStatus,
        effect: ExecutionStatus,
    ) {
        let completed = CompletedRequest { front_end: FrontEnd::External, status };
        self.registry.borrow_mut().complete(now, claim, completed, effect, retention);
    }

    /// How long the final outcome of a request of this class is retained, microseconds.
    fn retention(&self, class: &RequestClass) -> Micros {
        let configured = match class.idempotency {
            Idempotency::Idempotent => self.limits.idempotent_retention,
            Idempotency::Keyed { .. } => 0,
            Idempotency::NonIdempotent => self.limits.non_idempotent_retention,
        };
        configured.max(class.claim_policy.retention)
    }
}
