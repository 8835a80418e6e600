//! A day on loopback sockets: real proxies, each on a thread of its own, between stand-ins for boxes, discovery and
//! clients. The stand-ins share one thread and one clock, and record what they saw for the judge.

mod boxes;
mod clients;
mod discovery;

use crate::judge::{Judgement, Record, Seen, judge};
use crate::script::{Script, What, micros};
use boxes::StandIn;
use clients::Clients;
use discovery::Agent;
use haventrack_decision::api::{Micros, Outcome};
use haventrack_engine::engine::Counts;
use haventrack_program::program::{self, Listening};
use haventrack_proxy::config::{Config, ConfigError};
use rustc_hash::FxHashMap;
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, mpsc};
use std::thread::JoinHandle;
use std::time::Duration;
use std::{io, thread};
use thiserror::Error;
use tokio::sync::oneshot;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// The clock of a day begins here, so that no time is 0.
const START: Micros = 1_000_000;
/// How long a proxy may take to come up, and to end.
const PROXY_TIME: Duration = Duration::from_secs(10);
/// How often a proxy's limits are looked at.
const LIMITS_EVERY: Duration = Duration::from_millis(250);
/// What a proxy may use: plenty, the sockets are this machine's.
const MEMORY_MB: usize = 192;
const SOCKETS: usize = 4_096;

/// Why a day could not be played.
#[derive(Debug, Error)]
pub enum SocketsError {
    /// A stand-in has no socket.
    #[error("a stand-in: {0}")]
    Io(#[from] io::Error),
    /// The proxy's configuration is refused.
    #[error("the proxy's configuration: {0}")]
    Config(#[from] ConfigError),
    /// A proxy did not come up, or ended early.
    #[error("proxy {0}: {1}")]
    Proxy(usize, String),
}

/// What all stand-ins share.
pub(crate) struct Shared {
    pub(crate) script: Script,
    origin: Instant,
    record: RefCell<Record>,
    /// The work of each request, which no proxy is told.
    work: RefCell<FxHashMap<u64, Micros>>,
    pub(crate) discovery_down: Cell<u32>,
    pub(crate) live: Cell<Live>,
    /// How often a trouble of answers or connections hit.
    pub(crate) hits: Cell<u64>,
}

impl Shared {
    pub(crate) fn now(&self) -> Micros {
        START + self.origin.elapsed().as_micros() as Micros
    }

    pub(crate) fn instant(&self, at: Micros) -> Instant {
        self.origin + Duration::from_micros(at.saturating_sub(START))
    }

    pub(crate) fn saw(&self, seen: Seen) {
        self.record.borrow_mut().add(self.now(), seen);
    }
}

/// Counts of a running day.
#[derive(Clone, Copy, Debug, Default)]
pub struct Live {
    /// Requests asked.
    pub asked: u64,
    /// Served.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Worth asked for and earned.
    pub worth: (f64, f64),
}

/// A second of a day, for whoever watches.
#[derive(Clone, Debug)]
pub struct Second {
    /// Seconds since its beginning.
    pub at: u64,
    /// Counts so far.
    pub live: Live,
    /// The first proxy's limit and requests in flight for each backend that it knows as ready.
    pub limits: Vec<(f64, u32)>,
    /// Boxes whose process runs.
    pub up: usize,
    /// Boxes that drain.
    pub draining: usize,
    /// Breaks of the four rules so far.
    pub broken: [u64; 4],
}

/// A day that was played.
#[derive(Clone, Debug)]
pub struct Day {
    /// What the stand-ins make of it.
    pub judgement: Judgement,
    /// How often a trouble of answers or connections hit.
    pub hits: u64,
    /// Ends of attempts at all proxies by outcome, in the order of [`Outcome::ALL`].
    pub outcomes: [u64; Outcome::ALL.len()],
    /// Servers ejected, at all proxies.
    pub ejections: u64,
}

/// What a proxy shows of itself while it runs: limits and requests in flight, and its counts.
type Shown = Arc<Mutex<(Vec<(f64, u32)>, Counts)>>;

struct Proxy {
    address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: JoinHandle<Result<(), String>>,
    shown: Shown,
}

/// Plays a day. `slack` is what this machine may be late by; `watch` is told of each second.
///
/// # Errors
/// Where a stand-in or a proxy can't be started. Broken rules are no error but in the judgement.
pub fn play(script: &Script, slack: Micros, watch: impl FnMut(&Second)) -> Result<Day, SocketsError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, day(script, slack, watch))
}

async fn day(script: &Script, slack: Micros, mut watch: impl FnMut(&Second)) -> Result<Day, SocketsError> {
    let shared = Rc::new(Shared {
        script: script.clone(),
        origin: Instant::now(),
        record: RefCell::default(),
        work: RefCell::default(),
        discovery_down: Cell::new(0),
        live: Cell::default(),
        hits: Cell::new(0),
    });
    let mut boxes = Vec::new();
    for index in 0..script.fleet.boxes {
        boxes.push(StandIn::start(&shared, index)?);
    }
    let boxes: Rc<[Rc<StandIn>]> = boxes.into();
    let mut agents = Vec::new();
    for proxy in 0..script.fleet.proxies {
        agents.push(Agent::start(&shared, &boxes, proxy).await?);
    }
    let mut proxies = Vec::new();
    for (index, agent) in agents.iter().enumerate() {
        proxies.push(start_proxy(script, index, agent.address)?);
    }
    let addresses: Vec<SocketAddr> = proxies.iter().map(|p| p.address).collect();
    for (index, &address) in addresses.iter().enumerate() {
        let up = timeout(PROXY_TIME, clients::wait_until_up(address)).await;
        up.map_err(|_| SocketsError::Proxy(index, "not up in time".into()))?;
    }
    let began = shared.now();
    for index in 0..script.trouble.len() {
        tokio::task::spawn_local(trouble(
            Rc::clone(&shared),
            Rc::clone(&boxes),
            agents.clone(),
            began,
            index,
        ));
    }
    let clients = Clients::new(&shared, addresses);
    let asking = tokio::task::spawn_local(Rc::clone(&clients).ask_all(began));
    let mut at = 0;
    while !asking.is_finished() || clients.open() > 0 {
        at += 1;
        sleep_until(shared.instant(began + at * 1_000_000)).await;
        watch(&second(&shared, &boxes, &proxies[0], at, slack));
    }
    // Whatever a proxy still sends for requests that are over would be seen now.
    sleep(LIMITS_EVERY + Duration::from_millis(50)).await;
    let (mut outcomes, mut ejections) = ([0; Outcome::ALL.len()], 0);
    for proxy in &proxies {
        if let Ok(shown) = proxy.shown.lock() {
            ejections += shown.1.ejections;
            outcomes.iter_mut().zip(shown.1.outcomes).for_each(|(sum, more)| *sum += more);
        }
    }
    stop_all(proxies).await?;
    let judgement = judge(script, &shared.record.borrow(), slack);
    Ok(Day { judgement, hits: shared.hits.get(), outcomes, ejections })
}

fn second(shared: &Shared, boxes: &[Rc<StandIn>], proxy: &Proxy, at: u64, slack: Micros) -> Second {
    let limits = proxy.shown.lock().map(|shown| shown.0.clone()).unwrap_or_default();
    let so_far = judge(&shared.script, &shared.record.borrow(), slack);
    // Those that still wait look lost to the judge.
    let open =
        so_far.all.asked - so_far.all.in_time - so_far.all.late - so_far.all.refused - so_far.all.failed;
    let mut broken = so_far.broken;
    broken[0] = broken[0].saturating_sub(open);
    let up = boxes.iter().filter(|b| b.is_up()).count();
    let draining = boxes.iter().filter(|b| b.drains()).count();
    Second { at, live: shared.live.get(), limits, up, draining, broken }
}

fn start_proxy(script: &Script, index: usize, discovery: SocketAddr) -> Result<Proxy, SocketsError> {
    let config = json!({"name": format!("p{index}"), "listen": "127.0.0.1:0",
        "discovery": discovery.to_string(), "seed": format!("{:x}", script.seed.wrapping_add(index as u64)),
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
        "known": {"revision": 0, "complete": true, "members": []}, "settings": script.settings(index)});
    // Checked here, so that a fault is told with its words.
    Config::parse(config.to_string().as_bytes(), |_| None)?;
    let (stop, stopped) = oneshot::channel();
    let (told, addresses) = mpsc::channel();
    let shown = Shown::default();
    let seen = Arc::clone(&shown);
    let thread = thread::spawn(move || {
        let config = Config::parse(config.to_string().as_bytes(), |_| None).map_err(|e| e.to_string())?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|e| e.to_string())?;
        let started = move |handle: &haventrack_proxy::carrier::Handle, listening: Listening| {
            let _ = told.send(listening.clients);
            let handle = handle.clone();
            tokio::task::spawn_local(async move {
                loop {
                    let now = (handle.limits(), handle.counts().0);
                    if let Ok(mut seen) = seen.lock() {
                        *seen = now;
                    }
                    sleep(LIMITS_EVERY).await;
                }
            });
        };
        let stop = async {
            let _ = stopped.await;
        };
        let served = LocalSet::new().block_on(&runtime, program::serve(config, stop, None, started));
        served.map_err(|e| e.to_string())
    });
    let address = addresses.recv_timeout(PROXY_TIME);
    let address = address.map_err(|_| SocketsError::Proxy(index, "did not listen in time".into()))?;
    Ok(Proxy { address, stop: Some(stop), thread, shown })
}

async fn stop_all(proxies: Vec<Proxy>) -> Result<(), SocketsError> {
    let stopping = proxies.into_iter().map(|mut proxy| {
        drop(proxy.stop.take());
        proxy.thread
    });
    for (index, thread) in stopping.collect::<Vec<_>>().into_iter().enumerate() {
        let began = Instant::now();
        while !thread.is_finished() && began.elapsed() < PROXY_TIME {
            sleep(Duration::from_millis(20)).await;
        }
        if !thread.is_finished() {
            return Err(SocketsError::Proxy(index, "did not end in time".into()));
        }
        let ended = thread.join().unwrap_or_else(|_| Err("panicked".into()));
        ended.map_err(|why| SocketsError::Proxy(index, why))?;
    }
    Ok(())
}

async fn trouble(
    shared: Rc<Shared>,
    boxes: Rc<[Rc<StandIn>]>,
    agents: Vec<Rc<Agent>>,
    began: Micros,
    index: usize,
) {
    let trouble = &shared.script.trouble[index];
    let struck = shared.script.struck(index);
    sleep_until(shared.instant(began + micros(trouble.at_s))).await;
    strike(&shared, &boxes, &agents, &struck, index, true);
    sleep_until(shared.instant(began + micros(trouble.at_s + trouble.for_s))).await;
    strike(&shared, &boxes, &agents, &struck, index, false);
}

fn strike(
    shared: &Rc<Shared>,
    boxes: &[Rc<StandIn>],
    agents: &[Rc<Agent>],
    struck: &[usize],
    index: usize,
    begins: bool,
) {
    let trouble = &shared.script.trouble[index];
    if trouble.what == What::DiscoveryDown {
        let down = shared.discovery_down.get();
        shared.discovery_down.set(down.saturating_add_signed(if begins { 1 } else { -1 }));
        agents.iter().for_each(|agent| agent.look());
        return;
    }
    for &at_box in struck {
        boxes[at_box].strike(trouble, begins);
        if matches!(trouble.what, What::Crash | What::Drain) {
            agents.iter().for_each(|agent| Rc::clone(agent).news(at_box));
        }
    }
}
