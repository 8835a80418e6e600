//! A TCP stream that holds under short transfers and interrupted calls.
//!
//! The runtime takes a read that did not fill its buffer for the end of what there is, and then waits for the kernel to
//! announce more. Where a read was cut short for another reason, the rest would wait for bytes that the other side has no
//! cause to send. Here a socket counts as empty, or as full, only once the kernel says so. That costs one more call for each
//! read that empties a socket.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Whether a call has to be made again: a signal came in between, or the readiness that was announced is over.
fn is_again(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}

/// Reads what the socket has.
///
/// # Errors
/// Where the connection failed.
pub fn poll_read(
    stream: &TcpStream,
    context: &mut Context<'_>,
    buffer: &mut ReadBuf<'_>,
) -> Poll<io::Result<()>> {
    loop {
        ready!(stream.poll_read_ready(context))?;
        match stream.try_read_buf(buffer) {
            Ok(_) => return Poll::Ready(Ok(())),
            Err(error) if is_again(&error) => {}
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
            Err(error) if is_again(&error) => {}
            written => return Poll::Ready(written),
        }
    }
}

/// Writes what the socket takes.
///
/// # Errors
/// Where the connection failed.
pub fn poll_write(stream: &TcpStream, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
    poll_write_with(stream, context, |stream| stream.try_write(bytes))
}

/// Writes what the socket takes of several buffers.
///
/// # Errors
/// Where the connection failed.
pub fn poll_write_vectored(
    stream: &TcpStream,
    context: &mut Context<'_>,
    buffers: &[io::IoSlice<'_>],
) -> Poll<io::Result<usize>> {
    poll_write_with(stream, context, |stream| stream.try_write_vectored(buffers))
}

/// A TCP stream that is read and written by the functions of this module.
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
