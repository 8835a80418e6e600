//! What parties say to one another. The party that knows more (a source, or a relay) is *upstream*, the other *downstream*.

use crate::line::FRAME;
use crate::record::{Change, Cursor, Epoch, Record, Scope, ServiceId, SourceId, Version, varint};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The version of these words; parties of another version part with one clear error.
pub const PROTOCOL: u16 = 1;
/// The longest message, bytes as encoded: whatever is longer ends its connection. A batch or a part of a service is cut to
/// a quarter of it, so that one record (a configuration, say) may take the rest.
pub const MAX_BYTES: usize = 256 << 10;

/// How far downstream is in what one source said.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Have {
    /// The source.
    pub source: SourceId,
    /// The last life of it that is known.
    pub epoch: Epoch,
    /// How far.
    pub cursor: Cursor,
}

/// Everything that is said on a connection. Lengths are bounded by [`MAX_BYTES`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Downstream, first: who it is, what it wants, how far it is.
    Hello {
        /// [`PROTOCOL`].
        protocol: u16,
        /// Its name, for logs.
        name: String,
        /// What it wants to hear of.
        scope: Scope,
        /// How far it is; sources that it does not know are left out.
        have: Vec<Have>,
    },
    /// Upstream, in answer to [`Message::Hello`].
    Welcome {
        /// [`PROTOCOL`].
        protocol: u16,
        /// Its name, for logs.
        name: String,
    },
    /// Upstream: nothing new; said when nothing else was for a while, so that silence means that it is gone.
    Alive,
    /// Upstream: changes in scope, the most urgent first. With no records it only says how far downstream is.
    Batch {
        /// Of which source.
        source: SourceId,
        /// The life of the source that upstream knows.
        epoch: Epoch,
        /// Where downstream is taken to be. Further on than it is: something was lost.
        from: Cursor,
        /// Where it is once it has taken this.
        to: Cursor,
        /// The records.
        records: Vec<Record>,
        /// The sum of the digests of all services in scope, where downstream now has everything.
        check: Option<u64>,
    },
    /// Upstream: digests of the services in scope from one number to another. Services without records are left out.
    Summary {
        /// Of which source.
        source: SourceId,
        /// The life of the source that upstream knows.
        epoch: Epoch,
        /// The first and the last service number that this part covers.
        covers: (ServiceId, ServiceId),
        /// Where downstream is once all that differs is repaired.
        to: Cursor,
        /// The digests, by service.
        digests: Vec<(ServiceId, u64)>,
    },
    /// Upstream: all records of a service whose keys (kind, name) lie in a range; what downstream has there beside them and
    /// not newer than `as_of` is gone. Upstream may know single changes beyond `as_of`; tombstones of these are in it.
    Whole {
        /// Of which source.
        source: SourceId,
        /// The life of the source that upstream knows.
        epoch: Epoch,
        /// Up to which change upstream knew when it said this.
        as_of: Version,
        /// The service.
        service: ServiceId,
        /// The range begins behind this key; `None`: at the first.
        after: Option<Bound>,
        /// The range ends with this key; `None`: with the last, and the service is whole.
        upto: Option<Bound>,
        /// The records that are not gone, by key, and tombstones newer than `as_of`.
        records: Vec<Record>,
    },
    /// Downstream: how far it is, after something was lost.
    Resume {
        /// As in [`Message::Hello`].
        have: Vec<Have>,
    },
    /// Downstream: the digests of this source, please; a check did not agree.
    Compare {
        /// The source.
        source: SourceId,
    },
    /// Downstream: these services whole, please.
    Want {
        /// The source.
        source: SourceId,
        /// The services.
        services: Vec<ServiceId>,
    },
    /// To a source: changes to make, all or none.
    Write {
        /// Comes back in the answer.
        id: u64,
        /// The changes.
        changes: Vec<Change>,
    },
    /// A source, in answer to [`Message::Write`].
    Written {
        /// The id of the question.
        id: u64,
        /// The version of the last change, or why none was made.
        result: Result<Version, String>,
    },
    /// Either side, last: why it ends the connection.
    Goodbye {
        /// What, where, and what would be right.
        why: String,
    },
}

impl Message {
    /// What it is called, for errors and counts.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Hello { .. } => "Hello",
            Self::Welcome { .. } => "Welcome",
            Self::Alive => "Alive",
            Self::Batch { .. } => "Batch",
            Self::Summary { .. } => "Summary",
            Self::Whole { .. } => "Whole",
            Self::Resume { .. } => "Resume",
            Self::Compare { .. } => "Compare",
            Self::Want { .. } => "Want",
            Self::Write { .. } => "Write",
            Self::Written { .. } => "Written",
            Self::Goodbye { .. } => "Goodbye",
        }
    }

    /// About how many bytes it takes on the wire, never fewer; exact enough to pace what upstream says.
    #[must_use]
    pub fn weight(&self) -> usize {
        /// The length of a frame, and which message it is.
        const HEAD: usize = 4 + 1;
        /// Source and three bytes of the count.
        const OF: usize = 3 + 3;
        let version = |version: &Version| varint(version.epoch) + varint(version.revision);
        let cursor = |cursor: &Cursor| cursor.iter().map(version).sum::<usize>();
        let list = |records: &[Record]| records.iter().map(Record::weight).sum::<usize>();
        match self {
            Self::Alive => HEAD,
            Self::Welcome { name, .. } => HEAD + 3 + 5 + name.len(),
            Self::Batch { epoch, from, to, records, check, .. } => {
                let check = 1 + check.map_or(0, varint);
                HEAD + OF + varint(*epoch) + cursor(from) + cursor(to) + check + list(records)
            }
            Self::Summary { epoch, covers, to, digests, .. } => {
                let covers = varint(covers.0.into()) + varint(covers.1.into());
                let digests =
                    digests.iter().map(|(service, digest)| varint((*service).into()) + varint(*digest));
                HEAD + OF + varint(*epoch) + covers + cursor(to) + digests.sum::<usize>()
            }
            Self::Whole { epoch, as_of, service, after, upto, records, .. } => {
                let bounds =
                    [after, upto].into_iter().flatten().map(|(_, name)| 1 + 3 + name.len()).sum::<usize>();
                HEAD + OF
                    + varint(*epoch)
                    + version(as_of)
                    + varint((*service).into())
                    + 2
                    + bounds
                    + list(records)
            }
            Self::Goodbye { why } => HEAD + 5 + why.len(),
            // What downstream says is not paced.
            _ => FRAME,
        }
    }
}

/// A key within a service: kind and name.
pub type Bound = (crate::record::Kind, Arc<str>);
