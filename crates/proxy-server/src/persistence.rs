//! What a process keeps in the temporary folder for the others of its proxy, and finds there: bans, its place among them, and
//! what was learnt. A disk that refuses for a moment is asked again.

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
use tokio::time::{Instant, sleep};

/// For how long a process that begins waits for a disk that refuses to give what was kept. Its yes is due within 6 s.
const OPEN_TIMEOUT: Duration = Duration::from_secs(4);
const OPEN_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The bans as files keep them, and this process's place among those of its proxy.
pub struct PersistentState {
    store: ExclusionStore,
    /// Which state of the store was read last; none where it could not be read.
    seen: Cell<Option<Option<FileVersion>>>,
    /// Changes that are in force and that the file lacks.
    pending: RefCell<UnpersistedChanges>,
    /// One at a time writes them.
    writing: Mutex<()>,
    seat: InstanceSlot,
    snapshot: Rc<SnapshotFile>,
    /// Whose classes, kinds and zones are learnt of.
    of: Rc<Cell<u64>>,
    /// Whether a snapshot is being written. The disk may take its time: nothing waits for it, and only one is under way.
    keeping: Rc<Cell<bool>>,
    unkept: Rc<FailureLog>,
    unread: FailureLog,
}

impl PersistentState {
    /// Takes the place and reads what was kept. `of` is the fingerprint of the configuration, which may change. A damaged
    /// file is told and counts as none.
    ///
    /// # Errors
    /// Where there is no place to be had.
    pub async fn open(
        folder: &Path,
        name: &str,
        now: Micros,
        of: Rc<Cell<u64>>,
    ) -> io::Result<(Self, Exclusions)> {
        let end = Instant::now() + OPEN_TIMEOUT;
        let store = ExclusionStore::new(folder, name, MachineTime::new(now));
        let (seen, bans) = Self::first_bans(&store, end).await;
        if bans.excluded_ids().len() > 0 {
            log(format_args!("out of service: {}", bans.excluded_ids().collect::<Vec<_>>().join(" ")));
        }
        let seat = retry::until(end, retry::is_of_disk, || InstanceSlot::acquire(folder, name)).await?;
        let files = Self {
            store,
            seen: Cell::new(seen),
            pending: RefCell::default(),
            writing: Mutex::default(),
            seat,
            snapshot: Rc::new(SnapshotFile::new(folder, name)),
            of,
            keeping: Rc::default(),
            unkept: Rc::new(FailureLog::of("what was learnt is not kept")),
            unread: FailureLog::of("the bans stay as they were"),
        };
        Ok((files, bans))
    }

    /// The bans that a process begins with, and which state of the file they are. What can't be read for a moment is owed
    /// all the same, and is waited for; beyond that the process begins with none and goes on trying.
    async fn first_bans(store: &ExclusionStore, end: Instant) -> (Option<Option<FileVersion>>, Exclusions) {
        loop {
            let stamp = store.version();
            match store.load() {
                Ok(bans) => return (Some(stamp), bans),
                Err(StoreError::Io(_, error)) if retry::is_of_disk(&error) && Instant::now() < end => {
                    sleep(OPEN_RETRY_DELAY).await;
                }
                Err(error) => {
                    log(format_args!("no backend is out, since the bans can't be read: {error}"));
                    let seen = matches!(error, StoreError::Damaged(..)).then_some(stamp);
                    return (seen, Exclusions::default());
                }
            }
        }
    }

    /// The processes of this proxy beside this one.
    pub fn peers(&self) -> usize {
        self.seat.peer_count()
    }

    /// Makes a change of these bans, which the file is owed from now on. Whether anything changed.
    ///
    /// # Errors
    /// At the bound on bans; then nothing has changed.
    pub fn change(&self, bans: &mut Exclusions, change: ExclusionChange) -> Result<bool, TooManyExclusions> {
        let changed = change.apply(bans)?;
        self.pending.borrow_mut().push(change);
        Ok(changed)
    }

    /// Whether the file lacks a change that is in force.
    pub fn owes(&self) -> bool {
        !self.pending.borrow().is_empty()
    }

    /// Has the file take what it lacks, over whatever another process has written there. `held` counts where the file is
    /// damaged. Gives the bans that hold now.
    ///
    /// # Errors
    /// Where the file still lacks it.
    pub async fn keep_pending(&self, held: &Exclusions, now: Micros) -> Result<Exclusions, StoreError> {
        let _turn = self.writing.lock().await;
        let last = self.pending.borrow().last_sequence();
        let change = |bans: &mut Exclusions| {
            bans.forget_reincluded_before(now.saturating_sub(REINCLUSION_RETENTION));
            self.pending.borrow().apply(bans)
        };
        let damaged = |error| log(format_args!("set aside: {error}"));
        let (bans, ()) = self.store.change(held, change, damaged).await?;
        self.pending.borrow_mut().mark_persisted(last);
        Ok(self.with_pending(bans))
    }

    fn with_pending(&self, mut bans: Exclusions) -> Exclusions {
        if let Err(error) = self.pending.borrow().apply(&mut bans) {
            log(format_args!("not all changes of bans hold: {error}"));
        }
        bans
    }

    /// The bans that hold, where the file has changed since it was read last.
    pub fn news(&self) -> Option<Exclusions> {
        let stamp = self.store.version();
        if self.seen.get() == Some(stamp) {
            return None;
        }
        match self.store.load() {
            Ok(bans) => {
                self.seen.set(Some(stamp));
                Some(self.with_pending(bans))
            }
            Err(error) => {
                // Damage stays until the file is another one; all else may be over a moment later.
                if matches!(error, StoreError::Damaged(..)) {
                    self.seen.set(Some(stamp));
                }
                self.unread.note(&error);
                None
            }
        }
    }

    /// Has what was learnt kept, unless the one before is still being written.
    pub fn keep(&self, now: Micros, memory: impl FnOnce() -> LearnedState) {
        if self.keeping.replace(true) {
            return;
        }
        let (snapshot, keeping) = (Rc::clone(&self.snapshot), Rc::clone(&self.keeping));
        let (of, learnt, unkept) = (self.of.get(), to_stored(memory()), Rc::clone(&self.unkept));
        tokio::task::spawn_local(async move {
            if let Err(error) = snapshot.write(of, now, learnt).await {
                unkept.note(&error);
            }
            keeping.set(false);
        });
    }

    /// What another process of this proxy has learnt.
    ///
    /// # Errors
    /// Why there is nothing to go on from.
    pub fn learnt(&self, now: Micros) -> Result<LearnedState, SnapshotError> {
        self.snapshot.read(self.of.get(), now).map(from_stored)
    }
}
