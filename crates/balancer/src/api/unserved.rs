//! Why requests end without a backend's response.

use std::fmt;
use std::ops::AddAssign;

/// Why the balancer ended a request, rejected or failed, without a backend's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnservedCause {
    /// No backend had free capacity within the maximum queueing time.
    QueueTimeout,
    /// A response would arrive too late to have any value.
    TooLate,
    /// Its tenant is over its quota while requests are rejected for lack of capacity.
    OverQuota,
    /// Its attempts failed, and idempotency or the maximum number of attempts allows no other one.
    NoAttemptAllowed,
    /// Its attempt failed, and the retry budget is exhausted.
    RetryBudget,
}

impl UnservedCause {
    /// All causes, each at the index of its discriminant.
    pub const ALL: [Self; 5] =
        [Self::QueueTimeout, Self::TooLate, Self::OverQuota, Self::NoAttemptAllowed, Self::RetryBudget];

    /// Label of the cause in metrics and logs.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::QueueTimeout => "queue_timeout",
            Self::TooLate => "too_late",
            Self::OverQuota => "over_quota",
            Self::NoAttemptAllowed => "no_further_attempt",
            Self::RetryBudget => "retry_budget",
        }
    }
}

/// Requests that ended without a backend's response, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UnservedCounts([u64; UnservedCause::ALL.len()]);

impl UnservedCounts {
    /// Counts one request.
    pub fn record(&mut self, cause: UnservedCause) {
        self.0[cause as usize] += 1;
    }

    /// Number of requests that ended for this cause.
    #[must_use]
    pub fn count(&self, cause: UnservedCause) -> u64 {
        self.0[cause as usize]
    }

    /// Number of requests over all causes.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.0.iter().sum()
    }

    /// Difference to `earlier` counts, at least 0 for each cause.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        let mut counts = *self;
        for (count, earlier) in counts.0.iter_mut().zip(earlier.0) {
            *count = count.saturating_sub(earlier);
        }
        counts
    }
}

impl AddAssign for UnservedCounts {
    fn add_assign(&mut self, other: Self) {
        for (count, added) in self.0.iter_mut().zip(other.0) {
            *count += added;
        }
    }
}

/// `label count` for each cause that occurred, separated by commas.
impl fmt::Display for UnservedCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let occurred = UnservedCause::ALL.into_iter().filter(|&cause| self.count(cause) > 0);
        for (position, cause) in occurred.enumerate() {
            let separator = if position > 0 { ", " } else { "" };
            write!(f, "{separator}{} {}", cause.label(), self.count(cause))?;
        }
        Ok(())
    }
}
