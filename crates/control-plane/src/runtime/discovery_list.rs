//! The list of backends that an agent serves over the discovery protocol, with a log of changes that is
//! limited in size.

use crate::codec::{BodyError, decode_backend_body};
use crate::record::{Backend, Record, RecordKey, RecordKind, RecordState};
use crate::replica::AppliedRecord;
use serde::Serialize;
use std::collections::BTreeMap;

/// Maximum number of removed entries that are retained to report them as changes. A request for changes from
/// before the last dropped one is answered with the complete list.
pub const MAX_REMOVED_ENTRIES: usize = 8_192;

/// State of a backend in the discovery protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// In service.
    Active,
    /// Finishes its requests in flight and accepts no new ones.
    Leaving,
    /// Removed.
    Left,
}

/// A backend in the discovery protocol.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Member {
    /// Identifies the backend: its name, preceded by the service if the agent has several services.
    pub id: String,
    /// Address on which the backend listens, as `ip:port`.
    #[serde(rename = "host_port")]
    pub address: String,
    /// Name of the zone.
    #[serde(rename = "locality")]
    pub zone: String,
    /// Machine kind.
    #[serde(rename = "flavor")]
    pub machine_kind: String,
    /// Number of the cell.
    pub cell: u16,
    /// Whether the backend is in service, draining or removed.
    pub phase: Phase,
    /// Capacity relative to other backends.
    #[serde(rename = "size")]
    pub capacity: f64,
    /// When the backend last started, Unix time in milliseconds; 0: long ago.
    pub up_since_ms: u64,
}

impl Member {
    fn new(id: String, backend: Backend, phase: Phase) -> Self {
        let Backend { address, zone, machine_kind, cell, capacity, up_since_ms } = backend;
        Self { id, address: address.to_string(), zone, machine_kind, cell, phase, capacity, up_since_ms }
    }
}

/// A response of the discovery protocol.
#[derive(Debug, PartialEq, Serialize)]
pub struct DiscoveryResponse<'a> {
    /// Revision of the list as of this response.
    pub revision: u64,
    /// Whether `members` are all backends, instead of those that changed.
    pub complete: bool,
    /// The backends; removed ones only among changes.
    pub members: Vec<&'a Member>,
}

/// A backend with the revision of its last change.
#[derive(Debug)]
struct Entry {
    revision: u64,
    member: Member,
}

/// The list of backends, removed ones included for a while.
#[derive(Debug)]
pub struct DiscoveryList {
    /// With a single service, ids are names. With several, ids include the service, since names are unique
    /// only within a service.
    has_single_service: bool,
    revision: u64,
    /// Changes after this revision are in the log.
    log_floor: u64,
    entries: BTreeMap<RecordKey, Entry>,
    /// All entries by the revision of their last change.
    log: BTreeMap<u64, RecordKey>,
    /// The removed entries, also by the revision of their last change.
    removed: BTreeMap<u64, RecordKey>,
}

impl DiscoveryList {
    /// Creates an empty list. Revisions are counted from `start`, the Unix time in milliseconds. Revisions of
    /// a former process are therefore lower, and are answered with the complete list (a process would have to
    /// change a thousand entries per second to overtake the clock).
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

    /// The revision, which increases by 1 with each change.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Applies a record; records of other kinds than backends are ignored. Returns whether the list changed.
    ///
    /// # Errors
    /// The body is not a valid backend. An existing entry remains, in [`Phase::Leaving`] if the record is
    /// draining.
    pub fn apply(&mut self, applied: &AppliedRecord) -> Result<bool, BodyError> {
        let Record { key, state, body, .. } = &applied.record;
        if key.kind != RecordKind::Backend {
            return Ok(false);
        }
        let current = self.entries.get(key).map(|entry| &entry.member);
        let phase = match state {
            RecordState::Active => Phase::Active,
            RecordState::Draining => Phase::Leaving,
            RecordState::Gone => Phase::Left,
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

    fn id(&self, key: &RecordKey) -> String {
        if self.has_single_service { key.name.to_string() } else { format!("{}/{}", key.service, key.name) }
    }

    fn insert(&mut self, key: RecordKey, member: Member) {
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

    /// Whether a watch after this revision has to be answered: the list has another revision.
    #[must_use]
    pub fn differs_from(&self, after: u64) -> bool {
        after != self.revision
    }

    /// The complete list, without removed backends.
    #[must_use]
    pub fn snapshot(&self) -> DiscoveryResponse<'_> {
        let members = self.entries.values().map(|entry| &entry.member);
        let members = members.filter(|member| member.phase != Phase::Left).collect();
        DiscoveryResponse { revision: self.revision, complete: true, members }
    }

    /// The changes after a revision, or the complete list if the log does not reach back to it.
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
