//! The fraction of the attempts that fails on backends that serve.

/// Bounds of what counts as the usual fraction.
const MIN_USUAL: f64 = 0.02;
const MAX_USUAL: f64 = 0.45;
/// Weight of one more outcome in the average.
const WEIGHT: f64 = 1.0 / 32.0;

/// Moving average of failures.
#[derive(Default)]
pub(crate) struct FailureRate {
    fraction: f64,
}

impl FailureRate {
    /// The fraction of failures that is taken as usual.
    pub(crate) fn usual(&self) -> f64 {
        self.fraction.clamp(MIN_USUAL, MAX_USUAL)
    }

    /// Records a success and the failures that came before it on the same backend.
    pub(crate) fn record_success(&mut self, failures_before: usize) {
        for outcome in std::iter::repeat_n(1.0, failures_before).chain([0.0]) {
            self.fraction += (outcome - self.fraction) * WEIGHT;
        }
    }
}
