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
mod tests {
    use super::*;

    #[test]
    fn what_the_file_lacks_is_laid_over_it_until_it_is_there() {
        let mut pending = UnpersistedChanges::default();
        pending.push(Change::Exclude("a".into(), 5));
        let first = pending.last();
        pending.push(Change::Exclude("b".into(), 6));
        let mut read = Exclusions::default();
        assert_eq!(pending.apply(&mut read), Ok(()));
        assert!(read.is_out("a") && read.is_out("b"));
        pending.kept(first);
        let mut read = Exclusions::default();
        assert_eq!(pending.apply(&mut read), Ok(()));
        assert!(!read.is_out("a") && read.is_out("b"));
        pending.kept(pending.last());
        assert!(pending.is_empty());
    }

    #[test]
    fn the_last_change_of_a_backend_counts() {
        let mut pending = UnpersistedChanges::default();
        pending.push(Change::Exclude("a".into(), 5));
        let asked = pending.last();
        pending.push(Change::Include("a".into(), 6));
        // The file took the first while the second was asked for.
        pending.kept(asked);
        let mut read = Exclusions::default();
        assert_eq!(read.exclude("a", 5), Ok(true));
        assert_eq!(pending.apply(&mut read), Ok(()));
        assert_eq!((read.is_out("a"), read.called_back("a")), (false, Some(6)));
    }
}
