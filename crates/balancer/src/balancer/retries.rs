//! Retries: to which backends the next attempt may be sent (rule 2), whether it can be in time, and the
//! timeouts of attempts.

use super::Balancer;
use crate::api::{Action, DedupScope, Idempotency, Micros, Outcome, UnservedCause};
use crate::state::{OpenRequest, RetryScope};

/// Short timeout of a retryable attempt, as a fraction of the latency objective. It doubles with each earlier
/// attempt of the request that had a short timeout.
const SHORT_TIMEOUT_OBJECTIVE_FRACTION: f64 = 0.25;
/// Minimum short timeout, as a multiple of the mean latency of the class. If the short timeout is below this,
/// the long one applies, since a timeout would then be more likely due to heavy work than to a lost attempt.
const MIN_SHORT_TIMEOUT_MEAN_MULTIPLE: f64 = 5.0;
/// Long timeout of a retryable attempt, as a multiple of the mean latency of the class.
const LONG_TIMEOUT_MEAN_MULTIPLE: f64 = 24.0;

/// When an attempt times out, and what a timeout means.
pub(super) struct AttemptTimeout {
    pub(super) timeout_at: Micros,
    /// Whether a timeout means that the attempt was lost.
    pub(super) means_loss: bool,
}

/// Rule 2: the latest time at which the next attempt may begin; `Micros::MAX` for no limit. Establishing
/// its connection may take until the backends no longer remember the idempotency key.
pub(super) fn start_by(request: &OpenRequest) -> Micros {
    match (request.first_execution(), request.idempotency) {
        (Some(first), Idempotency::Keyed { ttl, .. }) => first.sent_at.saturating_add(ttl),
        _ => Micros::MAX,
    }
}

/// Rule 2: whether a response may indicate to the client that a retry is safe.
pub(super) fn may_reject(request: &OpenRequest) -> bool {
    request.idempotency.is_retry_safe() || request.first_execution().is_none()
}

impl Balancer {
    /// Rule 2: the backends to which the next attempt may be sent. Unfinished attempts may have executed.
    pub(super) fn retry_scope(&self, now: Micros, request: &OpenRequest) -> RetryScope {
        if request.is_answered || request.is_streaming || request.attempts.len() >= request.max_attempts {
            return RetryScope::Nowhere;
        }
        if request.unfinished_attempts() > 0 && !self.settings.permissions.hedging {
            return RetryScope::Nowhere;
        }
        let Some(first) = request.first_execution() else { return RetryScope::Anywhere };
        if request.has_earlier_attempt_in_flight() && !self.settings.permissions.hedging {
            return RetryScope::Nowhere;
        }
        match request.idempotency {
            Idempotency::Idempotent => RetryScope::Anywhere,
            Idempotency::NonIdempotent => RetryScope::Nowhere,
            Idempotency::Keyed { ttl, .. } if now >= first.sent_at.saturating_add(ttl) => RetryScope::Nowhere,
            Idempotency::Keyed { scope, .. } => match scope {
                DedupScope::All => RetryScope::Anywhere,
                DedupScope::Zone => RetryScope::Zone(first.zone),
                DedupScope::Cell => RetryScope::Cell(first.cell),
            },
        }
    }

    /// Whether the response to an attempt that starts now would probably be too late to have any value.
    pub(super) fn is_too_late(&self, now: Micros, request: &OpenRequest) -> bool {
        let class = &self.settings.classes[request.class];
        let expires_at = if class.late_weight_fraction > 0.0 {
            request.deadline
        } else {
            request.deadline.min(request.arrived_at + class.latency_objective)
        };
        let half_mean_us = self.traffic.latencies.class_mean_us(request.class) / 2.0;
        now + half_mean_us as Micros >= expires_at
    }

    /// Retries a request after a failed attempt if idempotency, time and the retry budget allow it.
    pub(super) fn retry(
        &mut self,
        now: Micros,
        request_index: usize,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        let request = &self.requests.open[request_index];
        if request.unfinished_attempts() > 0 || request.queued_until.is_some() {
            return;
        }
        if let Some(cause) = self.unservable_cause(now, request) {
            return self.end_unserved(request_index, cause, out);
        }
        if !outcome.never_executed() {
            if self.retry_budget.is_empty() {
                return self.end_unserved(request_index, UnservedCause::RetryBudget, out);
            }
            self.retry_budget.withdraw(outcome.is_broken_connection());
        }
        self.dispatch(now, request_index, out);
    }

    /// Timeout of an attempt that starts now.
    ///
    /// Deviation: the basic algorithm waits for a response until the deadline of the request. If work takes a
    /// small part of that time, an attempt without a response long after its expected latency is lost (for
    /// example because its connection broke silently). Waiting for it until the deadline would leave no time
    /// for a retry, occupy a slot of its backend, and make a backend that responds to all other attempts look
    /// unresponsive.
    pub(super) fn attempt_timeout(&self, now: Micros, request: &OpenRequest) -> AttemptTimeout {
        let class = &self.settings.classes[request.class];
        let is_last = request.attempts.len() + 1 >= request.max_attempts;
        if is_last || request.idempotency == Idempotency::NonIdempotent || self.retry_budget.is_empty() {
            return AttemptTimeout { timeout_at: request.deadline, means_loss: false };
        }
        let mean_us = self.traffic.latencies.class_mean_us(request.class);
        let short_us = class.latency_objective as f64 * SHORT_TIMEOUT_OBJECTIVE_FRACTION;
        let means_loss = mean_us * MIN_SHORT_TIMEOUT_MEAN_MULTIPLE <= short_us;
        let doublings = request.attempts.iter().filter(|attempt| attempt.timeout_means_loss).count() as i32;
        let timeout_us =
            if means_loss { short_us * 2_f64.powi(doublings) } else { mean_us * LONG_TIMEOUT_MEAN_MULTIPLE };
        let timeout_at = request.deadline.min(now.saturating_add(timeout_us as Micros));
        AttemptTimeout { timeout_at, means_loss }
    }
}
