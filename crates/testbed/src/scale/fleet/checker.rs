//! Whether what a subscriber holds is what its sources say, record by record. Compares versions, states and bodies; digests
//! have no part in it. Pure.

use super::messages::ReplicaRecord;
use super::model::Model;
use control_plane::record::{Kind, ServiceId, SourceId, State};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// What is wrong with one record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mismatch {
    /// It is not there.
    Missing,
    /// It is there, and its source does not have it (any more).
    NotThere,
    /// It is there twice.
    Twice,
    /// It is of a service that is not in scope.
    OutOfScope,
    /// It has another version.
    Version,
    /// The version is right, the state is not.
    State,
    /// Version and state are right, the body is not.
    Body,
}

/// One record of one subscriber that is not as it should be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// What.
    pub wrong: Mismatch,
    /// Of which source.
    pub source: SourceId,
    /// Of which service.
    pub service: ServiceId,
    /// Of which kind.
    pub kind: Kind,
    /// The record.
    pub name: String,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { wrong, source, service, kind, name } = self;
        write!(f, "{wrong:?}: {kind:?} {name} of service {service}, source {source}")
    }
}

/// All that is wrong with what a subscriber of this scope holds, by record. `source_of` says whose a service is.
#[must_use]
pub fn compare(
    model: &Model,
    scope: &BTreeSet<ServiceId>,
    source_of: impl Fn(ServiceId) -> SourceId,
    held: &[ReplicaRecord],
) -> Vec<Difference> {
    let mut differences = Vec::new();
    let mut by_place: Vec<&ReplicaRecord> = held.iter().collect();
    by_place.sort_unstable_by(|a, b| (a.service, a.kind, &a.name).cmp(&(b.service, b.kind, &b.name)));
    let difference = |wrong, h: &ReplicaRecord| Difference {
        wrong,
        source: h.source,
        service: h.service,
        kind: h.kind,
        name: h.name.clone(),
    };
    for pair in by_place.windows(2) {
        if (pair[0].service, pair[0].kind, &pair[0].name) == (pair[1].service, pair[1].kind, &pair[1].name) {
            differences.push(difference(Mismatch::Twice, pair[1]));
        }
    }
    // Both sides by service, kind and name: walked together, each record is met once.
    let mut upto = 0;
    for &service in scope {
        let source = source_of(service);
        let from = upto + by_place[upto..].partition_point(|h| h.service < service);
        differences.extend(by_place[upto..from].iter().map(|h| difference(Mismatch::OutOfScope, h)));
        upto = from + by_place[from..].partition_point(|h| h.service == service);
        let records = model.get(&source).and_then(|model| model.services.get(&service));
        let mut said = records.into_iter().flatten().filter(|(_, s)| s.state != State::Gone).peekable();
        let missing = |(kind, name): &(Kind, String)| Difference {
            wrong: Mismatch::Missing,
            source,
            service,
            kind: *kind,
            name: name.clone(),
        };
        for record in &by_place[from..upto] {
            let place = (record.kind, record.name.as_str());
            while let Some((key, _)) = said.next_if(|((kind, name), _)| (*kind, name.as_str()) < place) {
                differences.push(missing(key));
            }
            let stands = said.next_if(|((kind, name), _)| (*kind, name.as_str()) == place);
            let wrong = match stands {
                None => Mismatch::NotThere,
                Some(_) if record.source != source => Mismatch::NotThere,
                Some((_, stands)) if stands.version != record.version => Mismatch::Version,
                Some((_, stands)) if stands.state != record.state => Mismatch::State,
                Some((_, stands)) if stands.body != record.body => Mismatch::Body,
                Some(_) => continue,
            };
            differences.push(difference(wrong, record));
        }
        differences.extend(said.map(|(key, _)| missing(key)));
    }
    differences.extend(by_place[upto..].iter().map(|h| difference(Mismatch::OutOfScope, h)));
    differences
}

/// An entry of an agent's list: where it listens, and its phase.
pub type Entry = (String, String);

/// What is wrong with the list that an agent of this scope serves by the discovery protocol, by entry. `address_of` gives
/// where a backend of this name listens.
#[must_use]
pub fn compare_list(
    model: &Model,
    scope: &BTreeSet<ServiceId>,
    source_of: impl Fn(ServiceId) -> SourceId,
    address_of: impl Fn(&str) -> String,
    list: &BTreeMap<String, Entry>,
) -> Vec<String> {
    let mut right: BTreeMap<String, Entry> = BTreeMap::new();
    for &service in scope {
        let records = model.get(&source_of(service)).and_then(|model| model.services.get(&service));
        for ((kind, name), stands) in records.into_iter().flatten() {
            let phase = match stands.state {
                State::Active => "active",
                State::Draining => "leaving",
                State::Gone => continue,
            };
            if *kind == Kind::Backend {
                let id = if scope.len() == 1 { name.clone() } else { format!("{service}/{name}") };
                right.insert(id, (address_of(name), phase.to_owned()));
            }
        }
    }
    let ids: BTreeSet<&String> = right.keys().chain(list.keys()).collect();
    let differ = ids.into_iter().filter(|&id| right.get(id) != list.get(id));
    differ.map(|id| format!("{id} is {:?}, not {:?}", list.get(id), right.get(id))).collect()
}
