//! Handles callers' messages (requests for decisions, reports and renewals) and the end of a caller.

use super::{
    CallerId, ClassMismatch, DecisionRequest, DecisionService, LeaseEngine, MAX_WAITERS, MessageRef,
    NOT_RETAINED, OpenDecision, RejectReason, Reply, ReplyDelivery, Report,
};
use balancer::api::{Idempotency, Micros, Outcome};
use request_engine::class_registry::{LookupError, RequestClass};
use request_engine::idempotency::{ClaimId, ClaimStatus, CompletedRequest, ExecutionStatus, FinalStatus};
use request_engine::lease::LeaseId;
use request_engine::lease_events::RequestHandle;
use request_engine::quoted_text::truncated;
use smallvec::SmallVec;

/// Checks whether a request with or without an idempotency key matches a version of its class.
fn check_key(class: &RequestClass, has_key: bool) -> Result<(), ClassMismatch> {
    let is_keyed = matches!(class.idempotency, Idempotency::Keyed { .. });
    match (is_keyed, has_key) {
        (true, false) => Err(ClassMismatch::MissingKey),
        (false, true) => Err(ClassMismatch::UnexpectedKey),
        _ => Ok(()),
    }
}

impl DecisionService {
    /// Handles a request for a decision.
    pub fn decide(
        &mut self,
        now: Micros,
        message_ref: MessageRef,
        request: &DecisionRequest,
        engine: &mut impl LeaseEngine,
    ) {
        self.counts.requests += 1;
        if self.is_draining {
            return self.reject(message_ref, RejectReason::Draining);
        }
        let open = self.by_caller.get(&message_ref.caller);
        if open.is_some_and(|open| open.len() >= self.limits.open_decisions_per_caller) {
            return self
                .reject(message_ref, RejectReason::CallerLimit(self.limits.open_decisions_per_caller));
        }
        let class = match self.find_class(now, request) {
            Ok(class) => class,
            Err(mismatch) => return self.reject(message_ref, mismatch.into()),
        };
        let key = request.idempotency_key.as_deref();
        let claim = self.registry.borrow_mut().claim(now, &request.id, &class.name, key);
        match claim {
            Err(error) => self.reject(message_ref, error.into()),
            Ok(ClaimStatus::Completed(CompletedRequest { status, .. })) => {
                self.counts.already_answered += 1;
                self.reply(message_ref, Reply::Final { status, is_replayed: true });
            }
            Ok(ClaimStatus::InFlight { owner, since, by_key }) => {
                self.counts.in_flight += 1;
                if request.waits_for_result && self.add_waiter(owner, message_ref) {
                    return;
                }
                self.reply(message_ref, Reply::InFlight { age: now.saturating_sub(since), by_key });
            }
            Ok(ClaimStatus::New(claim)) => self.admit(now, message_ref, request, &class, claim, engine),
        }
    }

    /// The class of a request by the settings in force.
    fn find_class(&self, now: Micros, request: &DecisionRequest) -> Result<RequestClass, ClassMismatch> {
        let has_key = request.idempotency_key.is_some();
        let found = self.classes.borrow().find(now, &request.class, |class| check_key(class, has_key));
        found.map_err(|error| match error {
            LookupError::UnknownClass => ClassMismatch::Unknown(truncated(&request.class).into()),
            LookupError::Mismatch(mismatch) => mismatch,
        })
    }

    /// Makes a message wait for the final outcome of a claim. Returns whether it now waits.
    fn add_waiter(&mut self, claim: ClaimId, message_ref: MessageRef) -> bool {
        // The claim may belong to a request that this process proxies itself: such a claim has no open
        // decision.
        let open = self.by_claim.get(&claim).and_then(|handle| self.open.get_mut(handle));
        let Some(open) = open.filter(|open| open.waiters.len() < MAX_WAITERS) else { return false };
        open.waiters.push(message_ref);
        true
    }

    fn admit(
        &mut self,
        now: Micros,
        message_ref: MessageRef,
        request: &DecisionRequest,
        class: &RequestClass,
        claim: ClaimId,
        engine: &mut impl LeaseEngine,
    ) {
        // The caller had a lease for this request before, and the outcome of that attempt is unknown.
        let retention = self.retention(class);
        if request.prior_lease.is_some() && class.idempotency != Idempotency::Idempotent {
            let status = FinalStatus::Unknown;
            self.complete_claim(now, claim, retention, status, ExecutionStatus::MayHaveExecuted);
            self.counts.unknown += 1;
            return self.reply(message_ref, Reply::Final { status, is_replayed: false });
        }
        let handle = RequestHandle(self.next_handle);
        self.next_handle += 1;
        let Some(request_id) = engine.admit(request, class, handle) else {
            self.registry.borrow_mut().complete(now, claim, NOT_RETAINED, ExecutionStatus::NotExecuted, 0);
            return self.reject(message_ref, RejectReason::Overload);
        };
        let open = OpenDecision {
            claim,
            request: request_id,
            idempotency: class.idempotency,
            retention,
            max_attempts: self.classes.borrow().max_attempts(),
            is_single_attempt: request.is_single_attempt,
            owner: message_ref.caller,
            pending_tag: Some(message_ref.tag),
            attempt: None,
            may_have_run: false,
            waiters: SmallVec::new(),
        };
        self.open.insert(handle, open);
        self.by_claim.insert(claim, handle);
        self.by_caller.entry(message_ref.caller).or_default().insert(handle);
    }

    /// Handles a caller's report on an attempt.
    pub fn report(
        &mut self,
        now: Micros,
        message_ref: MessageRef,
        report: Report,
        engine: &mut impl LeaseEngine,
    ) {
        let handle = self.by_lease.get(&report.lease).copied();
        let open = handle.and_then(|handle| self.open.get(&handle).map(|open| (handle, open)));
        let Some((handle, open)) = open else { return self.report_to_engine(message_ref, report, engine) };
        let granted_endpoint = open.attempt.map(|attempt| attempt.endpoint);
        if let (Some(granted), Some(reported)) = (granted_endpoint, report.endpoint)
            && granted != reported
        {
            return self.reject(message_ref, RejectReason::EndpointMismatch(granted));
        }
        let Some(outcome) = report.outcome else {
            return self.establish_session(message_ref, report.lease, engine);
        };
        let is_last_attempt = open.is_single_attempt && outcome != Outcome::Ok;
        if is_last_attempt {
            // The caller cannot make another attempt, so the engine must not start a retry.
            engine.client_disconnected(open.request);
        }
        if let Err(error) = engine.report_result(report.lease, outcome, report.load_report) {
            return self.reject(message_ref, error.into());
        }
        self.counts.reports += 1;
        self.by_lease.remove(&report.lease);
        self.change_owner(handle, message_ref.caller);
        let Some(open) = self.open.get_mut(&handle) else { return };
        open.attempt = None;
        open.pending_tag = Some(message_ref.tag);
        open.may_have_run |= !outcome.never_executed();
        if is_last_attempt {
            let status = if open.may_have_run { FinalStatus::Failed } else { FinalStatus::Rejected(now) };
            self.finish(now, handle, status);
        }
    }

    /// Handles a report on a lease without an open request. The engine knows its state, which may be a
    /// session.
    fn report_to_engine(&mut self, message_ref: MessageRef, report: Report, engine: &mut impl LeaseEngine) {
        let result = match report.outcome {
            Some(outcome) => {
                engine.report_result(report.lease, outcome, report.load_report).map(|()| Reply::LeaseSettled)
            }
            None => engine.establish_session(report.lease).map(Reply::Renewed),
        };
        match result {
            Ok(reply) => self.reply(message_ref, reply),
            Err(error) => self.reject(message_ref, error.into()),
        }
    }

    fn establish_session(&mut self, message_ref: MessageRef, lease: LeaseId, engine: &mut impl LeaseEngine) {
        match engine.establish_session(lease) {
            // The engine reports the final outcome in a separate event, which finds no pending message.
            Ok(expires_in) => self.reply(message_ref, Reply::Renewed(expires_in)),
            Err(error) => self.reject(message_ref, error.into()),
        }
    }

    /// Renews a session. The identity of the caller is not checked.
    pub fn renew(&mut self, message_ref: MessageRef, lease: LeaseId, engine: &mut impl LeaseEngine) {
        match engine.renew_session(lease) {
            Ok(expires_in) => self.reply(message_ref, Reply::Renewed(expires_in)),
            Err(error) => self.reject(message_ref, error.into()),
        }
    }

    /// Withdraws the requests of a caller that ended before it took all its replies.
    pub fn caller_ended(
        &mut self,
        now: Micros,
        caller: CallerId,
        delivery: ReplyDelivery,
        engine: &mut impl LeaseEngine,
    ) {
        let handles = self.by_caller.remove(&caller).unwrap_or_default();
        // Disconnect all clients first, so that a slot released by one request is not granted to another
        // request of this caller.
        for open in handles.iter().filter_map(|handle| self.open.get(handle)) {
            engine.client_disconnected(open.request);
        }
        for handle in handles {
            self.withdraw(now, handle, delivery, engine);
        }
    }

    /// Removes a unary call that ended with its reply. Its lease may still be reported by another call.
    pub fn call_answered(&mut self, caller: CallerId) {
        for handle in self.by_caller.remove(&caller).unwrap_or_default() {
            debug_assert!(
                self.open.get(&handle).is_none_or(|open| open.pending_tag.is_none()),
                "a unary call ended without its reply"
            );
        }
    }

    fn change_owner(&mut self, handle: RequestHandle, new_owner: CallerId) {
        let Some(open) = self.open.get_mut(&handle) else { return };
        let previous_owner = std::mem::replace(&mut open.owner, new_owner);
        if previous_owner != new_owner {
            self.remove_from_caller(previous_owner, handle);
        }
        self.by_caller.entry(new_owner).or_default().insert(handle);
    }

    fn withdraw(
        &mut self,
        now: Micros,
        handle: RequestHandle,
        delivery: ReplyDelivery,
        engine: &mut impl LeaseEngine,
    ) {
        let Some(open) = self.open.get_mut(&handle) else { return };
        if let Some(attempt) = open.attempt.take() {
            let outcome = match delivery {
                ReplyDelivery::Possible => Outcome::Cancelled,
                ReplyDelivery::None => Outcome::NotSent,
            };
            open.may_have_run |= delivery == ReplyDelivery::Possible;
            self.by_lease.remove(&attempt.grant.lease);
            // An error means that the lease has expired meanwhile; its attempt already counts as one that may
            // have run.
            let _ = engine.report_result(attempt.grant.lease, outcome, Vec::new());
        }
        open.pending_tag = None;
        let status = if open.may_have_run {
            self.counts.unknown += 1;
            FinalStatus::Unknown
        } else {
            self.counts.withdrawn += 1;
            FinalStatus::Rejected(now)
        };
        self.finish(now, handle, status);
    }
}
