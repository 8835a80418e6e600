//! Invariant checker for the sequence of records that a subscriber reports as applied. It does not use the
//! subscriber's own state.

use control_plane::message::Message;
use control_plane::record::{Epoch, Record, RecordKey, RecordState, Scope, Version};
use control_plane::replica::AppliedRecord;
use std::collections::BTreeMap;

/// The epoch of a message; 0 if the message has none.
pub fn epoch(message: &Message) -> Epoch {
    match message {
        Message::Batch { epoch, .. }
        | Message::DigestSummary { epoch, .. }
        | Message::ServiceSnapshot { epoch, .. } => *epoch,
        _ => 0,
    }
}

/// The last applied record of a key.
struct LastApplied {
    /// The epoch of the message, which may be later than that of the record's version.
    epoch: Epoch,
    version: Version,
}

/// Reconstructs a subscriber's records from the applied ones and checks their order.
pub struct AppliedRecordChecker {
    scope: Scope,
    live_records: BTreeMap<RecordKey, Record>,
    /// By key, including removed records.
    last_applied: BTreeMap<RecordKey, LastApplied>,
    violations: Vec<String>,
}

impl AppliedRecordChecker {
    /// Creates a checker for a subscriber with this scope that has no records yet.
    pub fn new(scope: Scope) -> Self {
        Self { scope, live_records: BTreeMap::new(), last_applied: BTreeMap::new(), violations: Vec::new() }
    }

    /// The applied records that were not removed later.
    pub fn live_records(&self) -> &BTreeMap<RecordKey, Record> {
        &self.live_records
    }

    /// Descriptions of all violations so far.
    pub fn violations(&self) -> &[String] {
        &self.violations
    }

    /// Checks a record that was applied from a message of `epoch`.
    pub fn check(&mut self, epoch: Epoch, applied: AppliedRecord) {
        let AppliedRecord { record, previous } = applied;
        let key = record.key.clone();
        if !self.scope.contains(key.service) {
            self.violations.push(format!("{key:?} is out of scope"));
        }
        self.check_order(epoch, &record);
        if self.live_records.get(&key) == Some(&record) {
            self.violations.push(format!("{key:?}: {:?} was applied twice", record.version));
        }
        let replaced = if record.state == RecordState::Gone {
            self.live_records.remove(&key)
        } else {
            self.live_records.insert(key.clone(), record)
        };
        if replaced != previous {
            self.violations
                .push(format!("{key:?}: reported as replacing {previous:?}, but replaced {replaced:?}"));
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
        // The same version may be applied twice, if it replaces a damaged record.
        if epoch == last.epoch && record.version < last.version {
            let (state, version) = (record.state, record.version);
            self.violations
                .push(format!("{key:?}: {state:?} {version:?} replaced the newer {:?}", last.version));
        }
    }
}
