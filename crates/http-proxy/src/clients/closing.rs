//! Closes client connections.

use crate::size_limits::MAX_BUFFERED_BODY_BYTES;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The maximum time for which a closing connection is read. The kernel responds to unread late bytes with a
/// reset, which would destroy a response in transit.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// The maximum number of bytes that are read in that time.
const MAX_LINGER_BYTES: usize = 4 * MAX_BUFFERED_BODY_BYTES;

/// How a client connection has to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseMode {
    /// A response may be in transit: late bytes are read, so that no reset destroys it.
    Linger,
    /// The connection was idle. A request that arrives during the close remains unread, so that its client
    /// can safely send it to another server.
    Idle,
    /// A response was truncated: the connection is reset.
    Reset,
    /// The connection was evicted: its descriptor is released immediately.
    Immediate,
}

/// Closes a connection in this mode.
pub(super) async fn close(stream: TcpStream, mode: CloseMode) {
    match mode {
        CloseMode::Linger => close_with_linger(stream).await,
        CloseMode::Idle => close_idle(stream).await,
        CloseMode::Reset => drop(stream.set_zero_linger()),
        CloseMode::Immediate => {}
    }
}

/// Closes the sending side of an idle connection and waits for the client to close its own. A request that
/// arrives during this time remains unread, so that the kernel resets the connection and the client knows
/// that the request was not processed.
async fn close_idle(mut stream: TcpStream) {
    if stream.shutdown().await.is_ok() {
        let _ = timeout(LINGER_TIMEOUT, stream.peek(&mut [0])).await;
    }
}

/// Closes the sending side, then reads and discards late bytes up to the limits.
async fn close_with_linger(mut stream: TcpStream) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let _ = timeout(LINGER_TIMEOUT, async {
        let (mut buffer, mut read) = ([0; 2_048], 0);
        while read < MAX_LINGER_BYTES {
            match stream.read(&mut buffer).await {
                Ok(0) | Err(_) => return,
                Ok(n) => read += n,
            }
        }
    })
    .await;
}

#[cfg(test)]
mod tests;
