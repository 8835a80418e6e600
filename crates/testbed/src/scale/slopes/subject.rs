//! The process that is measured: the real program, started so that it ends with this one, and the kernel's account of it.

use super::ScaleError;
use crate::address::ReservedPort;
use crate::fleet::{Folder, process_guard};
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

/// How long the process may take to be up, or to read a configuration again: hundreds of thousands of tenants take seconds.
const WITHIN: Duration = Duration::from_secs(60);
/// How often it is looked whether it is.
const LOOK_INTERVAL: Duration = Duration::from_millis(5);
/// Memory that the process is told, MB: enough for every connection that is measured, so that the bounds that follow from
/// it do not refuse any.
const MEMORY_MB: usize = 4_096;
/// What a class of open requests lets a client wait, microseconds: longer than any measurement holds them.
const PATIENT_US: u64 = 120_000_000;
/// What the log says when the configuration was read again.
const RELOADED_LOG_TEXT: &str = "reloaded the configuration";
const RELOAD_FAILED_LOG_TEXT: &str = "reload failed";

/// What the settings hold.
#[derive(Clone, Copy, Debug)]
pub(super) struct Shape {
    pub(super) classes: usize,
    pub(super) tenants: usize,
    /// What each tenant may send in a second.
    pub(super) allowance: f64,
}

impl Default for Shape {
    fn default() -> Self {
        Self { classes: 1, tenants: 0, allowance: 1_000.0 }
    }
}

/// A class's name.
pub(super) fn class(number: usize) -> String {
    format!("class-{number}")
}

/// A tenant's name, as long as usual ones.
pub(super) fn tenant(number: usize) -> String {
    format!("tenant-{number:06}")
}

/// A configuration; `edition` changes how often a request may be tried, so that each is another one. Classes that change would take new places, of which there are few.
fn config(
    shape: &Shape,
    edition: u64,
    listen: SocketAddr,
    discovery: SocketAddr,
    descriptors: u64,
) -> String {
    let attempts = 3 + edition % 2;
    let classes = (0..shape.classes).map(|number| {
        json!({"name": class(number), "aimUs": 2_000_000, "deadlineUs": PATIENT_US, "worth": 1.0,
            "lateWorth": 0.5, "effect": "retryable"})
    });
    let tenants =
        (0..shape.tenants).map(|number| json!({"name": tenant(number), "allowancePerS": shape.allowance}));
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

/// What the process has used, as the kernel counts.
#[derive(Clone, Copy, Debug)]
pub(super) struct Memory {
    /// Resident now, bytes.
    pub(super) resident: f64,
    /// The most that was resident, bytes.
    pub(super) peak: f64,
}

/// The process.
pub(super) struct Subject {
    child: Child,
    listen: ReservedPort,
    discovery: SocketAddr,
    descriptors: u64,
    shape: Shape,
    edition: u64,
    file: PathBuf,
    log: PathBuf,
    /// Gone behind the process.
    _folder: Folder,
}

impl Drop for Subject {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Subject {
    /// Starts it and waits until it says that it is up.
    pub(super) async fn start(
        (proxy, keeper): (&Path, &Path),
        descriptors: u64,
        discovery: SocketAddr,
        shape: Shape,
    ) -> Result<Self, ScaleError> {
        let folder = Folder::new()?;
        let listen = ReservedPort::new(Ipv4Addr::LOCALHOST)?;
        let (file, log) = (folder.path().join("config.json"), folder.path().join("log"));
        fs::write(&file, config(&shape, 0, listen.address(), discovery, descriptors))?;
        let child = process_guard::command(keeper, descriptors, proxy)
            .env_remove("EDGE_CONSOLE")
            .env_remove("EDGE_EXTPROC")
            .env("EDGE_CONFIG", &file)
            .env("TMPDIR", folder.path())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(File::create(&log)?)
            .spawn()?;
        let mut subject =
            Self { child, listen, discovery, descriptors, shape, edition: 0, file, log, _folder: folder };
        subject.until("up", async |subject| Ok(subject.is_up().await)).await?;
        Ok(subject)
    }

    /// Where clients reach it.
    pub(super) fn address(&self) -> SocketAddr {
        self.listen.address()
    }

    async fn is_up(&self) -> bool {
        let asked = async {
            let mut stream = TcpStream::connect(self.address()).await?;
            stream.write_all(b"GET /up HTTP/1.1\r\nHost: rig\r\nConnection: close\r\n\r\n").await?;
            http1::read(&mut stream, &mut Vec::new(), http1::MessageKind::Response).await
        };
        asked.await.ok().flatten().is_some_and(|answer| answer.status == 200)
    }

    async fn until(
        &mut self,
        what: &str,
        is_so: impl AsyncFn(&Self) -> Result<bool, ScaleError>,
    ) -> Result<(), ScaleError> {
        let end = Instant::now() + WITHIN;
        while !is_so(self).await? {
            if let Some(status) = self.child.try_wait()? {
                return Err(ScaleError::Proxy(format!("it ended ({status}): {}", self.last_words())));
            }
            if Instant::now() > end {
                let seconds = WITHIN.as_secs();
                return Err(ScaleError::Proxy(format!(
                    "not {what} within {seconds} s: {}",
                    self.last_words()
                )));
            }
            sleep(LOOK_INTERVAL).await;
        }
        Ok(())
    }

    /// Writes the configuration anew with other settings and has it read; back once the log says that it was. Gives the
    /// configuration's size in bytes.
    pub(super) async fn renew(&mut self) -> Result<usize, ScaleError> {
        let before = self.count(RELOADED_LOG_TEXT)?;
        self.edition += 1;
        let text = config(&self.shape, self.edition, self.address(), self.discovery, self.descriptors);
        fs::write(&self.file, &text)?;
        let id = i32::try_from(self.child.id()).map_err(std::io::Error::other)?;
        kill(Pid::from_raw(id), Signal::SIGHUP).map_err(std::io::Error::from)?;
        self.until("done with the new configuration", async |subject| {
            if subject.count(RELOAD_FAILED_LOG_TEXT)? > 0 {
                return Err(ScaleError::Proxy(subject.last_words()));
            }
            Ok(subject.count(RELOADED_LOG_TEXT)? > before)
        })
        .await?;
        Ok(text.len())
    }

    fn count(&self, words: &str) -> Result<usize, ScaleError> {
        Ok(fs::read_to_string(&self.log)?.matches(words).count())
    }

    fn last_words(&self) -> String {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        text.lines().rev().take(2).collect::<Vec<_>>().join(" | ")
    }

    fn account(&self, path: &str) -> Result<String, ScaleError> {
        Ok(fs::read_to_string(Path::new("/proc").join(self.child.id().to_string()).join(path))?)
    }

    /// Processor time so far, microseconds, of all its threads that live; the kernel counts nanoseconds.
    pub(super) fn cpu_us(&self) -> Result<f64, ScaleError> {
        let mut sum = 0.0;
        for thread in fs::read_dir(Path::new("/proc").join(self.child.id().to_string()).join("task"))? {
            // A thread may end between the two looks.
            let text = fs::read_to_string(thread?.path().join("schedstat")).unwrap_or_default();
            let spent = text.split_whitespace().next().and_then(|field| field.parse::<f64>().ok());
            sum += spent.unwrap_or(0.0) / 1e3;
        }
        Ok(sum)
    }

    pub(super) fn memory(&self) -> Result<Memory, ScaleError> {
        let status = self.account("status")?;
        let bytes = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name));
            let kb = line.and_then(|line| line.trim().trim_end_matches("kB").trim().parse::<f64>().ok());
            kb.map(|kb| kb * 1_024.0).ok_or_else(|| ScaleError::Proxy(format!("no {name} in its account")))
        };
        Ok(Memory { resident: bytes("VmRSS:")?, peak: bytes("VmHWM:")? })
    }
}
