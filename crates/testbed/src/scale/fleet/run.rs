//! Plays a script, from the start of the first process to the exit of the last.

mod convergence;
mod faults;
mod measurement;

use super::ScaleError;
use super::lists;
use super::messages::{InjectedFault, SimulatedProxySpec, unix_time_us};
use super::network::Network;
use super::plan::{PlannedChange, ScalePlan};
use super::population::Population;
use super::programs::ProcessStarter;
use super::propagation::{Propagation, summary};
use super::reachability::{Outage, OutageTarget, Reachability};
use super::real_proxies::{RealProxies, TestBackends};
use super::report::{ReceiveRate, Report, StepRow};
use super::script::ScaleScript;
use super::simulated_proxies::SimulatedProxies;
use super::stale_sends::find_stale_sends;
use crate::fleet::{RunEnvironment, TempFolder, process_guard};
use control_plane::record::{Change, RecordKey, RecordKind, RecordState, ServiceId};
use measurement::{slowest_fill_s, step_costs};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Arc;
use tokio::task::LocalSet;
use tokio::time::Instant;

/// Size of a configuration record's body, bytes.
const CONFIGURATION_BYTES: usize = 400;

/// Programs and sizes of a run.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// The control plane's executable.
    pub control_plane: PathBuf,
    /// The proxy's executable, the testbed's executable, and the proxies' resource limits.
    pub machine: RunEnvironment,
    /// Numbers of backends for which the cost of a complete discovery list is measured at the end.
    pub list_sizes: Vec<usize>,
}

/// Plays a script. All processes that it starts have exited when it returns, also after an error.
///
/// # Errors
/// If the script can't be played to its end. Violations of invariants are no errors: the report lists them.
pub fn play(script: &ScaleScript, options: &RunOptions) -> Result<Report, ScaleError> {
    script.check()?;
    process_guard::raise_descriptor_limit()?;
    let folder = TempFolder::new()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let report = LocalSet::new().block_on(&runtime, async {
        let mut run = Run::start(script, options, &folder).await?;
        run.start_fleet().await?;
        for step in 0..script.steps.len() {
            run.step(step).await?;
        }
        run.end().await
    });
    // The processes write into the folder, so it is removed after they have exited.
    drop(folder);
    report
}

struct Run<'a> {
    script: &'a ScaleScript,
    options: &'a RunOptions,
    starter: ProcessStarter<'a>,
    population: Population,
    plan: ScalePlan,
    next_change: usize,
    /// Changes to be written once the stopped source is restarted.
    deferred: Vec<PlannedChange>,
    stopped_source: Option<usize>,
    lost_zone: Option<usize>,
    /// Number of configurations written so far, which makes each body unique.
    configurations: u64,
    test_backends: TestBackends,
    network: Network,
    simulated_proxies: SimulatedProxies,
    real_proxies: Option<RealProxies>,
    reachability: Reachability,
    propagation: Propagation,
    report: Report,
}

/// Effects of a step's fault that its row reports.
#[derive(Default)]
struct StepOutcome {
    /// Proxies that were restarted.
    restarted: Vec<u32>,
    /// Number of changes that the restarted source lost.
    lost_changes: usize,
    /// Start of a zone's outage, microseconds of Unix time.
    zone_outage_start_us: Option<u64>,
}

impl<'a> Run<'a> {
    async fn start(
        script: &'a ScaleScript,
        options: &'a RunOptions,
        folder: &'a TempFolder,
    ) -> Result<Self, ScaleError> {
        let population = Population::draw(script);
        let plan = ScalePlan::draw(script, &population);
        let reachability = Reachability::new(&population, script.size.processes);
        let starter = ProcessStarter {
            testbed: &options.machine.testbed_binary,
            control_plane: &options.control_plane,
            folder,
        };
        let test_backends = TestBackends::start()?;
        let network = Network::start(script, &starter).await?;
        let mut simulated_proxies =
            SimulatedProxies::start(&options.machine.testbed_binary, folder, script.size.processes).await?;
        let spec = |(number, proxy): (usize, &super::population::Proxy)| SimulatedProxySpec {
            number: number as u32,
            name: format!("proxy-{number}"),
            group: proxy.zone as u16,
            scope: proxy.scope.clone(),
            relays: network.relays_of(population.region_of_zone(proxy.zone)),
        };
        let specs = population.proxies[..population.simulated].iter().enumerate().map(spec).collect();
        simulated_proxies.assign(specs, script.injected_fault).await?;
        let report = Report {
            title: script.title.clone(),
            seed: script.seed,
            size: (population.simulated, population.backends.len()),
            real_proxies: script.size.real_proxies,
            relays: script.size.relays,
            ..Report::default()
        };
        Ok(Self {
            script,
            options,
            starter,
            population,
            plan,
            next_change: 0,
            deferred: Vec::new(),
            stopped_source: None,
            lost_zone: None,
            configurations: 0,
            test_backends,
            network,
            simulated_proxies,
            real_proxies: None,
            reachability,
            propagation: Propagation::default(),
            report,
        })
    }

    fn source_of(&self, service: ServiceId) -> usize {
        self.population.region_of_service(service)
    }

    fn backend(&self, number: usize, state: RecordState) -> Change {
        let service = self.population.backends[number].service;
        let key = RecordKey { service, kind: RecordKind::Backend, name: Population::backend_name(number) };
        let body = match state {
            RecordState::Gone => Arc::from([]),
            RecordState::Active | RecordState::Draining => {
                self.population.backend_body(number, self.test_backends.port, unix_time_us() / 1_000)
            }
        };
        Change { key, state, body }
    }

    fn configuration(&mut self, service: ServiceId) -> Change {
        self.configurations += 1;
        let mut body = self.configurations.to_le_bytes().to_vec();
        body.resize(CONFIGURATION_BYTES, b'.');
        let key = RecordKey { service, kind: RecordKind::Configuration, name: "configuration".into() };
        Change { key, state: RecordState::Active, body: body.into() }
    }

    /// Writes each change to the source of its service.
    async fn write(&mut self, changes: Vec<Change>, step: Option<usize>) -> Result<(), ScaleError> {
        let mut by_source: BTreeMap<usize, Vec<Change>> = BTreeMap::new();
        for change in changes {
            by_source.entry(self.source_of(change.key.service)).or_default().push(change);
        }
        for (source, changes) in by_source {
            self.network.write(source, changes, step).await?;
        }
        Ok(())
    }

    /// Writes all backends, starts all simulated proxies at once, waits until they have converged, and then
    /// starts the real proxies.
    async fn start_fleet(&mut self) -> Result<(), ScaleError> {
        let backends =
            (0..self.population.backends.len()).map(|number| self.backend(number, RecordState::Active));
        let backends = backends.collect();
        self.write(backends, None).await?;
        let started_us = unix_time_us();
        let numbers: Vec<u32> = (0..self.population.simulated as u32).collect();
        self.restart_proxies(&numbers).await?;
        let lagging = self.wait_until_converged().await?.1;
        if let Some(example) = lagging {
            return Err(ScaleError::NotConverged(self.script.convergence_timeout_s, example));
        }
        let elapsed_s = (unix_time_us() - started_us) as f64 / 1e6;
        let costs = self.simulated_proxies.take_costs().await?;
        self.report.initial_receive_rate = ReceiveRate::new(&costs.proxies, elapsed_s);
        self.report.initial_fill_s = slowest_fill_s(&costs.proxies, &numbers);
        self.compare_records("before the first step").await?;
        if self.script.size.real_proxies > 0 {
            let (population, seed) = (&self.population, self.script.seed);
            let machine = &self.options.machine;
            let real_proxies =
                RealProxies::start(population, &self.network, &self.starter, machine, seed).await?;
            self.test_backends.start_clients(real_proxies.proxies(), self.script.size.requests_per_s);
            self.real_proxies = Some(real_proxies);
        }
        self.simulated_proxies.start_counting().await
    }

    async fn restart_proxies(&mut self, numbers: &[u32]) -> Result<(), ScaleError> {
        let with_record_count = |&number: &u32| {
            let scope = &self.population.proxies[number as usize].scope;
            (number, self.network.record_count(&self.population, scope))
        };
        let all: Vec<(u32, u32)> = numbers.iter().map(with_record_count).collect();
        self.simulated_proxies.restart(all.into_iter()).await
    }

    /// Plays a step, waits until the fleet has converged, compares all replicas and adds the step's row to
    /// the report.
    async fn step(&mut self, number: usize) -> Result<(), ScaleError> {
        let step = self.script.steps[number];
        let name = format!("{number} {}", step.kind.name());
        self.simulated_proxies.take_costs().await?;
        let before = self.usage();
        let started = Instant::now();
        let outcome = self.play_step(number, &step).await?;
        let seconds = started.elapsed().as_secs_f64();
        let after = self.usage();
        let costs = self.simulated_proxies.take_costs().await?;
        let (convergence_s, lagging) = self.wait_until_converged().await?;
        if let Some(example) = lagging {
            self.report.violations.push(format!("{name}: behind their sources: {example}"));
        }
        let compared = self.compare_records(&name).await?;
        let lists_compared = self.compare_lists(&name).await?;
        if let Some(from_us) = outcome.zone_outage_start_us {
            self.reachability.outages.push(Outage {
                target: OutageTarget::Zone(step.target),
                from_us,
                to_us: unix_time_us(),
            });
        }
        self.collect_tallies(&name).await?;
        // A proxy that restarted late in the step may have become complete only during convergence.
        let costs_after = self.simulated_proxies.take_costs().await?;
        self.record_violations(&name, &costs_after.violations);
        self.check_processes()?;
        let numbers = &outcome.restarted;
        let restarted =
            (!numbers.is_empty()).then(|| (numbers.len(), slowest_fill_s(&costs_after.proxies, numbers)));
        let row = StepRow {
            name,
            rate_factor: step.rate_factor,
            convergence_s,
            restarted,
            lost_changes: outcome.lost_changes,
            compared,
            lists_compared,
            ..step_costs(&before, &after, &costs, seconds)
        };
        self.report.steps.push(row);
        self.check_memory()
    }

    /// Adds the updates of all processes since the last call.
    async fn collect_tallies(&mut self, step_name: &str) -> Result<(), ScaleError> {
        let (tallies, uncounted) = self.simulated_proxies.take_tallies().await?;
        for (process, tallies) in tallies.iter().enumerate() {
            self.propagation.add_tallies(&self.network.model, process as u16, tallies);
        }
        if uncounted > 0 {
            self.report
                .violations
                .push(format!("{step_name}: {uncounted} updates exceeded the bound of the tallies"));
        }
        Ok(())
    }

    fn record_violations(&mut self, step_name: &str, violations: &[(u32, String)]) {
        let texts = violations.iter().map(|(proxy, what)| format!("{step_name}: proxy {proxy}: {what}"));
        let unrecorded: Vec<String> = texts.filter(|text| !self.is_recorded(text)).collect();
        self.report.violations.extend(unrecorded);
    }

    /// # Errors
    /// The first process that has exited by itself.
    fn check_processes(&mut self) -> Result<(), ScaleError> {
        self.network.check_running()?;
        self.simulated_proxies.check_running()?;
        self.real_proxies.as_mut().map_or(Ok(()), RealProxies::check_running)
    }

    async fn end(mut self) -> Result<Report, ScaleError> {
        self.test_backends.stop_clients();
        let all = self.propagation.changes(&self.network.model, &self.reachability);
        for number in 0..self.report.steps.len() {
            let propagation = summary(&all, number, |change| change.from_reachable_us);
            let from_write = summary(&all, number, |change| change.from_write_us);
            let row = &mut self.report.steps[number];
            (row.propagation, row.propagation_from_write) = (propagation, from_write);
            if propagation.never_received > 0 && self.script.injected_fault == InjectedFault::None {
                let text = format!(
                    "{}: {} changes never reached all subscribers",
                    row.name, propagation.never_received
                );
                self.report.violations.push(text);
            }
        }
        let stale_sends = find_stale_sends(
            &self.test_backends.arrivals(),
            &self.network.model,
            &self.population,
            &self.reachability,
        );
        self.report.violations.extend(stale_sends);
        self.report.requests = self.test_backends.requests();
        for &backends in &self.options.list_sizes {
            let row = lists::measure(self.starter.folder, &self.options.machine, backends).await?;
            self.report.lists.push(row);
        }
        Ok(self.report)
    }
}
