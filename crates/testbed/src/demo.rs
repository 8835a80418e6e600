//! The demo: one real proxy between emulated clients, backends and discovery, with injected faults, as a live
//! table.

use crate::invariant_checker::CheckReport;
use crate::script::{BackendFaultKind, Script, ScriptError};
use crate::sockets::{self, ProgressCounts, ProgressReport, SocketScenarioError};
use balancer::api::Micros;
use std::fmt::Write as _;
use std::path::Path;
use thiserror::Error;

const SCRIPT: &str = include_str!("../scripts/demo.toml");
/// Scheduling delay that a busy machine may add, microseconds.
const SLACK: Micros = 100_000;
/// Upper bound on the limits that a line shows.
const MAX_SHOWN_LIMITS: usize = 16;

/// Why the demo could not be run.
#[derive(Debug, Error)]
pub enum DemoError {
    /// The script is invalid.
    #[error("{0}")]
    Script(#[from] ScriptError),
    /// The scenario could not be run.
    #[error("{0}")]
    Sockets(#[from] SocketScenarioError),
}

/// A line of the table: the counts since `previous`, and the current state.
#[must_use]
pub fn progress_line(report: &ProgressReport, previous: ProgressCounts) -> String {
    let current = report.progress;
    let (requested, earned) = (
        current.weight_requested - previous.weight_requested,
        current.weight_earned - previous.weight_earned,
    );
    let goodput = if requested > 0.0 { earned / requested } else { 1.0 };
    let mut limits = String::new();
    for &(limit, in_flight) in report.limits.iter().take(MAX_SHOWN_LIMITS) {
        let _ = write!(limits, " {limit:.1}/{in_flight}");
    }
    if report.limits.len() > MAX_SHOWN_LIMITS {
        let _ = write!(limits, " and {} more", report.limits.len() - MAX_SHOWN_LIMITS);
    }
    format!(
        "{:>3} s  {:>5} {:>6} {:>7} {:>6}   {goodput:>7.2}   {:>2} up {:>2} draining  violations {}  limit/in flight:{limits}",
        report.elapsed_s,
        current.requests - previous.requests,
        current.served - previous.served,
        current.rejected - previous.rejected,
        current.failed - previous.failed,
        report.up,
        report.draining,
        report.violations.iter().sum::<u64>(),
    )
}

/// The faults of a script, one line for each.
#[must_use]
pub fn fault_lines(script: &Script) -> String {
    let mut text = String::new();
    for (index, fault) in script.backend_faults.iter().enumerate() {
        let effect = match fault.kind {
            BackendFaultKind::Crash => "crash, and restart with a warm-up",
            BackendFaultKind::Hang => "accept requests and never respond",
            BackendFaultKind::Pause => "pause",
            BackendFaultKind::Slow => "slow down",
            BackendFaultKind::Reset => "reset connections after they have started a request",
            BackendFaultKind::ResetRequest => "reset connections while they receive a request",
            BackendFaultKind::BreakAnswer => "reset connections in the middle of a response",
            BackendFaultKind::CloseAfter => "close connections right after a response",
            BackendFaultKind::Silence => "do not respond on reused connections",
            BackendFaultKind::ResetNew => "reset new connections",
            BackendFaultKind::AcceptLate => "read from new connections late",
            BackendFaultKind::Spoil => "send malformed responses",
            BackendFaultKind::Drain => "drain",
            BackendFaultKind::DiscoveryDown => "change without notification: discovery is down",
        };
        let count = script.faulty_backends(index).len();
        let _ =
            writeln!(text, "  at {:.0} s for {:.0} s: {count} backends {effect}", fault.at_s, fault.for_s);
    }
    text
}

/// Runs a script on loopback sockets, and prints a live table to standard output.
///
/// # Errors
/// Where the scenario cannot be run.
pub fn run(script: &Script, slack: Micros) -> Result<CheckReport, SocketScenarioError> {
    let fleet = &script.fleet;
    println!("{}", script.title);
    println!(
        "{} backends, {} proxies, {} requests/s for {} s, on loopback sockets; times are relative to the start of the load",
        fleet.backends, fleet.proxies, script.traffic.per_s, script.seconds
    );
    print!("{}", fault_lines(script));
    println!("\ntime requests served rejected failed  goodput   backends");
    let mut previous = ProgressCounts::default();
    let result = sockets::run(script, slack, |report| {
        println!("{}", progress_line(report, previous));
        previous = report.progress;
    })?;
    println!("\n{}", result.check_report);
    Ok(result.check_report)
}

/// Runs the built-in demo script.
///
/// # Errors
/// Where it cannot be run.
pub fn run_demo() -> Result<CheckReport, DemoError> {
    let script = Script::parse(SCRIPT, Path::new("demo.toml"))?;
    let check_report = run(&script, SLACK)?;
    if check_report.is_clean() {
        println!(
            "No rule was violated: every request got one response in time, no effect occurred twice, no draining"
        );
        println!("backend got a new request after the grace period, and no warming backend was overloaded.");
    }
    Ok(check_report)
}
