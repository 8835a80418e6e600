//! Deduplication of requests: a correlation id, and for keyed classes an idempotency key, belongs to one claim at a
//! time, whichever front end or client claims it first. No I/O and no clock.
//!
//! Rule 2 across front ends: two clients that submit the same request get one execution between them, and a client
//! that submits it again gets the recorded final answer. An answer is retained for its class's retention time. The
//! registry is bounded; at the bound a new claim is rejected, and no claim is removed before its time.

use balancer::api::Micros;
use rustc_hash::FxHashMap;
use slab::Slab;
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::rc::Rc;
use thiserror::Error;

/// The longest id or key, in bytes. Header values of the protocol are shorter.
pub const MAX_NAME_BYTES: usize = 256;

/// Identifies a claim. Slots are reused; the serial number is unique.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClaimId {
    slot: usize,
    serial: u64,
}

/// The result of claiming a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimStatus<A> {
    /// The claim is new and belongs to the claimant, who has to call [`IdempotencyRegistry::complete`].
    New(ClaimId),
    /// Another claim for it is in flight.
    InFlight {
        /// That claim.
        owner: ClaimId,
        /// When that claim was made, microseconds.
        since: Micros,
        /// Whether the ids differ and only the keys are equal.
        by_key: bool,
    },
    /// It has its final answer.
    Completed(A),
}

/// Why a claim was rejected. Nothing has run for it.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ClaimError {
    /// The registry is full of claims that must not be removed yet; holds its capacity.
    #[error("{0} requests are in flight or remembered, and no more can be")]
    Full(usize),
    /// An id or key is empty or too long; holds its length in bytes.
    #[error("an id or key has 1 to {MAX_NAME_BYTES} bytes, not {0}")]
    InvalidName(usize),
    /// The id is known with another key, or with none.
    #[error("this id was asked before with another key")]
    KeyMismatch,
}

/// What a claim's execution has done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionEffect {
    /// Nothing has run: another request may use the key at once.
    None,
    /// It has run or may have run: the key keeps this answer.
    Possible,
}

/// The kind of front end that a claim's final answer came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrontEnd {
    /// This process made the attempts.
    Proxied,
    /// An external client made them.
    External,
}

/// A final answer as it is retained, without its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalStatus {
    /// A backend's answer reached the client.
    Served,
    /// Rejected: nothing has run, and a retry is harmless from this time on, microseconds.
    Rejected(Micros),
    /// Failed; it may have run.
    Failed,
    /// Its client disconnected without a report; it may have run.
    Unknown,
}

/// What is retained of a completed claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CompletedRequest {
    /// Where its final answer came from.
    pub front_end: FrontEnd,
    /// How it ended.
    pub status: FinalStatus,
}

/// The registry that all front ends of a process share, on the engine's thread.
pub type SharedRegistry = Rc<RefCell<IdempotencyRegistry<CompletedRequest>>>;

/// An idempotency key and its class: the same key in two classes is two keys.
#[derive(Clone, PartialEq, Eq, Hash)]
struct ClassKey {
    class: u8,
    key: Box<[u8]>,
}

struct Entry<A> {
    serial: u64,
    since: Micros,
    id: Box<[u8]>,
    key: Option<ClassKey>,
    /// The final answer; `None` while the claim is in flight.
    answer: Option<A>,
}

/// Claims by id, and by class and key, with final answers of type `A`.
pub struct IdempotencyRegistry<A> {
    capacity: usize,
    entries: Slab<Entry<A>>,
    by_id: FxHashMap<Box<[u8]>, usize>,
    by_key: FxHashMap<ClassKey, usize>,
    /// Completed claims by the time at which they are removed.
    expirations: BinaryHeap<Reverse<(Micros, ClaimId)>>,
    next_serial: u64,
    /// The latest time of any call: an earlier one counts as this.
    latest_time: Micros,
}

impl<A: Clone> IdempotencyRegistry<A> {
    /// An empty registry for `capacity` claims, in flight and completed together.
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

    /// Claims a request by its id and, where its class is keyed, its key within that class.
    ///
    /// # Errors
    /// Where the registry is full, an id or key has an invalid length, or the id was claimed with another key.
    pub fn claim(
        &mut self,
        now: Micros,
        id: &[u8],
        class: u8,
        key: Option<&[u8]>,
    ) -> Result<ClaimStatus<A>, ClaimError> {
        self.remove_expired(now);
        for name in [Some(id), key].into_iter().flatten() {
            if name.is_empty() || name.len() > MAX_NAME_BYTES {
                return Err(ClaimError::InvalidName(name.len()));
            }
        }
        let key = key.map(|key| ClassKey { class, key: key.into() });
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
            answer: None,
        });
        self.by_id.insert(id, slot);
        if let Some(key) = key {
            self.by_key.insert(key, slot);
        }
        Ok(ClaimStatus::New(ClaimId { slot, serial }))
    }

    fn status(&self, slot: usize, by_key: bool) -> ClaimStatus<A> {
        let entry = &self.entries[slot];
        if let Some(answer) = &entry.answer {
            ClaimStatus::Completed(answer.clone())
        } else {
            let owner = ClaimId { slot, serial: entry.serial };
            ClaimStatus::InFlight { owner, since: entry.since, by_key }
        }
    }

    /// Records the final answer of a claim and retains it for `retention` microseconds. Returns false, and changes
    /// nothing, if the claim has an answer or is not in the registry.
    pub fn complete(
        &mut self,
        now: Micros,
        claim: ClaimId,
        answer: A,
        effect: ExecutionEffect,
        retention: Micros,
    ) -> bool {
        self.remove_expired(now);
        let expires_at = self.latest_time.saturating_add(retention);
        let entry = self.entries.get_mut(claim.slot).filter(|entry| entry.serial == claim.serial);
        let Some(entry) = entry else { return false };
        if entry.answer.is_some() {
            return false;
        }
        entry.answer = Some(answer);
        self.expirations.push(Reverse((expires_at, claim)));
        if effect == ExecutionEffect::None
            && let Some(key) = &entry.key
        {
            self.by_key.remove(key);
        }
        true
    }

    /// Removes the claims whose retention is over. Time is monotonic, whatever the caller's clock does.
    fn remove_expired(&mut self, now: Micros) {
        self.latest_time = self.latest_time.max(now);
        let is_expired =
            |Reverse((expires_at, _)): &Reverse<(Micros, ClaimId)>| *expires_at <= self.latest_time;
        while self.expirations.peek().is_some_and(is_expired) {
            let Some(Reverse((_, claim))) = self.expirations.pop() else { return };
            let entry = self.entries.remove(claim.slot);
            debug_assert_eq!(entry.serial, claim.serial, "a claim is removed once");
            self.by_id.remove(&entry.id);
            // After a claim without effect the key may belong to another claim.
            if let Some(key) = entry.key
                && self.by_key.get(&key) == Some(&claim.slot)
            {
                self.by_key.remove(&key);
            }
        }
    }

    /// Number of claims, in flight and completed together.
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
