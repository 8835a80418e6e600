//! Configuration of source, relay and agent: one TOML file with a section for each.

mod settings;
mod validation;

pub use settings::{
    AgentConfig, Config, RateLimitConfig, RelayAddress, RelayConfig, SourceAddress, SourceConfig,
};
pub use validation::InvalidValue;

use std::path::{Path, PathBuf};
use std::{fs, io};
use validation::KeyProblem;

/// Why a configuration can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file can't be read.
    #[error("cannot read {0}: {1}")]
    Unreadable(PathBuf, io::Error),
    /// The text is not valid TOML.
    #[error("{0}: {1}")]
    Malformed(PathBuf, Box<toml::de::Error>),
    /// A key is missing or unknown, or its value has the wrong type.
    #[error("{file}: `{key}`: {problem}")]
    Key {
        /// The configuration file.
        file: PathBuf,
        /// Path of the key, from the root of the document.
        key: String,
        /// Message of the TOML parser.
        problem: String,
    },
    /// A value is out of its range.
    #[error("{file}: `{key}`: {problem}")]
    Value {
        /// The configuration file.
        file: PathBuf,
        /// Path of the key, from the root of the document.
        key: String,
        /// Why the value is not accepted.
        problem: InvalidValue,
    },
    /// The section for the process to be started is missing.
    #[error("{0}: there is no section `[{1}]`; see deploy/control.toml")]
    NoSection(PathBuf, &'static str),
}

impl Config {
    /// Reads and validates a file.
    ///
    /// # Errors
    /// The error contains the file, and the line or the key that is invalid.
    pub fn from_file(path: &Path) -> Result<Self, ConfigError> {
        let text = fs::read_to_string(path).map_err(|error| ConfigError::Unreadable(path.into(), error))?;
        Self::parse(&text, path)
    }

    /// Parses and validates TOML text; `path` is used in errors only.
    ///
    /// # Errors
    /// The error contains the file, and the line or the key that is invalid.
    pub fn parse(text: &str, path: &Path) -> Result<Self, ConfigError> {
        let malformed = |error| ConfigError::Malformed(path.into(), Box::new(error));
        let document = toml::Deserializer::parse(text).map_err(malformed)?;
        let config: Self = serde_path_to_error::deserialize(document).map_err(|error| {
            let key = error.path().to_string();
            ConfigError::Key { file: path.into(), key, problem: error.into_inner().message().to_owned() }
        })?;
        match validation::validate(&config) {
            Ok(()) => Ok(config),
            Err(KeyProblem { key, problem }) => Err(ConfigError::Value { file: path.into(), key, problem }),
        }
    }

    /// The section of the source; `path` is used in errors only.
    ///
    /// # Errors
    /// [`ConfigError::NoSection`].
    pub fn source(&self, path: &Path) -> Result<&SourceConfig, ConfigError> {
        self.source.as_ref().ok_or_else(|| ConfigError::NoSection(path.into(), "source"))
    }

    /// The section of the relay; `path` is used in errors only.
    ///
    /// # Errors
    /// [`ConfigError::NoSection`].
    pub fn relay(&self, path: &Path) -> Result<&RelayConfig, ConfigError> {
        self.relay.as_ref().ok_or_else(|| ConfigError::NoSection(path.into(), "relay"))
    }

    /// The section of the agent; `path` is used in errors only.
    ///
    /// # Errors
    /// [`ConfigError::NoSection`].
    pub fn agent(&self, path: &Path) -> Result<&AgentConfig, ConfigError> {
        self.agent.as_ref().ok_or_else(|| ConfigError::NoSection(path.into(), "agent"))
    }
}
