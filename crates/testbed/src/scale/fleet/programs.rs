//! Child processes of a run: sources, relays, agents and processes of simulated proxies. Each one is killed
//! when its handle is dropped.

use super::ScaleError;
use crate::address::ReservedPort;
use crate::fleet::{TempFolder, cpu_s, process_guard, resident_bytes};
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

/// Upper bound of the time until a started program listens. It is long, because hundreds start on few cores.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Limit of file descriptors of a child process: a relay has a connection to each of thousands of
/// subscribers.
const MAX_DESCRIPTORS: u64 = 8_192;

/// One running program.
#[derive(Debug)]
pub struct Program {
    /// The program's name in error messages, and the stem of its log file.
    pub name: String,
    child: Child,
    log: PathBuf,
    suspended: bool,
}

impl Program {
    /// Starts a program, with its log in `folder`. Must be called on a thread that lives as long as the
    /// program is needed: the program is killed when that thread ends.
    ///
    /// # Errors
    /// If the log file can't be opened or the program can't be started.
    pub fn start(
        testbed: &Path,
        program: &Path,
        arguments: &[OsString],
        folder: &TempFolder,
        name: &str,
    ) -> Result<Self, ScaleError> {
        let log = folder.path().join(format!("{name}.log"));
        let failed = |error| ScaleError::Start(name.to_owned(), error);
        let file = File::options().create(true).append(true).open(&log).map_err(failed)?;
        let child = process_guard::command(testbed, MAX_DESCRIPTORS, program)
            .args(arguments)
            .env("RUST_LOG", "info")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(file)
            .spawn()
            .map_err(failed)?;
        Ok(Self { name: name.into(), child, log, suspended: false })
    }

    /// Waits until the program accepts connections at this address.
    ///
    /// # Errors
    /// If the program exits, or does not listen in time.
    pub async fn wait_until_listening(&mut self, address: SocketAddr) -> Result<(), ScaleError> {
        let end = Instant::now() + READY_TIMEOUT;
        while TcpStream::connect(address).await.is_err() {
            self.check_running()?;
            if Instant::now() > end {
                return Err(self.failed("does not listen at its address"));
            }
            sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    }

    /// Checks that the program is running.
    ///
    /// # Errors
    /// If it has exited by itself.
    pub fn check_running(&mut self) -> Result<(), ScaleError> {
        match self.child.try_wait() {
            Ok(None) => Ok(()),
            Ok(Some(status)) => Err(self.failed(&format!("exited by itself ({status})"))),
            Err(error) => Err(self.failed(&error.to_string())),
        }
    }

    fn failed(&self, problem: &str) -> ScaleError {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = text.lines().rev().take(3).collect();
        let last = lines.into_iter().rev().collect::<Vec<_>>().join(" | ");
        ScaleError::ProgramFailed(self.name.clone(), problem.into(), last)
    }

    fn signal(&self, signal: Signal) {
        if let Ok(id) = i32::try_from(self.child.id()) {
            // The child has not been waited for, so the system has not reused its process id.
            let _ = kill(Pid::from_raw(id), signal);
        }
    }

    /// Suspends the program (SIGSTOP), or resumes it (SIGCONT).
    pub fn set_suspended(&mut self, suspended: bool) {
        self.suspended = suspended;
        self.signal(if suspended { Signal::SIGSTOP } else { Signal::SIGCONT });
    }

    /// Kills the program and waits until it has exited.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Processor time so far, seconds; 0 if it can't be read.
    #[must_use]
    pub fn cpu_s(&self) -> f64 {
        cpu_s(self.child.id()).unwrap_or(0.0)
    }

    /// Resident memory, bytes.
    #[must_use]
    pub fn memory(&self) -> u64 {
        resident_bytes(self.child.id())
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        if self.suspended {
            self.set_suspended(false);
        }
        self.kill();
    }
}

/// A source, relay or agent. Its configuration and address stay the same over restarts.
#[derive(Debug)]
pub struct ControlNode {
    /// The node's name in its configuration and in error messages.
    pub name: String,
    address: ReservedPort,
    role: &'static str,
    file: PathBuf,
    /// The program; `None` until the first start and after a kill.
    pub program: Option<Program>,
}

/// Paths needed to start processes.
pub struct ProcessStarter<'a> {
    /// The testbed's executable, which also guards the started processes.
    pub testbed: &'a Path,
    /// The control plane's executable.
    pub control_plane: &'a Path,
    /// The folder of the run's configurations, logs and snapshots.
    pub folder: &'a TempFolder,
}

impl ControlNode {
    /// Reserves an address and writes the configuration, without starting the program. `config` returns the
    /// configuration for the address.
    ///
    /// # Errors
    /// If no port can be reserved, or the configuration can't be written.
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

    /// The address at which the node listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address.address()
    }

    /// Starts the program and waits until it listens.
    ///
    /// # Errors
    /// If it can't be started, exits, or does not listen in time.
    pub async fn start(&mut self, starter: &ProcessStarter<'_>) -> Result<(), ScaleError> {
        let arguments = [self.role.into(), "--config".into(), self.file.clone().into_os_string()];
        let mut program =
            Program::start(starter.testbed, starter.control_plane, &arguments, starter.folder, &self.name)?;
        program.wait_until_listening(self.address()).await?;
        self.program = Some(program);
        Ok(())
    }

    /// Kills the program and waits until it has exited.
    pub fn kill(&mut self) {
        self.program = None;
    }

    /// Suspends the program, or resumes it. Without effect if it was not started.
    pub fn set_suspended(&mut self, suspended: bool) {
        if let Some(program) = &mut self.program {
            program.set_suspended(suspended);
        }
    }
}
