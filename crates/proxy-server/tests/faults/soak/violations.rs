//! The requirements that a soak checks.

use super::Outcome;
use super::clients::RequestRecord;
use crate::{request_id, time_left};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// How long after its client's time-out a response may still arrive.
const LATE_RESPONSE_TOLERANCE: Duration = Duration::from_millis(500);
/// The drain grace period of 1.05 s, and the time that the scripted discovery and backends may take to post a
/// list and to record a request.
const DRAIN_GRACE: Duration = Duration::from_millis(1_050 + 150);
/// By how much the deadline that a backend receives may exceed the client's remaining time.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(150);

/// The violations of requirements in a soak, one line each.
pub fn violations(outcome: &Outcome) -> Vec<String> {
    let mut lines = Vec::new();
    check_shutdown(outcome, &mut lines);
    for request in &outcome.requests {
        check_response(outcome, request, &mut lines);
    }
    check_received(outcome, &mut lines);
    check_non_idempotent_attempts(outcome, &mut lines);
    lines
}

fn check_shutdown(outcome: &Outcome, lines: &mut Vec<String>) {
    let shutdown = &outcome.shutdown;
    if !shutdown.is_clean {
        let elapsed = shutdown.ended_at.saturating_duration_since(shutdown.signalled_at);
        lines.push(format!(
            "the process did not exit with code 0 within {elapsed:?} of SIGTERM; log: {}",
            outcome.log
        ));
    }
}

/// Each request has a response in time. Stalls of the process extend the limit.
fn check_response(outcome: &Outcome, request: &RequestRecord, lines: &mut Vec<String>) {
    let time_limit = request.client_timeout + LATE_RESPONSE_TOLERANCE + outcome.stalled_time;
    match request.response {
        Some(response) if response.received_at.saturating_duration_since(request.sent_at) > time_limit => {
            let due_at = request.sent_at + request.client_timeout;
            lines.push(format!(
                "{} was answered {:?} late",
                request.id,
                response.received_at.saturating_duration_since(due_at)
            ));
        }
        Some(_) => {}
        // A request that crosses the close of an idle connection may be sent once more by its client.
        None if request.is_on_reused_connection || !request.is_fully_written => {}
        None => lines.push(format!(
            "{} on a new connection, sent {:?} after SIGTERM, had no response: the connection ended after {:?}",
            request.id,
            request.sent_at.checked_duration_since(outcome.shutdown.signalled_at),
            request.ended_at.saturating_duration_since(request.sent_at),
        )),
    }
}

/// Each request that a backend received has a deadline within its client's remaining time, has a response,
/// and was not sent to a drained backend.
fn check_received(outcome: &Outcome, lines: &mut Vec<String>) {
    let requests: HashMap<_, _> =
        outcome.requests.iter().map(|request| (request.id.as_str(), request)).collect();
    for received in &outcome.received {
        let message = &received.message;
        let id = request_id(message);
        if let Some(request) = requests.get(id.as_str()) {
            let elapsed = message.received_at.saturating_duration_since(request.sent_at);
            let remaining = request.client_timeout.saturating_sub(elapsed);
            if time_left(message) > remaining + DEADLINE_TOLERANCE {
                lines.push(format!(
                    "{id} had a deadline of {:?} with {remaining:?} of its time left",
                    time_left(message)
                ));
            }
            // The proxy has read this request, so a close without a response loses it, also on a reused
            // connection.
            if request.response.is_none() && request.is_fully_written {
                lines.push(format!("{id} reached a backend and had no response"));
            }
        }
        let drained = &outcome.drained;
        if received.backend == drained.index && message.received_at > drained.drained_at + DRAIN_GRACE {
            lines.push(format!(
                "{id} reached a drained backend {:?} after the drain",
                message.received_at - drained.drained_at
            ));
        }
    }
}

/// No non-idempotent request is sent to a backend again, except after a backend rejected it as unprocessed.
fn check_non_idempotent_attempts(outcome: &Outcome, lines: &mut Vec<String>) {
    let mut attempts: HashMap<String, Vec<Instant>> = HashMap::new();
    for received in &outcome.received {
        attempts.entry(request_id(&received.message)).or_default().push(received.message.received_at);
    }
    for (id, attempts) in attempts {
        let rejections = outcome.unprocessed.iter().filter(|unprocessed| **unprocessed == id).count();
        if id.starts_with("charge") && attempts.len() > 1 + rejections {
            lines.push(format!("{id} reached backends {} times", attempts.len()));
        }
    }
}
