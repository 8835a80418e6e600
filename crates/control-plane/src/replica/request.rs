//! Requests from a replica to upstream, and their retries.

use crate::Millis;

/// Delay after which a request without a response is retried, milliseconds; it doubles with each retry.
const RETRY_DELAY: Millis = 2_000;
/// Maximum retry delay, milliseconds: the largest message takes 22 s at a subscriber's rate limit.
const MAX_RETRY_DELAY: Millis = 32_000;

/// Kinds of requests. At most one is pending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Request {
    Resume,
    Digests,
    Snapshots,
}

/// A request that was sent and has no complete response yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingRequest {
    pub request: Request,
    sent_at: Millis,
    retry_delay: Millis,
}

impl PendingRequest {
    /// A request that is sent now.
    pub(super) fn new(request: Request, now: Millis) -> Self {
        Self { request, sent_at: now, retry_delay: RETRY_DELAY }
    }

    /// Whether the response is overdue, so that the request has to be retried.
    pub(super) fn is_due(&self, now: Millis) -> bool {
        now >= self.sent_at + self.retry_delay
    }

    /// Records a retry, and doubles the delay of the next one.
    pub(super) fn retry(&mut self, now: Millis) {
        self.sent_at = now;
        self.retry_delay = (self.retry_delay * 2).min(MAX_RETRY_DELAY);
    }
}
