//! What the engine says to a front whose callers make their attempts themselves: words, in order, each with the front's
//! own ticket of the request.
//!
//! The engine's shell may not be called back while it carries a command out, so that the front takes the words
//! afterwards. What can stand here at a time is bounded by what the engine may have open: an answer for each request,
//! a grant and a revocation for each lease.

use crate::engine::{FinalOutcome, LeaseGrant};
use crate::lease::LeaseId;
use std::cell::RefCell;
use std::collections::VecDeque;
use tokio::sync::Notify;

/// A front's name for one of its requests, never given twice in a life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestHandle(pub u64);

/// What the engine says.
#[derive(Debug, PartialEq)]
pub enum LeaseEvent {
    /// The caller may make an attempt.
    Granted(RequestHandle, LeaseGrant),
    /// A caller that has not begun to send must not.
    Revoked(RequestHandle, LeaseId),
    /// The final answer.
    Completed(RequestHandle, FinalOutcome<()>),
}

/// Words that the front has not taken yet.
#[derive(Debug, Default)]
pub struct LeaseEventQueue {
    words: RefCell<VecDeque<LeaseEvent>>,
    wake: Notify,
}

impl LeaseEventQueue {
    /// Puts a word and wakes the front.
    pub fn push(&self, word: LeaseEvent) {
        self.words.borrow_mut().push_back(word);
        self.wake.notify_one();
    }

    /// The oldest word.
    pub fn pop(&self) -> Option<LeaseEvent> {
        self.words.borrow_mut().pop_front()
    }

    /// Waits until there may be a word.
    pub async fn wait(&self) {
        self.wake.notified().await;
    }
}
