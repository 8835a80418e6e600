//! Load distribution over backends, and recovery time after each fault, computed from observations. Pure. Each deviation
//! is reported with the one that random selection has at the same number of requests.

use crate::invariant_checker::{Observation, ResponseKind};
use crate::plan::Plan;
use crate::script::{BackendFaultKind, Script, micros};
use balancer::api::Micros;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

/// Length of the windows in which load is compared, microseconds.
const WINDOW: Micros = 1_000_000;
/// Service has recovered once the fraction of requests in time is this fraction of that before the fault ...
const BACK: f64 = 0.95;
/// ... in this number of consecutive windows.
const BACK_WINDOWS: usize = 2;

/// Load of the backends. The relative load of a backend is its requests over the share that its speed gives it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Spread {
    /// Largest relative load over the complete scenario.
    pub busiest: f64,
    /// Smallest relative load.
    pub least: f64,
    /// Standard deviation of the relative loads.
    pub deviation: f64,
    /// Standard deviation of random selection.
    pub chance: f64,
    /// Mean of the standard deviations in windows of a second.
    pub window_deviation: f64,
    /// Mean of the standard deviations of random selection in windows of a second.
    pub window_chance: f64,
    /// Windows of a second in which an available backend received no request.
    pub idle: u64,
    /// Expected number of idle windows with random selection.
    pub idle_chance: f64,
    /// `idle_chance` plus three standard deviations.
    pub idle_most: f64,
    /// New connections to backends per request.
    pub connections: f64,
    /// Attempts that reached backends per request.
    pub attempts: f64,
    /// Attempts that backends rejected.
    pub turned_away: u64,
    /// Calls to discovery per request.
    pub calls: f64,
    /// Time from the end of each fault until recovery, seconds, in the order of the ends; `None` without recovery.
    pub recovery_s: Vec<Option<f64>>,
    /// Time from each start or return of a backend to its first request, seconds; `None` without one. A backend returns
    /// with the first notification that it is ready after one that it is not.
    pub first_use_s: Vec<Option<f64>>,
}

/// Measures the distribution. `began` is the start of the scenario on the clock of the observations.
#[must_use]
pub fn measure(script: &Script, plan: &Plan, seen: &[(Micros, Observation)], began: Micros) -> Spread {
    let mut loads = Loads::new(script, began);
    let mut in_time = InTime::default();
    let mut starts: Vec<(usize, Micros, Option<f64>)> = Vec::new();
    let mut out = vec![false; script.fleet.backends];
    let (mut asked, mut connections, mut attempts, mut turned_away, mut calls) =
        (0_u64, 0_u64, 0_u64, 0_u64, 0_u64);
    for &(at, what) in seen {
        match what {
            Observation::RequestSent { id, class, .. } => {
                asked += 1;
                in_time.asked(at, began, id, script.classes[class].latency_objective_ms * 1_000);
            }
            Observation::RequestUndelivered { .. } => in_time.missed(at, began),
            Observation::ResponseReceived { id, kind: got } => in_time.answered(at, id, got),
            Observation::AttemptStarted { backend: at_box, .. } => {
                attempts += 1;
                loads.add(at, at_box);
                let first = starts.iter_mut().rev().find(|(b, ..)| *b == at_box);
                if let Some((_, since, used)) = first {
                    used.get_or_insert((at - *since) as f64 / 1e6);
                }
            }
            Observation::AttemptRejected { .. } => (attempts, turned_away) = (attempts + 1, turned_away + 1),
            // Notifications of a start are delayed: the start itself counts.
            Observation::BackendStarted { backend: at_box } => {
                out[at_box] = false;
                starts.push((at_box, at, None));
            }
            Observation::BackendNotified { backend: at_box, ready: false, .. } => out[at_box] = true,
            Observation::BackendNotified { backend: at_box, ready: true, .. }
                if std::mem::take(&mut out[at_box]) =>
            {
                starts.push((at_box, at, None));
            }
            Observation::BackendConnected { .. } => connections += 1,
            Observation::DiscoveryCalled { .. } => calls += 1,
            _ => {}
        }
    }
    let per = |count: u64| count as f64 / (asked as f64).max(1.0);
    let mut spread = loads.finish(script);
    (spread.connections, spread.attempts, spread.calls) = (per(connections), per(attempts), per(calls));
    spread.turned_away = turned_away;
    spread.first_use_s = starts.into_iter().map(|(_, _, used)| used).collect();
    let faults = ends_of_faults(script, plan);
    spread.recovery_s = faults.iter().map(|&(from, to)| in_time.recovery(from, to)).collect();
    spread
}

/// Start and end of each fault that ends within the scenario, ordered by end.
fn ends_of_faults(script: &Script, plan: &Plan) -> Vec<(Micros, Micros)> {
    let span = |at_s: f64, for_s: f64| (micros(at_s), micros(at_s + for_s));
    let boxes = script.backend_faults.iter().map(|t| span(t.at_s, t.for_s));
    let links = script.link_faults.iter().map(|l| span(l.at_s, l.for_s));
    let processes = script.process_faults.iter().map(|p| match p.every_s {
        0.0 => span(p.at_s, p.for_s + p.wave_s * f64::from(p.waves - 1)),
        _ => span(p.at_s, script.seconds),
    });
    let mut all: Vec<_> = boxes.chain(links).chain(processes).collect();
    all.retain(|&(_, to)| to < micros(script.seconds) && to <= plan.arrivals.last().map_or(0, |a| a.at));
    all.sort_unstable_by_key(|&(_, to)| to);
    all
}

/// Attempts that each backend started, in total and by window.
struct Loads {
    began: Micros,
    counts: Vec<u64>,
    windows: Vec<Vec<u32>>,
}

impl Loads {
    fn new(script: &Script, began: Micros) -> Self {
        let windows = (script.seconds.floor() as usize).max(1);
        let boxes = script.fleet.backends;
        Self { began, counts: vec![0; boxes], windows: vec![vec![0; boxes]; windows] }
    }

    fn add(&mut self, at: Micros, at_box: usize) {
        self.counts[at_box] += 1;
        let window = at.saturating_sub(self.began) / WINDOW;
        if let Some(window) = self.windows.get_mut(window as usize) {
            window[at_box] += 1;
        }
    }

    fn finish(self, script: &Script) -> Spread {
        let mut out = Spread::default();
        let all: Vec<usize> = (0..script.fleet.backends).collect();
        let day = relative(script, &all, |b| self.counts[b] as f64);
        (out.busiest, out.least) = (day.max, day.min);
        (out.deviation, out.chance) = (day.deviation, day.chance);
        let (mut judged, mut variance) = (0.0, 0.0);
        for (number, window) in self.windows.iter().enumerate() {
            let up: Vec<usize> = all.iter().copied().filter(|&b| is_in_service(script, b, number)).collect();
            let requests: f64 = up.iter().map(|&b| f64::from(window[b])).sum();
            if up.is_empty() || requests == 0.0 {
                continue;
            }
            let stats = relative(script, &up, |b| f64::from(window[b]));
            judged += 1.0;
            out.window_deviation += stats.deviation;
            out.window_chance += stats.chance;
            out.idle += up.iter().filter(|&&b| window[b] == 0).count() as u64;
            let speeds: f64 = up.iter().map(|&b| script.speed(b)).sum();
            for &b in &up {
                let idle = (1.0 - script.speed(b) / speeds).powf(requests);
                out.idle_chance += idle;
                variance += idle * (1.0 - idle);
            }
        }
        out.window_deviation /= f64::max(judged, 1.0);
        out.window_chance /= f64::max(judged, 1.0);
        out.idle_most = out.idle_chance + 3.0 * variance.sqrt();
        out
    }
}

struct Relative {
    max: f64,
    min: f64,
    deviation: f64,
    chance: f64,
}

/// Relative loads of these backends.
fn relative(script: &Script, boxes: &[usize], load: impl Fn(usize) -> f64) -> Relative {
    let total: f64 = boxes.iter().map(|&b| load(b)).sum();
    let speeds: f64 = boxes.iter().map(|&b| script.speed(b)).sum();
    let part = |b: usize| total * script.speed(b) / speeds;
    let loads = boxes.iter().map(|&b| load(b) / part(b).max(f64::MIN_POSITIVE));
    let (mut max, mut min, mut squares) = (0.0_f64, f64::MAX, 0.0);
    for load in loads {
        (max, min) = (max.max(load), min.min(load));
        squares += (load - 1.0) * (load - 1.0);
    }
    // In a multinomial draw: the variance of each count over its squared mean.
    let chance = boxes.iter().map(|&b| (1.0 - script.speed(b) / speeds) / part(b).max(f64::MIN_POSITIVE));
    let count = boxes.len() as f64;
    let chance = (chance.sum::<f64>() / count).sqrt();
    Relative { max, min, deviation: (squares / count).sqrt(), chance }
}

/// Whether a backend is available for a complete window: no fault takes it out of service, and no notification of one
/// is still delayed.
fn is_in_service(script: &Script, at_box: usize, window: usize) -> bool {
    let (from, to) = (window as f64, window as f64 + 1.0);
    let out = |what| {
        matches!(
            what,
            BackendFaultKind::Crash
                | BackendFaultKind::Drain
                | BackendFaultKind::Hang
                | BackendFaultKind::Pause
                | BackendFaultKind::Spoil
        )
    };
    script.backend_faults.iter().enumerate().all(|(i, trouble)| {
        let late = 2.0 * script.fleet.notification_delay_s + script.fleet.warm_up_s;
        let touches = out(trouble.what) && trouble.at_s < to && from < trouble.at_s + trouble.for_s + late;
        !touches || !script.faulty_backends(i).contains(&at_box)
    })
}

/// Requests by the window in which they were sent, and how many of them were served in time.
#[derive(Default)]
struct InTime {
    windows: Vec<(u32, u32)>,
    asked: FxHashMap<u64, (Micros, Micros, usize)>,
}

impl InTime {
    fn window(&mut self, at: Micros, began: Micros) -> usize {
        let window = (at.saturating_sub(began) / WINDOW) as usize;
        if self.windows.len() <= window {
            self.windows.resize(window + 1, (0, 0));
        }
        self.windows[window].0 += 1;
        window
    }

    fn asked(&mut self, at: Micros, began: Micros, id: u64, aim: Micros) {
        let window = self.window(at, began);
        self.asked.insert(id, (at, aim, window));
    }

    fn missed(&mut self, at: Micros, began: Micros) {
        self.window(at, began);
    }

    fn answered(&mut self, at: Micros, id: u64, got: ResponseKind) {
        if let Some(&(asked, aim, window)) = self.asked.get(&id)
            && got == ResponseKind::Served
            && at <= asked + aim
        {
            self.windows[window].1 += 1;
        }
    }

    fn part(&self, windows: std::ops::Range<usize>) -> Option<f64> {
        let (asked, served) =
            self.windows.get(windows)?.iter().fold((0, 0), |sum, w| (sum.0 + w.0, sum.1 + w.1));
        (asked > 0).then(|| f64::from(served) / f64::from(asked))
    }

    fn recovery(&self, from: Micros, to: Micros) -> Option<f64> {
        // A fault at the start of the scenario has no window before it.
        let before = self.part(0..(from / WINDOW) as usize).unwrap_or(1.0);
        let first = to.div_ceil(WINDOW) as usize;
        let good = |window: usize| self.part(window..window + 1).is_some_and(|part| part >= before * BACK);
        let last = self.windows.len().checked_sub(BACK_WINDOWS)?;
        let back = (first..=last).find(|&w| (w..w + BACK_WINDOWS).all(good))?;
        Some((back as Micros * WINDOW).saturating_sub(to) as f64 / 1e6)
    }
}

#[cfg(test)]
mod tests;
