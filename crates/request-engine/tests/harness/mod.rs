//! Test harness: the engine with a manual clock, a simulated transport and simulated lease holders. It checks
//! rules 1 to 3 of the engine on its commands after every step, independent of the engine's own counters.
#![allow(dead_code, reason = "each test file uses a part of it")]

mod rules;
pub mod settings;

pub use settings::{MS, SECOND, settings};

use balancer::api::*;
use request_engine::engine::*;
use request_engine::lease::LeaseError;
use std::collections::BTreeMap;

/// Clients are checked in the reverse order of submission, up to the first whose deadline is longer ago than
/// this. Timeouts are two seconds at most, so that the deadlines of all earlier clients have passed and were
/// checked.
const CHECKED_PERIOD: Micros = 3 * SECOND;

/// Message types in which responders and responses are client numbers.
#[derive(Debug, PartialEq)]
pub struct ClientNumbers;

impl MessageTypes for ClientNumbers {
    type OutboundRequest = ();
    type Responder = u32;
    type Response = u32;
}

pub fn backend(id: BackendId) -> Backend {
    let cell = (id / 3) as u16;
    Backend { id, zone: 0, machine_kind: 0, cell, readiness: Readiness::Ready, started_at: None }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    InFlight,
    Never,
    Possible,
}

#[derive(Clone, Debug)]
pub struct Attempt {
    pub request: RequestId,
    pub number: u16,
    pub backend: BackendId,
    pub sent_at: Micros,
    pub execution: Execution,
    pub is_session: bool,
    pub lease: Option<LeaseGrant>,
    pub is_revoked: bool,
}

#[derive(Debug)]
pub struct Client {
    pub class: u8,
    pub deadline: Micros,
    pub outcome: Option<FinalOutcome<u32>>,
    pub is_disconnected: bool,
    pub attempts: Vec<Attempt>,
}

/// The number of a client and the number of one of its attempts.
pub type AttemptKey = (u32, u16);

pub struct Harness {
    pub now: Micros,
    pub engine: Engine<ClientNumbers>,
    pub backends: BTreeMap<BackendId, Backend>,
    pub clients: BTreeMap<u32, Client>,
    by_request: BTreeMap<RequestId, u32>,
    classes: Vec<Class>,
    next_client: u32,
}

impl Harness {
    pub fn new(
        settings: Settings,
        limits: EngineLimits,
        backends: impl IntoIterator<Item = BackendId>,
    ) -> Self {
        Self::with_incarnation(settings, limits, backends, 0xfeed)
    }

    pub fn with_incarnation(
        settings: Settings,
        limits: EngineLimits,
        backends: impl IntoIterator<Item = BackendId>,
        incarnation: u64,
    ) -> Self {
        let classes = settings.classes.clone();
        let engine = Engine::new(settings, limits, 7, incarnation, SECOND).expect("valid settings");
        let mut harness = Self {
            now: SECOND,
            engine,
            backends: BTreeMap::new(),
            clients: BTreeMap::new(),
            by_request: BTreeMap::new(),
            classes,
            next_client: 0,
        };
        let backends: Vec<Backend> = backends.into_iter().map(backend).collect();
        harness.snapshot(&backends);
        harness
    }

    pub fn large_limits() -> EngineLimits {
        EngineLimits { requests: 100_000, leases: 100_000 }
    }

    pub fn snapshot(&mut self, list: &[Backend]) {
        self.backends = list.iter().map(|b| (b.id, *b)).collect();
        self.engine.update_membership(self.now, MembershipUpdate::Snapshot(list));
        self.execute_commands();
    }

    pub fn delta(&mut self, entry: Backend) {
        if entry.readiness == Readiness::Removed {
            self.backends.remove(&entry.id);
        } else {
            self.backends.insert(entry.id, entry);
        }
        self.engine.update_membership(self.now, MembershipUpdate::Delta(&[entry]));
        self.execute_commands();
    }

    /// Submits a request; returns its client's number, or `None` where the engine rejects it.
    pub fn submit(&mut self, class: u8, dispatch: Dispatch<()>) -> Option<u32> {
        self.submit_with_timeout(class, dispatch, 2 * SECOND)
    }

    pub fn submit_with_timeout(&mut self, class: u8, dispatch: Dispatch<()>, timeout: Micros) -> Option<u32> {
        let client = self.next_client;
        self.next_client += 1;
        let incoming = IncomingRequest {
            class,
            idempotency: None,
            tenant: 0,
            key: None,
            arrived_at: self.now,
            timeout,
            expected_work: None,
            is_retry: false,
            upload_time: 0,
            identity: None,
            dispatch,
        };
        let deadline = self.now + timeout;
        let client_state =
            Client { class, deadline, outcome: None, is_disconnected: false, attempts: Vec::new() };
        self.clients.insert(client, client_state);
        match self.engine.admit(self.now, incoming, client) {
            Ok(request) => {
                self.by_request.insert(request, client);
                self.execute_commands();
                Some(client)
            }
            Err(AdmissionError::Requests(responder) | AdmissionError::Leases(responder)) => {
                assert_eq!(responder, client, "the responder is returned");
                self.clients.remove(&client);
                self.execute_commands();
                None
            }
        }
    }

    pub fn submit_leased(&mut self, class: u8) -> (u32, Option<LeaseGrant>) {
        let client = self.submit(class, Dispatch::Leased).expect("admitted");
        (client, self.active_lease(client))
    }

    /// The lease of a client's latest attempt in flight.
    pub fn active_lease(&self, client: u32) -> Option<LeaseGrant> {
        self.clients[&client]
            .attempts
            .iter()
            .rev()
            .find(|a| a.execution == Execution::InFlight)
            .and_then(|a| a.lease)
    }

    /// The attempts in flight, in the order of clients.
    pub fn in_flight(&self) -> Vec<AttemptKey> {
        let attempts_of = |(&client, client_state): (&u32, &Client)| {
            let in_flight = client_state.attempts.iter().filter(|a| a.execution == Execution::InFlight);
            in_flight.map(|a| (client, a.number)).collect::<Vec<_>>()
        };
        self.clients.iter().flat_map(attempts_of).collect()
    }

    pub fn has_attempt_in_flight(&self, client: u32) -> bool {
        self.clients[&client].attempts.iter().any(|a| a.execution == Execution::InFlight)
    }

    pub fn attempt(&self, (client, number): AttemptKey) -> &Attempt {
        &self.clients[&client].attempts[usize::from(number)]
    }

    /// Finishes an attempt in flight in place of its transport or the holder of its lease.
    pub fn finish_attempt(&mut self, key: AttemptKey, outcome: Outcome) -> Result<(), LeaseError> {
        let attempt = self.attempt(key).clone();
        let response = (outcome == Outcome::Ok && attempt.lease.is_none()).then_some(key.0);
        let end = AttemptCompletion { outcome, response, load_report: Vec::new(), client_wait: 0 };
        // The engine receives the result first; the execution is updated before the commands are checked.
        let accepted = match attempt.lease {
            None => {
                self.engine.attempt_finished(self.now, attempt.request, attempt.number, end);
                Ok(())
            }
            Some(grant) => self.engine.report_result(self.now, grant.lease, end),
        };
        if accepted.is_ok() {
            self.set_execution(
                key,
                if outcome.never_executed() { Execution::Never } else { Execution::Possible },
            );
        }
        self.execute_commands();
        accepted
    }

    pub fn establish(&mut self, key: AttemptKey) -> Result<(), LeaseError> {
        let attempt = self.attempt(key).clone();
        let result = match attempt.lease {
            None => {
                self.engine.session_established(self.now, attempt.request, attempt.number, key.0);
                Ok(())
            }
            Some(grant) => self.engine.establish_session(self.now, grant.lease).map(|_| ()),
        };
        if result.is_ok() {
            self.attempt_mut(key).is_session = true;
        }
        self.execute_commands();
        result
    }

    fn attempt_mut(&mut self, (client, number): AttemptKey) -> &mut Attempt {
        let client_state = self.clients.get_mut(&client).expect("a known client");
        &mut client_state.attempts[usize::from(number)]
    }

    fn set_execution(&mut self, key: AttemptKey, execution: Execution) {
        self.attempt_mut(key).execution = execution;
    }

    pub fn disconnect(&mut self, client: u32) {
        let client_state = self.clients.get_mut(&client).expect("a known client");
        client_state.is_disconnected |= client_state.outcome.is_none();
        let request =
            self.by_request.iter().find(|(_, c)| **c == client).map(|(r, _)| *r).expect("its request");
        self.engine.client_disconnected(self.now, request);
        self.execute_commands();
    }

    /// Advances the clock by `duration`, from one timer to the next.
    pub fn advance_time(&mut self, duration: Micros) {
        let end = self.now + duration;
        while let Some(at) = self.engine.next_timer().filter(|&at| at <= end) {
            self.now = self.now.max(at);
            self.expire_leases();
            self.engine.advance(self.now);
            self.execute_commands();
            self.check_deadlines();
        }
        self.now = end;
        self.check_deadlines();
    }

    /// Marks the attempts of leases that expire without a report as possibly executed.
    fn expire_leases(&mut self) {
        let now = self.now;
        let recent = self.clients.values_mut().rev().take_while(|c| now < c.deadline + CHECKED_PERIOD);
        for attempt in recent.flat_map(|c| &mut c.attempts) {
            let has_expired = |g: LeaseGrant| now >= g.timeout_at + REPORT_GRACE;
            if attempt.execution == Execution::InFlight
                && !attempt.is_session
                && attempt.lease.is_some_and(has_expired)
            {
                attempt.execution = Execution::Possible;
            }
        }
    }

    fn execute_commands(&mut self) {
        while let Some(command) = self.engine.next_command() {
            match command {
                Command::StartAttempt { request, attempt, backend, schedule, .. } => {
                    assert!(
                        schedule.start_by > self.now,
                        "an attempt was started after its latest start time"
                    );
                    self.check_send(request, attempt, backend, schedule.timeout_at, None);
                }
                Command::GrantLease(grant) => {
                    self.check_send(
                        grant.request,
                        grant.attempt,
                        grant.backend,
                        grant.timeout_at,
                        Some(grant),
                    );
                }
                Command::RevokeLease { request, lease } => self.check_revoke(request, lease),
                Command::Respond { responder: client, outcome, .. } => {
                    self.check_final_outcome(client, outcome);
                }
                Command::CancelAttempt { .. }
                | Command::CancelUnsentAttempt { .. }
                | Command::Subscribe
                | Command::CheckHealth(_)
                | Command::CloseIdleConnections(_)
                | Command::Log(_) => {}
            }
        }
    }

    /// Finishes all attempts, advances the clock, and checks that no request or lease is left open.
    pub fn finish(&mut self) {
        self.advance_time(4 * SECOND);
        while let Some(&key) = self.in_flight().iter().find(|w| self.attempt(**w).lease.is_none()) {
            let _ = self.finish_attempt(key, Outcome::Reset);
        }
        self.advance_time(SESSION_LEASE_DURATION + 4 * SECOND);
        self.check_deadlines();
        assert_eq!(
            (self.engine.open_request_count(), self.engine.active_lease_count()),
            (0, 0),
            "open requests and active leases"
        );
        let (counts, leases) = (self.engine.counts(), self.engine.lease_counts());
        assert_eq!(
            counts.admitted,
            counts.served + counts.rejected + counts.failed + counts.client_disconnected
        );
        assert_eq!(leases.granted, leases.reported + leases.expired);
    }
}
