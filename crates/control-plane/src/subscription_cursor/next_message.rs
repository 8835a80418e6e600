//! The interface between a publisher and its cursors: the records to send, classes of messages, and the next
//! message.

use crate::Millis;
use crate::message::Message;
use crate::record::Urgency;
use crate::store::VersionedStore;

/// The records of one source as a node publishes them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StoreView<'a> {
    pub store: &'a VersionedStore,
    /// Whether digests and snapshots may be sent; changes may always be sent.
    pub is_consistent: bool,
}

/// Classes of messages. A publisher sends them in order of priority, across all sources.
#[derive(Clone, Copy, Debug)]
pub(crate) enum SendPriority {
    /// Changed records of one urgency.
    Changes(Urgency),
    /// Digests, to find the services that differ.
    DigestSummary,
    /// Snapshots that the subscriber has requested.
    ServiceSnapshot,
    /// Positions and scope digests without records.
    Progress,
}

/// The next message of one class.
pub(crate) enum NextMessage {
    /// There is none.
    Idle,
    /// There is none before this time.
    NotBefore(Millis),
    /// One is due, but the rate limit does not allow it before this time.
    RateLimited(Millis),
    /// This message may be sent now.
    Send(Message),
}
