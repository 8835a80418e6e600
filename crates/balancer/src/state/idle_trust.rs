//! How long a connection may have been idle and is still used.

use super::SECOND;
use crate::api::Micros;

/// A shorter idle time is not blamed for a lost request: heavy work times out, and nothing drops idle
/// connections so soon.
pub(crate) const MIN_BLAMED_IDLE_TIME: Micros = SECOND / 2;
/// The trusted idle time after a loss, as a fraction of the idle time at which the request was lost.
const BACKOFF_RATIO: f64 = 0.5;
/// The trusted idle time doubles in this time.
const DOUBLING_TIME: Micros = 60 * SECOND;

/// The trusted idle time as of a point in time; it grows from then on.
///
/// Departure: an intermediary (a firewall, a load balancer's own limit) may drop an idle connection silently.
/// The trusted time starts at the time after which backends close idle connections, and backs off at each
/// request that was lost on an idle connection. It can cost handshakes where backends hang or restart.
pub(crate) struct IdleTrust {
    /// Microseconds.
    trusted: f64,
    updated_at: Micros,
}

impl IdleTrust {
    pub(crate) fn new(idle_timeout: Micros, now: Micros) -> Self {
        Self { trusted: idle_timeout as f64, updated_at: now }
    }

    /// The trusted idle time now, in microseconds.
    pub(crate) fn trusted(&self, now: Micros) -> f64 {
        self.trusted * ((now - self.updated_at) as f64 / DOUBLING_TIME as f64).exp2()
    }

    /// Records a request that got no response. Returns whether its connection's idle time is to blame, not
    /// the backend.
    pub(crate) fn blame(&mut self, now: Micros, idle_time: Micros) -> bool {
        if idle_time <= MIN_BLAMED_IDLE_TIME {
            return false;
        }
        let safe = (idle_time as f64 * BACKOFF_RATIO).max(MIN_BLAMED_IDLE_TIME as f64);
        *self = Self { trusted: self.trusted(now).min(safe), updated_at: now };
        true
    }
}
