//! Token bucket of a tenant's quota.

use crate::api::Micros;

/// Time in which the recorded demand of a tenant without requests decays to 0.
const DEMAND_DECAY_TIME_US: f64 = 4e6;

/// Tokens of a tenant's quota, and its recent demand.
pub(crate) struct TokenBucket {
    tokens: f64,
    updated_at: Micros,
    /// Number of recent requests at `updated_at`, decaying within seconds.
    demand: f64,
}

impl TokenBucket {
    pub(crate) fn new(tokens: f64, now: Micros) -> Self {
        Self { tokens, updated_at: now, demand: 0.0 }
    }

    /// Number of requests of the last seconds, decayed by age.
    pub(crate) fn recent_demand(&self, now: Micros) -> f64 {
        self.demand * (1.0 - (now - self.updated_at) as f64 / DEMAND_DECAY_TIME_US).max(0.0)
    }

    /// Counts a request and takes a token for it; returns whether there was one. The bucket is refilled with
    /// `rate` tokens per second up to `capacity`.
    pub(crate) fn take(&mut self, now: Micros, rate: f64, capacity: f64) -> bool {
        self.demand = self.recent_demand(now) + 1.0;
        self.tokens = (self.tokens + rate * (now - self.updated_at) as f64 / 1e6).min(capacity);
        self.updated_at = now;
        let is_within_quota = self.tokens >= 1.0;
        if is_within_quota {
            self.tokens -= 1.0;
        }
        is_within_quota
    }
}
