//! Send state for one subscriber and one source: the position already sent, and the next message to send.

mod next_message;

pub(crate) use next_message::{NextMessage, SendPriority, StoreView};

use crate::Millis;
use crate::message::{
    KeyBound, MAX_MESSAGE_BYTES, MESSAGE_OVERHEAD_BYTES, Message, ReplicaPosition, ServiceRange,
};
use crate::rate_limit::TokenBucket;
use crate::record::{Cursor, Epoch, Record, RecordState, Scope, ServiceId, Urgency, Version, merge_cursors};
use crate::store::VersionedStore;

/// Interval between scope digests to a subscriber that has all records, milliseconds.
pub const DIGEST_INTERVAL: Millis = 10_000;
/// Minimum interval between messages that only advance the position past changes out of scope, milliseconds.
const PROGRESS_INTERVAL: Millis = 1_000;
/// Maximum size of a batch, a part of a summary or a part of a snapshot, bytes; a single record may be
/// longer.
const MAX_PART_BYTES: usize = MAX_MESSAGE_BYTES / 4;
/// Minimum size to which these are reduced when few tokens are available, bytes: with smaller ones, message
/// headers would use up most of the rate limit.
const MIN_PART_BYTES: usize = 1 << 10;
/// Maximum size of a batch whose records all have the same version, bytes. Records that a repair removed have
/// the same version.
const MAX_SAME_VERSION_BYTES: usize = MAX_MESSAGE_BYTES / 4 * 3;
/// Maximum encoded size of one digest in a summary, bytes.
const MAX_DIGEST_BYTES: usize = 5 + 10;

/// A summary of which some parts have not been sent yet.
#[derive(Debug)]
struct SummaryInProgress {
    next_service: ServiceId,
    to: Cursor,
    epoch: Epoch,
    generation: u64,
}

/// The records of one batch.
struct ChangeSet {
    records: Vec<Record>,
    /// The version up to which the records are complete.
    through: Version,
}

/// Send state for one subscriber and one source.
#[derive(Debug)]
pub(crate) struct SubscriptionCursor {
    /// The incarnation of the source to which the subscriber's records belong; 0: it has none.
    epoch: Epoch,
    /// The store's generation up to which the subscriber is repaired; `None`: the store's generation when
    /// first seen.
    generation: Option<u64>,
    /// The position of the subscriber after the messages sent so far.
    sent_cursor: Cursor,
    /// The position up to which the logs have no unsent changes in scope; never before `sent_cursor`.
    scanned_cursor: Cursor,
    summary: Option<SummaryInProgress>,
    /// Services of which a snapshot was requested, in descending order, so that the next one is popped from
    /// the end.
    requested_snapshots: Vec<ServiceId>,
    /// The key up to which the snapshot of the last element of `requested_snapshots` was sent.
    snapshot_position: Option<KeyBound>,
    digest_due_at: Millis,
    progress_due_at: Millis,
    /// Whether a summary is due because the subscriber requested digests, or because records of one version
    /// exceed a batch.
    digests_requested: bool,
}

/// Maximum size of the content of the next message, without its overhead, bytes.
fn part_size(bucket: &TokenBucket) -> usize {
    MAX_PART_BYTES.min(bucket.available_bytes().max(MIN_PART_BYTES)).saturating_sub(MESSAGE_OVERHEAD_BYTES)
}

impl SubscriptionCursor {
    /// The state for a subscriber without records of the source.
    pub(crate) fn new(now: Millis) -> Self {
        Self {
            epoch: 0,
            generation: None,
            sent_cursor: Cursor::default(),
            scanned_cursor: Cursor::default(),
            summary: None,
            requested_snapshots: Vec::new(),
            snapshot_position: None,
            digest_due_at: now,
            progress_due_at: now,
            digests_requested: false,
        }
    }

    /// The state for a subscriber that reports a position.
    pub(crate) fn at(position: &ReplicaPosition, now: Millis) -> Self {
        let cursor = position.cursor;
        Self { epoch: position.epoch, sent_cursor: cursor, scanned_cursor: cursor, ..Self::new(now) }
    }

    /// Continues from a position that the subscriber reports after a lost message.
    pub(crate) fn resume(&mut self, position: &ReplicaPosition, now: Millis) {
        self.epoch = position.epoch;
        self.sent_cursor = position.cursor;
        self.scanned_cursor = position.cursor;
        self.digest_due_at = now;
        self.summary = None;
    }

    /// Schedules a new summary.
    pub(crate) fn request_digests(&mut self) {
        self.digests_requested = true;
        self.summary = None;
    }

    /// Schedules snapshots of these services, in place of those requested before.
    pub(crate) fn request_snapshots(&mut self, mut services: Vec<ServiceId>) {
        services.sort_unstable_by(|left, right| right.cmp(left));
        services.dedup();
        services.shrink_to_fit();
        self.requested_snapshots = services;
        self.snapshot_position = None;
    }

    /// Number of services of which a snapshot is requested and not completely sent.
    pub(crate) fn requested_snapshots(&self) -> usize {
        self.requested_snapshots.len()
    }

    /// Schedules a summary if the store's log does not suffice to update this subscriber.
    pub(crate) fn schedule_summary(&mut self, view: StoreView<'_>) {
        let (epoch, generation) = (view.store.epoch(), view.store.generation());
        // A subscriber that has seen a later incarnation waits until this store has caught up.
        if epoch < self.epoch {
            self.summary = None;
            return;
        }
        if self.epoch == epoch && self.generation.is_none() {
            self.generation = Some(generation);
        }
        let floor = view.store.tombstone_floor().min(view.store.complete_through());
        let is_behind = self.sent_cursor[Urgency::Drain as usize] < floor;
        let is_due =
            self.digests_requested || is_behind || self.epoch != epoch || self.generation != Some(generation);
        let is_current = self
            .summary
            .as_ref()
            .is_some_and(|summary| (summary.epoch, summary.generation) == (epoch, generation));
        if is_due && !is_current {
            let to = [view.store.complete_through(); 3];
            self.summary = Some(SummaryInProgress { next_service: 0, to, epoch, generation });
            self.request_snapshots(Vec::new());
        }
    }

    /// The next message of a class, as the rate limit allows.
    pub(crate) fn next_message(
        &mut self,
        priority: SendPriority,
        view: StoreView<'_>,
        scope: &Scope,
        bucket: &TokenBucket,
        now: Millis,
    ) -> NextMessage {
        if view.store.epoch() < self.epoch {
            return NextMessage::Idle;
        }
        match priority {
            SendPriority::DigestSummary if view.is_consistent => {
                self.next_digest_summary(view, scope, bucket, now)
            }
            SendPriority::ServiceSnapshot if view.is_consistent && self.summary.is_none() => {
                self.next_service_snapshot(view, bucket)
            }
            SendPriority::Changes(urgency) if self.summary.is_none() => {
                self.next_changes(urgency, view, scope, bucket, now)
            }
            SendPriority::Progress if self.summary.is_none() => self.next_progress(view, scope, bucket, now),
            _ => NextMessage::Idle,
        }
    }

    /// Advances `scanned_cursor` past changes out of scope. Returns whether there are unsent changes in
    /// scope.
    fn has_changes_in_scope(&mut self, urgency: Urgency, view: StoreView<'_>, scope: &Scope) -> bool {
        let index = urgency as usize;
        let end = view.store.cursor()[index];
        if self.scanned_cursor[index] >= end {
            return false;
        }
        // Records of one version are sent together, so the scan stops before the version of the first record
        // in scope.
        let mut last = self.scanned_cursor[index];
        let mut before_last = last;
        for (version, key) in view.store.log(urgency, last, end) {
            if version != last {
                (before_last, last) = (last, version);
            }
            if scope.contains(key.service) {
                self.scanned_cursor[index] = before_last;
                return true;
            }
        }
        self.scanned_cursor[index] = end;
        false
    }

    fn next_changes(
        &mut self,
        urgency: Urgency,
        view: StoreView<'_>,
        scope: &Scope,
        bucket: &TokenBucket,
        now: Millis,
    ) -> NextMessage {
        if !self.has_changes_in_scope(urgency, view, scope) {
            return NextMessage::Idle;
        }
        let Some(ChangeSet { records, through }) =
            self.collect_changes(urgency, view.store, scope, part_size(bucket))
        else {
            // Records of one version that exceed a message are transferred by a summary and snapshots
            // instead.
            self.digests_requested = true;
            self.schedule_summary(view);
            return NextMessage::NotBefore(now + 1);
        };
        let size = records.iter().map(Record::encoded_size_bound).sum::<usize>();
        if let Err(at) = bucket.check_available(size + MESSAGE_OVERHEAD_BYTES) {
            return NextMessage::RateLimited(at);
        }
        let index = urgency as usize;
        let mut to = self.sent_cursor;
        to[index] = through;
        self.scanned_cursor[index] = self.scanned_cursor[index].max(through);
        let is_complete = through == view.store.cursor()[index];
        for other in Urgency::ALL {
            if is_complete && other != urgency && !self.has_changes_in_scope(other, view, scope) {
                to[other as usize] = self.scanned_cursor[other as usize];
            }
        }
        NextMessage::Send(self.batch(view, to, records, None, now))
    }

    /// The oldest unsent records of an urgency, up to about `part_size` bytes; records of one version are
    /// never split. `None`: the records of one version exceed [`MAX_SAME_VERSION_BYTES`].
    fn collect_changes(
        &self,
        urgency: Urgency,
        store: &VersionedStore,
        scope: &Scope,
        part_size: usize,
    ) -> Option<ChangeSet> {
        let index = urgency as usize;
        let end = store.cursor()[index];
        let mut records: Vec<Record> = Vec::new();
        let mut size = 0;
        // The last position at which the batch may end without splitting records of one version: the number
        // of records and the version of the last one.
        let mut last_cut: Option<(usize, Version)> = None;
        let mut last_version = None;
        let in_scope = store
            .log(urgency, self.scanned_cursor[index], end)
            .filter(|(_, key)| scope.contains(key.service));
        for (version, key) in in_scope {
            let Some(record) = store.get(key) else { continue };
            if last_version.is_some_and(|last| last != version) {
                last_cut = last_version.map(|last| (records.len(), last));
            }
            let limit =
                if last_cut.is_none() && last_version.is_some() { MAX_SAME_VERSION_BYTES } else { part_size };
            let is_full = size + record.encoded_size_bound() > limit;
            if is_full && let Some((count, through)) = last_cut {
                records.truncate(count);
                return Some(ChangeSet { records, through });
            }
            if is_full && last_version.is_some() {
                return None;
            }
            size += record.encoded_size_bound();
            last_version = Some(version);
            records.push(record.clone());
        }
        Some(ChangeSet { records, through: end })
    }

    /// Creates a batch, and advances the position of the subscriber to `to`.
    fn batch(
        &mut self,
        view: StoreView<'_>,
        to: Cursor,
        records: Vec<Record>,
        scope_digest: Option<u64>,
        now: Millis,
    ) -> Message {
        let from = self.sent_cursor;
        let to = merge_cursors(from, to);
        self.sent_cursor = to;
        self.scanned_cursor = merge_cursors(self.scanned_cursor, to);
        self.progress_due_at = now + PROGRESS_INTERVAL;
        if scope_digest.is_some() {
            self.digest_due_at = now + DIGEST_INTERVAL;
        }
        let (source, epoch) = (view.store.source(), view.store.epoch());
        Message::Batch { source, epoch, from, to, records, scope_digest }
    }

    fn next_progress(
        &mut self,
        view: StoreView<'_>,
        scope: &Scope,
        bucket: &TokenBucket,
        now: Millis,
    ) -> NextMessage {
        let store_cursor = view.store.cursor();
        // A subscriber that has received later changes from another relay can't be compared, and needs no
        // position.
        let is_ahead = self.sent_cursor.iter().zip(store_cursor).any(|(sent, stored)| *sent > stored);
        let sends_digest = view.is_consistent && !is_ahead;
        let has_progress = merge_cursors(self.sent_cursor, store_cursor) != self.sent_cursor;
        let digest_due_at = sends_digest.then_some(self.digest_due_at);
        let progress_due_at = has_progress.then_some(self.progress_due_at);
        let Some(due_at) = [digest_due_at, progress_due_at].into_iter().flatten().min() else {
            return NextMessage::Idle;
        };
        if now < due_at {
            return NextMessage::NotBefore(due_at);
        }
        if let Err(at) = bucket.check_available(MESSAGE_OVERHEAD_BYTES) {
            return NextMessage::RateLimited(at);
        }
        let scope_digest =
            (sends_digest && now >= self.digest_due_at).then(|| view.store.scope_digest(scope));
        NextMessage::Send(self.batch(view, store_cursor, Vec::new(), scope_digest, now))
    }

    fn next_digest_summary(
        &mut self,
        view: StoreView<'_>,
        scope: &Scope,
        bucket: &TokenBucket,
        now: Millis,
    ) -> NextMessage {
        let Some(summary) = &mut self.summary else { return NextMessage::Idle };
        let max_digests = (part_size(bucket) / MAX_DIGEST_BYTES).max(1);
        let mut digests = view.store.digests_in_scope(scope, summary.next_service, max_digests + 1);
        let has_more = digests.len() > max_digests;
        digests.truncate(max_digests);
        if let Err(at) = bucket.check_available(MESSAGE_OVERHEAD_BYTES + digests.len() * MAX_DIGEST_BYTES) {
            return NextMessage::RateLimited(at);
        }
        let last = digests.last().filter(|_| has_more).map_or(ServiceId::MAX, |entry| entry.service);
        let (first, to) = (summary.next_service, summary.to);
        match last.checked_add(1) {
            Some(next) if has_more => summary.next_service = next,
            _ => {
                (self.epoch, self.generation) = (summary.epoch, Some(summary.generation));
                (self.sent_cursor, self.scanned_cursor) = (to, to);
                (self.summary, self.digests_requested) = (None, false);
                self.digest_due_at = now + DIGEST_INTERVAL;
            }
        }
        let (source, epoch) = (view.store.source(), view.store.epoch());
        let range = ServiceRange { first, last };
        NextMessage::Send(Message::DigestSummary { source, epoch, range, to, digests })
    }

    fn next_service_snapshot(&mut self, view: StoreView<'_>, bucket: &TokenBucket) -> NextMessage {
        let Some(service) = self.requested_snapshots.last().copied() else { return NextMessage::Idle };
        let store = view.store;
        let as_of = store.complete_through();
        let part_size = part_size(bucket);
        let mut records: Vec<Record> = Vec::new();
        let (mut size, mut through) = (0, None);
        // Tombstones newer than `as_of` are included: without them, removed records would remain downstream.
        let stored = store.range(service, self.snapshot_position.as_ref(), None);
        for record in stored.filter(|record| record.state != RecordState::Gone || record.version > as_of) {
            if size + record.encoded_size_bound() > part_size
                && let Some(last) = records.last()
            {
                through = Some(KeyBound { kind: last.key.kind, name: last.key.name.clone() });
                break;
            }
            size += record.encoded_size_bound();
            records.push(record.clone());
        }
        let bounds = [&self.snapshot_position, &through].into_iter().flatten();
        let bounds_size = bounds.map(|bound| bound.name.len()).sum::<usize>();
        if let Err(at) = bucket.check_available(size + bounds_size + MESSAGE_OVERHEAD_BYTES) {
            return NextMessage::RateLimited(at);
        }
        let after = std::mem::replace(&mut self.snapshot_position, through.clone());
        if through.is_none() {
            self.requested_snapshots.pop();
        }
        let (source, epoch) = (store.source(), store.epoch());
        NextMessage::Send(Message::ServiceSnapshot { source, epoch, as_of, service, after, through, records })
    }
}
