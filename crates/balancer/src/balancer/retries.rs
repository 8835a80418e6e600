//! Retries: where the next attempt may go (rule 2), whether it is worthwhile, and when an attempt is given
//! up.

use super::Balancer;
use crate::api::{Action, DedupScope, Idempotency, Micros, Outcome, UnservedCause};
use crate::state::{OpenRequest, RetryScope};

/// A retryable attempt is given up after this fraction of the latency objective, and after twice the time at
/// each attempt that follows, if that is at least `MIN_TIMEOUT_MULTIPLE` times the mean latency of its class
/// ...
const TIMEOUT_OBJECTIVE_FRACTION: f64 = 0.25;
const MIN_TIMEOUT_MULTIPLE: f64 = 5.0;
/// ... and otherwise after this many times the mean.
const LONG_TIMEOUT_MULTIPLE: f64 = 24.0;

/// When an attempt is given up.
pub(super) struct AttemptTimeout {
    pub(super) give_up_at: Micros,
    /// Whether reaching it means that the attempt was lost.
    pub(super) means_loss: bool,
}

impl Balancer {
    /// Rule 2: where the next attempt may go. Attempts in flight count as such that may have executed.
    pub(super) fn retry_scope(&self, now: Micros, request: &OpenRequest) -> RetryScope {
        if request.is_answered || request.is_streaming || request.attempts.len() >= request.max_attempts {
            return RetryScope::Nowhere;
        }
        if request.unfinished_attempts() > 0 && !self.settings.permissions.hedging {
            return RetryScope::Nowhere;
        }
        let Some(first) = request.first_effective_attempt() else { return RetryScope::Anywhere };
        match self.settings.classes[request.class].idempotency {
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

    /// Rule 2: the time from which on the next attempt may no longer begin, since its connection may be
    /// established after the backends have forgotten the idempotency key; `Micros::MAX` for no limit.
    pub(super) fn start_by(&self, request: &OpenRequest) -> Micros {
        match (request.first_effective_attempt(), self.settings.classes[request.class].idempotency) {
            (Some(first), Idempotency::Keyed { ttl, .. }) => first.sent_at.saturating_add(ttl),
            _ => Micros::MAX,
        }
    }

    /// Rule 2: whether the client may be notified that a retry is harmless.
    pub(super) fn may_reject(&self, request: &OpenRequest) -> bool {
        match self.settings.classes[request.class].idempotency {
            Idempotency::Idempotent | Idempotency::Keyed { scope: DedupScope::All, .. } => true,
            Idempotency::Keyed { .. } | Idempotency::NonIdempotent => {
                request.first_effective_attempt().is_none()
            }
        }
    }

    /// Whether a response to an attempt that starts now would likely come too late to have any value.
    pub(super) fn is_too_late(&self, now: Micros, request: &OpenRequest) -> bool {
        let class = &self.settings.classes[request.class];
        let worthless_at = if class.late_weight_fraction > 0.0 {
            request.deadline
        } else {
            request.deadline.min(request.arrived_at + class.latency_objective)
        };
        let half_mean = self.traffic.latencies.class_mean(request.class) / 2.0;
        now + half_mean as Micros >= worthless_at
    }

    /// An attempt failed and the client waits: retries if the rules and the retry budget allow it.
    pub(super) fn retry(&mut self, now: Micros, slot: usize, outcome: Outcome, out: &mut Vec<Action>) {
        let request = &self.requests.open[slot];
        if request.unfinished_attempts() > 0 || request.queued_until.is_some() {
            return;
        }
        if let Some(cause) = self.hopeless(now, request) {
            return self.give_up(slot, cause, out);
        }
        if !outcome.never_executed() {
            if self.retry_budget.is_empty() {
                return self.give_up(slot, UnservedCause::RetryBudget, out);
            }
            self.retry_budget.withdraw(outcome.is_broken_connection());
        }
        self.dispatch(now, slot, out);
    }

    /// When an attempt that starts now is given up.
    ///
    /// Departure: where work takes a small part of the time that clients wait, an attempt without a response
    /// long after its expected time is lost (for example because its connection broke silently). If it were
    /// awaited until the deadline, it would leave no time for a retry, occupy its slot, and make a backend
    /// that responds to all others look silent.
    pub(super) fn attempt_timeout(&self, now: Micros, request: &OpenRequest) -> AttemptTimeout {
        let class = &self.settings.classes[request.class];
        let is_last = request.attempts.len() + 1 >= request.max_attempts;
        if is_last || class.idempotency == Idempotency::NonIdempotent || self.retry_budget.is_empty() {
            return AttemptTimeout { give_up_at: request.deadline, means_loss: false };
        }
        let mean = self.traffic.latencies.class_mean(request.class);
        let short = class.latency_objective as f64 * TIMEOUT_OBJECTIVE_FRACTION;
        let means_loss = mean * MIN_TIMEOUT_MULTIPLE <= short;
        let doublings = request.attempts.iter().filter(|attempt| attempt.timeout_means_loss).count() as i32;
        let timeout = if means_loss { short * 2_f64.powi(doublings) } else { mean * LONG_TIMEOUT_MULTIPLE };
        let give_up_at = request.deadline.min(now.saturating_add(timeout as Micros));
        AttemptTimeout { give_up_at, means_loss }
    }
}
