//! The first run: one real proxy between stand-ins, with troubles, as a live table.

use crate::invariant_checker::CheckReport;
use crate::script::{BackendFaultKind, Script, ScriptError};
use crate::sockets::{self, ProgressCounts, ProgressReport, SocketScenarioError};
use balancer::api::Micros;
use std::fmt::Write as _;
use std::path::Path;
use thiserror::Error;

const SCRIPT: &str = include_str!("../scripts/demo.toml");
/// What a busy machine may be late by, microseconds.
const SLACK: Micros = 100_000;
/// The most limits that a line shows.
const SHOWN: usize = 16;

/// Why there was no demo.
#[derive(Debug, Error)]
pub enum DemoError {
    /// The script.
    #[error("{0}")]
    Script(#[from] ScriptError),
    /// The day.
    #[error("{0}")]
    Sockets(#[from] SocketScenarioError),
}

/// One line of the table.
#[must_use]
pub fn line(second: &ProgressReport, before: ProgressCounts) -> String {
    let live = second.progress;
    let (worth, earned) =
        (live.weight_requested - before.weight_requested, live.weight_earned - before.weight_earned);
    let goodput = if worth > 0.0 { earned / worth } else { 1.0 };
    let mut limits = String::new();
    for &(limit, in_flight) in second.limits.iter().take(SHOWN) {
        let _ = write!(limits, " {limit:.1}/{in_flight}");
    }
    if second.limits.len() > SHOWN {
        let _ = write!(limits, " and {} more", second.limits.len() - SHOWN);
    }
    format!(
        "{:>3} s  {:>5} {:>6} {:>7} {:>6}   {goodput:>7.2}   {:>2} up {:>2} drain  broken {}  limit/in flight:{limits}",
        second.at,
        live.requests - before.requests,
        live.served - before.served,
        live.rejected - before.rejected,
        live.failed - before.failed,
        second.up,
        second.draining,
        second.broken.iter().sum::<u64>(),
    )
}

/// What will go wrong, in a line each.
#[must_use]
pub fn programme(script: &Script) -> String {
    let mut text = String::new();
    for (i, trouble) in script.backend_faults.iter().enumerate() {
        let what = match trouble.what {
            BackendFaultKind::Crash => "die, and come back cold",
            BackendFaultKind::Hang => "take requests and answer none",
            BackendFaultKind::Pause => "stand still",
            BackendFaultKind::Slow => "get slower",
            BackendFaultKind::Reset => "break connections",
            BackendFaultKind::ResetRequest => "break connections while requests come",
            BackendFaultKind::BreakAnswer => "break connections in the middle of answers",
            BackendFaultKind::CloseAfter => "close connections right behind answers",
            BackendFaultKind::Silence => "let kept connections fall silent",
            BackendFaultKind::ResetNew => "reset new connections",
            BackendFaultKind::AcceptLate => "read new connections late",
            BackendFaultKind::Spoil => "answer nonsense",
            BackendFaultKind::Drain => "drain",
            BackendFaultKind::DiscoveryDown => "are not told of: discovery is silent",
        };
        let count = script.faulty_backends(i).len();
        let _ = writeln!(text, "  at {:.0} s for {:.0} s {count} boxes {what}", trouble.at_s, trouble.for_s);
    }
    text
}

/// Plays a script on sockets with a live table on standard output.
///
/// # Errors
/// Where it can't be played.
pub fn play(script: &Script, slack: Micros) -> Result<CheckReport, SocketScenarioError> {
    let fleet = &script.fleet;
    println!("{}", script.title);
    println!(
        "boxes {}, proxies {}, {} requests a second for {} s, on loopback sockets; times count from when all is up",
        fleet.backends, fleet.proxies, script.traffic.per_s, script.seconds
    );
    print!("{}", programme(script));
    println!("\n time   asked served refused failed   goodput   boxes");
    let mut before = ProgressCounts::default();
    let day = sockets::play(script, slack, |second| {
        println!("{}", line(second, before));
        before = second.progress;
    })?;
    println!("\n{}", day.judgement);
    Ok(day.judgement)
}

/// The demo as it is shipped.
///
/// # Errors
/// Where it can't be played.
pub fn demo() -> Result<CheckReport, DemoError> {
    let script = Script::parse(SCRIPT, Path::new("demo.toml"))?;
    let judgement = play(&script, SLACK)?;
    if judgement.is_clean() {
        println!(
            "No rule was broken: every request got one answer in its time, nothing ran twice, no drained box"
        );
        println!("got anything new after a second, and no cold box was pushed over.");
    }
    Ok(judgement)
}
