//! Measures how the resource use of a proxy grows with its load: runs the real program as a process among
//! emulated clients, backends and discovery, measures each quantity at several sizes and fits a line to the
//! medians. All values come from the kernel's statistics of the process or are measured from outside it.

mod agent;
mod backends;
mod busy;
pub mod fit;
mod idle;
mod load;
mod probe;
mod proxy_process;
mod quantities;
mod samples;

pub use quantities::{Family, QUANTITIES, Quantity};
pub use samples::{Host, Row};

use crate::fleet::process_guard;
use fit::FitError;
use proxy_process::{ProxyProcess, SettingsSpec};
use quantities::FAMILIES;
use samples::{RunInfo, Samples};
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::task::LocalSet;

/// Minimum number of sizes of a quantity; fewer do not show whether the growth is linear.
pub const MIN_SIZES: usize = 4;
/// Maximum number of sizes of a quantity.
const MAX_SIZES: usize = 12;
/// Maximum number of runs.
const MAX_RUNS: usize = 50;
/// Shortest and longest duration of a measurement at a steady rate, seconds.
const SECONDS_RANGE: (f64, f64) = (0.1, 30.0);
/// File descriptors that the largest sizes need, in this process and in the proxy each.
const DESCRIPTORS: u64 = 18_000;

/// Why a measurement failed.
#[derive(Debug, Error)]
pub enum ScaleError {
    /// An operation on a socket, process or file failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The program can't be started or does not print its version.
    #[error("cannot run `{0} --version`: {1}; `--proxy` sets the path of the proxy's program")]
    Program(PathBuf, String),
    /// `--only` selects no quantity.
    #[error("`--only {given}` matches no family ({families}) and no quantity's name")]
    UnknownSelection {
        /// The value of `--only`.
        given: String,
        /// The names of all families.
        families: String,
    },
    /// `--sizes` was given while several families are selected; the value names all families.
    #[error("`--sizes` needs a single family: set `--only` to one of {0}")]
    SizesWithoutFamily(String),
    /// Too few or too many different sizes.
    #[error("`--sizes` gives {0} different sizes; {MIN_SIZES} to {MAX_SIZES} are required")]
    SizeCount(usize),
    /// A size is out of bounds.
    #[error("`--sizes`: {given} is out of range for {family}, from {min} to {max}: {reason}")]
    Size {
        /// Name of the family.
        family: &'static str,
        /// The rejected size.
        given: usize,
        /// Smallest accepted size.
        min: usize,
        /// Largest accepted size.
        max: usize,
        /// Why larger sizes are rejected.
        reason: &'static str,
    },
    /// Too few or too many runs.
    #[error("`--runs {0}`: the range is 1 to {MAX_RUNS}")]
    Runs(usize),
    /// The duration is out of bounds, seconds.
    #[error("`--seconds {0}`: the range is {min} to {max}", min = SECONDS_RANGE.0, max = SECONDS_RANGE.1)]
    Seconds(f64),
    /// The limit of file descriptors is too low.
    #[error("the limit of file descriptors (`ulimit -Hn`) is {0}; the measurement needs {DESCRIPTORS}")]
    Descriptors(u64),
    /// The proxy, or a thread that measures it, failed.
    #[error("the proxy: {0}")]
    Proxy(String),
    /// Too many requests got no response from a backend, or connections were closed.
    #[error(
        "{unserved} of {total} requests got no response from a backend; the result would not be representative"
    )]
    Unserved {
        /// Requests without a response from a backend.
        unserved: usize,
        /// All requests.
        total: usize,
    },
    /// Not all requests were in flight at backends within the time limit.
    #[error("only {in_flight} of {total} requests are in flight at backends")]
    NotInFlight {
        /// Requests in flight at backends.
        in_flight: usize,
        /// All requests.
        total: usize,
    },
    /// No line can be fitted to the medians of the named quantity.
    #[error("{0}: {1}")]
    Fit(&'static str, FitError),
    /// A measurement failed at the given family, size and run.
    #[error("{family}, size {size}, run {run}: {error}")]
    InRun {
        /// Name of the family.
        family: &'static str,
        /// The measured size.
        size: usize,
        /// Number of the run, from 1.
        run: usize,
        /// The cause.
        error: Box<ScaleError>,
    },
}

/// Options of a measurement.
#[derive(Clone, Debug)]
pub struct Options {
    /// Path of the proxy's program.
    pub proxy: PathBuf,
    /// Path of this crate's program, which starts the proxy so that the proxy ends with the measurement.
    pub guard: PathBuf,
    /// Number of runs; results are their medians.
    pub runs: usize,
    /// Seed of the random numbers of the emulated clients and discovery.
    pub seed: u64,
    /// Selects the family of this name, or the quantities whose name contains it; empty selects all.
    pub only: String,
    /// Replaces the default sizes; requires that a single family is selected.
    pub sizes: Vec<usize>,
    /// Duration of a measurement at a steady rate, seconds.
    pub seconds: f64,
}

/// Settings that all measurements have in common.
struct MeasurementSettings {
    proxy: PathBuf,
    guard: PathBuf,
    descriptors: u64,
    duration: Duration,
    seed: u64,
}

impl MeasurementSettings {
    async fn start_proxy(
        &self,
        discovery: SocketAddr,
        spec: SettingsSpec,
    ) -> Result<ProxyProcess, ScaleError> {
        ProxyProcess::start((&self.proxy, &self.guard), self.descriptors, discovery, spec).await
    }

    async fn measure(
        &self,
        family: Family,
        size: usize,
        largest: usize,
        samples: &mut Samples,
    ) -> Result<(), ScaleError> {
        match family {
            Family::Backends => idle::backends(self, size, samples).await,
            Family::Tenants => idle::tenants(self, size, samples).await,
            Family::Config | Family::Classes => idle::reload(self, family, size, samples).await,
            Family::IdleClients => busy::idle_clients(self, size, samples).await,
            Family::OpenRequests => busy::open_requests(self, size, largest, samples).await,
            Family::Rate | Family::Fleet | Family::Clients | Family::OverQuota => {
                busy::requests(self, family, size, samples).await
            }
        }
    }
}

impl Options {
    /// Validates the options; returns the selected families, each with its sizes in ascending order.
    ///
    /// # Errors
    /// If an option is out of bounds or inconsistent with another.
    pub fn check(&self) -> Result<Vec<(Family, Vec<usize>)>, ScaleError> {
        let names = || FAMILIES.map(|family| family.sizes().name).join(", ");
        if !(1..=MAX_RUNS).contains(&self.runs) {
            return Err(ScaleError::Runs(self.runs));
        }
        if !(SECONDS_RANGE.0..=SECONDS_RANGE.1).contains(&self.seconds) {
            return Err(ScaleError::Seconds(self.seconds));
        }
        let selected =
            FAMILIES.into_iter().filter(|&f| QUANTITIES.iter().any(|q| q.family == f && self.is_selected(q)));
        let selected: Vec<Family> = selected.collect();
        if selected.is_empty() {
            return Err(ScaleError::UnknownSelection { given: self.only.clone(), families: names() });
        }
        let mut sizes = self.sizes.clone();
        sizes.sort_unstable();
        sizes.dedup();
        if sizes.is_empty() {
            return Ok(selected
                .into_iter()
                .map(|family| (family, family.sizes().default.to_vec()))
                .collect());
        }
        let &[family] = selected.as_slice() else { return Err(ScaleError::SizesWithoutFamily(names())) };
        if !(MIN_SIZES..=MAX_SIZES).contains(&sizes.len()) {
            return Err(ScaleError::SizeCount(sizes.len()));
        }
        let bounds = family.sizes();
        if let Some(&given) = sizes.iter().find(|s| !(bounds.min..=bounds.max).contains(s)) {
            let quantities::Sizes { name, min, max, reason, .. } = bounds;
            return Err(ScaleError::Size { family: name, given, min, max, reason });
        }
        Ok(vec![(family, sizes)])
    }

    /// The name of a family selects only that family, even if names of quantities contain it as well.
    fn is_selected(&self, quantity: &Quantity) -> bool {
        match FAMILIES.into_iter().find(|family| family.sizes().name == self.only) {
            Some(family) => quantity.family == family,
            None => quantity.id.contains(&self.only),
        }
    }

    /// The command line of these options, without the programs' paths.
    fn command(&self) -> String {
        let sizes: Vec<String> = self.sizes.iter().map(usize::to_string).collect();
        let only = if self.only.is_empty() { String::new() } else { format!(" --only {}", self.only) };
        let sizes = if sizes.is_empty() { String::new() } else { format!(" --sizes {}", sizes.join(",")) };
        let (runs, seed, seconds) = (self.runs, self.seed, self.seconds);
        format!("testbed scale slopes --runs {runs} --seed {seed}{only}{sizes} --seconds {seconds}")
    }
}

fn version(program: &Path) -> Result<String, ScaleError> {
    let failed = |problem: String| ScaleError::Program(program.into(), problem);
    let output = Command::new(program).arg("--version").output().map_err(|e| failed(e.to_string()))?;
    let text = String::from_utf8_lossy(&output.stdout).trim().to_owned();
    if output.status.success() && !text.is_empty() {
        Ok(text)
    } else {
        Err(failed(output.status.to_string()))
    }
}

fn host() -> Host {
    let meminfo = fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let total = meminfo.lines().find_map(|line| line.strip_prefix("MemTotal:"));
    let kb = total.and_then(|line| line.trim().trim_end_matches("kB").trim().parse::<u64>().ok());
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    Host { cores, memory_mb: kb.unwrap_or(0) / 1_024 }
}

/// Measures the selected quantities; `progress` receives a line for each family of each run. One proxy
/// process runs at a time, and ends with this process. Each run measures every size, so that load of the
/// machine that changes over time does not appear as a slope.
///
/// # Errors
/// If the options are invalid or a measurement fails.
pub fn run(order: &Options, mut progress: impl FnMut(&str)) -> Result<Vec<Row>, ScaleError> {
    let families = order.check()?;
    let run_info = RunInfo {
        command: order.command(),
        seed: order.seed,
        machine: host(),
        program: version(&order.proxy)?,
    };
    let descriptors = process_guard::raise_descriptor_limit()?;
    if descriptors < DESCRIPTORS {
        return Err(ScaleError::Descriptors(descriptors));
    }
    let settings = MeasurementSettings {
        proxy: order.proxy.clone(),
        guard: order.guard.clone(),
        descriptors,
        duration: Duration::from_secs_f64(order.seconds),
        seed: order.seed,
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let (mut samples, began) = (Samples::default(), Instant::now());
    for run in 1..=order.runs {
        for (family, sizes) in &families {
            let name = family.sizes().name;
            let seconds = began.elapsed().as_secs();
            progress(&format!("{seconds:>4} s, run {run} of {}: {name} {sizes:?}", order.runs));
            for &size in sizes {
                let largest = sizes.last().copied().unwrap_or(size);
                let measured = settings.measure(*family, size, largest, &mut samples);
                let measured = LocalSet::new().block_on(&runtime, measured);
                measured.map_err(|error| ScaleError::InRun {
                    family: name,
                    size,
                    run,
                    error: error.into(),
                })?;
            }
        }
    }
    samples
        .rows(&run_info, |quantity| order.is_selected(quantity))
        .map_err(|(id, error)| ScaleError::Fit(id, error))
}
