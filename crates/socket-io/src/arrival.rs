//! How long ago data arrived on a TCP connection, whether or not the process has accepted the connection or read from it.

use nix::libc::{IPPROTO_TCP, TCP_INFO, tcp_info};
use std::io;
use std::mem::{offset_of, size_of};
use std::os::fd::AsRawFd;
use std::time::Duration;

/// `tcp_info` ends in 32-bit words, and all before them fills whole words.
const INFO_WORDS: usize = size_of::<tcp_info>() / size_of::<u32>();
const LAST_DATA_RECEIVED_WORD: usize = offset_of!(tcp_info, tcpi_last_data_recv) / size_of::<u32>();

/// The time since the kernel received the last data of a TCP connection, or since the connection was established if none came.
/// In milliseconds, rounded down to the kernel's clock tick.
///
/// # Errors
///
/// The socket is no TCP socket, or the kernel reports less than this (`Unsupported`).
pub fn time_since_last_data(socket: &impl AsRawFd) -> io::Result<Duration> {
    let mut info = [0_u32; INFO_WORDS];
    let byte_count = uapi::getsockopt(socket.as_raw_fd(), IPPROTO_TCP, TCP_INFO, &mut info)?;
    if byte_count < (LAST_DATA_RECEIVED_WORD + 1) * size_of::<u32>() {
        return Err(io::ErrorKind::Unsupported.into());
    }
    Ok(Duration::from_millis(info[LAST_DATA_RECEIVED_WORD].into()))
}
