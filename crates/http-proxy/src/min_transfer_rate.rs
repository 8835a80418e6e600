//! How fast a client has to send a body. Pure: no I/O, no clock.

use std::time::Duration;

/// What a client has for a body however small, from its head on.
const LEAST: Duration = Duration::from_millis(2_500);
/// How long a client may say nothing in the middle of a body. Whoever stops there is owed an end within 3 s.
pub const SILENCE: Duration = Duration::from_millis(2_500);
/// Bytes a second that every client has to reach beyond that. Slow clients send 64 kB a second; half of it leaves room
/// for a pause, and still ends those that drip.
const BYTES_A_SECOND: u64 = 32_000;

/// By when, from its head on, a client of which so many bytes have come has to have sent the next.
#[must_use]
pub fn time_for(bytes: u64) -> Duration {
    LEAST + Duration::from_millis(bytes.saturating_mul(1_000) / BYTES_A_SECOND)
}

#[cfg(test)]
mod tests;
