//! Model of the records that the testbed wrote and the sources acknowledged: the reference of all checks.
//! Independent of the control plane's own stores and digests. Does no I/O.

use super::messages::{ReplicaRecord, key_hash};
use control_plane::record::{Change, RecordKind, RecordState, ServiceId, SourceId, Version};
use rustc_hash::FxHashMap;
use std::collections::BTreeMap;
use twox_hash::XxHash3_64;

/// A change that its source acknowledged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcknowledgedChange {
    /// The version that the source assigned.
    pub version: Version,
    /// The record's service.
    pub service: ServiceId,
    /// The record's key ([`key_hash`]).
    pub key: u64,
    /// The record's state after the change.
    pub state: RecordState,
    /// The body's hash.
    pub body: u64,
    /// Time of the write, microseconds of Unix time.
    pub written_at_us: u64,
    /// The step in which it was written; `None` before the first step.
    pub step: Option<usize>,
    /// Whether the source lost it in a restart.
    pub lost: bool,
}

/// The current state of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CurrentRecord {
    /// The version of its last change.
    pub version: Version,
    /// The state after its last change.
    pub state: RecordState,
    /// The body's hash.
    pub body: u64,
}

/// The records of a service, by kind and name.
pub type Service = BTreeMap<(RecordKind, String), CurrentRecord>;

/// The acknowledged records and changes of one source.
#[derive(Clone, Debug, Default)]
pub struct SourceModel {
    /// The version of the source's last change.
    pub head: Version,
    /// Records by service, including those that are gone.
    pub services: FxHashMap<ServiceId, Service>,
    /// All changes in the order of their writes, including those that the source lost.
    pub acknowledged: Vec<AcknowledgedChange>,
    // Indices in `acknowledged`.
    by_key: FxHashMap<u64, Vec<usize>>,
}

/// Description of a difference between a restarted source and the model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Disagreement(pub String);

impl SourceModel {
    /// Adds an acknowledged write: `last` is the version of the last of these changes, `written_at_us` the
    /// time of the write in microseconds of Unix time.
    pub fn record_write(
        &mut self,
        changes: &[Change],
        last: Version,
        written_at_us: u64,
        step: Option<usize>,
    ) {
        for (index, change) in changes.iter().enumerate() {
            let later_changes = (changes.len() - 1 - index) as u64;
            let version =
                Version { epoch: last.epoch, revision: last.revision.saturating_sub(later_changes) };
            let body = XxHash3_64::oneshot(&change.body);
            let key = key_hash(change.key.service, change.key.kind, &change.key.name);
            let current = CurrentRecord { version, state: change.state, body };
            let service = self.services.entry(change.key.service).or_default();
            service.insert((change.key.kind, change.key.name.to_string()), current);
            self.by_key.entry(key).or_default().push(self.acknowledged.len());
            let (service, state) = (change.key.service, change.state);
            self.acknowledged.push(AcknowledgedChange {
                version,
                service,
                key,
                state,
                body,
                written_at_us,
                step,
                lost: false,
            });
        }
        self.head = self.head.max(last);
    }

    /// The indices in `acknowledged` of the changes of a key after version `after` and up to `to`, without
    /// lost ones.
    pub fn changes(&self, key: u64, after: Version, to: Version) -> impl Iterator<Item = usize> + '_ {
        let all = self.by_key.get(&key).into_iter().flatten().copied();
        all.filter(move |&index| {
            let change = &self.acknowledged[index];
            !change.lost && change.version > after && change.version <= to
        })
    }

    /// The changes of a key in the order of their writes, without those that the source lost.
    pub fn history(&self, key: u64) -> impl Iterator<Item = &AcknowledgedChange> {
        let all = self.by_key.get(&key).into_iter().flatten();
        all.map(|&index| &self.acknowledged[index]).filter(|change| !change.lost)
    }

    /// Resets the model to the records of a restarted source, which must be the state after a prefix of the
    /// acknowledged changes. `head` has the new epoch and the revision of the prefix. Returns the number of
    /// lost changes.
    ///
    /// # Errors
    /// If `replica` is not the state after this prefix, or the epoch is not newer.
    pub fn reset_to_restarted(
        &mut self,
        replica: &[ReplicaRecord],
        head: Version,
    ) -> Result<usize, Disagreement> {
        let disagreement = |text: String| Err(Disagreement(text));
        if head.epoch <= self.head.epoch {
            return disagreement(format!("its epoch is not newer: {head:?} after {:?}", self.head));
        }
        let mut last_changes: FxHashMap<u64, &AcknowledgedChange> = FxHashMap::default();
        for change in
            self.acknowledged.iter().filter(|change| !change.lost && change.version.revision <= head.revision)
        {
            last_changes.insert(change.key, change);
        }
        let live = last_changes.values().filter(|change| change.state != RecordState::Gone).count();
        if live != replica.len() {
            return disagreement(format!("it has {} records, expected {live} at {head:?}", replica.len()));
        }
        let mut services: FxHashMap<ServiceId, Service> = FxHashMap::default();
        for record in replica {
            let key = key_hash(record.service, record.kind, &record.name);
            let current = CurrentRecord { version: record.version, state: record.state, body: record.body };
            match last_changes.get(&key) {
                Some(change)
                    if (change.version, change.state, change.body)
                        == (record.version, record.state, record.body) => {}
                last => {
                    return disagreement(format!(
                        "it has {record:?} at {head:?}, the last acknowledged change is {last:?}"
                    ));
                }
            }
            let service = services.entry(record.service).or_default();
            service.insert((record.kind, record.name.clone()), current);
        }
        let mut lost = 0;
        for change in self
            .acknowledged
            .iter_mut()
            .filter(|change| change.version.revision > head.revision && !change.lost)
        {
            change.lost = true;
            lost += 1;
        }
        (self.head, self.services) = (head, services);
        Ok(lost)
    }

    /// Number of records of a service that are not gone.
    #[must_use]
    pub fn live_records(&self, service: ServiceId) -> usize {
        let records = self.services.get(&service).into_iter().flat_map(BTreeMap::values);
        records.filter(|record| record.state != RecordState::Gone).count()
    }
}

/// The models of all sources, by number.
pub type Model = BTreeMap<SourceId, SourceModel>;
