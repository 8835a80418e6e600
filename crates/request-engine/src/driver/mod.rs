//! The asynchronous part: fronts call the engine through a [`Handle`], its commands go to a [`Transport`], and one
//! task sleeps until the next timer.
//!
//! All of it lives on one thread (a `LocalSet`). A front's call runs the engine at once, with no queue between them:
//! nothing can pile up there, and a request costs no change of task.

pub mod cancellation;
pub mod clock;

use crate::engine::{
    AttemptEnd, Command, Counts, Engine, FinalOutcome, IncomingRequest, LeaseGrant, MessageTypes, Overload,
    Schedule,
};
use crate::lease::{LeaseCounts, LeaseError, LeaseId};
use balancer::api::{BackendId, LearnedState, MembershipUpdate, Micros, RequestId, Settings, SettingsError};
use cancellation::CancellationSignal;
use clock::Clock;
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

/// When an attempt may begin, and when it is given up, as the runtime's timers want it.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTimes {
    /// From when on it may not begin any more.
    pub start_by: Option<Instant>,
    /// When it is given up.
    pub give_up_at: Instant,
}

/// What carries the engine's commands out. None of these may call the engine back before it returns.
pub trait Transport: Sized + 'static {
    /// The types that travel.
    type Messages: MessageTypes;

    /// Makes an attempt on a backend and tells how it ended: given up as `times` say, or when `recall` says so.
    fn start_attempt(
        &self,
        backend: BackendId,
        work: <Self::Messages as MessageTypes>::OutboundRequest,
        times: AttemptTimes,
        recall: Rc<CancellationSignal>,
    ) -> impl Future<Output = AttemptEnd<<Self::Messages as MessageTypes>::Response>> + 'static;

    /// Probes a backend and tells how that ended.
    fn check_health(
        &self,
        backend: BackendId,
    ) -> impl Future<Output = AttemptEnd<<Self::Messages as MessageTypes>::Response>> + 'static;

    /// Hands a final answer to its front.
    fn respond(
        &self,
        reply: <Self::Messages as MessageTypes>::Responder,
        verdict: FinalOutcome<<Self::Messages as MessageTypes>::Response>,
    );

    /// Tells the front of a request that its caller holds a lease; `None` where the caller has left.
    fn grant_lease(&self, reply: Option<&<Self::Messages as MessageTypes>::Responder>, grant: LeaseGrant);

    /// Asks a lease back; `None` where the caller has left.
    fn revoke_lease(&self, reply: Option<&<Self::Messages as MessageTypes>::Responder>, lease: LeaseId);

    /// Begins to follow discovery, where it has to be asked.
    fn subscribe(&self);

    /// Closes the idle connections to a backend.
    fn close_idle_connections(&self, backend: BackendId);

    /// Writes a line for the operators.
    fn log(&self, line: &str);
}

type Work<T> = <<T as Transport>::Messages as MessageTypes>::OutboundRequest;
type Reply<T> = <<T as Transport>::Messages as MessageTypes>::Responder;
type Payload<T> = <<T as Transport>::Messages as MessageTypes>::Response;

struct Inner<T: Transport> {
    engine: RefCell<Engine<T::Messages>>,
    /// What takes back the carried attempts that are out.
    recalls: RefCell<FxHashMap<(RequestId, u16), Rc<CancellationSignal>>>,
    transport: T,
    clock: Clock,
    /// Until when the timers' task sleeps; `Micros::MAX`: until it is woken.
    asleep_until: Cell<Micros>,
    wake: Notify,
    /// A call of the engine panicked: what it left behind can't be trusted.
    broken: Cell<bool>,
}

/// Marks the engine as broken where a call of it unwinds.
struct Watch<'a, T: Transport>(&'a Inner<T>);

impl<T: Transport> Drop for Watch<'_, T> {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.0.broken.set(true);
            self.0.wake.notify_one();
        }
    }
}

/// The way to the engine.
pub struct Handle<T: Transport>(Rc<Inner<T>>);

impl<T: Transport> Clone for Handle<T> {
    fn clone(&self) -> Self {
        Self(Rc::clone(&self.0))
    }
}

impl<T: Transport> Handle<T> {
    /// The way to this engine.
    #[must_use]
    pub fn new(engine: Engine<T::Messages>, clock: Clock, transport: T) -> Self {
        Self(Rc::new(Inner {
            engine: RefCell::new(engine),
            recalls: RefCell::default(),
            transport,
            clock,
            asleep_until: Cell::new(0),
            wake: Notify::new(),
            broken: Cell::new(false),
        }))
    }

    /// Keeps the timers. Ends only when the engine has panicked: the process should then end too.
    pub async fn run(self) {
        while !self.0.broken.get() {
            let next = self.drive(|engine, _| engine.next_timer());
            self.0.asleep_until.set(next.unwrap_or(Micros::MAX));
            match next {
                None => self.0.wake.notified().await,
                Some(due) => tokio::select! {
                    () = self.0.wake.notified() => {}
                    () = sleep_until(self.0.clock.instant(due)) => {}
                },
            }
            self.0.asleep_until.set(0);
        }
    }

    /// Takes a request; see [`Engine::admit`].
    ///
    /// # Errors
    /// At a bound.
    pub fn admit(
        &self,
        arrival: IncomingRequest<Work<T>>,
        reply: Reply<T>,
    ) -> Result<RequestId, Overload<Reply<T>>> {
        self.drive(|engine, now| engine.admit(now, arrival, reply))
    }

    /// The client of a request has left.
    pub fn client_disconnected(&self, request: RequestId) {
        self.drive(|engine, now| engine.client_disconnected(now, request));
    }

    /// The holder of a lease tells how its attempt ended.
    ///
    /// # Errors
    /// Where the lease is not out.
    pub fn report_result(&self, lease: LeaseId, ended: AttemptEnd<Payload<T>>) -> Result<(), LeaseError> {
        self.drive(|engine, now| engine.report_result(now, lease, ended))
    }

    /// The holder of a lease tells that its attempt has become a session; gives the time left without being renewed.
    ///
    /// # Errors
    /// Where the lease is not out or a session already.
    pub fn establish_session(&self, lease: LeaseId) -> Result<Micros, LeaseError> {
        self.drive(|engine, now| engine.establish_session(now, lease).map(|until| until.saturating_sub(now)))
    }

    /// The holder of a session tells that it goes on; gives the time left without being renewed.
    ///
    /// # Errors
    /// Where the lease is not out or no session.
    pub fn renew_session(&self, lease: LeaseId) -> Result<Micros, LeaseError> {
        self.drive(|engine, now| engine.renew_session(now, lease).map(|until| until.saturating_sub(now)))
    }

    /// The process ends: see [`Engine::set_response_deadline`].
    pub fn set_response_deadline(&self, by: Micros) {
        self.drive(|engine, now| engine.set_response_deadline(now, by));
    }

    /// News of the backends.
    pub fn update_membership(&self, news: MembershipUpdate<'_>) {
        self.drive(|engine, now| engine.update_membership(now, news));
    }

    /// Other settings hold for requests that come from now on.
    ///
    /// # Errors
    /// The first setting that makes no sense; then nothing has changed.
    pub fn update_settings(&self, settings: &Settings) -> Result<(), SettingsError> {
        self.drive(|engine, now| engine.update_settings(now, settings))
    }

    /// What the decisions have learnt.
    #[must_use]
    pub fn learned_state(&self) -> LearnedState {
        self.0.engine.borrow().learned_state()
    }

    /// The decisions go on from what those of another process have learnt. Whether that fits them.
    #[must_use]
    pub fn restore(&self, memory: &LearnedState) -> bool {
        self.drive(|engine, now| engine.restore(now, memory))
    }

    /// The transport, for what a front does beside requests.
    #[must_use]
    pub fn transport(&self) -> &T {
        &self.0.transport
    }

    /// The clock that all events are told by.
    #[must_use]
    pub fn clock(&self) -> Clock {
        self.0.clock
    }

    /// What has become of the requests and of the leases.
    #[must_use]
    pub fn counts(&self) -> (Counts, LeaseCounts) {
        let engine = self.0.engine.borrow();
        (engine.counts(), engine.lease_counts())
    }

    /// The limit and the requests in flight of each ready backend, for operators.
    #[must_use]
    pub fn limits(&self) -> Vec<(f64, u32)> {
        self.0.engine.borrow().limits()
    }

    /// Runs the engine, then what is due, then all that both want done.
    fn drive<R>(&self, run: impl FnOnce(&mut Engine<T::Messages>, Micros) -> R) -> R {
        let inner = &*self.0;
        let _watch = Watch(inner);
        let engine = &mut *inner.engine.borrow_mut();
        let now = inner.clock.now();
        let result = run(engine, now);
        // Under a steady stream of calls the timers still have their turn.
        engine.advance(now);
        while let Some(command) = engine.next_command() {
            self.carry_out(engine, command);
        }
        if engine.next_timer().unwrap_or(Micros::MAX) < inner.asleep_until.get() {
            inner.wake.notify_one();
        }
        result
    }

    fn carry_out(&self, engine: &Engine<T::Messages>, command: Command<T::Messages>) {
        let transport = &self.0.transport;
        match command {
            Command::StartAttempt { request, attempt, backend, schedule, outbound_request: work } => {
                self.start(request, attempt, backend, schedule, work);
            }
            Command::CancelAttempt { request, attempt } => {
                if let Some(recall) = self.0.recalls.borrow().get(&(request, attempt)) {
                    recall.cancel();
                }
            }
            Command::CancelUnsentAttempt { request, attempt } => {
                if let Some(recall) = self.0.recalls.borrow().get(&(request, attempt)) {
                    recall.cancel_unless_sent();
                }
            }
            Command::GrantLease(grant) => transport.grant_lease(engine.responder(grant.request), grant),
            Command::RevokeLease { request, lease } => {
                transport.revoke_lease(engine.responder(request), lease);
            }
            Command::Respond { responder: reply, outcome: verdict, .. } => transport.respond(reply, verdict),
            Command::Subscribe => transport.subscribe(),
            Command::CheckHealth(backend) => self.probe(backend),
            Command::CloseIdleConnections(backend) => transport.close_idle_connections(backend),
            Command::Log(line) => transport.log(&line),
        }
    }

    fn start(&self, request: RequestId, attempt: u16, backend: BackendId, schedule: Schedule, work: Work<T>) {
        let recall = Rc::<CancellationSignal>::default();
        self.0.recalls.borrow_mut().insert((request, attempt), Rc::clone(&recall));
        let instant = |at| self.0.clock.instant(at);
        let begin_by = (schedule.start_by < Micros::MAX).then(|| instant(schedule.start_by));
        let times = AttemptTimes { start_by: begin_by, give_up_at: instant(schedule.give_up_at) };
        let attempting = self.0.transport.start_attempt(backend, work, times, recall);
        let handle = self.clone();
        tokio::task::spawn_local(async move {
            let ended = attempting.await;
            handle.0.recalls.borrow_mut().remove(&(request, attempt));
            handle.drive(|engine, now| engine.attempt_finished(now, request, attempt, ended));
        });
    }

    fn probe(&self, backend: BackendId) {
        let probing = self.0.transport.check_health(backend);
        let handle = self.clone();
        tokio::task::spawn_local(async move {
            let ended = probing.await;
            handle.drive(|engine, now| {
                engine.health_check_finished(now, backend, ended.outcome, &ended.load_report);
            });
        });
    }
}
