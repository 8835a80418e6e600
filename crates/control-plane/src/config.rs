//! The settings of source, relay and agent: one TOML file, of which each reads its own section.

use crate::feed::{MAX_SCOPE, MAX_SOURCES, Pace};
use crate::record::{Scope, ServiceId, SourceId};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::{fs, io};

/// Why the settings can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// It can't be read.
    #[error("cannot read {0}: {1}")]
    Unreadable(PathBuf, io::Error),
    /// It is no TOML.
    #[error("{0}: {1}")]
    Malformed(PathBuf, Box<toml::de::Error>),
    /// A key is missing, unknown, or of another type.
    #[error("{file}: `{key}`: {problem}")]
    Key {
        /// The file.
        file: PathBuf,
        /// Where.
        key: String,
        /// What, and what would be right.
        problem: String,
    },
    /// There is no section for what is to be started.
    #[error("{0}: there is no section `[{1}]`; see deploy/control.toml")]
    NoSection(PathBuf, &'static str),
}

/// All of the file.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// A source of truth.
    pub source: Option<SourceConfig>,
    /// A relay.
    pub relay: Option<RelayConfig>,
    /// An agent.
    pub agent: Option<AgentConfig>,
    /// How much is sent to one connection.
    #[serde(default)]
    pub pace: PaceConfig,
}

/// A source of truth.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SourceConfig {
    /// Its number, its own among all sources.
    pub id: SourceId,
    /// Its name, for logs.
    pub name: String,
    /// Where relays and writers connect.
    pub listen: SocketAddr,
    /// Where it keeps its records over a restart.
    pub snapshot: PathBuf,
    /// How often it does, milliseconds, where something changed.
    #[serde(default = "default_snapshot_every_ms")]
    pub snapshot_every_ms: u64,
    /// Relays and writers at a time.
    #[serde(default = "default_source_connections")]
    pub connections: usize,
}

/// A relay.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelayConfig {
    /// Its name, for logs.
    pub name: String,
    /// Where agents connect.
    pub listen: SocketAddr,
    /// All sources.
    pub sources: Vec<SourceAddress>,
    /// Agents at a time.
    #[serde(default = "default_relay_connections")]
    pub connections: usize,
}

/// Where a source is.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SourceAddress {
    /// Its number.
    pub id: SourceId,
    /// Where it listens.
    pub address: SocketAddr,
}

/// An agent.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentConfig {
    /// Its name: decides which relay it prefers, so each its own.
    pub name: String,
    /// Where the proxy finds discovery.
    pub listen: SocketAddr,
    /// The services whose backends the proxy sends to.
    pub services: BTreeSet<ServiceId>,
    /// The sources that these belong to: discovery is answered once each of them was heard of.
    pub sources: BTreeSet<SourceId>,
    /// All relays.
    pub relays: Vec<RelayAddress>,
    /// Connections to discovery at a time.
    #[serde(default = "default_agent_connections")]
    pub connections: usize,
}

/// Where a relay is.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelayAddress {
    /// Its name, the same at all agents.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
}

/// How much is sent to one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PaceConfig {
    /// To an agent by its relay, bytes a second over long.
    pub agent_bytes_per_s: u32,
    /// To an agent at once, bytes.
    pub agent_burst: u32,
    /// To a relay by a source, bytes a second over long.
    pub relay_bytes_per_s: u32,
    /// To a relay at once, bytes.
    pub relay_burst: u32,
}

impl Default for PaceConfig {
    fn default() -> Self {
        let agent = Pace::default();
        Self {
            agent_bytes_per_s: agent.bytes_per_s,
            agent_burst: agent.burst,
            relay_bytes_per_s: 4_000_000,
            relay_burst: 1_000_000,
        }
    }
}

impl PaceConfig {
    /// Of a relay to its agents.
    #[must_use]
    pub fn of_agents(&self) -> Pace {
        Pace { bytes_per_s: self.agent_bytes_per_s, burst: self.agent_burst }
    }

    /// Of a source to its relays.
    #[must_use]
    pub fn of_relays(&self) -> Pace {
        Pace { bytes_per_s: self.relay_bytes_per_s, burst: self.relay_burst }
    }
}

impl AgentConfig {
    /// What it wants to hear of.
    #[must_use]
    pub fn scope(&self) -> Scope {
        Scope::Services(self.services.clone())
    }
}

fn default_snapshot_every_ms() -> u64 {
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

/// The longest name, bytes.
const MAX_NAME: usize = 128;
/// Relays in one list.
const MAX_RELAYS: usize = 1_024;
/// The smallest and largest useful times and numbers, with their keys.
const SNAPSHOT_EVERY_MS: (u64, u64) = (10, 3_600_000);
const CONNECTIONS: (u64, u64) = (1, 65_536);
const RATE: (u64, u64) = (1_000, 1_000_000_000);
/// A batch and a part of a service have a quarter of a message at most, 64 KB: less at once would be a debt each time.
const BURST: (u64, u64) = (1_000, 1_000_000_000);

impl Config {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// Names the file, and the line or the key that is wrong.
    pub fn from_file(path: &Path) -> Result<Self, ConfigError> {
        let text = fs::read_to_string(path).map_err(|e| ConfigError::Unreadable(path.into(), e))?;
        Self::parse(&text, path)
    }

    /// Reads and checks TOML text; `path` is for messages.
    ///
    /// # Errors
    /// Names the file, and the line or the key that is wrong.
    pub fn parse(text: &str, path: &Path) -> Result<Self, ConfigError> {
        let malformed = |e| ConfigError::Malformed(path.into(), Box::new(e));
        let document = toml::Deserializer::parse(text).map_err(malformed)?;
        let config: Self = serde_path_to_error::deserialize(document).map_err(|e| {
            let key = e.path().to_string();
            ConfigError::Key { file: path.into(), key, problem: e.into_inner().message().to_owned() }
        })?;
        match config.problem() {
            None => Ok(config),
            Some((key, problem)) => Err(ConfigError::Key { file: path.into(), key, problem }),
        }
    }

    /// The first key that makes no sense, and why.
    fn problem(&self) -> Option<(String, String)> {
        let pace = &self.pace;
        let paces = [
            ("pace.agent_bytes_per_s", pace.agent_bytes_per_s, RATE),
            ("pace.agent_burst", pace.agent_burst, BURST),
            ("pace.relay_bytes_per_s", pace.relay_bytes_per_s, RATE),
            ("pace.relay_burst", pace.relay_burst, BURST),
        ];
        let mut problem = paces.into_iter().find_map(|(key, value, bounds)| range(key, value.into(), bounds));
        if let Some(source) = &self.source {
            problem = problem
                .or_else(|| name("source.name", &source.name))
                .or_else(|| range("source.snapshot_every_ms", source.snapshot_every_ms, SNAPSHOT_EVERY_MS))
                .or_else(|| range("source.connections", source.connections as u64, CONNECTIONS));
            if problem.is_none() && source.snapshot.file_name().is_none() {
                problem = wrong("source.snapshot", format!("`{}` names no file", source.snapshot.display()));
            }
        }
        if let Some(relay) = &self.relay {
            let ids = relay.sources.iter().map(|s| s.id.to_string());
            problem = problem
                .or_else(|| name("relay.name", &relay.name))
                .or_else(|| range("relay.connections", relay.connections as u64, CONNECTIONS))
                .or_else(|| count("relay.sources", relay.sources.len(), MAX_SOURCES))
                .or_else(|| twice("relay.sources", "id", ids));
        }
        if let Some(agent) = &self.agent {
            let names = || agent.relays.iter().map(|r| r.name.clone());
            problem = problem
                .or_else(|| name("agent.name", &agent.name))
                .or_else(|| range("agent.connections", agent.connections as u64, CONNECTIONS))
                .or_else(|| count("agent.services", agent.services.len(), MAX_SCOPE))
                .or_else(|| count("agent.sources", agent.sources.len(), MAX_SOURCES))
                .or_else(|| count("agent.relays", agent.relays.len(), MAX_RELAYS))
                .or_else(|| {
                    names().enumerate().find_map(|(i, n)| name(&format!("agent.relays[{i}].name"), &n))
                })
                .or_else(|| twice("agent.relays", "name", names()));
        }
        problem
    }

    /// The source's section.
    ///
    /// # Errors
    /// Where there is none.
    pub fn source(&self, path: &Path) -> Result<&SourceConfig, ConfigError> {
        self.source.as_ref().ok_or_else(|| ConfigError::NoSection(path.into(), "source"))
    }

    /// The relay's section.
    ///
    /// # Errors
    /// Where there is none.
    pub fn relay(&self, path: &Path) -> Result<&RelayConfig, ConfigError> {
        self.relay.as_ref().ok_or_else(|| ConfigError::NoSection(path.into(), "relay"))
    }

    /// The agent's section.
    ///
    /// # Errors
    /// Where there is none.
    pub fn agent(&self, path: &Path) -> Result<&AgentConfig, ConfigError> {
        self.agent.as_ref().ok_or_else(|| ConfigError::NoSection(path.into(), "agent"))
    }
}

type Problem = Option<(String, String)>;

#[allow(clippy::unnecessary_wraps)]
fn wrong(key: &str, problem: String) -> Problem {
    Some((key.to_owned(), problem))
}

fn range(key: &str, value: u64, (least, most): (u64, u64)) -> Problem {
    if (least..=most).contains(&value) {
        None
    } else {
        wrong(key, format!("is {value}, must lie in {least}..={most}"))
    }
}

fn name(key: &str, name: &str) -> Problem {
    match name.len() {
        1..=MAX_NAME => None,
        0 => wrong(key, "is empty; give it a name of its own".into()),
        bytes => wrong(key, format!("has {bytes} bytes, {MAX_NAME} at most")),
    }
}

fn count(key: &str, count: usize, most: usize) -> Problem {
    match count {
        0 => wrong(key, "is empty; name one at the least".into()),
        _ if count > most => wrong(key, format!("names {count}, {most} at most")),
        _ => None,
    }
}

fn twice(key: &str, what: &str, names: impl Iterator<Item = String>) -> Problem {
    let mut seen = BTreeSet::new();
    for (i, name) in names.enumerate() {
        if seen.contains(&name) {
            return wrong(
                &format!("{key}[{i}].{what}"),
                format!("`{name}` stands there twice; each its own"),
            );
        }
        seen.insert(name);
    }
    None
}
