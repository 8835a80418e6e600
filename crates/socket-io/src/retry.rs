//! Retries of calls that fail with a transient error, and the classification of local errors as transient.

use nix::errno::Errno;
use std::time::{self, Duration};
use std::{io, thread};
use tokio::time::{Instant, sleep};

/// Default time between a failed system call and its retry.
pub const RETRY_DELAY: Duration = Duration::from_millis(20);

fn is_one_of(error: &io::Error, errors: &[Errno]) -> bool {
    error.raw_os_error().is_some_and(|code| errors.contains(&Errno::from_raw(code)))
}

/// Whether a call failed because file descriptors or memory were exhausted (`ENFILE`, `EMFILE`, `ENOBUFS`,
/// `ENOMEM`).
#[must_use]
pub fn is_resource_exhausted(error: &io::Error) -> bool {
    is_one_of(error, &[Errno::ENFILE, Errno::EMFILE, Errno::ENOBUFS, Errno::ENOMEM])
}

/// Whether a call failed with a transient error of this machine: a lack of descriptors, memory, ports or a
/// route, or an interruption. Such an error does not indicate a fault of the peer.
#[must_use]
pub fn is_transient_local_error(error: &io::Error) -> bool {
    let transient = [Errno::EADDRNOTAVAIL, Errno::ENETUNREACH, Errno::ENETDOWN, Errno::EAGAIN, Errno::EINTR];
    is_resource_exhausted(error) || is_one_of(error, &transient)
}

/// Whether a file operation failed with a transient error: an I/O error, a full disk, an exceeded disk quota,
/// or an error of [`is_transient_local_error`].
#[must_use]
pub fn is_transient_file_error(error: &io::Error) -> bool {
    is_one_of(error, &[Errno::EIO, Errno::ENOSPC, Errno::EDQUOT]) || is_transient_local_error(error)
}

/// Retries an asynchronous call until it succeeds or fails with an error that is not transient.
///
/// Waits for `delay` between the end of a failed call and the next one. A call that fails at or after
/// `deadline` is not retried; a call in progress at the deadline is not aborted. Without a deadline the
/// number of retries is unlimited.
///
/// # Errors
/// The first error that `is_transient` rejects, or the first one at or after the deadline.
pub async fn retry<T, E>(
    deadline: Option<Instant>,
    delay: Duration,
    is_transient: impl Fn(&E) -> bool,
    mut call: impl AsyncFnMut() -> Result<T, E>,
) -> Result<T, E> {
    loop {
        match call().await {
            Err(error) if is_transient(&error) && deadline.is_none_or(|end| Instant::now() < end) => {
                sleep(delay).await;
            }
            result => return result,
        }
    }
}

/// [`retry`] for calls outside an asynchronous runtime; blocks the thread for `delay` between two calls.
///
/// # Errors
/// As [`retry`].
pub fn retry_blocking<T, E>(
    deadline: time::Instant,
    delay: Duration,
    is_transient: impl Fn(&E) -> bool,
    mut call: impl FnMut() -> Result<T, E>,
) -> Result<T, E> {
    loop {
        match call() {
            Err(error) if is_transient(&error) && time::Instant::now() < deadline => thread::sleep(delay),
            result => return result,
        }
    }
}

/// [`retry`] until a deadline, with [`RETRY_DELAY`] between calls, for synchronous calls that do not block.
///
/// # Errors
/// As [`retry`].
pub async fn retry_until<T, E>(
    deadline: Instant,
    is_transient: impl Fn(&E) -> bool,
    mut call: impl FnMut() -> Result<T, E>,
) -> Result<T, E> {
    retry(Some(deadline), RETRY_DELAY, is_transient, async || call()).await
}
