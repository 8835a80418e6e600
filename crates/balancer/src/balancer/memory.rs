//! What a balancer has learnt, copied out and in: nothing is decided here.

use super::Balancer;
use crate::api::{LearntLimit, Memory, Micros};

impl Balancer {
    /// What was learnt so far.
    pub fn memory(&self) -> Memory {
        let servers = self.ready.iter().map(|&s| &self.servers[s]);
        let servers = servers.map(|s| LearntLimit {
            backend: s.id,
            started: s.started,
            limit: s.limit,
            common: s.probing,
        });
        let latencies = self.latencies.iter();
        Memory {
            servers: servers.collect(),
            kinds: self.kinds.iter().map(|k| (k.limit, k.growing)).collect(),
            latencies: latencies.map(|l| (l.count, l.mean, Some(l.base).filter(|b| *b < f64::MAX))).collect(),
            peak: self.served.peak,
            refused: self.refused,
        }
    }

    /// Goes on from what another one has learnt under the same settings. Servers that are not listed, or have started
    /// anew since, are left as they are; so is everything, where classes or kinds are others.
    pub fn adopt(&mut self, now: Micros, memory: &Memory) -> bool {
        if memory.kinds.len() != self.kinds.len() || memory.latencies.len() != self.latencies.len() {
            return false;
        }
        for learnt in &memory.servers {
            let Some(place) = self.servers.find(learnt.backend) else { continue };
            let server = &mut self.servers[place];
            if server.started == learnt.started {
                (server.limit, server.probing) = (learnt.limit, learnt.common);
            }
        }
        for (kind, &(limit, growing)) in self.kinds.iter_mut().zip(&memory.kinds) {
            (kind.limit, kind.growing) = (limit, growing);
        }
        for (latency, &(count, mean, base)) in self.latencies.iter_mut().zip(&memory.latencies) {
            (latency.count, latency.mean) = (count, mean);
            (latency.base, latency.base_at) = (base.unwrap_or(f64::MAX), now);
        }
        (self.served.peak, self.refused) = (memory.peak, memory.refused);
        true
    }
}
