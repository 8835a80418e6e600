//! The clock that all events are timed with: monotonic, in microseconds since the Unix epoch.

use balancer::api::Micros;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// A clock that starts at the system's Unix time and then follows the monotonic clock. Its times are
/// comparable with those of other processes, and steps of the system clock do not affect them.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    unix_origin: Micros,
}

impl Clock {
    /// Creates a clock that starts at the current system time.
    #[must_use]
    pub fn start() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { origin: Instant::now(), unix_origin: to_micros(since_epoch) }
    }

    /// The current time, microseconds since the Unix epoch.
    #[must_use]
    pub fn now(&self) -> Micros {
        self.unix_origin + to_micros(self.origin.elapsed())
    }

    /// Converts an instant of the runtime to a time of this clock. Instants before the clock's start give the
    /// start.
    #[must_use]
    pub fn at(&self, instant: Instant) -> Micros {
        self.unix_origin + to_micros(instant.saturating_duration_since(self.origin))
    }

    /// Converts a time of this clock to an instant of the runtime. Times before the clock's start give the
    /// start.
    #[must_use]
    pub fn instant(&self, at: Micros) -> Instant {
        self.origin + Duration::from_micros(at.saturating_sub(self.unix_origin))
    }
}

fn to_micros(duration: Duration) -> Micros {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
