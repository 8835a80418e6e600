//! The list of backends, as discovery reports it.

use super::{BackendId, Micros};

/// Whether a backend may get new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// Takes requests.
    Ready,
    /// Finishes its requests in flight; gets no new ones.
    Draining,
    /// Removed from the list.
    Removed,
}

/// A backend's entry in the list.
#[derive(Clone, Copy, Debug)]
pub struct Backend {
    /// Its id, which stays the same when its process restarts.
    pub id: BackendId,
    /// Index of its zone.
    pub zone: u16,
    /// Index of its machine kind.
    pub machine_kind: u8,
    /// Index of its cell, unique across all zones.
    pub cell: u16,
    /// Whether it may get new requests.
    pub readiness: Readiness,
    /// When its process last started; `None` if it warmed up long ago.
    pub started_at: Option<Micros>,
}

/// A change of the list of backends.
#[derive(Clone, Copy, Debug)]
pub enum MembershipUpdate<'a> {
    /// The entries that changed.
    Delta(&'a [Backend]),
    /// The complete list: backends that are absent from it were removed.
    Snapshot(&'a [Backend]),
    /// The complete list from an earlier time, possibly out of date.
    CachedSnapshot(&'a [Backend]),
    /// A call to discovery failed, or the watch was interrupted.
    Failed,
}
