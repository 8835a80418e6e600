//! What a process has learnt, as the one that takes its place reads it: one file in the temporary folder, replaced whole.
//!
//! It is no more than a better start. One that is absent, old, cut, senseless or of another version means a plain one.

use crate::exclusion_store::file_name;
use crate::exclusions::Micros;
use serde::{Deserialize, Serialize};
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use thiserror::Error;
use tokio::task::spawn_blocking;

/// The form of the file. Another one is not read.
const VERSION: u32 = 2;
/// The largest file that is written or read, in bytes; thousands of servers fit in.
const FILE_CAP: usize = 1 << 20;
/// What is older tells too little, microseconds: limits follow a load that changes within seconds.
const FRESH: Micros = 5_000_000;

/// The limit of one server.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredLimit {
    /// Its number, the same in every process.
    pub backend: u32,
    /// When its process started, microseconds since the Unix epoch.
    pub started: Option<Micros>,
    /// The limit.
    pub limit: f64,
    /// It is its kind's.
    pub common: bool,
}

/// What was learnt.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoredLearnedState {
    /// Of the servers.
    pub servers: Vec<StoredLimit>,
    /// Of the kinds of machines: limit, and whether it still doubles.
    pub kinds: Vec<(f64, bool)>,
    /// Of the classes on them: samples, mean and uncrowded latency.
    pub latencies: Vec<(u32, f64, Option<f64>)>,
    /// The most requests served in a second.
    pub peak: f64,
    /// The part of the requests that is refused.
    pub refused: f64,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Kept {
    version: u32,
    /// Whose classes, kinds and zones the figures are of.
    of: u64,
    at: Micros,
    learnt: StoredLearnedState,
}

/// Why a snapshot is not gone on from.
#[derive(Debug, Error)]
pub enum SnapshotError {
    /// A call of the file system failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// It is not what is written here.
    #[error("not readable: {0}")]
    Malformed(#[from] serde_json::Error),
    /// Its form is another.
    #[error("version {0} is not {VERSION}")]
    Version(u32),
    /// It was written too long ago, or by a clock that is ahead.
    #[error("it is not of the last {} s", FRESH / 1_000_000)]
    Old,
    /// It is of a configuration with other classes, kinds or zones.
    #[error("it is of another configuration")]
    Another,
    /// A figure makes no sense.
    #[error("`{0}` makes no sense")]
    Senseless(&'static str),
    /// It is larger than there is room for.
    #[error("larger than {FILE_CAP} bytes")]
    TooLarge,
}

/// Reads the text of a snapshot of this configuration at a time.
///
/// # Errors
/// Why it can't be gone on from.
pub fn parse(text: &[u8], own: u64, now: Micros) -> Result<StoredLearnedState, SnapshotError> {
    let Kept { version, of, at, learnt } = serde_json::from_slice(text)?;
    if version != VERSION {
        return Err(SnapshotError::Version(version));
    }
    if of != own {
        return Err(SnapshotError::Another);
    }
    if at > now || now - at > FRESH {
        return Err(SnapshotError::Old);
    }
    let check = |good: bool, what| if good { Ok(()) } else { Err(SnapshotError::Senseless(what)) };
    let positive = |figure: f64| figure.is_finite() && figure > 0.0;
    check(learnt.servers.iter().all(|s| positive(s.limit)), "servers.limit")?;
    check(learnt.kinds.iter().all(|k| positive(k.0)), "kinds")?;
    let latency = |l: &(u32, f64, Option<f64>)| positive(l.1) && l.2.is_none_or(positive);
    check(learnt.latencies.iter().all(latency), "latencies")?;
    check(learnt.peak.is_finite() && learnt.peak >= 0.0, "peak")?;
    check((0.0..=1.0).contains(&learnt.refused), "refused")?;
    Ok(learnt)
}

/// The file of a proxy.
#[derive(Clone, Debug)]
pub struct SnapshotFile(PathBuf);

impl SnapshotFile {
    /// The snapshot of the proxy of this name. Nothing is read yet.
    #[must_use]
    pub fn new(folder: &Path, name: &str) -> Self {
        Self(folder.join(format!("haventrack-{}.learnt.json", file_name(name))))
    }

    /// Writes what was learnt until now in a configuration, on a thread that may wait for the disk: to rename over a file can take as long
    /// as to write it there.
    ///
    /// # Errors
    /// Where that fails; the one before stays.
    pub async fn write(&self, of: u64, now: Micros, learnt: StoredLearnedState) -> Result<(), SnapshotError> {
        let text = serde_json::to_vec(&Kept { version: VERSION, of, at: now, learnt })?;
        if text.len() > FILE_CAP {
            return Err(SnapshotError::TooLarge);
        }
        let path = self.0.clone();
        // Two processes may write at once.
        let new = path.with_extension(format!("new-{}", std::process::id()));
        let write = move || {
            File::create(&new)?.write_all(&text)?;
            fs::rename(&new, &path)
        };
        Ok(spawn_blocking(write).await.map_err(io::Error::other)??)
    }

    /// What another process of this configuration has learnt.
    ///
    /// # Errors
    /// Why there is nothing to go on from.
    pub fn read(&self, own: u64, now: Micros) -> Result<StoredLearnedState, SnapshotError> {
        let mut text = Vec::new();
        File::open(&self.0)?.take(FILE_CAP as u64).read_to_end(&mut text)?;
        parse(&text, own, now)
    }
}

#[cfg(test)]
mod tests;
