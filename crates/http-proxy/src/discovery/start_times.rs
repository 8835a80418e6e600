//! When backends started, on this proxy's clock. Pure: no I/O, no clock of its own.
//!
//! Discovery tells a start by the wall clock of another machine. That one and this machine's may have been stepped apart, by
//! seconds or an hour, and a backend that has just started would count as warm. So a start is bounded by when this proxy
//! heard of it: no earlier than some seconds before the first sight, and before it by no more than the youngest start in the
//! same list. The seconds are bounded in turn, so that they can at most double the capacity that a cold backend is taken for.

use balancer::api::{BackendId, Micros, SafetyLimits};
use rustc_hash::FxHashMap;

/// How late a list may be believed to tell a start.
const MAX_LATE: Micros = 4_000_000;
/// How long the start of a backend that has left the list is remembered: one that returns has not started anew.
const REMEMBERED: Micros = 600_000_000;
/// How many of those are remembered, the latest ones.
const MAX_REMEMBERED: usize = 4_096;

/// A start that was told.
#[derive(Clone, Copy, Debug)]
struct Start {
    /// In Unix milliseconds, as it was told.
    told: u64,
    started: Micros,
    /// When the backend left the list.
    left_at: Option<Micros>,
}

/// The starts that were told, each with its place on this proxy's clock.
#[derive(Debug)]
pub struct StartTimes {
    late: Micros,
    known: FxHashMap<BackendId, Start>,
}

impl StartTimes {
    /// No start is known.
    #[must_use]
    pub fn new(safety: &SafetyLimits) -> Self {
        let doubled = safety.initial_capacity / (1.0 - safety.initial_capacity).max(f64::EPSILON);
        let late = MAX_LATE.min((safety.warm_up_duration as f64 * doubled.clamp(0.0, 1.0)) as Micros);
        Self { late, known: FxHashMap::default() }
    }

    /// Whether this start was told before.
    #[must_use]
    pub fn is_known(&self, id: BackendId, told: u64) -> bool {
        self.known.get(&id).is_some_and(|start| start.told == told)
    }

    /// When a backend started, as told in Unix milliseconds; 0 is long ago. `newest` is the latest of the starts that the same
    /// list tells for the first time. A start that was told before keeps its place.
    pub fn place(&mut self, now: Micros, id: BackendId, told: u64, newest: u64) -> Option<Micros> {
        if told == 0 {
            return None;
        }
        if let Some(start) = self.known.get_mut(&id).filter(|start| start.told == told) {
            start.left_at = None;
            return Some(start.started);
        }
        let by_clocks = told.saturating_mul(1_000);
        let before_newest = newest.saturating_sub(told).saturating_mul(1_000);
        let earliest = now.saturating_sub(self.late).saturating_sub(before_newest);
        // What lies far ahead was told by a clock that tells nothing here.
        let is_far_ahead = by_clocks > now.saturating_add(MAX_LATE);
        let started = if is_far_ahead { earliest } else { by_clocks.min(now).max(earliest) };
        self.known.insert(id, Start { told, started, left_at: None });
        Some(started)
    }

    /// Forgets those that left the list long ago. `is_listed` tells who is on it.
    pub fn forget(&mut self, now: Micros, is_listed: impl Fn(BackendId) -> bool) {
        self.known.retain(|&id, start| {
            if is_listed(id) {
                return true;
            }
            let left_at = *start.left_at.get_or_insert(now);
            now.saturating_sub(left_at) < REMEMBERED
        });
        let mut left: Vec<_> = self.known.values().filter_map(|start| start.left_at).collect();
        if left.len() > MAX_REMEMBERED {
            left.sort_unstable();
            let since = left[left.len() - MAX_REMEMBERED];
            self.known.retain(|_, start| start.left_at.is_none_or(|at| at >= since));
        }
    }
}

#[cfg(test)]
pub(super) mod tests;
