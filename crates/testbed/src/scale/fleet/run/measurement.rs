//! Resource usage of the processes of a run, and the bound of their memory.

use super::Run;
use crate::scale::fleet::ScaleError;
use crate::scale::fleet::messages;
use crate::scale::fleet::real_proxies::RealProxies;
use crate::scale::fleet::report::{Cost, MAX_MEMORY_BYTES, ReceiveRate, StepRow};
use crate::scale::fleet::simulated_proxies::Costs;
use std::collections::BTreeSet;

/// Processor time (seconds) and memory (bytes) of all processes of a run at one moment.
pub(super) struct Usage {
    /// All processes of simulated proxies together: processor time and memory.
    simulated_proxies: (f64, u64),
    /// Each relay: processor time, memory, and bytes received from sources.
    relays: Vec<(f64, u64, u64)>,
    /// Each agent: processor time and memory.
    agents: Vec<(f64, u64)>,
    /// Each source: processor time and memory.
    sources: Vec<(f64, u64)>,
}

impl Run<'_> {
    pub(super) fn usage(&self) -> Usage {
        Usage {
            simulated_proxies: self.simulated_proxies.usage(),
            relays: self.network.relay_usage(),
            agents: self.agent_usage(),
            sources: self.network.source_usage(),
        }
    }

    /// Whether the report has this violation already, in any step: a monitor returns all of its violations at
    /// each request.
    pub(super) fn is_recorded(&self, text: &str) -> bool {
        let what = |text: &str| text.split_once(": ").map(|(_, what)| what.to_owned());
        self.report.violations.iter().any(|known| what(known) == what(text))
    }

    fn agent_usage(&self) -> Vec<(f64, u64)> {
        self.real_proxies.as_ref().map(RealProxies::agent_usage).unwrap_or_default()
    }

    /// Updates the report's maximum of the memory of all processes together.
    ///
    /// # Errors
    /// If this memory exceeds [`MAX_MEMORY_BYTES`].
    pub(super) fn check_memory(&mut self) -> Result<(), ScaleError> {
        let relays: u64 = self.network.relay_usage().iter().map(|usage| usage.1).sum();
        let sources: u64 = self.network.source_usage().iter().map(|usage| usage.1).sum();
        let agents: u64 = self.agent_usage().iter().map(|usage| usage.1).sum();
        let proxies = self.real_proxies.as_ref().map_or(0, RealProxies::proxies_memory);
        let own = crate::fleet::resident_bytes(std::process::id());
        let total = self.simulated_proxies.usage().1 + relays + sources + agents + proxies + own;
        self.report.max_memory_bytes = self.report.max_memory_bytes.max(total);
        if total > MAX_MEMORY_BYTES {
            return Err(ScaleError::Memory(total / 1_000_000, MAX_MEMORY_BYTES / 1_000_000));
        }
        Ok(())
    }
}

/// Returns the time that the slowest of these proxies took from its start until it had 99% of its expected
/// records, seconds; -1 if one of them never had.
pub(super) fn slowest_fill_s(costs: &[messages::SimulatedProxyCost], numbers: &[u32]) -> f64 {
    let numbers: BTreeSet<u32> = numbers.iter().copied().collect();
    let times = costs.iter().filter(|cost| numbers.contains(&cost.number)).map(|cost| match cost.full {
        (_, 0) => -1.0,
        (from, to) => to.saturating_sub(from) as f64 / 1e6,
    });
    let times: Vec<f64> = times.collect();
    if times.contains(&-1.0) { -1.0 } else { times.into_iter().fold(0.0, f64::max) }
}

/// Returns a step's row with the costs only, from the usage of all processes before and after the step.
pub(super) fn step_costs(before: &Usage, after: &Usage, costs: &Costs, seconds: f64) -> StepRow {
    let count = costs.proxies.len().max(1) as f64;
    let simulated_proxy = Cost {
        cores: (after.simulated_proxies.0 - before.simulated_proxies.0) / seconds / count,
        memory_bytes: after.simulated_proxies.1.saturating_sub(costs.monitor_memory_bytes) as f64 / count,
        ..Cost::default()
    };
    let relays_before: Vec<f64> = before.relays.iter().map(|usage| usage.0).collect();
    let relays_after: Vec<(f64, u64)> = after.relays.iter().map(|usage| (usage.0, usage.1)).collect();
    StepRow {
        seconds,
        receive_rate: ReceiveRate::new(&costs.proxies, seconds),
        simulated_proxy,
        agents: Cost::new(&processor_times(&before.agents), &after.agents, seconds),
        relays: Cost::new(&relays_before, &relays_after, seconds),
        relay_receive_rate: relay_receive_rates(before, after, seconds),
        sources: Cost::new(&processor_times(&before.sources), &after.sources, seconds),
        ..StepRow::default()
    }
}

fn processor_times(usage: &[(f64, u64)]) -> Vec<f64> {
    usage.iter().map(|(processor_time, _)| *processor_time).collect()
}

/// Bytes per second that a relay received from sources: mean and maximum of all relays.
fn relay_receive_rates(before: &Usage, after: &Usage, seconds: f64) -> (f64, f64) {
    let rate = |relay: usize| {
        let received_before = before.relays.get(relay).map_or(0, |usage| usage.2);
        (after.relays[relay].2 - received_before) as f64 / seconds
    };
    let rates: Vec<f64> = (0..after.relays.len()).map(rate).collect();
    (rates.iter().sum::<f64>() / rates.len().max(1) as f64, rates.iter().copied().fold(0.0, f64::max))
}
