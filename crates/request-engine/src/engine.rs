//! Requests, timers and attempts round the decisions: a state machine with no I/O and no clock.
//!
//! The four rules are kept here for every front alike:
//! 1. One final answer: a request's reply is moved out with its only [`Command::Respond`], by its last moment at the
//!    latest; nothing can be said of it afterwards.
//! 2. No effect twice: an attempt settles once, and the decisions are told of it in the same step. A lease that runs
//!    out counts as one that may have run.
//! 3. Drains: a carried attempt starts at once; a lease may be used for [`SEND_WINDOW`] only, and is asked back
//!    when its backend drains or goes.
//! 4. Cold backends: both kinds of attempts come from the decisions' one [`Action::Send`], after its budget.

use crate::lease::{Lease, LeaseCounts, LeaseError, LeaseId, Leases, Stage};
pub use crate::messages::{
    AttemptEnd, Command, Counts, Dispatch, EngineLimits, FinalOutcome, IncomingRequest, LeaseGrant,
    MessageTypes, Overload, Schedule,
};
use crate::open::{Attempt, Open, Pending, State};
use crate::timers::{TimerKind, Timers};
use balancer::api::{
    Action, AttemptResult, Backend, BackendId, Event, LearnedState, MembershipUpdate, Micros, Outcome,
    Readiness, Request, RequestId, Settings, SettingsError,
};
use balancer::balancer::Balancer;
use rustc_hash::{FxHashMap, FxHashSet};
use std::collections::VecDeque;

/// The decisions are told that a request's time ends this much before the client's does: the answer has to be
/// written and to travel.
pub const ANSWER_MARGIN: Micros = 20_000;
/// A request that the decisions have left open is failed this much before the client's time ends.
pub const LAST_MARGIN: Micros = 10_000;
/// How long after its grant the holder of a lease may begin to send. Well within the second for which a backend that
/// drains may still get something new, so that a lease granted just before the news keeps that rule too.
pub const SEND_WINDOW: Micros = 250_000;
/// How long after an attempt is given up its holder's report may still arrive. Under `ANSWER_MARGIN` less
/// `LAST_MARGIN`, so that the decisions word the final answer and not the last moment.
pub const REPORT_GRACE: Micros = 8_000;
/// A session that is not renewed for this long is over: its holder has died, and its slot has to come back.
pub const SESSION_LEASE: Micros = 30_000_000;

/// Owns the decisions and all that is open.
pub struct Engine<X: MessageTypes> {
    balancer: Balancer,
    bounds: EngineLimits,
    /// How often a request that comes now may be sent.
    max_attempts: usize,
    /// The latest time that was told: an earlier one counts as this.
    latest: Micros,
    /// By when everything has to be answered, once the process has been told to end.
    answers_by: Option<Micros>,
    next_id: RequestId,
    open: FxHashMap<RequestId, Open<X>>,
    leases: Leases,
    timers: Timers,
    never_sent: VecDeque<Pending>,
    actions: Vec<Action>,
    commands: VecDeque<Command<X>>,
    counts: Counts,
}

impl<X: MessageTypes> Engine<X> {
    /// An engine with nothing open that knows no backends. `life` must differ from one start to the next: it tells
    /// the leases of this life from those of others.
    ///
    /// # Errors
    /// The first of the settings that makes no sense.
    pub fn new(
        settings: Settings,
        bounds: EngineLimits,
        seed: u64,
        life: u64,
        now: Micros,
    ) -> Result<Self, SettingsError> {
        let max_attempts = usize::from(settings.permissions.max_attempts);
        Ok(Self {
            balancer: Balancer::new(settings, seed, now)?,
            bounds,
            max_attempts,
            latest: now,
            answers_by: None,
            next_id: 1,
            open: FxHashMap::default(),
            leases: Leases::new(life, bounds.leases),
            timers: Timers::default(),
            never_sent: VecDeque::new(),
            actions: Vec::new(),
            commands: VecDeque::new(),
            counts: Counts::default(),
        })
    }

    // ---- What fronts say ----

    /// Takes a request. Its final answer comes as one [`Command::Respond`], unless its client leaves first.
    ///
    /// # Errors
    /// At a bound: the request was not taken, and nothing will be said of it.
    pub fn admit(
        &mut self,
        now: Micros,
        arrival: IncomingRequest<X::OutboundRequest>,
        reply: X::Responder,
    ) -> Result<RequestId, Overload<X::Responder>> {
        let now = self.at(now);
        if self.open.len() >= self.bounds.requests {
            self.counts.overloaded += 1;
            return Err(Overload::Requests(reply));
        }
        if matches!(arrival.dispatch, Dispatch::Leased) && !self.leases.has_capacity() {
            self.counts.overloaded += 1;
            return Err(Overload::Leases(reply));
        }
        self.counts.admitted += 1;
        let id = self.number();
        let waits_until = arrival.arrived_at.saturating_add(arrival.timeout);
        let left = self.answers_by.map_or(waits_until, |by| waits_until.min(by)).saturating_sub(now);
        let request = Request {
            id,
            class: arrival.class,
            tenant: arrival.tenant,
            key: arrival.key,
            // A client with hardly any time at all is not robbed of what it has.
            timeout: left.saturating_sub(ANSWER_MARGIN.min(left / 2)),
            expected_work: arrival.expected_work,
            is_retry: arrival.is_retry,
            is_proxied: matches!(arrival.dispatch, Dispatch::Proxied(_)),
        };
        let open = Open {
            conduct: arrival.dispatch,
            reply: Some(reply),
            max_attempts: self.max_attempts,
            attempts: Vec::new(),
        };
        self.open.insert(id, open);
        self.remind(now + left.saturating_sub(LAST_MARGIN.min(left / 4)), TimerKind::ResponseDeadline(id));
        self.feed(now, Event::Request(request));
        Ok(id)
    }

    /// The client of a request has left: nothing more is said to it, and what has not been sent for it is not sent.
    pub fn client_disconnected(&mut self, now: Micros, request: RequestId) {
        let now = self.at(now);
        if let Some(open) = self.open.get_mut(&request)
            && open.reply.take().is_some()
        {
            self.counts.client_disconnected += 1;
            self.withdraw_unsent(request);
            self.feed(now, Event::ClientDisconnected(request));
            self.forget(request);
        }
    }

    /// The process ends: whatever is open and whatever still comes has its final answer by then.
    pub fn set_response_deadline(&mut self, now: Micros, by: Micros) {
        let now = self.at(now);
        self.answers_by = Some(by);
        let mut waiting: Vec<_> =
            self.open.iter().filter(|(_, open)| open.reply.is_some()).map(|(&id, _)| id).collect();
        // The table has no order of its own; the answers have.
        waiting.sort_unstable();
        let at = by.saturating_sub(LAST_MARGIN).max(now);
        for request in waiting {
            self.remind(at, TimerKind::ResponseDeadline(request));
        }
    }

    /// A carried attempt has ended.
    pub fn attempt_finished(
        &mut self,
        now: Micros,
        request: RequestId,
        attempt: u16,
        ended: AttemptEnd<X::Response>,
    ) {
        let now = self.at(now);
        if self.is_carried(request, attempt) {
            self.settle(now, request, attempt, ended);
            self.settle_never_sent(now);
        } else {
            self.counts.unmatched += 1;
        }
    }

    /// A carried attempt has become a session: its backend has answered and its slot is held until the attempt ends.
    pub fn session_established(
        &mut self,
        now: Micros,
        request: RequestId,
        attempt: u16,
        payload: X::Response,
    ) {
        let now = self.at(now);
        if self.is_carried(request, attempt) {
            self.occupy(now, request, attempt, Some(payload));
        } else {
            self.counts.unmatched += 1;
        }
    }

    /// The holder of a lease tells how its attempt ended.
    ///
    /// # Errors
    /// Where the lease is not out; then nothing has changed.
    pub fn report_result(
        &mut self,
        now: Micros,
        lease: LeaseId,
        ended: AttemptEnd<X::Response>,
    ) -> Result<(), LeaseError> {
        let now = self.at(now);
        self.leases.find(now, lease)?;
        if let Some(Lease { request, attempt, .. }) = self.leases.reported(lease.serial) {
            self.settle(now, request, attempt, ended);
            self.settle_never_sent(now);
        }
        Ok(())
    }

    /// The holder of a lease tells that its attempt has become a session. Gives the time until which it holds its
    /// slot without being renewed.
    ///
    /// # Errors
    /// Where the lease is not out or a session already; then nothing has changed.
    pub fn establish_session(&mut self, now: Micros, id: LeaseId) -> Result<Micros, LeaseError> {
        let now = self.at(now);
        let expires = now.saturating_add(SESSION_LEASE);
        let lease = self.leases.find(now, id)?;
        if lease.stage == Stage::Session {
            self.leases.counts.wrong_state += 1;
            return Err(LeaseError::WrongState);
        }
        (lease.stage, lease.expires) = (Stage::Session, expires);
        let (request, attempt) = (lease.request, lease.attempt);
        self.occupy(now, request, attempt, None);
        Ok(expires)
    }

    /// The holder of a session tells that it goes on. Gives the time until which it then holds its slot.
    ///
    /// # Errors
    /// Where the lease is not out or no session; then nothing has changed.
    pub fn renew_session(&mut self, now: Micros, id: LeaseId) -> Result<Micros, LeaseError> {
        let now = self.at(now);
        let lease = self.leases.find(now, id)?;
        if lease.stage != Stage::Session {
            self.leases.counts.wrong_state += 1;
            return Err(LeaseError::WrongState);
        }
        lease.expires = now.saturating_add(SESSION_LEASE);
        Ok(lease.expires)
    }

    /// News of the backends. Leases on those that drain or are gone are asked back while they may be unsent.
    pub fn update_membership(&mut self, now: Micros, news: MembershipUpdate<'_>) {
        let now = self.at(now);
        let unsent = if self.leases.len() == 0 { Vec::new() } else { self.unsent(now, news) };
        self.feed(now, Event::Membership(news));
        for serial in unsent {
            self.revoke(serial);
        }
    }

    /// Other settings hold for requests that come from now on; see [`Event::SettingsChanged`].
    ///
    /// # Errors
    /// The first setting that makes no sense; then nothing has changed.
    pub fn update_settings(&mut self, now: Micros, settings: &Settings) -> Result<(), SettingsError> {
        settings.validate()?;
        let now = self.at(now);
        self.max_attempts = usize::from(settings.permissions.max_attempts);
        self.feed(now, Event::SettingsChanged(settings));
        Ok(())
    }

    /// What the decisions have learnt, for the process that takes this one's place.
    #[must_use]
    pub fn learned_state(&self) -> LearnedState {
        self.balancer.learned_state()
    }

    /// The decisions go on from what those of another process have learnt. Whether that fits them.
    pub fn restore(&mut self, now: Micros, memory: &LearnedState) -> bool {
        let now = self.at(now);
        self.balancer.restore(now, memory)
    }

    /// A probe has ended.
    pub fn health_check_finished(
        &mut self,
        now: Micros,
        backend: BackendId,
        outcome: Outcome,
        report: &[f32],
    ) {
        let now = self.at(now);
        self.feed(now, Event::HealthCheckFinished { backend, outcome, load_report: report });
    }

    /// Hands on what is due.
    pub fn advance(&mut self, now: Micros) {
        let now = self.at(now);
        while let Some(due) = self.timers.pop(now) {
            match due {
                TimerKind::Decision(token) => self.feed(now, Event::TimerExpired(token)),
                TimerKind::ResponseDeadline(request) => self.last_moment(now, request),
                TimerKind::LeaseExpiry(serial) => self.lease_end(now, serial),
            }
        }
    }

    // ---- What fronts ask ----

    /// When [`Engine::advance`] is next wanted.
    #[must_use]
    pub fn next_timer(&self) -> Option<Micros> {
        self.timers.next()
    }

    /// The next thing to do, oldest first.
    pub fn next_command(&mut self) -> Option<Command<X>> {
        self.commands.pop_front()
    }

    /// Where the answer of a request will go, while it has none.
    #[must_use]
    pub fn responder(&self, request: RequestId) -> Option<&X::Responder> {
        self.open.get(&request)?.reply.as_ref()
    }

    /// Requests whose attempts have not all ended.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.open.len()
    }

    /// Leases that are out.
    #[must_use]
    pub fn active_leases(&self) -> usize {
        self.leases.len()
    }

    /// Timers that are kept, those of ended causes too.
    #[must_use]
    pub fn pending_timers(&self) -> usize {
        self.timers.len()
    }

    /// The limit and the requests in flight of each ready backend, for operators.
    #[must_use]
    pub fn limits(&self) -> Vec<(f64, u32)> {
        self.balancer.limits().collect()
    }

    /// What has become of the requests.
    #[must_use]
    pub fn counts(&self) -> Counts {
        Counts { ejections: self.balancer.ejections(), ..self.counts }
    }

    /// What has become of the leases.
    #[must_use]
    pub fn lease_counts(&self) -> LeaseCounts {
        self.leases.counts
    }

    // ---- Inside ----

    /// Time does not go back, whatever a caller's clock does.
    fn at(&mut self, now: Micros) -> Micros {
        self.latest = self.latest.max(now);
        self.latest
    }

    /// A number that no open request has.
    fn number(&mut self) -> RequestId {
        loop {
            let id = self.next_id;
            self.next_id = id.wrapping_add(1);
            if !self.open.contains_key(&id) {
                return id;
            }
        }
    }

    fn remind(&mut self, at: Micros, due: TimerKind) {
        let (open, leases) = (&self.open, &self.leases);
        self.timers.add(at, due, |due| match due {
            TimerKind::Decision(_) => true,
            TimerKind::ResponseDeadline(request) => {
                open.get(&request).is_some_and(|open| open.reply.is_some())
            }
            TimerKind::LeaseExpiry(serial) => leases.is_out(serial),
        });
    }

    fn is_carried(&self, request: RequestId, attempt: u16) -> bool {
        let open = self.open.get(&request);
        let attempt = open.and_then(|open| open.attempts.get(usize::from(attempt)));
        attempt.is_some_and(|a| a.lease == 0 && a.state != State::Ended)
    }

    /// Rule 1: whatever the decisions are waiting for, the client gets an answer before its time ends.
    fn last_moment(&mut self, now: Micros, request: RequestId) {
        if self.responder(request).is_some() {
            self.counts.deadline_failures += 1;
            self.withdraw_unsent(request);
            self.answer(request, FinalOutcome::Failed);
            self.feed(now, Event::ClientDisconnected(request));
        }
    }

    /// Rule 2: the holder has said nothing; whether its attempt ran is not known.
    fn lease_end(&mut self, now: Micros, serial: u64) {
        match self.leases.expire(now, serial) {
            Ok(Some(Lease { request, attempt, .. })) => {
                self.settle(now, request, attempt, Outcome::Timeout.into());
                self.settle_never_sent(now);
            }
            Ok(None) => {}
            Err(later) => self.remind(later, TimerKind::LeaseExpiry(serial)),
        }
    }

    fn unsent(&self, now: Micros, news: MembershipUpdate<'_>) -> Vec<u64> {
        let of = |entries: &[Backend], ready: bool| -> FxHashSet<BackendId> {
            let wanted = entries.iter().filter(|e| (e.readiness == Readiness::Ready) == ready);
            wanted.map(|e| e.id).collect()
        };
        match news {
            MembershipUpdate::Delta(entries) => {
                let left = of(entries, false);
                self.leases.unsent_on(now, |backend| left.contains(&backend))
            }
            MembershipUpdate::Snapshot(entries) | MembershipUpdate::CachedSnapshot(entries) => {
                let ready = of(entries, true);
                self.leases.unsent_on(now, |backend| !ready.contains(&backend))
            }
            MembershipUpdate::Failed => Vec::new(),
        }
    }

    fn revoke(&mut self, serial: u64) {
        let lease = self.leases.id(serial);
        if let Some(request) = self.leases.revoke(serial) {
            self.commands.push_back(Command::RevokeLease { request, lease });
        }
    }

    /// Gives the decisions an event, and then whatever their actions have caused at once.
    fn feed(&mut self, now: Micros, event: Event<'_>) {
        self.balancer.handle(now, event, &mut self.actions);
        self.act(now);
        self.settle_never_sent(now);
    }

    fn settle_never_sent(&mut self, now: Micros) {
        while let Some(Pending { request, attempt }) = self.never_sent.pop_front() {
            self.settle(now, request, attempt, Outcome::NotSent.into());
        }
    }

    /// The one place where an attempt ends.
    fn settle(&mut self, now: Micros, request: RequestId, number: u16, ended: AttemptEnd<X::Response>) {
        let Some(open) = self.open.get_mut(&request) else { return };
        let Some(attempt) = open.attempts.get_mut(usize::from(number)) else { return };
        let was = std::mem::replace(&mut attempt.state, State::Ended);
        assert!(was != State::Ended, "attempt {number} of request {request} ends twice");
        let (backend, elapsed) =
            (attempt.backend, now.saturating_sub(attempt.sent_at).saturating_sub(ended.client_wait));
        // The first answer of a backend reaches the client without being asked for.
        if ended.outcome == Outcome::Ok {
            self.answer(request, FinalOutcome::Served(ended.response));
        }
        self.counts.outcomes[ended.outcome as usize] += 1;
        let closed = self.responder(request).is_none();
        let (outcome, report) = (ended.outcome, ended.load_report.as_slice());
        let settled = AttemptResult {
            request,
            backend,
            attempt: number,
            outcome,
            is_answered: closed,
            elapsed,
            load_report: report,
        };
        self.balancer.handle(now, Event::AttemptFinished(settled), &mut self.actions);
        self.act(now);
        self.forget(request);
    }

    fn occupy(&mut self, now: Micros, request: RequestId, number: u16, payload: Option<X::Response>) {
        let open = self.open.get_mut(&request);
        let Some(attempt) = open.and_then(|open| open.attempts.get_mut(usize::from(number))) else { return };
        if attempt.state != State::Out {
            self.counts.unmatched += 1;
            return;
        }
        attempt.state = State::Session;
        self.answer(request, FinalOutcome::Served(payload));
        self.feed(now, Event::SessionEstablished { request, attempt: number });
    }

    /// Removes a request for which nothing more can come.
    fn forget(&mut self, request: RequestId) {
        if self.open.get(&request).is_some_and(Open::is_over) {
            self.open.remove(&request);
        }
    }

    fn act(&mut self, now: Micros) {
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            match action {
                Action::Send { request, backend, start_by: begin_by, give_up_at } => {
                    self.send(now, request, backend, Schedule { start_by: begin_by, give_up_at });
                }
                Action::Reject { request, retry_after } => {
                    self.answer(request, FinalOutcome::Rejected { retry_after });
                }
                Action::Fail { request } => self.answer(request, FinalOutcome::Failed),
                Action::Cancel { request, attempt } => self.withdraw(request, attempt),
                Action::SetTimer { delay: after, token } => {
                    self.remind(now.saturating_add(after), TimerKind::Decision(token));
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

    /// The one place where a final answer leaves.
    fn answer(&mut self, request: RequestId, verdict: FinalOutcome<X::Response>) {
        let Some(reply) = self.open.get_mut(&request).and_then(|open| open.reply.take()) else { return };
        let count = match verdict {
            FinalOutcome::Served(_) => &mut self.counts.served,
            FinalOutcome::Rejected { .. } => &mut self.counts.rejected,
            FinalOutcome::Failed => &mut self.counts.failed,
        };
        *count += 1;
        self.commands.push_back(Command::Respond { request, responder: reply, outcome: verdict });
        self.forget(request);
    }

    fn send(&mut self, now: Micros, request: RequestId, backend: BackendId, schedule: Schedule) {
        let Some(open) = self.open.get_mut(&request) else { return };
        let attempt = open.attempts.len() as u16;
        let may_go =
            open.reply.is_some() && open.attempts.len() < open.max_attempts && schedule.give_up_at > now;
        open.attempts.push(Attempt { backend, sent_at: now, state: State::Out, lease: 0 });
        self.counts.attempts += 1;
        match &open.conduct {
            _ if !may_go => self.never_sent.push_back(Pending { request, attempt }),
            Dispatch::Proxied(work) => {
                let (work, once) = (work.clone(), X::is_single_use(work));
                self.commands.push_back(Command::StartAttempt {
                    request,
                    attempt,
                    backend,
                    schedule,
                    outbound_request: work,
                });
                if once {
                    // What is not kept can't be sent again, whatever comes of it.
                    self.balancer.handle(now, Event::ResponseStarted { request, attempt }, &mut self.actions);
                }
            }
            Dispatch::Leased => self.grant(now, request, attempt, backend, schedule),
        }
    }

    fn grant(
        &mut self,
        now: Micros,
        request: RequestId,
        attempt: u16,
        backend: BackendId,
        Schedule { start_by: begin_by, give_up_at }: Schedule,
    ) {
        let send_by = give_up_at.min(begin_by).min(now.saturating_add(SEND_WINDOW));
        let expires = give_up_at.saturating_add(REPORT_GRACE);
        let lease =
            Lease { request, attempt, backend, send_by, expires, stage: Stage::Granted, revoked: false };
        let Some(id) = self.leases.grant(lease) else {
            self.never_sent.push_back(Pending { request, attempt });
            return;
        };
        if let Some(a) = self.open.get_mut(&request).and_then(|o| o.attempts.get_mut(usize::from(attempt))) {
            a.lease = id.serial;
        }
        self.remind(expires, TimerKind::LeaseExpiry(id.serial));
        self.commands.push_back(Command::GrantLease(LeaseGrant {
            lease: id,
            request,
            attempt,
            backend,
            send_by,
            give_up_at,
        }));
    }

    /// Nobody waits for the request any more: of its carried attempts those that have not left stay here. One that has
    /// goes on, as the settings and the decisions say; a lease that was not used runs out by itself.
    fn withdraw_unsent(&mut self, request: RequestId) {
        let Some(open) = self.open.get(&request) else { return };
        let out = open.attempts.iter().enumerate().filter(|(_, a)| a.state == State::Out && a.lease == 0);
        let withdrawn =
            out.map(|(attempt, _)| Command::CancelUnsentAttempt { request, attempt: attempt as u16 });
        self.commands.extend(withdrawn);
    }

    fn withdraw(&mut self, request: RequestId, number: u16) {
        let open = self.open.get(&request);
        let Some(attempt) = open.and_then(|open| open.attempts.get(usize::from(number))) else { return };
        match (attempt.state, attempt.lease) {
            (State::Ended, _) => {}
            (_, 0) => self.commands.push_back(Command::CancelAttempt { request, attempt: number }),
            (_, serial) => self.revoke(serial),
        }
    }
}
