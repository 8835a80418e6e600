//! Source, relay and agent: arguments, signals, exit code.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use control_plane::config::Config;
use control_plane::shell::{agent, relay, source, writer};
use std::error::Error;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;
use tracing_subscriber::EnvFilter;

/// Distribution of control state: a source of truth for each region, relays, and an agent beside each proxy.
///
/// Each reads its own section of the configuration (deploy/control.toml shows all keys). SIGTERM ends them with code 0; a
/// source keeps its records first.
#[derive(Parser)]
#[command(name = "control-plane", version)]
struct Arguments {
    /// What the log says, on standard error: `warn`, `info`, `debug`, or by module as in `info,control_plane::shell=debug`.
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
    Source(File),
    /// Run a relay.
    Relay(File),
    /// Run the agent of a proxy.
    Agent(File),
    /// Read a configuration, say what it comes to or what is wrong with it, and end.
    Check {
        /// The configuration, TOML.
        config: PathBuf,
    },
    /// Make changes at a source, all or none, and say the version of the last one.
    Write {
        /// Where the source listens.
        #[arg(long, value_name = "IP:PORT")]
        source: SocketAddr,
        /// Make them in parts that fit into a message each, each part whole or not at all.
        #[arg(long)]
        parts: bool,
        /// The changes, JSON; docs/operators/control.md says how.
        changes: PathBuf,
    },
}

#[derive(clap::Args)]
struct File {
    /// The configuration, TOML.
    #[arg(long, value_name = "FILE", env = "HAVENTRACK_CONTROL_CONFIG")]
    config: PathBuf,
}

/// A process that serves: one thread, until SIGTERM or SIGINT.
fn serve(command: &Command) -> Result<(), Box<dyn Error>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        // Until they are taken over signals end the process at once, so this comes first.
        let (mut terminate, mut interrupt) =
            (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
        let stop = async move {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
        };
        match command {
            Command::Source(File { config: path }) => {
                let config = Config::from_file(path)?;
                source::run(config.source(path)?, &config.pace, stop).await?;
            }
            Command::Relay(File { config: path }) => {
                let config = Config::from_file(path)?;
                relay::run(config.relay(path)?, &config.pace, stop).await?;
            }
            Command::Agent(File { config: path }) => {
                let config = Config::from_file(path)?;
                agent::run(config.agent(path)?, stop).await?;
            }
            Command::Write { source, parts, changes: path } => {
                let text = std::fs::read(path).map_err(|e| format!("cannot read {}: {e}", path.display()))?;
                let changes = writer::changes(&text).map_err(|e| format!("{}: {e}", path.display()))?;
                let count = changes.len();
                let mut writer = writer::Writer::connect(*source).await?;
                let last = match parts {
                    true => writer.write_parts(changes).await?,
                    false => Some(writer.write(changes).await?),
                };
                if let Some(last) = last {
                    println!(
                        "{count} changes made, the last is change {} of epoch {}",
                        last.revision, last.epoch
                    );
                }
            }
            Command::Check { config } => check(config)?,
        }
        Ok(())
    })
}

fn check(path: &Path) -> Result<(), Box<dyn Error>> {
    let config = Config::from_file(path)?;
    println!("{}: good", path.display());
    if let Some(source) = &config.source {
        println!("  source `{}` (number {}) listens on {}", source.name, source.id, source.listen);
        println!("  keeps its records in {} each {} ms", source.snapshot.display(), source.snapshot_every_ms);
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
    let pace = &config.pace;
    println!(
        "  to an agent {} bytes a second and {} at once, to a relay {} and {}",
        pace.agent_bytes_per_s, pace.agent_burst, pace.relay_bytes_per_s, pace.relay_burst
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
    match serve(&command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("control-plane: {error}");
            ExitCode::FAILURE
        }
    }
}
