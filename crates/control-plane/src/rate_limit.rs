//! Rate limiting of the messages to a subscriber: a token bucket in bytes.

use crate::Millis;

/// Bytes reserved for heartbeats, so that a large message never delays a heartbeat.
const HEARTBEAT_RESERVE_BYTES: i64 = 64;
/// Tokens per byte. With thousandths of a byte, a rate in bytes per second is the same number in tokens per
/// millisecond.
const TOKENS_PER_BYTE: i64 = 1_000;

/// Rate limit of the data sent on one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateLimit {
    /// Sustained rate, bytes per second.
    pub bytes_per_s: u32,
    /// Capacity of the bucket, bytes.
    pub burst_bytes: u32,
}

impl Default for RateLimit {
    /// At most 240 KB in any ten seconds, of which 120 KB may be sent at once: 24 KB/s averaged over the
    /// worst ten seconds.
    fn default() -> Self {
        Self { bytes_per_s: 12_000, burst_bytes: 120_000 }
    }
}

impl RateLimit {
    /// A limit that does not restrict sending: the connection is used as fast as it accepts data.
    #[must_use]
    pub fn unbounded() -> Self {
        Self { bytes_per_s: u32::MAX, burst_bytes: u32::MAX }
    }
}

#[derive(Debug)]
pub(crate) struct TokenBucket {
    limit: RateLimit,
    tokens: i64,
    refilled_at: Millis,
}

impl TokenBucket {
    /// Returns a full bucket. A limit that is too low for heartbeats is raised.
    pub(crate) fn new(limit: RateLimit, now: Millis) -> Self {
        let limit = RateLimit {
            bytes_per_s: limit.bytes_per_s.max(HEARTBEAT_RESERVE_BYTES as u32),
            burst_bytes: limit.burst_bytes.max(2 * HEARTBEAT_RESERVE_BYTES as u32),
        };
        Self { limit, tokens: i64::from(limit.burst_bytes) * TOKENS_PER_BYTE, refilled_at: now }
    }

    /// Adds the tokens earned since the last call.
    pub(crate) fn refill(&mut self, now: Millis) {
        let elapsed = i64::try_from(now.saturating_sub(self.refilled_at)).unwrap_or(i64::MAX);
        let added = elapsed.saturating_mul(i64::from(self.limit.bytes_per_s));
        self.tokens = self.tokens.saturating_add(added).min(self.capacity());
        self.refilled_at = self.refilled_at.max(now);
    }

    fn capacity(&self) -> i64 {
        i64::from(self.limit.burst_bytes) * TOKENS_PER_BYTE
    }

    /// The number of bytes that may be sent now.
    pub(crate) fn available_bytes(&self) -> usize {
        usize::try_from(self.tokens / TOKENS_PER_BYTE - HEARTBEAT_RESERVE_BYTES).unwrap_or(0)
    }

    /// Checks whether this many bytes may be sent now: the tokens suffice, or the bucket is full.
    ///
    /// # Errors
    /// The time from which they may be sent.
    pub(crate) fn check_available(&self, bytes: usize) -> Result<(), Millis> {
        let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
        let needed = bytes.saturating_add(HEARTBEAT_RESERVE_BYTES).saturating_mul(TOKENS_PER_BYTE);
        let missing = needed.min(self.capacity()) - self.tokens;
        if missing <= 0 {
            return Ok(());
        }
        let rate = i64::from(self.limit.bytes_per_s);
        Err(self.refilled_at + u64::try_from((missing + rate - 1) / rate).unwrap_or(1))
    }

    /// Removes the tokens for sent bytes; the balance may become negative.
    pub(crate) fn spend(&mut self, bytes: usize) {
        self.tokens -= i64::try_from(bytes).unwrap_or(i64::MAX).saturating_mul(TOKENS_PER_BYTE);
    }
}
