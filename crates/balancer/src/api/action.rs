//! Actions that an instance returns for the proxy to execute.

use super::{BackendId, Micros, RequestId};

/// An action for the proxy to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The backend to send to.
        backend: BackendId,
        /// Latest time at which the attempt may begin, also if its connection is established later than that;
        /// `Micros::MAX` for no limit.
        start_by: Micros,
        /// Time at which the attempt times out.
        timeout_at: Micros,
    },
    /// Final response: the request was rejected, and the client may safely retry it.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client should wait before a retry; 0 if no `Retry-After` is to be sent.
        retry_after: Micros,
    },
    /// Final response: the request failed, and may or may not have been executed.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Number of the attempt, from 0 in the order of the sends.
        attempt: u16,
    },
    /// Deliver an [`Event::TimerExpired`](super::Event::TimerExpired) after a delay.
    SetTimer {
        /// Time from now.
        delay: Micros,
        /// Identifies the timer; passed back in the event.
        token: u32,
    },
    /// Start watching discovery for changes.
    Subscribe,
    /// Send a health check to a backend.
    CheckHealth(BackendId),
    /// Close this proxy's idle connections to a backend.
    CloseIdleConnections(BackendId),
    /// Write a line to the operators' log.
    Log(String),
}
