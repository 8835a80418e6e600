//! The slot budget, for instances whose limits add up to few slots.

use super::Balancer;
use crate::api::Micros;
use crate::state::{BackendState, GOLDEN_RATIO_FRACTION, SECOND};

/// Minimum time between two computations of the slot budget.
const REFRESH_INTERVAL: Micros = SECOND / 4;
/// Minimum sum of an instance's scaled limits, in slots, while no request is rejected. The instance then has
/// slots on about this many backends.
const MIN_TOTAL_SLOTS: f64 = 3.0;
/// Number of requests that one of several instances may have in flight beyond its limits while no request is
/// rejected; it falls to 0 as requests are rejected for lack of capacity.
const MAX_EXCESS_IN_FLIGHT: f64 = 2.0;

impl Balancer {
    /// Recomputes the slot budget if it is out of date.
    ///
    /// Deviation: the basic algorithm uses the limits as they are. If the limits of an instance add up to few
    /// slots (many instances with little traffic each), a second concurrent request would find no capacity
    /// although the fleet has plenty. So the limits are scaled up, which gives the instance slots on more
    /// backends, and its requests in flight are bounded by the sum of the unscaled limits plus the square
    /// root of the sum, as an allowance for requests that coincide. Because of the rounding offsets, each
    /// backend still has slots at about the same number of instances.
    pub(super) fn refresh_slot_budget(&mut self, now: Micros) {
        if self.slot_budget.computed_at.is_some_and(|computed_at| now < computed_at + REFRESH_INTERVAL) {
            return;
        }
        let preferred = self.fleet.ready_backends().filter(|backend| self.is_preferred(backend));
        let total_limit = preferred.map(|backend| backend.limit).sum::<f64>();
        let rounding_offset = (f64::from(self.settings.instance_index) * GOLDEN_RATIO_FRACTION).fract();
        let queue_headroom = 1.0 - self.traffic.rejections.queue_pressure();
        let min_total_slots = 1.0 + (MIN_TOTAL_SLOTS - 1.0) * queue_headroom;
        let excess =
            if self.settings.instance_count > 1 { MAX_EXCESS_IN_FLIGHT * queue_headroom } else { 0.0 };
        let max_in_flight = total_limit + total_limit.sqrt() + rounding_offset + excess;
        let budget = &mut self.slot_budget;
        budget.computed_at = Some(now);
        budget.total_limit = total_limit;
        budget.limit_factor = if total_limit > 0.0 { (min_total_slots / total_limit).max(1.0) } else { 1.0 };
        budget.max_in_flight =
            if budget.limit_factor > 1.0 { (max_in_flight as u32).max(1) } else { u32::MAX };
    }

    /// Whether sending to a backend has no cost of crossing zones, or a negligible one.
    pub(super) fn is_preferred(&self, backend: &BackendState) -> bool {
        backend.zone == self.settings.zone || self.cross_zone_cost_is_negligible()
    }
}
