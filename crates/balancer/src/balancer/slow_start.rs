//! Slow start: the budgets of warming backends (rule 4).

use super::Balancer;
use super::limits::instance_share;
use crate::api::Micros;
use crate::state::{BackendState, SECOND, WarmUpBudget};

/// Fraction of the overload of a warming backend that all instances together may send it.
const OVERLOAD_MARGIN: f64 = 0.3;
/// Seconds of its rate that a budget holds at most, where that is more than one token.
const BURST_DIVISOR: f64 = 4.0;

impl Balancer {
    /// The tokens in a warming backend's budget now. Its capacity is estimated from what a warm backend of
    /// its size serves: the peak throughput of this instance, for all instances, over all backends.
    pub(super) fn warm_up_tokens(&self, now: Micros, backend: &BackendState, budget: &WarmUpBudget) -> f64 {
        let safety = &self.settings.safety;
        let age = now.saturating_sub(budget.started_at) as f64 / safety.warm_up_duration.max(1) as f64;
        let capacity_fraction = safety.initial_capacity + (1.0 - safety.initial_capacity) * age.min(1.0);
        let fleet_rate = self.traffic.throughput.peak * f64::from(self.settings.instance_count)
            / self.fleet.ready.len().max(1) as f64;
        let sequential_rate = SECOND as f64 / self.traffic.latencies.overall_mean();
        let rate = (safety.overload_factor * OVERLOAD_MARGIN).min(1.0)
            * capacity_fraction
            * fleet_rate.max(sequential_rate)
            * instance_share(&self.settings, backend);
        let refill = rate * (now - budget.updated_at) as f64 / SECOND as f64;
        (budget.tokens + refill).min(1.0_f64.max(rate / BURST_DIVISOR))
    }

    /// Takes a token of a warming backend's budget; drops the budget once the backend is warm.
    pub(super) fn spend_warm_up_token(&mut self, now: Micros, index: usize) {
        let backend = &self.fleet.backends[index];
        let Some(budget) = backend.warm_up else { return };
        let tokens = self.warm_up_tokens(now, backend, &budget) - 1.0;
        let warm_at = budget.started_at.saturating_add(self.settings.safety.warm_up_duration);
        let is_warm = now >= warm_at;
        self.fleet.backends[index].warm_up =
            (!is_warm).then_some(WarmUpBudget { tokens, updated_at: now, ..budget });
    }
}
