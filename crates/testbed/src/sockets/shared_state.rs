//! State shared by the emulators of all shards: the script, the scenario's clock, the backends as discovery
//! sees them, and the proxies as the clients' front end sees them.

use crate::plan::Plan;
use crate::script::{BackendFaultKind, Script};
use balancer::api::Micros;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// Start of the scenario's clock, microseconds; greater than 0, because 0 means no time in
/// [`BackendStatus::started_at`].
const START: Micros = 1_000_000;

/// The state of a backend as discovery sees it.
#[derive(Default)]
pub(crate) struct BackendStatus {
    address: OnceLock<SocketAddr>,
    down: AtomicBool,
    draining: AtomicBool,
    /// When the process was last restarted, microseconds; 0 if never.
    started_at: AtomicU64,
}

impl BackendStatus {
    pub(crate) fn address(&self) -> Option<SocketAddr> {
        self.address.get().copied()
    }

    pub(crate) fn set_address(&self, address: SocketAddr) {
        let _ = self.address.set(address);
    }

    pub(crate) fn is_up(&self) -> bool {
        !self.down.load(Ordering::Acquire)
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    pub(crate) fn started_at(&self) -> Option<Micros> {
        Some(self.started_at.load(Ordering::Acquire)).filter(|&at| at > 0)
    }

    pub(crate) fn set_draining(&self, draining: bool) {
        self.draining.store(draining, Ordering::Release);
    }

    pub(crate) fn mark_down(&self) {
        self.down.store(true, Ordering::Release);
    }

    pub(crate) fn mark_up(&self, at: Micros) {
        self.started_at.store(at, Ordering::Release);
        self.down.store(false, Ordering::Release);
    }
}

/// A proxy as the clients' front end sees it.
#[derive(Default)]
pub(crate) struct ProxyEndpoint {
    listen_address: Mutex<Option<SocketAddr>>,
    open: AtomicBool,
    open_count: AtomicU32,
    kill_count: AtomicU32,
}

impl ProxyEndpoint {
    /// The address on which its process listens, once known.
    pub(crate) fn listen_address(&self) -> Option<SocketAddr> {
        *self.listen_address.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn set_listen_address(&self, address: SocketAddr) {
        *self.listen_address.lock().unwrap_or_else(PoisonError::into_inner) = Some(address);
    }

    /// Whether the front end routes requests to it.
    pub(crate) fn is_open(&self) -> bool {
        self.open.load(Ordering::Acquire)
    }

    pub(crate) fn set_open(&self, open: bool) {
        self.open_count.fetch_add(u32::from(open), Ordering::AcqRel);
        self.open.store(open, Ordering::Release);
    }

    /// How many times the front end has started to route requests to it.
    pub(crate) fn open_count(&self) -> u32 {
        self.open_count.load(Ordering::Acquire)
    }

    /// Records that its process is about to be killed.
    pub(crate) fn record_kill(&self) {
        self.kill_count.fetch_add(1, Ordering::AcqRel);
    }

    /// How many times its process was killed.
    pub(crate) fn kill_count(&self) -> u32 {
        self.kill_count.load(Ordering::Acquire)
    }
}

/// State shared by the emulators of all shards.
pub(crate) struct SharedState {
    pub(crate) script: Script,
    pub(crate) plan: Plan,
    origin: Instant,
    backends: Vec<BackendStatus>,
    proxy_endpoints: Vec<ProxyEndpoint>,
    discovery_down: AtomicU32,
    /// Notifies discovery of changed backends: at most two messages for each backend fault in the script.
    change_sender: UnboundedSender<usize>,
    /// The port of each backend's relay, where proxies connect to backends through relays.
    backend_relay_ports: OnceLock<Vec<u16>>,
    /// The port of the relay, where clients connect to proxies through one.
    client_relay_port: OnceLock<u16>,
    /// How many times each fault was drawn for a request.
    fault_draws: Mutex<HashMap<(BackendFaultKind, u64), u64>>,
}

impl SharedState {
    /// Creates the state, and the receiver of changed backends for discovery.
    pub(crate) fn new(script: Script, plan: Plan) -> (Arc<Self>, UnboundedReceiver<usize>) {
        let (change_sender, changes) = unbounded_channel();
        let backends = (0..script.fleet.backends).map(|_| BackendStatus::default()).collect();
        let proxy_endpoints = (0..script.fleet.proxies).map(|_| ProxyEndpoint::default()).collect();
        let (backend_relay_ports, client_relay_port) = (OnceLock::new(), OnceLock::new());
        let (origin, discovery_down) = (Instant::now(), AtomicU32::new(0));
        let shared_state = Self {
            script,
            plan,
            origin,
            backends,
            proxy_endpoints,
            discovery_down,
            change_sender,
            backend_relay_ports,
            client_relay_port,
            fault_draws: Mutex::default(),
        };
        (Arc::new(shared_state), changes)
    }

    /// Counts a draw of this fault for a request; returns the number of earlier draws, at any backend.
    pub(crate) fn count_fault_draw(&self, kind: BackendFaultKind, request: u64) -> u64 {
        let mut draws = self.fault_draws.lock().unwrap_or_else(PoisonError::into_inner);
        let count = draws.entry((kind, request)).or_default();
        let earlier_draws = *count;
        *count += 1;
        earlier_draws
    }

    pub(crate) fn now(&self) -> Micros {
        START + self.origin.elapsed().as_micros() as Micros
    }

    pub(crate) fn instant(&self, at: Micros) -> tokio::time::Instant {
        (self.origin + Duration::from_micros(at.saturating_sub(START))).into()
    }

    pub(crate) async fn sleep_until(&self, at: Micros) {
        tokio::time::sleep_until(self.instant(at)).await;
    }

    pub(crate) fn backend_status(&self, backend: usize) -> &BackendStatus {
        &self.backends[backend]
    }

    pub(crate) fn proxy_endpoint(&self, proxy: usize) -> &ProxyEndpoint {
        &self.proxy_endpoints[proxy]
    }

    /// The number of backends whose process runs, and of those that are draining.
    pub(crate) fn count_up_and_draining(&self) -> (usize, usize) {
        let count = |predicate: fn(&BackendStatus) -> bool| {
            self.backends.iter().filter(|backend| predicate(backend)).count()
        };
        (count(BackendStatus::is_up), count(BackendStatus::is_draining))
    }

    /// Notifies discovery that a backend has changed.
    pub(crate) fn notify_backend_changed(&self, backend: usize) {
        // Fails only after the scenario has ended, when the receiver has been dropped.
        let _ = self.change_sender.send(backend);
    }

    pub(crate) fn discovery_is_down(&self) -> bool {
        self.discovery_down.load(Ordering::Acquire) > 0
    }

    pub(crate) fn set_discovery_down(&self, down: bool) {
        if down {
            self.discovery_down.fetch_add(1, Ordering::AcqRel);
        } else {
            self.discovery_down.fetch_sub(1, Ordering::AcqRel);
        }
    }

    /// Makes proxies connect to backends through relays at these ports, each proxy at its own relay address.
    pub(crate) fn set_backend_relays(&self, ports: Vec<u16>) {
        let _ = self.backend_relay_ports.set(ports);
    }

    /// Makes clients connect to proxies through a relay at this port.
    pub(crate) fn set_client_relay(&self, port: u16) {
        let _ = self.client_relay_port.set(port);
    }

    /// The address at which clients connect to a proxy.
    pub(crate) fn proxy_address(&self, proxy: usize) -> Option<SocketAddr> {
        match self.client_relay_port.get() {
            Some(&port) => Some(SocketAddr::from((crate::address::relay_address(proxy), port))),
            None => self.proxy_endpoint(proxy).listen_address(),
        }
    }

    /// The address at which a proxy connects to a backend.
    pub(crate) fn backend_address(&self, proxy: usize, backend: usize) -> Option<SocketAddr> {
        match self.backend_relay_ports.get() {
            Some(ports) => Some(SocketAddr::from((crate::address::relay_address(proxy), ports[backend]))),
            None => self.backend_status(backend).address(),
        }
    }

    /// Selects the proxy for a request: the planned one while it is open, otherwise a random open one of the
    /// same zone, if any.
    pub(crate) fn select_proxy(&self, planned: usize, rng: &mut fastrand::Rng) -> Option<usize> {
        if self.proxy_endpoint(planned).is_open() {
            return Some(planned);
        }
        self.script.replacement_for(planned, |proxy| self.proxy_endpoint(proxy).is_open(), rng)
    }
}
