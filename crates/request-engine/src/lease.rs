//! Leases: what lets a caller outside make an attempt. No I/O and no clock.
//!
//! A lease is settled exactly once: by its holder's report or by its end. Its id is a fencing token: the life of
//! the engine that granted it and a serial number that never comes twice in that life. Whatever is said of a lease
//! later, or by the holder of another engine's lease, is told apart, counted, and changes nothing.

use balancer::api::{BackendId, Micros, RequestId};
use rustc_hash::FxHashMap;
use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use thiserror::Error;

/// Settled leases whose end is remembered, so that a late report can be told from a doubled one. Older ones count
/// as late.
const MAX_ENDED_LEASES: usize = 4_096;

/// The id of a lease. Written as two hexadecimal numbers with a dash between, 33 characters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LeaseId {
    /// The life of the engine that granted it.
    pub incarnation: u64,
    /// Its number in that life, from 1.
    pub serial: u64,
}

impl fmt::Display for LeaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{:016x}", self.incarnation, self.serial)
    }
}

/// Text that is no lease id.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("a lease id is 16 hexadecimal digits, a dash and 16 more, not `{0}`")]
pub struct ParseLeaseIdError(String);

impl FromStr for LeaseId {
    type Err = ParseLeaseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        // The integer's own parser would take a sign and any length.
        let digits = |part: &str| part.len() == 16 && part.bytes().all(|b| b.is_ascii_hexdigit());
        let number = |part: &str| -> Result<u64, ParseIntError> { u64::from_str_radix(part, 16) };
        let wrong = || ParseLeaseIdError(text.chars().take(64).collect());
        let (incarnation, serial) =
            text.split_once('-').filter(|(a, b)| digits(a) && digits(b)).ok_or_else(wrong)?;
        Ok(Self {
            incarnation: number(incarnation).map_err(|_| wrong())?,
            serial: number(serial).map_err(|_| wrong())?,
        })
    }
}

/// Why what was said of a lease changed nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum LeaseError {
    /// Another engine granted it, or an earlier life of this one.
    #[error("the lease is of another engine or of an earlier life")]
    Foreign,
    /// This engine has never granted it.
    #[error("no such lease was granted")]
    Unknown,
    /// It ran out before.
    #[error("the lease had run out")]
    Late,
    /// Its outcome is known already.
    #[error("the lease's outcome was reported before")]
    AlreadyReported,
    /// Only a session's lease is renewed, and only one that is not a session can become one.
    #[error("the lease is not in a state for this")]
    WrongState,
}

/// What was said of leases and came to nothing, and what became of all of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaseCounts {
    /// Leases granted.
    pub granted: u64,
    /// Settled by their holder's report.
    pub reported: u64,
    /// Settled by running out: may have run.
    pub expired: u64,
    /// Asked back from their holder, because the backend drains or is gone.
    pub revoked: u64,
    /// Reports after the end.
    pub late: u64,
    /// Reports after a report.
    pub duplicate: u64,
    /// Reports of another engine's or life's lease.
    pub foreign: u64,
    /// Reports of a lease that was never granted.
    pub unknown: u64,
    /// Reports that do not fit the lease's state.
    pub wrong_state: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LeaseEnd {
    Reported,
    Expired,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Its attempt is made.
    Granted,
    /// Its attempt has become a session.
    Session,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Lease {
    pub(crate) request: RequestId,
    pub(crate) attempt: u16,
    pub(crate) backend: BackendId,
    /// Until when its holder may begin to send.
    pub(crate) send_by: Micros,
    pub(crate) expires: Micros,
    pub(crate) stage: Stage,
    /// Its holder has been asked to give it back.
    pub(crate) revoked: bool,
}

/// The leases that are out, and the ends of the latest that were.
#[derive(Debug)]
pub(crate) struct Leases {
    incarnation: u64,
    next: u64,
    capacity: usize,
    out: FxHashMap<u64, Lease>,
    /// By serial number modulo its length; empty until the first lease.
    ended: Vec<(u64, LeaseEnd)>,
    pub(crate) counts: LeaseCounts,
}

impl Leases {
    pub(crate) fn new(incarnation: u64, capacity: usize) -> Self {
        let counts = LeaseCounts::default();
        Self { incarnation, next: 1, capacity, out: FxHashMap::default(), ended: Vec::new(), counts }
    }

    pub(crate) fn len(&self) -> usize {
        self.out.len()
    }

    pub(crate) fn has_capacity(&self) -> bool {
        self.out.len() < self.capacity
    }

    /// A new lease, or none at the bound.
    pub(crate) fn grant(&mut self, lease: Lease) -> Option<LeaseId> {
        if !self.has_capacity() {
            return None;
        }
        if self.ended.is_empty() {
            // A serial number of 0 is never granted.
            self.ended = vec![(0, LeaseEnd::Expired); MAX_ENDED_LEASES];
        }
        let serial = self.next;
        self.next += 1;
        let before = self.out.insert(serial, lease);
        assert!(before.is_none(), "the serial number {serial} was granted before");
        self.counts.granted += 1;
        Some(LeaseId { incarnation: self.incarnation, serial })
    }

    pub(crate) fn id(&self, serial: u64) -> LeaseId {
        LeaseId { incarnation: self.incarnation, serial }
    }

    pub(crate) fn is_out(&self, serial: u64) -> bool {
        self.out.contains_key(&serial)
    }

    /// Asks a lease back, once: gives its request.
    pub(crate) fn revoke(&mut self, serial: u64) -> Option<RequestId> {
        let lease = self.out.get_mut(&serial).filter(|lease| !lease.revoked)?;
        lease.revoked = true;
        self.counts.revoked += 1;
        Some(lease.request)
    }

    /// The lease of this id, if it is out at `now`; otherwise what is wrong, counted.
    pub(crate) fn find(&mut self, now: Micros, id: LeaseId) -> Result<&mut Lease, LeaseError> {
        let error = self.find_error(now, id);
        if let Some(error) = error {
            match error {
                LeaseError::Foreign => self.counts.foreign += 1,
                LeaseError::Unknown => self.counts.unknown += 1,
                LeaseError::Late => self.counts.late += 1,
                LeaseError::AlreadyReported => self.counts.duplicate += 1,
                LeaseError::WrongState => self.counts.wrong_state += 1,
            }
            return Err(error);
        }
        self.out.get_mut(&id.serial).ok_or(LeaseError::Unknown)
    }

    fn find_error(&self, now: Micros, id: LeaseId) -> Option<LeaseError> {
        if id.incarnation != self.incarnation {
            return Some(LeaseError::Foreign);
        }
        if id.serial == 0 || id.serial >= self.next {
            return Some(LeaseError::Unknown);
        }
        if let Some(lease) = self.out.get(&id.serial) {
            // The end counts from the clock, not from when its timer had its turn.
            return (now >= lease.expires).then_some(LeaseError::Late);
        }
        let (serial, end) = self.ended[id.serial as usize % MAX_ENDED_LEASES];
        let duplicate = serial == id.serial && end == LeaseEnd::Reported;
        Some(if duplicate { LeaseError::AlreadyReported } else { LeaseError::Late })
    }

    /// Settles a lease by its holder's report.
    pub(crate) fn reported(&mut self, serial: u64) -> Option<Lease> {
        let lease = self.end(serial, LeaseEnd::Reported)?;
        self.counts.reported += 1;
        Some(lease)
    }

    /// Settles a lease that has run out; `None`, and the time to look again, where it has been prolonged.
    pub(crate) fn expire(&mut self, now: Micros, serial: u64) -> Result<Option<Lease>, Micros> {
        match self.out.get(&serial) {
            Some(lease) if lease.expires > now => Err(lease.expires),
            Some(_) => {
                self.counts.expired += 1;
                Ok(self.end(serial, LeaseEnd::Expired))
            }
            None => Ok(None),
        }
    }

    fn end(&mut self, serial: u64, end: LeaseEnd) -> Option<Lease> {
        let lease = self.out.remove(&serial)?;
        self.ended[serial as usize % MAX_ENDED_LEASES] = (serial, end);
        Some(lease)
    }

    /// The leases on backends that `gone` names, whose holders may not have begun to send at `now`.
    pub(crate) fn unsent_on(&self, now: Micros, gone: impl Fn(BackendId) -> bool) -> Vec<u64> {
        let unsent = |l: &Lease| l.stage == Stage::Granted && now < l.send_by && gone(l.backend);
        let mut found: Vec<u64> =
            self.out.iter().filter(|(_, l)| unsent(l)).map(|(&serial, _)| serial).collect();
        found.sort_unstable();
        found
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn lease() -> Lease {
        Lease {
            request: 1,
            attempt: 0,
            backend: 7,
            send_by: 50,
            expires: 100,
            stage: Stage::Granted,
            revoked: false,
        }
    }

    #[test]
    fn a_lease_is_settled_once_and_what_comes_later_is_told_apart() {
        let mut leases = Leases::new(9, 2);
        let (a, b) = (leases.grant(lease()).expect("room"), leases.grant(lease()).expect("room"));
        assert_eq!(leases.grant(lease()), None, "the bound");
        assert!(leases.reported(a.serial).is_some() && leases.reported(a.serial).is_none());
        assert_eq!(leases.find(10, a).err(), Some(LeaseError::AlreadyReported));
        assert_eq!(leases.find(100, b).err(), Some(LeaseError::Late), "its timer has not had its turn");
        assert!(matches!(leases.expire(100, b.serial), Ok(Some(_))));
        assert_eq!(leases.find(100, b).err(), Some(LeaseError::Late));
        assert_eq!(leases.find(10, LeaseId { incarnation: 8, ..a }).err(), Some(LeaseError::Foreign));
        assert_eq!(leases.find(10, LeaseId { serial: 3, ..a }).err(), Some(LeaseError::Unknown));
        assert_eq!(leases.find(10, LeaseId { serial: 0, ..a }).err(), Some(LeaseError::Unknown));
        let counts = leases.counts;
        assert_eq!((counts.granted, counts.reported, counts.expired), (2, 1, 1));
        assert_eq!((counts.late, counts.duplicate, counts.foreign, counts.unknown), (2, 1, 1, 2));
    }

    #[test]
    fn what_is_remembered_of_ended_leases_is_bounded() {
        let mut leases = Leases::new(9, 2);
        let first = leases.grant(lease()).expect("room");
        leases.reported(first.serial);
        for _ in 0..MAX_ENDED_LEASES * 3 {
            let id = leases.grant(lease()).expect("room");
            leases.reported(id.serial);
        }
        assert_eq!((leases.len(), leases.ended.len()), (0, MAX_ENDED_LEASES));
        assert_eq!(leases.find(10, first).err(), Some(LeaseError::Late), "forgotten, and still not granted");
    }

    #[test]
    fn ids_read_back_as_written_and_nothing_else_is_taken() {
        let id = LeaseId { incarnation: u64::MAX, serial: 42 };
        assert_eq!(id.to_string().parse(), Ok(id));
        for text in
            ["", "-", "1-2", "+00000000000000f-0000000000000001", "é", "0000000000000001-000000000000000g"]
        {
            assert!(text.parse::<LeaseId>().is_err(), "{text}");
        }
        const ALPHABET: [char; 10] = ['0', '1', '9', 'a', 'f', 'F', '-', '+', ' ', 'é'];
        let mut rng = fastrand::Rng::with_seed(7);
        for _ in 0..20_000 {
            let text: String = (0..rng.usize(0..40)).map(|_| rng.choice(ALPHABET).unwrap_or('0')).collect();
            if let Ok(id) = text.parse::<LeaseId>() {
                assert_eq!(id.to_string(), text.to_lowercase());
            }
        }
    }
}
