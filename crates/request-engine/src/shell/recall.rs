//! How an attempt that is out is taken back.

use std::cell::Cell;
use tokio::sync::Notify;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
enum Word {
    /// It goes on.
    #[default]
    None,
    /// It goes on if a byte of it has left.
    Unsent,
    /// It ends.
    Now,
}

/// The word to one attempt. It can become stronger and never weaker, and whoever asks later hears it all the same.
#[derive(Debug, Default)]
pub struct Recall {
    word: Cell<Word>,
    wake: Notify,
}

impl Recall {
    fn say(&self, word: Word) {
        if word > self.word.get() {
            self.word.set(word);
            self.wake.notify_one();
        }
    }

    /// The attempt is not wanted any more: it ends unless a byte of it has left.
    pub fn unless_sent(&self) {
        self.say(Word::Unsent);
    }

    /// The attempt ends.
    pub fn at_once(&self) {
        self.say(Word::Now);
    }

    async fn heard(&self, word: Word) {
        while self.word.get() < word {
            self.wake.notified().await;
        }
    }

    /// Waits until the attempt may not begin, if it has not yet. One task at a time may wait.
    pub async fn unwanted(&self) {
        self.heard(Word::Unsent).await;
    }

    /// Waits until the attempt has to end, whatever of it has left. One task at a time may wait.
    pub async fn withdrawn(&self) {
        self.heard(Word::Now).await;
    }

    /// Whether the attempt may not begin.
    #[must_use]
    pub fn is_unwanted(&self) -> bool {
        self.word.get() >= Word::Unsent
    }
}

#[cfg(test)]
mod tests;
