//! Requests to upstream and their retries.

use crate::Millis;

/// A request without a response is sent again after this delay, which doubles with each retry, milliseconds.
const RETRY_DELAY: Millis = 2_000;
/// The longest retry delay, milliseconds: the largest message takes 22 s at a subscriber's rate limit.
const MAX_RETRY_DELAY: Millis = 32_000;

/// What is requested from upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Request {
    Resume,
    Digests,
    Snapshots,
}

/// A request without a response yet.
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

    /// Whether the response is overdue.
    pub(super) fn is_due(&self, now: Millis) -> bool {
        now >= self.sent_at + self.retry_delay
    }

    /// Notes that the request is sent again, and doubles the delay.
    pub(super) fn retry(&mut self, now: Millis) {
        self.sent_at = now;
        self.retry_delay = (self.retry_delay * 2).min(MAX_RETRY_DELAY);
    }
}
