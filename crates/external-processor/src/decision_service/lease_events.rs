//! Handles the engine's events: grants and revocations of leases, and final outcomes.

use super::{DecisionService, LeaseEngine, MessageRef, Reply, RetryScope, Revocation, SendDecision};
use balancer::api::{Micros, Outcome};
use request_engine::engine::{FinalOutcome, LeaseGrant};
use request_engine::idempotency::FinalStatus;
use request_engine::lease_events::{LeaseEvent, RequestHandle};
use std::net::SocketAddr;

impl DecisionService {
    /// Handles an event of the engine. `endpoint` is the address of the granted backend, if that is still
    /// known.
    pub fn handle_event(
        &mut self,
        now: Micros,
        event: LeaseEvent,
        endpoint: Option<SocketAddr>,
        engine: &mut impl LeaseEngine,
    ) {
        match event {
            LeaseEvent::Granted(handle, grant) => self.lease_granted(now, handle, grant, endpoint, engine),
            LeaseEvent::Revoked(handle, lease) => {
                let open = self.open.get(&handle);
                let lease_owner = open
                    .filter(|open| open.attempt.is_some_and(|attempt| attempt.grant.lease == lease))
                    .map(|open| open.owner);
                self.revocations.extend(lease_owner.map(|caller| Revocation { caller, lease }));
            }
            LeaseEvent::RequestCompleted(handle, outcome) => {
                let status = match outcome {
                    FinalOutcome::Served(_) => FinalStatus::Served,
                    FinalOutcome::Rejected { retry_after } => {
                        FinalStatus::Rejected(now.saturating_add(retry_after))
                    }
                    FinalOutcome::Failed => FinalStatus::Failed,
                };
                self.finish(now, handle, status);
            }
        }
    }

    fn lease_granted(
        &mut self,
        now: Micros,
        handle: RequestHandle,
        grant: LeaseGrant,
        endpoint: Option<SocketAddr>,
        engine: &mut impl LeaseEngine,
    ) {
        let Some(open) = self.open.get_mut(&handle) else {
            // The request was withdrawn: no caller can make the attempt.
            let _ = engine.report_result(grant.lease, Outcome::NotSent, Vec::new());
            return;
        };
        // The previous lease expired without a report, so its attempt may have run.
        if let Some(expired) = open.attempt.take() {
            self.by_lease.remove(&expired.grant.lease);
            open.may_have_run = true;
        }
        match (open.pending_tag, endpoint) {
            (Some(tag), Some(endpoint)) => {
                let retry_scope = if open.is_single_attempt {
                    RetryScope::Never
                } else {
                    RetryScope::after_attempt(open.idempotency, grant.attempt, open.max_attempts)
                };
                let is_retry_safe = open.idempotency.is_retry_safe();
                let decision = SendDecision { endpoint, grant, retry_scope, is_retry_safe };
                (open.pending_tag, open.attempt) = (None, Some(decision));
                let message_ref = MessageRef { caller: open.owner, tag };
                self.by_lease.insert(grant.lease, handle);
                self.counts.sends += 1;
                self.reply(message_ref, Reply::Send(decision));
            }
            // The backend has been removed since the grant: the balancer chooses another one.
            (Some(_), None) => {
                let _ = engine.report_result(grant.lease, Outcome::NotSent, Vec::new());
            }
            // The caller let its lease expire and has no message that waits for another decision.
            (None, _) => {
                engine.client_disconnected(open.request);
                let _ = engine.report_result(grant.lease, Outcome::NotSent, Vec::new());
                self.finish(now, handle, FinalStatus::Unknown);
            }
        }
    }
}
