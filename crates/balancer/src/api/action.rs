//! What an instance wants done.

use super::{BackendId, Micros, RequestId};

/// What an instance wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The backend to send to.
        backend: BackendId,
        /// Latest time at which the attempt may begin, however late its connection is established; `Micros::MAX` for
        /// no limit.
        start_by: Micros,
        /// When to give it up.
        give_up_at: Micros,
    },
    /// Final response: rejected, and a retry is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client should wait before a retry; 0 for no advice.
        retry_after: Micros,
    },
    /// Final response: failed, with no promise about its effect.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u16,
    },
    /// Request an [`Event::TimerExpired`](super::Event::TimerExpired).
    SetTimer {
        /// Time from now.
        delay: Micros,
        /// Comes back with the event.
        token: u32,
    },
    /// Start watching discovery for changes.
    Subscribe,
    /// Send a health check to a backend.
    CheckHealth(BackendId),
    /// Close this proxy's idle connections to a backend.
    CloseIdleConnections(BackendId),
    /// A line for the operators' log.
    Log(String),
}
