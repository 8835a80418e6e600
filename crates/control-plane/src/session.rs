//! The rules that both ends of a connection apply to messages, and the errors that end a connection.

use crate::message::PROTOCOL_VERSION;

/// Services in a scope at the most, unless the scope is all services.
pub const MAX_SCOPE: usize = 4_096;
/// Sources that one node follows at the most.
pub const MAX_SOURCES: usize = 256;

/// Why a connection has to end; the text is sent in [`Message::Close`](crate::message::Message::Close).
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum SessionError {
    /// The other side uses another protocol version.
    #[error("protocol {theirs} is not spoken here, {ours} is; bring both parties to one version")]
    ProtocolMismatch {
        /// The version of the other side.
        theirs: u16,
        /// The version of this side.
        ours: u16,
    },
    /// A message that this node does not accept now.
    #[error("`{message}` makes no sense here: {expected}")]
    UnexpectedMessage {
        /// The message.
        message: &'static str,
        /// What would be accepted.
        expected: &'static str,
    },
    /// A count beyond its bound.
    #[error("{count} {items}, {max} at most")]
    LimitExceeded {
        /// What was counted.
        items: &'static str,
        /// The count.
        count: usize,
        /// The greatest accepted count.
        max: usize,
    },
    /// The bound of subscribers is reached.
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

/// Checks a count against its bound.
///
/// # Errors
/// [`SessionError::LimitExceeded`].
pub(crate) fn check_limit(items: &'static str, count: usize, max: usize) -> Result<(), SessionError> {
    if count > max { Err(SessionError::LimitExceeded { items, count, max }) } else { Ok(()) }
}
