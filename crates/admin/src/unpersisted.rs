//! Changes of bans that are in force and that no disk has taken yet. Pure: no I/O, no clock.
//!
//! What an operator was promised binds at once, whatever the disk says, and is owed to the file until the file has it.

use crate::exclusions::{Exclusions, Micros, TooManyExclusions};
use std::collections::VecDeque;

/// One change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing new to this backend.
    Exclude(String, Micros),
    /// This backend may serve again.
    Include(String, Micros),
}

impl Change {
    fn id(&self) -> &str {
        match self {
            Self::Exclude(id, _) | Self::Include(id, _) => id,
        }
    }

    /// Makes it. Whether anything changed.
    ///
    /// # Errors
    /// At the bound on bans; then nothing has changed.
    pub fn apply(&self, bans: &mut Exclusions) -> Result<bool, TooManyExclusions> {
        match self {
            Self::Exclude(id, at) => bans.exclude(id, *at),
            Self::Include(id, at) => Ok(bans.include(id, *at)),
        }
    }
}

/// Changes in the order in which they were asked for, each with its number.
#[derive(Debug, Default)]
pub struct UnpersistedChanges {
    changes: VecDeque<(u64, Change)>,
    last: u64,
}

impl UnpersistedChanges {
    /// One more. Earlier ones of the same backend are no more than its past.
    pub fn push(&mut self, change: Change) {
        self.changes.retain(|(_, earlier)| earlier.id() != change.id());
        self.last += 1;
        self.changes.push_back((self.last, change));
    }

    /// Whether the file has all of them.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// The number of the last one.
    #[must_use]
    pub fn last(&self) -> u64 {
        self.last
    }

    /// The file has those up to this number.
    pub fn kept(&mut self, last: u64) {
        self.changes.retain(|(number, _)| *number > last);
    }

    /// Makes all of them.
    ///
    /// # Errors
    /// At the bound on bans; those behind the one that is too many are made all the same.
    pub fn apply(&self, bans: &mut Exclusions) -> Result<(), TooManyExclusions> {
        let mut result = Ok(());
        for (_, change) in &self.changes {
            result = result.and(change.apply(bans).map(|_| ()));
        }
        result
    }
}

#[cfg(test)]
mod tests;
