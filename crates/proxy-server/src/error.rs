//! Why the proxy server failed.

use balancer::api::SettingsError;
use external_processor::server::ServerError;
use settings::reload::ReloadError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;
use tokio::task::JoinError;

/// Why the proxy server could not start, or ended early.
#[derive(Debug, Error)]
pub enum ProxyServerError {
    /// This address cannot be listened on.
    #[error("cannot listen on {0}: {1}")]
    Listen(SocketAddr, #[source] io::Error),
    /// The state shared with other processes of this proxy, in this directory, cannot be opened.
    #[error("{0}: {1}")]
    PersistentState(PathBuf, #[source] io::Error),
    /// The balancer rejected the settings.
    #[error("{0}")]
    Settings(#[from] SettingsError),
    /// The configured classes cannot be indexed.
    #[error("{0}")]
    Classes(#[from] ReloadError),
    /// The external processor cannot start.
    #[error("external processor: {0}")]
    ExternalProcessor(#[from] ServerError),
    /// The engine's task ended before a stop was requested: it returned or panicked.
    #[error("the engine ended: {0:?}")]
    EngineEnded(Result<(), JoinError>),
}
