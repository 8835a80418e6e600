//! The backends that operators have excluded, and those that were re-included recently. Does no I/O and reads
//! no clock.
//!
//! Exclusions are keyed by backend id and independent of discovery: an exclusion remains in force while the
//! backend is absent from the list, when it returns, and in the process that replaces this one. Exclusions
//! are not counted: one re-inclusion ends two exclusions of the same backend.

use crate::command::MAX_BACKEND_ID_BYTES;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use thiserror::Error;

/// The maximum number of excluded backends, and of recorded re-inclusions. Bounds the size of the file and
/// the memory.
pub const MAX_EXCLUSIONS: usize = 4_096;
/// How long a re-inclusion is recorded, in microseconds: longer than the slow start of any backend, including
/// a late discovery update.
pub const REINCLUSION_RETENTION: Micros = 120_000_000;

/// A point in time in microseconds since the Unix epoch, or a duration in microseconds.
pub type Micros = u64;

/// An exclusion was rejected because [`MAX_EXCLUSIONS`] backends are already excluded.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("{MAX_EXCLUSIONS} backends are out already")]
pub struct TooManyExclusions;

/// The excluded backends and the recent re-inclusions, by backend id.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Exclusions {
    /// When each backend was excluded.
    #[serde(rename = "out")]
    excluded: BTreeMap<String, Micros>,
    /// When each backend was re-included. Operators may have restarted a backend while it was excluded: it
    /// then returns with empty caches and needs a slow start, and discovery may report the restart only
    /// later.
    #[serde(rename = "back")]
    reincluded: BTreeMap<String, Micros>,
}

impl Exclusions {
    /// Excludes a backend. Returns `false` if it was excluded already.
    ///
    /// # Errors
    /// If [`MAX_EXCLUSIONS`] backends are excluded; nothing changes then.
    pub fn exclude(&mut self, id: &str, now: Micros) -> Result<bool, TooManyExclusions> {
        let is_full = self.excluded.len() >= MAX_EXCLUSIONS;
        match self.excluded.entry(id.to_owned()) {
            Entry::Occupied(_) => Ok(false),
            Entry::Vacant(_) if is_full => Err(TooManyExclusions),
            Entry::Vacant(entry) => {
                entry.insert(now);
                self.reincluded.remove(id);
                Ok(true)
            }
        }
    }

    /// Re-includes a backend. Returns `false` if it was not excluded. If [`MAX_EXCLUSIONS`] re-inclusions are
    /// recorded, the oldest record is dropped.
    pub fn include(&mut self, id: &str, now: Micros) -> bool {
        if self.excluded.remove(id).is_none() {
            return false;
        }
        if self.reincluded.len() >= MAX_EXCLUSIONS
            && let Some(oldest) = self.reincluded.iter().min_by_key(|(_, at)| **at).map(|(id, _)| id.clone())
        {
            self.reincluded.remove(&oldest);
        }
        self.reincluded.insert(id.to_owned(), now);
        true
    }

    /// Returns a copy in which `convert` is applied to each point in time.
    #[must_use]
    pub fn map_times(&self, convert: impl Fn(Micros) -> Micros) -> Self {
        let map_all =
            |ids: &BTreeMap<String, Micros>| ids.iter().map(|(id, &at)| (id.clone(), convert(at))).collect();
        Self { excluded: map_all(&self.excluded), reincluded: map_all(&self.reincluded) }
    }

    /// Whether the backend with this id is excluded; `false` also for an unknown id.
    #[must_use]
    pub fn is_excluded(&self, id: &str) -> bool {
        self.excluded.contains_key(id)
    }

    /// When the backend with this id was re-included, if that is still recorded and it was not excluded
    /// since.
    #[must_use]
    pub fn reincluded_at(&self, id: &str) -> Option<Micros> {
        self.reincluded.get(id).copied()
    }

    /// Drops the records of re-inclusions that are older than `before`: those backends have completed their
    /// slow start.
    pub fn prune_reinclusions_before(&mut self, before: Micros) {
        self.reincluded.retain(|_, at| *at >= before);
    }

    /// The ids of the excluded backends, in ascending order.
    pub fn excluded_ids(&self) -> impl ExactSizeIterator<Item = &str> {
        self.excluded.keys().map(String::as_str)
    }

    /// The ids of the backends whose exclusion or re-inclusion differs in `other`, in ascending order without
    /// duplicates.
    #[must_use]
    pub fn differing_ids(&self, other: &Self) -> Vec<String> {
        let state = |exclusions: &Self, id: &str| (exclusions.is_excluded(id), exclusions.reincluded_at(id));
        let maps = [&self.excluded, &self.reincluded, &other.excluded, &other.reincluded];
        let ids = maps.into_iter().flat_map(BTreeMap::keys);
        let mut ids: Vec<_> = ids.filter(|id| state(self, id) != state(other, id)).cloned().collect();
        ids.sort_unstable();
        ids.dedup();
        ids
    }

    /// Whether there are at most [`MAX_EXCLUSIONS`] exclusions and as many re-inclusions, and each id has 1
    /// to [`MAX_BACKEND_ID_BYTES`] bytes.
    #[must_use]
    pub fn is_within_bounds(&self) -> bool {
        let is_bounded = |ids: &BTreeMap<String, Micros>| {
            ids.len() <= MAX_EXCLUSIONS
                && ids.keys().all(|id| !id.is_empty() && id.len() <= MAX_BACKEND_ID_BYTES)
        };
        is_bounded(&self.excluded) && is_bounded(&self.reincluded)
    }
}

#[cfg(test)]
mod tests;
