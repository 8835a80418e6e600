//! A source's records on disk: one file, replaced whole, written on a thread of its own.

use crate::record::{Epoch, Record, SourceId, Version};
use serde::{Deserialize, Serialize};
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread::JoinHandle;
use tokio::sync::oneshot;
use twox_hash::XxHash3_64;

/// The first bytes of the file; another form gets another number.
const MAGIC: &[u8] = b"haventrack-control snapshot 1\n";
/// Bytes of the hash at the end, over everything before it.
const HASH: usize = 8;

/// Why records could not be read or kept.
#[derive(Debug, thiserror::Error)]
pub enum SnapshotError {
    /// A call of the file system failed.
    #[error("{0}: {1}")]
    Io(PathBuf, io::Error),
    /// The file is there and is none of ours, or not whole.
    #[error(
        "{0} is damaged ({1}) and was left as it is; put a good copy in its place, or move it away to begin with no records"
    )]
    Damaged(PathBuf, String),
    /// Another source's.
    #[error("{path} is of source {theirs}, this is source {ours}; each source has a file of its own")]
    OtherSource {
        /// The file.
        path: PathBuf,
        /// Whose it is.
        theirs: SourceId,
        /// Who reads it.
        ours: SourceId,
    },
    /// Another process has it.
    #[error("{0} is held by another process; a source runs once")]
    Held(PathBuf),
    /// The thread that writes is gone.
    #[error("snapshots are no longer written")]
    Ended,
}

/// What is kept.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Whose it is.
    pub source: SourceId,
    /// The life of the source that kept it.
    pub epoch: Epoch,
    /// The last change that is in it.
    pub head: Version,
    /// The records that are not gone.
    pub records: Vec<Record>,
}

/// A path beside another, with more at its end.
fn beside(path: &Path, more: &str) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(more);
    name.into()
}

/// Takes the lock beside the file for as long as the result lives.
///
/// # Errors
/// Where another process holds it, or it can't be made.
pub fn lock(path: &Path) -> Result<File, SnapshotError> {
    let path = beside(path, ".lock");
    let file = OpenOptions::new().create(true).append(true).open(&path);
    let file = file.map_err(|e| SnapshotError::Io(path.clone(), e))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(SnapshotError::Held(path)),
        Err(TryLockError::Error(error)) => Err(SnapshotError::Io(path, error)),
    }
}

/// Reads what was kept; `None` where there is no file.
///
/// # Errors
/// Where the file can't be read, is damaged, or another source's. It is left as it is.
pub fn read(path: &Path, ours: SourceId) -> Result<Option<Snapshot>, SnapshotError> {
    let bytes = match fs::read(path) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(SnapshotError::Io(path.into(), error)),
    };
    let damaged = |problem: &str| SnapshotError::Damaged(path.into(), problem.to_owned());
    let (rest, hash) = bytes.split_last_chunk::<HASH>().ok_or_else(|| damaged("too short"))?;
    let body = rest.strip_prefix(MAGIC).ok_or_else(|| damaged("it does not begin as a snapshot does"))?;
    if u64::from_be_bytes(*hash) != XxHash3_64::oneshot(rest) {
        return Err(damaged("its hash does not agree"));
    }
    let snapshot: Snapshot = postcard::from_bytes(body).map_err(|e| damaged(&e.to_string()))?;
    if snapshot.source != ours {
        return Err(SnapshotError::OtherSource { path: path.into(), theirs: snapshot.source, ours });
    }
    Ok(Some(snapshot))
}

impl Snapshot {
    /// Replaces the file by this: whoever reads it finds the old one or the new one whole.
    ///
    /// # Errors
    /// Where that fails; the old file stands then.
    pub fn write(&self, path: &Path) -> Result<(), SnapshotError> {
        let damaged = |e: postcard::Error| SnapshotError::Damaged(path.into(), e.to_string());
        let mut bytes = postcard::to_extend(self, MAGIC.to_vec()).map_err(damaged)?;
        let hash = XxHash3_64::oneshot(&bytes);
        bytes.extend_from_slice(&hash.to_be_bytes());
        let new = beside(path, ".new");
        let io = |at: &Path| {
            let at = at.to_owned();
            move |e| SnapshotError::Io(at, e)
        };
        let mut file = File::create(&new).map_err(io(&new))?;
        file.write_all(&bytes).and_then(|()| file.sync_all()).map_err(io(&new))?;
        fs::rename(&new, path).map_err(io(path))?;
        // The rename itself has to outlive the machine's fall as well.
        let folder = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
        File::open(folder).and_then(|folder| folder.sync_all()).map_err(io(folder))
    }
}

type Order = (Snapshot, oneshot::Sender<Result<(), SnapshotError>>);

/// The thread that writes. Ends, once what it has is written, when this is dropped.
#[derive(Debug)]
pub struct Keeper {
    orders: Option<SyncSender<Order>>,
    thread: Option<JoinHandle<()>>,
}

impl Keeper {
    /// Starts it.
    ///
    /// # Errors
    /// Where there is no thread to be had.
    pub fn start(path: PathBuf) -> io::Result<Self> {
        let (orders, taken): (_, Receiver<Order>) = sync_channel(1);
        let thread = std::thread::Builder::new().name("snapshot".into()).spawn(move || {
            for (snapshot, done) in taken {
                // Whoever asked may have ended.
                let _ = done.send(snapshot.write(&path));
            }
        })?;
        Ok(Self { orders: Some(orders), thread: Some(thread) })
    }

    /// Writes a snapshot; the caller's thread goes on meanwhile. One at a time: a further one is refused until then.
    ///
    /// # Errors
    /// Where it was not written.
    pub async fn keep(&self, snapshot: Snapshot) -> Result<(), SnapshotError> {
        let (done, told) = oneshot::channel();
        let orders = self.orders.as_ref().ok_or(SnapshotError::Ended)?;
        orders.try_send((snapshot, done)).map_err(|_| SnapshotError::Ended)?;
        told.await.map_err(|_| SnapshotError::Ended)?
    }
}

impl Drop for Keeper {
    fn drop(&mut self) {
        self.orders = None;
        if let Some(thread) = self.thread.take() {
            // A thread that panicked has said so.
            let _ = thread.join();
        }
    }
}
