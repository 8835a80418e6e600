//! The clock of all events: monotonic, in microseconds since the Unix epoch.

use balancer::api::Micros;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Starts at the system's Unix time and then follows the monotonic clock: its times can be compared with those of other
/// processes, and a step of the system clock does not change them.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    unix_origin: Micros,
}

impl Clock {
    /// A clock that starts at the system's time now.
    #[must_use]
    pub fn start() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { origin: Instant::now(), unix_origin: micros(since_epoch) }
    }

    /// The current time.
    #[must_use]
    pub fn now(&self) -> Micros {
        self.unix_origin + micros(self.origin.elapsed())
    }

    /// The time of this clock at an instant of the runtime; its start for an earlier instant.
    #[must_use]
    pub fn at(&self, instant: Instant) -> Micros {
        self.unix_origin + micros(instant.saturating_duration_since(self.origin))
    }

    /// The runtime's instant of a time of this clock; that of its start for an earlier time.
    #[must_use]
    pub fn instant(&self, at: Micros) -> Instant {
        self.origin + Duration::from_micros(at.saturating_sub(self.unix_origin))
    }
}

fn micros(duration: Duration) -> Micros {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
