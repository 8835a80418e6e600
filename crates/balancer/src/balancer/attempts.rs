//! Attempts: start, change to a session, and end.

use super::Balancer;
use crate::api::{Action, AttemptResult, Micros, RequestId};
use crate::state::{Attempt, AttemptState};

/// The limit of a backend counts as used if at least this fraction of its slots is in flight.
const USED_LIMIT_NUMERATOR: i64 = 3;
const USED_LIMIT_DENOMINATOR: i64 = 4;

impl Balancer {
    /// Starts an attempt; no other function does. `select` has checked that the backend may get it.
    pub(super) fn send(&mut self, now: Micros, slot: usize, backend_slot: usize, out: &mut Vec<Action>) {
        self.requests.dequeue(slot);
        let is_proxied = self.requests.open[slot].is_proxied;
        let connection_idle_time = if is_proxied { self.reuse_connection(now, backend_slot, out) } else { 0 };
        self.spend_warm_up_token(now, backend_slot);
        self.count_attempt(now, backend_slot);
        let request = &self.requests.open[slot];
        let timeout = self.attempt_timeout(now, request);
        let start_by = self.start_by(request);
        let backend = &mut self.fleet.backends[backend_slot];
        backend.references += 1;
        let request = &mut self.requests.open[slot];
        request.attempts.push(Attempt {
            backend_slot,
            zone: backend.zone,
            cell: backend.cell,
            sent_at: now,
            connection_idle_time,
            timeout_means_loss: timeout.means_loss,
            state: AttemptState::InFlight,
        });
        let (request, backend) = (request.id, backend.id);
        out.push(Action::Send { request, backend, start_by, give_up_at: timeout.give_up_at });
    }

    fn count_attempt(&mut self, now: Micros, backend_slot: usize) {
        let backend = &mut self.fleet.backends[backend_slot];
        if backend.in_flight == 0 {
            backend.unresponsive_since = now;
        }
        backend.health.trial_in_flight = backend.health.is_ejected();
        backend.unused_since = Micros::MAX;
        backend.in_flight += 1;
        self.requests.in_flight += 1;
        backend.window.limit_was_used |= i64::from(backend.in_flight) * USED_LIMIT_DENOMINATOR
            >= backend.slots(self.slot_budget.spread) * USED_LIMIT_NUMERATOR;
    }

    pub(super) fn on_attempt_finished(
        &mut self,
        now: Micros,
        result: &AttemptResult<'_>,
        out: &mut Vec<Action>,
    ) {
        let Some(slot) = self.requests.open.find(result.request) else { return };
        let request = &mut self.requests.open[slot];
        let Some(attempt) = request.attempts.get_mut(usize::from(result.attempt)) else { return };
        if !attempt.is_unfinished() {
            return;
        }
        let was_session = attempt.state == AttemptState::Session;
        let never_executed = result.outcome.never_executed() && !was_session;
        attempt.state =
            if never_executed { AttemptState::NeverExecuted } else { AttemptState::MayHaveExecuted };
        let (attempt, class) = (*attempt, request.class);
        if result.is_answered {
            self.traffic.rejections.record_response();
        }
        if was_session {
            self.fleet.backends[attempt.backend_slot].sessions -= 1;
            self.requests.sessions -= 1;
        } else {
            self.record_outcome(now, class, attempt, result, out);
        }
        if result.is_answered || self.requests.open[slot].is_answered {
            self.close(slot);
        } else {
            self.retry(now, slot, result.outcome, out);
        }
        self.serve_queue(now, out);
    }

    /// Changes an attempt to a session. It still occupies a slot, but has no latency and no pending response.
    pub(super) fn on_session_established(
        &mut self,
        now: Micros,
        request: RequestId,
        attempt: u16,
        out: &mut Vec<Action>,
    ) {
        let Some(slot) = self.requests.open.find(request) else { return };
        let attempt = self.requests.open[slot].attempts.get_mut(usize::from(attempt));
        let Some(attempt) = attempt.filter(|attempt| attempt.state == AttemptState::InFlight) else { return };
        attempt.state = AttemptState::Session;
        let backend_slot = attempt.backend_slot;
        let backend = &mut self.fleet.backends[backend_slot];
        backend.in_flight = backend.in_flight.saturating_sub(1);
        backend.sessions += 1;
        backend.unresponsive_since = now;
        self.requests.in_flight = self.requests.in_flight.saturating_sub(1);
        self.requests.sessions += 1;
        self.update_ejection(now, backend_slot, false, out);
        self.close(slot);
        self.serve_queue(now, out);
    }
}
