//! The executable of the proxy server: command line, signals, exit code.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use external_processor::settings::{Settings as ExternalProcessor, SettingsError};
use http_proxy::config::{Config, ConfigError};
use http_proxy::log::{self, log};
use proxy_server::error::ProxyServerError;
use proxy_server::server::{self, FrontEnds};
use socket_io::retry;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::LocalSet;

/// A load-balancing HTTP/1.1 proxy built around one decision module.
///
/// Without a command it serves requests. Its configuration is the JSON file that `EDGE_CONFIG` names;
/// `EDGE_NAME`, `EDGE_LISTEN` and `EDGE_DISCOVERY` supply values that the file omits. SIGHUP reloads the
/// file. SIGTERM completes the accepted requests and exits with code 0.
#[derive(Parser)]
#[command(name = "load-balancing-proxy", version)]
struct Arguments {
    /// Enable the external processor with this settings file, TOML.
    #[arg(long, value_name = "FILE", env = "EDGE_EXTPROC")]
    extproc: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Validate a configuration, print its summary or its error, and exit.
    Check {
        /// The configuration file, JSON.
        config: PathBuf,
        /// The settings file of the external processor, TOML.
        #[arg(long, value_name = "FILE")]
        extproc: Option<PathBuf>,
    },
}

/// Why the executable failed.
#[derive(Debug, Error)]
enum ProgramError {
    /// The runtime could not be built, or the signal handlers could not be installed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The configuration is unreadable or invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The external processor's settings are unreadable or invalid.
    #[error(transparent)]
    ExternalProcessor(#[from] SettingsError),
    /// The proxy could not start, or ended without a stop signal.
    #[error(transparent)]
    Server(#[from] ProxyServerError),
}

/// The signals that the process handles.
struct Signals {
    stop: Signal,
    reload: Signal,
}

impl Signals {
    /// Installs the handlers. Until then each of these signals terminates the process, so this runs
    /// first.
    fn install() -> io::Result<Self> {
        Ok(Self { stop: signal(SignalKind::terminate())?, reload: signal(SignalKind::hangup())? })
    }
}

/// The number of threads for blocking disk I/O: one writes learned limits, one exclusions.
const DISK_THREADS: usize = 2;
/// The stack size of such a thread in bytes. It only writes one file.
const DISK_THREAD_STACK_BYTES: usize = 128 << 10;

/// How long the process waits before its exit for the log to be written.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(50);

/// How long calls at startup are retried after transient errors.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(3);
const STARTUP_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Calls `call` until it succeeds, fails permanently, or [`STARTUP_TIMEOUT`] has passed. Blocks the thread,
/// which has nothing to serve yet.
fn retry_at_startup<T, E>(
    call: impl FnMut() -> Result<T, E>,
    is_transient: impl Fn(&E) -> bool,
) -> Result<T, E> {
    retry::retry_blocking(Instant::now() + STARTUP_TIMEOUT, STARTUP_RETRY_DELAY, is_transient, call)
}

fn is_transient_config_error(error: &ConfigError) -> bool {
    matches!(error, ConfigError::Unreadable(_, error) if retry::is_transient_file_error(error))
}

fn serve(external_processor: Option<&Path>) -> Result<(), ProgramError> {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder.max_blocking_threads(DISK_THREADS).thread_stack_size(DISK_THREAD_STACK_BYTES);
    let runtime = retry_at_startup(|| builder.enable_all().build(), retry::is_transient_local_error)?;
    let result = LocalSet::new().block_on(&runtime, async {
        let Signals { mut stop, reload } = Signals::install()?;
        let stop = async move {
            stop.recv().await;
        };
        let external_processor = external_processor.map(ExternalProcessor::from_file).transpose()?;
        let http = retry_at_startup(Config::from_env, is_transient_config_error)?;
        server::serve(FrontEnds { http, external_processor }, stop, Some(reload), |_, _| ()).await?;
        Ok(())
    });
    // A blocked disk must not prevent the process from ending.
    runtime.shutdown_background();
    result
}

fn check(path: &Path, external_processor: Option<&Path>) -> Result<(), ProgramError> {
    let config = Config::from_file(path)?;
    let external_processor = external_processor
        .map(|path| Ok::<_, SettingsError>((path, ExternalProcessor::from_file(path)?)))
        .transpose()?;
    let settings = &config.settings;
    println!("{}: good", path.display());
    println!("  listens on {}, polls discovery at {}", config.listen, config.discovery);
    println!(
        "  {} classes, {} tenants, {} zones",
        settings.classes.len(),
        settings.tenants.len(),
        settings.zone_count
    );
    println!(
        "  at most {} connections from clients and {} to backends, {} bytes of large bodies",
        config.max_client_connections, config.max_backend_connections, config.large_body_budget_bytes
    );
    if let Some((path, settings)) = external_processor {
        let limits = &settings.limits;
        println!("{}: good", path.display());
        println!("  answers callers on {}, on {} connections", settings.listen, limits.connections);
        println!("  at most {} leases, {} requests in flight or retained", limits.leases, limits.retained);
    }
    Ok(())
}

fn main() -> ExitCode {
    let Arguments { extproc, command } = Arguments::parse();
    let result = match command {
        None => serve(extproc.as_deref()),
        Some(Command::Check { config, extproc }) => check(&config, extproc.as_deref()),
    };
    let code = match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log(format_args!("load-balancing-proxy: {error}"));
            ExitCode::FAILURE
        }
    };
    log::flush(LOG_FLUSH_TIMEOUT);
    code
}
