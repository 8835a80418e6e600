//! How many bytes a subscriber is sent in which time.

use crate::Millis;

/// Bytes that only what says that upstream is alive may take: what is said each second is never held up by a large message.
const RESERVE: i64 = 64;
/// Tokens are counted in thousandths of a byte, so that a rate in bytes a second is one in tokens a millisecond.
const TOKENS: i64 = 1_000;

/// How much one subscriber is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// Bytes a second over long.
    pub bytes_per_s: u32,
    /// Bytes at once.
    pub burst: u32,
}

impl Default for Pace {
    /// Ten seconds hold 240 KB at the most, of which 120 KB may come at once: 24 KB a second in the worst ten seconds.
    fn default() -> Self {
        Self { bytes_per_s: 12_000, burst: 120_000 }
    }
}

impl Pace {
    /// As fast as the connection takes it.
    #[must_use]
    pub fn unbounded() -> Self {
        Self { bytes_per_s: u32::MAX, burst: u32::MAX }
    }
}

/// A token bucket.
#[derive(Debug)]
pub(crate) struct Bucket {
    pace: Pace,
    tokens: i64,
    at: Millis,
}

impl Bucket {
    pub(crate) fn new(pace: Pace, now: Millis) -> Self {
        // A pace of nothing would never send a thing: the least is one that carries the words of each second.
        let pace = Pace {
            bytes_per_s: pace.bytes_per_s.max(RESERVE as u32),
            burst: pace.burst.max(2 * RESERVE as u32),
        };
        Self { pace, tokens: i64::from(pace.burst) * TOKENS, at: now }
    }

    pub(crate) fn refill(&mut self, now: Millis) {
        let gone = i64::try_from(now.saturating_sub(self.at)).unwrap_or(i64::MAX);
        let more = gone.saturating_mul(i64::from(self.pace.bytes_per_s));
        self.tokens = self.tokens.saturating_add(more).min(self.full());
        self.at = self.at.max(now);
    }

    fn full(&self) -> i64 {
        i64::from(self.pace.burst) * TOKENS
    }

    /// How many bytes may be sent now.
    pub(crate) fn bytes(&self) -> usize {
        usize::try_from(self.tokens / TOKENS - RESERVE).unwrap_or(0)
    }

    /// Whether this many bytes may be sent now: where there are tokens, or where there won't be more. Else when.
    pub(crate) fn affords(&self, bytes: usize) -> Result<(), Millis> {
        let needed = i64::try_from(bytes).unwrap_or(i64::MAX).saturating_add(RESERVE).saturating_mul(TOKENS);
        let lack = needed.min(self.full()) - self.tokens;
        if lack <= 0 {
            return Ok(());
        }
        let rate = i64::from(self.pace.bytes_per_s);
        Err(self.at + u64::try_from((lack + rate - 1) / rate).unwrap_or(1))
    }

    pub(crate) fn spend(&mut self, bytes: usize) {
        self.tokens -= i64::try_from(bytes).unwrap_or(i64::MAX).saturating_mul(TOKENS);
    }
}
