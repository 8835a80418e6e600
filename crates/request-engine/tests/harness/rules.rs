//! The proxy's four rules, checked on the engine's commands.

use super::{Attempt, CHECKED_PERIOD, Execution, Harness};
use balancer::api::{BackendId, Idempotency, Micros, Readiness, RequestId};
use request_engine::engine::{FinalOutcome, LeaseGrant, SEND_WINDOW};
use request_engine::lease::LeaseId;

impl Harness {
    /// Rule 1: no client waits beyond its deadline.
    pub fn check_answers(&self) {
        for (client, client_state) in
            self.clients.iter().rev().take_while(|(_, c)| self.now < c.deadline + CHECKED_PERIOD)
        {
            let is_waiting = client_state.outcome.is_none() && !client_state.is_disconnected;
            assert!(
                !is_waiting || self.now <= client_state.deadline,
                "rule 1: client {client} has no answer by its deadline"
            );
        }
    }

    pub(super) fn check_send(
        &mut self,
        request: RequestId,
        number: u16,
        backend: BackendId,
        give_up_at: Micros,
        lease: Option<LeaseGrant>,
    ) {
        let client = self.by_request[&request];
        let listed = self.backends.get(&backend).copied();
        let is_ready = listed.is_some_and(|b| b.readiness == Readiness::Ready);
        assert!(is_ready, "rule 3: sent to {backend}, which drains or was removed");
        let client_state = self.clients.get_mut(&client).expect("a known client");
        assert!(
            client_state.outcome.is_none() && !client_state.is_disconnected,
            "rule 1: sent for client {client} after its final answer"
        );
        assert!(
            give_up_at <= client_state.deadline && self.now < client_state.deadline,
            "an attempt exceeds its client's deadline"
        );
        assert_eq!(usize::from(number), client_state.attempts.len(), "attempts are numbered from 0");
        assert!(client_state.attempts.len() < 4, "too many attempts");
        for earlier in client_state.attempts.iter().filter(|a| a.execution != Execution::Never) {
            assert_ne!(earlier.execution, Execution::InFlight, "rule 2: a concurrent attempt");
            match self.classes[usize::from(client_state.class)].idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NonIdempotent => panic!("rule 2: a non-idempotent request is retried"),
                Idempotency::Keyed { ttl, .. } => {
                    assert!(self.now <= earlier.sent_at + ttl, "rule 2: the key has expired");
                    assert_eq!(backend / 3, earlier.backend / 3, "rule 2: another cell");
                }
            }
        }
        if let Some(grant) = lease {
            assert!(grant.send_by <= self.now + SEND_WINDOW && grant.send_by <= grant.give_up_at);
        }
        let (execution, sent_at) = (Execution::InFlight, self.now);
        client_state.attempts.push(Attempt {
            request,
            number,
            backend,
            sent_at,
            execution,
            is_session: false,
            lease,
            is_revoked: false,
        });
    }

    pub(super) fn check_revoke(&mut self, request: RequestId, lease: LeaseId) {
        let client = self.by_request[&request];
        let client_state = self.clients.get_mut(&client).expect("a known client");
        let attempt = client_state.attempts.iter_mut().find(|a| a.lease.is_some_and(|g| g.lease == lease));
        let attempt = attempt.expect("a granted lease");
        assert!(
            attempt.execution == Execution::InFlight && !attempt.is_revoked,
            "revoked a lease that is not active"
        );
        attempt.is_revoked = true;
    }

    pub(super) fn check_answer(&mut self, client: u32, outcome: FinalOutcome<u32>) {
        let classes = &self.classes;
        let client_state = self.clients.get_mut(&client).expect("a known client");
        assert!(
            client_state.outcome.is_none() && !client_state.is_disconnected,
            "rule 1: client {client} is answered twice"
        );
        assert!(self.now <= client_state.deadline, "rule 1: client {client} is answered after its deadline");
        if matches!(outcome, FinalOutcome::Rejected { .. }) {
            let may_have_run = client_state.attempts.iter().any(|a| a.execution != Execution::Never);
            let is_idempotent =
                classes[usize::from(client_state.class)].idempotency == Idempotency::Idempotent;
            assert!(is_idempotent || !may_have_run, "rule 2: rejected a request that may have run");
        }
        client_state.outcome = Some(outcome);
    }
}
