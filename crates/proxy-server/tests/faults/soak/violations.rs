//! The rules that a soak has to keep.

use super::Outcome;
use super::clients::RequestRecord;
use crate::{id_of, time_left};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// How long after its client's time-out a response may still come.
const LATE_RESPONSE_TOLERANCE: Duration = Duration::from_millis(500);
/// The grace of drains, 1.05 s, and what the scripted discovery and backends may take to post and record.
const DRAIN_GRACE: Duration = Duration::from_millis(1_050 + 150);
/// How much longer than its client's remaining time the deadline may be that a backend receives.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(150);

/// The violations of a soak, one line each.
pub fn violations(outcome: &Outcome) -> Vec<String> {
    let mut lines = Vec::new();
    check_shutdown(outcome, &mut lines);
    for request in &outcome.requests {
        check_response(outcome, request, &mut lines);
    }
    check_received(outcome, &mut lines);
    check_unsafe_runs(outcome, &mut lines);
    lines
}

fn check_shutdown(outcome: &Outcome, lines: &mut Vec<String>) {
    let shutdown = &outcome.shutdown;
    if !shutdown.is_clean {
        let after = shutdown.ended_at.saturating_duration_since(shutdown.signalled_at);
        lines.push(format!("no clean end {after:?} after SIGTERM; {}", outcome.log));
    }
}

/// Each request has its response in time.
fn check_response(outcome: &Outcome, request: &RequestRecord, lines: &mut Vec<String>) {
    let limit = request.client_timeout + LATE_RESPONSE_TOLERANCE + outcome.stalled;
    match request.response {
        Some(response) if response.at.saturating_duration_since(request.sent_at) > limit => {
            let due = request.sent_at + request.client_timeout;
            lines.push(format!(
                "{} was answered {:?} late",
                request.id,
                response.at.saturating_duration_since(due)
            ));
        }
        Some(_) => {}
        // A request that crosses the close of an idle connection is sent once more by its client.
        None if request.is_on_reused_connection || !request.is_fully_written => {}
        None => lines.push(format!(
            "{} on a new connection had no response, {:?} after SIGTERM, ended after {:?}",
            request.id,
            request.sent_at.checked_duration_since(outcome.shutdown.signalled_at),
            request.ended_at.saturating_duration_since(request.sent_at),
        )),
    }
}

/// What backends received has a deadline that fits its client, has a response, and does not reach a drained backend.
fn check_received(outcome: &Outcome, lines: &mut Vec<String>) {
    let requests: HashMap<_, _> =
        outcome.requests.iter().map(|request| (request.id.as_str(), request)).collect();
    for received in &outcome.received {
        let message = &received.message;
        let id = id_of(message);
        if let Some(request) = requests.get(id.as_str()) {
            let elapsed = message.received_at.saturating_duration_since(request.sent_at);
            let left = request.client_timeout.saturating_sub(elapsed);
            if time_left(message) > left + DEADLINE_TOLERANCE {
                lines.push(format!("{id} had a deadline of {:?} and {left:?} left", time_left(message)));
            }
            // A request that was read and then closed without a response is lost, on any connection.
            if request.response.is_none() && request.is_fully_written {
                lines.push(format!("{id} reached a backend and had no response"));
            }
        }
        let drained = &outcome.drained;
        if received.backend == drained.index && message.received_at > drained.at + DRAIN_GRACE {
            lines.push(format!(
                "{id} reached a drained backend {:?} after the drain",
                message.received_at - drained.at
            ));
        }
    }
}

/// No unsafe request runs twice.
fn check_unsafe_runs(outcome: &Outcome, lines: &mut Vec<String>) {
    let mut runs: HashMap<String, Vec<Instant>> = HashMap::new();
    for received in &outcome.received {
        runs.entry(id_of(&received.message)).or_default().push(received.message.received_at);
    }
    for (id, runs) in runs {
        let unprocessed = outcome.unprocessed.iter().filter(|unprocessed| **unprocessed == id).count();
        if id.starts_with("charge") && runs.len() > 1 + unprocessed {
            lines.push(format!("{id} reached backends {} times", runs.len()));
        }
    }
}
