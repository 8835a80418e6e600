//! The engine's timers.

use balancer::api::{Micros, RequestId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Number of entries up to which the heap is not swept.
const MIN_SWEEP_SIZE: usize = 1_024;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TimerKind {
    /// A timer of the balancer, with its token.
    Balancer(u32),
    /// The time at which a request without a final outcome fails.
    ResponseDeadline(RequestId),
    /// The expiry of the lease with this serial number.
    LeaseExpiry(u64),
}

/// Timers by expiry time. The timer of a request or lease that has ended is not removed but ignored when it
/// expires. To bound the number of such timers (many short requests, each with a long deadline), they are
/// swept whenever the heap has grown to twice its size after the last sweep.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    heap: BinaryHeap<Reverse<(Micros, TimerKind)>>,
    sweep_at: usize,
}

impl Timers {
    /// Adds a timer. `is_active` returns whether a timer still has an effect; a sweep retains only these.
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

    /// Removes the earliest timer if it has expired at `now`.
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
