//! I/O on sockets and retries of system calls, with partial transfers, interrupted calls and transient errors
//! handled.

mod arrival;
pub mod retry;
mod stream;

pub use arrival::{ReceivedData, acknowledged_bytes, received_data};
pub use stream::{Stream, poll_read, poll_write, poll_write_vectored};
