//! Timers, and the tokens that identify them.

/// Number of low bits of a token that encode the kind of the timer; the other bits contain the index of
/// its request, if it has one.
const KIND_BITS: u32 = 2;
/// Low bits of the token of a [`Timer::QueueTimeout`].
const KIND_QUEUE_TIMEOUT: u32 = 0;
/// Low bits of the token of a [`Timer::Subscribe`].
const KIND_SUBSCRIBE: u32 = 1;

/// A timer of an instance.
#[derive(Clone, Copy)]
pub(super) enum Timer {
    /// The open request at this index has reached its maximum queueing time.
    QueueTimeout { request_index: usize },
    /// It is time to renew a failed watch on discovery.
    Subscribe,
}

impl Timer {
    pub(super) fn token(self) -> u32 {
        match self {
            Self::QueueTimeout { request_index } => (request_index as u32) << KIND_BITS | KIND_QUEUE_TIMEOUT,
            Self::Subscribe => KIND_SUBSCRIBE,
        }
    }

    /// The timer with this token; `None` for an invalid token.
    pub(super) fn from_token(token: u32) -> Option<Self> {
        match token & ((1 << KIND_BITS) - 1) {
            KIND_QUEUE_TIMEOUT => Some(Self::QueueTimeout { request_index: (token >> KIND_BITS) as usize }),
            KIND_SUBSCRIBE => Some(Self::Subscribe),
            _ => None,
        }
    }
}
