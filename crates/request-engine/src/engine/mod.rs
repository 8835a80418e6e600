//! Requests, timers and attempts around the balancer: a state machine with no I/O and no clock.
//!
//! It keeps the proxy's four rules for every front end:
//! 1. One final answer: a request's responder is moved out with its only [`Command::Respond`], before its deadline;
//!    nothing can be answered afterwards.
//! 2. No effect twice: an attempt finishes once, and the balancer receives its result in the same step. A lease that
//!    expires counts as an attempt that may have run.
//! 3. Draining backends: a proxied attempt starts at once; the holder of a lease may start for [`SEND_WINDOW`] only,
//!    and the lease is revoked when its backend drains or is removed.
//! 4. Warming backends: both kinds of attempts come from the balancer's [`Action::Send`], after its slow-start budget.

mod attempts;
mod events;
mod lease_events;

pub use crate::messages::{
    AttemptEnd, Command, Counts, Dispatch, EngineLimits, FinalOutcome, IncomingRequest, LeaseGrant,
    MessageTypes, Overload, Schedule,
};

use crate::lease::{LeaseCounts, Leases};
use crate::open_request::{OpenRequest, UnsentAttempt};
use crate::timers::{TimerKind, Timers};
use balancer::api::{Action, LearnedState, Micros, RequestId, Settings, SettingsError};
use balancer::balancer::Balancer;
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// The balancer's deadline for a request lies this long before the client's, in microseconds: the answer has to be
/// written and to travel.
pub const RESPONSE_MARGIN: Micros = 20_000;
/// A request that the balancer has left open fails this long before the client's deadline, in microseconds.
pub const DEADLINE_MARGIN: Micros = 10_000;
/// How long after its grant the holder of a lease may start its attempt, in microseconds. Well within the second for
/// which a draining backend may still receive new requests, so that a lease granted just before keeps that rule too.
pub const SEND_WINDOW: Micros = 250_000;
/// How long after an attempt's time limit its holder's report is still accepted, in microseconds. Shorter than
/// `RESPONSE_MARGIN` less `DEADLINE_MARGIN`, so that the balancer decides the final answer.
pub const REPORT_GRACE: Micros = 8_000;
/// A session that is not renewed for this long expires and releases its slot, in microseconds.
pub const SESSION_LEASE_DURATION: Micros = 30_000_000;

/// Owns the balancer and all open requests, attempts, leases and timers.
pub struct Engine<X: MessageTypes> {
    balancer: Balancer,
    limits: EngineLimits,
    /// Attempts that a request arriving now may have.
    max_attempts: usize,
    /// The latest time of any event: an earlier one counts as this.
    latest_time: Micros,
    /// When the process ends: every request has its final answer by then.
    response_deadline: Option<Micros>,
    next_request_id: RequestId,
    open_requests: FxHashMap<RequestId, OpenRequest<X>>,
    leases: Leases,
    timers: Timers,
    unsent_attempts: VecDeque<UnsentAttempt>,
    /// Reused by each call of the balancer.
    actions: Vec<Action>,
    commands: VecDeque<Command<X>>,
    counts: Counts,
}

impl<X: MessageTypes> Engine<X> {
    /// An engine with no open requests that knows no backends. `incarnation` must differ from one start of the process
    /// to the next: it separates the leases of this engine from those of others.
    ///
    /// # Errors
    /// The first invalid setting.
    pub fn new(
        settings: Settings,
        limits: EngineLimits,
        seed: u64,
        incarnation: u64,
        now: Micros,
    ) -> Result<Self, SettingsError> {
        let max_attempts = usize::from(settings.permissions.max_attempts);
        Ok(Self {
            balancer: Balancer::new(settings, seed, now)?,
            limits,
            max_attempts,
            latest_time: now,
            response_deadline: None,
            next_request_id: 1,
            open_requests: FxHashMap::default(),
            leases: Leases::new(incarnation, limits.leases),
            timers: Timers::default(),
            unsent_attempts: VecDeque::new(),
            actions: Vec::new(),
            commands: VecDeque::new(),
            counts: Counts::default(),
        })
    }

    /// When [`Engine::advance`] has to be called next.
    #[must_use]
    pub fn next_timer(&self) -> Option<Micros> {
        self.timers.next()
    }

    /// Removes the oldest command that has not been executed.
    pub fn next_command(&mut self) -> Option<Command<X>> {
        self.commands.pop_front()
    }

    /// Where the final answer of a request will go; `None` once it has one or its client has disconnected.
    #[must_use]
    pub fn responder(&self, request: RequestId) -> Option<&X::Responder> {
        self.open_requests.get(&request)?.responder.as_ref()
    }

    /// Number of requests whose attempts have not all finished.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.open_requests.len()
    }

    /// Number of leases that are granted and not settled.
    #[must_use]
    pub fn active_leases(&self) -> usize {
        self.leases.len()
    }

    /// Number of stored timers, including those whose cause has ended.
    #[must_use]
    pub fn pending_timers(&self) -> usize {
        self.timers.len()
    }

    /// The concurrency limit and the requests in flight of each ready backend.
    #[must_use]
    pub fn limits(&self) -> Vec<(f64, u32)> {
        self.balancer.limits().collect()
    }

    /// What the balancer has learned, for the process that replaces this one.
    #[must_use]
    pub fn learned_state(&self) -> LearnedState {
        self.balancer.learned_state()
    }

    /// Totals over all requests since the start.
    #[must_use]
    pub fn counts(&self) -> Counts {
        Counts { ejections: self.balancer.ejections(), unserved: self.balancer.unserved(), ..self.counts }
    }

    /// Totals over all leases since the start.
    #[must_use]
    pub fn lease_counts(&self) -> LeaseCounts {
        self.leases.counts
    }

    /// Makes time monotonic, whatever the caller's clock does.
    fn monotonic(&mut self, now: Micros) -> Micros {
        self.latest_time = self.latest_time.max(now);
        self.latest_time
    }

    fn schedule_timer(&mut self, at: Micros, kind: TimerKind) {
        let (open_requests, leases) = (&self.open_requests, &self.leases);
        self.timers.add(at, kind, |kind| match kind {
            TimerKind::Decision(_) => true,
            TimerKind::ResponseDeadline(request) => {
                open_requests.get(&request).is_some_and(|open| open.responder.is_some())
            }
            TimerKind::LeaseExpiry(serial) => leases.is_active(serial),
        });
    }
}
