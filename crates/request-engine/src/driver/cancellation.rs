//! How an attempt that is out is taken back.

use std::cell::Cell;
use tokio::sync::Notify;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
enum Signal {
    /// It goes on.
    #[default]
    None,
    /// It goes on if a byte of it has left.
    Unsent,
    /// It ends.
    Now,
}

/// The signal to one attempt. It can become stronger and never weaker, and whoever asks later hears it all the same.
#[derive(Debug, Default)]
pub struct CancellationSignal {
    signal: Cell<Signal>,
    wake: Notify,
}

impl CancellationSignal {
    fn say(&self, signal: Signal) {
        if signal > self.signal.get() {
            self.signal.set(signal);
            self.wake.notify_one();
        }
    }

    /// The attempt is not wanted any more: it ends unless a byte of it has left.
    pub fn cancel_unless_sent(&self) {
        self.say(Signal::Unsent);
    }

    /// The attempt ends.
    pub fn cancel(&self) {
        self.say(Signal::Now);
    }

    async fn heard(&self, signal: Signal) {
        while self.signal.get() < signal {
            self.wake.notified().await;
        }
    }

    /// Waits until the attempt may not begin, if it has not yet. One task at a time may wait.
    pub async fn start_cancelled(&self) {
        self.heard(Signal::Unsent).await;
    }

    /// Waits until the attempt has to end, whatever of it has left. One task at a time may wait.
    pub async fn cancelled(&self) {
        self.heard(Signal::Now).await;
    }

    /// Whether the attempt may not begin.
    #[must_use]
    pub fn is_start_cancelled(&self) -> bool {
        self.signal.get() >= Signal::Unsent
    }
}

#[cfg(test)]
mod tests;
