//! What the proxy is told at its start: the file that `EDGE_CONFIG` names, and the environment.

use crate::name_index::NameIndex;
use crate::size_limits::{ANSWER_HEAD_CAP, BODY_CAP, REQUEST_HEAD_CAP};
use admin::console::MAX_CONNECTIONS;
use balancer::api::{Micros, Settings, SettingsError};
use serde::Deserialize;
use serde_json::Value;
use settings::parse_settings;
use settings::reload::{ReloadError, has_all_keys};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::{env, fmt, fs, io};

/// Descriptors that are neither clients nor backends: standard streams, the runtime, the listener, discovery.
const RESERVED_SOCKETS: usize = 24;
/// Those of a proxy with a console beside that: its listener and callers, its locks and what it writes.
const CONSOLE_SOCKETS: usize = MAX_CONNECTIONS + 8;
const DEFAULT_SOCKETS: usize = 1_024;
const DEFAULT_MEMORY_MB: usize = 192;
const DEFAULT_DIAL: Micros = 250_000;

/// Why the proxy can't start.
#[derive(Debug)]
pub enum ConfigError {
    /// A variable of the environment is missing.
    Missing(&'static str),
    /// The file can't be read.
    Unreadable(PathBuf, io::Error),
    /// The file is not the JSON that is wanted.
    Malformed(serde_json::Error),
    /// An address is missing or is none.
    Address(&'static str, String),
    /// A setting makes no sense.
    Settings(SettingsError),
    /// It can't take the place of the present configuration.
    Reload(ReloadError),
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing(name) => write!(f, "{name} is not set"),
            Self::Unreadable(path, error) => write!(f, "cannot read {}: {error}", path.display()),
            Self::Malformed(error) => write!(f, "malformed configuration: {error}"),
            Self::Address(field, given) => write!(f, "`{field}` is no address: `{given}`"),
            Self::Settings(error) => write!(f, "{error}"),
            Self::Reload(error) => write!(f, "{error}"),
        }
    }
}

impl std::error::Error for ConfigError {}

/// The configuration, checked.
#[derive(Debug)]
pub struct Config {
    /// The proxy's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery listens.
    pub discovery: SocketAddr,
    /// Where the operators's calls come, if anywhere. Only a proxy with a console is replaced while it serves.
    pub console: Option<SocketAddr>,
    /// For random numbers.
    pub seed: u64,
    /// The list of backends as last known, in discovery's form.
    pub known: Value,
    /// The module's settings.
    pub settings: Settings,
    /// What the settings name.
    pub names: NameIndex,
    /// The file as it came, without the list that it holds.
    pub shape: Value,
    /// A connection that is not up after this time has failed.
    pub dial_timeout: Micros,
    /// Client connections that may be open at a time.
    pub client_sockets: usize,
    /// Backend connections that may be open at a time, idle ones too.
    pub backend_sockets: usize,
    /// Bytes that bodies of requests beyond the usual size may hold at a time.
    pub large_bodies: usize,
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
    #[serde(default)]
    known: Value,
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

/// The part of the settings that only the sockets need.
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
    /// Reads the file that the environment names.
    ///
    /// # Errors
    /// Says in one line what is missing or wrong.
    pub fn from_env() -> Result<Self, ConfigError> {
        let path = PathBuf::from(env::var_os("EDGE_CONFIG").ok_or(ConfigError::Missing("EDGE_CONFIG"))?);
        Self::from_file(&path)
    }

    /// Reads the file that the environment names again, to take the place of a configuration of this shape.
    ///
    /// # Errors
    /// Says in one line what is missing or wrong, or was there before and is not now.
    pub fn again(shape: &Value) -> Result<Self, ConfigError> {
        let config = Self::from_env()?;
        has_all_keys(shape, &config.shape).map_err(ConfigError::Reload)?;
        Ok(config)
    }

    /// Reads this file; the environment fills in what it leaves out.
    ///
    /// # Errors
    /// Says in one line what is missing or wrong.
    pub fn from_file(path: &Path) -> Result<Self, ConfigError> {
        let text = fs::read(path).map_err(|e| ConfigError::Unreadable(path.into(), e))?;
        Self::parse(&text, |name| env::var(name).ok())
    }

    /// Reads the configuration from JSON text; `variable` fills in what the text leaves out.
    ///
    /// # Errors
    /// Says what is missing or wrong.
    pub fn parse(text: &[u8], variable: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let mut shape: Value = serde_json::from_slice(text).map_err(ConfigError::Malformed)?;
        let raw: RawConfig = serde_json::from_slice(text).map_err(ConfigError::Malformed)?;
        if let Some(known) = shape.get_mut("known") {
            *known = Value::Null;
        }
        let address = |field: &'static str, given: Option<String>, name: &str| {
            let given = given.or_else(|| variable(name)).unwrap_or_default();
            given.parse().map_err(|_| ConfigError::Address(field, given))
        };
        let settings = serde_json::to_vec(&raw.settings).map_err(ConfigError::Malformed)?;
        let more: RawNames = serde_json::from_value(raw.settings).map_err(ConfigError::Malformed)?;
        let named = |list: Vec<Named>| list.into_iter().map(|n| n.name).collect();
        let console = raw.console.or_else(|| variable("EDGE_CONSOLE")).filter(|given| !given.is_empty());
        let console = console.map(|given| address("console", Some(given), "EDGE_CONSOLE")).transpose()?;
        let (client_sockets, backend_sockets, large_bodies) = shares(&raw.limits, console.is_some());
        Ok(Self {
            name: raw.name.or_else(|| variable("EDGE_NAME")).unwrap_or_default(),
            listen: address("listen", raw.listen, "EDGE_LISTEN")?,
            discovery: address("discovery", raw.discovery, "EDGE_DISCOVERY")?,
            console,
            seed: seed(&raw.seed),
            known: raw.known,
            settings: parse_settings(&settings).map_err(ConfigError::Settings)?,
            names: NameIndex {
                classes: named(more.classes),
                tenants: named(more.tenants),
                zones: more.failure_domains,
                kinds: more.kinds,
                report: more.load_report.fields,
            },
            shape,
            dial_timeout: more.permissions.dial_timeout_us.filter(|&t| t > 0).unwrap_or(DEFAULT_DIAL),
            client_sockets,
            backend_sockets,
            large_bodies,
        })
    }
}

/// Client connections, backend connections, and bytes of large bodies that there may be at a time. What all of
/// them may hold has to fit into the memory: two fifths of it for the heads and bodies that came from clients, a
/// fifth for those from backends, a fifth for large bodies.
fn shares(limits: &RawLimits, console: bool) -> (usize, usize, usize) {
    let reserved = RESERVED_SOCKETS + if console { CONSOLE_SOCKETS } else { 0 };
    let free = limits.sockets.unwrap_or(DEFAULT_SOCKETS).max(2 * reserved) - reserved;
    let fifth = limits.memory_mb.unwrap_or(DEFAULT_MEMORY_MB).saturating_mul(1 << 20) / 5;
    // A client's connection may carry a request that waits for a backend's, so it gets the larger part.
    let clients = (free * 3 / 5).min(2 * fifth / (REQUEST_HEAD_CAP + BODY_CAP));
    let backends = (free - free * 3 / 5).min(fifth / (ANSWER_HEAD_CAP + BODY_CAP));
    (clients.max(1), backends.max(1), fifth)
}

/// The seed comes as hexadecimal text; a number is taken as well.
fn seed(value: &Value) -> u64 {
    let text = value.as_str().and_then(|s| u64::from_str_radix(s, 16).ok());
    text.or_else(|| value.as_u64()).unwrap_or_else(|| fastrand::Rng::new().u64(..))
}

#[cfg(test)]
mod tests;
