//! The configuration: the file whose path is in `EDGE_CONFIG`, and environment variables for keys that the
//! file omits.

use crate::name_index::NameIndex;
use crate::size_limits::{MAX_BUFFERED_BODY_BYTES, MAX_REQUEST_HEAD_BYTES, MAX_RESPONSE_HEAD_BYTES};
use admin::console::MAX_CONNECTIONS;
use balancer::api::{Micros, Settings, SettingsError};
use serde::Deserialize;
use serde_json::Value;
use settings::parse_settings;
use settings::reload::{ReloadError, check_required_keys};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::{env, fs, io};
use thiserror::Error;

/// Descriptors that neither client nor backend connections use: standard streams, the runtime, the listener,
/// discovery.
const RESERVED_SOCKETS: usize = 24;
/// Descriptors that the operators' console uses in addition: its listener and connections, lock files and
/// snapshots.
const CONSOLE_SOCKETS: usize = MAX_CONNECTIONS + 8;
/// The maximum memory of a client connection: the HTTP library's read buffer, a chunk that holds the one before
/// it, and the beginning of a body, which exceeds the size of a small one by at most a chunk.
const MAX_CLIENT_CONNECTION_BYTES: usize = 3 * MAX_REQUEST_HEAD_BYTES + MAX_BUFFERED_BODY_BYTES;
const DEFAULT_SOCKETS: usize = 1_024;
const DEFAULT_MEMORY_MB: usize = 192;
/// The time limit for connecting to a backend if the configuration gives none, in microseconds.
const DEFAULT_CONNECT_TIMEOUT: Micros = 250_000;

/// Why a configuration is rejected.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// This environment variable is not set.
    #[error("{0} is not set")]
    Missing(&'static str),
    /// The file can't be read.
    #[error("cannot read {path}: {error}", path = .0.display(), error = .1)]
    Unreadable(PathBuf, io::Error),
    /// The file is not JSON of the expected form.
    #[error("malformed configuration: {0}")]
    Malformed(serde_json::Error),
    /// An address is missing or can't be parsed; contains the key and the given text.
    #[error("`{0}` is no address: `{1}`")]
    Address(&'static str, String),
    /// A setting is invalid.
    #[error("{0}")]
    Settings(SettingsError),
    /// It is valid, but can't replace the configuration in force.
    #[error("{0}")]
    Reload(ReloadError),
}

/// A valid configuration.
#[derive(Debug)]
pub struct Config {
    /// The name of this proxy; may be empty.
    pub name: String,
    /// The address of the listener for clients.
    pub listen: SocketAddr,
    /// The address of the discovery agent or service.
    pub discovery: SocketAddr,
    /// The address of the operators' console, if there is one. Only a proxy with a console supports process
    /// replacement.
    pub console: Option<SocketAddr>,
    /// The seed of the balancer's random numbers.
    pub seed: u64,
    /// The last known backend list, in discovery's format.
    pub known_backends: Value,
    /// The balancer's settings.
    pub settings: Settings,
    /// The names that the settings define.
    pub names: NameIndex,
    /// The content of the file without its backend list, for comparison with a reloaded one.
    pub document_without_list: Value,
    /// The time limit for connecting to a backend, in microseconds.
    pub connect_timeout: Micros,
    /// The maximum number of open client connections.
    pub max_client_connections: usize,
    /// The maximum number of open backend connections, including idle ones.
    pub max_backend_connections: usize,
    /// The maximum total size of buffered request bodies that exceed [`MAX_BUFFERED_BODY_BYTES`], in bytes.
    pub large_body_budget_bytes: usize,
}

#[derive(Deserialize)]
struct RawConfig {
    #[serde(default)]
    name: Option<String>,
    #[serde(default)]
    listen: Option<String>,
    #[serde(default)]
    discovery: Option<String>,
    #[serde(default)]
    console: Option<String>,
    #[serde(default)]
    seed: Value,
    #[serde(default)]
    limits: RawLimits,
    #[serde(default, rename = "known")]
    known_backends: Value,
    settings: Value,
}

#[derive(Deserialize, Default)]
struct RawLimits {
    #[serde(default)]
    sockets: Option<usize>,
    #[serde(default)]
    memory_mb: Option<usize>,
}

#[derive(Deserialize)]
struct Named {
    #[serde(default)]
    name: String,
}

/// The part of the settings that the front end uses and the balancer does not.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawNames {
    #[serde(default)]
    classes: Vec<Named>,
    #[serde(default)]
    tenants: Vec<Named>,
    #[serde(default)]
    failure_domains: Vec<String>,
    #[serde(default)]
    kinds: Vec<String>,
    #[serde(default)]
    load_report: RawReport,
    #[serde(default)]
    permissions: RawPermissions,
}

#[derive(Deserialize, Default)]
struct RawReport {
    #[serde(default)]
    fields: Vec<String>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase")]
struct RawPermissions {
    #[serde(default)]
    dial_timeout_us: Option<Micros>,
}

impl Config {
    /// Reads the file whose path is in `EDGE_CONFIG`.
    ///
    /// # Errors
    /// What is missing or invalid, in one line.
    pub fn from_env() -> Result<Self, ConfigError> {
        let path = PathBuf::from(env::var_os("EDGE_CONFIG").ok_or(ConfigError::Missing("EDGE_CONFIG"))?);
        Self::from_file(&path)
    }

    /// Reads the file whose path is in `EDGE_CONFIG`, to replace a configuration with this
    /// [`document_without_list`](Config::document_without_list).
    ///
    /// # Errors
    /// The text names, in one line, what is missing or invalid, or a key that the replaced configuration has
    /// and this one lacks.
    pub fn reload(document: &Value) -> Result<Self, ConfigError> {
        let config = Self::from_env()?;
        check_required_keys(document, &config.document_without_list).map_err(ConfigError::Reload)?;
        Ok(config)
    }

    /// Reads the file at this path; environment variables supply keys that the file omits.
    ///
    /// # Errors
    /// What is missing or invalid, in one line.
    pub fn from_file(path: &Path) -> Result<Self, ConfigError> {
        let text = fs::read(path).map_err(|e| ConfigError::Unreadable(path.into(), e))?;
        Self::parse(&text, |name| env::var(name).ok())
    }

    /// Parses a configuration in JSON; `variable` looks up the environment variables that supply keys that
    /// the text omits.
    ///
    /// # Errors
    /// What is missing or invalid, in one line.
    pub fn parse(text: &[u8], variable: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let mut document_without_list: Value =
            serde_json::from_slice(text).map_err(ConfigError::Malformed)?;
        let raw: RawConfig = serde_json::from_slice(text).map_err(ConfigError::Malformed)?;
        if let Some(known_backends) = document_without_list.get_mut("known") {
            *known_backends = Value::Null;
        }
        let address = |field: &'static str, given: Option<String>, name: &str| {
            let given = given.or_else(|| variable(name)).unwrap_or_default();
            given.parse().map_err(|_| ConfigError::Address(field, given))
        };
        let settings = serde_json::to_vec(&raw.settings).map_err(ConfigError::Malformed)?;
        let raw_names: RawNames = serde_json::from_value(raw.settings).map_err(ConfigError::Malformed)?;
        let named = |list: Vec<Named>| list.into_iter().map(|n| n.name).collect();
        let console = raw.console.or_else(|| variable("EDGE_CONSOLE")).filter(|given| !given.is_empty());
        let console = console.map(|given| address("console", Some(given), "EDGE_CONSOLE")).transpose()?;
        let capacity = Capacity::new(&raw.limits, console.is_some());
        Ok(Self {
            name: raw.name.or_else(|| variable("EDGE_NAME")).unwrap_or_default(),
            listen: address("listen", raw.listen, "EDGE_LISTEN")?,
            discovery: address("discovery", raw.discovery, "EDGE_DISCOVERY")?,
            console,
            seed: parse_seed(&raw.seed),
            known_backends: raw.known_backends,
            settings: parse_settings(&settings).map_err(ConfigError::Settings)?,
            names: NameIndex {
                classes: named(raw_names.classes),
                tenants: named(raw_names.tenants),
                zones: raw_names.failure_domains,
                machine_kinds: raw_names.kinds,
                report_fields: raw_names.load_report.fields,
            },
            document_without_list,
            connect_timeout: raw_names
                .permissions
                .dial_timeout_us
                .filter(|&t| t > 0)
                .unwrap_or(DEFAULT_CONNECT_TIMEOUT),
            max_client_connections: capacity.max_client_connections,
            max_backend_connections: capacity.max_backend_connections,
            large_body_budget_bytes: capacity.large_body_budget_bytes,
        })
    }
}

/// The numbers of connections and the size of buffered bodies that fit into the limits of the process.
#[derive(Clone, Copy, Debug)]
struct Capacity {
    max_client_connections: usize,
    max_backend_connections: usize,
    large_body_budget_bytes: usize,
}

impl Capacity {
    /// Divides the memory into fifths: two for the heads and bodies of requests, one for those of responses,
    /// one for large bodies, and one for everything else.
    fn new(limits: &RawLimits, has_console: bool) -> Self {
        let reserved = RESERVED_SOCKETS + if has_console { CONSOLE_SOCKETS } else { 0 };
        let free = limits.sockets.unwrap_or(DEFAULT_SOCKETS).max(2 * reserved) - reserved;
        let fifth = limits.memory_mb.unwrap_or(DEFAULT_MEMORY_MB).saturating_mul(1 << 20) / 5;
        // A client connection may wait for a backend connection with its request, so clients get the larger
        // part.
        let clients = (free * 3 / 5).min(2 * fifth / MAX_CLIENT_CONNECTION_BYTES);
        let backends = (free - free * 3 / 5).min(fifth / (MAX_RESPONSE_HEAD_BYTES + MAX_BUFFERED_BODY_BYTES));
        Self {
            max_client_connections: clients.max(1),
            max_backend_connections: backends.max(1),
            large_body_budget_bytes: fifth,
        }
    }
}

/// Parses the seed, which is hexadecimal text or a number; without one the seed is random.
fn parse_seed(value: &Value) -> u64 {
    let text = value.as_str().and_then(|s| u64::from_str_radix(s, 16).ok());
    text.or_else(|| value.as_u64()).unwrap_or_else(|| fastrand::Rng::new().u64(..))
}

#[cfg(test)]
mod tests;
