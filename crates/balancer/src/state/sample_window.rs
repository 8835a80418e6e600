//! Window of latency samples between two adjustments of a limit.

use crate::api::Micros;

/// Samples since the last adjustment of a limit. A sample is a latency as a multiple of the back-off
/// threshold.
#[derive(Clone, Copy, Default)]
pub(crate) struct SampleWindow {
    pub(crate) started_at: Micros,
    pub(crate) count: u32,
    pub(crate) sum: f64,
    /// Whether the requests in flight came close to the limit. Otherwise the samples do not show that a
    /// higher limit is safe.
    pub(crate) limit_was_used: bool,
}

impl SampleWindow {
    pub(crate) fn new(now: Micros) -> Self {
        Self { started_at: now, ..Self::default() }
    }

    pub(crate) fn add(&mut self, sample: f64) {
        self.count += 1;
        self.sum += sample;
    }

    /// Mean sample; 0 for an empty window.
    pub(crate) fn mean(&self) -> f64 {
        self.sum / f64::from(self.count.max(1))
    }
}
