//! Attempts: start, change to a session, and end.

use super::Balancer;
use super::retries::start_by;
use crate::api::{Action, AttemptResult, Micros, RequestId};
use crate::state::{Attempt, AttemptState};

/// Numerator of the fraction of a backend's slots that must be in flight for its limit to count as used.
const USED_LIMIT_NUMERATOR: i64 = 3;
/// Denominator of the fraction of a backend's slots that must be in flight for its limit to count as used.
const USED_LIMIT_DENOMINATOR: i64 = 4;

impl Balancer {
    /// Starts an attempt; no other function does. `select` has checked that the backend may get it.
    pub(super) fn send(
        &mut self,
        now: Micros,
        request_index: usize,
        backend_index: usize,
        out: &mut Vec<Action>,
    ) {
        self.requests.dequeue(request_index);
        let is_proxied = self.requests.open[request_index].is_proxied;
        let connection_idle_time =
            if is_proxied { self.reuse_connection(now, backend_index, out) } else { 0 };
        self.spend_warm_up_token(now, backend_index);
        self.count_attempt(now, backend_index);
        let request = &self.requests.open[request_index];
        let timeout = self.attempt_timeout(now, request);
        let start_by = start_by(request);
        let backend = &mut self.fleet.backends[backend_index];
        backend.references += 1;
        let request = &mut self.requests.open[request_index];
        request.attempts.push(Attempt {
            backend_index,
            zone: backend.zone,
            cell: backend.cell,
            sent_at: now,
            connection_idle_time,
            timeout_means_loss: timeout.means_loss,
            state: AttemptState::InFlight,
        });
        let (request, backend) = (request.id, backend.id);
        self.remember_execution(now, request_index);
        out.push(Action::Send { request, backend, start_by, timeout_at: timeout.timeout_at });
    }

    /// Remembers the first execution of a request by its id and key, unless an earlier one is remembered.
    fn remember_execution(&mut self, now: Micros, request_index: usize) {
        let request = &self.requests.open[request_index];
        let (Some(identity), None) = (request.identity, request.earlier_execution) else { return };
        let Some(execution) = request.first_effective_attempt() else { return };
        self.executions.record(now, identity, request.id, execution);
    }

    /// Updates what is remembered of a request after one of its attempts has finished.
    fn update_execution(&mut self, now: Micros, request_index: usize) {
        let request = &self.requests.open[request_index];
        let (Some(identity), None) = (request.identity, request.earlier_execution) else { return };
        let (id, is_unfinished) = (request.id, request.unfinished_attempts() > 0);
        match request.first_effective_attempt() {
            None => self.executions.forget(identity, id),
            Some(_) if is_unfinished => self.remember_execution(now, request_index),
            Some(_) => self.executions.mark_finished(identity, id),
        }
    }

    fn count_attempt(&mut self, now: Micros, backend_index: usize) {
        let backend = &mut self.fleet.backends[backend_index];
        if backend.in_flight == 0 {
            backend.unresponsive_since = now;
        }
        backend.health.trial_in_flight = backend.health.is_ejected();
        backend.unused_since = Micros::MAX;
        backend.in_flight += 1;
        self.requests.in_flight += 1;
        backend.window.limit_was_used |= i64::from(backend.in_flight) * USED_LIMIT_DENOMINATOR
            >= backend.slots(self.slot_budget.limit_factor) * USED_LIMIT_NUMERATOR;
    }

    pub(super) fn on_attempt_finished(
        &mut self,
        now: Micros,
        result: &AttemptResult<'_>,
        out: &mut Vec<Action>,
    ) {
        let Some(request_index) = self.requests.open.find(result.request) else { return };
        let request = &mut self.requests.open[request_index];
        let Some(attempt) = request.attempts.get_mut(usize::from(result.attempt)) else { return };
        if !attempt.is_unfinished() {
            return;
        }
        let was_session = attempt.state == AttemptState::Session;
        let never_executed = result.outcome.never_executed() && !was_session;
        attempt.state =
            if never_executed { AttemptState::NeverExecuted } else { AttemptState::MayHaveExecuted };
        let (attempt, class) = (*attempt, request.class);
        self.update_execution(now, request_index);
        if result.has_final_response {
            self.traffic.rejections.record_response();
        }
        if was_session {
            self.fleet.backends[attempt.backend_index].sessions -= 1;
            self.requests.sessions -= 1;
        } else {
            self.record_outcome(now, class, attempt, result, out);
        }
        if result.has_final_response || self.requests.open[request_index].is_answered {
            self.close(request_index);
        } else {
            self.retry(now, request_index, result.outcome, out);
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
        let Some(request_index) = self.requests.open.find(request) else { return };
        let attempt = self.requests.open[request_index].attempts.get_mut(usize::from(attempt));
        let Some(attempt) = attempt.filter(|attempt| attempt.state == AttemptState::InFlight) else { return };
        attempt.state = AttemptState::Session;
        let backend_index = attempt.backend_index;
        let backend = &mut self.fleet.backends[backend_index];
        backend.in_flight = backend.in_flight.saturating_sub(1);
        backend.sessions += 1;
        backend.unresponsive_since = now;
        self.requests.in_flight = self.requests.in_flight.saturating_sub(1);
        self.requests.sessions += 1;
        self.update_ejection(now, backend_index, false, out);
        self.close(request_index);
        self.serve_queue(now, out);
    }
}
