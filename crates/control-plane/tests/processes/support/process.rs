//! Processes of the control plane, and their log lines.

use super::{TIMEOUT, wait_for};
use std::fs;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Output, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Instant;

const PROGRAM: &str = env!("CARGO_BIN_EXE_control-plane");

#[derive(Default)]
struct Log {
    lines: Mutex<Vec<String>>,
    line_added: Condvar,
}

/// A process with its log lines, killed when this is dropped.
pub struct Process {
    child: Child,
    log: Arc<Log>,
}

/// Runs the program until it exits.
pub fn run_program(arguments: &[&str]) -> Output {
    Command::new(PROGRAM).args(arguments).stdin(Stdio::null()).output().expect("the program")
}

impl Process {
    /// Starts a process in a role (`source`, `relay` or `agent`) and waits until it listens.
    pub fn start(role: &str, config: &Path) -> Self {
        let process = Self::spawn(role, config);
        process.wait_for_line("listens on");
        process
    }

    /// Starts a process in a role without waiting for it.
    pub fn spawn(role: &str, config: &Path) -> Self {
        let mut command = Command::new(PROGRAM);
        command.arg(role).arg("--config").arg(config).stdin(Stdio::null()).stdout(Stdio::null());
        let mut child = command.stderr(Stdio::piped()).spawn().expect("the program");
        let log = Arc::new(Log::default());
        let (stderr, shared_log) = (child.stderr.take().expect("piped"), Arc::clone(&log));
        // The thread ends with the process.
        std::thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                shared_log.lines.lock().expect("the log").push(line);
                shared_log.line_added.notify_all();
            }
        });
        Self { child, log }
    }

    /// The log lines so far.
    pub fn lines(&self) -> Vec<String> {
        self.log.lines.lock().expect("the log").clone()
    }

    /// Waits for a line that contains `text` after the first `skipped` lines. Returns the line, and the
    /// number of lines up to and including it.
    pub fn wait_for_line_after(&self, skipped: usize, text: &str) -> (String, usize) {
        let deadline = Instant::now() + TIMEOUT;
        let mut log = self.log.lines.lock().expect("the log");
        loop {
            let found = log.iter().enumerate().skip(skipped).find(|(_, line)| line.contains(text));
            if let Some((index, line)) = found {
                return (line.clone(), index + 1);
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            assert!(!remaining.is_zero(), "no line with `{text}` in: {log:#?}");
            log = self.log.line_added.wait_timeout(log, remaining).expect("the log").0;
        }
    }

    /// Waits for a line that contains `text`.
    pub fn wait_for_line(&self, text: &str) -> String {
        self.wait_for_line_after(0, text).0
    }

    /// Sends a signal by its name without `SIG`.
    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", signal, &id]).status().expect("kill");
        assert!(status.success(), "signal {signal} to {id}");
    }

    /// Waits until the process exits by itself.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        wait_for("the exit of the process", || self.child.try_wait().expect("its state"))
    }

    /// Kills the process with SIGKILL, so that it persists nothing, as in a machine failure.
    pub fn kill(mut self) {
        self.child.kill().expect("killed");
        self.child.wait().expect("an exit status");
    }

    /// Resident memory in KB.
    pub fn resident_memory_kb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("its status");
        let line = status.lines().find(|line| line.starts_with("VmRSS:")).expect("its memory");
        line.split_whitespace().nth(1).expect("a figure").parse().expect("a number")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
