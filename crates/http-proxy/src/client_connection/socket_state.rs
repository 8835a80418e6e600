//! Asks the kernel for the state of a socket, whether or not the runtime has polled it yet.

use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use std::task::{Context, Poll, Waker};
use tokio::io::Interest;
use tokio::net::TcpStream;

/// Whether the kernel has nothing to report for reading: no bytes, no close and no error.
#[must_use]
pub fn is_input_empty(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    let peeked = SockRef::from(stream).peek(&mut byte);
    peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}

/// Whether the peer has closed its sending side, even behind unread bytes.
pub(super) fn is_read_closed(stream: &TcpStream) -> bool {
    let mut ready = std::pin::pin!(stream.ready(Interest::READABLE));
    let polled = ready.as_mut().poll(&mut Context::from_waker(Waker::noop()));
    matches!(polled, Poll::Ready(Ok(ready)) if ready.is_read_closed())
}
