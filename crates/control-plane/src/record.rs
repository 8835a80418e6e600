//! Records: what is known of one thing, by whom it was said and when.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::sync::Arc;

/// A source of truth, one for each region. A service belongs to one source.
pub type SourceId = u16;
/// Which life of a source: greater at each of its starts.
pub type Epoch = u64;
/// Counts the changes that a source has made, from 1; goes on over its starts from what it still had.
pub type Revision = u64;
/// A service.
pub type ServiceId = u32;

/// When a record was said: by which life of its source, as which of its changes. Compared in this order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// The life of the source.
    pub epoch: Epoch,
    /// The change.
    pub revision: Revision,
}

/// What a record is about. Records of all kinds are carried alike.
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

/// What a record is of: unlike at every record of one source.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The service.
    pub service: ServiceId,
    /// The kind.
    pub kind: Kind,
    /// The name within service and kind.
    pub name: Arc<str>,
}

/// What holds for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum State {
    /// In force.
    Active,
    /// Finishes what it has, wants nothing new.
    Draining,
    /// Gone: kept as a tombstone for a while, with an empty body.
    Gone,
}

/// How urgent it is to tell of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Urgency {
    /// Something drains or is gone.
    Drain,
    /// A backend came or changed.
    Addition,
    /// Anything else.
    Rest,
}

impl Urgency {
    /// All of them, the most urgent first. A [`Cursor`] holds a version for each, in this order.
    pub const ALL: [Self; 3] = [Self::Drain, Self::Addition, Self::Rest];
}

/// What is known of one thing.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// What it is of.
    pub key: Key,
    /// When it was said.
    pub version: Version,
    /// What holds for it.
    pub state: State,
    /// What is said, in the form of its kind.
    pub body: Arc<[u8]>,
}

impl Record {
    /// How urgent it is to tell of it.
    #[must_use]
    pub fn urgency(&self) -> Urgency {
        match (self.state, self.key.kind) {
            (State::Draining | State::Gone, _) => Urgency::Drain,
            (State::Active, Kind::Backend) => Urgency::Addition,
            (State::Active, _) => Urgency::Rest,
        }
    }

    /// About how many bytes it takes in a message, never fewer.
    #[must_use]
    pub fn weight(&self) -> usize {
        /// Kind and state.
        const FIXED: usize = 1 + 1;
        let numbers = [self.key.service.into(), self.version.epoch, self.version.revision];
        let lengths = [self.key.name.len() as u64, self.body.len() as u64];
        FIXED
            + numbers.into_iter().chain(lengths).map(varint).sum::<usize>()
            + self.key.name.len()
            + self.body.len()
    }
}

/// How many bytes a number takes in a message: seven bits in each.
pub(crate) fn varint(number: u64) -> usize {
    (64 - (number | 1).leading_zeros() as usize).div_ceil(7)
}

/// A change that a source is asked to make: a record without a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Of what.
    pub key: Key,
    /// What holds for it from now on.
    pub state: State,
    /// What is said; empty where it is gone.
    pub body: Arc<[u8]>,
}

/// How far along a source's log somebody is, for each urgency in the order of [`Urgency::ALL`]: all records of that
/// urgency up to this version, as far as they still stand, are known.
pub type Cursor = [Version; 3];

/// Which services somebody wants to hear of.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// All of them.
    All,
    /// These.
    Services(BTreeSet<ServiceId>),
}

impl Scope {
    /// Whether the service is in it.
    #[must_use]
    pub fn holds(&self, service: ServiceId) -> bool {
        match self {
            Self::All => true,
            Self::Services(services) => services.contains(&service),
        }
    }
}

/// The body of a backend's record, in the words of discovery.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Backend {
    /// Where it listens.
    pub address: SocketAddrV4,
    /// Its zone, by name.
    pub locality: String,
    /// Its kind of machine, by name.
    pub flavor: String,
    /// Its cell.
    pub cell: u16,
    /// Its size beside others.
    pub size: f64,
    /// When it last started, Unix time in milliseconds; 0 for long ago.
    pub up_since_ms: u64,
}
