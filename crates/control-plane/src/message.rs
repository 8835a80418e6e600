//! The messages of the protocol. The node that provides records (a source, or a relay) is *upstream*, the other one
//! *downstream*.
//!
//! Messages are encoded with postcard, so the order of variants and fields is the wire format.

use crate::record::{Change, Cursor, Epoch, Kind, Record, Scope, ServiceId, SourceId, Version, varint_size};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The version of the protocol; nodes of different versions close the connection with an error.
pub const PROTOCOL_VERSION: u16 = 1;
/// The longest encoded message, bytes; a longer one ends its connection. A batch or a part of a service snapshot is cut to
/// a quarter of it, so that one large record (a configuration, for example) may take the rest.
pub const MAX_MESSAGE_BYTES: usize = 256 << 10;
/// Services in one [`Message::SnapshotRequest`] at the most.
pub(crate) const MAX_REQUESTED_SERVICES: usize = 4_096;
/// An upper bound of what a message takes beside its records, bytes: two cursors (120 at the most), a digest, numbers.
pub(crate) const MESSAGE_OVERHEAD_BYTES: usize = 192;

/// The position of a replica in the change log of one source.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaPosition {
    /// The source.
    pub source: SourceId,
    /// The latest known incarnation of the source.
    pub epoch: Epoch,
    /// The position.
    pub cursor: Cursor,
}

/// A range of service numbers, both ends included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRange {
    /// The first service.
    pub first: ServiceId,
    /// The last service.
    pub last: ServiceId,
}

/// The digest of all live records of one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceDigest {
    /// The service.
    pub service: ServiceId,
    /// Its digest; 0 where it has no live records.
    pub digest: u64,
}

/// A bound of a key range within one service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyBound {
    /// The kind.
    pub kind: Kind,
    /// The name.
    pub name: Arc<str>,
}

impl KeyBound {
    /// An upper bound of its encoded size, bytes.
    fn encoded_size_bound(&self) -> usize {
        /// Kind and the length of the name.
        const FIXED_BYTES: usize = 1 + 3;
        FIXED_BYTES + self.name.len()
    }
}

/// A message on a connection. The encoded length is bounded by [`MAX_MESSAGE_BYTES`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Downstream, first: identity, scope and positions.
    Hello {
        /// [`PROTOCOL_VERSION`].
        protocol: u16,
        /// The node's name, for logs.
        name: String,
        /// The services that it follows.
        scope: Scope,
        /// Its position in each source that it knows.
        positions: Vec<ReplicaPosition>,
    },
    /// Upstream, the response to [`Message::Hello`].
    Welcome {
        /// [`PROTOCOL_VERSION`].
        protocol: u16,
        /// The node's name, for logs.
        name: String,
    },
    /// Upstream: sent when nothing else was for a while, so that downstream can detect a lost connection.
    Heartbeat,
    /// Upstream: changes in scope, the most urgent first. Without records it only advances the position.
    Batch {
        /// The source of the records.
        source: SourceId,
        /// The incarnation of the source that upstream follows.
        epoch: Epoch,
        /// The expected position of downstream; if it is ahead of the actual one, a message was lost.
        from: Cursor,
        /// The position of downstream after this message.
        to: Cursor,
        /// The records.
        records: Vec<Record>,
        /// The sum of the digests of all services in scope, where downstream now has all of them.
        scope_digest: Option<u64>,
    },
    /// Upstream: digests of the services in scope within a range. Services without records are left out.
    DigestSummary {
        /// The source of the records.
        source: SourceId,
        /// The incarnation of the source that upstream follows.
        epoch: Epoch,
        /// The services that this part covers.
        range: ServiceRange,
        /// The position of downstream once all differences are repaired.
        to: Cursor,
        /// The digests, ordered by service.
        digests: Vec<ServiceDigest>,
    },
    /// Upstream: all records of a service within a key range. A downstream record in the range that is neither listed nor
    /// newer than `as_of` has been removed. Upstream may know single changes beyond `as_of`; their tombstones are included.
    ServiceSnapshot {
        /// The source of the records.
        source: SourceId,
        /// The incarnation of the source that upstream follows.
        epoch: Epoch,
        /// The version up to which upstream was complete when it sent this.
        as_of: Version,
        /// The service.
        service: ServiceId,
        /// The range begins after this key; `None`: at the first.
        after: Option<KeyBound>,
        /// The range ends with this key; `None`: with the last key of the service.
        through: Option<KeyBound>,
        /// The live records and the tombstones newer than `as_of`, ordered by key.
        records: Vec<Record>,
    },
    /// Downstream: its position, after a loss was detected.
    Resume {
        /// As in [`Message::Hello`].
        positions: Vec<ReplicaPosition>,
    },
    /// Downstream: requests the digests of a source, because a digest did not match.
    DigestRequest {
        /// The source.
        source: SourceId,
    },
    /// Downstream: requests complete snapshots of services; replaces an earlier request.
    SnapshotRequest {
        /// The source.
        source: SourceId,
        /// The services.
        services: Vec<ServiceId>,
    },
    /// To a source: changes to apply, all or none.
    Write {
        /// Repeated in the response.
        id: u64,
        /// The changes.
        changes: Vec<Change>,
    },
    /// The response of a source to [`Message::Write`].
    Written {
        /// The id of the request.
        id: u64,
        /// The version of the last change, or why none was applied.
        result: Result<Version, String>,
    },
    /// Either side, last: the reason for closing the connection.
    Close {
        /// What happened, where, and what would be right.
        reason: String,
    },
}

impl Message {
    /// The message's name in errors and counters. The texts reach other nodes and operators, so they keep the names that
    /// were current when the protocol was defined.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Hello { .. } => "Hello",
            Self::Welcome { .. } => "Welcome",
            Self::Heartbeat => "Alive",
            Self::Batch { .. } => "Batch",
            Self::DigestSummary { .. } => "Summary",
            Self::ServiceSnapshot { .. } => "Whole",
            Self::Resume { .. } => "Resume",
            Self::DigestRequest { .. } => "Compare",
            Self::SnapshotRequest { .. } => "Want",
            Self::Write { .. } => "Write",
            Self::Written { .. } => "Written",
            Self::Close { .. } => "Goodbye",
        }
    }

    /// An upper bound of the encoded size, bytes, close enough for rate limiting what upstream sends.
    #[must_use]
    pub fn encoded_size_bound(&self) -> usize {
        /// The length prefix and the variant.
        const HEADER_BYTES: usize = 4 + 1;
        /// The source and the length of the list.
        const SOURCE_AND_LENGTH_BYTES: usize = 3 + 3;
        match self {
            Self::Heartbeat => HEADER_BYTES,
            Self::Welcome { name, .. } => HEADER_BYTES + 3 + 5 + name.len(),
            Self::Batch { epoch, from, to, records, scope_digest, .. } => {
                let digest = 1 + scope_digest.map_or(0, varint_size);
                HEADER_BYTES
                    + SOURCE_AND_LENGTH_BYTES
                    + varint_size(*epoch)
                    + cursor_size(from)
                    + cursor_size(to)
                    + digest
                    + records_size_bound(records)
            }
            Self::DigestSummary { epoch, range, to, digests, .. } => {
                let range = varint_size(range.first.into()) + varint_size(range.last.into());
                let digests =
                    digests.iter().map(|one| varint_size(one.service.into()) + varint_size(one.digest));
                HEADER_BYTES
                    + SOURCE_AND_LENGTH_BYTES
                    + varint_size(*epoch)
                    + range
                    + cursor_size(to)
                    + digests.sum::<usize>()
            }
            Self::ServiceSnapshot { epoch, as_of, service, after, through, records, .. } => {
                let bounds =
                    [after, through].into_iter().flatten().map(KeyBound::encoded_size_bound).sum::<usize>();
                HEADER_BYTES
                    + SOURCE_AND_LENGTH_BYTES
                    + varint_size(*epoch)
                    + version_size(as_of)
                    + varint_size((*service).into())
                    + 2
                    + bounds
                    + records_size_bound(records)
            }
            Self::Close { reason } => HEADER_BYTES + 5 + reason.len(),
            // Messages from downstream are not rate limited.
            _ => MESSAGE_OVERHEAD_BYTES,
        }
    }
}

fn version_size(version: &Version) -> usize {
    varint_size(version.epoch) + varint_size(version.revision)
}

fn cursor_size(cursor: &Cursor) -> usize {
    cursor.iter().map(version_size).sum()
}

fn records_size_bound(records: &[Record]) -> usize {
    records.iter().map(Record::encoded_size_bound).sum()
}
