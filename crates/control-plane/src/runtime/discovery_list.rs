//! The list of backends that an agent serves over the discovery protocol, with a bounded log of its changes.

use crate::codec::{BodyError, decode_backend_body};
use crate::record::{Backend, Key, Kind, Record, State};
use crate::replica::AppliedRecord;
use serde::Serialize;
use std::collections::BTreeMap;

/// Removed entries that are still listed among changes. A request for changes from before the oldest dropped
/// one gets the complete list.
pub const MAX_REMOVED_ENTRIES: usize = 8_192;

/// The state of a backend in the discovery protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// In service.
    Active,
    /// Finishes its open work and accepts nothing new.
    Leaving,
    /// Removed.
    Left,
}

/// An entry in the discovery protocol.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Member {
    /// Its id, the same at every agent with as many services.
    pub id: String,
    /// Where it listens.
    #[serde(rename = "host_port")]
    pub address: String,
    /// Zone name.
    pub locality: String,
    /// Machine type.
    pub flavor: String,
    /// Cell number.
    pub cell: u16,
    /// Its state.
    pub phase: Phase,
    /// Capacity relative to other backends.
    pub size: f64,
    /// When it last started, Unix time in milliseconds; 0: long ago.
    pub up_since_ms: u64,
}

impl Member {
    fn new(id: String, backend: Backend, phase: Phase) -> Self {
        let Backend { address, locality, flavor, cell, size, up_since_ms } = backend;
        Self { id, address: address.to_string(), locality, flavor, cell, phase, size, up_since_ms }
    }
}

/// A response of the discovery protocol.
#[derive(Debug, PartialEq, Serialize)]
pub struct DiscoveryResponse<'a> {
    /// The list's revision.
    pub revision: u64,
    /// Whether these are all entries, instead of those that changed.
    pub complete: bool,
    /// The entries.
    pub members: Vec<&'a Member>,
}

/// An entry with the revision of its last change.
#[derive(Debug)]
struct Entry {
    revision: u64,
    member: Member,
}

/// The list.
#[derive(Debug)]
pub struct DiscoveryList {
    /// With one service ids are names; with several the service is part of the id, since names are only
    /// unique within one.
    has_single_service: bool,
    revision: u64,
    /// Changes after this revision are known.
    log_floor: u64,
    entries: BTreeMap<Key, Entry>,
    /// All entries by the revision of their last change.
    log: BTreeMap<u64, Key>,
    /// The removed entries, likewise.
    removed: BTreeMap<u64, Key>,
}

impl DiscoveryList {
    /// An empty list. Revisions count from `start`: Unix time in milliseconds, so that the revisions of a
    /// former process are lower and are answered with the complete list (it would have to change a thousand
    /// entries a second to overtake the clock).
    #[must_use]
    pub fn new(has_single_service: bool, start: u64) -> Self {
        Self {
            has_single_service,
            revision: start,
            log_floor: start,
            entries: BTreeMap::new(),
            log: BTreeMap::new(),
            removed: BTreeMap::new(),
        }
    }

    /// The revision.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Applies a record; kinds other than backends are ignored. Returns whether the list changed.
    ///
    /// # Errors
    /// The body is not a valid backend. An existing entry stays, in [`Phase::Leaving`] if the record is
    /// draining.
    pub fn apply(&mut self, applied: &AppliedRecord) -> Result<bool, BodyError> {
        let Record { key, state, body, .. } = &applied.record;
        if key.kind != Kind::Backend {
            return Ok(false);
        }
        let current = self.entries.get(key).map(|entry| &entry.member);
        let phase = match state {
            State::Active => Phase::Active,
            State::Draining => Phase::Leaving,
            State::Gone => Phase::Left,
        };
        let (member, error) = match (phase, current) {
            (Phase::Left, None) => return Ok(false),
            (Phase::Left, Some(current)) => (Member { phase, ..current.clone() }, None),
            (_, current) => match (decode_backend_body(body), current) {
                (Ok(backend), _) => (Member::new(self.id(key), backend, phase), None),
                (Err(error), Some(current)) if phase == Phase::Leaving => {
                    (Member { phase, ..current.clone() }, Some(error))
                }
                (Err(error), _) => return Err(error),
            },
        };
        let changed = current != Some(&member);
        if changed {
            self.insert(key.clone(), member);
        }
        error.map_or(Ok(changed), Err)
    }

    fn id(&self, key: &Key) -> String {
        if self.has_single_service { key.name.to_string() } else { format!("{}/{}", key.service, key.name) }
    }

    fn insert(&mut self, key: Key, member: Member) {
        self.revision += 1;
        let is_removed = member.phase == Phase::Left;
        let entry = Entry { revision: self.revision, member };
        if let Some(previous) = self.entries.insert(key.clone(), entry) {
            self.log.remove(&previous.revision);
            self.removed.remove(&previous.revision);
        }
        self.log.insert(self.revision, key.clone());
        if is_removed {
            self.removed.insert(self.revision, key);
        }
        self.drop_oldest_removed();
    }

    fn drop_oldest_removed(&mut self) {
        while self.removed.len() > MAX_REMOVED_ENTRIES
            && let Some((revision, key)) = self.removed.pop_first()
        {
            self.log.remove(&revision);
            self.entries.remove(&key);
            self.log_floor = revision;
        }
    }

    /// Whether a watch after this revision has a response.
    #[must_use]
    pub fn is_newer(&self, after: u64) -> bool {
        after != self.revision
    }

    /// The complete list.
    #[must_use]
    pub fn snapshot(&self) -> DiscoveryResponse<'_> {
        let members = self.entries.values().map(|entry| &entry.member);
        let members = members.filter(|member| member.phase != Phase::Left).collect();
        DiscoveryResponse { revision: self.revision, complete: true, members }
    }

    /// The changes after a revision; the complete list where they are not known.
    #[must_use]
    pub fn changes_after(&self, after: u64) -> DiscoveryResponse<'_> {
        if after < self.log_floor || after > self.revision {
            return self.snapshot();
        }
        let changed = self.log.range(after + 1..).filter_map(|(_, key)| self.entries.get(key));
        let members = changed.map(|entry| &entry.member).collect();
        DiscoveryResponse { revision: self.revision, complete: false, members }
    }
}
