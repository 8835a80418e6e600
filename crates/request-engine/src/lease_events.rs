//! Events for a front end whose clients make their attempts themselves, in order, each with the front end's handle of
//! the request.
//!
//! A [`Transport`](crate::driver::Transport) must not call the engine back while it executes a command, so the front
//! end takes the events from a queue afterwards. The queue is bounded by the engine's limits: one final answer per
//! open request, one grant and one revocation per lease.

use crate::lease::LeaseId;
use crate::messages::{FinalOutcome, LeaseGrant};
use std::cell::RefCell;
use std::collections::VecDeque;
use tokio::sync::Notify;

/// A front end's identifier of one of its requests, unique in one run of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestHandle(pub u64);

/// An event of the engine about a leased request.
#[derive(Debug, PartialEq)]
pub enum LeaseEvent {
    /// The client may make an attempt.
    Granted(RequestHandle, LeaseGrant),
    /// The client must not start an attempt under this lease.
    Revoked(RequestHandle, LeaseId),
    /// The request has its final answer.
    Completed(RequestHandle, FinalOutcome<()>),
}

/// Events that the front end has not taken yet.
#[derive(Debug, Default)]
pub struct LeaseEventQueue {
    events: RefCell<VecDeque<LeaseEvent>>,
    wake: Notify,
}

impl LeaseEventQueue {
    /// Appends an event and wakes the front end.
    pub fn push(&self, event: LeaseEvent) {
        self.events.borrow_mut().push_back(event);
        self.wake.notify_one();
    }

    /// Removes the oldest event.
    pub fn pop(&self) -> Option<LeaseEvent> {
        self.events.borrow_mut().pop_front()
    }

    /// Waits until there may be an event. One task at a time may wait.
    pub async fn wait(&self) {
        self.wake.notified().await;
    }
}
