//! Persistence of exclusions: one file in the temporary folder, replaced atomically.
//!
//! Each change reads the file again under an advisory lock, since another process of the same proxy may have written it, and
//! replaces it by rename. A damaged file is set aside and reported.

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

/// The version of the file's format; a file of another one is not read.
const FORMAT_VERSION: u32 = 1;
/// The largest file that is read, in bytes: [`MAX_EXCLUSIONS`](crate::exclusions::MAX_EXCLUSIONS) entries with the longest
/// ids fit.
const MAX_FILE_BYTES: u64 = 4 << 20;
/// Attempts to lock the file. With [`WRITE_TIMEOUT`] they stay within the second in which a console command is answered.
const MAX_LOCK_ATTEMPTS: u32 = 60;
const LOCK_RETRY_DELAY: Duration = Duration::from_millis(5);
/// How long the disk may take for a change.
const WRITE_TIMEOUT: Duration = Duration::from_millis(550);

/// Why exclusions could not be read or persisted.
#[derive(Debug, Error)]
pub enum StoreError {
    /// A call of the file system failed.
    #[error("{0}: {1}")]
    Io(PathBuf, io::Error),
    /// The file's content is not valid.
    #[error("{0} is damaged: {1}")]
    Damaged(PathBuf, ParseError),
    /// Another process holds the lock.
    #[error("{0} is held by another process")]
    Locked(PathBuf),
    /// The write took longer than `WRITE_TIMEOUT`. It may still complete.
    #[error("{0} was not written within {ms} ms; the change may hold yet", ms = WRITE_TIMEOUT.as_millis())]
    WriteTimeout(PathBuf),
    /// The bound on exclusions is reached.
    #[error(transparent)]
    TooManyExclusions(#[from] TooManyExclusions),
}

/// Why a file's content is not valid.
#[derive(Debug, Error)]
pub enum ParseError {
    /// It is not the JSON of this format.
    #[error("{0}")]
    Malformed(#[from] serde_json::Error),
    /// It is of this other format version.
    #[error("version {0} is not {FORMAT_VERSION}")]
    Version(u32),
    /// Its entries exceed the bounds of [`Exclusions::is_within_bounds`].
    #[error("more or longer ids than there may be")]
    OutOfBounds,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct ExclusionsDocument {
    version: u32,
    #[serde(rename = "bans")]
    exclusions: Exclusions,
}

/// Identifies one version of the file: each is a file of its own, put in place by rename.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FileVersion {
    inode: u64,
    modified_seconds: i64,
    modified_nanoseconds: i64,
    /// In bytes.
    size: u64,
}

/// The file of exclusions and the lock file beside it.
#[derive(Clone, Debug)]
pub struct ExclusionStore {
    path: PathBuf,
    lock_path: PathBuf,
    time: MachineTime,
}

/// Parses the content of a file.
///
/// # Errors
/// Where it is malformed, of another format version, or beyond the bounds.
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
    /// The store of the proxy `name` in `folder`; `time` converts the times that it holds. Nothing is read yet.
    #[must_use]
    pub fn new(folder: &Path, name: &str, time: MachineTime) -> Self {
        let name = file_name_part(name);
        Self {
            time,
            path: folder.join(format!("haventrack-{name}.bans.json")),
            lock_path: folder.join(format!("haventrack-{name}.bans.lock")),
        }
    }

    /// The persisted exclusions, in process time; none where there is no file.
    ///
    /// # Errors
    /// Where the file cannot be read or is damaged.
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

    /// The present version of the file; `None` where there is no file.
    #[must_use]
    pub fn version(&self) -> Option<FileVersion> {
        let meta = fs::metadata(&self.path).ok()?;
        Some(FileVersion {
            inode: meta.ino(),
            modified_seconds: meta.mtime(),
            modified_nanoseconds: meta.mtime_nsec(),
            size: meta.size(),
        })
    }

    /// Applies a change to the persisted exclusions and writes them; returns the new exclusions and the change's result.
    ///
    /// A damaged file is set aside and reported to `on_damaged`; the change is then applied to `current`. The write runs on
    /// another thread, which holds the lock until it is done.
    ///
    /// # Errors
    /// Where the change is rejected or cannot be written. Nothing has changed then, except after
    /// [`StoreError::WriteTimeout`]: the write may still complete.
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

    /// Writes the exclusions in machine time, and releases the lock when the write is done.
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

    /// Renames a damaged file, so that it can be examined and does not block changes.
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

/// Replaces a file atomically and syncs its data. A complete file whose sync failed is put in place all the same: other
/// processes read it, and the caller repeats the write until the sync succeeds.
fn replace_file(path: &Path, text: &[u8]) -> io::Result<()> {
    let new_path = path.with_extension("new");
    let mut file = File::create(&new_path)?;
    file.write_all(text)?;
    let synced = file.sync_data();
    fs::rename(&new_path, path)?;
    synced
}
