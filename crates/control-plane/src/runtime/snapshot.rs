//! Persistence of a source's records: a single file that is replaced atomically, written on a separate
//! thread.

use crate::record::{Epoch, Record, SourceId, Version};
use serde::{Deserialize, Serialize};
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread::JoinHandle;
use tokio::sync::oneshot;
use twox_hash::XxHash3_64;

/// The first bytes of the file. They contain the version of the format.
const MAGIC: &[u8] = b"haventrack-control snapshot 1\n";
/// Size of the hash at the end of the file, bytes. It covers all bytes before it.
const HASH_BYTES: usize = 8;

/// Why the content of a file is not a snapshot.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum DamageCause {
    /// The file is shorter than a hash.
    #[error("too short")]
    TooShort,
    /// The file does not begin with the magic bytes.
    #[error("not the format of a snapshot")]
    WrongMagic,
    /// The hash does not match the content.
    #[error("hash mismatch")]
    HashMismatch,
    /// The content can't be encoded or decoded.
    #[error("{0}")]
    Encoding(#[from] postcard::Error),
}

/// Why a snapshot could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum SnapshotError {
    /// An operation on this path failed.
    #[error("{0}: {1}")]
    Io(PathBuf, io::Error),
    /// The content of the file is not a valid snapshot, or can't be encoded.
    #[error(
        "{0} is damaged ({1}) and was left as it is; replace it with an intact copy, or move it away to start without records"
    )]
    Damaged(PathBuf, DamageCause),
    /// The snapshot was written by another source.
    #[error("{path} is of source {theirs}, this is source {ours}; use a separate file for each source")]
    OtherSource {
        /// The path of the snapshot.
        path: PathBuf,
        /// The source that wrote the snapshot.
        theirs: SourceId,
        /// The source that reads the snapshot.
        ours: SourceId,
    },
    /// Another process has locked this file.
    #[error("{0} is held by another process; a source runs once")]
    Locked(PathBuf),
    /// The thread that writes snapshots has ended.
    #[error("the thread that writes snapshots has ended")]
    WriterEnded,
    /// A snapshot is being written, and another one is queued.
    #[error("an earlier snapshot is still being written")]
    WriterBusy,
}

/// The persisted state of a source. It is encoded with postcard, so the order of the fields is part of the
/// file format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The source that wrote the snapshot.
    pub source: SourceId,
    /// The incarnation of the source that wrote the snapshot.
    pub epoch: Epoch,
    /// The last change that the records include.
    pub head: Version,
    /// The live records; tombstones are not persisted.
    pub records: Vec<Record>,
}

/// Appends `suffix` to the file name.
fn with_suffix(path: &Path, suffix: &str) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(suffix);
    name.into()
}

/// Locks the file `path` + `.lock`, until the returned file is dropped. Creates it if it does not exist.
///
/// # Errors
/// [`SnapshotError::Locked`] if another process has locked it; [`SnapshotError::Io`] if it can't be created.
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

/// Reads the snapshot of the source `ours`; `None` if there is no file.
///
/// # Errors
/// The file can't be read, is damaged, or belongs to another source. It is left unchanged.
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
    /// Replaces the file atomically and durably: after a crash it contains either the old or the new
    /// snapshot.
    ///
    /// # Errors
    /// A file system operation failed. The old file is unchanged, unless only the directory could not be
    /// synced.
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
        // The rename is durable only after the directory has been synced.
        let directory = path.parent().filter(|parent| !parent.as_os_str().is_empty());
        let directory = directory.unwrap_or(Path::new("."));
        File::open(directory).and_then(|opened| opened.sync_all()).map_err(io_error(directory))
    }

    /// Encodes the content of the file; `path` is used in errors only.
    fn encode(&self, path: &Path) -> Result<Vec<u8>, SnapshotError> {
        let damaged = |error: postcard::Error| SnapshotError::Damaged(path.into(), error.into());
        let mut bytes = postcard::to_extend(self, MAGIC.to_vec()).map_err(damaged)?;
        let hash = XxHash3_64::oneshot(&bytes);
        bytes.extend_from_slice(&hash.to_be_bytes());
        Ok(bytes)
    }
}

/// A snapshot to write, and the channel for the result.
struct WriteRequest {
    snapshot: Snapshot,
    result: oneshot::Sender<Result<(), SnapshotError>>,
}

/// A thread that writes snapshots. Dropping it waits until queued snapshots have been written.
#[derive(Debug)]
pub struct SnapshotWriter {
    requests: Option<SyncSender<WriteRequest>>,
    thread: Option<JoinHandle<()>>,
}

impl SnapshotWriter {
    /// Starts the thread, which writes all snapshots to `path`.
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

    /// Writes a snapshot without blocking the calling thread, and waits for the result.
    ///
    /// # Errors
    /// The write failed, the thread has ended, or another snapshot is queued already.
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
            // If the thread has panicked, the panic hook has printed the message.
            let _ = thread.join();
        }
    }
}
