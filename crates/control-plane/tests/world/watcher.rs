//! Judges what a subscriber says came into force, with books of its own.

use control_plane::message::Message;
use control_plane::record::{Epoch, Key, Record, Scope, State, Version};
use control_plane::replica::AppliedRecord;
use std::collections::BTreeMap;

/// The life of the source that a message speaks of.
pub fn epoch(message: &Message) -> Epoch {
    match message {
        Message::Batch { epoch, .. }
        | Message::DigestSummary { epoch, .. }
        | Message::ServiceSnapshot { epoch, .. } => *epoch,
        _ => 0,
    }
}

pub struct Watcher {
    scope: Scope,
    /// What stands.
    standing: BTreeMap<Key, Record>,
    /// The last word of each key, gone ones as well, and in which life of the source it was taken.
    last: BTreeMap<Key, (Epoch, Version)>,
    wrongs: Vec<String>,
}

impl Watcher {
    pub fn new(scope: Scope) -> Self {
        Self { scope, standing: BTreeMap::new(), last: BTreeMap::new(), wrongs: Vec::new() }
    }

    pub fn standing(&self) -> &BTreeMap<Key, Record> {
        &self.standing
    }

    pub fn wrongs(&self) -> &[String] {
        &self.wrongs
    }

    pub fn see(&mut self, epoch: Epoch, applied: AppliedRecord) {
        let AppliedRecord { record, previous } = applied;
        let key = record.key.clone();
        if !self.scope.contains(key.service) {
            self.wrongs.push(format!("{key:?} is out of scope"));
        }
        if let Some((then, version)) = self.last.insert(key.clone(), (epoch, record.version)) {
            // Drained, gone or changed: nothing older may come after it in one life of the source.
            if epoch < then {
                self.wrongs.push(format!("{key:?}: life {epoch} of the source spoke after life {then}"));
            }
            // The same one may: in place of a damaged one.
            if epoch == then && record.version < version {
                self.wrongs
                    .push(format!("{key:?}: {:?} {:?} came over {version:?}", record.state, record.version));
            }
        }
        if self.standing.get(&key) == Some(&record) {
            self.wrongs.push(format!("{key:?}: {:?} came into force twice", record.version));
        }
        let stood = if record.state == State::Gone {
            self.standing.remove(&key)
        } else {
            self.standing.insert(key.clone(), record)
        };
        if stood != previous {
            self.wrongs
                .push(format!("{key:?}: the previous record is reported as {previous:?}, was {stood:?}"));
        }
    }
}
