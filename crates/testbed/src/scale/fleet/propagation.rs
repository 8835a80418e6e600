//! How long changes took from their source's word to the last subscriber in whose scope they are. Pure.

use super::messages::Tally;
use super::model::Model;
use control_plane::record::{ServiceId, SourceId};
use rustc_hash::FxHashMap;

/// Who hears of something from the same moment on: the hollow proxies of a zone that share a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Group {
    /// The process.
    pub process: u16,
    /// The zone.
    pub zone: u16,
}

/// Who must hear of what, as far as that changes in a run.
pub trait Audience {
    /// The groups that have a service in scope, with how many proxies of each.
    fn of(&self, service: ServiceId) -> &[(Group, u32)];
    /// The moment from which a group can be reached with a change of a source that was written then: that moment, or a
    /// later one. `None`: the change does not count for this group (its proxies were gone or starting).
    fn reachable(&self, source: SourceId, group: Group, written: u64) -> Option<u64>;
}

/// What became of one change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChangePropagation {
    /// In which step it was written.
    pub step: usize,
    /// Until the last one had it, microseconds; `None`: somebody never got it, nor a newer one.
    pub after: Option<u64>,
    /// Until the last one had it, from the moment it was written, whoever could be reached then.
    pub after_written: Option<u64>,
}

/// What came into force, as the processes counted it.
#[derive(Debug, Default)]
pub struct Propagation {
    // By source and place among its changes, and group.
    reached: FxHashMap<(SourceId, usize, Group), (u32, u64)>,
    /// Tallies that belong to no change of a step.
    pub strangers: u64,
}

impl Propagation {
    /// Takes what a process counted.
    pub fn take(&mut self, model: &Model, process: u16, tallies: &[Tally]) {
        for tally in tallies {
            let Some(source) = model.get(&tally.source) else {
                self.strangers += 1;
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

    /// What became of each change of the steps that a source still knows of, where anybody has it in scope.
    #[must_use]
    pub fn changes(&self, model: &Model, audience: &impl Audience) -> Vec<ChangePropagation> {
        let mut all = Vec::new();
        for (&number, source) in model {
            for (place, said) in source.acknowledged.iter().enumerate() {
                let Some(step) = said.step.filter(|_| !said.lost) else { continue };
                let mut reached = ChangePropagation { step, after: Some(0), after_written: Some(0) };
                let mut anybody = false;
                for &(group, must) in audience.of(said.service) {
                    let Some(from) = audience.reachable(number, group, said.at) else { continue };
                    anybody = true;
                    let got = self.reached.get(&(number, place, group));
                    let last = got.filter(|(count, _)| *count >= must).map(|(_, last)| *last);
                    let since = |from: u64| last.map(|last| last.saturating_sub(from));
                    let later = |had: Option<u64>, now: Option<u64>| Some(had?.max(now?));
                    reached.after = later(reached.after, since(from));
                    reached.after_written = later(reached.after_written, since(said.at));
                }
                if anybody {
                    all.push(reached);
                }
            }
        }
        all
    }
}

/// What became of the changes of a step, seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Summary {
    /// How many.
    pub changes: usize,
    /// How many never reached somebody.
    pub never: usize,
    /// Half of them were in force within.
    pub median_s: f64,
    /// 99 of 100 were.
    pub p99_s: f64,
    /// All were, but those that never were.
    pub worst_s: f64,
}

/// The least of all values that so large a part is not above; 0 without values. The values ascend.
#[must_use]
pub fn percentile(values: &[u64], part: f64) -> u64 {
    let place = (values.len() as f64 * part).ceil() as usize;
    values.get(place.clamp(1, values.len().max(1)) - 1).copied().unwrap_or(0)
}

/// The figures of one step; `of` picks the time that counts.
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
