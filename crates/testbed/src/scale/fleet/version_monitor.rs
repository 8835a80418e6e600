//! Checks that every applied record is newer than the one it replaces, unless its source has a new epoch
//! since. Has a version table of its own, independent of the subscriber's. Does no I/O.

use super::messages::{Tally, key_hash};
use control_plane::message::Message;
use control_plane::record::{Epoch, Record, RecordState, SourceId, Version};
use rustc_hash::FxHashMap;

/// Upper bound of the tallies that a process stores between two requests.
const MAX_TALLIES: usize = 4_000_000;
/// Upper bound of the violations that are described for one subscriber.
const MAX_DESCRIBED_VIOLATIONS: usize = 5;

/// The monitor of one subscriber.
#[derive(Debug, Default)]
pub struct VersionMonitor {
    applied: FxHashMap<(SourceId, u64), (Version, RecordState)>,
    epochs: FxHashMap<SourceId, Epoch>,
    live_records: u32,
    violations: Vec<String>,
}

impl VersionMonitor {
    /// Records the epoch of a message before the subscriber receives it.
    pub fn observe_epoch(&mut self, message: &Message) {
        let (Message::Batch { source, epoch, .. }
        | Message::DigestSummary { source, epoch, .. }
        | Message::ServiceSnapshot { source, epoch, .. }) = message
        else {
            return;
        };
        let known = self.epochs.entry(*source).or_default();
        *known = (*known).max(*epoch);
    }

    /// Checks a record that the subscriber applied. Returns the replaced version; zero if there was none.
    pub fn on_applied(&mut self, source: SourceId, record: &Record) -> Version {
        let key = &record.key;
        let applied = self
            .applied
            .entry((source, key_hash(key.service, key.kind, &key.name)))
            .or_insert((Version::default(), RecordState::Gone));
        let before = std::mem::replace(applied, (record.version, record.state));
        match (before.1 == RecordState::Gone, record.state == RecordState::Gone) {
            (true, false) => self.live_records += 1,
            (false, true) => self.live_records = self.live_records.saturating_sub(1),
            _ => {}
        }
        let has_newer_epoch = self.epochs.get(&source).is_some_and(|&epoch| epoch > before.0.epoch);
        if record.version <= before.0 && !has_newer_epoch && self.violations.len() < MAX_DESCRIBED_VIOLATIONS
        {
            let reverted = before.1 != RecordState::Active && record.state == RecordState::Active;
            let what = if reverted { "drain reverted" } else { "version not newer" };
            self.violations.push(format!(
                "{what}: {}/{} of source {source} went from {:?} to {:?}",
                key.service, key.name, before.0, record.version
            ));
        }
        before.0
    }

    /// Number of records in the replica that are not gone.
    #[must_use]
    pub fn live_records(&self) -> u32 {
        self.live_records
    }

    /// Descriptions of the first few violations.
    #[must_use]
    pub fn violations(&self) -> &[String] {
        &self.violations
    }

    /// Approximate memory of the monitor, bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> u64 {
        // A table slot has a control byte; the table's load factor is 7/8.
        let slot = size_of::<((SourceId, u64), (Version, RecordState))>() + 1;
        (self.applied.capacity() * 8 / 7 * slot) as u64
    }
}

/// Source, key hash, version before, version after, group.
type TallyKey = (SourceId, u64, Version, Version, u16);

/// Updates in a process, summed over the subscribers of a group with the same replaced and new version.
#[derive(Debug, Default)]
pub struct Tallies {
    counts: FxHashMap<TallyKey, (u32, u64)>,
    uncounted: u64,
}

impl Tallies {
    /// Counts one subscriber's update of a record from version `from`, at `at` in microseconds of Unix time.
    pub fn add(&mut self, source: SourceId, record: &Record, from: Version, group: u16, at: u64) {
        let key = key_hash(record.key.service, record.key.kind, &record.key.name);
        let tally_key = (source, key, from, record.version, group);
        if self.counts.len() >= MAX_TALLIES && !self.counts.contains_key(&tally_key) {
            self.uncounted += 1;
            return;
        }
        let (count, last) = self.counts.entry(tally_key).or_default();
        (*count, *last) = (*count + 1, at.max(*last));
    }

    /// Returns all tallies and the number of updates that exceeded the bound, and clears both.
    pub fn take(&mut self) -> (Vec<Tally>, u64) {
        let tallies = self.counts.drain().map(|((source, key, from, to, group), (count, last))| Tally {
            source,
            key,
            from,
            to,
            group,
            count,
            last,
        });
        let tallies = tallies.collect();
        self.counts.shrink_to_fit();
        (tallies, std::mem::take(&mut self.uncounted))
    }
}
