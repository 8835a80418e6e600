//! Judges the four rules and the goodput from what the stand-ins saw. No I/O and no clock, and nothing that a proxy
//! says of itself.

use crate::links::{Link, Links};
use crate::script::{ClassSpec, Direction, IdempotencySpec, LinkEndpoints, Script, micros};
use balancer::api::Micros;
use rustc_hash::{FxHashMap, FxHashSet};
use std::fmt;

/// How long after it was told a proxy may still send to a box that drains or is gone.
pub const DRAIN_GRACE: Micros = 1_000_000;
/// Sent more than this multiple of what it can do ...
pub const FALL_MULTIPLE: f64 = 3.0;
/// ... within this time, a cold box falls over.
pub const FALL_TIME: Micros = 2_000_000;
/// What one request more or less is in the last rule: chance may bring a few together.
const FALL_SLACK_REQUESTS: f64 = 2.0;
/// Length of the windows in which the worst goodput is looked for.
const WINDOW: Micros = 5_000_000;
/// Breaks of rules that are worded one by one; all are counted.
const WORDED: usize = 20;

/// What a client got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// A box's whole answer.
    Served,
    /// 429 or 503.
    Rejected,
    /// Any other answer.
    Failed,
    /// An answer that no box made.
    Forged,
}

/// What a stand-in saw.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// A client's request was written whole to a proxy.
    RequestSent {
        /// The request.
        id: u64,
        /// Its class.
        class: usize,
        /// When the client's time ends.
        end: Micros,
        /// The proxy.
        proxy: usize,
    },
    /// The client got an answer whole.
    ResponseReceived {
        /// The request.
        id: u64,
        /// What.
        kind: ResponseKind,
    },
    /// A request's last byte reached a box, which began it (or swallowed it, which may be the same).
    AttemptStarted {
        /// The request.
        id: u64,
        /// The box.
        backend: usize,
        /// Work, microseconds on a core.
        work: Micros,
    },
    /// A request reached a box that turned it away unseen.
    AttemptRejected {
        /// The request.
        id: u64,
        /// The box.
        backend: usize,
    },
    /// A proxy was told whether a box may be sent to.
    BackendNotified {
        /// The proxy.
        proxy: usize,
        /// The box.
        backend: usize,
        /// Whether it may.
        ready: bool,
    },
    /// A box's process started, cold.
    BackendStarted {
        /// The box.
        backend: usize,
    },
    /// The connection had ended before the request was read: nobody took it, and the client may ask once more.
    RequestNotAccepted {
        /// The request.
        id: u64,
    },
    /// A client's request reached no proxy: the front went on dealing to one that was gone.
    RequestUndelivered {
        /// Its class.
        class: usize,
    },
    /// A proxy's process is killed outright: what it had taken goes with it.
    ProxyKilled {
        /// The proxy.
        proxy: usize,
    },
    /// A proxy's process is started anew: it knows nothing that its predecessor was told.
    ProxyRestarted {
        /// The proxy.
        proxy: usize,
    },
    /// A proxy's process that was started anew says that it serves.
    ProxyReady {
        /// The proxy.
        proxy: usize,
    },
    /// A proxy's process stands still until then.
    ProxyStalled {
        /// The proxy.
        proxy: usize,
        /// When it goes on.
        until: Micros,
    },
    /// A box took a new connection.
    BackendConnected {
        /// The box.
        backend: usize,
    },
    /// The day begins: faults of links count from here.
    ScenarioStarted,
    /// A proxy called discovery.
    DiscoveryCalled {
        /// The proxy.
        proxy: usize,
    },
}

/// All that was seen and when.
#[derive(Default)]
pub struct ObservationLog {
    seen: Vec<(Micros, Observation)>,
}

impl ObservationLog {
    /// Adds what was seen.
    pub fn add(&mut self, at: Micros, seen: Observation) {
        self.seen.push((at, seen));
    }

    /// Adds all that another one holds.
    pub fn append(&mut self, other: Self) {
        self.seen.extend(other.seen);
    }

    /// What was seen, in the order of time.
    #[must_use]
    pub fn in_order(&self) -> Vec<(Micros, Observation)> {
        let mut seen = self.seen.clone();
        seen.sort_by_key(|(at, _)| *at);
        seen
    }

    /// How much was seen.
    #[must_use]
    pub fn len(&self) -> usize {
        self.seen.len()
    }

    /// Whether nothing was.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.seen.is_empty()
    }
}

/// The figures of a class, or of all.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tally {
    /// Asked.
    pub requests: u64,
    /// Served within the aim.
    pub in_time: u64,
    /// Served later.
    pub late: u64,
    /// Refused.
    pub rejected: u64,
    /// Failed.
    pub failed: u64,
    /// Attempts that boxes saw.
    pub attempts: u64,
    /// Reached no proxy.
    pub undelivered: u64,
    /// Gone with a process that was killed, or without an answer in time from one that was stopped.
    pub excused: u64,
    /// Worth asked for.
    pub total_weight: f64,
    /// Worth earned.
    pub earned_weight: f64,
}

impl Tally {
    /// Worth earned over worth asked for.
    #[must_use]
    pub fn goodput(&self) -> f64 {
        if self.total_weight > 0.0 { self.earned_weight / self.total_weight } else { 1.0 }
    }
}

/// The judgement.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CheckReport {
    /// All requests.
    pub total: Tally,
    /// By class, in the script's order.
    pub classes: Vec<Tally>,
    /// Goodput of the worst window.
    pub worst_goodput: f64,
    /// Breaks of rules 1 to 4.
    pub violations: [u64; 4],
    /// The first of them in words.
    pub messages: Vec<String>,
    /// Times from asking to a served answer, ascending, microseconds.
    pub latencies: Vec<Micros>,
}

impl CheckReport {
    /// Whether no rule broke.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.violations == [0; 4]
    }

    /// The time under which this part of the served answers stayed, microseconds.
    #[must_use]
    pub fn percentile(&self, part: f64) -> Micros {
        let last = self.latencies.len().saturating_sub(1);
        self.latencies.get((last as f64 * part) as usize).copied().unwrap_or(0)
    }

    fn breaks(&mut self, rule: usize, at: Micros, words: &str) {
        self.violations[rule - 1] += 1;
        if self.messages.len() < WORDED {
            self.messages.push(format!("rule {rule} at {:.3} s: {words}", at as f64 / 1e6));
        }
    }
}

impl fmt::Display for CheckReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let all = &self.total;
        writeln!(
            f,
            "goodput {:.3}, worst 5 s {:.3}; asked {}, in time {}, late {}, refused {}, failed {}, attempts {}{}",
            all.goodput(),
            self.worst_goodput,
            all.requests,
            all.in_time,
            all.late,
            all.rejected,
            all.failed,
            all.attempts,
            match (all.undelivered, all.excused) {
                (0, 0) => String::new(),
                (missed, excused) => format!(", missed {missed}, excused {excused}"),
            }
        )?;
        let ms = |part| self.percentile(part) as f64 / 1e3;
        writeln!(f, "served within (ms): p50 {:.1}, p90 {:.1}, p99 {:.1}", ms(0.5), ms(0.9), ms(0.99))?;
        self.messages.iter().try_for_each(|line| writeln!(f, "{line}"))?;
        write!(
            f,
            "rules broken: {} {} {} {}",
            self.violations[0], self.violations[1], self.violations[2], self.violations[3]
        )
    }
}

struct Request {
    class: usize,
    asked: Micros,
    end: Micros,
    proxy: usize,
    got: Option<ResponseKind>,
    answered: Micros,
    /// Its process was killed under it, or was gone when it was written.
    killed: bool,
    /// Some proxy may have read it.
    taken: bool,
    began: Vec<(Micros, usize)>,
}

#[derive(Default)]
struct ColdBox {
    started: Option<Micros>,
    work: Vec<(Micros, Micros)>,
}

/// Judges a day. `slack` is what the machine may be late by: 0 in virtual time.
#[must_use]
pub fn check(script: &Script, record: &ObservationLog, slack: Micros) -> CheckReport {
    check_ordered(script, &record.in_order(), slack)
}

/// The same of what is in the order of time already.
#[must_use]
pub fn check_ordered(script: &Script, seen: &[(Micros, Observation)], slack: Micros) -> CheckReport {
    let mut day = Day::new(script, slack);
    for &(at, seen) in seen {
        day.see(at, seen);
    }
    day.finish()
}

struct Day<'a> {
    script: &'a Script,
    slack: Micros,
    requests: FxHashMap<u64, Request>,
    barred: FxHashMap<(usize, usize), Micros>,
    /// What the script does to links, and when the day began: no proxy answers for what is late on the way.
    links: Links,
    began: Option<Micros>,
    /// When each proxy's process stood still.
    stalls: FxHashMap<usize, Vec<(Micros, Micros)>>,
    /// Proxies whose process was killed and not started since.
    dead: FxHashSet<usize>,
    boxes: Vec<ColdBox>,
    out: CheckReport,
}

impl<'a> Day<'a> {
    fn new(script: &'a Script, slack: Micros) -> Self {
        let mut boxes = Vec::new();
        boxes.resize_with(script.fleet.backends, ColdBox::default);
        let out =
            CheckReport { classes: vec![Tally::default(); script.classes.len()], ..CheckReport::default() };
        let (requests, barred, stalls) = (FxHashMap::default(), FxHashMap::default(), FxHashMap::default());
        let (links, began) = (Links::new(script), None);
        Self { script, slack, requests, barred, links, began, stalls, dead: FxHashSet::default(), boxes, out }
    }

    /// By how much links between a proxy and somebody make things late that are sent between these times.
    fn late(
        &self,
        between: LinkEndpoints,
        proxy: usize,
        peer: usize,
        ways: &[Direction],
        from: Micros,
        to: Micros,
    ) -> Micros {
        let Some(began) = self.began.filter(|_| self.script.has_links(between)) else { return 0 };
        let (from, to) = (from.saturating_sub(began), to.saturating_sub(began));
        let link = Link { between, proxy, peer };
        ways.iter().map(|&way| self.links.max_delay(link, way, from, to)).sum()
    }

    /// When the proxy's process stood still between these times, if it did. Time that passes while it stands is none
    /// of its.
    fn stood(&self, proxy: usize, from: Micros, to: Micros) -> Option<(Micros, Micros)> {
        let stalls = self.stalls.get(&proxy)?.iter().copied();
        stalls.filter(|&(since, until)| since <= to && from <= until).max_by_key(|&(_, until)| until)
    }

    /// When a request has to be answered by, as the client sees it. One that its process had read before it stood is due as it goes on; one
    /// that came meanwhile was not there for it until then, and nothing tells how long it has waited.
    fn due(&self, proxy: usize, asked: Micros, end: Micros) -> Micros {
        let due = match self.stood(proxy, asked, end) {
            Some((since, until)) if asked >= since => end + until - asked,
            Some((_, until)) => end.max(until),
            None => end,
        };
        due + self.late(LinkEndpoints::Clients, proxy, 0, &[Direction::Out, Direction::Back], asked, due)
    }

    fn see(&mut self, at: Micros, seen: Observation) {
        match seen {
            Observation::ScenarioStarted => self.began = Some(at),
            Observation::RequestSent { id, class, end, proxy } => self.asked(at, id, class, end, proxy),
            Observation::RequestNotAccepted { id } => {
                let untaken = self.requests.get_mut(&id).is_some_and(|request| {
                    request.taken = false;
                    request.began.is_empty()
                });
                if !untaken {
                    self.out.breaks(1, at, &format!("request {id} was taken, and its connection ended"));
                }
            }
            Observation::ResponseReceived { id, kind: got } => self.answered(at, id, got),
            Observation::AttemptStarted { id, backend: at_box, work } => {
                self.reached(at, id, at_box);
                self.began(at, id, at_box);
                self.cold(at, at_box, work);
            }
            Observation::AttemptRejected { id, backend: at_box } => self.reached(at, id, at_box),
            Observation::BackendNotified { proxy, backend: at_box, ready: true } => {
                self.barred.remove(&(proxy, at_box));
            }
            Observation::BackendNotified { proxy, backend: at_box, ready: false } => {
                self.barred.entry((proxy, at_box)).or_insert(at);
            }
            Observation::RequestUndelivered { class } => {
                self.out.classes[class].undelivered += 1;
                self.out.classes[class].total_weight += self.script.classes[class].priority_weight;
            }
            Observation::ProxyKilled { proxy } => {
                self.dead.insert(proxy);
                let open = self.requests.values_mut().filter(|r| r.proxy == proxy && r.got.is_none());
                open.for_each(|request| request.killed = true);
            }
            Observation::ProxyRestarted { proxy } => {
                self.dead.remove(&proxy);
                self.barred.retain(|&(p, _), _| p != proxy);
            }
            Observation::ProxyStalled { proxy, until } => {
                self.stalls.entry(proxy).or_default().push((at, until))
            }
            Observation::BackendConnected { .. }
            | Observation::DiscoveryCalled { .. }
            | Observation::ProxyReady { .. } => {}
            Observation::BackendStarted { backend: at_box } => {
                self.boxes[at_box] = ColdBox { started: Some(at), work: Vec::new() };
            }
        }
    }

    fn asked(&mut self, at: Micros, id: u64, class: usize, end: Micros, proxy: usize) {
        let (killed, taken, began) = (self.dead.contains(&proxy), true, Vec::new());
        let before = self.requests.get(&id).map(|before| (before.taken, before.asked));
        // The client's time began with the first connection on which it asked.
        let asked = before.map_or(at, |(_, asked)| asked);
        let request = Request { class, asked, end, proxy, got: None, answered: 0, killed, taken, began };
        self.requests.insert(id, request);
        if before.is_some_and(|(taken, _)| taken) {
            self.out.breaks(1, at, &format!("request {id} was asked twice"));
        }
    }

    fn answered(&mut self, at: Micros, id: u64, got: ResponseKind) {
        let Some(request) = self.requests.get_mut(&id) else {
            return self.out.breaks(1, at, &format!("an answer to {id}, which nobody asked"));
        };
        let (end, began, class) = (request.end, request.began.len(), request.class);
        let (proxy, asked) = (request.proxy, request.asked);
        request.answered = at;
        if request.got.replace(got).is_some() {
            self.out.breaks(1, at, &format!("request {id} was answered twice"));
        }
        let end = self.due(proxy, asked, end);
        if at > end + self.slack {
            let asked = asked as f64 / 1e6;
            let words = format!(
                "request {id}, asked of proxy {proxy} at {asked:.3} s, was answered {} us late",
                at - end
            );
            self.out.breaks(1, at, &words);
        }
        if got == ResponseKind::Forged || (got == ResponseKind::Served && began == 0) {
            self.out.breaks(1, at, &format!("request {id} got an answer that no box made"));
        }
        if got == ResponseKind::Rejected
            && began > 0
            && self.script.classes[class].idempotency != IdempotencySpec::Safe
        {
            self.out.breaks(2, at, &format!("request {id} was refused and may have run"));
        }
    }

    fn reached(&mut self, at: Micros, id: u64, at_box: usize) {
        let Some(request) = self.requests.get(&id) else {
            return self.out.breaks(2, at, &format!("box {at_box} got {id}, which nobody asked"));
        };
        let (class, proxy) = (request.class, request.proxy);
        self.out.classes[class].attempts += 1;
        if let Some(&told) = self.barred.get(&(proxy, at_box))
            && let told =
                self.stood(proxy, told, told + DRAIN_GRACE).map_or(told, |(_, until)| told.max(until))
            && let told = told + self.late(LinkEndpoints::Discovery, proxy, 0, &[Direction::Back], told, told)
            && let on_the_way = self.late(LinkEndpoints::Boxes, proxy, at_box, &[Direction::Out], told, at)
            && at > told + DRAIN_GRACE + self.slack + on_the_way
        {
            let late = (at - told) as f64 / 1e6;
            self.out.breaks(
                3,
                at,
                &format!("proxy {proxy} sent to box {at_box} {late:.2} s after it drains"),
            );
        }
    }

    fn began(&mut self, at: Micros, id: u64, at_box: usize) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let class: &ClassSpec = &self.script.classes[request.class];
        let doubled = request.began.first().is_some_and(|&(first, at_first)| match class.idempotency {
            IdempotencySpec::Safe => false,
            IdempotencySpec::Unsafe => true,
            IdempotencySpec::KeyedZone | IdempotencySpec::KeyedCell => {
                let same = match class.idempotency {
                    IdempotencySpec::KeyedZone => self.script.zone(at_first) == self.script.zone(at_box),
                    _ => self.script.cell(at_first) == self.script.cell(at_box),
                };
                !same || at > first + micros(class.dedup_s) + self.slack
            }
        });
        let refused =
            request.got == Some(ResponseKind::Rejected) && class.idempotency != IdempotencySpec::Safe;
        request.began.push((at, at_box));
        if doubled || refused {
            let why = if doubled { "ran twice" } else { "ran after it was refused" };
            self.out.breaks(2, at, &format!("request {id} {why}, now at box {at_box}"));
        }
    }

    /// Rule 4 as a budget: what comes within any such time must stay under the multiple of what the box can do.
    fn cold(&mut self, at: Micros, at_box: usize, work: Micros) {
        let fleet = &self.script.fleet;
        let cold = &mut self.boxes[at_box];
        let Some(started) = cold.started else { return };
        if at > started + micros(fleet.warm_up_s) + FALL_TIME {
            return;
        }
        cold.work.push((at, work));
        let from = at.saturating_sub(FALL_TIME).max(started);
        cold.work.retain(|&(when, _)| when >= from);
        let sent: f64 = cold.work.iter().map(|&(_, work)| work as f64).sum();
        let age = (from - started) as f64 / micros(fleet.warm_up_s).max(1) as f64;
        let capacity = fleet.cores * (fleet.initial_capacity + (1.0 - fleet.initial_capacity) * age.min(1.0));
        let most = FALL_MULTIPLE * capacity * FALL_TIME as f64 + FALL_SLACK_REQUESTS * work as f64;
        if sent > most {
            let times = sent / (capacity * FALL_TIME as f64);
            self.out.breaks(4, at, &format!("box {at_box}, cold, got {times:.1} times what it can do"));
        }
    }

    fn finish(mut self) -> CheckReport {
        let mut windows: FxHashMap<Micros, (f64, f64)> = FxHashMap::default();
        let began = self.requests.values().map(|r| r.asked).min().unwrap_or(0);
        let mut ids: Vec<u64> = self.requests.keys().copied().collect();
        ids.sort_unstable();
        for id in ids {
            let Some(request) = self.requests.get(&id) else { continue };
            let class = &self.script.classes[request.class];
            let tally = &mut self.out.classes[request.class];
            tally.total_weight += class.priority_weight;
            if !request.taken {
                tally.undelivered += 1;
                continue;
            }
            tally.requests += 1;
            let took = request.answered.saturating_sub(request.asked);
            let earned = match request.got {
                Some(ResponseKind::Served) if took <= class.latency_objective_ms * 1_000 => {
                    tally.in_time += 1;
                    class.priority_weight
                }
                Some(ResponseKind::Served) => {
                    tally.late += 1;
                    class.priority_weight * class.late_weight_fraction
                }
                Some(ResponseKind::Rejected) => {
                    tally.rejected += 1;
                    0.0
                }
                Some(ResponseKind::Failed | ResponseKind::Forged) => {
                    tally.failed += 1;
                    0.0
                }
                None => 0.0,
            };
            tally.earned_weight += earned;
            if request.got == Some(ResponseKind::Served) {
                self.out.latencies.push(took);
            }
            let window = windows.entry((request.asked - began) / WINDOW).or_default();
            (window.0, window.1) = (window.0 + earned, window.1 + class.priority_weight);
            let (proxy, asked, end) = (request.proxy, request.asked, request.end);
            let excused = request.killed || self.due(proxy, asked, end) > end;
            if request.got.is_none() && excused {
                self.out.classes[request.class].excused += 1;
            } else if request.got.is_none() {
                let asked = asked as f64 / 1e6;
                let words =
                    format!("request {id}, asked of proxy {proxy} at {asked:.3} s, never got an answer");
                self.out.breaks(1, end, &words);
            }
        }
        self.out.latencies.sort_unstable();
        // A last window of a few requests says nothing.
        let fair = windows.values().map(|w| w.1).fold(0.0, f64::max) / 4.0;
        let worst = windows.values().filter(|w| w.1 >= fair && w.1 > 0.0).map(|w| w.0 / w.1);
        self.out.worst_goodput = worst.fold(1.0, f64::min);
        for tally in self.out.classes.clone() {
            let all = &mut self.out.total;
            all.requests += tally.requests;
            all.in_time += tally.in_time;
            all.late += tally.late;
            all.rejected += tally.rejected;
            all.failed += tally.failed;
            all.attempts += tally.attempts;
            all.undelivered += tally.undelivered;
            all.excused += tally.excused;
            all.total_weight += tally.total_weight;
            all.earned_weight += tally.earned_weight;
        }
        self.out
    }
}

#[cfg(test)]
mod tests;
