//! The plan of a scenario, drawn in advance: all requests and all events of proxy processes. Pure: the same
//! script and seed give the same plan for runs with processes, runs in virtual time, and the reference
//! policies.

use crate::script::{
    ClassSpec, InitialList, ProcessFault, ProcessFaultKind, Script, Traffic, WorkSpec, micros,
};
use balancer::api::Micros;

/// Largest exponential draw, as a multiple of the mean, so that a single request does not occupy a backend
/// for the complete scenario.
const MAX_MEANS: f64 = 10.0;
/// Time from SIGTERM to SIGKILL in addition to the longest deadline, microseconds.
const TERMINATION_GRACE: Micros = 700_000;

/// Time for which responses are awaited after the last request in addition to the longest deadline,
/// microseconds.
pub(crate) const TAIL: Micros = 1_500_000;

/// One client request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Time since the start of the scenario, microseconds.
    pub at: Micros,
    /// Index of its class.
    pub class: u8,
    /// Index of its tenant.
    pub tenant: u16,
    /// The proxy to which the front end sends it while that proxy is available.
    pub proxy: u16,
    /// Its work on a core of speed 1, microseconds.
    pub work: Micros,
}

/// An action on a proxy process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessAction {
    /// SIGKILL.
    Kill,
    /// SIGTERM.
    Term,
    /// SIGKILL if it still runs after SIGTERM.
    Reap,
    /// SIGSTOP, until this time since the start of the scenario, microseconds.
    Stop(Micros),
    /// SIGCONT.
    Continue,
    /// Start with this list of backends.
    Start(InitialList),
    /// A successor process takes over while the old one serves.
    Replace,
}

/// A planned action on a proxy process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessEvent {
    /// Time since the start of the scenario, microseconds.
    pub at: Micros,
    /// The proxy.
    pub proxy: usize,
    /// The action.
    pub action: ProcessAction,
}

/// The plan of one scenario.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// All requests, by time. The id of a request is its index here.
    pub arrivals: Vec<Arrival>,
    /// All process events, by time.
    pub process_events: Vec<ProcessEvent>,
}

impl Plan {
    /// Draws the plan of a script.
    #[must_use]
    pub fn draw(script: &Script) -> Self {
        let mut processes = process_events(script);
        processes.sort_by_key(|event| event.at);
        Self { arrivals: arrivals(script), process_events: processes }
    }

    /// Time of the last process event since the start of the scenario, microseconds; 0 without events. The
    /// scenario ends no sooner.
    #[must_use]
    pub fn last_process_event_at(&self) -> Micros {
        self.process_events.last().map_or(0, |event| event.at)
    }
}

fn arrivals(script: &Script) -> Vec<Arrival> {
    let mut rng = fastrand::Rng::with_seed(script.seed);
    let cumulative_weights = cumulative(&proxy_weights(script, &mut rng));
    let end = micros(script.seconds);
    let mut at = 0;
    let mut arrivals = Vec::with_capacity((script.traffic.per_s * script.seconds * 1.1) as usize);
    loop {
        at += micros(-(1.0 - rng.f64()).ln() / script.traffic.per_s);
        if at >= end {
            return arrivals;
        }
        let class = script.draw_class(&mut rng);
        let work_ms = draw_work_ms(&script.classes[class], &mut rng);
        let tenant = draw_tenant(&script.traffic, &mut rng);
        let draw = rng.f64() * cumulative_weights.last().copied().unwrap_or(1.0);
        let proxy = cumulative_weights.partition_point(|&sum| sum <= draw).min(script.fleet.proxies - 1);
        let work = micros(work_ms / 1e3).max(1);
        arrivals.push(Arrival { at, class: class as u8, tenant, proxy: proxy as u16, work });
    }
}

fn draw_work_ms(class: &ClassSpec, rng: &mut fastrand::Rng) -> f64 {
    let [from, to] = class.work_ms;
    match class.work {
        WorkSpec::Uniform => from + rng.f64() * (to - from),
        WorkSpec::Exponential => {
            let mean = f64::midpoint(from, to);
            (-(1.0 - rng.f64()).ln() * mean).min(mean * MAX_MEANS)
        }
    }
}

fn draw_tenant(traffic: &Traffic, rng: &mut fastrand::Rng) -> u16 {
    let tenants = traffic.tenants.max(1);
    let is_first = traffic.first_tenant_share > 0.0 && rng.f64() < traffic.first_tenant_share;
    if is_first || tenants == 1 { 0 } else { rng.u16(0..tenants) }
}

fn cumulative(weights: &[f64]) -> Vec<f64> {
    let sums = weights.iter().scan(0.0, |sum, weight| {
        *sum += weight;
        Some(*sum)
    });
    sums.collect()
}

/// Relative traffic of each proxy.
fn proxy_weights(script: &Script, rng: &mut fastrand::Rng) -> Vec<f64> {
    let (traffic, proxies) = (&script.traffic, script.fleet.proxies);
    let mut weights: Vec<f64> = (0..proxies).map(|_| (normal(rng) * traffic.skew).exp()).collect();
    if traffic.busy_proxy_fraction > 0.0 {
        let busy = ((proxies as f64 * traffic.busy_proxy_fraction).round() as usize).clamp(1, proxies);
        rescale(&mut weights, traffic.busy_share, |proxy| proxy < busy);
    }
    if traffic.first_zone_share > 0.0 {
        rescale(&mut weights, traffic.first_zone_share, |proxy| script.zone(proxy) == 0);
    }
    weights
}

/// Scales the weights so that the selected ones make up this share of the sum, and the others the rest.
/// Weights stay as they are if one of the two groups has none.
fn rescale(weights: &mut [f64], share: f64, selected: impl Fn(usize) -> bool) {
    let sum = |weights: &[f64], inside: bool| -> f64 {
        weights
            .iter()
            .enumerate()
            .filter(|(index, _)| selected(*index) == inside)
            .map(|(_, weight)| weight)
            .sum()
    };
    let (inside, outside) = (sum(weights, true), sum(weights, false));
    if inside == 0.0 || outside == 0.0 {
        return;
    }
    for (index, weight) in weights.iter_mut().enumerate() {
        *weight *= if selected(index) { share / inside } else { (1.0 - share) / outside };
    }
}

/// Draws from the standard normal distribution (Box-Muller transform).
fn normal(rng: &mut fastrand::Rng) -> f64 {
    (-2.0 * (1.0 - rng.f64()).ln()).sqrt() * (std::f64::consts::TAU * rng.f64()).cos()
}

fn process_events(script: &Script) -> Vec<ProcessEvent> {
    let mut events = ProcessEvents::new(script);
    for (index, fault) in script.process_faults.iter().enumerate() {
        let affected = script.faulty_proxies(index);
        let wave_size = affected.len().div_ceil(fault.waves as usize).max(1);
        for (wave, proxies) in affected.chunks(wave_size).enumerate() {
            let from = micros(fault.at_s + fault.wave_s * wave as f64);
            for (rank, &proxy) in proxies.iter().enumerate() {
                events.add_fault(fault, proxy, from, Stagger { rank, count: proxies.len() });
            }
        }
    }
    events.events
}

/// The position of a proxy among those of its wave.
#[derive(Clone, Copy)]
struct Stagger {
    rank: usize,
    count: usize,
}

/// The process events drawn so far.
struct ProcessEvents {
    longest_deadline: Micros,
    /// Time at which the last responses are due, microseconds since the start of the scenario.
    end: Micros,
    events: Vec<ProcessEvent>,
}

impl ProcessEvents {
    fn new(script: &Script) -> Self {
        let longest_deadline = script.longest_deadline();
        let end = micros(script.seconds) + longest_deadline + TAIL;
        Self { longest_deadline, end, events: Vec::new() }
    }

    fn push(&mut self, at: Micros, proxy: usize, action: ProcessAction) {
        self.events.push(ProcessEvent { at, proxy, action });
    }

    /// Adds the events of a fault of one proxy that starts at `from`.
    fn add_fault(&mut self, fault: &ProcessFault, proxy: usize, from: Micros, stagger: Stagger) {
        let to = from + micros(fault.for_s);
        match fault.kind {
            ProcessFaultKind::Kill => {
                self.push(from, proxy, ProcessAction::Kill);
                self.push(to, proxy, ProcessAction::Start(fault.list));
            }
            ProcessFaultKind::Terminate => {
                let reap_at = from + self.longest_deadline + TERMINATION_GRACE;
                self.push(from, proxy, ProcessAction::Term);
                self.push(reap_at, proxy, ProcessAction::Reap);
                self.push(to.max(reap_at), proxy, ProcessAction::Start(fault.list));
            }
            ProcessFaultKind::Stall => self.add_stalls(fault, proxy, from, stagger),
            ProcessFaultKind::Replace => self.push(from, proxy, ProcessAction::Replace),
        }
    }

    /// Adds one stall, or periodic ones until the last responses are due. Periodic stalls are staggered over
    /// the proxies of a wave, so that they do not all stop at once.
    fn add_stalls(&mut self, fault: &ProcessFault, proxy: usize, from: Micros, stagger: Stagger) {
        let to = from + micros(fault.for_s);
        let period = micros(fault.every_s);
        let mut offset = period * stagger.rank as Micros / stagger.count as Micros;
        loop {
            self.push(from + offset, proxy, ProcessAction::Stop(to + offset));
            self.push(to + offset, proxy, ProcessAction::Continue);
            offset += period;
            if period == 0 || from + offset >= self.end {
                return;
            }
        }
    }
}

#[cfg(test)]
mod tests;
