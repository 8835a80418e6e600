//! The received part of a body, in one buffer. Pure: no I/O, no clock.
//!
//! The HTTP library gives out chunks that share its read buffers, so that a chunk of one byte can hold a
//! complete read buffer. Chunks that are retained are therefore copied.

use bytes::Bytes;

/// The minimum capacity of a buffer that contains anything, in bytes.
const MIN_CAPACITY: usize = 512;
/// A smaller chunk that is passed on is copied, in bytes. At this size a chunk is a quarter of the read buffer
/// that it may hold.
const MIN_SHARED_CHUNK: usize = 4_096;

/// Received bytes in the order of their arrival.
#[derive(Debug, Default)]
pub struct ReceivedBytes(Vec<u8>);

impl ReceivedBytes {
    /// The number of bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether nothing was received.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The capacity of the buffer in bytes, which is the memory that it takes.
    #[must_use]
    pub fn capacity(&self) -> usize {
        self.0.capacity()
    }

    /// The capacity after `additional` more bytes: half as much again as before, but not above
    /// `max_capacity` unless the content requires it.
    #[must_use]
    pub fn capacity_with(&self, additional: usize, max_capacity: usize) -> usize {
        let required = self.len() + additional;
        if required <= self.capacity() {
            return self.capacity();
        }
        let grown = (self.capacity() + self.capacity() / 2).max(MIN_CAPACITY);
        grown.min(max_capacity).max(required)
    }

    /// Appends a chunk; the capacity grows as [`Self::capacity_with`] tells.
    pub fn push(&mut self, chunk: &[u8], max_capacity: usize) {
        let capacity = self.capacity_with(chunk.len(), max_capacity);
        self.0.reserve_exact(capacity - self.len());
        self.0.extend_from_slice(chunk);
    }

    /// The bytes, without another copy.
    #[must_use]
    pub fn into_bytes(self) -> Bytes {
        self.0.into()
    }
}

/// A chunk for passing on that does not hold a read buffer much larger than itself.
#[must_use]
pub fn compact(chunk: Bytes) -> Bytes {
    if chunk.len() < MIN_SHARED_CHUNK { Bytes::copy_from_slice(&chunk) } else { chunk }
}

#[cfg(test)]
mod tests;
