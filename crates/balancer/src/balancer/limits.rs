//! Concurrency limits: AIMD on windows of latency samples, for each backend and for each machine kind.

use super::Balancer;
use crate::api::{Micros, Settings};
use crate::state::{AVERAGE_WEIGHT, BackendState, LARGE_FLEET, ReportedFactor, SECOND, SampleWindow};

/// Minimum length of a window; short enough for limits to follow a load that changes within seconds.
const MIN_WINDOW: Micros = SECOND / 4;
/// Age at which a window with too few samples is discarded, as a multiple of `MIN_WINDOW`.
const MAX_WINDOW_MULTIPLE: Micros = 40;
/// Minimum number of samples in a window. Fewer are too noisy if the standard deviation of work is as large
/// as its mean.
const MIN_SAMPLES: u32 = 6;
/// Factor on a limit if the mean sample of its window is above the back-off threshold.
const BACKOFF_RATIO: f64 = 0.7;
/// Minimum increase of a limit, as a fraction of the limit.
///
/// Deviation: AIMD usually adds 1 to a limit. On a large backend, this would be negligible compared with a
/// back-off.
const MIN_INCREASE_FRACTION: f64 = 0.15;
/// A backend without a slot and without an evaluated window for this long gets the limit of its kind.
const UNSAMPLED_DELAY: Micros = 2 * SECOND;
/// Minimum limit of one backend, in requests, summed over all instances. With a lower one, a backend might
/// get no requests and so no samples.
const MIN_LIMIT: f64 = 0.8;
/// Maximum limit of one backend, in requests, summed over all instances.
const MAX_LIMIT: f64 = 64.0;
/// Minimum of the factor on the limit of its machine kind that a backend gets for a load report.
const MIN_REPORTED_FACTOR: f64 = 0.1;
/// Maximum of the factor on the limit of its machine kind that a backend gets for a load report.
const MAX_REPORTED_FACTOR: f64 = 1.5;
/// Maximum service time that one load report contributes to the moving average of its machine kind, as a
/// multiple of that average. Longer ones are capped.
const MAX_REPORT_MULTIPLE: f64 = 3.0;
/// How long a load report stays valid.
const REPORT_TTL: Micros = 5 * SECOND;

/// This instance's fraction of a backend: the inverse of the number of instances that use it.
///
/// Deviation: AIMD usually has the same bounds and steps at each instance. Here, they are defined for a
/// backend and divided among the instances, so that the sum of the limits does not grow with the number of
/// instances.
pub(super) fn instance_fraction(settings: &Settings, backend: &BackendState) -> f64 {
    let instances = f64::from(settings.instance_count);
    let in_zone = (instances / f64::from(settings.zone_count)).max(1.0);
    1.0 / if backend.zone == settings.zone { in_zone } else { instances }
}

impl Balancer {
    /// Applies a load report.
    ///
    /// Deviation: the basic algorithm adapts a limit by latency samples only. But an instance with few slots
    /// sends to each backend only once in many seconds, too seldom to fill a window. If reports contain the
    /// recent service time, the limit is set directly: to that of the machine kind, scaled by the speed of
    /// the backend relative to its kind. So all instances send less to slow backends, whatever the cause.
    pub(super) fn apply_load_report(&mut self, now: Micros, backend_index: usize, report: &[f32]) {
        let Some(field) = self.settings.load_report_fields.mean_service_ms else { return };
        let Some(service_ms) = report.get(field).map(|&ms| f64::from(ms)) else { return };
        if !service_ms.is_finite() || service_ms <= 0.0 {
            return;
        }
        let fraction = instance_fraction(&self.settings, &self.fleet.backends[backend_index]);
        let backend = &mut self.fleet.backends[backend_index];
        let kind = &mut self.kind_limits[usize::from(backend.machine_kind)];
        let kind_mean_ms = kind.mean_service_ms.unwrap_or(service_ms);
        let bounded = service_ms.min(kind_mean_ms * MAX_REPORT_MULTIPLE);
        kind.mean_service_ms = Some(kind_mean_ms + (bounded - kind_mean_ms) * AVERAGE_WEIGHT);
        let factor = (kind_mean_ms / service_ms).clamp(MIN_REPORTED_FACTOR, MAX_REPORTED_FACTOR);
        backend.reported = ReportedFactor { factor, reported_at: now };
        if backend.uses_kind_limit && kind.limit * fraction < 1.0 {
            backend.limit = kind.limit * fraction * factor;
        }
    }

    /// Adds a sample to a kind's window, and adjusts the kind's limit if the window is complete.
    ///
    /// Deviation: the basic algorithm has limits of backends only. Here, each machine kind also has a limit,
    /// adapted by the same AIMD on the samples of all its backends, and doubling until its first back-off. It
    /// applies to backends without recent samples: one of many instances has slots on few backends only, and
    /// the limits of the others would never change.
    pub(super) fn adjust_kind_limit(&mut self, now: Micros, kind: usize, sample: f64) {
        let kind_limit = &mut self.kind_limits[kind];
        let before = kind_limit.limit;
        kind_limit.window.add(sample);
        let age = now - kind_limit.window.started_at;
        if kind_limit.window.count < MIN_SAMPLES || (!kind_limit.is_doubling && age < MIN_WINDOW) {
            return;
        }
        if kind_limit.window.mean() > 1.0 {
            kind_limit.is_doubling = false;
            kind_limit.limit *= BACKOFF_RATIO;
        } else if kind_limit.window.limit_was_used {
            kind_limit.limit *= if kind_limit.is_doubling { 2.0 } else { 1.0 + MIN_INCREASE_FRACTION };
        }
        kind_limit.limit = kind_limit.limit.clamp(MIN_LIMIT, MAX_LIMIT);
        kind_limit.window = SampleWindow::new(now);
        let is_unchanged = kind_limit.limit == before;
        if !(is_unchanged && self.fleet.backends.len() > LARGE_FLEET) {
            self.propagate_kind_limit(now, kind);
        }
    }

    /// Sets the limits of a kind's backends without recent samples to the kind's limit.
    fn propagate_kind_limit(&mut self, now: Micros, kind: usize) {
        let limit = self.kind_limits[kind].limit;
        for (_, backend) in self.fleet.backends.iter_mut() {
            let fraction = instance_fraction(&self.settings, backend);
            let is_unsampled = backend.uses_kind_limit
                || (backend.slots(self.slot_budget.limit_factor) == 0
                    && now > backend.window.started_at + UNSAMPLED_DELAY);
            if is_unsampled && usize::from(backend.machine_kind) == kind {
                let ReportedFactor { factor, reported_at } = backend.reported;
                let report_applies = limit * fraction < 1.0 && now < reported_at + REPORT_TTL;
                backend.limit = limit * fraction * if report_applies { factor } else { 1.0 };
                backend.uses_kind_limit = true;
            }
        }
    }

    /// Adds a sample to a backend's window, and makes an AIMD step if the window is complete.
    ///
    /// Deviation: a window does not end after a fixed time. It stays open until it has enough samples, up to
    /// a maximum age, since the mean of few samples is too noisy.
    pub(super) fn adjust_limit(&mut self, now: Micros, backend_index: usize, sample: f64) {
        let fraction = instance_fraction(&self.settings, &self.fleet.backends[backend_index]);
        let backend = &mut self.fleet.backends[backend_index];
        let window = &mut backend.window;
        window.add(sample);
        let age = now - window.started_at;
        let has_samples = window.count >= MIN_SAMPLES;
        if age < MIN_WINDOW || (!has_samples && age < MIN_WINDOW * MAX_WINDOW_MULTIPLE) {
            return;
        }
        if has_samples && window.mean() > 1.0 {
            backend.limit *= BACKOFF_RATIO;
            backend.uses_kind_limit = false;
        } else if has_samples && window.limit_was_used && !backend.uses_kind_limit {
            backend.limit += fraction.max(backend.limit * MIN_INCREASE_FRACTION);
        }
        backend.limit = backend.limit.clamp(MIN_LIMIT * fraction, MAX_LIMIT * fraction);
        backend.window = SampleWindow::new(now);
    }
}
