//! What falls due when.

use balancer::api::{Micros, RequestId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Entries below which the heap is never swept.
const MIN_SWEEP_SIZE: usize = 1_024;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Due {
    /// A timer of the decisions.
    Decision(u32),
    /// The last moment for a request's answer.
    LastMoment(RequestId),
    /// The end of the lease with this serial number.
    LeaseEnd(u64),
}

/// Timers by due time. An entry whose cause has ended is not removed but passed over when it falls due; so that
/// they can't pile up (requests that are answered at once, each with a long deadline), the heap is swept whenever
/// it has grown to twice what the last sweep left.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    heap: BinaryHeap<Reverse<(Micros, Due)>>,
    sweep_at: usize,
}

impl Timers {
    /// Adds an entry; `lives` tells whether an entry's cause still stands.
    pub(crate) fn add(&mut self, at: Micros, due: Due, lives: impl Fn(Due) -> bool) {
        self.heap.push(Reverse((at, due)));
        if self.heap.len() > self.sweep_at.max(MIN_SWEEP_SIZE) {
            self.heap.retain(|&Reverse((_, due))| lives(due));
            self.sweep_at = self.heap.len() * 2;
        }
    }

    pub(crate) fn next(&self) -> Option<Micros> {
        self.heap.peek().map(|&Reverse((at, _))| at)
    }

    /// Takes the first entry that is due at `now`.
    pub(crate) fn pop(&mut self, now: Micros) -> Option<Due> {
        self.next().filter(|&at| at <= now)?;
        self.heap.pop().map(|Reverse((_, due))| due)
    }

    pub(crate) fn len(&self) -> usize {
        self.heap.len()
    }
}

#[cfg(test)]
mod tests;
