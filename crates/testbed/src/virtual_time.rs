//! Simulation in virtual time: many request engines, emulated backends, and external clients with leases, all
//! in one process. The same script and seed give the same sequence of events.

mod backends;
mod processes;
mod proxies;
mod requests;

use crate::backend_model::BackendModel;
use crate::invariant_checker::{CheckReport, ObservationLog, check_ordered};
use crate::plan::Plan;
use crate::script::{Script, micros};
use crate::slow_start_load::{self, SlowStartLoad};
use crate::spread::{self, Spread};
use balancer::api::{Backend, MembershipUpdate, Micros, Outcome, RequestId, SettingsError};
use processes::Process;
use request_engine::engine::{Counts, Engine, EngineLimits, MessageTypes};
use request_engine::lease::{LeaseCounts, LeaseId};
use rustc_hash::FxHashMap;
use settings::parse_settings;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Start of a scenario on the virtual clock, microseconds; greater than 0, because backends may have started
/// earlier.
const START: Micros = 1_000_000_000;
/// How long the simulation may continue after the last request was sent, microseconds.
const MAX_DRAIN_TIME: Micros = 60_000_000;
/// Time from the grant of a lease to sending the request, microseconds.
const SEND_DELAY: Micros = 500;
/// Upper bound on this time for slow lease holders, microseconds.
const MAX_SLOW_SEND_DELAY: Micros = 600_000;
const ENGINE_LIMITS: EngineLimits = EngineLimits { requests: 20_000, leases: 5_000 };

struct VirtualMessages;

impl MessageTypes for VirtualMessages {
    /// The client's request, as an index into the plan.
    type OutboundRequest = u64;
    type Responder = u64;
    type Response = ();
}

/// The result of a scenario.
#[derive(Debug, PartialEq)]
pub struct Report {
    /// Rule violations and goodput.
    pub check_report: CheckReport,
    /// Load distribution over the backends.
    pub spread: Spread,
    /// Load of backends that were warming up; `None` where no backend started during the scenario.
    pub slow_start_load: Option<SlowStartLoad>,
    /// Request counters, summed over all engines, including those of ended processes.
    pub counts: Counts,
    /// Lease counters, summed in the same way.
    pub leases: LeaseCounts,
    /// Number of requests and leases still open at the end; 0 unless an engine failed to end some.
    pub open_at_end: usize,
    /// Number of simulated events.
    pub events: u64,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    RequestArrives(usize),
    ProcessAction(usize),
    SnapshotArrives(usize),
    ProxyTimer(usize),
    LeaseHolderSends(usize),
    BackendReceives(usize),
    BackendTimer(usize),
    ProxyReceives { index: usize, outcome: AttemptResult },
    AttemptTimeout(usize),
    NotificationArrives { proxy: usize, backend: usize },
    FaultStarts(usize),
    FaultEnds(usize),
}

/// Result of an attempt on its way to the proxy.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum AttemptResult {
    Ok,
    Rejected,
    Malformed,
    Reset,
    ConnectFailed,
}

impl From<AttemptResult> for Outcome {
    fn from(result: AttemptResult) -> Self {
        match result {
            AttemptResult::Ok => Self::Ok,
            AttemptResult::Rejected => Self::Rejected,
            AttemptResult::Malformed => Self::Malformed,
            AttemptResult::Reset => Self::Reset,
            AttemptResult::ConnectFailed => Self::ConnectFailed,
        }
    }
}

struct Attempt {
    proxy: usize,
    /// Incarnation of the process that made it.
    incarnation: u32,
    client: u64,
    request: RequestId,
    number: u16,
    backend: usize,
    lease: Option<LeaseId>,
    send_by: Micros,
    timeout_at: Micros,
    revoked: bool,
    finished: bool,
    /// Whether the backend sends a malformed response.
    malformed: bool,
}

struct SimulatedBackend {
    model: Option<BackendModel>,
    /// Time of its next timer event; `Micros::MAX` where there is none.
    due: Micros,
    draining: bool,
    started_at: Option<Micros>,
    reset_fraction: f64,
    malformed_fraction: f64,
    /// Attempts in flight, as indices.
    in_flight: Vec<usize>,
}

struct Simulation<'a> {
    script: &'a Script,
    plan: &'a Plan,
    now: Micros,
    rng: fastrand::Rng,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    sequence: u64,
    proxies: Vec<Engine<VirtualMessages>>,
    processes: Vec<Process>,
    /// Counters of the engines of ended processes.
    ended_process_totals: EngineTotals,
    proxy_due: Vec<Micros>,
    backends: Vec<SimulatedBackend>,
    attempts: Vec<Attempt>,
    by_lease: FxHashMap<LeaseId, usize>,
    /// The backends at the start of the scenario; also the persisted list of a restarted process.
    initial_snapshot: Vec<Backend>,
    log: ObservationLog,
    discovery_down: u32,
    deferred_notifications: Vec<Event>,
}

/// Simulates a scenario.
///
/// # Errors
/// The script results in invalid proxy settings.
pub fn run(script: &Script) -> Result<Report, SettingsError> {
    let plan = Plan::draw(script);
    let mut simulation = Simulation::new(script, &plan)?;
    let mut events = 0;
    let end = START + micros(script.seconds) + MAX_DRAIN_TIME;
    while let Some(Reverse((at, _, event))) = simulation.events.pop() {
        if at > end {
            break;
        }
        simulation.now = at;
        events += 1;
        simulation.handle(event);
    }
    let mut totals = std::mem::take(&mut simulation.ended_process_totals);
    let mut open_at_end = 0;
    for engine in &simulation.proxies {
        totals.add(engine.counts(), engine.lease_counts());
        open_at_end += engine.open_request_count() + engine.active_lease_count();
    }
    let observations = simulation.log.in_order();
    Ok(Report {
        check_report: check_ordered(script, &observations, 0),
        spread: spread::measure(script, &plan, &observations, START),
        slow_start_load: slow_start_load::measure(script, &plan, &observations),
        counts: totals.counts,
        leases: totals.leases,
        open_at_end,
        events,
    })
}

fn engine(
    script: &Script,
    proxy: usize,
    incarnation: u32,
    now: Micros,
) -> Result<Engine<VirtualMessages>, SettingsError> {
    let settings = parse_settings(script.settings(proxy).to_string().as_bytes())?;
    let number = (proxy as u64) | u64::from(incarnation) << 32;
    let seed = script.seed.wrapping_add(number).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    Engine::new(settings, ENGINE_LIMITS, seed, seed | 1, now)
}

/// Counters summed over engines.
#[derive(Default)]
struct EngineTotals {
    counts: Counts,
    leases: LeaseCounts,
}

impl EngineTotals {
    fn add(&mut self, counts: Counts, leases: LeaseCounts) {
        self.counts.admitted += counts.admitted;
        self.counts.overloaded += counts.overloaded;
        self.counts.served += counts.served;
        self.counts.rejected += counts.rejected;
        self.counts.failed += counts.failed;
        self.counts.deadline_failures += counts.deadline_failures;
        self.counts.client_disconnected += counts.client_disconnected;
        self.counts.attempts += counts.attempts;
        self.counts.unmatched += counts.unmatched;
        self.counts.unserved += counts.unserved;
        self.leases.granted += leases.granted;
        self.leases.reported += leases.reported;
        self.leases.expired += leases.expired;
        self.leases.revoked += leases.revoked;
        self.leases.late += leases.late;
        self.leases.duplicate += leases.duplicate;
        self.leases.foreign += leases.foreign;
        self.leases.unknown += leases.unknown;
        self.leases.wrong_state += leases.wrong_state;
    }
}

impl<'a> Simulation<'a> {
    fn new(script: &'a Script, plan: &'a Plan) -> Result<Self, SettingsError> {
        let rng = fastrand::Rng::with_seed(script.seed);
        let backends = (0..script.fleet.backends).map(|backend| SimulatedBackend {
            model: Some(BackendModel::new(script.backend_spec(backend), START, None)),
            due: Micros::MAX,
            draining: false,
            started_at: None,
            reset_fraction: 0.0,
            malformed_fraction: 0.0,
            in_flight: Vec::new(),
        });
        let proxies = (0..script.fleet.proxies).map(|proxy| engine(script, proxy, 0, START));
        let mut simulation = Self {
            script,
            plan,
            now: START,
            rng,
            events: BinaryHeap::new(),
            sequence: 0,
            proxies: proxies.collect::<Result<_, _>>()?,
            processes: vec![Process::default(); script.fleet.proxies],
            ended_process_totals: EngineTotals::default(),
            proxy_due: vec![Micros::MAX; script.fleet.proxies],
            backends: backends.collect(),
            attempts: Vec::new(),
            by_lease: FxHashMap::default(),
            initial_snapshot: Vec::new(),
            log: ObservationLog::default(),
            discovery_down: 0,
            deferred_notifications: Vec::new(),
        };
        simulation.schedule_start();
        Ok(simulation)
    }

    /// Delivers the initial snapshot to all proxies; schedules the process actions, the faults and the first
    /// request.
    fn schedule_start(&mut self) {
        let (script, plan) = (self.script, self.plan);
        self.initial_snapshot =
            (0..script.fleet.backends).map(|backend| self.membership_entry(backend)).collect();
        for proxy in 0..self.proxies.len() {
            self.proxies[proxy].update_membership(START, MembershipUpdate::Snapshot(&self.initial_snapshot));
            self.run_commands(proxy);
        }
        for (index, event) in plan.process_events.iter().enumerate() {
            self.at(START + event.at, Event::ProcessAction(index));
        }
        for (index, fault) in script.backend_faults.iter().enumerate() {
            self.at(START + micros(fault.at_s), Event::FaultStarts(index));
            self.at(START + micros(fault.at_s + fault.for_s), Event::FaultEnds(index));
        }
        self.schedule_request(0);
    }

    fn at(&mut self, at: Micros, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at.max(self.now), self.sequence, event)));
    }

    fn after(&mut self, delay: Micros, event: Event) {
        self.at(self.now + delay, event);
    }

    /// One-way latency between the proxy and the backend of an attempt, microseconds; within a zone it is a
    /// quarter of the latency across zones.
    fn latency(&self, index: usize) -> Micros {
        let same_zone =
            self.script.zone(self.attempts[index].proxy) == self.script.zone(self.attempts[index].backend);
        let ms = self.script.fleet.cross_zone_ms / if same_zone { 4.0 } else { 1.0 };
        (ms * 1e3) as Micros
    }

    fn handle(&mut self, event: Event) {
        if let Some(proxy) = self.affected_proxy(&event)
            && self.processes[proxy].defer_or_drop(event)
        {
            return;
        }
        match event {
            Event::RequestArrives(index) => {
                self.schedule_request(index + 1);
                self.request_arrives(index);
            }
            Event::ProcessAction(index) => self.apply_process_event(index),
            Event::SnapshotArrives(proxy) => self.deliver_snapshot(proxy),
            // A timer that was rescheduled leaves its earlier event in the queue; that one is ignored.
            Event::ProxyTimer(proxy) => {
                if self.proxy_due[proxy] <= self.now {
                    self.proxy_due[proxy] = Micros::MAX;
                    self.proxies[proxy].advance(self.now);
                    self.run_commands(proxy);
                }
            }
            Event::LeaseHolderSends(index) => self.lease_holder_sends(index),
            Event::BackendReceives(index) => self.backend_receives(index),
            Event::BackendTimer(backend) => {
                if self.backends[backend].due == self.now {
                    self.backends[backend].due = Micros::MAX;
                    self.advance_backend(backend);
                }
            }
            Event::ProxyReceives { index, outcome } => self.finish_attempt(index, outcome.into()),
            Event::AttemptTimeout(index) => self.finish_attempt(index, Outcome::Timeout),
            Event::NotificationArrives { proxy, backend } => self.notify(proxy, backend),
            Event::FaultStarts(fault) => self.apply_fault(fault, true),
            Event::FaultEnds(fault) => self.apply_fault(fault, false),
        }
    }

    /// The proxy whose process must be running to handle this event.
    fn affected_proxy(&self, event: &Event) -> Option<usize> {
        match *event {
            Event::ProxyTimer(proxy)
            | Event::SnapshotArrives(proxy)
            | Event::NotificationArrives { proxy, .. } => Some(proxy),
            Event::ProxyReceives { index, .. } | Event::AttemptTimeout(index) => {
                Some(self.attempts[index].proxy)
            }
            _ => None,
        }
    }
}
