//! Totals of a checked scenario: outcomes and weights by class, goodput by window, and requests without a
//! response.

use super::report::{CheckReport, Rule};
use super::{Checker, ClassTotals, RequestRecord, ResponseKind};
use crate::script::ClassSpec;
use balancer::api::Micros;
use rustc_hash::FxHashMap;

/// Length of the windows over which the worst goodput is taken, microseconds.
const GOODPUT_WINDOW: Micros = 5_000_000;
/// A window counts only if its weight is at least that of the heaviest window divided by this: the last
/// window may have only a few requests.
const MIN_WINDOW_DIVISOR: f64 = 4.0;

/// Priority weight of the requests sent within one window.
#[derive(Clone, Copy, Default)]
struct WindowWeight {
    earned: f64,
    total: f64,
}

impl Checker<'_> {
    /// Computes the totals after the last observation.
    pub(super) fn finish(mut self) -> CheckReport {
        let mut windows: FxHashMap<Micros, WindowWeight> = FxHashMap::default();
        let first_sent_at = self.requests.values().map(|request| request.sent_at).min().unwrap_or(0);
        let mut ids: Vec<u64> = self.requests.keys().copied().collect();
        ids.sort_unstable();
        for id in ids {
            let Some(request) = self.requests.get(&id) else { continue };
            let class = &self.script.classes[request.class];
            let totals = &mut self.report.classes[request.class];
            totals.total_weight += class.priority_weight;
            if !request.accepted {
                totals.undelivered += 1;
                continue;
            }
            let earned = count_outcome(totals, class, request);
            if request.response == Some(ResponseKind::Served) {
                self.report.latencies.push(request.latency());
            }
            let window = windows.entry((request.sent_at - first_sent_at) / GOODPUT_WINDOW).or_default();
            window.earned += earned;
            window.total += class.priority_weight;
            if request.response.is_none() {
                self.count_missing_response(id);
            }
        }
        self.report.latencies.sort_unstable();
        self.report.worst_goodput = worst_goodput(&windows);
        for class in &self.report.classes {
            self.report.total.add(class);
        }
        self.report
    }

    /// Counts a request without a response: a violation of rule 1, unless the proxy's process was killed or
    /// was stalled past the deadline.
    fn count_missing_response(&mut self, id: u64) {
        let Some(request) = self.requests.get(&id) else { return };
        let (proxy, sent_at, deadline) = (request.proxy, request.sent_at, request.deadline);
        if request.proxy_killed || self.latest_response_time(proxy, sent_at, deadline) > deadline {
            self.report.classes[request.class].excused += 1;
            return;
        }
        let sent_s = sent_at as f64 / 1e6;
        let description =
            format!("request {id}, sent to proxy {proxy} at {sent_s:.3} s, received no response");
        self.report.add_violation(Rule::FinalResponse, deadline, &description);
    }
}

impl RequestRecord {
    /// Time from sending the request to its response, microseconds.
    fn latency(&self) -> Micros {
        self.responded_at.saturating_sub(self.sent_at)
    }
}

/// Counts an accepted request by its outcome, and returns the weight that it earned.
fn count_outcome(totals: &mut ClassTotals, class: &ClassSpec, request: &RequestRecord) -> f64 {
    totals.requests += 1;
    let earned = match request.response {
        Some(ResponseKind::Served) if request.latency() <= class.latency_objective_ms * 1_000 => {
            totals.in_time += 1;
            class.priority_weight
        }
        Some(ResponseKind::Served) => {
            totals.late += 1;
            class.priority_weight * class.late_weight_fraction
        }
        Some(ResponseKind::Rejected) => {
            totals.rejected += 1;
            0.0
        }
        Some(ResponseKind::Failed | ResponseKind::Forged) => {
            totals.failed += 1;
            0.0
        }
        None => 0.0,
    };
    totals.earned_weight += earned;
    earned
}

fn worst_goodput(windows: &FxHashMap<Micros, WindowWeight>) -> f64 {
    let min_weight = windows.values().map(|window| window.total).fold(0.0, f64::max) / MIN_WINDOW_DIVISOR;
    let counted = windows.values().filter(|window| window.total >= min_weight && window.total > 0.0);
    counted.map(|window| window.earned / window.total).fold(1.0, f64::min)
}
