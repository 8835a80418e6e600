//! A downstream replica of one source's records: applies batches, detects gaps, and repairs differences by digests.
//!
//! Why it is correct for any order of messages: all records of one incarnation of the source belong to one history. A record
//! of a stored key is applied if it is newer. A record of a key that is not stored is applied if it lies beyond the cursor of
//! its urgency: everything up to the cursor was received, so an older record was superseded by one whose tombstone has been
//! dropped. Tombstones are therefore retained until all cursors have reached them. A [`Message::ServiceSnapshot`] covers
//! everything up to its `as_of`: a stored record that is not newer and not listed has been removed.

mod repair;
mod request;

use crate::Millis;
use crate::message::{
    KeyBound, MAX_REQUESTED_SERVICES, Message, ReplicaPosition, ServiceDigest, ServiceRange,
};
use crate::record::{Cursor, Epoch, Key, Record, Scope, ServiceId, SourceId, State, Version, merge_cursors};
use crate::store::VersionedStore;
use repair::Repair;
use request::{PendingRequest, Request};
use std::collections::BTreeSet;
use std::sync::Arc;

/// A record that took effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppliedRecord {
    /// The record; a tombstone where it was removed (by a repair: with the version of the repair).
    pub record: Record,
    /// The live record that it replaced.
    pub previous: Option<Record>,
}

/// A part of a service's records as upstream has them; see [`Message::ServiceSnapshot`].
struct SnapshotPart {
    as_of: Version,
    service: ServiceId,
    after: Option<KeyBound>,
    through: Option<KeyBound>,
    records: Vec<Record>,
}

impl SnapshotPart {
    fn covers(&self, key: &Key) -> bool {
        let bound = KeyBound { kind: key.kind, name: key.name.clone() };
        let is_after = self.after.as_ref().is_none_or(|after| bound > *after);
        key.service == self.service
            && is_after
            && self.through.as_ref().is_none_or(|through| bound <= *through)
    }
}

/// A batch; see [`Message::Batch`].
struct Batch {
    from: Cursor,
    to: Cursor,
    records: Vec<Record>,
    scope_digest: Option<u64>,
}

/// The replica of one source.
#[derive(Debug)]
pub(crate) struct Replica {
    scope: Arc<Scope>,
    store: VersionedStore,
    /// The latest known incarnation of the source. The store belongs to a former one until a repair has finished.
    epoch: Epoch,
    repair: Option<Repair>,
    /// A batch began beyond the cursor.
    has_gap: bool,
    /// A digest did not match, or there is a new incarnation of the source.
    is_suspect: bool,
    pending: Option<PendingRequest>,
    /// The services of the last request for snapshots.
    requested_services: BTreeSet<ServiceId>,
    /// Whether records are published to others, so that tombstones are retained.
    is_publishing: bool,
}

impl Replica {
    /// An empty replica; `is_publishing`: whether a relay publishes its records.
    pub(crate) fn new(source: SourceId, scope: Arc<Scope>, is_publishing: bool) -> Self {
        let store = VersionedStore::unknown(source);
        Self {
            scope,
            store: if is_publishing { store } else { store.without_logs() },
            epoch: 0,
            repair: None,
            has_gap: false,
            is_suspect: false,
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

    /// Whether the records are of one incarnation of the source, so that changes may be published.
    pub(crate) fn is_publishable(&self) -> bool {
        self.epoch != 0 && self.store.epoch() == self.epoch
    }

    /// Whether no difference to the source is known, so that digests and snapshots may be published.
    pub(crate) fn is_consistent(&self) -> bool {
        self.is_publishable() && self.repair.is_none() && !self.has_gap && !self.is_suspect
    }

    /// The position; `None` before the first repair.
    pub(crate) fn position(&self) -> Option<ReplicaPosition> {
        (self.store.epoch() != 0).then(|| ReplicaPosition {
            source: self.store.source(),
            epoch: self.store.epoch(),
            cursor: self.store.cursor(),
        })
    }

    /// Handles a new connection: a request that is still needed is sent again.
    pub(crate) fn on_connected(&mut self, now: Millis) -> Option<Message> {
        self.pending = None;
        self.has_gap = false;
        self.next_request(now)
    }

    /// Handles a message about this source. Returns the next request, and appends the records that took effect to `applied`.
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
        // Epochs are counted from 1.
        if epoch < self.epoch.max(1) {
            return None;
        }
        match message {
            Message::DigestSummary { range, to, digests, .. } if epoch == self.epoch || range.first == 0 => {
                self.apply_digest_summary(epoch, range, to, &digests, now);
            }
            _ if epoch > self.epoch => self.is_suspect = true,
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

    /// The pending request, if it is due to be sent again.
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
                // A record before the cursor is not found by subscribers that follow the log.
                if record.version <= cursor[record.urgency() as usize] {
                    self.store.advance_generation();
                }
                self.apply(record, applied);
            }
        }
        // During a repair only a batch from after the summary advances the cursor: the summary rejected none of its
        // records. While the store is of a former incarnation there is no such batch: all that it has precedes the summary.
        let base = self.repair.as_ref().map_or(Version::default(), |repair| repair.base);
        let is_contiguous = from.iter().zip(cursor).all(|(from, known)| (base..=known).contains(from));
        if is_contiguous {
            self.store.advance_to(merge_cursors(cursor, to));
            self.prune_tombstones();
        }
        match &mut self.repair {
            // After the repair the next batch shows the gap.
            Some(repair) if !has_gap => repair.reached = merge_cursors(reached, to),
            Some(_) => {}
            None if has_gap => self.has_gap = true,
            None => {
                self.has_gap = false;
                let matches = scope_digest.is_none_or(|digest| digest == self.store.total_digest());
                self.is_suspect |= !matches && self.store.cursor() == to;
            }
        }
    }

    /// Whether a record of a batch is newer than what was received.
    fn is_newer(&self, record: &Record, cursor: &Cursor) -> bool {
        // What a summary has compared is correct as of its base, also where nothing is stored.
        let compared = self.repair.as_ref().map_or(Version::default(), |repair| repair.base);
        let is_beyond = record.version > cursor[record.urgency() as usize].max(compared);
        match self.store.get(&record.key) {
            Some(stored) if record.version > stored.version => true,
            // A repair wrote a tombstone later than the change that it represents. A log needs the change at its own
            // position: a subscriber that is sent everything up to there would miss it.
            Some(stored) => {
                self.is_publishing && is_beyond && [stored.state, record.state] == [State::Gone; 2]
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
            self.is_suspect = false;
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
        // A snapshot from before the summary could restore records that the summary found to be removed.
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

    /// Removes the records that a snapshot covers and does not list. Returns whether there were any.
    fn remove_unlisted(&mut self, part: &SnapshotPart, applied: &mut Vec<AppliedRecord>) -> bool {
        let listed: BTreeSet<&Key> = part.records.iter().map(|record| &record.key).collect();
        let stored = self.store.range(part.service, part.after.as_ref(), part.through.as_ref());
        let removed = stored.filter(|record| {
            record.state != State::Gone && record.version <= part.as_of && !listed.contains(&record.key)
        });
        let removed: Vec<Key> = removed.map(|record| record.key.clone()).collect();
        let has_removed = !removed.is_empty();
        for key in removed {
            let tombstone = Record { key, version: part.as_of, state: State::Gone, body: Arc::from([]) };
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
                // Upstream is complete up to `as_of`: a different stored record is of a lost past, or damaged.
                Some(stored) if stored.version <= part.as_of => stored != record,
                Some(stored) => record.version > stored.version,
                // A tombstone that was dropped here is not newer than any cursor, so upstream would have it.
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

    /// Stores a record, and reports it where it changes a live record.
    fn apply(&mut self, record: Record, applied: &mut Vec<AppliedRecord>) {
        let previous = self.store.insert(record.clone()).filter(|previous| previous.state != State::Gone);
        if previous.is_some() || record.state != State::Gone {
            applied.push(AppliedRecord { record, previous });
        }
    }

    /// Ends the repair where nothing is missing any more.
    fn finish_repair(&mut self) {
        let Some(repair) = self.repair.take_if(|repair| repair.is_finished()) else { return };
        // Cursors of a former incarnation of the source are older than all of this one.
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
            // There may be a new incarnation of the source, which makes the repair pointless.
            _ if self.is_suspect => Some(Request::Digests),
            Some(repair) if repair.next_service.is_some() => Some(Request::Digests),
            Some(_) => Some(Request::Snapshots),
            None if self.has_gap => Some(Request::Resume),
            None => None,
        }
    }

    /// Whether all snapshots of the last request were received, so that the next ones have to be requested.
    fn requested_snapshots_received(&self) -> bool {
        let is_requested = |service| self.requested_services.contains(service);
        self.repair.as_ref().is_some_and(|repair| !repair.missing.keys().any(is_requested))
    }

    fn request_message(&mut self, request: Request) -> Option<Message> {
        let source = self.store.source();
        match request {
            Request::Resume => self.position().map(|position| Message::Resume { positions: vec![position] }),
            Request::Digests => Some(Message::DigestRequest { source }),
            Request::Snapshots => {
                let missing = self.repair.as_ref()?.missing.keys().copied();
                self.requested_services = missing.take(MAX_REQUESTED_SERVICES).collect();
                let services = self.requested_services.iter().copied().collect();
                Some(Message::SnapshotRequest { source, services })
            }
        }
    }
}
