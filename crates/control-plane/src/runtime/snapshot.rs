//! Persistence of a source's records: one file, replaced atomically, written on a thread of its own.

use crate::record::{Epoch, Record, SourceId, Version};
use serde::{Deserialize, Serialize};
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread::JoinHandle;
use tokio::sync::oneshot;
use twox_hash::XxHash3_64;

/// The first bytes of the file; another format gets another number.
const MAGIC: &[u8] = b"haventrack-control snapshot 1\n";
/// Size of the hash at the end, over everything before it, bytes.
const HASH_BYTES: usize = 8;

/// Why the content of a file is not a snapshot.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum DamageCause {
    /// The file is shorter than a hash.
    #[error("too short")]
    TooShort,
    /// The file does not begin with the magic bytes.
    #[error("it does not begin as a snapshot does")]
    WrongMagic,
    /// The hash does not match the content.
    #[error("its hash does not agree")]
    HashMismatch,
    /// The content can't be encoded or decoded.
    #[error("{0}")]
    Encoding(#[from] postcard::Error),
}

/// Why records could not be read or persisted.
#[derive(Debug, thiserror::Error)]
pub enum SnapshotError {
    /// A file system call failed.
    #[error("{0}: {1}")]
    Io(PathBuf, io::Error),
    /// The file is not a snapshot, or is incomplete.
    #[error(
        "{0} is damaged ({1}) and was left as it is; put a good copy in its place, or move it away to begin with no records"
    )]
    Damaged(PathBuf, DamageCause),
    /// The file belongs to another source.
    #[error("{path} is of source {theirs}, this is source {ours}; each source has a file of its own")]
    OtherSource {
        /// The file.
        path: PathBuf,
        /// The source that wrote it.
        theirs: SourceId,
        /// The source that reads it.
        ours: SourceId,
    },
    /// Another process holds the lock.
    #[error("{0} is held by another process; a source runs once")]
    Locked(PathBuf),
    /// The writer thread has ended.
    #[error("snapshots are no longer written")]
    WriterEnded,
    /// A write is in progress and another one is queued.
    #[error("an earlier snapshot is still being written")]
    WriterBusy,
}

/// The persisted state of a source. Encoded with postcard, so the order of fields is the file format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The source.
    pub source: SourceId,
    /// The incarnation of the source that wrote it.
    pub epoch: Epoch,
    /// The last change that it includes.
    pub head: Version,
    /// The live records.
    pub records: Vec<Record>,
}

/// The path of a file beside another one, with `suffix` appended to its name.
fn with_suffix(path: &Path, suffix: &str) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(suffix);
    name.into()
}

/// Locks the file beside `path`, until the result is dropped.
///
/// # Errors
/// Another process holds the lock, or the file can't be created.
pub fn lock(path: &Path) -> Result<File, SnapshotError> {
    let path = with_suffix(path, ".lock");
    let file = OpenOptions::new().create(true).append(true).open(&path);
    let file = file.map_err(|error| SnapshotError::Io(path.clone(), error))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(SnapshotError::Locked(path)),
        Err(TryLockError::Error(error)) => Err(SnapshotError::Io(path, error)),
    }
}

/// Reads a snapshot; `None` without a file.
///
/// # Errors
/// The file can't be read, is damaged, or belongs to another source. It is not changed.
pub fn read(path: &Path, ours: SourceId) -> Result<Option<Snapshot>, SnapshotError> {
    let bytes = match fs::read(path) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(SnapshotError::Io(path.into(), error)),
    };
    let damaged = |cause: DamageCause| SnapshotError::Damaged(path.into(), cause);
    let (content, hash) =
        bytes.split_last_chunk::<HASH_BYTES>().ok_or_else(|| damaged(DamageCause::TooShort))?;
    let body = content.strip_prefix(MAGIC).ok_or_else(|| damaged(DamageCause::WrongMagic))?;
    if u64::from_be_bytes(*hash) != XxHash3_64::oneshot(content) {
        return Err(damaged(DamageCause::HashMismatch));
    }
    let snapshot: Snapshot = postcard::from_bytes(body).map_err(|error| damaged(error.into()))?;
    if snapshot.source != ours {
        return Err(SnapshotError::OtherSource { path: path.into(), theirs: snapshot.source, ours });
    }
    Ok(Some(snapshot))
}

impl Snapshot {
    /// Replaces the file atomically and durably: a reader finds the old or the new snapshot.
    ///
    /// # Errors
    /// A file system call failed; the old file is unchanged then.
    pub fn write(&self, path: &Path) -> Result<(), SnapshotError> {
        let bytes = self.encode(path)?;
        let temporary = with_suffix(path, ".new");
        let io_error = |path: &Path| {
            let path = path.to_owned();
            move |error| SnapshotError::Io(path, error)
        };
        let mut file = File::create(&temporary).map_err(io_error(&temporary))?;
        file.write_all(&bytes).and_then(|()| file.sync_all()).map_err(io_error(&temporary))?;
        fs::rename(&temporary, path).map_err(io_error(path))?;
        // The rename is durable only once the directory has been synced.
        let directory = path.parent().filter(|parent| !parent.as_os_str().is_empty());
        let directory = directory.unwrap_or(Path::new("."));
        File::open(directory).and_then(|opened| opened.sync_all()).map_err(io_error(directory))
    }

    /// The bytes of the file; `path` is for errors.
    fn encode(&self, path: &Path) -> Result<Vec<u8>, SnapshotError> {
        let damaged = |error: postcard::Error| SnapshotError::Damaged(path.into(), error.into());
        let mut bytes = postcard::to_extend(self, MAGIC.to_vec()).map_err(damaged)?;
        let hash = XxHash3_64::oneshot(&bytes);
        bytes.extend_from_slice(&hash.to_be_bytes());
        Ok(bytes)
    }
}

/// A snapshot to write, with the sender of the result.
struct WriteRequest {
    snapshot: Snapshot,
    result: oneshot::Sender<Result<(), SnapshotError>>,
}

/// A thread that writes snapshots. Dropping it waits for the write in progress.
#[derive(Debug)]
pub struct SnapshotWriter {
    requests: Option<SyncSender<WriteRequest>>,
    thread: Option<JoinHandle<()>>,
}

impl SnapshotWriter {
    /// Starts the thread; it writes to `path`.
    ///
    /// # Errors
    /// The thread can't be created.
    pub fn start(path: PathBuf) -> io::Result<Self> {
        let (requests, received): (_, Receiver<WriteRequest>) = sync_channel(1);
        let thread = std::thread::Builder::new().name("snapshot".into()).spawn(move || {
            for WriteRequest { snapshot, result } in received {
                // The requesting task may have been cancelled.
                let _ = result.send(snapshot.write(&path));
            }
        })?;
        Ok(Self { requests: Some(requests), thread: Some(thread) })
    }

    /// Writes a snapshot without blocking the calling thread, one at a time.
    ///
    /// # Errors
    /// The write failed, or another one is queued.
    pub async fn write(&self, snapshot: Snapshot) -> Result<(), SnapshotError> {
        let (result, written) = oneshot::channel();
        let requests = self.requests.as_ref().ok_or(SnapshotError::WriterEnded)?;
        requests.try_send(WriteRequest { snapshot, result }).map_err(|error| match error {
            TrySendError::Full(_) => SnapshotError::WriterBusy,
            TrySendError::Disconnected(_) => SnapshotError::WriterEnded,
        })?;
        written.await.map_err(|_| SnapshotError::WriterEnded)?
    }
}

impl Drop for SnapshotWriter {
    fn drop(&mut self) {
        self.requests = None;
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has been printed by its hook.
            let _ = thread.join();
        }
    }
}
