//! A socket to a backend that counts what it took.

use crate::client_connection::is_quiet;
use socket2::SockRef;
use std::cell::Cell;
use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A connection's socket, with a count of the bytes that it took.
///
/// The socket counts as empty only once the kernel says so (`socket_io`).
pub struct Wire {
    stream: TcpStream,
    written: Cell<u64>,
}

impl Wire {
    /// A socket that has taken nothing yet.
    #[must_use]
    pub fn new(stream: TcpStream) -> Rc<Self> {
        Rc::new(Self { stream, written: Cell::new(0) })
    }

    /// The bytes that it took so far.
    #[must_use]
    pub fn written(&self) -> u64 {
        self.written.get()
    }

    /// Whether nothing has come in since the last answer: neither the backend's goodbye nor stray bytes. The
    /// runtime may not have seen yet what the kernel knows already, so the socket itself is asked.
    #[must_use]
    pub fn is_quiet(&self) -> bool {
        is_quiet(&self.stream)
    }

    fn poll_counted(
        &self,
        poll: impl FnOnce(&TcpStream) -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        let written = ready!(poll(&self.stream))?;
        self.written.set(self.written.get() + written as u64);
        Poll::Ready(Ok(written))
    }
}

/// The half of a [`Wire`] that the HTTP side drives.
pub struct WireIo(pub Rc<Wire>);

impl AsyncRead for WireIo {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        socket_io::poll_read(&self.0.stream, cx, buf)
    }
}

impl AsyncWrite for WireIo {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.0.poll_counted(|stream| socket_io::poll_write(stream, cx, buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.0.poll_counted(|stream| socket_io::poll_write_vectored(stream, cx, bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&self.0.stream).shutdown(Shutdown::Write))
    }
}
