//! The decisions of one instance; each kind has a module below this one.
//!
//! In the ordinary case an instance keeps for every ready backend its requests in flight (IFR) and an AIMD
//! concurrency limit. A request goes to the backend with the greatest free capacity (limit - IFR). Without
//! free capacity it is queued for a tenth of its remaining time and then rejected. What differs from that is
//! marked `Departure:`; `docs/design.md` gives the reasons.
//!
//! The four rules hold in one place each: a final response in time in `finish`, no effect twice in
//! `retry_scope` and `may_reject`, nothing to a draining backend in `Fleet::ready`, no overload of a warming
//! one in `WarmUpBudget`.

mod admission;
mod attempts;
mod connections;
mod health;
mod learned_state;
mod limits;
mod membership;
mod outcomes;
mod retries;
mod selection;
mod slot_budget;
mod slow_start;
mod timer;

use crate::api::{Action, Event, Micros, Settings, SettingsError, Tenant, UnservedCounts};
use crate::state::{
    FailureRate, Fleet, IdleTrust, KindLimit, LatencyTable, PeakThroughput, RejectionRate, Requests,
    RetryBudget, SlotBudget, TokenBucket, TrafficStatistics,
};
use timer::Timer;

/// A zone crossing that costs at most this fraction of a request's weight counts as free.
const MAX_FREE_CROSSING_COST: f64 = 0.01;

/// The decisions of one instance.
pub struct Balancer {
    settings: Settings,
    rng: fastrand::Rng,
    fleet: Fleet,
    requests: Requests,
    /// By kind of machine.
    kind_limits: Vec<KindLimit>,
    traffic: TrafficStatistics,
    /// By tenant.
    tenant_quotas: Vec<TokenBucket>,
    retry_budget: RetryBudget,
    idle_trust: IdleTrust,
    slot_budget: SlotBudget,
    /// Consecutive failures of the watch on discovery.
    subscribe_failures: u32,
    /// The latest time of any event.
    latest_time: Micros,
    unserved: UnservedCounts,
}

impl Balancer {
    /// A balancer that knows no backends yet. The same settings, seed and events always lead to the same
    /// actions.
    ///
    /// # Errors
    /// The first setting that is out of its range.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Result<Self, SettingsError> {
        settings.validate()?;
        let kinds = usize::from(settings.machine_kind_count).max(1);
        let mut latencies = LatencyTable::new(kinds);
        for class in &settings.classes {
            latencies.add_class(class.latency_objective, now);
        }
        let instances = f64::from(settings.instance_count);
        let quota = |tenant: &Tenant| TokenBucket::new(tenant.quota_per_s / instances, now);
        Ok(Self {
            rng: fastrand::Rng::with_seed(seed),
            fleet: Fleet::default(),
            requests: Requests::default(),
            kind_limits: vec![KindLimit::new(now); kinds],
            traffic: TrafficStatistics {
                latencies,
                throughput: PeakThroughput::new(now),
                failures: FailureRate::default(),
                rejections: RejectionRate::default(),
            },
            tenant_quotas: settings.tenants.iter().map(quota).collect(),
            retry_budget: RetryBudget::new(),
            idle_trust: IdleTrust::new(settings.permissions.idle_connection_timeout, now),
            slot_budget: SlotBudget::new(),
            subscribe_failures: 0,
            latest_time: now,
            unserved: UnservedCounts::default(),
            settings,
        })
    }

    /// Applies one event and appends the actions that follow from it. A `now` (microseconds) before that of
    /// an earlier call counts as the latest one, so that no time is subtracted below zero.
    pub fn handle(&mut self, now: Micros, event: Event<'_>, out: &mut Vec<Action>) {
        let now = self.monotonic(now);
        match event {
            Event::Membership(update) => self.on_membership(now, update, out),
            Event::Request(request) => self.on_request(now, request, out),
            Event::AttemptFinished(result) => self.on_attempt_finished(now, &result, out),
            Event::SessionEstablished { request, attempt } => {
                self.on_session_established(now, request, attempt, out);
            }
            Event::ResponseStarted { request, .. } => {
                if let Some(slot) = self.requests.open.find(request) {
                    self.requests.open[slot].is_streaming = true;
                }
            }
            Event::ClientDisconnected(request) => {
                if let Some(slot) = self.requests.open.find(request) {
                    self.close(slot);
                }
            }
            Event::HealthCheckFinished { .. } => {}
            Event::SettingsChanged(settings) => self.on_settings_changed(now, settings),
            Event::TimerExpired(token) => self.on_timer_expired(now, token, out),
        }
    }

    /// Makes time monotonic, whatever the caller's clock does.
    fn monotonic(&mut self, now: Micros) -> Micros {
        self.latest_time = self.latest_time.max(now);
        self.latest_time
    }

    /// Number of ejections of backends so far.
    #[must_use]
    pub fn ejections(&self) -> u64 {
        self.fleet.ejections
    }

    /// Requests that ended without a backend's response so far, by cause.
    #[must_use]
    pub fn unserved(&self) -> UnservedCounts {
        self.unserved
    }

    /// The limit and the requests in flight of each ready backend, for operators.
    pub fn limits(&self) -> impl Iterator<Item = (f64, u32)> {
        self.fleet.ready_backends().map(|backend| (backend.limit, backend.in_flight))
    }

    /// New classes come behind the known ones.
    fn on_settings_changed(&mut self, now: Micros, settings: &Settings) {
        for class in settings.classes.iter().skip(self.settings.classes.len()) {
            self.traffic.latencies.add_class(class.latency_objective, now);
        }
        self.settings.clone_from(settings);
    }

    fn on_timer_expired(&mut self, now: Micros, token: u32, out: &mut Vec<Action>) {
        match Timer::from_token(token) {
            Some(Timer::Subscribe) => out.push(Action::Subscribe),
            Some(Timer::QueueTimeout { slot }) => {
                let queued_until = self.requests.open.get(slot).and_then(|request| request.queued_until);
                // The request for which the timer was set may have left the queue, and another one taken its
                // slot.
                if queued_until.is_some_and(|until| until <= now) {
                    self.on_queue_timeout(now, slot, out);
                }
            }
            None => {}
        }
    }

    fn crossing_is_free(&self) -> bool {
        self.settings.cross_zone_cost <= MAX_FREE_CROSSING_COST
    }
}
