//! Proxy processes: started on their own loopback addresses, polled for readiness, signalled, and ended with
//! the testbed. Each is identified by its child handle, never by name.

use super::{FleetError, process_guard};
use crate::address::{self, ReservedPort};
use crate::script::Script;
use crate::sockets::fetch_up_status;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};
use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ExitStatus, Stdio};
use std::time::Duration;
use std::{env, io};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// Limit on the time until a process is ready. It is long because hundreds of processes start at once on a
/// few cores.
pub(super) const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between two readiness polls.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Timeout of one poll.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of bytes read of a console's response.
const MAX_RESPONSE_BYTES: usize = 512;
/// Time for processes to exit at the end of a scenario, before they are killed.
pub(super) const END_TIMEOUT: Duration = Duration::from_secs(5);
/// Text in the log of a process that restored learned limits.
const RESTORED_LOG_TEXT: &str = "restored learned limits from the snapshot";
/// Clock ticks per second in `/proc`; fixed in Linux's user-space interface.
const TICKS_PER_SECOND: f64 = 100.0;
/// Size of a memory page, bytes.
const PAGE_BYTES: u64 = 4_096;

/// The binaries that the testbed runs, their limits, and the tolerances of the machine.
#[derive(Clone, Debug)]
pub struct RunEnvironment {
    /// The proxy's binary.
    pub proxy: PathBuf,
    /// The testbed's own binary, through which processes are started so that they end with it.
    pub testbed_binary: PathBuf,
    /// Memory limit in the configuration of a process, MB.
    pub memory_mb: usize,
    /// Limit on the file descriptors of a process.
    pub descriptors: u64,
    /// Number of threads for the emulators.
    pub threads: usize,
    /// Timing tolerance of the machine, microseconds.
    pub timing_tolerance_us: u64,
}

/// The temporary folder of a scenario, with a folder for each proxy's configuration, `TMPDIR` and logs.
/// Removed on drop.
pub(crate) struct TempFolder(PathBuf);

impl TempFolder {
    pub(crate) fn new() -> io::Result<Self> {
        let number = fastrand::u64(..);
        let path = env::temp_dir().join(format!("testbed-fleet-{}-{number:x}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }

    /// The number of processes that logged the restoration of learned limits. It shows whether a scenario
    /// exercised the handover of learned state between processes; no check depends on it.
    pub(super) fn restored_processes(&self) -> u64 {
        let files =
            |path: &Path| fs::read_dir(path).into_iter().flatten().flatten().map(|entry| entry.path());
        let logs = files(&self.0).flat_map(|folder| files(&folder).collect::<Vec<_>>());
        let logs = logs.filter(|path| path.is_file()).filter_map(|path| fs::read_to_string(path).ok());
        logs.filter(|text| text.contains(RESTORED_LOG_TEXT)).count() as u64
    }

    pub(crate) fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// One proxy process.
pub(crate) struct Process {
    child: Child,
    console: ReservedPort,
    log: PathBuf,
    /// It received SIGSTOP and has not been continued.
    stopped: bool,
    /// It received SIGTERM.
    terminated: bool,
    /// Its readiness was observed.
    ready: bool,
}

/// The addresses and the folder that successive processes of one proxy share.
pub(crate) struct ProxyInstance {
    proxy: usize,
    listen: ReservedPort,
    discovery: SocketAddr,
    folder: PathBuf,
    starts: u64,
}

impl ProxyInstance {
    pub(crate) fn new(folder: &TempFolder, proxy: usize, discovery: SocketAddr) -> io::Result<Self> {
        let folder = folder.0.join(format!("p{proxy}"));
        fs::create_dir_all(folder.join("tmp"))?;
        let listen = ReservedPort::new(address::process_address(proxy))?;
        Ok(Self { proxy, listen, discovery, folder, starts: 0 })
    }

    /// The address at which clients reach the current process.
    pub(crate) fn listen(&self) -> SocketAddr {
        self.listen.address()
    }

    /// Starts a process with this initial list of backends. The calling thread has to outlive the process,
    /// which is killed when the thread ends.
    ///
    /// # Errors
    /// An address, a file or the process can't be created.
    pub(crate) fn start(
        &mut self,
        script: &Script,
        machine: &RunEnvironment,
        initial_list: &Value,
    ) -> io::Result<Process> {
        self.starts += 1;
        let console = ReservedPort::new(address::process_address(self.proxy))?;
        let seed =
            script.seed.wrapping_add(self.proxy as u64).wrapping_mul(0x9e37_79b9).wrapping_add(self.starts);
        let config = json!({"name": format!("p{}", self.proxy), "listen": self.listen().to_string(),
            "discovery": self.discovery.to_string(), "console": console.address().to_string(), "seed": format!("{seed:x}"),
            "limits": {"cores": 1.0, "memory_mb": machine.memory_mb, "sockets": machine.descriptors},
            "known": initial_list, "settings": script.settings(self.proxy)});
        let file = self.folder.join(format!("config-{}.json", self.starts));
        let log = self.folder.join(format!("log-{}", self.starts));
        fs::write(&file, config.to_string())?;
        let child = process_guard::command(&machine.testbed_binary, machine.descriptors, &machine.proxy)
            .env("EDGE_CONFIG", &file)
            .env("TMPDIR", self.folder.join("tmp"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(File::create(&log)?)
            .spawn()?;
        Ok(Process { child, console, log, stopped: false, terminated: false, ready: false })
    }
}

impl Process {
    /// Polls until the process is ready, has exited, or [`READY_TIMEOUT`] has passed; returns whether it is
    /// ready.
    pub(crate) async fn is_ready(&mut self) -> bool {
        let console = self.console();
        let mut ready = std::pin::pin!(Self::wait_until_ready(console));
        loop {
            tokio::select! {
                ready = &mut ready => {
                    self.ready = ready;
                    return ready;
                }
                () = sleep(POLL_INTERVAL) => if self.exit_status().is_some() { return false },
            }
        }
    }

    /// Polls the console until it reports readiness, at most for [`READY_TIMEOUT`]; returns whether it did.
    pub(super) async fn wait_until_ready(console: SocketAddr) -> bool {
        let end = Instant::now() + READY_TIMEOUT;
        while Instant::now() < end {
            if let Ok(Ok(true)) = timeout(POLL_TIMEOUT, console_succeeds(console, "readyz")).await {
                return true;
            }
            sleep(POLL_INTERVAL).await;
        }
        false
    }

    /// Polls `/up` as a front end does, until it returns 200, at most for [`READY_TIMEOUT`]; returns whether
    /// it did.
    pub(super) async fn wait_until_up(listen: SocketAddr) -> bool {
        let end = Instant::now() + READY_TIMEOUT;
        while Instant::now() < end {
            if let Ok(Ok(200)) = timeout(POLL_TIMEOUT, fetch_up_status(listen)).await {
                return true;
            }
            sleep(POLL_INTERVAL).await;
        }
        false
    }

    pub(super) fn console(&self) -> SocketAddr {
        self.console.address()
    }

    fn signal(&self, signal: Signal) {
        if let Ok(pid) = i32::try_from(self.child.id()) {
            // An error means that it has exited, which `ended` reports. The kernel does not reuse the id
            // before the exit status is collected.
            let _ = kill(Pid::from_raw(pid), signal);
        }
    }

    pub(super) fn stop(&mut self) {
        self.stopped = true;
        self.signal(Signal::SIGSTOP);
    }

    pub(super) fn resume(&mut self) {
        self.stopped = false;
        self.signal(Signal::SIGCONT);
    }

    pub(super) fn mark_ready(&mut self) {
        self.ready = true;
    }

    /// Whether it exited with a failure. A process that received SIGTERM before it was ready does not count,
    /// as it may not have installed its signal handler yet.
    pub(super) fn has_failed(&mut self) -> bool {
        let may_lack_handler = self.terminated && !self.ready;
        self.exit_status().is_some_and(|status| !status.success() && !may_lack_handler)
    }

    pub(super) fn was_terminated(&self) -> bool {
        self.terminated
    }

    pub(super) fn terminate(&mut self) {
        self.terminated = true;
        self.signal(Signal::SIGTERM);
    }

    /// Kills the process and waits for it.
    pub(super) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Its exit status, once it has exited.
    pub(crate) fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Its processor time so far, seconds.
    pub(crate) fn cpu_s(&self) -> f64 {
        cpu_s(self.child.id()).unwrap_or(0.0)
    }

    /// Its resident memory, bytes.
    pub(crate) fn resident_bytes(&self) -> u64 {
        resident_bytes(self.child.id())
    }

    /// The last three lines of its log, on one line.
    pub(crate) fn log_tail(&self) -> String {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = text.lines().rev().take(3).collect();
        lines.into_iter().rev().collect::<Vec<_>>().join(" | ")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if self.stopped {
            self.resume();
        }
        self.kill();
    }
}

/// User and system processor time of a process, seconds; `None` if it has exited.
pub(crate) fn cpu_s(id: u32) -> Option<f64> {
    let text = fs::read_to_string(Path::new("/proc").join(id.to_string()).join("stat")).ok()?;
    // The program name in parentheses may contain spaces; user and system time are the 12th and 13th fields
    // after it.
    let fields: Vec<&str> = text.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|field| field.parse::<f64>().ok());
    Some((ticks(11)? + ticks(12)?) / TICKS_PER_SECOND)
}

/// Resident memory of a process, bytes; 0 if it has exited.
pub(crate) fn resident_bytes(id: u32) -> u64 {
    let text = fs::read_to_string(Path::new("/proc").join(id.to_string()).join("statm")).unwrap_or_default();
    text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok()).unwrap_or(0) * PAGE_BYTES
}

/// Sends a command to a console and returns whether it succeeded.
async fn console_succeeds(console: SocketAddr, call: &str) -> io::Result<bool> {
    let mut stream = TcpStream::connect(console).await?;
    stream.write_all(format!("{call}\n").as_bytes()).await?;
    let mut response = Vec::new();
    (&mut stream).take(MAX_RESPONSE_BYTES as u64).read_to_end(&mut response).await?;
    Ok(response.starts_with(b"SUCCESS"))
}

impl From<(usize, &Process)> for FleetError {
    fn from((proxy, process): (usize, &Process)) -> Self {
        Self::NotReady(proxy, process.log_tail())
    }
}
