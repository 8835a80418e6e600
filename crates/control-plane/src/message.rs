//! The messages of the protocol. On each connection, the node that provides records (a source or a relay) is
//! *upstream* and the node that receives them (a relay or an agent) is *downstream*.
//!
//! Messages are encoded with postcard, so the order of variants and fields is part of the wire format.

use crate::record::{
    Change, Cursor, Epoch, Record, RecordKind, Scope, ServiceId, SourceId, Version, varint_size,
};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The version of the protocol. Nodes with different versions close the connection with an error.
pub const PROTOCOL_VERSION: u16 = 1;
/// Maximum length of an encoded message, bytes; a longer one ends the connection. Batches and parts of
/// service snapshots are limited to a quarter of it, so that the rest is available for a single large record,
/// such as a configuration.
pub const MAX_MESSAGE_BYTES: usize = 256 << 10;
/// Maximum number of services in one [`Message::SnapshotRequest`].
pub(crate) const MAX_REQUESTED_SERVICES: usize = 4_096;
/// Upper bound of the size of a message without its records, bytes: two cursors (at most 120), a digest and
/// numbers.
pub(crate) const MESSAGE_OVERHEAD_BYTES: usize = 192;

/// The position of a replica in the change log of one source.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaPosition {
    /// The source whose records are replicated.
    pub source: SourceId,
    /// The latest known incarnation of the source.
    pub epoch: Epoch,
    /// All changes up to and including these versions were received.
    pub cursor: Cursor,
}

/// A range of service numbers; both bounds are inclusive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRange {
    /// The lowest service number in the range.
    pub first: ServiceId,
    /// The highest service number in the range.
    pub last: ServiceId,
}

/// The digest of all live records of one service, for comparing replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceDigest {
    /// The service whose records are compared.
    pub service: ServiceId,
    /// Wrapping sum of the hashes of its live records; 0 if it has none.
    pub digest: u64,
}

/// A bound of a key range within one service, ordered by kind, then by name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyBound {
    /// Kind of the record at the bound.
    pub kind: RecordKind,
    /// Name of the record at the bound.
    pub name: Arc<str>,
}

impl KeyBound {
    /// Upper bound of the encoded size, bytes.
    fn encoded_size_bound(&self) -> usize {
        /// Kind and the length of the name.
        const FIXED_BYTES: usize = 1 + 3;
        FIXED_BYTES + self.name.len()
    }
}

/// A message of the protocol. The encoded length is limited to [`MAX_MESSAGE_BYTES`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// From downstream, as its first message: identity, scope and positions.
    Hello {
        /// [`PROTOCOL_VERSION`] of the sender.
        protocol: u16,
        /// Name of the node, for logs.
        name: String,
        /// The services that it subscribes to.
        scope: Scope,
        /// Its position for each source of which it has records.
        positions: Vec<ReplicaPosition>,
    },
    /// From upstream, in response to [`Message::Hello`].
    Welcome {
        /// [`PROTOCOL_VERSION`] of the sender.
        protocol: u16,
        /// Name of the node, for logs.
        name: String,
    },
    /// From upstream, if it has sent nothing else for a while, so that downstream can detect a lost
    /// connection.
    Heartbeat,
    /// From upstream: changes in scope, the most urgent first. A batch without records only advances the
    /// position.
    Batch {
        /// The source that wrote the records.
        source: SourceId,
        /// Incarnation of the source to which the records of upstream belong.
        epoch: Epoch,
        /// The position that upstream assumes downstream has. If it is ahead of the actual one, a message was
        /// lost.
        from: Cursor,
        /// The position of downstream after this message.
        to: Cursor,
        /// The changed records, tombstones included; empty if only the position advances.
        records: Vec<Record>,
        /// Wrapping sum of the digests of all services in scope, if downstream now has all their records.
        scope_digest: Option<u64>,
    },
    /// From upstream: digests of the services in scope within a range. Services without records are omitted.
    DigestSummary {
        /// The source that wrote the records.
        source: SourceId,
        /// Incarnation of the source to which the records of upstream belong.
        epoch: Epoch,
        /// The services that this part of the summary covers.
        range: ServiceRange,
        /// The position of downstream once all differences are repaired.
        to: Cursor,
        /// The digests, ordered by service.
        digests: Vec<ServiceDigest>,
    },
    /// From upstream: all records of a service within a key range. A downstream record in the range that is
    /// neither listed nor newer than `as_of` has been removed at the source. Upstream may have received some
    /// changes beyond `as_of`; their tombstones are included.
    ServiceSnapshot {
        /// The source that wrote the records.
        source: SourceId,
        /// Incarnation of the source to which the records of upstream belong.
        epoch: Epoch,
        /// The version up to which upstream was complete when it sent this.
        as_of: Version,
        /// The service to which the records belong.
        service: ServiceId,
        /// Exclusive lower bound of the range; `None`: from the first key of the service.
        after: Option<KeyBound>,
        /// Inclusive upper bound of the range; `None`: up to the last key of the service.
        through: Option<KeyBound>,
        /// The live records and the tombstones newer than `as_of`, ordered by key.
        records: Vec<Record>,
    },
    /// From downstream, after it detected a lost message: the positions from which upstream continues.
    Resume {
        /// One position for each source concerned, as in [`Message::Hello`].
        positions: Vec<ReplicaPosition>,
    },
    /// From downstream: requests the digests of a source, because a scope digest did not match.
    DigestRequest {
        /// The source whose services are compared.
        source: SourceId,
    },
    /// From downstream: requests complete snapshots of services; replaces an earlier request.
    SnapshotRequest {
        /// The source of the services.
        source: SourceId,
        /// At most `MAX_REQUESTED_SERVICES`; services out of scope are ignored.
        services: Vec<ServiceId>,
    },
    /// From a writer to a source: changes to apply atomically.
    Write {
        /// Identifies the request; returned in the response.
        id: u64,
        /// The changes, applied in this order; all of them or none.
        changes: Vec<Change>,
    },
    /// From a source to a writer, in response to [`Message::Write`].
    Written {
        /// The `id` of the request.
        id: u64,
        /// The version of the last change, or the reason why no change was applied.
        result: Result<Version, String>,
    },
    /// From either side, as its last message: the reason for closing the connection.
    Close {
        /// What happened, and what would have been accepted.
        reason: String,
    },
}

impl Message {
    /// Name of the message in errors and counters. Other nodes and operators see these texts, so they keep
    /// the names from the original definition of the protocol, also where the variant has another name now.
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

    /// Upper bound of the encoded size, bytes; close enough to rate limit what upstream sends.
    #[must_use]
    pub fn encoded_size_bound(&self) -> usize {
        /// Length prefix and variant number.
        const HEADER_BYTES: usize = 4 + 1;
        /// Source number and length of the list.
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
                    digests.iter().map(|entry| varint_size(entry.service.into()) + varint_size(entry.digest));
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
