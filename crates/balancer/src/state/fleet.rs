//! The fleet of backends as discovery lists it.

use super::GOLDEN_RATIO_FRACTION;
use super::backend::{BackendState, Backends};
use std::ops::Range;

/// Number of backends above which decisions are based on a sample of them.
pub(crate) const LARGE_FLEET: usize = 256;

/// All known backends, and which of them may get requests.
#[derive(Default)]
pub(crate) struct Fleet {
    pub(crate) backends: Backends,
    /// Indices of the ready backends, sorted by zone, kind and id. Rule 3: draining and removed backends are
    /// not included.
    pub(crate) ready: Vec<usize>,
    /// Range of `ready` that is preferred: the local zone, or all zones if the local one has no backends or
    /// crossing zones has a negligible cost.
    pub(crate) preferred: Range<usize>,
    /// Number of ejections so far.
    pub(crate) ejections: u64,
}

impl Fleet {
    /// Recomputes `ready`, `preferred` and the rounding offsets after a change of the list.
    pub(crate) fn rebuild(&mut self, zone: u16, cross_zone_cost_is_negligible: bool, instance_index: u32) {
        self.backends.remove_unlisted();
        self.ready.clear();
        let ready = self.backends.iter().filter(|(_, backend)| backend.is_ready);
        self.ready.extend(ready.map(|(backend_index, _)| backend_index));
        self.assign_rounding_offsets(instance_index);
        let first = self.ready.partition_point(|&backend_index| self.backends[backend_index].zone < zone);
        let end = self.ready.partition_point(|&backend_index| self.backends[backend_index].zone <= zone);
        self.preferred =
            if cross_zone_cost_is_negligible || first == end { 0..self.ready.len() } else { first..end };
    }

    /// Distributes the rounding offsets of an instance evenly over the backends of a zone and kind, and those
    /// of all instances evenly for each backend. With random offsets, some instances never had a slot.
    fn assign_rounding_offsets(&mut self, instance_index: u32) {
        let backends = &mut self.backends;
        let group = |backend: &BackendState| (backend.zone, backend.machine_kind);
        self.ready.sort_unstable_by_key(|&backend_index| {
            (group(&backends[backend_index]), backends[backend_index].id)
        });
        let same_group = |&a: &usize, &b: &usize| group(&backends[a]) == group(&backends[b]);
        let groups: Vec<&[usize]> = self.ready.chunk_by(same_group).collect();
        let offset = f64::from(instance_index) * GOLDEN_RATIO_FRACTION;
        for members in groups {
            for (rank, &backend_index) in members.iter().enumerate() {
                backends[backend_index].rounding_offset =
                    (rank as f64 / members.len() as f64 + offset).fract();
            }
        }
    }

    /// The ready backends in the order of `ready`.
    pub(crate) fn ready_backends(&self) -> impl Iterator<Item = &BackendState> {
        self.ready.iter().map(|&backend_index| &self.backends[backend_index])
    }
}
