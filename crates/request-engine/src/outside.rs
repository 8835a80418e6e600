//! What the engine says to a front whose callers make their attempts themselves: words, in order, each with the front's
//! own ticket of the request.
//!
//! The engine's shell may not be called back while it carries a command out, so that the front takes the words
//! afterwards. What can stand here at a time is bounded by what the engine may have open: an answer for each request,
//! a grant and a revocation for each lease.

use crate::engine::{Grant, Verdict};
use crate::lease::LeaseId;
use std::cell::RefCell;
use std::collections::VecDeque;
use tokio::sync::Notify;

/// A front's name for one of its requests, never given twice in a life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// What the engine says.
#[derive(Debug, PartialEq)]
pub enum Word {
    /// The caller may make an attempt.
    Granted(Ticket, Grant),
    /// A caller that has not begun to send must not.
    Revoked(Ticket, LeaseId),
    /// The final answer.
    Answered(Ticket, Verdict<()>),
}

/// Words that the front has not taken yet.
#[derive(Debug, Default)]
pub struct Inbox {
    words: RefCell<VecDeque<Word>>,
    wake: Notify,
}

impl Inbox {
    /// Puts a word and wakes the front.
    pub fn put(&self, word: Word) {
        self.words.borrow_mut().push_back(word);
        self.wake.notify_one();
    }

    /// The oldest word.
    pub fn take(&self) -> Option<Word> {
        self.words.borrow_mut().pop_front()
    }

    /// Waits until there may be a word.
    pub async fn waiting(&self) {
        self.wake.notified().await;
    }
}
