//! The retry budget: bounds the attempts that follow one that may have executed.

/// Retries per request.
const RETRY_FRACTION: f64 = 0.1;
/// Retries in a burst.
const MAX_BURST: f64 = 10.0;
/// Tokens of a retry after a failure that may be a sign of load.
const FULL_PRICE: f64 = 1.0;
/// Tokens of a retry after a failure that is no sign of load: twice as many of them are allowed.
const REDUCED_PRICE: f64 = 0.5;

/// A token per retry, or less; each request deposits a fraction of one.
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

    /// Debits one retry. `is_unrelated_to_load`: the failure before it is no sign of load.
    pub(crate) fn withdraw(&mut self, is_unrelated_to_load: bool) {
        self.tokens -= if is_unrelated_to_load { REDUCED_PRICE } else { FULL_PRICE };
    }

    /// Whether no retry can be paid, whatever the failure before it.
    pub(crate) fn is_empty(&self) -> bool {
        self.tokens < FULL_PRICE
    }
}
