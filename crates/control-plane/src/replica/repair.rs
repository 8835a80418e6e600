//! A repair by digests: first a summary in parts, then snapshots of the services that differ.

use crate::message::{KeyBound, ServiceDigest, ServiceRange};
use crate::record::{Cursor, Scope, ServiceId, Version};
use crate::store::VersionedStore;
use std::collections::BTreeMap;

/// A repair in progress.
#[derive(Debug)]
pub(super) struct Repair {
    /// The position of upstream at the summary; the same in all urgencies.
    pub base: Version,
    /// The position that batches after the summary have reached.
    pub reached: Cursor,
    /// The first service that the parts so far don't cover; `None`: they cover all.
    pub next_service: Option<ServiceId>,
    /// Services that differ, with the key up to which their snapshot was received.
    pub missing: BTreeMap<ServiceId, Option<KeyBound>>,
    /// Whether a snapshot changed a record.
    pub changed: bool,
}

impl Repair {
    /// A repair at the beginning of a summary with the position `to`.
    pub(super) fn new(to: Cursor, changed: bool) -> Self {
        let base = base_version(to);
        Self { base, reached: to, next_service: Some(0), missing: BTreeMap::new(), changed }
    }

    /// Whether the summary and all snapshots were received.
    pub(super) fn is_finished(&self) -> bool {
        self.next_service.is_none() && self.missing.is_empty()
    }

    /// Whether a part of a summary is the next one of this summary.
    pub(super) fn expects(&self, range: ServiceRange, to: Cursor) -> bool {
        self.next_service == Some(range.first) && self.base == base_version(to) && range.last >= range.first
    }

    /// Notes the services in a part of the summary whose digests differ from the store's.
    pub(super) fn compare(
        &mut self,
        range: ServiceRange,
        digests: &[ServiceDigest],
        store: &VersionedStore,
        scope: &Scope,
    ) {
        self.next_service = range.last.checked_add(1);
        let theirs: BTreeMap<ServiceId, u64> = digests.iter().map(|one| (one.service, one.digest)).collect();
        let ours = store.digests(range.first).map(|one| one.service);
        let ours = ours.take_while(|service| *service <= range.last);
        for service in theirs.keys().copied().chain(ours) {
            let is_covered = (range.first..=range.last).contains(&service) && scope.contains(service);
            if is_covered && theirs.get(&service).copied().unwrap_or(0) != store.digest(service) {
                self.missing.insert(service, None);
            }
        }
    }

    /// Notes a received part of a snapshot. Returns whether it continues a missing service.
    pub(super) fn receive_part(
        &mut self,
        service: ServiceId,
        after: Option<&KeyBound>,
        through: Option<KeyBound>,
    ) -> bool {
        let Some(received) = self.missing.get_mut(&service) else { return false };
        if after.is_some() && received.as_ref() != after {
            return false;
        }
        if through.is_none() {
            self.missing.remove(&service);
        } else {
            *received = through;
        }
        true
    }
}

fn base_version(to: Cursor) -> Version {
    to.into_iter().max().unwrap_or_default()
}
