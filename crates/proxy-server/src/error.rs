//! Errors of the proxy server.

use balancer::api::SettingsError;
use external_processor::server::ServerError;
use settings::reload::ReloadError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;
use tokio::task::JoinError;

/// Why the proxy server could not start, or ended without a stop request.
#[derive(Debug, Error)]
pub enum ProxyServerError {
    /// The listener on this address could not be opened.
    #[error("cannot listen on {0}: {1}")]
    Listen(SocketAddr, #[source] io::Error),
    /// No instance slot could be acquired in this directory, which the processes of this proxy share.
    #[error("cannot acquire an instance slot in {0}: {1}")]
    PersistentState(PathBuf, #[source] io::Error),
    /// The balancer rejected the settings.
    #[error("{0}")]
    Settings(#[from] SettingsError),
    /// No indices could be assigned to the configured request classes.
    #[error("{0}")]
    Classes(#[from] ReloadError),
    /// The external processor could not start.
    #[error("external processor: {0}")]
    ExternalProcessor(#[from] ServerError),
    /// The request engine's task returned or panicked before a stop was requested.
    #[error("the request engine ended before a stop was requested: {0:?}")]
    EngineEnded(Result<(), JoinError>),
}
