//! A tenant's token bucket.

use crate::api::Micros;

/// Time over which the demand of a tenant fades when it sends nothing, microseconds.
const DEMAND_FADE_TIME: f64 = 4e6;

/// Tokens within the tenant's quota, and its recent demand.
pub(crate) struct TokenBucket {
    tokens: f64,
    updated_at: Micros,
    /// Recent requests, fading within seconds.
    demand: f64,
}

impl TokenBucket {
    pub(crate) fn new(tokens: f64, now: Micros) -> Self {
        Self { tokens, updated_at: now, demand: 0.0 }
    }

    /// Requests of the last seconds.
    pub(crate) fn recent_demand(&self, now: Micros) -> f64 {
        self.demand * (1.0 - (now - self.updated_at) as f64 / DEMAND_FADE_TIME).max(0.0)
    }

    /// Counts a request and takes a token for it. Returns whether there was one; `rate` tokens per second
    /// come in, up to `capacity`.
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
