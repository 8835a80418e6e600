//! Looks over a subscriber's shoulder: every record that came into force must be newer than what was in force, unless its
//! source has begun a new life since. Keeps its own table and asks the subscriber nothing. Pure.

use super::messages::{Tally, key_hash};
use control_plane::message::Message;
use control_plane::record::{Epoch, Record, SourceId, State, Version};
use rustc_hash::FxHashMap;

/// Tallies that a process keeps between two questions.
const MAX_TALLIES: usize = 4_000_000;
/// Breaks that are worded for one subscriber.
const WORDED: usize = 5;

/// The watcher of one subscriber.
#[derive(Debug, Default)]
pub struct VersionMonitor {
    held: FxHashMap<(SourceId, u64), (Version, State)>,
    heard: FxHashMap<SourceId, Epoch>,
    live: u32,
    breaks: Vec<String>,
}

impl VersionMonitor {
    /// What the link brought, before the subscriber has it: tells which life of a source was heard of.
    pub fn heard(&mut self, message: &Message) {
        let (Message::Batch { source, epoch, .. }
        | Message::DigestSummary { source, epoch, .. }
        | Message::ServiceSnapshot { source, epoch, .. }) = message
        else {
            return;
        };
        let heard = self.heard.entry(*source).or_default();
        *heard = (*heard).max(*epoch);
    }

    /// A record came into force. Gives the version that was in force before; zero: none.
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
        let renewed = self.heard.get(&source).is_some_and(|&heard| heard > before.0.epoch);
        if record.version <= before.0 && !renewed && self.breaks.len() < WORDED {
            let undone = before.1 != State::Active && record.state == State::Active;
            let what = if undone { "a drain undone" } else { "an older version over a newer one" };
            self.breaks.push(format!(
                "{what}: {}/{} of source {source} went from {:?} to {:?}",
                key.service, key.name, before.0, record.version
            ));
        }
        before.0
    }

    /// How many records are in force.
    #[must_use]
    pub fn live(&self) -> u32 {
        self.live
    }

    /// What was broken so far, the first few.
    #[must_use]
    pub fn breaks(&self) -> &[String] {
        &self.breaks
    }

    /// About how much memory it takes, bytes.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        // A slot and its mark; a table of this kind has room for an eighth more than it may hold.
        let slot = size_of::<((SourceId, u64), (Version, State))>() + 1;
        (self.held.capacity() * 8 / 7 * slot) as u64
    }
}

/// Source, record, the version before, the version since, group.
type Way = (SourceId, u64, Version, Version, u16);

/// What came into force in a process, summed over subscribers that went the same way.
#[derive(Debug, Default)]
pub struct Tallies {
    counts: FxHashMap<Way, (u32, u64)>,
    forgotten: u64,
}

impl Tallies {
    /// One subscriber of a group went from one version to another.
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

    /// All of them; it is empty afterwards.
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
