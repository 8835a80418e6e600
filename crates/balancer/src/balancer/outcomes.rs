//! Evaluation of the outcomes of attempts: health of the backend, idle connections, and limits.

use super::Balancer;
use crate::api::{Action, AttemptResult, Micros, Outcome};
use crate::state::Attempt;

/// Minimum latency sample of an attempt that failed, as a multiple of the back-off threshold.
const MIN_FAILURE_SAMPLE: f64 = 2.0;
/// Maximum latency sample of any attempt, as a multiple of the back-off threshold.
const MAX_SAMPLE: f64 = 3.0;
/// Weight of a timeout in the failure score; above 1, since the client also lost time waiting.
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
        let (backend_index, outcome) = (attempt.backend_index, result.outcome);
        self.requests.in_flight = self.requests.in_flight.saturating_sub(1);
        let backend = &mut self.fleet.backends[backend_index];
        backend.in_flight = backend.in_flight.saturating_sub(1);
        if outcome == Outcome::NotSent {
            // The trial was not sent: another request may be the trial of the ejected backend.
            backend.health.trial_in_flight = false;
            backend.unused_since = now;
            return;
        }
        let kind = usize::from(backend.machine_kind);
        let was_unresponsive = backend.unresponsive_since <= attempt.sent_at;
        self.mark_connection_idle(now, backend_index);
        let latency = self.traffic.latencies.get_mut(class, kind);
        let has_baseline = latency.has_baseline() || self.slot_budget.limit_factor > 1.0;
        let objective = self.settings.classes[class].latency_objective;
        let threshold = latency.backoff_threshold(objective, &self.traffic.rejections);
        // Deviation: the basic algorithm uses the latency alone as the sample. Here, a failure counts as a
        // latency above the threshold however quick it was; otherwise, quick errors would raise limits.
        let min_sample = if outcome == Outcome::Ok { 0.0 } else { MIN_FAILURE_SAMPLE };
        let sample = (result.elapsed as f64 / threshold).clamp(min_sample, MAX_SAMPLE);
        let is_failure = self.apply_outcome(now, class, backend_index, result, was_unresponsive);
        let is_lost = is_failure && matches!(outcome, Outcome::Timeout | Outcome::Reset);
        if is_lost && self.idle_time_limit.record_loss(now, attempt.connection_idle_time) {
            return;
        }
        self.score_outcome(
            backend_index,
            is_failure,
            if outcome == Outcome::Timeout { TIMEOUT_WEIGHT } else { 1.0 },
        );
        self.update_ejection(now, backend_index, is_failure, out);
        if is_unrelated_to_load(&attempt, outcome) {
            return;
        }
        // Errors of one backend do not indicate load on all backends of its kind.
        if has_baseline && outcome != Outcome::Error {
            self.adjust_kind_limit(now, kind, sample);
        }
        self.adjust_limit(now, backend_index, sample);
        self.apply_load_report(now, backend_index, result.load_report);
    }

    /// Updates latency, throughput and responsiveness; returns whether the outcome is a backend failure.
    fn apply_outcome(
        &mut self,
        now: Micros,
        class: usize,
        backend_index: usize,
        result: &AttemptResult<'_>,
        was_unresponsive: bool,
    ) -> bool {
        let backend = &mut self.fleet.backends[backend_index];
        let latency = self.traffic.latencies.get_mut(class, usize::from(backend.machine_kind));
        match result.outcome {
            Outcome::Ok => {
                latency.add(result.elapsed as f64, now);
                self.traffic.throughput.record(now);
                backend.unresponsive_since = now;
                false
            }
            // If the backend served other attempts in the meantime, it does not hang: the request was heavy.
            Outcome::Timeout | Outcome::Cancelled => was_unresponsive,
            Outcome::Error | Outcome::Malformed | Outcome::ConnectFailed | Outcome::Reset => true,
            Outcome::Rejected | Outcome::NotSent => {
                backend.rejecting_until = now + latency.mean_us as Micros;
                false
            }
        }
    }
}

/// Whether the connection of an attempt failed or the attempt was lost, which does not indicate load on its
/// backend.
fn is_unrelated_to_load(attempt: &Attempt, outcome: Outcome) -> bool {
    match outcome {
        Outcome::Timeout => attempt.timeout_means_loss,
        _ => outcome.is_broken_connection(),
    }
}
