//! What a proxy costs by its size: the real program as a process of its own among stand-ins, one figure at several sizes,
//! and a straight line through their medians. Every figure is the kernel's account of the process, or was seen from
//! outside.

mod agent;
mod backends;
mod busy;
pub mod fit;
mod idle;
mod load;
mod probe;
mod quantities;
mod sheet;
mod subject;

pub use quantities::{Family, QUANTITIES, Quantity};
pub use sheet::{Host, Row};

use crate::fleet::process_guard;
use fit::FitError;
use quantities::FAMILIES;
use sheet::{Origin, Sheet};
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};
use subject::{Shape, Subject};
use thiserror::Error;
use tokio::task::LocalSet;

/// Sizes that a quantity needs at least: fewer say too little of whether there is a line at all.
pub const MIN_SIZES: usize = 4;
/// The most that are taken.
const MAX_SIZES: usize = 12;
/// The most runs.
const MAX_RUNS: usize = 50;
/// The shortest and the longest time of a figure, seconds.
const SPANS: (f64, f64) = (0.1, 30.0);
/// Descriptors that the largest sizes need, of this program and of the proxy.
const DESCRIPTORS: u64 = 18_000;

/// Why nothing was measured.
#[derive(Debug, Error)]
pub enum ScaleError {
    /// A socket, process or file.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A program that is not there, or does not tell its version.
    #[error("cannot run {0} --version: {1}; `--proxy` names the proxy's program")]
    Program(PathBuf, String),
    /// `--only` picks nothing.
    #[error("`--only {given}` is part of no family ({families}) and of no quantity's name")]
    Unknown {
        /// What was given.
        given: String,
        /// The families.
        families: String,
    },
    /// `--sizes` for several families.
    #[error("`--sizes` goes with one family: choose it by `--only`, one of {0}")]
    SizesOfWhat(String),
    /// Too few or too many sizes.
    #[error("`--sizes` gives {0} different sizes: {MIN_SIZES} to {MAX_SIZES} make a line")]
    SizeCount(usize),
    /// A size out of bounds.
    #[error("`--sizes`: {family} go from {least} to {most} and not to {given}: {why}")]
    Size {
        /// The family.
        family: &'static str,
        /// What was given.
        given: usize,
        /// The least.
        least: usize,
        /// The most.
        most: usize,
        /// Why no more.
        why: &'static str,
    },
    /// Too few or too many runs.
    #[error("`--runs {0}`: 1 to {MAX_RUNS} are possible")]
    Runs(usize),
    /// A time out of bounds.
    #[error("`--seconds {0}`: {least} to {most} are possible", least = SPANS.0, most = SPANS.1)]
    Span(f64),
    /// Too few descriptors.
    #[error("{0} descriptors are allowed (`ulimit -Hn`), and these sizes need {DESCRIPTORS}")]
    Descriptors(u64),
    /// The proxy did not do what it has to.
    #[error("the proxy: {0}")]
    Proxy(String),
    /// Requests without a backend's answer.
    #[error("{lost} of {all} requests had no answer from a backend: figures would be of something else")]
    Lost {
        /// Those.
        lost: usize,
        /// All.
        all: usize,
    },
    /// Requests that did not come to wait at backends.
    #[error("{held} of {all} requests came to wait at backends")]
    NotHeld {
        /// Those.
        held: usize,
        /// All.
        all: usize,
    },
    /// No line.
    #[error("{0}: {1}")]
    Fit(&'static str, FitError),
    /// What went wrong, and where.
    #[error("{family}, size {size}, run {run}: {error}")]
    At {
        /// The family.
        family: &'static str,
        /// The size.
        size: usize,
        /// The run, from 1.
        run: usize,
        /// What went wrong.
        error: Box<ScaleError>,
    },
}

/// What is measured.
#[derive(Clone, Debug)]
pub struct Order {
    /// The proxy's program.
    pub proxy: PathBuf,
    /// This crate's own program, which starts the other one so that it ends with it.
    pub keeper: PathBuf,
    /// Runs, of which the medians count.
    pub runs: usize,
    /// For the random numbers of the stand-ins.
    pub seed: u64,
    /// Only families of this name, or quantities whose name holds this; empty: all.
    pub only: String,
    /// Sizes in place of the usual ones, for one family.
    pub sizes: Vec<usize>,
    /// How long a steady figure is measured, seconds.
    pub seconds: f64,
}

/// What all measurements of a run share.
struct Bench {
    proxy: PathBuf,
    keeper: PathBuf,
    descriptors: u64,
    span: Duration,
    seed: u64,
}

impl Bench {
    async fn subject(&self, discovery: SocketAddr, shape: Shape) -> Result<Subject, ScaleError> {
        Subject::start((&self.proxy, &self.keeper), self.descriptors, discovery, shape).await
    }

    async fn measure(
        &self,
        family: Family,
        size: usize,
        largest: usize,
        sheet: &mut Sheet,
    ) -> Result<(), ScaleError> {
        match family {
            Family::Backends => idle::backends(self, size, sheet).await,
            Family::Tenants => idle::tenants(self, size, sheet).await,
            Family::Config | Family::Classes => idle::settings(self, family, size, sheet).await,
            Family::IdleClients => busy::idle_clients(self, size, sheet).await,
            Family::OpenRequests => busy::open(self, size, largest, sheet).await,
            Family::Rate | Family::Fleet | Family::Clients | Family::OverShare => {
                busy::requests(self, family, size, sheet).await
            }
        }
    }
}

impl Order {
    /// The families that are measured, each with its sizes in ascending order.
    ///
    /// # Errors
    /// Where the order makes no sense or goes beyond the bounds.
    pub fn check(&self) -> Result<Vec<(Family, Vec<usize>)>, ScaleError> {
        let names = || FAMILIES.map(|family| family.sizes().name).join(", ");
        if !(1..=MAX_RUNS).contains(&self.runs) {
            return Err(ScaleError::Runs(self.runs));
        }
        if !(SPANS.0..=SPANS.1).contains(&self.seconds) {
            return Err(ScaleError::Span(self.seconds));
        }
        let picked =
            FAMILIES.into_iter().filter(|&f| QUANTITIES.iter().any(|q| q.family == f && self.wants(q)));
        let picked: Vec<Family> = picked.collect();
        if picked.is_empty() {
            return Err(ScaleError::Unknown { given: self.only.clone(), families: names() });
        }
        let mut sizes = self.sizes.clone();
        sizes.sort_unstable();
        sizes.dedup();
        if sizes.is_empty() {
            return Ok(picked.into_iter().map(|family| (family, family.sizes().usual.to_vec())).collect());
        }
        let &[family] = picked.as_slice() else { return Err(ScaleError::SizesOfWhat(names())) };
        if !(MIN_SIZES..=MAX_SIZES).contains(&sizes.len()) {
            return Err(ScaleError::SizeCount(sizes.len()));
        }
        let bounds = family.sizes();
        if let Some(&given) = sizes.iter().find(|s| !(bounds.least..=bounds.most).contains(s)) {
            let quantities::Sizes { name, least, most, bound, .. } = bounds;
            return Err(ScaleError::Size { family: name, given, least, most, why: bound });
        }
        Ok(vec![(family, sizes)])
    }

    /// A family's name picks that family, before anything else; other words pick quantities.
    fn wants(&self, quantity: &Quantity) -> bool {
        match FAMILIES.into_iter().find(|family| family.sizes().name == self.only) {
            Some(family) => quantity.family == family,
            None => quantity.id.contains(&self.only),
        }
    }

    /// As it was given on the command line, without the programs' paths.
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
    let told = Command::new(program).arg("--version").output().map_err(|e| failed(e.to_string()))?;
    let text = String::from_utf8_lossy(&told.stdout).trim().to_owned();
    if told.status.success() && !text.is_empty() { Ok(text) } else { Err(failed(told.status.to_string())) }
}

fn host() -> Host {
    let meminfo = fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let total = meminfo.lines().find_map(|line| line.strip_prefix("MemTotal:"));
    let kb = total.and_then(|line| line.trim().trim_end_matches("kB").trim().parse::<u64>().ok());
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    Host { cores, memory_mb: kb.unwrap_or(0) / 1_024 }
}

/// Measures all that is ordered; `progress` is told of every run. One process of the proxy runs at a time, and ends with
/// whoever started it. Every size is measured in each run, so that what the machine does meanwhile is no slope.
///
/// # Errors
/// Where the order makes no sense, or something could not be measured.
pub fn run(order: &Order, mut progress: impl FnMut(&str)) -> Result<Vec<Row>, ScaleError> {
    let families = order.check()?;
    let origin = Origin {
        command: order.command(),
        seed: order.seed,
        machine: host(),
        program: version(&order.proxy)?,
    };
    let descriptors = process_guard::all_descriptors()?;
    if descriptors < DESCRIPTORS {
        return Err(ScaleError::Descriptors(descriptors));
    }
    let bench = Bench {
        proxy: order.proxy.clone(),
        keeper: order.keeper.clone(),
        descriptors,
        span: Duration::from_secs_f64(order.seconds),
        seed: order.seed,
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let (mut sheet, began) = (Sheet::default(), Instant::now());
    for run in 1..=order.runs {
        for (family, sizes) in &families {
            let name = family.sizes().name;
            let seconds = began.elapsed().as_secs();
            progress(&format!("{seconds:>4} s, run {run} of {}: {name} {sizes:?}", order.runs));
            for &size in sizes {
                let largest = sizes.last().copied().unwrap_or(size);
                let measured = bench.measure(*family, size, largest, &mut sheet);
                let measured = LocalSet::new().block_on(&runtime, measured);
                measured.map_err(|error| ScaleError::At { family: name, size, run, error: error.into() })?;
            }
        }
    }
    sheet.rows(&origin, |quantity| order.wants(quantity)).map_err(|(id, error)| ScaleError::Fit(id, error))
}
