//! Concurrency limits of machine kinds, and the slot budget of an instance.

use super::SampleWindow;
use crate::api::Micros;

/// Initial limit of a backend, in requests, summed over all instances. A lower one would leave large backends
/// unused.
const INITIAL_LIMIT: f64 = 1.5;

/// Concurrency limit of one backend of a machine kind, summed over all instances.
#[derive(Clone)]
pub(crate) struct KindLimit {
    /// In requests.
    pub(crate) limit: f64,
    /// Whether it still doubles at each increase, as no back-off has occurred yet.
    pub(crate) is_doubling: bool,
    /// Moving average of the service times in load reports of its backends; `None` before the first report.
    pub(crate) mean_service_ms: Option<f64>,
    pub(crate) window: SampleWindow,
}

impl KindLimit {
    pub(crate) fn new(now: Micros) -> Self {
        let window = SampleWindow::new(now);
        Self { limit: INITIAL_LIMIT, is_doubling: true, mean_service_ms: None, window }
    }
}

/// How an instance whose limits add up to few slots scales its limits, and how many requests it may have in
/// flight.
pub(crate) struct SlotBudget {
    /// Sum of the limits of the preferred backends, in requests; neither scaled nor rounded.
    pub(crate) total_limit: f64,
    /// Factor on each limit before it is rounded down to a number of slots; 1 or more. Above 1, the instance
    /// has slots on more backends.
    pub(crate) limit_factor: f64,
    /// Maximum number of requests in flight; `u32::MAX` unless the limits are scaled.
    pub(crate) max_in_flight: u32,
    /// Time of the last computation; `None` before the first one.
    pub(crate) computed_at: Option<Micros>,
}

impl SlotBudget {
    pub(crate) fn new() -> Self {
        Self { total_limit: 0.0, limit_factor: 1.0, max_in_flight: u32::MAX, computed_at: None }
    }
}
