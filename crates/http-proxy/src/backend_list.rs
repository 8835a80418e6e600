//! The backends as discovery tells them, under the bans of the operators. Pure: no I/O, no clock.
//!
//! A ban is laid over the list before the decisions see it: a backend that is out is listed as draining, and one that was
//! called back as started at that moment, since operators restarts backends while they are out. So everything that holds for
//! draining and for cold backends holds here, and the decisions know nothing of bans.

use crate::backend_pool::ListedBackend;
use admin::exclusions::Exclusions;
use balancer::api::{Micros, Readiness};
use rustc_hash::FxHashMap;

/// An entry of a list under its own name.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Its name, the same at every proxy.
    pub name: String,
    /// What is told of it.
    pub listed: ListedBackend,
}

/// What is listed, and what is banned.
#[derive(Debug, Default)]
pub struct BackendList {
    listed: FxHashMap<String, ListedBackend>,
    bans: Exclusions,
}

impl BackendList {
    /// Nothing is listed yet, and these bans hold.
    #[must_use]
    pub fn new(bans: Exclusions) -> Self {
        Self { listed: FxHashMap::default(), bans }
    }

    /// The bans that hold.
    #[must_use]
    pub fn bans(&self) -> &Exclusions {
        &self.bans
    }

    /// Whether anybody has this name: a backend that is listed, or one that is out and will be remembered.
    #[must_use]
    pub fn knows(&self, name: &str) -> bool {
        self.listed.contains_key(name) || self.bans.is_out(name)
    }

    /// Backends that are listed as ready and are not out.
    #[must_use]
    pub fn serving(&self) -> usize {
        let ready = self.listed.iter().filter(|(_, l)| l.backend.readiness == Readiness::Ready);
        ready.filter(|(name, _)| !self.bans.is_out(name)).count()
    }

    /// Takes a list, and gives it as the decisions are to see it.
    pub fn take(&mut self, complete: bool, entries: Vec<Entry>) -> Vec<ListedBackend> {
        if complete {
            self.listed.clear();
        }
        let mut told = Vec::with_capacity(entries.len());
        for Entry { name, listed } in entries {
            told.push(self.governed(&name, listed));
            if listed.backend.readiness == Readiness::Removed {
                self.listed.remove(&name);
            } else {
                self.listed.insert(name, listed);
            }
        }
        told
    }

    /// Something was told of these that can't be read: nothing new goes to those that are listed until they are told again.
    pub fn drain(&mut self, names: &[String]) -> Vec<ListedBackend> {
        let mut told = Vec::new();
        for name in names {
            if let Some(listed) = self.listed.get_mut(name) {
                listed.backend.readiness = Readiness::Draining;
                told.push(*listed);
            }
        }
        told
    }

    /// Other bans hold from now on. Gives the entries that look otherwise for that.
    pub fn govern(&mut self, bans: Exclusions) -> Vec<ListedBackend> {
        let changed = self.bans.changed(&bans);
        self.bans = bans;
        changed.iter().filter_map(|name| Some(self.governed(name, *self.listed.get(name)?))).collect()
    }

    fn governed(&self, name: &str, mut listed: ListedBackend) -> ListedBackend {
        let backend = &mut listed.backend;
        if self.bans.is_out(name) && backend.readiness == Readiness::Ready {
            backend.readiness = Readiness::Draining;
        }
        // A start that the list tells later still counts: it is a further one.
        if let Some(back) = self.bans.called_back(name) {
            backend.started_at = Some(backend.started_at.map_or(back, |started: Micros| started.max(back)));
        }
        listed
    }
}

#[cfg(test)]
mod tests;
