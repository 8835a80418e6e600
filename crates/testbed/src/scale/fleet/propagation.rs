//! Propagation time of changes, from the write at their source to the last subscriber in scope. Does no I/O.

use super::messages::Tally;
use super::model::Model;
use control_plane::record::{ServiceId, SourceId};
use rustc_hash::FxHashMap;

/// Simulated proxies that become reachable at the same time: those of one zone and one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Group {
    /// The process.
    pub process: u16,
    /// The zone.
    pub zone: u16,
}

/// The groups that must receive a change, and when they can.
pub trait Audience {
    /// The groups that have a service in scope, with the number of proxies of each.
    fn of(&self, service: ServiceId) -> &[(Group, u32)];
    /// The time from which a group can receive a change that its source wrote at `written`: that time or a later one.
    /// `None`: the change does not count for this group (its proxies were stopped or starting).
    fn reachable(&self, source: SourceId, group: Group, written: u64) -> Option<u64>;
}

/// Propagation of one change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChangePropagation {
    /// The step in which it was written.
    pub step: usize,
    /// Time until the last subscriber had it, from when that was reachable, microseconds; `None`: a subscriber received
    /// neither it nor a newer one.
    pub after: Option<u64>,
    /// As `after`, from the write itself.
    pub after_written: Option<u64>,
}

/// Updates that the processes counted, by change.
#[derive(Debug, Default)]
pub struct Propagation {
    // By source, index among its changes, and group: the number of subscribers, and the time of the last.
    reached: FxHashMap<(SourceId, usize, Group), (u32, u64)>,
    /// Tallies of unknown sources.
    pub unknown_tallies: u64,
}

impl Propagation {
    /// Adds the tallies of a process.
    pub fn take(&mut self, model: &Model, process: u16, tallies: &[Tally]) {
        for tally in tallies {
            let Some(source) = model.get(&tally.source) else {
                self.unknown_tallies += 1;
                continue;
            };
            let group = Group { process, zone: tally.group };
            for place in source.changes(tally.key, tally.from, tally.to) {
                if source.acknowledged[place].step.is_some() {
                    let (count, last) = self.reached.entry((tally.source, place, group)).or_insert((0, 0));
                    (*count, *last) = (*count + tally.count, tally.last.max(*last));
                }
            }
        }
    }

    /// Propagation of each change that was written in a step, is not lost, and has subscribers.
    #[must_use]
    pub fn changes(&self, model: &Model, audience: &impl Audience) -> Vec<ChangePropagation> {
        let mut all = Vec::new();
        for (&number, source) in model {
            for (place, said) in source.acknowledged.iter().enumerate() {
                let Some(step) = said.step.filter(|_| !said.lost) else { continue };
                let mut reached = ChangePropagation { step, after: Some(0), after_written: Some(0) };
                let mut has_subscribers = false;
                for &(group, must) in audience.of(said.service) {
                    let Some(from) = audience.reachable(number, group, said.at) else { continue };
                    has_subscribers = true;
                    let got = self.reached.get(&(number, place, group));
                    let last = got.filter(|(count, _)| *count >= must).map(|(_, last)| *last);
                    let since = |from: u64| last.map(|last| last.saturating_sub(from));
                    let later = |had: Option<u64>, now: Option<u64>| Some(had?.max(now?));
                    reached.after = later(reached.after, since(from));
                    reached.after_written = later(reached.after_written, since(said.at));
                }
                if has_subscribers {
                    all.push(reached);
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
    /// Changes that a subscriber never received.
    pub never: usize,
    /// Median.
    pub median_s: f64,
    /// 99th percentile.
    pub p99_s: f64,
    /// Maximum, without changes that were never received.
    pub worst_s: f64,
}

/// The smallest value that is at least as large as this part (0 to 1) of the ascending values; 0 without values.
#[must_use]
pub fn percentile(values: &[u64], part: f64) -> u64 {
    let place = (values.len() as f64 * part).ceil() as usize;
    values.get(place.clamp(1, values.len().max(1)) - 1).copied().unwrap_or(0)
}

/// Summarizes one step; `of` selects the time.
#[must_use]
pub fn summary(
    all: &[ChangePropagation],
    step: usize,
    of: impl Fn(&ChangePropagation) -> Option<u64>,
) -> Summary {
    let times: Vec<Option<u64>> = all.iter().filter(|r| r.step == step).map(of).collect();
    let mut known: Vec<u64> = times.iter().copied().flatten().collect();
    known.sort_unstable();
    let seconds = |micros: u64| micros as f64 / 1e6;
    Summary {
        changes: times.len(),
        never: times.len() - known.len(),
        median_s: seconds(percentile(&known, 0.5)),
        p99_s: seconds(percentile(&known, 0.99)),
        worst_s: seconds(known.last().copied().unwrap_or(0)),
    }
}
