//! Changes of exclusions that are in force but not yet persisted. Does no I/O and reads no clock.
//!
//! An operator's command takes effect immediately, even if the disk fails, and is queued here until it has
//! been written to the file.

use crate::exclusions::{Exclusions, Micros, TooManyExclusions};
use std::collections::VecDeque;

/// A requested change of the exclusions: the backend's id, and the time of the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExclusionChange {
    /// Excludes the backend from new requests.
    Exclude(String, Micros),
    /// Re-includes the backend after an exclusion.
    Include(String, Micros),
}

impl ExclusionChange {
    fn id(&self) -> &str {
        match self {
            Self::Exclude(id, _) | Self::Include(id, _) => id,
        }
    }

    /// Applies the change. Returns whether it changed the backend's state.
    ///
    /// # Errors
    /// If the maximum number of backends is excluded; nothing changes then.
    pub fn apply(&self, exclusions: &mut Exclusions) -> Result<bool, TooManyExclusions> {
        match self {
            Self::Exclude(id, at) => exclusions.exclude(id, *at),
            Self::Include(id, at) => Ok(exclusions.include(id, *at)),
        }
    }
}

#[derive(Debug)]
struct SequencedChange {
    sequence: u64,
    change: ExclusionChange,
}

/// The unpersisted changes in the order of the requests, at most one for each backend.
#[derive(Debug, Default)]
pub struct UnpersistedChanges {
    changes: VecDeque<SequencedChange>,
    last_sequence: u64,
}

impl UnpersistedChanges {
    /// Adds a change, which replaces an earlier change of the same backend.
    pub fn push(&mut self, change: ExclusionChange) {
        self.changes.retain(|earlier| earlier.change.id() != change.id());
        self.last_sequence += 1;
        self.changes.push_back(SequencedChange { sequence: self.last_sequence, change });
    }

    /// Whether all changes have been persisted.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// The sequence number of the change that was added last; 0 before the first one.
    #[must_use]
    pub fn last_sequence(&self) -> u64 {
        self.last_sequence
    }

    /// Drops the changes up to and including this sequence number, after the file with them has been written.
    pub fn mark_persisted(&mut self, last_sequence: u64) {
        self.changes.retain(|change| change.sequence > last_sequence);
    }

    /// Applies all changes, in order.
    ///
    /// # Errors
    /// If an exclusion is rejected because the maximum number of backends is excluded. The changes after it
    /// are still applied.
    pub fn apply(&self, exclusions: &mut Exclusions) -> Result<(), TooManyExclusions> {
        let mut result = Ok(());
        for SequencedChange { change, .. } in &self.changes {
            result = result.and(change.apply(exclusions).map(|_| ()));
        }
        result
    }
}

#[cfg(test)]
mod tests;
