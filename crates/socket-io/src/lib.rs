//! System calls on sockets and files that fail, are interrupted, or do a part of what was asked.

pub mod retry;
mod stream;

pub use stream::{Stream, poll_read, poll_write, poll_write_vectored};
