//! Delays between a failed call to discovery and the next one. Pure: no I/O, no clock.

use std::time::Duration;

/// The delay after the first failed call to an agent. Each consecutive failure adds the same amount, up to
/// [`MAX_DELAY`].
const MIN_DELAY: Duration = Duration::from_millis(50);
const MAX_DELAY: Duration = Duration::from_millis(100);
/// The delay after the first oversized list; it doubles with each consecutive one, up to
/// [`MAX_OVERSIZED_DELAY`]. Producing such a list is costly for the service, and only its operators can
/// shorten the list.
pub(super) const MIN_OVERSIZED_DELAY: Duration = Duration::from_secs(5);
pub(super) const MAX_OVERSIZED_DELAY: Duration = Duration::from_secs(30);
/// The fraction of that delay by which it is shortened at random, so that the proxies do not all call at the
/// same moment.
const OVERSIZED_JITTER: f64 = 0.25;

/// The delay after this many consecutive failed calls to an agent.
pub(super) fn after_failures(consecutive_failures: u32) -> Duration {
    (MIN_DELAY * consecutive_failures).min(MAX_DELAY)
}

/// The delay after this many consecutive oversized lists. `random` is drawn from 0..1.
pub(super) fn after_oversized_lists(consecutive_lists: u32, random: f64) -> Duration {
    let delay = MIN_OVERSIZED_DELAY * 2_u32.saturating_pow(consecutive_lists.saturating_sub(1).min(8));
    delay.min(MAX_OVERSIZED_DELAY).mul_f64(1.0 - OVERSIZED_JITTER * random)
}
