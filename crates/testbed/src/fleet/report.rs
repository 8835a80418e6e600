//! Results as rows: one JSON line each, a text table, and medians over seeds. No I/O.

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
    /// `processes`, `virtual` or the name of a reference.
    pub way: String,
    /// The scenario's seed.
    pub seed: u64,
    /// Request rate over the capacity of all backends.
    pub load: f64,
    /// Requests sent.
    pub asked: u64,
    /// Priority weight earned over priority weight requested.
    pub worth: f64,
    /// Fraction served within the deadline.
    pub in_time: f64,
    /// Requests rejected.
    pub refused: u64,
    /// Requests failed.
    pub failed: u64,
    /// Requests that reached no proxy.
    pub missed: u64,
    /// Requests lost with a killed process, or whose deadline passed while their process was stopped.
    pub excused: u64,
    /// Median response time of served requests, milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the response time of served requests, milliseconds.
    pub p99_ms: f64,
    /// Violations of rules 1 to 4.
    pub broken: [u64; 4],
    /// How evenly backends were loaded.
    pub spread: Spread,
    /// Load of warming backends relative to their capacity, where any started.
    #[serde(default)]
    pub cold: Option<SlowStartLoad>,
    /// Time to readiness of restarted processes, where there were any.
    #[serde(default)]
    pub restarts: Option<Restarts>,
    /// Processes that restored the learned limits of their predecessors, according to their logs.
    #[serde(default)]
    pub handed_on: u64,
    /// Cost of the processes and of the testbed, where there were processes.
    pub cost: Option<Cost>,
}

/// Cost of a scenario over processes, and the testbed's own delay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Cost {
    /// Mean processor time of a process, seconds.
    pub proxy_cpu_s: f64,
    /// Processor time of the testbed, seconds.
    pub rig_cpu_s: f64,
    /// 99th percentile of the delay with which requests were sent, milliseconds.
    pub late_p99_ms: f64,
    /// Whether that delay makes the result invalid.
    pub spoilt: bool,
}

/// The proxy's version.
#[must_use]
pub fn build() -> String {
    env!("CARGO_PKG_VERSION").into()
}

impl Row {
    /// Creates the row of a checked scenario.
    #[must_use]
    pub fn new(script: &Script, way: &str, judged: &CheckReport, spread: Spread) -> Self {
        let all = &judged.total;
        let asked = all.requests + all.undelivered;
        Self {
            script: script.title.clone(),
            build: build(),
            way: way.into(),
            seed: script.seed,
            load: script.traffic.per_s / script.capacity_per_s(),
            asked,
            worth: all.goodput(),
            in_time: all.in_time as f64 / (asked as f64).max(1.0),
            refused: all.rejected,
            failed: all.failed,
            missed: all.undelivered,
            excused: all.excused,
            p50_ms: judged.percentile(0.5) as f64 / 1e3,
            p99_ms: judged.percentile(0.99) as f64 / 1e3,
            broken: judged.violations,
            spread,
            cold: None,
            restarts: None,
            handed_on: 0,
            cost: None,
        }
    }

    /// Whether no rule was violated.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.broken == [0; 4]
    }
}

/// Runs each reference policy on the script's arrivals.
#[must_use]
pub fn references(script: &Script) -> Vec<Row> {
    let plan = Plan::draw(script);
    let row = |policy: Policy| {
        let seen = reference::play(script, &plan, policy).in_order();
        let judged = check_ordered(script, &seen, 0);
        let spread = spread::measure(script, &plan, &seen, reference::START);
        let way = serde_json::to_value(policy).ok().and_then(|v| v.as_str().map(str::to_owned));
        Row::new(script, &way.unwrap_or_default(), &judged, spread)
    };
    Policy::ALL.into_iter().map(row).collect()
}

/// Runs the proxy's logic in virtual time.
///
/// # Errors
/// Where the script's values give invalid settings.
pub fn in_virtual_time(script: &Script) -> Result<Row, SettingsError> {
    let report = virtual_time::play(script)?;
    Ok(Row { cold: report.cold, ..Row::new(script, "virtual", &report.judgement, report.spread) })
}

/// The head of [`line()`].
#[must_use]
pub fn head() -> String {
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

/// A row of the text table.
#[must_use]
pub fn line(row: &Row) -> String {
    let s = &row.spread;
    let mut text = format!(
        "{:<12} {:>5.2} {:>6} {:>6.3} {:>6.3} {:>7} {:>6} {:>6}  {:>7.1} {:>7.1}  {:>5.2} {:>5.2} {:>6.3} {:>6.3}  {:>6} {:>6.0}  {:>5.2} {:>5}  ",
        row.way,
        row.load,
        row.asked,
        row.worth,
        row.in_time,
        row.refused,
        row.failed,
        row.missed + row.excused,
        row.p50_ms,
        row.p99_ms,
        s.busiest,
        s.least,
        s.deviation,
        s.chance,
        s.idle,
        s.idle_most,
        s.connections,
        row.broken.iter().sum::<u64>(),
    );
    for recovery in &s.recovery_s {
        let _ = match recovery {
            Some(seconds) => write!(text, " {seconds:.0}"),
            None => write!(text, " never"),
        };
    }
    if let Some(cold) = &row.cold {
        let _ = write!(
            text,
            "  [cold: {} starts, {:.2} of the bound at the most, {:.2} in the mean; {:.1} % refused meanwhile]",
            cold.starts,
            cold.most,
            cold.used,
            100.0 * cold.refused_part()
        );
    }
    if let Some(restarts) = &row.restarts {
        let Restarts { restarted, in_time, median_s, worst_s } = restarts;
        let _ = write!(
            text,
            "  [up within 10 s: {in_time} of {restarted}; {median_s:.1} s, worst {worst_s:.1} s]"
        );
    }
    if let Some(cost) = &row.cost {
        let spoilt = if cost.spoilt { ", SPOILT: the laboratory was late itself" } else { "" };
        let _ = write!(
            text,
            "  [cpu s: {:.2} a proxy, {:.1} laboratory; late p99 {:.1} ms{spoilt}]",
            cost.proxy_cpu_s, cost.rig_cpu_s, cost.late_p99_ms
        );
    }
    text
}

/// Reads rows, one JSON line each; empty lines are passed over.
///
/// # Errors
/// The line's number and what is wrong with it.
pub fn parse(text: &str) -> Result<Vec<Row>, String> {
    let mut rows = Vec::new();
    for (number, line) in text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty()) {
        if line.len() > MAX_LINE_BYTES {
            return Err(format!("line {}: {} bytes, {MAX_LINE_BYTES} at most", number + 1, line.len()));
        }
        rows.push(serde_json::from_str(line).map_err(|e| format!("line {}: {e}", number + 1))?);
    }
    Ok(rows)
}

/// Least, median and most.
fn range(mut values: Vec<f64>) -> (f64, f64, f64) {
    values.sort_unstable_by(f64::total_cmp);
    let at = |place: usize| values.get(place).copied().unwrap_or(f64::NAN);
    (at(0), at(values.len() / 2), at(values.len().saturating_sub(1)))
}

/// Medians with their range over seeds, of each way at each load of each script; in the order in which they first come.
#[must_use]
pub fn compare(rows: &[Row]) -> String {
    let key =
        |row: &Row| (row.script.clone(), format!("{:.2}", row.load), row.way.clone(), row.build.clone());
    let mut keys = Vec::new();
    for row in rows {
        if !keys.contains(&key(row)) {
            keys.push(key(row));
        }
    }
    let mut text = format!(
        "{:<12} {:>5} {:>5}  {:<22} {:<22} {:<22} {:<22} {:<22} {:<20}\n",
        "way", "load", "days", "worth", "refused, %", "p99, ms", "busiest", "least", "deviation / chance"
    );
    let mut script = None;
    for key_of in keys {
        if script.as_ref() != Some(&key_of.0) {
            let _ = writeln!(text, "{}", key_of.0);
            script = Some(key_of.0.clone());
        }
        let same: Vec<&Row> = rows.iter().filter(|row| key(row) == key_of).collect();
        let _ = write!(text, "{:<12} {:>5} {:>5} ", key_of.2, key_of.1, same.len());
        let figures: [&dyn Fn(&Row) -> f64; 6] = [
            &|r| r.worth,
            &|r| 100.0 * r.refused as f64 / (r.asked as f64).max(1.0),
            &|r| r.p99_ms,
            &|r| r.spread.busiest,
            &|r| r.spread.least,
            &|r| r.spread.deviation / r.spread.chance,
        ];
        for figure in figures {
            let (least, median, most) = range(same.iter().map(|row| figure(row)).collect());
            let decimals = if median >= 20.0 { 0 } else { 3 };
            let cell = format!("{median:.decimals$} ({least:.decimals$}..{most:.decimals$})");
            let _ = write!(text, " {cell:<22}");
        }
        text.push('\n');
    }
    text
}

#[cfg(test)]
mod tests;
