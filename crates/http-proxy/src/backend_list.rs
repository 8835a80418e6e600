//! The backends that discovery lists, with the operators' exclusions applied. Pure: no I/O, no clock.
//!
//! Exclusions are applied before the balancer sees the list. An excluded backend is listed as draining. A
//! re-included backend is listed as started at the moment of its re-inclusion, since operators restart
//! backends while they are excluded. The balancer then applies its rules for draining backends and for
//! backends that are warming up, and has no notion of exclusions.

use crate::backend_pool::ListedBackend;
use admin::exclusions::Exclusions;
use balancer::api::{Micros, Readiness};
use rustc_hash::FxHashMap;

/// A listed backend together with its name.
#[derive(Clone, Debug)]
pub struct NamedBackend {
    /// The name that discovery gives it, the same at every proxy.
    pub name: String,
    /// The entry in the list, before exclusions are applied.
    pub listed: ListedBackend,
}

/// The backends that discovery lists, and the exclusions in force.
#[derive(Debug, Default)]
pub struct BackendList {
    listed: FxHashMap<String, ListedBackend>,
    exclusions: Exclusions,
}

impl BackendList {
    /// An empty list with these exclusions in force.
    #[must_use]
    pub fn new(exclusions: Exclusions) -> Self {
        Self { listed: FxHashMap::default(), exclusions }
    }

    /// The exclusions in force.
    #[must_use]
    pub fn exclusions(&self) -> &Exclusions {
        &self.exclusions
    }

    /// Whether a backend with this name is listed or excluded.
    #[must_use]
    pub fn is_known(&self, name: &str) -> bool {
        self.listed.contains_key(name) || self.exclusions.is_excluded(name)
    }

    /// The number of backends that are listed as ready and not excluded.
    #[must_use]
    pub fn ready_count(&self) -> usize {
        let ready = self.listed.iter().filter(|(_, l)| l.backend.readiness == Readiness::Ready);
        ready.filter(|(name, _)| !self.exclusions.is_excluded(name)).count()
    }

    /// Applies a snapshot or a delta, and returns its entries with the exclusions applied, followed by those of
    /// backends that it supersedes.
    pub fn apply(&mut self, is_snapshot: bool, backends: Vec<NamedBackend>) -> Vec<ListedBackend> {
        if is_snapshot {
            self.listed.clear();
        }
        let mut updates = Vec::with_capacity(backends.len());
        for NamedBackend { name, listed } in backends {
            updates.push(self.with_exclusion(&name, listed));
            if listed.backend.readiness == Readiness::Removed {
                self.listed.remove(&name);
            } else {
                self.listed.insert(name, listed);
            }
        }
        for superseded in self.drain_superseded() {
            match updates.iter_mut().find(|update| update.backend.id == superseded.backend.id) {
                Some(update) => *update = superseded,
                None => updates.push(superseded),
            }
        }
        updates
    }

    /// Marks the backends as draining at whose address another one has started since, and returns their
    /// entries: what is sent there would reach the other one.
    fn drain_superseded(&mut self) -> Vec<ListedBackend> {
        let mut latest_starts = FxHashMap::default();
        for listed in self.listed.values().filter(|listed| listed.backend.readiness == Readiness::Ready) {
            let latest: &mut Option<Micros> = latest_starts.entry(listed.address).or_default();
            *latest = (*latest).max(listed.backend.started_at);
        }
        let superseded = self.listed.values_mut().filter(|listed| {
            let latest = latest_starts.get(&listed.address).copied().flatten();
            listed.backend.readiness == Readiness::Ready && listed.backend.started_at < latest
        });
        let drain = |listed: &mut ListedBackend| {
            listed.backend.readiness = Readiness::Draining;
            *listed
        };
        superseded.map(drain).collect()
    }

    /// Marks these backends as draining, if they are listed, until another list contains them, and returns
    /// their entries. Used for entries that could not be parsed: what has changed is unknown, so no further
    /// requests are sent there.
    pub fn mark_draining(&mut self, names: &[String]) -> Vec<ListedBackend> {
        let mut updates = Vec::new();
        for name in names {
            if let Some(listed) = self.listed.get_mut(name) {
                listed.backend.readiness = Readiness::Draining;
                updates.push(*listed);
            }
        }
        updates
    }

    /// Replaces the exclusions, and returns the entries that change as a result.
    pub fn set_exclusions(&mut self, exclusions: Exclusions) -> Vec<ListedBackend> {
        let changed = self.exclusions.differing_ids(&exclusions);
        self.exclusions = exclusions;
        changed.iter().filter_map(|name| Some(self.with_exclusion(name, *self.listed.get(name)?))).collect()
    }

    fn with_exclusion(&self, name: &str, mut listed: ListedBackend) -> ListedBackend {
        let backend = &mut listed.backend;
        if self.exclusions.is_excluded(name) && backend.readiness == Readiness::Ready {
            backend.readiness = Readiness::Draining;
        }
        // A later start in the list is another restart and takes precedence.
        if let Some(included_at) = self.exclusions.reincluded_at(name) {
            let started_at =
                backend.started_at.map_or(included_at, |started: Micros| started.max(included_at));
            backend.started_at = Some(started_at);
        }
        listed
    }
}

#[cfg(test)]
mod tests;
