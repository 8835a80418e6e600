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
        self.listed.contains_key(name) || self.bans.is_excluded(name)
    }

    /// Backends that are listed as ready and are not out.
    #[must_use]
    pub fn serving(&self) -> usize {
        let ready = self.listed.iter().filter(|(_, l)| l.backend.readiness == Readiness::Ready);
        ready.filter(|(name, _)| !self.bans.is_excluded(name)).count()
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
        let changed = self.bans.differing_ids(&bans);
        self.bans = bans;
        changed.iter().filter_map(|name| Some(self.governed(name, *self.listed.get(name)?))).collect()
    }

    fn governed(&self, name: &str, mut listed: ListedBackend) -> ListedBackend {
        let backend = &mut listed.backend;
        if self.bans.is_excluded(name) && backend.readiness == Readiness::Ready {
            backend.readiness = Readiness::Draining;
        }
        // A start that the list tells later still counts: it is a further one.
        if let Some(back) = self.bans.reincluded_at(name) {
            backend.started_at = Some(backend.started_at.map_or(back, |started: Micros| started.max(back)));
        }
        listed
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use balancer::api::Backend;
    use proptest::prelude::*;
    use std::net::SocketAddr;

    fn entry(name: &str, readiness: Readiness, started: Option<Micros>) -> Entry {
        let id = name.bytes().map(u32::from).sum();
        let backend = Backend { id, zone: 0, machine_kind: 0, cell: 0, readiness, started_at: started };
        Entry {
            name: name.into(),
            listed: ListedBackend { backend, address: SocketAddr::from(([127, 0, 0, 1], 9)) },
        }
    }

    fn change(backend_list: &mut BackendList, change: impl FnOnce(&mut Exclusions)) -> Vec<ListedBackend> {
        let mut bans = backend_list.bans().clone();
        change(&mut bans);
        backend_list.govern(bans)
    }

    fn exclude(backend_list: &mut BackendList, name: &str) -> Vec<ListedBackend> {
        change(backend_list, |bans| assert!(bans.exclude(name, 5).is_ok()))
    }

    #[test]
    fn a_ban_holds_whatever_the_list_says() {
        let mut backend_list = BackendList::default();
        let ready = |name| entry(name, Readiness::Ready, None);
        backend_list.take(true, vec![ready("a"), ready("b")]);
        let told = exclude(&mut backend_list, "a");
        assert_eq!(told.iter().map(|l| l.backend.readiness).collect::<Vec<_>>(), [Readiness::Draining]);
        assert!(exclude(&mut backend_list, "a").is_empty(), "nothing new");
        assert_eq!(backend_list.serving(), 1);
        // Told as changed, in a whole list, and after it was gone.
        assert_eq!(backend_list.take(false, vec![ready("a")])[0].backend.readiness, Readiness::Draining);
        assert_eq!(
            backend_list.take(true, vec![ready("a"), ready("b")])[0].backend.readiness,
            Readiness::Draining
        );
        let gone = backend_list.take(false, vec![entry("a", Readiness::Removed, None)]);
        assert_eq!(gone[0].backend.readiness, Readiness::Removed);
        assert!(backend_list.knows("a"), "it is out and can be called back");
        assert_eq!(backend_list.take(false, vec![ready("a")])[0].backend.readiness, Readiness::Draining);
        assert!(!backend_list.knows("c"));
    }

    #[test]
    fn a_backend_that_is_called_back_is_cold() {
        let mut backend_list = BackendList::default();
        backend_list.take(true, vec![entry("a", Readiness::Ready, Some(1_000))]);
        exclude(&mut backend_list, "a");
        let told = change(&mut backend_list, |bans| assert!(bans.include("a", 9_000)));
        assert_eq!((told[0].backend.readiness, told[0].backend.started_at), (Readiness::Ready, Some(9_000)));
        // The list tells the restart within the ban late: that is not a further one.
        let late = backend_list.take(false, vec![entry("a", Readiness::Ready, Some(7_000))]);
        assert_eq!(late[0].backend.started_at, Some(9_000));
        let again = backend_list.take(false, vec![entry("a", Readiness::Ready, Some(12_000))]);
        assert_eq!(again[0].backend.started_at, Some(12_000));
        let leaves = backend_list.take(false, vec![entry("a", Readiness::Draining, Some(12_000))]);
        assert_eq!(leaves[0].backend.readiness, Readiness::Draining, "a call back does not undo the list");
    }

    proptest! {
        /// In whatever order lists and calls come, nothing that is out is ever told as ready.
        #[test]
        fn nothing_that_is_out_is_told_as_ready(steps in proptest::collection::vec((0_u8..4, 0_u8..4, 0_u8..3), 0..60)) {
            let mut backend_list = BackendList::default();
            let mut told = FxHashMap::default();
            for (step, name, phase) in steps {
                let name = ["a", "b", "c", "d"][usize::from(name)];
                let phase = [Readiness::Ready, Readiness::Draining, Readiness::Removed][usize::from(phase)];
                let news = match step {
                    0 => exclude(&mut backend_list, name),
                    1 => change(&mut backend_list, |bans| _ = bans.include(name, 6)),
                    2 => backend_list.take(false, vec![entry(name, phase, None)]),
                    _ => {
                        told.clear();
                        backend_list.take(true, vec![entry(name, phase, None)])
                    }
                };
                told.extend(news.iter().map(|l| (l.backend.id, l.backend.readiness)));
                for name in ["a", "b", "c", "d"] {
                    let seen = told.get(&entry(name, phase, None).listed.backend.id);
                    if backend_list.bans().is_excluded(name) {
                        prop_assert_ne!(seen, Some(&Readiness::Ready));
                    } else if backend_list.listed.get(name).is_some_and(|l| l.backend.readiness == Readiness::Ready) {
                        prop_assert_eq!(seen, Some(&Readiness::Ready));
                    }
                }
            }
        }
    }
}
