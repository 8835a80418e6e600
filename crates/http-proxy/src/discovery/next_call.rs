//! The target and the timeout of the next call to discovery. Pure: no I/O, no clock.

use crate::poll_schedule::{PollSchedule, START_TIMEOUT, START_WAIT, WATCH_SLACK};
use std::time::Duration;

/// The wait time of a watch at an agent. It is short, since calls to an agent are cheap: it bounds how long
/// an unresponsive call goes unnoticed.
const AGENT_WATCH_WAIT: Duration = Duration::from_secs(1);
/// How long the response of an agent may take beyond that. An agent responds at once, but this proxy may get
/// only a small fraction of a CPU core.
const AGENT_WATCH_SLACK: Duration = Duration::from_millis(750);
/// The timeout of a snapshot request to an agent, which has the snapshot in memory. While discovery is down
/// an agent does not respond, and a call that was started then may never be answered; it is therefore called
/// often.
const AGENT_SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(400);
/// One call in this many has a longer timeout, for a proxy that gets little CPU time.
const LONG_TIMEOUT_INTERVAL: u32 = 4;
const AGENT_LONG_SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(800);

/// A call to discovery.
#[derive(Debug)]
pub(super) struct NextCall {
    /// Path and query.
    pub(super) target: String,
    /// The time limit for the head of the response.
    pub(super) timeout: Duration,
}

/// The state that determines the next call.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallState<'a> {
    /// The schedule for a shared service; `None` for an agent.
    pub(super) schedule: Option<&'a PollSchedule>,
    /// The revision since which changes are requested; `None` requests a snapshot.
    pub(super) revision: Option<u64>,
    /// The last call succeeded.
    pub(super) is_watching: bool,
    pub(super) consecutive_failures: u32,
}

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
        None if (state.consecutive_failures + 1).is_multiple_of(LONG_TIMEOUT_INTERVAL) => {
            AGENT_LONG_SNAPSHOT_TIMEOUT
        }
        None => AGENT_SNAPSHOT_TIMEOUT,
    }
}

/// How long a watch call waits for changes, and how long its response may take beyond that.
fn watch_times(state: CallState<'_>) -> (Duration, Duration) {
    match state.schedule {
        None => (AGENT_WATCH_WAIT, AGENT_WATCH_SLACK),
        Some(schedule) if state.is_watching => {
            (Duration::from_micros(schedule.watch_wait()), Duration::from_micros(WATCH_SLACK))
        }
        Some(_) => (Duration::from_micros(START_WAIT), Duration::from_micros(START_TIMEOUT - START_WAIT)),
    }
}
