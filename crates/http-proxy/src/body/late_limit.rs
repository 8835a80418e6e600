//! How long a response of unknown length is waited for. Pure: no I/O, no clock.
//!
//! A response of up to [`MAX_BUFFERED_BODY_BYTES`] is due completely within its client's time, of a larger one
//! only the first bytes. Until it has arrived, only how it arrives tells whether it may be a large one. Slow
//! backends write large responses in parts with pauses of up to 2 s, so that a pause is no end.

use crate::min_transfer_rate::transfer_time;
use crate::size_limits::MAX_BUFFERED_BODY_BYTES;
use std::time::Duration;
use tokio::time::Instant;

/// The maximum pause of a response that has arrived without a longer one so far, and its reserve of time after the
/// client's time: less than the half second after which a late response counts as lost.
pub const LATE_INACTIVITY_TIMEOUT: Duration = Duration::from_millis(450);
/// The maximum pause of a response in parts: 2 s, and a reserve.
const MAX_PAUSE: Duration = Duration::from_millis(2_200);
/// After a pause of at least this time, a response arrives in parts.
const MIN_PAUSE_BETWEEN_PARTS: Duration = Duration::from_millis(300);
/// The time in which enough of a part arrives for its rate to be known.
const PART_ARRIVAL_TIME: Duration = Duration::from_millis(200);
/// A body that has brought fewer bytes than this is not taken for a large one in a pause.
const MIN_LARGE_BYTES: u64 = 64;
/// The minimum rate of a response in parts, pauses included: an eighth of the 64 kB/s of slow peers.
const MIN_BYTES_PER_SECOND_IN_PARTS: u64 = 8_000;
/// The minimum rate of the parts after the first one.
const MIN_BYTES_PER_SECOND_OF_LATER_PARTS: u64 = 2_000;

/// A late response that brings fewer bytes than this within [`LATE_INACTIVITY_TIMEOUT`] is not extended: half of
/// the minimum rate, since it may arrive in large parts.
const MIN_LATE_BYTES: u64 = 7_200;

/// The arrival of a response.
#[derive(Clone, Copy, Debug)]
pub struct ResponseArrival {
    first_bytes_at: Option<Instant>,
    last_bytes_at: Instant,
    bytes: u64,
    /// What is known once it has paused and gone on.
    parts: Option<Parts>,
}

/// The parts of a response between which it paused.
#[derive(Clone, Copy, Debug)]
struct Parts {
    first_ended_at: Instant,
    first_bytes: u64,
    last_started_at: Instant,
}

impl ResponseArrival {
    /// A response whose head arrived at `now`.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self { first_bytes_at: None, last_bytes_at: now, bytes: 0, parts: None }
    }

    /// Records that some bytes of the body arrived at `now`.
    pub fn receive(&mut self, now: Instant, bytes: usize) {
        if self.first_bytes_at.is_some() && self.pause(now) >= MIN_PAUSE_BETWEEN_PARTS {
            let (first_ended_at, first_bytes) = (self.last_bytes_at, self.bytes);
            let parts = self.parts.get_or_insert(Parts { first_ended_at, first_bytes, last_started_at: now });
            parts.last_started_at = now;
        }
        self.first_bytes_at.get_or_insert(now);
        self.last_bytes_at = now;
        self.bytes += bytes as u64;
    }

    /// The time since the last bytes of the body, or since the head.
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
        self.last_bytes_at + if self.may_be_in_parts() { MAX_PAUSE } else { LATE_INACTIVITY_TIMEOUT }
    }

    /// Whether the body has not paused for too long at `now`, and arrives as a large one does.
    #[must_use]
    pub fn may_be_large(&self, now: Instant) -> bool {
        let is_part_arriving =
            self.parts.is_some_and(|parts| now < parts.last_started_at + PART_ARRIVAL_TIME);
        self.is_active(now) && (is_part_arriving || self.has_rate_of_large_response())
    }

    /// Whether it may be a large response that arrives in parts.
    fn may_be_in_parts(&self) -> bool {
        !self.is_continuous() && self.has_rate_of_large_response()
    }

    /// Whether it has arrived for some time without a pause.
    fn is_continuous(&self) -> bool {
        let arrival_time =
            self.first_bytes_at.map(|first| self.last_bytes_at.saturating_duration_since(first));
        self.parts.is_none() && arrival_time.is_some_and(|time| time >= LATE_INACTIVITY_TIMEOUT)
    }

    /// Whether what has arrived came at the minimum rate of a large response. The present pause does not count.
    fn has_rate_of_large_response(&self) -> bool {
        let Some(first_bytes_at) = self.first_bytes_at else { return false };
        let time_since = |start: Instant| self.last_bytes_at.saturating_duration_since(start);
        let has_rate = match self.parts {
            None => time_since(first_bytes_at) <= transfer_time(self.bytes),
            Some(Parts { first_ended_at, first_bytes, .. }) => {
                let later_bytes = self.bytes - first_bytes;
                is_at_rate(self.bytes, time_since(first_bytes_at), MIN_BYTES_PER_SECOND_IN_PARTS)
                    && is_at_rate(
                        later_bytes,
                        time_since(first_ended_at),
                        MIN_BYTES_PER_SECOND_OF_LATER_PARTS,
                    )
            }
        };
        has_rate && self.bytes >= MIN_LARGE_BYTES
    }
}

fn is_at_rate(bytes: u64, time: Duration, bytes_per_second: u64) -> bool {
    u128::from(bytes) * 1_000 >= time.as_millis() * u128::from(bytes_per_second)
}

/// A response that is passed on after its client's time.
#[derive(Clone, Copy, Debug)]
pub struct LateResponse {
    arrival: ResponseArrival,
    limit: LateLimit,
}

impl LateResponse {
    /// A response that arrived like this until its client's time was over, at `now`.
    #[must_use]
    pub fn new(now: Instant, arrival: ResponseArrival) -> Self {
        Self { arrival, limit: LateLimit::new(now, arrival.bytes) }
    }

    /// Records further bytes that arrived at `now`.
    pub fn receive(&mut self, now: Instant, bytes: usize) {
        self.arrival.receive(now, bytes);
        self.limit.receive(bytes as u64);
    }

    /// When it has to go on or to end; `None` once it is known to be large.
    #[must_use]
    pub fn due_at(&self) -> Option<Instant> {
        let end = self.limit.end()?;
        let inactive_at = self.arrival.inactive_at();
        Some(match self.arrival.parts {
            _ if self.arrival.may_be_in_parts() => inactive_at,
            Some(parts) => parts.last_started_at + PART_ARRIVAL_TIME,
            None => end.min(inactive_at),
        })
    }
}

/// The time limit of a response that is passed on after its client's time and arrives continuously.
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
