//! The state that the processes of one proxy share through files in the temporary directory: exclusions,
//! instance slots and learned limits. Transient disk errors are retried.

use crate::learned_state::{from_stored, to_stored};
use admin::claim_file::ClaimFile;
use admin::exclusion_store::{ExclusionStore, FileVersion, StoreError};
use admin::exclusions::{Exclusions, REINCLUSION_RETENTION, TooManyExclusions};
use admin::machine_time::MachineTime;
use admin::process_replacement::InstanceSlot;
use admin::snapshot_file::{SnapshotError, SnapshotFile};
use admin::unpersisted::{ExclusionChange, UnpersistedChanges};
use balancer::api::{LearnedState, Micros};
use http_proxy::log::{FailureLog, log};
use socket_io::retry;
use std::cell::{Cell, RefCell};
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::time::Instant;

/// How long a starting process retries after disk errors. It has to be ready within 6 s.
const OPEN_TIMEOUT: Duration = Duration::from_secs(4);
const OPEN_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The version of the exclusions file that was read last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LastRead {
    /// The file could not be read, so that it is read at the next poll whatever its version.
    Failed,
    /// The file was absent.
    Absent,
    Version(FileVersion),
}

impl From<Option<FileVersion>> for LastRead {
    fn from(version: Option<FileVersion>) -> Self {
        version.map_or(Self::Absent, Self::Version)
    }
}

/// The exclusions that were read when the process started.
struct InitialExclusions {
    exclusions: Exclusions,
    last_read: LastRead,
}

/// The files that this process shares with its peers, and the changes that are not yet written to them.
pub(crate) struct PersistentState {
    store: ExclusionStore,
    last_read: Cell<LastRead>,
    /// Changes that are in force but not yet in the file.
    unpersisted: RefCell<UnpersistedChanges>,
    /// Serialises the writes of this process to the exclusions file.
    write_lock: Mutex<()>,
    instance_slot: InstanceSlot,
    snapshot: Rc<SnapshotFile>,
    /// Covers the request classes, machine kinds and zones in force; updated by reloads of the configuration.
    configuration_fingerprint: Rc<Cell<u64>>,
    /// Whether a snapshot is being written. Snapshots are written in the background, one at a time.
    is_writing_snapshot: Rc<Cell<bool>>,
    snapshot_failures: Rc<FailureLog>,
    read_failures: FailureLog,
}

/// The opened state, with the exclusions that were persisted.
pub(crate) struct OpenedState {
    pub(crate) state: PersistentState,
    pub(crate) exclusions: Exclusions,
}

impl PersistentState {
    /// Reads the exclusions and acquires an instance slot. A damaged or unreadable exclusions file is logged
    /// and treated as empty.
    ///
    /// # Errors
    /// If no instance slot can be acquired.
    pub(crate) async fn open(
        directory: &Path,
        name: &str,
        now: Micros,
        configuration_fingerprint: Rc<Cell<u64>>,
    ) -> io::Result<OpenedState> {
        let end = Instant::now() + OPEN_TIMEOUT;
        let store = ExclusionStore::new(directory, name, MachineTime::new(now));
        let InitialExclusions { exclusions, last_read } = load_with_retry(&store, end).await;
        if exclusions.excluded_ids().len() > 0 {
            let ids = exclusions.excluded_ids().collect::<Vec<_>>().join(" ");
            log(format_args!("excluded backends at start: {ids}"));
        }
        let acquire = || InstanceSlot::acquire(directory, name);
        let instance_slot = retry::retry_until(end, retry::is_transient_file_error, acquire).await?;
        let state = Self {
            store,
            last_read: Cell::new(last_read),
            unpersisted: RefCell::default(),
            write_lock: Mutex::default(),
            instance_slot,
            snapshot: Rc::new(SnapshotFile::new(directory, name)),
            configuration_fingerprint,
            is_writing_snapshot: Rc::default(),
            snapshot_failures: Rc::new(FailureLog::new("learned limits were not persisted")),
            read_failures: FailureLog::new("exclusions were not reloaded"),
        };
        Ok(OpenedState { state, exclusions })
    }

    /// The file of the requests that this process claims.
    pub(crate) fn claim_file(&self, directory: &Path, name: &str) -> ClaimFile {
        ClaimFile::new(directory, name, self.instance_slot.index())
    }

    /// The number of other running processes of this proxy.
    pub(crate) fn peer_count(&self) -> usize {
        self.instance_slot.peer_count()
    }

    /// Applies a change to `exclusions` and queues it for the file. Returns whether it changed the backend's
    /// state.
    ///
    /// # Errors
    /// If the maximum number of backends is excluded; nothing changes then.
    pub(crate) fn change(
        &self,
        exclusions: &mut Exclusions,
        change: ExclusionChange,
    ) -> Result<bool, TooManyExclusions> {
        let changed = change.apply(exclusions)?;
        self.unpersisted.borrow_mut().push(change);
        Ok(changed)
    }

    /// Whether a change is in force but not yet in the file.
    pub(crate) fn has_unpersisted_changes(&self) -> bool {
        !self.unpersisted.borrow().is_empty()
    }

    /// Applies the unpersisted changes to the exclusions in the file, or to `current` if the file is damaged,
    /// and writes the result. Returns the exclusions to put in force.
    ///
    /// # Errors
    /// If the file cannot be locked, read or written, or a change is rejected; the changes remain queued.
    pub(crate) async fn persist_changes(
        &self,
        current: &Exclusions,
        now: Micros,
    ) -> Result<Exclusions, StoreError> {
        let _guard = self.write_lock.lock().await;
        let last_sequence = self.unpersisted.borrow().last_sequence();
        let change = |exclusions: &mut Exclusions| {
            exclusions.prune_reinclusions_before(now.saturating_sub(REINCLUSION_RETENTION));
            self.unpersisted.borrow().apply(exclusions)
        };
        let on_damaged = |error| log(format_args!("set aside the damaged exclusions file: {error}"));
        let (exclusions, ()) = self.store.change(current, change, on_damaged).await?;
        self.unpersisted.borrow_mut().mark_persisted(last_sequence);
        Ok(self.with_unpersisted_changes(exclusions))
    }

    fn with_unpersisted_changes(&self, mut exclusions: Exclusions) -> Exclusions {
        if let Err(error) = self.unpersisted.borrow().apply(&mut exclusions) {
            log(format_args!("some changes of exclusions were not applied: {error}"));
        }
        exclusions
    }

    /// Reads the file if it has changed since it was read last. Returns the exclusions to put in force: those
    /// of the file with the unpersisted changes applied.
    pub(crate) fn reload_if_changed(&self) -> Option<Exclusions> {
        let version = LastRead::from(self.store.version());
        if self.last_read.get() == version {
            return None;
        }
        match self.store.load() {
            Ok(exclusions) => {
                self.last_read.set(version);
                Some(self.with_unpersisted_changes(exclusions))
            }
            Err(error) => {
                // A damaged file remains damaged until it is replaced; any other error may be transient.
                if matches!(error, StoreError::Damaged(..)) {
                    self.last_read.set(version);
                }
                self.read_failures.record(&error);
                None
            }
        }
    }

    /// Writes a snapshot of the learned limits in the background, unless the previous one is still being
    /// written.
    pub(crate) fn write_snapshot(&self, now: Micros, learned_state: impl FnOnce() -> LearnedState) {
        if self.is_writing_snapshot.replace(true) {
            return;
        }
        let snapshot = Rc::clone(&self.snapshot);
        let is_writing = Rc::clone(&self.is_writing_snapshot);
        let configuration_fingerprint = self.configuration_fingerprint.get();
        let learned = to_stored(learned_state());
        let failures = Rc::clone(&self.snapshot_failures);
        tokio::task::spawn_local(async move {
            if let Err(error) = snapshot.write(configuration_fingerprint, now, learned).await {
                failures.record(&error);
            }
            is_writing.set(false);
        });
    }

    /// Reads the learned state that another process of this proxy has written.
    ///
    /// # Errors
    /// If there is no recent and valid snapshot of the configuration in force.
    pub(crate) fn read_snapshot(&self, now: Micros) -> Result<LearnedState, SnapshotError> {
        self.snapshot.read(self.configuration_fingerprint.get(), now).map(from_stored)
    }
}

/// Reads the exclusions when the process starts. Transient errors are retried until `end`; after that the
/// process starts without exclusions, and reads the file at a later poll.
async fn load_with_retry(store: &ExclusionStore, end: Instant) -> InitialExclusions {
    let is_transient = |(error, _): &(StoreError, LastRead)| match error {
        StoreError::Io(_, error) => retry::is_transient_file_error(error),
        _ => false,
    };
    let load = async || {
        // The version is examined first: if the file changes between the two calls, it is read once more at
        // the next poll.
        let version = LastRead::from(store.version());
        match store.load() {
            Ok(exclusions) => Ok(InitialExclusions { exclusions, last_read: version }),
            Err(error) => Err((error, version)),
        }
    };
    match retry::retry(Some(end), OPEN_RETRY_DELAY, is_transient, load).await {
        Ok(initial) => initial,
        Err((error, version)) => {
            log(format_args!("exclusions could not be read, starting without any: {error}"));
            let is_damaged = matches!(error, StoreError::Damaged(..));
            let last_read = if is_damaged { version } else { LastRead::Failed };
            InitialExclusions { exclusions: Exclusions::default(), last_read }
        }
    }
}
