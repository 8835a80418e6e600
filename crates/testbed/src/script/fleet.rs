//! The fleet of a script: backends and proxies, and their assignment to zones and cells.

use super::{Script, micros};
use crate::backend_model::BackendSpec;
use serde::Deserialize;

/// Backends and proxies of a scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSpec {
    /// Number of backends; 1 to 20,000.
    #[serde(rename = "boxes")]
    pub backends: usize,
    /// Number of proxies; 1 to 2,000.
    pub proxies: usize,
    /// Number of zones, to which backends and proxies are assigned round-robin; 1 to 64.
    pub zones: u16,
    /// Number of cells in each zone; the backends of a cell share a deduplication store. 1 to 1,000.
    pub cells: u16,
    /// Number of cores of a backend: the number of requests that run in parallel at full speed.
    pub cores: f64,
    /// Number of requests, running and queued, that a backend accepts per core; more are rejected.
    #[serde(rename = "holds")]
    pub queue_per_core: f64,
    /// Fraction of its capacity that a backend has when it starts; 0.01 to 1.
    #[serde(default = "default_initial_capacity", rename = "cold_from")]
    pub initial_capacity: f64,
    /// Warm-up time of a backend, seconds.
    #[serde(default = "default_warm_up_s", rename = "cold_s")]
    pub warm_up_s: f64,
    /// Warm-up time in the proxies' settings if it differs from the real one, seconds: an injected
    /// configuration fault.
    #[serde(default, rename = "told_cold_s")]
    pub configured_warm_up_s: Option<f64>,
    /// How far discovery's wall clock, which gives backends' start times, is behind the proxies', seconds;
    /// negative if it is ahead.
    #[serde(default)]
    pub clock_behind_s: f64,
    /// One-way latency between zones, milliseconds; within a zone it is a quarter of that.
    #[serde(default = "default_cross_zone_ms")]
    pub cross_zone_ms: f64,
    /// Minimum delay of notifications about backends, seconds; the maximum is twice this value.
    #[serde(default = "default_notification_delay_s", rename = "news_s")]
    pub notification_delay_s: f64,
    /// Relative speeds of the backends' cores, assigned round-robin; empty: 1 for all.
    #[serde(default)]
    pub speeds: Vec<f64>,
    /// Time for which the front end still sends to a proxy whose process has exited, seconds.
    #[serde(default = "default_front_end_detection_s", rename = "front_notice_s")]
    pub front_end_detection_s: f64,
}

fn default_initial_capacity() -> f64 {
    0.33
}

fn default_warm_up_s() -> f64 {
    8.0
}

fn default_cross_zone_ms() -> f64 {
    2.0
}

fn default_notification_delay_s() -> f64 {
    1.0
}

fn default_front_end_detection_s() -> f64 {
    1.0
}

/// The zone of a backend or proxy; they are assigned round-robin.
pub(crate) fn zone_of(index: usize, zones: u16) -> u16 {
    (index % usize::from(zones)) as u16
}

impl Script {
    /// The request rate that uses the complete capacity of all backends, per second.
    #[must_use]
    pub fn capacity_per_s(&self) -> f64 {
        let cores: f64 = (0..self.fleet.backends).map(|backend| self.speed(backend) * self.fleet.cores).sum();
        cores * 1e3 / self.mean_work_ms()
    }

    /// Relative speed of a backend's cores.
    #[must_use]
    pub fn speed(&self, backend: usize) -> f64 {
        let speeds = &self.fleet.speeds;
        if speeds.is_empty() { 1.0 } else { speeds[backend % speeds.len()] }
    }

    /// The parameters of a backend for its model.
    #[must_use]
    pub fn backend_spec(&self, backend: usize) -> BackendSpec {
        BackendSpec {
            cores: self.fleet.cores,
            speed: self.speed(backend),
            capacity: (self.fleet.cores * self.fleet.queue_per_core).ceil() as usize,
            initial_capacity: self.fleet.initial_capacity,
            warm_up_duration: micros(self.fleet.warm_up_s),
        }
    }

    /// The zone of a backend or proxy.
    #[must_use]
    pub fn zone(&self, index: usize) -> u16 {
        zone_of(index, self.fleet.zones)
    }

    /// A random serving proxy of the same zone as an unavailable one; `None` if there is none.
    pub(crate) fn replacement_for(
        &self,
        unavailable: usize,
        is_serving: impl Fn(usize) -> bool,
        rng: &mut fastrand::Rng,
    ) -> Option<usize> {
        let candidates = (0..self.fleet.proxies)
            .filter(|&proxy| is_serving(proxy) && self.zone(proxy) == self.zone(unavailable));
        let candidates: Vec<usize> = candidates.collect();
        if candidates.is_empty() { None } else { Some(candidates[rng.usize(0..candidates.len())]) }
    }

    /// The cell of a backend, numbered over all zones.
    #[must_use]
    pub fn cell(&self, index: usize) -> u16 {
        let zones = usize::from(self.fleet.zones);
        let cell_in_zone = (index / zones) % usize::from(self.fleet.cells);
        (cell_in_zone * zones + index % zones) as u16
    }
}
