//! The settings of this front: a TOML file, read once at the start.

use balancer::api::Micros;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::{fs, io};
use thiserror::Error;

/// The file can't be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// It can't be read.
    #[error("cannot read {0}: {1}")]
    Unreadable(PathBuf, io::Error),
    /// It is not what is wanted; the message names line and key.
    #[error("{0}: {1}")]
    Malformed(PathBuf, Box<toml::de::Error>),
    /// A value makes no sense.
    #[error("{file}: `{key}` {problem}")]
    Senseless {
        /// The file.
        file: PathBuf,
        /// The key.
        key: &'static str,
        /// What is wrong with it.
        problem: String,
    },
}

/// All of the file.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Whether gRPC reflection is served.
    #[serde(default)]
    pub reflection: bool,
    /// How long the end of a request is remembered.
    #[serde(default)]
    pub memory: Memory,
    /// What there may be at a time.
    #[serde(default)]
    pub bounds: Bounds,
    /// What Envoy is told and how its requests are read.
    #[serde(default)]
    pub envoy: Envoy,
}

/// How long the end of a request is remembered, milliseconds. Keyed classes remember as long as their boxes do.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Memory {
    /// Of a class that is safe to repeat.
    pub safe_ms: u64,
    /// Of one that must not run twice; at the least its class's deadline.
    pub unsafe_ms: u64,
}

/// What there may be at a time.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// Connections of callers; a further one is closed at once.
    pub connections: usize,
    /// Streams and calls on one connection.
    pub streams: u32,
    /// Decisions that one caller has open; a further one is rejected.
    pub per_caller: usize,
    /// Leases that are out; at the bound a question is rejected.
    pub leases: usize,
    /// Requests that are held or remembered; at the bound a question is rejected, and nothing is forgotten early.
    pub remembered: usize,
    /// Questions on their way to the decisions; at the bound streams wait.
    pub queue: usize,
    /// Bytes of one message.
    pub message_bytes: usize,
}

/// What Envoy is told and how its requests are read.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Envoy {
    /// The header that names the box.
    pub endpoint_header: String,
    /// The namespace of the dynamic metadata that names it as well.
    pub metadata_namespace: String,
    /// The headers that say what a request is.
    pub headers: Headers,
}

/// The headers that say what a request is, in lower case.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Headers {
    /// The correlation id.
    pub id: String,
    /// The class; where it is absent, the first part of the path.
    pub class: String,
    /// The tenant.
    pub tenant: String,
    /// The idempotency key.
    pub key: String,
    /// How long the client waits, milliseconds.
    pub time_left: String,
    /// A guess at the work, microseconds.
    pub work: String,
    /// Marks a client's repeat with `1`.
    pub repeat: String,
}

impl Default for Memory {
    fn default() -> Self {
        Self { safe_ms: 1_000, unsafe_ms: 60_000 }
    }
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            connections: 64,
            streams: 4_096,
            per_caller: 16_384,
            leases: 32_768,
            remembered: 262_144,
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
            key: "idempotency-key".into(),
            time_left: "x-time-left-ms".into(),
            work: "x-weight-hint".into(),
            repeat: "x-repeat".into(),
        }
    }
}

/// Smallest and largest useful value of a bound.
const RANGES: [(&str, usize, usize); 7] = [
    ("bounds.connections", 1, 65_536),
    ("bounds.streams", 1, 1 << 20),
    ("bounds.per_caller", 1, 1 << 24),
    ("bounds.leases", 1, 1 << 24),
    ("bounds.remembered", 1, 1 << 26),
    ("bounds.queue", 1, 1 << 20),
    ("bounds.message_bytes", 1_024, 64 << 20),
];

/// The longest memory, milliseconds: a day.
const MAX_MEMORY_MS: u64 = 86_400_000;

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
        settings.check(path)?;
        Ok(settings)
    }

    fn check(&self, path: &Path) -> Result<(), SettingsError> {
        let senseless = |key, problem| SettingsError::Senseless { file: path.into(), key, problem };
        let b = &self.bounds;
        let values = [
            b.connections,
            b.streams as usize,
            b.per_caller,
            b.leases,
            b.remembered,
            b.queue,
            b.message_bytes,
        ];
        for ((key, least, most), value) in RANGES.into_iter().zip(values) {
            if !(least..=most).contains(&value) {
                return Err(senseless(key, format!("is {value}, must lie in {least}..={most}")));
            }
        }
        // A lease belongs to a request that is held.
        if b.remembered < b.leases {
            return Err(senseless("bounds.remembered", format!("must not be under the {} leases", b.leases)));
        }
        for (key, value) in
            [("memory.safe_ms", self.memory.safe_ms), ("memory.unsafe_ms", self.memory.unsafe_ms)]
        {
            if value > MAX_MEMORY_MS {
                return Err(senseless(key, format!("is {value}, must lie in 0..={MAX_MEMORY_MS}")));
            }
        }
        let h = &self.envoy.headers;
        let names = [
            ("envoy.endpoint_header", &self.envoy.endpoint_header),
            ("envoy.headers.id", &h.id),
            ("envoy.headers.class", &h.class),
            ("envoy.headers.tenant", &h.tenant),
            ("envoy.headers.key", &h.key),
            ("envoy.headers.time_left", &h.time_left),
            ("envoy.headers.work", &h.work),
            ("envoy.headers.repeat", &h.repeat),
        ];
        for (i, (key, name)) in names.iter().enumerate() {
            // HTTP/2 names are in lower case: another one would never be met.
            let good =
                |c: u8| c.is_ascii_lowercase() || c.is_ascii_digit() || matches!(c, b'-' | b'_' | b'.');
            if name.is_empty() || !name.bytes().all(good) {
                return Err(senseless(key, format!("`{name}` is no header name in lower case")));
            }
            if let Some((other, _)) = names[..i].iter().find(|(_, n)| n == name) {
                return Err(senseless(key, format!("`{name}` stands in `{other}` as well")));
            }
        }
        if self.envoy.metadata_namespace.is_empty() {
            Err(senseless("envoy.metadata_namespace", "must not be empty".into()))
        } else {
            Ok(())
        }
    }

    /// Memory of safe and of unsafe classes.
    #[must_use]
    pub fn memories(&self) -> (Micros, Micros) {
        (self.memory.safe_ms * 1_000, self.memory.unsafe_ms * 1_000)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn parse(text: &str) -> Result<Settings, SettingsError> {
        Settings::parse(text, Path::new("extproc.toml"))
    }

    #[test]
    fn an_address_is_enough() {
        let settings = parse("listen = \"127.0.0.1:9002\"").expect("good");
        assert_eq!((settings.bounds, settings.memory), (Bounds::default(), Memory::default()));
    }

    #[test]
    fn what_is_wrong_is_named() {
        for (text, says) in [
            ("", "listen"),
            ("listen = \"localhost\"", "listen"),
            ("listen = \"127.0.0.1:1\"\nlisen = 2", "lisen"),
            ("listen = \"127.0.0.1:1\"\n[bounds]\nqueue = 0", "`bounds.queue` is 0"),
            ("listen = \"127.0.0.1:1\"\n[bounds]\nremembered = 5", "`bounds.remembered`"),
            ("listen = \"127.0.0.1:1\"\n[memory]\nsafe_ms = 999999999", "`memory.safe_ms`"),
            ("listen = \"127.0.0.1:1\"\n[envoy]\nendpoint_header = \"X-Box\"", "`envoy.endpoint_header`"),
            ("listen = \"127.0.0.1:1\"\n[envoy.headers]\nid = \"x-account\"", "stands in `envoy.headers.id`"),
        ] {
            let error = parse(text).expect_err(text).to_string();
            assert!(error.contains(says) && error.contains("extproc.toml"), "{text}: {error}");
        }
    }
}
