//! The queue of events for a front end whose external clients make their attempts under leases. Each event
//! has the front end's handle of the request.
//!
//! A [`Transport`](crate::driver::Transport) must not call the engine while it executes a command, so the
//! front end takes the events from the queue afterwards. The engine's limits bound the queue: one final
//! outcome per open request, one grant and one revocation per lease.

use crate::lease::LeaseId;
use crate::messages::{FinalOutcome, LeaseGrant};
use std::cell::RefCell;
use std::collections::VecDeque;
use tokio::sync::Notify;

/// A front end's identifier of one of its requests, unique within an incarnation of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestHandle(pub u64);

/// An engine event of a leased request.
#[derive(Debug, PartialEq)]
pub enum LeaseEvent {
    /// The client may make an attempt.
    Granted(RequestHandle, LeaseGrant),
    /// The client must not start an attempt under this lease any more.
    Revoked(RequestHandle, LeaseId),
    /// The request has its final outcome.
    RequestCompleted(RequestHandle, FinalOutcome<()>),
}

/// Events that the front end has not handled yet, oldest first.
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

    /// Removes the oldest event; `None` if the queue is empty.
    pub fn pop(&self) -> Option<LeaseEvent> {
        self.events.borrow_mut().pop_front()
    }

    /// Waits for an event; may also return while the queue is empty. One task at a time may wait.
    pub async fn wait(&self) {
        self.wake.notified().await;
    }
}
