//! Errors of calls to discovery.

use super::client::MAX_LIST_BYTES;
use super::retry_delay::{MAX_OVERSIZED_DELAY, MIN_OVERSIZED_DELAY};
use crate::poll_schedule::CallFailure;
use balancer::api::Micros;
use hyper::StatusCode;
use thiserror::Error;

/// Why a call to discovery gave no list.
#[derive(Debug, Error)]
pub enum DiscoveryError {
    /// The connection could not be established.
    #[error("the connection failed")]
    Unreachable,
    /// The connection was lost before the response was complete.
    #[error("the connection broke")]
    ConnectionLost,
    /// The call timed out.
    #[error("no answer in time")]
    Timeout,
    /// A response status other than 200.
    #[error("answered {0}")]
    Status(StatusCode),
    /// A list of more than [`MAX_LIST_BYTES`]; its size in bytes, where the response's head gives it.
    #[error(
        "the list is too long: {}, and at most {MAX_LIST_BYTES} are read, some 25000 backends; the list that is held serves on, \
         and a shorter one is asked for after {} s, later each {} s",
        size_text(*.0), MIN_OVERSIZED_DELAY.as_secs(), MAX_OVERSIZED_DELAY.as_secs()
    )]
    Oversized(Option<u64>),
    /// Not JSON of the expected form.
    #[error("malformed list: {0}")]
    Malformed(serde_json::Error),
}

fn size_text(size: Option<u64>) -> String {
    match size {
        Some(bytes) => format!("{bytes} bytes"),
        None => format!("over {MAX_LIST_BYTES} bytes"),
    }
}

impl DiscoveryError {
    /// What the error of a call that took `duration` (microseconds) shows of a shared service. `is_watching`: the call
    /// belonged to a running watch.
    pub(super) fn as_call_failure(&self, is_watching: bool, duration: Micros) -> CallFailure {
        match self {
            Self::Timeout if is_watching => CallFailure::WatchTimeout,
            Self::ConnectionLost | Self::Status(_) if !is_watching => CallFailure::Rejected(duration),
            _ => CallFailure::Unreachable,
        }
    }
}
