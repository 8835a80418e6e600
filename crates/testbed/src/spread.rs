//! Load distribution over backends, and recovery time after each fault, computed from observations. Pure.
//! Each standard deviation is reported next to the one that random selection would have with the same number
//! of requests.

use crate::invariant_checker::{Observation, ResponseKind};
use crate::plan::Plan;
use crate::script::{BackendFaultKind, Script, micros};
use balancer::api::Micros;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

/// Length of the windows in which load is compared, microseconds.
const WINDOW: Micros = 1_000_000;
/// The service has recovered when the fraction of requests served in time is at least this fraction of the
/// one before the fault, in [`RECOVERED_WINDOWS`] consecutive windows.
const RECOVERED_FRACTION: f64 = 0.95;
/// Number of consecutive windows that have to meet [`RECOVERED_FRACTION`].
const RECOVERED_WINDOWS: usize = 2;

/// Load of the backends. The relative load of a backend is the number of its requests, divided by the number
/// expected for its speed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Spread {
    /// Largest relative load over the complete scenario.
    #[serde(rename = "busiest")]
    pub max_load: f64,
    /// Smallest relative load.
    #[serde(rename = "least")]
    pub min_load: f64,
    /// Standard deviation of the relative loads.
    pub deviation: f64,
    /// Standard deviation of the relative loads under random selection.
    #[serde(rename = "chance")]
    pub random_deviation: f64,
    /// Mean of the standard deviations in windows of a second.
    pub window_deviation: f64,
    /// Mean of the standard deviations of random selection in windows of a second.
    #[serde(rename = "window_chance")]
    pub window_random_deviation: f64,
    /// Number of pairs of an available backend and a window of a second in which it received no request.
    #[serde(rename = "idle")]
    pub idle_windows: u64,
    /// Expected number of idle windows under random selection.
    #[serde(rename = "idle_chance")]
    pub expected_idle_windows: f64,
    /// `expected_idle_windows` plus three standard deviations.
    #[serde(rename = "idle_most")]
    pub max_idle_windows: f64,
    /// New connections to backends per request.
    #[serde(rename = "connections")]
    pub connections_per_request: f64,
    /// Attempts that reached backends per request.
    #[serde(rename = "attempts")]
    pub attempts_per_request: f64,
    /// Attempts that backends rejected.
    #[serde(rename = "turned_away")]
    pub rejected_attempts: u64,
    /// Calls to discovery per request.
    #[serde(rename = "calls")]
    pub discovery_calls_per_request: f64,
    /// Time from the end of each fault until recovery, seconds, ordered by the ends; `None` if it did not
    /// recover.
    pub recovery_s: Vec<Option<f64>>,
    /// Time from each start or return of a backend to its first request, seconds; `None` if there was none. A
    /// backend returns with the first notification that it is ready, after a notification that it is not.
    pub first_use_s: Vec<Option<f64>>,
}

/// Measures the distribution. `scenario_start` is the start of the scenario on the clock of the observations,
/// microseconds.
#[must_use]
pub fn measure(
    script: &Script,
    plan: &Plan,
    observations: &[(Micros, Observation)],
    scenario_start: Micros,
) -> Spread {
    let mut loads = Loads::new(script, scenario_start);
    let mut in_time = InTime::default();
    let mut starts: Vec<(usize, Micros, Option<f64>)> = Vec::new();
    let mut is_out = vec![false; script.fleet.backends];
    let (mut requests, mut connections, mut attempts, mut rejections, mut discovery_calls) =
        (0_u64, 0_u64, 0_u64, 0_u64, 0_u64);
    for &(at, observation) in observations {
        match observation {
            Observation::RequestSent { id, class, .. } => {
                requests += 1;
                in_time.request_sent(
                    at,
                    scenario_start,
                    id,
                    script.classes[class].latency_objective_ms * 1_000,
                );
            }
            Observation::RequestUndelivered { .. } => in_time.request_undelivered(at, scenario_start),
            Observation::ResponseReceived { id, kind } => in_time.response_received(at, id, kind),
            Observation::AttemptStarted { backend, .. } => {
                attempts += 1;
                loads.add(at, backend);
                let first = starts.iter_mut().rev().find(|(b, ..)| *b == backend);
                if let Some((_, since, used)) = first {
                    used.get_or_insert((at - *since) as f64 / 1e6);
                }
            }
            Observation::AttemptRejected { .. } => (attempts, rejections) = (attempts + 1, rejections + 1),
            // Notifications of a start are delayed, so the time counts from the start itself.
            Observation::BackendStarted { backend } => {
                is_out[backend] = false;
                starts.push((backend, at, None));
            }
            Observation::BackendNotified { backend, ready: false, .. } => is_out[backend] = true,
            Observation::BackendNotified { backend, ready: true, .. }
                if std::mem::take(&mut is_out[backend]) =>
            {
                starts.push((backend, at, None));
            }
            Observation::BackendConnected { .. } => connections += 1,
            Observation::DiscoveryCalled { .. } => discovery_calls += 1,
            _ => {}
        }
    }
    let per_request = |count: u64| count as f64 / (requests as f64).max(1.0);
    let mut spread = loads.finish(script);
    (spread.connections_per_request, spread.attempts_per_request, spread.discovery_calls_per_request) =
        (per_request(connections), per_request(attempts), per_request(discovery_calls));
    spread.rejected_attempts = rejections;
    spread.first_use_s = starts.into_iter().map(|(_, _, used)| used).collect();
    let faults = ended_faults(script, plan);
    spread.recovery_s = faults.iter().map(|&(from, to)| in_time.recovery(from, to)).collect();
    spread
}

/// Start and end of each fault that ends within the scenario, ordered by end.
fn ended_faults(script: &Script, plan: &Plan) -> Vec<(Micros, Micros)> {
    let span = |at_s: f64, for_s: f64| (micros(at_s), micros(at_s + for_s));
    let backends = script.backend_faults.iter().map(|fault| span(fault.at_s, fault.for_s));
    let links = script.link_faults.iter().map(|fault| span(fault.at_s, fault.for_s));
    let processes = script.process_faults.iter().map(|fault| match fault.every_s {
        0.0 => span(fault.at_s, fault.for_s + fault.wave_s * f64::from(fault.waves - 1)),
        _ => span(fault.at_s, script.seconds),
    });
    let mut all: Vec<_> = backends.chain(links).chain(processes).collect();
    all.retain(|&(_, to)| {
        to < micros(script.seconds) && to <= plan.arrivals.last().map_or(0, |arrival| arrival.at)
    });
    all.sort_unstable_by_key(|&(_, to)| to);
    all
}

/// Attempts that each backend started, in total and by window.
struct Loads {
    scenario_start: Micros,
    counts: Vec<u64>,
    windows: Vec<Vec<u32>>,
}

impl Loads {
    fn new(script: &Script, scenario_start: Micros) -> Self {
        let windows = (script.seconds.floor() as usize).max(1);
        let backends = script.fleet.backends;
        Self { scenario_start, counts: vec![0; backends], windows: vec![vec![0; backends]; windows] }
    }

    fn add(&mut self, at: Micros, backend: usize) {
        self.counts[backend] += 1;
        let window = at.saturating_sub(self.scenario_start) / WINDOW;
        if let Some(window) = self.windows.get_mut(window as usize) {
            window[backend] += 1;
        }
    }

    fn finish(self, script: &Script) -> Spread {
        let mut spread = Spread::default();
        let all: Vec<usize> = (0..script.fleet.backends).collect();
        let total = relative_load(script, &all, |b| self.counts[b] as f64);
        (spread.max_load, spread.min_load) = (total.max, total.min);
        (spread.deviation, spread.random_deviation) = (total.deviation, total.random_deviation);
        let (mut window_count, mut variance) = (0.0, 0.0);
        for (number, window) in self.windows.iter().enumerate() {
            let up: Vec<usize> = all.iter().copied().filter(|&b| is_in_service(script, b, number)).collect();
            let requests: f64 = up.iter().map(|&b| f64::from(window[b])).sum();
            if up.is_empty() || requests == 0.0 {
                continue;
            }
            let stats = relative_load(script, &up, |b| f64::from(window[b]));
            window_count += 1.0;
            spread.window_deviation += stats.deviation;
            spread.window_random_deviation += stats.random_deviation;
            spread.idle_windows += up.iter().filter(|&&b| window[b] == 0).count() as u64;
            let speeds: f64 = up.iter().map(|&b| script.speed(b)).sum();
            for &b in &up {
                let idle_probability = (1.0 - script.speed(b) / speeds).powf(requests);
                spread.expected_idle_windows += idle_probability;
                variance += idle_probability * (1.0 - idle_probability);
            }
        }
        spread.window_deviation /= f64::max(window_count, 1.0);
        spread.window_random_deviation /= f64::max(window_count, 1.0);
        spread.max_idle_windows = spread.expected_idle_windows + 3.0 * variance.sqrt();
        spread
    }
}

struct RelativeLoad {
    max: f64,
    min: f64,
    deviation: f64,
    random_deviation: f64,
}

/// Statistics of the relative loads of these backends.
fn relative_load(script: &Script, backends: &[usize], load: impl Fn(usize) -> f64) -> RelativeLoad {
    let total: f64 = backends.iter().map(|&b| load(b)).sum();
    let speeds: f64 = backends.iter().map(|&b| script.speed(b)).sum();
    let expected = |b: usize| total * script.speed(b) / speeds;
    let loads = backends.iter().map(|&b| load(b) / expected(b).max(f64::MIN_POSITIVE));
    let (mut max, mut min, mut squares) = (0.0_f64, f64::MAX, 0.0);
    for load in loads {
        (max, min) = (max.max(load), min.min(load));
        squares += (load - 1.0) * (load - 1.0);
    }
    // Multinomial distribution: the variance of each count over its squared mean.
    let variances =
        backends.iter().map(|&b| (1.0 - script.speed(b) / speeds) / expected(b).max(f64::MIN_POSITIVE));
    let count = backends.len() as f64;
    let random_deviation = (variances.sum::<f64>() / count).sqrt();
    RelativeLoad { max, min, deviation: (squares / count).sqrt(), random_deviation }
}

/// Whether a backend is available for a complete window: no fault takes it out of service, and neither the
/// delayed notification of the end of such a fault nor the warm-up after it is outstanding.
fn is_in_service(script: &Script, backend: usize, window: usize) -> bool {
    let (from, to) = (window as f64, window as f64 + 1.0);
    let takes_out = |kind| {
        matches!(
            kind,
            BackendFaultKind::Crash
                | BackendFaultKind::Drain
                | BackendFaultKind::Hang
                | BackendFaultKind::Pause
                | BackendFaultKind::Spoil
        )
    };
    script.backend_faults.iter().enumerate().all(|(index, fault)| {
        let delay_s = 2.0 * script.fleet.notification_delay_s + script.fleet.warm_up_s;
        let overlaps = takes_out(fault.kind) && fault.at_s < to && from < fault.at_s + fault.for_s + delay_s;
        !overlaps || !script.faulty_backends(index).contains(&backend)
    })
}

/// Requests by the window in which they were sent, and how many of them were served in time.
#[derive(Default)]
struct InTime {
    /// Sent and served requests of each window.
    windows: Vec<(u32, u32)>,
    /// Time of sending, latency objective and window of each request, by its id.
    requests: FxHashMap<u64, (Micros, Micros, usize)>,
}

impl InTime {
    fn count_request(&mut self, at: Micros, scenario_start: Micros) -> usize {
        let window = (at.saturating_sub(scenario_start) / WINDOW) as usize;
        if self.windows.len() <= window {
            self.windows.resize(window + 1, (0, 0));
        }
        self.windows[window].0 += 1;
        window
    }

    fn request_sent(&mut self, at: Micros, scenario_start: Micros, id: u64, latency_objective: Micros) {
        let window = self.count_request(at, scenario_start);
        self.requests.insert(id, (at, latency_objective, window));
    }

    fn request_undelivered(&mut self, at: Micros, scenario_start: Micros) {
        self.count_request(at, scenario_start);
    }

    fn response_received(&mut self, at: Micros, id: u64, kind: ResponseKind) {
        if let Some(&(sent_at, latency_objective, window)) = self.requests.get(&id)
            && kind == ResponseKind::Served
            && at <= sent_at + latency_objective
        {
            self.windows[window].1 += 1;
        }
    }

    /// Fraction of the requests of these windows that were served in time; `None` without requests.
    fn served_fraction(&self, windows: std::ops::Range<usize>) -> Option<f64> {
        let (sent, served) =
            self.windows.get(windows)?.iter().fold((0, 0), |sum, w| (sum.0 + w.0, sum.1 + w.1));
        (sent > 0).then(|| f64::from(served) / f64::from(sent))
    }

    /// Time from the end of a fault until recovery, seconds.
    fn recovery(&self, from: Micros, to: Micros) -> Option<f64> {
        // A fault at the start of the scenario has no window before it.
        let before = self.served_fraction(0..(from / WINDOW) as usize).unwrap_or(1.0);
        let first = to.div_ceil(WINDOW) as usize;
        let is_good = |window: usize| {
            self.served_fraction(window..window + 1)
                .is_some_and(|fraction| fraction >= before * RECOVERED_FRACTION)
        };
        let last = self.windows.len().checked_sub(RECOVERED_WINDOWS)?;
        let recovered = (first..=last).find(|&w| (w..w + RECOVERED_WINDOWS).all(is_good))?;
        Some((recovered as Micros * WINDOW).saturating_sub(to) as f64 / 1e6)
    }
}

#[cfg(test)]
mod tests;
