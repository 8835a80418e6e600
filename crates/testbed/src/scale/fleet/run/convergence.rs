//! Waits until the fleet has converged, and compares the replica of each subscriber with the acknowledged
//! changes.

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
/// Upper bound of the differences of one subscriber that the report describes.
const MAX_REPORTED_DIFFERENCES: usize = 3;

impl Run<'_> {
    /// Waits until all simulated proxies have reached their sources' positions. Returns the time taken, in
    /// seconds, and a description of a lagging proxy if the script's convergence timeout is exceeded.
    pub(super) async fn wait_until_converged(&mut self) -> Result<(f64, Option<String>), ScaleError> {
        let started = Instant::now();
        let heads = self.network.heads();
        loop {
            let (count, example) = self.simulated_proxies.behind(&heads).await?;
            let elapsed_s = started.elapsed().as_secs_f64();
            if count == 0 {
                return Ok((elapsed_s, None));
            }
            if elapsed_s > self.script.convergence_timeout_s {
                return Ok((elapsed_s, Some(format!("{count} proxies; {}", example.unwrap_or_default()))));
            }
            sleep(CONVERGENCE_POLL_INTERVAL).await;
        }
    }

    /// Compares the replica of every simulated proxy with the acknowledged changes, record by record. A
    /// replica that differs is compared again until the script's convergence timeout is exceeded. Returns the
    /// numbers of proxies and of records that were compared.
    pub(super) async fn compare_records(&mut self, when: &str) -> Result<(usize, u64), ScaleError> {
        let started = Instant::now();
        let (mut proxies, mut records, mut recompared) = (0, 0, None);
        loop {
            let mut differing: BTreeMap<u32, Vec<String>> = BTreeMap::new();
            let (model, population) = (&self.network.model, &self.population);
            let first = recompared.is_none();
            let visit = |number: u32, replica: &[messages::ReplicaRecord]| {
                let scope: BTreeSet<ServiceId> =
                    population.proxies[number as usize].scope.iter().copied().collect();
                let source_of = |service| population.region_of_service(service) as SourceId;
                let differences = compare(model, &scope, source_of, replica);
                if first {
                    proxies += 1;
                    records += replica.len() as u64;
                }
                if !differences.is_empty() {
                    let reported =
                        differences.iter().take(MAX_REPORTED_DIFFERENCES).map(ToString::to_string).collect();
                    differing.insert(number, reported);
                }
            };
            self.simulated_proxies.read_replicas(recompared, visit).await?;
            let timed_out = started.elapsed().as_secs_f64() > self.script.convergence_timeout_s;
            if differing.is_empty() || timed_out {
                for (number, differences) in differing {
                    let text = differences.join("; ");
                    self.report
                        .violations
                        .push(format!("{when}: proxy {number} differs from its sources: {text}"));
                }
                return Ok((proxies, records));
            }
            recompared = Some(differing.into_keys().collect());
            sleep(5 * CONVERGENCE_POLL_INTERVAL).await;
        }
    }

    /// Compares the list that each agent serves to its real proxy with the acknowledged changes. Returns the
    /// number of agents.
    pub(super) async fn compare_lists(&mut self, when: &str) -> Result<usize, ScaleError> {
        let Some(real_proxies) = &self.real_proxies else { return Ok(0) };
        let started = Instant::now();
        let (population, port) = (&self.population, self.test_backends.port);
        let source_of = |service| population.region_of_service(service) as SourceId;
        let address_of = |name: &str| {
            let number = name.strip_prefix('b').and_then(|number| number.parse().ok());
            number.map_or(String::new(), |number| Population::backend_address(number, port).to_string())
        };
        let proxies = &population.proxies[population.simulated..];
        for (number, proxy) in proxies.iter().enumerate() {
            let scope: BTreeSet<ServiceId> = proxy.scope.iter().copied().collect();
            loop {
                let list = real_proxies.discovery_list(number).await?;
                let differing = compare_list(&self.network.model, &scope, source_of, address_of, &list);
                if differing.is_empty() {
                    break;
                }
                if started.elapsed().as_secs_f64() > self.script.convergence_timeout_s {
                    let text = differing
                        .iter()
                        .take(MAX_REPORTED_DIFFERENCES)
                        .cloned()
                        .collect::<Vec<_>>()
                        .join("; ");
                    self.report
                        .violations
                        .push(format!("{when}: the list of agent {number} differs from its sources: {text}"));
                    break;
                }
                sleep(CONVERGENCE_POLL_INTERVAL).await;
            }
        }
        Ok(proxies.len())
    }
}
