//! The settings of the external processor, from a TOML file that is read once at start-up.

use balancer::api::Micros;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::{fs, io};
use thiserror::Error;

/// Why the settings file cannot be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("cannot read {0}: {1}")]
    Unreadable(PathBuf, io::Error),
    /// The file is not valid TOML, or a key is unknown or has the wrong type. The error names the line and
    /// the key.
    #[error("{0}: {1}")]
    Malformed(PathBuf, Box<toml::de::Error>),
    /// A value is invalid.
    #[error("{file}: `{key}` {problem}")]
    InvalidValue {
        /// Path of the file.
        file: PathBuf,
        /// The key, with its sections.
        key: &'static str,
        /// Why the value is invalid; the text follows the key.
        problem: String,
    },
}

/// The contents of the settings file.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The address on which the gRPC services listen.
    pub listen: SocketAddr,
    /// Whether gRPC reflection is served.
    #[serde(default)]
    pub reflection: bool,
    /// How long final outcomes are retained.
    #[serde(default, rename = "memory")]
    pub retention: Retention,
    /// Limits on connections, messages and requests.
    #[serde(default, rename = "bounds")]
    pub limits: Bounds,
    /// Header names and metadata of Envoy's `ext_proc` filter.
    #[serde(default)]
    pub envoy: Envoy,
}

/// How long final outcomes are retained, milliseconds. In keyed classes the time to live of the keys applies.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default, expecting = "struct Memory")]
pub struct Retention {
    /// Retention in idempotent classes.
    #[serde(rename = "safe_ms")]
    pub idempotent_ms: u64,
    /// Retention in non-idempotent classes; raised to the class's response deadline if shorter.
    #[serde(rename = "unsafe_ms")]
    pub non_idempotent_ms: u64,
}

/// Limits on connections, messages and requests.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// Maximum number of callers' connections; any more are closed at once.
    pub connections: usize,
    /// Maximum number of concurrent streams and unary calls on one connection.
    pub streams: u32,
    /// Maximum number of open decisions of one caller; any more are rejected.
    #[serde(rename = "per_caller")]
    pub open_decisions_per_caller: usize,
    /// Maximum number of active leases; at the limit, requests are rejected.
    pub leases: usize,
    /// Maximum number of requests in flight and retained final outcomes; at the limit, requests are rejected,
    /// and no outcome is removed early.
    #[serde(rename = "remembered")]
    pub retained: usize,
    /// Maximum number of queued messages to the decision service; at the limit, callers wait.
    pub queue: usize,
    /// Maximum size of one received message, bytes.
    pub message_bytes: usize,
}

/// Header names and metadata of Envoy's `ext_proc` filter.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Envoy {
    /// The request header, and the key in the dynamic metadata, whose value is the backend's endpoint.
    pub endpoint_header: String,
    /// The namespace of the dynamic metadata that also contains the endpoint.
    pub metadata_namespace: String,
    /// The headers that describe a request.
    pub headers: Headers,
}

/// Names of the headers that describe a request, in lower case.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Headers {
    /// Header of the correlation id.
    pub id: String,
    /// Header of the request class; without it, the first segment of the path is the class.
    pub class: String,
    /// Header of the tenant.
    pub tenant: String,
    /// Header of the idempotency key.
    #[serde(rename = "key")]
    pub idempotency_key: String,
    /// Header of the time that the client still waits for the response, milliseconds.
    pub time_left: String,
    /// Header of the expected work on a standard core, microseconds.
    #[serde(rename = "work")]
    pub expected_work: String,
    /// Header that marks a client's retry with the value `1`.
    #[serde(rename = "repeat")]
    pub retry: String,
}

impl Default for Retention {
    fn default() -> Self {
        Self { idempotent_ms: 1_000, non_idempotent_ms: 60_000 }
    }
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            connections: 64,
            streams: 4_096,
            open_decisions_per_caller: 16_384,
            leases: 32_768,
            retained: 262_144,
            queue: 4_096,
            message_bytes: 256 * 1_024,
        }
    }
}

impl Default for Envoy {
    fn default() -> Self {
        Self {
            endpoint_header: "x-gateway-destination-endpoint".into(),
            metadata_namespace: "envoy.lb".into(),
            headers: Headers::default(),
        }
    }
}

impl Default for Headers {
    fn default() -> Self {
        Self {
            id: "x-correlation-id".into(),
            class: "x-service-class".into(),
            tenant: "x-account".into(),
            idempotency_key: "idempotency-key".into(),
            time_left: "x-time-left-ms".into(),
            expected_work: "x-weight-hint".into(),
            retry: "x-repeat".into(),
        }
    }
}

/// Maximum retention, milliseconds: one day.
const MAX_RETENTION_MS: u64 = 86_400_000;

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// If the file is unreadable or invalid; names the file, and the line or the key.
    pub fn from_file(path: &Path) -> Result<Self, SettingsError> {
        let text = fs::read_to_string(path).map_err(|e| SettingsError::Unreadable(path.into(), e))?;
        Self::parse(&text, path)
    }

    /// Parses and validates TOML text; errors refer to it by `path`.
    ///
    /// # Errors
    /// If the text is invalid; names the line or the key.
    pub fn parse(text: &str, path: &Path) -> Result<Self, SettingsError> {
        let settings: Self =
            toml::from_str(text).map_err(|e| SettingsError::Malformed(path.into(), Box::new(e)))?;
        settings.validate(path)?;
        Ok(settings)
    }

    fn validate(&self, path: &Path) -> Result<(), SettingsError> {
        let error =
            |InvalidValue { key, problem }| SettingsError::InvalidValue { file: path.into(), key, problem };
        self.limits.validate().map_err(error)?;
        self.retention.validate().map_err(error)?;
        self.envoy.validate().map_err(error)
    }
}

/// A key whose value is invalid, and why.
struct InvalidValue {
    key: &'static str,
    problem: String,
}

fn invalid_value(key: &'static str, problem: String) -> Result<(), InvalidValue> {
    Err(InvalidValue { key, problem })
}

impl Bounds {
    fn validate(&self) -> Result<(), InvalidValue> {
        let ranges = [
            ("bounds.connections", self.connections, 1..=65_536),
            ("bounds.streams", self.streams as usize, 1..=1 << 20),
            ("bounds.per_caller", self.open_decisions_per_caller, 1..=1 << 24),
            ("bounds.leases", self.leases, 1..=1 << 24),
            ("bounds.remembered", self.retained, 1..=1 << 26),
            ("bounds.queue", self.queue, 1..=1 << 20),
            ("bounds.message_bytes", self.message_bytes, 1_024..=64 << 20),
        ];
        for (key, value, range) in ranges {
            if !range.contains(&value) {
                return invalid_value(key, format!("is {value}, must lie in {range:?}"));
            }
        }
        // Each lease belongs to a request in flight, which counts towards `retained`.
        if self.retained < self.leases {
            return invalid_value(
                "bounds.remembered",
                format!("must not be under the {} leases", self.leases),
            );
        }
        Ok(())
    }
}

impl Retention {
    fn validate(&self) -> Result<(), InvalidValue> {
        let values = [("memory.safe_ms", self.idempotent_ms), ("memory.unsafe_ms", self.non_idempotent_ms)];
        for (key, value) in values {
            if value > MAX_RETENTION_MS {
                return invalid_value(key, format!("is {value}, must lie in 0..={MAX_RETENTION_MS}"));
            }
        }
        Ok(())
    }

    /// Retention in idempotent classes, microseconds.
    #[must_use]
    pub fn idempotent(&self) -> Micros {
        self.idempotent_ms * 1_000
    }

    /// Retention in non-idempotent classes, microseconds.
    #[must_use]
    pub fn non_idempotent(&self) -> Micros {
        self.non_idempotent_ms * 1_000
    }
}

impl Envoy {
    fn validate(&self) -> Result<(), InvalidValue> {
        let headers = &self.headers;
        let names = [
            ("envoy.endpoint_header", &self.endpoint_header),
            ("envoy.headers.id", &headers.id),
            ("envoy.headers.class", &headers.class),
            ("envoy.headers.tenant", &headers.tenant),
            ("envoy.headers.key", &headers.idempotency_key),
            ("envoy.headers.time_left", &headers.time_left),
            ("envoy.headers.work", &headers.expected_work),
            ("envoy.headers.repeat", &headers.retry),
        ];
        for (position, (key, name)) in names.iter().enumerate() {
            if !is_header_name(name) {
                return invalid_value(key, format!("`{name}` is no header name in lower case"));
            }
            if let Some((other, _)) = names[..position].iter().find(|(_, earlier)| earlier == name) {
                return invalid_value(key, format!("`{name}` stands in `{other}` as well"));
            }
        }
        if self.metadata_namespace.is_empty() {
            return invalid_value("envoy.metadata_namespace", "must not be empty".into());
        }
        Ok(())
    }
}

/// Whether a name can occur in HTTP/2, where header names are in lower case: any other name would never
/// match.
fn is_header_name(name: &str) -> bool {
    let is_allowed =
        |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || matches!(byte, b'-' | b'_' | b'.');
    !name.is_empty() && name.bytes().all(is_allowed)
}

#[cfg(test)]
mod tests;
