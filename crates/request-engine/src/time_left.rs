//! The time for which a client still waits, as a request states it: whole milliseconds in decimal digits. All
//! front ends use this function, so that each accepts the same values.

use balancer::api::Micros;

/// The largest time left that a request may state, milliseconds: one hour.
pub const MAX_TIME_LEFT_MS: u64 = 3_600_000;
const MICROS_PER_MS: Micros = 1_000;

/// Parses a time left and converts it to microseconds; `None` unless the text consists of decimal digits and
/// states at most [`MAX_TIME_LEFT_MS`].
#[must_use]
pub fn parse_time_left(text: &str) -> Option<Micros> {
    // Integer parsing alone would accept a sign.
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    let milliseconds = text.parse::<u64>().ok()?;
    (milliseconds <= MAX_TIME_LEFT_MS).then_some(milliseconds * MICROS_PER_MS)
}

#[cfg(test)]
mod tests;
