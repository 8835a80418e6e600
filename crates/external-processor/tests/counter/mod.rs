//! The desk and the real engine between scripted callers and boxes. It keeps a record of its own of what may have run
//! and of what was answered, and believes neither.

use balancer::api::*;
use external_processor::decision_service::{
    self, CallerId, DecisionService, Port, Reply, Report, RequestRef,
};
use request_engine::engine::{AttemptEnd, Command, Engine, EngineLimits, MessageTypes};
use request_engine::idempotency::IdempotencyRegistry;
use request_engine::lease::{LeaseError, LeaseId};
use request_engine::lease_events::{LeaseEvent, RequestHandle};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;
pub const MEMORY: Micros = 3 * SECOND;
pub const PER_CALLER: usize = 200;

#[derive(Debug, PartialEq)]
pub struct Nothing;

impl MessageTypes for Nothing {
    type OutboundRequest = ();
    type Responder = RequestHandle;
    type Response = ();
}

fn class(effect: Idempotency) -> Class {
    Class {
        latency_objective: 500 * MS,
        objective_work_factor: 0.0,
        deadline: 2 * SECOND,
        priority_weight: 1.0,
        late_weight_fraction: 0.5,
        idempotency: effect,
    }
}

fn settings() -> Settings {
    let keyed = Idempotency::Keyed { scope: DedupScope::Cell, ttl: MEMORY };
    Settings {
        instance_index: 0,
        instance_count: 1,
        zone: 0,
        zone_count: 1,
        machine_kind_count: 1,
        discovery_on_request: false,
        key_affinity: false,
        classes: vec![class(Idempotency::Idempotent), class(Idempotency::NonIdempotent), class(keyed)],
        tenants: Vec::new(),
        over_quota_weight: 0.1,
        cross_zone_cost: 0.0,
        health_check_cost: 0.0,
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
            initial_capacity: 0.3,
            warm_up_duration: 8 * SECOND,
            overload_factor: 3.0,
            overload_window: 2 * SECOND,
        },
    }
}

fn listed(id: BackendId, readiness: Readiness) -> Backend {
    Backend { id, zone: 0, machine_kind: 0, cell: (id / 3) as u16, readiness, started_at: None }
}

fn endpoint(id: BackendId) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + id as u16))
}

/// The engine as the desk's port; the clock is the counter's. As in the shell, what a call causes is said at once.
struct At<'a>(&'a mut Engine<Nothing>, Micros, &'a mut VecDeque<LeaseEvent>);

impl At<'_> {
    fn hear(&mut self) {
        while let Some(command) = self.0.next_command() {
            let ticket = |request| self.0.responder(request).copied();
            let word = match command {
                Command::GrantLease(grant) => {
                    ticket(grant.request).map(|ticket| LeaseEvent::Granted(ticket, grant))
                }
                Command::RevokeLease { request, lease } => {
                    ticket(request).map(|ticket| LeaseEvent::Revoked(ticket, lease))
                }
                Command::Respond { responder: reply, outcome: verdict, .. } => {
                    Some(LeaseEvent::Completed(reply, verdict))
                }
                _ => None,
            };
            self.2.extend(word);
        }
    }
}

macro_rules! at {
    ($counter:ident) => {
        &mut At(&mut $counter.engine, $counter.now, &mut $counter.words)
    };
}

impl Port for At<'_> {
    fn admit(&mut self, request: &decision_service::Request, ticket: RequestHandle) -> Option<RequestId> {
        let admitted = self.0.admit(self.1, request.arrival(), ticket).ok();
        self.hear();
        admitted
    }

    fn report(&mut self, lease: LeaseId, outcome: Outcome, report: Vec<f32>) -> Result<(), LeaseError> {
        let taken = self.0.report_result(
            self.1,
            lease,
            AttemptEnd { outcome, response: None, load_report: report, client_wait: 0 },
        );
        self.hear();
        taken
    }

    fn establish(&mut self, lease: LeaseId) -> Result<Micros, LeaseError> {
        let taken = self.0.establish_session(self.1, lease).map(|until| until - self.1);
        self.hear();
        taken
    }

    fn renew(&mut self, lease: LeaseId) -> Result<Micros, LeaseError> {
        self.0.renew_session(self.1, lease).map(|until| until - self.1)
    }

    fn client_gone(&mut self, request: RequestId) {
        self.0.client_disconnected(self.1, request);
        self.hear();
    }
}

/// One attempt as callers and boxes know it.
struct Attempt {
    /// What must not run twice; `None` where that is harmless.
    what: Option<String>,
    at: Micros,
    /// The request among whose attempts the engine itself decides.
    request: RequestId,
    never_ran: bool,
}

pub struct Counter {
    pub now: Micros,
    pub engine: Engine<Nothing>,
    pub desk: DecisionService,
    pub revoked: Vec<(u64, LeaseId)>,
    words: VecDeque<LeaseEvent>,
    draining: BTreeSet<BackendId>,
    questions: BTreeMap<RequestRef, Option<String>>,
    replies: BTreeMap<RequestRef, Vec<Reply>>,
    gone: BTreeSet<RequestRef>,
    attempts: BTreeMap<LeaseId, Attempt>,
    next_tag: u64,
}

impl Counter {
    /// A desk, and an engine that knows so many boxes.
    pub fn new(boxes: u32) -> Self {
        let settings = settings();
        let bounds = EngineLimits { requests: 10_000, leases: 10_000 };
        let mut engine = Engine::new(settings.clone(), bounds, 7, 0xfeed, SECOND).expect("good settings");
        let backends: Vec<_> = (0..boxes).map(|id| listed(id, Readiness::Ready)).collect();
        engine.update_membership(SECOND, MembershipUpdate::Snapshot(&backends));
        let claims = Rc::new(RefCell::new(IdempotencyRegistry::new(10_000)));
        let bounds =
            decision_service::Bounds { per_caller: PER_CALLER, safe_memory: SECOND, unsafe_memory: MEMORY };
        Self {
            now: SECOND,
            engine,
            desk: DecisionService::new(&settings, bounds, claims),
            revoked: Vec::new(),
            words: VecDeque::new(),
            draining: BTreeSet::new(),
            questions: BTreeMap::new(),
            replies: BTreeMap::new(),
            gone: BTreeSet::new(),
            attempts: BTreeMap::new(),
            next_tag: 1,
        }
    }

    // ---- What callers do ----

    pub fn ask(&mut self, caller: u64, class: u8, id: &str) -> RequestRef {
        self.ask_with(caller, class, id, None)
    }

    pub fn ask_keyed(&mut self, caller: u64, id: &str, key: &str) -> RequestRef {
        self.ask_with(caller, 2, id, Some(key))
    }

    pub fn ask_with(&mut self, caller: u64, class: u8, id: &str, key: Option<&str>) -> RequestRef {
        self.put(caller, self.request(class, id, key))
    }

    pub fn ask_and_wait(&mut self, caller: u64, class: u8, id: &str, key: Option<&str>) -> RequestRef {
        self.put(caller, decision_service::Request { wait: true, ..self.request(class, id, key) })
    }

    pub fn ask_after(
        &mut self,
        caller: u64,
        class: u8,
        id: &str,
        key: Option<&str>,
        old: LeaseId,
    ) -> RequestRef {
        self.put(caller, decision_service::Request { prior: Some(old), ..self.request(class, id, key) })
    }

    pub fn ask_once(&mut self, caller: u64, class: u8, id: &str) -> RequestRef {
        let key = (class == 2).then_some(id);
        self.put(caller, decision_service::Request { once: true, ..self.request(class, id, key) })
    }

    fn request(&self, class: u8, id: &str, key: Option<&str>) -> decision_service::Request {
        decision_service::Request {
            id: id.as_bytes().into(),
            key: key.map(|key| key.as_bytes().into()),
            class,
            tenant: 0,
            about: None,
            arrived: self.now,
            patience: 2 * SECOND,
            work: None,
            repeat: false,
            prior: None,
            wait: false,
            once: false,
        }
    }

    fn put(&mut self, caller: u64, request: decision_service::Request) -> RequestRef {
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        let what = match (request.class, &request.key) {
            (0, _) => None,
            (_, Some(key)) => Some(format!("key {}", text(key))),
            (_, None) => Some(format!("id {}", text(&request.id))),
        };
        let asked = self.question(caller, what);
        self.desk.ask(self.now, asked, &request, at!(self));
        self.pump();
        asked
    }

    fn question(&mut self, caller: u64, what: Option<String>) -> RequestRef {
        let asked = RequestRef { caller: CallerId(caller), tag: self.next_tag };
        self.next_tag += 1;
        self.questions.insert(asked, what);
        asked
    }

    pub fn report(&mut self, caller: u64, lease: LeaseId, outcome: Outcome) -> RequestRef {
        self.tell(caller, Report { lease, outcome: Some(outcome), endpoint: None, load: Vec::new() })
    }

    pub fn report_at(&mut self, caller: u64, lease: LeaseId, outcome: Outcome, at: &str) -> RequestRef {
        let endpoint = Some(at.parse().expect("an address"));
        self.tell(caller, Report { lease, outcome: Some(outcome), endpoint, load: Vec::new() })
    }

    pub fn establish(&mut self, caller: u64, lease: LeaseId) -> RequestRef {
        self.tell(caller, Report { lease, outcome: None, endpoint: None, load: Vec::new() })
    }

    fn tell(&mut self, caller: u64, report: Report) -> RequestRef {
        let what = self.attempts.get(&report.lease).and_then(|a| a.what.clone());
        let asked = self.question(caller, what);
        let (lease, outcome) = (report.lease, report.outcome);
        let before = self.engine.lease_counts().reported;
        self.desk.report(self.now, asked, report, at!(self));
        // A report that is taken is the truth of what the box did; any other one is a lie of its caller's.
        let taken = self.engine.lease_counts().reported - before;
        if let (Some(outcome), Some(attempt)) = (outcome, self.attempts.get_mut(&lease))
            && taken == 1
            && outcome.never_executed()
        {
            attempt.never_ran = true;
        }
        self.pump();
        asked
    }

    pub fn renew(&mut self, caller: u64, lease: LeaseId) -> RequestRef {
        let asked = self.question(caller, None);
        self.desk.renew(asked, lease, at!(self));
        self.pump();
        asked
    }

    /// A caller ends; `heard`: as a stream does, and otherwise as a call whose answer never left.
    pub fn gone(&mut self, caller: u64, heard: bool) {
        let open: Vec<RequestRef> = self.questions.keys().filter(|a| a.caller.0 == caller).copied().collect();
        self.gone.extend(open.iter().filter(|a| !self.replies.contains_key(a)));
        if !heard {
            // Such a caller asks one question in its life.
            let told = self.replies.iter().filter(|(a, _)| a.caller.0 == caller);
            let lease = told.flat_map(|(_, replies)| replies).find_map(lease_of);
            if let Some(attempt) = lease.and_then(|lease| self.attempts.get_mut(&lease)) {
                attempt.never_ran = true;
            }
        }
        self.desk.gone(self.now, CallerId(caller), heard, at!(self));
        self.pump();
    }

    // ---- What boxes and time do ----

    pub fn drain_box(&mut self, id: BackendId) {
        self.draining.insert(id);
        self.engine.update_membership(self.now, MembershipUpdate::Delta(&[listed(id, Readiness::Draining)]));
        self.pump();
    }

    pub fn start_box(&mut self, id: BackendId) {
        self.draining.remove(&id);
        let started = Some(self.now);
        let backend = Backend { started_at: started, ..listed(id, Readiness::Ready) };
        self.engine.update_membership(self.now, MembershipUpdate::Delta(&[backend]));
        self.pump();
    }

    pub fn pass(&mut self, span: Micros) {
        let until = self.now + span;
        while let Some(due) = self.engine.next_timer().filter(|&due| due <= until) {
            self.now = self.now.max(due);
            self.engine.advance(self.now);
            self.pump();
        }
        self.now = until;
    }

    /// Hands words on until there are none, and checks what is told.
    fn pump(&mut self) {
        at!(self).hear();
        while let Some(word) = self.words.pop_front() {
            let at = match &word {
                LeaseEvent::Granted(_, grant) => Some(endpoint(grant.backend)),
                _ => None,
            };
            self.desk.word(self.now, word, at, at!(self));
        }
        for (asked, reply) in self.desk.take_replies() {
            self.told(asked, reply);
        }
        self.revoked.extend(self.desk.take_revoked().into_iter().map(|(caller, lease)| (caller.0, lease)));
    }

    fn told(&mut self, asked: RequestRef, reply: Reply) {
        assert!(self.questions.contains_key(&asked), "{asked:?} asked nothing");
        if let Reply::Send(send) = reply {
            assert!(!self.draining.contains(&send.grant.backend), "a draining box gets something new");
            let what = self.questions[&asked].clone();
            self.check_twice(what.as_deref(), &send);
            let (at, request) = (self.now, send.grant.request);
            let attempt = Attempt { what, at, request, never_ran: false };
            assert!(self.attempts.insert(send.grant.lease, attempt).is_none(), "a lease was granted twice");
        }
        let replies = self.replies.entry(asked).or_default();
        replies.push(reply);
        // Whoever was told unheard is told nothing more; everybody else is told once.
        assert_eq!(replies.len(), 1, "{asked:?} was told {replies:?}");
    }

    /// Rule 2 across requests: inside one, the engine's own tests show it.
    fn check_twice(&self, what: Option<&str>, send: &decision_service::Send) {
        let Some(what) = what else { return };
        let before = self.attempts.values().filter(|a| a.what.as_deref() == Some(what) && !a.never_ran);
        for attempt in before {
            let same = attempt.request == send.grant.request;
            let forgotten = self.now >= attempt.at + MEMORY;
            assert!(same || forgotten, "{what} may have run and goes out again at {}", self.now);
        }
    }

    // ---- What tests ask ----

    pub fn reply(&self, asked: RequestRef) -> Option<Reply> {
        self.replies.get(&asked).and_then(|replies| replies.first()).copied()
    }

    pub fn sent(&self, asked: RequestRef) -> Option<decision_service::Send> {
        match self.reply(asked) {
            Some(Reply::Send(send)) => Some(send),
            _ => None,
        }
    }

    /// Lets all time pass: every question whose caller is there has its one reply, and nothing is left.
    pub fn finish(&mut self) {
        self.pass(60 * SECOND);
        for asked in self.questions.keys() {
            let (told, gone) = (self.replies.contains_key(asked), self.gone.contains(asked));
            assert!(told || gone, "{asked:?} was never answered");
        }
        assert!(self.desk.is_empty(), "{} requests are held for ever", self.desk.len());
        assert_eq!(
            (self.engine.active_leases(), self.engine.open_requests()),
            (0, 0),
            "leases and requests left"
        );
    }
}

fn lease_of(reply: &Reply) -> Option<LeaseId> {
    match reply {
        Reply::Send(send) => Some(send.grant.lease),
        _ => None,
    }
}
