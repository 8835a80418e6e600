//! Boxes, discovery and troubles of a day in virtual time.

use super::{Event, Sent, World};
use crate::backend_model::{Admission, BackendModel};
use crate::invariant_checker::Observation;
use crate::script::{BackendFaultKind, micros};
use balancer::api::{Backend, MembershipUpdate, Micros, Readiness};

/// How long after it came a request's connection breaks.
const RESET_AFTER: Micros = 5_000;

impl World<'_> {
    // ---- Boxes ----

    pub(super) fn reach_box(&mut self, which: usize) {
        let (at_box, client) = (self.tries[which].at_box, self.tries[which].client);
        let way = self.way(which);
        self.box_advances(at_box);
        let at = &mut self.boxes[at_box];
        let Some(model) = &mut at.model else {
            return self.after(way, Event::ToProxy { which, outcome: Sent::ConnectFailed });
        };
        let work = self.plan.arrivals[client as usize].work;
        let arrived = model.arrive(self.now, which as u64, work);
        if arrived == Admission::Rejected {
            self.record.add(self.now, Observation::AttemptRejected { id: client, backend: at_box });
            return self.after(way, Event::ToProxy { which, outcome: Sent::Full });
        }
        at.holds.push(which);
        let (resets, spoils) = (at.resets, at.spoils);
        self.record.add(self.now, Observation::AttemptStarted { id: client, backend: at_box, work });
        if self.rng.f64() < resets {
            self.after(RESET_AFTER, Event::ToProxy { which, outcome: Sent::Reset });
        }
        self.tries[which].spoilt = self.rng.f64() < spoils;
        self.box_due(at_box);
    }

    pub(super) fn box_due(&mut self, at_box: usize) {
        let at = &mut self.boxes[at_box];
        let next = at.model.as_ref().and_then(BackendModel::next).unwrap_or(Micros::MAX);
        // An earlier event that is set but no longer wanted passes unheard.
        if std::mem::replace(&mut at.due, next) != next && next < Micros::MAX {
            self.at(next, Event::BoxDue(at_box));
        }
    }

    pub(super) fn box_advances(&mut self, at_box: usize) {
        let at = &mut self.boxes[at_box];
        let Some(model) = &mut at.model else { return };
        for which in model.advance(self.now).into_iter().map(|id| id as usize) {
            self.boxes[at_box].holds.retain(|&w| w != which);
            let way = self.way(which);
            let outcome = if self.tries[which].spoilt { Sent::Spoilt } else { Sent::Ok };
            self.after(way, Event::ToProxy { which, outcome });
        }
        self.box_due(at_box);
    }

    // ---- Discovery ----

    pub(super) fn entry(&self, at_box: usize) -> Backend {
        let at = &self.boxes[at_box];
        let readiness = match (&at.model, at.drains) {
            (None, _) => Readiness::Removed,
            (Some(_), true) => Readiness::Draining,
            (Some(_), false) => Readiness::Ready,
        };
        Backend {
            id: at_box as u32,
            zone: self.script.zone(at_box),
            machine_kind: 0,
            cell: self.script.cell(at_box),
            readiness,
            started_at: at.started,
        }
    }

    pub(super) fn tell_all(&mut self, at_box: usize) {
        for proxy in 0..self.proxies.len() {
            let late = self.script.fleet.notification_delay_s * (1.0 + self.rng.f64());
            self.after(micros(late), Event::News { proxy, at_box });
        }
    }

    pub(super) fn news(&mut self, proxy: usize, at_box: usize) {
        if self.discovery_down > 0 {
            return self.unsaid.push(Event::News { proxy, at_box });
        }
        let entry = self.entry(at_box);
        let ready = entry.readiness == Readiness::Ready;
        self.record.add(self.now, Observation::BackendNotified { proxy, backend: at_box, ready });
        self.proxies[proxy].update_membership(self.now, MembershipUpdate::Delta(&[entry]));
        self.obey(proxy);
    }

    // ---- Troubles ----

    pub(super) fn trouble(&mut self, index: usize, begins: bool) {
        let trouble = &self.script.backend_faults[index];
        if trouble.what == BackendFaultKind::DiscoveryDown {
            self.discovery_down = self.discovery_down.saturating_add_signed(if begins { 1 } else { -1 });
            if self.discovery_down == 0 {
                for event in std::mem::take(&mut self.unsaid) {
                    self.after(0, event);
                }
            }
            return;
        }
        for at_box in self.script.faulty_backends(index) {
            self.box_advances(at_box);
            self.strike(at_box, index, begins);
            self.box_due(at_box);
        }
    }

    pub(super) fn strike(&mut self, at_box: usize, index: usize, begins: bool) {
        let trouble = &self.script.backend_faults[index];
        let (what, degree) = (trouble.what, if begins { trouble.degree } else { 0.0 });
        let at = &mut self.boxes[at_box];
        match what {
            BackendFaultKind::Reset => at.resets = degree,
            BackendFaultKind::Spoil => at.spoils = degree,
            BackendFaultKind::Crash if begins => self.crash(at_box),
            BackendFaultKind::Crash => self.start(at_box),
            BackendFaultKind::Drain => {
                at.drains = begins;
                if let Some(model) = &mut at.model {
                    model.set_drains(begins);
                }
                self.tell_all(at_box);
            }
            BackendFaultKind::Hang | BackendFaultKind::Pause | BackendFaultKind::Slow => {
                let Some(model) = &mut at.model else { return };
                match what {
                    BackendFaultKind::Hang => model.set_hangs(begins),
                    BackendFaultKind::Pause => model.set_stands(begins),
                    _ => model.set_slow(degree),
                }
            }
            // Of what goes wrong with connections this mode knows only those that break under a request.
            BackendFaultKind::ResetRequest
            | BackendFaultKind::BreakAnswer
            | BackendFaultKind::CloseAfter
            | BackendFaultKind::Silence
            | BackendFaultKind::ResetNew
            | BackendFaultKind::AcceptLate
            | BackendFaultKind::DiscoveryDown => {}
        }
    }

    pub(super) fn crash(&mut self, at_box: usize) {
        let at = &mut self.boxes[at_box];
        if at.model.take().is_none() {
            return;
        }
        at.due = Micros::MAX;
        for which in std::mem::take(&mut at.holds) {
            let way = self.way(which);
            self.after(way, Event::ToProxy { which, outcome: Sent::Reset });
        }
        self.tell_all(at_box);
    }

    pub(super) fn start(&mut self, at_box: usize) {
        let (spec, now) = (self.script.box_spec(at_box), self.now);
        let at = &mut self.boxes[at_box];
        if at.model.is_some() {
            return;
        }
        at.model = Some(BackendModel::new(spec, now, Some(now)));
        at.started = Some(now);
        self.record.add(now, Observation::BackendStarted { backend: at_box });
        self.tell_all(at_box);
    }
}
