//! Bounds when a client wrote the bytes that wait in its send buffer, since the proxy's receive window is full. Pure:
//! no I/O, no clock.

use crate::client_connection::UnreadBody;
use std::collections::VecDeque;
use tokio::time::Instant;

/// The number of bytes that a client may have written before they arrive: the default maximum of a send buffer.
const MAX_SEND_BUFFER_BYTES: u64 = 4 << 20;
/// With fewer unread bytes than this, the receive window is open and nothing waits in the client's send buffer.
const MIN_WINDOW_BYTES: u64 = 16 << 10;
/// The minimum number of bytes between two samples; bounds their number.
const SAMPLE_BYTES: u64 = MAX_SEND_BUFFER_BYTES / 256;

/// The number of bytes that had arrived at a time.
#[derive(Clone, Copy, Debug)]
struct Sample {
    received: u64,
    at: Instant,
}

/// The bytes that arrived since the receive window may have been full without a break.
#[derive(Debug, Default)]
pub(super) struct SendBacklog {
    samples: VecDeque<Sample>,
    /// The position of the body's last byte, or of the last one that has arrived if the length is unknown.
    end: u64,
}

impl SendBacklog {
    /// Records what has arrived and is not read.
    pub(super) fn record(&mut self, unread: &UnreadBody) {
        let UnreadBody { last_arrival, count, received, not_arrived } = *unread;
        self.end = received + not_arrived.unwrap_or(0);
        let is_due = match self.samples.back() {
            None => count >= MIN_WINDOW_BYTES,
            Some(last) => received >= last.received + SAMPLE_BYTES,
        };
        if is_due {
            self.samples.push_back(Sample { received, at: last_arrival });
        }
        let oldest = received.saturating_sub(MAX_SEND_BUFFER_BYTES);
        while self.samples.front().is_some_and(|sample| sample.received < oldest) {
            self.samples.pop_front();
        }
    }

    /// Records that everything that has arrived is read: the client was not kept from sending.
    pub(super) fn clear(&mut self) {
        self.samples.clear();
    }

    /// The earliest time at which the last byte may have been written: its send buffer had room for it once all but
    /// [`MAX_SEND_BUFFER_BYTES`] before it had arrived. `None` if it was not or is not known to have waited.
    pub(super) fn earliest_end(&self) -> Option<Instant> {
        let required = self.end.saturating_sub(MAX_SEND_BUFFER_BYTES);
        self.samples.iter().find(|sample| sample.received >= required).map(|sample| sample.at)
    }
}

#[cfg(test)]
mod tests;
