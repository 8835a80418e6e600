//! The backends that operators have excluded, and those re-included recently. Pure: no I/O, no clock.
//!
//! An exclusion is by backend id and independent of discovery: it holds while the backend is absent, when it returns, and in
//! the process that replaces this one. It is a state and not a count: two exclusions need one re-inclusion.

use crate::command::MAX_BACKEND_ID_BYTES;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use thiserror::Error;

/// Backends that may be excluded, and re-inclusions that are recorded, at a time. Bounds the file and the memory.
pub const MAX_EXCLUSIONS: usize = 4_096;
/// How long a re-inclusion is recorded, microseconds: longer than any backend's slow start with a late discovery update.
pub const REINCLUSION_RETENTION: Micros = 120_000_000;

/// A point in time, microseconds since the Unix epoch.
pub type Micros = u64;

/// [`MAX_EXCLUSIONS`] backends are excluded; no further one can be.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("{MAX_EXCLUSIONS} backends are out already")]
pub struct TooManyExclusions;

/// The excluded backends and the recent re-inclusions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Exclusions {
    /// Since when each backend is excluded.
    #[serde(rename = "out")]
    excluded: BTreeMap<String, Micros>,
    /// When each backend was re-included. Operators restart a backend while it is excluded, so it returns without warm
    /// caches, and discovery may report the restart only later.
    #[serde(rename = "back")]
    reincluded: BTreeMap<String, Micros>,
}

impl Exclusions {
    /// Excludes a backend. Returns whether it was not excluded before.
    ///
    /// # Errors
    /// At [`MAX_EXCLUSIONS`]; then nothing has changed.
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

    /// Re-includes a backend. Returns whether it was excluded. At [`MAX_EXCLUSIONS`] the oldest record of a re-inclusion is
    /// dropped.
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

    /// A copy with each point in time converted by `convert`.
    #[must_use]
    pub fn map_times(&self, convert: impl Fn(Micros) -> Micros) -> Self {
        let map_all =
            |ids: &BTreeMap<String, Micros>| ids.iter().map(|(id, &at)| (id.clone(), convert(at))).collect();
        Self { excluded: map_all(&self.excluded), reincluded: map_all(&self.reincluded) }
    }

    /// Whether this backend is excluded.
    #[must_use]
    pub fn is_excluded(&self, id: &str) -> bool {
        self.excluded.contains_key(id)
    }

    /// When this backend was re-included, if that is still recorded.
    #[must_use]
    pub fn reincluded_at(&self, id: &str) -> Option<Micros> {
        self.reincluded.get(id).copied()
    }

    /// Drops the records of re-inclusions before `before`: those backends have completed their slow start.
    pub fn forget_reincluded_before(&mut self, before: Micros) {
        self.reincluded.retain(|_, at| *at >= before);
    }

    /// The ids of the excluded backends, sorted.
    pub fn excluded_ids(&self) -> impl ExactSizeIterator<Item = &str> {
        self.excluded.keys().map(String::as_str)
    }

    /// The ids of the backends whose state differs in `other`, sorted, each once.
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

    /// Whether the number of entries is within [`MAX_EXCLUSIONS`] and each id within [`MAX_BACKEND_ID_BYTES`].
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
