//! Events other than those of leases: requests, clients, proxied attempts, membership, settings, health
//! checks and time.

use super::{DEADLINE_MARGIN, Engine, RESPONSE_MARGIN};
use crate::messages::{
    AdmissionError, AttemptCompletion, Dispatch, FinalOutcome, IncomingRequest, MessageTypes,
};
use crate::open_request::OpenRequest;
use crate::timers::TimerKind;
use balancer::api::{
    BackendId, Event, LearnedState, MembershipUpdate, Micros, Outcome, Request, RequestId, Settings,
    SettingsError,
};

impl<M: MessageTypes> Engine<M> {
    /// Admits a request. Its final outcome is issued as one
    /// [`Command::Respond`](crate::engine::Command::Respond), unless its client disconnects first.
    ///
    /// # Errors
    /// One of the [`EngineLimits`](crate::engine::EngineLimits) is reached: the request is not admitted, and
    /// no command is issued for it.
    pub fn admit(
        &mut self,
        now: Micros,
        incoming: IncomingRequest<M::OutboundRequest>,
        responder: M::Responder,
    ) -> Result<RequestId, AdmissionError<M::Responder>> {
        let now = self.monotonic(now);
        if self.open_requests.len() >= self.limits.requests {
            self.counts.overloaded += 1;
            return Err(AdmissionError::Requests(responder));
        }
        if matches!(incoming.dispatch, Dispatch::Leased) && !self.leases.has_capacity() {
            self.counts.overloaded += 1;
            return Err(AdmissionError::Leases(responder));
        }
        self.counts.admitted += 1;
        let id = self.allocate_request_id();
        let by_shutdown = |deadline: Micros| self.response_deadline.map_or(deadline, |by| deadline.min(by));
        let client_deadline = incoming.arrived_at.saturating_add(incoming.timeout);
        let time_left = by_shutdown(client_deadline).saturating_sub(now);
        let latest_deadline = by_shutdown(client_deadline.saturating_add(incoming.upload_time));
        let max_time_left = latest_deadline.saturating_sub(now);
        let request = Request {
            id,
            class: incoming.class,
            idempotency: incoming.idempotency,
            tenant: incoming.tenant,
            key: incoming.key,
            // The margin takes at most half of the remaining time, so that a short deadline leaves some to
            // the balancer.
            timeout: time_left.saturating_sub(RESPONSE_MARGIN.min(time_left / 2)),
            expected_work: incoming.expected_work,
            is_retry: incoming.is_retry,
            identity: incoming.identity,
            is_proxied: matches!(incoming.dispatch, Dispatch::Proxied(_)),
        };
        let open = OpenRequest {
            dispatch: incoming.dispatch,
            responder: Some(responder),
            max_attempts: self.max_attempts,
            attempts: Vec::new(),
        };
        self.open_requests.insert(id, open);
        let fails_at = now + max_time_left.saturating_sub(DEADLINE_MARGIN.min(max_time_left / 4));
        self.schedule_timer(fails_at, TimerKind::ResponseDeadline(id));
        self.handle_event(now, Event::Request(request));
        Ok(id)
    }

    /// Handles the disconnect of a request's client: no final outcome is issued, and unsent attempts are
    /// cancelled.
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

    /// Starts shutdown: every request, open now or admitted later, gets its final outcome by `deadline`.
    pub fn set_response_deadline(&mut self, now: Micros, deadline: Micros) {
        let now = self.monotonic(now);
        self.response_deadline = Some(deadline);
        let pending = self.open_requests.iter().filter(|(_, open)| open.responder.is_some());
        let mut pending: Vec<RequestId> = pending.map(|(&id, _)| id).collect();
        // The order of the responses must not depend on the iteration order of the hash map.
        pending.sort_unstable();
        let fails_at = deadline.saturating_sub(DEADLINE_MARGIN).max(now);
        for request in pending {
            self.schedule_timer(fails_at, TimerKind::ResponseDeadline(request));
        }
    }

    /// Handles the end of a proxied attempt. If the attempt is not in flight, the event is counted as
    /// unmatched and otherwise ignored.
    pub fn attempt_finished(
        &mut self,
        now: Micros,
        request: RequestId,
        attempt: u16,
        end: AttemptCompletion<M::Response>,
    ) {
        let now = self.monotonic(now);
        if self.is_unfinished_proxied_attempt(request, attempt) {
            self.finish_attempt(now, request, attempt, end);
            self.finish_unsent_attempts(now);
        } else {
            self.counts.unmatched += 1;
        }
    }

    /// Handles a proxied attempt that has become a session: its backend has responded, and the attempt
    /// occupies its concurrency slot until it finishes. Unmatched events are counted as in
    /// [`Engine::attempt_finished`].
    pub fn session_established(
        &mut self,
        now: Micros,
        request: RequestId,
        attempt: u16,
        response: M::Response,
    ) {
        let now = self.monotonic(now);
        if self.is_unfinished_proxied_attempt(request, attempt) {
            self.start_session(now, request, attempt, Some(response));
        } else {
            self.counts.unmatched += 1;
        }
    }

    /// Changes the set of backends. Leases on draining or removed backends are revoked if their attempts may
    /// not have started yet.
    pub fn update_membership(&mut self, now: Micros, update: MembershipUpdate<'_>) {
        let now = self.monotonic(now);
        let unsent_leases = if self.leases.len() == 0 { Vec::new() } else { self.unsent_leases(now, update) };
        self.handle_event(now, Event::Membership(update));
        for serial in unsent_leases {
            self.revoke_lease(serial);
        }
    }

    /// Applies new settings to requests that are admitted from now on; see [`Event::SettingsChanged`].
    ///
    /// # Errors
    /// The first invalid setting; the current settings then remain in force.
    pub fn update_settings(&mut self, now: Micros, settings: &Settings) -> Result<(), SettingsError> {
        settings.validate()?;
        let now = self.monotonic(now);
        self.max_attempts = usize::from(settings.permissions.max_attempts);
        self.handle_event(now, Event::SettingsChanged(settings));
        Ok(())
    }

    /// Restores the learned state of another process's balancer. Returns false, and changes nothing, if its
    /// classes or machine kinds differ from this one's.
    pub fn restore_learned_state(&mut self, now: Micros, state: &LearnedState) -> bool {
        let now = self.monotonic(now);
        self.balancer.restore(now, state)
    }

    /// Handles the result of a health check. `load_report` has the order of the settings and is empty without
    /// a report.
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

    /// Handles all timers that have expired at `now`.
    pub fn advance(&mut self, now: Micros) {
        let now = self.monotonic(now);
        while let Some(kind) = self.timers.pop(now) {
            match kind {
                TimerKind::Balancer(token) => self.handle_event(now, Event::TimerExpired(token)),
                TimerKind::ResponseDeadline(request) => self.expire_response_deadline(now, request),
                TimerKind::LeaseExpiry(serial) => self.expire_lease(now, serial),
            }
        }
    }

    /// Returns the next id that no open request has; ids wrap around.
    fn allocate_request_id(&mut self) -> RequestId {
        loop {
            let id = self.next_request_id;
            self.next_request_id = id.wrapping_add(1);
            if !self.open_requests.contains_key(&id) {
                return id;
            }
        }
    }

    /// Rule 1: a request without a final outcome fails shortly before the client's deadline, whatever the
    /// balancer is waiting for.
    fn expire_response_deadline(&mut self, now: Micros, request: RequestId) {
        if self.responder(request).is_some() {
            self.counts.deadline_failures += 1;
            self.cancel_unsent_attempts(request);
            self.respond(request, FinalOutcome::Failed);
            self.handle_event(now, Event::ClientDisconnected(request));
        }
    }
}
