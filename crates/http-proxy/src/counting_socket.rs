//! A backend socket that counts the bytes that the kernel has accepted for sending.

use crate::client_connection::socket_state::is_input_empty;
use socket2::SockRef;
use std::cell::Cell;
use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A socket that counts the bytes that were written to it. The count decides whether a backend may have
/// received, and executed, the complete request, and thus whether a retry is safe.
pub struct CountingSocket {
    stream: TcpStream,
    written: Cell<u64>,
}

impl CountingSocket {
    /// Wraps a socket to which nothing was written yet.
    #[must_use]
    pub fn new(stream: TcpStream) -> Rc<Self> {
        Rc::new(Self { stream, written: Cell::new(0) })
    }

    /// The number of bytes that were written so far.
    #[must_use]
    pub fn written(&self) -> u64 {
        self.written.get()
    }

    /// Whether nothing has arrived since the last response: neither the backend's close nor unexpected bytes.
    /// Asks the kernel, since the runtime may not have polled the socket yet.
    #[must_use]
    pub fn is_input_empty(&self) -> bool {
        is_input_empty(&self.stream)
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

/// Implements the runtime's I/O traits for a [`CountingSocket`], as the HTTP library requires.
pub struct CountingSocketIo(pub Rc<CountingSocket>);

impl AsyncRead for CountingSocketIo {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        socket_io::poll_read(&self.0.stream, cx, buf)
    }
}

impl AsyncWrite for CountingSocketIo {
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
