//! Counts and latencies of a campaign.

use hdrhistogram::Histogram;
use std::fmt;
use std::time::Duration;

/// The result of a campaign.
#[derive(Clone, Debug)]
pub struct CampaignResult {
    /// Final answers, counted by the value of [`End`](external_processor::generated::End).
    pub final_outcomes: [u64; 6],
    /// Decisions: first answers to a decision request.
    pub decisions: u64,
    /// Attempts that the processor decided to send.
    pub attempts: u64,
    /// Answers that the request is still in flight with another caller.
    pub in_flight: u64,
    /// Decision requests rejected because a bound of the processor was reached.
    pub overloads: u64,
    /// How often a caller was killed.
    pub kills: u64,
    /// Effects at backends that must occur only once (those of keyed and non-idempotent requests), and how
    /// many of them were duplicates.
    pub effects: (u64, u64),
    /// Time from a decision request to its answer, microseconds.
    pub latencies: Histogram<u64>,
    /// Duration of the campaign.
    pub duration: Duration,
    /// CPU time of the processor, seconds; 0 where it ran as a thread.
    pub cpu_s: f64,
    /// Resident memory of the processor at the end, MB; 0 where it ran as a thread.
    pub memory_mb: f64,
}

impl CampaignResult {
    /// The result before the first request.
    pub(super) fn empty() -> Self {
        Self {
            final_outcomes: [0; 6],
            decisions: 0,
            attempts: 0,
            in_flight: 0,
            overloads: 0,
            kills: 0,
            effects: (0, 0),
            // Three digits up to a minute; bounds like these are always valid.
            latencies: Histogram::new_with_bounds(1, 60_000_000, 3).unwrap_or_else(|e| unreachable!("{e}")),
            duration: Duration::ZERO,
            cpu_s: 0.0,
            memory_mb: 0.0,
        }
    }

    /// Adds the counts and times of one caller.
    pub(super) fn add(&mut self, one: &Self) {
        self.final_outcomes.iter_mut().zip(one.final_outcomes).for_each(|(sum, more)| *sum += more);
        self.decisions += one.decisions;
        self.attempts += one.attempts;
        self.in_flight += one.in_flight;
        self.overloads += one.overloads;
        self.kills += one.kills;
        // Cannot fail: both histograms have the same bounds.
        let _ = self.latencies.add(&one.latencies);
    }

    /// Number of requests that received their final answer.
    #[must_use]
    pub fn finished_requests(&self) -> u64 {
        self.final_outcomes.iter().sum()
    }
}

impl fmt::Display for CampaignResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [_, served, rejected, failed, unknown, _] = self.final_outcomes;
        writeln!(
            f,
            "finished {}: served {served}, rejected {rejected}, failed {failed}, may have run {unknown}",
            self.finished_requests()
        )?;
        writeln!(
            f,
            "decisions {}, attempts {}, in flight with another caller {}, overloads {}, callers killed {}",
            self.decisions, self.attempts, self.in_flight, self.overloads, self.kills
        )?;
        writeln!(f, "effects that must occur only once {}, duplicates {}", self.effects.0, self.effects.1)?;
        let quantile = |q| self.latencies.value_at_quantile(q);
        let per_s = self.decisions as f64 / self.duration.as_secs_f64();
        write!(
            f,
            "{:.1} s, {per_s:.0} decisions/s; latency p50 {} p99 {} us",
            self.duration.as_secs_f64(),
            quantile(0.5),
            quantile(0.99)
        )?;
        if self.cpu_s > 0.0 {
            let per_core = self.decisions as f64 / self.cpu_s;
            write!(
                f,
                "; CPU {:.1} s: {per_core:.0} decisions/s per core; {:.1} MB",
                self.cpu_s, self.memory_mb
            )?;
        }
        Ok(())
    }
}
