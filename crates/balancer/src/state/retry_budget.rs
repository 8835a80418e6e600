//! The retry budget: bounds the attempts that follow one that may have executed.

/// Retries per request.
const RETRY_FRACTION: f64 = 0.1;
/// Retries in a burst.
const MAX_BURST: f64 = 10.0;

/// A token per retry; each request deposits a fraction of one.
pub(crate) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// A full budget.
    pub(crate) fn new() -> Self {
        Self { tokens: MAX_BURST }
    }

    /// Credits one request.
    pub(crate) fn deposit(&mut self) {
        self.tokens = (self.tokens + RETRY_FRACTION).min(MAX_BURST);
    }

    /// Debits one retry.
    pub(crate) fn withdraw(&mut self) {
        self.tokens -= 1.0;
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.tokens < 1.0
    }
}
