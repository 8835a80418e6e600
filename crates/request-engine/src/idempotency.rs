//! Deduplication of requests: a correlation id, and for keyed classes an idempotency key, belongs to one
//! claim at a time, whichever front end or client claims it first. No I/O and no clock.
//!
//! This is rule 2 (no duplicate execution) across front ends: if two clients submit the same request, it is
//! executed once, and a client that submits it later gets the recorded final outcome. Outcomes are retained
//! for the time that their class specifies. The registry is bounded: at its capacity new claims are rejected,
//! and no claim is removed before its retention time is over.

use crate::class_registry::ClassName;
use balancer::api::Micros;
use rustc_hash::FxHashMap;
use slab::Slab;
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::rc::Rc;
use thiserror::Error;

/// Maximum length of an id or key, in bytes. Header values of the protocol are shorter.
pub const MAX_ID_BYTES: usize = 256;

/// Identifies a claim. Slots are reused, serial numbers are not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClaimId {
    slot: usize,
    serial: u64,
}

/// The result of claiming a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimStatus<O> {
    /// The request was not claimed before. The claimant has to execute it and call
    /// [`IdempotencyRegistry::complete`].
    New(ClaimId),
    /// An earlier claim of the request is in flight.
    InFlight {
        /// The earlier claim.
        owner: ClaimId,
        /// When the earlier claim was made, microseconds.
        since: Micros,
        /// Whether the ids differ and only the keys are equal.
        by_key: bool,
    },
    /// The request has this final outcome.
    Completed(O),
}

/// Why a claim was rejected. Nothing was executed for it.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ClaimError {
    /// All claims in the registry are in flight or still retained; contains the registry's capacity.
    #[error("{0} requests are in flight or remembered, and no more can be")]
    Full(usize),
    /// An id or key is empty or too long; contains its length in bytes.
    #[error("an id or key has 1 to {MAX_ID_BYTES} bytes, not {0}")]
    InvalidLength(usize),
    /// The id was claimed with another key, or exactly one of the two claims has a key.
    #[error("this id was asked before with another key")]
    KeyMismatch,
}

/// Whether a claim's request may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionStatus {
    /// Nothing was executed: another request may use the key at once.
    NotExecuted,
    /// It was or may have been executed: the key retains this outcome.
    MayHaveExecuted,
}

/// The kind of front end that recorded a claim's final outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrontEnd {
    /// This process made the attempts.
    Proxied,
    /// An external client made them.
    External,
}

/// A final outcome as it is retained, without the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalStatus {
    /// The client received a backend's response.
    Served,
    /// Rejected without an execution; a retry is acceptable from this time on, microseconds.
    Rejected(Micros),
    /// Failed; it may have been executed.
    Failed,
    /// The client disconnected without a report; it may have been executed.
    Unknown,
}

/// The retained record of a completed claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CompletedRequest {
    /// The front end that recorded the final outcome.
    pub front_end: FrontEnd,
    /// The final outcome.
    pub status: FinalStatus,
}

/// The registry that all front ends of a process use together, on the engine's thread.
pub type SharedRegistry = Rc<RefCell<IdempotencyRegistry<CompletedRequest>>>;

/// An idempotency key within its class: equal keys of different classes are different keys. The class is named
/// and not indexed: a reload gives a changed class another index, but its keys remain the same keys.
#[derive(Clone, PartialEq, Eq, Hash)]
struct ClassKey {
    class: ClassName,
    key: Box<[u8]>,
}

struct Entry<O> {
    serial: u64,
    since: Micros,
    id: Box<[u8]>,
    key: Option<ClassKey>,
    /// `None` while the claim is in flight.
    outcome: Option<O>,
}

/// Claims by id, and by class and key, with final outcomes of type `O`.
pub struct IdempotencyRegistry<O> {
    capacity: usize,
    entries: Slab<Entry<O>>,
    by_id: FxHashMap<Box<[u8]>, usize>,
    by_key: FxHashMap<ClassKey, usize>,
    /// Completed claims by the end of their retention.
    expirations: BinaryHeap<Reverse<(Micros, ClaimId)>>,
    next_serial: u64,
    /// The latest time of any call. A call with an earlier time is handled as if it had this time.
    latest_time: Micros,
}

impl<O: Clone> IdempotencyRegistry<O> {
    /// Creates an empty registry for up to `capacity` claims, in flight and completed together.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            entries: Slab::new(),
            by_id: FxHashMap::default(),
            by_key: FxHashMap::default(),
            expirations: BinaryHeap::new(),
            next_serial: 1,
            latest_time: 0,
        }
    }

    /// Claims a request by its id and, if its class is keyed, by its key within that class.
    ///
    /// # Errors
    /// The registry is full, an id or key has an invalid length, or the id was claimed with another key.
    pub fn claim(
        &mut self,
        now: Micros,
        id: &[u8],
        class: &ClassName,
        key: Option<&[u8]>,
    ) -> Result<ClaimStatus<O>, ClaimError> {
        self.remove_expired(now);
        for name in [Some(id), key].into_iter().flatten() {
            if name.is_empty() || name.len() > MAX_ID_BYTES {
                return Err(ClaimError::InvalidLength(name.len()));
            }
        }
        let key = key.map(|key| ClassKey { class: Rc::clone(class), key: key.into() });
        if let Some(&slot) = self.by_id.get(id) {
            if self.entries[slot].key != key {
                return Err(ClaimError::KeyMismatch);
            }
            return Ok(self.status(slot, false));
        }
        if let Some(&slot) = key.as_ref().and_then(|key| self.by_key.get(key)) {
            return Ok(self.status(slot, true));
        }
        if self.entries.len() >= self.capacity {
            return Err(ClaimError::Full(self.capacity));
        }
        let serial = self.next_serial;
        self.next_serial += 1;
        let id: Box<[u8]> = id.into();
        let slot = self.entries.insert(Entry {
            serial,
            since: self.latest_time,
            id: id.clone(),
            key: key.clone(),
            outcome: None,
        });
        self.by_id.insert(id, slot);
        if let Some(key) = key {
            self.by_key.insert(key, slot);
        }
        Ok(ClaimStatus::New(ClaimId { slot, serial }))
    }

    fn status(&self, slot: usize, by_key: bool) -> ClaimStatus<O> {
        let entry = &self.entries[slot];
        if let Some(outcome) = &entry.outcome {
            ClaimStatus::Completed(outcome.clone())
        } else {
            let owner = ClaimId { slot, serial: entry.serial };
            ClaimStatus::InFlight { owner, since: entry.since, by_key }
        }
    }

    /// Records the final outcome of a claim and retains it for `retention` microseconds. Returns false, and
    /// changes nothing, if the claim already has an outcome or is not in the registry.
    pub fn complete(
        &mut self,
        now: Micros,
        claim: ClaimId,
        outcome: O,
        effect: ExecutionStatus,
        retention: Micros,
    ) -> bool {
        self.remove_expired(now);
        let expires_at = self.latest_time.saturating_add(retention);
        let entry = self.entries.get_mut(claim.slot).filter(|entry| entry.serial == claim.serial);
        let Some(entry) = entry else { return false };
        if entry.outcome.is_some() {
            return false;
        }
        entry.outcome = Some(outcome);
        self.expirations.push(Reverse((expires_at, claim)));
        if effect == ExecutionStatus::NotExecuted
            && let Some(key) = &entry.key
        {
            self.by_key.remove(key);
        }
        true
    }

    /// Advances the registry's time, which never decreases, and removes the claims whose retention is over.
    fn remove_expired(&mut self, now: Micros) {
        self.latest_time = self.latest_time.max(now);
        let is_expired =
            |Reverse((expires_at, _)): &Reverse<(Micros, ClaimId)>| *expires_at <= self.latest_time;
        while self.expirations.peek().is_some_and(is_expired) {
            let Some(Reverse((_, claim))) = self.expirations.pop() else { return };
            let entry = self.entries.remove(claim.slot);
            debug_assert_eq!(
                entry.serial, claim.serial,
                "the expiration belongs to an earlier claim in this slot"
            );
            self.by_id.remove(&entry.id);
            // A claim without an execution has released its key, which may belong to a later claim now.
            if let Some(key) = entry.key
                && self.by_key.get(&key) == Some(&claim.slot)
            {
                self.by_key.remove(&key);
            }
        }
    }

    /// Number of claims, in flight and completed together. Expired claims count until the next claim or
    /// completion.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no claims.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
