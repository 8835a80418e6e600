//! A container; nothing is decided here.

use rustc_hash::FxHashMap;
use slab::Slab;

/// Things by their ids, each at a place that stays the same; places of those that are gone are used again.
pub(crate) struct SlotMap<T> {
    slab: Slab<T>,
    by_id: FxHashMap<u32, usize>,
}

impl<T> Default for SlotMap<T> {
    fn default() -> Self {
        Self { slab: Slab::new(), by_id: FxHashMap::default() }
    }
}

impl<T> SlotMap<T> {
    pub(crate) fn find(&self, id: u32) -> Option<usize> {
        self.by_id.get(&id).copied()
    }

    pub(crate) fn add(&mut self, id: u32, thing: T) -> usize {
        let place = self.slab.insert(thing);
        self.by_id.insert(id, place);
        place
    }

    pub(crate) fn release(&mut self, id: u32) {
        self.by_id.remove(&id).map(|place| self.slab.remove(place));
    }
}

impl<T> std::ops::Deref for SlotMap<T> {
    type Target = Slab<T>;
    fn deref(&self) -> &Slab<T> {
        &self.slab
    }
}

impl<T> std::ops::DerefMut for SlotMap<T> {
    fn deref_mut(&mut self) -> &mut Slab<T> {
        &mut self.slab
    }
}
