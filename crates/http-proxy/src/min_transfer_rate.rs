//! The minimum rate at which a client has to send a request body. Pure: no I/O, no clock.

use std::time::Duration;

/// The time that a client has for a body of any size, counted from the end of its head.
const BASE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The longest pause within a body. A client that stops sending has to see its request end within 3 s.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The rate that every client has to reach beyond [`BASE_TIMEOUT`]: half of the 64 kB/s that slow clients send.
const MIN_BYTES_PER_SECOND: u64 = 32_000;

/// How long after the end of its head a client that has sent `bytes` of the body has to send the next one.
#[must_use]
pub fn timeout_after(bytes: u64) -> Duration {
    BASE_TIMEOUT + Duration::from_millis(bytes.saturating_mul(1_000) / MIN_BYTES_PER_SECOND)
}

#[cfg(test)]
mod tests;
