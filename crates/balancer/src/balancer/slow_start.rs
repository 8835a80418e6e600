//! The budgets of cold servers (rule 4).

use super::limits::share;
use super::{Balancer, SECOND};
use crate::api::Micros;
use crate::state::{ColdBudget, PeakRate, Server};

/// Part of what tips a cold server over that all proxies together may send it.
const COLD_MARGIN: f64 = 0.3;

impl Balancer {
    /// The tokens that a cold server's budget holds now. Its capacity is judged from what a warm server of
    /// its size takes: the best seconds of this proxy, for all proxies, over all servers.
    pub(super) fn cold_tokens(&self, now: Micros, server: &Server, cold: &ColdBudget) -> f64 {
        let safety = &self.settings.safety;
        let age = now.saturating_sub(cold.started) as f64 / safety.warm_up_duration.max(1) as f64;
        let part = safety.initial_capacity + (1.0 - safety.initial_capacity) * age.min(1.0);
        let bank =
            self.served.peak * f64::from(self.settings.instance_count) / self.ready.len().max(1) as f64;
        let single = SECOND as f64 / self.mean_of_all();
        let rate = (safety.overload_factor * COLD_MARGIN).min(1.0)
            * part
            * bank.max(single)
            * share(&self.settings, server);
        (cold.tokens + rate * (now - cold.filled_at) as f64 / SECOND as f64).min(1.0_f64.max(rate / 4.0))
    }
}

impl PeakRate {
    pub(super) fn add(&mut self, now: Micros) {
        self.count += 1.0;
        let span = (now - self.since) as f64 / 1e6;
        if span >= 4.0 {
            self.peak = (self.count / span).max(self.peak * 0.95);
            (self.count, self.since) = (0.0, now);
        }
    }
}
