//! What one source has said, as far as somebody holds it: records, a log of them by urgency, digests by service.

use crate::message::Bound;
use crate::record::{
    Change, Cursor, Epoch, Key, Kind, Record, Scope, ServiceId, SourceId, State, Urgency, Version,
};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound as Limit;
use std::sync::Arc;
use twox_hash::XxHash3_64;

/// The longest name of a record, bytes: beyond any DNS name or address with a port.
pub const MAX_NAME: usize = 255;
/// The longest body of a record, bytes: half a message, so that it fits into one with room for all the rest.
pub const MAX_BODY: usize = crate::message::MAX_BYTES / 2;
/// Tombstones kept at the most, the oldest go first: some 8 MB, a quarter of an hour at 70 removals a second.
pub const MAX_TOMBSTONES: usize = 65_536;

/// Why a change was not made.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum WriteError {
    /// A name or body beyond its bound.
    #[error("{what} of `{name}` has {bytes} bytes, {most} at most")]
    TooLong {
        /// Name or body.
        what: &'static str,
        /// Of which record.
        name: String,
        /// How long it is.
        bytes: usize,
        /// How long it may be.
        most: usize,
    },
    /// A tombstone with a body.
    #[error("`{0}` is gone and has a body; leave the body empty")]
    GoneWithBody(String),
}

/// The records of one service.
#[derive(Debug, Default)]
struct Service {
    /// The wrapping sum of the hashes of its live records.
    digest: u64,
    /// All of them, tombstones as well, by key.
    records: BTreeSet<Held>,
}

/// A record in the order of its key within the service: a set of these takes a third less than a map by key.
#[derive(Debug)]
struct Held(Record);

impl Held {
    fn place(&self) -> (Kind, &str) {
        (self.0.key.kind, &self.0.key.name)
    }
}

impl PartialEq for Held {
    fn eq(&self, other: &Self) -> bool {
        self.place() == other.place()
    }
}

impl Eq for Held {}

impl PartialOrd for Held {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Held {
    fn cmp(&self, other: &Self) -> Ordering {
        self.place().cmp(&other.place())
    }
}

/// The records of one source.
#[derive(Debug)]
pub struct Ledger {
    source: SourceId,
    epoch: Epoch,
    head: Version,
    /// Up to where it is complete, by urgency: at the source up to the head, downstream as far as it was told.
    known: Cursor,
    /// Tombstones up to here may be missing: who is not as far can't be served from the log.
    floor: Version,
    /// Counts what the log doesn't show: a new life of the source, a repair that changed something.
    generation: u64,
    services: BTreeMap<ServiceId, Service>,
    /// By urgency: each record that is held, under its version alone. So a log never holds more than the newest of each.
    /// Empty where nobody is fed from it.
    logs: [BTreeSet<(Version, Key)>; 3],
    logged: bool,
    tombstones: BTreeSet<(Version, Key)>,
    most_tombstones: usize,
    /// The wrapping sum of all digests.
    total: u64,
    live: usize,
    /// What is hashed, kept to spare an allocation for each record.
    scratch: Vec<u8>,
    /// The least key, from which a range over versions begins.
    least: Key,
    /// No body, to look for keys with.
    empty: Arc<[u8]>,
}

impl Ledger {
    /// Nothing said yet, by this life of the source; lives are counted from 1.
    #[must_use]
    pub fn new(source: SourceId, epoch: Epoch) -> Self {
        let epoch = epoch.max(1);
        let head = Version { epoch, revision: 0 };
        let mut ledger = Self::unknown(source);
        (ledger.epoch, ledger.head, ledger.known, ledger.floor) = (epoch, head, [head; 3], head);
        ledger
    }

    /// What a source still has at a new start: `records` as they were, `head` the last change that it knows of. Records
    /// keep their versions; new changes get the new epoch. The head becomes a version of the new epoch at once, with the
    /// old revision: so whatever a former life said lies before it, also what this life doesn't know of.
    #[must_use]
    pub fn restore(source: SourceId, epoch: Epoch, head: Version, records: Vec<Record>) -> Self {
        let epoch = epoch.max(1);
        let mut ledger = Self::unknown(source);
        let revision = records.iter().map(|record| record.version.revision).fold(head.revision, u64::max);
        for record in records {
            ledger.put(record);
        }
        let head = Version { epoch, revision };
        (ledger.epoch, ledger.head, ledger.known, ledger.floor) = (epoch, head, [head; 3], head);
        ledger.bury();
        ledger
    }

    /// One that has heard nothing: epoch 0, complete up to nowhere.
    pub(crate) fn unknown(source: SourceId) -> Self {
        Self {
            source,
            epoch: 0,
            head: Version::default(),
            known: Cursor::default(),
            floor: Version::default(),
            generation: 0,
            services: BTreeMap::new(),
            logs: Default::default(),
            logged: true,
            tombstones: BTreeSet::new(),
            most_tombstones: MAX_TOMBSTONES,
            total: 0,
            live: 0,
            scratch: Vec::new(),
            least: Key { service: 0, kind: Kind::Backend, name: Arc::from("") },
            empty: Arc::from([]),
        }
    }

    /// The same without logs: for the last in line.
    pub(crate) fn without_logs(mut self) -> Self {
        self.logged = false;
        self
    }

    /// The same with another bound for tombstones.
    #[must_use]
    pub fn with_most_tombstones(mut self, most: usize) -> Self {
        self.set_most_tombstones(most);
        self
    }

    pub(crate) fn set_most_tombstones(&mut self, most: usize) {
        self.most_tombstones = most;
        self.bury();
    }

    /// Whether a change may be made.
    ///
    /// # Errors
    /// Where it is beyond a bound.
    pub fn examine(change: &Change) -> Result<(), WriteError> {
        let name = || change.key.name.chars().take(64).collect::<String>();
        let bounds =
            [("the name", change.key.name.len(), MAX_NAME), ("the body", change.body.len(), MAX_BODY)];
        for (what, bytes, most) in bounds {
            if bytes > most {
                return Err(WriteError::TooLong { what, name: name(), bytes, most });
            }
        }
        if change.state == State::Gone && !change.body.is_empty() {
            return Err(WriteError::GoneWithBody(name()));
        }
        Ok(())
    }

    /// Makes a change and stamps it. For the source alone.
    ///
    /// # Errors
    /// Where the change is beyond a bound; nothing is changed then.
    pub fn write(&mut self, change: Change) -> Result<Record, WriteError> {
        Self::examine(&change)?;
        let version = Version { epoch: self.epoch, revision: self.head.revision + 1 };
        let record = Record { key: change.key, version, state: change.state, body: change.body };
        self.put(record.clone());
        self.known = [version; 3];
        self.bury();
        Ok(record)
    }

    /// The source that said it.
    #[must_use]
    pub fn source(&self) -> SourceId {
        self.source
    }

    /// The life of the source.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// The last change that is known, in scope or not.
    #[must_use]
    pub fn head(&self) -> Version {
        self.head
    }

    /// Up to where it is complete, by urgency.
    #[must_use]
    pub fn known(&self) -> Cursor {
        self.known
    }

    /// Up to where it is complete in every urgency.
    #[must_use]
    pub fn complete(&self) -> Version {
        self.known.into_iter().min().unwrap_or_default()
    }

    /// Tombstones up to this version may be missing.
    #[must_use]
    pub fn floor(&self) -> Version {
        self.floor
    }

    /// Counts changes that the log doesn't show.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// How many records are not gone.
    #[must_use]
    pub fn live_count(&self) -> usize {
        self.live
    }

    /// How many tombstones are held.
    #[must_use]
    pub fn tombstone_count(&self) -> usize {
        self.tombstones.len()
    }

    /// One record, tombstones as well.
    #[must_use]
    pub fn get(&self, key: &Key) -> Option<&Record> {
        self.services.get(&key.service)?.records.get(&self.probe(key.kind, &key.name)).map(|held| &held.0)
    }

    /// Something to look for a key with.
    fn probe(&self, kind: Kind, name: &Arc<str>) -> Held {
        let key = Key { service: 0, kind, name: Arc::clone(name) };
        Held(Record { key, version: Version::default(), state: State::Gone, body: Arc::clone(&self.empty) })
    }

    /// The records of a service that are not gone, by key.
    pub fn service(&self, service: ServiceId) -> impl Iterator<Item = &Record> {
        self.range(service, None, None).filter(|record| record.state != State::Gone)
    }

    /// All records that are not gone, by key.
    pub fn live(&self) -> impl Iterator<Item = &Record> {
        let all = self.services.values().flat_map(|service| &service.records).map(|held| &held.0);
        all.filter(|record| record.state != State::Gone)
    }

    /// The digest of a service: 0 without records; the wrapping sum of the hashes of its live records, so that order is
    /// of no matter.
    #[must_use]
    pub fn digest(&self, service: ServiceId) -> u64 {
        self.services.get(&service).map_or(0, |service| service.digest)
    }

    /// The wrapping sum of the digests of all services in scope.
    #[must_use]
    pub fn check(&self, scope: &Scope) -> u64 {
        match scope {
            Scope::All => self.total,
            Scope::Services(services) => {
                services.iter().fold(0, |sum, service| sum.wrapping_add(self.digest(*service)))
            }
        }
    }

    /// The wrapping sum of all digests.
    pub(crate) fn total(&self) -> u64 {
        self.total
    }

    /// Records of a service in a range of keys, the first bound left out, the last one in it; tombstones as well.
    pub(crate) fn range<'a>(
        &'a self,
        service: ServiceId,
        after: Option<&Bound>,
        upto: Option<&Bound>,
    ) -> impl Iterator<Item = &'a Record> + use<'a> {
        let first = after.map(|(kind, name)| self.probe(*kind, name));
        let upto = upto.cloned();
        let records = self.services.get(&service).into_iter().flat_map(move |service| {
            let least = first.as_ref().map_or(Limit::Unbounded, Limit::Excluded);
            service.records.range((least, Limit::Unbounded))
        });
        let inside = records
            .take_while(move |held| upto.as_ref().is_none_or(|(kind, name)| held.place() <= (*kind, name)));
        inside.map(|held| &held.0)
    }

    /// Digests of services that are not 0, from this number on.
    pub(crate) fn digests(&self, from: ServiceId) -> impl Iterator<Item = (ServiceId, u64)> {
        self.services
            .range(from..)
            .map(|(id, service)| (*id, service.digest))
            .filter(|(_, digest)| *digest != 0)
    }

    /// The keys of a log behind one version and up to another, the oldest first.
    pub(crate) fn log(
        &self,
        urgency: Urgency,
        after: Version,
        upto: Version,
    ) -> impl Iterator<Item = (Version, &Key)> {
        let first = Version { revision: after.revision.saturating_add(1), ..after };
        let log = &self.logs[urgency as usize];
        // A range whose end lies before its beginning would panic.
        let some = log.range((first, self.least.clone())..).take_while(move |(version, _)| *version <= upto);
        some.map(|(version, key)| (*version, key))
    }

    /// Puts a record in place of what was held of its key, whatever that was. Gives what was held.
    pub(crate) fn put(&mut self, record: Record) -> Option<Record> {
        let before = self.take(&record.key);
        self.head = self.head.max(record.version);
        let entry = (record.version, record.key.clone());
        if self.logged {
            self.logs[record.urgency() as usize].insert(entry.clone());
        }
        let hash = self.hash(&record);
        let service = self.services.entry(record.key.service).or_default();
        if record.state == State::Gone {
            self.tombstones.insert(entry);
        } else {
            self.live += 1;
            service.digest = service.digest.wrapping_add(hash);
            self.total = self.total.wrapping_add(hash);
        }
        service.records.insert(Held(record));
        before
    }

    /// Forgets a key.
    fn take(&mut self, key: &Key) -> Option<Record> {
        let probe = self.probe(key.kind, &key.name);
        let Held(record) = self.services.get_mut(&key.service)?.records.take(&probe)?;
        let entry = (record.version, record.key.clone());
        self.logs[record.urgency() as usize].remove(&entry);
        if record.state == State::Gone {
            self.tombstones.remove(&entry);
        } else {
            self.live -= 1;
        }
        let hash = self.hash(&record);
        let service = self.services.get_mut(&key.service)?;
        if record.state != State::Gone {
            service.digest = service.digest.wrapping_sub(hash);
            self.total = self.total.wrapping_sub(hash);
        }
        if service.records.is_empty() {
            self.services.remove(&key.service);
        }
        Some(record)
    }

    /// Drops the oldest tombstones beyond the bound. Those that somebody still has to be told of stay: as long as this
    /// ledger isn't complete up to them, an older word of the same key could come.
    pub(crate) fn bury(&mut self) {
        let complete = self.complete();
        while self.tombstones.len() > self.most_tombstones {
            let Some((version, key)) = self.tombstones.first().cloned() else { break };
            if version > complete {
                break;
            }
            self.take(&key);
            self.floor = self.floor.max(version);
        }
    }

    /// Drops all tombstones up to a version: whoever isn't as far is told by digests.
    pub(crate) fn forget(&mut self, upto: Version) {
        while let Some((version, key)) =
            self.tombstones.first().cloned().filter(|(version, _)| *version <= upto)
        {
            self.take(&key);
            self.floor = self.floor.max(version);
        }
    }

    /// It is complete up to there.
    pub(crate) fn reach(&mut self, known: Cursor) {
        self.known = known;
        self.head = known.into_iter().fold(self.head, Version::max);
    }

    /// A repair is over: it belongs to this life of the source, and knows of no tombstones up to `to`.
    pub(crate) fn rebuilt(&mut self, epoch: Epoch, to: Version, changed: bool) {
        self.generation += u64::from(changed || epoch != self.epoch);
        self.epoch = epoch;
        self.floor = self.floor.max(to);
        self.forget(to);
    }

    /// Something changed that the log doesn't show.
    pub(crate) fn changed(&mut self) {
        self.generation += 1;
    }

    /// The hash of a record; 0 of one that is gone.
    fn hash(&mut self, record: &Record) -> u64 {
        if record.state == State::Gone {
            return 0;
        }
        let text = &mut self.scratch;
        text.clear();
        text.extend_from_slice(&record.key.service.to_le_bytes());
        text.extend_from_slice(&record.version.epoch.to_le_bytes());
        text.extend_from_slice(&record.version.revision.to_le_bytes());
        text.extend_from_slice(&[record.key.kind as u8, record.state as u8]);
        text.extend_from_slice(&(record.key.name.len() as u64).to_le_bytes());
        text.extend_from_slice(record.key.name.as_bytes());
        text.extend_from_slice(&record.body);
        XxHash3_64::oneshot(text)
    }
}
