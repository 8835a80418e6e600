//! The scale run: plays a script of ordinary load and faults on thousands of simulated proxies, real relays
//! and sources, and some real proxies with their agents. It measures the propagation time of changes and the
//! cost of the control plane, and checks that every replica equals the changes that its sources acknowledged.
//!
//! Without I/O, apart from reading a script: [`script`], [`population`], [`plan`], [`model`], [`checker`],
//! [`propagation`], [`version_monitor`], [`fault_injection`], [`reachability`], [`stale_sends`], [`report`].
//! All other modules do I/O.

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

/// Errors that stop a run before the end of its script.
#[derive(Debug, Error)]
pub enum ScaleError {
    /// The script is invalid.
    #[error(transparent)]
    Script(#[from] script::ScaleScriptError),
    /// The generated script that configures the real proxies is invalid.
    #[error(transparent)]
    Fleet(#[from] crate::script::ScriptError),
    /// A program could not be started: its name and the cause.
    #[error("{0} could not be started: {1}")]
    Start(String, io::Error),
    /// A program exited or does not work: its name, what happened, and the end of its log.
    #[error("{0} {1}; its log ends with: {2}")]
    ProgramFailed(String, String, String),
    /// The connection to a process of simulated proxies failed: the process's name and the cause.
    #[error("connection to {0} failed: {1}")]
    Connection(String, io::Error),
    /// A source did not acknowledge a change: its number and the cause.
    #[error("source {0} did not acknowledge a change: {1}")]
    Write(usize, String),
    /// The records of a source could not be read: its number and the cause.
    #[error("the records of source {0} could not be read: {1}")]
    Read(usize, String),
    /// The fleet did not converge before the first step: seconds allowed, and an example of a lagging proxy.
    #[error("the fleet did not converge within {0} s before the first step: {1}")]
    NotConverged(f64, String),
    /// The processes of the run exceed their memory bound: megabytes used, and the bound.
    #[error("the run uses {0} MB of memory, {1} MB are allowed; reduce the script's size, or use --part")]
    Memory(u64, u64),
    /// An error of sockets, files or the runtime.
    #[error("{0}")]
    Io(#[from] io::Error),
}

#[cfg(test)]
mod tests;
