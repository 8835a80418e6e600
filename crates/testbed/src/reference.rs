//! What plain choices would have made of the same arrivals, before the same boxes with the same troubles. Pure, in
//! virtual time. References have no processes that fail and no links: they are what spread alone can reach.

use crate::backend_model::{Admission, BackendModel};
use crate::invariant_checker::{Observation, ObservationLog, ResponseKind};
use crate::plan::Plan;
use crate::script::{BackendFault, BackendFaultKind, Script, micros};
use balancer::api::Micros;
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// When a day begins on a reference's clock, so that no time is 0.
pub const START: Micros = 1_000_000_000;
/// The queue holds a request for this part of its time, as the design does.
const HOLD_PART: Micros = 10;

/// A way to choose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Any box, by chance.
    Random,
    /// Each proxy goes through the boxes in turn, from a place of its own.
    RoundRobin,
    /// Of two boxes by chance the one of which this proxy has less out.
    TwoChoices,
    /// One queue for all, that sees which cores are free.
    KnowsAll,
}

impl Policy {
    /// All of them.
    pub const ALL: [Self; 4] = [Self::KnowsAll, Self::TwoChoices, Self::RoundRobin, Self::Random];
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Box(usize),
    Trouble { index: usize, begins: bool },
    Ask(usize),
    Held(usize),
}

struct World<'a> {
    script: &'a Script,
    plan: &'a Plan,
    policy: Policy,
    rng: fastrand::Rng,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    sequence: u64,
    boxes: Vec<Option<BackendModel>>,
    due: Vec<Micros>,
    drains: Vec<bool>,
    /// Requests that a box holds, by their place in the plan.
    holds: Vec<Vec<usize>>,
    /// What each proxy has out at each box, and where it goes on in turn.
    out: Vec<Vec<u16>>,
    turn: Vec<usize>,
    queue: VecDeque<usize>,
    record: ObservationLog,
}

/// Plays a day; gives what a stand-in would have seen.
#[must_use]
pub fn play(script: &Script, plan: &Plan, policy: Policy) -> ObservationLog {
    let mut world = World::new(script, plan, policy);
    while let Some(Reverse((at, _, event))) = world.events.pop() {
        match event {
            Event::Box(at_box) if world.due[at_box] == at => world.advance(at, at_box),
            Event::Box(_) => {}
            Event::Trouble { index, begins } => world.trouble(at, index, begins),
            Event::Ask(which) => world.ask(at, which),
            Event::Held(which) => world.give_up(at, which),
        }
    }
    world.record
}

impl<'a> World<'a> {
    fn new(script: &'a Script, plan: &'a Plan, policy: Policy) -> Self {
        let (boxes, proxies) = (script.fleet.backends, script.fleet.proxies);
        let mut rng = fastrand::Rng::with_seed(script.seed ^ 0x7265_6665_7265_6e63);
        let turn = (0..proxies).map(|_| rng.usize(0..boxes)).collect();
        let model = |b| Some(BackendModel::new(script.box_spec(b), START, None));
        let mut world = Self {
            script,
            plan,
            policy,
            rng,
            events: BinaryHeap::new(),
            sequence: 0,
            boxes: (0..boxes).map(model).collect(),
            due: vec![Micros::MAX; boxes],
            drains: vec![false; boxes],
            holds: vec![Vec::new(); boxes],
            out: vec![vec![0; boxes]; proxies],
            turn,
            queue: VecDeque::new(),
            record: ObservationLog::default(),
        };
        for (index, trouble) in script.backend_faults.iter().enumerate() {
            world.at(START + micros(trouble.at_s), Event::Trouble { index, begins: true });
            world.at(START + micros(trouble.at_s + trouble.for_s), Event::Trouble { index, begins: false });
        }
        for (which, arrival) in plan.arrivals.iter().enumerate() {
            world.at(START + arrival.at, Event::Ask(which));
        }
        world
    }

    fn at(&mut self, at: Micros, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn ask(&mut self, now: Micros, which: usize) {
        let arrival = self.plan.arrivals[which];
        let (class, proxy) = (usize::from(arrival.class), usize::from(arrival.proxy));
        let patience = self.script.classes[class].deadline_ms * 1_000;
        self.record
            .add(now, Observation::RequestSent { id: which as u64, class, end: now + patience, proxy });
        if self.policy == Policy::KnowsAll {
            self.queue.push_back(which);
            self.at(now + patience / HOLD_PART, Event::Held(which));
            return self.serve_queue(now);
        }
        let Some(at_box) = self.choose(proxy) else { return self.answer(now, which, ResponseKind::Rejected) };
        self.send(now, which, at_box);
    }

    fn ready(&self, at_box: usize) -> bool {
        self.boxes[at_box].is_some() && !self.drains[at_box]
    }

    fn choose(&mut self, proxy: usize) -> Option<usize> {
        let ready: Vec<usize> = (0..self.boxes.len()).filter(|&b| self.ready(b)).collect();
        if ready.is_empty() {
            return None;
        }
        let mut any = || ready[self.rng.usize(0..ready.len())];
        Some(match self.policy {
            Policy::RoundRobin => {
                let next = ready.partition_point(|&b| b <= self.turn[proxy]) % ready.len();
                self.turn[proxy] = ready[next];
                ready[next]
            }
            Policy::TwoChoices => {
                let (a, b) = (any(), any());
                if self.out[proxy][b] < self.out[proxy][a] { b } else { a }
            }
            Policy::Random | Policy::KnowsAll => any(),
        })
    }

    /// Gives the longest waiting one to a box with a free core, for as long as there is one. A box that is cold or slow
    /// counts as what it is.
    fn serve_queue(&mut self, now: Micros) {
        while let Some(&which) = self.queue.front() {
            for at_box in 0..self.boxes.len() {
                self.catch_up(now, at_box);
            }
            let free = |b: &usize| {
                let cores = self.script.fleet.cores.ceil() as usize;
                self.ready(*b) && self.boxes[*b].as_ref().is_some_and(|model| model.held() < cores)
            };
            let free: Vec<usize> = (0..self.boxes.len()).filter(free).collect();
            let fastest = free.iter().map(|&b| self.script.speed(b)).fold(0.0, f64::max);
            let best: Vec<usize> = free.into_iter().filter(|&b| self.script.speed(b) >= fastest).collect();
            if best.is_empty() {
                return;
            }
            self.queue.pop_front();
            let at_box = best[self.rng.usize(0..best.len())];
            self.send(now, which, at_box);
        }
    }

    fn give_up(&mut self, now: Micros, which: usize) {
        if let Some(place) = self.queue.iter().position(|&w| w == which) {
            self.queue.remove(place);
            self.answer(now, which, ResponseKind::Rejected);
        }
    }

    fn send(&mut self, now: Micros, which: usize, at_box: usize) {
        self.catch_up(now, at_box);
        let arrival = self.plan.arrivals[which];
        let Some(model) = &mut self.boxes[at_box] else {
            return self.answer(now, which, ResponseKind::Failed);
        };
        if model.arrive(now, which as u64, arrival.work) == Admission::Rejected {
            self.record.add(now, Observation::AttemptRejected { id: which as u64, backend: at_box });
            return self.answer(now, which, ResponseKind::Rejected);
        }
        self.record
            .add(now, Observation::AttemptStarted { id: which as u64, backend: at_box, work: arrival.work });
        self.holds[at_box].push(which);
        self.out[usize::from(arrival.proxy)][at_box] += 1;
        self.look_again(at_box);
    }

    fn answer(&mut self, now: Micros, which: usize, got: ResponseKind) {
        let arrival = self.plan.arrivals[which];
        let patience = self.script.classes[usize::from(arrival.class)].deadline_ms * 1_000;
        // Whoever is not answered in its time has left; a plain choice ends the request then.
        let at = now.min(START + arrival.at + patience);
        let got = if at < now { ResponseKind::Failed } else { got };
        self.record.add(at, Observation::ResponseReceived { id: which as u64, kind: got });
    }

    fn look_again(&mut self, at_box: usize) {
        let next = self.boxes[at_box].as_ref().and_then(BackendModel::next).unwrap_or(Micros::MAX);
        if std::mem::replace(&mut self.due[at_box], next) != next && next < Micros::MAX {
            self.at(next, Event::Box(at_box));
        }
    }

    /// Lets a box get on to this time.
    fn catch_up(&mut self, now: Micros, at_box: usize) {
        let done = self.boxes[at_box].as_mut().map_or_else(Vec::new, |model| model.advance(now));
        for which in done {
            self.leaves(at_box, which as usize);
            self.answer(now, which as usize, ResponseKind::Served);
        }
    }

    fn leaves(&mut self, at_box: usize, which: usize) {
        self.holds[at_box].retain(|&w| w != which);
        let out = &mut self.out[usize::from(self.plan.arrivals[which].proxy)][at_box];
        *out = out.saturating_sub(1);
    }

    fn advance(&mut self, now: Micros, at_box: usize) {
        self.due[at_box] = Micros::MAX;
        self.catch_up(now, at_box);
        self.look_again(at_box);
        if self.policy == Policy::KnowsAll {
            self.serve_queue(now);
        }
    }

    fn trouble(&mut self, now: Micros, index: usize, begins: bool) {
        for at_box in self.script.faulty_backends(index) {
            self.catch_up(now, at_box);
            self.strike(now, at_box, &self.script.backend_faults[index], begins);
            self.look_again(at_box);
        }
        if self.policy == Policy::KnowsAll {
            self.serve_queue(now);
        }
    }

    fn strike(&mut self, now: Micros, at_box: usize, trouble: &BackendFault, begins: bool) {
        match (trouble.what, &mut self.boxes[at_box]) {
            (BackendFaultKind::Crash, model) if begins => {
                *model = None;
                for which in std::mem::take(&mut self.holds[at_box]) {
                    self.leaves(at_box, which);
                    self.answer(now, which, ResponseKind::Failed);
                }
            }
            (BackendFaultKind::Crash, model) => {
                *model = Some(BackendModel::new(self.script.box_spec(at_box), now, Some(now)));
                self.record.add(now, Observation::BackendStarted { backend: at_box });
            }
            (BackendFaultKind::Drain, _) => self.drains[at_box] = begins,
            (BackendFaultKind::Hang, Some(model)) => {
                model.set_hangs(begins);
                if !begins {
                    self.let_go_swallowed(now, at_box);
                }
            }
            (BackendFaultKind::Pause, Some(model)) => model.set_stands(begins),
            (BackendFaultKind::Slow, Some(model)) => {
                model.set_slow(if begins { trouble.degree } else { 1.0 })
            }
            // What goes wrong with connections is no matter of the choice.
            _ => {}
        }
    }

    /// What a hung box took is answered by nobody.
    fn let_go_swallowed(&mut self, now: Micros, at_box: usize) {
        let held = self.boxes[at_box].as_ref().map_or(0, BackendModel::held);
        let swallowed = self.holds[at_box].len().saturating_sub(held);
        let kept = self.holds[at_box].len() - swallowed;
        for which in self.holds[at_box].split_off(kept) {
            self.leaves(at_box, which);
            self.answer(now, which, ResponseKind::Failed);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::invariant_checker::check;
    use std::path::Path;

    fn day(load: f64, more: &str) -> Script {
        let text = format!(
            "seed = 3\nseconds = 20.0\nfleet = {{ boxes = 60, proxies = 200, zones = 1, cells = 1, cores = 1.0, holds = 8.0 }}\n\
             {more}\n[traffic]\nper_s = {}\n[[class]]\nname = \"r\"\neffect = \"safe\"\nshare = 1.0\nwork = \"exponential\"\n\
             work_ms = [0.01, 79.99]\naim_ms = 540\ndeadline_ms = 1500\nworth = 1.0\n",
            1_500.0 * load
        );
        Script::parse(&text, Path::new("reference.toml")).expect("a good script")
    }

    #[test]
    fn figures_are_those_of_the_known_queues() {
        let script = day(0.6, "");
        let plan = Plan::draw(&script);
        let judged = |policy| check(&script, &play(&script, &plan, policy), 0);
        let (all, chance) = (judged(Policy::KnowsAll), judged(Policy::Random));
        // 60 servers at 60 % hardly ever let one wait: answers take their work, whose 99th part in 100 is 184 ms.
        assert!((150_000..220_000).contains(&all.percentile(0.99)), "{all}");
        assert_eq!((all.violations, all.total.rejected), ([0; 4], 0));
        // One server that holds 8 at 60 % turns 0.7 % away.
        let part = chance.total.rejected as f64 / chance.total.requests as f64;
        assert!((0.003..0.012).contains(&part), "{chance}");
        assert_eq!(chance.violations, [0; 4]);
        let turns = judged(Policy::RoundRobin);
        assert!(judged(Policy::TwoChoices).total.goodput() > 0.9 && turns.total.goodput() > 0.9);
    }

    #[test]
    fn every_request_ends_also_where_boxes_crash_hang_and_drain() {
        let trouble = |what| format!("{{ what = \"{what}\", at_s = 5.0, for_s = 4.0, part = 0.2 }}");
        let list = ["crash", "hang", "drain", "pause"].map(trouble).join(", ");
        let script = day(0.5, &format!("trouble = [{list}]"));
        let plan = Plan::draw(&script);
        for policy in Policy::ALL {
            let judged = check(&script, &play(&script, &plan, policy), 0);
            assert_eq!(judged.violations[0], 0, "{policy:?}: {judged}");
            assert!(judged.total.failed + judged.total.rejected > 0, "{policy:?}: the troubles do harm");
        }
    }
}
