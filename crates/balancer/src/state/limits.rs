//! Limits that are not those of a single backend.

use super::SampleWindow;
use crate::api::Micros;

/// First limit of a backend for all instances together. It must not starve large backends.
const INITIAL_LIMIT: f64 = 1.5;

/// What one backend of a kind of machine takes from all instances together.
#[derive(Clone)]
pub(crate) struct KindLimit {
    /// In requests.
    pub(crate) limit: f64,
    /// Whether it still grows by doubling.
    pub(crate) is_doubling: bool,
    /// Mean service time in the load reports of its backends; `None` while no report came.
    pub(crate) mean_service_ms: Option<f64>,
    pub(crate) window: SampleWindow,
}

impl KindLimit {
    pub(crate) fn new(now: Micros) -> Self {
        let window = SampleWindow::new(now);
        Self { limit: INITIAL_LIMIT, is_doubling: true, mean_service_ms: None, window }
    }
}

/// How widely an instance with few slots spreads its requests, and how many it may have in flight.
pub(crate) struct SlotBudget {
    /// Sum of the limits of the backends that cost nothing to reach.
    pub(crate) slots: f64,
    /// Factor on every limit before it is rounded to slots; 1 or more.
    pub(crate) spread: f64,
    pub(crate) max_in_flight: u32,
    /// When it was last computed; `None` before the first time.
    pub(crate) computed_at: Option<Micros>,
}

impl SlotBudget {
    pub(crate) fn new() -> Self {
        Self { slots: 0.0, spread: 1.0, max_in_flight: u32::MAX, computed_at: None }
    }
}
