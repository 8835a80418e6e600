//! Limit of the idle time after which a connection is still reused.

use super::SECOND;
use crate::api::Micros;

/// Minimum idle time of a connection that is taken as the cause of a lost request. Intermediaries do not drop
/// idle connections sooner, and a timeout is then more likely due to heavy work.
pub(crate) const MIN_SUSPECT_IDLE_TIME: Micros = SECOND / 2;
/// Limit of the idle time after a loss, as a fraction of the connection's idle time before the lost request.
const BACKOFF_RATIO: f64 = 0.5;
/// Time in which the limit of the idle time doubles.
const DOUBLING_TIME: Micros = 60 * SECOND;

/// The limit at a point in time; it grows exponentially from then on.
///
/// An intermediary (such as a firewall or another load balancer) may drop an idle connection silently. The
/// limit starts at the time after which backends close idle connections, and backs off with each request that
/// was lost on an idle connection. Hanging or restarting backends also lower it, which costs additional
/// handshakes.
pub(crate) struct IdleTimeLimit {
    limit_us: f64,
    updated_at: Micros,
}

impl IdleTimeLimit {
    pub(crate) fn new(idle_timeout: Micros, now: Micros) -> Self {
        Self { limit_us: idle_timeout as f64, updated_at: now }
    }

    /// The limit at `now`, in microseconds.
    pub(crate) fn current_us(&self, now: Micros) -> f64 {
        self.limit_us * ((now - self.updated_at) as f64 / DOUBLING_TIME as f64).exp2()
    }

    /// Records a request that got no response. Returns whether the idle time of its connection is the likely
    /// cause, rather than the backend.
    pub(crate) fn record_loss(&mut self, now: Micros, idle_time: Micros) -> bool {
        if idle_time <= MIN_SUSPECT_IDLE_TIME {
            return false;
        }
        let safe_us = (idle_time as f64 * BACKOFF_RATIO).max(MIN_SUSPECT_IDLE_TIME as f64);
        *self = Self { limit_us: self.current_us(now).min(safe_us), updated_at: now };
        true
    }
}
