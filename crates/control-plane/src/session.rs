//! Checks of received messages that upstream and downstream share, and the errors that end a connection.

use crate::message::PROTOCOL_VERSION;

/// Maximum number of services in a scope, unless the scope is all services.
pub const MAX_SCOPE_SERVICES: usize = 4_096;
/// Maximum number of sources that one node follows.
pub const MAX_SOURCES: usize = 256;

/// Why a connection has to be closed. The text is sent in [`Message::Close`](crate::message::Message::Close).
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum SessionError {
    /// The other side uses another protocol version.
    #[error("protocol {theirs} is not spoken here, {ours} is; bring both parties to one version")]
    ProtocolMismatch {
        /// The protocol version of the other side.
        theirs: u16,
        /// The protocol version of this side.
        ours: u16,
    },
    /// A message that this node does not accept in the current state of the connection.
    #[error("`{message}` makes no sense here: {expected}")]
    UnexpectedMessage {
        /// Name of the received message.
        message: &'static str,
        /// Which messages would be accepted.
        expected: &'static str,
    },
    /// A count that exceeds its limit.
    #[error("{count} {items}, {max} at most")]
    LimitExceeded {
        /// What was counted.
        items: &'static str,
        /// The received count.
        count: usize,
        /// Maximum accepted count.
        max: usize,
    },
    /// The limit of subscribers, or of connections, is reached; contains the limit.
    #[error("{0} subscribers are connected, no more are taken; try another relay")]
    TooManySubscribers(usize),
}

/// Checks that the other side uses this protocol version.
///
/// # Errors
/// [`SessionError::ProtocolMismatch`].
pub(crate) fn check_protocol_version(theirs: u16) -> Result<(), SessionError> {
    if theirs == PROTOCOL_VERSION {
        Ok(())
    } else {
        Err(SessionError::ProtocolMismatch { theirs, ours: PROTOCOL_VERSION })
    }
}

/// Checks a count against its limit, `max`.
///
/// # Errors
/// [`SessionError::LimitExceeded`].
pub(crate) fn check_limit(items: &'static str, count: usize, max: usize) -> Result<(), SessionError> {
    if count > max { Err(SessionError::LimitExceeded { items, count, max }) } else { Ok(()) }
}
