//! The configuration of source, relay and agent: one TOML file with a section for each.

mod settings;
mod validation;

pub use settings::{
    AgentConfig, Config, RateLimitConfig, RelayAddress, RelayConfig, SourceAddress, SourceConfig,
};
pub use validation::InvalidValue;

use std::path::{Path, PathBuf};
use std::{fs, io};
use validation::KeyProblem;

/// Why the configuration can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file can't be read.
    #[error("cannot read {0}: {1}")]
    Unreadable(PathBuf, io::Error),
    /// The text is not TOML.
    #[error("{0}: {1}")]
    Malformed(PathBuf, Box<toml::de::Error>),
    /// A key is missing, unknown, or of another type.
    #[error("{file}: `{key}`: {problem}")]
    Key {
        /// The file.
        file: PathBuf,
        /// The path of the key.
        key: String,
        /// The problem, and what would be accepted.
        problem: String,
    },
    /// A value is not accepted.
    #[error("{file}: `{key}`: {problem}")]
    Value {
        /// The file.
        file: PathBuf,
        /// The path of the key.
        key: String,
        /// The problem, and what would be accepted.
        problem: InvalidValue,
    },
    /// There is no section for the process that is started.
    #[error("{0}: there is no section `[{1}]`; see deploy/control.toml")]
    NoSection(PathBuf, &'static str),
}

impl Config {
    /// Reads and validates a file.
    ///
    /// # Errors
    /// The error names the file, and the line or the key that is wrong.
    pub fn from_file(path: &Path) -> Result<Self, ConfigError> {
        let text = fs::read_to_string(path).map_err(|error| ConfigError::Unreadable(path.into(), error))?;
        Self::parse(&text, path)
    }

    /// Parses and validates TOML text; `path` is for errors.
    ///
    /// # Errors
    /// The error names the file, and the line or the key that is wrong.
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

    /// The source's section.
    ///
    /// # Errors
    /// There is none.
    pub fn source(&self, path: &Path) -> Result<&SourceConfig, ConfigError> {
        self.source.as_ref().ok_or_else(|| ConfigError::NoSection(path.into(), "source"))
    }

    /// The relay's section.
    ///
    /// # Errors
    /// There is none.
    pub fn relay(&self, path: &Path) -> Result<&RelayConfig, ConfigError> {
        self.relay.as_ref().ok_or_else(|| ConfigError::NoSection(path.into(), "relay"))
    }

    /// The agent's section.
    ///
    /// # Errors
    /// There is none.
    pub fn agent(&self, path: &Path) -> Result<&AgentConfig, ConfigError> {
        self.agent.as_ref().ok_or_else(|| ConfigError::NoSection(path.into(), "agent"))
    }
}
