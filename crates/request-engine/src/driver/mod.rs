//! The asynchronous layer: front ends call the engine through a [`EngineHandle`], a [`Transport`] executes its
//! commands, and one task sleeps until the next timer.
//!
//! Everything runs on one thread, in a `LocalSet`. A front end's call runs the engine synchronously, so that
//! there is no queue of calls to bound and no task switch per request.

pub mod cancellation;
pub mod clock;

use crate::engine::{
    AdmissionError, AttemptCompletion, AttemptSchedule, Command, Counts, Engine, FinalOutcome,
    IncomingRequest, LeaseGrant, MessageTypes,
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

/// The latest start and the time limit of an attempt, as instants of the runtime.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTimes {
    /// The attempt must not start at or after this instant; `None`: no limit.
    pub start_by: Option<Instant>,
    /// The time limit, at which an unfinished attempt is aborted.
    pub timeout_at: Instant,
}

/// Executes the engine's commands. No method may call the engine before it returns.
pub trait Transport: Sized + 'static {
    /// The message types of the front ends.
    type Messages: MessageTypes;

    /// Sends a request to a backend, subject to `times` and `cancellation`, and returns the attempt's end.
    fn start_attempt(
        &self,
        backend: BackendId,
        outbound_request: <Self::Messages as MessageTypes>::OutboundRequest,
        times: AttemptTimes,
        cancellation: Rc<CancellationSignal>,
    ) -> impl Future<Output = AttemptCompletion<<Self::Messages as MessageTypes>::Response>> + 'static;

    /// Makes a health check of a backend and returns its end.
    fn check_health(
        &self,
        backend: BackendId,
    ) -> impl Future<Output = AttemptCompletion<<Self::Messages as MessageTypes>::Response>> + 'static;

    /// Delivers a final outcome to the front end of its request.
    fn respond(
        &self,
        responder: <Self::Messages as MessageTypes>::Responder,
        outcome: FinalOutcome<<Self::Messages as MessageTypes>::Response>,
    );

    /// Delivers a lease to the front end of its request. `responder` is `None` if the request has its final
    /// outcome or its client has disconnected.
    fn grant_lease(&self, responder: Option<&<Self::Messages as MessageTypes>::Responder>, grant: LeaseGrant);

    /// Notifies the front end of a request that a lease is revoked. `responder` is `None` if the request has
    /// its final outcome or its client has disconnected.
    fn revoke_lease(&self, responder: Option<&<Self::Messages as MessageTypes>::Responder>, lease: LeaseId);

    /// Subscribes to membership changes, if discovery works by subscription.
    fn subscribe(&self);

    /// Closes the idle connections to a backend; those in use are not affected.
    fn close_idle_connections(&self, backend: BackendId);

    /// Writes a line of the balancer to the log.
    fn log(&self, line: &str);
}

type OutboundRequest<T> = <<T as Transport>::Messages as MessageTypes>::OutboundRequest;
type Responder<T> = <<T as Transport>::Messages as MessageTypes>::Responder;
type Response<T> = <<T as Transport>::Messages as MessageTypes>::Response;

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
    /// When the timer task wakes up by itself; `Micros::MAX`: never; 0: it is running.
    asleep_until: Cell<Micros>,
    wake: Notify,
    /// A call of the engine has panicked, so that the engine's state may be inconsistent.
    has_panicked: Cell<bool>,
}

/// Records a panic of the engine when dropped during unwinding, and wakes the timer task so that it returns.
struct PanicGuard<'a, T: Transport>(&'a Inner<T>);

impl<T: Transport> Drop for PanicGuard<'_, T> {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.0.has_panicked.set(true);
            self.0.wake.notify_one();
        }
    }
}

/// A reference-counted handle to the engine, its clock and its transport.
pub struct EngineHandle<T: Transport>(Rc<Inner<T>>);

impl<T: Transport> Clone for EngineHandle<T> {
    fn clone(&self) -> Self {
        Self(Rc::clone(&self.0))
    }
}

impl<T: Transport> EngineHandle<T> {
    /// Takes ownership of an engine. The transport executes its commands.
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

    /// Runs the engine's timers. Returns only after a panic of the engine; the process should exit then.
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
    /// One of the engine's limits is reached.
    pub fn admit(
        &self,
        incoming: IncomingRequest<OutboundRequest<T>>,
        responder: Responder<T>,
    ) -> Result<RequestId, AdmissionError<Responder<T>>> {
        self.with_engine(|engine, now| engine.admit(now, incoming, responder))
    }

    /// Handles the disconnect of a request's client; see [`Engine::client_disconnected`].
    pub fn client_disconnected(&self, request: RequestId) {
        self.with_engine(|engine, now| engine.client_disconnected(now, request));
    }

    /// Handles a lease holder's report of the end of its attempt; see [`Engine::report_result`].
    ///
    /// # Errors
    /// The lease is not active.
    pub fn report_result(
        &self,
        lease: LeaseId,
        end: AttemptCompletion<Response<T>>,
    ) -> Result<(), LeaseError> {
        self.with_engine(|engine, now| engine.report_result(now, lease, end))
    }

    /// Handles a lease holder's report that its attempt has become a session. Returns the time in
    /// microseconds after which the session expires unless it is renewed.
    ///
    /// # Errors
    /// The lease is not active or already a session.
    pub fn establish_session(&self, lease: LeaseId) -> Result<Micros, LeaseError> {
        self.with_engine(|engine, now| {
            engine.establish_session(now, lease).map(|expires_at| expires_at.saturating_sub(now))
        })
    }

    /// Renews a session. Returns the time in microseconds after which it expires unless it is renewed once
    /// more.
    ///
    /// # Errors
    /// The lease is not active or not a session.
    pub fn renew_session(&self, lease: LeaseId) -> Result<Micros, LeaseError> {
        self.with_engine(|engine, now| {
            engine.renew_session(now, lease).map(|expires_at| expires_at.saturating_sub(now))
        })
    }

    /// Starts shutdown; see [`Engine::set_response_deadline`].
    pub fn set_response_deadline(&self, deadline: Micros) {
        self.with_engine(|engine, now| engine.set_response_deadline(now, deadline));
    }

    /// Changes the set of backends; see [`Engine::update_membership`].
    pub fn update_membership(&self, update: MembershipUpdate<'_>) {
        self.with_engine(|engine, now| engine.update_membership(now, update));
    }

    /// Applies new settings to requests that are admitted from now on; see [`Engine::update_settings`].
    ///
    /// # Errors
    /// The first invalid setting; the current settings then remain in force.
    pub fn update_settings(&self, settings: &Settings) -> Result<(), SettingsError> {
        self.with_engine(|engine, now| engine.update_settings(now, settings))
    }

    /// The balancer's learned state, for the process that replaces this one.
    #[must_use]
    pub fn learned_state(&self) -> LearnedState {
        self.0.engine.borrow().learned_state()
    }

    /// Restores the learned state of another process's balancer; see [`Engine::restore_learned_state`].
    #[must_use]
    pub fn restore_learned_state(&self, state: &LearnedState) -> bool {
        self.with_engine(|engine, now| engine.restore_learned_state(now, state))
    }

    /// The transport that executes the engine's commands.
    #[must_use]
    pub fn transport(&self) -> &T {
        &self.0.transport
    }

    /// The clock that all events are timed with.
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
    pub fn backend_limits(&self) -> Vec<(f64, u32)> {
        self.0.engine.borrow().backend_limits()
    }

    /// Calls the engine, handles its expired timers, and executes the resulting commands.
    fn with_engine<R>(&self, call: impl FnOnce(&mut Engine<T::Messages>, Micros) -> R) -> R {
        let inner = &*self.0;
        let _guard = PanicGuard(inner);
        let engine = &mut *inner.engine.borrow_mut();
        let now = inner.clock.now();
        let result = call(engine, now);
        // Expired timers are handled on every call: under steady load the timer task may not run in time.
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
        schedule: AttemptSchedule,
        outbound_request: OutboundRequest<T>,
    ) {
        let signal = Rc::<CancellationSignal>::default();
        self.0.cancellations.borrow_mut().insert(attempt, Rc::clone(&signal));
        let clock = self.0.clock;
        let start_by = (schedule.start_by < Micros::MAX).then(|| clock.instant(schedule.start_by));
        let times = AttemptTimes { start_by, timeout_at: clock.instant(schedule.timeout_at) };
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
