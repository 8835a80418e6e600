//! Counts of why requests of clients were refused and why their connections were closed, and an example of
//! each kind in the log.

use crate::client_connection::EvictionClass;
use crate::log::log;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::time::Duration;
use tokio::time::Instant;

/// The minimum time between two examples of one kind in the log.
const EXAMPLE_INTERVAL: Duration = Duration::from_secs(10);

/// Why a request was refused or a connection closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum ConnectionEvent {
    /// A request was rejected because of its form.
    RejectedForm,
    /// A request was rejected because its body did not arrive in time.
    RejectedLateBody,
    /// A request was rejected because its body is too large.
    RejectedLargeBody,
    /// A request was rejected because its id or key may have been executed.
    RejectedRepeat,
    /// A head did not arrive in time.
    HeadTimeout,
    /// A client did not read its response.
    UnreadResponse,
    /// A connection was closed in favour of another one: it was idle or closing.
    EvictedIdle,
    /// The same while a head was arriving.
    EvictedHead,
    /// The same while a body had stopped arriving.
    EvictedBody,
    /// A response was cut off, since its backend did not complete it.
    TruncatedResponse,
    /// A response had begun and was given up at the end of its client's time.
    IncompleteResponse,
    /// The backend of a large request did not read on until the client's time was over.
    BlockedUpload,
    /// The body of a large request stopped arriving, or arrived too slowly.
    LateUpload,
}

impl ConnectionEvent {
    /// All events with their names in the log, in the order of their declaration.
    const NAMES: [(Self, &str); 13] = [
        (Self::RejectedForm, "rejected_form"),
        (Self::RejectedLateBody, "rejected_late_body"),
        (Self::RejectedLargeBody, "rejected_large_body"),
        (Self::RejectedRepeat, "rejected_repeat"),
        (Self::HeadTimeout, "head_timeout"),
        (Self::UnreadResponse, "unread_response"),
        (Self::EvictedIdle, "evicted_idle"),
        (Self::EvictedHead, "evicted_head"),
        (Self::EvictedBody, "evicted_body"),
        (Self::TruncatedResponse, "truncated_response"),
        (Self::IncompleteResponse, "incomplete_response"),
        (Self::BlockedUpload, "blocked_upload"),
        (Self::LateUpload, "late_upload"),
    ];

    /// The event of a request that is rejected with this status.
    #[must_use]
    pub fn of_rejection(status: StatusCode) -> Self {
        match status {
            StatusCode::REQUEST_TIMEOUT => Self::RejectedLateBody,
            StatusCode::PAYLOAD_TOO_LARGE => Self::RejectedLargeBody,
            StatusCode::CONFLICT => Self::RejectedRepeat,
            _ => Self::RejectedForm,
        }
    }

    /// The event of an eviction.
    #[must_use]
    pub fn of_eviction(class: EvictionClass) -> Self {
        match class {
            EvictionClass::Closing | EvictionClass::Idle | EvictionClass::JustConnected => Self::EvictedIdle,
            EvictionClass::HeadOverdue | EvictionClass::ReadingHead => Self::EvictedHead,
            EvictionClass::BodyStalled => Self::EvictedBody,
        }
    }

    fn name(self) -> &'static str {
        Self::NAMES[self as usize].1
    }
}

/// Counts by event.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EventCounts([u64; ConnectionEvent::NAMES.len()]);

impl EventCounts {
    /// The events since `earlier` was taken.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        let mut counts = *self;
        for (count, earlier) in counts.0.iter_mut().zip(earlier.0) {
            *count = count.saturating_sub(earlier);
        }
        counts
    }

    /// The number of all events.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.0.iter().sum()
    }
}

impl fmt::Display for EventCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let occurred = ConnectionEvent::NAMES.iter().filter(|(event, _)| self.0[*event as usize] > 0);
        for (position, (event, name)) in occurred.enumerate() {
            let separator = if position == 0 { "" } else { ", " };
            write!(f, "{separator}{name} {}", self.0[*event as usize])?;
        }
        Ok(())
    }
}

/// Counts events, and logs examples of them.
#[derive(Debug, Default)]
pub struct ConnectionEvents {
    counts: Cell<EventCounts>,
    logged_at: RefCell<[Option<Instant>; ConnectionEvent::NAMES.len()]>,
}

impl ConnectionEvents {
    /// The counts since the start.
    #[must_use]
    pub fn counts(&self) -> EventCounts {
        self.counts.get()
    }

    /// Records an event. `id` is the correlation id of the request that it concerns, `reason` what the client
    /// is told or what was observed.
    pub fn record(&self, event: ConnectionEvent, id: Option<&HeaderValue>, reason: &str) {
        let mut counts = self.counts.get();
        counts.0[event as usize] += 1;
        self.counts.set(counts);
        let logged_at = &mut self.logged_at.borrow_mut()[event as usize];
        if logged_at.is_none_or(|at| at.elapsed() >= EXAMPLE_INTERVAL) {
            *logged_at = Some(Instant::now());
            let id = id.and_then(|id| id.to_str().ok()).unwrap_or("-");
            log(format_args!("client connections: {}, for example request {id}: {reason}", event.name()));
        }
    }
}

#[cfg(test)]
mod tests;
