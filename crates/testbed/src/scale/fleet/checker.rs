//! Compares a replica with the changes that its sources acknowledged, record by record: versions, states and
//! bodies. Does not rely on digests, and does no I/O.

use super::messages::ReplicaRecord;
use super::model::Model;
use control_plane::record::{RecordKind, RecordState, ServiceId, SourceId};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Kind of a difference between a replica and the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mismatch {
    /// The replica lacks the record.
    Missing,
    /// The replica has a record that its source never had, or has removed.
    Unexpected,
    /// The replica contains the record more than once.
    Duplicate,
    /// The record's service is not in the subscriber's scope.
    OutOfScope,
    /// The record's version differs from the acknowledged one.
    Version,
    /// The versions are equal, the states differ.
    State,
    /// Versions and states are equal, the bodies differ.
    Body,
}

/// One record of a replica that differs from the model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// The kind of difference.
    pub mismatch: Mismatch,
    /// The source that owns the record's service.
    pub source: SourceId,
    /// The record's service.
    pub service: ServiceId,
    /// The record's kind.
    pub kind: RecordKind,
    /// The record's name.
    pub name: String,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { mismatch, source, service, kind, name } = self;
        write!(f, "{mismatch:?}: {kind:?} {name} of service {service}, source {source}")
    }
}

/// Returns all differences between the model and the replica of a subscriber with this scope. `source_of`
/// maps a service to its source.
#[must_use]
pub fn compare(
    model: &Model,
    scope: &BTreeSet<ServiceId>,
    source_of: impl Fn(ServiceId) -> SourceId,
    replica: &[ReplicaRecord],
) -> Vec<Difference> {
    let mut differences = Vec::new();
    let mut by_key: Vec<&ReplicaRecord> = replica.iter().collect();
    by_key.sort_unstable_by(|a, b| (a.service, a.kind, &a.name).cmp(&(b.service, b.kind, &b.name)));
    let difference = |mismatch, record: &ReplicaRecord| Difference {
        mismatch,
        source: record.source,
        service: record.service,
        kind: record.kind,
        name: record.name.clone(),
    };
    for pair in by_key.windows(2) {
        if (pair[0].service, pair[0].kind, &pair[0].name) == (pair[1].service, pair[1].kind, &pair[1].name) {
            differences.push(difference(Mismatch::Duplicate, pair[1]));
        }
    }
    // Both sides are sorted by service, kind and name, so one merge pass visits each record once.
    let mut end = 0;
    for &service in scope {
        let source = source_of(service);
        let start = end + by_key[end..].partition_point(|record| record.service < service);
        differences.extend(by_key[end..start].iter().map(|record| difference(Mismatch::OutOfScope, record)));
        end = start + by_key[start..].partition_point(|record| record.service == service);
        let records = model.get(&source).and_then(|model| model.services.get(&service));
        let mut expected =
            records.into_iter().flatten().filter(|(_, s)| s.state != RecordState::Gone).peekable();
        let missing = |(kind, name): &(RecordKind, String)| Difference {
            mismatch: Mismatch::Missing,
            source,
            service,
            kind: *kind,
            name: name.clone(),
        };
        for record in &by_key[start..end] {
            let position = (record.kind, record.name.as_str());
            while let Some((key, _)) = expected.next_if(|((kind, name), _)| (*kind, name.as_str()) < position)
            {
                differences.push(missing(key));
            }
            let current = expected.next_if(|((kind, name), _)| (*kind, name.as_str()) == position);
            let mismatch = match current {
                None => Mismatch::Unexpected,
                Some(_) if record.source != source => Mismatch::Unexpected,
                Some((_, current)) if current.version != record.version => Mismatch::Version,
                Some((_, current)) if current.state != record.state => Mismatch::State,
                Some((_, current)) if current.body != record.body => Mismatch::Body,
                Some(_) => continue,
            };
            differences.push(difference(mismatch, record));
        }
        differences.extend(expected.map(|(key, _)| missing(key)));
    }
    differences.extend(by_key[end..].iter().map(|record| difference(Mismatch::OutOfScope, record)));
    differences
}

/// An entry of an agent's discovery list: the backend's address, and its phase.
pub type Entry = (String, String);

/// Describes each entry that differs from the model in the list that an agent with this scope serves by the
/// discovery protocol. `address_of` maps a backend's name to its address.
#[must_use]
pub fn compare_list(
    model: &Model,
    scope: &BTreeSet<ServiceId>,
    source_of: impl Fn(ServiceId) -> SourceId,
    address_of: impl Fn(&str) -> String,
    list: &BTreeMap<String, Entry>,
) -> Vec<String> {
    let mut expected: BTreeMap<String, Entry> = BTreeMap::new();
    for &service in scope {
        let records = model.get(&source_of(service)).and_then(|model| model.services.get(&service));
        for ((kind, name), current) in records.into_iter().flatten() {
            let phase = match current.state {
                RecordState::Active => "active",
                RecordState::Draining => "leaving",
                RecordState::Gone => continue,
            };
            if *kind == RecordKind::Backend {
                let id = if scope.len() == 1 { name.clone() } else { format!("{service}/{name}") };
                expected.insert(id, (address_of(name), phase.to_owned()));
            }
        }
    }
    let ids: BTreeSet<&String> = expected.keys().chain(list.keys()).collect();
    let differing = ids.into_iter().filter(|&id| expected.get(id) != list.get(id));
    differing.map(|id| format!("{id} is {:?}, expected {:?}", list.get(id), expected.get(id))).collect()
}
