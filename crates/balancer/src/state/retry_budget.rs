//! The retry budget: bounds the retries of attempts that may have executed.

/// Number of tokens that each request deposits.
const TOKENS_PER_REQUEST: f64 = 0.1;
/// Maximum number of tokens.
const MAX_TOKENS: f64 = 10.0;
/// Tokens that a retry costs after a failure that may indicate load.
const FULL_COST: f64 = 1.0;
/// Tokens that a retry costs after a failure that does not indicate load: twice as many are allowed.
const REDUCED_COST: f64 = 0.5;

/// Token bucket that requests fill and retries drain.
pub(crate) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// A full budget.
    pub(crate) fn new() -> Self {
        Self { tokens: MAX_TOKENS }
    }

    /// Credits one request.
    pub(crate) fn deposit(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(MAX_TOKENS);
    }

    /// Debits one retry. `is_unrelated_to_load`: whether the failure before it does not indicate load.
    pub(crate) fn withdraw(&mut self, is_unrelated_to_load: bool) {
        self.tokens -= if is_unrelated_to_load { REDUCED_COST } else { FULL_COST };
    }

    /// Whether there are too few tokens for a retry, whatever the failure before it.
    pub(crate) fn is_empty(&self) -> bool {
        self.tokens < FULL_COST
    }
}
