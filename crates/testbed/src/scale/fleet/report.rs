//! Results of a run, as text and as JSON lines. Quantity names are stable: documentation refers to them. Does
//! no I/O.

use super::messages::SimulatedProxyCost;
use super::propagation::Summary;
use super::real_proxies::Requests;
use serde::Serialize;
use std::fmt;

/// Upper bound of a change's propagation time, seconds.
pub const MAX_PROPAGATION_S: f64 = 4.0;
/// Upper bound of the bytes per second that a subscriber beside a proxy receives.
pub const MAX_BYTES_PER_S: f64 = 24_000.0;
/// Upper bound of the processor use of a subscriber beside a proxy, cores.
pub const MAX_CORES: f64 = 0.025;
/// Upper bound of the memory of a subscriber beside a proxy, bytes.
pub const MAX_SUBSCRIBER_MEMORY_BYTES: f64 = 64e6;
/// Upper bound of the memory of all processes of a run together, bytes.
pub const MAX_MEMORY_BYTES: u64 = 12_000_000_000;
/// Upper bound of the violations that are printed; all are counted.
const MAX_PRINTED_VIOLATIONS: usize = 20;

/// Quantity, value, unit, and upper bound if there is one.
type Figure = (&'static str, f64, &'static str, Option<f64>);

/// Receive rates of the simulated proxies.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReceiveRate {
    /// Mean of all, bytes per second.
    pub mean: f64,
    /// Maximum of all, bytes per second.
    pub max: f64,
    /// Maximum over any ten seconds of one proxy, bytes per second.
    pub max_ten_s: f64,
    /// Mean number of records of a replica.
    pub records: f64,
}

impl ReceiveRate {
    /// Computes the rates from the costs of a period of this many seconds.
    #[must_use]
    pub fn new(costs: &[SimulatedProxyCost], seconds: f64) -> Self {
        let count = costs.len().max(1) as f64;
        let max_bytes = costs.iter().map(|cost| cost.bytes).max().unwrap_or(0);
        let max_ten_s_bytes = costs.iter().map(|cost| cost.worst_ten).max().unwrap_or(0);
        Self {
            mean: costs.iter().map(|cost| cost.bytes as f64).sum::<f64>() / count / seconds,
            max: max_bytes as f64 / seconds,
            max_ten_s: max_ten_s_bytes as f64 / 10.0,
            records: costs.iter().map(|cost| f64::from(cost.records)).sum::<f64>() / count,
        }
    }
}

/// Cost of the processes of one kind: means and maxima.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// Mean processor use, cores.
    pub cores: f64,
    /// Maximum processor use, cores.
    pub max_cores: f64,
    /// Mean memory, bytes.
    pub memory_bytes: f64,
    /// Maximum memory, bytes.
    pub max_memory_bytes: f64,
}

impl Cost {
    /// Computes the cost from the processor times (seconds) before and after a period of this many seconds,
    /// and the memory (bytes) after it. A process that was restarted in the period counts from its start.
    #[must_use]
    pub fn new(before: &[f64], after: &[(f64, u64)], seconds: f64) -> Self {
        let count = after.len().max(1) as f64;
        let used = |(index, (cpu, _)): (usize, &(f64, u64))| {
            let before = before.get(index).copied().filter(|before| before <= cpu).unwrap_or(0.0);
            (cpu - before) / seconds
        };
        let cores: Vec<f64> = after.iter().enumerate().map(used).collect();
        let memory = || after.iter().map(|(_, memory)| *memory as f64);
        Self {
            cores: cores.iter().fold(0.0, |sum, one| sum + one) / count,
            max_cores: cores.iter().copied().fold(0.0, f64::max),
            memory_bytes: memory().fold(0.0, |sum, one| sum + one) / count,
            max_memory_bytes: memory().fold(0.0, f64::max),
        }
    }
}

/// Results of a step, printed as one row.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StepRow {
    /// The step's number and name.
    pub name: String,
    /// Factor by which the rates of changes exceed those of an ordinary day.
    pub rate_factor: f64,
    /// Duration, seconds.
    pub seconds: f64,
    /// Propagation times of changes, from the write or from the time at which a subscriber became reachable.
    pub propagation: Summary,
    /// Propagation times of changes from the write, also for subscribers that were unreachable then.
    pub propagation_from_write: Summary,
    /// Time from the step's end until all simulated proxies had reached their sources' positions, seconds.
    pub convergence_s: f64,
    /// Number of proxies that were restarted in the step, and the time that the slowest of them took from its
    /// start until it had 99% of its records, seconds; negative: one of them never had.
    pub restarted: Option<(usize, f64)>,
    /// Number of changes that a restarted source lost.
    pub lost_changes: usize,
    /// Receive rates of the simulated proxies.
    pub receive_rate: ReceiveRate,
    /// Mean cost of a simulated proxy: the cost of all their processes, divided by their number.
    pub simulated_proxy: Cost,
    /// Cost of the real agents.
    pub agents: Cost,
    /// Cost of the relays.
    pub relays: Cost,
    /// Bytes per second that a relay received from sources: mean and maximum.
    pub relay_receive_rate: (f64, f64),
    /// Cost of the sources.
    pub sources: Cost,
    /// Number of simulated proxies that were compared record by record at the step's end, and the number of
    /// their records.
    pub compared: (usize, u64),
    /// Number of agents whose lists were compared entry by entry.
    pub lists_compared: usize,
}

/// Cost of a complete discovery list, for comparison.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ListRow {
    /// Backends in the list.
    pub backends: usize,
    /// Size of the complete list, bytes.
    pub bytes: u64,
    /// Time from the proxy's start until it was ready, seconds.
    pub ready_s: f64,
    /// The proxy's processor time until then, seconds.
    pub cpu_s: f64,
    /// The proxy's memory at that time, bytes.
    pub memory: u64,
    /// Size of the response with one change, bytes.
    pub change_bytes: u64,
}

/// Results of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// The script's title.
    pub title: String,
    /// The script's seed.
    pub seed: u64,
    /// Number of simulated proxies, and of backends.
    pub size: (usize, usize),
    /// Number of relays.
    pub relays: usize,
    /// Time from the start of all simulated proxies at once until the slowest had 99% of its records,
    /// seconds.
    pub initial_fill_s: f64,
    /// Receive rates of the simulated proxies during this start.
    pub initial_receive_rate: ReceiveRate,
    /// Results by step.
    pub steps: Vec<StepRow>,
    /// Requests to the real proxies, by outcome.
    pub requests: Requests,
    /// Number of real proxies.
    pub real_proxies: usize,
    /// Costs of complete discovery lists.
    pub lists: Vec<ListRow>,
    /// Descriptions of all violations of invariants.
    pub violations: Vec<String>,
    /// Maximum memory of all processes together, measured after each step, bytes.
    pub max_memory_bytes: u64,
}

/// One measured value, written as a JSON line.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Name of the quantity.
    pub quantity: String,
    /// Number of simulated proxies; for quantities of complete lists, number of backends.
    pub size: usize,
    /// The value.
    pub value: f64,
    /// Unit of the value.
    pub unit: &'static str,
    /// The command that measured it.
    pub command: String,
    /// The script's seed.
    pub seed: u64,
    /// The script's title.
    pub script: String,
    /// Upper bound of the value, if there is one.
    pub bound: Option<f64>,
}

impl Report {
    /// Whether no invariant was violated.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.violations.is_empty()
    }

    /// All figures. Each quantity is named after step and figure, so that name and size identify it in
    /// documentation.
    #[must_use]
    pub fn lines(&self, command: &str, script: &str) -> Vec<Line> {
        let mut lines = Vec::new();
        let mut add = |size: usize, quantity: String, value: f64, unit: &'static str, bound: Option<f64>| {
            let (command, script) = (command.to_owned(), script.to_owned());
            lines.push(Line { quantity, size, value, unit, command, seed: self.seed, script, bound });
        };
        let size = self.size.0;
        let run_figures: [Figure; 6] = [
            ("fleet_backends", self.size.1 as f64, "backends", None),
            ("all_start_until_slowest_full_s", self.initial_fill_s, "s", None),
            (
                "all_start_bytes_worst_ten",
                self.initial_receive_rate.max_ten_s,
                "bytes/s",
                Some(MAX_BYTES_PER_S),
            ),
            ("all_start_records", self.initial_receive_rate.records, "records", None),
            (
                "all_processes_memory_bytes",
                self.max_memory_bytes as f64,
                "bytes",
                Some(MAX_MEMORY_BYTES as f64),
            ),
            ("breaks", self.violations.len() as f64, "breaks", Some(0.0)),
        ];
        for (quantity, value, unit, bound) in run_figures {
            add(size, quantity.to_owned(), value, unit, bound);
        }
        for (number, row) in self.steps.iter().enumerate() {
            let earlier = self.steps[..number].iter().filter(|other| other.key() == row.key()).count();
            let again = if earlier > 0 { format!("_{}", earlier + 1) } else { String::new() };
            for (what, value, unit, bound) in self.figures(row) {
                add(size, format!("{}{again}_{what}", row.key()), value, unit, bound);
            }
        }
        for list in &self.lists {
            let figures = [
                ("whole_list_bytes", list.bytes as f64, "bytes"),
                ("whole_list_ready_s", list.ready_s, "s"),
                ("whole_list_proxy_cpu_s", list.cpu_s, "s"),
                ("whole_list_proxy_memory_bytes", list.memory as f64, "bytes"),
                ("whole_list_change_bytes", list.change_bytes as f64, "bytes"),
            ];
            for (quantity, value, unit) in figures {
                add(list.backends, quantity.to_owned(), value, unit, None);
            }
        }
        lines
    }

    fn figures(&self, row: &StepRow) -> Vec<Figure> {
        let relay_send_rate = row.receive_rate.mean * self.size.0 as f64 / self.relays.max(1) as f64;
        let (bytes, cores, memory) =
            (Some(MAX_BYTES_PER_S), Some(MAX_CORES), Some(MAX_SUBSCRIBER_MEMORY_BYTES));
        let mut figures = vec![
            ("changes", row.propagation.changes as f64, "changes", None),
            ("never_in_force", row.propagation.never_received as f64, "changes", Some(0.0)),
            ("in_force_median_s", row.propagation.median_s, "s", None),
            ("in_force_p99_s", row.propagation.p99_s, "s", None),
            ("in_force_worst_s", row.propagation.max_s, "s", Some(MAX_PROPAGATION_S)),
            ("in_force_from_write_worst_s", row.propagation_from_write.max_s, "s", None),
            ("quiet_after_s", row.convergence_s, "s", None),
            ("subscriber_bytes_mean", row.receive_rate.mean, "bytes/s", bytes),
            ("subscriber_bytes_most", row.receive_rate.max, "bytes/s", bytes),
            ("subscriber_bytes_worst_ten", row.receive_rate.max_ten_s, "bytes/s", bytes),
            ("subscriber_records", row.receive_rate.records, "records", None),
            ("subscriber_cores", row.simulated_proxy.cores, "cores", cores),
            ("subscriber_memory_bytes", row.simulated_proxy.memory_bytes, "bytes", memory),
            ("relay_cores_mean", row.relays.cores, "cores", None),
            ("relay_cores_most", row.relays.max_cores, "cores", None),
            ("relay_memory_most_bytes", row.relays.max_memory_bytes, "bytes", None),
            ("relay_bytes_in_mean", row.relay_receive_rate.0, "bytes/s", None),
            ("relay_bytes_in_most", row.relay_receive_rate.1, "bytes/s", None),
            ("relay_bytes_out_mean", relay_send_rate, "bytes/s", None),
            ("source_cores_most", row.sources.max_cores, "cores", None),
            ("source_memory_most_bytes", row.sources.max_memory_bytes, "bytes", None),
            ("proxies_compared", row.compared.0 as f64, "proxies", None),
            ("records_compared", row.compared.1 as f64, "records", None),
        ];
        if let Some((_, slowest)) = row.restarted {
            figures.push(("anew_until_slowest_full_s", slowest, "s", None));
        }
        if self.real_proxies > 0 {
            figures.push(("agent_cores_mean", row.agents.cores, "cores", cores));
            figures.push(("agent_cores_most", row.agents.max_cores, "cores", cores));
            figures.push(("agent_memory_most_bytes", row.agents.max_memory_bytes, "bytes", memory));
        }
        figures
    }
}

impl StepRow {
    /// The prefix of the row's quantities: the step's name, and its rate factor unless that is 1.
    fn key(&self) -> String {
        let what = self.name.split_once(' ').map_or(self.name.as_str(), |(_, what)| what).replace('-', "_");
        if self.rate_factor == 1.0 { what } else { format!("{what}_{}x", self.rate_factor) }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{}: {} simulated and {} real proxies, {} backends, seed {}",
            self.title, self.size.0, self.real_proxies, self.size.1, self.seed
        )?;
        writeln!(
            f,
            "simultaneous start: {:.1} s until the slowest has 99% of its records; {:.0} records each, maximum over ten seconds {:.1} KB/s",
            self.initial_fill_s,
            self.initial_receive_rate.records,
            self.initial_receive_rate.max_ten_s / 1e3
        )?;
        write_step_header(f)?;
        for row in &self.steps {
            write_step_figures(row, f)?;
            write_step_notes(row, f)?;
        }
        if self.real_proxies > 0 {
            writeln!(f, "real proxies: {:?}", self.requests)?;
        }
        for list in &self.lists {
            writeln!(f, "complete list: {list:?}")?;
        }
        writeln!(f, "memory of all processes: {:.0} MB", self.max_memory_bytes as f64 / 1e6)?;
        for text in self.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
            writeln!(f, "VIOLATION: {text}")?;
        }
        write!(f, "{} violations", self.violations.len())
    }
}

fn write_step_header(f: &mut fmt::Formatter<'_>) -> fmt::Result {
    writeln!(
        f,
        "{:<24} {:>5} {:>7} {:>5}  {:>6} {:>6} {:>6} {:>7}  {:>6}  {:>6} {:>6} {:>6}  {:>7} {:>7}  {:>6} {:>6}  {:>6} {:>6}",
        "step",
        "times",
        "changes",
        "never",
        "p50 s",
        "p99 s",
        "worst",
        "written",
        "quiet",
        "B/s",
        "most",
        "ten s",
        "core %",
        "KB",
        "r core",
        "r MB",
        "a %",
        "a MB"
    )
}

fn write_step_figures(row: &StepRow, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    writeln!(
        f,
        "{:<24} {:>5} {:>7} {:>5}  {:>6.2} {:>6.2} {:>6.2} {:>7.2}  {:>6.2}  {:>6.0} {:>6.0} {:>6.0}  {:>7.3} {:>7.0}  {:>6.3} {:>6.1}  {:>6.3} {:>6.1}",
        row.name,
        row.rate_factor,
        row.propagation.changes,
        row.propagation.never_received,
        row.propagation.median_s,
        row.propagation.p99_s,
        row.propagation.max_s,
        row.propagation_from_write.max_s,
        row.convergence_s,
        row.receive_rate.mean,
        row.receive_rate.max,
        row.receive_rate.max_ten_s,
        row.simulated_proxy.cores * 100.0,
        row.simulated_proxy.memory_bytes / 1e3,
        row.relays.max_cores,
        row.relays.max_memory_bytes / 1e6,
        row.agents.cores * 100.0,
        row.agents.max_memory_bytes / 1e6,
    )
}

fn write_step_notes(row: &StepRow, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    let (proxies, records) = row.compared;
    let lists = row.lists_compared;
    write!(f, "    {proxies} proxies compared, {records} records, and the lists of {lists} agents")?;
    if let Some((count, slowest)) = row.restarted {
        write!(f, "; {count} restarted, the slowest had 99% of its records after {slowest:.1} s")?;
    }
    if row.lost_changes > 0 {
        write!(f, "; the source lost {} changes", row.lost_changes)?;
    }
    writeln!(f)
}
