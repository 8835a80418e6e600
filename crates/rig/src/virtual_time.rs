//! A day in virtual time, in process: the engine as it is, many instances of it, boxes as models, callers that hold
//! leases. The same script and seed give the same day to the last event.

use crate::judge::{Got, Judgement, Record, Seen, judge};
use crate::model::{Arrived, BoxModel};
use crate::script::{Script, What, micros};
use haventrack_decision::api::{
    Backend, BackendId, Membership, Micros, Outcome, Readiness, RequestId, SettingsError,
};
use haventrack_engine::engine::{
    Arrival, Bounds, Command, Conduct, Counts, Ended, Engine, Exchange, Grant, Overload, Verdict,
};
use haventrack_engine::lease::{LeaseCounts, LeaseId};
use haventrack_settings::parse_settings;
use rustc_hash::FxHashMap;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// When a day begins; backends may have started before it.
const START: Micros = 1_000_000_000;
/// How long after the last request a day may still last.
const TAIL: Micros = 60_000_000;
/// How long a caller takes between its lease and its sending, and a slow one at the most.
const CALLER_TIME: Micros = 500;
const SLOW_CALLER: Micros = 600_000;
/// How long after it came a request's connection breaks.
const RESET_AFTER: Micros = 5_000;
/// What one engine may have open.
const BOUNDS: Bounds = Bounds { requests: 20_000, leases: 5_000 };

struct Virtual;

impl Exchange for Virtual {
    /// The client's number.
    type Work = u64;
    type Reply = u64;
    type Payload = ();
}

/// What came of a day.
#[derive(Debug, PartialEq)]
pub struct Report {
    /// The rules and the goodput.
    pub judgement: Judgement,
    /// What all engines counted.
    pub counts: Counts,
    /// What became of all leases.
    pub leases: LeaseCounts,
    /// Requests and leases that were still open at the end; none may be.
    pub left_open: usize,
    /// Events of the day.
    pub events: u64,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Ask,
    ProxyDue(usize),
    CallerSends(usize),
    ToBox(usize),
    BoxDue(usize),
    ToProxy { which: usize, outcome: Sent },
    GiveUp(usize),
    News { proxy: usize, at_box: usize },
    Begin(usize),
    End(usize),
}

/// Outcomes that travel, in an order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Sent {
    Ok,
    Full,
    Spoilt,
    Reset,
    ConnectFailed,
}

impl From<Sent> for Outcome {
    fn from(sent: Sent) -> Self {
        match sent {
            Sent::Ok => Self::Ok,
            Sent::Full => Self::Full,
            Sent::Spoilt => Self::Spoilt,
            Sent::Reset => Self::Reset,
            Sent::ConnectFailed => Self::ConnectFailed,
        }
    }
}

/// One attempt as the world sees it.
struct Try {
    proxy: usize,
    client: u64,
    request: RequestId,
    number: u16,
    at_box: usize,
    lease: Option<LeaseId>,
    send_by: Micros,
    give_up_at: Micros,
    revoked: bool,
    over: bool,
    /// The box answers nonsense.
    spoilt: bool,
}

struct Wire {
    model: Option<BoxModel>,
    /// When it is next looked at.
    due: Micros,
    drains: bool,
    started: Option<Micros>,
    resets: f64,
    spoils: f64,
    /// The attempts that it holds.
    holds: Vec<usize>,
}

struct World<'a> {
    script: &'a Script,
    now: Micros,
    rng: fastrand::Rng,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    sequence: u64,
    proxies: Vec<Engine<Virtual>>,
    proxy_due: Vec<Micros>,
    boxes: Vec<Wire>,
    tries: Vec<Try>,
    by_lease: FxHashMap<LeaseId, usize>,
    /// The work of each client's request.
    work: Vec<Micros>,
    record: Record,
    discovery_down: u32,
    unsaid: Vec<Event>,
}

/// Plays a day.
///
/// # Errors
/// Where the script's figures give settings that make no sense.
pub fn play(script: &Script) -> Result<Report, SettingsError> {
    let mut world = World::new(script)?;
    let mut count = 0;
    let last = START + micros(script.seconds) + TAIL;
    while let Some(Reverse((at, _, event))) = world.events.pop() {
        if at > last {
            break;
        }
        world.now = at;
        count += 1;
        world.happen(event);
    }
    let mut report = Report {
        judgement: judge(script, &world.record, 0),
        counts: Counts::default(),
        leases: LeaseCounts::default(),
        left_open: 0,
        events: count,
    };
    for engine in &world.proxies {
        add(&mut report.counts, &mut report.leases, engine.counts(), engine.lease_counts());
        report.left_open += engine.open() + engine.leases();
    }
    Ok(report)
}

fn add(all: &mut Counts, all_leases: &mut LeaseCounts, one: Counts, leases: LeaseCounts) {
    all.taken += one.taken;
    all.overload += one.overload;
    all.served += one.served;
    all.refused += one.refused;
    all.failed += one.failed;
    all.last_moment += one.last_moment;
    all.gone += one.gone;
    all.attempts += one.attempts;
    all.stray += one.stray;
    all_leases.granted += leases.granted;
    all_leases.reported += leases.reported;
    all_leases.expired += leases.expired;
    all_leases.revoked += leases.revoked;
    all_leases.late += leases.late;
    all_leases.doubled += leases.doubled;
    all_leases.foreign += leases.foreign;
    all_leases.unknown += leases.unknown;
    all_leases.misfit += leases.misfit;
}

impl<'a> World<'a> {
    fn new(script: &'a Script) -> Result<Self, SettingsError> {
        let rng = fastrand::Rng::with_seed(script.seed);
        let spec = script.box_spec();
        let boxes = (0..script.fleet.boxes).map(|_| Wire {
            model: Some(BoxModel::new(spec, START, None)),
            due: Micros::MAX,
            drains: false,
            started: None,
            resets: 0.0,
            spoils: 0.0,
            holds: Vec::new(),
        });
        let proxies = (0..script.fleet.proxies).map(|p| {
            let settings = parse_settings(script.settings(p).to_string().as_bytes())?;
            let seed = script.seed.wrapping_add(p as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            Engine::new(settings, BOUNDS, seed, seed | 1, START)
        });
        let mut world = Self {
            script,
            now: START,
            rng,
            events: BinaryHeap::new(),
            sequence: 0,
            proxies: proxies.collect::<Result<_, _>>()?,
            proxy_due: vec![Micros::MAX; script.fleet.proxies],
            boxes: boxes.collect(),
            tries: Vec::new(),
            by_lease: FxHashMap::default(),
            work: Vec::new(),
            record: Record::default(),
            discovery_down: 0,
            unsaid: Vec::new(),
        };
        let list: Vec<Backend> = (0..script.fleet.boxes).map(|b| world.entry(b)).collect();
        for proxy in 0..world.proxies.len() {
            world.proxies[proxy].membership(START, Membership::Full(&list));
            world.obey(proxy);
        }
        for (i, trouble) in script.trouble.iter().enumerate() {
            world.at(START + micros(trouble.at_s), Event::Begin(i));
            world.at(START + micros(trouble.at_s + trouble.for_s), Event::End(i));
        }
        world.at(START, Event::Ask);
        Ok(world)
    }

    fn at(&mut self, at: Micros, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at.max(self.now), self.sequence, event)));
    }

    fn after(&mut self, span: Micros, event: Event) {
        self.at(self.now + span, event);
    }

    /// How long a message takes between a proxy and a box.
    fn way(&self, which: usize) -> Micros {
        let near = self.script.zone(self.tries[which].proxy) == self.script.zone(self.tries[which].at_box);
        let ms = self.script.fleet.cross_zone_ms / if near { 4.0 } else { 1.0 };
        (ms * 1e3) as Micros
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Ask => self.ask(),
            // Of several that were set, the one that is still wanted.
            Event::ProxyDue(proxy) => {
                if self.proxy_due[proxy] == self.now {
                    self.proxy_due[proxy] = Micros::MAX;
                    self.proxies[proxy].advance(self.now);
                    self.obey(proxy);
                }
            }
            Event::CallerSends(which) => self.caller_sends(which),
            Event::ToBox(which) => self.reach_box(which),
            Event::BoxDue(at_box) => {
                if self.boxes[at_box].due == self.now {
                    self.boxes[at_box].due = Micros::MAX;
                    self.box_advances(at_box);
                }
            }
            Event::ToProxy { which, outcome } => self.tell_proxy(which, outcome.into()),
            Event::GiveUp(which) => self.tell_proxy(which, Outcome::Timeout),
            Event::News { proxy, at_box } => self.news(proxy, at_box),
            Event::Begin(trouble) => self.trouble(trouble, true),
            Event::End(trouble) => self.trouble(trouble, false),
        }
    }

    // ---- Clients and callers ----

    fn ask(&mut self) {
        let traffic = &self.script.traffic;
        if self.now >= START + micros(self.script.seconds) {
            return;
        }
        let gap = -(1.0 - self.rng.f64()).ln() / traffic.per_s;
        self.after(micros(gap), Event::Ask);
        let class = self.script.draw_class(&mut self.rng);
        let spec = &self.script.class[class];
        let work = spec.work_ms[0] + self.rng.f64() * (spec.work_ms[1] - spec.work_ms[0]);
        let tenants = traffic.tenants.max(1);
        let first = traffic.first_tenant > 0.0 && self.rng.f64() < traffic.first_tenant;
        let tenant = if first || tenants == 1 { 0 } else { self.rng.u16(0..tenants) };
        let leased = self.rng.f64() < traffic.leased;
        let proxy = self.rng.usize(0..self.proxies.len());
        let client = self.work.len() as u64;
        self.work.push(micros(work / 1e3));
        let patience = spec.deadline_ms * 1_000;
        self.record.add(self.now, Seen::Asked { id: client, class, end: self.now + patience, proxy });
        let arrival = Arrival {
            class: class as u8,
            tenant,
            key: None,
            arrived: self.now,
            patience,
            work: None,
            repeat: false,
            conduct: if leased { Conduct::Leased } else { Conduct::Carried(client) },
        };
        if let Err(Overload::Requests(client) | Overload::Leases(client)) =
            self.proxies[proxy].admit(self.now, arrival, client)
        {
            self.record.add(self.now, Seen::Answered { id: client, got: Got::Refused });
        }
        self.obey(proxy);
    }

    fn caller_sends(&mut self, which: usize) {
        let attempt = &self.tries[which];
        if attempt.revoked || self.now > attempt.send_by {
            return self.tell_proxy(which, Outcome::Moot);
        }
        let (way, give_up_at) = (self.way(which), attempt.give_up_at);
        self.after(way, Event::ToBox(which));
        self.at(give_up_at, Event::GiveUp(which));
    }

    // ---- Proxies ----

    fn obey(&mut self, proxy: usize) {
        while let Some(command) = self.proxies[proxy].next_command() {
            match command {
                Command::Start { request, attempt, backend, give_up_at, work: client } => {
                    let which = self.attempt(proxy, client, (request, attempt), backend, give_up_at);
                    let way = self.way(which);
                    self.after(way, Event::ToBox(which));
                    self.at(give_up_at, Event::GiveUp(which));
                }
                Command::Grant(grant) => self.granted(proxy, grant),
                Command::Revoke { lease, .. } => {
                    if let Some(&which) = self.by_lease.get(&lease) {
                        self.tries[which].revoked = true;
                    }
                }
                Command::Answer { reply, verdict, .. } => {
                    let got = match verdict {
                        Verdict::Served(_) => Got::Served,
                        Verdict::Refused { .. } => Got::Refused,
                        Verdict::Failed => Got::Failed,
                    };
                    self.record.add(self.now, Seen::Answered { id: reply, got });
                }
                Command::Withdraw { .. }
                | Command::Subscribe
                | Command::Probe(_)
                | Command::CloseIdle(_)
                | Command::Log(_) => {}
            }
        }
        if let Some(due) = self.proxies[proxy].next_due().map(|due| due.max(self.now))
            && due < self.proxy_due[proxy]
        {
            self.proxy_due[proxy] = due;
            self.at(due, Event::ProxyDue(proxy));
        }
    }

    fn granted(&mut self, proxy: usize, grant: Grant) {
        let Grant { lease, request, attempt, backend, send_by, give_up_at } = grant;
        // A caller that has its answer already lets the lease run out.
        let Some(&client) = self.proxies[proxy].reply(request) else { return };
        let which = self.attempt(proxy, client, (request, attempt), backend, give_up_at);
        (self.tries[which].lease, self.tries[which].send_by) = (Some(lease), send_by);
        self.by_lease.insert(lease, which);
        let slow = self.rng.f64() < self.script.traffic.slow_callers;
        let takes = if slow { self.rng.u64(0..SLOW_CALLER) } else { CALLER_TIME };
        self.after(takes, Event::CallerSends(which));
    }

    fn attempt(
        &mut self,
        proxy: usize,
        client: u64,
        (request, number): (RequestId, u16),
        backend: BackendId,
        give_up_at: Micros,
    ) -> usize {
        self.tries.push(Try {
            proxy,
            client,
            request,
            number,
            at_box: backend as usize,
            lease: None,
            send_by: Micros::MAX,
            give_up_at,
            revoked: false,
            over: false,
            spoilt: false,
        });
        self.tries.len() - 1
    }

    /// The end of an attempt as the proxy, or the holder of its lease, sees it.
    fn tell_proxy(&mut self, which: usize, outcome: Outcome) {
        let attempt = &mut self.tries[which];
        if std::mem::replace(&mut attempt.over, true) {
            return;
        }
        let (proxy, request, number, lease) = (attempt.proxy, attempt.request, attempt.number, attempt.lease);
        let ended =
            Ended { outcome, payload: (outcome == Outcome::Ok).then_some(()), report: Vec::new(), waited: 0 };
        match lease {
            None => self.proxies[proxy].ended(self.now, request, number, ended),
            Some(lease) => {
                self.by_lease.remove(&lease);
                if self.rng.f64() < self.script.traffic.lost_reports {
                    return;
                }
                // A late one changes nothing, which the engine counts.
                let _ = self.proxies[proxy].report(self.now, lease, ended);
            }
        }
        self.obey(proxy);
    }

    // ---- Boxes ----

    fn reach_box(&mut self, which: usize) {
        let (at_box, client) = (self.tries[which].at_box, self.tries[which].client);
        let way = self.way(which);
        self.box_advances(at_box);
        let at = &mut self.boxes[at_box];
        let Some(model) = &mut at.model else {
            return self.after(way, Event::ToProxy { which, outcome: Sent::ConnectFailed });
        };
        let work = self.work[client as usize];
        let arrived = model.arrive(self.now, which as u64, work);
        if arrived == Arrived::Full {
            self.record.add(self.now, Seen::TurnedAway { id: client, at_box });
            return self.after(way, Event::ToProxy { which, outcome: Sent::Full });
        }
        at.holds.push(which);
        let (resets, spoils) = (at.resets, at.spoils);
        self.record.add(self.now, Seen::Began { id: client, at_box, work });
        if self.rng.f64() < resets {
            self.after(RESET_AFTER, Event::ToProxy { which, outcome: Sent::Reset });
        }
        self.tries[which].spoilt = self.rng.f64() < spoils;
        self.box_due(at_box);
    }

    fn box_due(&mut self, at_box: usize) {
        let at = &mut self.boxes[at_box];
        let next = at.model.as_ref().and_then(BoxModel::next).unwrap_or(Micros::MAX);
        // An earlier event that is set but no longer wanted passes unheard.
        if std::mem::replace(&mut at.due, next) != next && next < Micros::MAX {
            self.at(next, Event::BoxDue(at_box));
        }
    }

    fn box_advances(&mut self, at_box: usize) {
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

    fn entry(&self, at_box: usize) -> Backend {
        let at = &self.boxes[at_box];
        let readiness = match (&at.model, at.drains) {
            (None, _) => Readiness::Gone,
            (Some(_), true) => Readiness::Draining,
            (Some(_), false) => Readiness::Ready,
        };
        Backend {
            id: at_box as u32,
            zone: self.script.zone(at_box),
            kind: 0,
            cell: self.script.cell(at_box),
            readiness,
            started: at.started,
        }
    }

    fn tell_all(&mut self, at_box: usize) {
        for proxy in 0..self.proxies.len() {
            let late = self.script.fleet.news_s * (1.0 + self.rng.f64());
            self.after(micros(late), Event::News { proxy, at_box });
        }
    }

    fn news(&mut self, proxy: usize, at_box: usize) {
        if self.discovery_down > 0 {
            return self.unsaid.push(Event::News { proxy, at_box });
        }
        let entry = self.entry(at_box);
        let ready = entry.readiness == Readiness::Ready;
        self.record.add(self.now, Seen::Told { proxy, at_box, ready });
        self.proxies[proxy].membership(self.now, Membership::Delta(&[entry]));
        self.obey(proxy);
    }

    // ---- Troubles ----

    fn trouble(&mut self, index: usize, begins: bool) {
        let trouble = &self.script.trouble[index];
        if trouble.what == What::DiscoveryDown {
            self.discovery_down = self.discovery_down.saturating_add_signed(if begins { 1 } else { -1 });
            if self.discovery_down == 0 {
                for event in std::mem::take(&mut self.unsaid) {
                    self.after(0, event);
                }
            }
            return;
        }
        for at_box in self.script.struck(index) {
            self.box_advances(at_box);
            self.strike(at_box, index, begins);
            self.box_due(at_box);
        }
    }

    fn strike(&mut self, at_box: usize, index: usize, begins: bool) {
        let trouble = &self.script.trouble[index];
        let (what, degree) = (trouble.what, if begins { trouble.degree } else { 0.0 });
        let at = &mut self.boxes[at_box];
        match what {
            What::Reset => at.resets = degree,
            What::Spoil => at.spoils = degree,
            What::Crash if begins => self.crash(at_box),
            What::Crash => self.start(at_box),
            What::Drain => {
                at.drains = begins;
                if let Some(model) = &mut at.model {
                    model.set_drains(begins);
                }
                self.tell_all(at_box);
            }
            What::Hang | What::Pause | What::Slow => {
                let Some(model) = &mut at.model else { return };
                match what {
                    What::Hang => model.set_hangs(begins),
                    What::Pause => model.set_stands(begins),
                    _ => model.set_slow(degree),
                }
            }
            // Of what goes wrong with connections this mode knows only those that break under a request.
            What::ResetRequest
            | What::BreakAnswer
            | What::CloseAfter
            | What::Silence
            | What::ResetNew
            | What::AcceptLate
            | What::DiscoveryDown => {}
        }
    }

    fn crash(&mut self, at_box: usize) {
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

    fn start(&mut self, at_box: usize) {
        let (spec, now) = (self.script.box_spec(), self.now);
        let at = &mut self.boxes[at_box];
        if at.model.is_some() {
            return;
        }
        at.model = Some(BoxModel::new(spec, now, Some(now)));
        at.started = Some(now);
        self.record.add(now, Seen::Started { at_box });
        self.tell_all(at_box);
    }
}
