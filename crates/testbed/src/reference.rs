//! Reference policies: simple load-balancing policies with the same arrivals, backends and backend faults, in
//! virtual time. Pure. Process and link faults are left out: the results show what load distribution alone
//! achieves.

use crate::backend_model::{Admission, BackendModel};
use crate::invariant_checker::{Observation, ObservationLog, ResponseKind};
use crate::plan::Plan;
use crate::script::{BackendFault, BackendFaultKind, Script, micros};
use balancer::api::Micros;
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// Start of a scenario on the simulation's clock, microseconds; not 0, so that no time of an event is 0.
pub const START: Micros = 1_000_000_000;
/// Queue timeout of a request: its deadline divided by this, as in the proxy.
const QUEUE_TIMEOUT_DIVISOR: Micros = 10;

/// A backend selection policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// A random backend.
    Random,
    /// Each proxy uses the backends in rotation, from a random start.
    RoundRobin,
    /// The one of two random backends with fewer outstanding requests of this proxy.
    TwoChoices,
    /// One central queue, which dispatches to free cores as if it observed them without delay.
    #[serde(rename = "knows-all")]
    CentralQueue,
}

impl Policy {
    /// All policies, in the order in which they are reported.
    pub const ALL: [Self; 4] = [Self::CentralQueue, Self::TwoChoices, Self::RoundRobin, Self::Random];
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    BackendTimer(usize),
    Fault { index: usize, starts: bool },
    RequestArrives(usize),
    QueueTimeout(usize),
}

struct Simulation<'a> {
    script: &'a Script,
    plan: &'a Plan,
    policy: Policy,
    rng: fastrand::Rng,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    sequence: u64,
    backends: Vec<Option<BackendModel>>,
    /// Time of the next timer of each backend; `Micros::MAX` without one.
    due: Vec<Micros>,
    draining: Vec<bool>,
    /// Requests in flight at each backend, as indices into the plan.
    in_flight: Vec<Vec<usize>>,
    /// Outstanding requests by proxy and backend.
    outstanding: Vec<Vec<u16>>,
    /// The backend that each proxy used last under [`Policy::RoundRobin`].
    last_used: Vec<usize>,
    queue: VecDeque<usize>,
    log: ObservationLog,
}

/// Simulates a scenario; returns what clients and backends observed.
#[must_use]
pub fn simulate(script: &Script, plan: &Plan, policy: Policy) -> ObservationLog {
    let mut simulation = Simulation::new(script, plan, policy);
    while let Some(Reverse((at, _, event))) = simulation.events.pop() {
        match event {
            Event::BackendTimer(backend) if simulation.due[backend] == at => simulation.on_timer(at, backend),
            Event::BackendTimer(_) => {}
            Event::Fault { index, starts } => simulation.apply_fault(at, index, starts),
            Event::RequestArrives(index) => simulation.request_arrives(at, index),
            Event::QueueTimeout(index) => simulation.queue_timed_out(at, index),
        }
    }
    simulation.log
}

impl<'a> Simulation<'a> {
    fn new(script: &'a Script, plan: &'a Plan, policy: Policy) -> Self {
        let (backends, proxies) = (script.fleet.backends, script.fleet.proxies);
        let mut rng = fastrand::Rng::with_seed(script.seed ^ 0x7265_6665_7265_6e63);
        let last_used = (0..proxies).map(|_| rng.usize(0..backends)).collect();
        let model = |backend| Some(BackendModel::new(script.backend_spec(backend), START, None));
        let mut simulation = Self {
            script,
            plan,
            policy,
            rng,
            events: BinaryHeap::new(),
            sequence: 0,
            backends: (0..backends).map(model).collect(),
            due: vec![Micros::MAX; backends],
            draining: vec![false; backends],
            in_flight: vec![Vec::new(); backends],
            outstanding: vec![vec![0; backends]; proxies],
            last_used,
            queue: VecDeque::new(),
            log: ObservationLog::default(),
        };
        for (index, fault) in script.backend_faults.iter().enumerate() {
            simulation.schedule(START + micros(fault.at_s), Event::Fault { index, starts: true });
            simulation
                .schedule(START + micros(fault.at_s + fault.for_s), Event::Fault { index, starts: false });
        }
        for (index, arrival) in plan.arrivals.iter().enumerate() {
            simulation.schedule(START + arrival.at, Event::RequestArrives(index));
        }
        simulation
    }

    fn schedule(&mut self, at: Micros, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn request_arrives(&mut self, now: Micros, index: usize) {
        let arrival = self.plan.arrivals[index];
        let (class, proxy) = (usize::from(arrival.class), usize::from(arrival.proxy));
        let timeout = self.script.classes[class].deadline_ms * 1_000;
        self.log
            .add(now, Observation::RequestSent { id: index as u64, class, deadline: now + timeout, proxy });
        if self.policy == Policy::CentralQueue {
            self.queue.push_back(index);
            self.schedule(now + timeout / QUEUE_TIMEOUT_DIVISOR, Event::QueueTimeout(index));
            return self.serve_queue(now);
        }
        let Some(backend) = self.choose(proxy) else {
            return self.respond(now, index, ResponseKind::Rejected);
        };
        self.send(now, index, backend);
    }

    fn is_ready(&self, backend: usize) -> bool {
        self.backends[backend].is_some() && !self.draining[backend]
    }

    /// Selects a backend for a request of this proxy; `None` if no backend is ready.
    fn choose(&mut self, proxy: usize) -> Option<usize> {
        let ready: Vec<usize> = (0..self.backends.len()).filter(|&b| self.is_ready(b)).collect();
        if ready.is_empty() {
            return None;
        }
        let mut random = || ready[self.rng.usize(0..ready.len())];
        Some(match self.policy {
            Policy::RoundRobin => {
                let next = ready.partition_point(|&b| b <= self.last_used[proxy]) % ready.len();
                self.last_used[proxy] = ready[next];
                ready[next]
            }
            Policy::TwoChoices => {
                let (a, b) = (random(), random());
                if self.outstanding[proxy][b] < self.outstanding[proxy][a] { b } else { a }
            }
            Policy::Random | Policy::CentralQueue => random(),
        })
    }

    /// Dispatches queued requests in order to backends with a free core, at random among the fastest of them.
    fn serve_queue(&mut self, now: Micros) {
        while let Some(&index) = self.queue.front() {
            for backend in 0..self.backends.len() {
                self.advance_model(now, backend);
            }
            let has_free_core = |b: &usize| {
                let cores = self.script.fleet.cores.ceil() as usize;
                self.is_ready(*b)
                    && self.backends[*b].as_ref().is_some_and(|model| model.open_requests() < cores)
            };
            let free: Vec<usize> = (0..self.backends.len()).filter(has_free_core).collect();
            let max_speed = free.iter().map(|&b| self.script.speed(b)).fold(0.0, f64::max);
            let fastest: Vec<usize> =
                free.into_iter().filter(|&b| self.script.speed(b) >= max_speed).collect();
            if fastest.is_empty() {
                return;
            }
            self.queue.pop_front();
            let backend = fastest[self.rng.usize(0..fastest.len())];
            self.send(now, index, backend);
        }
    }

    fn queue_timed_out(&mut self, now: Micros, index: usize) {
        if let Some(position) = self.queue.iter().position(|&queued| queued == index) {
            self.queue.remove(position);
            self.respond(now, index, ResponseKind::Rejected);
        }
    }

    fn send(&mut self, now: Micros, index: usize, backend: usize) {
        self.advance_model(now, backend);
        let arrival = self.plan.arrivals[index];
        let Some(model) = &mut self.backends[backend] else {
            return self.respond(now, index, ResponseKind::Failed);
        };
        if model.arrive(now, index as u64, arrival.work) == Admission::Rejected {
            self.log.add(now, Observation::AttemptRejected { id: index as u64, backend });
            return self.respond(now, index, ResponseKind::Rejected);
        }
        self.log.add(now, Observation::AttemptStarted { id: index as u64, backend, work: arrival.work });
        self.in_flight[backend].push(index);
        self.outstanding[usize::from(arrival.proxy)][backend] += 1;
        self.schedule_backend(backend);
    }

    /// Logs the response to a request.
    fn respond(&mut self, now: Micros, index: usize, kind: ResponseKind) {
        let arrival = self.plan.arrivals[index];
        let timeout = self.script.classes[usize::from(arrival.class)].deadline_ms * 1_000;
        // The client disconnects at its deadline: a later response counts as a failure at the deadline.
        let at = now.min(START + arrival.at + timeout);
        let kind = if at < now { ResponseKind::Failed } else { kind };
        self.log.add(at, Observation::ResponseReceived { id: index as u64, kind });
    }

    fn schedule_backend(&mut self, backend: usize) {
        let next = self.backends[backend].as_ref().and_then(BackendModel::next).unwrap_or(Micros::MAX);
        if std::mem::replace(&mut self.due[backend], next) != next && next < Micros::MAX {
            self.schedule(next, Event::BackendTimer(backend));
        }
    }

    /// Advances a backend's model to this time and logs the responses that it completed.
    fn advance_model(&mut self, now: Micros, backend: usize) {
        let completed = self.backends[backend].as_mut().map_or_else(Vec::new, |model| model.advance(now));
        for index in completed {
            self.release(backend, index as usize);
            self.respond(now, index as usize, ResponseKind::Served);
        }
    }

    /// Removes a request from those in flight at a backend.
    fn release(&mut self, backend: usize, index: usize) {
        self.in_flight[backend].retain(|&other| other != index);
        let outstanding = &mut self.outstanding[usize::from(self.plan.arrivals[index].proxy)][backend];
        *outstanding = outstanding.saturating_sub(1);
    }

    fn on_timer(&mut self, now: Micros, backend: usize) {
        self.due[backend] = Micros::MAX;
        self.advance_model(now, backend);
        self.schedule_backend(backend);
        if self.policy == Policy::CentralQueue {
            self.serve_queue(now);
        }
    }

    fn apply_fault(&mut self, now: Micros, index: usize, starts: bool) {
        for backend in self.script.faulty_backends(index) {
            self.advance_model(now, backend);
            self.apply_fault_to(now, backend, &self.script.backend_faults[index], starts);
            self.schedule_backend(backend);
        }
        if self.policy == Policy::CentralQueue {
            self.serve_queue(now);
        }
    }

    fn apply_fault_to(&mut self, now: Micros, backend: usize, fault: &BackendFault, starts: bool) {
        match (fault.kind, &mut self.backends[backend]) {
            (BackendFaultKind::Crash, model) if starts => {
                *model = None;
                for index in std::mem::take(&mut self.in_flight[backend]) {
                    self.release(backend, index);
                    self.respond(now, index, ResponseKind::Failed);
                }
            }
            (BackendFaultKind::Crash, model) => {
                *model = Some(BackendModel::new(self.script.backend_spec(backend), now, Some(now)));
                self.log.add(now, Observation::BackendStarted { backend });
            }
            (BackendFaultKind::Drain, _) => self.draining[backend] = starts,
            (BackendFaultKind::Hang, Some(model)) => {
                model.set_hanging(starts);
                if !starts {
                    self.fail_unanswered(now, backend);
                }
            }
            (BackendFaultKind::Pause, Some(model)) => model.set_paused(starts),
            (BackendFaultKind::Slow, Some(model)) => {
                model.set_slowdown(if starts { fault.severity } else { 1.0 });
            }
            // Connection faults are left out: they do not depend on the load distribution.
            _ => {}
        }
    }

    /// Fails the requests that a hanging backend accepted and will never answer.
    fn fail_unanswered(&mut self, now: Micros, backend: usize) {
        let retained = self.backends[backend].as_ref().map_or(0, BackendModel::open_requests);
        let unanswered = self.in_flight[backend].len().saturating_sub(retained);
        let remaining = self.in_flight[backend].len() - unanswered;
        for index in self.in_flight[backend].split_off(remaining) {
            self.release(backend, index);
            self.respond(now, index, ResponseKind::Failed);
        }
    }
}

#[cfg(test)]
mod tests;
