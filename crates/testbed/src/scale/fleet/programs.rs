//! Programs of a run: sources, relays, agents and hollow processes, each known by what `spawn` gave, each ended with the
//! run.

use super::ScaleError;
use crate::address::ReservedPort;
use crate::fleet::{Folder, cpu_s, memory, process_guard};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::ffi::OsString;
use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Stdio};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep};

/// How long a program may take to listen; hundreds start on few cores.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Descriptors that a program of control may have: a connection for each of thousands of subscribers.
const DESCRIPTORS: u64 = 8_192;
/// One running program.
#[derive(Debug)]
pub struct Program {
    /// Its name, for messages.
    pub name: String,
    child: Child,
    log: PathBuf,
    stopped: bool,
}

impl Program {
    /// Starts it. Has to be called on a thread that lives as long as the program is to.
    ///
    /// # Errors
    /// Where it can't be started.
    pub fn start(
        keeper: &Path,
        program: &Path,
        arguments: &[OsString],
        folder: &Folder,
        name: &str,
    ) -> Result<Self, ScaleError> {
        let log = folder.path().join(format!("{name}.log"));
        let failed = |error| ScaleError::Start(name.to_owned(), error);
        let file = File::options().create(true).append(true).open(&log).map_err(failed)?;
        let child = process_guard::command(keeper, DESCRIPTORS, program)
            .args(arguments)
            .env("RUST_LOG", "info")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(file)
            .spawn()
            .map_err(failed)?;
        Ok(Self { name: name.into(), child, log, stopped: false })
    }

    /// Waits until somebody listens there.
    ///
    /// # Errors
    /// Where the program ends, or nobody does in time.
    pub async fn listens(&mut self, address: SocketAddr) -> Result<(), ScaleError> {
        let end = Instant::now() + READY_TIMEOUT;
        while TcpStream::connect(address).await.is_err() {
            self.runs()?;
            if Instant::now() > end {
                return Err(self.failed("does not listen"));
            }
            sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    }

    /// Whether it runs.
    ///
    /// # Errors
    /// Where it has ended by itself.
    pub fn runs(&mut self) -> Result<(), ScaleError> {
        match self.child.try_wait() {
            Ok(None) => Ok(()),
            Ok(Some(status)) => Err(self.failed(&format!("ended by itself ({status})"))),
            Err(error) => Err(self.failed(&error.to_string())),
        }
    }

    fn failed(&self, what: &str) -> ScaleError {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = text.lines().rev().take(3).collect();
        let last = lines.into_iter().rev().collect::<Vec<_>>().join(" | ");
        ScaleError::Ended(self.name.clone(), what.into(), last)
    }

    fn signal(&self, signal: Signal) {
        if let Ok(id) = i32::try_from(self.child.id()) {
            // The id is this child's until it is waited for.
            let _ = kill(Pid::from_raw(id), signal);
        }
    }

    /// Makes it stand still, or go on.
    pub fn stall(&mut self, stalled: bool) {
        self.stopped = stalled;
        self.signal(if stalled { Signal::SIGSTOP } else { Signal::SIGCONT });
    }

    /// Kills it; it is gone when this returns.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Its processor time so far, seconds.
    #[must_use]
    pub fn cpu_s(&self) -> f64 {
        cpu_s(self.child.id()).unwrap_or(0.0)
    }

    /// Its memory, bytes.
    #[must_use]
    pub fn memory(&self) -> u64 {
        memory(self.child.id())
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        if self.stopped {
            self.stall(false);
        }
        self.kill();
    }
}

/// A program of control with its configuration and address, which stay the same over its lives.
#[derive(Debug)]
pub struct ControlNode {
    /// Its name.
    pub name: String,
    address: ReservedPort,
    role: &'static str,
    file: PathBuf,
    /// While it runs.
    pub program: Option<Program>,
}

/// What is needed to start one.
pub struct ProcessStarter<'a> {
    /// The rig's own program.
    pub keeper: &'a Path,
    /// Control's program.
    pub control: &'a Path,
    /// The run's folder.
    pub folder: &'a Folder,
}

impl ControlNode {
    /// One that does not run yet. `config` makes its configuration from its address.
    ///
    /// # Errors
    /// Where it has no address, or its configuration can't be written.
    pub fn new(
        starter: &ProcessStarter<'_>,
        role: &'static str,
        name: &str,
        config: impl FnOnce(SocketAddr) -> String,
    ) -> Result<Self, ScaleError> {
        let failed = |error| ScaleError::Start(name.to_owned(), error);
        let address = ReservedPort::new(Ipv4Addr::LOCALHOST).map_err(failed)?;
        let file = starter.folder.path().join(format!("{name}.toml"));
        fs::write(&file, config(address.address())).map_err(failed)?;
        Ok(Self { name: name.into(), address, role, file, program: None })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address.address()
    }

    /// Starts it; it listens when this returns.
    ///
    /// # Errors
    /// Where it does not.
    pub async fn start(&mut self, starter: &ProcessStarter<'_>) -> Result<(), ScaleError> {
        let arguments = [self.role.into(), "--config".into(), self.file.clone().into_os_string()];
        let mut program =
            Program::start(starter.keeper, starter.control, &arguments, starter.folder, &self.name)?;
        program.listens(self.address()).await?;
        self.program = Some(program);
        Ok(())
    }

    /// Kills it.
    pub fn kill(&mut self) {
        self.program = None;
    }

    /// Makes it stand still, or go on.
    pub fn stall(&mut self, stalled: bool) {
        if let Some(program) = &mut self.program {
            program.stall(stalled);
        }
    }
}
