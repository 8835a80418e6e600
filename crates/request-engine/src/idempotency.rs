//! Who answers for a request: its correlation id, and for keyed classes its idempotency key, belong to one claim at a
//! time, whichever front or caller comes first. No I/O and no clock.
//!
//! Rule 2 across fronts: two callers that ask about one submit get one attempt between them, and one that asks again
//! gets the answer that was given. A final answer is remembered for as long as its class's memory lasts. The table is
//! bounded; at the bound a newcomer is refused, and nothing is forgotten before its time.

use balancer::api::Micros;
use rustc_hash::FxHashMap;
use slab::Slab;
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::rc::Rc;
use thiserror::Error;

/// The longest id or key, in bytes: what a header of this protocol holds, with room to spare.
pub const MAX_NAME_BYTES: usize = 256;

/// A claim that is held. A place in the table is used again; the serial number tells its holders apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClaimId {
    slot: usize,
    serial: u64,
}

/// What becomes of a question about a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimStatus<A> {
    /// Nobody holds it: it is the asker's, who owes [`IdempotencyRegistry::complete`].
    New(ClaimId),
    /// It is in flight.
    InFlight {
        /// Who holds it.
        owner: ClaimId,
        /// Since when.
        since: Micros,
        /// Whether the id is another one and only the key is the same.
        by_key: bool,
    },
    /// It has its final answer.
    Completed(A),
}

/// Why a question was not taken. Nothing has run for it.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ClaimError {
    /// The table is full of claims that must not be forgotten yet.
    #[error("{0} requests are in flight or remembered, and no more can be")]
    Full(usize),
    /// An id or key that is empty or too long.
    #[error("an id or key has 1 to {MAX_NAME_BYTES} bytes, not {0}")]
    InvalidName(usize),
    /// The id is known with another key, or with none.
    #[error("this id was asked before with another key")]
    KeyMismatch,
}

/// How a claim ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionEffect {
    /// Nothing of it has run: another request may use the key at once.
    None,
    /// It has run or may have: the key stays with this answer.
    Possible,
}

/// Which kind of front a claim's final answer came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrontEnd {
    /// This process carried the attempts.
    Proxied,
    /// A caller outside made them.
    External,
}

/// A final answer as it is remembered, without its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalStatus {
    /// A backend's answer reached whoever asked.
    Served,
    /// Turned away: nothing has run, and trying again from this time on is harmless.
    Rejected(Micros),
    /// Failed, with no promise of its effect.
    Failed,
    /// Whoever held it has vanished: it may have run.
    Unknown,
}

/// What is remembered of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CompletedRequest {
    /// Who had it.
    pub front_end: FrontEnd,
    /// How it ended.
    pub status: FinalStatus,
}

/// The claims that all fronts of a process share. They live on the engine's thread.
pub type SharedRegistry = Rc<RefCell<IdempotencyRegistry<CompletedRequest>>>;

struct Entry<A> {
    serial: u64,
    since: Micros,
    id: Box<[u8]>,
    key: Option<(u8, Box<[u8]>)>,
    /// The final answer and when it is forgotten.
    completed: Option<(A, Micros)>,
}

/// Claims by id, and by class and key.
pub struct IdempotencyRegistry<A> {
    capacity: usize,
    entries: Slab<Entry<A>>,
    by_id: FxHashMap<Box<[u8]>, usize>,
    by_key: FxHashMap<(u8, Box<[u8]>), usize>,
    /// What is forgotten when.
    ends: BinaryHeap<Reverse<(Micros, ClaimId)>>,
    next_serial: u64,
    latest: Micros,
}

impl<A: Clone> IdempotencyRegistry<A> {
    /// An empty table for so many claims, those that are remembered too.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            entries: Slab::new(),
            by_id: FxHashMap::default(),
            by_key: FxHashMap::default(),
            ends: BinaryHeap::new(),
            next_serial: 1,
            latest: 0,
        }
    }

    /// Asks for a request by its id and, where its class is keyed, its key within that class.
    ///
    /// # Errors
    /// Where the table is full, a name makes no sense, or the id is known with another key.
    pub fn claim(
        &mut self,
        now: Micros,
        id: &[u8],
        class: u8,
        key: Option<&[u8]>,
    ) -> Result<ClaimStatus<A>, ClaimError> {
        self.forget(now);
        for name in [Some(id), key].into_iter().flatten() {
            if name.is_empty() || name.len() > MAX_NAME_BYTES {
                return Err(ClaimError::InvalidName(name.len()));
            }
        }
        let key: Option<(u8, Box<[u8]>)> = key.map(|key| (class, key.into()));
        if let Some(&slot) = self.by_id.get(id) {
            if self.entries[slot].key != key {
                return Err(ClaimError::KeyMismatch);
            }
            return Ok(self.known(slot, false));
        }
        if let Some(&slot) = key.as_ref().and_then(|key| self.by_key.get(key)) {
            return Ok(self.known(slot, true));
        }
        if self.entries.len() >= self.capacity {
            return Err(ClaimError::Full(self.capacity));
        }
        let serial = self.next_serial;
        self.next_serial += 1;
        let id: Box<[u8]> = id.into();
        let slot = self.entries.insert(Entry {
            serial,
            since: self.latest,
            id: id.clone(),
            key: key.clone(),
            completed: None,
        });
        self.by_id.insert(id, slot);
        if let Some(key) = key {
            self.by_key.insert(key, slot);
        }
        Ok(ClaimStatus::New(ClaimId { slot, serial }))
    }

    fn known(&self, slot: usize, by_key: bool) -> ClaimStatus<A> {
        let entry = &self.entries[slot];
        if let Some((response, _)) = &entry.completed {
            ClaimStatus::Completed(response.clone())
        } else {
            let owner = ClaimId { slot, serial: entry.serial };
            ClaimStatus::InFlight { owner, since: entry.since, by_key }
        }
    }

    /// The final answer of a claim, remembered for so long. False where it had one, or is not known: then nothing has
    /// changed.
    pub fn complete(
        &mut self,
        now: Micros,
        claim: ClaimId,
        response: A,
        effect: ExecutionEffect,
        retention: Micros,
    ) -> bool {
        self.forget(now);
        let until = self.latest.saturating_add(retention);
        let Some(entry) = self.entries.get_mut(claim.slot).filter(|e| e.serial == claim.serial) else {
            return false;
        };
        if entry.completed.is_some() {
            return false;
        }
        entry.completed = Some((response, until));
        self.ends.push(Reverse((until, claim)));
        if effect == ExecutionEffect::None
            && let Some(key) = &entry.key
        {
            self.by_key.remove(key);
        }
        true
    }

    /// Forgets what is past its time. Time does not go back, whatever a caller's clock does.
    fn forget(&mut self, now: Micros) {
        self.latest = self.latest.max(now);
        while self.ends.peek().is_some_and(|Reverse((until, _))| *until <= self.latest) {
            let Some(Reverse((_, claim))) = self.ends.pop() else { return };
            let entry = self.entries.remove(claim.slot);
            debug_assert_eq!(entry.serial, claim.serial, "a claim ends once");
            self.by_id.remove(&entry.id);
            // After a claim without effect the key may be another's by now.
            if let Some(key) = entry.key
                && self.by_key.get(&key) == Some(&claim.slot)
            {
                self.by_key.remove(&key);
            }
        }
    }

    /// Claims that are in flight or remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
