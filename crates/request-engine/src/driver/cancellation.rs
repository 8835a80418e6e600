//! Cancellation of proxied attempts.

use std::cell::Cell;
use tokio::sync::Notify;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
enum Cancellation {
    /// Not cancelled.
    #[default]
    None,
    /// Cancelled if no byte has been sent.
    UnlessSent,
    /// Cancelled, whatever has been sent.
    Immediate,
}

/// The cancellation signal of one attempt. It can only become stronger. A task that starts to wait after the
/// signal was set returns at once.
#[derive(Debug, Default)]
pub struct CancellationSignal {
    cancellation: Cell<Cancellation>,
    wake: Notify,
}

impl CancellationSignal {
    fn strengthen(&self, cancellation: Cancellation) {
        if cancellation > self.cancellation.get() {
            self.cancellation.set(cancellation);
            self.wake.notify_one();
        }
    }

    /// Cancels the attempt unless it has sent a byte.
    pub fn cancel_unless_sent(&self) {
        self.strengthen(Cancellation::UnlessSent);
    }

    /// Cancels the attempt.
    pub fn cancel(&self) {
        self.strengthen(Cancellation::Immediate);
    }

    async fn wait_for(&self, cancellation: Cancellation) {
        while self.cancellation.get() < cancellation {
            self.wake.notified().await;
        }
    }

    /// Waits until an attempt that has not sent anything is cancelled. One task at a time may wait.
    pub async fn start_cancelled(&self) {
        self.wait_for(Cancellation::UnlessSent).await;
    }

    /// Waits until the attempt is cancelled, whatever it has sent. One task at a time may wait.
    pub async fn cancelled(&self) {
        self.wait_for(Cancellation::Immediate).await;
    }

    /// Whether the attempt is cancelled if it has not sent anything.
    #[must_use]
    pub fn is_start_cancelled(&self) -> bool {
        self.cancellation.get() >= Cancellation::UnlessSent
    }
}

#[cfg(test)]
mod tests;
