//! Plays one step: writes the planned changes when they are due, and injects the step's fault.

use super::{Run, StepOutcome};
use crate::scale::fleet::ScaleError;
use crate::scale::fleet::messages::now;
use crate::scale::fleet::plan::PlannedChange;
use crate::scale::fleet::reachability::{Outage, OutageTarget};
use crate::scale::fleet::script::{Step, StepKind};
use control_plane::record::{Change, ServiceId, State};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time between two checks for changes that are due.
const CHANGE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Drains, and configurations, that a source writes after its last snapshot and before it is killed.
const MAX_UNSAVED_CHANGES: usize = 3;

impl Run<'_> {
    /// Writes changes for the duration of the step, and injects its fault meanwhile.
    pub(super) async fn play_step(&mut self, number: usize, step: &Step) -> Result<StepOutcome, ScaleError> {
        let base: f64 = self.script.step[..number].iter().map(|step| step.seconds).sum();
        let moments = [Step::LEAD_S, Step::LEAD_S + step.for_s / 2.0, Step::LEAD_S + step.for_s];
        let (mut moment, mut outcome) = (0, StepOutcome::default());
        let began = Instant::now();
        loop {
            let passed = began.elapsed().as_secs_f64();
            while moments.get(moment).is_some_and(|&at| at <= passed) {
                self.fault(number, step, moment, &mut outcome).await?;
                moment += 1;
            }
            let upto = ((base + passed.min(step.seconds)) * 1e6) as u64;
            let mut due =
                if self.stopped_source.is_none() { std::mem::take(&mut self.deferred) } else { Vec::new() };
            while let Some(&(at, change)) =
                self.plan.changes.get(self.next_change).filter(|(at, _)| *at < upto)
            {
                debug_assert!(at < upto);
                self.next_change += 1;
                due.push(change);
            }
            let changes = due.into_iter().filter_map(|change| self.change(change)).collect();
            self.write(changes, Some(number)).await?;
            if passed >= step.seconds && moment == moments.len() {
                return Ok(outcome);
            }
            sleep(CHANGE_POLL_INTERVAL).await;
        }
    }

    /// The change to write now: none if its source is stopped (then it is deferred) or its zone is lost.
    fn change(&mut self, change: PlannedChange) -> Option<Change> {
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

    /// Plays one moment of a step's fault: 0 begins it, 1 is half through, 2 ends it.
    async fn fault(
        &mut self,
        number: usize,
        step: &Step,
        moment: usize,
        outcome: &mut StepOutcome,
    ) -> Result<(), ScaleError> {
        match moment {
            0 => self.begin_fault(number, step, outcome).await,
            1 if step.what == StepKind::SourceRestarted => self.stop_source(number, step.which).await,
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
        let which = step.which;
        match step.what {
            StepKind::Ordinary => {}
            StepKind::RelayKilled => self.network.relays[which].kill(),
            StepKind::RelayStalled => self.network.relays[which].stall(true),
            StepKind::RegionCut => {
                self.network.cut(which, true);
                self.begin_outage(OutageTarget::Region(which));
            }
            StepKind::SubscribersStopped => {
                self.simulated_proxies.stall(which, true);
                self.begin_outage(OutageTarget::Process(which));
            }
            StepKind::SourceRestarted => self.network.keep(which)?,
            StepKind::ZoneLost => {
                outcome.zone_outage_start = Some(now());
                self.lost_zone = Some(which);
                let numbers = self.proxies_of(which);
                self.simulated_proxies.end(numbers.into_iter()).await?;
                self.set_zone_state(which, State::Gone, number).await?;
            }
            StepKind::ZoneRestarted => {
                outcome.zone_outage_start = Some(now());
                outcome.restarted = self.proxies_of(which);
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
        let which = step.which;
        match step.what {
            StepKind::Ordinary | StepKind::ZoneRestarted => {}
            StepKind::RelayKilled => self.network.relays[which].start(&self.starter).await?,
            StepKind::RelayStalled => self.network.relays[which].stall(false),
            StepKind::RegionCut => {
                self.network.cut(which, false);
                self.end_outage();
            }
            StepKind::SubscribersStopped => {
                self.simulated_proxies.stall(which, false);
                self.end_outage();
            }
            StepKind::SourceRestarted => self.restart_source(number, which, outcome).await?,
            StepKind::ZoneLost => {
                self.lost_zone = None;
                self.set_zone_state(which, State::Active, number).await?;
                outcome.restarted = self.proxies_of(which);
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
            Ok(lost) => outcome.lost = lost,
            Err(disagreement) => {
                let text = format!("step {step}: source {source} has what was never said: {disagreement}");
                self.report.breaks.push(text);
            }
        }
        self.stopped_source = None;
        Ok(())
    }

    /// Records that the target is unreachable from now on.
    fn begin_outage(&mut self, target: OutageTarget) {
        self.reachability.outages.push(Outage { target, from: now(), to: u64::MAX });
    }

    /// Ends the most recent outage.
    fn end_outage(&mut self) {
        if let Some(window) = self.reachability.outages.last_mut() {
            window.to = now();
        }
    }

    fn proxies_of(&self, zone: usize) -> Vec<u32> {
        let hollow = self.population.proxies[..self.population.simulated].iter().enumerate();
        hollow.filter(|(_, proxy)| proxy.zone == zone).map(|(number, _)| number as u32).collect()
    }

    /// Writes one state for all backends of a zone.
    async fn set_zone_state(&mut self, zone: usize, state: State, step: usize) -> Result<(), ScaleError> {
        let of_zone =
            (0..self.population.backends.len()).filter(|&n| self.population.backends[n].zone == zone);
        let changes = of_zone.map(|number| self.backend(number, state)).collect();
        self.write(changes, Some(step)).await
    }

    /// Writes drains and configurations to a source that is about to lose them: they come after its saved snapshot.
    /// Only services in the first simulated proxy's scope are used, so that at least one subscriber receives them.
    async fn write_unsaved_changes(&mut self, source: usize, step: usize) -> Result<(), ScaleError> {
        let of_source = |service: &ServiceId| self.source_of(*service) == source;
        let scope = self.population.proxies.first().map_or(&[][..], |proxy| &proxy.scope);
        let services: Vec<ServiceId> =
            scope.iter().copied().filter(of_source).take(MAX_UNSAVED_CHANGES).collect();
        let backends = (0..self.population.backends.len())
            .filter(|&number| services.contains(&self.population.backends[number].service))
            .take(MAX_UNSAVED_CHANGES);
        let mut changes: Vec<Change> = backends.map(|number| self.backend(number, State::Draining)).collect();
        for service in services {
            changes.push(self.configuration(service));
        }
        self.write(changes, Some(step)).await
    }
}
