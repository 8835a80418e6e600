//! Tests of retries: which errors are retried, how often and until when.

use nix::errno::Errno;
use socket_io::retry;
use std::cell::Cell;
use std::io;
use std::time::Duration;
use tokio::time::Instant;

const DELAY: Duration = Duration::from_millis(2);
const REASON: &str = "not transient";
const LONG: Duration = Duration::from_secs(60);

#[derive(Clone, Debug, PartialEq)]
enum Failure {
    Transient,
    Permanent(&'static str),
}

fn is_transient(failure: &Failure) -> bool {
    *failure == Failure::Transient
}

/// A call that fails `failures` times with `failure` and then returns the number of calls made.
fn failing(failures: u32, failure: Failure) -> impl FnMut() -> Result<u32, Failure> {
    let mut calls = 0;
    move || {
        calls += 1;
        if calls <= failures { Err(failure.clone()) } else { Ok(calls) }
    }
}

#[tokio::test]
async fn retries_transient_failures_until_success_with_the_delay_between_calls() {
    let start = Instant::now();
    let mut call = failing(3, Failure::Transient);
    let result = retry::retry(Some(start + LONG), DELAY, is_transient, async || call()).await;
    assert_eq!(result, Ok(4));
    assert!(start.elapsed() >= 3 * DELAY);
}

#[tokio::test]
async fn retries_without_a_deadline() {
    let mut call = failing(3, Failure::Transient);
    assert_eq!(retry::retry(None, DELAY, is_transient, async || call()).await, Ok(4));
}

#[tokio::test]
async fn returns_a_permanent_failure_at_once() {
    let calls = Cell::new(0);
    let call = async || {
        calls.set(calls.get() + 1);
        Err::<(), _>(Failure::Permanent(REASON))
    };
    assert_eq!(retry::retry(None, LONG, is_transient, call).await, Err(Failure::Permanent(REASON)));
    assert_eq!(calls.get(), 1);
}

#[tokio::test]
async fn calls_once_when_the_deadline_has_passed() {
    let calls = Cell::new(0);
    let call = || {
        calls.set(calls.get() + 1);
        Err::<(), _>(Failure::Transient)
    };
    assert_eq!(retry::retry_until(Instant::now(), is_transient, call).await, Err(Failure::Transient));
    assert_eq!(calls.get(), 1);
}

#[tokio::test]
async fn returns_the_last_failure_after_the_deadline() {
    let deadline = Instant::now() + 3 * DELAY;
    let call = async || Err::<(), _>(Failure::Transient);
    let result = retry::retry(Some(deadline), DELAY, is_transient, call).await;
    assert_eq!(result, Err(Failure::Transient));
    assert!(Instant::now() >= deadline);
}

#[test]
fn blocking_retries_stop_at_success_a_permanent_failure_or_the_deadline() {
    let now = std::time::Instant::now();
    let success = retry::retry_blocking(now + LONG, DELAY, is_transient, failing(3, Failure::Transient));
    assert_eq!(success, Ok(4));
    let permanent =
        retry::retry_blocking(now + LONG, LONG, is_transient, failing(1, Failure::Permanent(REASON)));
    assert_eq!(permanent, Err(Failure::Permanent(REASON)));
    let late = retry::retry_blocking(now, LONG, is_transient, failing(1, Failure::Transient));
    assert_eq!(late, Err(Failure::Transient));
}

#[test]
fn classifies_local_and_disk_errors() {
    let error = |errno: Errno| io::Error::from_raw_os_error(errno as i32);
    for errno in [Errno::ENFILE, Errno::EMFILE, Errno::ENOBUFS, Errno::ENOMEM] {
        assert!(
            retry::is_resource_exhausted(&error(errno)) && retry::is_transient_local_error(&error(errno)),
            "{errno}"
        );
    }
    for errno in [Errno::EADDRNOTAVAIL, Errno::ENETUNREACH, Errno::ENETDOWN, Errno::EAGAIN, Errno::EINTR] {
        assert!(
            !retry::is_resource_exhausted(&error(errno)) && retry::is_transient_local_error(&error(errno)),
            "{errno}"
        );
    }
    for errno in [Errno::EIO, Errno::ENOSPC, Errno::EDQUOT] {
        assert!(
            !retry::is_transient_local_error(&error(errno)) && retry::is_transient_file_error(&error(errno)),
            "{errno}"
        );
    }
    for errno in [Errno::ECONNREFUSED, Errno::ECONNRESET, Errno::EACCES] {
        assert!(!retry::is_transient_file_error(&error(errno)), "{errno}");
    }
    assert!(!retry::is_transient_file_error(&io::Error::other("no error number")));
}
