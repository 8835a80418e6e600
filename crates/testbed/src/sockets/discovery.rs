//! Emulated discovery: one agent for each proxy, or one service shared by all proxies. It receives changes of
//! backends after a delay, answers watches, and records which proxy was notified of what.

use super::listen_on_loopback;
use super::shard::ShardContext;
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

/// Upper bound on the time for which a watch may wait for a change, milliseconds.
const MAX_WAIT_MS: u64 = 60_000;
/// A call for changes within this time after the last response continues that watch; a later one starts a new
/// watch.
const WATCH_CONTINUATION_TIMEOUT: Duration = Duration::from_millis(200);

/// A backend in the list of one proxy.
struct Entry {
    /// The list's revision as of the last change of this backend.
    revision: u64,
    member: Value,
    ready: bool,
    has_left: bool,
}

/// The list of backends for one proxy, served by its own agent or by the shared service.
pub(crate) struct DiscoveryAgent {
    context: Rc<ShardContext>,
    proxy: usize,
    pub(crate) address: SocketAddr,
    revision: Cell<u64>,
    entries: RefCell<Vec<Entry>>,
    changed: Notify,
    rng: RefCell<fastrand::Rng>,
    /// The call queue of the shared service, where there is one.
    queue: Option<Rc<RefCell<CallQueue>>>,
    /// When the last call for changes received its response.
    last_watch_response: Cell<Option<Instant>>,
}

/// Starts discovery for all proxies.
///
/// # Errors
/// Where a listener cannot be opened.
pub(crate) async fn open(context: &Rc<ShardContext>) -> io::Result<Vec<Rc<DiscoveryAgent>>> {
    let script = &context.state.script;
    let mut agents = Vec::new();
    let Some(queue) = script.discovery.queue(script.seed) else {
        for proxy in 0..script.fleet.proxies {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            let agent = DiscoveryAgent::new(context, proxy, listener.local_addr()?, None);
            let serving = Rc::clone(&agent);
            tokio::task::spawn_local(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    tokio::task::spawn_local(Rc::clone(&serving).serve_connection(stream));
                }
            });
            agents.push(agent);
        }
        return Ok(agents);
    };
    let (listener, queue) = (listen_on_loopback()?, Rc::new(RefCell::new(queue)));
    let port = listener.local_addr()?.port();
    for proxy in 0..script.fleet.proxies {
        let address = SocketAddr::from((address::relay_address(proxy), port));
        agents.push(DiscoveryAgent::new(context, proxy, address, Some(Rc::clone(&queue))));
    }
    let serving = agents.clone();
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            // Each proxy calls its own destination address.
            let called_proxy = match stream.local_addr() {
                Ok(SocketAddr::V4(at)) => address::process_behind_relay(*at.ip()),
                _ => None,
            };
            if let Some(agent) = called_proxy.and_then(|proxy| serving.get(proxy)) {
                tokio::task::spawn_local(Rc::clone(agent).serve_connection(stream));
            }
        }
    });
    Ok(agents)
}

impl DiscoveryAgent {
    /// Creates an agent with the current list.
    fn new(
        context: &Rc<ShardContext>,
        proxy: usize,
        address: SocketAddr,
        queue: Option<Rc<RefCell<CallQueue>>>,
    ) -> Rc<Self> {
        let agent = Rc::new(Self {
            context: Rc::clone(context),
            proxy,
            address,
            revision: Cell::new(1),
            entries: RefCell::default(),
            changed: Notify::new(),
            rng: RefCell::new(fastrand::Rng::with_seed(context.state.script.seed ^ (proxy as u64 + 1) << 32)),
            queue,
            last_watch_response: Cell::new(None),
        });
        let entries = (0..context.state.script.fleet.backends).map(|backend| agent.entry(backend)).collect();
        agent.entries.replace(entries);
        agent
    }

    fn entry(&self, backend: usize) -> Entry {
        let status = self.context.state.backend_status(backend);
        let phase = match (status.is_up(), status.is_draining()) {
            (false, _) => "left",
            (true, true) => "leaving",
            (true, false) => "active",
        };
        // The list contains Unix times, by a clock that may lag behind that of the proxies.
        let age = status.started_at().map(|at| Duration::from_micros(self.context.state.now() - at));
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let script = &self.context.state.script;
        let clock_lag_ms = (script.fleet.clock_behind_s * 1e3) as i64;
        let start_time_ms =
            |age| (unix.saturating_sub(age).as_millis() as u64).saturating_add_signed(-clock_lag_ms);
        let up_since_ms = age.map_or(0, start_time_ms);
        let address = self.context.state.backend_address(self.proxy, backend).map(|a| a.to_string());
        let member = json!({"id": format!("b{backend}"), "host_port": address,
            "locality": format!("z{}", script.zone(backend)), "flavor": "box", "cell": script.cell(backend),
            "phase": phase, "size": 1.0, "up_since_ms": up_since_ms});
        Entry { revision: self.revision.get(), member, ready: phase == "active", has_left: phase == "left" }
    }

    /// The current list as a snapshot, in the JSON format of discovery.
    pub(crate) fn list(&self) -> Value {
        let members = self
            .entries
            .borrow()
            .iter()
            .filter(|e| !e.has_left)
            .map(|e| e.member.clone())
            .collect::<Vec<_>>();
        json!({"revision": self.revision.get(), "complete": true, "members": members})
    }

    /// Applies the change of a backend after the notification delay. The shared service applies it for all
    /// proxies at the same time; each agent adds a random delay of its own.
    pub(crate) fn schedule_update(self: Rc<Self>, backend: usize) {
        let random_factor = if self.queue.is_some() { 0.0 } else { self.rng.borrow_mut().f64() };
        let delay_s = self.context.state.script.fleet.notification_delay_s * (1.0 + random_factor);
        tokio::task::spawn_local(async move {
            sleep(Duration::from_micros(micros(delay_s))).await;
            while self.context.state.discovery_is_down() {
                self.changed.notified().await;
            }
            self.revision.set(self.revision.get() + 1);
            let entry = self.entry(backend);
            self.entries.borrow_mut()[backend] = entry;
            self.changed.notify_waiters();
        });
    }

    /// Wakes waiting watches after discovery has gone down or come back.
    pub(crate) fn wake_watches(&self) {
        self.changed.notify_waiters();
    }

    async fn serve_connection(self: Rc<Self>, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Ok(Some(request)) = http1::read(&mut stream, &mut buffer, http1::MessageKind::Request).await
        {
            self.context.record(Observation::DiscoveryCalled { proxy: self.proxy });
            let after = query_number(&request, "after");
            let wait = Duration::from_millis(query_number(&request, "wait_ms").unwrap_or(0).min(MAX_WAIT_MS));
            if !(self.accept_call(after).await && self.wait_for_change(after, wait).await) {
                if http1::write_response(&mut stream, "503 Service Unavailable", "", b"").await.is_err() {
                    return;
                }
                continue;
            }
            if self.send_changes(&mut stream, after).await.is_err() {
                return;
            }
            self.last_watch_response.set(after.map(|_| Instant::now()));
        }
    }

    /// Waits until the shared service has processed a call, and returns whether it succeeded. Agents accept
    /// each call at once; a call that continues a watch does not go through the queue.
    async fn accept_call(&self, after: Option<u64>) -> bool {
        let Some(queue) = &self.queue else { return true };
        let continues_watch =
            self.last_watch_response.get().is_some_and(|at| at.elapsed() <= WATCH_CONTINUATION_TIMEOUT);
        if self.context.state.discovery_is_down() || (after.is_some() && continues_watch) {
            return !self.context.state.discovery_is_down();
        }
        let outcome = queue.borrow_mut().add_call(self.context.state.now());
        let (CallOutcome::Done(at) | CallOutcome::Failed(at)) = outcome;
        self.context.state.sleep_until(at).await;
        matches!(outcome, CallOutcome::Done(_)) && !self.context.state.discovery_is_down()
    }

    /// Waits for a newer revision, at most for `wait`. Returns false where the watch fails: the shared
    /// service ends its watches when discovery goes down, whereas an agent sends no changes until discovery
    /// is back.
    async fn wait_for_change(&self, after: Option<u64>, wait: Duration) -> bool {
        let Some(after) = after else { return true };
        let is_down = || self.context.state.discovery_is_down();
        let watch_must_end = || self.queue.is_some() && is_down();
        let newer = async {
            while !watch_must_end() && (self.revision.get() <= after || is_down()) {
                self.changed.notified().await;
            }
        };
        let _ = timeout(wait, newer).await;
        !watch_must_end()
    }

    async fn send_changes(&self, stream: &mut TcpStream, after: Option<u64>) -> io::Result<()> {
        let (mut members, mut notified) = (Vec::new(), Vec::new());
        for (backend, entry) in self.entries.borrow().iter().enumerate() {
            let is_listed = after.map_or(!entry.has_left, |after| entry.revision > after);
            if is_listed {
                members.push(entry.member.clone());
            }
            // By omitting a backend, a snapshot notifies the proxy that it is not ready.
            if is_listed || after.is_none() {
                notified.push((backend, entry.ready));
            }
        }
        let revision = self.revision.get();
        let list = json!({"revision": revision, "complete": after.is_none(), "members": members});
        http1::write_response(stream, "200 OK", "", list.to_string().as_bytes()).await?;
        for (backend, ready) in notified {
            self.context.record(Observation::BackendNotified { proxy: self.proxy, backend, ready });
        }
        Ok(())
    }
}

/// A numeric parameter from the query string of a call.
fn query_number(request: &Message, name: &str) -> Option<u64> {
    let query = request.path.split_once('?').map_or("", |(_, query)| query);
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).and_then(|(_, value)| value.parse::<u64>().ok())
}
