//! Delays between a failed call to discovery and the next one. Pure: no I/O, no clock.

use std::time::Duration;

/// The delay after the first failure of an agent; it grows by as much with each further one.
const MIN_DELAY: Duration = Duration::from_millis(50);
const MAX_DELAY: Duration = Duration::from_millis(100);
/// The delay after an oversized list. Each costs the service the writing of it, and only its operators can shorten it.
pub(super) const MIN_OVERSIZED_DELAY: Duration = Duration::from_secs(5);
pub(super) const MAX_OVERSIZED_DELAY: Duration = Duration::from_secs(30);
/// The random part of that delay, so that not all proxies call at once.
const OVERSIZED_JITTER: f64 = 0.25;

/// The delay after this many failures in a row of an agent.
pub(super) fn after_failures(in_a_row: u32) -> Duration {
    (MIN_DELAY * in_a_row).min(MAX_DELAY)
}

/// The delay after this many oversized lists in a row. `random` is drawn from 0..1.
pub(super) fn after_oversized_lists(in_a_row: u32, random: f64) -> Duration {
    let delay = MIN_OVERSIZED_DELAY * 2_u32.saturating_pow(in_a_row.saturating_sub(1).min(8));
    delay.min(MAX_OVERSIZED_DELAY).mul_f64(1.0 - OVERSIZED_JITTER * random)
}
