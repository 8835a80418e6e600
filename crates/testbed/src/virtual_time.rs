//! A day in virtual time, in process: the engine as it is, many instances of it, boxes as models, callers that hold
//! leases. The same script and seed give the same day to the last event.

mod backends;
mod processes;

use crate::backend_model::BackendModel;
use crate::invariant_checker::{CheckReport, Observation, ObservationLog, ResponseKind, check_ordered};
use crate::plan::Plan;
use crate::script::{Script, micros};
use crate::slow_start_load::{self, SlowStartLoad};
use crate::spread::{self, Spread};
use balancer::api::{Backend, BackendId, MembershipUpdate, Micros, Outcome, RequestId, SettingsError};
use processes::Process;
use request_engine::engine::{
    AttemptEnd, Command, Counts, Dispatch, Engine, EngineLimits, FinalOutcome, IncomingRequest, LeaseGrant,
    MessageTypes, Overload,
};
use request_engine::lease::{LeaseCounts, LeaseId};
use rustc_hash::FxHashMap;
use settings::parse_settings;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// When a day begins; backends may have started before it.
const START: Micros = 1_000_000_000;
/// How long after the last request a day may still last.
const TAIL: Micros = 60_000_000;
/// How long a caller takes between its lease and its sending, and a slow one at the most.
const CALLER_TIME: Micros = 500;
const SLOW_CALLER: Micros = 600_000;
/// What one engine may have open.
const BOUNDS: EngineLimits = EngineLimits { requests: 20_000, leases: 5_000 };

struct Virtual;

impl MessageTypes for Virtual {
    /// The client's number.
    type OutboundRequest = u64;
    type Responder = u64;
    type Response = ();
}

/// What came of a day.
#[derive(Debug, PartialEq)]
pub struct Report {
    /// The rules and the goodput.
    pub judgement: CheckReport,
    /// How evenly the boxes were loaded.
    pub spread: Spread,
    /// What cold boxes got of what they bear, where any started.
    pub cold: Option<SlowStartLoad>,
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
    Ask(usize),
    Process(usize),
    FirstList(usize),
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
            Sent::Full => Self::Rejected,
            Sent::Spoilt => Self::Malformed,
            Sent::Reset => Self::Reset,
            Sent::ConnectFailed => Self::ConnectFailed,
        }
    }
}

/// One attempt as the world sees it.
struct Try {
    proxy: usize,
    /// Which process of the proxy made it.
    life: u32,
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
    model: Option<BackendModel>,
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
    plan: &'a Plan,
    now: Micros,
    rng: fastrand::Rng,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    sequence: u64,
    proxies: Vec<Engine<Virtual>>,
    processes: Vec<Process>,
    /// What engines of processes that are gone had counted.
    past: (Counts, LeaseCounts),
    proxy_due: Vec<Micros>,
    boxes: Vec<Wire>,
    tries: Vec<Try>,
    by_lease: FxHashMap<LeaseId, usize>,
    /// The list of the day's beginning.
    first_list: Vec<Backend>,
    record: ObservationLog,
    discovery_down: u32,
    unsaid: Vec<Event>,
}

/// Plays a day.
///
/// # Errors
/// Where the script's figures give settings that make no sense.
pub fn play(script: &Script) -> Result<Report, SettingsError> {
    let plan = Plan::draw(script);
    let mut world = World::new(script, &plan)?;
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
    let (counts, leases) = std::mem::take(&mut world.past);
    let seen = world.record.in_order();
    let mut report = Report {
        judgement: check_ordered(script, &seen, 0),
        spread: spread::measure(script, &plan, &seen, START),
        cold: slow_start_load::measure(script, &plan, &seen),
        counts,
        leases,
        left_open: 0,
        events: count,
    };
    for engine in &world.proxies {
        add(&mut report.counts, &mut report.leases, engine.counts(), engine.lease_counts());
        report.left_open += engine.open_requests() + engine.active_leases();
    }
    Ok(report)
}

fn engine(script: &Script, proxy: usize, life: u32, now: Micros) -> Result<Engine<Virtual>, SettingsError> {
    let settings = parse_settings(script.settings(proxy).to_string().as_bytes())?;
    let number = (proxy as u64) | u64::from(life) << 32;
    let seed = script.seed.wrapping_add(number).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    Engine::new(settings, BOUNDS, seed, seed | 1, now)
}

fn add(all: &mut Counts, all_leases: &mut LeaseCounts, one: Counts, leases: LeaseCounts) {
    all.admitted += one.admitted;
    all.overloaded += one.overloaded;
    all.served += one.served;
    all.rejected += one.rejected;
    all.failed += one.failed;
    all.deadline_failures += one.deadline_failures;
    all.client_disconnected += one.client_disconnected;
    all.attempts += one.attempts;
    all.unmatched += one.unmatched;
    all_leases.granted += leases.granted;
    all_leases.reported += leases.reported;
    all_leases.expired += leases.expired;
    all_leases.revoked += leases.revoked;
    all_leases.late += leases.late;
    all_leases.duplicate += leases.duplicate;
    all_leases.foreign += leases.foreign;
    all_leases.unknown += leases.unknown;
    all_leases.wrong_state += leases.wrong_state;
}

impl<'a> World<'a> {
    fn new(script: &'a Script, plan: &'a Plan) -> Result<Self, SettingsError> {
        let rng = fastrand::Rng::with_seed(script.seed);
        let boxes = (0..script.fleet.backends).map(|at_box| Wire {
            model: Some(BackendModel::new(script.box_spec(at_box), START, None)),
            due: Micros::MAX,
            drains: false,
            started: None,
            resets: 0.0,
            spoils: 0.0,
            holds: Vec::new(),
        });
        let proxies = (0..script.fleet.proxies).map(|proxy| engine(script, proxy, 0, START));
        let mut world = Self {
            script,
            plan,
            now: START,
            rng,
            events: BinaryHeap::new(),
            sequence: 0,
            proxies: proxies.collect::<Result<_, _>>()?,
            processes: vec![Process::default(); script.fleet.proxies],
            past: Default::default(),
            proxy_due: vec![Micros::MAX; script.fleet.proxies],
            boxes: boxes.collect(),
            tries: Vec::new(),
            by_lease: FxHashMap::default(),
            first_list: Vec::new(),
            record: ObservationLog::default(),
            discovery_down: 0,
            unsaid: Vec::new(),
        };
        world.first_list = (0..script.fleet.backends).map(|b| world.entry(b)).collect();
        for proxy in 0..world.proxies.len() {
            world.proxies[proxy].update_membership(START, MembershipUpdate::Snapshot(&world.first_list));
            world.obey(proxy);
        }
        for (i, event) in plan.processes.iter().enumerate() {
            world.at(START + event.at, Event::Process(i));
        }
        for (i, trouble) in script.backend_faults.iter().enumerate() {
            world.at(START + micros(trouble.at_s), Event::Begin(i));
            world.at(START + micros(trouble.at_s + trouble.for_s), Event::End(i));
        }
        world.ask_next(0);
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
        if let Some(proxy) = self.concerns(&event)
            && self.processes[proxy].defers(event)
        {
            return;
        }
        match event {
            Event::Ask(which) => {
                self.ask_next(which + 1);
                self.ask(which);
            }
            Event::Process(which) => self.process(which),
            Event::FirstList(proxy) => self.first_list(proxy),
            // Of several that were set, the one that is still wanted.
            Event::ProxyDue(proxy) => {
                if self.proxy_due[proxy] <= self.now {
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

    /// The proxy whose process has to run for this to have any effect now.
    fn concerns(&self, event: &Event) -> Option<usize> {
        match *event {
            Event::ProxyDue(proxy) | Event::FirstList(proxy) | Event::News { proxy, .. } => Some(proxy),
            Event::ToProxy { which, .. } | Event::GiveUp(which) => Some(self.tries[which].proxy),
            _ => None,
        }
    }

    // ---- Clients and callers ----

    fn ask_next(&mut self, which: usize) {
        if let Some(arrival) = self.plan.arrivals.get(which) {
            self.at(START + arrival.at, Event::Ask(which));
        }
    }

    fn ask(&mut self, which: usize) {
        let arrival = self.plan.arrivals[which];
        let (class, client) = (usize::from(arrival.class), which as u64);
        let Some(proxy) = self.front(usize::from(arrival.proxy)) else {
            return self.record.add(self.now, Observation::RequestUndelivered { class });
        };
        let patience = self.script.classes[class].deadline_ms * 1_000;
        self.record
            .add(self.now, Observation::RequestSent { id: client, class, end: self.now + patience, proxy });
        self.reach_proxy(proxy, which);
    }

    /// The request's last byte is read by its proxy.
    fn reach_proxy(&mut self, proxy: usize, which: usize) {
        if self.processes[proxy].keeps(which) {
            return;
        }
        let arrival = self.plan.arrivals[which];
        let leased = self.rng.f64() < self.script.traffic.leased;
        let client = which as u64;
        let arrival = IncomingRequest {
            class: arrival.class,
            tenant: arrival.tenant,
            key: None,
            arrived_at: self.now,
            timeout: self.script.classes[usize::from(arrival.class)].deadline_ms * 1_000,
            expected_work: None,
            is_retry: false,
            dispatch: if leased { Dispatch::Leased } else { Dispatch::Proxied(client) },
        };
        if let Err(Overload::Requests(client) | Overload::Leases(client)) =
            self.proxies[proxy].admit(self.now, arrival, client)
        {
            self.record
                .add(self.now, Observation::ResponseReceived { id: client, kind: ResponseKind::Rejected });
        }
        self.obey(proxy);
    }

    fn caller_sends(&mut self, which: usize) {
        let attempt = &self.tries[which];
        if attempt.revoked || self.now > attempt.send_by {
            return self.tell_proxy(which, Outcome::NotSent);
        }
        let (way, give_up_at) = (self.way(which), attempt.give_up_at);
        self.after(way, Event::ToBox(which));
        self.at(give_up_at, Event::GiveUp(which));
    }

    // ---- Proxies ----

    fn obey(&mut self, proxy: usize) {
        while let Some(command) = self.proxies[proxy].next_command() {
            match command {
                Command::StartAttempt { request, attempt, backend, schedule, outbound_request: client } => {
                    let give_up_at = schedule.give_up_at;
                    let which = self.attempt(proxy, client, (request, attempt), backend, give_up_at);
                    let way = self.way(which);
                    self.after(way, Event::ToBox(which));
                    self.at(give_up_at, Event::GiveUp(which));
                }
                Command::GrantLease(grant) => self.granted(proxy, grant),
                Command::RevokeLease { lease, .. } => {
                    if let Some(&which) = self.by_lease.get(&lease) {
                        self.tries[which].revoked = true;
                    }
                }
                Command::Respond { responder: reply, outcome: verdict, .. } => {
                    let got = match verdict {
                        FinalOutcome::Served(_) => ResponseKind::Served,
                        FinalOutcome::Rejected { .. } => ResponseKind::Rejected,
                        FinalOutcome::Failed => ResponseKind::Failed,
                    };
                    self.record.add(self.now, Observation::ResponseReceived { id: reply, kind: got });
                }
                Command::CancelAttempt { .. }
                | Command::CancelUnsentAttempt { .. }
                | Command::Subscribe
                | Command::CheckHealth(_)
                | Command::CloseIdleConnections(_)
                | Command::Log(_) => {}
            }
        }
        if let Some(due) = self.proxies[proxy].next_timer().map(|due| due.max(self.now))
            && due < self.proxy_due[proxy]
        {
            self.proxy_due[proxy] = due;
            self.at(due, Event::ProxyDue(proxy));
        }
    }

    fn granted(&mut self, proxy: usize, grant: LeaseGrant) {
        let LeaseGrant { lease, request, attempt, backend, send_by, give_up_at } = grant;
        // A caller that has its answer already lets the lease run out.
        let Some(&client) = self.proxies[proxy].responder(request) else { return };
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
            life: self.processes[proxy].life,
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
        if attempt.life != self.processes[proxy].life || !self.processes[proxy].runs() {
            return;
        }
        let ended = AttemptEnd {
            outcome,
            response: (outcome == Outcome::Ok).then_some(()),
            load_report: Vec::new(),
            client_wait: 0,
        };
        match lease {
            None => self.proxies[proxy].attempt_finished(self.now, request, number, ended),
            Some(lease) => {
                self.by_lease.remove(&lease);
                if self.rng.f64() < self.script.traffic.lost_reports {
                    return;
                }
                // A late one changes nothing, which the engine counts.
                let _ = self.proxies[proxy].report_result(self.now, lease, ended);
            }
        }
        self.obey(proxy);
    }
}
