//! Bounds the memory that buffered bodies above the usual size take in total.

use bytes::Bytes;
use std::mem::ManuallyDrop;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The number of bytes that are still available to buffered bodies over
/// [`MAX_BUFFERED_BODY_BYTES`](crate::size_limits::MAX_BUFFERED_BODY_BYTES). Smaller bodies are bounded by
/// the number of connections instead.
#[derive(Clone, Debug)]
pub struct MemoryBudget(Arc<AtomicUsize>);

impl MemoryBudget {
    /// A budget of this many bytes.
    #[must_use]
    pub fn new(bytes: usize) -> Self {
        Self(Arc::new(AtomicUsize::new(bytes)))
    }

    /// Reserves this many bytes; `None` if fewer are available.
    #[must_use]
    pub fn reserve(&self, bytes: usize) -> Option<MemoryReservation> {
        let available = self.0.load(Ordering::Relaxed).checked_sub(bytes)?;
        self.0.store(available, Ordering::Relaxed);
        Some(MemoryReservation { bytes, budget: self.clone() })
    }
}

/// A reserved part of a [`MemoryBudget`], returned to it on drop.
#[derive(Debug)]
pub struct MemoryReservation {
    bytes: usize,
    budget: MemoryBudget,
}

impl MemoryReservation {
    /// Enlarges the reservation to this many bytes in total; never reduces it. Returns false, and changes
    /// nothing, if fewer are available.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let Some(additional) = self.budget.reserve(bytes.saturating_sub(self.bytes)) else { return false };
        self.bytes += ManuallyDrop::new(additional).bytes;
        true
    }

    /// Ties the reservation to a body: the memory is returned once the last reference to the bytes is
    /// dropped.
    #[must_use]
    pub fn attach_to(self, body: Bytes) -> Bytes {
        Bytes::from_owner(ReservedBytes { body, _reservation: self })
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.budget.0.fetch_add(self.bytes, Ordering::Relaxed);
    }
}

struct ReservedBytes {
    body: Bytes,
    _reservation: MemoryReservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
