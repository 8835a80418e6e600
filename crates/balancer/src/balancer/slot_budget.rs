//! The slot budget, for instances whose limits add up to few slots.

use super::Balancer;
use crate::api::Micros;
use crate::state::{BackendState, GOLDEN_RATIO, SECOND};

/// Time between two computations of the budget.
const REFRESH_INTERVAL: Micros = SECOND / 4;
/// Minimum number of backends over which an instance spreads its requests while none is rejected.
const MIN_SPREAD: f64 = 3.0;
/// Number of requests that one of several instances may have in flight beyond its limits while none is
/// rejected.
const MAX_EXCESS_IN_FLIGHT: f64 = 2.0;

impl Balancer {
    /// Recomputes the slot budget if it is out of date.
    ///
    /// Deviation: if the limits of an instance add up to few slots (many instances with little traffic each),
    /// a second concurrent request would find no capacity although the fleet has plenty. So the slots are
    /// spread over more backends, and the requests in flight are bounded by the sum of the limits plus its
    /// square root, as an allowance for requests that coincide. Because of the dithers, each backend still
    /// has slots at about the same number of instances.
    pub(super) fn refresh_slot_budget(&mut self, now: Micros) {
        if self.slot_budget.computed_at.is_some_and(|computed_at| now < computed_at + REFRESH_INTERVAL) {
            return;
        }
        let preferred = self.fleet.ready_backends().filter(|backend| self.is_preferred(backend));
        let slots = preferred.map(|backend| backend.limit).sum::<f64>();
        let offset = (f64::from(self.settings.instance_index) * GOLDEN_RATIO).fract();
        let queue_headroom = 1.0 - self.traffic.rejections.queue_pressure();
        let min_spread = 1.0 + (MIN_SPREAD - 1.0) * queue_headroom;
        let excess =
            if self.settings.instance_count > 1 { MAX_EXCESS_IN_FLIGHT * queue_headroom } else { 0.0 };
        let max_in_flight = slots + slots.sqrt() + offset + excess;
        let budget = &mut self.slot_budget;
        budget.computed_at = Some(now);
        budget.slots = slots;
        budget.spread = if slots > 0.0 { (min_spread / slots).max(1.0) } else { 1.0 };
        budget.max_in_flight = if budget.spread > 1.0 { (max_in_flight as u32).max(1) } else { u32::MAX };
    }

    /// Whether sending to a backend has no cost of crossing zones.
    pub(super) fn is_preferred(&self, backend: &BackendState) -> bool {
        backend.zone == self.settings.zone || self.crossing_is_free()
    }
}
