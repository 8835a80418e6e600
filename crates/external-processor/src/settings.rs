//! The settings of the external processor: a TOML file, read once at the start.

use balancer::api::Micros;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::{fs, io};
use thiserror::Error;

/// The settings file can't be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("cannot read {0}: {1}")]
    Unreadable(PathBuf, io::Error),
    /// The file is not valid TOML or has a wrong key or type; the error names line and key.
    #[error("{0}: {1}")]
    Malformed(PathBuf, Box<toml::de::Error>),
    /// A value is invalid.
    #[error("{file}: `{key}` {problem}")]
    InvalidValue {
        /// The file.
        file: PathBuf,
        /// The key.
        key: &'static str,
        /// What is wrong with its value.
        problem: String,
    },
}

/// The contents of the file.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The address on which callers connect.
    pub listen: SocketAddr,
    /// Whether gRPC reflection is served.
    #[serde(default)]
    pub reflection: bool,
    /// How long final answers are retained.
    #[serde(default, rename = "memory")]
    pub retention: Retention,
    /// Limits of what the processor holds at a time.
    #[serde(default)]
    pub bounds: Bounds,
    /// Header names and metadata of Envoy's `ext_proc` filter.
    #[serde(default)]
    pub envoy: Envoy,
}

/// How long final answers are retained, milliseconds. In keyed classes the time to live of the keys applies.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default, expecting = "struct Memory")]
pub struct Retention {
    /// In idempotent classes.
    #[serde(rename = "safe_ms")]
    pub idempotent_ms: u64,
    /// In non-idempotent classes; at least the class's deadline applies.
    #[serde(rename = "unsafe_ms")]
    pub non_idempotent_ms: u64,
}

/// Limits of what the processor holds at a time.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// Connections of callers; further ones are closed at once.
    pub connections: usize,
    /// Streams and unary calls on one connection.
    pub streams: u32,
    /// Open decisions of one caller; further ones are rejected.
    pub per_caller: usize,
    /// Active leases; at the limit requests are rejected.
    pub leases: usize,
    /// Requests in flight and retained final answers; at the limit requests are rejected, and no answer is removed
    /// early.
    #[serde(rename = "remembered")]
    pub retained: usize,
    /// Queued messages for the decision service; at the limit callers wait.
    pub queue: usize,
    /// Size of one message, bytes.
    pub message_bytes: usize,
}

/// Header names and metadata of Envoy's `ext_proc` filter.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Envoy {
    /// The request header that names the backend's endpoint.
    pub endpoint_header: String,
    /// The namespace of the dynamic metadata that also names it.
    pub metadata_namespace: String,
    /// The headers that describe a request.
    pub headers: Headers,
}

/// Names of the headers that describe a request, in lower case.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Headers {
    /// The correlation id.
    pub id: String,
    /// The class; without it, the first segment of the path is the class.
    pub class: String,
    /// The tenant.
    pub tenant: String,
    /// The idempotency key.
    #[serde(rename = "key")]
    pub idempotency_key: String,
    /// How long the client waits, milliseconds.
    pub time_left: String,
    /// The expected work, microseconds.
    #[serde(rename = "work")]
    pub expected_work: String,
    /// Marks a client's retry with `1`.
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
            per_caller: 16_384,
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

/// The longest retention, milliseconds: a day.
const MAX_RETENTION_MS: u64 = 86_400_000;

impl Settings {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// Names the file, and the line or the key that is wrong.
    pub fn from_file(path: &Path) -> Result<Self, SettingsError> {
        let text = fs::read_to_string(path).map_err(|e| SettingsError::Unreadable(path.into(), e))?;
        Self::parse(&text, path)
    }

    /// Reads and checks TOML text; `path` is for messages.
    ///
    /// # Errors
    /// Names the file, and the line or the key that is wrong.
    pub fn parse(text: &str, path: &Path) -> Result<Self, SettingsError> {
        let settings: Self =
            toml::from_str(text).map_err(|e| SettingsError::Malformed(path.into(), Box::new(e)))?;
        settings.validate(path)?;
        Ok(settings)
    }

    fn validate(&self, path: &Path) -> Result<(), SettingsError> {
        let error =
            |InvalidValue { key, problem }| SettingsError::InvalidValue { file: path.into(), key, problem };
        self.bounds.validate().map_err(error)?;
        self.retention.validate().map_err(error)?;
        self.envoy.validate().map_err(error)
    }
}

/// A key and what is wrong with its value.
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
            ("bounds.per_caller", self.per_caller, 1..=1 << 24),
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
        // A lease belongs to a request in flight.
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

/// HTTP/2 header names are in lower case: another name would never match.
fn is_header_name(name: &str) -> bool {
    let is_allowed =
        |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || matches!(byte, b'-' | b'_' | b'.');
    !name.is_empty() && name.bytes().all(is_allowed)
}

#[cfg(test)]
mod tests;
