//! The backends that an instance knows.

use super::{Health, SampleWindow};
use crate::api::{Backend, BackendId, Micros};
use crate::slot_map::SlotMap;

/// What an instance may send to a warming backend: one token per attempt (rule 4).
///
/// Every instance finds an empty new backend the least loaded at once. Each takes only its own share of what
/// the backend can bear, and starts at a random point of its token's period so that they don't send at the
/// same time.
#[derive(Clone, Copy)]
pub(crate) struct WarmUpBudget {
    /// When the backend's process started.
    pub(crate) started_at: Micros,
    pub(crate) tokens: f64,
    /// When `tokens` was computed.
    pub(crate) updated_at: Micros,
}

/// How a load report compares a backend with its kind of machine.
#[derive(Clone, Copy, Default)]
pub(crate) struct ReportedFactor {
    /// Factor on the limit of its kind.
    pub(crate) factor: f64,
    pub(crate) reported_at: Micros,
}

/// A backend and what this instance knows of it.
#[derive(Default)]
pub(crate) struct BackendState {
    pub(crate) id: BackendId,
    pub(crate) zone: u16,
    pub(crate) machine_kind: u8,
    pub(crate) cell: u16,
    /// Whether discovery lists it.
    pub(crate) is_listed: bool,
    pub(crate) is_ready: bool,
    /// Since when it has got no request after it became ready or was ejected; `Micros::MAX` once it got one.
    pub(crate) unused_since: Micros,
    /// Attempts of open requests that refer to its slot.
    pub(crate) references: u32,
    /// When its process started; `None` if that is long ago.
    pub(crate) started_at: Option<Micros>,
    pub(crate) in_flight: u32,
    /// Attempts that became sessions; they occupy slots and are not in flight.
    pub(crate) sessions: u32,
    /// Concurrency limit of this instance, in requests.
    pub(crate) limit: f64,
    /// Added to the limit before it is rounded down, 0 to 1.
    pub(crate) dither: f64,
    /// Whether the limit is that of its kind, since none of its own windows was evaluated.
    pub(crate) limit_is_shared: bool,
    pub(crate) reported: ReportedFactor,
    pub(crate) window: SampleWindow,
    pub(crate) health: Health,
    /// Since when it has had attempts in flight and has finished none.
    pub(crate) silent_since: Micros,
    /// It rejected a request: until then it counts as having no capacity.
    pub(crate) rejecting_until: Micros,
    /// `Some` while it warms up.
    pub(crate) warm_up: Option<WarmUpBudget>,
    /// When each of this instance's connections to it was last in use.
    pub(crate) connections_idle_since: Vec<Micros>,
}

impl BackendState {
    /// One that discovery lists for the first time.
    pub(crate) fn new(now: Micros, entry: &Backend, machine_kind: u8) -> Self {
        Self {
            id: entry.id,
            zone: entry.zone,
            machine_kind,
            cell: entry.cell,
            started_at: entry.started_at,
            silent_since: now,
            reported: ReportedFactor { factor: 1.0, reported_at: now },
            ..Self::default()
        }
    }

    /// The limit as an integer; `factor` scales the limit before it is rounded down.
    ///
    /// Departure: below 1 the dither decides which instances hold a slot, so that the admitted sum does not
    /// grow with their number. A warming backend's budget ensures that alone: with both, hardly any of many
    /// instances ever sent it anything.
    pub(crate) fn slots(&self, factor: f64) -> i64 {
        // A cast is much cheaper than `floor`.
        ((self.limit * factor + self.dither) as i64).max(i64::from(self.warm_up.is_some()))
    }

    /// Whether it can be forgotten.
    fn is_removable(&self) -> bool {
        !self.is_listed && self.references == 0
    }
}

/// The backends that are listed or referred to by an open request. A slot is reused only when no attempt
/// refers to it: otherwise the attempt's outcome would be attributed to the backend that took the slot.
pub(crate) type Backends = SlotMap<BackendState>;

impl Backends {
    /// Marks all as no longer listed, before a complete list is applied.
    pub(crate) fn unlist_all(&mut self) {
        for (_, backend) in self.iter_mut() {
            backend.is_listed = false;
            backend.is_ready = false;
        }
    }

    /// Drops one reference of an open request.
    pub(crate) fn dereference(&mut self, slot: usize) {
        self[slot].references -= 1;
        let backend = &self[slot];
        if backend.is_removable() {
            self.release(backend.id);
        }
    }

    /// Forgets the backends that are neither listed nor referred to.
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
