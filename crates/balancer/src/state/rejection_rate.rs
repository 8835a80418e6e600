//! The fraction of requests that is rejected for lack of capacity.

/// Weight of a new request in the moving average, 0 to 1.
const REQUEST_WEIGHT: f64 = 1.0 / 64.0;
/// Fraction of rejected requests, 0 to 1, from which on queues on the backends are assumed to persist.
const STANDING_QUEUE_FRACTION: f64 = 0.1;

/// Moving average of the fraction of rejections for lack of capacity.
#[derive(Default)]
pub(crate) struct RejectionRate {
    /// 0 to 1.
    pub(crate) fraction: f64,
}

impl RejectionRate {
    pub(crate) fn record_rejection(&mut self) {
        self.fraction += (1.0 - self.fraction) * REQUEST_WEIGHT;
    }

    pub(crate) fn record_response(&mut self) {
        self.fraction -= self.fraction * REQUEST_WEIGHT;
    }

    /// From 0 (no rejections; queues on the backends drain) to 1 (queues persist).
    pub(crate) fn queue_pressure(&self) -> f64 {
        (self.fraction / STANDING_QUEUE_FRACTION).min(1.0)
    }

    pub(crate) fn has_standing_queues(&self) -> bool {
        self.fraction >= STANDING_QUEUE_FRACTION
    }
}
