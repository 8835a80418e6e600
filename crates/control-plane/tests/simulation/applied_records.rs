//! Checks the sequence of records that a subscriber reports as applied, independently of the subscriber's own state.

use control_plane::message::Message;
use control_plane::record::{Epoch, Key, Record, Scope, State, Version};
use control_plane::replica::AppliedRecord;
use std::collections::BTreeMap;

/// The epoch of a message; 0 of one without.
pub fn epoch(message: &Message) -> Epoch {
    match message {
        Message::Batch { epoch, .. }
        | Message::DigestSummary { epoch, .. }
        | Message::ServiceSnapshot { epoch, .. } => *epoch,
        _ => 0,
    }
}

/// When a key was last applied.
struct LastApplied {
    /// The epoch of the message.
    epoch: Epoch,
    version: Version,
}

pub struct AppliedRecordChecker {
    scope: Scope,
    active_records: BTreeMap<Key, Record>,
    /// By key, removed ones included.
    last_applied: BTreeMap<Key, LastApplied>,
    violations: Vec<String>,
}

impl AppliedRecordChecker {
    pub fn new(scope: Scope) -> Self {
        Self { scope, active_records: BTreeMap::new(), last_applied: BTreeMap::new(), violations: Vec::new() }
    }

    /// The records that are not removed.
    pub fn active_records(&self) -> &BTreeMap<Key, Record> {
        &self.active_records
    }

    pub fn violations(&self) -> &[String] {
        &self.violations
    }

    /// Checks a record that was applied from a message of this epoch.
    pub fn check(&mut self, epoch: Epoch, applied: AppliedRecord) {
        let AppliedRecord { record, previous } = applied;
        let key = record.key.clone();
        if !self.scope.contains(key.service) {
            self.violations.push(format!("{key:?} is out of scope"));
        }
        self.check_order(epoch, &record);
        if self.active_records.get(&key) == Some(&record) {
            self.violations.push(format!("{key:?}: {:?} came into force twice", record.version));
        }
        let replaced = if record.state == State::Gone {
            self.active_records.remove(&key)
        } else {
            self.active_records.insert(key.clone(), record)
        };
        if replaced != previous {
            self.violations.push(format!("{key:?}: reported to replace {previous:?}, replaced {replaced:?}"));
        }
    }

    /// Checks that a record is not older than the last one of its key.
    fn check_order(&mut self, epoch: Epoch, record: &Record) {
        let key = &record.key;
        let applied = LastApplied { epoch, version: record.version };
        let Some(last) = self.last_applied.insert(key.clone(), applied) else { return };
        if epoch < last.epoch {
            self.violations.push(format!("{key:?}: applied from epoch {epoch} after epoch {}", last.epoch));
        }
        // The same version may be applied twice: in place of a damaged record.
        if epoch == last.epoch && record.version < last.version {
            let (state, version) = (record.state, record.version);
            self.violations.push(format!("{key:?}: {state:?} {version:?} came over {:?}", last.version));
        }
    }
}
