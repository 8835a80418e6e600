//! Fault scripts (TOML): the fleet of a scenario, its traffic, and the faults that are injected.

mod discovery;
mod faults;
mod fleet;
mod proxy_settings;
mod traffic;
mod validation;

pub use discovery::{Discovery, DiscoveryMode};
pub use faults::{
    BackendFault, BackendFaultKind, Direction, InitialList, LinkEndpoints, LinkFault, ProcessFault,
    ProcessFaultKind,
};
pub use fleet::FleetSpec;
pub(crate) use fleet::zone_of;
pub use traffic::{ClassSpec, IdempotencySpec, Traffic, WorkSpec};

use balancer::api::Micros;
use serde::Deserialize;
use std::path::{Path, PathBuf};
use std::{fs, io};
use thiserror::Error;

/// Maximum time of traffic and maximum duration of a fault, seconds.
const MAX_SECONDS: f64 = 600.0;
/// Maximum number of backends.
const MAX_BACKENDS: usize = 20_000;
/// Maximum number of proxies.
const MAX_PROXIES: usize = 2_000;
/// Maximum expected number of requests in one run.
const MAX_REQUESTS: f64 = 5_000_000.0;

/// Why a script can't be run.
#[derive(Debug, Error)]
pub enum ScriptError {
    /// The file can't be read.
    #[error("cannot read {0}: {1}")]
    Unreadable(PathBuf, io::Error),
    /// The text is not TOML of the expected form; the message contains line and column.
    #[error("{0}: {1}")]
    Malformed(PathBuf, Box<toml::de::Error>),
    /// A value is out of range; with the key, and the range or the reason.
    #[error("`{0}`: {1}")]
    Value(String, String),
}

/// One scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// The title printed with the results.
    #[serde(default)]
    pub title: String,
    /// Seed of all random numbers; in virtual time, the same seed gives the same result.
    pub seed: u64,
    /// How long clients send requests, seconds; 0.1 to 600.
    pub seconds: f64,
    /// Backends and proxies.
    pub fleet: FleetSpec,
    /// How proxies receive the list of backends.
    #[serde(default)]
    pub discovery: Discovery,
    /// Client traffic.
    pub traffic: Traffic,
    /// Request classes; 1 to 64.
    #[serde(rename = "class")]
    pub classes: Vec<ClassSpec>,
    /// Faults of backends and discovery.
    #[serde(default, rename = "trouble")]
    pub backend_faults: Vec<BackendFault>,
    /// Faults of proxy processes.
    #[serde(default, rename = "process")]
    pub process_faults: Vec<ProcessFault>,
    /// Faults of links between two endpoints; only in runs with processes.
    #[serde(default, rename = "link")]
    pub link_faults: Vec<LinkFault>,
}

/// Converts seconds to microseconds, truncating; negative values give 0.
#[must_use]
pub fn micros(seconds: f64) -> Micros {
    (seconds * 1e6) as Micros
}

impl Script {
    /// Reads and validates a script file.
    ///
    /// # Errors
    /// The file can't be read, is malformed, or contains a value out of range.
    pub fn read(path: &Path) -> Result<Self, ScriptError> {
        let text = fs::read_to_string(path).map_err(|error| ScriptError::Unreadable(path.into(), error))?;
        Self::parse(&text, path)
    }

    /// Parses and validates a script; `path` appears only in error messages.
    ///
    /// # Errors
    /// The text is malformed, or contains a value out of range.
    pub fn parse(text: &str, path: &Path) -> Result<Self, ScriptError> {
        let script: Self =
            toml::from_str(text).map_err(|error| ScriptError::Malformed(path.into(), Box::new(error)))?;
        script.check()?;
        Ok(script)
    }
}

#[cfg(test)]
mod tests;
