//! What the sum of all proxies sends to backends that are cold, beside what the settings allow, from what the stand-ins
//! saw. Pure: no I/O, no clock, and no proxy's word.
//!
//! A cold backend falls when it gets more than N + 2 root N + 2 requests of mean work within `fallUs`. N is what the
//! settings allow it then: `fallMultiple` times the capacity that it has at the window's beginning, for as long as the
//! window lasts. What it turns away counts too: that is work which reached it.

use crate::invariant_checker::{OVERLOAD_MULTIPLE, OVERLOAD_WINDOW, Observation, ResponseKind};
use crate::plan::Plan;
use crate::script::{Script, micros};
use balancer::api::Micros;
use rustc_hash::FxHashSet;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// How much of what they bear cold backends got, and what was refused meanwhile.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SlowStartLoad {
    /// Starts of backends.
    pub starts: u64,
    /// The most that came to one of them in any window, in parts of N + 2 root N + 2: beyond 1 it falls.
    pub most: f64,
    /// The part of the bound that came in the mean, over windows one after another while it was cold.
    pub used: f64,
    /// Requests asked while any backend was cold.
    pub asked: u64,
    /// How many of them were refused.
    pub refused: u64,
}

impl SlowStartLoad {
    /// Part of the requests asked while any backend was cold that was refused.
    #[must_use]
    pub fn refused_part(&self) -> f64 {
        self.refused as f64 / (self.asked as f64).max(1.0)
    }
}

/// Requests of mean work that the settings allow a backend within `fallUs`, so long after its start (microseconds).
#[must_use]
pub fn allowed(script: &Script, at_box: usize, age: Micros) -> f64 {
    let fleet = &script.fleet;
    let age = age as f64 / micros(fleet.warm_up_s).max(1) as f64;
    let part = fleet.initial_capacity + (1.0 - fleet.initial_capacity) * age.min(1.0);
    let per_s = fleet.cores * script.speed(at_box) * 1e3 / script.mean_work_ms();
    OVERLOAD_MULTIPLE * part * per_s * OVERLOAD_WINDOW as f64 / 1e6
}

/// What is no more than chance where so many are allowed.
#[must_use]
pub fn bound(allowed: f64) -> f64 {
    allowed + 2.0 * allowed.sqrt() + 2.0
}

/// One start of a backend, until it is warm or starts again.
struct Life {
    at_box: usize,
    started: Micros,
    /// What came within the last window, and its sum; in requests of mean work.
    lately: VecDeque<(Micros, f64)>,
    sum: f64,
    /// What came in each of the windows that follow one another from the start.
    windows: Vec<f64>,
}

impl Life {
    /// Work comes; gives the part of the bound that the window which ends now has had.
    fn add(&mut self, script: &Script, at: Micros, work: f64) -> f64 {
        let from = at.saturating_sub(OVERLOAD_WINDOW).max(self.started);
        self.lately.push_back((at, work));
        self.sum += work;
        while let Some((_, old)) = self.lately.front().copied().filter(|&(when, _)| when < from) {
            self.lately.pop_front();
            self.sum -= old;
        }
        let window = ((at - self.started) / OVERLOAD_WINDOW) as usize;
        if let Some(window) = self.windows.get_mut(window) {
            *window += work;
        }
        self.sum / bound(allowed(script, self.at_box, from - self.started))
    }
}

/// Measures it; `None` where no backend started. `seen` is in the order of time.
#[must_use]
pub fn measure(script: &Script, plan: &Plan, seen: &[(Micros, Observation)]) -> Option<SlowStartLoad> {
    let cold = micros(script.fleet.warm_up_s);
    let mean = script.mean_work_ms() * 1e3;
    let work_of = |id: u64| plan.arrivals.get(id as usize).map_or(1.0, |arrival| arrival.work as f64 / mean);
    let asked_last = seen.iter().rev().find(|(_, seen)| matches!(seen, Observation::RequestSent { .. }));
    let asked_last = asked_last.map_or(0, |&(at, _)| at);
    let mut out = SlowStartLoad::default();
    let mut current: Vec<Option<usize>> = vec![None; script.fleet.backends];
    let mut lives: Vec<Life> = Vec::new();
    let (mut any_until, mut meanwhile) = (None, FxHashSet::default());
    for &(at, what) in seen {
        match what {
            Observation::BackendStarted { backend: at_box } => {
                out.starts += 1;
                current[at_box] = Some(lives.len());
                any_until = any_until.max(Some(at + cold));
                // Windows that begin while it is cold, and end while there is traffic.
                let span = cold.min(asked_last.saturating_sub(at));
                let windows = vec![0.0; (span / OVERLOAD_WINDOW) as usize];
                lives.push(Life { at_box, started: at, lately: VecDeque::new(), sum: 0.0, windows });
            }
            Observation::AttemptStarted { backend: at_box, .. }
            | Observation::AttemptRejected { backend: at_box, .. } => {
                let work = match what {
                    Observation::AttemptStarted { work, .. } => work as f64 / mean,
                    Observation::AttemptRejected { id, .. } => work_of(id),
                    _ => 0.0,
                };
                let life = current[at_box].and_then(|place| lives.get_mut(place));
                if let Some(life) = life.filter(|life| at < life.started + cold + OVERLOAD_WINDOW) {
                    out.most = out.most.max(life.add(script, at, work));
                }
            }
            Observation::RequestSent { id, .. } if any_until.is_some_and(|until| at < until) => {
                // A client that had to come again asks once.
                out.asked += u64::from(meanwhile.insert(id));
            }
            Observation::ResponseReceived { id, kind: ResponseKind::Rejected } => {
                out.refused += u64::from(meanwhile.remove(&id));
            }
            _ => {}
        }
    }
    let parts: Vec<f64> = lives.iter().flat_map(|life| parts(script, life)).collect();
    out.used = parts.iter().sum::<f64>() / (parts.len() as f64).max(1.0);
    (out.starts > 0).then_some(out)
}

/// The part of the bound that each of a life's windows has had.
fn parts<'a>(script: &'a Script, life: &'a Life) -> impl Iterator<Item = f64> + 'a {
    life.windows
        .iter()
        .enumerate()
        .map(|(number, sum)| sum / bound(allowed(script, life.at_box, number as Micros * OVERLOAD_WINDOW)))
}
