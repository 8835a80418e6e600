//! The I/O around the state machines: sockets, files, timers and clocks. Each process serves all connections
//! on one thread; a source writes its snapshots on a second one.

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

/// Delay before `accept` is retried after an error, for example because no file descriptors are available.
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
    /// The listener could not be bound to its address.
    #[error("cannot listen on {address}: {error}; check that no other process uses the address")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The error of the operating system.
        error: std::io::Error,
    },
    /// The snapshot could not be read or written.
    #[error(transparent)]
    Snapshot(#[from] snapshot::SnapshotError),
    /// A signal handler, a thread or the async runtime could not be created.
    #[error("operating system error: {0}")]
    System(#[from] std::io::Error),
}

/// The monotonic clock of a process, which provides the time for its state machines.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// Starts a clock at zero.
    #[must_use]
    pub fn start() -> Self {
        Self(Instant::now())
    }

    /// The time since [`Clock::start`], milliseconds.
    #[must_use]
    pub fn now(&self) -> Millis {
        Millis::try_from(self.0.elapsed().as_millis()).unwrap_or(Millis::MAX)
    }

    /// Converts a time of this clock to an instant for timers, at most one day ahead.
    #[must_use]
    pub fn instant(&self, at: Millis) -> Instant {
        /// One day, milliseconds. A task that wakes up before its deadline computes a new one.
        const MAX_AHEAD: Millis = 86_400_000;
        let now = self.now();
        Instant::now() + Duration::from_millis(at.saturating_sub(now).min(MAX_AHEAD))
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, RuntimeError> {
    TcpListener::bind(address).await.map_err(|error| RuntimeError::Listen { address, error })
}

/// The current Unix time, milliseconds; 0 if the clock is set to a time before 1970.
fn unix_time_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |elapsed| u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
}

/// A seed for jitter, different for each start of a process.
fn random_seed() -> u64 {
    fastrand::u64(..)
}

/// Makes text from another node safe for a log line: escapes control characters and limits the length.
fn escape_for_log(text: &str) -> String {
    /// Maximum number of characters, before escaping.
    const MAX_CHARS: usize = 200;
    let mut line: String = text.chars().take(MAX_CHARS).flat_map(char::escape_debug).collect();
    if text.chars().nth(MAX_CHARS).is_some() {
        line.push_str("...");
    }
    line
}
