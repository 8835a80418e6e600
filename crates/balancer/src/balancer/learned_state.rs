//! Copies what a balancer has learned out of it and into another one. Nothing is decided here.

use super::Balancer;
use crate::api::{LearnedKindLimit, LearnedLatency, LearnedLimit, LearnedState, Micros};
use crate::state::{CommonLimit, Latency, Server};

impl Balancer {
    /// What was learned so far.
    pub fn learned_state(&self) -> LearnedState {
        LearnedState {
            backends: self.ready.iter().map(|&slot| self.servers[slot].learned_limit()).collect(),
            machine_kinds: self.kinds.iter().map(CommonLimit::learned).collect(),
            latencies: self.latencies.iter().map(Latency::learned).collect(),
            peak_rate: self.served.peak,
            rejected_fraction: self.refused,
        }
    }

    /// Continues from what another instance has learned under the same settings. Backends that are not listed, or that
    /// have restarted since, keep their state; so does everything if classes or machine kinds differ. Returns whether
    /// the state was taken.
    pub fn restore(&mut self, now: Micros, state: &LearnedState) -> bool {
        if state.machine_kinds.len() != self.kinds.len() || state.latencies.len() != self.latencies.len() {
            return false;
        }
        for learned in &state.backends {
            let Some(slot) = self.servers.find(learned.backend) else { continue };
            let server = &mut self.servers[slot];
            if server.started == learned.started_at {
                server.limit = learned.limit;
                server.probing = learned.is_shared;
            }
        }
        for (kind, learned) in self.kinds.iter_mut().zip(&state.machine_kinds) {
            kind.limit = learned.limit;
            kind.growing = learned.is_doubling;
        }
        for (latency, learned) in self.latencies.iter_mut().zip(&state.latencies) {
            latency.count = learned.samples;
            latency.mean = learned.mean;
            latency.base = learned.baseline.unwrap_or(f64::MAX);
            latency.base_at = now;
        }
        self.served.peak = state.peak_rate;
        self.refused = state.rejected_fraction;
        true
    }
}

impl Server {
    fn learned_limit(&self) -> LearnedLimit {
        LearnedLimit {
            backend: self.id,
            started_at: self.started,
            limit: self.limit,
            is_shared: self.probing,
        }
    }
}

impl CommonLimit {
    fn learned(&self) -> LearnedKindLimit {
        LearnedKindLimit { limit: self.limit, is_doubling: self.growing }
    }
}

impl Latency {
    fn learned(&self) -> LearnedLatency {
        let baseline = Some(self.base).filter(|base| *base < f64::MAX);
        LearnedLatency { samples: self.count, mean: self.mean, baseline }
    }
}
