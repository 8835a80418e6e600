//! The snapshot of learned limits that a process leaves for its successor: one file in the temporary folder, replaced
//! atomically.
//!
//! It only improves the successor's start: one that is absent, old, damaged or of another version is ignored.

use crate::exclusions::Micros;
use crate::file_names::file_name_part;
use serde::{Deserialize, Serialize};
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use thiserror::Error;
use tokio::task::spawn_blocking;

/// The version of the file's format; a file of another one is not read.
const FORMAT_VERSION: u32 = 2;
/// The largest file that is written or read, in bytes; thousands of backends fit.
const MAX_FILE_BYTES: usize = 1 << 20;
/// The oldest snapshot that is restored, microseconds: limits follow a load that changes within seconds.
const MAX_SNAPSHOT_AGE: Micros = 5_000_000;

/// The learned limit of one backend.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredLimit {
    /// The backend's number, the same in every process.
    pub backend: u32,
    /// When the backend's process started, microseconds since the Unix epoch.
    #[serde(rename = "started")]
    pub started_at: Option<Micros>,
    /// Concurrent requests.
    pub limit: f64,
    /// Whether the limit is the one shared by the backend's machine kind.
    #[serde(rename = "common")]
    pub is_shared: bool,
}

/// The learned limit of one machine kind; stored as a pair.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, bool)", into = "(f64, bool)")]
pub struct StoredKindLimit {
    /// Concurrent requests.
    pub limit: f64,
    /// Whether the limit is still doubling.
    pub is_doubling: bool,
}

impl From<(f64, bool)> for StoredKindLimit {
    fn from((limit, is_doubling): (f64, bool)) -> Self {
        Self { limit, is_doubling }
    }
}

impl From<StoredKindLimit> for (f64, bool) {
    fn from(kind: StoredKindLimit) -> Self {
        (kind.limit, kind.is_doubling)
    }
}

/// The learned latency of one request class on one machine kind; stored as a triple.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(u32, f64, Option<f64>)", into = "(u32, f64, Option<f64>)")]
pub struct StoredLatency {
    /// The number of samples.
    pub samples: u32,
    /// The mean, microseconds.
    pub mean: f64,
    /// The latency without queueing, microseconds.
    pub baseline: Option<f64>,
}

impl From<(u32, f64, Option<f64>)> for StoredLatency {
    fn from((samples, mean, baseline): (u32, f64, Option<f64>)) -> Self {
        Self { samples, mean, baseline }
    }
}

impl From<StoredLatency> for (u32, f64, Option<f64>) {
    fn from(latency: StoredLatency) -> Self {
        (latency.samples, latency.mean, latency.baseline)
    }
}

/// The learned state as the file holds it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoredLearnedState {
    /// The backends' limits.
    #[serde(rename = "servers")]
    pub backends: Vec<StoredLimit>,
    /// The machine kinds' limits.
    #[serde(rename = "kinds")]
    pub machine_kinds: Vec<StoredKindLimit>,
    /// The latencies of request classes on machine kinds.
    pub latencies: Vec<StoredLatency>,
    /// The most requests served in one second.
    #[serde(rename = "peak")]
    pub peak_rate: f64,
    /// The fraction of requests that is rejected, 0 to 1.
    #[serde(rename = "refused")]
    pub rejected_fraction: f64,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct SnapshotDocument {
    version: u32,
    /// The fingerprint of the configuration's classes, kinds and zones.
    #[serde(rename = "of")]
    configuration: u64,
    #[serde(rename = "at")]
    written_at: Micros,
    #[serde(rename = "learnt")]
    learned: StoredLearnedState,
}

/// Why a snapshot could not be written or restored.
#[derive(Debug, Error)]
pub enum SnapshotError {
    /// A call of the file system failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// It is not the JSON of this format.
    #[error("not readable: {0}")]
    Malformed(#[from] serde_json::Error),
    /// It is of this other format version.
    #[error("version {0} is not {FORMAT_VERSION}")]
    Version(u32),
    /// It is older than `MAX_SNAPSHOT_AGE`, or from the future.
    #[error("it is not of the last {} s", MAX_SNAPSHOT_AGE / 1_000_000)]
    Expired,
    /// It belongs to a configuration with other classes, kinds or zones.
    #[error("it is of another configuration")]
    OtherConfiguration,
    /// The value of this key is out of range.
    #[error("`{0}` makes no sense")]
    InvalidValue(&'static str),
    /// It is larger than `MAX_FILE_BYTES`.
    #[error("larger than {MAX_FILE_BYTES} bytes")]
    TooLarge,
}

/// Parses a snapshot of this configuration, given by its fingerprint, at the time `now`.
///
/// # Errors
/// Where it is malformed, of another version or configuration, expired, or holds values out of range.
pub fn parse(text: &[u8], configuration: u64, now: Micros) -> Result<StoredLearnedState, SnapshotError> {
    let document: SnapshotDocument = serde_json::from_slice(text)?;
    if document.version != FORMAT_VERSION {
        return Err(SnapshotError::Version(document.version));
    }
    if document.configuration != configuration {
        return Err(SnapshotError::OtherConfiguration);
    }
    if document.written_at > now || now - document.written_at > MAX_SNAPSHOT_AGE {
        return Err(SnapshotError::Expired);
    }
    check_values(&document.learned)?;
    Ok(document.learned)
}

fn check_values(learned: &StoredLearnedState) -> Result<(), SnapshotError> {
    let check = |valid: bool, key| if valid { Ok(()) } else { Err(SnapshotError::InvalidValue(key)) };
    let is_positive = |value: f64| value.is_finite() && value > 0.0;
    let is_valid_latency =
        |latency: &StoredLatency| is_positive(latency.mean) && latency.baseline.is_none_or(is_positive);
    check(learned.backends.iter().all(|backend| is_positive(backend.limit)), "servers.limit")?;
    check(learned.machine_kinds.iter().all(|kind| is_positive(kind.limit)), "kinds")?;
    check(learned.latencies.iter().all(is_valid_latency), "latencies")?;
    check(learned.peak_rate.is_finite() && learned.peak_rate >= 0.0, "peak")?;
    check((0.0..=1.0).contains(&learned.rejected_fraction), "refused")
}

/// The snapshot file of a proxy.
#[derive(Clone, Debug)]
pub struct SnapshotFile {
    path: PathBuf,
}

impl SnapshotFile {
    /// The snapshot file of the proxy `name` in `folder`. Nothing is read yet.
    #[must_use]
    pub fn new(folder: &Path, name: &str) -> Self {
        Self { path: folder.join(format!("haventrack-{}.learnt.json", file_name_part(name))) }
    }

    /// Writes the learned state of a configuration, given by its fingerprint. Runs on a blocking thread: a rename over a file
    /// can take as long as the write.
    ///
    /// # Errors
    /// Where the state is too large or the write fails; the previous snapshot remains.
    pub async fn write(
        &self,
        configuration: u64,
        now: Micros,
        learned: StoredLearnedState,
    ) -> Result<(), SnapshotError> {
        let document = SnapshotDocument { version: FORMAT_VERSION, configuration, written_at: now, learned };
        let text = serde_json::to_vec(&document)?;
        if text.len() > MAX_FILE_BYTES {
            return Err(SnapshotError::TooLarge);
        }
        let path = self.path.clone();
        // Two processes may write at once: each has a temporary file of its own.
        let new_path = path.with_extension(format!("new-{}", std::process::id()));
        let replace_file = move || {
            File::create(&new_path)?.write_all(&text)?;
            fs::rename(&new_path, &path)
        };
        Ok(spawn_blocking(replace_file).await.map_err(io::Error::other)??)
    }

    /// The state that another process with this configuration has learned.
    ///
    /// # Errors
    /// Where the file cannot be read, or [`parse`] rejects it.
    pub fn read(&self, configuration: u64, now: Micros) -> Result<StoredLearnedState, SnapshotError> {
        let mut text = Vec::new();
        File::open(&self.path)?.take(MAX_FILE_BYTES as u64).read_to_end(&mut text)?;
        parse(&text, configuration, now)
    }
}

#[cfg(test)]
mod tests;
