//! Concurrency limits of machine kinds, and the slot budget of an instance.

use super::SampleWindow;
use crate::api::Micros;

/// Initial limit of a backend, summed over all instances. A lower one would leave large backends unused.
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

/// Over how many backends an instance with few slots spreads its requests, and how many requests it may have
/// in flight.
pub(crate) struct SlotBudget {
    /// Sum of the limits of the preferred backends.
    pub(crate) slots: f64,
    /// Factor on each limit before it is rounded to slots; 1 or more.
    pub(crate) spread: f64,
    pub(crate) max_in_flight: u32,
    /// Time of the last computation; `None` before the first one.
    pub(crate) computed_at: Option<Micros>,
}

impl SlotBudget {
    pub(crate) fn new() -> Self {
        Self { slots: 0.0, spread: 1.0, max_in_flight: u32::MAX, computed_at: None }
    }
}
