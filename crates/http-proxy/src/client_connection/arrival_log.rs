//! When the bytes of a connection arrived, whether or not they are read yet. Pure: no I/O, no clock.

use std::collections::VecDeque;
use tokio::time::Instant;

/// The maximum number of samples. Beyond it, later bytes count as arrived with earlier ones.
const MAX_SAMPLES: usize = 64;

/// The number of bytes that had arrived at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Sample {
    total_bytes: u64,
    arrived_by: Instant,
}

/// Bytes that have arrived and are not read yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnreadBytes {
    /// Their number.
    pub count: u64,
    /// When the last of them arrived.
    pub last_arrival: Instant,
    /// The number of all bytes that have arrived since the connection was established.
    pub received: u64,
}

/// Samples of the bytes that have arrived and are not read yet.
#[derive(Debug, Default)]
pub struct ArrivalLog {
    read_bytes: u64,
    samples: VecDeque<Sample>,
    last_arrival: Option<Instant>,
}

impl ArrivalLog {
    /// Records that `total_bytes` had arrived by `arrived_by` since the connection was established.
    pub fn record(&mut self, total_bytes: u64, arrived_by: Instant) {
        let known_bytes = self.samples.back().map_or(self.read_bytes, |sample| sample.total_bytes);
        if total_bytes <= known_bytes {
            return;
        }
        self.last_arrival = Some(arrived_by);
        let is_full = self.samples.len() >= MAX_SAMPLES;
        match self.samples.back_mut() {
            Some(last) if is_full => last.total_bytes = total_bytes,
            _ => self.samples.push_back(Sample { total_bytes, arrived_by }),
        }
    }

    /// Records that this many more bytes were read, and returns when the last of them had arrived; `None` if
    /// that is unknown.
    pub fn read(&mut self, byte_count: usize) -> Option<Instant> {
        self.read_bytes += byte_count as u64;
        while self.samples.front().is_some_and(|sample| sample.total_bytes < self.read_bytes) {
            self.samples.pop_front();
        }
        let sample = *self.samples.front()?;
        if sample.total_bytes == self.read_bytes {
            self.samples.pop_front();
        }
        Some(sample.arrived_by)
    }

    /// The bytes that are not read yet; `None` if there are none.
    #[must_use]
    pub fn unread(&self) -> Option<UnreadBytes> {
        let received = self.samples.back()?.total_bytes;
        Some(UnreadBytes { count: received - self.read_bytes, last_arrival: self.last_arrival?, received })
    }
}

#[cfg(test)]
mod tests;
