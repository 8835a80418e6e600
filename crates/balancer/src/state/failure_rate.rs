//! The fraction of attempts that fails on healthy backends.

/// Minimum fraction of failures, 0 to 1, that is expected of a healthy backend.
const MIN_BASELINE: f64 = 0.02;
/// Maximum fraction of failures, 0 to 1, that is expected of a healthy backend.
const MAX_BASELINE: f64 = 0.45;
/// Weight of a new outcome in the moving average, 0 to 1.
const OUTCOME_WEIGHT: f64 = 1.0 / 32.0;

/// Moving average of the fraction of failures.
#[derive(Default)]
pub(crate) struct FailureRate {
    fraction: f64,
}

impl FailureRate {
    /// The fraction of failures that is expected of a healthy backend.
    pub(crate) fn baseline(&self) -> f64 {
        self.fraction.clamp(MIN_BASELINE, MAX_BASELINE)
    }

    /// Records a success, and the failures on the same backend since its previous success.
    pub(crate) fn record_success(&mut self, failures_before: usize) {
        for outcome in std::iter::repeat_n(1.0, failures_before).chain([0.0]) {
            self.fraction += (outcome - self.fraction) * OUTCOME_WEIGHT;
        }
    }
}
