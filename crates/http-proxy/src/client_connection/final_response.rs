//! How long a response that is under way may delay the end of the process. Pure: no I/O, no clock.
//!
//! A response whose first bytes were in time may take much longer than any deadline, and is not cut off while
//! it goes on. One that is hardly sent any more, or that never ends, must not keep the process.

use crate::min_transfer_rate::transfer_time;
use std::time::Duration;
use tokio::time::Instant;

/// How long a response may pause. The proxy itself must not hold back a response for as long.
const MAX_PAUSE: Duration = Duration::from_secs(2);
/// The maximum time of all responses: 32 MB, the usual size of large responses, at the 64 kB/s of slow peers.
pub const MAX_FINAL_RESPONSE_TIME: Duration = Duration::from_secs(500);

/// The bytes of a response by two measures, each of which shows that it goes on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SentBytes {
    /// Passed on to the HTTP library.
    pub forwarded: u64,
    /// Acknowledged by the client; 0 if the kernel does not tell.
    pub acknowledged: u64,
}

/// The time limit of a response that is under way when all requests are due.
#[derive(Clone, Copy, Debug)]
pub struct FinalResponseLimit {
    since: Instant,
    sent_before: SentBytes,
}

impl FinalResponseLimit {
    /// A response of which this was sent by `now`.
    #[must_use]
    pub fn new(now: Instant, sent: SentBytes) -> Self {
        Self { since: now, sent_before: sent }
    }

    /// Whether it is too slow at `now`, when this was sent of it: since the start it has to reach the minimum rate,
    /// beside one pause.
    #[must_use]
    pub fn is_exceeded(&self, now: Instant, sent: SentBytes) -> bool {
        let forwarded = sent.forwarded.saturating_sub(self.sent_before.forwarded);
        let acknowledged = sent.acknowledged.saturating_sub(self.sent_before.acknowledged);
        let allowed = MAX_PAUSE + transfer_time(forwarded.max(acknowledged));
        now >= self.since + allowed.min(MAX_FINAL_RESPONSE_TIME)
    }
}

#[cfg(test)]
mod tests;
