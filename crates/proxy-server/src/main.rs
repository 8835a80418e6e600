//! The proxy's program: arguments, signals, exit code.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use external_processor::settings::Settings as ExternalProcessor;
use http_proxy::config::{Config, ConfigError};
use http_proxy::log::{self, log};
use proxy_server::server::{self, FrontEnds};
use socket_io::retry;
use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::LocalSet;

/// A load-balancing HTTP/1.1 proxy round one decision module.
///
/// Without a command it serves. Its configuration is the JSON file that `EDGE_CONFIG` names; `EDGE_NAME`, `EDGE_LISTEN` and
/// `EDGE_DISCOVERY` fill in what the file leaves out. SIGHUP reads the file again, SIGTERM finishes what was taken and
/// ends with code 0.
#[derive(Parser)]
#[command(name = "load-balancing-proxy", version)]
struct Arguments {
    /// Switch the external processor on, with these settings, TOML.
    #[arg(long, value_name = "FILE", env = "EDGE_EXTPROC")]
    extproc: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Read a configuration, say what it comes to or what is wrong with it, and end.
    Check {
        /// The configuration, JSON.
        config: PathBuf,
        /// The external processor's settings, TOML.
        #[arg(long, value_name = "FILE")]
        extproc: Option<PathBuf>,
    },
}

/// The signals that do not end the process.
struct Signals {
    stop: Signal,
    reload: Signal,
}

impl Signals {
    /// Takes them over. Until then either ends the process, so this comes before anything else.
    fn install() -> std::io::Result<Self> {
        Ok(Self { stop: signal(SignalKind::terminate())?, reload: signal(SignalKind::hangup())? })
    }
}

/// Threads that may wait for a disk, so that serving does not: one keeps what was learnt, and bans are kept one at a time.
const DISK_THREADS: usize = 2;
/// Their stacks, bytes: they write a file.
const DISK_STACK: usize = 128 << 10;

/// How long an ending process waits for whoever reads its log.
const LOG_TIMEOUT: Duration = Duration::from_millis(50);

/// For how long the first calls of a process are made again where they fail for a moment.
const FIRST_TIMEOUT: Duration = Duration::from_secs(3);
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Makes one of the first calls, before there is anything to serve, until it succeeds or fails for good.
fn first<T, E>(mut call: impl FnMut() -> Result<T, E>, is_passing: impl Fn(&E) -> bool) -> Result<T, E> {
    let end = Instant::now() + FIRST_TIMEOUT;
    loop {
        match call() {
            Err(error) if is_passing(&error) && Instant::now() < end => thread::sleep(FIRST_RETRY_DELAY),
            done => return done,
        }
    }
}

fn serve(extproc: Option<&Path>) -> Result<(), Box<dyn Error>> {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder.max_blocking_threads(DISK_THREADS).thread_stack_size(DISK_STACK);
    let runtime = first(|| builder.enable_all().build(), retry::is_local)?;
    let served = LocalSet::new().block_on(&runtime, async {
        let Signals { mut stop, reload } = Signals::install()?;
        let stop = async move {
            stop.recv().await;
        };
        let extproc = extproc.map(ExternalProcessor::from_file).transpose()?;
        let is_passing = |error: &ConfigError| matches!(error, ConfigError::Unreadable(_, error) if retry::is_of_disk(error));
        let fronts = FrontEnds { http: first(Config::from_env, is_passing)?, extproc };
        server::serve(fronts, stop, Some(reload), |_, _| ()).await?;
        Ok(())
    });
    // A disk that does not answer keeps nobody from ending.
    runtime.shutdown_background();
    served
}

fn check(path: &Path, extproc: Option<&Path>) -> Result<(), Box<dyn Error>> {
    let config = Config::from_file(path)?;
    let extproc = extproc
        .map(|path| Ok::<_, Box<dyn Error>>((path, ExternalProcessor::from_file(path)?)))
        .transpose()?;
    let settings = &config.settings;
    println!("{}: good", path.display());
    println!("  listens on {}, follows discovery at {}", config.listen, config.discovery);
    println!(
        "  {} classes, {} tenants, {} zones",
        settings.classes.len(),
        settings.tenants.len(),
        settings.zone_count
    );
    println!(
        "  at most {} connections from clients and {} to backends, {} bytes of large bodies",
        config.client_sockets, config.backend_sockets, config.large_body_bytes
    );
    if let Some((path, extproc)) = extproc {
        let bounds = &extproc.bounds;
        println!("{}: good", path.display());
        println!("  answers callers on {}, on {} connections", extproc.listen, bounds.connections);
        println!("  at most {} leases, {} requests held or remembered", bounds.leases, bounds.remembered);
    }
    Ok(())
}

fn main() -> ExitCode {
    let Arguments { extproc, command } = Arguments::parse();
    let done = match command {
        None => serve(extproc.as_deref()),
        Some(Command::Check { config, extproc }) => check(&config, extproc.as_deref()),
    };
    let code = match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log(format_args!("load-balancing-proxy: {error}"));
            ExitCode::FAILURE
        }
    };
    log::flush(LOG_TIMEOUT);
    code
}
