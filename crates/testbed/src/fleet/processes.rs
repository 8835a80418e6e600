//! Processes of the program: started on loopback addresses of their own, asked whether they are ready, signalled, and
//! ended with the laboratory. They are known by what `spawn` gave, never by a name.

use super::{FleetError, process_guard};
use crate::address::{self, Held};
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

/// How long a process may take to be ready; hundreds start at once on a few cores.
pub(super) const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// How often one is asked, and how long an answer may take.
const ASK_INTERVAL: Duration = Duration::from_millis(25);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// The longest answer of a console that is read, in bytes.
const ANSWER_CAP: usize = 512;
/// How long processes have to end at the day's end before they are killed.
pub(super) const END_TIMEOUT: Duration = Duration::from_secs(5);
/// What a process logs that goes on from the limits of the one whose place it takes.
const WENT_ON: &str = "goes on from the limits that were learnt";
/// Clock ticks a second in the kernel's accounts: what Linux shows to programs, whatever its own clock.
const TICKS: f64 = 100.0;

/// The size of a page in the kernel's account, bytes: what Linux has on all machines that this runs on.
const PAGE: u64 = 4_096;

/// What the laboratory runs, and under which limits.
#[derive(Clone, Debug)]
pub struct Machine {
    /// The program.
    pub proxy: PathBuf,
    /// This laboratory's own program, which starts the other one so that it ends with it.
    pub keeper: PathBuf,
    /// Memory that a process is told, MB.
    pub memory_mb: usize,
    /// Descriptors that a process may have.
    pub descriptors: u64,
    /// Threads for the stand-ins.
    pub threads: usize,
    /// What the machine may be late by, microseconds.
    pub slack: u64,
}

/// The folder of a day: one folder for each process with its configuration, `TMPDIR` and log. Gone with the day.
pub(crate) struct Folder(PathBuf);

impl Folder {
    pub(crate) fn new() -> io::Result<Self> {
        let number = fastrand::u64(..);
        let path = env::temp_dir().join(format!("testbed-fleet-{}-{number:x}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }

    /// How many processes of the day say in their logs that they went on from what others had learnt. Nothing is judged
    /// by it: it tells whether a day had what it was meant to have.
    pub(super) fn handed_on(&self) -> u64 {
        let files =
            |path: &Path| fs::read_dir(path).into_iter().flatten().flatten().map(|entry| entry.path());
        let logs = files(&self.0).flat_map(|place| files(&place).collect::<Vec<_>>());
        let logs = logs.filter(|path| path.is_file()).filter_map(|path| fs::read_to_string(path).ok());
        logs.filter(|text| text.contains(WENT_ON)).count() as u64
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

/// One process.
pub(crate) struct Process {
    child: Child,
    console: Held,
    log: PathBuf,
    stopped: bool,
    told: bool,
    ready: bool,
}

/// A proxy's place: what stays the same over its processes.
pub(crate) struct Place {
    proxy: usize,
    listen: Held,
    discovery: SocketAddr,
    folder: PathBuf,
    starts: u64,
}

impl Place {
    pub(crate) fn new(folder: &Folder, proxy: usize, discovery: SocketAddr) -> io::Result<Self> {
        let folder = folder.0.join(format!("p{proxy}"));
        fs::create_dir_all(folder.join("tmp"))?;
        let listen = Held::new(address::of_process(proxy))?;
        Ok(Self { proxy, listen, discovery, folder, starts: 0 })
    }

    /// Where clients reach whichever process runs here.
    pub(crate) fn listen(&self) -> SocketAddr {
        self.listen.address()
    }

    /// Starts a process here. Has to be called on a thread that lives as long as the process is to.
    pub(crate) fn start(&mut self, script: &Script, machine: &Machine, known: &Value) -> io::Result<Process> {
        self.starts += 1;
        let console = Held::new(address::of_process(self.proxy))?;
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
        Ok(Process { child, console, log, stopped: false, told: false, ready: false })
    }
}

impl Process {
    /// Asks until the process says that it is ready, or is seen to have ended.
    pub(crate) async fn is_ready(&mut self) -> bool {
        let console = self.console();
        let mut ready = std::pin::pin!(Self::wait_until_ready(console));
        loop {
            tokio::select! {
                ready = &mut ready => {
                    self.ready = ready;
                    return ready;
                }
                () = sleep(ASK_INTERVAL) => if self.ended().is_some() { return false },
            }
        }
    }

    /// Asks until the process says that it is ready.
    pub(super) async fn wait_until_ready(console: SocketAddr) -> bool {
        let end = Instant::now() + READY_TIMEOUT;
        while Instant::now() < end {
            if let Ok(Ok(true)) = timeout(ANSWER_TIMEOUT, ask(console, "readyz")).await {
                return true;
            }
            sleep(ASK_INTERVAL).await;
        }
        false
    }

    /// Asks whoever listens there until `/up` says that it serves, as a front does.
    pub(super) async fn wait_until_up(listen: SocketAddr) -> bool {
        let end = Instant::now() + READY_TIMEOUT;
        while Instant::now() < end {
            if let Ok(Ok(200)) = timeout(ANSWER_TIMEOUT, up(listen)).await {
                return true;
            }
            sleep(ASK_INTERVAL).await;
        }
        false
    }

    pub(super) fn console(&self) -> SocketAddr {
        self.console.address()
    }

    fn signal(&self, signal: Signal) {
        if let Ok(pid) = i32::try_from(self.child.id()) {
            // Gone already: whoever looks for its end will see that. The id is this child's until it is waited for.
            let _ = kill(Pid::from_raw(pid), signal);
        }
    }

    pub(super) fn stop(&mut self) {
        self.stopped = true;
        self.signal(Signal::SIGSTOP);
    }

    pub(super) fn go_on(&mut self) {
        self.stopped = false;
        self.signal(Signal::SIGCONT);
    }

    /// It has said that it is ready.
    pub(super) fn got_ready(&mut self) {
        self.ready = true;
    }

    /// Whether it has ended otherwise than well. One that was told to end before it was ready may not have heard yet how
    /// to end well.
    pub(super) fn ended_badly(&mut self) -> bool {
        let unheard = self.told && !self.ready;
        self.ended().is_some_and(|status| !status.success() && !unheard)
    }

    /// Whether it was told to end.
    pub(super) fn was_told(&self) -> bool {
        self.told
    }

    pub(super) fn terminate(&mut self) {
        self.told = true;
        self.signal(Signal::SIGTERM);
    }

    /// Kills it; it is gone when this returns.
    pub(super) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// How it ended, if it has.
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
    pub(crate) fn last_words(&self) -> String {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = text.lines().rev().take(3).collect();
        lines.into_iter().rev().collect::<Vec<_>>().join(" | ")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if self.stopped {
            self.go_on();
        }
        self.kill();
    }
}

/// Processor time of a process, seconds.
pub(crate) fn cpu_s(id: u32) -> Option<f64> {
    let text = fs::read_to_string(Path::new("/proc").join(id.to_string()).join("stat")).ok()?;
    // The name in brackets may hold blanks; user and system time are the twelfth and thirteenth field behind it.
    let fields: Vec<&str> = text.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = |place: usize| fields.get(place).and_then(|field| field.parse::<f64>().ok());
    Some((ticks(11)? + ticks(12)?) / TICKS)
}

/// Memory of a process, bytes; 0 where it is gone.
pub(crate) fn memory(id: u32) -> u64 {
    let text = fs::read_to_string(Path::new("/proc").join(id.to_string()).join("statm")).unwrap_or_default();
    text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok()).unwrap_or(0) * PAGE
}

/// Asks a console; whether it says yes.
async fn ask(console: SocketAddr, call: &str) -> io::Result<bool> {
    let mut stream = TcpStream::connect(console).await?;
    stream.write_all(format!("{call}\n").as_bytes()).await?;
    let mut answer = Vec::new();
    (&mut stream).take(ANSWER_CAP as u64).read_to_end(&mut answer).await?;
    Ok(answer.starts_with(b"SUCCESS"))
}

impl From<(usize, &Process)> for FleetError {
    fn from((proxy, process): (usize, &Process)) -> Self {
        Self::NotReady(proxy, process.last_words())
    }
}
