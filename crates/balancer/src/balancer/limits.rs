//! Concurrency limits: AIMD on windows of latencies, for each backend and for each kind of machine.

use super::Balancer;
use crate::api::{Micros, Settings};
use crate::state::{AVERAGE_WEIGHT, BackendState, LARGE_FLEET, ReportedFactor, SECOND, SampleWindow};

/// Shortest window: limits follow a load that changes within seconds.
const MIN_WINDOW: Micros = SECOND / 4;
/// A window with too few samples starts anew after this many times its shortest length.
const MAX_WINDOW_MULTIPLE: Micros = 40;
/// Samples that a window needs; fewer are too noisy where work varies as much as its mean.
const MIN_SAMPLES: u32 = 6;
/// Factor on a limit whose window was too slow.
const BACKOFF_RATIO: f64 = 0.7;
/// Departure: smallest increase, as a fraction of the limit; on a large backend 1 would be lost beside a
/// back-off.
const MIN_INCREASE_FRACTION: f64 = 0.15;
/// A backend without a slot and without an evaluated window for this long takes the limit of its kind.
const UNSAMPLED_DELAY: Micros = 2 * SECOND;
/// Bounds of the limit of one backend for all instances together. The lower one keeps samples coming.
const MIN_LIMIT: f64 = 0.8;
const MAX_LIMIT: f64 = 64.0;
/// Bounds of the factor on its kind's limit that a load report gives a backend.
const MIN_REPORTED_FACTOR: f64 = 0.1;
const MAX_REPORTED_FACTOR: f64 = 1.5;
/// A reported service time counts in its kind's average as at most this multiple of the average.
const MAX_REPORT_MULTIPLE: f64 = 3.0;
/// How long a load report stays valid.
const REPORT_TTL: Micros = 5 * SECOND;

/// This instance's share of a backend: the inverse of the number of instances that use it.
///
/// Departure: bounds and steps of a limit are the backend's, not the instance's, so that the admitted sum
/// does not grow with the number of instances.
pub(super) fn instance_share(settings: &Settings, backend: &BackendState) -> f64 {
    let instances = f64::from(settings.instance_count);
    let in_zone = (instances / f64::from(settings.zone_count)).max(1.0);
    1.0 / if backend.zone == settings.zone { in_zone } else { instances }
}

impl Balancer {
    /// Applies a load report.
    ///
    /// Departure: an instance with few slots uses a backend once in many seconds, too seldom for windows.
    /// Where reports give the backend's recent service time, the limit is at once that of its kind, scaled by
    /// how the backend compares with its kind: slow backends, for whatever cause, get less from all instances
    /// alike.
    pub(super) fn apply_load_report(&mut self, now: Micros, index: usize, report: &[f32]) {
        let Some(field) = self.settings.load_report.mean_service_ms else { return };
        let Some(service_ms) = report.get(field).map(|&ms| f64::from(ms)) else { return };
        if !service_ms.is_finite() || service_ms <= 0.0 {
            return;
        }
        let share = instance_share(&self.settings, &self.fleet.backends[index]);
        let backend = &mut self.fleet.backends[index];
        let kind = &mut self.kind_limits[usize::from(backend.machine_kind)];
        let usual = kind.mean_service_ms.unwrap_or(service_ms);
        let bounded = service_ms.min(usual * MAX_REPORT_MULTIPLE);
        kind.mean_service_ms = Some(usual + (bounded - usual) * AVERAGE_WEIGHT);
        let factor = (usual / service_ms).clamp(MIN_REPORTED_FACTOR, MAX_REPORTED_FACTOR);
        backend.reported = ReportedFactor { factor, reported_at: now };
        if backend.limit_is_shared && kind.limit * share < 1.0 {
            backend.limit = kind.limit * share * factor;
        }
    }

    /// Adds a sample to a kind's window; evaluates the window if it is complete.
    ///
    /// Departure: there is also a limit for each kind of machine, by the same AIMD on the samples of all its
    /// backends, and doubling until its first back-off. Backends without recent samples have this limit: each
    /// of many instances holds a slot on few backends, and the limits of the others would freeze.
    pub(super) fn adjust_kind_limit(&mut self, now: Micros, kind: usize, sample: f64) {
        let common = &mut self.kind_limits[kind];
        let before = common.limit;
        common.window.add(sample);
        let age = now - common.window.started_at;
        if common.window.count < MIN_SAMPLES || (!common.is_doubling && age < MIN_WINDOW) {
            return;
        }
        if common.window.mean() > 1.0 {
            common.is_doubling = false;
            common.limit *= BACKOFF_RATIO;
        } else if common.window.limit_was_used {
            common.limit *= if common.is_doubling { 2.0 } else { 1.0 + MIN_INCREASE_FRACTION };
        }
        common.limit = common.limit.clamp(MIN_LIMIT, MAX_LIMIT);
        common.window = SampleWindow::new(now);
        let is_unchanged = common.limit == before;
        if !(is_unchanged && self.fleet.backends.len() > LARGE_FLEET) {
            self.share_kind_limit(now, kind);
        }
    }

    /// Gives a kind's limit to its backends without recent samples.
    fn share_kind_limit(&mut self, now: Micros, kind: usize) {
        let limit = self.kind_limits[kind].limit;
        for (_, backend) in self.fleet.backends.iter_mut() {
            let share = instance_share(&self.settings, backend);
            let is_unsampled = backend.limit_is_shared
                || (backend.slots(self.slot_budget.spread) == 0
                    && now > backend.window.started_at + UNSAMPLED_DELAY);
            if is_unsampled && usize::from(backend.machine_kind) == kind {
                let ReportedFactor { factor, reported_at } = backend.reported;
                let report_applies = limit * share < 1.0 && now < reported_at + REPORT_TTL;
                backend.limit = limit * share * if report_applies { factor } else { 1.0 };
                backend.limit_is_shared = true;
            }
        }
    }

    /// Adds a sample to a backend's window and makes the AIMD step if the window is complete.
    ///
    /// Departure: a window stays open until it has enough samples, up to a maximum age.
    pub(super) fn adjust_limit(&mut self, now: Micros, index: usize, sample: f64) {
        let share = instance_share(&self.settings, &self.fleet.backends[index]);
        let backend = &mut self.fleet.backends[index];
        let window = &mut backend.window;
        window.add(sample);
        let age = now - window.started_at;
        let has_samples = window.count >= MIN_SAMPLES;
        if age < MIN_WINDOW || (!has_samples && age < MIN_WINDOW * MAX_WINDOW_MULTIPLE) {
            return;
        }
        if has_samples && window.mean() > 1.0 {
            backend.limit *= BACKOFF_RATIO;
            backend.limit_is_shared = false;
        } else if has_samples && window.limit_was_used && !backend.limit_is_shared {
            backend.limit += share.max(backend.limit * MIN_INCREASE_FRACTION);
        }
        backend.limit = backend.limit.clamp(MIN_LIMIT * share, MAX_LIMIT * share);
        backend.window = SampleWindow::new(now);
    }
}
