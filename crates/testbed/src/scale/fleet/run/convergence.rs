//! Waits until the fleet has converged, and compares what each subscriber holds with the acknowledged changes.

use super::Run;
use crate::scale::fleet::ScaleError;
use crate::scale::fleet::checker::{compare, compare_list};
use crate::scale::fleet::messages;
use crate::scale::fleet::population::Population;
use control_plane::record::{ServiceId, SourceId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time between two polls of the simulated proxies for their replica positions.
const CONVERGENCE_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Differences of one subscriber that the report names.
const MAX_REPORTED_DIFFERENCES: usize = 3;

impl Run<'_> {
    /// Waits until all simulated proxies have reached their sources' positions. Returns the time taken, in seconds, and
    /// an example of a lagging proxy if the script's patience is exceeded.
    pub(super) async fn wait_until_converged(&mut self) -> Result<(f64, Option<String>), ScaleError> {
        let began = Instant::now();
        let heads = self.network.heads();
        loop {
            let (count, example) = self.simulated_proxies.behind(&heads).await?;
            let took = began.elapsed().as_secs_f64();
            if count == 0 {
                return Ok((took, None));
            }
            if took > self.script.patience_s {
                return Ok((took, Some(format!("{count} proxies; {}", example.unwrap_or_default()))));
            }
            sleep(CONVERGENCE_POLL_INTERVAL).await;
        }
    }

    /// Compares the replica of every simulated proxy with the acknowledged changes, record by record. A proxy that differs
    /// is read again until the script's patience is exceeded. Returns how many proxies and records were compared.
    pub(super) async fn compare_records(&mut self, when: &str) -> Result<(usize, u64), ScaleError> {
        let began = Instant::now();
        let (mut proxies, mut records, mut again) = (0, 0, None);
        loop {
            let mut differ: BTreeMap<u32, Vec<String>> = BTreeMap::new();
            let (model, population) = (&self.network.model, &self.population);
            let first = again.is_none();
            let take = |number: u32, held: &[messages::ReplicaRecord]| {
                let scope: BTreeSet<ServiceId> =
                    population.proxies[number as usize].scope.iter().copied().collect();
                let source_of = |service| population.region_of_service(service) as SourceId;
                let differences = compare(model, &scope, source_of, held);
                if first {
                    proxies += 1;
                    records += held.len() as u64;
                }
                if !differences.is_empty() {
                    let reported =
                        differences.iter().take(MAX_REPORTED_DIFFERENCES).map(ToString::to_string).collect();
                    differ.insert(number, reported);
                }
            };
            self.simulated_proxies.dump(again, take).await?;
            let late = began.elapsed().as_secs_f64() > self.script.patience_s;
            if differ.is_empty() || late {
                for (number, differences) in differ {
                    let text = differences.join("; ");
                    self.report.breaks.push(format!("{when}: proxy {number} is not equal: {text}"));
                }
                return Ok((proxies, records));
            }
            again = Some(differ.into_keys().collect());
            sleep(5 * CONVERGENCE_POLL_INTERVAL).await;
        }
    }

    /// Compares the list that each agent serves to its real proxy. Returns the number of agents.
    pub(super) async fn compare_lists(&mut self, when: &str) -> Result<usize, ScaleError> {
        let Some(real) = &self.real else { return Ok(0) };
        let began = Instant::now();
        let (population, port) = (&self.population, self.test_backends.port);
        let source_of = |service| population.region_of_service(service) as SourceId;
        let address_of = |name: &str| {
            let number = name.strip_prefix('b').and_then(|number| number.parse().ok());
            number.map_or(String::new(), |number| Population::address(number, port).to_string())
        };
        let proxies = &population.proxies[population.simulated..];
        for (number, proxy) in proxies.iter().enumerate() {
            let scope: BTreeSet<ServiceId> = proxy.scope.iter().copied().collect();
            loop {
                let list = real.list(number).await?;
                let differ = compare_list(&self.network.model, &scope, source_of, address_of, &list);
                if differ.is_empty() {
                    break;
                }
                if began.elapsed().as_secs_f64() > self.script.patience_s {
                    let text =
                        differ.iter().take(MAX_REPORTED_DIFFERENCES).cloned().collect::<Vec<_>>().join("; ");
                    self.report
                        .breaks
                        .push(format!("{when}: the list of agent {number} is not equal: {text}"));
                    break;
                }
                sleep(CONVERGENCE_POLL_INTERVAL).await;
            }
        }
        Ok(proxies.len())
    }
}
