//! Export and import of the learned state.

use super::Balancer;
use crate::api::{LearnedKindLimit, LearnedLatency, LearnedLimit, LearnedState, Micros};
use crate::state::{BackendState, KindLimit, LatencyEstimate};

impl Balancer {
    /// The learned state at present, for the process that replaces this one.
    pub fn learned_state(&self) -> LearnedState {
        LearnedState {
            backends: self.fleet.ready_backends().map(BackendState::learned).collect(),
            machine_kinds: self.kind_limits.iter().map(KindLimit::learned).collect(),
            latencies: self.traffic.latencies.estimates.iter().map(LatencyEstimate::learned).collect(),
            peak_requests_per_s: self.traffic.throughput.peak,
            rejected_fraction: self.traffic.rejections.fraction,
        }
    }

    /// Restores what an instance has learned under the same settings. Limits of backends that are not listed,
    /// or that have restarted since, are skipped. If the number of classes or machine kinds differs, nothing
    /// is restored. Returns whether the state was restored.
    pub fn restore(&mut self, now: Micros, state: &LearnedState) -> bool {
        let now = self.monotonic(now);
        let estimates = &mut self.traffic.latencies.estimates;
        if state.machine_kinds.len() != self.kind_limits.len() || state.latencies.len() != estimates.len() {
            return false;
        }
        for (estimate, learned) in estimates.iter_mut().zip(&state.latencies) {
            estimate.samples = learned.samples;
            estimate.mean_us = learned.mean_us;
            estimate.baseline_us = learned.baseline_us.unwrap_or(f64::MAX);
            estimate.updated_at = now;
        }
        for learned in &state.backends {
            let Some(backend_index) = self.fleet.backends.find(learned.backend) else { continue };
            let backend = &mut self.fleet.backends[backend_index];
            if backend.started_at == learned.started_at {
                backend.limit = learned.limit;
                backend.uses_kind_limit = learned.uses_kind_limit;
            }
        }
        for (kind, learned) in self.kind_limits.iter_mut().zip(&state.machine_kinds) {
            kind.limit = learned.limit;
            kind.is_doubling = learned.is_doubling;
        }
        self.traffic.throughput.peak = state.peak_requests_per_s;
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
            uses_kind_limit: self.uses_kind_limit,
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
        let baseline = Some(self.baseline_us).filter(|_| self.has_baseline());
        LearnedLatency { samples: self.samples, mean_us: self.mean_us, baseline_us: baseline }
    }
}
