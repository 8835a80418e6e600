//! Calls that fail for a moment for want of something on this machine, and are made again.

use nix::errno::Errno;
use std::io;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How long after a failed call it is made again.
const PAUSE: Duration = Duration::from_millis(20);

fn is_one_of(error: &io::Error, errors: &[Errno]) -> bool {
    error.raw_os_error().is_some_and(|code| errors.contains(&Errno::from_raw(code)))
}

/// Whether a call failed for want of descriptors or memory.
#[must_use]
pub fn is_exhausted(error: &io::Error) -> bool {
    is_one_of(error, &[Errno::ENFILE, Errno::EMFILE, Errno::ENOBUFS, Errno::ENOMEM])
}

/// Whether a call failed for want of descriptors, memory, ports or a route on this machine, or because it was interrupted:
/// the same call may succeed a moment later, and no peer is to blame.
#[must_use]
pub fn is_local(error: &io::Error) -> bool {
    let passing = [Errno::EADDRNOTAVAIL, Errno::ENETUNREACH, Errno::ENETDOWN, Errno::EAGAIN, Errno::EINTR];
    is_exhausted(error) || is_one_of(error, &passing)
}

/// Whether a disk refused a call that it may take a moment later.
#[must_use]
pub fn is_of_disk(error: &io::Error) -> bool {
    is_one_of(error, &[Errno::EIO, Errno::ENOSPC, Errno::EDQUOT]) || is_local(error)
}

/// Makes a call until it succeeds, fails for another cause than `is_passing` tells, or the time is over.
///
/// # Errors
/// The last failure.
pub async fn until<T>(
    end: Instant,
    is_passing: impl Fn(&io::Error) -> bool,
    mut call: impl FnMut() -> io::Result<T>,
) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if is_passing(&error) && Instant::now() < end => sleep(PAUSE).await,
            done => return done,
        }
    }
}
