//! Load that all proxies together send to warming backends, relative to the slow-start limit. Pure: computed
//! from observations only.
//!
//! A warming backend is overloaded when it receives more than N + 2 sqrt(N) + 2 requests of mean work within
//! `fallUs`. N is the work that the settings allow: `fallMultiple` times the capacity at the start of the
//! window. Attempts that the backend rejected count too, as they reached it.

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
    #[serde(rename = "most")]
    pub max_load: f64,
    /// Mean load relative to the bound, over consecutive windows during warm-up.
    #[serde(rename = "used")]
    pub mean_load: f64,
    /// Requests sent while any backend was warming up.
    #[serde(rename = "asked")]
    pub requests: u64,
    /// How many of them were rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
}

impl SlowStartLoad {
    /// Fraction of the requests sent during warm-up that were rejected, 0 to 1.
    #[must_use]
    pub fn rejected_fraction(&self) -> f64 {
        self.rejected as f64 / (self.requests as f64).max(1.0)
    }
}

/// Requests of mean work that the settings allow a backend within `fallUs`; `age` is the time since its
/// start, microseconds.
#[must_use]
pub fn allowed(script: &Script, backend: usize, age: Micros) -> f64 {
    let fleet = &script.fleet;
    let age = age as f64 / micros(fleet.warm_up_s).max(1) as f64;
    let capacity_fraction = fleet.initial_capacity + (1.0 - fleet.initial_capacity) * age.min(1.0);
    let per_s = fleet.cores * script.speed(backend) * 1e3 / script.mean_work_ms();
    OVERLOAD_MULTIPLE * capacity_fraction * per_s * OVERLOAD_WINDOW as f64 / 1e6
}

/// Bound on the number of requests, with random variation, where this number is allowed: N + 2 sqrt(N) + 2.
#[must_use]
pub fn bound(allowed: f64) -> f64 {
    allowed + 2.0 * allowed.sqrt() + 2.0
}

/// One incarnation of a backend, until it is warmed up or restarts.
struct Incarnation {
    backend: usize,
    started_at: Micros,
    /// Work received within the last window, in requests of mean work.
    recent: VecDeque<(Micros, f64)>,
    /// Sum of `recent`.
    recent_work: f64,
    /// Work received in each consecutive window from the start.
    windows: Vec<f64>,
}

impl Incarnation {
    /// Adds received work; returns the load of the window that ends now, relative to the bound.
    fn add(&mut self, script: &Script, at: Micros, work: f64) -> f64 {
        let from = at.saturating_sub(OVERLOAD_WINDOW).max(self.started_at);
        self.recent.push_back((at, work));
        self.recent_work += work;
        while let Some((_, old)) = self.recent.front().copied().filter(|&(received_at, _)| received_at < from)
        {
            self.recent.pop_front();
            self.recent_work -= old;
        }
        let window = ((at - self.started_at) / OVERLOAD_WINDOW) as usize;
        if let Some(window) = self.windows.get_mut(window) {
            *window += work;
        }
        self.recent_work / bound(allowed(script, self.backend, from - self.started_at))
    }
}

/// Measures the load; `None` if no backend started. The observations are ordered by time.
#[must_use]
pub fn measure(
    script: &Script,
    plan: &Plan,
    observations: &[(Micros, Observation)],
) -> Option<SlowStartLoad> {
    let warm_up_us = micros(script.fleet.warm_up_s);
    let mean_work_us = script.mean_work_ms() * 1e3;
    let work_of =
        |id: u64| plan.arrivals.get(id as usize).map_or(1.0, |arrival| arrival.work as f64 / mean_work_us);
    let last_request = observations
        .iter()
        .rev()
        .find(|(_, observation)| matches!(observation, Observation::RequestSent { .. }));
    let last_request_at = last_request.map_or(0, |&(at, _)| at);
    let mut load = SlowStartLoad::default();
    let mut current: Vec<Option<usize>> = vec![None; script.fleet.backends];
    let mut incarnations: Vec<Incarnation> = Vec::new();
    let (mut warm_up_end, mut warm_up_requests) = (None, FxHashSet::default());
    for &(at, observation) in observations {
        match observation {
            Observation::BackendStarted { backend } => {
                load.starts += 1;
                current[backend] = Some(incarnations.len());
                warm_up_end = warm_up_end.max(Some(at + warm_up_us));
                // Only windows that start during warm-up and end during the traffic count.
                let span = warm_up_us.min(last_request_at.saturating_sub(at));
                let windows = vec![0.0; (span / OVERLOAD_WINDOW) as usize];
                incarnations.push(Incarnation {
                    backend,
                    started_at: at,
                    recent: VecDeque::new(),
                    recent_work: 0.0,
                    windows,
                });
            }
            Observation::AttemptStarted { backend, .. } | Observation::AttemptRejected { backend, .. } => {
                let work = match observation {
                    Observation::AttemptStarted { work, .. } => work as f64 / mean_work_us,
                    Observation::AttemptRejected { id, .. } => work_of(id),
                    _ => 0.0,
                };
                let incarnation = current[backend].and_then(|index| incarnations.get_mut(index));
                if let Some(incarnation) = incarnation
                    .filter(|incarnation| at < incarnation.started_at + warm_up_us + OVERLOAD_WINDOW)
                {
                    load.max_load = load.max_load.max(incarnation.add(script, at, work));
                }
            }
            Observation::RequestSent { id, .. } if warm_up_end.is_some_and(|end| at < end) => {
                // A retried request counts once.
                load.requests += u64::from(warm_up_requests.insert(id));
            }
            Observation::ResponseReceived { id, kind: ResponseKind::Rejected } => {
                load.rejected += u64::from(warm_up_requests.remove(&id));
            }
            _ => {}
        }
    }
    let relative_loads: Vec<f64> =
        incarnations.iter().flat_map(|incarnation| relative_loads(script, incarnation)).collect();
    load.mean_load = relative_loads.iter().sum::<f64>() / (relative_loads.len() as f64).max(1.0);
    (load.starts > 0).then_some(load)
}

/// The load of each window relative to the bound.
fn relative_loads<'a>(script: &'a Script, incarnation: &'a Incarnation) -> impl Iterator<Item = f64> + 'a {
    incarnation.windows.iter().enumerate().map(|(number, sum)| {
        sum / bound(allowed(script, incarnation.backend, number as Micros * OVERLOAD_WINDOW))
    })
}
