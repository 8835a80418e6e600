//! A downstream replica of the records of one source: applies batches, detects gaps, and repairs differences
//! by digests.
//!
//! It is correct for messages in any order, because all records of one incarnation of the source belong to
//! one history. A record whose key is stored is applied if it is newer. A record whose key is not stored is
//! applied if its version is beyond the cursor of its urgency: all changes up to the cursor were received, so
//! an older record was superseded by one whose tombstone has been dropped. Tombstones are therefore retained
//! until all cursors have reached them. A [`Message::ServiceSnapshot`] covers all changes up to its `as_of`:
//! a stored record that is neither newer nor listed has been removed.

mod repair;
mod request;

use crate::Millis;
use crate::message::{
    KeyBound, MAX_REQUESTED_SERVICES, Message, ReplicaPosition, ServiceDigest, ServiceRange,
};
use crate::record::{
    Cursor, Epoch, Record, RecordKey, RecordState, Scope, ServiceId, SourceId, Version, merge_cursors,
};
use crate::store::VersionedStore;
use repair::Repair;
use request::{PendingRequest, Request};
use std::collections::BTreeSet;
use std::sync::Arc;

/// A received record that changed the live records of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppliedRecord {
    /// The new record; a tombstone if it was removed. If a repair removed it, the version is that of the
    /// snapshot.
    pub record: Record,
    /// The live record that it replaced; `None` if there was none.
    pub previous: Option<Record>,
}

/// The content of a [`Message::ServiceSnapshot`].
struct SnapshotPart {
    as_of: Version,
    service: ServiceId,
    after: Option<KeyBound>,
    through: Option<KeyBound>,
    records: Vec<Record>,
}

impl SnapshotPart {
    fn covers(&self, key: &RecordKey) -> bool {
        let bound = KeyBound { kind: key.kind, name: key.name.clone() };
        let is_after = self.after.as_ref().is_none_or(|after| bound > *after);
        key.service == self.service
            && is_after
            && self.through.as_ref().is_none_or(|through| bound <= *through)
    }
}

/// The content of a [`Message::Batch`].
struct Batch {
    from: Cursor,
    to: Cursor,
    records: Vec<Record>,
    scope_digest: Option<u64>,
}

/// A replica of the records of one source.
#[derive(Debug)]
pub(crate) struct Replica {
    scope: Arc<Scope>,
    store: VersionedStore,
    /// The latest known incarnation of the source. The records belong to a former one until a repair has
    /// finished.
    epoch: Epoch,
    repair: Option<Repair>,
    /// Whether a batch started beyond the cursor, so that a message was lost.
    has_gap: bool,
    /// Whether digests have to be requested: a digest did not match, or there is a new incarnation of the
    /// source.
    needs_digests: bool,
    pending: Option<PendingRequest>,
    /// The services of the last snapshot request.
    requested_services: BTreeSet<ServiceId>,
    /// Whether a relay publishes the records to subscribers, so that tombstones have to be retained.
    is_publishing: bool,
}

impl Replica {
    /// Creates an empty replica; `is_publishing`: whether a relay publishes its records.
    pub(crate) fn new(source: SourceId, scope: Arc<Scope>, is_publishing: bool) -> Self {
        let store = VersionedStore::unsynchronized(source);
        Self {
            scope,
            store: if is_publishing { store } else { store.without_logs() },
            epoch: 0,
            repair: None,
            has_gap: false,
            needs_digests: false,
            pending: None,
            requested_services: BTreeSet::new(),
            is_publishing,
        }
    }

    pub(crate) fn set_max_tombstones(&mut self, max: usize) {
        self.store.set_max_tombstones(max);
    }

    pub(crate) fn store(&self) -> &VersionedStore {
        &self.store
    }

    /// Whether all records belong to the latest known incarnation of the source, so that changes may be
    /// published.
    pub(crate) fn is_publishable(&self) -> bool {
        self.epoch != 0 && self.store.epoch() == self.epoch
    }

    /// Whether no difference from the source is known, so that digests and snapshots may be published.
    pub(crate) fn is_consistent(&self) -> bool {
        self.is_publishable() && self.repair.is_none() && !self.has_gap && !self.needs_digests
    }

    /// The position to report upstream; `None` before the first repair has finished.
    pub(crate) fn position(&self) -> Option<ReplicaPosition> {
        (self.store.epoch() != 0).then(|| ReplicaPosition {
            source: self.store.source(),
            epoch: self.store.epoch(),
            cursor: self.store.cursor(),
        })
    }

    /// Handles a new connection. Returns the request that is needed, even if it was sent on the former
    /// connection.
    pub(crate) fn on_connected(&mut self, now: Millis) -> Option<Message> {
        self.pending = None;
        self.has_gap = false;
        self.next_request(now)
    }

    /// Handles a message with records or digests of this source. Returns the next request, and appends the
    /// records that took effect to `applied`.
    pub(crate) fn on_message(
        &mut self,
        message: Message,
        now: Millis,
        applied: &mut Vec<AppliedRecord>,
    ) -> Option<Message> {
        let epoch = match &message {
            Message::Batch { epoch, .. }
            | Message::DigestSummary { epoch, .. }
            | Message::ServiceSnapshot { epoch, .. } => *epoch,
            _ => return None,
        };
        // Epochs start at 1, so 0 is invalid.
        if epoch < self.epoch.max(1) {
            return None;
        }
        match message {
            Message::DigestSummary { range, to, digests, .. } if epoch == self.epoch || range.first == 0 => {
                self.apply_digest_summary(epoch, range, to, &digests, now);
            }
            _ if epoch > self.epoch => self.needs_digests = true,
            Message::Batch { from, to, records, scope_digest, .. } => {
                self.apply_batch(Batch { from, to, records, scope_digest }, applied);
            }
            Message::ServiceSnapshot { as_of, service, after, through, records, .. } => {
                let part = SnapshotPart { as_of, service, after, through, records };
                self.apply_snapshot_part(part, now, applied);
            }
            _ => {}
        }
        self.finish_repair();
        self.next_request(now)
    }

    /// Returns the pending request if it is due to be retried.
    pub(crate) fn tick(&mut self, now: Millis) -> Option<Message> {
        let pending = self.pending.as_mut().filter(|pending| pending.is_due(now))?;
        pending.retry(now);
        let request = pending.request;
        self.request_message(request)
    }

    fn apply_batch(&mut self, batch: Batch, applied: &mut Vec<AppliedRecord>) {
        let Batch { from, to, records, scope_digest } = batch;
        let cursor = self.store.cursor();
        let reached = self.repair.as_ref().map_or(cursor, |repair| merge_cursors(cursor, repair.reached));
        let has_gap = from.iter().zip(reached).any(|(from, reached)| *from > reached);
        for record in records {
            if self.scope.contains(record.key.service) && self.is_newer(&record, &cursor) {
                // Subscribers that have passed this position do not find the record in the log.
                if record.version <= cursor[record.urgency() as usize] {
                    self.store.advance_generation();
                }
                self.apply(record, applied);
            }
        }
        // During a repair, only a batch that starts at or after the summary advances the cursor: none of its
        // records were rejected because of the summary. There is no such batch while the records belong to a
        // former incarnation, since all of them precede the summary.
        let base = self.repair.as_ref().map_or(Version::default(), |repair| repair.base);
        let is_contiguous = from.iter().zip(cursor).all(|(from, known)| (base..=known).contains(from));
        if is_contiguous {
            self.store.advance_to(merge_cursors(cursor, to));
            self.prune_tombstones();
        }
        match &mut self.repair {
            // A gap during the repair is detected by the next batch after it.
            Some(repair) if !has_gap => repair.reached = merge_cursors(reached, to),
            Some(_) => {}
            None if has_gap => self.has_gap = true,
            None => {
                self.has_gap = false;
                let matches = scope_digest.is_none_or(|digest| digest == self.store.total_digest());
                self.needs_digests |= !matches && self.store.cursor() == to;
            }
        }
    }

    /// Whether a record of a batch is newer than the state that was received so far.
    fn is_newer(&self, record: &Record, cursor: &Cursor) -> bool {
        // What a summary has compared is correct as of its base, including the absence of records.
        let compared = self.repair.as_ref().map_or(Version::default(), |repair| repair.base);
        let is_beyond = record.version > cursor[record.urgency() as usize].max(compared);
        match self.store.get(&record.key) {
            Some(stored) if record.version > stored.version => true,
            // A repair gives a tombstone a later version than that of the removal. The log needs the removal
            // at its own position, or else a subscriber that is sent all changes up to that position would
            // miss it.
            Some(stored) => {
                self.is_publishing && is_beyond && [stored.state, record.state] == [RecordState::Gone; 2]
            }
            None => is_beyond,
        }
    }

    fn apply_digest_summary(
        &mut self,
        epoch: Epoch,
        range: ServiceRange,
        to: Cursor,
        digests: &[ServiceDigest],
        now: Millis,
    ) {
        if range.first == 0 {
            self.epoch = epoch;
            self.has_gap = false;
            self.needs_digests = false;
            let changed = self.repair.as_ref().is_some_and(|repair| repair.changed);
            self.repair = Some(Repair::new(to, changed));
            self.pending = Some(PendingRequest::new(Request::Digests, now));
        }
        let Some(repair) = &mut self.repair else { return };
        if !repair.expects(range, to) {
            return;
        }
        self.pending = Some(PendingRequest::new(Request::Digests, now));
        repair.compare(range, digests, &self.store, &self.scope);
    }

    fn apply_snapshot_part(&mut self, part: SnapshotPart, now: Millis, applied: &mut Vec<AppliedRecord>) {
        // A snapshot older than the summary could restore records that the summary has shown to be removed.
        let is_outdated = self.repair.as_ref().is_some_and(|repair| part.as_of < repair.base);
        if is_outdated || !self.scope.contains(part.service) {
            return;
        }
        let has_removed = self.remove_unlisted(&part, applied);
        let has_updated = self.apply_listed(&part, applied);
        let changed = has_removed || has_updated;
        let Some(repair) = &mut self.repair else {
            if changed {
                self.store.advance_generation();
            }
            return;
        };
        repair.changed |= changed;
        if repair.receive_part(part.service, part.after.as_ref(), part.through)
            && let Some(pending) = &mut self.pending
        {
            *pending = PendingRequest::new(pending.request, now);
        }
    }

    /// Removes the records that a snapshot covers but does not list. Returns whether there were any.
    fn remove_unlisted(&mut self, part: &SnapshotPart, applied: &mut Vec<AppliedRecord>) -> bool {
        let listed: BTreeSet<&RecordKey> = part.records.iter().map(|record| &record.key).collect();
        let stored = self.store.range(part.service, part.after.as_ref(), part.through.as_ref());
        let removed = stored.filter(|record| {
            record.state != RecordState::Gone && record.version <= part.as_of && !listed.contains(&record.key)
        });
        let removed: Vec<RecordKey> = removed.map(|record| record.key.clone()).collect();
        let has_removed = !removed.is_empty();
        for key in removed {
            let tombstone =
                Record { key, version: part.as_of, state: RecordState::Gone, body: Arc::from([]) };
            self.apply(tombstone, applied);
        }
        has_removed
    }

    /// Applies the records of a snapshot that differ from the stored ones. Returns whether there were any.
    fn apply_listed(&mut self, part: &SnapshotPart, applied: &mut Vec<AppliedRecord>) -> bool {
        let cursor = self.store.cursor();
        let mut changed = false;
        for record in part.records.iter().filter(|record| part.covers(&record.key)) {
            let is_accepted = match self.store.get(&record.key) {
                // Upstream is complete up to `as_of`, so a different stored record is from a lost history, or
                // is damaged.
                Some(stored) if stored.version <= part.as_of => stored != record,
                Some(stored) => record.version > stored.version,
                // A tombstone that was dropped here is not newer than any cursor, so upstream must have
                // received it.
                None => {
                    part.as_of >= self.store.complete_through()
                        || record.version > cursor[record.urgency() as usize]
                }
            };
            if is_accepted {
                changed = true;
                self.apply(record.clone(), applied);
            }
        }
        changed
    }

    /// Stores a record, and reports it if the live records change.
    fn apply(&mut self, record: Record, applied: &mut Vec<AppliedRecord>) {
        let previous =
            self.store.insert(record.clone()).filter(|previous| previous.state != RecordState::Gone);
        if previous.is_some() || record.state != RecordState::Gone {
            applied.push(AppliedRecord { record, previous });
        }
    }

    /// Ends the repair if the summary and all snapshots were received.
    fn finish_repair(&mut self) {
        let Some(repair) = self.repair.take_if(|repair| repair.is_finished()) else { return };
        // Cursors of a former incarnation of the source are older than any of this one.
        self.store.advance_to(merge_cursors(self.store.cursor(), repair.reached));
        self.store.finish_repair(self.epoch, repair.base, repair.changed);
        self.prune_tombstones();
    }

    fn prune_tombstones(&mut self) {
        if self.is_publishing {
            self.store.prune_tombstones();
        } else {
            self.store.drop_tombstones(self.store.complete_through());
        }
    }

    /// The request that is needed now, unless it is pending already.
    fn next_request(&mut self, now: Millis) -> Option<Message> {
        let Some(request) = self.needed_request() else {
            self.pending = None;
            return None;
        };
        let is_pending = self.pending.is_some_and(|pending| pending.request == request);
        if is_pending && !(request == Request::Snapshots && self.requested_snapshots_received()) {
            return None;
        }
        self.pending = Some(PendingRequest::new(request, now));
        self.request_message(request)
    }

    fn needed_request(&self) -> Option<Request> {
        match &self.repair {
            // There may be a new incarnation of the source, which would make the repair in progress
            // pointless.
            _ if self.needs_digests => Some(Request::Digests),
            Some(repair) if repair.next_service.is_some() => Some(Request::Digests),
            Some(_) => Some(Request::Snapshots),
            None if self.has_gap => Some(Request::Resume),
            None => None,
        }
    }

    /// Whether all snapshots of the last request were received, so that the next ones have to be requested.
    fn requested_snapshots_received(&self) -> bool {
        let is_requested = |service| self.requested_services.contains(service);
        self.repair.as_ref().is_some_and(|repair| !repair.pending_snapshots.keys().any(is_requested))
    }

    fn request_message(&mut self, request: Request) -> Option<Message> {
        let source = self.store.source();
        match request {
            Request::Resume => self.position().map(|position| Message::Resume { positions: vec![position] }),
            Request::Digests => Some(Message::DigestRequest { source }),
            Request::Snapshots => {
                let differing = self.repair.as_ref()?.pending_snapshots.keys().copied();
                self.requested_services = differing.take(MAX_REQUESTED_SERVICES).collect();
                let services = self.requested_services.iter().copied().collect();
                Some(Message::SnapshotRequest { source, services })
            }
        }
    }
}
