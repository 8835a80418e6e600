//! Processes of a day in virtual time: killed, told to end, stopped, started anew; and the front that deals requests out
//! among them.

use super::{Event, World, add, engine};
use crate::invariant_checker::Observation;
use crate::plan::ProcessAction;
use crate::script::{InitialList, micros};
use balancer::api::{MembershipUpdate, Micros};

/// How long after its start a process has discovery's list.
const FIRST_LIST: Micros = 20_000;

/// A proxy's process.
#[derive(Clone, Default)]
pub(super) struct Process {
    /// Counts its processes.
    pub(super) life: u32,
    /// Since when it is gone.
    gone: Option<Micros>,
    /// It was told to end; the front knows.
    ending: bool,
    stopped: bool,
    /// What happened to it while it stood, and requests that came.
    deferred: Vec<Event>,
    kept: Vec<usize>,
}

impl Process {
    pub(super) fn runs(&self) -> bool {
        self.gone.is_none()
    }

    /// Whether an event has to wait until it goes on, or comes to nothing as the process is gone.
    pub(super) fn defers(&mut self, event: Event) -> bool {
        if self.stopped {
            self.deferred.push(event);
        }
        self.stopped || self.gone.is_some()
    }

    /// Whether a request has to wait in the socket of a process that stands.
    pub(super) fn keeps(&mut self, which: usize) -> bool {
        if self.stopped {
            self.kept.push(which);
        }
        self.stopped
    }
}

impl World<'_> {
    /// The proxy that gets a request meant for this one: `None` where the front has not noticed that it is gone.
    pub(super) fn front(&mut self, meant: usize) -> Option<usize> {
        let process = &self.processes[meant];
        match process.gone {
            None if !process.ending => return Some(meant),
            Some(since) if self.now < since + micros(self.script.fleet.front_end_detection_s) => return None,
            _ => {}
        }
        let serves = |proxy: usize| self.processes[proxy].runs() && !self.processes[proxy].ending;
        self.script.in_place_of(meant, serves, &mut self.rng)
    }

    pub(super) fn process(&mut self, which: usize) {
        let event = self.plan.processes[which];
        let proxy = event.proxy;
        match event.action {
            ProcessAction::Kill => {
                self.record.add(self.now, Observation::ProxyKilled { proxy });
                self.gone(proxy);
            }
            ProcessAction::Term => self.processes[proxy].ending = true,
            // By now it has ended by itself, unless it owes answers, which is then a broken rule.
            ProcessAction::Reap => self.gone(proxy),
            ProcessAction::Start(list) => self.start_again(proxy, list),
            ProcessAction::Stop(until) if self.processes[proxy].runs() => {
                self.record.add(self.now, Observation::ProxyStalled { proxy, until: super::START + until });
                self.processes[proxy].stopped = true;
            }
            ProcessAction::Continue => self.go_on(proxy),
            ProcessAction::Stop(_) | ProcessAction::Replace => {}
        }
    }

    fn gone(&mut self, proxy: usize) {
        let process = &mut self.processes[proxy];
        process.gone.get_or_insert(self.now);
        process.stopped = false;
        process.deferred.clear();
        process.kept.clear();
        self.proxy_due[proxy] = Micros::MAX;
    }

    fn start_again(&mut self, proxy: usize, list: InitialList) {
        let life = self.processes[proxy].life + 1;
        // The settings were good when the day began.
        let Ok(new) = engine(self.script, proxy, life, self.now) else { return };
        let old = std::mem::replace(&mut self.proxies[proxy], new);
        add(&mut self.past.0, &mut self.past.1, old.counts(), old.lease_counts());
        self.processes[proxy] = Process { life, ..Process::default() };
        self.proxy_due[proxy] = Micros::MAX;
        self.record.add(self.now, Observation::ProxyRestarted { proxy });
        if list == InitialList::Old {
            self.proxies[proxy]
                .update_membership(self.now, MembershipUpdate::CachedSnapshot(&self.first_list));
            self.obey(proxy);
        }
        self.after(FIRST_LIST, Event::FirstList(proxy));
    }

    /// The whole list as discovery has it, told at once.
    pub(super) fn first_list(&mut self, proxy: usize) {
        if self.discovery_down > 0 {
            return self.unsaid.push(Event::FirstList(proxy));
        }
        let list: Vec<_> = (0..self.boxes.len()).map(|at_box| self.entry(at_box)).collect();
        for (at_box, entry) in list.iter().enumerate() {
            let ready = entry.readiness == balancer::api::Readiness::Ready;
            self.record.add(self.now, Observation::BackendNotified { proxy, backend: at_box, ready });
        }
        self.proxies[proxy].update_membership(self.now, MembershipUpdate::Snapshot(&list));
        self.obey(proxy);
    }

    /// It goes on: what it had set itself is due at once, then it reads what came, in order.
    fn go_on(&mut self, proxy: usize) {
        let process = &mut self.processes[proxy];
        process.stopped = false;
        let (deferred, kept) = (std::mem::take(&mut process.deferred), std::mem::take(&mut process.kept));
        for event in deferred {
            self.happen(event);
        }
        for which in kept {
            self.reach_proxy(proxy, which);
        }
    }
}
