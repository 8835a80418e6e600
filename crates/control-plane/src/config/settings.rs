//! The sections and keys of the configuration.

use crate::rate_limit::RateLimit;
use crate::record::{Scope, ServiceId, SourceId};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The whole configuration file. Each process needs only its own section.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Settings of a source of truth.
    pub source: Option<SourceConfig>,
    /// Settings of a relay.
    pub relay: Option<RelayConfig>,
    /// Settings of an agent.
    pub agent: Option<AgentConfig>,
    /// Rate limits, which apply to each connection separately.
    #[serde(default, rename = "pace")]
    pub rate_limit: RateLimitConfig,
}

/// Settings of a source of truth.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SourceConfig {
    /// Number of the source, unique among all sources.
    pub id: SourceId,
    /// Name of the process, for logs.
    pub name: String,
    /// Address on which it listens for relays and writers.
    pub listen: SocketAddr,
    /// File in which the records are persisted.
    #[serde(rename = "snapshot")]
    pub snapshot_path: PathBuf,
    /// Interval at which changed records are persisted, milliseconds. Without changes nothing is written.
    #[serde(default = "default_snapshot_interval_ms", rename = "snapshot_every_ms")]
    pub snapshot_interval_ms: u64,
    /// Maximum number of open connections from downstream, writers included.
    #[serde(default = "default_source_connections", rename = "connections")]
    pub max_connections: usize,
}

/// Settings of a relay.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelayConfig {
    /// Name of the process, for logs.
    pub name: String,
    /// Address on which it listens for agents.
    pub listen: SocketAddr,
    /// The sources to replicate, which should be all of them.
    pub sources: Vec<SourceAddress>,
    /// Maximum number of open connections from agents.
    #[serde(default = "default_relay_connections", rename = "connections")]
    pub max_connections: usize,
}

/// A source in the configuration of a relay.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SourceAddress {
    /// Number of the source.
    pub id: SourceId,
    /// Address on which it listens.
    pub address: SocketAddr,
}

/// Settings of an agent.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentConfig {
    /// Name of the agent, unique among all agents; it determines the preferred relay.
    pub name: String,
    /// Address on which it serves the discovery protocol to the proxy.
    pub listen: SocketAddr,
    /// The services to which the proxy sends requests.
    pub services: BTreeSet<ServiceId>,
    /// The sources of these services. Discovery is served once the records of all of them are complete.
    pub sources: BTreeSet<SourceId>,
    /// The relays to choose from.
    pub relays: Vec<RelayAddress>,
    /// Maximum number of open connections of the discovery protocol.
    #[serde(default = "default_agent_connections", rename = "connections")]
    pub max_connections: usize,
}

/// A relay in the configuration of an agent.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelayAddress {
    /// Name of the relay; has to be the same in the configurations of all agents.
    pub name: String,
    /// Address on which it listens.
    pub address: SocketAddr,
}

/// Rate limits, which apply to each connection separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RateLimitConfig {
    /// Sustained rate from a relay to each agent, bytes per second.
    pub agent_bytes_per_s: u32,
    /// Burst from a relay to each agent, bytes.
    #[serde(rename = "agent_burst")]
    pub agent_burst_bytes: u32,
    /// Sustained rate from a source to each relay, bytes per second.
    pub relay_bytes_per_s: u32,
    /// Burst from a source to each relay, bytes.
    #[serde(rename = "relay_burst")]
    pub relay_burst_bytes: u32,
}

impl Default for RateLimitConfig {
    fn default() -> Self {
        let agent = RateLimit::default();
        Self {
            agent_bytes_per_s: agent.bytes_per_s,
            agent_burst_bytes: agent.burst_bytes,
            relay_bytes_per_s: 4_000_000,
            relay_burst_bytes: 1_000_000,
        }
    }
}

impl RateLimitConfig {
    /// The rate limit from a relay to each agent.
    #[must_use]
    pub fn agent_limit(&self) -> RateLimit {
        RateLimit { bytes_per_s: self.agent_bytes_per_s, burst_bytes: self.agent_burst_bytes }
    }

    /// The rate limit from a source to each relay.
    #[must_use]
    pub fn relay_limit(&self) -> RateLimit {
        RateLimit { bytes_per_s: self.relay_bytes_per_s, burst_bytes: self.relay_burst_bytes }
    }
}

impl AgentConfig {
    /// The scope of its subscription: the configured services.
    #[must_use]
    pub fn scope(&self) -> Scope {
        Scope::Services(self.services.clone())
    }
}

fn default_snapshot_interval_ms() -> u64 {
    1_000
}

fn default_source_connections() -> usize {
    64
}

fn default_relay_connections() -> usize {
    8_192
}

fn default_agent_connections() -> usize {
    16
}
