//! Plays one step: writes the planned changes at their times, and injects the step's fault.

use super::{Run, StepOutcome};
use crate::scale::fleet::ScaleError;
use crate::scale::fleet::messages::unix_time_us;
use crate::scale::fleet::plan::PlannedChange;
use crate::scale::fleet::reachability::{Outage, OutageTarget};
use crate::scale::fleet::script::{Step, StepKind};
use control_plane::record::{Change, RecordState, ServiceId};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time between two checks for changes that are due.
const CHANGE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Upper bounds of the drains and of the configurations that are written to a source after its saved snapshot
/// and before it is killed.
const MAX_UNSAVED_CHANGES: usize = 3;

impl Run<'_> {
    /// Writes changes for the duration of the step, and injects its fault meanwhile.
    pub(super) async fn play_step(&mut self, number: usize, step: &Step) -> Result<StepOutcome, ScaleError> {
        let step_start_s: f64 = self.script.steps[..number].iter().map(|step| step.seconds).sum();
        let phase_times_s = [Step::LEAD_S, Step::LEAD_S + step.fault_s / 2.0, Step::LEAD_S + step.fault_s];
        let (mut phase, mut outcome) = (0, StepOutcome::default());
        let started = Instant::now();
        loop {
            let elapsed_s = started.elapsed().as_secs_f64();
            while phase_times_s.get(phase).is_some_and(|&at| at <= elapsed_s) {
                self.run_fault_phase(number, step, phase, &mut outcome).await?;
                phase += 1;
            }
            let end_us = ((step_start_s + elapsed_s.min(step.seconds)) * 1e6) as u64;
            let mut due =
                if self.stopped_source.is_none() { std::mem::take(&mut self.deferred) } else { Vec::new() };
            while let Some(&(at, change)) =
                self.plan.changes.get(self.next_change).filter(|(at, _)| *at < end_us)
            {
                debug_assert!(at < end_us);
                self.next_change += 1;
                due.push(change);
            }
            let changes = due.into_iter().filter_map(|change| self.change_to_write(change)).collect();
            self.write(changes, Some(number)).await?;
            if elapsed_s >= step.seconds && phase == phase_times_s.len() {
                return Ok(outcome);
            }
            sleep(CHANGE_POLL_INTERVAL).await;
        }
    }

    /// Returns the change to write now: none if its source is stopped (then it is deferred) or its zone is
    /// lost.
    fn change_to_write(&mut self, change: PlannedChange) -> Option<Change> {
        let (service, zone) = match change {
            PlannedChange::Backend { number, .. } => {
                let instance = self.population.backends[number];
                (instance.service, Some(instance.zone))
            }
            PlannedChange::Configuration { service } => (service, None),
        };
        if self.stopped_source == Some(self.source_of(service)) {
            self.deferred.push(change);
            return None;
        }
        match change {
            _ if zone.is_some() && zone == self.lost_zone => None,
            PlannedChange::Backend { number, state } => Some(self.backend(number, state)),
            PlannedChange::Configuration { service } => Some(self.configuration(service)),
        }
    }

    /// Executes one phase of a step's fault: 0 is its start, 1 its middle, 2 its end.
    async fn run_fault_phase(
        &mut self,
        number: usize,
        step: &Step,
        phase: usize,
        outcome: &mut StepOutcome,
    ) -> Result<(), ScaleError> {
        match phase {
            0 => self.begin_fault(number, step, outcome).await,
            1 if step.kind == StepKind::SourceRestarted => self.stop_source(number, step.target).await,
            2 => self.end_fault(number, step, outcome).await,
            _ => Ok(()),
        }
    }

    async fn begin_fault(
        &mut self,
        number: usize,
        step: &Step,
        outcome: &mut StepOutcome,
    ) -> Result<(), ScaleError> {
        let target = step.target;
        match step.kind {
            StepKind::Ordinary => {}
            StepKind::RelayKilled => self.network.relays[target].kill(),
            StepKind::RelayStalled => self.network.relays[target].set_suspended(true),
            StepKind::RegionCut => {
                self.network.set_isolated(target, true);
                self.begin_outage(OutageTarget::Region(target));
            }
            StepKind::SubscribersStopped => {
                self.simulated_proxies.set_suspended(target, true);
                self.begin_outage(OutageTarget::Process(target));
            }
            StepKind::SourceRestarted => self.network.save_snapshot(target)?,
            StepKind::ZoneLost => {
                outcome.zone_outage_start_us = Some(unix_time_us());
                self.lost_zone = Some(target);
                let numbers = self.simulated_proxies_of(target);
                self.simulated_proxies.stop(numbers.into_iter()).await?;
                self.set_zone_state(target, RecordState::Gone, number).await?;
            }
            StepKind::ZoneRestarted => {
                outcome.zone_outage_start_us = Some(unix_time_us());
                outcome.restarted = self.simulated_proxies_of(target);
                self.restart_proxies(&outcome.restarted).await?;
            }
        }
        Ok(())
    }

    async fn end_fault(
        &mut self,
        number: usize,
        step: &Step,
        outcome: &mut StepOutcome,
    ) -> Result<(), ScaleError> {
        let target = step.target;
        match step.kind {
            StepKind::Ordinary | StepKind::ZoneRestarted => {}
            StepKind::RelayKilled => self.network.relays[target].start(&self.starter).await?,
            StepKind::RelayStalled => self.network.relays[target].set_suspended(false),
            StepKind::RegionCut => {
                self.network.set_isolated(target, false);
                self.end_outage();
            }
            StepKind::SubscribersStopped => {
                self.simulated_proxies.set_suspended(target, false);
                self.end_outage();
            }
            StepKind::SourceRestarted => self.restart_source(number, target, outcome).await?,
            StepKind::ZoneLost => {
                self.lost_zone = None;
                self.set_zone_state(target, RecordState::Active, number).await?;
                outcome.restarted = self.simulated_proxies_of(target);
                self.restart_proxies(&outcome.restarted).await?;
            }
        }
        Ok(())
    }

    async fn stop_source(&mut self, step: usize, source: usize) -> Result<(), ScaleError> {
        self.write_unsaved_changes(source, step).await?;
        self.network.kill_source(source)?;
        self.stopped_source = Some(source);
        Ok(())
    }

    async fn restart_source(
        &mut self,
        step: usize,
        source: usize,
        outcome: &mut StepOutcome,
    ) -> Result<(), ScaleError> {
        match self.network.restart_source(source, &self.starter).await? {
            Ok(lost) => outcome.lost_changes = lost,
            Err(disagreement) => {
                let text = format!(
                    "step {step}: restarted source {source} differs from its acknowledged changes: {disagreement}"
                );
                self.report.violations.push(text);
            }
        }
        self.stopped_source = None;
        Ok(())
    }

    /// Adds an outage of this target that starts now.
    fn begin_outage(&mut self, target: OutageTarget) {
        self.reachability.outages.push(Outage { target, from_us: unix_time_us(), to_us: u64::MAX });
    }

    /// Ends the last added outage.
    fn end_outage(&mut self) {
        if let Some(outage) = self.reachability.outages.last_mut() {
            outage.to_us = unix_time_us();
        }
    }

    fn simulated_proxies_of(&self, zone: usize) -> Vec<u32> {
        let simulated = self.population.proxies[..self.population.simulated].iter().enumerate();
        simulated.filter(|(_, proxy)| proxy.zone == zone).map(|(number, _)| number as u32).collect()
    }

    /// Writes this state for all backends of a zone.
    async fn set_zone_state(
        &mut self,
        zone: usize,
        state: RecordState,
        step: usize,
    ) -> Result<(), ScaleError> {
        let of_zone =
            (0..self.population.backends.len()).filter(|&n| self.population.backends[n].zone == zone);
        let changes = of_zone.map(|number| self.backend(number, state)).collect();
        self.write(changes, Some(step)).await
    }

    /// Writes drains and configurations to a source that is about to lose them, because its saved snapshot is
    /// older. They concern only services in the first simulated proxy's scope, so that at least one
    /// subscriber receives them.
    async fn write_unsaved_changes(&mut self, source: usize, step: usize) -> Result<(), ScaleError> {
        let of_source = |service: &ServiceId| self.source_of(*service) == source;
        let scope = self.population.proxies.first().map_or(&[][..], |proxy| &proxy.scope);
        let services: Vec<ServiceId> =
            scope.iter().copied().filter(of_source).take(MAX_UNSAVED_CHANGES).collect();
        let backends = (0..self.population.backends.len())
            .filter(|&number| services.contains(&self.population.backends[number].service))
            .take(MAX_UNSAVED_CHANGES);
        let mut changes: Vec<Change> =
            backends.map(|number| self.backend(number, RecordState::Draining)).collect();
        for service in services {
            changes.push(self.configuration(service));
        }
        self.write(changes, Some(step)).await
    }
}
