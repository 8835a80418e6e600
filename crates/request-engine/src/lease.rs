//! Leases: the permission for an external client to make one attempt itself. No I/O and no clock.
//!
//! A lease is settled exactly once: by its holder's report or by its expiry. Its id is a fencing token: the
//! incarnation of the engine that granted it and a serial number that is unique in that incarnation. A report on a
//! settled lease, or on a lease of another engine, is classified, counted, and changes nothing.

use balancer::api::{BackendId, Micros, RequestId};
use rustc_hash::FxHashMap;
use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use thiserror::Error;

/// Settled leases whose end is retained, to distinguish a late report from a duplicate one. Reports on older leases
/// count as late.
const MAX_ENDED_LEASES: usize = 4_096;
/// Characters of a malformed id that its error quotes.
const MAX_QUOTED_CHARS: usize = 64;

/// The id of a lease. Written as two hexadecimal numbers with a dash between, 33 characters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LeaseId {
    /// The incarnation of the engine that granted it.
    pub incarnation: u64,
    /// Its number in that incarnation, from 1.
    pub serial: u64,
}

impl fmt::Display for LeaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{:016x}", self.incarnation, self.serial)
    }
}

/// The text is not a lease id.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("a lease id is 16 hexadecimal digits, a dash and 16 more, not `{0}`")]
pub struct ParseLeaseIdError(String);

impl FromStr for LeaseId {
    type Err = ParseLeaseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        // The integer's parser would accept a sign and any length.
        let is_number = |part: &str| part.len() == 16 && part.bytes().all(|byte| byte.is_ascii_hexdigit());
        let number = |part: &str| -> Result<u64, ParseIntError> { u64::from_str_radix(part, 16) };
        let error = || ParseLeaseIdError(text.chars().take(MAX_QUOTED_CHARS).collect());
        let (incarnation, serial) = text
            .split_once('-')
            .filter(|(incarnation, serial)| is_number(incarnation) && is_number(serial))
            .ok_or_else(error)?;
        Ok(Self {
            incarnation: number(incarnation).map_err(|_| error())?,
            serial: number(serial).map_err(|_| error())?,
        })
    }
}

/// Why an operation on a lease changed nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum LeaseError {
    /// Another engine granted it, or an earlier incarnation of this one.
    #[error("the lease is of another engine or of an earlier life")]
    Foreign,
    /// This engine has never granted it.
    #[error("no such lease was granted")]
    Unknown,
    /// It has expired.
    #[error("the lease had run out")]
    Late,
    /// Its outcome was reported before.
    #[error("the lease's outcome was reported before")]
    AlreadyReported,
    /// Only a session can be renewed, and only a lease that is not a session can become one.
    #[error("the lease is not in a state for this")]
    WrongState,
}

/// Totals of leases and of rejected operations on them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaseCounts {
    /// Leases granted.
    pub granted: u64,
    /// Settled by their holder's report.
    pub reported: u64,
    /// Settled by expiry: their attempts may have run.
    pub expired: u64,
    /// Revoked because their backend drains or is gone.
    pub revoked: u64,
    /// Reports after the expiry.
    pub late: u64,
    /// Reports after an earlier report.
    pub duplicate: u64,
    /// Reports on a lease of another engine or incarnation.
    pub foreign: u64,
    /// Reports on a lease that was never granted.
    pub unknown: u64,
    /// Operations that do not fit the lease's state.
    pub wrong_state: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LeaseEnd {
    Reported,
    Expired,
}

#[derive(Clone, Copy, Debug)]
struct EndedLease {
    serial: u64,
    end: LeaseEnd,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeaseStage {
    /// Its holder may make one attempt.
    Granted,
    /// Its attempt has become a session.
    Session,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Lease {
    pub(crate) request: RequestId,
    pub(crate) attempt: u16,
    pub(crate) backend: BackendId,
    /// Until when its holder may start its attempt.
    pub(crate) send_by: Micros,
    pub(crate) expires_at: Micros,
    pub(crate) stage: LeaseStage,
    pub(crate) is_revoked: bool,
}

/// The active leases, and how the latest settled ones ended.
#[derive(Debug)]
pub(crate) struct Leases {
    incarnation: u64,
    next_serial: u64,
    capacity: usize,
    active: FxHashMap<u64, Lease>,
    /// Ring buffer by serial number modulo its length; empty until the first lease.
    ended: Vec<EndedLease>,
    pub(crate) counts: LeaseCounts,
}

impl Leases {
    pub(crate) fn new(incarnation: u64, capacity: usize) -> Self {
        Self {
            incarnation,
            next_serial: 1,
            capacity,
            active: FxHashMap::default(),
            ended: Vec::new(),
            counts: LeaseCounts::default(),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.active.len()
    }

    pub(crate) fn has_capacity(&self) -> bool {
        self.active.len() < self.capacity
    }

    /// Grants a lease; `None` at the capacity.
    pub(crate) fn grant(&mut self, lease: Lease) -> Option<LeaseId> {
        if !self.has_capacity() {
            return None;
        }
        if self.ended.is_empty() {
            // A serial number of 0 is never granted.
            self.ended = vec![EndedLease { serial: 0, end: LeaseEnd::Expired }; MAX_ENDED_LEASES];
        }
        let serial = self.next_serial;
        self.next_serial += 1;
        let previous = self.active.insert(serial, lease);
        assert!(previous.is_none(), "the serial number {serial} was granted before");
        self.counts.granted += 1;
        Some(LeaseId { incarnation: self.incarnation, serial })
    }

    pub(crate) fn id(&self, serial: u64) -> LeaseId {
        LeaseId { incarnation: self.incarnation, serial }
    }

    pub(crate) fn is_active(&self, serial: u64) -> bool {
        self.active.contains_key(&serial)
    }

    /// Revokes a lease and returns its request; `None` if it is not active or already revoked.
    pub(crate) fn revoke(&mut self, serial: u64) -> Option<RequestId> {
        let lease = self.active.get_mut(&serial).filter(|lease| !lease.is_revoked)?;
        lease.is_revoked = true;
        self.counts.revoked += 1;
        Some(lease.request)
    }

    /// The lease with this id, if it is active at `now`; otherwise the cause, which is counted.
    pub(crate) fn find(&mut self, now: Micros, id: LeaseId) -> Result<&mut Lease, LeaseError> {
        if let Some(error) = self.find_error(now, id) {
            match error {
                LeaseError::Foreign => self.counts.foreign += 1,
                LeaseError::Unknown => self.counts.unknown += 1,
                LeaseError::Late => self.counts.late += 1,
                LeaseError::AlreadyReported => self.counts.duplicate += 1,
                LeaseError::WrongState => self.counts.wrong_state += 1,
            }
            return Err(error);
        }
        self.active.get_mut(&id.serial).ok_or(LeaseError::Unknown)
    }

    fn find_error(&self, now: Micros, id: LeaseId) -> Option<LeaseError> {
        if id.incarnation != self.incarnation {
            return Some(LeaseError::Foreign);
        }
        if id.serial == 0 || id.serial >= self.next_serial {
            return Some(LeaseError::Unknown);
        }
        if let Some(lease) = self.active.get(&id.serial) {
            // The lease expires by the clock, even if its timer has not been handled yet.
            return (now >= lease.expires_at).then_some(LeaseError::Late);
        }
        let ended = self.ended[id.serial as usize % MAX_ENDED_LEASES];
        let is_duplicate = ended.serial == id.serial && ended.end == LeaseEnd::Reported;
        Some(if is_duplicate { LeaseError::AlreadyReported } else { LeaseError::Late })
    }

    /// Settles a lease by its holder's report; `None` if it is not active.
    pub(crate) fn settle_reported(&mut self, serial: u64) -> Option<Lease> {
        let lease = self.settle(serial, LeaseEnd::Reported)?;
        self.counts.reported += 1;
        Some(lease)
    }

    /// Settles a lease that has expired; `None` if it is not active.
    ///
    /// # Errors
    /// If it was renewed: when it expires now.
    pub(crate) fn expire(&mut self, now: Micros, serial: u64) -> Result<Option<Lease>, Micros> {
        match self.active.get(&serial) {
            Some(lease) if lease.expires_at > now => Err(lease.expires_at),
            Some(_) => {
                self.counts.expired += 1;
                Ok(self.settle(serial, LeaseEnd::Expired))
            }
            None => Ok(None),
        }
    }

    fn settle(&mut self, serial: u64, end: LeaseEnd) -> Option<Lease> {
        let lease = self.active.remove(&serial)?;
        self.ended[serial as usize % MAX_ENDED_LEASES] = EndedLease { serial, end };
        Some(lease)
    }

    /// Serial numbers, ascending, of the leases on backends for which `is_leaving` holds and whose holders may not have
    /// started at `now`.
    pub(crate) fn unsent_on(&self, now: Micros, is_leaving: impl Fn(BackendId) -> bool) -> Vec<u64> {
        let may_be_unsent = |lease: &Lease| {
            lease.stage == LeaseStage::Granted && now < lease.send_by && is_leaving(lease.backend)
        };
        let unsent = self.active.iter().filter(|(_, lease)| may_be_unsent(lease));
        let mut serials: Vec<u64> = unsent.map(|(&serial, _)| serial).collect();
        serials.sort_unstable();
        serials
    }
}

#[cfg(test)]
mod tests;
