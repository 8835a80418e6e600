//! Results of a run, as text and as JSON lines. Does no I/O.

use super::messages::SimulatedProxyCost;
use super::propagation::Summary;
use super::real_proxies::Requests;
use serde::Serialize;
use std::fmt;

/// Upper bound of a change's propagation time, seconds.
pub const GOAL_S: f64 = 4.0;
/// Upper bounds of the control plane's cost beside a proxy: bytes per second, cores, bytes of memory.
pub const BYTES_PER_S: f64 = 24_000.0;
/// As [`BYTES_PER_S`].
pub const CORES: f64 = 0.025;
/// As [`BYTES_PER_S`].
pub const MEMORY: f64 = 64e6;
/// Upper bound of the memory of all processes of a run together, bytes.
pub const MAX_MEMORY: u64 = 12_000_000_000;
/// Violations that are printed; all are counted.
const MAX_PRINTED_VIOLATIONS: usize = 20;

/// A figure: what, how much, of what, how much it may be.
type Figure = (&'static str, f64, &'static str, Option<f64>);

/// Receive rates of the simulated proxies.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReceiveRate {
    /// Mean of all, bytes per second.
    pub mean: f64,
    /// Maximum of all, bytes per second.
    pub most: f64,
    /// Maximum over any ten seconds of one proxy, bytes per second.
    pub worst_ten: f64,
    /// Mean number of records of a replica.
    pub records: f64,
}

impl ReceiveRate {
    /// The rates over this many seconds.
    #[must_use]
    pub fn new(each: &[SimulatedProxyCost], seconds: f64) -> Self {
        let count = each.len().max(1) as f64;
        let most = each.iter().map(|cost| cost.bytes).max().unwrap_or(0);
        let worst = each.iter().map(|cost| cost.worst_ten).max().unwrap_or(0);
        Self {
            mean: each.iter().map(|cost| cost.bytes as f64).sum::<f64>() / count / seconds,
            most: most as f64 / seconds,
            worst_ten: worst as f64 / 10.0,
            records: each.iter().map(|cost| f64::from(cost.records)).sum::<f64>() / count,
        }
    }
}

/// Cost of one kind of process: the mean and the maximum.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// Mean processor use, cores.
    pub cores: f64,
    /// Of the one with most.
    pub most_cores: f64,
    /// Mean memory, bytes.
    pub memory: f64,
    /// Of the one with most.
    pub most_memory: f64,
}

impl Cost {
    /// From processor times before and after this many seconds, and memory after. A process that was restarted in between
    /// counts from its start.
    #[must_use]
    pub fn new(before: &[f64], after: &[(f64, u64)], seconds: f64) -> Self {
        let count = after.len().max(1) as f64;
        let used = |(place, (cpu, _)): (usize, &(f64, u64))| {
            let before = before.get(place).copied().filter(|before| before <= cpu).unwrap_or(0.0);
            (cpu - before) / seconds
        };
        let cores: Vec<f64> = after.iter().enumerate().map(used).collect();
        let memory = || after.iter().map(|(_, memory)| *memory as f64);
        Self {
            cores: cores.iter().fold(0.0, |sum, one| sum + one) / count,
            most_cores: cores.iter().copied().fold(0.0, f64::max),
            memory: memory().fold(0.0, |sum, one| sum + one) / count,
            most_memory: memory().fold(0.0, f64::max),
        }
    }
}

/// Results of a step.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StepRow {
    /// Its number and name.
    pub name: String,
    /// Changes as a multiple of the ordinary day's.
    pub times: f64,
    /// Duration, seconds.
    pub seconds: f64,
    /// From the moment of the change, or from which somebody could be reached.
    pub in_force: Summary,
    /// From the moment of the change, whoever could be reached.
    pub written: Summary,
    /// From the step's end until all were as far as their sources, seconds.
    pub quiet_s: f64,
    /// Proxies that began anew in it, and how long the slowest took until it held 99 of 100 records, seconds; less than 0:
    /// one never did.
    pub anew: Option<(usize, f64)>,
    /// Changes that a source lost.
    pub lost: usize,
    /// What hollow proxies took.
    pub taken: ReceiveRate,
    /// What a hollow proxy cost: its process's cost, divided.
    pub hollow: Cost,
    /// What the real agents cost.
    pub agents: Cost,
    /// What relays cost.
    pub relays: Cost,
    /// Bytes a second that a relay took from sources, in the mean and of the one with most.
    pub relay_took: (f64, f64),
    /// What sources cost.
    pub sources: Cost,
    /// How many hollow proxies were compared record by record at its end, and how many records these held.
    pub compared: (usize, u64),
    /// How many agents' lists were compared entry by entry.
    pub lists_compared: usize,
}

/// Cost of a complete discovery list, for comparison.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ListRow {
    /// Backends in the list.
    pub backends: usize,
    /// Bytes of the whole list.
    pub bytes: u64,
    /// From the start until the proxy was ready, seconds.
    pub ready_s: f64,
    /// The proxy's processor time until then, seconds.
    pub cpu_s: f64,
    /// Its memory then, bytes.
    pub memory: u64,
    /// Bytes that told it of one change.
    pub change_bytes: u64,
}

/// Results of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// The script's title.
    pub title: String,
    /// Its seed.
    pub seed: u64,
    /// Hollow proxies, and backends.
    pub size: (usize, usize),
    /// Relays.
    pub relays: usize,
    /// From the start of all at once until the slowest held 99 of 100 records, seconds.
    pub full_s: f64,
    /// What they took meanwhile.
    pub filling: ReceiveRate,
    /// By step.
    pub steps: Vec<StepRow>,
    /// What became of the real proxies' requests.
    pub requests: Requests,
    /// How many real proxies there were.
    pub real: usize,
    /// Costs of complete discovery lists.
    pub lists: Vec<ListRow>,
    /// Violated invariants.
    pub breaks: Vec<String>,
    /// The most memory that all processes took together, bytes.
    pub memory: u64,
}

/// One measured value.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    /// What.
    pub quantity: String,
    /// Hollow proxies; of whole lists, backends.
    pub size: usize,
    /// How much.
    pub value: f64,
    /// Of what.
    pub unit: &'static str,
    /// The command that gave it.
    pub command: String,
    /// The script's seed.
    pub seed: u64,
    /// The script.
    pub script: String,
    /// How much it may be.
    pub bound: Option<f64>,
}

impl Report {
    /// Whether no invariant was violated.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.breaks.is_empty()
    }

    /// All figures. The quantity names step and figure, so that a page can take them by name and size.
    #[must_use]
    pub fn lines(&self, command: &str, script: &str) -> Vec<Line> {
        let mut lines = Vec::new();
        let mut add = |size: usize, quantity: String, value: f64, unit: &'static str, bound: Option<f64>| {
            let (command, script) = (command.to_owned(), script.to_owned());
            lines.push(Line { quantity, size, value, unit, command, seed: self.seed, script, bound });
        };
        let size = self.size.0;
        let whole: [Figure; 6] = [
            ("fleet_backends", self.size.1 as f64, "backends", None),
            ("all_start_until_slowest_full_s", self.full_s, "s", None),
            ("all_start_bytes_worst_ten", self.filling.worst_ten, "bytes/s", Some(BYTES_PER_S)),
            ("all_start_records", self.filling.records, "records", None),
            ("all_processes_memory_bytes", self.memory as f64, "bytes", Some(MAX_MEMORY as f64)),
            ("breaks", self.breaks.len() as f64, "breaks", Some(0.0)),
        ];
        for (what, value, unit, bound) in whole {
            add(size, what.to_owned(), value, unit, bound);
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
            for (what, value, unit) in figures {
                add(list.backends, what.to_owned(), value, unit, None);
            }
        }
        lines
    }

    fn figures(&self, row: &StepRow) -> Vec<Figure> {
        let given = row.taken.mean * self.size.0 as f64 / self.relays.max(1) as f64;
        let (bytes, cores, memory) = (Some(BYTES_PER_S), Some(CORES), Some(MEMORY));
        let mut figures = vec![
            ("changes", row.in_force.changes as f64, "changes", None),
            ("never_in_force", row.in_force.never as f64, "changes", Some(0.0)),
            ("in_force_median_s", row.in_force.median_s, "s", None),
            ("in_force_p99_s", row.in_force.p99_s, "s", None),
            ("in_force_worst_s", row.in_force.worst_s, "s", Some(GOAL_S)),
            ("in_force_from_write_worst_s", row.written.worst_s, "s", None),
            ("quiet_after_s", row.quiet_s, "s", None),
            ("subscriber_bytes_mean", row.taken.mean, "bytes/s", bytes),
            ("subscriber_bytes_most", row.taken.most, "bytes/s", bytes),
            ("subscriber_bytes_worst_ten", row.taken.worst_ten, "bytes/s", bytes),
            ("subscriber_records", row.taken.records, "records", None),
            ("subscriber_cores", row.hollow.cores, "cores", cores),
            ("subscriber_memory_bytes", row.hollow.memory, "bytes", memory),
            ("relay_cores_mean", row.relays.cores, "cores", None),
            ("relay_cores_most", row.relays.most_cores, "cores", None),
            ("relay_memory_most_bytes", row.relays.most_memory, "bytes", None),
            ("relay_bytes_in_mean", row.relay_took.0, "bytes/s", None),
            ("relay_bytes_in_most", row.relay_took.1, "bytes/s", None),
            ("relay_bytes_out_mean", given, "bytes/s", None),
            ("source_cores_most", row.sources.most_cores, "cores", None),
            ("source_memory_most_bytes", row.sources.most_memory, "bytes", None),
            ("proxies_compared", row.compared.0 as f64, "proxies", None),
            ("records_compared", row.compared.1 as f64, "records", None),
        ];
        if let Some((_, slowest)) = row.anew {
            figures.push(("anew_until_slowest_full_s", slowest, "s", None));
        }
        if self.real > 0 {
            figures.push(("agent_cores_mean", row.agents.cores, "cores", cores));
            figures.push(("agent_cores_most", row.agents.most_cores, "cores", cores));
            figures.push(("agent_memory_most_bytes", row.agents.most_memory, "bytes", memory));
        }
        figures
    }
}

impl StepRow {
    /// What its figures are named after: what goes wrong, and how much changes where that is not the ordinary day's.
    fn key(&self) -> String {
        let what = self.name.split_once(' ').map_or(self.name.as_str(), |(_, what)| what).replace('-', "_");
        if self.times == 1.0 { what } else { format!("{what}_{}x", self.times) }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{}: {} hollow and {} real proxies, {} backends, seed {}",
            self.title, self.size.0, self.real, self.size.1, self.seed
        )?;
        writeln!(
            f,
            "all start at once: {:.1} s until the slowest holds 99 of 100 records; {:.0} records each, worst ten seconds {:.1} KB/s",
            self.full_s,
            self.filling.records,
            self.filling.worst_ten / 1e3
        )?;
        write_step_header(f)?;
        for row in &self.steps {
            write_step_figures(row, f)?;
            write_step_notes(row, f)?;
        }
        if self.real > 0 {
            writeln!(f, "real proxies: {:?}", self.requests)?;
        }
        for list in &self.lists {
            writeln!(f, "today's way: {list:?}")?;
        }
        writeln!(f, "memory of all processes {:.0} MB", self.memory as f64 / 1e6)?;
        for text in self.breaks.iter().take(MAX_PRINTED_VIOLATIONS) {
            writeln!(f, "BROKEN: {text}")?;
        }
        write!(f, "{} breaks", self.breaks.len())
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
        row.times,
        row.in_force.changes,
        row.in_force.never,
        row.in_force.median_s,
        row.in_force.p99_s,
        row.in_force.worst_s,
        row.written.worst_s,
        row.quiet_s,
        row.taken.mean,
        row.taken.most,
        row.taken.worst_ten,
        row.hollow.cores * 100.0,
        row.hollow.memory / 1e3,
        row.relays.most_cores,
        row.relays.most_memory / 1e6,
        row.agents.cores * 100.0,
        row.agents.most_memory / 1e6,
    )
}

fn write_step_notes(row: &StepRow, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    let (proxies, records) = row.compared;
    let lists = row.lists_compared;
    write!(f, "    {proxies} proxies compared, {records} records, and the lists of {lists} agents")?;
    if let Some((count, slowest)) = row.anew {
        write!(f, "; {count} began anew, the slowest was full after {slowest:.1} s")?;
    }
    if row.lost > 0 {
        write!(f, "; the source lost {} changes", row.lost)?;
    }
    writeln!(f)
}
