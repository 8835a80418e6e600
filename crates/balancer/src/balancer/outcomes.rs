//! Outcomes of attempts as evidence about the backend, the connection and the limits.

use super::Balancer;
use crate::api::{Action, AttemptResult, Micros, Outcome};
use crate::state::Attempt;

/// Least value of a failure's sample, as a multiple of the back-off threshold.
const MIN_FAILURE_SAMPLE: f64 = 2.0;
/// Largest value of any sample, in the same unit.
const MAX_SAMPLE: f64 = 3.0;
/// Weight of a timeout in the failure score: it cost a wait.
const TIMEOUT_WEIGHT: f64 = 1.25;

impl Balancer {
    /// Records the outcome of an attempt that was in flight.
    pub(super) fn record_outcome(
        &mut self,
        now: Micros,
        class: usize,
        attempt: Attempt,
        result: &AttemptResult<'_>,
        out: &mut Vec<Action>,
    ) {
        let (index, outcome) = (attempt.backend, result.outcome);
        self.requests.in_flight = self.requests.in_flight.saturating_sub(1);
        let backend = &mut self.fleet.backends[index];
        backend.in_flight = backend.in_flight.saturating_sub(1);
        if outcome == Outcome::NotSent {
            // Another request may be the trial of an ejected backend.
            backend.health.trial_in_flight = false;
            backend.unused_since = now;
            return;
        }
        let kind = usize::from(backend.machine_kind);
        let was_silent = backend.silent_since <= attempt.sent_at;
        self.mark_connection_idle(now, index);
        let latency = self.traffic.latencies.get_mut(class, kind);
        let has_baseline = latency.has_baseline() || self.slot_budget.spread > 1.0;
        let objective = self.settings.classes[class].latency_objective;
        let threshold = latency.backoff_threshold(objective, &self.traffic.rejections);
        // Departure: a failure is a bad sample however quick, so that quick errors can't raise a limit.
        let min_sample = if outcome == Outcome::Ok { 0.0 } else { MIN_FAILURE_SAMPLE };
        let sample = (result.elapsed as f64 / threshold).clamp(min_sample, MAX_SAMPLE);
        let is_failure = self.apply_outcome(now, class, index, result, was_silent);
        let is_lost = is_failure && matches!(outcome, Outcome::Timeout | Outcome::Reset);
        if is_lost && self.idle_trust.blame(now, attempt.connection_idle_time) {
            return;
        }
        self.score_outcome(index, is_failure, if outcome == Outcome::Timeout { TIMEOUT_WEIGHT } else { 1.0 });
        self.update_ejection(now, index, is_failure, out);
        if is_unrelated_to_load(&attempt, outcome) {
            return;
        }
        // Errors are no sign of the load of the backends of a kind.
        if has_baseline && outcome != Outcome::Error {
            self.adjust_kind_limit(now, kind, sample);
        }
        self.adjust_limit(now, index, sample);
        self.apply_load_report(now, index, result.load_report);
    }

    /// Updates the state that a single outcome determines; returns whether the backend failed.
    fn apply_outcome(
        &mut self,
        now: Micros,
        class: usize,
        index: usize,
        result: &AttemptResult<'_>,
        was_silent: bool,
    ) -> bool {
        let backend = &mut self.fleet.backends[index];
        let latency = self.traffic.latencies.get_mut(class, usize::from(backend.machine_kind));
        match result.outcome {
            Outcome::Ok => {
                latency.add(result.elapsed as f64, now);
                self.traffic.throughput.record(now);
                backend.silent_since = now;
                false
            }
            // A backend that finished other attempts meanwhile does not hang; the request was heavy.
            Outcome::Timeout | Outcome::Cancelled => was_silent,
            Outcome::Error | Outcome::Malformed | Outcome::ConnectFailed | Outcome::Reset => true,
            Outcome::Rejected | Outcome::NotSent => {
                backend.rejecting_until = now + latency.mean as Micros;
                false
            }
        }
    }
}

/// Whether an attempt broke or was lost on the way, which is no sign of its backend's load.
fn is_unrelated_to_load(attempt: &Attempt, outcome: Outcome) -> bool {
    match outcome {
        Outcome::Timeout => attempt.timeout_means_loss,
        _ => outcome.is_broken_connection(),
    }
}
