//! The simulated nodes and their settings.

use crate::applied_records::AppliedRecordChecker;
use crate::link::Link;
use control_plane::Millis;
use control_plane::rate_limit::RateLimit;
use control_plane::record::{Record, RecordKey, Scope, SourceId, Version};
use control_plane::relay::Relay;
use control_plane::source::Source;
use control_plane::store::VersionedStore;
use control_plane::subscriber::Subscriber;
use std::collections::BTreeMap;

/// The records of a source after one of its changes, including tombstones.
#[derive(Clone)]
pub struct HistoryEntry {
    /// The version of the change; revision 0 for the initial state.
    pub head: Version,
    pub records: BTreeMap<RecordKey, Record>,
}

/// A source with the records after each of its changes.
pub struct SourceNode {
    pub source: Source,
    /// The records after each change, the initial state included. A restart continues from one of them.
    pub history: Vec<HistoryEntry>,
}

/// A relay with its connections to the sources.
pub struct RelayNode {
    pub relay: Relay,
    /// The connections to the sources, by source.
    pub uplinks: Vec<Option<Link>>,
    /// When the interruption of each of these connections ends.
    pub cut_until: Vec<Millis>,
    pub suspended_until: Millis,
}

/// A subscriber with its connection to a relay.
pub struct SubscriberNode {
    pub subscriber: Subscriber,
    /// The scope that the subscriber is expected to have.
    pub scope: Scope,
    pub checker: AppliedRecordChecker,
    pub uplink: Option<Link>,
    /// The index of the relay that the subscriber connects to.
    pub relay: usize,
    pub cut_until: Millis,
}

/// Settings of all nodes.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// The rate limit of a relay for each subscriber.
    pub rate_limit: RateLimit,
    /// Maximum number of tombstones that a source or relay retains.
    pub max_tombstones: usize,
}

impl Settings {
    /// Creates a source with this store.
    pub fn source(&self, store: VersionedStore) -> Source {
        /// The rate limit of a source for each relay: enough for all changes of a test.
        const RELAY_LIMIT: RateLimit = RateLimit { bytes_per_s: 1_000_000, burst_bytes: 1_000_000 };
        let name = format!("source-{}", store.source());
        Source::new(&name, store.with_max_tombstones(self.max_tombstones), RELAY_LIMIT)
    }

    /// Creates a relay of all sources, without records.
    pub fn relay(&self, index: usize, sources: usize) -> Relay {
        let ids: Vec<SourceId> = (0..sources as SourceId).collect();
        Relay::new(&format!("relay-{index}"), &ids, self.rate_limit).with_max_tombstones(self.max_tombstones)
    }
}
