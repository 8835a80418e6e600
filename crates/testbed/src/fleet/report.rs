//! Results of scenarios as rows: one JSON line each, a text table, and medians over seeds. No I/O.

use crate::invariant_checker::{CheckReport, check_ordered};
use crate::plan::Plan;
use crate::reference::{self, Policy};
use crate::restarts::Restarts;
use crate::script::Script;
use crate::slow_start_load::SlowStartLoad;
use crate::spread::{self, Spread};
use crate::virtual_time;
use balancer::api::SettingsError;
use serde::{Deserialize, Serialize};
use std::fmt::Write as _;

/// Length limit of a line in [`parse`], bytes.
const MAX_LINE_BYTES: usize = 64 * 1024;

/// The result of one run of a scenario.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The script's title.
    pub script: String,
    /// The version of the proxy.
    pub build: String,
    /// How the scenario was run: `processes`, `virtual` or the name of a reference policy.
    #[serde(rename = "way")]
    pub mode: String,
    /// The scenario's seed.
    pub seed: u64,
    /// Request rate over the capacity of all backends.
    pub load: f64,
    /// Number of requests sent.
    #[serde(rename = "asked")]
    pub requests: u64,
    /// Priority weight earned, as a fraction of the priority weight requested.
    #[serde(rename = "worth")]
    pub goodput: f64,
    /// Fraction of the requests that were served within the latency objective.
    pub in_time: f64,
    /// Number of requests rejected with 429 or 503.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Number of requests answered with a failure.
    pub failed: u64,
    /// Number of requests that reached no proxy.
    #[serde(rename = "missed")]
    pub undelivered: u64,
    /// Requests lost with a killed process, or whose deadline passed while their process was stopped.
    pub excused: u64,
    /// Median response time of served requests, milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the response time of served requests, milliseconds.
    pub p99_ms: f64,
    /// Violations of rules 1 to 4.
    #[serde(rename = "broken")]
    pub violations: [u64; 4],
    /// Load distribution over the backends.
    pub spread: Spread,
    /// Load of warming backends, if any started.
    #[serde(default, rename = "cold")]
    pub slow_start_load: Option<SlowStartLoad>,
    /// Time to readiness of restarted processes, if there were any.
    #[serde(default)]
    pub restarts: Option<Restarts>,
    /// Number of processes that restored the learned limits of their predecessors, according to their logs.
    #[serde(default, rename = "handed_on")]
    pub restored_processes: u64,
    /// Cost of the processes and of the testbed; `None` without processes.
    pub cost: Option<Cost>,
}

/// Processor time of a scenario with processes, and the testbed's own delay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Cost {
    /// Mean processor time of a process, seconds.
    pub proxy_cpu_s: f64,
    /// Processor time of the testbed, seconds.
    #[serde(rename = "rig_cpu_s")]
    pub testbed_cpu_s: f64,
    /// 99th percentile of the delay with which requests were sent, milliseconds.
    #[serde(rename = "late_p99_ms")]
    pub start_delay_p99_ms: f64,
    /// Whether that delay makes the result invalid.
    #[serde(rename = "spoilt")]
    pub is_invalid: bool,
}

/// The proxy's version.
#[must_use]
pub fn build() -> String {
    env!("CARGO_PKG_VERSION").into()
}

impl Row {
    /// Creates the row of a checked scenario, without the figures that only some modes have.
    #[must_use]
    pub fn new(script: &Script, mode: &str, report: &CheckReport, spread: Spread) -> Self {
        let total = &report.total;
        let requests = total.requests + total.undelivered;
        Self {
            script: script.title.clone(),
            build: build(),
            mode: mode.into(),
            seed: script.seed,
            load: script.traffic.per_s / script.capacity_per_s(),
            requests,
            goodput: total.goodput(),
            in_time: total.in_time as f64 / (requests as f64).max(1.0),
            rejected: total.rejected,
            failed: total.failed,
            undelivered: total.undelivered,
            excused: total.excused,
            p50_ms: report.percentile(0.5) as f64 / 1e3,
            p99_ms: report.percentile(0.99) as f64 / 1e3,
            violations: report.violations,
            spread,
            slow_start_load: None,
            restarts: None,
            restored_processes: 0,
            cost: None,
        }
    }

    /// Whether none of the rules 1 to 4 was violated.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.violations == [0; 4]
    }
}

/// Runs each reference policy on the script's arrivals; one row per policy.
#[must_use]
pub fn run_references(script: &Script) -> Vec<Row> {
    let plan = Plan::draw(script);
    let row = |policy: Policy| {
        let observations = reference::simulate(script, &plan, policy).in_order();
        let report = check_ordered(script, &observations, 0);
        let spread = spread::measure(script, &plan, &observations, reference::START);
        let mode = serde_json::to_value(policy).ok().and_then(|v| v.as_str().map(str::to_owned));
        Row::new(script, &mode.unwrap_or_default(), &report, spread)
    };
    Policy::ALL.into_iter().map(row).collect()
}

/// Runs the proxy's logic in virtual time.
///
/// # Errors
/// The script's values give invalid settings.
pub fn run_in_virtual_time(script: &Script) -> Result<Row, SettingsError> {
    let report = virtual_time::run(script)?;
    Ok(Row {
        slow_start_load: report.slow_start_load,
        ..Row::new(script, "virtual", &report.check_report, report.spread)
    })
}

/// The header of the text table, with the column names of [`format_row()`].
#[must_use]
pub fn header() -> String {
    format!(
        "{:<12} {:>5} {:>6} {:>6} {:>6} {:>7} {:>6} {:>6}  {:>7} {:>7}  {:>5} {:>5} {:>6} {:>6}  {:>6} {:>6}  {:>5} {:>5}  recovery s",
        "way",
        "load",
        "asked",
        "worth",
        "intime",
        "refused",
        "failed",
        "lost",
        "p50 ms",
        "p99 ms",
        "busy",
        "least",
        "dev",
        "chance",
        "idle",
        "most",
        "conn",
        "rules"
    )
}

/// A line of the text table, without a line break.
#[must_use]
pub fn format_row(row: &Row) -> String {
    let spread = &row.spread;
    let mut text = format!(
        "{:<12} {:>5.2} {:>6} {:>6.3} {:>6.3} {:>7} {:>6} {:>6}  {:>7.1} {:>7.1}  {:>5.2} {:>5.2} {:>6.3} {:>6.3}  {:>6} {:>6.0}  {:>5.2} {:>5}  ",
        row.mode,
        row.load,
        row.requests,
        row.goodput,
        row.in_time,
        row.rejected,
        row.failed,
        row.undelivered + row.excused,
        row.p50_ms,
        row.p99_ms,
        spread.max_load,
        spread.min_load,
        spread.deviation,
        spread.random_deviation,
        spread.idle_windows,
        spread.max_idle_windows,
        spread.connections_per_request,
        row.violations.iter().sum::<u64>(),
    );
    for recovery in &spread.recovery_s {
        let _ = match recovery {
            Some(seconds) => write!(text, " {seconds:.0}"),
            None => write!(text, " never"),
        };
    }
    if let Some(load) = &row.slow_start_load {
        let _ = write!(
            text,
            "  [slow start: {} backend starts; load {:.2} of the bound at most, {:.2} on average; {:.1} % rejected during warm-up]",
            load.starts,
            load.max_load,
            load.mean_load,
            100.0 * load.rejected_fraction()
        );
    }
    if let Some(restarts) = &row.restarts {
        let Restarts { restarted, in_time, median_s, worst_s } = restarts;
        let _ = write!(
            text,
            "  [restarts ready within 10 s: {in_time} of {restarted}; median {median_s:.1} s, longest {worst_s:.1} s]"
        );
    }
    if let Some(cost) = &row.cost {
        let invalid = if cost.is_invalid { ", INVALID: the testbed sent requests too late" } else { "" };
        let _ = write!(
            text,
            "  [CPU: {:.2} s per proxy, {:.1} s testbed; start delay p99 {:.1} ms{invalid}]",
            cost.proxy_cpu_s, cost.testbed_cpu_s, cost.start_delay_p99_ms
        );
    }
    text
}

/// Parses rows, one JSON line each; empty lines are skipped.
///
/// # Errors
/// The number of the first malformed or too long line, from 1, and the problem.
pub fn parse(text: &str) -> Result<Vec<Row>, String> {
    let mut rows = Vec::new();
    for (number, line) in text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty()) {
        if line.len() > MAX_LINE_BYTES {
            return Err(format!(
                "line {}: {} bytes, must be at most {MAX_LINE_BYTES}",
                number + 1,
                line.len()
            ));
        }
        rows.push(serde_json::from_str(line).map_err(|e| format!("line {}: {e}", number + 1))?);
    }
    Ok(rows)
}

/// Minimum, median and maximum; NaN without values.
fn range(mut values: Vec<f64>) -> (f64, f64, f64) {
    values.sort_unstable_by(f64::total_cmp);
    let at = |index: usize| values.get(index).copied().unwrap_or(f64::NAN);
    (at(0), at(values.len() / 2), at(values.len().saturating_sub(1)))
}

/// A table of medians with their range over seeds, for each script, load, mode and build, in the order of
/// their first rows.
#[must_use]
pub fn format_medians(rows: &[Row]) -> String {
    let key =
        |row: &Row| (row.script.clone(), format!("{:.2}", row.load), row.mode.clone(), row.build.clone());
    let mut groups = Vec::new();
    for row in rows {
        if !groups.contains(&key(row)) {
            groups.push(key(row));
        }
    }
    let mut text = format!(
        "{:<12} {:>5} {:>5}  {:<22} {:<22} {:<22} {:<22} {:<22} {:<20}\n",
        "way", "load", "days", "worth", "refused, %", "p99, ms", "busiest", "least", "deviation / chance"
    );
    let mut script = None;
    for group in groups {
        if script.as_ref() != Some(&group.0) {
            let _ = writeln!(text, "{}", group.0);
            script = Some(group.0.clone());
        }
        let group_rows: Vec<&Row> = rows.iter().filter(|row| key(row) == group).collect();
        let _ = write!(text, "{:<12} {:>5} {:>5} ", group.2, group.1, group_rows.len());
        let figures: [&dyn Fn(&Row) -> f64; 6] = [
            &|row| row.goodput,
            &|row| 100.0 * row.rejected as f64 / (row.requests as f64).max(1.0),
            &|row| row.p99_ms,
            &|row| row.spread.max_load,
            &|row| row.spread.min_load,
            &|row| row.spread.deviation / row.spread.random_deviation,
        ];
        for figure in figures {
            let (min, median, max) = range(group_rows.iter().map(|row| figure(row)).collect());
            let decimals = if median >= 20.0 { 0 } else { 3 };
            let cell = format!("{median:.decimals$} ({min:.decimals$}..{max:.decimals$})");
            let _ = write!(text, " {cell:<22}");
        }
        text.push('\n');
    }
    text
}

#[cfg(test)]
mod tests;
