//! The list of backends that an agent serves in the words of discovery, with a bounded log of its changes.

use crate::codec::{BodyError, read_backend};
use crate::record::{Backend, Key, Kind, Record, State};
use crate::replica::Applied;
use serde::Serialize;
use std::collections::BTreeMap;

/// Entries that have left and are still named among changes. Whoever asks for changes from before the oldest of them that
/// was dropped gets the whole list.
pub const MAX_LEFT: usize = 8_192;

/// What discovery says of a backend's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// In force.
    Active,
    /// Finishes what it has, wants nothing new.
    Leaving,
    /// Gone.
    Left,
}

/// An entry in the words of discovery.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Member {
    /// Its id, the same at every agent with as many services.
    pub id: String,
    /// Where it listens.
    pub host_port: String,
    /// Its zone.
    pub locality: String,
    /// Its kind of machine.
    pub flavor: String,
    /// Its cell.
    pub cell: u16,
    /// Its state.
    pub phase: Phase,
    /// Its size beside others.
    pub size: f64,
    /// When it last started, Unix time in milliseconds; 0 for long ago.
    pub up_since_ms: u64,
}

impl Member {
    fn new(id: String, backend: Backend, phase: Phase) -> Self {
        let Backend { address, locality, flavor, cell, size, up_since_ms } = backend;
        Self { id, host_port: address.to_string(), locality, flavor, cell, phase, size, up_since_ms }
    }
}

/// An answer of discovery.
#[derive(Debug, PartialEq, Serialize)]
pub struct Answer<'a> {
    /// The list's version.
    pub revision: u64,
    /// Whether these are all entries, and not those that changed.
    pub complete: bool,
    /// The entries.
    pub members: Vec<&'a Member>,
}

/// The list.
#[derive(Debug)]
pub struct List {
    /// Ids are names where there is one service, and have the service before the name where there are more: names are
    /// unlike within a service only.
    single: bool,
    revision: u64,
    /// Changes after this one are known.
    floor: u64,
    entries: BTreeMap<Key, (u64, Member)>,
    /// By the last change of each entry.
    log: BTreeMap<u64, Key>,
    /// Those that have left, by the same.
    left: BTreeMap<u64, Key>,
}

impl List {
    /// An empty list. Versions count from `start`: Unix time in milliseconds, so that the versions of an agent's earlier
    /// life lie below and are answered with the whole list. (It would have to change a thousand entries a second over
    /// long to overtake the clock.)
    #[must_use]
    pub fn new(single: bool, start: u64) -> Self {
        Self {
            single,
            revision: start,
            floor: start,
            entries: BTreeMap::new(),
            log: BTreeMap::new(),
            left: BTreeMap::new(),
        }
    }

    /// The version.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Takes what came into force. Whatever is no backend is passed over. Gives whether the list changed.
    ///
    /// # Errors
    /// A body that is no backend's. An entry that was there stays, and leaves where the record says that it drains.
    pub fn apply(&mut self, applied: &Applied) -> Result<bool, BodyError> {
        let Record { key, state, body, .. } = &applied.record;
        if key.kind != Kind::Backend {
            return Ok(false);
        }
        let held = self.entries.get(key).map(|(_, member)| member);
        let phase = match state {
            State::Active => Phase::Active,
            State::Draining => Phase::Leaving,
            State::Gone => Phase::Left,
        };
        let (member, problem) = match (phase, held) {
            (Phase::Left, None) => return Ok(false),
            (Phase::Left, Some(held)) => (Member { phase, ..held.clone() }, None),
            (_, held) => match (read_backend(body), held) {
                (Ok(backend), _) => (Member::new(self.id(key), backend, phase), None),
                (Err(error), Some(held)) if phase == Phase::Leaving => {
                    (Member { phase, ..held.clone() }, Some(error))
                }
                (Err(error), _) => return Err(error),
            },
        };
        let changed = held != Some(&member);
        if changed {
            self.put(key.clone(), member);
        }
        problem.map_or(Ok(changed), Err)
    }

    fn id(&self, key: &Key) -> String {
        if self.single { key.name.to_string() } else { format!("{}/{}", key.service, key.name) }
    }

    fn put(&mut self, key: Key, member: Member) {
        self.revision += 1;
        let left = member.phase == Phase::Left;
        if let Some((before, _)) = self.entries.insert(key.clone(), (self.revision, member)) {
            self.log.remove(&before);
            self.left.remove(&before);
        }
        self.log.insert(self.revision, key.clone());
        if left {
            self.left.insert(self.revision, key);
        }
        while self.left.len() > MAX_LEFT
            && let Some((revision, key)) = self.left.pop_first()
        {
            self.log.remove(&revision);
            self.entries.remove(&key);
            self.floor = revision;
        }
    }

    /// Whether a watch after this version has anything to say.
    #[must_use]
    pub fn is_newer(&self, after: u64) -> bool {
        after != self.revision
    }

    /// The whole list.
    #[must_use]
    pub fn whole(&self) -> Answer<'_> {
        let members = self.entries.values().map(|(_, member)| member);
        let members = members.filter(|member| member.phase != Phase::Left).collect();
        Answer { revision: self.revision, complete: true, members }
    }

    /// What changed after a version; the whole list where that is not known.
    #[must_use]
    pub fn after(&self, after: u64) -> Answer<'_> {
        if after < self.floor || after > self.revision {
            return self.whole();
        }
        let changed = self.log.range(after + 1..).filter_map(|(_, key)| self.entries.get(key));
        let members = changed.map(|(_, member)| member).collect();
        Answer { revision: self.revision, complete: false, members }
    }
}
