//! Accepts callers' connections, up to a limit.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::time::sleep;
use tonic::transport::server::Connected;

/// Pause after a failed accept, so that a persistent error does not cause a busy loop.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// A caller's connection, which counts towards the limit until it is dropped.
pub(super) struct Connection {
    stream: TcpStream,
    _permit: OwnedSemaphorePermit,
}

impl Connected for Connection {
    type ConnectInfo = ();

    fn connect_info(&self) -> Self::ConnectInfo {}
}

impl AsyncRead for Connection {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        socket_io::poll_read(&self.stream, cx, buf)
    }
}

impl AsyncWrite for Connection {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        socket_io::poll_write(&self.stream, cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Accepts connections until their receiver is dropped. A connection above the limit is closed at once, so
/// that the caller can connect to another process.
pub(super) async fn accept(
    listener: TcpListener,
    max_connections: usize,
    connections: mpsc::Sender<io::Result<Connection>>,
) {
    let permits = Arc::new(Semaphore::new(max_connections));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = connections.closed() => return,
        };
        // Neither a lack of file descriptors nor a connection that was closed before its accept ends the
        // service.
        let Ok((stream, _)) = accepted else {
            sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else { continue };
        let _ = stream.set_nodelay(true);
        if connections.send(Ok(Connection { stream, _permit: permit })).await.is_err() {
            return;
        }
    }
}
