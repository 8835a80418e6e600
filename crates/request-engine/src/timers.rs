//! What falls due when.

use balancer::api::{Micros, RequestId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Entries below which the heap is never swept.
const MIN_SWEEP_SIZE: usize = 1_024;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TimerKind {
    /// A timer of the decisions.
    Decision(u32),
    /// The last moment for a request's answer.
    ResponseDeadline(RequestId),
    /// The end of the lease with this serial number.
    LeaseExpiry(u64),
}

/// Timers by due time. An entry whose cause has ended is not removed but passed over when it falls due; so that
/// they can't pile up (requests that are answered at once, each with a long deadline), the heap is swept whenever
/// it has grown to twice what the last sweep left.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    heap: BinaryHeap<Reverse<(Micros, TimerKind)>>,
    sweep_at: usize,
}

impl Timers {
    /// Adds an entry; `is_active` tells whether an entry's cause still stands.
    pub(crate) fn add(&mut self, at: Micros, kind: TimerKind, is_active: impl Fn(TimerKind) -> bool) {
        self.heap.push(Reverse((at, kind)));
        if self.heap.len() > self.sweep_at.max(MIN_SWEEP_SIZE) {
            self.heap.retain(|&Reverse((_, kind))| is_active(kind));
            self.sweep_at = self.heap.len() * 2;
        }
    }

    pub(crate) fn next(&self) -> Option<Micros> {
        self.heap.peek().map(|&Reverse((at, _))| at)
    }

    /// Takes the first entry that is due at `now`.
    pub(crate) fn pop(&mut self, now: Micros) -> Option<TimerKind> {
        self.next().filter(|&at| at <= now)?;
        self.heap.pop().map(|Reverse((_, kind))| kind)
    }

    pub(crate) fn len(&self) -> usize {
        self.heap.len()
    }
}

#[cfg(test)]
mod tests;
