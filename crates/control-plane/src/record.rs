//! Records: the latest known state of one object, with the version at which its source wrote it.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::sync::Arc;

/// A source of truth, one for each region. A service belongs to one source.
pub type SourceId = u16;
/// The incarnation of a source: greater at each of its starts, at least 1.
pub type Epoch = u64;
/// Number of a change at its source, from 1; it continues across restarts from the last persisted change.
pub type Revision = u64;
/// A service.
pub type ServiceId = u32;

/// When a record was written, ordered by epoch, then by revision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// The incarnation of the source.
    pub epoch: Epoch,
    /// The change.
    pub revision: Revision,
}

/// What a record describes. Records of all kinds are distributed alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// A backend of the service: the body is a [`Backend`].
    Backend,
    /// The service's configuration.
    Configuration,
    /// A route to the service.
    Route,
    /// A tenant of the service.
    Tenant,
}

/// The identity of a record, unique within one source.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The service.
    pub service: ServiceId,
    /// The kind.
    pub kind: Kind,
    /// The name, unique within service and kind.
    pub name: Arc<str>,
}

/// The state of the object that a record describes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum State {
    /// In service.
    Active,
    /// Finishes its open work and accepts nothing new.
    Draining,
    /// Removed: the record is a tombstone with an empty body, retained for a bounded time.
    Gone,
}

/// Send priority of a record, the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Urgency {
    /// An object drains or was removed.
    Drain,
    /// A backend was added or changed.
    Addition,
    /// Any other change.
    Other,
}

impl Urgency {
    /// All urgencies, the most urgent first. A [`Cursor`] has one version for each, in this order.
    pub const ALL: [Self; 3] = [Self::Drain, Self::Addition, Self::Other];
}

/// The state of one object at one version.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Identity.
    pub key: Key,
    /// The version that wrote it.
    pub version: Version,
    /// State of the object.
    pub state: State,
    /// Content, in the encoding of its kind.
    pub body: Arc<[u8]>,
}

impl Record {
    /// The urgency with which it is sent.
    #[must_use]
    pub fn urgency(&self) -> Urgency {
        match (self.state, self.key.kind) {
            (State::Draining | State::Gone, _) => Urgency::Drain,
            (State::Active, Kind::Backend) => Urgency::Addition,
            (State::Active, _) => Urgency::Other,
        }
    }

    /// An upper bound of its size within a message, in bytes.
    #[must_use]
    pub fn encoded_size_bound(&self) -> usize {
        /// Kind and state.
        const FIXED_BYTES: usize = 1 + 1;
        let numbers = [self.key.service.into(), self.version.epoch, self.version.revision];
        let lengths = [self.key.name.len() as u64, self.body.len() as u64];
        FIXED_BYTES
            + numbers.into_iter().chain(lengths).map(varint_size).sum::<usize>()
            + self.key.name.len()
            + self.body.len()
    }
}

/// The size of an integer in a message, in bytes: a varint holds seven bits per byte.
pub(crate) fn varint_size(number: u64) -> usize {
    (64 - (number | 1).leading_zeros() as usize).div_ceil(7)
}

/// A requested change: a record to which the source has not assigned a version yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The record to change.
    pub key: Key,
    /// Its new state.
    pub state: State,
    /// Its new content; empty where the state is [`State::Gone`].
    pub body: Arc<[u8]>,
}

/// A position in a source's change log, for each urgency in the order of [`Urgency::ALL`]: the effect of all changes of
/// that urgency up to and including the version is known.
pub type Cursor = [Version; 3];

/// The greater version of each urgency.
pub(crate) fn merge_cursors(left: Cursor, right: Cursor) -> Cursor {
    std::array::from_fn(|urgency| left[urgency].max(right[urgency]))
}

/// The services that a subscriber follows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// All services.
    All,
    /// These services.
    Services(BTreeSet<ServiceId>),
}

impl Scope {
    /// Whether the service is in scope.
    #[must_use]
    pub fn contains(&self, service: ServiceId) -> bool {
        match self {
            Self::All => true,
            Self::Services(services) => services.contains(&service),
        }
    }
}

/// The body of a record of [`Kind::Backend`]; the fields correspond to those of the discovery protocol.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Backend {
    /// Where it listens.
    pub address: SocketAddrV4,
    /// Zone name.
    pub locality: String,
    /// Machine type.
    pub flavor: String,
    /// Cell number.
    pub cell: u16,
    /// Capacity relative to other backends; finite and above 0.
    pub size: f64,
    /// When it last started, Unix time in milliseconds; 0: long ago.
    pub up_since_ms: u64,
}
