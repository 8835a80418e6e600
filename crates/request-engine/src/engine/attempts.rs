//! The lifecycle of attempts: the balancer's actions start and cancel them, results finish them.

use super::{Engine, REPORT_GRACE, SEND_WINDOW};
use crate::lease::{Lease, LeaseStage};
use crate::messages::{
    AttemptCompletion, AttemptSchedule, Command, Dispatch, FinalOutcome, LeaseGrant, MessageTypes,
};
use crate::open_request::{Attempt, AttemptState, OpenRequest, PROXIED, UnsentAttempt};
use crate::timers::TimerKind;
use balancer::api::{Action, AttemptResult, BackendId, Event, Micros, Outcome, RequestId};

impl<M: MessageTypes> Engine<M> {
    /// Passes an event to the balancer and applies the resulting actions, including those that follow from
    /// attempts that could not be sent.
    pub(super) fn handle_event(&mut self, now: Micros, event: Event<'_>) {
        self.balancer.handle(now, event, &mut self.actions);
        self.apply_actions(now);
        self.finish_unsent_attempts(now);
    }

    /// Finishes the attempts that the engine did not send, with [`Outcome::NotSent`].
    pub(super) fn finish_unsent_attempts(&mut self, now: Micros) {
        while let Some(UnsentAttempt { request, attempt }) = self.unsent_attempts.pop_front() {
            self.finish_attempt(now, request, attempt, Outcome::NotSent.into());
        }
    }

    pub(super) fn is_unfinished_proxied_attempt(&self, request: RequestId, attempt: u16) -> bool {
        let open = self.open_requests.get(&request);
        let attempt = open.and_then(|open| open.attempts.get(usize::from(attempt)));
        attempt.is_some_and(|attempt| attempt.is_proxied() && attempt.state != AttemptState::Finished)
    }

    /// Records the result of an attempt and passes it to the balancer. No other function finishes an attempt.
    pub(super) fn finish_attempt(
        &mut self,
        now: Micros,
        request: RequestId,
        number: u16,
        end: AttemptCompletion<M::Response>,
    ) {
        let Some(open) = self.open_requests.get_mut(&request) else { return };
        let Some(attempt) = open.attempts.get_mut(usize::from(number)) else { return };
        let previous = std::mem::replace(&mut attempt.state, AttemptState::Finished);
        assert!(previous != AttemptState::Finished, "attempt {number} of request {request} finished twice");
        let backend = attempt.backend;
        let elapsed = now.saturating_sub(attempt.sent_at).saturating_sub(end.client_wait);
        // The first success goes to the client without involving the balancer.
        if end.outcome == Outcome::Ok {
            self.respond(request, FinalOutcome::Served(end.response));
        }
        self.counts.outcomes[end.outcome as usize] += 1;
        let result = AttemptResult {
            request,
            backend,
            attempt: number,
            outcome: end.outcome,
            has_final_response: self.responder(request).is_none(),
            elapsed,
            load_report: end.load_report.as_slice(),
        };
        self.balancer.handle(now, Event::AttemptFinished(result), &mut self.actions);
        self.apply_actions(now);
        self.remove_if_finished(request);
    }

    pub(super) fn start_session(
        &mut self,
        now: Micros,
        request: RequestId,
        number: u16,
        response: Option<M::Response>,
    ) {
        let open = self.open_requests.get_mut(&request);
        let attempt = open.and_then(|open| open.attempts.get_mut(usize::from(number)));
        let Some(attempt) = attempt else { return };
        if attempt.state != AttemptState::InFlight {
            self.counts.unmatched += 1;
            return;
        }
        attempt.state = AttemptState::Session;
        self.respond(request, FinalOutcome::Served(response));
        self.handle_event(now, Event::SessionEstablished { request, attempt: number });
    }

    /// Removes a request that has its final outcome, or no client any more, and whose attempts have all
    /// finished.
    pub(super) fn remove_if_finished(&mut self, request: RequestId) {
        if self.open_requests.get(&request).is_some_and(OpenRequest::is_finished) {
            self.open_requests.remove(&request);
        }
    }

    fn apply_actions(&mut self, now: Micros) {
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            match action {
                Action::Send { request, backend, start_by, timeout_at } => {
                    self.start_attempt(now, request, backend, AttemptSchedule { start_by, timeout_at });
                }
                Action::Reject { request, retry_after } => {
                    self.respond(request, FinalOutcome::Rejected { retry_after });
                }
                Action::Fail { request } => self.respond(request, FinalOutcome::Failed),
                Action::Cancel { request, attempt } => self.cancel_attempt(request, attempt),
                Action::SetTimer { delay, token } => {
                    self.schedule_timer(now.saturating_add(delay), TimerKind::Balancer(token));
                }
                Action::Subscribe => self.commands.push_back(Command::Subscribe),
                Action::CheckHealth(backend) => self.commands.push_back(Command::CheckHealth(backend)),
                Action::CloseIdleConnections(backend) => {
                    self.commands.push_back(Command::CloseIdleConnections(backend));
                }
                Action::Log(line) => self.commands.push_back(Command::Log(line)),
            }
        }
        self.actions = actions;
    }

    /// Issues the final outcome of a request, unless it already has one or its client has disconnected. No
    /// other function issues one.
    pub(super) fn respond(&mut self, request: RequestId, outcome: FinalOutcome<M::Response>) {
        let open = self.open_requests.get_mut(&request);
        let Some(responder) = open.and_then(|open| open.responder.take()) else { return };
        let count = match outcome {
            FinalOutcome::Served(_) => &mut self.counts.served,
            FinalOutcome::Rejected { .. } => &mut self.counts.rejected,
            FinalOutcome::Failed => &mut self.counts.failed,
        };
        *count += 1;
        self.commands.push_back(Command::Respond { request, responder, outcome });
        self.remove_if_finished(request);
    }

    fn start_attempt(
        &mut self,
        now: Micros,
        request: RequestId,
        backend: BackendId,
        schedule: AttemptSchedule,
    ) {
        let Some(open) = self.open_requests.get_mut(&request) else { return };
        let attempt = open.attempts.len() as u16;
        let may_start =
            open.responder.is_some() && open.attempts.len() < open.max_attempts && schedule.timeout_at > now;
        let state = AttemptState::InFlight;
        open.attempts.push(Attempt { backend, sent_at: now, state, lease_serial: PROXIED });
        self.counts.attempts += 1;
        match &open.dispatch {
            _ if !may_start => self.unsent_attempts.push_back(UnsentAttempt { request, attempt }),
            Dispatch::Proxied(outbound_request) => {
                let (outbound_request, is_single_use) =
                    (outbound_request.clone(), M::is_single_use(outbound_request));
                self.commands.push_back(Command::StartAttempt {
                    request,
                    attempt,
                    backend,
                    schedule,
                    outbound_request,
                });
                if is_single_use {
                    // A request whose body is not completely retained can't be retried, whatever the outcome.
                    // The balancer does not retry a request whose response has started.
                    let event = Event::ResponseStarted { request, attempt };
                    self.balancer.handle(now, event, &mut self.actions);
                }
            }
            Dispatch::Leased => self.grant_lease(now, request, attempt, backend, schedule),
        }
    }

    fn grant_lease(
        &mut self,
        now: Micros,
        request: RequestId,
        attempt: u16,
        backend: BackendId,
        schedule: AttemptSchedule,
    ) {
        let AttemptSchedule { start_by, timeout_at } = schedule;
        let send_by = timeout_at.min(start_by).min(now.saturating_add(SEND_WINDOW));
        let expires_at = timeout_at.saturating_add(REPORT_GRACE);
        let stage = LeaseStage::Granted;
        let lease = Lease { request, attempt, backend, send_by, expires_at, stage, is_revoked: false };
        let Some(id) = self.leases.grant(lease) else {
            self.unsent_attempts.push_back(UnsentAttempt { request, attempt });
            return;
        };
        let open = self.open_requests.get_mut(&request);
        if let Some(granted) = open.and_then(|open| open.attempts.get_mut(usize::from(attempt))) {
            granted.lease_serial = id.serial;
        }
        self.schedule_timer(expires_at, TimerKind::LeaseExpiry(id.serial));
        let grant = LeaseGrant { lease: id, request, attempt, backend, send_by, timeout_at };
        self.commands.push_back(Command::GrantLease(grant));
    }

    /// Cancels the proxied attempts of a request that have not sent any bytes. Whether those that have are
    /// cancelled depends on the settings and the balancer. An unused lease expires by itself.
    pub(super) fn cancel_unsent_attempts(&mut self, request: RequestId) {
        let Some(open) = self.open_requests.get(&request) else { return };
        let in_flight = open
            .attempts
            .iter()
            .enumerate()
            .filter(|(_, attempt)| attempt.state == AttemptState::InFlight && attempt.is_proxied());
        let cancellations =
            in_flight.map(|(number, _)| Command::CancelUnsentAttempt { request, attempt: number as u16 });
        self.commands.extend(cancellations);
    }

    fn cancel_attempt(&mut self, request: RequestId, number: u16) {
        let open = self.open_requests.get(&request);
        let attempt = open.and_then(|open| open.attempts.get(usize::from(number)));
        let Some(attempt) = attempt else { return };
        match (attempt.state, attempt.lease_serial) {
            (AttemptState::Finished, _) => {}
            (_, PROXIED) => self.commands.push_back(Command::CancelAttempt { request, attempt: number }),
            (_, serial) => self.revoke_lease(serial),
        }
    }
}
