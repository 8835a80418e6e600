//! The records of one service, ordered by kind and name.

use crate::message::KeyBound;
use crate::record::{Record, RecordKey, RecordKind, RecordState, Version};
use std::cmp::Ordering;
use std::collections::BTreeSet;
use std::ops::Bound;
use std::sync::Arc;

/// The records of one service, tombstones included, and their digest.
#[derive(Debug, Default)]
pub(super) struct ServiceRecords {
    /// The wrapping sum of the hashes of the live records.
    pub digest: u64,
    records: BTreeSet<KeyOrdered>,
}

/// A record, compared by its key within the service. A set of these takes a third less memory than a map from
/// keys to records.
#[derive(Debug)]
struct KeyOrdered(Record);

impl KeyOrdered {
    fn key(&self) -> (RecordKind, &str) {
        (self.0.key.kind, &self.0.key.name)
    }

    /// Creates a record that serves only to look up a key.
    fn lookup_key(kind: RecordKind, name: &Arc<str>, empty_body: &Arc<[u8]>) -> Self {
        let key = RecordKey { service: 0, kind, name: Arc::clone(name) };
        Self(Record {
            key,
            version: Version::default(),
            state: RecordState::Gone,
            body: Arc::clone(empty_body),
        })
    }
}

impl PartialEq for KeyOrdered {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for KeyOrdered {}

impl PartialOrd for KeyOrdered {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for KeyOrdered {
    fn cmp(&self, other: &Self) -> Ordering {
        self.key().cmp(&other.key())
    }
}

impl ServiceRecords {
    pub(super) fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The record of a key. `empty_body` is shared by all lookups to avoid an allocation for each.
    pub(super) fn get(&self, key: &RecordKey, empty_body: &Arc<[u8]>) -> Option<&Record> {
        self.records.get(&KeyOrdered::lookup_key(key.kind, &key.name, empty_body)).map(|stored| &stored.0)
    }

    pub(super) fn insert(&mut self, record: Record) {
        self.records.insert(KeyOrdered(record));
    }

    pub(super) fn remove(&mut self, key: &RecordKey, empty_body: &Arc<[u8]>) -> Option<Record> {
        self.records.take(&KeyOrdered::lookup_key(key.kind, &key.name, empty_body)).map(|stored| stored.0)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Record> {
        self.records.iter().map(|stored| &stored.0)
    }

    /// The records from `after` (exclusive) to `through` (inclusive).
    pub(super) fn range<'a>(
        &'a self,
        after: Option<&KeyBound>,
        through: Option<&KeyBound>,
        empty_body: &Arc<[u8]>,
    ) -> impl Iterator<Item = &'a Record> + use<'a> {
        let first = after.map(|bound| KeyOrdered::lookup_key(bound.kind, &bound.name, empty_body));
        let lower = first.as_ref().map_or(Bound::Unbounded, Bound::Excluded);
        let through = through.cloned();
        let records = self.records.range((lower, Bound::Unbounded));
        records
            .take_while(move |stored| {
                through.as_ref().is_none_or(|bound| stored.key() <= (bound.kind, &*bound.name))
            })
            .map(|stored| &stored.0)
    }
}
