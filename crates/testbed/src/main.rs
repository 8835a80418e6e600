//! The command line of the testbed.
#![forbid(unsafe_code)]

use clap::{Args, Parser, Subcommand};
use std::error::Error;
use std::ffi::OsString;
use std::fs::{self, File};
use std::io::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use testbed::callers::{self, Campaign};
use testbed::cost::{self, Load, PathResult};
use testbed::fleet::{self, RunEnvironment, process_guard, report};
use testbed::scale::fleet::RunOptions;
use testbed::scale::fleet::script::ScaleScript;
use testbed::scale::slopes;
use testbed::script::Script;
use testbed::{connection_fault_matrix, demo, scale, virtual_time};

/// Emulators, fault scripts, an invariant checker for the four rules, and measurements. Exits with code 0 if
/// no rule was violated, 1 if one was, 2 if nothing could be run.
#[derive(Parser)]
#[command(name = "testbed", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run one real proxy for half a minute before backends that crash, hang and drain, with a live table.
    Demo,
    /// Run a fault script on loopback sockets, with real proxies.
    Sockets {
        /// The script file, TOML.
        script: PathBuf,
        /// Seed that replaces the script's.
        #[arg(long)]
        seed: Option<u64>,
        /// Timing tolerance of the checks for delays of this machine, milliseconds.
        #[arg(long, default_value_t = 100)]
        slack_ms: u64,
    },
    /// Run a fault script in virtual time, in process; the same seed gives the same run.
    Virtual {
        /// The script file, TOML.
        script: PathBuf,
        /// Seed that replaces the script's.
        #[arg(long)]
        seed: Option<u64>,
    },
    /// Run a script once for each seed, with processes or in virtual time, and compare it with simple
    /// reference policies on the same arrivals.
    Fleet {
        #[command(flatten)]
        arguments: FleetArguments,
    },
    /// Print the medians and ranges over seeds of the rows written by `fleet --json`.
    Compare {
        /// Files with one JSON row per line.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Run every connection fault at several severities before healthy backends, and print its cost.
    Matrix {
        /// How long clients send requests in each case, seconds.
        #[arg(long, default_value_t = 4.0)]
        seconds: f64,
        /// Seed of all random numbers.
        #[arg(long, default_value_t = 20_261_201)]
        seed: u64,
        /// Run only faults whose name contains this.
        #[arg(long, default_value = "")]
        only: String,
    },
    /// Measure the cost of a request on three alternating paths: direct, minimal pass-through and proxy.
    Cost {
        /// Number of backends, each of which responds immediately.
        #[arg(long = "boxes", value_name = "BOXES", default_value_t = 20)]
        backends: usize,
        /// Number of client connections, each with one request at a time.
        #[arg(long, default_value_t = 16)]
        clients: usize,
        /// Number of measured requests for each path and round.
        #[arg(long, default_value_t = 30_000)]
        requests: usize,
        /// Number of rounds over all three paths.
        #[arg(long = "turns", value_name = "TURNS", default_value_t = 5)]
        rounds: usize,
        /// Path of the proxy's executable.
        #[arg(long, default_value = "target/release/load-balancing-proxy")]
        proxy: PathBuf,
    },
    /// Run callers of the external processor that are killed at random, with backends that crash, and measure
    /// the cost of a decision.
    Callers {
        #[command(flatten)]
        campaign: Campaign,
        /// Instead measure the memory of this number of open leases.
        #[arg(long = "hold", value_name = "HOLD")]
        open_leases: Option<usize>,
    },
    /// Measure how costs grow with size, with processes of the real executable.
    Scale {
        #[command(subcommand)]
        scale: Scale,
    },
    /// Execute a program that ends with its parent process, under a limit on descriptors.
    #[command(name = "keep", hide = true)]
    RunGuarded {
        /// Process id of the parent.
        parent: i32,
        /// Maximum number of its file descriptors.
        descriptors: u64,
        /// The program and its arguments.
        #[arg(required = true, trailing_var_arg = true, allow_hyphen_values = true)]
        command: Vec<OsString>,
    },
    /// Run the minimal pass-through of `cost` as a process.
    #[command(name = "pass", hide = true)]
    PassThrough {
        /// Addresses of the backends.
        #[arg(value_name = "BOXES")]
        backends: Vec<SocketAddr>,
    },
}

/// What `scale` measures.
#[derive(Subcommand)]
enum Scale {
    /// Run a script of thousands of simulated proxies with real relays, sources, and some real proxies.
    Fleet(ScaleFleetArguments),
    /// Run simulated proxies as a process.
    #[command(name = "hollow", hide = true)]
    SimulatedProxies {
        /// The address on which the testbed listens.
        #[arg(value_name = "RIG")]
        testbed: SocketAddr,
    },
    /// Measure memory, CPU time, bytes and waits of one proxy by the size of its configuration and load, with
    /// linear fits, as JSON lines on standard output.
    Slopes {
        #[command(flatten)]
        arguments: SlopesArguments,
    },
}

/// The arguments of `scale fleet`.
#[derive(Args)]
struct ScaleFleetArguments {
    /// The script file, TOML.
    script: PathBuf,
    /// Seed that replaces the script's.
    #[arg(long)]
    seed: Option<u64>,
    /// Fraction of the script's proxies, services, backends and changes that is run.
    #[arg(long, default_value_t = 1.0)]
    part: f64,
    /// Run only this number of steps from the start of the script.
    #[arg(long)]
    steps: Option<usize>,
    /// Path of the control plane's executable.
    #[arg(long, default_value = "target/release/control-plane")]
    control: PathBuf,
    /// Path of the proxy's executable.
    #[arg(long, default_value = "target/release/load-balancing-proxy")]
    proxy: PathBuf,
    /// Also measure today's complete lists with this number of backends; several numbers with commas.
    #[arg(long, value_delimiter = ',')]
    lists: Vec<usize>,
    /// Append each measurement to this file as a JSON line.
    #[arg(long)]
    json: Option<PathBuf>,
}

fn run_scale_fleet(arguments: ScaleFleetArguments) -> Result<bool, Box<dyn Error>> {
    let mut out = arguments
        .json
        .as_ref()
        .map(|path| File::options().create(true).append(true).open(path))
        .transpose()?;
    let mut script = ScaleScript::read(&arguments.script)?.scaled_by(arguments.part);
    script.seed = arguments.seed.unwrap_or(script.seed);
    script.steps.truncate(arguments.steps.unwrap_or(usize::MAX));
    let testbed_binary = std::env::current_exe()?;
    let machine = RunEnvironment {
        proxy: arguments.proxy,
        testbed_binary,
        memory_mb: 32,
        descriptors: 256,
        threads: 1,
        timing_tolerance_us: 0,
    };
    let options = RunOptions { control_plane: arguments.control, machine, list_sizes: arguments.lists };
    let report = scale::fleet::play(&script, &options)?;
    println!("{report}");
    let file = arguments.script.display();
    let steps = arguments.steps.map_or(String::new(), |steps| format!(" --steps {steps}"));
    let (part, seed) = (arguments.part, script.seed);
    let lists: Vec<String> = options.list_sizes.iter().map(ToString::to_string).collect();
    let lists = if lists.is_empty() { String::new() } else { format!(" --lists {}", lists.join(",")) };
    let command = format!("testbed scale fleet {file} --part {part} --seed {seed}{steps}{lists}");
    if let Some(out) = &mut out {
        for line in report.lines(&command, &script.title) {
            writeln!(out, "{}", serde_json::to_string(&line)?)?;
        }
    }
    Ok(report.is_clean())
}

/// The arguments of `scale slopes`.
#[derive(Args)]
struct SlopesArguments {
    /// Path of the proxy's executable.
    #[arg(long, default_value = "target/release/load-balancing-proxy")]
    proxy: PathBuf,
    /// Number of runs for each size; their medians are reported.
    #[arg(long, default_value_t = 5)]
    runs: usize,
    /// Seed of the emulators' random numbers.
    #[arg(long, default_value_t = 20_261_202)]
    seed: u64,
    /// Measure only this family (backends, tenants, config, classes, `idle_clients`, `open_requests`, rate,
    /// fleet, clients, `over_share`), or quantities whose name contains this.
    #[arg(long, default_value = "")]
    only: String,
    /// Sizes that replace the defaults, with commas; for one family.
    #[arg(long, value_delimiter = ',')]
    sizes: Vec<usize>,
    /// How long a steady-state value is measured, seconds; 99th percentiles need at least one second.
    #[arg(long, default_value_t = 1.5)]
    seconds: f64,
}

/// The arguments of `fleet`.
#[derive(Args)]
struct FleetArguments {
    /// The script file, TOML.
    script: PathBuf,
    /// Run in virtual time instead of with processes.
    #[arg(long = "virtual")]
    in_virtual_time: bool,
    /// First seed, which replaces the script's.
    #[arg(long)]
    seed: Option<u64>,
    /// Number of consecutive seeds.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Request rate as a fraction of the capacity of all backends, which replaces the script's; several with
    /// commas.
    #[arg(long, value_delimiter = ',')]
    load: Vec<f64>,
    /// Path of the proxy's executable.
    #[arg(long, default_value = "target/release/load-balancing-proxy")]
    proxy: PathBuf,
    /// Memory that each process is configured to use, MB.
    #[arg(long, default_value_t = 32)]
    memory_mb: usize,
    /// Maximum number of file descriptors of each process.
    #[arg(long, default_value_t = 256)]
    descriptors: u64,
    /// Number of threads for the emulators; default: a third of the cores.
    #[arg(long)]
    threads: Option<usize>,
    /// Timing tolerance of the checks for delays of this machine, milliseconds.
    #[arg(long, default_value_t = 150)]
    slack_ms: u64,
    /// Do not run the reference policies.
    #[arg(long)]
    no_references: bool,
    /// Append each row to this file as a JSON line.
    #[arg(long)]
    json: Option<PathBuf>,
}

fn run_fleet(arguments: &FleetArguments) -> Result<bool, Box<dyn Error>> {
    let mut out = arguments
        .json
        .as_ref()
        .map(|path| File::options().create(true).append(true).open(path))
        .transpose()?;
    let base = read_script(&arguments.script, arguments.seed)?;
    let cores = std::thread::available_parallelism().map_or(2, usize::from);
    let machine = RunEnvironment {
        proxy: arguments.proxy.clone(),
        testbed_binary: std::env::current_exe()?,
        memory_mb: arguments.memory_mb,
        descriptors: arguments.descriptors,
        threads: arguments.threads.unwrap_or(cores.div_ceil(3)),
        timing_tolerance_us: arguments.slack_ms * 1_000,
    };
    println!("{}, {} s, from seed {}", base.title, base.seconds, base.seed);
    println!("{}", report::header());
    let loads = if arguments.load.is_empty() {
        vec![base.traffic.per_s / base.capacity_per_s()]
    } else {
        arguments.load.clone()
    };
    let mut is_clean = true;
    for (load, seed) in
        loads.iter().flat_map(|&load| (0..arguments.seeds).map(move |s| (load, base.seed + s)))
    {
        let mut script = base.clone();
        script.seed = seed;
        script.traffic.per_s = load * script.capacity_per_s();
        script.check()?;
        let mut rows = if arguments.no_references { Vec::new() } else { report::run_references(&script) };
        rows.push(if arguments.in_virtual_time {
            report::run_in_virtual_time(&script)?
        } else {
            fleet::run(&script, &machine)?
        });
        for row in &rows {
            println!("{}", report::format_row(row));
            if let Some(out) = &mut out {
                writeln!(out, "{}", serde_json::to_string(row)?)?;
            }
        }
        is_clean &= rows.last().is_some_and(report::Row::is_clean);
    }
    Ok(is_clean)
}

fn measure_slopes(arguments: SlopesArguments) -> Result<bool, Box<dyn Error>> {
    let SlopesArguments { proxy, runs, seed, only, sizes, seconds } = arguments;
    let guard = std::env::current_exe()?;
    let options = slopes::Options { proxy, guard, runs, seed, only, sizes, seconds };
    for row in slopes::run(&options, |step| eprintln!("{step}"))? {
        println!("{}", serde_json::to_string(&row)?);
    }
    Ok(true)
}

fn compare(files: &[PathBuf]) -> Result<bool, Box<dyn Error>> {
    let mut rows = Vec::new();
    for path in files {
        let text = fs::read_to_string(path).map_err(|e| format!("cannot read {}: {e}", path.display()))?;
        rows.extend(report::parse(&text).map_err(|e| format!("{}: {e}", path.display()))?);
    }
    print!("{}", report::format_medians(&rows));
    Ok(true)
}

fn read_script(path: &Path, seed: Option<u64>) -> Result<Script, Box<dyn Error>> {
    let mut script = Script::read(path)?;
    script.seed = seed.unwrap_or(script.seed);
    Ok(script)
}

fn run_in_virtual_time(script: &Script) -> Result<bool, Box<dyn Error>> {
    println!("{} (seed {})", script.title, script.seed);
    let report = virtual_time::run(script)?;
    println!("{}", report.check_report);
    println!("{:?}\n{:?}", report.counts, report.leases);
    println!("{} events; requests and leases still open at the end: {}", report.events, report.open_at_end);
    Ok(report.check_report.is_clean() && report.open_at_end == 0)
}

fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_unstable_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

fn measure_cost(load: &Load) -> Result<bool, Box<dyn Error>> {
    println!("{} backends, {} connections, {} requests a round", load.backends, load.clients, load.requests);
    println!("round path      cpu us   req/s   p50 us   p99 us    MB");
    let rows = cost::measure(load)?;
    for (round, row) in rows.iter().enumerate() {
        for (path, figures) in ["direct", "pass", "proxy"].iter().zip(row) {
            println!(
                "{round:>5} {path:<7} {:>8.1} {:>7.0} {:>8.0} {:>8.0} {:>5.1}",
                figures.cpu_us, figures.per_s, figures.p50_us, figures.p99_us, figures.memory_mb
            );
        }
    }
    let ratio = |figure: fn(&PathResult) -> f64| median(rows.iter().map(|r| figure(&r[2]) / figure(&r[1])));
    let added = |figure: fn(&PathResult) -> f64, path: usize| {
        median(rows.iter().map(|r| figure(&r[path]) - figure(&r[0])))
    };
    println!("proxy relative to pass-through, median of the ratios of all rounds:");
    println!("  CPU per request {:.2}, requests/s {:.2}", ratio(|f| f.cpu_us), ratio(|f| f.per_s));
    println!(
        "added to the direct path, median: pass-through p50 {:.0} p99 {:.0} us; proxy p50 {:.0} p99 {:.0} us",
        added(|f| f.p50_us, 1),
        added(|f| f.p99_us, 1),
        added(|f| f.p50_us, 2),
        added(|f| f.p99_us, 2)
    );
    Ok(true)
}

fn run_connection_fault_matrix(seconds: f64, seed: u64, only: &str) -> Result<bool, Box<dyn Error>> {
    println!(
        "one proxy, {seconds} s a case, seed {seed}; all backends are healthy, so every ejection is an error of the proxy"
    );
    println!("{}", connection_fault_matrix::HEADER);
    let mut is_clean = true;
    for case in connection_fault_matrix::cases(seconds, seed) {
        let name = format!("{:?}", case.kind).to_lowercase();
        if name.contains(&only.to_lowercase()) {
            let row = case.run()?;
            println!("{row}");
            is_clean &= row.result.check_report.is_clean();
        }
    }
    Ok(is_clean)
}

fn run(command: Command) -> Result<bool, Box<dyn Error>> {
    match command {
        Command::Demo => Ok(demo::run_demo()?.is_clean()),
        Command::Sockets { script, seed, slack_ms } => {
            Ok(demo::run(&read_script(&script, seed)?, slack_ms * 1_000)?.is_clean())
        }
        Command::Virtual { script, seed } => run_in_virtual_time(&read_script(&script, seed)?),
        Command::Fleet { arguments } => run_fleet(&arguments),
        Command::Compare { files } => compare(&files),
        Command::Matrix { seconds, seed, only } => run_connection_fault_matrix(seconds, seed, &only),
        Command::Cost { backends, clients, requests, rounds, proxy } => {
            measure_cost(&Load { backends, clients, requests, rounds, proxy })
        }
        Command::Callers { campaign, open_leases: Some(leases) } => {
            let (memory_before, memory_with_leases, granted) =
                callers::measure_lease_memory(&campaign, leases)?;
            println!(
                "{granted} open leases, {} backends: {memory_before:.1} MB -> {memory_with_leases:.1} MB",
                campaign.backends
            );
            Ok(granted > 0)
        }
        Command::Callers { campaign, open_leases: None } => {
            println!("{campaign}");
            let result = callers::run(&campaign)?;
            println!("{result}");
            Ok(result.finished_requests() == campaign.requests as u64 && result.effects.1 == 0)
        }
        Command::Scale { scale: Scale::Fleet(arguments) } => run_scale_fleet(arguments),
        Command::Scale { scale: Scale::SimulatedProxies { testbed } } => {
            scale::fleet::simulated_proxy::serve(testbed)?;
            Ok(true)
        }
        Command::Scale { scale: Scale::Slopes { arguments } } => measure_slopes(arguments),
        Command::RunGuarded { parent, descriptors, command } => {
            Err(process_guard::exec_program(parent, descriptors, &command).into())
        }
        Command::PassThrough { backends } => {
            cost::pass_through(&backends)?;
            Ok(true)
        }
    }
}

fn main() -> ExitCode {
    match run(Arguments::parse().command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("testbed: {error}");
            ExitCode::from(2)
        }
    }
}
