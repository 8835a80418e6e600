//! Validation of the configuration's values.

use super::settings::{AgentConfig, Config, RateLimitConfig, RelayConfig, SourceConfig};
use crate::session::{MAX_SCOPE_SERVICES, MAX_SOURCES};
use std::collections::BTreeSet;
use std::ops::RangeInclusive;
use std::path::PathBuf;

/// Maximum length of a name, bytes.
const MAX_NAME_BYTES: usize = 128;
/// Maximum number of relays in the configuration of an agent.
const MAX_RELAYS: usize = 1_024;
/// Accepted intervals between snapshots, milliseconds.
const SNAPSHOT_INTERVAL_MS: RangeInclusive<u64> = 10..=3_600_000;
/// Accepted limits of open connections.
const MAX_CONNECTIONS: RangeInclusive<u64> = 1..=65_536;
/// Accepted rates, bytes per second.
const RATE_BYTES_PER_S: RangeInclusive<u64> = 1_000..=1_000_000_000;
/// Accepted bursts, bytes. Batches and parts of snapshots have up to 64 KB; a burst below their size is
/// overdrawn each time.
const BURST_BYTES: RangeInclusive<u64> = 1_000..=1_000_000_000;

/// Why a value is not accepted.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum InvalidValue {
    /// A number out of its range.
    #[error("is {value}, must lie in {min}..={max}")]
    OutOfRange {
        /// The configured value.
        value: u64,
        /// Minimum accepted value.
        min: u64,
        /// Maximum accepted value.
        max: u64,
    },
    /// An empty name.
    #[error("is empty; give it a name of its own")]
    EmptyName,
    /// A name that exceeds the maximum length.
    #[error("has {bytes} bytes, {MAX_NAME_BYTES} at most")]
    NameTooLong {
        /// Length of the name, bytes.
        bytes: usize,
    },
    /// An empty list.
    #[error("is empty; name one at the least")]
    EmptyList,
    /// A list with too many entries.
    #[error("names {count}, {max} at most")]
    TooManyEntries {
        /// Number of entries.
        count: usize,
        /// Maximum accepted number of entries.
        max: usize,
    },
    /// A value that occurs twice in a list, where it has to be unique.
    #[error("`{0}` stands there twice; each its own")]
    Duplicate(String),
    /// A path without a file name.
    #[error("`{path}` names no file", path = .0.display())]
    NoFileName(PathBuf),
}

/// A key with a value that is not accepted.
#[derive(Debug)]
pub(super) struct KeyProblem {
    /// Path of the key, from the root of the document.
    pub key: String,
    pub problem: InvalidValue,
}

impl KeyProblem {
    fn new(key: &str, problem: InvalidValue) -> Self {
        Self { key: key.to_owned(), problem }
    }
}

/// Checks the values of all sections.
///
/// # Errors
/// The first value that is not accepted.
pub(super) fn validate(config: &Config) -> Result<(), KeyProblem> {
    validate_rate_limits(&config.rate_limit)?;
    config.source.as_ref().map_or(Ok(()), validate_source)?;
    config.relay.as_ref().map_or(Ok(()), validate_relay)?;
    config.agent.as_ref().map_or(Ok(()), validate_agent)
}

fn validate_rate_limits(limits: &RateLimitConfig) -> Result<(), KeyProblem> {
    check_range("pace.agent_bytes_per_s", limits.agent_bytes_per_s.into(), &RATE_BYTES_PER_S)?;
    check_range("pace.agent_burst", limits.agent_burst_bytes.into(), &BURST_BYTES)?;
    check_range("pace.relay_bytes_per_s", limits.relay_bytes_per_s.into(), &RATE_BYTES_PER_S)?;
    check_range("pace.relay_burst", limits.relay_burst_bytes.into(), &BURST_BYTES)
}

fn validate_source(source: &SourceConfig) -> Result<(), KeyProblem> {
    check_name("source.name", &source.name)?;
    check_range("source.snapshot_every_ms", source.snapshot_interval_ms, &SNAPSHOT_INTERVAL_MS)?;
    check_range("source.connections", source.max_connections as u64, &MAX_CONNECTIONS)?;
    if source.snapshot_path.file_name().is_none() {
        let problem = InvalidValue::NoFileName(source.snapshot_path.clone());
        return Err(KeyProblem::new("source.snapshot", problem));
    }
    Ok(())
}

fn validate_relay(relay: &RelayConfig) -> Result<(), KeyProblem> {
    check_name("relay.name", &relay.name)?;
    check_range("relay.connections", relay.max_connections as u64, &MAX_CONNECTIONS)?;
    check_count("relay.sources", relay.sources.len(), MAX_SOURCES)?;
    let ids = relay.sources.iter().map(|source| source.id.to_string());
    check_unique("relay.sources", "id", ids)
}

fn validate_agent(agent: &AgentConfig) -> Result<(), KeyProblem> {
    check_name("agent.name", &agent.name)?;
    check_range("agent.connections", agent.max_connections as u64, &MAX_CONNECTIONS)?;
    check_count("agent.services", agent.services.len(), MAX_SCOPE_SERVICES)?;
    check_count("agent.sources", agent.sources.len(), MAX_SOURCES)?;
    check_count("agent.relays", agent.relays.len(), MAX_RELAYS)?;
    for (index, relay) in agent.relays.iter().enumerate() {
        check_name(&format!("agent.relays[{index}].name"), &relay.name)?;
    }
    check_unique("agent.relays", "name", agent.relays.iter().map(|relay| relay.name.clone()))
}

fn check_range(key: &str, value: u64, accepted: &RangeInclusive<u64>) -> Result<(), KeyProblem> {
    if accepted.contains(&value) {
        return Ok(());
    }
    let (min, max) = (*accepted.start(), *accepted.end());
    Err(KeyProblem::new(key, InvalidValue::OutOfRange { value, min, max }))
}

fn check_name(key: &str, name: &str) -> Result<(), KeyProblem> {
    match name.len() {
        1..=MAX_NAME_BYTES => Ok(()),
        0 => Err(KeyProblem::new(key, InvalidValue::EmptyName)),
        bytes => Err(KeyProblem::new(key, InvalidValue::NameTooLong { bytes })),
    }
}

fn check_count(key: &str, count: usize, max: usize) -> Result<(), KeyProblem> {
    match count {
        0 => Err(KeyProblem::new(key, InvalidValue::EmptyList)),
        _ if count > max => Err(KeyProblem::new(key, InvalidValue::TooManyEntries { count, max })),
        _ => Ok(()),
    }
}

fn check_unique(key: &str, field: &str, values: impl Iterator<Item = String>) -> Result<(), KeyProblem> {
    let mut seen = BTreeSet::new();
    for (index, value) in values.enumerate() {
        if seen.contains(&value) {
            let problem = InvalidValue::Duplicate(value);
            return Err(KeyProblem::new(&format!("{key}[{index}].{field}"), problem));
        }
        seen.insert(value);
    }
    Ok(())
}
