//! Backends, discovery and backend faults in virtual time.

use super::{AttemptResult, Event, Simulation};
use crate::backend_model::{Admission, BackendModel};
use crate::invariant_checker::Observation;
use crate::script::{BackendFaultKind, micros};
use balancer::api::{Backend, MembershipUpdate, Micros, Readiness};

/// Time from the arrival of a request to the reset of its connection, microseconds.
const RESET_DELAY: Micros = 5_000;

impl Simulation<'_> {
    pub(super) fn backend_receives(&mut self, index: usize) {
        let (backend, client) = (self.attempts[index].backend, self.attempts[index].client);
        let latency = self.latency(index);
        self.advance_backend(backend);
        let simulated = &mut self.backends[backend];
        let Some(model) = &mut simulated.model else {
            return self
                .after(latency, Event::ProxyReceives { index, outcome: AttemptResult::ConnectFailed });
        };
        let work = self.plan.arrivals[client as usize].work;
        let admission = model.arrive(self.now, index as u64, work);
        if admission == Admission::Rejected {
            self.log.add(self.now, Observation::AttemptRejected { id: client, backend });
            return self.after(latency, Event::ProxyReceives { index, outcome: AttemptResult::Rejected });
        }
        simulated.in_flight.push(index);
        let (reset_fraction, malformed_fraction) = (simulated.reset_fraction, simulated.malformed_fraction);
        self.log.add(self.now, Observation::AttemptStarted { id: client, backend, work });
        if self.rng.f64() < reset_fraction {
            self.after(RESET_DELAY, Event::ProxyReceives { index, outcome: AttemptResult::Reset });
        }
        self.attempts[index].malformed = self.rng.f64() < malformed_fraction;
        self.schedule_backend(backend);
    }

    pub(super) fn schedule_backend(&mut self, backend: usize) {
        let simulated = &mut self.backends[backend];
        let next = simulated.model.as_ref().and_then(BackendModel::next).unwrap_or(Micros::MAX);
        // An event that was scheduled for another time stays in the queue and is ignored when it occurs.
        if std::mem::replace(&mut simulated.due, next) != next && next < Micros::MAX {
            self.at(next, Event::BackendTimer(backend));
        }
    }

    pub(super) fn advance_backend(&mut self, backend: usize) {
        let simulated = &mut self.backends[backend];
        let Some(model) = &mut simulated.model else { return };
        for index in model.advance(self.now).into_iter().map(|id| id as usize) {
            self.backends[backend].in_flight.retain(|&other| other != index);
            let latency = self.latency(index);
            let outcome =
                if self.attempts[index].malformed { AttemptResult::Malformed } else { AttemptResult::Ok };
            self.after(latency, Event::ProxyReceives { index, outcome });
        }
        self.schedule_backend(backend);
    }

    pub(super) fn membership_entry(&self, backend: usize) -> Backend {
        let simulated = &self.backends[backend];
        let readiness = match (&simulated.model, simulated.draining) {
            (None, _) => Readiness::Removed,
            (Some(_), true) => Readiness::Draining,
            (Some(_), false) => Readiness::Ready,
        };
        Backend {
            id: backend as u32,
            zone: self.script.zone(backend),
            machine_kind: 0,
            cell: self.script.cell(backend),
            readiness,
            started_at: simulated.started_at,
        }
    }

    pub(super) fn notify_all(&mut self, backend: usize) {
        for proxy in 0..self.proxies.len() {
            let delay_s = self.script.fleet.notification_delay_s * (1.0 + self.rng.f64());
            self.after(micros(delay_s), Event::NotificationArrives { proxy, backend });
        }
    }

    pub(super) fn notify(&mut self, proxy: usize, backend: usize) {
        if self.discovery_down > 0 {
            return self.deferred_notifications.push(Event::NotificationArrives { proxy, backend });
        }
        let entry = self.membership_entry(backend);
        let ready = entry.readiness == Readiness::Ready;
        self.log.add(self.now, Observation::BackendNotified { proxy, backend, ready });
        self.proxies[proxy].update_membership(self.now, MembershipUpdate::Delta(&[entry]));
        self.run_commands(proxy);
    }

    pub(super) fn apply_fault(&mut self, index: usize, starts: bool) {
        let fault = &self.script.backend_faults[index];
        if fault.kind == BackendFaultKind::DiscoveryDown {
            self.discovery_down = self.discovery_down.saturating_add_signed(if starts { 1 } else { -1 });
            if self.discovery_down == 0 {
                for event in std::mem::take(&mut self.deferred_notifications) {
                    self.after(0, event);
                }
            }
            return;
        }
        for backend in self.script.faulty_backends(index) {
            self.advance_backend(backend);
            self.apply_fault_to(backend, index, starts);
            self.schedule_backend(backend);
        }
    }

    pub(super) fn apply_fault_to(&mut self, backend: usize, index: usize, starts: bool) {
        let fault = &self.script.backend_faults[index];
        let (what, degree) = (fault.kind, if starts { fault.severity } else { 0.0 });
        let simulated = &mut self.backends[backend];
        match what {
            BackendFaultKind::Reset => simulated.reset_fraction = degree,
            BackendFaultKind::Spoil => simulated.malformed_fraction = degree,
            BackendFaultKind::Crash if starts => self.crash(backend),
            BackendFaultKind::Crash => self.start(backend),
            BackendFaultKind::Drain => {
                simulated.draining = starts;
                if let Some(model) = &mut simulated.model {
                    model.set_draining(starts);
                }
                self.notify_all(backend);
            }
            BackendFaultKind::Hang | BackendFaultKind::Pause | BackendFaultKind::Slow => {
                let Some(model) = &mut simulated.model else { return };
                match what {
                    BackendFaultKind::Hang => model.set_hanging(starts),
                    BackendFaultKind::Pause => model.set_paused(starts),
                    _ => model.set_slowdown(degree),
                }
            }
            // Virtual time emulates no connections: of these faults only resets during a request are
            // simulated.
            BackendFaultKind::ResetRequest
            | BackendFaultKind::BreakAnswer
            | BackendFaultKind::CloseAfter
            | BackendFaultKind::Silence
            | BackendFaultKind::ResetNew
            | BackendFaultKind::AcceptLate
            | BackendFaultKind::DiscoveryDown => {}
        }
    }

    pub(super) fn crash(&mut self, backend: usize) {
        let simulated = &mut self.backends[backend];
        if simulated.model.take().is_none() {
            return;
        }
        simulated.due = Micros::MAX;
        for index in std::mem::take(&mut simulated.in_flight) {
            let latency = self.latency(index);
            self.after(latency, Event::ProxyReceives { index, outcome: AttemptResult::Reset });
        }
        self.notify_all(backend);
    }

    pub(super) fn start(&mut self, backend: usize) {
        let (spec, now) = (self.script.backend_spec(backend), self.now);
        let simulated = &mut self.backends[backend];
        if simulated.model.is_some() {
            return;
        }
        simulated.model = Some(BackendModel::new(spec, now, Some(now)));
        simulated.started_at = Some(now);
        self.log.add(now, Observation::BackendStarted { backend });
        self.notify_all(backend);
    }
}
