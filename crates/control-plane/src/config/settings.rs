//! The sections and keys of the configuration.

use crate::rate_limit::RateLimit;
use crate::record::{Scope, ServiceId, SourceId};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The complete file.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// The section of a source of truth.
    pub source: Option<SourceConfig>,
    /// The section of a relay.
    pub relay: Option<RelayConfig>,
    /// The section of an agent.
    pub agent: Option<AgentConfig>,
    /// Rate limits of each connection.
    #[serde(default, rename = "pace")]
    pub rate_limit: RateLimitConfig,
}

/// The section of a source of truth.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SourceConfig {
    /// Its number, unique among all sources.
    pub id: SourceId,
    /// Its name, for logs.
    pub name: String,
    /// Address for relays and writers.
    pub listen: SocketAddr,
    /// The file in which its records are persisted.
    pub snapshot: PathBuf,
    /// Interval between snapshots, milliseconds; skipped without changes.
    #[serde(default = "default_snapshot_interval_ms", rename = "snapshot_every_ms")]
    pub snapshot_interval_ms: u64,
    /// Open connections at the most.
    #[serde(default = "default_source_connections")]
    pub connections: usize,
}

/// The section of a relay.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelayConfig {
    /// Its name, for logs.
    pub name: String,
    /// Address for agents.
    pub listen: SocketAddr,
    /// All sources.
    pub sources: Vec<SourceAddress>,
    /// Open connections at the most.
    #[serde(default = "default_relay_connections")]
    pub connections: usize,
}

/// The address of a source.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SourceAddress {
    /// Its number.
    pub id: SourceId,
    /// Where it listens.
    pub address: SocketAddr,
}

/// The section of an agent.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentConfig {
    /// Its name, which decides which relay it prefers; unique among all agents.
    pub name: String,
    /// Address of the discovery protocol, for the proxy.
    pub listen: SocketAddr,
    /// The services of the proxy.
    pub services: BTreeSet<ServiceId>,
    /// The sources of these services; discovery is served once the records of each are complete.
    pub sources: BTreeSet<SourceId>,
    /// All relays.
    pub relays: Vec<RelayAddress>,
    /// Open discovery connections at the most.
    #[serde(default = "default_agent_connections")]
    pub connections: usize,
}

/// The address of a relay.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelayAddress {
    /// Its name, the same at all agents.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
}

/// Rate limits of each connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RateLimitConfig {
    /// Sustained rate of a relay to an agent, bytes per second.
    pub agent_bytes_per_s: u32,
    /// Burst of a relay to an agent, bytes.
    pub agent_burst: u32,
    /// Sustained rate of a source to a relay, bytes per second.
    pub relay_bytes_per_s: u32,
    /// Burst of a source to a relay, bytes.
    pub relay_burst: u32,
}

impl Default for RateLimitConfig {
    fn default() -> Self {
        let agent = RateLimit::default();
        Self {
            agent_bytes_per_s: agent.bytes_per_s,
            agent_burst: agent.burst,
            relay_bytes_per_s: 4_000_000,
            relay_burst: 1_000_000,
        }
    }
}

impl RateLimitConfig {
    /// The limit of a relay to each agent.
    #[must_use]
    pub fn agent_limit(&self) -> RateLimit {
        RateLimit { bytes_per_s: self.agent_bytes_per_s, burst: self.agent_burst }
    }

    /// The limit of a source to each relay.
    #[must_use]
    pub fn relay_limit(&self) -> RateLimit {
        RateLimit { bytes_per_s: self.relay_bytes_per_s, burst: self.relay_burst }
    }
}

impl AgentConfig {
    /// The services that it subscribes to.
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
