//! Proxy processes in virtual time: kill, termination, stall and restart; and the front end that routes
//! requests to them.

use super::{Event, Simulation, engine};
use crate::invariant_checker::Observation;
use crate::plan::ProcessAction;
use crate::script::{InitialList, micros};
use balancer::api::{MembershipUpdate, Micros};

/// Time from the start of a process to the first snapshot from discovery, microseconds.
const SNAPSHOT_DELAY: Micros = 20_000;

/// The process of a proxy.
#[derive(Clone, Default)]
pub(super) struct Process {
    /// How often it was restarted.
    pub(super) incarnation: u32,
    /// When it ended; `None` while it runs.
    ended_at: Option<Micros>,
    /// Whether it has been asked to terminate (SIGTERM); the front end no longer routes to it.
    terminating: bool,
    stopped: bool,
    /// Events that arrived while it was stopped.
    deferred: Vec<Event>,
    queued_requests: Vec<usize>,
}

impl Process {
    pub(super) fn is_running(&self) -> bool {
        self.ended_at.is_none()
    }

    /// Defers an event while the process is stopped. Returns true where the event must not be handled now: it
    /// was deferred, or the process has ended and the event is dropped.
    pub(super) fn defer_or_drop(&mut self, event: Event) -> bool {
        if self.stopped {
            self.deferred.push(event);
        }
        self.stopped || self.ended_at.is_some()
    }

    /// Queues a request in the socket of a stopped process; returns whether it did so.
    pub(super) fn queue_if_stopped(&mut self, index: usize) -> bool {
        if self.stopped {
            self.queued_requests.push(index);
        }
        self.stopped
    }
}

impl Simulation<'_> {
    /// The proxy that receives a request intended for this one; `None` where the front end has not yet
    /// detected that its process has ended, or where no other proxy accepts requests.
    pub(super) fn route(&mut self, intended: usize) -> Option<usize> {
        let process = &self.processes[intended];
        match process.ended_at {
            None if !process.terminating => return Some(intended),
            Some(since) if self.now < since + micros(self.script.fleet.front_end_detection_s) => return None,
            _ => {}
        }
        let is_serving =
            |proxy: usize| self.processes[proxy].is_running() && !self.processes[proxy].terminating;
        self.script.replacement_for(intended, is_serving, &mut self.rng)
    }

    pub(super) fn apply_process_event(&mut self, index: usize) {
        let event = self.plan.process_events[index];
        let proxy = event.proxy;
        match event.action {
            ProcessAction::Kill => {
                self.log.add(self.now, Observation::ProxyKilled { proxy });
                self.process_ended(proxy);
            }
            ProcessAction::Term => self.processes[proxy].terminating = true,
            // A process without open requests would have ended by now; requests that are still open violate
            // rule 1.
            ProcessAction::Reap => self.process_ended(proxy),
            ProcessAction::Start(list) => self.restart(proxy, list),
            ProcessAction::Stop(until) if self.processes[proxy].is_running() => {
                self.log.add(self.now, Observation::ProxyStalled { proxy, until: super::START + until });
                self.processes[proxy].stopped = true;
            }
            ProcessAction::Continue => self.resume(proxy),
            ProcessAction::Stop(_) | ProcessAction::Replace => {}
        }
    }

    fn process_ended(&mut self, proxy: usize) {
        let process = &mut self.processes[proxy];
        process.ended_at.get_or_insert(self.now);
        process.stopped = false;
        process.deferred.clear();
        process.queued_requests.clear();
        self.proxy_due[proxy] = Micros::MAX;
    }

    fn restart(&mut self, proxy: usize, list: InitialList) {
        let incarnation = self.processes[proxy].incarnation + 1;
        // Cannot fail: the same settings were valid at the start of the scenario.
        let Ok(new) = engine(self.script, proxy, incarnation, self.now) else { return };
        let old = std::mem::replace(&mut self.proxies[proxy], new);
        self.ended_process_totals.add(old.counts(), old.lease_counts());
        self.processes[proxy] = Process { incarnation, ..Process::default() };
        self.proxy_due[proxy] = Micros::MAX;
        self.log.add(self.now, Observation::ProxyRestarted { proxy });
        if list == InitialList::Stale {
            self.proxies[proxy]
                .update_membership(self.now, MembershipUpdate::CachedSnapshot(&self.initial_snapshot));
            self.run_commands(proxy);
        }
        self.after(SNAPSHOT_DELAY, Event::SnapshotArrives(proxy));
    }

    /// Delivers discovery's current snapshot to a proxy.
    pub(super) fn deliver_snapshot(&mut self, proxy: usize) {
        if self.discovery_down > 0 {
            return self.deferred_notifications.push(Event::SnapshotArrives(proxy));
        }
        let list: Vec<_> = (0..self.backends.len()).map(|backend| self.membership_entry(backend)).collect();
        for (backend, entry) in list.iter().enumerate() {
            let ready = entry.readiness == balancer::api::Readiness::Ready;
            self.log.add(self.now, Observation::BackendNotified { proxy, backend, ready });
        }
        self.proxies[proxy].update_membership(self.now, MembershipUpdate::Snapshot(&list));
        self.run_commands(proxy);
    }

    /// Ends a stall: handles the deferred events, then reads the queued requests, each in order of arrival.
    fn resume(&mut self, proxy: usize) {
        let process = &mut self.processes[proxy];
        process.stopped = false;
        let (deferred, queued_requests) =
            (std::mem::take(&mut process.deferred), std::mem::take(&mut process.queued_requests));
        for event in deferred {
            self.handle(event);
        }
        for index in queued_requests {
            self.proxy_receives(proxy, index);
        }
    }
}
