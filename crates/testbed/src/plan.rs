//! What a script comes to, drawn ahead: who asks what where and when, and what happens to which process. Pure; the same
//! script and seed give the same plan, for processes, virtual time and the references alike.

use crate::script::{InitialList, ProcessFaultKind, Script, WorkSpec, micros};
use balancer::api::Micros;

/// The most of an exponential draw, in means: a single one must not fill a box for the whole day.
const MAX_MEANS: f64 = 10.0;
/// How long after its SIGTERM a process that has not ended is killed, beyond the longest deadline.
const END_GRACE: Micros = 700_000;

/// How long after the last request was asked answers are waited for, beyond the longest deadline.
pub(crate) const TAIL: Micros = 1_500_000;

/// One client's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// When, from the day's beginning.
    pub at: Micros,
    /// Its class.
    pub class: u8,
    /// Its tenant.
    pub tenant: u16,
    /// The proxy to which the front gives it while that one is up.
    pub proxy: u16,
    /// Its work on a core of the usual speed.
    pub work: Micros,
}

/// What happens to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessAction {
    /// SIGKILL.
    Kill,
    /// SIGTERM.
    Term,
    /// SIGKILL where SIGTERM has not ended it.
    Reap,
    /// SIGSTOP, until then.
    Stop(Micros),
    /// SIGCONT.
    Continue,
    /// It starts, with this list.
    Start(InitialList),
    /// Another process takes its place while it serves.
    Replace,
}

/// Something that happens to a process, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessEvent {
    /// When, from the day's beginning.
    pub at: Micros,
    /// The proxy.
    pub proxy: usize,
    /// What.
    pub action: ProcessAction,
}

/// Everything that was drawn.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// All requests, by time. The id of one is its place here.
    pub arrivals: Vec<Arrival>,
    /// What happens to processes, by time.
    pub processes: Vec<ProcessEvent>,
}

impl Plan {
    /// Draws it.
    #[must_use]
    pub fn draw(script: &Script) -> Self {
        let mut processes = process_events(script);
        processes.sort_by_key(|event| event.at);
        Self { arrivals: arrivals(script), processes }
    }

    /// When the last process has come back, from the day's beginning: what is judged ends no sooner.
    #[must_use]
    pub fn quiet_after(&self) -> Micros {
        self.processes.last().map_or(0, |event| event.at)
    }
}

fn arrivals(script: &Script) -> Vec<Arrival> {
    let mut rng = fastrand::Rng::with_seed(script.seed);
    let upto = cumulated(&proxy_weights(script, &mut rng));
    let (end, mut at) = (micros(script.seconds), 0);
    let mut all = Vec::with_capacity((script.traffic.per_s * script.seconds * 1.1) as usize);
    loop {
        at += micros(-(1.0 - rng.f64()).ln() / script.traffic.per_s);
        if at >= end {
            return all;
        }
        let class = script.draw_class(&mut rng);
        let [from, to] = script.classes[class].work_ms;
        let work_ms = match script.classes[class].work {
            WorkSpec::Even => from + rng.f64() * (to - from),
            WorkSpec::Exponential => {
                let mean = f64::midpoint(from, to);
                (-(1.0 - rng.f64()).ln() * mean).min(mean * MAX_MEANS)
            }
        };
        let traffic = &script.traffic;
        let tenants = traffic.tenants.max(1);
        let first = traffic.first_tenant > 0.0 && rng.f64() < traffic.first_tenant;
        let tenant = if first || tenants == 1 { 0 } else { rng.u16(0..tenants) };
        let draw = rng.f64() * upto.last().copied().unwrap_or(1.0);
        let proxy = upto.partition_point(|&sum| sum <= draw).min(script.fleet.proxies - 1);
        let work = micros(work_ms / 1e3).max(1);
        all.push(Arrival { at, class: class as u8, tenant, proxy: proxy as u16, work });
    }
}

fn cumulated(weights: &[f64]) -> Vec<f64> {
    let sums = weights.iter().scan(0.0, |sum, weight| {
        *sum += weight;
        Some(*sum)
    });
    sums.collect()
}

/// How much of the traffic comes through each proxy.
fn proxy_weights(script: &Script, rng: &mut fastrand::Rng) -> Vec<f64> {
    let (traffic, proxies) = (&script.traffic, script.fleet.proxies);
    let mut weights: Vec<f64> = (0..proxies).map(|_| (normal(rng) * traffic.skew).exp()).collect();
    if traffic.busy_proxies > 0.0 {
        let busy = ((proxies as f64 * traffic.busy_proxies).round() as usize).clamp(1, proxies);
        rescale(&mut weights, traffic.busy_share, |proxy| proxy < busy);
    }
    if traffic.first_zone > 0.0 {
        rescale(&mut weights, traffic.first_zone, |proxy| script.zone(proxy) == 0);
    }
    weights
}

/// Gives those that are meant so much of the sum, and the others the rest.
fn rescale(weights: &mut [f64], share: f64, meant: impl Fn(usize) -> bool) {
    let sum = |weights: &[f64], those: bool| -> f64 {
        weights.iter().enumerate().filter(|(i, _)| meant(*i) == those).map(|(_, w)| w).sum()
    };
    let (inside, outside) = (sum(weights, true), sum(weights, false));
    if inside == 0.0 || outside == 0.0 {
        return;
    }
    for (i, weight) in weights.iter_mut().enumerate() {
        *weight *= if meant(i) { share / inside } else { (1.0 - share) / outside };
    }
}

/// Standard normal, by Box and Muller.
fn normal(rng: &mut fastrand::Rng) -> f64 {
    (-2.0 * (1.0 - rng.f64()).ln()).sqrt() * (std::f64::consts::TAU * rng.f64()).cos()
}

fn process_events(script: &Script) -> Vec<ProcessEvent> {
    let deadline = script.longest_deadline();
    let end = micros(script.seconds) + deadline + TAIL;
    let mut events = Vec::new();
    for (index, fault) in script.process_faults.iter().enumerate() {
        let struck = script.faulty_proxies(index);
        let wave = struck.len().div_ceil(fault.waves as usize).max(1);
        for (number, proxies) in struck.chunks(wave).enumerate() {
            let from = micros(fault.at_s + fault.wave_s * number as f64);
            let to = from + micros(fault.for_s);
            let mut push = |at, proxy, act| events.push(ProcessEvent { at, proxy, action: act });
            for (rank, &proxy) in proxies.iter().enumerate() {
                match fault.what {
                    ProcessFaultKind::Kill => {
                        push(from, proxy, ProcessAction::Kill);
                        push(to, proxy, ProcessAction::Start(fault.list));
                    }
                    ProcessFaultKind::End => {
                        let reaped = from + deadline + END_GRACE;
                        push(from, proxy, ProcessAction::Term);
                        push(reaped, proxy, ProcessAction::Reap);
                        push(to.max(reaped), proxy, ProcessAction::Start(fault.list));
                    }
                    ProcessFaultKind::Stall => {
                        let every = micros(fault.every_s);
                        // Processes that stand again and again run one after another, not all at once.
                        let later = every * rank as Micros / proxies.len() as Micros;
                        let again = (0..).map_while(|n| {
                            let late = later + every * n;
                            let due = n == 0 || (every > 0 && from + late < end);
                            due.then_some(late)
                        });
                        for late in again {
                            push(from + late, proxy, ProcessAction::Stop(to + late));
                            push(to + late, proxy, ProcessAction::Continue);
                        }
                    }
                    ProcessFaultKind::Replace => push(from, proxy, ProcessAction::Replace),
                }
            }
        }
    }
    events
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::path::Path;

    fn script(more: &str) -> Script {
        let text = format!(
            "seed = 5\nseconds = 20.0\nfleet = {{ boxes = 6, proxies = 20, zones = 2, cells = 1, cores = 1.0, holds = 8.0 }}\n\
             {more}\n[[class]]\nname = \"r\"\neffect = \"safe\"\nshare = 1.0\nwork = \"exponential\"\n\
             work_ms = [0.5, 79.5]\naim_ms = 540\ndeadline_ms = 1500\nworth = 1.0\n"
        );
        Script::parse(&text, Path::new("plan.toml")).expect("a good script")
    }

    fn part(plan: &Plan, of: impl Fn(usize) -> bool) -> f64 {
        let there = plan.arrivals.iter().filter(|a| of(usize::from(a.proxy))).count();
        there as f64 / plan.arrivals.len() as f64
    }

    #[test]
    fn arrivals_follow_rate_work_and_the_busy_proxies() {
        let script = script("traffic = { per_s = 500.0, busy_proxies = 0.1, busy_share = 0.5 }");
        let plan = Plan::draw(&script);
        assert_eq!(plan, Plan::draw(&script), "the same seed, the same plan");
        let count = plan.arrivals.len() as f64;
        assert!((count - 10_000.0).abs() < 400.0, "{count} requests; four deviations are 400");
        let mean = plan.arrivals.iter().map(|a| a.work as f64).sum::<f64>() / count;
        assert!((mean / 40_000.0 - 1.0).abs() < 0.05, "{mean} us of work");
        assert!((part(&plan, |p| p < 2) - 0.5).abs() < 0.03);
        assert!(plan.arrivals.windows(2).all(|pair| pair[0].at <= pair[1].at));
    }

    #[test]
    fn a_zone_may_have_most_of_the_traffic_and_a_proxy_several_times_the_mean() {
        let plan = Plan::draw(&script("traffic = { per_s = 500.0, first_zone = 0.8, skew = 0.8 }"));
        assert!((part(&plan, |p| p % 2 == 0) - 0.8).abs() < 0.03);
        let most = (0..20).map(|of| part(&plan, |p| p == of) * 20.0).fold(0.0, f64::max);
        assert!(most > 2.0, "the busiest proxy sees {most} times the mean");
    }

    #[test]
    fn waves_strike_each_process_once_and_every_one_comes_back() {
        let faults = "traffic = { per_s = 5.0 }\nprocess = [\
            { what = \"kill\", at_s = 2.0, for_s = 1.0, part = 0.7, waves = 3, wave_s = 1.0, list = \"nothing\" },\
            { what = \"end\", at_s = 9.0, part = 0.1 }, { what = \"stall\", at_s = 12.0, for_s = 2.0, part = 0.1 }]";
        let plan = Plan::draw(&script(faults));
        let of =
            |wanted: ProcessAction| plan.processes.iter().filter(|e| e.action == wanted).collect::<Vec<_>>();
        let (kills, starts) = (of(ProcessAction::Kill), of(ProcessAction::Start(InitialList::Nothing)));
        assert_eq!((kills.len(), starts.len()), (14, 14));
        assert_eq!(kills.iter().filter(|e| e.at == 2_000_000).count(), 5);
        for kill in &kills {
            let back = starts.iter().find(|s| s.proxy == kill.proxy).expect("it comes back");
            assert_eq!(back.at, kill.at + 1_000_000);
        }
        let (ends, reaps, backs) =
            (of(ProcessAction::Term), of(ProcessAction::Reap), of(ProcessAction::Start(InitialList::Old)));
        assert_eq!((ends.len(), reaps.len(), backs.len()), (2, 2, 2));
        assert_eq!(reaps[0].at, 9_000_000 + 1_500_000 + END_GRACE, "SIGKILL comes no sooner than this");
        assert_eq!(of(ProcessAction::Stop(14_000_000)).len(), 2);
        assert_eq!(of(ProcessAction::Continue).len(), 2);
    }
}
