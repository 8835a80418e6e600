//! The control plane's executable: arguments, signals and exit codes of the source, relay and agent processes
//! and of the operators' commands.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use control_plane::config::{Config, ConfigError};
use control_plane::runtime::change_file::{ChangeFileError, parse_changes};
use control_plane::runtime::writer::{Writer, WriterError};
use control_plane::runtime::{RuntimeError, agent, relay, source};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;
use tracing_subscriber::EnvFilter;

/// Distribution of control state: a source of truth for each region, relays, and an agent beside each proxy.
///
/// Each process reads its own section of the configuration (deploy/control.toml shows all keys). On
/// SIGTERM it exits with code 0; a source persists its records first.
#[derive(Parser)]
#[command(name = "control-plane", version)]
struct Arguments {
    /// Filter of the log on standard error: `warn`, `info`, `debug`, or by module as in
    /// `info,control_plane::runtime=debug`.
    #[arg(
        long,
        global = true,
        value_name = "FILTER",
        env = "HAVENTRACK_CONTROL_LOG",
        default_value = "info"
    )]
    log: String,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a source of truth.
    Source(ConfigFile),
    /// Run a relay.
    Relay(ConfigFile),
    /// Run the agent of a proxy.
    Agent(ConfigFile),
    /// Validate a configuration, print its summary or its error, and exit.
    Check {
        /// The configuration file, TOML.
        config: PathBuf,
    },
    /// Apply changes at a source atomically, and print the version of the last one.
    Write {
        /// The address on which the source listens.
        #[arg(long, value_name = "IP:PORT")]
        source: SocketAddr,
        /// Split the changes into parts that each fit into one message; each part is applied atomically.
        #[arg(long)]
        parts: bool,
        /// The file of changes, JSON; docs/operators/control.md describes the format.
        changes: PathBuf,
    },
}

#[derive(clap::Args)]
struct ConfigFile {
    /// The configuration file, TOML.
    #[arg(long, value_name = "FILE", env = "HAVENTRACK_CONTROL_CONFIG")]
    config: PathBuf,
}

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    /// The configuration is missing or invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The source, relay or agent could not start or continue.
    #[error(transparent)]
    Runtime(#[from] RuntimeError),
    /// The async runtime or a signal handler could not be created.
    #[error(transparent)]
    System(#[from] io::Error),
    /// The file of changes cannot be read.
    #[error("cannot read {path}: {error}", path = path.display())]
    UnreadableChanges { path: PathBuf, error: io::Error },
    /// The file of changes is invalid.
    #[error("{path}: {error}", path = path.display())]
    InvalidChanges { path: PathBuf, error: ChangeFileError },
    /// The changes were not applied, or may not have been.
    #[error(transparent)]
    Writer(#[from] WriterError),
}

/// Runs a command on a single-threaded runtime. Source, relay and agent run until SIGTERM or SIGINT.
fn run(command: &Command) -> Result<(), CommandError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        // The handlers are installed first: before that, a signal terminates the process without an orderly
        // shutdown.
        let shutdown = shutdown_signal()?;
        match command {
            Command::Source(ConfigFile { config: path }) => {
                let config = Config::from_file(path)?;
                source::run(config.source(path)?, &config.rate_limit, shutdown).await?;
            }
            Command::Relay(ConfigFile { config: path }) => {
                let config = Config::from_file(path)?;
                relay::run(config.relay(path)?, &config.rate_limit, shutdown).await?;
            }
            Command::Agent(ConfigFile { config: path }) => {
                let config = Config::from_file(path)?;
                agent::run(config.agent(path)?, shutdown).await?;
            }
            Command::Write { source, parts, changes } => write(*source, *parts, changes).await?,
            Command::Check { config } => check(config)?,
        }
        Ok(())
    })
}

/// Installs handlers for SIGTERM and SIGINT. Returns a future that completes when the first signal arrives.
fn shutdown_signal() -> io::Result<impl Future<Output = ()>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    Ok(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    })
}

/// Applies the changes in a file at a source: in one atomic request, or with `in_parts` in several requests
/// that each fit into one message.
async fn write(source: SocketAddr, in_parts: bool, path: &Path) -> Result<(), CommandError> {
    let text = std::fs::read(path)
        .map_err(|error| CommandError::UnreadableChanges { path: path.to_owned(), error })?;
    let changes = parse_changes(&text)
        .map_err(|error| CommandError::InvalidChanges { path: path.to_owned(), error })?;
    let count = changes.len();
    let mut writer = Writer::connect(source).await?;
    let last = if in_parts { writer.write_parts(changes).await? } else { Some(writer.write(changes).await?) };
    if let Some(last) = last {
        println!("{count} changes made, the last is change {} of epoch {}", last.revision, last.epoch);
    }
    Ok(())
}

/// Validates a configuration and prints its summary.
fn check(path: &Path) -> Result<(), CommandError> {
    let config = Config::from_file(path)?;
    println!("{}: good", path.display());
    if let Some(source) = &config.source {
        println!("  source `{}` (number {}) listens on {}", source.name, source.id, source.listen);
        println!(
            "  persists its records in {} every {} ms",
            source.snapshot_path.display(),
            source.snapshot_interval_ms
        );
    }
    if let Some(relay) = &config.relay {
        println!("  relay `{}` listens on {}, {} sources", relay.name, relay.listen, relay.sources.len());
    }
    if let Some(agent) = &config.agent {
        println!("  agent `{}` answers discovery on {}", agent.name, agent.listen);
        println!(
            "  {} services, {} sources, {} relays",
            agent.services.len(),
            agent.sources.len(),
            agent.relays.len()
        );
    }
    let limits = &config.rate_limit;
    println!(
        "  rate limits: to an agent {} bytes/s, burst {} bytes; to a relay {} bytes/s, burst {} bytes",
        limits.agent_bytes_per_s,
        limits.agent_burst_bytes,
        limits.relay_bytes_per_s,
        limits.relay_burst_bytes
    );
    Ok(())
}

fn main() -> ExitCode {
    let Arguments { log, command } = Arguments::parse();
    let filter = match EnvFilter::try_new(&log) {
        Ok(filter) => filter,
        Err(error) => {
            eprintln!("control-plane: `--log {log}`: {error}");
            return ExitCode::FAILURE;
        }
    };
    tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).with_ansi(false).init();
    match run(&command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("control-plane: {error}");
            ExitCode::FAILURE
        }
    }
}
