//! The measured proxy process: the real program, started so that it ends with this process, and the kernel's
//! statistics of it.

use super::ScaleError;
use crate::address::ReservedPort;
use crate::fleet::{TempFolder, process_guard};
use crate::http1;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::json;
use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Stdio};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep};

/// Time limit for the start and for a reload of the configuration; hundreds of thousands of tenants take
/// seconds.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The configured memory limit, MB. The proxy derives limits from it, which must not reject any measured
/// connection.
const MEMORY_MB: usize = 4_096;
/// Response deadline of each class, microseconds: longer than requests are in flight in any measurement.
const DEADLINE_US: u64 = 120_000_000;
/// Log text after a successful reload of the configuration.
const RELOADED_LOG_TEXT: &str = "reloaded the configuration";
const RELOAD_FAILED_LOG_TEXT: &str = "reload failed";

/// What a generated configuration contains.
#[derive(Clone, Copy, Debug)]
pub(super) struct SettingsSpec {
    pub(super) classes: usize,
    pub(super) tenants: usize,
    /// Quota of each tenant, requests per second.
    pub(super) allowance_per_s: f64,
}

impl Default for SettingsSpec {
    fn default() -> Self {
        Self { classes: 1, tenants: 0, allowance_per_s: 1_000.0 }
    }
}

pub(super) fn class_name(number: usize) -> String {
    format!("class-{number}")
}

/// A tenant's name, of a realistic length.
pub(super) fn tenant_name(number: usize) -> String {
    format!("tenant-{number:06}")
}

/// Returns a configuration as JSON. `config_version` alternates the maximum number of attempts, so that each
/// reload changes something. Changed classes would each use one of the proxy's few class slots.
fn config(
    spec: &SettingsSpec,
    config_version: u64,
    listen: SocketAddr,
    discovery: SocketAddr,
    descriptors: u64,
) -> String {
    let attempts = 3 + config_version % 2;
    let classes = (0..spec.classes).map(|number| {
        json!({"name": class_name(number), "aimUs": 2_000_000, "deadlineUs": DEADLINE_US, "worth": 1.0,
            "lateWorth": 0.5, "effect": "retryable"})
    });
    let tenants = (0..spec.tenants)
        .map(|number| json!({"name": tenant_name(number), "allowancePerS": spec.allowance_per_s}));
    json!({"name": "scale", "listen": listen.to_string(), "discovery": discovery.to_string(), "seed": "7",
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": descriptors},
        "known": {"revision": 0, "complete": true, "members": []},
        "settings": {"me": 0, "balancers": 1, "zone": 0, "failureDomains": ["z0"], "kinds": ["box"],
            "membershipMode": "pushed", "classes": classes.collect::<Vec<_>>(),
            "tenants": tenants.collect::<Vec<_>>(), "overShareWorth": 0.5,
            "permissions": {"maxAttempts": attempts, "connIdleUs": 60_000_000, "retryAfter": true,
                "maxRetryAfterUs": 1_000_000, "dialTimeoutUs": 1_000_000},
            "safety": {"coldFrom": 0.33, "coldUs": 8_000_000, "fallMultiple": 3.0, "fallUs": 2_000_000}}})
    .to_string()
}

/// Memory of the process as the kernel reports it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Memory {
    /// Current resident memory, bytes.
    pub(super) resident: f64,
    /// Peak resident memory, bytes.
    pub(super) peak: f64,
}

/// The proxy process; killed on drop.
pub(super) struct ProxyProcess {
    child: Child,
    listen: ReservedPort,
    discovery: SocketAddr,
    descriptors: u64,
    spec: SettingsSpec,
    config_version: u64,
    config_path: PathBuf,
    log_path: PathBuf,
    /// Removed after the process has ended.
    _folder: TempFolder,
}

impl Drop for ProxyProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl ProxyProcess {
    /// Starts the process and waits until `/up` returns 200.
    pub(super) async fn start(
        (proxy, guard): (&Path, &Path),
        descriptors: u64,
        discovery: SocketAddr,
        spec: SettingsSpec,
    ) -> Result<Self, ScaleError> {
        let folder = TempFolder::new()?;
        let listen = ReservedPort::new(Ipv4Addr::LOCALHOST)?;
        let (config_path, log_path) = (folder.path().join("config.json"), folder.path().join("log"));
        fs::write(&config_path, config(&spec, 0, listen.address(), discovery, descriptors))?;
        let child = process_guard::command(guard, descriptors, proxy)
            .env_remove("EDGE_CONSOLE")
            .env_remove("EDGE_EXTPROC")
            .env("EDGE_CONFIG", &config_path)
            .env("TMPDIR", folder.path())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(File::create(&log_path)?)
            .spawn()?;
        let mut process = Self {
            child,
            listen,
            discovery,
            descriptors,
            spec,
            config_version: 0,
            config_path,
            log_path,
            _folder: folder,
        };
        process.wait_for("up", async |process| Ok(process.is_up().await)).await?;
        Ok(process)
    }

    /// The address that accepts clients.
    pub(super) fn address(&self) -> SocketAddr {
        self.listen.address()
    }

    async fn is_up(&self) -> bool {
        let response = async {
            let mut stream = TcpStream::connect(self.address()).await?;
            stream.write_all(b"GET /up HTTP/1.1\r\nHost: rig\r\nConnection: close\r\n\r\n").await?;
            http1::read(&mut stream, &mut Vec::new(), http1::MessageKind::Response).await
        };
        response.await.ok().flatten().is_some_and(|response| response.status == 200)
    }

    /// Polls `is_done` until it returns true; fails if the process ends or the time limit is reached.
    async fn wait_for(
        &mut self,
        state: &str,
        is_done: impl AsyncFn(&Self) -> Result<bool, ScaleError>,
    ) -> Result<(), ScaleError> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while !is_done(self).await? {
            if let Some(status) = self.child.try_wait()? {
                return Err(ScaleError::Proxy(format!(
                    "the process ended ({status}): {}",
                    self.last_log_lines()
                )));
            }
            if Instant::now() > deadline {
                let seconds = READY_TIMEOUT.as_secs();
                return Err(ScaleError::Proxy(format!(
                    "not {state} after {seconds} s: {}",
                    self.last_log_lines()
                )));
            }
            sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Writes a changed configuration and reloads it; returns after the log has confirmed the reload. The
    /// result is the configuration's size in bytes.
    pub(super) async fn reload(&mut self) -> Result<usize, ScaleError> {
        let before = self.log_count(RELOADED_LOG_TEXT)?;
        self.config_version += 1;
        let text = config(&self.spec, self.config_version, self.address(), self.discovery, self.descriptors);
        fs::write(&self.config_path, &text)?;
        let id = i32::try_from(self.child.id()).map_err(std::io::Error::other)?;
        kill(Pid::from_raw(id), Signal::SIGHUP).map_err(std::io::Error::from)?;
        self.wait_for("reloaded", async |process| {
            if process.log_count(RELOAD_FAILED_LOG_TEXT)? > 0 {
                return Err(ScaleError::Proxy(process.last_log_lines()));
            }
            Ok(process.log_count(RELOADED_LOG_TEXT)? > before)
        })
        .await?;
        Ok(text.len())
    }

    fn log_count(&self, text: &str) -> Result<usize, ScaleError> {
        Ok(fs::read_to_string(&self.log_path)?.matches(text).count())
    }

    fn last_log_lines(&self) -> String {
        let text = fs::read_to_string(&self.log_path).unwrap_or_default();
        text.lines().rev().take(2).collect::<Vec<_>>().join(" | ")
    }

    fn proc_file(&self, path: &str) -> Result<String, ScaleError> {
        Ok(fs::read_to_string(Path::new("/proc").join(self.child.id().to_string()).join(path))?)
    }

    /// CPU time so far of all threads that still run, microseconds; the kernel counts nanoseconds.
    pub(super) fn cpu_us(&self) -> Result<f64, ScaleError> {
        let mut cpu_us = 0.0;
        for thread in fs::read_dir(Path::new("/proc").join(self.child.id().to_string()).join("task"))? {
            // A thread may end after the directory was listed.
            let text = fs::read_to_string(thread?.path().join("schedstat")).unwrap_or_default();
            let cpu_ns = text.split_whitespace().next().and_then(|field| field.parse::<f64>().ok());
            cpu_us += cpu_ns.unwrap_or(0.0) / 1e3;
        }
        Ok(cpu_us)
    }

    pub(super) fn memory(&self) -> Result<Memory, ScaleError> {
        let status = self.proc_file("status")?;
        let bytes = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name));
            let kb = line.and_then(|line| line.trim().trim_end_matches("kB").trim().parse::<f64>().ok());
            kb.map(|kb| kb * 1_024.0)
                .ok_or_else(|| ScaleError::Proxy(format!("no {name} in the process's status")))
        };
        Ok(Memory { resident: bytes("VmRSS:")?, peak: bytes("VmHWM:")? })
    }
}
