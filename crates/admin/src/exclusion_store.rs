//! Persistence of exclusions in one file, which is replaced atomically.
//!
//! Each change locks the file with an advisory lock, re-reads it, since another process of the same proxy may
//! have written it, and replaces it by a rename. A damaged file is renamed out of the way and reported.

use crate::exclusions::{Exclusions, TooManyExclusions};
use crate::file_names::file_name_part;
use crate::machine_time::MachineTime;
use serde::{Deserialize, Serialize};
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Read, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;
use tokio::task::spawn_blocking;
use tokio::time::{sleep, timeout};

/// The version of the file's format; files of other versions are treated as damaged.
const FORMAT_VERSION: u32 = 1;
/// The maximum number of bytes that are read. [`MAX_EXCLUSIONS`](crate::exclusions::MAX_EXCLUSIONS) entries
/// with ids of the maximum length fit.
const MAX_FILE_BYTES: u64 = 4 << 20;
/// Attempts to lock the file. With [`LOCK_RETRY_DELAY`] between them they take 300 ms; together with
/// [`WRITE_TIMEOUT`] that stays below the second within which a console command is answered.
const MAX_LOCK_ATTEMPTS: u32 = 60;
const LOCK_RETRY_DELAY: Duration = Duration::from_millis(5);
/// How long the write of a change may take.
const WRITE_TIMEOUT: Duration = Duration::from_millis(550);

/// Why exclusions could not be read or persisted.
#[derive(Debug, Error)]
pub enum StoreError {
    /// A file system call on this path failed.
    #[error("{0}: {1}")]
    Io(PathBuf, io::Error),
    /// The content of this file is not valid.
    #[error("{0} is damaged: {1}")]
    Damaged(PathBuf, ParseError),
    /// Another process had this lock file locked during all attempts.
    #[error("{0} is held by another process")]
    Locked(PathBuf),
    /// The write to this path took longer than `WRITE_TIMEOUT`. It may still complete.
    #[error("{0} was not written within {ms} ms; the change may hold yet", ms = WRITE_TIMEOUT.as_millis())]
    WriteTimeout(PathBuf),
    /// The change would exceed the maximum number of exclusions.
    #[error(transparent)]
    TooManyExclusions(#[from] TooManyExclusions),
}

/// Why the content of an exclusions file is not valid.
#[derive(Debug, Error)]
pub enum ParseError {
    /// The content is not JSON, or lacks the fields of the format.
    #[error("{0}")]
    Malformed(#[from] serde_json::Error),
    /// The file has this format version, which is not supported.
    #[error("format version {0} is not supported, expected {FORMAT_VERSION}")]
    Version(u32),
    /// The entries exceed the limits that [`Exclusions::is_within_bounds`] checks.
    #[error("too many entries, or an id that is empty or too long")]
    OutOfBounds,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct ExclusionsDocument {
    version: u32,
    #[serde(rename = "bans")]
    exclusions: Exclusions,
}

/// Identifies one version of the file. Each write creates a new file and renames it, so the inode changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FileVersion {
    inode: u64,
    modified_seconds: i64,
    modified_nanoseconds: i64,
    size_bytes: u64,
}

/// Reads and writes the exclusions file of one proxy, and the lock file next to it.
#[derive(Clone, Debug)]
pub struct ExclusionStore {
    path: PathBuf,
    lock_path: PathBuf,
    time: MachineTime,
}

/// Parses the content of an exclusions file. The points in time are machine time, see [`MachineTime`].
///
/// # Errors
/// If it is malformed, has another format version, or exceeds the limits on entries.
pub fn parse(text: &[u8]) -> Result<Exclusions, ParseError> {
    let document: ExclusionsDocument = serde_json::from_slice(text)?;
    if document.version != FORMAT_VERSION {
        return Err(ParseError::Version(document.version));
    }
    if document.exclusions.is_within_bounds() {
        Ok(document.exclusions)
    } else {
        Err(ParseError::OutOfBounds)
    }
}

impl ExclusionStore {
    /// Creates the store of the proxy `name` with its files in `directory`, without any I/O. `time` converts
    /// the stored points in time.
    #[must_use]
    pub fn new(directory: &Path, name: &str, time: MachineTime) -> Self {
        let name = file_name_part(name);
        Self {
            time,
            path: directory.join(format!("haventrack-{name}.bans.json")),
            lock_path: directory.join(format!("haventrack-{name}.bans.lock")),
        }
    }

    /// Reads the persisted exclusions, with points in time in process time. Without a file there are no
    /// exclusions.
    ///
    /// # Errors
    /// [`StoreError::Io`] if the file cannot be read, [`StoreError::Damaged`] if its content is not valid.
    pub fn load(&self) -> Result<Exclusions, StoreError> {
        let mut text = Vec::new();
        match File::open(&self.path) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(Exclusions::default()),
            Err(error) => return Err(self.io_error(error)),
            Ok(file) => file.take(MAX_FILE_BYTES).read_to_end(&mut text).map_err(|e| self.io_error(e))?,
        };
        let exclusions = parse(&text).map_err(|error| StoreError::Damaged(self.path.clone(), error))?;
        Ok(exclusions.map_times(|at| self.time.to_process_time(at)))
    }

    /// The current version of the file, for detecting changes; `None` if the file is absent or cannot be
    /// examined.
    #[must_use]
    pub fn version(&self) -> Option<FileVersion> {
        let meta = fs::metadata(&self.path).ok()?;
        Some(FileVersion {
            inode: meta.ino(),
            modified_seconds: meta.mtime(),
            modified_nanoseconds: meta.mtime_nsec(),
            size_bytes: meta.size(),
        })
    }

    /// Applies `change` to the persisted exclusions and writes them. Returns the new exclusions and the
    /// result of `change`.
    ///
    /// A damaged file is renamed and reported to `on_damaged`; the change is then applied to `current`
    /// instead. The write runs on a blocking thread, which releases the lock when the write is done.
    ///
    /// # Errors
    /// If the change is rejected, or the file cannot be locked, read or written. The file may then still
    /// change in two cases: after [`StoreError::WriteTimeout`] the write may complete, and after a failed
    /// sync the new file is already in place.
    pub async fn change<R>(
        &self,
        current: &Exclusions,
        change: impl FnOnce(&mut Exclusions) -> Result<R, TooManyExclusions>,
        on_damaged: impl FnOnce(StoreError),
    ) -> Result<(Exclusions, R), StoreError> {
        let lock = self.acquire_lock().await?;
        let mut exclusions = match self.load() {
            Ok(exclusions) => exclusions,
            Err(error @ StoreError::Damaged(..)) => {
                self.set_aside_damaged().map_err(|e| self.io_error(e))?;
                on_damaged(error);
                current.clone()
            }
            Err(error) => return Err(error),
        };
        let result = change(&mut exclusions)?;
        self.write(&exclusions, lock).await?;
        Ok((exclusions, result))
    }

    /// Writes the exclusions with points in time in machine time. The lock is released when the write is
    /// done.
    async fn write(&self, exclusions: &Exclusions, lock: File) -> Result<(), StoreError> {
        let exclusions = exclusions.map_times(|at| self.time.to_machine_time(at));
        let document = ExclusionsDocument { version: FORMAT_VERSION, exclusions };
        let text = serde_json::to_vec(&document).map_err(|e| self.io_error(e.into()))?;
        let path = self.path.clone();
        let write_task = spawn_blocking(move || {
            let written = replace_file(&path, &text);
            drop(lock);
            written
        });
        match timeout(WRITE_TIMEOUT, write_task).await {
            Err(_) => Err(StoreError::WriteTimeout(self.path.clone())),
            Ok(Err(panicked)) => Err(self.io_error(io::Error::other(panicked))),
            Ok(Ok(written)) => written.map_err(|e| self.io_error(e)),
        }
    }

    /// Renames a damaged file: it can be examined later, and no longer prevents changes.
    fn set_aside_damaged(&self) -> io::Result<()> {
        fs::rename(&self.path, self.path.with_extension("damaged"))
    }

    async fn acquire_lock(&self) -> Result<File, StoreError> {
        let lock_error = |error| StoreError::Io(self.lock_path.clone(), error);
        let file = OpenOptions::new().create(true).truncate(false).write(true).open(&self.lock_path);
        let file = file.map_err(lock_error)?;
        for _ in 0..MAX_LOCK_ATTEMPTS {
            match file.try_lock() {
                Ok(()) => return Ok(file),
                Err(TryLockError::WouldBlock) => sleep(LOCK_RETRY_DELAY).await,
                Err(TryLockError::Error(error)) => return Err(lock_error(error)),
            }
        }
        Err(StoreError::Locked(self.lock_path.clone()))
    }

    fn io_error(&self, error: io::Error) -> StoreError {
        StoreError::Io(self.path.clone(), error)
    }
}

/// Replaces a file atomically and syncs its data. A complete file whose sync failed is renamed nevertheless:
/// other processes can read it, and the caller retries the write until the sync succeeds.
fn replace_file(path: &Path, text: &[u8]) -> io::Result<()> {
    let new_path = path.with_extension("new");
    let mut file = File::create(&new_path)?;
    file.write_all(text)?;
    let synced = file.sync_data();
    fs::rename(&new_path, path)?;
    synced
}
