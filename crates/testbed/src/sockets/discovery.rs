//! Discovery as each proxy's own agent, or as one service that all proxies ask: it is told late, answers watches, and
//! records what it has told.

use super::listen_on_loopback;
use super::shard::Shared;
use crate::address;
use crate::call_queue::{CallOutcome, CallQueue};
use crate::http1;
use crate::http1::Message;
use crate::invariant_checker::Observation;
use crate::script::micros;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};

/// The longest that a watch waits, milliseconds.
const MAX_WAIT_MS: u64 = 60_000;
/// A watch goes on where the next call comes within this time of the last answer; a later call begins a new one.
const WATCH_GOES_ON: Duration = Duration::from_millis(200);

/// What the agent holds of one box.
struct Entry {
    /// The version that brought it.
    revision: u64,
    member: Value,
    ready: bool,
    left: bool,
}

/// What one proxy is told, be it by its own agent or by the service of all.
pub(crate) struct Agent {
    shared: Rc<Shared>,
    proxy: usize,
    pub(crate) address: SocketAddr,
    revision: Cell<u64>,
    entries: RefCell<Vec<Entry>>,
    changed: Notify,
    rng: RefCell<fastrand::Rng>,
    /// The calls of the service that all proxies ask, where there is one.
    queue: Option<Rc<RefCell<CallQueue>>>,
    /// When it last answered a call for changes.
    watched: Cell<Option<Instant>>,
}

/// Opens discovery for all proxies.
pub(crate) async fn open(shared: &Rc<Shared>) -> io::Result<Vec<Rc<Agent>>> {
    let script = &shared.board.script;
    let mut agents = Vec::new();
    let Some(queue) = script.discovery.queue(script.seed) else {
        for proxy in 0..script.fleet.proxies {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            let agent = Agent::new(shared, proxy, listener.local_addr()?, None);
            let serving = Rc::clone(&agent);
            tokio::task::spawn_local(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    tokio::task::spawn_local(Rc::clone(&serving).connection(stream));
                }
            });
            agents.push(agent);
        }
        return Ok(agents);
    };
    let (listener, queue) = (listen_on_loopback()?, Rc::new(RefCell::new(queue)));
    let port = listener.local_addr()?.port();
    for proxy in 0..script.fleet.proxies {
        let address = SocketAddr::from((address::at_relay(proxy), port));
        agents.push(Agent::new(shared, proxy, address, Some(Rc::clone(&queue))));
    }
    let serving = agents.clone();
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            // The address that was called names the proxy.
            let called = match stream.local_addr() {
                Ok(SocketAddr::V4(at)) => address::relayed(*at.ip()),
                _ => None,
            };
            if let Some(agent) = called.and_then(|proxy| serving.get(proxy)) {
                tokio::task::spawn_local(Rc::clone(agent).connection(stream));
            }
        }
    });
    Ok(agents)
}

impl Agent {
    /// It holds the list as it is.
    fn new(
        shared: &Rc<Shared>,
        proxy: usize,
        address: SocketAddr,
        queue: Option<Rc<RefCell<CallQueue>>>,
    ) -> Rc<Self> {
        let agent = Rc::new(Self {
            shared: Rc::clone(shared),
            proxy,
            address,
            revision: Cell::new(1),
            entries: RefCell::default(),
            changed: Notify::new(),
            rng: RefCell::new(fastrand::Rng::with_seed(shared.board.script.seed ^ (proxy as u64 + 1) << 32)),
            queue,
            watched: Cell::new(None),
        });
        let entries = (0..shared.board.script.fleet.backends).map(|at_box| agent.entry(at_box)).collect();
        agent.entries.replace(entries);
        agent
    }

    fn entry(&self, at_box: usize) -> Entry {
        let face = self.shared.board.face(at_box);
        let phase = match (face.is_up(), face.drains()) {
            (false, _) => "left",
            (true, true) => "leaving",
            (true, false) => "active",
        };
        // The proxies' clocks count from the epoch.
        let age = face.started().map(|at| Duration::from_micros(self.shared.board.now() - at));
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let script = &self.shared.board.script;
        let behind_ms = (script.fleet.clock_behind_s * 1e3) as i64;
        let told_ms = |age| (unix.saturating_sub(age).as_millis() as u64).saturating_add_signed(-behind_ms);
        let started = age.map_or(0, told_ms);
        let address = self.shared.board.way_to_box(self.proxy, at_box).map(|a| a.to_string());
        let member = json!({"id": format!("b{at_box}"), "host_port": address,
            "locality": format!("z{}", script.zone(at_box)), "flavor": "box", "cell": script.cell(at_box),
            "phase": phase, "size": 1.0, "up_since_ms": started});
        Entry { revision: self.revision.get(), member, ready: phase == "active", left: phase == "left" }
    }

    /// The whole list as it is now, in discovery's form.
    pub(crate) fn list(&self) -> Value {
        let members =
            self.entries.borrow().iter().filter(|e| !e.left).map(|e| e.member.clone()).collect::<Vec<_>>();
        json!({"revision": self.revision.get(), "complete": true, "members": members})
    }

    /// A box has changed: this agent learns of it late; the service of all, for all proxies at once.
    pub(crate) fn news(self: Rc<Self>, at_box: usize) {
        let more = if self.queue.is_some() { 0.0 } else { self.rng.borrow_mut().f64() };
        let late = self.shared.board.script.fleet.notification_delay_s * (1.0 + more);
        tokio::task::spawn_local(async move {
            sleep(Duration::from_micros(micros(late))).await;
            while self.shared.board.discovery_is_down() {
                self.changed.notified().await;
            }
            self.revision.set(self.revision.get() + 1);
            let entry = self.entry(at_box);
            self.entries.borrow_mut()[at_box] = entry;
            self.changed.notify_waiters();
        });
    }

    /// Discovery is back, or down: whoever waits looks again.
    pub(crate) fn look(&self) {
        self.changed.notify_waiters();
    }

    async fn connection(self: Rc<Self>, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Ok(Some(request)) = http1::read(&mut stream, &mut buffer, false).await {
            self.shared.saw(Observation::DiscoveryCalled { proxy: self.proxy });
            let after = number(&request, "after");
            let wait = Duration::from_millis(number(&request, "wait_ms").unwrap_or(0).min(MAX_WAIT_MS));
            if !(self.is_taken(after).await && self.has_waited(after, wait).await) {
                if http1::answer(&mut stream, "503 Service Unavailable", "", b"").await.is_err() {
                    return;
                }
                continue;
            }
            if self.tell(&mut stream, after).await.is_err() {
                return;
            }
            self.watched.set(after.map(|_| Instant::now()));
        }
    }

    /// Whether the service of all has come to a call; an agent comes to each at once. A watch that goes on costs nothing.
    async fn is_taken(&self, after: Option<u64>) -> bool {
        let Some(queue) = &self.queue else { return true };
        let goes_on = self.watched.get().is_some_and(|at| at.elapsed() <= WATCH_GOES_ON);
        if self.shared.board.discovery_is_down() || (after.is_some() && goes_on) {
            return !self.shared.board.discovery_is_down();
        }
        let fate = queue.borrow_mut().come(self.shared.board.now());
        let (CallOutcome::Done(at) | CallOutcome::Failed(at)) = fate;
        self.shared.board.sleep_until(at).await;
        matches!(fate, CallOutcome::Done(_)) && !self.shared.board.discovery_is_down()
    }

    /// Waits for something newer. Whether the watch ended well: while discovery is down an agent is silent and the
    /// service of all ends its watches.
    async fn has_waited(&self, after: Option<u64>, wait: Duration) -> bool {
        let Some(after) = after else { return true };
        let down = || self.shared.board.discovery_is_down();
        let ends = || self.queue.is_some() && down();
        let newer = async {
            while !ends() && (self.revision.get() <= after || down()) {
                self.changed.notified().await;
            }
        };
        let _ = timeout(wait, newer).await;
        !ends()
    }

    async fn tell(&self, stream: &mut TcpStream, after: Option<u64>) -> io::Result<()> {
        let (mut members, mut told) = (Vec::new(), Vec::new());
        for (at_box, entry) in self.entries.borrow().iter().enumerate() {
            let listed = after.map_or(!entry.left, |after| entry.revision > after);
            if listed {
                members.push(entry.member.clone());
            }
            // A whole list tells of those that it leaves out, too.
            if listed || after.is_none() {
                told.push((at_box, entry.ready));
            }
        }
        let revision = self.revision.get();
        let list = json!({"revision": revision, "complete": after.is_none(), "members": members});
        http1::answer(stream, "200 OK", "", list.to_string().as_bytes()).await?;
        for (at_box, ready) in told {
            self.shared.saw(Observation::BackendNotified { proxy: self.proxy, backend: at_box, ready });
        }
        Ok(())
    }
}

/// A number in a call's query.
fn number(request: &Message, name: &str) -> Option<u64> {
    let query = request.target.1.split_once('?').map_or("", |(_, query)| query);
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(n, _)| *n == name).and_then(|(_, value)| value.parse::<u64>().ok())
}
