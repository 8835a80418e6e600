//! The external processor of a campaign, and its configuration.

use super::CallersError;
use super::ledger::{BACKENDS_PER_CELL, backend_address};
use crate::cost::{CostError, Intermediary, serve_backend_list, wait_until_up};
use external_processor::settings::Settings;
use http_proxy::config::Config;
use http_proxy::transport::EngineHandle;
use proxy_server::server::{self, BoundAddresses, FrontEnds};
use serde_json::json;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::thread::JoinHandle;
use std::{env, fmt, fs};
use tokio::sync::oneshot;
use tokio::task::LocalSet;

fn config(backends: usize, discovery: SocketAddr) -> String {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "effect": effect, "group": "cell", "keyTtlUs": 3_000_000, "aimUs": 2_000_000,
            "deadlineUs": 5_000_000, "worth": 1.0, "lateWorth": 0.5})
    };
    json!({"name": "callers", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "7",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024 + 4 * backends},
        "known": {"revision": 0, "complete": true, "members": []},
        "settings": {"me": 0, "balancers": 1, "zone": 0, "failureDomains": ["z0"], "kinds": ["box"],
            "membershipMode": "pushed",
            "classes": [class("read", "retryable"), class("submit", "dedup"), class("charge", "fragile")],
            "permissions": {"maxAttempts": 3, "connIdleUs": 60_000_000, "retryAfter": true,
                "maxRetryAfterUs": 1_000_000, "dialTimeoutUs": 250_000},
            "safety": {"coldFrom": 0.33, "coldUs": 8_000_000, "fallMultiple": 3.0, "fallUs": 2_000_000}}})
    .to_string()
}

/// Configuration of the external processor's gRPC front end, TOML.
const EXTERNAL_PROCESSOR_CONFIG: &str = "listen = \"127.0.0.1:0\"\n";

/// The processor: a separate process, whose CPU time and memory the operating system reports, or a thread of
/// this process, for which these are not measured.
pub(super) enum Processor {
    Process { intermediary: Intermediary, files: [PathBuf; 2] },
    Thread { bound: BoundAddresses, stop: Option<oneshot::Sender<()>>, thread: Option<JoinHandle<()>> },
}

impl Drop for Processor {
    fn drop(&mut self) {
        match self {
            Self::Process { files, .. } => files.iter().for_each(|file| drop(fs::remove_file(file))),
            Self::Thread { stop, thread, .. } => {
                drop(stop.take());
                thread.take().map(JoinHandle::join);
            }
        }
    }
}

impl Processor {
    /// Starts the processor, and waits until it has received its backends from discovery.
    ///
    /// # Errors
    /// Where it cannot be started, or is not ready in time.
    pub(super) async fn start(program: Option<&Path>, backends: usize) -> Result<Self, CallersError> {
        let addresses: Vec<SocketAddr> = (0..backends).map(backend_address).collect();
        let config = config(backends, serve_backend_list(&addresses, BACKENDS_PER_CELL).await?);
        let processor = match program {
            Some(program) => Self::start_process(program, &config)?,
            None => Self::start_thread(&config)?,
        };
        let client_address = match &processor {
            Self::Process { intermediary, .. } => intermediary.address,
            Self::Thread { bound, .. } => bound.clients,
        };
        wait_until_up(client_address).await?;
        Ok(processor)
    }

    fn start_process(program: &Path, config: &str) -> Result<Self, CallersError> {
        let file =
            |name: &str| env::temp_dir().join(format!("testbed-callers-{}.{name}", std::process::id()));
        let files = [file("json"), file("toml")];
        fs::write(&files[0], config)?;
        fs::write(&files[1], EXTERNAL_PROCESSOR_CONFIG)?;
        let mut command = Command::new(program);
        command.env("EDGE_CONFIG", &files[0]).arg("--extproc").arg(&files[1]);
        let intermediary = Intermediary::start(command, Some("answers callers on "))?;
        Ok(Self::Process { intermediary, files })
    }

    fn start_thread(config: &str) -> Result<Self, CallersError> {
        let start_error =
            |e: &dyn fmt::Display| CallersError::Process(CostError::Intermediary(e.to_string()));
        let http = Config::parse(config.as_bytes(), |_| None).map_err(|e| start_error(&e))?;
        let extproc = Settings::parse(EXTERNAL_PROCESSOR_CONFIG, Path::new("extproc.toml"))
            .map_err(|e| start_error(&e))?;
        let front_ends = FrontEnds { http, external_processor: Some(extproc) };
        let (stop, stopped) = oneshot::channel::<()>();
        let (address_sender, address_receiver) = std::sync::mpsc::channel();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let thread = std::thread::spawn(move || {
            let stop = async {
                let _ = stopped.await;
            };
            let started = move |_: &EngineHandle, bound| {
                let _ = address_sender.send(bound);
            };
            let served = LocalSet::new().block_on(&runtime, server::serve(front_ends, stop, None, started));
            if let Err(error) = served {
                eprintln!("the external processor failed: {error}");
            }
        });
        let bound = address_receiver
            .recv()
            .map_err(|_| start_error(&"the external processor ended before it listened"))?;
        Ok(Self::Thread { bound, stop: Some(stop), thread: Some(thread) })
    }

    /// The address at which the processor accepts callers.
    ///
    /// # Errors
    /// Where the processor has reported none.
    pub(super) fn caller_address(&self) -> Result<SocketAddr, CallersError> {
        let address = match self {
            Self::Process { intermediary, .. } => intermediary.second_address,
            Self::Thread { bound, .. } => bound.external_processor,
        };
        address.ok_or_else(|| {
            CallersError::Process(CostError::Intermediary(
                "the program reported no address for callers".into(),
            ))
        })
    }

    /// CPU time so far, seconds, and resident memory, MB; zeros for a thread.
    ///
    /// # Errors
    /// Where the process has ended.
    pub(super) fn usage(&self) -> Result<(f64, f64), CallersError> {
        match self {
            Self::Process { intermediary, .. } => Ok(intermediary.resource_use()?),
            Self::Thread { .. } => Ok((0.0, 0.0)),
        }
    }
}
