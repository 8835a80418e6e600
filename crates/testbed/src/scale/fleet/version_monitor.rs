//! Checks that every record that comes into force is newer than the one it replaces, unless its source has a new epoch
//! since. Keeps a table of its own, independent of the subscriber's. Does no I/O.

use super::messages::{Tally, key_hash};
use control_plane::message::Message;
use control_plane::record::{Epoch, Record, SourceId, State, Version};
use rustc_hash::FxHashMap;

/// Upper bound of the tallies that a process keeps between two requests.
const MAX_TALLIES: usize = 4_000_000;
/// Violations that are described for one subscriber.
const MAX_DESCRIBED_VIOLATIONS: usize = 5;

/// The monitor of one subscriber.
#[derive(Debug, Default)]
pub struct VersionMonitor {
    held: FxHashMap<(SourceId, u64), (Version, State)>,
    epochs: FxHashMap<SourceId, Epoch>,
    live: u32,
    breaks: Vec<String>,
}

impl VersionMonitor {
    /// Notes the epoch of a message before the subscriber receives it.
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

    /// Checks a record that came into force. Returns the version in force before; zero: none.
    pub fn applied(&mut self, source: SourceId, record: &Record) -> Version {
        let key = &record.key;
        let held = self
            .held
            .entry((source, key_hash(key.service, key.kind, &key.name)))
            .or_insert((Version::default(), State::Gone));
        let before = std::mem::replace(held, (record.version, record.state));
        match (before.1 == State::Gone, record.state == State::Gone) {
            (true, false) => self.live += 1,
            (false, true) => self.live = self.live.saturating_sub(1),
            _ => {}
        }
        let renewed = self.epochs.get(&source).is_some_and(|&heard| heard > before.0.epoch);
        if record.version <= before.0 && !renewed && self.breaks.len() < MAX_DESCRIBED_VIOLATIONS {
            let undone = before.1 != State::Active && record.state == State::Active;
            let what = if undone { "a drain undone" } else { "an older version over a newer one" };
            self.breaks.push(format!(
                "{what}: {}/{} of source {source} went from {:?} to {:?}",
                key.service, key.name, before.0, record.version
            ));
        }
        before.0
    }

    /// Number of records in force.
    #[must_use]
    pub fn live(&self) -> u32 {
        self.live
    }

    /// Descriptions of the first few violations.
    #[must_use]
    pub fn breaks(&self) -> &[String] {
        &self.breaks
    }

    /// Approximate memory of the monitor, bytes.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        // A slot and its control byte; the table's load factor is 7/8.
        let slot = size_of::<((SourceId, u64), (Version, State))>() + 1;
        (self.held.capacity() * 8 / 7 * slot) as u64
    }
}

/// Source, key hash, version before, version after, group.
type TallyKey = (SourceId, u64, Version, Version, u16);

/// Updates in a process, summed over subscribers with equal versions before and after.
#[derive(Debug, Default)]
pub struct Tallies {
    counts: FxHashMap<TallyKey, (u32, u64)>,
    forgotten: u64,
}

impl Tallies {
    /// Counts one subscriber's update from one version to another.
    pub fn add(&mut self, source: SourceId, record: &Record, from: Version, group: u16, at: u64) {
        let key = key_hash(record.key.service, record.key.kind, &record.key.name);
        let place = (source, key, from, record.version, group);
        if self.counts.len() >= MAX_TALLIES && !self.counts.contains_key(&place) {
            self.forgotten += 1;
            return;
        }
        let (count, last) = self.counts.entry(place).or_default();
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
        (tallies, std::mem::take(&mut self.forgotten))
    }
}
