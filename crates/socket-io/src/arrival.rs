//! The time since the last data arrived on a TCP connection, as recorded by the kernel. It does not depend on
//! whether the process has accepted the connection or read the data.

use nix::libc::{IPPROTO_TCP, TCP_INFO, tcp_info};
use std::io;
use std::mem::{offset_of, size_of};
use std::os::fd::AsRawFd;
use std::time::Duration;

/// Length of `tcp_info` as an array of 32-bit words: it ends in 32-bit fields, and those before fill complete
/// words.
const INFO_WORDS: usize = size_of::<tcp_info>() / size_of::<u32>();
const LAST_DATA_RECEIVED_WORD: usize = offset_of!(tcp_info, tcpi_last_data_recv) / size_of::<u32>();

/// Returns the time since the kernel received the last data of a TCP connection, or since the connection was
/// established if no data has arrived. The value is in milliseconds, rounded down to a clock tick of the
/// kernel.
///
/// # Errors
/// The socket is not a TCP socket, or the kernel's `tcp_info` is too short to contain the field
/// (`Unsupported`).
pub fn time_since_last_data(socket: &impl AsRawFd) -> io::Result<Duration> {
    let mut info = [0_u32; INFO_WORDS];
    let byte_count = uapi::getsockopt(socket.as_raw_fd(), IPPROTO_TCP, TCP_INFO, &mut info)?;
    if byte_count < (LAST_DATA_RECEIVED_WORD + 1) * size_of::<u32>() {
        return Err(io::ErrorKind::Unsupported.into());
    }
    Ok(Duration::from_millis(info[LAST_DATA_RECEIVED_WORD].into()))
}
