//! A repair by digests: a summary in several parts, followed by snapshots of the services that differ.

use crate::message::{KeyBound, ServiceDigest, ServiceRange};
use crate::record::{Cursor, Scope, ServiceId, Version};
use crate::store::VersionedStore;
use std::collections::BTreeMap;

/// A repair in progress.
#[derive(Debug)]
pub(super) struct Repair {
    /// The position of upstream when the summary began; the same for all urgencies.
    pub base: Version,
    /// The position reached by the batches after the summary.
    pub reached: Cursor,
    /// The first service that the parts received so far don't cover; `None`: the summary is complete.
    pub next_service: Option<ServiceId>,
    /// Services that differ, with the key up to which the snapshot of each was received.
    pub pending_snapshots: BTreeMap<ServiceId, Option<KeyBound>>,
    /// Whether a snapshot changed a record.
    pub changed: bool,
}

impl Repair {
    /// Starts a repair with the first part of a summary that has the position `to`.
    pub(super) fn new(to: Cursor, changed: bool) -> Self {
        let base = base_version(to);
        Self { base, reached: to, next_service: Some(0), pending_snapshots: BTreeMap::new(), changed }
    }

    /// Whether the summary and all snapshots were received.
    pub(super) fn is_finished(&self) -> bool {
        self.next_service.is_none() && self.pending_snapshots.is_empty()
    }

    /// Whether a part with this range and position is the next part of the summary.
    pub(super) fn expects(&self, range: ServiceRange, to: Cursor) -> bool {
        self.next_service == Some(range.first) && self.base == base_version(to) && range.last >= range.first
    }

    /// Compares a part of the summary with the store, and schedules snapshots of the services that differ.
    pub(super) fn compare(
        &mut self,
        range: ServiceRange,
        digests: &[ServiceDigest],
        store: &VersionedStore,
        scope: &Scope,
    ) {
        self.next_service = range.last.checked_add(1);
        let upstream_digests: BTreeMap<ServiceId, u64> =
            digests.iter().map(|entry| (entry.service, entry.digest)).collect();
        let stored = store.digests(range.first).map(|entry| entry.service);
        let stored = stored.take_while(|service| *service <= range.last);
        for service in upstream_digests.keys().copied().chain(stored) {
            let is_covered = (range.first..=range.last).contains(&service) && scope.contains(service);
            if is_covered && upstream_digests.get(&service).copied().unwrap_or(0) != store.digest(service) {
                self.pending_snapshots.insert(service, None);
            }
        }
    }

    /// Records a received part of a snapshot. Returns whether it continues the snapshot of a service that
    /// differs.
    pub(super) fn receive_part(
        &mut self,
        service: ServiceId,
        after: Option<&KeyBound>,
        through: Option<KeyBound>,
    ) -> bool {
        let Some(received) = self.pending_snapshots.get_mut(&service) else { return false };
        if after.is_some() && received.as_ref() != after {
            return false;
        }
        if through.is_none() {
            self.pending_snapshots.remove(&service);
        } else {
            *received = through;
        }
        true
    }
}

fn base_version(to: Cursor) -> Version {
    to.into_iter().max().unwrap_or_default()
}
