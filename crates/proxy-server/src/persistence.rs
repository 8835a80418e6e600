//! The state that the processes of one proxy share in the temporary directory: exclusions, instance slots and learned limits.
//! Transient errors of the disk are retried.

use crate::learned_state::{from_stored, to_stored};
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

/// How long a starting process retries a disk that fails. Its readiness is due within 6 s.
const OPEN_TIMEOUT: Duration = Duration::from_secs(4);
const OPEN_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Which version of the exclusions' file was read last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LastRead {
    /// None: the file could not be read.
    Failed,
    /// There was no file.
    Absent,
    /// This one.
    Version(FileVersion),
}

impl From<Option<FileVersion>> for LastRead {
    fn from(version: Option<FileVersion>) -> Self {
        version.map_or(Self::Absent, Self::Version)
    }
}

/// Exclusions as read at a process's start.
struct InitialExclusions {
    exclusions: Exclusions,
    last_read: LastRead,
}

/// The files that this process shares with its peers, and its instance slot.
pub(crate) struct PersistentState {
    store: ExclusionStore,
    last_read: Cell<LastRead>,
    /// Changes that are in force and not in the file.
    unpersisted: RefCell<UnpersistedChanges>,
    /// Serialises writes of the exclusions.
    write_lock: Mutex<()>,
    instance_slot: InstanceSlot,
    snapshot: Rc<SnapshotFile>,
    /// The fingerprint of the classes, kinds and zones in force.
    configuration_fingerprint: Rc<Cell<u64>>,
    /// Whether a snapshot is being written. Nothing waits for it, and only one is written at a time.
    is_writing_snapshot: Rc<Cell<bool>>,
    snapshot_failures: Rc<FailureLog>,
    read_failures: FailureLog,
}

/// The opened state, with the exclusions that it held.
pub(crate) struct OpenedState {
    pub(crate) state: PersistentState,
    pub(crate) exclusions: Exclusions,
}

impl PersistentState {
    /// Acquires an instance slot and reads the exclusions. `configuration` holds the configuration's fingerprint, which a
    /// reload may change. A damaged file is logged and counts as empty.
    ///
    /// # Errors
    /// Where no instance slot can be acquired.
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
        let instance_slot = retry::until(end, retry::is_of_disk, acquire).await?;
        let state = Self {
            store,
            last_read: Cell::new(last_read),
            unpersisted: RefCell::default(),
            write_lock: Mutex::default(),
            instance_slot,
            snapshot: Rc::new(SnapshotFile::new(directory, name)),
            configuration_fingerprint,
            is_writing_snapshot: Rc::default(),
            snapshot_failures: Rc::new(FailureLog::of("learned limits were not persisted")),
            read_failures: FailureLog::of("exclusions were not reloaded"),
        };
        Ok(OpenedState { state, exclusions })
    }

    /// The number of other processes of this proxy.
    pub(crate) fn peer_count(&self) -> usize {
        self.instance_slot.peer_count()
    }

    /// Applies a change to these exclusions, and queues it for the file. Returns whether the backend's state changed.
    ///
    /// # Errors
    /// At the bound on exclusions; then nothing has changed.
    pub(crate) fn change(
        &self,
        exclusions: &mut Exclusions,
        change: ExclusionChange,
    ) -> Result<bool, TooManyExclusions> {
        let changed = change.apply(exclusions)?;
        self.unpersisted.borrow_mut().push(change);
        Ok(changed)
    }

    /// Whether a change that is in force is not in the file.
    pub(crate) fn has_unpersisted_changes(&self) -> bool {
        !self.unpersisted.borrow().is_empty()
    }

    /// Writes the unpersisted changes over the file's present content; over `current` where the file is damaged. Returns the
    /// exclusions in force.
    ///
    /// # Errors
    /// Where the file could not be written; the changes remain queued.
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
        let on_damaged = |error| log(format_args!("set aside a damaged file: {error}"));
        let (exclusions, ()) = self.store.change(current, change, on_damaged).await?;
        self.unpersisted.borrow_mut().mark_persisted(last_sequence);
        Ok(self.with_unpersisted_changes(exclusions))
    }

    fn with_unpersisted_changes(&self, mut exclusions: Exclusions) -> Exclusions {
        if let Err(error) = self.unpersisted.borrow().apply(&mut exclusions) {
            log(format_args!("not all changes of exclusions were applied: {error}"));
        }
        exclusions
    }

    /// The exclusions in force, if the file has changed since it was read last.
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
                // Damage lasts until the file is replaced; any other error may be transient.
                if matches!(error, StoreError::Damaged(..)) {
                    self.last_read.set(version);
                }
                self.read_failures.note(&error);
                None
            }
        }
    }

    /// Starts to write a snapshot of the learned limits, unless the previous one is still being written.
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
                failures.note(&error);
            }
            is_writing.set(false);
        });
    }

    /// The limits that another process of this proxy has learned.
    ///
    /// # Errors
    /// Where there is no snapshot of this configuration that is recent and valid.
    pub(crate) fn read_snapshot(&self, now: Micros) -> Result<LearnedState, SnapshotError> {
        self.snapshot.read(self.configuration_fingerprint.get(), now).map(from_stored)
    }
}

/// Loads the exclusions of a starting process. Transient errors are retried until `end`; after that the process starts
/// without exclusions and reads the file later.
async fn load_with_retry(store: &ExclusionStore, end: Instant) -> InitialExclusions {
    let is_transient = |(error, _): &(StoreError, LastRead)| match error {
        StoreError::Io(_, error) => retry::is_of_disk(error),
        _ => false,
    };
    let load = async || {
        // The version comes first: a change between the two calls is read again later.
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
