//! The decisions of one instance; each kind of decision has its own submodule.
//!
//! The basic algorithm: for each ready backend, an instance counts its requests in flight and adapts a
//! concurrency limit by AIMD (additive increase, multiplicative decrease). A request is sent to the backend
//! with the greatest free capacity (limit minus requests in flight). The limit, rounded down, is the number
//! of slots that the instance has on the backend. Without free capacity, the request is queued for a tenth of
//! its remaining time and then rejected. Comments that begin with `Deviation:` explain where and why the code
//! differs from this; `docs/design.md` gives the reasons in detail.
//!
//! Four rules always apply. Each is enforced in one place:
//!
//! 1. Each request gets exactly one final response, before its deadline: `finish`.
//! 2. No request takes effect twice, unless its class is idempotent: `retry_scope`, `may_reject` and
//!    `Executions`.
//! 3. A draining or removed backend gets no requests: `Fleet::ready`.
//! 4. A backend that is warming up is not overloaded: `WarmUpBudget`.

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
    Executions, FailureRate, Fleet, IdleTimeLimit, KindLimit, LatencyTable, PeakThroughput, RejectionRate,
    Requests, RetryBudget, SlotBudget, TokenBucket, TrafficStatistics,
};
use timer::Timer;

/// Highest cost of crossing zones that is treated as none, as a fraction of the mean weight of a request.
const MAX_NEGLIGIBLE_CROSS_ZONE_COST: f64 = 0.01;

/// Decision logic and state of one instance.
pub struct Balancer {
    settings: Settings,
    rng: fastrand::Rng,
    fleet: Fleet,
    requests: Requests,
    /// By machine kind.
    kind_limits: Vec<KindLimit>,
    traffic: TrafficStatistics,
    /// By tenant.
    tenant_quotas: Vec<TokenBucket>,
    retry_budget: RetryBudget,
    idle_time_limit: IdleTimeLimit,
    slot_budget: SlotBudget,
    executions: Executions,
    /// Consecutive failures of the watch on discovery.
    subscribe_failures: u32,
    /// Latest time that was passed to any call.
    latest_time: Micros,
    unserved: UnservedCounts,
}

impl Balancer {
    /// Creates a balancer without backends. It is deterministic: the same settings, seed and events lead to
    /// the same actions.
    ///
    /// # Errors
    /// The first setting with an invalid value.
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
            idle_time_limit: IdleTimeLimit::new(settings.permissions.idle_connection_timeout, now),
            slot_budget: SlotBudget::new(),
            executions: Executions::default(),
            subscribe_failures: 0,
            latest_time: now,
            unserved: UnservedCounts::default(),
            settings,
        })
    }

    /// Handles one event and appends the resulting actions to `out`. If `now` is before the time of an
    /// earlier call, the latest time so far is used, so that differences of times are never negative.
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
                if let Some(request_index) = self.requests.open.find(request) {
                    self.requests.open[request_index].is_streaming = true;
                }
            }
            Event::ClientDisconnected(request) => {
                if let Some(request_index) = self.requests.open.find(request) {
                    self.close(request_index);
                }
            }
            Event::HealthCheckFinished { .. } => {}
            Event::SettingsChanged(settings) => self.on_settings_changed(now, settings),
            Event::TimerExpired(token) => self.on_timer_expired(now, token, out),
        }
    }

    /// The latest time so far, `now` included.
    fn monotonic(&mut self, now: Micros) -> Micros {
        self.latest_time = self.latest_time.max(now);
        self.latest_time
    }

    /// Number of backend ejections so far.
    #[must_use]
    pub fn ejections(&self) -> u64 {
        self.fleet.ejections
    }

    /// Number of requests so far that ended without a backend's response, by cause.
    #[must_use]
    pub fn unserved(&self) -> UnservedCounts {
        self.unserved
    }

    /// Concurrency limit and requests in flight of each ready backend, for operators.
    pub fn backend_limits(&self) -> impl Iterator<Item = (f64, u32)> {
        self.fleet.ready_backends().map(|backend| (backend.limit, backend.in_flight))
    }

    /// Applies new settings; new classes are appended to the known ones.
    fn on_settings_changed(&mut self, now: Micros, settings: &Settings) {
        for class in settings.classes.iter().skip(self.settings.classes.len()) {
            self.traffic.latencies.add_class(class.latency_objective, now);
        }
        self.settings.clone_from(settings);
    }

    fn on_timer_expired(&mut self, now: Micros, token: u32, out: &mut Vec<Action>) {
        match Timer::from_token(token) {
            Some(Timer::Subscribe) => out.push(Action::Subscribe),
            Some(Timer::QueueTimeout { request_index }) => {
                let queued_until =
                    self.requests.open.get(request_index).and_then(|request| request.queued_until);
                // The request of this timer may have left the queue, and another one may have its index.
                if queued_until.is_some_and(|until| until <= now) {
                    self.on_queue_timeout(now, request_index, out);
                }
            }
            None => {}
        }
    }

    fn cross_zone_cost_is_negligible(&self) -> bool {
        self.settings.cross_zone_cost <= MAX_NEGLIGIBLE_CROSS_ZONE_COST
    }
}
