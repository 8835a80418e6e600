//! The minimum rate of bodies that arrive slowly. Pure: no I/O, no clock.

use std::time::Duration;

/// The time that a client has for a body of any size, counted from the end of the request's head.
const BASE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The maximum pause between two chunks of a body. The request of a client that stops sending has to end
/// within 3 s.
pub const INACTIVITY_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The rate that a client has to reach once [`BASE_TIMEOUT`] has passed, and that a response has to reach whose
/// client's time is over: half of the 64 kB/s that slow peers send.
const MIN_BYTES_PER_SECOND: u64 = 32_000;

/// The time within which a client that has sent `bytes` of the body has to send the next chunk, counted from
/// the end of the request's head.
#[must_use]
pub fn timeout_after(bytes: u64) -> Duration {
    BASE_TIMEOUT + transfer_time(bytes)
}

/// The time that `bytes` take at the minimum rate.
#[must_use]
pub fn transfer_time(bytes: u64) -> Duration {
    Duration::from_millis(bytes.saturating_mul(1_000) / MIN_BYTES_PER_SECOND)
}

#[cfg(test)]
mod tests;
