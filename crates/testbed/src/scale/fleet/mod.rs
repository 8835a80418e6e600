//! The scale run: thousands of hollow proxies, real relays and sources, and some real proxies with their agents, through a
//! script of ordinary and bad moments. What is in force how soon, whether all hold exactly what their sources say, and
//! what it costs.
//!
//! Pure: [`script`], [`population`], [`plan`], [`model`], [`checker`], [`propagation`], [`version_monitor`], [`injected_fault`], [`reachability`], [`stale_sends`],
//! [`report`]. With I/O: [`simulated_proxy`] and its words, `programs`, `simulated_proxies`, `link_proxy`, `real_proxies`, `network`, `run`.

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

/// Why nothing was played, or not to its end.
#[derive(Debug, Error)]
pub enum ScaleError {
    /// The script.
    #[error(transparent)]
    Script(#[from] script::ScaleScriptError),
    /// The fleet's script of the real proxies.
    #[error(transparent)]
    Fleet(#[from] crate::script::ScriptError),
    /// A program could not be started.
    #[error("{0} could not be started: {1}")]
    Start(String, io::Error),
    /// A program ended, or does not do what it is there for.
    #[error("{0} {1}; its last words: {2}")]
    Ended(String, String, String),
    /// What a hollow process says.
    #[error("{0} can't be spoken with: {1}")]
    Words(String, io::Error),
    /// A source did not take a change.
    #[error("source {0} took no change: {1}")]
    Write(usize, String),
    /// What a source says of itself could not be read.
    #[error("source {0} could not be read: {1}")]
    Read(usize, String),
    /// Not all were equal at the beginning.
    #[error("the fleet did not get whole before its first step within {0} s: {1}")]
    NotWhole(f64, String),
    /// Memory beyond what a run may take.
    #[error("{0} MB are taken, {1} MB at most; make the script's size smaller, or play a --part of it")]
    Memory(u64, u64),
    /// Sockets, files or the runtime.
    #[error("{0}")]
    Io(#[from] io::Error),
}

#[cfg(test)]
mod tests;
