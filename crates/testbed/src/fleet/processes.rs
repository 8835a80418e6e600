//! Proxy processes: started on their own loopback addresses, polled for readiness, signalled, and ended with the testbed.
//! Each is identified by its child handle, never by name.

use super::{FleetError, process_guard};
use crate::address::{self, ReservedPort};
use crate::script::Script;
use crate::sockets::up;
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

/// Limit on the time until a process is ready; hundreds start at once on a few cores.
pub(super) const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between two readiness polls.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Limit on the time of one poll.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes read at most of a console's response.
const MAX_RESPONSE_BYTES: usize = 512;
/// Limit on the exit of processes at the end of a scenario, before they are killed.
pub(super) const END_TIMEOUT: Duration = Duration::from_secs(5);
/// The log line of a process that restored learned limits.
const RESTORED_LOG_TEXT: &str = "restored learned limits from the snapshot";
/// Clock ticks a second in `/proc`: fixed in Linux's interface to programs.
const TICKS_PER_SECOND: f64 = 100.0;

/// Size of a memory page, bytes.
const PAGE_BYTES: u64 = 4_096;

/// The binaries that the testbed runs, and their limits.
#[derive(Clone, Debug)]
pub struct Machine {
    /// The proxy's binary.
    pub proxy: PathBuf,
    /// The testbed's own binary, through which processes are started.
    pub keeper: PathBuf,
    /// Memory limit in the configuration of a process, MB.
    pub memory_mb: usize,
    /// File descriptors that a process may open.
    pub descriptors: u64,
    /// Threads for the emulators.
    pub threads: usize,
    /// Timing tolerance of the machine, microseconds.
    pub slack: u64,
}

/// The temporary folder of a scenario, with a folder for each proxy's configuration, `TMPDIR` and logs. Removed on drop.
pub(crate) struct Folder(PathBuf);

impl Folder {
    pub(crate) fn new() -> io::Result<Self> {
        let number = fastrand::u64(..);
        let path = env::temp_dir().join(format!("testbed-fleet-{}-{number:x}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }

    /// The number of processes that logged the restoration of learned limits. Shows whether a scenario exercised the
    /// hand-over; no check depends on it.
    pub(super) fn handed_on(&self) -> u64 {
        let files =
            |path: &Path| fs::read_dir(path).into_iter().flatten().flatten().map(|entry| entry.path());
        let logs = files(&self.0).flat_map(|place| files(&place).collect::<Vec<_>>());
        let logs = logs.filter(|path| path.is_file()).filter_map(|path| fs::read_to_string(path).ok());
        logs.filter(|text| text.contains(RESTORED_LOG_TEXT)).count() as u64
    }

    pub(crate) fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// One proxy process.
pub(crate) struct Process {
    child: Child,
    console: ReservedPort,
    log: PathBuf,
    stopped: bool,
    terminated: bool,
    ready: bool,
}

/// What the successive processes of one proxy share: addresses and folder.
pub(crate) struct ProxyInstance {
    proxy: usize,
    listen: ReservedPort,
    discovery: SocketAddr,
    folder: PathBuf,
    starts: u64,
}

impl ProxyInstance {
    pub(crate) fn new(folder: &Folder, proxy: usize, discovery: SocketAddr) -> io::Result<Self> {
        let folder = folder.0.join(format!("p{proxy}"));
        fs::create_dir_all(folder.join("tmp"))?;
        let listen = ReservedPort::new(address::process_address(proxy))?;
        Ok(Self { proxy, listen, discovery, folder, starts: 0 })
    }

    /// The address at which clients reach the current process.
    pub(crate) fn listen(&self) -> SocketAddr {
        self.listen.address()
    }

    /// Starts a process. The calling thread has to live as long as the process.
    ///
    /// # Errors
    /// Where an address, a file or the process can't be created.
    pub(crate) fn start(&mut self, script: &Script, machine: &Machine, known: &Value) -> io::Result<Process> {
        self.starts += 1;
        let console = ReservedPort::new(address::process_address(self.proxy))?;
        let seed =
            script.seed.wrapping_add(self.proxy as u64).wrapping_mul(0x9e37_79b9).wrapping_add(self.starts);
        let config = json!({"name": format!("p{}", self.proxy), "listen": self.listen().to_string(),
            "discovery": self.discovery.to_string(), "console": console.address().to_string(), "seed": format!("{seed:x}"),
            "limits": {"cores": 1.0, "memory_mb": machine.memory_mb, "sockets": machine.descriptors},
            "known": known, "settings": script.settings(self.proxy)});
        let file = self.folder.join(format!("config-{}.json", self.starts));
        let log = self.folder.join(format!("log-{}", self.starts));
        fs::write(&file, config.to_string())?;
        let child = process_guard::command(&machine.keeper, machine.descriptors, &machine.proxy)
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
    /// Polls until the process is ready, has ended, or [`READY_TIMEOUT`] is over; whether it is ready.
    pub(crate) async fn is_ready(&mut self) -> bool {
        let console = self.console();
        let mut ready = std::pin::pin!(Self::wait_until_ready(console));
        loop {
            tokio::select! {
                ready = &mut ready => {
                    self.ready = ready;
                    return ready;
                }
                () = sleep(POLL_INTERVAL) => if self.ended().is_some() { return false },
            }
        }
    }

    /// Polls the console until it reports readiness, at most for [`READY_TIMEOUT`].
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

    /// Polls `/up` until it returns 200, at most for [`READY_TIMEOUT`], as a front end does.
    pub(super) async fn wait_until_up(listen: SocketAddr) -> bool {
        let end = Instant::now() + READY_TIMEOUT;
        while Instant::now() < end {
            if let Ok(Ok(200)) = timeout(POLL_TIMEOUT, up(listen)).await {
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
            // An error means that it has exited, which `ended` reports. The id stays reserved until it is waited for.
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

    /// Records that the process is ready.
    pub(super) fn mark_ready(&mut self) {
        self.ready = true;
    }

    /// Whether it exited with a failure. One that received SIGTERM before it was ready may not have installed its signal
    /// handler yet, and does not count.
    pub(super) fn ended_badly(&mut self) -> bool {
        let may_lack_handler = self.terminated && !self.ready;
        self.ended().is_some_and(|status| !status.success() && !may_lack_handler)
    }

    /// Whether it received SIGTERM.
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
    pub(crate) fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Its processor time so far, seconds.
    pub(crate) fn cpu_s(&self) -> f64 {
        cpu_s(self.child.id()).unwrap_or(0.0)
    }

    /// Its memory, bytes.
    pub(crate) fn memory(&self) -> u64 {
        memory(self.child.id())
    }

    /// The last lines of its log.
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

/// Processor time of a process, seconds.
pub(crate) fn cpu_s(id: u32) -> Option<f64> {
    let text = fs::read_to_string(Path::new("/proc").join(id.to_string()).join("stat")).ok()?;
    // The name in brackets may contain blanks; user and system time are the 12th and 13th fields after it.
    let fields: Vec<&str> = text.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = |place: usize| fields.get(place).and_then(|field| field.parse::<f64>().ok());
    Some((ticks(11)? + ticks(12)?) / TICKS_PER_SECOND)
}

/// Memory of a process, bytes; 0 where it is gone.
pub(crate) fn memory(id: u32) -> u64 {
    let text = fs::read_to_string(Path::new("/proc").join(id.to_string()).join("statm")).unwrap_or_default();
    text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok()).unwrap_or(0) * PAGE_BYTES
}

/// Sends a command to a console; whether it succeeded.
async fn console_succeeds(console: SocketAddr, call: &str) -> io::Result<bool> {
    let mut stream = TcpStream::connect(console).await?;
    stream.write_all(format!("{call}\n").as_bytes()).await?;
    let mut answer = Vec::new();
    (&mut stream).take(MAX_RESPONSE_BYTES as u64).read_to_end(&mut answer).await?;
    Ok(answer.starts_with(b"SUCCESS"))
}

impl From<(usize, &Process)> for FleetError {
    fn from((proxy, process): (usize, &Process)) -> Self {
        Self::NotReady(proxy, process.log_tail())
    }
}
