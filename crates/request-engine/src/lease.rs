//! Leases: each permits an external client, its holder, to make one attempt itself. No I/O and no clock.
//!
//! A lease is settled exactly once: by its holder's report or by its expiry. Its id is a fencing token that
//! consists of the incarnation of the granting engine and a serial number unique in that incarnation. A
//! report on a settled lease, or on a lease of another engine, is classified and counted and has no other
//! effect.

use crate::quoted_text::truncated;
use balancer::api::{BackendId, Micros, RequestId};
use rustc_hash::FxHashMap;
use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use thiserror::Error;

/// Number of settled leases whose settlement is retained, to distinguish a duplicate report from a late one.
/// Reports on older leases count as late.
const SETTLED_HISTORY_LENGTH: usize = 4_096;

/// The id of a lease. Its text has 33 characters: two hexadecimal numbers of 16 digits, separated by a dash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LeaseId {
    /// The incarnation of the engine that granted the lease.
    pub incarnation: u64,
    /// The serial number of the lease in that incarnation, from 1.
    pub serial: u64,
}

impl fmt::Display for LeaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{:016x}", self.incarnation, self.serial)
    }
}

/// The error of parsing a text that is not a lease id; contains the beginning of the text.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("a lease id is 16 hexadecimal digits, a dash and 16 more, not `{0}`")]
pub struct ParseLeaseIdError(String);

impl FromStr for LeaseId {
    type Err = ParseLeaseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        // `from_str_radix` alone would also accept a sign and other lengths.
        let is_number = |part: &str| part.len() == 16 && part.bytes().all(|byte| byte.is_ascii_hexdigit());
        let number = |part: &str| -> Result<u64, ParseIntError> { u64::from_str_radix(part, 16) };
        let error = || ParseLeaseIdError(truncated(text));
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

/// Why an operation on a lease was rejected without an effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum LeaseError {
    /// The lease was granted by another engine or by an earlier incarnation of this one.
    #[error("the lease is of another engine or of an earlier life")]
    OtherIncarnation,
    /// This engine has not granted such a lease.
    #[error("no such lease was granted")]
    Unknown,
    /// The lease has expired.
    #[error("the lease had run out")]
    Expired,
    /// The lease was settled by an earlier report.
    #[error("the lease's outcome was reported before")]
    AlreadyReported,
    /// The operation does not fit the stage of the lease: only a session can be renewed, and only a lease
    /// that is not a session can become one.
    #[error("the lease is not in a state for this")]
    WrongState,
}

/// Totals of leases and of rejected operations on them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaseCounts {
    /// Leases granted.
    pub granted: u64,
    /// Leases settled by a report of their holder.
    pub reported: u64,
    /// Leases settled by expiry. Their attempts may have run.
    pub expired: u64,
    /// Leases revoked because their backend was draining or removed, or because the balancer cancelled the
    /// attempt.
    pub revoked: u64,
    /// Operations rejected with [`LeaseError::Expired`].
    pub late: u64,
    /// Operations rejected with [`LeaseError::AlreadyReported`].
    pub duplicate: u64,
    /// Operations rejected with [`LeaseError::OtherIncarnation`].
    pub foreign: u64,
    /// Operations rejected with [`LeaseError::Unknown`].
    pub unknown: u64,
    /// Operations rejected with [`LeaseError::WrongState`].
    pub wrong_state: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Settlement {
    Reported,
    Expired,
}

#[derive(Clone, Copy, Debug)]
struct SettledLease {
    serial: u64,
    settlement: Settlement,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeaseStage {
    /// The holder may make one attempt or is making it.
    Granted,
    /// The attempt has become a session.
    Session,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Lease {
    pub(crate) request: RequestId,
    pub(crate) attempt: u16,
    pub(crate) backend: BackendId,
    /// The holder must not start its attempt later than this.
    pub(crate) send_by: Micros,
    pub(crate) expires_at: Micros,
    pub(crate) stage: LeaseStage,
    pub(crate) is_revoked: bool,
}

/// The active leases and the history of the latest settled ones.
#[derive(Debug)]
pub(crate) struct Leases {
    incarnation: u64,
    next_serial: u64,
    capacity: usize,
    active: FxHashMap<u64, Lease>,
    /// Ring buffer, indexed by serial number modulo its length. Allocated with the first lease.
    settled: Vec<SettledLease>,
    pub(crate) counts: LeaseCounts,
}

impl Leases {
    pub(crate) fn new(incarnation: u64, capacity: usize) -> Self {
        Self {
            incarnation,
            next_serial: 1,
            capacity,
            active: FxHashMap::default(),
            settled: Vec::new(),
            counts: LeaseCounts::default(),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.active.len()
    }

    pub(crate) fn has_capacity(&self) -> bool {
        self.active.len() < self.capacity
    }

    /// Grants a lease; returns `None` at the capacity.
    pub(crate) fn grant(&mut self, lease: Lease) -> Option<LeaseId> {
        if !self.has_capacity() {
            return None;
        }
        if self.settled.is_empty() {
            // Serial number 0 marks an unused entry: it is never granted.
            self.settled =
                vec![SettledLease { serial: 0, settlement: Settlement::Expired }; SETTLED_HISTORY_LENGTH];
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

    /// Revokes a lease and returns its request; `None` if the lease is not active or already revoked.
    pub(crate) fn revoke(&mut self, serial: u64) -> Option<RequestId> {
        let lease = self.active.get_mut(&serial).filter(|lease| !lease.is_revoked)?;
        lease.is_revoked = true;
        self.counts.revoked += 1;
        Some(lease.request)
    }

    /// Returns the lease with this id if it is active at `now`; otherwise counts the error.
    pub(crate) fn find(&mut self, now: Micros, id: LeaseId) -> Result<&mut Lease, LeaseError> {
        if let Some(error) = self.find_error(now, id) {
            match error {
                LeaseError::OtherIncarnation => self.counts.foreign += 1,
                LeaseError::Unknown => self.counts.unknown += 1,
                LeaseError::Expired => self.counts.late += 1,
                LeaseError::AlreadyReported => self.counts.duplicate += 1,
                LeaseError::WrongState => self.counts.wrong_state += 1,
            }
            return Err(error);
        }
        self.active.get_mut(&id.serial).ok_or(LeaseError::Unknown)
    }

    fn find_error(&self, now: Micros, id: LeaseId) -> Option<LeaseError> {
        if id.incarnation != self.incarnation {
            return Some(LeaseError::OtherIncarnation);
        }
        if id.serial == 0 || id.serial >= self.next_serial {
            return Some(LeaseError::Unknown);
        }
        if let Some(lease) = self.active.get(&id.serial) {
            // The time decides: the timer of an expired lease may not have been handled yet.
            return (now >= lease.expires_at).then_some(LeaseError::Expired);
        }
        let settled = self.settled[id.serial as usize % SETTLED_HISTORY_LENGTH];
        let is_duplicate = settled.serial == id.serial && settled.settlement == Settlement::Reported;
        Some(if is_duplicate { LeaseError::AlreadyReported } else { LeaseError::Expired })
    }

    /// Settles a lease by its holder's report; returns `None` if the lease is not active.
    pub(crate) fn settle_reported(&mut self, serial: u64) -> Option<Lease> {
        let lease = self.settle(serial, Settlement::Reported)?;
        self.counts.reported += 1;
        Some(lease)
    }

    /// Settles a lease that has expired at `now`; returns `None` if the lease is not active.
    ///
    /// # Errors
    /// The lease expires later because it was renewed: the new expiry time.
    pub(crate) fn expire(&mut self, now: Micros, serial: u64) -> Result<Option<Lease>, Micros> {
        match self.active.get(&serial) {
            Some(lease) if lease.expires_at > now => Err(lease.expires_at),
            Some(_) => {
                self.counts.expired += 1;
                Ok(self.settle(serial, Settlement::Expired))
            }
            None => Ok(None),
        }
    }

    fn settle(&mut self, serial: u64, settlement: Settlement) -> Option<Lease> {
        let lease = self.active.remove(&serial)?;
        self.settled[serial as usize % SETTLED_HISTORY_LENGTH] = SettledLease { serial, settlement };
        Some(lease)
    }

    /// Ascending serial numbers of the leases on backends that `is_leaving` selects and whose holders may
    /// still start their attempts at `now`.
    pub(crate) fn unsent_on_backends(&self, now: Micros, is_leaving: impl Fn(BackendId) -> bool) -> Vec<u64> {
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
