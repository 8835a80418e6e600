//! One clock for all events: monotonic, in microseconds, counting from the Unix epoch.

use balancer::api::Micros;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Starts at the Unix time of its making and then follows the monotonic clock. The module's times count from
/// the epoch, so that they can be told beside those of others, and a step of the system's
/// clock moves nothing.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    unix: Micros,
}

impl Clock {
    /// A clock that shows the system's time now.
    #[must_use]
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { origin: Instant::now(), unix: micros(unix) }
    }

    /// The time now.
    #[must_use]
    pub fn now(&self) -> Micros {
        self.unix + micros(self.origin.elapsed())
    }

    /// The time of this clock at a moment of the runtime's; its beginning for what lies before that.
    #[must_use]
    pub fn at(&self, instant: Instant) -> Micros {
        self.unix + micros(instant.saturating_duration_since(self.origin))
    }

    /// A point of this clock as the runtime's timers want it.
    #[must_use]
    pub fn instant(&self, at: Micros) -> Instant {
        self.origin + Duration::from_micros(at.saturating_sub(self.unix))
    }
}

fn micros(span: Duration) -> Micros {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
