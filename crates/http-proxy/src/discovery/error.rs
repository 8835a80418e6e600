//! Errors of calls to discovery.

use super::client::MAX_LIST_BYTES;
use super::retry_delay::{MAX_OVERSIZED_DELAY, MIN_OVERSIZED_DELAY};
use crate::poll_schedule::CallFailure;
use balancer::api::Micros;
use hyper::StatusCode;
use thiserror::Error;

/// Why a call to discovery failed.
#[derive(Debug, Error)]
pub enum DiscoveryError {
    /// The connection could not be established.
    #[error("cannot connect")]
    Unreachable,
    /// The connection was lost before the response was complete.
    #[error("connection lost before the response was complete")]
    ConnectionLost,
    /// The head of the response, or the next part of its body, did not arrive in time.
    #[error("no answer in time")]
    Timeout,
    /// A response status other than 200.
    #[error("unexpected response status {0}")]
    Status(StatusCode),
    /// The list has more than [`MAX_LIST_BYTES`]; contains its size in bytes if the response's head gives it.
    #[error(
        "the list is too long: {}, at most {MAX_LIST_BYTES} bytes (about 25,000 backends) are supported; the present list \
         stays in use, and the list is requested again after {} s, later every {} s",
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
    /// How the failure of a call that took `duration` (microseconds) counts in the schedule of a shared
    /// service. `is_watching`: the call belonged to a running watch.
    pub(super) fn as_call_failure(&self, is_watching: bool, duration: Micros) -> CallFailure {
        match self {
            Self::Timeout if is_watching => CallFailure::WatchTimeout,
            Self::ConnectionLost | Self::Status(_) if !is_watching => CallFailure::Rejected(duration),
            _ => CallFailure::Unreachable,
        }
    }
}
