//! Which backends the staff has taken out, and which it has called back of late. Pure: no I/O, no clock.
//!
//! A ban is by id and knows nothing of any list: it holds while the backend is gone, when it returns, and in the process
//! that replaces this one. It is a state and not a count: two calls out need one call back.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use thiserror::Error;

/// Backends that may be out, or be remembered as called back, at a time. Far above any fleet that staff works through by
/// hand; it bounds the file and the memory.
pub const MAX_EXCLUSIONS: usize = 4_096;

/// A point in time, microseconds since the Unix epoch.
pub type Micros = u64;

/// No further backend can be taken out.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("{MAX_EXCLUSIONS} backends are out already")]
pub struct TooManyExclusions;

/// The bans that hold, and the calls back.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Exclusions {
    /// Since when each backend is out.
    out: BTreeMap<String, Micros>,
    /// When each backend was called back. Staff restarts a backend while it is out, so it returns cold, and discovery may
    /// tell so only later.
    back: BTreeMap<String, Micros>,
}

impl Exclusions {
    /// Takes a backend out. Whether that is new.
    ///
    /// # Errors
    /// At the bound; then nothing has changed.
    pub fn exclude(&mut self, id: &str, now: Micros) -> Result<bool, TooManyExclusions> {
        let full = self.out.len() >= MAX_EXCLUSIONS;
        match self.out.entry(id.to_owned()) {
            Entry::Occupied(_) => Ok(false),
            Entry::Vacant(_) if full => Err(TooManyExclusions),
            Entry::Vacant(place) => {
                place.insert(now);
                self.back.remove(id);
                Ok(true)
            }
        }
    }

    /// Calls a backend back. Whether it was out.
    pub fn include(&mut self, id: &str, now: Micros) -> bool {
        if self.out.remove(id).is_none() {
            return false;
        }
        if self.back.len() >= MAX_EXCLUSIONS
            && let Some(oldest) = self.back.iter().min_by_key(|(_, at)| **at).map(|(id, _)| id.clone())
        {
            self.back.remove(&oldest);
        }
        self.back.insert(id.to_owned(), now);
        true
    }

    /// The same with other times.
    #[must_use]
    pub fn with_times(&self, time: impl Fn(Micros) -> Micros) -> Self {
        let all =
            |ids: &BTreeMap<String, Micros>| ids.iter().map(|(id, &at)| (id.clone(), time(at))).collect();
        Self { out: all(&self.out), back: all(&self.back) }
    }

    /// Whether nothing new may go to this backend.
    #[must_use]
    pub fn is_out(&self, id: &str) -> bool {
        self.out.contains_key(id)
    }

    /// When it was called back, as far as that is remembered.
    #[must_use]
    pub fn called_back(&self, id: &str) -> Option<Micros> {
        self.back.get(id).copied()
    }

    /// Forgets the calls back before `before`: backends that returned then are warm.
    pub fn forget(&mut self, before: Micros) {
        self.back.retain(|_, at| *at >= before);
    }

    /// The backends that are out, in order of their ids.
    pub fn out(&self) -> impl ExactSizeIterator<Item = &str> {
        self.out.keys().map(String::as_str)
    }

    /// The backends whose state differs in `other`, each once.
    #[must_use]
    pub fn changed(&self, other: &Self) -> Vec<String> {
        let state = |bans: &Self, id: &str| (bans.is_out(id), bans.called_back(id));
        let ids = [&self.out, &self.back, &other.out, &other.back].into_iter().flat_map(BTreeMap::keys);
        let mut ids: Vec<_> = ids.filter(|id| state(self, id) != state(other, id)).cloned().collect();
        ids.sort_unstable();
        ids.dedup();
        ids
    }

    /// Whether what was read keeps to the bounds.
    #[must_use]
    pub fn is_bounded(&self) -> bool {
        let fits = |ids: &BTreeMap<String, Micros>| {
            ids.len() <= MAX_EXCLUSIONS
                && ids.keys().all(|id| !id.is_empty() && id.len() <= crate::command::ID_CAP)
        };
        fits(&self.out) && fits(&self.back)
    }
}

#[cfg(test)]
mod tests;
