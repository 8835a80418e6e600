//! The proxy's program: arguments, signals, exit code.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use haventrack_proxy::config::Config;
use haventrack_proxy::log::log;
use haventrack_proxy::program;
use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::LocalSet;

/// A load-balancing HTTP/1.1 proxy round one decision module.
///
/// Without a command it serves. Its configuration is the JSON file that EDGE_CONFIG names; EDGE_NAME, EDGE_LISTEN and
/// EDGE_DISCOVERY fill in what the file leaves out. SIGHUP reads the file again, SIGTERM finishes what was taken and
/// ends with code 0.
#[derive(Parser)]
#[command(name = "haventrack-proxy", version)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Read a configuration, say what it comes to or what is wrong with it, and end.
    Check {
        /// The configuration, JSON.
        config: PathBuf,
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

fn serve() -> Result<(), Box<dyn Error>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let Signals { mut stop, reload } = Signals::install()?;
        let stop = async move {
            stop.recv().await;
        };
        program::serve(Config::from_env()?, stop, Some(reload), |_, _| ()).await?;
        Ok(())
    })
}

fn check(path: &Path) -> Result<(), Box<dyn Error>> {
    let config = Config::from_file(path)?;
    let settings = &config.settings;
    println!("{}: good", path.display());
    println!("  listens on {}, follows discovery at {}", config.listen, config.discovery);
    println!(
        "  {} classes, {} tenants, {} zones",
        settings.classes.len(),
        settings.tenants.len(),
        settings.zones
    );
    println!(
        "  at most {} connections from clients and {} to backends, {} bytes of large answers",
        config.client_sockets, config.backend_sockets, config.large_answers
    );
    Ok(())
}

fn main() -> ExitCode {
    let done = match Arguments::parse().command {
        None => serve(),
        Some(Command::Check { config }) => check(&config),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log(format_args!("haventrack-proxy: {error}"));
            ExitCode::FAILURE
        }
    }
}
