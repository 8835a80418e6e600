//! Counts and times of a campaign.

use hdrhistogram::Histogram;
use std::fmt;
use std::time::Duration;

/// The result of a campaign.
#[derive(Clone, Debug)]
pub struct CampaignResult {
    /// Final answers in the order of [`End`](external_processor::generated::End).
    pub ends: [u64; 6],
    /// Decisions: answers to questions for a request.
    pub decisions: u64,
    /// Attempts granted to callers.
    pub sends: u64,
    /// Answers that the request is in flight with another caller.
    pub in_flight: u64,
    /// Rejections at a bound.
    pub overload: u64,
    /// Callers killed.
    pub kills: u64,
    /// Effects at backends that must not be duplicated, and those that were.
    pub effects: (u64, u64),
    /// Time from a decision request to its answer, microseconds.
    pub times: Histogram<u64>,
    /// Duration of the campaign.
    pub span: Duration,
    /// CPU time of the processor, seconds.
    pub cpu_s: f64,
    /// Memory of the processor at the end, MB.
    pub memory_mb: f64,
}

impl CampaignResult {
    /// The result before the first request.
    pub(super) fn empty() -> Self {
        Self {
            ends: [0; 6],
            decisions: 0,
            sends: 0,
            in_flight: 0,
            overload: 0,
            kills: 0,
            effects: (0, 0),
            // Three digits up to a minute: these bounds can't fail.
            times: Histogram::new_with_bounds(1, 60_000_000, 3).unwrap_or_else(|e| unreachable!("{e}")),
            span: Duration::ZERO,
            cpu_s: 0.0,
            memory_mb: 0.0,
        }
    }

    /// Adds the counts and times of one caller.
    pub(super) fn add(&mut self, one: &Self) {
        self.ends.iter_mut().zip(one.ends).for_each(|(sum, more)| *sum += more);
        self.decisions += one.decisions;
        self.sends += one.sends;
        self.in_flight += one.in_flight;
        self.overload += one.overload;
        self.kills += one.kills;
        // Can't fail: both histograms have the same bounds.
        let _ = self.times.add(&one.times);
    }

    /// Requests that got their final answer.
    #[must_use]
    pub fn ended(&self) -> u64 {
        self.ends.iter().sum()
    }
}

impl fmt::Display for CampaignResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [_, served, refused, failed, unknown, _] = self.ends;
        writeln!(
            f,
            "ended {}: served {served}, refused {refused}, failed {failed}, may have run {unknown}",
            self.ended()
        )?;
        writeln!(
            f,
            "decisions {}, attempts {}, held by another {}, at a bound {}, callers killed {}",
            self.decisions, self.sends, self.in_flight, self.overload, self.kills
        )?;
        writeln!(f, "effects that must not be doubled {}, doubled {}", self.effects.0, self.effects.1)?;
        let at = |q| self.times.value_at_quantile(q);
        let per_s = self.decisions as f64 / self.span.as_secs_f64();
        write!(
            f,
            "{:.1} s, {per_s:.0} decisions/s; p50 {} p99 {} us",
            self.span.as_secs_f64(),
            at(0.5),
            at(0.99)
        )?;
        if self.cpu_s > 0.0 {
            let per_core = self.decisions as f64 / self.cpu_s;
            write!(
                f,
                "; CPU {:.1} s: {per_core:.0} decisions/s a core; {:.1} MB",
                self.cpu_s, self.memory_mb
            )?;
        }
        Ok(())
    }
}
