//! The scale run: thousands of simulated proxies, real relays and sources, and some real proxies with their agents, play a
//! script of ordinary load and faults. It measures the propagation time of changes and the cost of the control plane, and
//! checks that every replica equals the changes that its sources acknowledged.
//!
//! Without I/O: [`script`], [`population`], [`plan`], [`model`], [`checker`], [`propagation`], [`version_monitor`],
//! [`fault_injection`], [`reachability`], [`stale_sends`], [`report`]. All other modules do I/O.

pub mod checker;
pub mod fault_injection;
mod link_proxy;
mod lists;
pub mod messages;
pub mod model;
mod network;
pub mod plan;
pub mod population;
mod programs;
pub mod propagation;
pub mod reachability;
mod real_proxies;
pub mod report;
mod run;
pub mod script;
mod simulated_proxies;
pub mod simulated_proxy;
pub mod stale_sends;
pub mod version_monitor;

pub use run::{RunOptions, play};

use std::io;
use thiserror::Error;

/// Why a script could not be played to its end.
#[derive(Debug, Error)]
pub enum ScaleError {
    /// The script is invalid.
    #[error(transparent)]
    Script(#[from] script::ScaleScriptError),
    /// The script of the real proxies is invalid.
    #[error(transparent)]
    Fleet(#[from] crate::script::ScriptError),
    /// A program could not be started.
    #[error("{0} could not be started: {1}")]
    Start(String, io::Error),
    /// A program exited or does not work: its name, what happened, and the end of its log.
    #[error("{0} {1}; its last words: {2}")]
    Ended(String, String, String),
    /// The connection to a process of simulated proxies failed.
    #[error("{0} can't be spoken with: {1}")]
    Words(String, io::Error),
    /// A source did not acknowledge a change.
    #[error("source {0} took no change: {1}")]
    Write(usize, String),
    /// The records of a source could not be read.
    #[error("source {0} could not be read: {1}")]
    Read(usize, String),
    /// The fleet did not converge before the first step: seconds allowed, and an example.
    #[error("the fleet did not get whole before its first step within {0} s: {1}")]
    NotWhole(f64, String),
    /// The run exceeds its memory bound: megabytes used, and the bound.
    #[error("{0} MB are taken, {1} MB at most; make the script's size smaller, or play a --part of it")]
    Memory(u64, u64),
    /// An error of sockets, files or the runtime.
    #[error("{0}")]
    Io(#[from] io::Error),
}

#[cfg(test)]
mod tests;
