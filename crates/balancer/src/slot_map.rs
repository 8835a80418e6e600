//! A container with stable indices and lookup by id.

use rustc_hash::FxHashMap;
use slab::Slab;

/// Values by id, each in a slot whose index is stable until the value is released. Slots are reused.
pub(crate) struct SlotMap<T> {
    slots: Slab<T>,
    slot_by_id: FxHashMap<u32, usize>,
}

impl<T> Default for SlotMap<T> {
    fn default() -> Self {
        Self { slots: Slab::new(), slot_by_id: FxHashMap::default() }
    }
}

impl<T> SlotMap<T> {
    /// The slot of the value with this id.
    pub(crate) fn find(&self, id: u32) -> Option<usize> {
        self.slot_by_id.get(&id).copied()
    }

    /// Stores a value under an id that is not in use; returns its slot.
    pub(crate) fn add(&mut self, id: u32, value: T) -> usize {
        let slot = self.slots.insert(value);
        self.slot_by_id.insert(id, slot);
        slot
    }

    /// Removes the value with this id, if there is one, and frees its slot.
    pub(crate) fn release(&mut self, id: u32) {
        if let Some(slot) = self.slot_by_id.remove(&id) {
            self.slots.remove(slot);
        }
    }
}

impl<T> std::ops::Deref for SlotMap<T> {
    type Target = Slab<T>;
    fn deref(&self) -> &Slab<T> {
        &self.slots
    }
}

impl<T> std::ops::DerefMut for SlotMap<T> {
    fn deref_mut(&mut self) -> &mut Slab<T> {
        &mut self.slots
    }
}
