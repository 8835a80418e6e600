//! The interface between a publisher and its cursors: what may be sent, and in which class.

use crate::Millis;
use crate::message::Message;
use crate::record::Urgency;
use crate::store::VersionedStore;

/// The records of one source as a node publishes them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StoreView<'a> {
    /// The records.
    pub store: &'a VersionedStore,
    /// Whether digests and snapshots may be sent; changes always may.
    pub is_consistent: bool,
}

/// Classes of messages; a publisher sends them by class, over all sources.
#[derive(Clone, Copy, Debug)]
pub(crate) enum SendPriority {
    /// Changed records of an urgency.
    Changes(Urgency),
    /// Digests, to find what differs.
    DigestSummary,
    /// Requested snapshots.
    ServiceSnapshot,
    /// Positions and scope digests without records.
    Progress,
}

/// The next message of one class.
pub(crate) enum NextMessage {
    /// None.
    Idle,
    /// None before this time.
    NotBefore(Millis),
    /// One is due, but the rate limit does not allow it before this time.
    RateLimited(Millis),
    /// This one.
    Send(Message),
}
