//! The nodes of a simulation and their settings.

use crate::applied_records::AppliedRecordChecker;
use crate::link::Link;
use control_plane::Millis;
use control_plane::rate_limit::RateLimit;
use control_plane::record::{Key, Record, Scope, SourceId, Version};
use control_plane::relay::Relay;
use control_plane::source::Source;
use control_plane::store::VersionedStore;
use control_plane::subscriber::Subscriber;
use std::collections::BTreeMap;

/// The records of a source after one of its changes, tombstones included.
#[derive(Clone)]
pub struct HistoryEntry {
    pub head: Version,
    pub records: BTreeMap<Key, Record>,
}

pub struct SourceNode {
    pub source: Source,
    /// The state after each change, from which a restart may continue.
    pub history: Vec<HistoryEntry>,
}

pub struct RelayNode {
    pub relay: Relay,
    /// The connection to each source.
    pub uplinks: Vec<Option<Link>>,
    pub cut_until: Vec<Millis>,
    pub suspended_until: Millis,
}

pub struct SubscriberNode {
    pub subscriber: Subscriber,
    pub scope: Scope,
    pub checker: AppliedRecordChecker,
    pub uplink: Option<Link>,
    pub relay: usize,
    pub cut_until: Millis,
}

/// Settings of all nodes.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// The limit of a relay to a subscriber.
    pub rate_limit: RateLimit,
    /// Tombstones that a source or relay retains at the most.
    pub max_tombstones: usize,
}

impl Settings {
    pub fn source(&self, store: VersionedStore) -> Source {
        /// The limit of a source to a relay: enough for all changes of a test.
        const RELAY_LIMIT: RateLimit = RateLimit { bytes_per_s: 1_000_000, burst_bytes: 1_000_000 };
        let name = format!("source-{}", store.source());
        Source::new(&name, store.with_max_tombstones(self.max_tombstones), RELAY_LIMIT)
    }

    pub fn relay(&self, index: usize, sources: usize) -> Relay {
        let ids: Vec<SourceId> = (0..sources as SourceId).collect();
        Relay::new(&format!("relay-{index}"), &ids, self.rate_limit).with_max_tombstones(self.max_tombstones)
    }
}
