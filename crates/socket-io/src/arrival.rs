//! What the kernel has received on a TCP connection, and when, and what the peer has received. It does not
//! depend on whether the process has accepted the connection or read the data.

use nix::libc::{IPPROTO_TCP, TCP_INFO, tcp_info};
use std::io;
use std::mem::{offset_of, size_of};
use std::os::fd::AsRawFd;
use std::time::Duration;

/// The position of `tcpi_last_data_recv` in `tcp_info`, which consists of 32-bit words after its first eight
/// bytes.
const LAST_DATA_RECEIVED_WORD: usize = offset_of!(tcp_info, tcpi_last_data_recv) / size_of::<u32>();
/// The position of `tcpi_bytes_acked`, a number of 64 bits that the C library's declaration omits.
const BYTES_ACKNOWLEDGED_WORD: usize = 30;
/// The position of `tcpi_bytes_received`, likewise.
const BYTES_RECEIVED_WORD: usize = 32;
/// Length of the part of `tcp_info` that is read.
const INFO_WORDS: usize = BYTES_RECEIVED_WORD + 2;

/// What the kernel has received on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceivedData {
    /// The number of bytes since the connection was established, read by the process or not. The end of the
    /// peer's stream may count as one byte.
    pub bytes: u64,
    /// The time since the last data arrived, or since the connection was established if none has. In
    /// milliseconds, rounded down to a clock tick of the kernel.
    pub last_data_age: Duration,
}

/// Returns what the kernel has received on a TCP connection.
///
/// # Errors
/// The socket is not a TCP socket, or the kernel's `tcp_info` is too short (`Unsupported`).
pub fn received_data(socket: &impl AsRawFd) -> io::Result<ReceivedData> {
    let info = connection_info(socket)?;
    Ok(ReceivedData {
        bytes: long_number(&info, BYTES_RECEIVED_WORD),
        last_data_age: Duration::from_millis(info[LAST_DATA_RECEIVED_WORD].into()),
    })
}

/// Returns the number of bytes that the peer of a TCP connection has acknowledged since it was established.
///
/// # Errors
/// The socket is not a TCP socket, or the kernel's `tcp_info` is too short (`Unsupported`).
pub fn acknowledged_bytes(socket: &impl AsRawFd) -> io::Result<u64> {
    Ok(long_number(&connection_info(socket)?, BYTES_ACKNOWLEDGED_WORD))
}

fn connection_info(socket: &impl AsRawFd) -> io::Result<[u32; INFO_WORDS]> {
    let mut info = [0_u32; INFO_WORDS];
    let byte_count = uapi::getsockopt(socket.as_raw_fd(), IPPROTO_TCP, TCP_INFO, &mut info)?;
    if byte_count < INFO_WORDS * size_of::<u32>() {
        return Err(io::ErrorKind::Unsupported.into());
    }
    Ok(info)
}

/// The number of 64 bits at this position.
fn long_number(info: &[u32; INFO_WORDS], word: usize) -> u64 {
    let [first, second] = [info[word], info[word + 1]].map(u32::to_ne_bytes);
    let mut bytes = [0; size_of::<u64>()];
    bytes[..first.len()].copy_from_slice(&first);
    bytes[first.len()..].copy_from_slice(&second);
    u64::from_ne_bytes(bytes)
}
