//! Backends as discovery lists them.

use super::{BackendId, Micros};

/// Whether a backend may be sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// Takes requests.
    Ready,
    /// Finishes what it has in flight; gets nothing new.
    Draining,
    /// Removed from the list.
    Removed,
}

/// A backend's entry in the list.
#[derive(Clone, Copy, Debug)]
pub struct Backend {
    /// Its id.
    pub id: BackendId,
    /// Its zone.
    pub zone: u16,
    /// Its kind of machine.
    pub machine_kind: u8,
    /// Its cell, numbered across the whole tier.
    pub cell: u16,
    /// Whether it may be sent to.
    pub readiness: Readiness,
    /// When its process last started; `None` if that is long ago.
    pub started_at: Option<Micros>,
}

/// A change of the list of backends.
#[derive(Clone, Copy, Debug)]
pub enum MembershipUpdate<'a> {
    /// The entries that changed.
    Delta(&'a [Backend]),
    /// The complete list: a backend that is absent was removed.
    Snapshot(&'a [Backend]),
    /// The complete list as last seen, possibly out of date.
    CachedSnapshot(&'a [Backend]),
    /// A call to discovery failed, or its watch broke.
    Failed,
}
