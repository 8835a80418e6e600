//! Runs the decision service and the real engine with simulated callers and backends. The harness records
//! which attempts may have run and all replies, independently of both.

mod engine_at_time;
#[path = "../../../request-engine/tests/harness/settings.rs"]
mod settings;

pub use settings::SECOND;

use ::settings::reload::ClassIndices;
use balancer::api::{Backend, BackendId, MembershipUpdate, Micros, Outcome, Readiness, RequestId, Settings};
use engine_at_time::{EngineWithClock, NoMessages};
use external_processor::decision_service::{
    CallerId, CallerReply, DecisionLimits, DecisionRequest, DecisionService, MessageRef, Reply,
    ReplyDelivery, Report, Revocation, SendDecision,
};
use request_engine::class_registry::{ClassRegistry, SharedClasses};
use request_engine::engine::{Engine, EngineLimits};
use request_engine::idempotency::IdempotencyRegistry;
use request_engine::lease::LeaseId;
use request_engine::lease_events::LeaseEvent;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

/// How long final outcomes of non-idempotent and keyed classes are retained.
pub const RETENTION: Micros = 3 * SECOND;
const IDEMPOTENT_CLASS: &str = "read";
/// The names of the classes by their position in the settings.
const CLASS_NAMES: [&str; 3] = [IDEMPOTENT_CLASS, "charge", "submit"];
/// Maximum number of open decisions of one caller.
pub const PER_CALLER: usize = 200;

fn backend(id: BackendId, readiness: Readiness) -> Backend {
    Backend { id, zone: 0, machine_kind: 0, cell: (id / 3) as u16, readiness, started_at: None }
}

fn endpoint(id: BackendId) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + id as u16))
}

/// Borrows the harness's engine with its clock. A macro, so that only the fields `engine` and `events` are
/// borrowed.
macro_rules! engine_of {
    ($harness:ident) => {
        &mut EngineWithClock { engine: &mut $harness.engine, now: $harness.now, events: &mut $harness.events }
    };
}

/// One attempt from the view of callers and backends.
struct Attempt {
    /// The id or idempotency key that must not run twice; `None` in an idempotent class.
    identity: Option<String>,
    sent_at: Micros,
    /// The engine's request: the engine may decide on retries of it.
    request: RequestId,
    never_executed: bool,
}

pub struct Harness {
    pub now: Micros,
    pub engine: Engine<NoMessages>,
    pub service: DecisionService,
    pub revocations: Vec<Revocation>,
    settings: Settings,
    class_indices: ClassIndices,
    classes: SharedClasses,
    events: VecDeque<LeaseEvent>,
    draining: BTreeSet<BackendId>,
    messages: BTreeMap<MessageRef, Option<String>>,
    replies: BTreeMap<MessageRef, Vec<Reply>>,
    /// Messages without a reply whose caller has ended.
    abandoned: BTreeSet<MessageRef>,
    attempts: BTreeMap<LeaseId, Attempt>,
    next_tag: u64,
}

impl Harness {
    /// Creates a service, and an engine with this number of backends.
    pub fn new(backend_count: u32) -> Self {
        let settings = settings::settings_with_key_ttl(RETENTION);
        let limits = EngineLimits { requests: 10_000, leases: 10_000 };
        let mut engine = Engine::new(settings.clone(), limits, 7, 0xfeed, SECOND).expect("valid settings");
        let backends: Vec<_> = (0..backend_count).map(|id| backend(id, Readiness::Ready)).collect();
        engine.update_membership(SECOND, MembershipUpdate::Snapshot(&backends));
        let class_indices = ClassIndices::new(&CLASS_NAMES.map(str::to_owned)).expect("valid names");
        let mut classes = ClassRegistry::default();
        classes.update(SECOND, &settings, class_indices.named());
        let classes = Rc::new(RefCell::new(classes));
        let registry = Rc::new(RefCell::new(IdempotencyRegistry::new(10_000)));
        let limits = DecisionLimits {
            open_decisions_per_caller: PER_CALLER,
            idempotent_retention: SECOND,
            non_idempotent_retention: RETENTION,
        };
        Self {
            now: SECOND,
            engine,
            service: DecisionService::new(limits, registry, Rc::clone(&classes)),
            settings,
            class_indices,
            classes,
            revocations: Vec::new(),
            events: VecDeque::new(),
            draining: BTreeSet::new(),
            messages: BTreeMap::new(),
            replies: BTreeMap::new(),
            abandoned: BTreeSet::new(),
            attempts: BTreeMap::new(),
            next_tag: 1,
        }
    }

    /// Changes the settings of the harness's start, and applies the result.
    pub fn reload(&mut self, change: impl FnOnce(&mut Settings)) {
        let mut new = settings::settings_with_key_ttl(RETENTION);
        change(&mut new);
        let names = CLASS_NAMES.map(str::to_owned);
        self.settings = self.class_indices.reload(&self.settings, &new, &names).expect("valid settings");
        self.engine.update_settings(self.now, &self.settings).expect("valid settings");
        self.classes.borrow_mut().update(self.now, &self.settings, self.class_indices.named());
        self.handle_events();
    }

    pub fn request(&mut self, caller: u64, class: u8, id: &str) -> MessageRef {
        self.request_with_key(caller, class, id, None)
    }

    pub fn request_keyed(&mut self, caller: u64, id: &str, key: &str) -> MessageRef {
        self.request_with_key(caller, 2, id, Some(key))
    }

    pub fn request_with_key(&mut self, caller: u64, class: u8, id: &str, key: Option<&str>) -> MessageRef {
        let request = self.decision_request(class, id, key);
        self.decide(caller, &request)
    }

    pub fn request_and_wait(&mut self, caller: u64, class: u8, id: &str, key: Option<&str>) -> MessageRef {
        let request = self.decision_request(class, id, key);
        self.decide(caller, &DecisionRequest { waits_for_result: true, ..request })
    }

    pub fn request_with_prior_lease(
        &mut self,
        caller: u64,
        class: u8,
        id: &str,
        key: Option<&str>,
        prior_lease: LeaseId,
    ) -> MessageRef {
        let request = self.decision_request(class, id, key);
        self.decide(caller, &DecisionRequest { prior_lease: Some(prior_lease), ..request })
    }

    pub fn request_single_attempt(&mut self, caller: u64, class: u8, id: &str) -> MessageRef {
        let key = (class == 2).then_some(id);
        let request = self.decision_request(class, id, key);
        self.decide(caller, &DecisionRequest { is_single_attempt: true, ..request })
    }

    /// Requests a decision for a class of this name, which need not exist.
    pub fn request_class(&mut self, caller: u64, class: &str, key: Option<&str>) -> MessageRef {
        let request = self.decision_request(0, "a", key);
        self.decide(caller, &DecisionRequest { class: class.into(), ..request })
    }

    fn decision_request(&self, class: u8, id: &str, key: Option<&str>) -> DecisionRequest {
        DecisionRequest {
            id: id.as_bytes().into(),
            idempotency_key: key.map(|key| key.as_bytes().into()),
            class: CLASS_NAMES[usize::from(class)].into(),
            tenant: 0,
            affinity_key: None,
            arrived_at: self.now,
            timeout: Some(2 * SECOND),
            expected_work: None,
            is_retry: false,
            prior_lease: None,
            waits_for_result: false,
            is_single_attempt: false,
        }
    }

    fn decide(&mut self, caller: u64, request: &DecisionRequest) -> MessageRef {
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        let identity = match (&*request.class, &request.idempotency_key) {
            (IDEMPOTENT_CLASS, _) => None,
            (_, Some(key)) => Some(format!("key {}", text(key))),
            (_, None) => Some(format!("id {}", text(&request.id))),
        };
        let message_ref = self.add_message(caller, identity);
        self.service.decide(self.now, message_ref, request, engine_of!(self));
        self.handle_events();
        message_ref
    }

    fn add_message(&mut self, caller: u64, identity: Option<String>) -> MessageRef {
        let message_ref = MessageRef { caller: CallerId(caller), tag: self.next_tag };
        self.next_tag += 1;
        self.messages.insert(message_ref, identity);
        message_ref
    }

    pub fn report(&mut self, caller: u64, lease: LeaseId, outcome: Outcome) -> MessageRef {
        self.send_report(
            caller,
            Report { lease, outcome: Some(outcome), endpoint: None, load_report: Vec::new() },
        )
    }

    pub fn report_with_endpoint(
        &mut self,
        caller: u64,
        lease: LeaseId,
        outcome: Outcome,
        endpoint: &str,
    ) -> MessageRef {
        let endpoint = Some(endpoint.parse().expect("a valid address"));
        self.send_report(caller, Report { lease, outcome: Some(outcome), endpoint, load_report: Vec::new() })
    }

    pub fn establish(&mut self, caller: u64, lease: LeaseId) -> MessageRef {
        self.send_report(caller, Report { lease, outcome: None, endpoint: None, load_report: Vec::new() })
    }

    fn send_report(&mut self, caller: u64, report: Report) -> MessageRef {
        let identity = self.attempts.get(&report.lease).and_then(|attempt| attempt.identity.clone());
        let message_ref = self.add_message(caller, identity);
        let (lease, outcome) = (report.lease, report.outcome);
        let before = self.engine.lease_counts().reported;
        self.service.report(self.now, message_ref, report, engine_of!(self));
        // Only an accepted report is evidence that the attempt never ran.
        let accepted = self.engine.lease_counts().reported - before;
        if let (Some(outcome), Some(attempt)) = (outcome, self.attempts.get_mut(&lease))
            && accepted == 1
            && outcome.never_executed()
        {
            attempt.never_executed = true;
        }
        self.handle_events();
        message_ref
    }

    pub fn renew(&mut self, caller: u64, lease: LeaseId) -> MessageRef {
        let message_ref = self.add_message(caller, None);
        self.service.renew(message_ref, lease, engine_of!(self));
        self.handle_events();
        message_ref
    }

    /// Ends a caller: a stream with `Possible`, or a call whose reply was not sent with `None`.
    pub fn end_caller(&mut self, caller: u64, delivery: ReplyDelivery) {
        let messages: Vec<MessageRef> =
            self.messages.keys().filter(|message| message.caller.0 == caller).copied().collect();
        self.abandoned.extend(messages.iter().filter(|message| !self.replies.contains_key(message)));
        if delivery == ReplyDelivery::None {
            // A unary call sends only one message, so it has at most one lease.
            let replies = self.replies.iter().filter(|(message, _)| message.caller.0 == caller);
            let lease = replies.flat_map(|(_, replies)| replies).find_map(lease_of);
            if let Some(attempt) = lease.and_then(|lease| self.attempts.get_mut(&lease)) {
                attempt.never_executed = true;
            }
        }
        self.service.caller_ended(self.now, CallerId(caller), delivery, engine_of!(self));
        self.handle_events();
    }

    pub fn drain_backend(&mut self, id: BackendId) {
        self.draining.insert(id);
        self.engine.update_membership(self.now, MembershipUpdate::Delta(&[backend(id, Readiness::Draining)]));
        self.handle_events();
    }

    pub fn start_backend(&mut self, id: BackendId) {
        self.draining.remove(&id);
        let started = Some(self.now);
        let backend = Backend { started_at: started, ..backend(id, Readiness::Ready) };
        self.engine.update_membership(self.now, MembershipUpdate::Delta(&[backend]));
        self.handle_events();
    }

    pub fn advance_time(&mut self, duration: Micros) {
        let end = self.now + duration;
        while let Some(at) = self.engine.next_timer().filter(|&at| at <= end) {
            self.now = self.now.max(at);
            self.engine.advance(self.now);
            self.handle_events();
        }
        self.now = end;
    }

    /// Passes all queued events to the service, and checks its replies.
    fn handle_events(&mut self) {
        engine_of!(self).queue_events();
        while let Some(event) = self.events.pop_front() {
            let endpoint = match &event {
                LeaseEvent::Granted(_, grant) => Some(endpoint(grant.backend)),
                _ => None,
            };
            self.service.handle_event(self.now, event, endpoint, engine_of!(self));
        }
        for CallerReply { message_ref, reply } in self.service.take_replies() {
            self.check_reply(message_ref, reply);
        }
        self.revocations.extend(self.service.take_revocations());
    }

    fn check_reply(&mut self, message_ref: MessageRef, reply: Reply) {
        assert!(self.messages.contains_key(&message_ref), "{message_ref:?} is not a message");
        if let Reply::Send(send) = &reply {
            assert!(!self.draining.contains(&send.grant.backend), "a draining backend was granted");
            let identity = self.messages[&message_ref].clone();
            self.check_single_execution(identity.as_deref(), send);
            let (sent_at, request) = (self.now, send.grant.request);
            let attempt = Attempt { identity, sent_at, request, never_executed: false };
            assert!(self.attempts.insert(send.grant.lease, attempt).is_none(), "a lease was granted twice");
        }
        let replies = self.replies.entry(message_ref).or_default();
        replies.push(reply);
        assert_eq!(replies.len(), 1, "{message_ref:?} got {replies:?}");
    }

    /// Checks that an id or key of an attempt that may have run is not sent for another request within the
    /// retention. Retries of one request are checked by the engine's own tests.
    fn check_single_execution(&self, identity: Option<&str>, send: &SendDecision) {
        let Some(identity) = identity else { return };
        let may_have_run =
            |attempt: &&Attempt| attempt.identity.as_deref() == Some(identity) && !attempt.never_executed;
        for attempt in self.attempts.values().filter(may_have_run) {
            let is_same_request = attempt.request == send.grant.request;
            let has_expired = self.now >= attempt.sent_at + RETENTION;
            assert!(
                is_same_request || has_expired,
                "{identity} may have run and is sent for another request at {}",
                self.now
            );
        }
    }

    pub fn reply(&self, message_ref: MessageRef) -> Option<Reply> {
        self.replies.get(&message_ref).and_then(|replies| replies.first()).cloned()
    }

    pub fn send_decision(&self, message_ref: MessageRef) -> Option<SendDecision> {
        match self.reply(message_ref) {
            Some(Reply::Send(send)) => Some(send),
            _ => None,
        }
    }

    /// Advances the clock by a minute, then checks that every message has a reply unless its caller ended,
    /// and that no request or lease is left.
    pub fn finish(&mut self) {
        self.advance_time(60 * SECOND);
        for message_ref in self.messages.keys() {
            let has_reply = self.replies.contains_key(message_ref);
            let is_abandoned = self.abandoned.contains(message_ref);
            assert!(has_reply || is_abandoned, "{message_ref:?} has no reply");
        }
        assert!(self.service.is_empty(), "{} requests are still open", self.service.len());
        assert_eq!(
            (self.engine.active_lease_count(), self.engine.open_request_count()),
            (0, 0),
            "active leases and open requests"
        );
    }
}

fn lease_of(reply: &Reply) -> Option<LeaseId> {
    match reply {
        Reply::Send(send) => Some(send.grant.lease),
        _ => None,
    }
}
