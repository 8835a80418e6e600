//! Instance slots and steering of connections, for the replacement of a process by its successor without
//! downtime.
//!
//! Each process of one proxy locks one slot file with an advisory lock, so that the processes can count each
//! other. The kernel releases the lock when the process ends, however it ends, so a slot whose file is not
//! locked is free. The process that became ready last receives the new connections.

use crate::file_names::file_name_part;
use nix::libc::{sock_filter, sock_fprog};
use nix::sys::socket::setsockopt;
use nix::sys::socket::sockopt::AttachReusePortCbpf;
use std::fs::{File, OpenOptions, TryLockError};
use std::io;
use std::os::fd::AsFd;
use std::path::{Path, PathBuf};

/// The maximum number of processes of one proxy at a time: one that serves, one that drains, one that starts,
/// and one more for a replacement that follows immediately.
pub const MAX_PROCESSES: usize = 4;
/// The opcode of the socket filter's only instruction, `BPF_RET | BPF_K`: return a constant.
const BPF_RETURN_CONSTANT: u16 = 0x06;

/// This process's slot among the processes of its proxy. Dropping it releases the slot.
#[derive(Debug)]
pub struct InstanceSlot {
    /// The slot files, by slot index.
    paths: Vec<PathBuf>,
    own_index: usize,
    _lock: File,
}

fn try_lock(path: &Path) -> io::Result<Option<File>> {
    let file = OpenOptions::new().create(true).truncate(false).write(true).open(path)?;
    match file.try_lock() {
        Ok(()) => Ok(Some(file)),
        Err(TryLockError::WouldBlock) => Ok(None),
        Err(TryLockError::Error(error)) => Err(error),
    }
}

impl InstanceSlot {
    /// Acquires the first free slot of the proxy `name` in `directory`.
    ///
    /// # Errors
    /// If a slot file cannot be opened or locked, or all [`MAX_PROCESSES`] slots are in use.
    pub fn acquire(directory: &Path, name: &str) -> io::Result<Self> {
        let name = file_name_part(name);
        let path = |index: usize| directory.join(format!("haventrack-{name}.process-{index}.lock"));
        let paths: Vec<_> = (0..MAX_PROCESSES).map(path).collect();
        for (own_index, path) in paths.iter().enumerate() {
            if let Some(lock) = try_lock(path)? {
                return Ok(Self { paths, own_index, _lock: lock });
            }
        }
        Err(io::Error::other(format!("{MAX_PROCESSES} processes of this proxy are already running")))
    }

    /// The index of the slot.
    #[must_use]
    pub fn index(&self) -> usize {
        self.own_index
    }

    /// The number of other running processes of this proxy. A slot file that cannot be opened or locked
    /// counts as free.
    #[must_use]
    pub fn peer_count(&self) -> usize {
        let others = self.paths.iter().enumerate().filter(|(index, _)| *index != self.own_index);
        // A slot that was never acquired has no file; `try_lock` would create it.
        others.filter(|(_, path)| path.exists() && matches!(try_lock(path), Ok(None))).count()
    }
}

/// Makes the kernel assign all new connections of the listener's address to the listener with this index. The
/// index counts the listeners that share the address in the order in which they began to listen.
///
/// # Errors
/// If the kernel rejects the socket filter; it then still selects a listener by a hash of the connection.
pub fn steer_new_connections(listener: &impl AsFd, listener_index: usize) -> io::Result<()> {
    let constant = u32::try_from(listener_index).unwrap_or(u32::MAX);
    let mut filter = [sock_filter { code: BPF_RETURN_CONSTANT, jt: 0, jf: 0, k: constant }];
    let program = sock_fprog { len: 1, filter: filter.as_mut_ptr() };
    Ok(setsockopt(listener, AttachReusePortCbpf, &program)?)
}
