//! The state machine of requests, attempts and timers around the balancer; no I/O and no clock.
//!
//! It enforces the proxy's four rules for every front end:
//! 1. One final outcome: a request's responder is moved out with its only [`Command::Respond`], before its
//!    deadline, so that a second response is impossible.
//! 2. No duplicate execution: an attempt finishes once, and the balancer receives its result in the same
//!    step. A lease that expires counts as an attempt that may have run.
//! 3. Draining backends: a proxied attempt starts at once; the holder of a lease may start its attempt only
//!    within [`SEND_WINDOW`], and the lease is revoked when its backend drains or is removed.
//! 4. Backends that are warming up: proxied and leased attempts both come from the balancer's
//!    [`Action::Send`], which is subject to the slow-start budget.

mod attempts;
mod events;
mod lease_events;

pub use crate::messages::{
    AdmissionError, AttemptCompletion, AttemptSchedule, Command, Counts, Dispatch, EngineLimits,
    FinalOutcome, IncomingRequest, LeaseGrant, MessageTypes,
};

use crate::lease::{LeaseCounts, Leases};
use crate::open_request::{OpenRequest, UnsentAttempt};
use crate::timers::{TimerKind, Timers};
use balancer::api::{Action, LearnedState, Micros, RequestId, Settings, SettingsError};
use balancer::balancer::Balancer;
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// Microseconds by which the balancer's deadline for a request precedes the client's: time to write and
/// transmit the response.
pub const RESPONSE_MARGIN: Micros = 20_000;
/// Microseconds before the client's deadline at which a request that the balancer has not completed fails.
pub const DEADLINE_MARGIN: Micros = 10_000;
/// Microseconds after the grant within which the holder of a lease may start its attempt. Well below the
/// second for which a draining backend may still receive new requests, so that a lease granted just before
/// the drain does not violate that rule.
pub const SEND_WINDOW: Micros = 250_000;
/// Microseconds after an attempt's time limit for which a report on its lease is still accepted. Shorter than
/// `RESPONSE_MARGIN` minus `DEADLINE_MARGIN`, so that the balancer still decides the final outcome.
pub const REPORT_GRACE: Micros = 8_000;
/// Microseconds after which a session that has not been renewed expires and releases its concurrency slot.
pub const SESSION_LEASE_DURATION: Micros = 30_000_000;

/// Owns the balancer and all open requests, attempts, leases and timers.
pub struct Engine<M: MessageTypes> {
    balancer: Balancer,
    limits: EngineLimits,
    /// Maximum attempts of a request that is admitted now.
    max_attempts: usize,
    /// The latest time of any event. An event with an earlier time is handled as if it had this time.
    latest_time: Micros,
    /// Set when the process is shutting down: every request has its final outcome by this time.
    response_deadline: Option<Micros>,
    next_request_id: RequestId,
    open_requests: FxHashMap<RequestId, OpenRequest<M>>,
    leases: Leases,
    timers: Timers,
    unsent_attempts: VecDeque<UnsentAttempt>,
    /// Buffer reused by each call of the balancer.
    actions: Vec<Action>,
    commands: VecDeque<Command<M>>,
    counts: Counts,
}

impl<M: MessageTypes> Engine<M> {
    /// Creates an engine without open requests or backends. `incarnation` must differ between any two starts
    /// of the process: it distinguishes the leases of this engine from those of others.
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

    /// The time at which [`Engine::advance`] has to be called next; `None` without timers.
    #[must_use]
    pub fn next_timer(&self) -> Option<Micros> {
        self.timers.next()
    }

    /// Removes the oldest command that has not been executed.
    pub fn next_command(&mut self) -> Option<Command<M>> {
        self.commands.pop_front()
    }

    /// The responder of a request; `None` once the request has its final outcome or its client has
    /// disconnected.
    #[must_use]
    pub fn responder(&self, request: RequestId) -> Option<&M::Responder> {
        self.open_requests.get(&request)?.responder.as_ref()
    }

    /// Number of requests that have no final outcome yet or an unfinished attempt.
    #[must_use]
    pub fn open_request_count(&self) -> usize {
        self.open_requests.len()
    }

    /// Number of granted leases that are not settled.
    #[must_use]
    pub fn active_lease_count(&self) -> usize {
        self.leases.len()
    }

    /// Number of stored timers, including those whose request or lease has ended.
    #[must_use]
    pub fn pending_timer_count(&self) -> usize {
        self.timers.len()
    }

    /// The concurrency limit and the requests in flight of each ready backend.
    #[must_use]
    pub fn backend_limits(&self) -> Vec<(f64, u32)> {
        self.balancer.backend_limits().collect()
    }

    /// The balancer's learned state, for the process that replaces this one.
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

    /// Clamps `now` to the latest time seen, so that time never decreases.
    fn monotonic(&mut self, now: Micros) -> Micros {
        self.latest_time = self.latest_time.max(now);
        self.latest_time
    }

    fn schedule_timer(&mut self, at: Micros, kind: TimerKind) {
        let (open_requests, leases) = (&self.open_requests, &self.leases);
        self.timers.add(at, kind, |kind| match kind {
            TimerKind::Balancer(_) => true,
            TimerKind::ResponseDeadline(request) => {
                open_requests.get(&request).is_some_and(|open| open.responder.is_some())
            }
            TimerKind::LeaseExpiry(serial) => leases.is_active(serial),
        });
    }
}
