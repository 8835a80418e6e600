//! Start times of backends on this proxy's clock. Pure: no I/O, no clock of its own.
//!
//! Discovery reports a start time by the wall clock of another machine, which may differ from this machine's
//! clock by seconds or even an hour. Without a bound, a backend that has just started could count as warmed
//! up. A start time is therefore bounded by the moment at which this proxy first saw it. It is set at most
//! [`MAX_REPORT_DELAY`] before that moment, plus the time by which it precedes the latest start in the same
//! list. The delay itself is bounded as well, so that it can at most double the assumed capacity of a backend
//! that is warming up.

use balancer::api::{BackendId, Micros, SafetyLimits};
use rustc_hash::FxHashMap;

/// The maximum delay with which a list reports a start, in microseconds.
const MAX_REPORT_DELAY: Micros = 4_000_000;
/// How long the start time of a removed backend is retained, in microseconds: a backend that is listed once
/// more with the same start time has not restarted.
const REMOVED_RETENTION: Micros = 600_000_000;
/// The maximum number of removed backends whose start times are retained; the most recently removed ones are.
const MAX_RETAINED_REMOVED: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct KnownStart {
    /// As discovery reported it, in Unix milliseconds.
    reported_ms: u64,
    /// On this proxy's clock, in microseconds.
    started_at: Micros,
    removed_at: Option<Micros>,
}

/// The reported start times and their equivalents on this proxy's clock.
#[derive(Debug)]
pub struct StartTimes {
    max_delay: Micros,
    known: FxHashMap<BackendId, KnownStart>,
}

impl StartTimes {
    /// An empty set of start times; `safety` bounds the delay with which a start may be reported.
    #[must_use]
    pub fn new(safety: &SafetyLimits) -> Self {
        let doubling_fraction = safety.initial_capacity / (1.0 - safety.initial_capacity).max(f64::EPSILON);
        let max_delay = MAX_REPORT_DELAY
            .min((safety.warm_up_duration as f64 * doubling_fraction.clamp(0.0, 1.0)) as Micros);
        Self { max_delay, known: FxHashMap::default() }
    }

    /// Whether this backend was reported with this start time (Unix milliseconds) before.
    #[must_use]
    pub fn is_known(&self, id: BackendId, reported_ms: u64) -> bool {
        self.known.get(&id).is_some_and(|start| start.reported_ms == reported_ms)
    }

    /// The start time of a backend, in microseconds on this proxy's clock; `None` if it started long ago,
    /// which discovery reports as 0. `newest_ms` is the latest of the start times that the same list reports
    /// for the first time, in Unix milliseconds. The result for a start time that was reported before does
    /// not change.
    pub fn started_at(
        &mut self,
        now: Micros,
        id: BackendId,
        reported_ms: u64,
        newest_ms: u64,
    ) -> Option<Micros> {
        if reported_ms == 0 {
            return None;
        }
        if let Some(start) = self.known.get_mut(&id).filter(|start| start.reported_ms == reported_ms) {
            start.removed_at = None;
            return Some(start.started_at);
        }
        let reported = reported_ms.saturating_mul(1_000);
        let before_newest = newest_ms.saturating_sub(reported_ms).saturating_mul(1_000);
        let earliest = now.saturating_sub(self.max_delay).saturating_sub(before_newest);
        // A start time far in the future shows that the clocks disagree.
        let is_far_ahead = reported > now.saturating_add(MAX_REPORT_DELAY);
        let started_at = if is_far_ahead { earliest } else { reported.min(now).max(earliest) };
        self.known.insert(id, KnownStart { reported_ms, started_at, removed_at: None });
        Some(started_at)
    }

    /// Drops the start times of backends that were removed more than [`REMOVED_RETENTION`] ago, and of the
    /// least recently removed ones if there are too many. `now` is in microseconds.
    pub fn expire_removed(&mut self, now: Micros, is_listed: impl Fn(BackendId) -> bool) {
        self.known.retain(|&id, start| {
            if is_listed(id) {
                return true;
            }
            let removed_at = *start.removed_at.get_or_insert(now);
            now.saturating_sub(removed_at) < REMOVED_RETENTION
        });
        let mut removals: Vec<_> = self.known.values().filter_map(|start| start.removed_at).collect();
        if removals.len() > MAX_RETAINED_REMOVED {
            removals.sort_unstable();
            let oldest_retained = removals[removals.len() - MAX_RETAINED_REMOVED];
            self.known.retain(|_, start| start.removed_at.is_none_or(|at| at >= oldest_retained));
        }
    }
}

#[cfg(test)]
pub(super) mod tests;
