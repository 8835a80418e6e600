//! Bounds of records, checked before a change is applied.

use crate::message::MAX_MESSAGE_BYTES;
use crate::record::{Change, State};

/// The longest name of a record, bytes: more than any DNS name or address with a port.
pub const MAX_NAME_BYTES: usize = 255;
/// The longest body of a record, bytes: half a message, so that it always fits into one.
pub const MAX_BODY_BYTES: usize = MAX_MESSAGE_BYTES / 2;
/// Characters of a record's name in an error at the most.
const MAX_REPORTED_NAME_CHARS: usize = 64;

/// Why a change was not applied.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum WriteError {
    /// A name or body beyond its bound.
    #[error("{field} of `{name}` has {bytes} bytes, {max} at most")]
    TooLong {
        /// Name or body.
        field: &'static str,
        /// The record's name, shortened.
        name: String,
        /// The length.
        bytes: usize,
        /// The greatest accepted length.
        max: usize,
    },
    /// A tombstone with a body.
    #[error("`{0}` is gone and has a body; leave the body empty")]
    TombstoneWithBody(String),
}

/// Checks a change against the bounds of records.
///
/// # Errors
/// The first bound that it exceeds.
pub fn validate_change(change: &Change) -> Result<(), WriteError> {
    let name = || change.key.name.chars().take(MAX_REPORTED_NAME_CHARS).collect::<String>();
    let lengths = [
        ("the name", change.key.name.len(), MAX_NAME_BYTES),
        ("the body", change.body.len(), MAX_BODY_BYTES),
    ];
    for (field, bytes, max) in lengths {
        if bytes > max {
            return Err(WriteError::TooLong { field, name: name(), bytes, max });
        }
    }
    if change.state == State::Gone && !change.body.is_empty() {
        return Err(WriteError::TombstoneWithBody(name()));
    }
    Ok(())
}
