//! A stand-in for the embedding proxy: it keeps timers and attempts, and checks the four rules from outside.
#![allow(dead_code, reason = "each test file uses a part of it")]

use balancer::api::*;
use balancer::balancer::Balancer;
use std::collections::BTreeMap;

pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;
/// How far past its deadline a request may be answered.
const SLACK: Micros = 20 * MS;

pub fn class(effect: Idempotency) -> Class {
    Class {
        latency_objective: 500 * MS,
        objective_work_factor: 0.0,
        deadline: 2 * SECOND,
        priority_weight: 1.0,
        late_weight_fraction: 0.0,
        idempotency: effect,
    }
}

/// Two zones, one proxy, one class of each effect: safe, unsafe, keyed for all, for a zone, for a cell.
pub fn settings() -> Settings {
    let keyed = |group| class(Idempotency::Keyed { scope: group, ttl: 600 * MS });
    Settings {
        instance_index: 0,
        instance_count: 1,
        zone: 0,
        zone_count: 2,
        machine_kind_count: 1,
        discovery_on_request: false,
        key_affinity: false,
        classes: vec![
            class(Idempotency::Idempotent),
            class(Idempotency::NonIdempotent),
            keyed(DedupScope::All),
            keyed(DedupScope::Zone),
            keyed(DedupScope::Cell),
        ],
        tenants: Vec::new(),
        over_quota_weight: 0.1,
        cross_zone_cost: 0.05,
        health_check_cost: 0.01,
        load_report: LoadReportFields::default(),
        load_report_by_health_check: false,
        permissions: Permissions {
            max_attempts: 4,
            hedging: false,
            cancellation: true,
            health_checks: false,
            idle_connection_timeout: 5 * SECOND,
            streams_per_connection: 1,
            max_retry_after: Some(SECOND),
        },
        safety: SafetyLimits {
            max_poll_interval: 10 * SECOND,
            initial_capacity: 0.2,
            warm_up_duration: 10 * SECOND,
            overload_factor: 2.5,
            overload_window: 2 * SECOND,
        },
    }
}

/// A warm server; even ids in zone 0, odd ones in zone 1, cells of three.
pub fn backend(id: BackendId) -> Backend {
    Backend {
        id,
        zone: (id % 2) as u16,
        machine_kind: 0,
        cell: (id / 6 * 2 + id % 2) as u16,
        readiness: Readiness::Ready,
        started_at: None,
    }
}

pub fn request(id: RequestId, class: u8) -> Request {
    Request {
        id,
        class,
        tenant: 0,
        key: None,
        timeout: 2 * SECOND,
        expected_work: None,
        is_retry: false,
        is_proxied: true,
    }
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum State {
    Out,
    NeverRan,
    MayHaveRun,
}

#[derive(Clone, Debug)]
pub struct Attempt {
    pub backend: BackendId,
    /// What the list said of it then.
    at: Backend,
    pub sent_at: Micros,
    pub give_up_at: Micros,
    pub state: State,
}

#[derive(Clone, Debug)]
pub struct Tracked {
    pub class: u8,
    pub deadline: Micros,
    pub ended: bool,
    pub attempts: Vec<Attempt>,
}

/// One balancer with the proxy around it.
pub struct Proxy {
    pub now: Micros,
    pub settings: Settings,
    pub balancer: Balancer,
    pub servers: BTreeMap<BackendId, Backend>,
    /// Servers that the balancer was told are draining or gone.
    pub barred: BTreeMap<BackendId, Micros>,
    pub requests: BTreeMap<RequestId, Tracked>,
    timers: Vec<(Micros, u32)>,
    pub log: Vec<(Micros, Action)>,
}

impl Proxy {
    pub fn new(settings: Settings, servers: impl IntoIterator<Item = Backend>) -> Self {
        let balancer = Balancer::new(settings.clone(), 7, SECOND).expect("the settings make sense");
        let mut proxy = Proxy {
            now: SECOND,
            settings,
            balancer,
            servers: BTreeMap::new(),
            barred: BTreeMap::new(),
            requests: BTreeMap::new(),
            timers: Vec::new(),
            log: Vec::new(),
        };
        let list: Vec<Backend> = servers.into_iter().collect();
        proxy.list(MembershipUpdate::CachedSnapshot(&list));
        proxy
    }

    /// Gives an event to the balancer, carries its actions out and checks them.
    pub fn event(&mut self, event: Event<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in &actions {
            self.carry_out(action);
            self.log.push((self.now, action.clone()));
        }
        actions
    }

    fn carry_out(&mut self, action: &Action) {
        match *action {
            Action::Send { request, backend, start_by: begin_by, give_up_at } => {
                assert!(begin_by > self.now, "rule 2: sent when its window was over");
                self.check_send(request, backend, give_up_at);
            }
            Action::Reject { request, .. } => self.check_end(request, true),
            Action::Fail { request } => self.check_end(request, false),
            Action::Cancel { request, attempt } => {
                let tracked = &self.requests[&request];
                assert!(usize::from(attempt) < tracked.attempts.len(), "cancelled an attempt never made");
                assert!(self.settings.permissions.cancellation);
            }
            Action::SetTimer { delay: after, token } => self.timers.push((self.now + after, token)),
            Action::CheckHealth(backend) => {
                assert!(self.settings.permissions.health_checks && self.servers.contains_key(&backend));
            }
            Action::CloseIdleConnections(backend) => assert!(self.servers.contains_key(&backend)),
            Action::Subscribe | Action::Log(_) => {}
        }
    }

    fn check_send(&mut self, request: RequestId, backend: BackendId, give_up_at: Micros) {
        let server = self.servers.get(&backend).copied().expect("sent to a server that no list named");
        assert!(!self.barred.contains_key(&backend), "rule 3: sent to a draining or gone server");
        let settings = &self.settings;
        let tracked = self.requests.get_mut(&request).expect("sent a request never given");
        assert!(!tracked.ended, "rule 1: sent after the end");
        assert!(give_up_at <= tracked.deadline, "rule 1: an attempt outlasts the deadline");
        assert!(tracked.attempts.len() < usize::from(settings.permissions.max_attempts));
        let out = tracked.attempts.iter().any(|a| a.state == State::Out);
        assert!(!out || settings.permissions.hedging, "rule 2: two attempts out");
        let ran: Vec<&Attempt> = tracked.attempts.iter().filter(|a| a.state != State::NeverRan).collect();
        match settings.classes[usize::from(tracked.class)].idempotency {
            Idempotency::Idempotent => {}
            Idempotency::NonIdempotent => assert!(ran.is_empty(), "rule 2: an unsafe request was repeated"),
            Idempotency::Keyed { scope: group, ttl } => {
                for earlier in ran {
                    // The group that remembers the key is the one in which the attempt was made.
                    let other = earlier.at;
                    assert!(self.now <= earlier.sent_at + ttl, "rule 2: a repeat after the key's time");
                    assert!(match group {
                        DedupScope::All => true,
                        DedupScope::Zone => other.zone == server.zone,
                        DedupScope::Cell => other.cell == server.cell,
                    });
                }
            }
        }
        tracked.attempts.push(Attempt {
            backend,
            at: server,
            sent_at: self.now,
            give_up_at,
            state: State::Out,
        });
    }

    fn check_end(&mut self, request: RequestId, refused: bool) {
        let tracked = self.requests.get_mut(&request).expect("ended a request never given");
        assert!(!tracked.ended, "rule 1: two final answers");
        assert!(self.now <= tracked.deadline + SLACK, "rule 1: a late final answer");
        let may_have_run = tracked.attempts.iter().any(|a| a.state != State::NeverRan);
        let harmless = match self.settings.classes[usize::from(tracked.class)].idempotency {
            Idempotency::Idempotent | Idempotency::Keyed { scope: DedupScope::All, .. } => true,
            _ => !may_have_run,
        };
        assert!(!refused || harmless, "rule 2: refused what may have run");
        tracked.ended = true;
    }

    pub fn list(&mut self, news: MembershipUpdate<'_>) -> Vec<Action> {
        let (MembershipUpdate::Delta(entries)
        | MembershipUpdate::Snapshot(entries)
        | MembershipUpdate::CachedSnapshot(entries)) = news
        else {
            return self.event(Event::Membership(news));
        };
        if !matches!(news, MembershipUpdate::Delta(_)) {
            self.servers.keys().for_each(|&id| _ = self.barred.entry(id).or_insert(self.now));
        }
        for entry in entries {
            self.servers.insert(entry.id, *entry);
            if entry.readiness == Readiness::Ready {
                self.barred.remove(&entry.id);
            } else {
                self.barred.insert(entry.id, self.now);
            }
        }
        self.event(Event::Membership(news))
    }

    pub fn request(&mut self, request: Request) -> Vec<Action> {
        let class = request.class.min(self.settings.classes.len() as u8 - 1);
        let tracked =
            Tracked { class, deadline: self.now + request.timeout, ended: false, attempts: Vec::new() };
        assert!(self.requests.insert(request.id, tracked).is_none());
        self.event(Event::Request(request))
    }

    /// Ends an attempt that is out.
    pub fn settle(&mut self, request: RequestId, attempt: u16, outcome: Outcome) -> Vec<Action> {
        self.settle_with(request, attempt, outcome, &[])
    }

    pub fn settle_with(
        &mut self,
        request: RequestId,
        attempt: u16,
        outcome: Outcome,
        report: &[f32],
    ) -> Vec<Action> {
        let tracked = self.requests.get_mut(&request).expect("a request that is known");
        let which = &mut tracked.attempts[usize::from(attempt)];
        assert_eq!(which.state, State::Out);
        which.state = if outcome.never_executed() { State::NeverRan } else { State::MayHaveRun };
        let (backend, elapsed) = (which.backend, self.now - which.sent_at);
        tracked.ended |= outcome == Outcome::Ok;
        let closed = tracked.ended;
        self.event(Event::AttemptFinished(AttemptResult {
            request,
            backend,
            attempt,
            outcome,
            is_answered: closed,
            elapsed,
            load_report: report,
        }))
    }

    /// The attempts that are out: request, number, backend.
    pub fn out(&self) -> Vec<(RequestId, u16, BackendId)> {
        let of = |(&id, t): (&RequestId, &Tracked)| {
            let out = t.attempts.iter().enumerate().filter(|(_, a)| a.state == State::Out);
            out.map(|(n, a)| (id, n as u16, a.backend)).collect::<Vec<_>>()
        };
        self.requests.iter().flat_map(of).collect()
    }

    pub fn in_flight(&self, backend: BackendId) -> usize {
        self.out().iter().filter(|o| o.2 == backend).count()
    }

    /// Lets time pass in ticks of 5 ms; timers fire and attempts time out on the way.
    pub fn advance(&mut self, by: Micros) {
        let end = self.now + by;
        while self.now < end {
            self.now = (self.now + 5 * MS).min(end);
            let (due, later) = self.timers.iter().partition(|t| t.0 <= self.now);
            self.timers = later;
            let due: Vec<(Micros, u32)> = due;
            due.iter().for_each(|t| _ = self.event(Event::TimerExpired(t.1)));
            for (id, number, _) in self.out() {
                if self.requests[&id].attempts[usize::from(number)].give_up_at <= self.now {
                    self.settle(id, number, Outcome::Timeout);
                }
            }
            for (id, tracked) in &self.requests {
                assert!(
                    tracked.ended || self.now <= tracked.deadline + SLACK,
                    "rule 1: request {id} was lost"
                );
            }
        }
    }

    /// Answers what is out for longer than `latency`.
    pub fn serve(&mut self, latency: impl Fn(BackendId) -> Micros) {
        for (id, number, backend) in self.out() {
            let sent_at = self.requests[&id].attempts[usize::from(number)].sent_at;
            if sent_at + latency(backend) <= self.now {
                self.settle(id, number, Outcome::Ok);
            }
        }
    }
}

/// The request's send in these actions.
pub fn sent_to(actions: &[Action]) -> Option<BackendId> {
    actions.iter().find_map(|a| match a {
        Action::Send { backend, .. } => Some(*backend),
        _ => None,
    })
}

pub fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}
