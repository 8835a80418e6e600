//! Changes of exclusions that are in force and not yet persisted. Pure: no I/O, no clock.
//!
//! An operator's command takes effect at once, whatever the state of the disk, and is queued here until the file holds it.

use crate::exclusions::{Exclusions, Micros, TooManyExclusions};
use std::collections::VecDeque;

/// A change of the exclusions: the backend's id and when the change was requested.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExclusionChange {
    /// Excludes the backend.
    Exclude(String, Micros),
    /// Re-includes the backend.
    Include(String, Micros),
}

impl ExclusionChange {
    fn id(&self) -> &str {
        match self {
            Self::Exclude(id, _) | Self::Include(id, _) => id,
        }
    }

    /// Applies the change. Returns whether the backend's state changed.
    ///
    /// # Errors
    /// At the bound on exclusions; then nothing has changed.
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

/// The unpersisted changes, in the order in which they were requested.
#[derive(Debug, Default)]
pub struct UnpersistedChanges {
    changes: VecDeque<SequencedChange>,
    last_sequence: u64,
}

impl UnpersistedChanges {
    /// Adds a change. It replaces an earlier one of the same backend.
    pub fn push(&mut self, change: ExclusionChange) {
        self.changes.retain(|earlier| earlier.change.id() != change.id());
        self.last_sequence += 1;
        self.changes.push_back(SequencedChange { sequence: self.last_sequence, change });
    }

    /// Whether the file holds all changes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// The sequence number of the last change.
    #[must_use]
    pub fn last_sequence(&self) -> u64 {
        self.last_sequence
    }

    /// Drops the changes up to and including this sequence number: the file holds them.
    pub fn mark_persisted(&mut self, last_sequence: u64) {
        self.changes.retain(|change| change.sequence > last_sequence);
    }

    /// Applies all changes.
    ///
    /// # Errors
    /// At the bound on exclusions. The changes after the rejected one are applied all the same.
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
