//! Selects the idle connection to reuse, and limits how long connections are reused. Pure: no I/O, no clock.

use balancer::api::Micros;
use std::time::Duration;

/// A connection is no longer reused when less than this is left of its backend's idle timeout: the backend's
/// timer started earlier.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_secs(1);
/// Within this time after a response, the close with which a backend follows it has arrived: a round trip
/// within a region, and the scheduling of the backend's process.
const CLOSE_DETECTION_TIME: Duration = Duration::from_millis(5);

/// The maximum idle time of a connection that is reused, if backends keep idle connections open for
/// `backend_idle_timeout` (microseconds).
pub(super) fn idle_limit(backend_idle_timeout: Micros) -> Duration {
    let timeout = Duration::from_micros(backend_idle_timeout);
    timeout.saturating_sub(IDLE_TIMEOUT_MARGIN).max(timeout / 2)
}

/// Selects an idle connection. `idle_times` are in the order of the connections, the longest idle first.
/// Prefers the most recently used connection, so that the others expire. A connection whose response was
/// received within [`CLOSE_DETECTION_TIME`] is selected only if there is no other: its backend may be closing
/// it, and a request written before the close arrives would be lost.
pub(super) fn select_idle(
    idle_times: impl DoubleEndedIterator<Item = Duration> + ExactSizeIterator,
) -> Option<usize> {
    let last = idle_times.len().checked_sub(1)?;
    let mut from_last = idle_times.rev();
    Some(from_last.position(|idle| idle >= CLOSE_DETECTION_TIME).map_or(last, |back| last - back))
}

#[cfg(test)]
mod tests;
