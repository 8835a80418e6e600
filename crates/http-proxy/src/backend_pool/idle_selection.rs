//! Which idle connection is reused, and for how long. Pure: no I/O, no clock.

use balancer::api::Micros;
use std::time::Duration;

/// How long before a backend's idle timeout a connection is no longer reused: the backend's timer started earlier.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// After this time a backend's close following its response has been received: a round trip within a region, and the
/// scheduling of its process.
const CLOSE_DETECTION_TIME: Duration = Duration::from_millis(5);

/// How long a connection may be idle and still be reused, where backends keep it open for `backend_idle_timeout`
/// (microseconds).
pub(super) fn idle_limit(backend_idle_timeout: Micros) -> Duration {
    let timeout = Duration::from_micros(backend_idle_timeout);
    timeout.saturating_sub(IDLE_MARGIN).max(timeout / 2)
}

/// Selects an idle connection by how long each has been idle, the longest first. Prefers the most recently used one, so that
/// the others expire. One whose response was just received is taken only where all are: its backend may be closing it, and a
/// request written before the close arrives would be lost.
pub(super) fn select_idle(
    idle_times: impl DoubleEndedIterator<Item = Duration> + ExactSizeIterator,
) -> Option<usize> {
    let last = idle_times.len().checked_sub(1)?;
    let mut from_last = idle_times.rev();
    Some(from_last.position(|idle| idle >= CLOSE_DETECTION_TIME).map_or(last, |back| last - back))
}

#[cfg(test)]
mod tests;
