//! Messages of callers: requests for decisions, reports and renewals, and the end of a caller.

use super::{
    CallerId, DecisionRequest, DecisionService, LeaseEngine, MAX_WAITING, NOT_RETAINED, OpenDecision,
    RejectReason, Reply, ReplyDelivery, Report, RequestRef,
};
use balancer::api::{Idempotency, Micros, Outcome};
use request_engine::idempotency::{ClaimId, ClaimStatus, CompletedRequest, ExecutionEffect, FinalStatus};
use request_engine::lease::LeaseId;
use request_engine::lease_events::RequestHandle;
use smallvec::SmallVec;

impl DecisionService {
    /// A caller requests a decision.
    pub fn decide(
        &mut self,
        now: Micros,
        request_ref: RequestRef,
        request: &DecisionRequest,
        engine: &mut impl LeaseEngine,
    ) {
        self.counts.requests += 1;
        if self.is_draining {
            return self.reject(request_ref, RejectReason::Draining);
        }
        let open = self.by_caller.get(&request_ref.caller);
        if open.is_some_and(|open| open.len() >= self.limits.per_caller) {
            return self.reject(request_ref, RejectReason::CallerLimit(self.limits.per_caller));
        }
        let key = request.idempotency_key.as_deref();
        let claim = self.registry.borrow_mut().claim(now, &request.id, request.class, key);
        match claim {
            Err(error) => self.reject(request_ref, error.into()),
            Ok(ClaimStatus::Completed(CompletedRequest { status, .. })) => {
                self.counts.already_answered += 1;
                self.reply(request_ref, Reply::Final { status, is_repeated: true });
            }
            Ok(ClaimStatus::InFlight { owner, since, by_key }) => {
                self.counts.in_flight += 1;
                if request.waits_for_result && self.enqueue_waiting(owner, request_ref) {
                    return;
                }
                self.reply(request_ref, Reply::InFlight { age: now.saturating_sub(since), by_key });
            }
            Ok(ClaimStatus::New(claim)) => self.admit(now, request_ref, request, claim, engine),
        }
    }

    /// Adds a message to those that wait for the final answer of a claim; returns whether it now waits.
    fn enqueue_waiting(&mut self, claim: ClaimId, request_ref: RequestRef) -> bool {
        // The claim may belong to a request that this process proxies.
        let open = self.by_claim.get(&claim).and_then(|handle| self.open.get_mut(handle));
        let Some(open) = open.filter(|open| open.waiting.len() < MAX_WAITING) else { return false };
        open.waiting.push(request_ref);
        true
    }

    fn admit(
        &mut self,
        now: Micros,
        request_ref: RequestRef,
        request: &DecisionRequest,
        claim: ClaimId,
        engine: &mut impl LeaseEngine,
    ) {
        // The caller has held a lease for the request, and its outcome is not known any more.
        let idempotency = self.idempotency[usize::from(request.class)];
        if request.prior_lease.is_some() && idempotency != Idempotency::Idempotent {
            let status = FinalStatus::Unknown;
            self.complete_claim(now, claim, request.class, status, ExecutionEffect::Possible);
            self.counts.unknown += 1;
            return self.reply(request_ref, Reply::Final { status, is_repeated: false });
        }
        let handle = RequestHandle(self.next_handle);
        self.next_handle += 1;
        let Some(request_id) = engine.admit(request, handle) else {
            self.registry.borrow_mut().complete(now, claim, NOT_RETAINED, ExecutionEffect::None, 0);
            return self.reject(request_ref, RejectReason::Overload);
        };
        let open = OpenDecision {
            claim,
            request: request_id,
            class: request.class,
            is_single_use: request.is_single_use,
            owner: request_ref.caller,
            pending_tag: Some(request_ref.tag),
            attempt: None,
            may_have_run: false,
            waiting: SmallVec::new(),
        };
        self.open.insert(handle, open);
        self.by_claim.insert(claim, handle);
        self.by_caller.entry(request_ref.caller).or_default().insert(handle);
    }

    /// A caller reports the result of an attempt.
    pub fn report(
        &mut self,
        now: Micros,
        request_ref: RequestRef,
        report: Report,
        engine: &mut impl LeaseEngine,
    ) {
        let handle = self.by_lease.get(&report.lease).copied();
        let open = handle.and_then(|handle| self.open.get(&handle).map(|open| (handle, open)));
        let Some((handle, open)) = open else { return self.report_to_engine(request_ref, report, engine) };
        let granted_endpoint = open.attempt.map(|attempt| attempt.endpoint);
        if let (Some(granted), Some(reported)) = (granted_endpoint, report.endpoint)
            && granted != reported
        {
            return self.reject(request_ref, RejectReason::EndpointMismatch(granted));
        }
        let Some(outcome) = report.outcome else {
            return self.establish_session(request_ref, report.lease, engine);
        };
        let is_last_attempt = open.is_single_use && outcome != Outcome::Ok;
        if is_last_attempt {
            // The caller can't send again: the engine must not start a retry.
            engine.client_disconnected(open.request);
        }
        if let Err(error) = engine.report_result(report.lease, outcome, report.load_report) {
            return self.reject(request_ref, error.into());
        }
        self.counts.reports += 1;
        self.by_lease.remove(&report.lease);
        self.change_owner(handle, request_ref.caller);
        let Some(open) = self.open.get_mut(&handle) else { return };
        open.attempt = None;
        open.pending_tag = Some(request_ref.tag);
        open.may_have_run |= !outcome.never_executed();
        if is_last_attempt {
            let status = if open.may_have_run { FinalStatus::Failed } else { FinalStatus::Rejected(now) };
            self.finish(now, handle, status);
        }
    }

    /// A report on a lease without an open request: the engine knows its state, which may be a session.
    fn report_to_engine(&mut self, request_ref: RequestRef, report: Report, engine: &mut impl LeaseEngine) {
        let result = match report.outcome {
            Some(outcome) => {
                engine.report_result(report.lease, outcome, report.load_report).map(|()| Reply::LeaseSettled)
            }
            None => engine.establish_session(report.lease).map(Reply::Renewed),
        };
        match result {
            Ok(reply) => self.reply(request_ref, reply),
            Err(error) => self.reject(request_ref, error.into()),
        }
    }

    fn establish_session(&mut self, request_ref: RequestRef, lease: LeaseId, engine: &mut impl LeaseEngine) {
        match engine.establish_session(lease) {
            // The engine's final answer is an event of its own and finds no pending message.
            Ok(expires_in) => self.reply(request_ref, Reply::Renewed(expires_in)),
            Err(error) => self.reject(request_ref, error.into()),
        }
    }

    /// The holder of a session renews it.
    pub fn renew(&mut self, request_ref: RequestRef, lease: LeaseId, engine: &mut impl LeaseEngine) {
        match engine.renew_session(lease) {
            Ok(expires_in) => self.reply(request_ref, Reply::Renewed(expires_in)),
            Err(error) => self.reject(request_ref, error.into()),
        }
    }

    /// A caller has ended without taking all its replies; its requests are withdrawn.
    pub fn caller_ended(
        &mut self,
        now: Micros,
        caller: CallerId,
        delivery: ReplyDelivery,
        engine: &mut impl LeaseEngine,
    ) {
        let handles = self.by_caller.remove(&caller).unwrap_or_default();
        // All clients disconnect first: a slot that one request releases must not go to another one of this caller.
        for open in handles.iter().filter_map(|handle| self.open.get(handle)) {
            engine.client_disconnected(open.request);
        }
        for handle in handles {
            self.withdraw(now, handle, delivery, engine);
        }
    }

    /// A unary call has ended with its reply. Its lease may still be reported by another call.
    pub fn call_answered(&mut self, caller: CallerId) {
        for handle in self.by_caller.remove(&caller).unwrap_or_default() {
            debug_assert!(
                self.open.get(&handle).is_none_or(|open| open.pending_tag.is_none()),
                "a call ends with its answer"
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
            // A lease that has expired meanwhile is settled as one that may have run.
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
