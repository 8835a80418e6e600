//! Limits for names and bodies of records, checked before a change is applied.

use crate::message::MAX_MESSAGE_BYTES;
use crate::record::{Change, RecordState};

/// Maximum length of a record's name, bytes: longer than any DNS name or address with a port.
pub const MAX_NAME_BYTES: usize = 255;
/// Maximum length of a record's body, bytes: half a message, so that a record always fits into one.
pub const MAX_BODY_BYTES: usize = MAX_MESSAGE_BYTES / 2;
/// Maximum number of characters of a record's name in an error.
const MAX_REPORTED_NAME_CHARS: usize = 64;

/// Why a change was not applied.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum WriteError {
    /// A name or body that exceeds its limit.
    #[error("{field} of `{name}` has {bytes} bytes, {max} at most")]
    TooLong {
        /// The part of the record that is too long: name or body.
        field: &'static str,
        /// Name of the record, truncated.
        name: String,
        /// Length of the name or body, bytes.
        bytes: usize,
        /// Maximum accepted length, bytes.
        max: usize,
    },
    /// A tombstone with a body; contains the truncated name of the record.
    #[error("`{0}` is gone and has a body; leave the body empty")]
    TombstoneWithBody(String),
}

/// Checks the length of a change's name and body, and that a tombstone has no body.
///
/// # Errors
/// The first violated rule.
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
    if change.state == RecordState::Gone && !change.body.is_empty() {
        return Err(WriteError::TombstoneWithBody(name()));
    }
    Ok(())
}
