//! A socket to a backend that counts what it took.

use crate::lane::is_quiet;
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A connection's socket, with a count of the bytes that it took.
///
/// The socket is read and written through its own implementation: it knows that a read which did not fill the buffer
/// has emptied the kernel's, so that no second call is made only to be told so, and clears no buffer beforehand.
pub struct Wire {
    stream: RefCell<TcpStream>,
    written: Cell<u64>,
}

impl Wire {
    /// A socket that has taken nothing yet.
    #[must_use]
    pub fn new(stream: TcpStream) -> Rc<Self> {
        Rc::new(Self { stream: RefCell::new(stream), written: Cell::new(0) })
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
        is_quiet(&self.stream.borrow())
    }

    fn poll_counted(
        &self,
        poll: impl FnOnce(Pin<&mut TcpStream>) -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        let written = ready!(poll(Pin::new(&mut *self.stream.borrow_mut())))?;
        self.written.set(self.written.get() + written as u64);
        Poll::Ready(Ok(written))
    }
}

/// The half of a [`Wire`] that the HTTP side drives.
pub struct WireIo(pub Rc<Wire>);

impl AsyncRead for WireIo {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.stream.borrow_mut()).poll_read(cx, buf)
    }
}

impl AsyncWrite for WireIo {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.0.poll_counted(|stream| stream.poll_write(cx, buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.0.poll_counted(|stream| stream.poll_write_vectored(cx, bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.stream.borrow_mut()).poll_shutdown(cx)
    }
}
