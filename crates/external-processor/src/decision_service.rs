//! The decisions of this front: whose question gets an attempt, who is told what, and what is withdrawn when a caller
//! vanishes. No I/O and no clock; the engine is behind [`Port`].
//!
//! 1. Every question gets exactly one [`Reply`]; a caller that is gone gets none.
//! 2. A request's id, and its key, belong to one caller at a time ([`request_engine::idempotency`]). What may have run is
//!    never granted again here but by the engine's own decisions.
//! 3. An attempt whose word can't have reached its caller counts as never sent; one that did and is not reported counts
//!    as one that may have run.

use balancer::api::{Idempotency, Micros, Outcome, RequestId, Settings};
use request_engine::engine::{Dispatch, FinalOutcome, IncomingRequest, LeaseGrant};
use request_engine::idempotency::{
    self, ClaimError, ClaimId, ClaimStatus, CompletedRequest, FinalStatus, FrontEnd,
};
use request_engine::lease::{LeaseError, LeaseId};
use request_engine::lease_events::{LeaseEvent, RequestHandle};
use rustc_hash::{FxHashMap, FxHashSet};
use smallvec::SmallVec;
use std::net::SocketAddr;
use thiserror::Error;

/// When whoever asked for a request that another holds should ask again, microseconds.
pub const ASK_RETRY_DELAY: Micros = 250_000;
/// Callers that wait for the end of one request that another holds. A further one is told that it is in flight.
pub const MAX_WAITING: usize = 16;

/// A stream, or one call: what may vanish at once. Never given twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallerId(pub u64);

/// A question of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestRef {
    /// Who asked.
    pub caller: CallerId,
    /// The caller's own number of the question.
    pub tag: u64,
}

/// A request for which a decision is wanted.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its correlation id.
    pub id: Box<[u8]>,
    /// Its idempotency key, in keyed classes.
    pub key: Option<Box<[u8]>>,
    /// Position of its class.
    pub class: u8,
    /// Position of its tenant.
    pub tenant: u16,
    /// What it is about.
    pub about: Option<u64>,
    /// When it came.
    pub arrived: Micros,
    /// How long its client waits from then on.
    pub patience: Micros,
    /// Expected work.
    pub work: Option<Micros>,
    /// Whether the client marked it as a repeat.
    pub repeat: bool,
    /// The lease that the caller last held for it.
    pub prior: Option<LeaseId>,
    /// Whether to wait for the end where another holds it.
    pub wait: bool,
    /// Whether its caller can send only once, whatever comes of that.
    pub once: bool,
}

impl Request {
    /// The request as the engine takes it: its caller makes the attempts.
    #[must_use]
    pub fn arrival<W>(&self) -> IncomingRequest<W> {
        IncomingRequest {
            class: self.class,
            tenant: self.tenant,
            key: self.about,
            arrived_at: self.arrived,
            timeout: self.patience,
            expected_work: self.work,
            is_retry: self.repeat,
            dispatch: Dispatch::Leased,
        }
    }
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Its lease.
    pub lease: LeaseId,
    /// How it ended; `None`: it became a session.
    pub outcome: Option<Outcome>,
    /// Where it was sent, if the caller says.
    pub endpoint: Option<SocketAddr>,
    /// The load report that came along.
    pub load: Vec<f32>,
}

/// Whether a further attempt may follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// No.
    Never,
    /// If the attempt never ran.
    IfNeverRan,
    /// Also where it may have run, inside its group.
    WithinGroup,
    /// However it ends.
    Always,
}

/// Send it there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Send {
    /// Where to.
    pub endpoint: SocketAddr,
    /// The engine's grant.
    pub grant: LeaseGrant,
    /// Whether a further attempt may follow.
    pub repeat: Repeat,
}

/// Why a question changed nothing.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Fault {
    /// An id, a key or a claim.
    #[error(transparent)]
    Claim(#[from] ClaimError),
    /// A lease.
    #[error(transparent)]
    Lease(#[from] LeaseError),
    /// The report names another endpoint than the lease.
    #[error("the lease is for {0}")]
    Endpoint(SocketAddr),
    /// The engine is at a bound.
    #[error("too many requests or leases are open")]
    Overload,
    /// The caller has too many open.
    #[error("this caller has {0} decisions open, and no more are taken")]
    TooMany(usize),
    /// The processor ends.
    #[error("the processor ends: ask another")]
    Draining,
}

/// What a caller is told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reply {
    /// Make an attempt.
    Send(Send),
    /// The final answer; `again`: it was given before.
    Final {
        /// How it ended.
        end: FinalStatus,
        /// Whether it was given before.
        again: bool,
    },
    /// The lease is settled; the request had its final answer before.
    Booked,
    /// Another holds it.
    InFlight {
        /// For how long.
        held_for: Micros,
        /// Whether only the key is the same.
        by_key: bool,
    },
    /// The session goes on for so long.
    Renewed(Micros),
    /// The question changed nothing.
    Rejected(Fault),
}

/// The engine, as this front sees it. What it causes comes as [`LeaseEvent`]s, after the call.
pub trait Port {
    /// Takes a request; `None` at a bound.
    fn admit(&mut self, request: &Request, ticket: RequestHandle) -> Option<RequestId>;
    /// Settles a lease.
    ///
    /// # Errors
    /// Where it is not out.
    fn report(&mut self, lease: LeaseId, outcome: Outcome, load: Vec<f32>) -> Result<(), LeaseError>;
    /// Makes a session of a lease, and tells how long it lasts.
    ///
    /// # Errors
    /// Where it is not out, or one already.
    fn establish(&mut self, lease: LeaseId) -> Result<Micros, LeaseError>;
    /// Prolongs a session, and tells how long it lasts.
    ///
    /// # Errors
    /// Where it is not out, or none.
    fn renew(&mut self, lease: LeaseId) -> Result<Micros, LeaseError>;
    /// Its client has left.
    fn client_gone(&mut self, request: RequestId);
}

/// What this front keeps in memory and for how long.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Decisions that a caller may have open.
    pub per_caller: usize,
    /// How long the end of a request that is safe to repeat is remembered.
    pub safe_memory: Micros,
    /// The same for one that is not. Keyed classes remember as long as their boxes do.
    pub unsafe_memory: Micros,
}

/// A request that a caller holds.
struct Held {
    claim: ClaimId,
    request: RequestId,
    class: u8,
    once: bool,
    /// Who would be told of an attempt now, or holds the one that is out.
    owner: CallerId,
    /// The question that is open.
    open: Option<u64>,
    /// The attempt that is out.
    out: Option<Send>,
    /// An attempt may have run.
    may_have_run: bool,
    waiting: SmallVec<[RequestRef; 1]>,
}

/// What has become of the questions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests asked for.
    pub asked: u64,
    /// Of these, held by another at that time.
    pub in_flight: u64,
    /// Of these, ended before.
    pub again: u64,
    /// Attempts told.
    pub sends: u64,
    /// Reports taken.
    pub reports: u64,
    /// Questions that changed nothing.
    pub rejected: u64,
    /// Requests withdrawn because their caller vanished, nothing having run.
    pub withdrawn: u64,
    /// Requests whose caller vanished and which may have run.
    pub unknown: u64,
}

/// The requests that callers hold.
pub struct DecisionService {
    claims: idempotency::SharedRegistry,
    bounds: Bounds,
    effects: Vec<Idempotency>,
    deadlines: Vec<Micros>,
    max_attempts: u16,
    draining: bool,
    next: u64,
    held: FxHashMap<RequestHandle, Held>,
    by_lease: FxHashMap<LeaseId, RequestHandle>,
    by_claim: FxHashMap<ClaimId, RequestHandle>,
    callers: FxHashMap<CallerId, FxHashSet<RequestHandle>>,
    replies: Vec<(RequestRef, Reply)>,
    revoked: Vec<(CallerId, LeaseId)>,
    counts: Counts,
}

/// Whether a further attempt may follow the one of this number.
fn repeat(effect: Idempotency, attempt: u16, max_attempts: u16) -> Repeat {
    match effect {
        _ if attempt + 1 >= max_attempts => Repeat::Never,
        Idempotency::Idempotent => Repeat::Always,
        Idempotency::Keyed { .. } => Repeat::WithinGroup,
        Idempotency::NonIdempotent => Repeat::IfNeverRan,
    }
}

impl DecisionService {
    /// A desk with nothing on it.
    #[must_use]
    pub fn new(settings: &Settings, bounds: Bounds, claims: idempotency::SharedRegistry) -> Self {
        Self {
            claims,
            bounds,
            effects: settings.classes.iter().map(|c| c.idempotency).collect(),
            deadlines: settings.classes.iter().map(|c| c.deadline).collect(),
            max_attempts: settings.permissions.max_attempts,
            draining: false,
            next: 1,
            held: FxHashMap::default(),
            by_lease: FxHashMap::default(),
            by_claim: FxHashMap::default(),
            callers: FxHashMap::default(),
            replies: Vec::new(),
            revoked: Vec::new(),
            counts: Counts::default(),
        }
    }

    // ---- What callers say ----

    /// A caller asks for a request.
    pub fn ask(&mut self, now: Micros, asked: RequestRef, request: &Request, port: &mut impl Port) {
        self.counts.asked += 1;
        if self.draining {
            return self.reject(asked, Fault::Draining);
        }
        if self.callers.get(&asked.caller).is_some_and(|held| held.len() >= self.bounds.per_caller) {
            return self.reject(asked, Fault::TooMany(self.bounds.per_caller));
        }
        let claimed = self.claims.borrow_mut().claim(now, &request.id, request.class, request.key.as_deref());
        match claimed {
            Err(fault) => self.reject(asked, fault.into()),
            Ok(ClaimStatus::Completed(CompletedRequest { status: end, .. })) => {
                self.counts.again += 1;
                self.tell(asked, Reply::Final { end, again: true });
            }
            Ok(ClaimStatus::InFlight { owner: by, since, by_key }) => {
                self.counts.in_flight += 1;
                if request.wait && self.wait(by, asked) {
                    return;
                }
                self.tell(asked, Reply::InFlight { held_for: now.saturating_sub(since), by_key });
            }
            Ok(ClaimStatus::New(claim)) => self.take(now, asked, request, claim, port),
        }
    }

    /// Whether the question now waits for the end of what `claim` holds.
    fn wait(&mut self, claim: ClaimId, asked: RequestRef) -> bool {
        // A request that this process carries for a client is not on this desk.
        let held = self.by_claim.get(&claim).and_then(|ticket| self.held.get_mut(ticket));
        let Some(held) = held.filter(|held| held.waiting.len() < MAX_WAITING) else { return false };
        held.waiting.push(asked);
        true
    }

    fn take(
        &mut self,
        now: Micros,
        asked: RequestRef,
        request: &Request,
        claim: ClaimId,
        port: &mut impl Port,
    ) {
        // The caller has held a lease for it, and what came of that is known nowhere any more.
        if request.prior.is_some() && self.effects[usize::from(request.class)] != Idempotency::Idempotent {
            self.settle(
                now,
                claim,
                request.class,
                FinalStatus::Unknown,
                idempotency::ExecutionEffect::Possible,
            );
            self.counts.unknown += 1;
            return self.tell(asked, Reply::Final { end: FinalStatus::Unknown, again: false });
        }
        let ticket = RequestHandle(self.next);
        self.next += 1;
        let Some(id) = port.admit(request, ticket) else {
            self.claims.borrow_mut().complete(now, claim, FORGOTTEN, idempotency::ExecutionEffect::None, 0);
            return self.reject(asked, Fault::Overload);
        };
        let held = Held {
            claim,
            request: id,
            class: request.class,
            once: request.once,
            owner: asked.caller,
            open: Some(asked.tag),
            out: None,
            may_have_run: false,
            waiting: SmallVec::new(),
        };
        self.held.insert(ticket, held);
        self.by_claim.insert(claim, ticket);
        self.callers.entry(asked.caller).or_default().insert(ticket);
    }

    /// A caller tells how an attempt ended.
    pub fn report(&mut self, now: Micros, asked: RequestRef, report: Report, port: &mut impl Port) {
        let Report { lease, outcome, endpoint, load } = report;
        let ticket = self.by_lease.get(&lease).copied();
        let held = ticket.and_then(|ticket| self.held.get_mut(&ticket).map(|held| (ticket, held)));
        let Some((ticket, held)) = held else {
            // Not one that is out here: the engine knows what is wrong with it, or what it still waits for.
            let taken = match outcome {
                Some(outcome) => port.report(lease, outcome, load).map(|()| Reply::Booked),
                None => port.establish(lease).map(Reply::Renewed),
            };
            return match taken {
                Ok(reply) => self.tell(asked, reply),
                Err(error) => self.reject(asked, error.into()),
            };
        };
        let told = held.out.map(|send| send.endpoint);
        if let (Some(told), Some(said)) = (told, endpoint)
            && told != said
        {
            return self.reject(asked, Fault::Endpoint(told));
        }
        let Some(outcome) = outcome else { return self.establish(asked, lease, port) };
        let (request, once) = (held.request, held.once && outcome != Outcome::Ok);
        if once {
            // It can't send again: the engine is to look for no further attempt.
            port.client_gone(request);
        }
        if let Err(error) = port.report(lease, outcome, load) {
            return self.reject(asked, error.into());
        }
        self.counts.reports += 1;
        self.by_lease.remove(&lease);
        self.change_owner(ticket, asked.caller);
        let Some(held) = self.held.get_mut(&ticket) else { return };
        held.out = None;
        held.open = Some(asked.tag);
        held.may_have_run |= !outcome.never_executed();
        if once {
            let end = if held.may_have_run { FinalStatus::Failed } else { FinalStatus::Rejected(now) };
            self.finish(now, ticket, end);
        }
    }

    fn establish(&mut self, asked: RequestRef, lease: LeaseId, port: &mut impl Port) {
        match port.establish(lease) {
            // The engine's answer, that the request is served, is a word of its own and finds no question open.
            Ok(until) => self.tell(asked, Reply::Renewed(until)),
            Err(error) => self.reject(asked, error.into()),
        }
    }

    /// The holder of a session tells that it goes on.
    pub fn renew(&mut self, asked: RequestRef, lease: LeaseId, port: &mut impl Port) {
        match port.renew(lease) {
            Ok(until) => self.tell(asked, Reply::Renewed(until)),
            Err(error) => self.reject(asked, error.into()),
        }
    }

    /// A caller has vanished. `heard`: words that went to it may have reached it; a call that was cancelled before its
    /// answer left has heard nothing.
    pub fn gone(&mut self, now: Micros, caller: CallerId, heard: bool, port: &mut impl Port) {
        let tickets = self.callers.remove(&caller).unwrap_or_default();
        // All of them leave first: a slot that one gives back must not go to another one of the same caller.
        for held in tickets.iter().filter_map(|ticket| self.held.get(ticket)) {
            port.client_gone(held.request);
        }
        for ticket in tickets {
            self.withdraw(now, ticket, heard, port);
        }
    }

    /// A call has ended with its answer: what it was told it may still report, by another call.
    pub fn answered(&mut self, caller: CallerId) {
        for ticket in self.callers.remove(&caller).unwrap_or_default() {
            debug_assert!(
                self.held.get(&ticket).is_none_or(|h| h.open.is_none()),
                "a call ends with its answer"
            );
        }
    }

    /// From now on no request is taken; what is held goes on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    // ---- What the engine says ----

    /// A word of the engine; `endpoint` is where its grant's backend listens now.
    pub fn word(
        &mut self,
        now: Micros,
        word: LeaseEvent,
        endpoint: Option<SocketAddr>,
        port: &mut impl Port,
    ) {
        match word {
            LeaseEvent::Granted(ticket, grant) => self.granted(now, ticket, grant, endpoint, port),
            LeaseEvent::Revoked(ticket, lease) => {
                let held = self.held.get(&ticket).filter(|h| h.out.is_some_and(|s| s.grant.lease == lease));
                if let Some(held) = held {
                    self.revoked.push((held.owner, lease));
                }
            }
            LeaseEvent::Completed(ticket, verdict) => {
                let end = match verdict {
                    FinalOutcome::Served(_) => FinalStatus::Served,
                    FinalOutcome::Rejected { retry_after } => {
                        FinalStatus::Rejected(now.saturating_add(retry_after))
                    }
                    FinalOutcome::Failed => FinalStatus::Failed,
                };
                self.finish(now, ticket, end);
            }
        }
    }

    fn granted(
        &mut self,
        now: Micros,
        ticket: RequestHandle,
        grant: LeaseGrant,
        endpoint: Option<SocketAddr>,
        port: &mut impl Port,
    ) {
        let Some(held) = self.held.get_mut(&ticket) else {
            // Nobody is there to send it.
            let _ = port.report(grant.lease, Outcome::NotSent, Vec::new());
            return;
        };
        // The lease before this one has run out unreported: it may have run.
        if let Some(before) = held.out.take() {
            self.by_lease.remove(&before.grant.lease);
            held.may_have_run = true;
        }
        match (held.open, endpoint) {
            (Some(tag), Some(endpoint)) => {
                let effect = self.effects[usize::from(held.class)];
                let repeat =
                    if held.once { Repeat::Never } else { repeat(effect, grant.attempt, self.max_attempts) };
                let send = Send { endpoint, grant, repeat };
                (held.open, held.out) = (None, Some(send));
                let asked = RequestRef { caller: held.owner, tag };
                self.by_lease.insert(grant.lease, ticket);
                self.counts.sends += 1;
                self.tell(asked, Reply::Send(send));
            }
            // The box left in this very moment: the decisions choose another one.
            (Some(_), None) => {
                let _ = port.report(grant.lease, Outcome::NotSent, Vec::new());
            }
            // Its caller has let the last lease run out and does not wait for another.
            (None, _) => {
                let request = held.request;
                port.client_gone(request);
                let _ = port.report(grant.lease, Outcome::NotSent, Vec::new());
                self.finish(now, ticket, FinalStatus::Unknown);
            }
        }
    }

    // ---- What the shell takes ----

    /// What callers are to be told, in order.
    pub fn take_replies(&mut self) -> Vec<(RequestRef, Reply)> {
        std::mem::take(&mut self.replies)
    }

    /// Leases to be asked back, and from whom.
    pub fn take_revoked(&mut self) -> Vec<(CallerId, LeaseId)> {
        std::mem::take(&mut self.revoked)
    }

    /// Requests that callers hold.
    #[must_use]
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// What has become of the questions.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }

    // ---- Inside ----

    fn tell(&mut self, asked: RequestRef, reply: Reply) {
        self.replies.push((asked, reply));
    }

    fn reject(&mut self, asked: RequestRef, fault: Fault) {
        self.counts.rejected += 1;
        self.tell(asked, Reply::Rejected(fault));
    }

    fn change_owner(&mut self, ticket: RequestHandle, to: CallerId) {
        let Some(held) = self.held.get_mut(&ticket) else { return };
        let from = std::mem::replace(&mut held.owner, to);
        if from != to {
            self.leave(from, ticket);
        }
        self.callers.entry(to).or_default().insert(ticket);
    }

    fn leave(&mut self, caller: CallerId, ticket: RequestHandle) {
        if let Some(held) = self.callers.get_mut(&caller) {
            held.remove(&ticket);
            if held.is_empty() {
                self.callers.remove(&caller);
            }
        }
    }

    fn withdraw(&mut self, now: Micros, ticket: RequestHandle, heard: bool, port: &mut impl Port) {
        let Some(held) = self.held.get_mut(&ticket) else { return };
        if let Some(send) = held.out.take() {
            held.may_have_run |= heard;
            let outcome = if heard { Outcome::Cancelled } else { Outcome::NotSent };
            self.by_lease.remove(&send.grant.lease);
            // One that has run out meanwhile is settled as one that may have run.
            let _ = port.report(send.grant.lease, outcome, Vec::new());
        }
        held.open = None;
        let end = if held.may_have_run { FinalStatus::Unknown } else { FinalStatus::Rejected(now) };
        match end {
            FinalStatus::Unknown => self.counts.unknown += 1,
            _ => self.counts.withdrawn += 1,
        }
        self.finish(now, ticket, end);
    }

    /// The one place where a request ends: its claim, the question that is open, and those who wait.
    fn finish(&mut self, now: Micros, ticket: RequestHandle, end: FinalStatus) {
        let Some(held) = self.held.remove(&ticket) else { return };
        self.by_claim.remove(&held.claim);
        self.leave(held.owner, ticket);
        if let Some(send) = held.out {
            self.by_lease.remove(&send.grant.lease);
        }
        let ran = held.may_have_run || held.out.is_some() || end == FinalStatus::Served;
        let effect =
            if ran { idempotency::ExecutionEffect::Possible } else { idempotency::ExecutionEffect::None };
        let told = held.open.map(|tag| RequestRef { caller: held.owner, tag });
        if told.is_none() && !ran {
            // Nobody was told an end and nothing has run: whoever asks again gets a decision.
            self.claims.borrow_mut().complete(now, held.claim, FORGOTTEN, effect, 0);
        } else {
            self.settle(now, held.claim, held.class, end, effect);
        }
        if let Some(asked) = told {
            self.tell(asked, Reply::Final { end, again: false });
        }
        for asked in held.waiting {
            self.tell(asked, Reply::Final { end, again: true });
        }
    }

    fn settle(
        &self,
        now: Micros,
        claim: ClaimId,
        class: u8,
        end: FinalStatus,
        effect: idempotency::ExecutionEffect,
    ) {
        let remembered = CompletedRequest { front_end: FrontEnd::External, status: end };
        self.claims.borrow_mut().complete(now, claim, remembered, effect, self.memory(class));
    }

    fn memory(&self, class: u8) -> Micros {
        let class = usize::from(class);
        match self.effects[class] {
            Idempotency::Idempotent => self.bounds.safe_memory,
            Idempotency::Keyed { ttl, .. } => ttl.max(self.deadlines[class]),
            Idempotency::NonIdempotent => self.bounds.unsafe_memory.max(self.deadlines[class]),
        }
    }
}

/// What a claim is settled with that is forgotten at once.
const FORGOTTEN: CompletedRequest =
    CompletedRequest { front_end: FrontEnd::External, status: FinalStatus::Rejected(0) };
