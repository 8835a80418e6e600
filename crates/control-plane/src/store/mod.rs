//! The records of one source that a node has: records by key, a change log for each urgency, and digests by
//! service.

mod service_records;
mod validation;

pub use validation::{MAX_BODY_BYTES, MAX_NAME_BYTES, WriteError, validate_change};

use crate::message::{KeyBound, ServiceDigest};
use crate::record::{
    Change, Cursor, Epoch, Record, RecordKey, RecordKind, RecordState, Scope, ServiceId, SourceId, Urgency,
    Version,
};
use service_records::ServiceRecords;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use twox_hash::XxHash3_64;

/// Maximum number of retained tombstones; the oldest are dropped first. They take about 8 MB and last for 15
/// minutes at 70 removals per second.
pub const MAX_TOMBSTONES: usize = 65_536;

/// An entry of a change log; ordered by version, then by key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LogEntry {
    version: Version,
    key: RecordKey,
}

impl LogEntry {
    fn of(record: &Record) -> Self {
        Self { version: record.version, key: record.key.clone() }
    }
}

/// The records of one source, with tombstones, change logs and digests.
#[derive(Debug)]
pub struct VersionedStore {
    source: SourceId,
    epoch: Epoch,
    head: Version,
    /// The position up to which this store is complete: the head at the source itself, the received position
    /// downstream.
    cursor: Cursor,
    /// Tombstones up to this version may be missing, so a subscriber before it can't be updated from the log.
    tombstone_floor: Version,
    /// Counts changes that are not in the log: a new incarnation of the source, or a repair that changed
    /// records.
    generation: u64,
    services: BTreeMap<ServiceId, ServiceRecords>,
    /// A log for each urgency. It has an entry for each stored record, so at most the newest change of each
    /// key. Empty in a store without logs.
    logs: [BTreeSet<LogEntry>; 3],
    has_logs: bool,
    tombstones: BTreeSet<LogEntry>,
    max_tombstones: usize,
    /// The wrapping sum of the digests of all services.
    total_digest: u64,
    live_count: usize,
    /// Input of the hash function; reused to avoid an allocation for each record.
    hash_buffer: Vec<u8>,
    /// The lowest possible key, for the lower bound of a range of versions.
    first_key: RecordKey,
    /// The body of lookup keys, shared to avoid an allocation for each.
    empty_body: Arc<[u8]>,
}

impl VersionedStore {
    /// Creates an empty store for this incarnation of the source. Epochs start at 1; 0 is raised to 1.
    #[must_use]
    pub fn new(source: SourceId, epoch: Epoch) -> Self {
        let mut store = Self::unsynchronized(source);
        store.start_at(Version { epoch: epoch.max(1), revision: 0 });
        store
    }

    /// Creates the store of a source after a restart, from the persisted `records` and `head`, the last
    /// persisted change. Records keep their versions; new changes get the new epoch. The head becomes a
    /// version of the new epoch with the old revision, so that all changes of former incarnations are older,
    /// including those that were not persisted.
    #[must_use]
    pub fn restore(source: SourceId, epoch: Epoch, head: Version, records: Vec<Record>) -> Self {
        let mut store = Self::unsynchronized(source);
        let revision = records.iter().map(|record| record.version.revision).fold(head.revision, u64::max);
        for record in records {
            store.insert(record);
        }
        store.start_at(Version { epoch: epoch.max(1), revision });
        store.prune_tombstones();
        store
    }

    /// Sets the head, and marks the store as complete up to it.
    fn start_at(&mut self, head: Version) {
        self.epoch = head.epoch;
        self.head = head;
        self.cursor = [head; 3];
        self.tombstone_floor = head;
    }

    /// Creates the store of a replica that has received nothing yet: epoch 0, at the zero cursor.
    pub(crate) fn unsynchronized(source: SourceId) -> Self {
        Self {
            source,
            epoch: 0,
            head: Version::default(),
            cursor: Cursor::default(),
            tombstone_floor: Version::default(),
            generation: 0,
            services: BTreeMap::new(),
            logs: Default::default(),
            has_logs: true,
            tombstones: BTreeSet::new(),
            max_tombstones: MAX_TOMBSTONES,
            total_digest: 0,
            live_count: 0,
            hash_buffer: Vec::new(),
            first_key: RecordKey { service: 0, kind: RecordKind::Backend, name: Arc::from("") },
            empty_body: Arc::from([]),
        }
    }

    /// Disables the logs, for a node that has no subscribers.
    pub(crate) fn without_logs(mut self) -> Self {
        self.has_logs = false;
        self
    }

    /// Replaces the limit of tombstones, [`MAX_TOMBSTONES`] by default.
    #[must_use]
    pub fn with_max_tombstones(mut self, max: usize) -> Self {
        self.set_max_tombstones(max);
        self
    }

    pub(crate) fn set_max_tombstones(&mut self, max: usize) {
        self.max_tombstones = max;
        self.prune_tombstones();
    }

    /// Applies a change at the source itself, and assigns the next version to it.
    ///
    /// # Errors
    /// See [`validate_change`]; the store is unchanged then.
    pub fn write(&mut self, change: Change) -> Result<Record, WriteError> {
        validate_change(&change)?;
        let version = Version { epoch: self.epoch, revision: self.head.revision + 1 };
        let record = Record { key: change.key, version, state: change.state, body: change.body };
        self.insert(record.clone());
        self.cursor = [version; 3];
        self.prune_tombstones();
        Ok(record)
    }

    /// The source to which the records belong.
    #[must_use]
    pub fn source(&self) -> SourceId {
        self.source
    }

    /// The incarnation of the source to which the records belong; 0 before a replica's first repair has
    /// finished.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// The newest known version, whether in scope or not.
    #[must_use]
    pub fn head(&self) -> Version {
        self.head
    }

    /// The position up to which the store is complete, for each urgency.
    #[must_use]
    pub fn cursor(&self) -> Cursor {
        self.cursor
    }

    /// The version up to which the store is complete for every urgency.
    #[must_use]
    pub fn complete_through(&self) -> Version {
        self.cursor.into_iter().min().unwrap_or_default()
    }

    /// The version up to which tombstones may have been dropped.
    #[must_use]
    pub fn tombstone_floor(&self) -> Version {
        self.tombstone_floor
    }

    /// Number of changes that are not in the log: new incarnations of the source, and repairs that changed
    /// records.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Number of live records: all except tombstones.
    #[must_use]
    pub fn live_count(&self) -> usize {
        self.live_count
    }

    /// Number of retained tombstones.
    #[must_use]
    pub fn tombstone_count(&self) -> usize {
        self.tombstones.len()
    }

    /// The record of a key, which may be a tombstone.
    #[must_use]
    pub fn get(&self, key: &RecordKey) -> Option<&Record> {
        self.services.get(&key.service)?.get(key, &self.empty_body)
    }

    /// The live records of a service (all except tombstones), ordered by key.
    pub fn service(&self, service: ServiceId) -> impl Iterator<Item = &Record> {
        self.range(service, None, None).filter(|record| record.state != RecordState::Gone)
    }

    /// The live records of all services (all except tombstones), ordered by key.
    pub fn live_records(&self) -> impl Iterator<Item = &Record> {
        let records = self.services.values().flat_map(ServiceRecords::iter);
        records.filter(|record| record.state != RecordState::Gone)
    }

    /// The digest of a service: the wrapping sum of the hashes of its live records, independent of their
    /// order; 0 if it has none.
    #[must_use]
    pub fn digest(&self, service: ServiceId) -> u64 {
        self.services.get(&service).map_or(0, |service| service.digest)
    }

    /// The wrapping sum of the digests of all services in scope.
    #[must_use]
    pub fn scope_digest(&self, scope: &Scope) -> u64 {
        match scope {
            Scope::All => self.total_digest,
            Scope::Services(services) => {
                services.iter().fold(0, |sum, service| sum.wrapping_add(self.digest(*service)))
            }
        }
    }

    pub(crate) fn total_digest(&self) -> u64 {
        self.total_digest
    }

    /// The records of a service, tombstones included, from `after` (exclusive) to `through` (inclusive).
    pub(crate) fn range<'a>(
        &'a self,
        service: ServiceId,
        after: Option<&KeyBound>,
        through: Option<&KeyBound>,
    ) -> impl Iterator<Item = &'a Record> + use<'a> {
        let records = self.services.get(&service);
        records.map(|records| records.range(after, through, &self.empty_body)).into_iter().flatten()
    }

    /// The nonzero digests of all services from `first` on.
    pub(crate) fn digests(&self, first: ServiceId) -> impl Iterator<Item = ServiceDigest> {
        self.services
            .range(first..)
            .map(|(service, records)| ServiceDigest { service: *service, digest: records.digest })
            .filter(|entry| entry.digest != 0)
    }

    /// The nonzero digests of the services in scope from `first` on, at most `max`.
    pub(crate) fn digests_in_scope(&self, scope: &Scope, first: ServiceId, max: usize) -> Vec<ServiceDigest> {
        match scope {
            Scope::All => self.digests(first).take(max).collect(),
            Scope::Services(services) => services
                .range(first..)
                .map(|service| ServiceDigest { service: *service, digest: self.digest(*service) })
                .filter(|entry| entry.digest != 0)
                .take(max)
                .collect(),
        }
    }

    /// The entries of a log from `after` (exclusive) to `through` (inclusive), the oldest first.
    pub(crate) fn log(
        &self,
        urgency: Urgency,
        after: Version,
        through: Version,
    ) -> impl Iterator<Item = (Version, &RecordKey)> {
        let version = Version { revision: after.revision.saturating_add(1), ..after };
        let first = LogEntry { version, key: self.first_key.clone() };
        // A range whose end is before its start would panic, so the end is checked for each entry.
        let entries =
            self.logs[urgency as usize].range(first..).take_while(move |entry| entry.version <= through);
        entries.map(|entry| (entry.version, &entry.key))
    }

    /// Replaces the record of a key regardless of its version. Returns the former record.
    pub(crate) fn insert(&mut self, record: Record) -> Option<Record> {
        let previous = self.remove(&record.key);
        self.head = self.head.max(record.version);
        let entry = LogEntry::of(&record);
        if self.has_logs {
            self.logs[record.urgency() as usize].insert(entry.clone());
        }
        let hash = self.hash(&record);
        let service = self.services.entry(record.key.service).or_default();
        if record.state == RecordState::Gone {
            self.tombstones.insert(entry);
        } else {
            self.live_count += 1;
            service.digest = service.digest.wrapping_add(hash);
            self.total_digest = self.total_digest.wrapping_add(hash);
        }
        service.insert(record);
        previous
    }

    /// Removes the record of a key without leaving a tombstone. Returns the record.
    fn remove(&mut self, key: &RecordKey) -> Option<Record> {
        let record = self.services.get_mut(&key.service)?.remove(key, &self.empty_body)?;
        let entry = LogEntry::of(&record);
        self.logs[record.urgency() as usize].remove(&entry);
        if record.state == RecordState::Gone {
            self.tombstones.remove(&entry);
        } else {
            self.live_count -= 1;
        }
        let hash = self.hash(&record);
        let service = self.services.get_mut(&key.service)?;
        if record.state != RecordState::Gone {
            service.digest = service.digest.wrapping_sub(hash);
            self.total_digest = self.total_digest.wrapping_sub(hash);
        }
        if service.is_empty() {
            self.services.remove(&key.service);
        }
        Some(record)
    }

    /// Drops the oldest tombstones beyond the limit. Those newer than the position up to which the store is
    /// complete are retained, because an older change of the same key may still arrive.
    pub(crate) fn prune_tombstones(&mut self) {
        let complete = self.complete_through();
        while self.tombstones.len() > self.max_tombstones {
            let Some(LogEntry { version, key }) = self.tombstones.first().cloned() else { break };
            if version > complete {
                break;
            }
            self.remove(&key);
            self.tombstone_floor = self.tombstone_floor.max(version);
        }
    }

    /// Drops all tombstones up to a version. Subscribers before it have to be repaired by digests.
    pub(crate) fn drop_tombstones(&mut self, through: Version) {
        while let Some(LogEntry { version, key }) =
            self.tombstones.first().cloned().filter(|entry| entry.version <= through)
        {
            self.remove(&key);
            self.tombstone_floor = self.tombstone_floor.max(version);
        }
    }

    /// Sets the position up to which the store is complete, and raises the head accordingly.
    pub(crate) fn advance_to(&mut self, cursor: Cursor) {
        self.cursor = cursor;
        self.head = cursor.into_iter().fold(self.head, Version::max);
    }

    /// Ends a repair: from now on the records belong to this incarnation of the source; tombstones up to
    /// `through` are dropped. `changed`: whether the repair changed records.
    pub(crate) fn finish_repair(&mut self, epoch: Epoch, through: Version, changed: bool) {
        self.generation += u64::from(changed || epoch != self.epoch);
        self.epoch = epoch;
        self.tombstone_floor = self.tombstone_floor.max(through);
        self.drop_tombstones(through);
    }

    /// Counts a change that is not in the log.
    pub(crate) fn advance_generation(&mut self) {
        self.generation += 1;
    }

    /// The hash of a record; 0 for a tombstone.
    fn hash(&mut self, record: &Record) -> u64 {
        if record.state == RecordState::Gone {
            return 0;
        }
        let input = &mut self.hash_buffer;
        input.clear();
        input.extend_from_slice(&record.key.service.to_le_bytes());
        input.extend_from_slice(&record.version.epoch.to_le_bytes());
        input.extend_from_slice(&record.version.revision.to_le_bytes());
        input.extend_from_slice(&[record.key.kind as u8, record.state as u8]);
        input.extend_from_slice(&(record.key.name.len() as u64).to_le_bytes());
        input.extend_from_slice(record.key.name.as_bytes());
        input.extend_from_slice(&record.body);
        XxHash3_64::oneshot(input)
    }
}
