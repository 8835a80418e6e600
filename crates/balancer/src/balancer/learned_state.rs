//! Copies what an instance has learned out of it and into another one. Nothing is decided here.

use super::Balancer;
use crate::api::{LearnedKindLimit, LearnedLatency, LearnedLimit, LearnedState, Micros};
use crate::state::{BackendState, KindLimit, LatencyEstimate};

impl Balancer {
    /// What was learned so far.
    pub fn learned_state(&self) -> LearnedState {
        LearnedState {
            backends: self.fleet.ready_backends().map(BackendState::learned).collect(),
            machine_kinds: self.kind_limits.iter().map(KindLimit::learned).collect(),
            latencies: self.traffic.latencies.estimates.iter().map(LatencyEstimate::learned).collect(),
            peak_rate: self.traffic.throughput.peak,
            rejected_fraction: self.traffic.rejections.fraction,
        }
    }

    /// Continues from what another instance has learned under the same settings. Backends that are not
    /// listed, or that have restarted since, keep their state; so does everything if classes or machine kinds
    /// differ. Returns whether the state was taken.
    pub fn restore(&mut self, now: Micros, state: &LearnedState) -> bool {
        let now = self.monotonic(now);
        let estimates = &mut self.traffic.latencies.estimates;
        if state.machine_kinds.len() != self.kind_limits.len() || state.latencies.len() != estimates.len() {
            return false;
        }
        for (estimate, learned) in estimates.iter_mut().zip(&state.latencies) {
            estimate.samples = learned.samples;
            estimate.mean = learned.mean;
            estimate.baseline = learned.baseline.unwrap_or(f64::MAX);
            estimate.updated_at = now;
        }
        for learned in &state.backends {
            let Some(slot) = self.fleet.backends.find(learned.backend) else { continue };
            let backend = &mut self.fleet.backends[slot];
            if backend.started_at == learned.started_at {
                backend.limit = learned.limit;
                backend.limit_is_shared = learned.is_shared;
            }
        }
        for (kind, learned) in self.kind_limits.iter_mut().zip(&state.machine_kinds) {
            kind.limit = learned.limit;
            kind.is_doubling = learned.is_doubling;
        }
        self.traffic.throughput.peak = state.peak_rate;
        self.traffic.rejections.fraction = state.rejected_fraction;
        true
    }
}

impl BackendState {
    fn learned(&self) -> LearnedLimit {
        LearnedLimit {
            backend: self.id,
            started_at: self.started_at,
            limit: self.limit,
            is_shared: self.limit_is_shared,
        }
    }
}

impl KindLimit {
    fn learned(&self) -> LearnedKindLimit {
        LearnedKindLimit { limit: self.limit, is_doubling: self.is_doubling }
    }
}

impl LatencyEstimate {
    fn learned(&self) -> LearnedLatency {
        let baseline = Some(self.baseline).filter(|_| self.has_baseline());
        LearnedLatency { samples: self.samples, mean: self.mean, baseline }
    }
}
