//! The asynchronous part: front ends call the engine through a [`Handle`], a [`Transport`] executes its commands, and
//! one task sleeps until the next timer.
//!
//! All of it runs on one thread, in a `LocalSet`. A front end's call runs the engine at once, without a queue that
//! could grow and without a task switch per request.

pub mod cancellation;
pub mod clock;

use crate::engine::{
    AttemptEnd, Command, Counts, Engine, FinalOutcome, IncomingRequest, LeaseGrant, MessageTypes, Overload,
    Schedule,
};
use crate::lease::{LeaseError, LeaseId};
use balancer::api::{BackendId, LearnedState, MembershipUpdate, Micros, RequestId, Settings, SettingsError};
use cancellation::CancellationSignal;
use clock::Clock;
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

/// When an attempt may start, and when it is given up, as instants of the runtime.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTimes {
    /// It must not start at or after this instant; `None`: no limit.
    pub start_by: Option<Instant>,
    /// When it is given up.
    pub give_up_at: Instant,
}

/// Executes the engine's commands. No method may call the engine before it returns.
pub trait Transport: Sized + 'static {
    /// The front end's message types.
    type Messages: MessageTypes;

    /// Makes an attempt on a backend, limited by `times` and by `cancellation`, and returns how it ended.
    fn start_attempt(
        &self,
        backend: BackendId,
        outbound_request: <Self::Messages as MessageTypes>::OutboundRequest,
        times: AttemptTimes,
        cancellation: Rc<CancellationSignal>,
    ) -> impl Future<Output = AttemptEnd<<Self::Messages as MessageTypes>::Response>> + 'static;

    /// Checks a backend's health and returns the result.
    fn check_health(
        &self,
        backend: BackendId,
    ) -> impl Future<Output = AttemptEnd<<Self::Messages as MessageTypes>::Response>> + 'static;

    /// Delivers a final answer to its front end.
    fn respond(
        &self,
        responder: <Self::Messages as MessageTypes>::Responder,
        outcome: FinalOutcome<<Self::Messages as MessageTypes>::Response>,
    );

    /// Delivers a lease to the front end of its request; `None` where the client has disconnected.
    fn grant_lease(&self, responder: Option<&<Self::Messages as MessageTypes>::Responder>, grant: LeaseGrant);

    /// Revokes a lease; `None` where the client has disconnected.
    fn revoke_lease(&self, responder: Option<&<Self::Messages as MessageTypes>::Responder>, lease: LeaseId);

    /// Subscribes to membership changes, where discovery requires it.
    fn subscribe(&self);

    /// Closes the idle connections to a backend.
    fn close_idle_connections(&self, backend: BackendId);

    /// Writes a log line.
    fn log(&self, line: &str);
}

type OutboundRequest<T> = <<T as Transport>::Messages as MessageTypes>::OutboundRequest;
type Responder<T> = <<T as Transport>::Messages as MessageTypes>::Responder;
type Response<T> = <<T as Transport>::Messages as MessageTypes>::Response;

/// One attempt of one request.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct AttemptId {
    request: RequestId,
    number: u16,
}

struct Inner<T: Transport> {
    engine: RefCell<Engine<T::Messages>>,
    /// The cancellation signals of the proxied attempts in flight.
    cancellations: RefCell<FxHashMap<AttemptId, Rc<CancellationSignal>>>,
    transport: T,
    clock: Clock,
    /// Until when the timer task sleeps; `Micros::MAX`: until it is woken.
    asleep_until: Cell<Micros>,
    wake: Notify,
    /// A call of the engine panicked: its state can't be trusted.
    has_panicked: Cell<bool>,
}

/// Records a panic of the engine when a call of it unwinds.
struct PanicGuard<'a, T: Transport>(&'a Inner<T>);

impl<T: Transport> Drop for PanicGuard<'_, T> {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.0.has_panicked.set(true);
            self.0.wake.notify_one();
        }
    }
}

/// A shared handle to the engine, its clock and its transport.
pub struct Handle<T: Transport>(Rc<Inner<T>>);

impl<T: Transport> Clone for Handle<T> {
    fn clone(&self) -> Self {
        Self(Rc::clone(&self.0))
    }
}

impl<T: Transport> Handle<T> {
    /// A handle to this engine.
    #[must_use]
    pub fn new(engine: Engine<T::Messages>, clock: Clock, transport: T) -> Self {
        Self(Rc::new(Inner {
            engine: RefCell::new(engine),
            cancellations: RefCell::default(),
            transport,
            clock,
            asleep_until: Cell::new(0),
            wake: Notify::new(),
            has_panicked: Cell::new(false),
        }))
    }

    /// Runs the engine's timers. Returns only when the engine has panicked: the process should then exit too.
    pub async fn run(self) {
        while !self.0.has_panicked.get() {
            let next = self.with_engine(|engine, _| engine.next_timer());
            self.0.asleep_until.set(next.unwrap_or(Micros::MAX));
            match next {
                None => self.0.wake.notified().await,
                Some(at) => tokio::select! {
                    () = self.0.wake.notified() => {}
                    () = sleep_until(self.0.clock.instant(at)) => {}
                },
            }
            self.0.asleep_until.set(0);
        }
    }

    /// Admits a request; see [`Engine::admit`].
    ///
    /// # Errors
    /// At one of the engine's limits.
    pub fn admit(
        &self,
        incoming: IncomingRequest<OutboundRequest<T>>,
        responder: Responder<T>,
    ) -> Result<RequestId, Overload<Responder<T>>> {
        self.with_engine(|engine, now| engine.admit(now, incoming, responder))
    }

    /// The client of a request has disconnected.
    pub fn client_disconnected(&self, request: RequestId) {
        self.with_engine(|engine, now| engine.client_disconnected(now, request));
    }

    /// The holder of a lease reports how its attempt ended.
    ///
    /// # Errors
    /// Where the lease is not active.
    pub fn report_result(&self, lease: LeaseId, end: AttemptEnd<Response<T>>) -> Result<(), LeaseError> {
        self.with_engine(|engine, now| engine.report_result(now, lease, end))
    }

    /// The holder of a lease reports that its attempt has become a session. Returns after how many microseconds it
    /// expires unless it is renewed.
    ///
    /// # Errors
    /// Where the lease is not active or already a session.
    pub fn establish_session(&self, lease: LeaseId) -> Result<Micros, LeaseError> {
        self.with_engine(|engine, now| {
            engine.establish_session(now, lease).map(|expires_at| expires_at.saturating_sub(now))
        })
    }

    /// The holder of a session renews it. Returns after how many microseconds it expires unless it is renewed again.
    ///
    /// # Errors
    /// Where the lease is not active or not a session.
    pub fn renew_session(&self, lease: LeaseId) -> Result<Micros, LeaseError> {
        self.with_engine(|engine, now| {
            engine.renew_session(now, lease).map(|expires_at| expires_at.saturating_sub(now))
        })
    }

    /// The process ends; see [`Engine::set_response_deadline`].
    pub fn set_response_deadline(&self, deadline: Micros) {
        self.with_engine(|engine, now| engine.set_response_deadline(now, deadline));
    }

    /// Changes the set of backends; see [`Engine::update_membership`].
    pub fn update_membership(&self, update: MembershipUpdate<'_>) {
        self.with_engine(|engine, now| engine.update_membership(now, update));
    }

    /// Applies other settings to requests that arrive from now on.
    ///
    /// # Errors
    /// The first invalid setting; then nothing has changed.
    pub fn update_settings(&self, settings: &Settings) -> Result<(), SettingsError> {
        self.with_engine(|engine, now| engine.update_settings(now, settings))
    }

    /// What the balancer has learned.
    #[must_use]
    pub fn learned_state(&self) -> LearnedState {
        self.0.engine.borrow().learned_state()
    }

    /// Restores what another process's balancer has learned. Returns whether it fits this one.
    #[must_use]
    pub fn restore(&self, state: &LearnedState) -> bool {
        self.with_engine(|engine, now| engine.restore(now, state))
    }

    /// The transport.
    #[must_use]
    pub fn transport(&self) -> &T {
        &self.0.transport
    }

    /// The clock of all events.
    #[must_use]
    pub fn clock(&self) -> Clock {
        self.0.clock
    }

    /// Totals over all requests since the start.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.0.engine.borrow().counts()
    }

    /// The concurrency limit and the requests in flight of each ready backend.
    #[must_use]
    pub fn limits(&self) -> Vec<(f64, u32)> {
        self.0.engine.borrow().limits()
    }

    /// Runs a call of the engine, then its expired timers, then the commands of both.
    fn with_engine<R>(&self, call: impl FnOnce(&mut Engine<T::Messages>, Micros) -> R) -> R {
        let inner = &*self.0;
        let _guard = PanicGuard(inner);
        let engine = &mut *inner.engine.borrow_mut();
        let now = inner.clock.now();
        let result = call(engine, now);
        // Under a steady stream of calls the timer task might not run in time.
        engine.advance(now);
        while let Some(command) = engine.next_command() {
            self.execute(engine, command);
        }
        if engine.next_timer().unwrap_or(Micros::MAX) < inner.asleep_until.get() {
            inner.wake.notify_one();
        }
        result
    }

    fn execute(&self, engine: &Engine<T::Messages>, command: Command<T::Messages>) {
        let transport = &self.0.transport;
        match command {
            Command::StartAttempt { request, attempt, backend, schedule, outbound_request } => {
                self.start_attempt(
                    AttemptId { request, number: attempt },
                    backend,
                    schedule,
                    outbound_request,
                );
            }
            Command::CancelAttempt { request, attempt } => {
                let attempt = AttemptId { request, number: attempt };
                if let Some(signal) = self.0.cancellations.borrow().get(&attempt) {
                    signal.cancel();
                }
            }
            Command::CancelUnsentAttempt { request, attempt } => {
                let attempt = AttemptId { request, number: attempt };
                if let Some(signal) = self.0.cancellations.borrow().get(&attempt) {
                    signal.cancel_unless_sent();
                }
            }
            Command::GrantLease(grant) => transport.grant_lease(engine.responder(grant.request), grant),
            Command::RevokeLease { request, lease } => {
                transport.revoke_lease(engine.responder(request), lease);
            }
            Command::Respond { responder, outcome, .. } => transport.respond(responder, outcome),
            Command::Subscribe => transport.subscribe(),
            Command::CheckHealth(backend) => self.check_health(backend),
            Command::CloseIdleConnections(backend) => transport.close_idle_connections(backend),
            Command::Log(line) => transport.log(&line),
        }
    }

    fn start_attempt(
        &self,
        attempt: AttemptId,
        backend: BackendId,
        schedule: Schedule,
        outbound_request: OutboundRequest<T>,
    ) {
        let signal = Rc::<CancellationSignal>::default();
        self.0.cancellations.borrow_mut().insert(attempt, Rc::clone(&signal));
        let clock = self.0.clock;
        let start_by = (schedule.start_by < Micros::MAX).then(|| clock.instant(schedule.start_by));
        let times = AttemptTimes { start_by, give_up_at: clock.instant(schedule.give_up_at) };
        let running_attempt = self.0.transport.start_attempt(backend, outbound_request, times, signal);
        let handle = self.clone();
        tokio::task::spawn_local(async move {
            let end = running_attempt.await;
            handle.0.cancellations.borrow_mut().remove(&attempt);
            let AttemptId { request, number } = attempt;
            handle.with_engine(|engine, now| engine.attempt_finished(now, request, number, end));
        });
    }

    fn check_health(&self, backend: BackendId) {
        let health_check = self.0.transport.check_health(backend);
        let handle = self.clone();
        tokio::task::spawn_local(async move {
            let end = health_check.await;
            handle.with_engine(|engine, now| {
                engine.health_check_finished(now, backend, end.outcome, &end.load_report);
            });
        });
    }
}
