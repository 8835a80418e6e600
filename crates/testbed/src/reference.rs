//! Reference policies: simple load-balancing policies with the same arrivals, backends and backend faults, in virtual
//! time. Pure. They have no process or link faults: they show what load distribution alone achieves.

use crate::backend_model::{Admission, BackendModel};
use crate::invariant_checker::{Observation, ObservationLog, ResponseKind};
use crate::plan::Plan;
use crate::script::{BackendFault, BackendFaultKind, Script, micros};
use balancer::api::Micros;
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// Start of a scenario on the reference's clock, microseconds, so that no time is 0.
pub const START: Micros = 1_000_000_000;
/// A request waits in the queue for at most its deadline over this, as in the proxy.
const QUEUE_TIMEOUT_DIVISOR: Micros = 10;

/// A backend selection policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// A random backend.
    Random,
    /// Each proxy uses the backends in turn, from a random start.
    RoundRobin,
    /// The one of two random backends with fewer outstanding requests of this proxy.
    TwoChoices,
    /// One central queue that knows which cores are free.
    KnowsAll,
}

impl Policy {
    /// All policies.
    pub const ALL: [Self; 4] = [Self::KnowsAll, Self::TwoChoices, Self::RoundRobin, Self::Random];
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
    due: Vec<Micros>,
    draining: Vec<bool>,
    /// Requests in flight at each backend, as indices into the plan.
    in_flight: Vec<Vec<usize>>,
    /// Outstanding requests by proxy and backend.
    outstanding: Vec<Vec<u16>>,
    /// The backend that each proxy used last in turn.
    last_turn: Vec<usize>,
    queue: VecDeque<usize>,
    log: ObservationLog,
}

/// Simulates a scenario; returns what clients and backends observed.
#[must_use]
pub fn play(script: &Script, plan: &Plan, policy: Policy) -> ObservationLog {
    let mut simulation = Simulation::new(script, plan, policy);
    while let Some(Reverse((at, _, event))) = simulation.events.pop() {
        match event {
            Event::BackendTimer(backend) if simulation.due[backend] == at => simulation.advance(at, backend),
            Event::BackendTimer(_) => {}
            Event::Fault { index, starts } => simulation.apply_fault(at, index, starts),
            Event::RequestArrives(index) => simulation.request_arrives(at, index),
            Event::QueueTimeout(index) => simulation.give_up(at, index),
        }
    }
    simulation.log
}

impl<'a> Simulation<'a> {
    fn new(script: &'a Script, plan: &'a Plan, policy: Policy) -> Self {
        let (backends, proxies) = (script.fleet.backends, script.fleet.proxies);
        let mut rng = fastrand::Rng::with_seed(script.seed ^ 0x7265_6665_7265_6e63);
        let last_turn = (0..proxies).map(|_| rng.usize(0..backends)).collect();
        let model = |b| Some(BackendModel::new(script.box_spec(b), START, None));
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
            last_turn,
            queue: VecDeque::new(),
            log: ObservationLog::default(),
        };
        for (index, fault) in script.backend_faults.iter().enumerate() {
            simulation.at(START + micros(fault.at_s), Event::Fault { index, starts: true });
            simulation.at(START + micros(fault.at_s + fault.for_s), Event::Fault { index, starts: false });
        }
        for (index, arrival) in plan.arrivals.iter().enumerate() {
            simulation.at(START + arrival.at, Event::RequestArrives(index));
        }
        simulation
    }

    fn at(&mut self, at: Micros, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn request_arrives(&mut self, now: Micros, index: usize) {
        let arrival = self.plan.arrivals[index];
        let (class, proxy) = (usize::from(arrival.class), usize::from(arrival.proxy));
        let timeout = self.script.classes[class].deadline_ms * 1_000;
        self.log.add(now, Observation::RequestSent { id: index as u64, class, end: now + timeout, proxy });
        if self.policy == Policy::KnowsAll {
            self.queue.push_back(index);
            self.at(now + timeout / QUEUE_TIMEOUT_DIVISOR, Event::QueueTimeout(index));
            return self.serve_queue(now);
        }
        let Some(backend) = self.choose(proxy) else {
            return self.answer(now, index, ResponseKind::Rejected);
        };
        self.send(now, index, backend);
    }

    fn ready(&self, backend: usize) -> bool {
        self.backends[backend].is_some() && !self.draining[backend]
    }

    fn choose(&mut self, proxy: usize) -> Option<usize> {
        let ready: Vec<usize> = (0..self.backends.len()).filter(|&b| self.ready(b)).collect();
        if ready.is_empty() {
            return None;
        }
        let mut any = || ready[self.rng.usize(0..ready.len())];
        Some(match self.policy {
            Policy::RoundRobin => {
                let next = ready.partition_point(|&b| b <= self.last_turn[proxy]) % ready.len();
                self.last_turn[proxy] = ready[next];
                ready[next]
            }
            Policy::TwoChoices => {
                let (a, b) = (any(), any());
                if self.outstanding[proxy][b] < self.outstanding[proxy][a] { b } else { a }
            }
            Policy::Random | Policy::KnowsAll => any(),
        })
    }

    /// Dispatches queued requests in order to backends with a free core, the fastest first.
    fn serve_queue(&mut self, now: Micros) {
        while let Some(&index) = self.queue.front() {
            for backend in 0..self.backends.len() {
                self.advance_model(now, backend);
            }
            let free = |b: &usize| {
                let cores = self.script.fleet.cores.ceil() as usize;
                self.ready(*b) && self.backends[*b].as_ref().is_some_and(|model| model.held() < cores)
            };
            let free: Vec<usize> = (0..self.backends.len()).filter(free).collect();
            let fastest = free.iter().map(|&b| self.script.speed(b)).fold(0.0, f64::max);
            let best: Vec<usize> = free.into_iter().filter(|&b| self.script.speed(b) >= fastest).collect();
            if best.is_empty() {
                return;
            }
            self.queue.pop_front();
            let backend = best[self.rng.usize(0..best.len())];
            self.send(now, index, backend);
        }
    }

    fn give_up(&mut self, now: Micros, index: usize) {
        if let Some(place) = self.queue.iter().position(|&w| w == index) {
            self.queue.remove(place);
            self.answer(now, index, ResponseKind::Rejected);
        }
    }

    fn send(&mut self, now: Micros, index: usize, backend: usize) {
        self.advance_model(now, backend);
        let arrival = self.plan.arrivals[index];
        let Some(model) = &mut self.backends[backend] else {
            return self.answer(now, index, ResponseKind::Failed);
        };
        if model.arrive(now, index as u64, arrival.work) == Admission::Rejected {
            self.log.add(now, Observation::AttemptRejected { id: index as u64, backend });
            return self.answer(now, index, ResponseKind::Rejected);
        }
        self.log.add(now, Observation::AttemptStarted { id: index as u64, backend, work: arrival.work });
        self.in_flight[backend].push(index);
        self.outstanding[usize::from(arrival.proxy)][backend] += 1;
        self.schedule_backend(backend);
    }

    fn answer(&mut self, now: Micros, index: usize, kind: ResponseKind) {
        let arrival = self.plan.arrivals[index];
        let timeout = self.script.classes[usize::from(arrival.class)].deadline_ms * 1_000;
        // The client disconnects at its deadline, which ends the request.
        let at = now.min(START + arrival.at + timeout);
        let kind = if at < now { ResponseKind::Failed } else { kind };
        self.log.add(at, Observation::ResponseReceived { id: index as u64, kind });
    }

    fn schedule_backend(&mut self, backend: usize) {
        let next = self.backends[backend].as_ref().and_then(BackendModel::next).unwrap_or(Micros::MAX);
        if std::mem::replace(&mut self.due[backend], next) != next && next < Micros::MAX {
            self.at(next, Event::BackendTimer(backend));
        }
    }

    /// Advances a backend's model to this time.
    fn advance_model(&mut self, now: Micros, backend: usize) {
        let done = self.backends[backend].as_mut().map_or_else(Vec::new, |model| model.advance(now));
        for index in done {
            self.release(backend, index as usize);
            self.answer(now, index as usize, ResponseKind::Served);
        }
    }

    fn release(&mut self, backend: usize, index: usize) {
        self.in_flight[backend].retain(|&w| w != index);
        let outstanding = &mut self.outstanding[usize::from(self.plan.arrivals[index].proxy)][backend];
        *outstanding = outstanding.saturating_sub(1);
    }

    fn advance(&mut self, now: Micros, backend: usize) {
        self.due[backend] = Micros::MAX;
        self.advance_model(now, backend);
        self.schedule_backend(backend);
        if self.policy == Policy::KnowsAll {
            self.serve_queue(now);
        }
    }

    fn apply_fault(&mut self, now: Micros, index: usize, starts: bool) {
        for backend in self.script.faulty_backends(index) {
            self.advance_model(now, backend);
            self.apply_fault_to(now, backend, &self.script.backend_faults[index], starts);
            self.schedule_backend(backend);
        }
        if self.policy == Policy::KnowsAll {
            self.serve_queue(now);
        }
    }

    fn apply_fault_to(&mut self, now: Micros, backend: usize, fault: &BackendFault, starts: bool) {
        match (fault.what, &mut self.backends[backend]) {
            (BackendFaultKind::Crash, model) if starts => {
                *model = None;
                for index in std::mem::take(&mut self.in_flight[backend]) {
                    self.release(backend, index);
                    self.answer(now, index, ResponseKind::Failed);
                }
            }
            (BackendFaultKind::Crash, model) => {
                *model = Some(BackendModel::new(self.script.box_spec(backend), now, Some(now)));
                self.log.add(now, Observation::BackendStarted { backend });
            }
            (BackendFaultKind::Drain, _) => self.draining[backend] = starts,
            (BackendFaultKind::Hang, Some(model)) => {
                model.set_hangs(starts);
                if !starts {
                    self.fail_swallowed(now, backend);
                }
            }
            (BackendFaultKind::Pause, Some(model)) => model.set_stands(starts),
            (BackendFaultKind::Slow, Some(model)) => model.set_slow(if starts { fault.degree } else { 1.0 }),
            // Connection faults do not concern the selection.
            _ => {}
        }
    }

    /// Fails the requests that a hanging backend swallowed.
    fn fail_swallowed(&mut self, now: Micros, backend: usize) {
        let accepted = self.backends[backend].as_ref().map_or(0, BackendModel::held);
        let swallowed = self.in_flight[backend].len().saturating_sub(accepted);
        let remaining = self.in_flight[backend].len() - swallowed;
        for index in self.in_flight[backend].split_off(remaining) {
            self.release(backend, index);
            self.answer(now, index, ResponseKind::Failed);
        }
    }
}

#[cfg(test)]
mod tests;
