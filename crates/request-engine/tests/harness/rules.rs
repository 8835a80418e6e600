//! Checks of the rules 1 to 3 (see [`request_engine::engine`]) on the engine's commands.

use super::{Attempt, CHECKED_PERIOD, Execution, Harness};
use balancer::api::{BackendId, Idempotency, Micros, Readiness, RequestId};
use request_engine::engine::{FinalOutcome, LeaseGrant, SEND_WINDOW};
use request_engine::lease::LeaseId;

impl Harness {
    /// Rule 1: every connected client has its final outcome by its deadline.
    pub fn check_deadlines(&self) {
        for (client, client_state) in
            self.clients.iter().rev().take_while(|(_, c)| self.now < c.deadline + CHECKED_PERIOD)
        {
            let is_waiting = client_state.outcome.is_none() && !client_state.is_disconnected;
            assert!(
                !is_waiting || self.now <= client_state.deadline,
                "rule 1: client {client} has no final outcome by its deadline"
            );
        }
    }

    pub(super) fn check_send(
        &mut self,
        request: RequestId,
        number: u16,
        backend: BackendId,
        timeout_at: Micros,
        lease: Option<LeaseGrant>,
    ) {
        let client = self.by_request[&request];
        let listed = self.backends.get(&backend).copied();
        let is_ready = listed.is_some_and(|b| b.readiness == Readiness::Ready);
        assert!(is_ready, "rule 3: an attempt was sent to {backend}, which is draining or removed");
        let client_state = self.clients.get_mut(&client).expect("a known client");
        assert!(
            client_state.outcome.is_none() && !client_state.is_disconnected,
            "rule 1: an attempt for client {client} was sent after its final outcome"
        );
        assert!(
            timeout_at <= client_state.deadline && self.now < client_state.deadline,
            "an attempt may exceed its client's deadline"
        );
        assert_eq!(usize::from(number), client_state.attempts.len(), "attempts are numbered from 0");
        assert!(client_state.attempts.len() < 4, "more than four attempts");
        for earlier in client_state.attempts.iter().filter(|a| a.execution != Execution::Never) {
            assert_ne!(earlier.execution, Execution::InFlight, "rule 2: a concurrent attempt");
            match self.classes[usize::from(client_state.class)].idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NonIdempotent => panic!("rule 2: a non-idempotent request was retried"),
                Idempotency::Keyed { ttl, .. } => {
                    assert!(
                        self.now <= earlier.sent_at + ttl,
                        "rule 2: a retry after the expiry of the idempotency key"
                    );
                    assert_eq!(backend / 3, earlier.backend / 3, "rule 2: a retry outside the dedup scope");
                }
            }
        }
        if let Some(grant) = lease {
            assert!(grant.send_by <= self.now + SEND_WINDOW && grant.send_by <= grant.timeout_at);
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
            "revoked a lease that is not active or already revoked"
        );
        attempt.is_revoked = true;
    }

    pub(super) fn check_final_outcome(&mut self, client: u32, outcome: FinalOutcome<u32>) {
        let classes = &self.classes;
        let client_state = self.clients.get_mut(&client).expect("a known client");
        assert!(
            client_state.outcome.is_none() && !client_state.is_disconnected,
            "rule 1: client {client} has two final outcomes"
        );
        assert!(
            self.now <= client_state.deadline,
            "rule 1: client {client} got its final outcome after its deadline"
        );
        if matches!(outcome, FinalOutcome::Rejected { .. }) {
            let may_have_run = client_state.attempts.iter().any(|a| a.execution != Execution::Never);
            let is_idempotent =
                classes[usize::from(client_state.class)].idempotency == Idempotency::Idempotent;
            assert!(
                is_idempotent || !may_have_run,
                "rule 2: a request that may have been executed was rejected"
            );
        }
        client_state.outcome = Some(outcome);
    }
}
