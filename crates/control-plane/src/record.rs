//! The data model. A record is the latest known state of one object, with the version at which its source
//! wrote it.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::sync::Arc;

/// Number of a source of truth. There is one source for each region, and a service belongs to one source.
pub type SourceId = u16;
/// Incarnation of a source: at least 1, and greater after each start of the source.
pub type Epoch = u64;
/// Number of a change at its source, counted from 1; after a restart it continues from the last persisted
/// change.
pub type Revision = u64;
/// Number of a service, the unit of subscription.
pub type ServiceId = u32;

/// The change that wrote a record; ordered by epoch, then by revision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// The incarnation of the source.
    pub epoch: Epoch,
    /// Number of the change.
    pub revision: Revision,
}

/// The type of object that a record describes. Records of all kinds are distributed in the same way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RecordKind {
    /// A backend of the service: the body is a [`Backend`].
    Backend,
    /// A configuration of the service; the body is opaque here.
    Configuration,
    /// A route to the service; the body is opaque here.
    Route,
    /// A tenant of the service; the body is opaque here.
    Tenant,
}

/// The identity of a record, unique within one source.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecordKey {
    /// The service to which the object belongs.
    pub service: ServiceId,
    /// The type of the object.
    pub kind: RecordKind,
    /// Name of the object, unique within service and kind.
    pub name: Arc<str>,
}

/// The state of the object that a record describes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RecordState {
    /// In service.
    Active,
    /// Finishes its requests in flight and accepts no new ones.
    Draining,
    /// Removed: the record is a tombstone with an empty body, retained for a bounded time.
    Gone,
}

/// Send priority of a record, the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Urgency {
    /// An object of any kind is draining or was removed.
    Drain,
    /// A backend was added or changed.
    Addition,
    /// Any other change.
    Other,
}

impl Urgency {
    /// All values, the most urgent first. A [`Cursor`] has one version for each, in this order.
    pub const ALL: [Self; 3] = [Self::Drain, Self::Addition, Self::Other];
}

/// The state of one object at one version.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Identity of the object.
    pub key: RecordKey,
    /// The change at the source that wrote this state.
    pub version: Version,
    /// Whether the object is in service, draining or removed.
    pub state: RecordState,
    /// Content, in the encoding that its kind defines; empty in a tombstone.
    pub body: Arc<[u8]>,
}

impl Record {
    /// The urgency with which the record is sent: drains and removals first, then active backends, then the
    /// rest.
    #[must_use]
    pub fn urgency(&self) -> Urgency {
        match (self.state, self.key.kind) {
            (RecordState::Draining | RecordState::Gone, _) => Urgency::Drain,
            (RecordState::Active, RecordKind::Backend) => Urgency::Addition,
            (RecordState::Active, _) => Urgency::Other,
        }
    }

    /// Upper bound of the size within a message, bytes.
    #[must_use]
    pub fn encoded_size_bound(&self) -> usize {
        /// One byte each for kind and state.
        const FIXED_BYTES: usize = 1 + 1;
        let numbers = [self.key.service.into(), self.version.epoch, self.version.revision];
        let lengths = [self.key.name.len() as u64, self.body.len() as u64];
        FIXED_BYTES
            + numbers.into_iter().chain(lengths).map(varint_size).sum::<usize>()
            + self.key.name.len()
            + self.body.len()
    }
}

/// Encoded size of an integer, bytes: a varint has seven bits per byte.
pub(crate) fn varint_size(number: u64) -> usize {
    (64 - (number | 1).leading_zeros() as usize).div_ceil(7)
}

/// A requested change: a record to which the source has not assigned a version yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Identity of the record to create, change or remove.
    pub key: RecordKey,
    /// New state; [`RecordState::Gone`] removes the record.
    pub state: RecordState,
    /// New content; empty if the state is [`RecordState::Gone`].
    pub body: Arc<[u8]>,
}

/// A position in a source's change log: one version for each urgency, in the order of [`Urgency::ALL`]. The
/// effect of all changes of that urgency up to and including the version is known.
pub type Cursor = [Version; 3];

/// The maximum of both versions for each urgency.
pub(crate) fn merge_cursors(left: Cursor, right: Cursor) -> Cursor {
    std::array::from_fn(|urgency| left[urgency].max(right[urgency]))
}

/// The services that a subscriber follows: it is sent the records of these only.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// All services, as a relay needs them.
    All,
    /// Only these services.
    Services(BTreeSet<ServiceId>),
}

impl Scope {
    /// Whether records of the service are in scope.
    #[must_use]
    pub fn contains(&self, service: ServiceId) -> bool {
        match self {
            Self::All => true,
            Self::Services(services) => services.contains(&service),
        }
    }
}

/// The body of a record of [`RecordKind::Backend`]; the fields correspond to those of the discovery protocol.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Backend {
    /// Address on which the backend listens.
    pub address: SocketAddrV4,
    /// Name of the zone.
    #[serde(rename = "locality")]
    pub zone: String,
    /// Machine kind.
    #[serde(rename = "flavor")]
    pub machine_kind: String,
    /// Number of the cell.
    pub cell: u16,
    /// Capacity relative to other backends; finite and greater than 0.
    #[serde(rename = "size")]
    pub capacity: f64,
    /// When the backend last started, Unix time in milliseconds; 0: long ago.
    pub up_since_ms: u64,
}
