//! Parses the JSON files in which operators write changes (format: docs/operators/control.md).

use crate::codec::encode_backend_body;
use crate::record::{Backend, Change, RecordKey, RecordKind, RecordState, ServiceId};
use serde::Deserialize;
use std::sync::Arc;

/// Why a file of changes can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ChangeFileError {
    /// The text is not JSON, a key is missing or unknown, or its value has the wrong type.
    #[error("`{key}`: {error}")]
    Malformed {
        /// Path of the key, from the root of the document.
        key: String,
        /// The error of the JSON parser.
        error: serde_json::Error,
    },
    /// There is text after the list of changes.
    #[error(transparent)]
    TrailingText(serde_json::Error),
    /// The fields of an entry contradict each other.
    #[error("`[{index}]`: {error}")]
    InvalidEntry {
        /// Index of the entry in the list, from 0.
        index: usize,
        /// Why the entry is invalid.
        error: EntryError,
    },
}

/// Why an entry of a file of changes can't be used.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum EntryError {
    /// A tombstone with content; contains the name of the entry.
    #[error("`{0}` is gone; leave out `backend` and `body`")]
    TombstoneWithContent(String),
    /// A size that is not finite or not greater than 0.
    #[error("`backend.size` of `{name}` is {size}, must be above 0")]
    InvalidSize {
        /// Name of the entry.
        name: String,
        /// The size of the backend.
        size: f64,
    },
    /// A backend without `backend`, or with `body`; contains the name of the entry.
    #[error("`{0}` is a backend; give `backend` and no `body`")]
    BackendExpected(String),
    /// A record of another kind without `body`, or with `backend`; contains the name of the entry.
    #[error("`{0}` is not a backend; give `body` and no `backend`")]
    BodyExpected(String),
}

/// An entry of the file: one change.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Entry {
    service: ServiceId,
    #[serde(with = "KindName")]
    kind: RecordKind,
    name: String,
    #[serde(with = "StateName")]
    state: RecordState,
    backend: Option<Backend>,
    body: Option<String>,
}

/// The names of [`RecordKind`] in the file.
#[derive(Deserialize)]
#[serde(remote = "RecordKind", rename_all = "lowercase", expecting = "enum Kind")]
enum KindName {
    Backend,
    Configuration,
    Route,
    Tenant,
}

/// The names of [`RecordState`] in the file.
#[derive(Deserialize)]
#[serde(remote = "RecordState", rename_all = "lowercase", expecting = "enum State")]
enum StateName {
    Active,
    Draining,
    Gone,
}

/// Parses a JSON list of changes, in the order in which they are to be applied.
///
/// # Errors
/// The first entry or key that is invalid.
pub fn parse_changes(text: &[u8]) -> Result<Vec<Change>, ChangeFileError> {
    let mut deserializer = serde_json::Deserializer::from_slice(text);
    let entries: Vec<Entry> = serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
        let key = error.path().to_string();
        ChangeFileError::Malformed { key, error: error.into_inner() }
    })?;
    deserializer.end().map_err(ChangeFileError::TrailingText)?;
    let entries = entries.into_iter().enumerate();
    entries
        .map(|(index, entry)| {
            Change::try_from(entry).map_err(|error| ChangeFileError::InvalidEntry { index, error })
        })
        .collect()
}

impl TryFrom<Entry> for Change {
    type Error = EntryError;

    fn try_from(entry: Entry) -> Result<Self, EntryError> {
        let Entry { service, kind, name, state, backend, body } = entry;
        let body = match (state, kind, backend, body) {
            (RecordState::Gone, _, None, None) => Arc::from([]),
            (RecordState::Gone, ..) => return Err(EntryError::TombstoneWithContent(name)),
            (_, RecordKind::Backend, Some(backend), None) => {
                if !(backend.capacity.is_finite() && backend.capacity > 0.0) {
                    return Err(EntryError::InvalidSize { name, size: backend.capacity });
                }
                encode_backend_body(&backend)
            }
            (_, RecordKind::Backend, ..) => return Err(EntryError::BackendExpected(name)),
            (_, _, None, Some(body)) => body.into_bytes().into(),
            _ => return Err(EntryError::BodyExpected(name)),
        };
        Ok(Self { key: RecordKey { service, kind, name: name.into() }, state, body })
    }
}
