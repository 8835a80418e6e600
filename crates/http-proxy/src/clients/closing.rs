//! How a client's connection ends.

use crate::size_limits::BODY_CAP;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long a closing connection is read on, and how much of it, so that the kernel does not answer late
/// bytes with a reset that destroys an answer on its way.
const LINGER: Duration = Duration::from_millis(500);
const LINGER_BYTES: usize = 4 * BODY_CAP;

/// How a client's connection has to end.
pub(super) enum End {
    /// An answer, or a part of one, may be on its way: what still comes is read, so that no reset destroys it.
    Answered,
    /// It was at rest. A request that crosses the close is not read: its client then sends it once more elsewhere.
    Unasked,
    /// An answer broke off on it: it is reset.
    Broken,
    /// It makes room at once.
    Closed,
}

/// Ends the sending side of a connection that was at rest and waits for the client to end its own. A request that crosses
/// this stays unread, so that the close resets it and its client knows that it was not taken.
pub(super) async fn part(mut stream: TcpStream) {
    if stream.shutdown().await.is_ok() {
        let _ = timeout(LINGER, stream.peek(&mut [0])).await;
    }
}

/// Ends the sending side and reads what still comes, for a while.
pub(super) async fn linger(mut stream: TcpStream) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let _ = timeout(LINGER, async {
        let (mut buffer, mut read) = ([0; 2_048], 0);
        while read < LINGER_BYTES {
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
