//! Events that are not about leases: requests, clients, proxied attempts, membership, settings, health checks and time.

use super::{DEADLINE_MARGIN, Engine, RESPONSE_MARGIN};
use crate::messages::{AttemptEnd, Dispatch, FinalOutcome, IncomingRequest, MessageTypes, Overload};
use crate::open_request::OpenRequest;
use crate::timers::TimerKind;
use balancer::api::{
    BackendId, Event, LearnedState, MembershipUpdate, Micros, Outcome, Request, RequestId, Settings,
    SettingsError,
};

impl<X: MessageTypes> Engine<X> {
    /// Admits a request. Its final answer comes as one [`Command::Respond`](crate::engine::Command::Respond), unless
    /// its client disconnects first.
    ///
    /// # Errors
    /// At one of [`EngineLimits`](crate::engine::EngineLimits): the request was not admitted and gets no command.
    pub fn admit(
        &mut self,
        now: Micros,
        incoming: IncomingRequest<X::OutboundRequest>,
        responder: X::Responder,
    ) -> Result<RequestId, Overload<X::Responder>> {
        let now = self.monotonic(now);
        if self.open_requests.len() >= self.limits.requests {
            self.counts.overloaded += 1;
            return Err(Overload::Requests(responder));
        }
        if matches!(incoming.dispatch, Dispatch::Leased) && !self.leases.has_capacity() {
            self.counts.overloaded += 1;
            return Err(Overload::Leases(responder));
        }
        self.counts.admitted += 1;
        let id = self.allocate_request_id();
        let client_deadline = incoming.arrived_at.saturating_add(incoming.timeout);
        let deadline = self.response_deadline.map_or(client_deadline, |by| client_deadline.min(by));
        let time_left = deadline.saturating_sub(now);
        let request = Request {
            id,
            class: incoming.class,
            tenant: incoming.tenant,
            key: incoming.key,
            // A client with less time than the margin keeps half of what it has.
            timeout: time_left.saturating_sub(RESPONSE_MARGIN.min(time_left / 2)),
            expected_work: incoming.expected_work,
            is_retry: incoming.is_retry,
            is_proxied: matches!(incoming.dispatch, Dispatch::Proxied(_)),
        };
        let open = OpenRequest {
            dispatch: incoming.dispatch,
            responder: Some(responder),
            max_attempts: self.max_attempts,
            attempts: Vec::new(),
        };
        self.open_requests.insert(id, open);
        let fails_at = now + time_left.saturating_sub(DEADLINE_MARGIN.min(time_left / 4));
        self.schedule_timer(fails_at, TimerKind::ResponseDeadline(id));
        self.handle_event(now, Event::Request(request));
        Ok(id)
    }

    /// The client of a request has disconnected: it gets no answer, and its unsent attempts are cancelled.
    pub fn client_disconnected(&mut self, now: Micros, request: RequestId) {
        let now = self.monotonic(now);
        if let Some(open) = self.open_requests.get_mut(&request)
            && open.responder.take().is_some()
        {
            self.counts.client_disconnected += 1;
            self.cancel_unsent_attempts(request);
            self.handle_event(now, Event::ClientDisconnected(request));
            self.remove_if_finished(request);
        }
    }

    /// The process ends: every request, open now or admitted later, gets its final answer by `deadline`.
    pub fn set_response_deadline(&mut self, now: Micros, deadline: Micros) {
        let now = self.monotonic(now);
        self.response_deadline = Some(deadline);
        let unanswered = self.open_requests.iter().filter(|(_, open)| open.responder.is_some());
        let mut unanswered: Vec<RequestId> = unanswered.map(|(&id, _)| id).collect();
        // The order of the answers must not depend on the hash map's.
        unanswered.sort_unstable();
        let fails_at = deadline.saturating_sub(DEADLINE_MARGIN).max(now);
        for request in unanswered {
            self.schedule_timer(fails_at, TimerKind::ResponseDeadline(request));
        }
    }

    /// A proxied attempt has finished. One that is not in flight changes nothing and is counted as unmatched.
    pub fn attempt_finished(
        &mut self,
        now: Micros,
        request: RequestId,
        attempt: u16,
        end: AttemptEnd<X::Response>,
    ) {
        let now = self.monotonic(now);
        if self.is_proxied_attempt(request, attempt) {
            self.finish_attempt(now, request, attempt, end);
            self.finish_unsent_attempts(now);
        } else {
            self.counts.unmatched += 1;
        }
    }

    /// A proxied attempt has become a session: its backend has answered, and it occupies its slot until it finishes.
    pub fn session_established(
        &mut self,
        now: Micros,
        request: RequestId,
        attempt: u16,
        response: X::Response,
    ) {
        let now = self.monotonic(now);
        if self.is_proxied_attempt(request, attempt) {
            self.start_session(now, request, attempt, Some(response));
        } else {
            self.counts.unmatched += 1;
        }
    }

    /// Changes the set of backends. Leases on draining or removed backends are revoked while they may be unsent.
    pub fn update_membership(&mut self, now: Micros, update: MembershipUpdate<'_>) {
        let now = self.monotonic(now);
        let unsent_leases = if self.leases.len() == 0 { Vec::new() } else { self.unsent_leases(now, update) };
        self.handle_event(now, Event::Membership(update));
        for serial in unsent_leases {
            self.revoke_lease(serial);
        }
    }

    /// Applies other settings to requests that arrive from now on; see [`Event::SettingsChanged`].
    ///
    /// # Errors
    /// The first invalid setting; then nothing has changed.
    pub fn update_settings(&mut self, now: Micros, settings: &Settings) -> Result<(), SettingsError> {
        settings.validate()?;
        let now = self.monotonic(now);
        self.max_attempts = usize::from(settings.permissions.max_attempts);
        self.handle_event(now, Event::SettingsChanged(settings));
        Ok(())
    }

    /// Restores what another process's balancer has learned. Returns whether it fits this one.
    pub fn restore(&mut self, now: Micros, state: &LearnedState) -> bool {
        let now = self.monotonic(now);
        self.balancer.restore(now, state)
    }

    /// A health check has finished; `load_report` is in the order of the settings, empty without one.
    pub fn health_check_finished(
        &mut self,
        now: Micros,
        backend: BackendId,
        outcome: Outcome,
        load_report: &[f32],
    ) {
        let now = self.monotonic(now);
        self.handle_event(now, Event::HealthCheckFinished { backend, outcome, load_report });
    }

    /// Handles all timers that have expired.
    pub fn advance(&mut self, now: Micros) {
        let now = self.monotonic(now);
        while let Some(kind) = self.timers.pop(now) {
            match kind {
                TimerKind::Decision(token) => self.handle_event(now, Event::TimerExpired(token)),
                TimerKind::ResponseDeadline(request) => self.expire_response_deadline(now, request),
                TimerKind::LeaseExpiry(serial) => self.expire_lease(now, serial),
            }
        }
    }

    /// An id that no open request has.
    fn allocate_request_id(&mut self) -> RequestId {
        loop {
            let id = self.next_request_id;
            self.next_request_id = id.wrapping_add(1);
            if !self.open_requests.contains_key(&id) {
                return id;
            }
        }
    }

    /// Rule 1: whatever the balancer is waiting for, the client gets an answer before its deadline.
    fn expire_response_deadline(&mut self, now: Micros, request: RequestId) {
        if self.responder(request).is_some() {
            self.counts.deadline_failures += 1;
            self.cancel_unsent_attempts(request);
            self.respond(request, FinalOutcome::Failed);
            self.handle_event(now, Event::ClientDisconnected(request));
        }
    }
}
