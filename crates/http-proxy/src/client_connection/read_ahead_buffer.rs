//! Stores the bytes that were read beyond the open request, with the times at which they may have arrived.
//! Pure: no I/O, no clock.

use std::collections::VecDeque;
use tokio::time::Instant;

/// Bytes that arrived in one read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadAheadBytes {
    /// The bytes in the order of their arrival.
    pub bytes: Vec<u8>,
    /// The earliest moment at which they may have arrived.
    pub arrived_at: Instant,
}

/// The part of one read that was not taken yet.
#[derive(Clone, Copy, Debug)]
struct PendingRead {
    byte_count: usize,
    arrived_at: Instant,
}

/// Bytes of several reads in the order of their arrival.
#[derive(Debug, Default)]
pub struct ReadAheadBuffer {
    bytes: VecDeque<u8>,
    reads: VecDeque<PendingRead>,
}

impl ReadAheadBuffer {
    /// The number of bytes that were not taken yet.
    #[must_use]
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether all bytes were taken.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Appends the bytes of one read, which arrived at `arrived_at` at the earliest.
    pub fn push(&mut self, bytes: &[u8], arrived_at: Instant) {
        if !bytes.is_empty() {
            self.bytes.extend(bytes);
            self.reads.push_back(PendingRead { byte_count: bytes.len(), arrived_at });
        }
    }

    /// Takes up to `max_bytes` bytes of the oldest read; `None` if there are none.
    pub fn take(&mut self, max_bytes: usize) -> Option<ReadAheadBytes> {
        let read = self.reads.front_mut()?;
        let (count, arrived_at) = (max_bytes.min(read.byte_count), read.arrived_at);
        read.byte_count -= count;
        if read.byte_count == 0 {
            self.reads.pop_front();
        }
        Some(ReadAheadBytes { bytes: self.bytes.drain(..count).collect(), arrived_at })
    }
}

#[cfg(test)]
mod tests;
