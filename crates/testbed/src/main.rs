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
use testbed::cost::{self, Figures, Load};
use testbed::fleet::{self, Machine, process_guard, report};
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
        order: FleetOrder,
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
        #[arg(long, default_value_t = 20)]
        boxes: usize,
        /// Connections of clients, one request at a time on each.
        #[arg(long, default_value_t = 16)]
        clients: usize,
        /// Requests that count, for each way and turn.
        #[arg(long, default_value_t = 30_000)]
        requests: usize,
        /// Turns of all three ways.
        #[arg(long, default_value_t = 5)]
        turns: usize,
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
        #[arg(long)]
        hold: Option<usize>,
    },
    /// Measure how costs grow: processes of the real program, at several sizes.
    Scale {
        #[command(subcommand)]
        scale: Scale,
    },
    /// Become a program that ends with whoever started it, under a limit on descriptors.
    #[command(hide = true)]
    Keep {
        /// The id of the process that starts it.
        parent: i32,
        /// Descriptors that it may have.
        descriptors: u64,
        /// The program and its arguments.
        #[arg(required = true, trailing_var_arg = true, allow_hyphen_values = true)]
        command: Vec<OsString>,
    },
    /// The minimal pass-through of `cost`, by itself.
    #[command(hide = true)]
    Pass {
        /// The boxes.
        boxes: Vec<SocketAddr>,
    },
}

/// What `scale` measures.
#[derive(Subcommand)]
enum Scale {
    /// Play a script of thousands of hollow proxies with real relays, sources, and some real proxies.
    Fleet(ScaleOrder),
    /// Hollow proxies, by themselves.
    #[command(hide = true)]
    Hollow {
        /// Where the rig listens.
        rig: SocketAddr,
    },
    /// Memory, processor time, bytes and waits of one proxy by the size of what it is told and asked, with
    /// straight lines through them, as JSON lines on standard output.
    Slopes {
        #[command(flatten)]
        order: SlopesOrder,
    },
}

/// What `scale fleet` plays.
#[derive(Args)]
struct ScaleOrder {
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

fn play_scale(order: ScaleOrder) -> Result<bool, Box<dyn Error>> {
    let mut out =
        order.json.as_ref().map(|path| File::options().create(true).append(true).open(path)).transpose()?;
    let mut script = ScaleScript::read(&order.script)?.part(order.part);
    script.seed = order.seed.unwrap_or(script.seed);
    script.step.truncate(order.steps.unwrap_or(usize::MAX));
    let keeper = std::env::current_exe()?;
    let machine =
        Machine { proxy: order.proxy, keeper, memory_mb: 32, descriptors: 256, threads: 1, slack: 0 };
    let setting = RunOptions { control: order.control, machine, lists: order.lists };
    let report = scale::fleet::play(&script, &setting)?;
    println!("{report}");
    let file = order.script.display();
    let steps = order.steps.map_or(String::new(), |steps| format!(" --steps {steps}"));
    let (part, seed) = (order.part, script.seed);
    let lists: Vec<String> = setting.lists.iter().map(ToString::to_string).collect();
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
struct SlopesOrder {
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
struct FleetOrder {
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

fn play_fleet(order: &FleetOrder) -> Result<bool, Box<dyn Error>> {
    let mut out =
        order.json.as_ref().map(|path| File::options().create(true).append(true).open(path)).transpose()?;
    let base = read(&order.script, order.seed)?;
    let cores = std::thread::available_parallelism().map_or(2, usize::from);
    let machine = Machine {
        proxy: order.proxy.clone(),
        keeper: std::env::current_exe()?,
        memory_mb: order.memory_mb,
        descriptors: order.descriptors,
        threads: order.threads.unwrap_or(cores.div_ceil(3)),
        slack: order.slack_ms * 1_000,
    };
    println!("{}, {} s, from seed {}", base.title, base.seconds, base.seed);
    println!("{}", report::head());
    let loads = if order.load.is_empty() {
        vec![base.traffic.per_s / base.capacity_per_s()]
    } else {
        order.load.clone()
    };
    let mut clean = true;
    for (load, seed) in loads.iter().flat_map(|&load| (0..order.seeds).map(move |s| (load, base.seed + s))) {
        let mut script = base.clone();
        script.seed = seed;
        script.traffic.per_s = load * script.capacity_per_s();
        script.check()?;
        let mut rows = if order.no_references { Vec::new() } else { report::references(&script) };
        rows.push(if order.in_virtual_time {
            report::in_virtual_time(&script)?
        } else {
            fleet::play(&script, &machine)?
        });
        for row in &rows {
            println!("{}", report::line(row));
            if let Some(out) = &mut out {
                writeln!(out, "{}", serde_json::to_string(row)?)?;
            }
        }
        clean &= rows.last().is_some_and(report::Row::is_clean);
    }
    Ok(clean)
}

fn measure_slopes(order: SlopesOrder) -> Result<bool, Box<dyn Error>> {
    let SlopesOrder { proxy, runs, seed, only, sizes, seconds } = order;
    let keeper = std::env::current_exe()?;
    let order = slopes::Order { proxy, keeper, runs, seed, only, sizes, seconds };
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
    print!("{}", report::compare(&rows));
    Ok(true)
}

fn read(path: &Path, seed: Option<u64>) -> Result<Script, Box<dyn Error>> {
    let mut script = Script::read(path)?;
    script.seed = seed.unwrap_or(script.seed);
    Ok(script)
}

fn play_virtual(script: &Script) -> Result<bool, Box<dyn Error>> {
    println!("{} (seed {})", script.title, script.seed);
    let report = virtual_time::play(script)?;
    println!("{}", report.judgement);
    println!("{:?}\n{:?}", report.counts, report.leases);
    println!("{} events; left open: {}", report.events, report.left_open);
    Ok(report.judgement.is_clean() && report.left_open == 0)
}

fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_unstable_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

fn measure(load: &Load) -> Result<bool, Box<dyn Error>> {
    println!("{} boxes, {} connections, {} requests a turn", load.boxes, load.clients, load.requests);
    println!("turn  way       cpu us   req/s   p50 us   p99 us    MB");
    let rows = cost::measure(load)?;
    for (turn, row) in rows.iter().enumerate() {
        for (way, f) in ["direct", "pass", "proxy"].iter().zip(row) {
            println!(
                "{turn:>4}  {way:<7} {:>8.1} {:>7.0} {:>8.0} {:>8.0} {:>5.1}",
                f.cpu_us, f.per_s, f.p50_us, f.p99_us, f.memory_mb
            );
        }
    }
    let ratio = |of: fn(&Figures) -> f64| median(rows.iter().map(|r| of(&r[2]) / of(&r[1])));
    let added = |of: fn(&Figures) -> f64, way: usize| median(rows.iter().map(|r| of(&r[way]) - of(&r[0])));
    println!("proxy over pass-through, median of the turns' ratios:");
    println!("  CPU a request {:.2}, requests a second {:.2}", ratio(|f| f.cpu_us), ratio(|f| f.per_s));
    println!(
        "added to direct, median: pass-through p50 {:.0} p99 {:.0} us; proxy p50 {:.0} p99 {:.0} us",
        added(|f| f.p50_us, 1),
        added(|f| f.p99_us, 1),
        added(|f| f.p50_us, 2),
        added(|f| f.p99_us, 2)
    );
    Ok(true)
}

fn measure_connections(seconds: f64, seed: u64, only: &str) -> Result<bool, Box<dyn Error>> {
    println!("one proxy, {seconds} s a case, seed {seed}; no box is sick, so every ejection is a wrong one");
    println!("{}", connection_fault_matrix::HEAD);
    let mut clean = true;
    for case in connection_fault_matrix::cases(seconds, seed) {
        let name = format!("{:?}", case.what).to_lowercase();
        if name.contains(&only.to_lowercase()) {
            let row = case.play()?;
            println!("{row}");
            clean &= row.day.judgement.is_clean();
        }
    }
    Ok(clean)
}

fn run(command: Command) -> Result<bool, Box<dyn Error>> {
    match command {
        Command::Demo => Ok(demo::demo()?.is_clean()),
        Command::Sockets { script, seed, slack_ms } => {
            Ok(demo::play(&read(&script, seed)?, slack_ms * 1_000)?.is_clean())
        }
        Command::Virtual { script, seed } => play_virtual(&read(&script, seed)?),
        Command::Fleet { order } => play_fleet(&order),
        Command::Compare { files } => compare(&files),
        Command::Matrix { seconds, seed, only } => measure_connections(seconds, seed, &only),
        Command::Cost { boxes, clients, requests, turns, proxy } => {
            measure(&Load { boxes, clients, requests, turns, proxy })
        }
        Command::Callers { campaign, hold: Some(leases) } => {
            let (memory_before, memory_with_leases, granted) =
                callers::measure_lease_memory(&campaign, leases)?;
            println!(
                "{granted} open leases, {} backends: {memory_before:.1} MB -> {memory_with_leases:.1} MB",
                campaign.boxes
            );
            Ok(granted > 0)
        }
        Command::Callers { campaign, hold: None } => {
            println!("{campaign}");
            let result = callers::run(&campaign)?;
            println!("{result}");
            Ok(result.finished_requests() == campaign.requests as u64 && result.effects.1 == 0)
        }
        Command::Scale { scale: Scale::Fleet(order) } => play_scale(order),
        Command::Scale { scale: Scale::Hollow { rig } } => {
            scale::fleet::simulated_proxy::serve(rig)?;
            Ok(true)
        }
        Command::Scale { scale: Scale::Slopes { order } } => measure_slopes(order),
        Command::Keep { parent, descriptors, command } => {
            Err(process_guard::become_program(parent, descriptors, &command).into())
        }
        Command::Pass { boxes } => {
            cost::pass_through(&boxes)?;
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
