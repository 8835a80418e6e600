//! The socket of a client, as the HTTP library reads and writes it.

use super::ClientConnection;
use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// The socket of a client. Its reads and writes update the state of the connection.
pub struct ClientStream {
    stream: Rc<RefCell<TcpStream>>,
    connection: Rc<ClientConnection>,
}

impl ClientStream {
    /// Wraps the socket of this connection.
    #[must_use]
    pub fn new(stream: Rc<RefCell<TcpStream>>, connection: Rc<ClientConnection>) -> Self {
        Self { stream, connection }
    }

    fn poll_tracked_write(
        &self,
        poll: impl FnOnce(&TcpStream) -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        let polled = poll(&self.stream.borrow());
        let stalled_since = &self.connection.write_stalled_since;
        match polled {
            Poll::Pending if stalled_since.get().is_none() => stalled_since.set(Some(Instant::now())),
            Poll::Pending => {}
            Poll::Ready(_) => stalled_since.set(None),
        }
        polled
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        let read_ahead = self.connection.read_ahead.borrow_mut().take(buf.remaining());
        let arrived_at = if let Some(read) = read_ahead {
            buf.put_slice(&read.bytes);
            read.arrived_at
        } else {
            let stream = self.stream.borrow();
            ready!(socket_io::poll_read(&stream, cx, buf))?;
            self.connection.earliest_arrival(&stream, buf.filled().len() - filled_before)
        };
        let bytes = &buf.filled()[filled_before..];
        if !bytes.is_empty() {
            self.connection.receive(bytes, Instant::now(), arrived_at);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_tracked_write(|stream| socket_io::poll_write(stream, cx, buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_tracked_write(|stream| socket_io::poll_write_vectored(stream, cx, bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_shutdown(cx)
    }
}
