//! A day over processes, from the first one's start to the last one's end.

use super::process_guard;
use super::processes::{END_TIMEOUT, Folder, Machine, Place, Process, cpu_s};
use super::relay::{self, Clock};
use super::report::{Cost, Row};
use crate::invariant_checker::{Observation, ObservationLog, check_ordered};
use crate::links::Links;
use crate::plan::{Plan, ProcessAction, TAIL};
use crate::restarts;
use crate::script::{InitialList, LinkEndpoints, Script, ScriptError, micros};
use crate::slow_start_load;
use crate::sockets::{Shard, SharedState};
use crate::spread;
use balancer::api::Micros;
use serde_json::{Value, json};
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, OnceLock, mpsc};
use std::thread::JoinHandle;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::oneshot;
use tokio::task::LocalSet;
use tokio::time::sleep;

/// The most processes of a day.
const MAX_PROCESSES: usize = 400;
/// Clients begin so long after all is ready.
const HEAD_START: Micros = 200_000;
/// New connections go on coming so long after a process was told to end.
const TERM_NOTICE: Duration = Duration::from_millis(300);
/// A day whose requests were asked later than this (99 of 100) tells of the machine, not of the program.
const LATE: f64 = 25.0;

/// Why a day could not be played.
#[derive(Debug, Error)]
pub enum FleetError {
    /// The script.
    #[error("{0}")]
    Script(#[from] ScriptError),
    /// A stand-in or a process could not be started.
    #[error("the laboratory: {0}")]
    Io(#[from] io::Error),
    /// A thread of stand-ins ended early.
    #[error("a thread of stand-ins ended before the day did")]
    StandIns,
    /// A process was not ready in time.
    #[error("proxy {0} was not ready in time; its log ends with: {1}")]
    NotReady(usize, String),
    /// A process ended by itself.
    #[error("proxy {0} ended by itself ({1}); its log ends with: {2}")]
    Crashed(usize, String, String),
}

/// What a thread of stand-ins gives when the day is over.
type Taken = (ObservationLog, Vec<u32>);

struct StandIns {
    agents: Vec<SocketAddr>,
    lists: Vec<Value>,
    begin: Vec<oneshot::Sender<Micros>>,
    threads: Vec<JoinHandle<io::Result<Taken>>>,
}

/// Plays a day over processes.
///
/// # Errors
/// Where it can't be played, or a process crashes. Broken rules are no error but in the row.
pub fn play(script: &Script, machine: &Machine) -> Result<Row, FleetError> {
    script.check()?;
    if script.fleet.proxies > MAX_PROCESSES {
        let problem =
            format!("{} processes, {MAX_PROCESSES} at most; more in virtual time", script.fleet.proxies);
        return Err(ScriptError::Value("fleet.proxies".into(), problem).into());
    }
    process_guard::all_descriptors()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, day(script, machine))
}

async fn day(script: &Script, machine: &Machine) -> Result<Row, FleetError> {
    let (shared_state, news) = SharedState::new(script.clone(), Plan::draw(script));
    let clock = Clock::default();
    let stand_ins = open(&shared_state, news, machine.threads.max(1), &clock)?;
    let mut director = Director::new(&shared_state, machine, stand_ins.lists.clone())?;
    for (proxy, &agent) in stand_ins.agents.iter().enumerate() {
        director.places.push(Place::new(&director.folder, proxy, agent)?);
    }
    director.start_all().await?;
    let began = shared_state.now() + HEAD_START;
    clock.begin(shared_state.instant(began));
    // A thread that is gone shows when it is joined.
    for begin in stand_ins.begin {
        let _ = begin.send(began);
    }
    let own_before = cpu_s(std::process::id()).unwrap_or(0.0);
    director.record.borrow_mut().add(began, Observation::ScenarioStarted);
    let director = Rc::new(RefCell::new(director));
    direct(&director, &shared_state, began).await;
    let end = began + micros(script.seconds).max(shared_state.plan.quiet_after());
    shared_state.sleep_until(end).await;
    while stand_ins.threads.iter().any(|thread| !thread.is_finished()) {
        sleep(Duration::from_millis(20)).await;
    }
    let rig_cpu_s = cpu_s(std::process::id()).unwrap_or(0.0) - own_before;
    let left = director.borrow_mut().terminate_all();
    let left = wait_for_end(left).await;
    for (proxy, process) in left {
        director.borrow_mut().has_ended(proxy, process);
    }
    let handed_on = director.borrow().folder.handed_on();
    let proxy_cpu_s = director.borrow_mut().cost()?;
    let (mut record, mut late) = (director.borrow_mut().record.take(), Vec::new());
    for thread in stand_ins.threads {
        let (more, lates) = thread.join().map_err(|_| FleetError::StandIns)??;
        record.append(more);
        late.extend(lates);
    }
    late.sort_unstable();
    let late_p99_ms = late.get(late.len() * 99 / 100).map_or(0.0, |&us| f64::from(us) / 1e3);
    let seen = record.in_order();
    let judged = check_ordered(script, &seen, machine.slack);
    judged.messages.iter().for_each(|words| eprintln!("{words}"));
    let spread = spread::measure(script, &shared_state.plan, &seen, began);
    let mut row = Row::new(script, "processes", &judged, spread);
    row.cold = slow_start_load::measure(script, &shared_state.plan, &seen);
    row.restarts = restarts::measure(&seen);
    row.handed_on = handed_on;
    row.cost = Some(Cost { proxy_cpu_s, rig_cpu_s, late_p99_ms, spoilt: late_p99_ms > LATE });
    Ok(row)
}

/// Opens stand-ins on so many threads, and a thread for relays where the script has faults of links.
fn open(
    shared_state: &Arc<SharedState>,
    news: UnboundedReceiver<usize>,
    threads: usize,
    clock: &Clock,
) -> Result<StandIns, FleetError> {
    let (told, heard) = mpsc::channel();
    let (mut begin, mut running, mut agents_wanted, mut news) =
        (Vec::new(), Vec::new(), Vec::new(), Some(news));
    for number in 0..threads {
        let (begins, begun) = oneshot::channel();
        let (wants_agents, agents_due) = oneshot::channel();
        let (shared_state, told) = (Arc::clone(shared_state), told.clone());
        let news = news.take_if(|_| number == 0);
        begin.push(begins);
        agents_wanted.push(wants_agents);
        running.push(std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
            LocalSet::new().block_on(&runtime, async {
                let mut shard = Shard::open(&shared_state, number, threads)?;
                let _ = told.send(None);
                let due: Result<(), _> = agents_due.await;
                if let (Ok(()), Some(news)) = (due, news) {
                    shard.start_discovery(news).await?;
                    let agents = shard.agents();
                    let _ = told.send(Some(agents.iter().map(|a| (a.address, a.list())).unzip()));
                }
                drop(told);
                let Ok(began) = begun.await else { return Ok(Taken::default()) };
                let asking = shard.start(began);
                let _ = asking.await;
                // Boxes answer for requests of other threads until the whole day is over.
                let asked = shared_state.now().max(began + micros(shared_state.script.seconds));
                shared_state.sleep_until(asked + shared_state.script.longest_deadline() + TAIL).await;
                Ok(shard.take_results())
            })
        }));
    }
    drop(told);
    for _ in 0..threads {
        heard.recv().map_err(|_| FleetError::StandIns)?;
    }
    let relays = open_relays(shared_state, clock)?;
    for wanted in agents_wanted {
        let _ = wanted.send(());
    }
    let (agents, lists): (Vec<SocketAddr>, Vec<Value>) =
        heard.recv().ok().flatten().ok_or(FleetError::StandIns)?;
    let agents = match relays {
        Some(relays) => relays.lead_to(&agents),
        None => agents,
    };
    Ok(StandIns { agents, lists, begin, threads: running })
}

/// The relays of a day, on a thread that ends with the process.
struct Relays {
    discovery: Option<(u16, Arc<OnceLock<Vec<SocketAddr>>>)>,
}

impl Relays {
    /// The addresses under which proxies reach their agents.
    fn lead_to(&self, agents: &[SocketAddr]) -> Vec<SocketAddr> {
        let Some((port, targets)) = &self.discovery else { return agents.to_vec() };
        let _ = targets.set(agents.to_vec());
        let relayed = |proxy| SocketAddr::from((crate::address::at_relay(proxy), *port));
        (0..agents.len()).map(relayed).collect()
    }
}

fn open_relays(shared_state: &Arc<SharedState>, clock: &Clock) -> Result<Option<Relays>, FleetError> {
    if shared_state.script.link_faults.is_empty() {
        return Ok(None);
    }
    let (told, heard) = mpsc::channel();
    let (shared_state, clock) = (Arc::clone(shared_state), clock.clone());
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let Ok(runtime) = runtime else { return };
        LocalSet::new().block_on(&runtime, async {
            let opened = relays(&shared_state, &clock);
            let went = opened.is_ok();
            let _ = told.send(opened);
            if went {
                // They carry until the day's last connection is gone with the board.
                while Arc::strong_count(&shared_state) > 1 {
                    sleep(Duration::from_millis(100)).await;
                }
            }
        });
    });
    Ok(Some(heard.recv().map_err(|_| FleetError::StandIns)??))
}

fn relays(shared_state: &Arc<SharedState>, clock: &Clock) -> io::Result<Relays> {
    let (script, links) = (&shared_state.script, Rc::new(Links::new(&shared_state.script)));
    if script.has_links(LinkEndpoints::Boxes) {
        let port = |at_box: usize| {
            let address = shared_state.backend_status(at_box).address();
            relay::streams(&links, clock, LinkEndpoints::Boxes, at_box, Rc::new(move |_| address))
        };
        shared_state
            .set_backend_relays((0..script.fleet.backends).map(port).collect::<io::Result<Vec<_>>>()?);
    }
    let mut discovery = None;
    if script.has_links(LinkEndpoints::Discovery) {
        let targets: Arc<OnceLock<Vec<SocketAddr>>> = Arc::default();
        let of = Arc::clone(&targets);
        let target = move |proxy: usize| of.get().and_then(|agents| agents.get(proxy).copied());
        discovery =
            Some((relay::streams(&links, clock, LinkEndpoints::Discovery, 0, Rc::new(target))?, targets));
    }
    if script.has_links(LinkEndpoints::Clients) {
        let front = Arc::downgrade(shared_state);
        let target = move |proxy: usize| {
            front.upgrade().and_then(|shared_state| shared_state.proxy_endpoint(proxy).listen_address())
        };
        shared_state.set_client_relay(relay::streams(
            &links,
            clock,
            LinkEndpoints::Clients,
            0,
            Rc::new(target),
        )?);
    }
    Ok(Relays { discovery })
}

/// Starts processes, signals them, and keeps account of what it did.
struct Director {
    shared_state: Arc<SharedState>,
    machine: Machine,
    places: Vec<Place>,
    running: Vec<Option<Process>>,
    /// Processes that were told to end and whose place another one has taken.
    leaving: Vec<(usize, Process)>,
    lists: Vec<Value>,
    record: RefCell<ObservationLog>,
    crashed: Option<FleetError>,
    cpu_s: f64,
    // Last, so that it goes when the processes have.
    folder: Folder,
}

impl Director {
    fn new(shared_state: &Arc<SharedState>, machine: &Machine, lists: Vec<Value>) -> io::Result<Self> {
        Ok(Self {
            shared_state: Arc::clone(shared_state),
            machine: machine.clone(),
            places: Vec::new(),
            running: Vec::new(),
            leaving: Vec::new(),
            lists,
            record: RefCell::default(),
            crashed: None,
            cpu_s: 0.0,
            folder: Folder::new()?,
        })
    }

    fn saw(&self, seen: Observation) {
        self.record.borrow_mut().add(self.shared_state.now(), seen);
    }

    fn start(&mut self, proxy: usize, list: InitialList) -> io::Result<Process> {
        let nothing = json!({"revision": 0, "complete": true, "members": []});
        let known = if list == InitialList::Old { &self.lists[proxy] } else { &nothing };
        self.places[proxy].start(&self.shared_state.script, &self.machine, known)
    }

    async fn start_all(&mut self) -> Result<(), FleetError> {
        for proxy in 0..self.places.len() {
            let process = self.start(proxy, InitialList::Old)?;
            self.running.push(Some(process));
        }
        for proxy in 0..self.places.len() {
            let Some(process) = &mut self.running[proxy] else { continue };
            if !process.is_ready().await {
                return Err((proxy, &*process).into());
            }
            self.shared_state.proxy_endpoint(proxy).set_listen_address(self.places[proxy].listen());
            self.shared_state.proxy_endpoint(proxy).set_open(true);
        }
        Ok(())
    }

    /// Kills those that still run, and waits for them.
    fn kill(&mut self, proxy: usize) {
        self.shared_state.proxy_endpoint(proxy).record_kill();
        if let Some(mut process) = self.running[proxy].take() {
            self.crash(proxy, &mut process);
            self.cpu_s += process.cpu_s();
            process.kill();
        }
        // Whatever it had taken is gone with it; nobody can ask it any more.
        self.saw(Observation::ProxyKilled { proxy });
    }

    /// It should run: where it has ended, it has crashed.
    fn crash(&mut self, proxy: usize, process: &mut Process) {
        if let Some(status) = process.ended() {
            let crashed = FleetError::Crashed(proxy, status.to_string(), process.last_words());
            self.crashed.get_or_insert(crashed);
        }
    }

    /// Tells one to end that serves no more, or not in this place. What it uses from now on is not counted.
    fn dismiss(&mut self, proxy: usize, mut process: Process) {
        self.cpu_s += process.cpu_s();
        process.terminate();
        self.leaving.push((proxy, process));
    }

    /// The time after SIGTERM is over.
    fn reap(&mut self, proxy: usize) {
        if let Some(process) = self.running[proxy].take() {
            // The kernel forgets it with the look at how it ended.
            self.cpu_s += process.cpu_s();
            self.has_ended(proxy, process);
        }
    }

    /// A process that was told to end: it has ended well, or is killed, which the judge sees.
    fn has_ended(&mut self, proxy: usize, mut process: Process) {
        if process.ended_badly() {
            self.crash(proxy, &mut process);
        }
    }

    /// Tells all to end; gives those that were told, now or before. A replacement that never got ready is killed.
    fn terminate_all(&mut self) -> Vec<(usize, Process)> {
        self.leaving.retain(|(_, process)| process.was_told());
        for (proxy, process) in std::mem::take(&mut self.running).into_iter().enumerate() {
            if let Some(mut process) = process {
                self.crash(proxy, &mut process);
                self.dismiss(proxy, process);
            }
        }
        std::mem::take(&mut self.leaving)
    }

    /// The mean processor time of a proxy, where none has crashed.
    fn cost(&mut self) -> Result<f64, FleetError> {
        match self.crashed.take() {
            Some(crashed) => Err(crashed),
            None => Ok(self.cpu_s / self.places.len().max(1) as f64),
        }
    }
}

/// Waits until all have ended, or for as long as they may take.
async fn wait_for_end(mut told: Vec<(usize, Process)>) -> Vec<(usize, Process)> {
    let end = tokio::time::Instant::now() + END_TIMEOUT;
    while told.iter_mut().any(|(_, process)| process.ended().is_none()) && tokio::time::Instant::now() < end {
        sleep(Duration::from_millis(20)).await;
    }
    told
}

/// Does what the plan says to processes, at its times.
async fn direct(director: &Rc<RefCell<Director>>, shared_state: &Arc<SharedState>, began: Micros) {
    for event in &shared_state.plan.processes {
        shared_state.sleep_until(began + event.at).await;
        let proxy = event.proxy;
        match event.action {
            ProcessAction::Kill => {
                director.borrow_mut().kill(proxy);
                let notice = Duration::from_micros(micros(shared_state.script.fleet.front_end_detection_s));
                close_later(shared_state, proxy, notice);
            }
            ProcessAction::Term => {
                if let Some(process) = &mut director.borrow_mut().running[proxy] {
                    process.terminate();
                }
                close_later(shared_state, proxy, TERM_NOTICE);
            }
            ProcessAction::Reap => director.borrow_mut().reap(proxy),
            ProcessAction::Stop(until) => {
                let mut director = director.borrow_mut();
                if let Some(process) = &mut director.running[proxy] {
                    process.stop();
                    director.saw(Observation::ProxyStalled { proxy, until: began + until });
                }
            }
            ProcessAction::Continue => {
                if let Some(process) = &mut director.borrow_mut().running[proxy] {
                    process.go_on();
                }
            }
            ProcessAction::Start(list) => {
                // From here it has its time to be ready, whatever the start itself takes.
                director.borrow().saw(Observation::ProxyRestarted { proxy });
                let started = director.borrow_mut().start(proxy, list);
                let Ok(process) = started else { continue };
                let (console, listen) = (process.console(), director.borrow().places[proxy].listen());
                director.borrow_mut().running[proxy] = Some(process);
                let (shared_state, director) = (Arc::clone(shared_state), Rc::clone(director));
                tokio::task::spawn_local(async move {
                    if Process::wait_until_up(listen).await {
                        shared_state.proxy_endpoint(proxy).set_open(true);
                        let mut director = director.borrow_mut();
                        director.saw(Observation::ProxyReady { proxy });
                        let running = director.running.get_mut(proxy).and_then(Option::as_mut);
                        running.into_iter().filter(|p| p.console() == console).for_each(Process::got_ready);
                    }
                });
            }
            ProcessAction::Replace => {
                tokio::task::spawn_local(replace(Rc::clone(director), proxy));
            }
        }
    }
}

/// The front notices after a while that a process is gone, where it still is.
fn close_later(shared_state: &Arc<SharedState>, proxy: usize, notice: Duration) {
    let shared_state = Arc::clone(shared_state);
    let kills = shared_state.proxy_endpoint(proxy).kill_count();
    let opened = shared_state.proxy_endpoint(proxy).open_count();
    tokio::task::spawn_local(async move {
        sleep(notice).await;
        let entrance = shared_state.proxy_endpoint(proxy);
        if entrance.kill_count() == kills && entrance.open_count() == opened {
            entrance.set_open(false);
        }
    });
}

/// Another process takes the place of one that serves on until it is told to end.
async fn replace(director: Rc<RefCell<Director>>, proxy: usize) {
    let started = director.borrow_mut().start(proxy, InitialList::Old);
    let Ok(process) = started else { return };
    let console = process.console();
    director.borrow_mut().leaving.push((proxy, process));
    if !Process::wait_until_ready(console).await {
        return;
    }
    let mut director = director.borrow_mut();
    let place = director.leaving.iter().position(|(_, p)| p.console() == console);
    let Some((_, mut new)) = place.map(|place| director.leaving.swap_remove(place)) else { return };
    new.got_ready();
    if let Some(old) = director.running[proxy].replace(new) {
        director.dismiss(proxy, old);
    }
}
