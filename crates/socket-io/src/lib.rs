//! Sockets and system calls in the presence of partial transfers, interrupted calls and transient errors.

pub mod retry;
mod stream;

pub use stream::{Stream, poll_read, poll_write, poll_write_vectored};
