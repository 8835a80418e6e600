//! A container with stable indices and lookup by id.

use rustc_hash::FxHashMap;
use slab::Slab;

/// Values by id, each at an index that does not change until the value is released. Indices are reused.
pub(crate) struct SlotMap<T> {
    values: Slab<T>,
    index_by_id: FxHashMap<u32, usize>,
}

impl<T> Default for SlotMap<T> {
    fn default() -> Self {
        Self { values: Slab::new(), index_by_id: FxHashMap::default() }
    }
}

impl<T> SlotMap<T> {
    /// The index of the value with this id; `None` if there is no such value.
    pub(crate) fn find(&self, id: u32) -> Option<usize> {
        self.index_by_id.get(&id).copied()
    }

    /// Stores a value under an id that is not in use; returns the value's index.
    pub(crate) fn add(&mut self, id: u32, value: T) -> usize {
        let index = self.values.insert(value);
        self.index_by_id.insert(id, index);
        index
    }

    /// Removes the value with this id, if there is one; its index may be reused.
    pub(crate) fn release(&mut self, id: u32) {
        if let Some(index) = self.index_by_id.remove(&id) {
            self.values.remove(index);
        }
    }
}

impl<T> std::ops::Deref for SlotMap<T> {
    type Target = Slab<T>;
    fn deref(&self) -> &Slab<T> {
        &self.values
    }
}

impl<T> std::ops::DerefMut for SlotMap<T> {
    fn deref_mut(&mut self) -> &mut Slab<T> {
        &mut self.values
    }
}
