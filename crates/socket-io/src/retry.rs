//! Retries of calls that fail with a transient error, and which errors of this machine are transient.

use nix::errno::Errno;
use std::time::{self, Duration};
use std::{io, thread};
use tokio::time::{Instant, sleep};

/// Time between a failed system call and its retry, where the caller has no delay of its own.
pub const RETRY_DELAY: Duration = Duration::from_millis(20);

fn is_one_of(error: &io::Error, errors: &[Errno]) -> bool {
    error.raw_os_error().is_some_and(|code| errors.contains(&Errno::from_raw(code)))
}

/// Whether a call failed for lack of descriptors or memory (`ENFILE`, `EMFILE`, `ENOBUFS`, `ENOMEM`).
#[must_use]
pub fn is_exhausted(error: &io::Error) -> bool {
    is_one_of(error, &[Errno::ENFILE, Errno::EMFILE, Errno::ENOBUFS, Errno::ENOMEM])
}

/// Whether a call failed for lack of descriptors, memory, ports or a route on this machine, or because it was interrupted:
/// a transient error that is no evidence against the peer.
#[must_use]
pub fn is_local(error: &io::Error) -> bool {
    let transient = [Errno::EADDRNOTAVAIL, Errno::ENETUNREACH, Errno::ENETDOWN, Errno::EAGAIN, Errno::EINTR];
    is_exhausted(error) || is_one_of(error, &transient)
}

/// Whether a file operation failed with a transient error: an I/O error, a full disk or quota, or one of [`is_local`].
#[must_use]
pub fn is_of_disk(error: &io::Error) -> bool {
    is_one_of(error, &[Errno::EIO, Errno::ENOSPC, Errno::EDQUOT]) || is_local(error)
}

/// Retries an asynchronous call until it succeeds or fails with an error that is not transient.
///
/// `delay` passes between the end of a failed call and the next one. A call that fails at or after `deadline` is not
/// retried, and none is cut short by it; without a deadline the retries go on for ever.
///
/// # Errors
/// The last failure: the first that `is_transient` rejects, or the first one at or after the deadline.
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

/// [`retry`] for calls outside of an asynchronous runtime; blocks the thread between two calls.
///
/// # Errors
/// Those of [`retry`].
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

/// [`retry`] with a deadline and [`RETRY_DELAY`], for calls that do not wait.
///
/// # Errors
/// Those of [`retry`].
pub async fn until<T, E>(
    deadline: Instant,
    is_transient: impl Fn(&E) -> bool,
    mut call: impl FnMut() -> Result<T, E>,
) -> Result<T, E> {
    retry(Some(deadline), RETRY_DELAY, is_transient, async || call()).await
}
