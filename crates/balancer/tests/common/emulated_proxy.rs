//! An emulated proxy around one balancer: runs its timers and attempts, and checks the four rules
//! independently.

use super::fixtures::{MS, SECOND};
use balancer::api::*;
use balancer::balancer::Balancer;
use std::collections::BTreeMap;

/// How long after its deadline a request may get its final response.
const DEADLINE_TOLERANCE: Micros = 20 * MS;
/// Step of the emulated clock.
const TICK: Micros = 5 * MS;

/// How far an attempt got.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum AttemptState {
    InFlight,
    NeverExecuted,
    MayHaveExecuted,
}

/// An attempt that the balancer has sent.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub backend: BackendId,
    /// The backend's entry in the list at the time of the send.
    entry: Backend,
    pub sent_at: Micros,
    pub timeout_at: Micros,
    pub state: AttemptState,
}

/// An attempt in flight, by its ids.
#[derive(Clone, Copy, Debug)]
pub struct InFlightAttempt {
    pub request: RequestId,
    pub attempt: u16,
    pub backend: BackendId,
}

/// A request and the attempts made for it.
#[derive(Clone, Debug)]
pub struct TrackedRequest {
    pub class: u8,
    pub deadline: Micros,
    /// Whether it has its final response or its client disconnected.
    pub ended: bool,
    pub attempts: Vec<Attempt>,
}

struct Timer {
    expires_at: Micros,
    token: u32,
}

/// One balancer with the proxy around it.
pub struct EmulatedProxy {
    pub now: Micros,
    pub settings: Settings,
    pub balancer: Balancer,
    pub backends: BTreeMap<BackendId, Backend>,
    /// Backends that are draining or removed, and when the balancer was notified of that.
    pub unavailable: BTreeMap<BackendId, Micros>,
    pub requests: BTreeMap<RequestId, TrackedRequest>,
    timers: Vec<Timer>,
    pub log: Vec<(Micros, Action)>,
}

impl EmulatedProxy {
    pub fn new(settings: Settings, backends: impl IntoIterator<Item = Backend>) -> Self {
        let balancer = Balancer::new(settings.clone(), 7, SECOND).expect("valid settings");
        let mut proxy = Self {
            now: SECOND,
            settings,
            balancer,
            backends: BTreeMap::new(),
            unavailable: BTreeMap::new(),
            requests: BTreeMap::new(),
            timers: Vec::new(),
            log: Vec::new(),
        };
        let list: Vec<Backend> = backends.into_iter().collect();
        proxy.update_membership(MembershipUpdate::CachedSnapshot(&list));
        proxy
    }

    /// Passes an event to the balancer, and checks and executes the resulting actions.
    pub fn event(&mut self, event: Event<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in &actions {
            self.execute(action);
            self.log.push((self.now, action.clone()));
        }
        actions
    }

    fn execute(&mut self, action: &Action) {
        match *action {
            Action::Send { request, backend, start_by, timeout_at } => {
                assert!(start_by > self.now, "rule 2: sent after the latest time at which it may begin");
                self.check_send(request, backend, timeout_at);
            }
            Action::Reject { request, .. } => self.check_final_response(request, true),
            Action::Fail { request } => self.check_final_response(request, false),
            Action::Cancel { request, attempt } => {
                let tracked = &self.requests[&request];
                assert!(usize::from(attempt) < tracked.attempts.len(), "cancelled an unknown attempt");
                assert!(self.settings.permissions.cancellation);
            }
            Action::SetTimer { delay, token } => {
                self.timers.push(Timer { expires_at: self.now + delay, token });
            }
            Action::CheckHealth(backend) => {
                assert!(self.settings.permissions.health_checks && self.backends.contains_key(&backend));
            }
            Action::CloseIdleConnections(backend) => assert!(self.backends.contains_key(&backend)),
            Action::Subscribe | Action::Log(_) => {}
        }
    }

    fn check_send(&mut self, request: RequestId, backend: BackendId, timeout_at: Micros) {
        let entry = self.backends.get(&backend).copied().expect("sent to a backend that was never listed");
        assert!(!self.unavailable.contains_key(&backend), "rule 3: sent to a draining or removed backend");
        let settings = &self.settings;
        let tracked = self.requests.get_mut(&request).expect("sent an unknown request");
        assert!(!tracked.ended, "rule 1: sent after the final response");
        assert!(timeout_at <= tracked.deadline, "rule 1: an attempt times out after the deadline");
        assert!(tracked.attempts.len() < usize::from(settings.permissions.max_attempts));
        let in_flight = tracked.attempts.iter().any(|attempt| attempt.state == AttemptState::InFlight);
        assert!(!in_flight || settings.permissions.hedging, "rule 2: two attempts in flight");
        let mut executed =
            tracked.attempts.iter().filter(|attempt| attempt.state != AttemptState::NeverExecuted);
        match settings.classes[usize::from(tracked.class)].idempotency {
            Idempotency::Idempotent => {}
            Idempotency::NonIdempotent => {
                assert!(executed.next().is_none(), "rule 2: a non-idempotent request was retried");
            }
            Idempotency::Keyed { scope, ttl } => {
                for earlier in executed {
                    assert!(self.now <= earlier.sent_at + ttl, "rule 2: a retry after the key expired");
                    // The key is remembered by the group in which the backend was at the time of the attempt.
                    assert!(match scope {
                        DedupScope::All => true,
                        DedupScope::Zone => earlier.entry.zone == entry.zone,
                        DedupScope::Cell => earlier.entry.cell == entry.cell,
                    });
                }
            }
        }
        tracked.attempts.push(Attempt {
            backend,
            entry,
            sent_at: self.now,
            timeout_at,
            state: AttemptState::InFlight,
        });
    }

    fn check_final_response(&mut self, request: RequestId, rejected: bool) {
        let tracked = self.requests.get_mut(&request).expect("ended an unknown request");
        assert!(!tracked.ended, "rule 1: two final responses");
        assert!(self.now <= tracked.deadline + DEADLINE_TOLERANCE, "rule 1: a late final response");
        let may_have_executed =
            tracked.attempts.iter().any(|attempt| attempt.state != AttemptState::NeverExecuted);
        let retry_is_safe = match self.settings.classes[usize::from(tracked.class)].idempotency {
            Idempotency::Idempotent | Idempotency::Keyed { scope: DedupScope::All, .. } => true,
            _ => !may_have_executed,
        };
        assert!(!rejected || retry_is_safe, "rule 2: rejected a request that may have executed");
        tracked.ended = true;
    }

    /// Passes a change of the list to the balancer.
    pub fn update_membership(&mut self, update: MembershipUpdate<'_>) -> Vec<Action> {
        let (MembershipUpdate::Delta(entries)
        | MembershipUpdate::Snapshot(entries)
        | MembershipUpdate::CachedSnapshot(entries)) = update
        else {
            return self.event(Event::Membership(update));
        };
        if !matches!(update, MembershipUpdate::Delta(_)) {
            for &id in self.backends.keys() {
                self.unavailable.entry(id).or_insert(self.now);
            }
        }
        for entry in entries {
            self.backends.insert(entry.id, *entry);
            if entry.readiness == Readiness::Ready {
                self.unavailable.remove(&entry.id);
            } else {
                self.unavailable.insert(entry.id, self.now);
            }
        }
        self.event(Event::Membership(update))
    }

    /// Passes a new request to the balancer.
    pub fn request(&mut self, request: Request) -> Vec<Action> {
        let class = request.class.min(self.settings.classes.len() as u8 - 1);
        let deadline = self.now + request.timeout;
        let tracked = TrackedRequest { class, deadline, ended: false, attempts: Vec::new() };
        assert!(self.requests.insert(request.id, tracked).is_none());
        self.event(Event::Request(request))
    }

    /// Ends an attempt that is in flight.
    pub fn finish(&mut self, request: RequestId, attempt: u16, outcome: Outcome) -> Vec<Action> {
        self.finish_with_report(request, attempt, outcome, &[])
    }

    /// Ends an attempt that is in flight, with a load report.
    pub fn finish_with_report(
        &mut self,
        request: RequestId,
        attempt: u16,
        outcome: Outcome,
        load_report: &[f32],
    ) -> Vec<Action> {
        let tracked = self.requests.get_mut(&request).expect("a known request");
        let finished = &mut tracked.attempts[usize::from(attempt)];
        assert_eq!(finished.state, AttemptState::InFlight);
        finished.state = if outcome.never_executed() {
            AttemptState::NeverExecuted
        } else {
            AttemptState::MayHaveExecuted
        };
        let (backend, elapsed) = (finished.backend, self.now - finished.sent_at);
        tracked.ended |= outcome == Outcome::Ok;
        let is_answered = tracked.ended;
        self.event(Event::AttemptFinished(AttemptResult {
            request,
            backend,
            attempt,
            outcome,
            has_final_response: is_answered,
            elapsed,
            load_report,
        }))
    }

    /// Ends all attempts that are in flight now; `outcome` returns the outcome of each.
    pub fn finish_all(&mut self, outcome: impl Fn(InFlightAttempt) -> Outcome) {
        for sent in self.attempts_in_flight() {
            self.finish(sent.request, sent.attempt, outcome(sent));
        }
    }

    /// The attempts in flight, ordered by request and attempt number.
    pub fn attempts_in_flight(&self) -> Vec<InFlightAttempt> {
        let mut in_flight = Vec::new();
        for (&request, tracked) in &self.requests {
            for (number, attempt) in tracked.attempts.iter().enumerate() {
                if attempt.state == AttemptState::InFlight {
                    let backend = attempt.backend;
                    in_flight.push(InFlightAttempt { request, attempt: number as u16, backend });
                }
            }
        }
        in_flight
    }

    /// Number of attempts in flight on a backend.
    pub fn in_flight(&self, backend: BackendId) -> usize {
        self.attempts_in_flight().iter().filter(|sent| sent.backend == backend).count()
    }

    /// Number of rejected requests so far.
    pub fn rejections(&self) -> usize {
        self.log.iter().filter(|(_, action)| matches!(action, Action::Reject { .. })).count()
    }

    /// Number of log lines so far that begin with `prefix`.
    pub fn log_lines(&self, prefix: &str) -> usize {
        let has_prefix = |action: &Action| matches!(action, Action::Log(line) if line.starts_with(prefix));
        self.log.iter().filter(|(_, action)| has_prefix(action)).count()
    }

    /// Advances the clock; timers that expire and attempts that time out meanwhile are handled.
    pub fn advance(&mut self, duration: Micros) {
        let end = self.now + duration;
        while self.now < end {
            self.now = (self.now + TICK).min(end);
            let now = self.now;
            let (expired, pending) = self.timers.drain(..).partition(|timer| timer.expires_at <= now);
            self.timers = pending;
            let expired: Vec<Timer> = expired;
            for timer in expired {
                self.event(Event::TimerExpired(timer.token));
            }
            for sent in self.attempts_in_flight() {
                let attempt = &self.requests[&sent.request].attempts[usize::from(sent.attempt)];
                if attempt.timeout_at <= self.now {
                    self.finish(sent.request, sent.attempt, Outcome::Timeout);
                }
            }
            for (id, tracked) in &self.requests {
                assert!(
                    tracked.ended || self.now <= tracked.deadline + DEADLINE_TOLERANCE,
                    "rule 1: request {id} got no final response"
                );
            }
        }
    }

    /// Completes the attempts that have been in flight for at least the latency of their backend.
    pub fn complete(&mut self, latency: impl Fn(BackendId) -> Micros) {
        for sent in self.attempts_in_flight() {
            let sent_at = self.requests[&sent.request].attempts[usize::from(sent.attempt)].sent_at;
            if sent_at + latency(sent.backend) <= self.now {
                self.finish(sent.request, sent.attempt, Outcome::Ok);
            }
        }
    }

    /// Sends `per_tick` idempotent requests every 10 ms, numbered from `first`, and completes each after the
    /// `latency` of its backend.
    pub fn load(
        &mut self,
        first: RequestId,
        ticks: u32,
        per_tick: u32,
        latency: impl Fn(BackendId) -> Micros,
    ) {
        for tick in 0..ticks {
            for number in 0..per_tick {
                self.request(super::request(first + tick * per_tick + number, super::IDEMPOTENT));
            }
            self.advance(10 * MS);
            self.complete(&latency);
        }
    }
}
