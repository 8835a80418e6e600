//! What was read of the next requests while one is open, with the times at which it may have come. Pure: no I/O, no clock.

use std::collections::VecDeque;
use tokio::time::Instant;

/// Bytes in the order in which they came.
#[derive(Debug, Default)]
pub struct Ahead {
    bytes: VecDeque<u8>,
    /// How many bytes each read gave that are still here, and since when they may have been there.
    reads: VecDeque<(usize, Instant)>,
}

impl Ahead {
    /// How many there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// A read gave these.
    pub fn push(&mut self, bytes: &[u8], came: Instant) {
        if !bytes.is_empty() {
            self.bytes.extend(bytes);
            self.reads.push_back((bytes.len(), came));
        }
    }

    /// Takes what one read gave, so many bytes of it at the most.
    pub fn take(&mut self, most: usize) -> Option<(Vec<u8>, Instant)> {
        let (left, came) = self.reads.front_mut()?;
        let (count, came) = (most.min(*left), *came);
        *left -= count;
        if *left == 0 {
            self.reads.pop_front();
        }
        Some((self.bytes.drain(..count).collect(), came))
    }
}

#[cfg(test)]
mod tests;
