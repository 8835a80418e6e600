//! Load that all proxies together send to warming backends, relative to the slow-start limit. Pure: computed from
//! observations only.
//!
//! A warming backend is overloaded when it receives more than N + 2 sqrt(N) + 2 requests of mean work within `fallUs`. N is
//! the work that the settings allow: `fallMultiple` times the capacity at the start of the window. Rejected requests
//! count too, as they reached the backend.

use crate::invariant_checker::{OVERLOAD_MULTIPLE, OVERLOAD_WINDOW, Observation, ResponseKind};
use crate::plan::Plan;
use crate::script::{Script, micros};
use balancer::api::Micros;
use rustc_hash::FxHashSet;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Load of warming backends, and rejections during warm-up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SlowStartLoad {
    /// Number of backend starts.
    pub starts: u64,
    /// Largest load of one backend in any window, relative to N + 2 sqrt(N) + 2; above 1 it is overloaded.
    pub most: f64,
    /// Mean load relative to the bound, over consecutive windows during warm-up.
    pub used: f64,
    /// Requests sent while any backend was warming up.
    pub asked: u64,
    /// How many of them were rejected.
    pub refused: u64,
}

impl SlowStartLoad {
    /// Fraction of the requests sent during warm-up that were rejected, 0 to 1.
    #[must_use]
    pub fn refused_part(&self) -> f64 {
        self.refused as f64 / (self.asked as f64).max(1.0)
    }
}

/// Requests of mean work that the settings allow a backend within `fallUs`; `age` is the time since its start,
/// microseconds.
#[must_use]
pub fn allowed(script: &Script, backend: usize, age: Micros) -> f64 {
    let fleet = &script.fleet;
    let age = age as f64 / micros(fleet.warm_up_s).max(1) as f64;
    let part = fleet.initial_capacity + (1.0 - fleet.initial_capacity) * age.min(1.0);
    let per_s = fleet.cores * script.speed(backend) * 1e3 / script.mean_work_ms();
    OVERLOAD_MULTIPLE * part * per_s * OVERLOAD_WINDOW as f64 / 1e6
}

/// Upper bound of the random variation where this number of requests is allowed.
#[must_use]
pub fn bound(allowed: f64) -> f64 {
    allowed + 2.0 * allowed.sqrt() + 2.0
}

/// One incarnation of a backend, until it is warm or restarts.
struct Incarnation {
    backend: usize,
    started: Micros,
    /// Work received within the last window, in requests of mean work.
    recent: VecDeque<(Micros, f64)>,
    sum: f64,
    /// Work received in each consecutive window from the start.
    windows: Vec<f64>,
}

impl Incarnation {
    /// Adds received work; returns the load of the window that ends now, relative to the bound.
    fn add(&mut self, script: &Script, at: Micros, work: f64) -> f64 {
        let from = at.saturating_sub(OVERLOAD_WINDOW).max(self.started);
        self.recent.push_back((at, work));
        self.sum += work;
        while let Some((_, old)) = self.recent.front().copied().filter(|&(when, _)| when < from) {
            self.recent.pop_front();
            self.sum -= old;
        }
        let window = ((at - self.started) / OVERLOAD_WINDOW) as usize;
        if let Some(window) = self.windows.get_mut(window) {
            *window += work;
        }
        self.sum / bound(allowed(script, self.backend, from - self.started))
    }
}

/// Measures the load; `None` if no backend started. `seen` is in the order of time.
#[must_use]
pub fn measure(script: &Script, plan: &Plan, seen: &[(Micros, Observation)]) -> Option<SlowStartLoad> {
    let cold = micros(script.fleet.warm_up_s);
    let mean = script.mean_work_ms() * 1e3;
    let work_of = |id: u64| plan.arrivals.get(id as usize).map_or(1.0, |arrival| arrival.work as f64 / mean);
    let asked_last = seen.iter().rev().find(|(_, seen)| matches!(seen, Observation::RequestSent { .. }));
    let asked_last = asked_last.map_or(0, |&(at, _)| at);
    let mut out = SlowStartLoad::default();
    let mut current: Vec<Option<usize>> = vec![None; script.fleet.backends];
    let mut incarnations: Vec<Incarnation> = Vec::new();
    let (mut any_until, mut meanwhile) = (None, FxHashSet::default());
    for &(at, what) in seen {
        match what {
            Observation::BackendStarted { backend } => {
                out.starts += 1;
                current[backend] = Some(incarnations.len());
                any_until = any_until.max(Some(at + cold));
                // Only windows that start during warm-up and end during the traffic count.
                let span = cold.min(asked_last.saturating_sub(at));
                let windows = vec![0.0; (span / OVERLOAD_WINDOW) as usize];
                incarnations.push(Incarnation {
                    backend,
                    started: at,
                    recent: VecDeque::new(),
                    sum: 0.0,
                    windows,
                });
            }
            Observation::AttemptStarted { backend, .. } | Observation::AttemptRejected { backend, .. } => {
                let work = match what {
                    Observation::AttemptStarted { work, .. } => work as f64 / mean,
                    Observation::AttemptRejected { id, .. } => work_of(id),
                    _ => 0.0,
                };
                let incarnation = current[backend].and_then(|place| incarnations.get_mut(place));
                if let Some(incarnation) =
                    incarnation.filter(|incarnation| at < incarnation.started + cold + OVERLOAD_WINDOW)
                {
                    out.most = out.most.max(incarnation.add(script, at, work));
                }
            }
            Observation::RequestSent { id, .. } if any_until.is_some_and(|until| at < until) => {
                // A request that is sent again counts once.
                out.asked += u64::from(meanwhile.insert(id));
            }
            Observation::ResponseReceived { id, kind: ResponseKind::Rejected } => {
                out.refused += u64::from(meanwhile.remove(&id));
            }
            _ => {}
        }
    }
    let parts: Vec<f64> = incarnations.iter().flat_map(|incarnation| parts(script, incarnation)).collect();
    out.used = parts.iter().sum::<f64>() / (parts.len() as f64).max(1.0);
    (out.starts > 0).then_some(out)
}

/// The load of each window relative to the bound.
fn parts<'a>(script: &'a Script, incarnation: &'a Incarnation) -> impl Iterator<Item = f64> + 'a {
    incarnation.windows.iter().enumerate().map(|(number, sum)| {
        sum / bound(allowed(script, incarnation.backend, number as Micros * OVERLOAD_WINDOW))
    })
}
