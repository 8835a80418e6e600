//! Who else is a process of this proxy, told by locked files, and to whom the kernel gives new connections.
//!
//! A lock ends with its process however that ends, so files that a killed process left behind say nothing.

use crate::exclusion_store::file_name;
use nix::libc::{sock_filter, sock_fprog};
use nix::sys::socket::setsockopt;
use nix::sys::socket::sockopt::AttachReusePortCbpf;
use std::fs::{File, OpenOptions, TryLockError};
use std::io;
use std::os::fd::AsFd;
use std::path::{Path, PathBuf};

/// Processes of one proxy that there may be at a time: one that serves, one that ends, one that begins, and one more for
/// a replacement that follows right upon another.
pub const MAX_PROCESSES: usize = 4;
/// Return a constant: the one instruction of the filter (`BPF_RET | BPF_K`).
const RETURN: u16 = 0x06;

/// This process's place among those of its proxy, until it is dropped.
#[derive(Debug)]
pub struct InstanceSlot {
    paths: Vec<PathBuf>,
    own: usize,
    _locked: File,
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
    /// Takes a place.
    ///
    /// # Errors
    /// Where the folder can't be written to, or all places are taken.
    pub fn take(folder: &Path, name: &str) -> io::Result<Self> {
        let name = file_name(name);
        let path = |place: usize| folder.join(format!("haventrack-{name}.process-{place}.lock"));
        let paths: Vec<_> = (0..MAX_PROCESSES).map(path).collect();
        for (own, path) in paths.iter().enumerate() {
            if let Some(locked) = try_lock(path)? {
                return Ok(Self { paths, own, _locked: locked });
            }
        }
        Err(io::Error::other(format!("{MAX_PROCESSES} processes of this proxy run already")))
    }

    /// How many other processes of this proxy there are. What can't be looked at counts as none.
    #[must_use]
    pub fn peers(&self) -> usize {
        let others = self.paths.iter().enumerate().filter(|(place, _)| *place != self.own);
        // A place that nobody ever took has no file, and none is made for it.
        others.filter(|(_, path)| path.exists() && matches!(try_lock(path), Ok(None))).count()
    }
}

/// Has the kernel give all new connections to the listener of this place among those of its address.
///
/// # Errors
/// Where the kernel does not take the filter: it then goes on choosing by its hash.
pub fn steer(listener: &impl AsFd, place: usize) -> io::Result<()> {
    let place = u32::try_from(place).unwrap_or(u32::MAX);
    let mut filter = [sock_filter { code: RETURN, jt: 0, jf: 0, k: place }];
    let program = sock_fprog { len: 1, filter: filter.as_mut_ptr() };
    Ok(setsockopt(listener, AttachReusePortCbpf, &program)?)
}
