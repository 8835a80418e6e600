//! What the next call to discovery requests, and its timeout. Pure: no I/O, no clock.

use crate::poll_schedule::{PollSchedule, START_TIMEOUT, START_WAIT, WATCH_SLACK};
use std::time::Duration;

/// How long a watch of an agent waits. Short, since calls are cheap there: it bounds how long a silent call goes unnoticed.
const AGENT_WATCH_WAIT: Duration = Duration::from_secs(1);
/// How long an agent may take beyond that. It responds at once, but this proxy may have a small share of a core.
const AGENT_WATCH_SLACK: Duration = Duration::from_millis(750);
/// How long an agent may take for a snapshot, which it has in memory. While discovery is down it does not respond, and a call
/// that started then may never be answered, so it is called often.
const AGENT_SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(400);
/// One call in this many gets more time, for a proxy that has little CPU time.
const LONG_TIMEOUT_INTERVAL: u32 = 4;
const AGENT_LONG_SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(800);

/// A call to discovery.
#[derive(Debug)]
pub(super) struct NextCall {
    /// Path and query.
    pub(super) target: String,
    /// How long the head of the response may take.
    pub(super) timeout: Duration,
}

/// What the next call depends on.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallState<'a> {
    /// The schedule of a shared service; `None` for an agent.
    pub(super) schedule: Option<&'a PollSchedule>,
    /// The revision of the list that changes are requested from; `None` requests a snapshot.
    pub(super) revision: Option<u64>,
    /// The last call succeeded.
    pub(super) is_watching: bool,
    /// Failures in a row.
    pub(super) failures: u32,
}

/// The next call in this state.
pub(super) fn next_call(state: CallState<'_>) -> NextCall {
    match state.revision {
        None => NextCall { target: "/discovery/hosts".to_owned(), timeout: snapshot_timeout(state) },
        Some(after) => {
            let (wait, slack) = watch_times(state);
            let target = format!("/discovery/hosts?after={after}&wait_ms={}", wait.as_millis());
            NextCall { target, timeout: wait + slack }
        }
    }
}

fn snapshot_timeout(state: CallState<'_>) -> Duration {
    match state.schedule {
        Some(_) => Duration::from_micros(START_TIMEOUT),
        None if (state.failures + 1).is_multiple_of(LONG_TIMEOUT_INTERVAL) => AGENT_LONG_SNAPSHOT_TIMEOUT,
        None => AGENT_SNAPSHOT_TIMEOUT,
    }
}

/// How long a watch waits for changes, and how long its response may take beyond that.
fn watch_times(state: CallState<'_>) -> (Duration, Duration) {
    match state.schedule {
        None => (AGENT_WATCH_WAIT, AGENT_WATCH_SLACK),
        Some(schedule) if state.is_watching => {
            (Duration::from_micros(schedule.watch_wait()), Duration::from_micros(WATCH_SLACK))
        }
        Some(_) => (Duration::from_micros(START_WAIT), Duration::from_micros(START_TIMEOUT - START_WAIT)),
    }
}
