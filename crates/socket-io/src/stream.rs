//! A TCP stream that handles partial transfers and interrupted calls.
//!
//! The runtime assumes that the socket is empty after a read that did not fill its buffer, and then waits for
//! the kernel to report readiness. If the read was short for another reason, the remaining bytes would not be
//! read until the peer sends more, which may be never. Here a socket counts as empty, or as full, only when
//! the kernel reports `EAGAIN`. This costs one additional system call for each read that empties a socket.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Whether to retry a call because a signal interrupted it or the reported readiness was stale.
fn is_retryable(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}

/// Reads the bytes that have arrived, up to the free space in `buffer`. At the end of the stream it reads
/// none.
///
/// # Errors
/// The connection failed.
pub fn poll_read(
    stream: &TcpStream,
    context: &mut Context<'_>,
    buffer: &mut ReadBuf<'_>,
) -> Poll<io::Result<()>> {
    loop {
        ready!(stream.poll_read_ready(context))?;
        match stream.try_read_buf(buffer) {
            Ok(_) => return Poll::Ready(Ok(())),
            Err(error) if is_retryable(&error) => {}
            Err(error) => return Poll::Ready(Err(error)),
        }
    }
}

fn poll_write_with(
    stream: &TcpStream,
    context: &mut Context<'_>,
    write: impl Fn(&TcpStream) -> io::Result<usize>,
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(context))?;
        match write(stream) {
            Err(error) if is_retryable(&error) => {}
            written => return Poll::Ready(written),
        }
    }
}

/// Writes as many of `bytes` as fit into the socket's send buffer and returns their number.
///
/// # Errors
/// The connection failed.
pub fn poll_write(stream: &TcpStream, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
    poll_write_with(stream, context, |stream| stream.try_write(bytes))
}

/// Writes several buffers in one system call; otherwise as [`poll_write`].
///
/// # Errors
/// The connection failed.
pub fn poll_write_vectored(
    stream: &TcpStream,
    context: &mut Context<'_>,
    buffers: &[io::IoSlice<'_>],
) -> Poll<io::Result<usize>> {
    poll_write_with(stream, context, |stream| stream.try_write_vectored(buffers))
}

/// A TCP stream that reads and writes with [`poll_read`], [`poll_write`] and [`poll_write_vectored`].
#[derive(Debug)]
pub struct Stream(TcpStream);

impl From<TcpStream> for Stream {
    fn from(stream: TcpStream) -> Self {
        Self(stream)
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        poll_read(&self.0, context, buffer)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        poll_write(&self.0, context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        poll_write_vectored(&self.0, context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(context)
    }
}
