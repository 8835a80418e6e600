//! Comparison of the records of all nodes with those of the sources.

use crate::nodes::SourceNode;
use crate::simulation::Simulation;
use control_plane::message::{Message, ReplicaPosition};
use control_plane::record::{Record, RecordKey, RecordState, Scope, SourceId};
use control_plane::store::VersionedStore;
use std::collections::{BTreeMap, BTreeSet};

/// Records by key.
type Records = BTreeMap<RecordKey, Record>;

impl Simulation {
    /// The differences of all nodes from the sources, and the violations.
    pub fn differences(&self) -> Vec<String> {
        let mut differences = Vec::new();
        for (relay, node) in self.relays.iter().enumerate() {
            for (source, source_node) in self.sources.iter().enumerate() {
                let stored = node.relay.store(source as SourceId).map(live_records).unwrap_or_default();
                let label = format!("relay {relay}, source {source}");
                compare(&label, &live_records(source_node.source.store()), &stored, &mut differences);
            }
        }
        for (subscriber, node) in self.subscribers.iter().enumerate() {
            let in_scope = |record: &&Record| node.scope.contains(record.key.service);
            let sources = self.sources.iter().flat_map(|source| source.source.store().live_records());
            let expected = by_key(sources.filter(in_scope));
            let stored = by_key(node.subscriber.stores().flat_map(|(_, store)| store.live_records()));
            compare(&format!("subscriber {subscriber}"), &expected, &stored, &mut differences);
            let label = format!("subscriber {subscriber}, as applied");
            compare(&label, &expected, node.checker.live_records(), &mut differences);
        }
        differences.extend(self.violations());
        differences
    }

    /// Invalid sequences of applied records, and nodes that lack records before their reported position.
    pub fn violations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for (subscriber, node) in self.subscribers.iter().enumerate() {
            let found = node.checker.violations().iter();
            violations.extend(found.map(|violation| format!("subscriber {subscriber}: {violation}")));
            for (source, store) in node.subscriber.stores() {
                if let Some(position) = reported_position(&node.subscriber.hello(), source) {
                    let label = format!("subscriber {subscriber}");
                    violations.extend(self.check_position(&label, store, &position, &node.scope));
                }
            }
        }
        for (relay, node) in self.relays.iter().enumerate() {
            for source in 0..self.sources.len() as SourceId {
                let position = reported_position(&node.relay.hello(source), source);
                if let (Some(store), Some(position)) = (node.relay.store(source), position) {
                    let label = format!("relay {relay}");
                    violations.extend(self.check_position(&label, store, &position, &Scope::All));
                }
            }
        }
        violations
    }

    /// Checks, for each urgency, that a node has all changes up to its reported position: the live records of
    /// the source are stored, and the removed ones are not. This is true at any time, also during losses and
    /// repairs.
    fn check_position(
        &self,
        label: &str,
        store: &VersionedStore,
        position: &ReplicaPosition,
        scope: &Scope,
    ) -> Vec<String> {
        let SourceNode { source, history } = &self.sources[usize::from(store.source())];
        let ReplicaPosition { epoch, cursor, .. } = position;
        let mut violations = Vec::new();
        if *epoch != source.store().epoch() {
            return violations;
        }
        let records = history.last().into_iter().flat_map(|entry| entry.records.values());
        for record in records.filter(|record| scope.contains(record.key.service)) {
            if record.version > cursor[record.urgency() as usize] {
                continue;
            }
            let stored = store.get(&record.key).filter(|stored| stored.state != RecordState::Gone);
            if stored != Some(record).filter(|record| record.state != RecordState::Gone) {
                let stored = stored.map(|stored| (stored.version, stored.state));
                let expected = (record.version, record.state);
                let key = &record.key;
                violations.push(format!(
                    "{label}: reports {cursor:?} of epoch {epoch}, but {key:?} is {stored:?}, should be {expected:?}"
                ));
            }
        }
        violations
    }
}

/// The position in a source that a node reports in its hello.
fn reported_position(hello: &Message, source: SourceId) -> Option<ReplicaPosition> {
    let Message::Hello { positions, .. } = hello else { return None };
    positions.iter().find(|position| position.source == source).cloned()
}

fn live_records(store: &VersionedStore) -> Records {
    by_key(store.live_records())
}

fn by_key<'a>(records: impl Iterator<Item = &'a Record>) -> Records {
    records.map(|record| (record.key.clone(), record.clone())).collect()
}

/// Adds a description of each record that differs.
fn compare(label: &str, expected: &Records, actual: &Records, differences: &mut Vec<String>) {
    let keys: BTreeSet<&RecordKey> = expected.keys().chain(actual.keys()).collect();
    for key in keys {
        let (expected, actual) = (expected.get(key), actual.get(key));
        if expected != actual {
            let summary = |record: Option<&Record>| {
                record.map(|record| (record.version, record.state, record.body.len()))
            };
            let (expected, actual) = (summary(expected), summary(actual));
            differences.push(format!("{label}: {key:?} is {actual:?}, should be {expected:?}"));
        }
    }
}
