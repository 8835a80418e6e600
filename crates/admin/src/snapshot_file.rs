//! The snapshot of the learned state that a process writes for its successor: one file, which is replaced
//! atomically.
//!
//! It is an optimisation of the successor's start: a snapshot that is absent, expired, damaged or of another
//! version or configuration is not restored.

use crate::exclusions::Micros;
use crate::file_names::file_name_part;
use serde::{Deserialize, Serialize};
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use thiserror::Error;
use tokio::task::spawn_blocking;

/// The version of the file's format; files of other versions are not restored.
const FORMAT_VERSION: u32 = 2;
/// The maximum number of bytes that are written or read; the limits of thousands of backends fit.
const MAX_FILE_BYTES: usize = 1 << 20;
/// The maximum age of a snapshot that is restored, in microseconds. The load, and with it the limits, changes
/// within seconds.
const MAX_SNAPSHOT_AGE: Micros = 5_000_000;

/// The learned concurrency limit of one backend.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredLimit {
    /// The backend's number, which is the same in all processes.
    pub backend: u32,
    /// When the backend's process started, in microseconds since the Unix epoch, if known.
    #[serde(rename = "started")]
    pub started_at: Option<Micros>,
    /// The limit, in concurrent requests.
    pub limit: f64,
    /// Whether the backend uses the limit of its machine kind.
    #[serde(rename = "common")]
    pub is_shared: bool,
}

/// The learned concurrency limit of one machine kind; serialized as a pair.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, bool)", into = "(f64, bool)")]
pub struct StoredKindLimit {
    /// The limit, in concurrent requests.
    pub limit: f64,
    /// Whether the limit still grows by doubling.
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

/// The learned latency of one request class on one machine kind; serialized as a triple.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(u32, f64, Option<f64>)", into = "(u32, f64, Option<f64>)")]
pub struct StoredLatency {
    /// The number of samples behind the mean.
    pub samples: u32,
    /// The mean, in microseconds.
    pub mean: f64,
    /// The latency without queueing, in microseconds, if known.
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

/// The learned state in the form in which it is stored.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoredLearnedState {
    /// The concurrency limits of backends.
    #[serde(rename = "servers")]
    pub backends: Vec<StoredLimit>,
    /// The concurrency limits of machine kinds, by the kind's index.
    #[serde(rename = "kinds")]
    pub machine_kinds: Vec<StoredKindLimit>,
    /// The latencies of request classes on machine kinds.
    pub latencies: Vec<StoredLatency>,
    /// The peak rate of served requests, per second.
    #[serde(rename = "peak")]
    pub peak_rate: f64,
    /// The fraction of requests that is rejected, from 0 to 1.
    #[serde(rename = "refused")]
    pub rejected_fraction: f64,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct SnapshotDocument {
    version: u32,
    /// Covers the configuration's request classes, machine kinds and zones.
    #[serde(rename = "of")]
    configuration_fingerprint: u64,
    #[serde(rename = "at")]
    written_at: Micros,
    #[serde(rename = "learnt")]
    learned: StoredLearnedState,
}

/// Why a snapshot was not written or not restored.
#[derive(Debug, Error)]
pub enum SnapshotError {
    /// A file system call failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The content is not JSON, or lacks the fields of the format.
    #[error("the snapshot is malformed: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The snapshot has this format version, which is not supported.
    #[error("the snapshot has format version {0}, expected {FORMAT_VERSION}")]
    Version(u32),
    /// The snapshot is older than `MAX_SNAPSHOT_AGE`, or its time is in the future.
    #[error("the snapshot was not written within the last {} s", MAX_SNAPSHOT_AGE / 1_000_000)]
    Expired,
    /// The snapshot belongs to a configuration with other request classes, machine kinds or zones.
    #[error("the snapshot belongs to a configuration with other classes, kinds or zones")]
    OtherConfiguration,
    /// The value of this key is out of range.
    #[error("the value of `{0}` in the snapshot is out of range")]
    InvalidValue(&'static str),
    /// The snapshot to write is larger than `MAX_FILE_BYTES`.
    #[error("the snapshot is larger than {MAX_FILE_BYTES} bytes")]
    TooLarge,
}

/// Parses a snapshot and checks that it applies: to the configuration with this fingerprint, at the time
/// `now`.
///
/// # Errors
/// If it is malformed, has another version or configuration, is expired, or contains a value that is out of
/// range.
pub fn parse(
    text: &[u8],
    configuration_fingerprint: u64,
    now: Micros,
) -> Result<StoredLearnedState, SnapshotError> {
    let document: SnapshotDocument = serde_json::from_slice(text)?;
    if document.version != FORMAT_VERSION {
        return Err(SnapshotError::Version(document.version));
    }
    if document.configuration_fingerprint != configuration_fingerprint {
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

/// The snapshot file of one proxy, shared by its processes.
#[derive(Clone, Debug)]
pub struct SnapshotFile {
    path: PathBuf,
}

impl SnapshotFile {
    /// Creates the accessor of the snapshot file of the proxy `name` in `directory`, without any I/O.
    #[must_use]
    pub fn new(directory: &Path, name: &str) -> Self {
        Self { path: directory.join(format!("haventrack-{}.learnt.json", file_name_part(name))) }
    }

    /// Writes the learned state under the configuration with this fingerprint. The file is written and
    /// renamed on a blocking thread: a rename over an existing file can take as long as the write.
    ///
    /// # Errors
    /// If the state is too large or the write fails; the previous snapshot remains.
    pub async fn write(
        &self,
        configuration_fingerprint: u64,
        now: Micros,
        learned: StoredLearnedState,
    ) -> Result<(), SnapshotError> {
        let document =
            SnapshotDocument { version: FORMAT_VERSION, configuration_fingerprint, written_at: now, learned };
        let text = serde_json::to_vec(&document)?;
        if text.len() > MAX_FILE_BYTES {
            return Err(SnapshotError::TooLarge);
        }
        let path = self.path.clone();
        // Two processes may write at the same time, so each one uses its own temporary file.
        let new_path = path.with_extension(format!("new-{}", std::process::id()));
        let replace_file = move || {
            File::create(&new_path)?.write_all(&text)?;
            fs::rename(&new_path, &path)
        };
        Ok(spawn_blocking(replace_file).await.map_err(io::Error::other)??)
    }

    /// Reads the learned state that a process with the same configuration has written.
    ///
    /// # Errors
    /// If the file cannot be read, or [`parse`] rejects it.
    pub fn read(
        &self,
        configuration_fingerprint: u64,
        now: Micros,
    ) -> Result<StoredLearnedState, SnapshotError> {
        let mut text = Vec::new();
        File::open(&self.path)?.take(MAX_FILE_BYTES as u64).read_to_end(&mut text)?;
        parse(&text, configuration_fingerprint, now)
    }
}

#[cfg(test)]
mod tests;
