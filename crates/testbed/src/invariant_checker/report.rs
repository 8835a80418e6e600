//! The checker's result: totals per class, latencies, and violations of the four rules.

use balancer::api::Micros;
use std::fmt;

/// Violations beyond this number are only counted, not described.
const MAX_DESCRIBED_VIOLATIONS: usize = 20;

/// The rules that a proxy must never violate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Rule {
    /// Each request gets exactly one final response, in time.
    FinalResponse = 1,
    /// No effect of a keyed or non-idempotent request occurs twice.
    SingleEffect = 2,
    /// No attempt starts at a draining or removed backend after the grace period.
    DrainGrace = 3,
    /// No warming backend is overloaded.
    SlowStart = 4,
}

/// Totals of one request class, or of all classes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ClassTotals {
    /// Requests that a proxy accepted.
    pub requests: u64,
    /// Requests served within the latency objective.
    pub in_time: u64,
    /// Requests served after the latency objective.
    pub late: u64,
    /// Requests rejected with status 429 or 503.
    pub rejected: u64,
    /// Requests with any other response.
    pub failed: u64,
    /// Attempts that reached backends.
    pub attempts: u64,
    /// Requests that reached no proxy.
    pub undelivered: u64,
    /// Requests without a response because the proxy's process was killed, or was stopped past the deadline.
    pub excused: u64,
    /// Sum of the priority weights of all requests.
    pub total_weight: f64,
    /// Priority weight earned by served requests.
    pub earned_weight: f64,
}

impl ClassTotals {
    /// Earned weight over total weight, 0 to 1; 1 without requests.
    #[must_use]
    pub fn goodput(&self) -> f64 {
        if self.total_weight > 0.0 { self.earned_weight / self.total_weight } else { 1.0 }
    }

    /// Adds the totals of another class.
    pub(super) fn add(&mut self, class: &Self) {
        self.requests += class.requests;
        self.in_time += class.in_time;
        self.late += class.late;
        self.rejected += class.rejected;
        self.failed += class.failed;
        self.attempts += class.attempts;
        self.undelivered += class.undelivered;
        self.excused += class.excused;
        self.total_weight += class.total_weight;
        self.earned_weight += class.earned_weight;
    }
}

/// The result of checking one scenario.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CheckReport {
    /// Totals of all requests.
    pub total: ClassTotals,
    /// Totals by class, in the script's order.
    pub classes: Vec<ClassTotals>,
    /// Lowest goodput of any window of five seconds, 0 to 1.
    pub worst_goodput: f64,
    /// Number of violations of each rule: (1) each request gets exactly one final response, in time; (2) no
    /// effect of a keyed or non-idempotent request occurs twice; (3) no attempt starts at a draining or
    /// removed backend after the grace period; (4) no warming backend is overloaded.
    pub violations: [u64; 4],
    /// Descriptions of the first violations.
    pub messages: Vec<String>,
    /// Times from sending a request to its served response, ascending, microseconds.
    pub latencies: Vec<Micros>,
}

impl CheckReport {
    /// Whether no rule was violated.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.violations == [0; 4]
    }

    /// The latency within which this fraction (0 to 1) of the served responses arrived, microseconds; 0
    /// without any.
    #[must_use]
    pub fn percentile(&self, fraction: f64) -> Micros {
        let last = self.latencies.len().saturating_sub(1);
        self.latencies.get((last as f64 * fraction) as usize).copied().unwrap_or(0)
    }

    /// Counts a violation, and describes it if it is one of the first.
    pub(super) fn add_violation(&mut self, rule: Rule, at: Micros, description: &str) {
        let number = rule as usize;
        self.violations[number - 1] += 1;
        if self.messages.len() < MAX_DESCRIBED_VIOLATIONS {
            self.messages.push(format!("rule {number} at {:.3} s: {description}", at as f64 / 1e6));
        }
    }
}

impl fmt::Display for CheckReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let total = &self.total;
        writeln!(
            f,
            "goodput {:.3}, worst 5 s {:.3}; requests {}, in time {}, late {}, rejected {}, failed {}, attempts {}{}",
            total.goodput(),
            self.worst_goodput,
            total.requests,
            total.in_time,
            total.late,
            total.rejected,
            total.failed,
            total.attempts,
            match (total.undelivered, total.excused) {
                (0, 0) => String::new(),
                (undelivered, excused) => format!(", undelivered {undelivered}, excused {excused}"),
            }
        )?;
        let ms = |fraction| self.percentile(fraction) as f64 / 1e3;
        writeln!(f, "served within (ms): p50 {:.1}, p90 {:.1}, p99 {:.1}", ms(0.5), ms(0.9), ms(0.99))?;
        self.messages.iter().try_for_each(|message| writeln!(f, "{message}"))?;
        write!(
            f,
            "violations of rules 1 to 4: {} {} {} {}",
            self.violations[0], self.violations[1], self.violations[2], self.violations[3]
        )
    }
}
