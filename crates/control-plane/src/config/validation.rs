//! Bounds of the configuration's values.

use super::settings::{AgentConfig, Config, RateLimitConfig, RelayConfig, SourceConfig};
use crate::session::{MAX_SCOPE, MAX_SOURCES};
use std::collections::BTreeSet;
use std::ops::RangeInclusive;
use std::path::PathBuf;

/// The longest name, bytes.
const MAX_NAME_BYTES: usize = 128;
/// Relays in one list at the most.
const MAX_RELAYS: usize = 1_024;
/// Accepted intervals between snapshots, milliseconds.
const SNAPSHOT_INTERVAL_MS: RangeInclusive<u64> = 10..=3_600_000;
/// Accepted bounds of open connections.
const CONNECTIONS: RangeInclusive<u64> = 1..=65_536;
/// Accepted rates, bytes per second.
const RATE: RangeInclusive<u64> = 1_000..=1_000_000_000;
/// Accepted bursts, bytes. Batches and parts of snapshots have 64 KB at the most; a smaller burst is overdrawn each time.
const BURST: RangeInclusive<u64> = 1_000..=1_000_000_000;

/// A value that is not accepted.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum InvalidValue {
    /// A number out of its range.
    #[error("is {value}, must lie in {min}..={max}")]
    OutOfRange {
        /// The value.
        value: u64,
        /// The least accepted value.
        min: u64,
        /// The greatest accepted value.
        max: u64,
    },
    /// An empty name.
    #[error("is empty; give it a name of its own")]
    EmptyName,
    /// A name beyond its bound.
    #[error("has {bytes} bytes, {MAX_NAME_BYTES} at most")]
    NameTooLong {
        /// The length.
        bytes: usize,
    },
    /// An empty list.
    #[error("is empty; name one at the least")]
    EmptyList,
    /// A list beyond its bound.
    #[error("names {count}, {max} at most")]
    TooManyEntries {
        /// The number of entries.
        count: usize,
        /// The greatest accepted number.
        max: usize,
    },
    /// A value that has to be unique within its list.
    #[error("`{0}` stands there twice; each its own")]
    Duplicate(String),
    /// A path without a file name.
    #[error("`{path}` names no file", path = .0.display())]
    NoFileName(PathBuf),
}

/// A key with a value that is not accepted.
#[derive(Debug)]
pub(super) struct KeyProblem {
    /// The path of the key.
    pub key: String,
    /// The problem.
    pub problem: InvalidValue,
}

impl KeyProblem {
    fn new(key: &str, problem: InvalidValue) -> Self {
        Self { key: key.to_owned(), problem }
    }
}

/// Checks all values.
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
    check_range("pace.agent_bytes_per_s", limits.agent_bytes_per_s.into(), &RATE)?;
    check_range("pace.agent_burst", limits.agent_burst.into(), &BURST)?;
    check_range("pace.relay_bytes_per_s", limits.relay_bytes_per_s.into(), &RATE)?;
    check_range("pace.relay_burst", limits.relay_burst.into(), &BURST)
}

fn validate_source(source: &SourceConfig) -> Result<(), KeyProblem> {
    check_name("source.name", &source.name)?;
    check_range("source.snapshot_every_ms", source.snapshot_interval_ms, &SNAPSHOT_INTERVAL_MS)?;
    check_range("source.connections", source.connections as u64, &CONNECTIONS)?;
    if source.snapshot.file_name().is_none() {
        let problem = InvalidValue::NoFileName(source.snapshot.clone());
        return Err(KeyProblem::new("source.snapshot", problem));
    }
    Ok(())
}

fn validate_relay(relay: &RelayConfig) -> Result<(), KeyProblem> {
    check_name("relay.name", &relay.name)?;
    check_range("relay.connections", relay.connections as u64, &CONNECTIONS)?;
    check_count("relay.sources", relay.sources.len(), MAX_SOURCES)?;
    let ids = relay.sources.iter().map(|source| source.id.to_string());
    check_unique("relay.sources", "id", ids)
}

fn validate_agent(agent: &AgentConfig) -> Result<(), KeyProblem> {
    check_name("agent.name", &agent.name)?;
    check_range("agent.connections", agent.connections as u64, &CONNECTIONS)?;
    check_count("agent.services", agent.services.len(), MAX_SCOPE)?;
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
