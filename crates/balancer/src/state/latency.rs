//! Latency of one class on one kind of machine.

use super::RejectionRate;
use crate::api::Micros;

/// Weight of a new sample in the averages.
pub(crate) const AVERAGE_WEIGHT: f64 = 1.0 / 16.0;
/// First guess of the mean, as a fraction of the latency objective.
const INITIAL_MEAN_FRACTION: f64 = 0.25;
/// Growth of the baseline per second, so that it follows a fleet that became slower.
const BASELINE_GROWTH_PER_S: f64 = 0.01;
/// The back-off threshold as a multiple of the baseline. Departure: the first while requests are rejected for
/// lack of capacity (standing queues), the second while none is (queues drain); in between, by the fraction
/// rejected.
const THRESHOLD_WITH_STANDING_QUEUES: f64 = 1.8;
const THRESHOLD_WITH_DRAINING_QUEUES: f64 = 6.0;
/// The back-off threshold as a fraction of the latency objective. At least: a shorter wait costs nothing, and
/// limits that fall because of it reject more, which keeps them low. At most: limits have to fall before
/// objectives are missed.
const MIN_THRESHOLD_FRACTION: f64 = 0.05;
const MAX_THRESHOLD_FRACTION: f64 = 0.3;

/// Latencies in microseconds.
#[derive(Clone, Copy)]
pub(crate) struct LatencyEstimate {
    pub(crate) samples: u32,
    pub(crate) mean: f64,
    /// Latency without queueing: the lowest mean so far, drifting up slowly; `f64::MAX` while unknown.
    pub(crate) baseline: f64,
    pub(crate) updated_at: Micros,
}

impl LatencyEstimate {
    pub(crate) fn new(objective: Micros, now: Micros) -> Self {
        let mean = objective as f64 * INITIAL_MEAN_FRACTION;
        Self { samples: 0, mean, baseline: f64::MAX, updated_at: now }
    }

    pub(crate) fn has_baseline(&self) -> bool {
        self.baseline < f64::MAX
    }

    /// Number of samples, where the first guess counts as one.
    pub(crate) fn weight(&self) -> f64 {
        f64::from(self.samples) + 1.0
    }

    pub(crate) fn add(&mut self, elapsed: f64, now: Micros) {
        self.samples += 1;
        self.mean += (elapsed - self.mean) * AVERAGE_WEIGHT.max(1.0 / f64::from(self.samples));
        let drift = 1.0 + BASELINE_GROWTH_PER_S * (now - self.updated_at) as f64 / 1e6;
        self.updated_at = now;
        if f64::from(self.samples) * AVERAGE_WEIGHT >= 1.0 {
            self.baseline = (self.baseline * drift).min(self.mean);
        }
    }

    /// The latency above which a limit backs off.
    pub(crate) fn backoff_threshold(&self, objective: Micros, rejections: &RejectionRate) -> f64 {
        let (standing, draining) = (THRESHOLD_WITH_STANDING_QUEUES, THRESHOLD_WITH_DRAINING_QUEUES);
        let over_baseline = draining + (standing - draining) * rejections.queue_pressure();
        let objective = objective as f64;
        (self.baseline * over_baseline)
            .clamp(objective * MIN_THRESHOLD_FRACTION, objective * MAX_THRESHOLD_FRACTION)
    }
}

/// The estimates of all classes and kinds of machines.
pub(crate) struct LatencyTable {
    /// By class and then by kind.
    pub(crate) estimates: Vec<LatencyEstimate>,
    kinds: usize,
}

impl LatencyTable {
    /// A table without classes for so many kinds of machines.
    pub(crate) fn new(kinds: usize) -> Self {
        Self { estimates: Vec::new(), kinds }
    }

    /// Adds a class behind the others.
    pub(crate) fn add_class(&mut self, objective: Micros, now: Micros) {
        let estimate = LatencyEstimate::new(objective, now);
        self.estimates.extend(std::iter::repeat_n(estimate, self.kinds));
    }

    pub(crate) fn get_mut(&mut self, class: usize, kind: usize) -> &mut LatencyEstimate {
        &mut self.estimates[class * self.kinds + kind]
    }

    /// Mean latency of a class over the kinds of machines.
    pub(crate) fn class_mean(&self, class: usize) -> f64 {
        let estimates = &self.estimates[class * self.kinds..(class + 1) * self.kinds];
        estimates.iter().map(|estimate| estimate.mean).sum::<f64>() / self.kinds as f64
    }

    /// Mean latency over all classes and kinds, weighted by the number of samples.
    pub(crate) fn overall_mean(&self) -> f64 {
        let sum = self.estimates.iter().map(|estimate| estimate.weight() * estimate.mean).sum::<f64>();
        sum / self.estimates.iter().map(LatencyEstimate::weight).sum::<f64>()
    }
}
