//! State of the backends that an instance knows.

use super::{Health, SampleWindow};
use crate::api::{Backend, BackendId, Micros};
use crate::slot_map::SlotMap;

/// Slow-start budget of one instance for a backend that is warming up: one token per attempt (rule 4).
///
/// A new backend without requests is the least loaded one for all instances at the same time. So each
/// instance sends only its fraction of the rate that the backend can serve, and starts with a random part of
/// a token, so that the instances do not send at the same time.
#[derive(Clone, Copy)]
pub(crate) struct WarmUpBudget {
    /// When the backend's process started.
    pub(crate) started_at: Micros,
    pub(crate) tokens: f64,
    /// When `tokens` was computed.
    pub(crate) updated_at: Micros,
}

/// Speed of a backend relative to its machine kind, according to its last load report.
#[derive(Clone, Copy, Default)]
pub(crate) struct ReportedFactor {
    /// Factor on the limit of its kind: below 1 for a backend slower than the mean.
    pub(crate) factor: f64,
    pub(crate) reported_at: Micros,
}

/// A backend and what this instance has measured of it.
#[derive(Default)]
pub(crate) struct BackendState {
    pub(crate) id: BackendId,
    pub(crate) zone: u16,
    pub(crate) machine_kind: u8,
    pub(crate) cell: u16,
    /// Whether discovery lists it.
    pub(crate) is_listed: bool,
    pub(crate) is_ready: bool,
    /// When it became ready or was ejected, if it has got no request since then; `Micros::MAX` otherwise.
    pub(crate) unused_since: Micros,
    /// Number of attempts of open requests that refer to its index.
    pub(crate) references: u32,
    /// When its process started; `None` if it warmed up long ago.
    pub(crate) started_at: Option<Micros>,
    pub(crate) in_flight: u32,
    /// Attempts that became sessions; they occupy slots and do not count as in flight.
    pub(crate) sessions: u32,
    /// Concurrency limit of this instance, in requests; not rounded.
    pub(crate) limit: f64,
    /// Added to the limit before it is rounded down to a number of slots; from 0 to below 1. It differs
    /// between instances: of many instances with a limit of 0.3, three in ten have a slot.
    pub(crate) rounding_offset: f64,
    /// Whether the limit is derived from that of its machine kind, since no window of its own has changed it.
    pub(crate) uses_kind_limit: bool,
    pub(crate) reported: ReportedFactor,
    pub(crate) window: SampleWindow,
    pub(crate) health: Health,
    /// Time of its last response, or of its first attempt in flight if that is later.
    pub(crate) unresponsive_since: Micros,
    /// End of the time during which it gets no requests, after it rejected one.
    pub(crate) rejecting_until: Micros,
    /// `Some` while it is warming up.
    pub(crate) warm_up: Option<WarmUpBudget>,
    /// When each of this instance's connections to it was last in use.
    pub(crate) connections_idle_since: Vec<Micros>,
}

impl BackendState {
    pub(crate) fn new(now: Micros, entry: &Backend, machine_kind: u8) -> Self {
        Self {
            id: entry.id,
            zone: entry.zone,
            machine_kind,
            cell: entry.cell,
            started_at: entry.started_at,
            unresponsive_since: now,
            reported: ReportedFactor { factor: 1.0, reported_at: now },
            ..Self::default()
        }
    }

    /// The limit as a number of slots; `factor` scales the limit before it is rounded down.
    ///
    /// With a limit below 1, the rounding offset determines which instances have a slot, so that the sum of
    /// slots over all instances does not grow with their number. A backend that is warming up always has a
    /// slot, since the slow-start budget already bounds that sum: with both bounds, hardly any of many
    /// instances ever sent it a request.
    pub(crate) fn slots(&self, factor: f64) -> i64 {
        // A cast is much cheaper than `floor`.
        ((self.limit * factor + self.rounding_offset) as i64).max(i64::from(self.warm_up.is_some()))
    }

    fn is_removable(&self) -> bool {
        !self.is_listed && self.references == 0
    }
}

/// The backends that are listed, or that an attempt of an open request refers to. An index is reused only
/// when no attempt refers to it; otherwise the attempt's outcome would be attributed to another backend.
pub(crate) type Backends = SlotMap<BackendState>;

impl Backends {
    /// Marks all backends as not listed, before a complete list is applied.
    pub(crate) fn mark_all_unlisted(&mut self) {
        for (_, backend) in self.iter_mut() {
            backend.is_listed = false;
            backend.is_ready = false;
        }
    }

    /// Removes one reference of an attempt, and the backend if it is unlisted and has no other references.
    pub(crate) fn release_reference(&mut self, backend_index: usize) {
        self[backend_index].references -= 1;
        let backend = &self[backend_index];
        if backend.is_removable() {
            self.release(backend.id);
        }
    }

    /// Removes the backends that are neither listed nor referred to.
    pub(crate) fn remove_unlisted(&mut self) {
        let removable = self.iter().filter(|(_, backend)| backend.is_removable());
        let ids: Vec<BackendId> = removable.map(|(_, backend)| backend.id).collect();
        for id in ids {
            self.release(id);
        }
    }
}

#[cfg(test)]
#[path = "backend_tests.rs"]
mod tests;
