//! How long a response of unknown length is waited for. Pure: no I/O, no clock.
//!
//! A response of up to [`MAX_BUFFERED_BODY_BYTES`] is due completely within its client's time, of a larger one
//! only the first bytes. Until it has arrived, only its rate tells whether it may be a large one.

use crate::min_transfer_rate::transfer_time;
use crate::size_limits::MAX_BUFFERED_BODY_BYTES;
use std::time::Duration;
use tokio::time::Instant;

/// The maximum pause of a response that may be large, and its reserve of time after the client's time: less
/// than the half second after which a late response counts as lost.
pub const LATE_INACTIVITY_TIMEOUT: Duration = Duration::from_millis(450);

/// A late response that brings fewer bytes than this within [`LATE_INACTIVITY_TIMEOUT`] is not extended: half of
/// the minimum rate, since it may arrive in large parts.
const MIN_LATE_BYTES: u64 = 7_200;

/// The arrival of a response before its client's time is over.
#[derive(Clone, Copy, Debug)]
pub struct ResponseArrival {
    first_bytes_at: Option<Instant>,
    last_bytes_at: Instant,
    bytes: u64,
}

impl ResponseArrival {
    /// A response whose head arrived at `now`.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self { first_bytes_at: None, last_bytes_at: now, bytes: 0 }
    }

    /// Records that a part of the body arrived at `now`.
    pub fn receive(&mut self, now: Instant, bytes: usize) {
        self.first_bytes_at.get_or_insert(now);
        self.last_bytes_at = now;
        self.bytes += bytes as u64;
    }

    /// The time since the last part of the body, or since the head.
    #[must_use]
    pub fn pause(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_bytes_at)
    }

    /// Whether the body has begun and has not paused for too long at `now`.
    #[must_use]
    pub fn is_active(&self, now: Instant) -> bool {
        self.first_bytes_at.is_some() && now < self.inactive_at()
    }

    /// When the present pause becomes too long.
    #[must_use]
    pub fn inactive_at(&self) -> Instant {
        self.last_bytes_at + LATE_INACTIVITY_TIMEOUT
    }

    /// Whether the body arrives at the minimum rate of a large one.
    #[must_use]
    pub fn may_be_large(&self, now: Instant) -> bool {
        self.first_bytes_at.is_some_and(|first| now <= first + transfer_time(self.bytes))
    }
}

/// The time limit of a response that is passed on after its client's time.
#[derive(Clone, Copy, Debug)]
pub struct LateLimit {
    end: Instant,
    received_before: u64,
    received_since: u64,
}

impl LateLimit {
    /// A response of which this many bytes have arrived when its client's time is over, at `now`.
    #[must_use]
    pub fn new(now: Instant, received: u64) -> Self {
        Self { end: now + LATE_INACTIVITY_TIMEOUT, received_before: received, received_since: 0 }
    }

    /// Records further bytes. If they are many, each one extends the time by what it may take.
    pub fn receive(&mut self, bytes: u64) {
        self.received_since += bytes;
    }

    /// When the response has to end; `None` once it is known to be large.
    #[must_use]
    pub fn end(&self) -> Option<Instant> {
        let is_large = self.received_before + self.received_since > MAX_BUFFERED_BODY_BYTES as u64;
        let extending_bytes = if self.received_since < MIN_LATE_BYTES { 0 } else { self.received_since };
        (!is_large).then(|| self.end + transfer_time(extending_bytes))
    }
}

#[cfg(test)]
mod tests;
