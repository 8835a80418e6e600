//! Sockets, files and signals around the state machines. Each process serves on one thread; a source writes
//! its snapshots on another.

pub mod agent;
pub mod change_file;
pub mod discovery;
pub mod discovery_list;
pub mod relay;
pub mod server;
pub mod snapshot;
pub mod source;
pub mod upstream_link;
pub mod writer;

use crate::Millis;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep};
use tracing::debug;

/// Delay before `accept` is retried, for example without free file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Accepts the next connection; errors are retried.
async fn accept(listener: &TcpListener) -> (TcpStream, SocketAddr) {
    loop {
        match listener.accept().await {
            Ok(accepted) => return accepted,
            Err(error) => debug!("cannot accept a connection: {error}"),
        }
        sleep(ACCEPT_RETRY_DELAY).await;
    }
}

/// Why a process could not start or continue.
#[derive(Debug, thiserror::Error)]
pub enum RuntimeError {
    /// The listener could not be opened.
    #[error("cannot listen on {address}: {error}; is another process there?")]
    Listen {
        /// The listener's address.
        address: SocketAddr,
        /// The cause.
        error: std::io::Error,
    },
    /// The snapshot could not be read or written.
    #[error(transparent)]
    Snapshot(#[from] snapshot::SnapshotError),
    /// A signal handler, a thread or the async runtime could not be created.
    #[error("the system refused: {0}")]
    System(#[from] std::io::Error),
}

/// The monotonic clock of a process, from which its state machines are given the time.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// A clock that begins at zero.
    #[must_use]
    pub fn start() -> Self {
        Self(Instant::now())
    }

    /// The time since the start, milliseconds.
    #[must_use]
    pub fn now(&self) -> Millis {
        Millis::try_from(self.0.elapsed().as_millis()).unwrap_or(Millis::MAX)
    }

    /// The instant of a time of this clock, a day ahead at the most.
    #[must_use]
    pub fn instant(&self, at: Millis) -> Instant {
        /// A day, milliseconds; a task that wakes up early recomputes its deadline.
        const MAX_AHEAD: Millis = 86_400_000;
        let now = self.now();
        Instant::now() + Duration::from_millis(at.saturating_sub(now).min(MAX_AHEAD))
    }
}

/// Opens a listener.
async fn listen(address: SocketAddr) -> Result<TcpListener, RuntimeError> {
    TcpListener::bind(address).await.map_err(|error| RuntimeError::Listen { address, error })
}

/// Unix time, milliseconds.
fn unix_time_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |elapsed| u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
}

/// A seed for jitter, different at each start.
fn random_seed() -> u64 {
    fastrand::u64(..)
}

/// Makes text from another node safe for one log line: control characters escaped, length bounded.
fn loggable(text: &str) -> String {
    /// Characters at the most.
    const MAX_CHARS: usize = 200;
    let mut line: String = text.chars().take(MAX_CHARS).flat_map(char::escape_debug).collect();
    if text.chars().nth(MAX_CHARS).is_some() {
        line.push_str("...");
    }
    line
}
