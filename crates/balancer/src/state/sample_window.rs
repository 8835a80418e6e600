//! Latency samples between two adjustments of a limit.

use crate::api::Micros;

/// The samples since a limit was last adjusted. A sample is a latency as a multiple of the back-off
/// threshold.
#[derive(Clone, Copy, Default)]
pub(crate) struct SampleWindow {
    pub(crate) started_at: Micros,
    pub(crate) count: u32,
    pub(crate) sum: f64,
    /// Whether the requests in flight came close to the limit; an unused limit is not known to be good.
    pub(crate) limit_was_used: bool,
}

impl SampleWindow {
    /// An empty window.
    pub(crate) fn new(now: Micros) -> Self {
        Self { started_at: now, ..Self::default() }
    }

    pub(crate) fn add(&mut self, sample: f64) {
        self.count += 1;
        self.sum += sample;
    }

    /// Mean sample; 0 if there is none.
    pub(crate) fn mean(&self) -> f64 {
        self.sum / f64::from(self.count.max(1))
    }
}
