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

/// Stand-ins, fault scripts, a judge of the four rules, and measurements. Ends with code 0 where no rule
/// broke, 1 where one did, 2 where nothing could be played.
#[derive(Parser)]
#[command(name = "testbed", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Half a minute of one real proxy among boxes that crash, hang and drain, as a live table.
    Demo,
    /// Play a fault script on loopback sockets, with real proxies.
    Sockets {
        /// The script, TOML.
        script: PathBuf,
        /// Take this seed in place of the script's.
        #[arg(long)]
        seed: Option<u64>,
        /// What this machine may be late by, milliseconds.
        #[arg(long, default_value_t = 100)]
        slack_ms: u64,
    },
    /// Play a fault script in virtual time, in process; the same seed gives the same day.
    Virtual {
        /// The script, TOML.
        script: PathBuf,
        /// Take this seed in place of the script's.
        #[arg(long)]
        seed: Option<u64>,
    },
    /// Play a day for every seed: over processes, or in virtual time, beside what plain choices make of the
    /// same arrivals.
    Fleet {
        #[command(flatten)]
        arguments: FleetArguments,
    },
    /// Print medians with their range over seeds, of rows that `fleet --json` has written.
    Compare {
        /// Files of JSON lines.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Play every trouble of connections at several degrees before healthy boxes, and print what it costs.
    Matrix {
        /// How long clients ask in each case, seconds.
        #[arg(long, default_value_t = 4.0)]
        seconds: f64,
        /// For all random numbers.
        #[arg(long, default_value_t = 20_261_201)]
        seed: u64,
        /// Only troubles whose name holds this.
        #[arg(long, default_value = "")]
        only: String,
    },
    /// Measure what a request costs: direct, through a minimal pass-through, through the proxy, in turn.
    Cost {
        /// Boxes, each answering at once.
        #[arg(long = "boxes", value_name = "BOXES", default_value_t = 20)]
        backends: usize,
        /// Connections of clients, one request at a time on each.
        #[arg(long, default_value_t = 16)]
        clients: usize,
        /// Requests that count, for each way and turn.
        #[arg(long, default_value_t = 30_000)]
        requests: usize,
        /// Turns of all three ways.
        #[arg(long = "turns", value_name = "TURNS", default_value_t = 5)]
        rounds: usize,
        /// The proxy's program.
        #[arg(long, default_value = "target/release/load-balancing-proxy")]
        proxy: PathBuf,
    },
    /// Play callers of the external processor that are killed at random among boxes that crash, and measure a
    /// decision.
    Callers {
        #[command(flatten)]
        campaign: Campaign,
        /// Measure the memory of so many leases that are out in place of that.
        #[arg(long = "hold", value_name = "HOLD")]
        open_leases: Option<usize>,
    },
    /// Measure how costs grow: processes of the real program, at several sizes.
    Scale {
        #[command(subcommand)]
        scale: Scale,
    },
    /// Become a program that ends with whoever started it, under a limit on descriptors.
    #[command(name = "keep", hide = true)]
    RunGuarded {
        /// The id of the process that starts it.
        parent: i32,
        /// Descriptors that it may have.
        descriptors: u64,
        /// The program and its arguments.
        #[arg(required = true, trailing_var_arg = true, allow_hyphen_values = true)]
        command: Vec<OsString>,
    },
    /// The minimal pass-through of `cost`, by itself.
    #[command(name = "pass", hide = true)]
    PassThrough {
        /// The boxes.
        #[arg(value_name = "BOXES")]
        backends: Vec<SocketAddr>,
    },
}

/// What `scale` measures.
#[derive(Subcommand)]
enum Scale {
    /// Play a script of thousands of hollow proxies with real relays, sources, and some real proxies.
    Fleet(ScaleFleetArguments),
    /// Hollow proxies, by themselves.
    #[command(name = "hollow", hide = true)]
    SimulatedProxies {
        /// Where the rig listens.
        #[arg(value_name = "RIG")]
        testbed: SocketAddr,
    },
    /// Memory, processor time, bytes and waits of one proxy by the size of what it is told and asked, with
    /// straight lines through them, as JSON lines on standard output.
    Slopes {
        #[command(flatten)]
        arguments: SlopesArguments,
    },
}

/// What `scale fleet` plays.
#[derive(Args)]
struct ScaleFleetArguments {
    /// The script, TOML.
    script: PathBuf,
    /// Take this seed in place of the script's.
    #[arg(long)]
    seed: Option<u64>,
    /// The part of the script's proxies, services, backends and changes.
    #[arg(long, default_value_t = 1.0)]
    part: f64,
    /// Only the first so many steps.
    #[arg(long)]
    steps: Option<usize>,
    /// Control's program.
    #[arg(long, default_value = "target/release/control-plane")]
    control: PathBuf,
    /// The proxy's program.
    #[arg(long, default_value = "target/release/load-balancing-proxy")]
    proxy: PathBuf,
    /// Measure today's whole lists of so many backends as well; several with commas.
    #[arg(long, value_delimiter = ',')]
    lists: Vec<usize>,
    /// Append each figure to this file as a JSON line.
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
    let guard = std::env::current_exe()?;
    let machine = RunEnvironment {
        proxy: arguments.proxy,
        testbed_binary: guard,
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

/// What `scale slopes` measures.
#[derive(Args)]
struct SlopesArguments {
    /// The proxy's program.
    #[arg(long, default_value = "target/release/load-balancing-proxy")]
    proxy: PathBuf,
    /// Runs of every size, of which the medians count.
    #[arg(long, default_value_t = 5)]
    runs: usize,
    /// For the random numbers of the stand-ins.
    #[arg(long, default_value_t = 20_261_202)]
    seed: u64,
    /// Only this family (backends, tenants, config, classes, `idle_clients`, `open_requests`, rate, fleet,
    /// clients, `over_share`), or quantities whose name holds this.
    #[arg(long, default_value = "")]
    only: String,
    /// Sizes in place of the usual ones, with commas; for one family.
    #[arg(long, value_delimiter = ',')]
    sizes: Vec<usize>,
    /// How long a steady figure is measured, seconds; 99th percentiles want a second or more.
    #[arg(long, default_value_t = 1.5)]
    seconds: f64,
}

/// What `fleet` plays.
#[derive(Args)]
struct FleetArguments {
    /// The script, TOML.
    script: PathBuf,
    /// In virtual time in place of processes.
    #[arg(long = "virtual")]
    in_virtual_time: bool,
    /// The first seed in place of the script's.
    #[arg(long)]
    seed: Option<u64>,
    /// How many seeds, one after another.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Requests a second as a part of what keeps all boxes busy, in place of the script's; several with
    /// commas.
    #[arg(long, value_delimiter = ',')]
    load: Vec<f64>,
    /// The program.
    #[arg(long, default_value = "target/release/load-balancing-proxy")]
    proxy: PathBuf,
    /// Memory that each process is told, MB.
    #[arg(long, default_value_t = 32)]
    memory_mb: usize,
    /// Descriptors that each process may have.
    #[arg(long, default_value_t = 256)]
    descriptors: u64,
    /// Threads for the stand-ins; none given: a third of the cores.
    #[arg(long)]
    threads: Option<usize>,
    /// What this machine may be late by, milliseconds.
    #[arg(long, default_value_t = 150)]
    slack_ms: u64,
    /// Leave out the references.
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
    let order = slopes::Options { proxy, guard, runs, seed, only, sizes, seconds };
    for row in slopes::run(&order, |step| eprintln!("{step}"))? {
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
