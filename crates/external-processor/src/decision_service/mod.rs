//! Decisions for external clients: which request may make an attempt, the reply to each message, and what is
//! withdrawn when a caller ends. No I/O and no clock; the engine is behind [`LeaseEngine`].
//!
//! 1. Every message gets exactly one [`Reply`], unless its caller has ended.
//! 2. A request's id and its key belong to one caller at a time ([`request_engine::idempotency`]). A request that may
//!    have run is retried only by the engine's own decisions.
//! 3. An attempt whose decision can't have reached its caller counts as never sent; one that reached it and is not
//!    reported counts as one that may have run.

mod caller_messages;
mod lease_events;
mod messages;

pub use messages::{
    CallerId, CallerReply, Counts, DecisionRequest, RejectReason, Reply, ReplyDelivery, Report, RequestRef,
    RetryScope, Revocation, SendDecision,
};

use balancer::api::{Idempotency, Micros, Outcome, RequestId, Settings};
use request_engine::idempotency::{
    ClaimId, CompletedRequest, ExecutionEffect, FinalStatus, FrontEnd, SharedRegistry,
};
use request_engine::lease::{LeaseError, LeaseId};
use request_engine::lease_events::RequestHandle;
use rustc_hash::{FxHashMap, FxHashSet};
use smallvec::SmallVec;

/// After how long a caller should ask again for a request with another claim in flight, microseconds.
pub const ASK_RETRY_DELAY: Micros = 250_000;
/// Messages that wait for the final answer of one request. Further ones get [`Reply::InFlight`].
pub const MAX_WAITING: usize = 16;

/// The recorded answer of a claim that is removed at once.
const NOT_RETAINED: CompletedRequest =
    CompletedRequest { front_end: FrontEnd::External, status: FinalStatus::Rejected(0) };

/// The engine, as the decision service uses it. The events that a call causes arrive as
/// [`LeaseEvent`](request_engine::lease_events::LeaseEvent)s after the call.
pub trait LeaseEngine {
    /// Admits a request; `None` at one of the engine's limits.
    fn admit(&mut self, request: &DecisionRequest, handle: RequestHandle) -> Option<RequestId>;

    /// Settles a lease with the result of its attempt.
    ///
    /// # Errors
    /// Where it is not active.
    fn report_result(
        &mut self,
        lease: LeaseId,
        outcome: Outcome,
        load_report: Vec<f32>,
    ) -> Result<(), LeaseError>;

    /// Makes a lease a session. Returns after how many microseconds it expires unless it is renewed.
    ///
    /// # Errors
    /// Where it is not active or already a session.
    fn establish_session(&mut self, lease: LeaseId) -> Result<Micros, LeaseError>;

    /// Renews a session. Returns after how many microseconds it expires unless it is renewed again.
    ///
    /// # Errors
    /// Where it is not active or not a session.
    fn renew_session(&mut self, lease: LeaseId) -> Result<Micros, LeaseError>;

    /// The client of a request has disconnected.
    fn client_disconnected(&mut self, request: RequestId);
}

/// Limits of the decision service.
#[derive(Clone, Copy, Debug)]
pub struct DecisionLimits {
    /// Open decisions of one caller.
    pub per_caller: usize,
    /// How long a final answer is retained in idempotent classes, microseconds.
    pub idempotent_retention: Micros,
    /// The same in non-idempotent classes, at least the class's deadline. In keyed classes the time to live of the keys
    /// applies.
    pub non_idempotent_retention: Micros,
}

/// A request that a caller owns, until its final answer.
struct OpenDecision {
    claim: ClaimId,
    request: RequestId,
    class: u8,
    is_single_use: bool,
    /// The caller that gets the next decision or holds the current lease.
    owner: CallerId,
    /// The tag of the message without a reply.
    pending_tag: Option<u64>,
    /// The attempt in flight.
    attempt: Option<SendDecision>,
    may_have_run: bool,
    /// Messages that wait for the final answer.
    waiting: SmallVec<[RequestRef; 1]>,
}

/// The requests that callers own, and the replies that were not taken yet.
pub struct DecisionService {
    registry: SharedRegistry,
    limits: DecisionLimits,
    /// By class.
    idempotency: Vec<Idempotency>,
    /// By class, microseconds.
    deadlines: Vec<Micros>,
    max_attempts: u16,
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
    /// A service without open requests.
    #[must_use]
    pub fn new(settings: &Settings, limits: DecisionLimits, registry: SharedRegistry) -> Self {
        Self {
            registry,
            limits,
            idempotency: settings.classes.iter().map(|class| class.idempotency).collect(),
            deadlines: settings.classes.iter().map(|class| class.deadline).collect(),
            max_attempts: settings.permissions.max_attempts,
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

    /// Rejects requests from now on; open requests continue.
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

    /// Number of requests that callers own.
    #[must_use]
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Totals over all messages since the start.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }

    fn reply(&mut self, request_ref: RequestRef, reply: Reply) {
        self.replies.push(CallerReply { request_ref, reply });
    }

    fn reject(&mut self, request_ref: RequestRef, reason: RejectReason) {
        self.counts.rejected += 1;
        self.reply(request_ref, Reply::Rejected(reason));
    }

    fn remove_from_caller(&mut self, caller: CallerId, handle: RequestHandle) {
        if let Some(handles) = self.by_caller.get_mut(&caller) {
            handles.remove(&handle);
            if handles.is_empty() {
                self.by_caller.remove(&caller);
            }
        }
    }

    /// The only place where a request ends: its claim, the pending message, and the waiting ones.
    fn finish(&mut self, now: Micros, handle: RequestHandle, status: FinalStatus) {
        let Some(open) = self.open.remove(&handle) else { return };
        self.by_claim.remove(&open.claim);
        self.remove_from_caller(open.owner, handle);
        if let Some(attempt) = open.attempt {
            self.by_lease.remove(&attempt.grant.lease);
        }
        let may_have_run = open.may_have_run || open.attempt.is_some() || status == FinalStatus::Served;
        let effect = if may_have_run { ExecutionEffect::Possible } else { ExecutionEffect::None };
        let pending = open.pending_tag.map(|tag| RequestRef { caller: open.owner, tag });
        if pending.is_none() && !may_have_run {
            // No caller got an answer and nothing has run: the next caller gets a decision.
            self.registry.borrow_mut().complete(now, open.claim, NOT_RETAINED, effect, 0);
        } else {
            self.complete_claim(now, open.claim, open.class, status, effect);
        }
        if let Some(request_ref) = pending {
            self.reply(request_ref, Reply::Final { status, is_repeated: false });
        }
        for request_ref in open.waiting {
            self.reply(request_ref, Reply::Final { status, is_repeated: true });
        }
    }

    fn complete_claim(
        &self,
        now: Micros,
        claim: ClaimId,
        class: u8,
        status: FinalStatus,
        effect: ExecutionEffect,
    ) {
        let completed = CompletedRequest { front_end: FrontEnd::External, status };
        self.registry.borrow_mut().complete(now, claim, completed, effect, self.retention(class));
    }

    fn retention(&self, class: u8) -> Micros {
        let class = usize::from(class);
        match self.idempotency[class] {
            Idempotency::Idempotent => self.limits.idempotent_retention,
            Idempotency::Keyed { ttl, .. } => ttl.max(self.deadlines[class]),
            Idempotency::NonIdempotent => self.limits.non_idempotent_retention.max(self.deadlines[class]),
        }
    }
}
