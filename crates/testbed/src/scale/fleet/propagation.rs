//! Propagation time of changes, from the write at their source until the last subscriber in scope has applied
//! them. Does no I/O.

use super::messages::Tally;
use super::model::Model;
use control_plane::record::{ServiceId, SourceId};
use rustc_hash::FxHashMap;

/// Simulated proxies that become reachable at the same time: those of one zone in one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Group {
    /// The number of the process.
    pub process: u16,
    /// The number of the zone.
    pub zone: u16,
}

/// The groups that must receive a change, and the time from which they can.
pub trait Subscribers {
    /// The groups that have a service in scope, with the number of proxies of each.
    fn groups(&self, service: ServiceId) -> &[(Group, u32)];
    /// The time from which a group can receive a change that its source wrote at `written_at_us`: that time
    /// or a later one, microseconds. `None`: the change does not count for this group (its proxies were
    /// stopped or starting).
    fn reachable_from_us(&self, source: SourceId, group: Group, written_at_us: u64) -> Option<u64>;
}

/// Propagation of one change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChangePropagation {
    /// The step in which it was written.
    pub step: usize,
    /// Maximum over all groups of the time from when the group was reachable until its last subscriber had
    /// applied the change, microseconds; `None`: a subscriber received neither the change nor a newer one.
    pub from_reachable_us: Option<u64>,
    /// As `from_reachable_us`, but from the write itself.
    pub from_write_us: Option<u64>,
}

/// Updates of subscribers, summed by change and group.
#[derive(Debug, Default)]
pub struct Propagation {
    // By source, index among its changes, and group: the number of subscribers, and the time of the last
    // update.
    updates: FxHashMap<(SourceId, usize, Group), (u32, u64)>,
    /// Number of tallies with a source that the model does not have.
    pub unknown_tallies: u64,
}

impl Propagation {
    /// Adds the tallies of a process.
    pub fn add_tallies(&mut self, model: &Model, process: u16, tallies: &[Tally]) {
        for tally in tallies {
            let Some(source) = model.get(&tally.source) else {
                self.unknown_tallies += 1;
                continue;
            };
            let group = Group { process, zone: tally.group };
            for index in source.changes(tally.key, tally.from, tally.to) {
                if source.acknowledged[index].step.is_some() {
                    let (count, last) = self.updates.entry((tally.source, index, group)).or_insert((0, 0));
                    (*count, *last) = (*count + tally.count, tally.last.max(*last));
                }
            }
        }
    }

    /// Propagation of each change that was written in a step, was not lost, and has subscribers.
    #[must_use]
    pub fn changes(&self, model: &Model, subscribers: &impl Subscribers) -> Vec<ChangePropagation> {
        let mut all = Vec::new();
        for (&number, source) in model {
            for (index, change) in source.acknowledged.iter().enumerate() {
                let Some(step) = change.step.filter(|_| !change.lost) else { continue };
                let mut propagation =
                    ChangePropagation { step, from_reachable_us: Some(0), from_write_us: Some(0) };
                let mut has_subscribers = false;
                for &(group, size) in subscribers.groups(change.service) {
                    let Some(from) = subscribers.reachable_from_us(number, group, change.written_at_us)
                    else {
                        continue;
                    };
                    has_subscribers = true;
                    let update = self.updates.get(&(number, index, group));
                    let last = update.filter(|(count, _)| *count >= size).map(|(_, last)| *last);
                    let since = |from: u64| last.map(|last| last.saturating_sub(from));
                    let later = |max: Option<u64>, time: Option<u64>| Some(max?.max(time?));
                    propagation.from_reachable_us = later(propagation.from_reachable_us, since(from));
                    propagation.from_write_us = later(propagation.from_write_us, since(change.written_at_us));
                }
                if has_subscribers {
                    all.push(propagation);
                }
            }
        }
        all
    }
}

/// Propagation times of the changes of a step, seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Summary {
    /// Number of changes.
    pub changes: usize,
    /// Changes that at least one subscriber never received.
    pub never_received: usize,
    /// Median of the changes that all subscribers received.
    pub median_s: f64,
    /// 99th percentile of these changes.
    pub p99_s: f64,
    /// Maximum of these changes.
    pub max_s: f64,
}

/// Returns the smallest value that is not exceeded by this fraction (0 to 1) of the values, which must be
/// ascending; 0 without values.
#[must_use]
pub fn percentile(values: &[u64], fraction: f64) -> u64 {
    let rank = (values.len() as f64 * fraction).ceil() as usize;
    values.get(rank.clamp(1, values.len().max(1)) - 1).copied().unwrap_or(0)
}

/// Summarizes the changes of one step; `time_us` selects the propagation time, microseconds.
#[must_use]
pub fn summary(
    all: &[ChangePropagation],
    step: usize,
    time_us: impl Fn(&ChangePropagation) -> Option<u64>,
) -> Summary {
    let times: Vec<Option<u64>> = all.iter().filter(|change| change.step == step).map(time_us).collect();
    let mut known: Vec<u64> = times.iter().copied().flatten().collect();
    known.sort_unstable();
    let seconds = |micros: u64| micros as f64 / 1e6;
    Summary {
        changes: times.len(),
        never_received: times.len() - known.len(),
        median_s: seconds(percentile(&known, 0.5)),
        p99_s: seconds(percentile(&known, 0.99)),
        max_s: seconds(known.last().copied().unwrap_or(0)),
    }
}
