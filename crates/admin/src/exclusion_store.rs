//! Where bans outlive a process: one file in the temporary folder, whole or not at all.
//!
//! Each change reads the file again under a lock, for a second process of the same proxy may have written it, and replaces
//! it by rename. What can't be read is set aside and said, not guessed over.

use crate::exclusions::{Exclusions, Micros, TooManyExclusions};
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

/// The form of the file. Another one is not read.
const VERSION: u32 = 1;
/// The largest file that is read, in bytes: all bans with the longest ids that there may be.
const FILE_CAP: u64 = 4 << 20;
/// How long the lock is waited for: its holder writes a small file. The caller's second has to hold that and the answer.
const LOCK_TRIES: u32 = 60;
const LOCK_STEP: Duration = Duration::from_millis(5);
/// How long a disk may take for a change, so that the caller is answered in its second also where the lock was waited for.
const WRITE_TIMEOUT: Duration = Duration::from_millis(550);

/// Why bans could not be read or kept.
#[derive(Debug, Error)]
pub enum StoreError {
    /// A call of the file system failed.
    #[error("{0}: {1}")]
    Io(PathBuf, io::Error),
    /// The file is there and is none of ours, or not whole.
    #[error("{0} is damaged: {1}")]
    Damaged(PathBuf, String),
    /// Another process holds the lock.
    #[error("{0} is held by another process")]
    Busy(PathBuf),
    /// The disk takes too long. What it was given stays given.
    #[error("{0} was not written within {ms} ms; the change may hold yet", ms = WRITE_TIMEOUT.as_millis())]
    Slow(PathBuf),
    /// The bound on bans.
    #[error(transparent)]
    TooManyExclusions(#[from] TooManyExclusions),
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Kept {
    version: u32,
    bans: Exclusions,
}

/// Tells one state of the file from the next: each is a file of its own.
pub type FileVersion = (u64, i64, i64, u64);

/// The file and the lock beside it.
#[derive(Clone, Debug)]
pub struct ExclusionStore {
    path: PathBuf,
    lock: PathBuf,
    time: MachineTime,
}

/// The longest part of a proxy's name that stands in a file's name as it is.
const PLAIN_NAME: usize = 64;

/// The name of a proxy as part of a file's name, each its own: one that is long or holds other characters than letters,
/// digits, `-` and `_` is told from its likes by a hash behind a point, which no plain name has.
pub(crate) fn file_name(name: &str) -> String {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || "-_".contains(c);
    if name.len() <= PLAIN_NAME && name.chars().all(is_plain) {
        return name.to_owned();
    }
    let plain = name.chars().take(PLAIN_NAME).map(|c| if is_plain(c) { c } else { '_' });
    format!("{}.{:016x}", plain.collect::<String>(), fingerprint([name]))
}

/// FNV-1a, 64 bits, over some texts with their ends: the same in every build.
#[must_use]
pub fn fingerprint<'a>(texts: impl IntoIterator<Item = &'a str>) -> u64 {
    let bytes = texts.into_iter().flat_map(|text| text.bytes().chain([0xff]));
    bytes.fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}

/// Reads the text of a file.
///
/// # Errors
/// What is wrong with it.
pub fn parse(text: &[u8]) -> Result<Exclusions, String> {
    let kept: Kept = serde_json::from_slice(text).map_err(|e| e.to_string())?;
    if kept.version != VERSION {
        return Err(format!("version {} is not {VERSION}", kept.version));
    }
    if kept.bans.is_bounded() { Ok(kept.bans) } else { Err("more or longer ids than there may be".into()) }
}

impl ExclusionStore {
    /// The store of the proxy of this name, whose process counts its time so. Nothing is read yet.
    #[must_use]
    pub fn new(folder: &Path, name: &str, time: MachineTime) -> Self {
        let name = file_name(name);
        Self {
            time,
            path: folder.join(format!("haventrack-{name}.bans.json")),
            lock: folder.join(format!("haventrack-{name}.bans.lock")),
        }
    }

    /// The bans that were kept; none where there is no file.
    ///
    /// # Errors
    /// Where the file can't be read or is damaged.
    pub fn load(&self) -> Result<Exclusions, StoreError> {
        let mut text = Vec::new();
        match File::open(&self.path) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(Exclusions::default()),
            Err(error) => return Err(self.io(error)),
            Ok(file) => file.take(FILE_CAP).read_to_end(&mut text).map_err(|e| self.io(e))?,
        };
        let bans = parse(&text).map_err(|problem| StoreError::Damaged(self.path.clone(), problem))?;
        Ok(bans.with_times(|at| self.time.of_process(at)))
    }

    /// Which state of the file there is; `None` where there is none.
    #[must_use]
    pub fn stamp(&self) -> Option<FileVersion> {
        let meta = fs::metadata(&self.path).ok()?;
        Some((meta.ino(), meta.mtime(), meta.mtime_nsec(), meta.size()))
    }

    /// Makes a change and keeps it. `held` is what the caller holds, which counts where the file is damaged; that one is
    /// set aside, and `damaged` is told. Gives what holds now.
    ///
    /// The disk is waited for on another thread, which holds the lock until it has done with the change.
    ///
    /// # Errors
    /// Where it can't be kept; then the change has not been made, but for [`StoreError::Slow`]: it is made late, or never.
    pub async fn change<R>(
        &self,
        held: &Exclusions,
        change: impl FnOnce(&mut Exclusions) -> Result<R, TooManyExclusions>,
        damaged: impl FnOnce(StoreError),
    ) -> Result<(Exclusions, R), StoreError> {
        let lock = self.locked().await?;
        let mut bans = match self.load() {
            Ok(bans) => bans,
            Err(error @ StoreError::Damaged(..)) => {
                self.set_aside().map_err(|e| self.io(e))?;
                damaged(error);
                held.clone()
            }
            Err(error) => return Err(error),
        };
        let result = change(&mut bans)?;
        let kept = bans.with_times(|at| self.time.of_machine(at));
        let text = serde_json::to_vec(&Kept { version: VERSION, bans: kept });
        let text = text.map_err(|e| self.io(e.into()))?;
        let path = self.path.clone();
        let writing = spawn_blocking(move || {
            let written = write(&path, &text);
            drop(lock);
            written
        });
        match timeout(WRITE_TIMEOUT, writing).await {
            Err(_) => Err(StoreError::Slow(self.path.clone())),
            Ok(Err(panicked)) => Err(self.io(io::Error::other(panicked))),
            Ok(Ok(written)) => written.map_err(|e| self.io(e)).map(|()| (bans, result)),
        }
    }

    /// Keeps a damaged file for whoever looks into it, out of the way.
    fn set_aside(&self) -> io::Result<()> {
        fs::rename(&self.path, self.path.with_extension("damaged"))
    }

    async fn locked(&self) -> Result<File, StoreError> {
        let file = OpenOptions::new().create(true).truncate(false).write(true).open(&self.lock);
        let file = file.map_err(|e| StoreError::Io(self.lock.clone(), e))?;
        for _ in 0..LOCK_TRIES {
            match file.try_lock() {
                Ok(()) => return Ok(file),
                Err(TryLockError::WouldBlock) => sleep(LOCK_STEP).await,
                Err(TryLockError::Error(error)) => return Err(StoreError::Io(self.lock.clone(), error)),
            }
        }
        Err(StoreError::Busy(self.lock.clone()))
    }

    fn io(&self, error: io::Error) -> StoreError {
        StoreError::Io(self.path.clone(), error)
    }
}

/// Replaces a file whole, durably. One that is whole and that the disk does not confirm takes its place all the same: other
/// processes read it, and it is written again until the disk does.
fn write(path: &Path, text: &[u8]) -> io::Result<()> {
    let new = path.with_extension("new");
    let mut file = File::create(&new)?;
    file.write_all(text)?;
    let synced = file.sync_data();
    fs::rename(&new, path)?;
    synced
}

/// How long a call back is remembered: longer than any backend takes to warm up, with what lists are late.
pub const REINCLUSION_RETENTION: Micros = 120_000_000;

#[cfg(test)]
mod tests;
