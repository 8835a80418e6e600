//! Latency estimates by class and machine kind.

use super::RejectionRate;
use crate::api::Micros;

/// Weight of a new sample in a moving average, 0 to 1.
pub(crate) const AVERAGE_WEIGHT: f64 = 1.0 / 16.0;
/// Initial mean, as a fraction of the latency objective.
const INITIAL_MEAN_FRACTION: f64 = 0.25;
/// Relative growth of the baseline per second, so that it adapts to a fleet that became slower.
const BASELINE_GROWTH_PER_S: f64 = 0.01;
/// Back-off threshold, as a multiple of the baseline latency, while many requests are rejected for lack of
/// capacity: queues on the backends then persist. With fewer rejections, the multiple is interpolated between
/// this one and `DRAINING_QUEUES_BASELINE_MULTIPLE` by the rejected fraction.
const STANDING_QUEUES_BASELINE_MULTIPLE: f64 = 1.8;
/// Back-off threshold, as a multiple of the baseline latency, while no request is rejected for lack of
/// capacity: queues on the backends then drain.
const DRAINING_QUEUES_BASELINE_MULTIPLE: f64 = 6.0;
/// Minimum back-off threshold, as a fraction of the latency objective. A shorter wait does no harm, and
/// limits lowered by it cause rejections, which lower the threshold and so keep the limits low.
const MIN_THRESHOLD_OBJECTIVE_FRACTION: f64 = 0.05;
/// Maximum back-off threshold, as a fraction of the latency objective: limits must fall before objectives are
/// missed.
const MAX_THRESHOLD_OBJECTIVE_FRACTION: f64 = 0.3;

/// Latency of one class on one machine kind.
#[derive(Clone, Copy)]
pub(crate) struct LatencyEstimate {
    pub(crate) samples: u32,
    /// Moving average.
    pub(crate) mean_us: f64,
    /// Latency without queueing: the lowest mean so far, growing slowly; `f64::MAX` while unknown.
    pub(crate) baseline_us: f64,
    pub(crate) updated_at: Micros,
}

impl LatencyEstimate {
    pub(crate) fn new(objective: Micros, now: Micros) -> Self {
        let mean_us = objective as f64 * INITIAL_MEAN_FRACTION;
        Self { samples: 0, mean_us, baseline_us: f64::MAX, updated_at: now }
    }

    pub(crate) fn has_baseline(&self) -> bool {
        self.baseline_us < f64::MAX
    }

    /// Number of samples, where the initial mean counts as one.
    pub(crate) fn weight(&self) -> f64 {
        f64::from(self.samples) + 1.0
    }

    pub(crate) fn add(&mut self, elapsed_us: f64, now: Micros) {
        self.samples += 1;
        self.mean_us += (elapsed_us - self.mean_us) * AVERAGE_WEIGHT.max(1.0 / f64::from(self.samples));
        let drift = 1.0 + BASELINE_GROWTH_PER_S * (now - self.updated_at) as f64 / 1e6;
        self.updated_at = now;
        if f64::from(self.samples) * AVERAGE_WEIGHT >= 1.0 {
            self.baseline_us = (self.baseline_us * drift).min(self.mean_us);
        }
    }

    /// The latency above which a limit backs off, in microseconds.
    pub(crate) fn backoff_threshold(&self, objective: Micros, rejections: &RejectionRate) -> f64 {
        let (standing, draining) = (STANDING_QUEUES_BASELINE_MULTIPLE, DRAINING_QUEUES_BASELINE_MULTIPLE);
        let baseline_multiple = draining + (standing - draining) * rejections.queue_pressure();
        let objective = objective as f64;
        (self.baseline_us * baseline_multiple)
            .clamp(objective * MIN_THRESHOLD_OBJECTIVE_FRACTION, objective * MAX_THRESHOLD_OBJECTIVE_FRACTION)
    }
}

/// Estimates of all classes on all machine kinds.
pub(crate) struct LatencyTable {
    /// By class and then by machine kind.
    pub(crate) estimates: Vec<LatencyEstimate>,
    kinds: usize,
}

impl LatencyTable {
    /// A table without classes, for `kinds` machine kinds.
    pub(crate) fn new(kinds: usize) -> Self {
        Self { estimates: Vec::new(), kinds }
    }

    /// Appends a class.
    pub(crate) fn add_class(&mut self, objective: Micros, now: Micros) {
        let estimate = LatencyEstimate::new(objective, now);
        self.estimates.extend(std::iter::repeat_n(estimate, self.kinds));
    }

    pub(crate) fn get_mut(&mut self, class: usize, kind: usize) -> &mut LatencyEstimate {
        &mut self.estimates[class * self.kinds + kind]
    }

    /// Mean latency of a class over the machine kinds.
    pub(crate) fn class_mean_us(&self, class: usize) -> f64 {
        let estimates = &self.estimates[class * self.kinds..(class + 1) * self.kinds];
        estimates.iter().map(|estimate| estimate.mean_us).sum::<f64>() / self.kinds as f64
    }

    /// Mean latency over all classes and machine kinds, weighted by the number of samples.
    pub(crate) fn overall_mean_us(&self) -> f64 {
        let sum = self.estimates.iter().map(|estimate| estimate.weight() * estimate.mean_us).sum::<f64>();
        sum / self.estimates.iter().map(LatencyEstimate::weight).sum::<f64>()
    }
}
