//! Slow start: the budgets of backends that are warming up (rule 4).

use super::Balancer;
use super::limits::instance_fraction;
use crate::api::Micros;
use crate::state::{BackendState, SECOND, WarmUpBudget};

/// Rate that all instances together may send to a warming backend, as a fraction of the rate that overloads
/// it.
const OVERLOAD_MARGIN: f64 = 0.3;
/// Divisor of a budget's rate per second that gives its maximum number of tokens, which is at least one.
const BURST_DIVISOR: f64 = 4.0;

impl Balancer {
    /// Number of tokens in a warming backend's budget at `now`. The full capacity of the backend is estimated
    /// as the mean rate of a backend (the peak throughput of this instance times the number of instances,
    /// divided by the number of backends), but at least the rate of one request at a time.
    pub(super) fn warm_up_tokens(&self, now: Micros, backend: &BackendState, budget: &WarmUpBudget) -> f64 {
        let safety = &self.settings.safety;
        let age = now.saturating_sub(budget.started_at) as f64 / safety.warm_up_duration.max(1) as f64;
        let capacity_fraction = safety.initial_capacity + (1.0 - safety.initial_capacity) * age.min(1.0);
        let mean_backend_rate = self.traffic.throughput.peak * f64::from(self.settings.instance_count)
            / self.fleet.ready.len().max(1) as f64;
        let sequential_rate = SECOND as f64 / self.traffic.latencies.overall_mean_us();
        let rate = (safety.overload_factor * OVERLOAD_MARGIN).min(1.0)
            * capacity_fraction
            * mean_backend_rate.max(sequential_rate)
            * instance_fraction(&self.settings, backend);
        let refill = rate * (now - budget.updated_at) as f64 / SECOND as f64;
        (budget.tokens + refill).min(1.0_f64.max(rate / BURST_DIVISOR))
    }

    /// Takes a token from a warming backend's budget; removes the budget once the backend is warm.
    pub(super) fn spend_warm_up_token(&mut self, now: Micros, backend_index: usize) {
        let backend = &self.fleet.backends[backend_index];
        let Some(budget) = backend.warm_up else { return };
        let tokens = self.warm_up_tokens(now, backend, &budget) - 1.0;
        let warm_at = budget.started_at.saturating_add(self.settings.safety.warm_up_duration);
        let is_warm = now >= warm_at;
        self.fleet.backends[backend_index].warm_up =
            (!is_warm).then_some(WarmUpBudget { tokens, updated_at: now, ..budget });
    }
}
