//! Model of the records that the testbed wrote and its sources acknowledged: the reference of all checks. Independent of the
//! control plane's own stores and digests. Does no I/O.

use super::messages::{ReplicaRecord, key_hash};
use control_plane::record::{Change, Kind, ServiceId, SourceId, State, Version};
use rustc_hash::FxHashMap;
use std::collections::BTreeMap;
use twox_hash::XxHash3_64;

/// A change that was acknowledged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcknowledgedChange {
    /// Its version.
    pub version: Version,
    /// Its service.
    pub service: ServiceId,
    /// Its key ([`key_hash`]).
    pub key: u64,
    /// The state that it brought.
    pub state: State,
    /// The body's hash.
    pub body: u64,
    /// When it was written, by [`super::messages::now`].
    pub at: u64,
    /// The step in which it was written; `None` before the first one.
    pub step: Option<usize>,
    /// Whether the source lost it in a restart.
    pub lost: bool,
}

/// The current version of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CurrentRecord {
    /// The version of its last change.
    pub version: Version,
    /// Its state.
    pub state: State,
    /// The body's hash.
    pub body: u64,
}

/// The records of a service, by kind and name.
pub type Service = BTreeMap<(Kind, String), CurrentRecord>;

/// The acknowledged records and changes of one source.
#[derive(Clone, Debug, Default)]
pub struct SourceModel {
    /// The version of its last change.
    pub head: Version,
    /// Records by service.
    pub services: FxHashMap<ServiceId, Service>,
    /// All changes in the order of their writes.
    pub acknowledged: Vec<AcknowledgedChange>,
    by_key: FxHashMap<u64, Vec<usize>>,
}

/// A difference between a restarted source and the model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Disagreement(pub String);

impl SourceModel {
    /// Records an acknowledged write: `last` is the version of the last of these changes.
    pub fn record_write(&mut self, changes: &[Change], last: Version, at: u64, step: Option<usize>) {
        for (place, change) in changes.iter().enumerate() {
            let back = (changes.len() - 1 - place) as u64;
            let version = Version { epoch: last.epoch, revision: last.revision.saturating_sub(back) };
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
                at,
                step,
                lost: false,
            });
        }
        self.head = self.head.max(last);
    }

    /// The changes of a key that lie behind one version and up to another, by their places in `acknowledged`.
    pub fn changes(&self, key: u64, from: Version, to: Version) -> impl Iterator<Item = usize> + '_ {
        let all = self.by_key.get(&key).into_iter().flatten().copied();
        all.filter(move |&place| {
            let said = &self.acknowledged[place];
            !said.lost && said.version > from && said.version <= to
        })
    }

    /// The changes of a key, in order, without those that the source lost.
    pub fn history(&self, key: u64) -> impl Iterator<Item = &AcknowledgedChange> {
        let all = self.by_key.get(&key).into_iter().flatten();
        all.map(|&place| &self.acknowledged[place]).filter(|said| !said.lost)
    }

    /// Resets the model to a restarted source: `replica` must be the state at a prefix of the acknowledged changes. `head` has
    /// the new epoch and the revision of the prefix. Returns the number of lost changes.
    ///
    /// # Errors
    /// If `replica` is no such prefix, or the epoch is not newer.
    pub fn restarted(&mut self, replica: &[ReplicaRecord], head: Version) -> Result<usize, Disagreement> {
        let wrong = |text: String| Err(Disagreement(text));
        if head.epoch <= self.head.epoch {
            return wrong(format!("it is at {head:?}, which is no new life after {:?}", self.head));
        }
        let mut then: FxHashMap<u64, &AcknowledgedChange> = FxHashMap::default();
        for said in
            self.acknowledged.iter().filter(|said| !said.lost && said.version.revision <= head.revision)
        {
            then.insert(said.key, said);
        }
        let live = then.values().filter(|said| said.state != State::Gone).count();
        if live != replica.len() {
            return wrong(format!("it has {} records, at {head:?} there were {live}", replica.len()));
        }
        let mut services: FxHashMap<ServiceId, Service> = FxHashMap::default();
        for record in replica {
            let key = key_hash(record.service, record.kind, &record.name);
            let current = CurrentRecord { version: record.version, state: record.state, body: record.body };
            match then.get(&key) {
                Some(said)
                    if (said.version, said.state, said.body)
                        == (record.version, record.state, record.body) => {}
                said => return wrong(format!("{record:?} stands at {head:?}, where {said:?} was said")),
            }
            let service = services.entry(record.service).or_default();
            service.insert((record.kind, record.name.clone()), current);
        }
        let mut lost = 0;
        for said in
            self.acknowledged.iter_mut().filter(|said| said.version.revision > head.revision && !said.lost)
        {
            said.lost = true;
            lost += 1;
        }
        (self.head, self.services) = (head, services);
        Ok(lost)
    }

    /// Number of records of a service that are not gone.
    #[must_use]
    pub fn live(&self, service: ServiceId) -> usize {
        let records = self.services.get(&service).into_iter().flat_map(BTreeMap::values);
        records.filter(|record| record.state != State::Gone).count()
    }
}

/// All sources, by number.
pub type Model = BTreeMap<SourceId, SourceModel>;
