//! Sockets, files and signals round the state machines. Each process serves on one thread; a source's snapshots are
//! written on another.

pub mod agent;
pub mod discovery;
pub mod link;
pub mod list;
pub mod relay;
pub mod server;
pub mod snapshot;
pub mod source;
pub mod writer;

use crate::Millis;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep};
use tracing::debug;

/// How long taking connections pauses where the system has no descriptor left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// The next connection. Where the system gives none it is asked again a moment later.
async fn accept(listener: &TcpListener) -> (TcpStream, SocketAddr) {
    loop {
        match listener.accept().await {
            Ok(accepted) => return accepted,
            Err(error) => debug!("no connection taken: {error}"),
        }
        sleep(ACCEPT_PAUSE).await;
    }
}

/// Why a process could not start or go on.
#[derive(Debug, thiserror::Error)]
pub enum ShellError {
    /// The listener.
    #[error("cannot listen on {address}: {error}; is another process there?")]
    Listen {
        /// Where.
        address: std::net::SocketAddr,
        /// Why not.
        error: std::io::Error,
    },
    /// A snapshot.
    #[error(transparent)]
    Snapshot(#[from] snapshot::SnapshotError),
    /// Signals or the runtime.
    #[error("the system refused: {0}")]
    System(#[from] std::io::Error),
}

/// The steady clock of a process: the times that its state machines are given.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// Begins at zero.
    #[must_use]
    pub fn start() -> Self {
        Self(Instant::now())
    }

    /// What time it is, milliseconds.
    #[must_use]
    pub fn now(&self) -> Millis {
        Millis::try_from(self.0.elapsed().as_millis()).unwrap_or(Millis::MAX)
    }

    /// When it is so late; far off for times that are never reached.
    #[must_use]
    pub fn instant(&self, at: Millis) -> Instant {
        /// A day, milliseconds: whoever sleeps so long looks again.
        const FAR: Millis = 86_400_000;
        let now = self.now();
        Instant::now() + Duration::from_millis(at.saturating_sub(now).min(FAR))
    }
}

/// Listens.
async fn listen(address: std::net::SocketAddr) -> Result<tokio::net::TcpListener, ShellError> {
    tokio::net::TcpListener::bind(address).await.map_err(|error| ShellError::Listen { address, error })
}

/// Unix time, milliseconds.
fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}

/// For jitter: another one at each start.
fn seed() -> u64 {
    fastrand::u64(..)
}

/// What another party said of itself, fit for a line of the log: no control characters, and no longer than a line.
fn said(text: &str) -> String {
    /// Characters of it at the most.
    const MOST: usize = 200;
    let mut said: String = text.chars().take(MOST).flat_map(char::escape_debug).collect();
    if text.chars().nth(MOST).is_some() {
        said.push_str("...");
    }
    said
}
