//! The listed backends and the pool of connections to them.

mod attempt;
mod connect;
mod connection;
mod health_check;
mod idle_selection;
mod response;

use self::connection::{BackendConnection, IdleConnection};
use self::idle_selection::{idle_limit, select_idle};
use balancer::api::{Backend, BackendId, Micros, Readiness};
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// How often expired idle connections are closed.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);
/// How long a connection may take to accept another request after its response.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);

/// A backend in the balancer's terms, and its address.
#[derive(Clone, Copy, Debug)]
pub struct ListedBackend {
    /// The backend in the balancer's terms.
    pub backend: Backend,
    /// Where it listens.
    pub address: SocketAddr,
}

/// How an attempt or a health check ended.
type AttemptEnd = request_engine::engine::AttemptEnd<crate::exchange::BackendResponse>;

/// A listed backend and its idle connections.
pub struct PooledBackend {
    address: Cell<SocketAddr>,
    started_at: Cell<Option<Micros>>,
    is_ready: Cell<bool>,
    /// Counts its restarts and moves: a connection to an earlier incarnation is not reused.
    incarnation: Cell<u64>,
    /// The longest idle first.
    idle: RefCell<Vec<IdleConnection>>,
}

impl PooledBackend {
    fn new(address: SocketAddr, started_at: Option<Micros>) -> Rc<Self> {
        Rc::new(Self {
            address: Cell::new(address),
            started_at: Cell::new(started_at),
            is_ready: Cell::new(false),
            incarnation: Cell::new(0),
            idle: RefCell::default(),
        })
    }

    fn add_idle(&self, connection: BackendConnection) {
        if self.incarnation.get() == connection.incarnation {
            self.idle.borrow_mut().push(IdleConnection { connection, since: Instant::now() });
        }
    }

    /// Makes a connection available for reuse once it accepts another request.
    fn release(self: &Rc<Self>, mut connection: BackendConnection) {
        if connection.sender.is_ready() {
            return self.add_idle(connection);
        }
        let backend = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let ready = timeout(RELEASE_TIMEOUT, connection.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                backend.add_idle(connection);
            }
        });
    }

    /// Closes the idle connections, and keeps those in use from being reused.
    fn end_incarnation(&self) {
        self.incarnation.set(self.incarnation.get() + 1);
        self.idle.borrow_mut().clear();
    }

    /// Ends all use of a removed backend, except for attempts that have started.
    fn remove(&self) {
        self.is_ready.set(false);
        self.end_incarnation();
    }
}

/// All listed backends and the connections to them.
pub struct BackendPool {
    backends: RefCell<FxHashMap<BackendId, Rc<PooledBackend>>>,
    open_sockets: Rc<Cell<usize>>,
    max_sockets: Cell<usize>,
    connect_timeout: Cell<Duration>,
    idle_limit: Cell<Duration>,
    report_fields: Vec<String>,
}

impl BackendPool {
    /// An empty pool of up to `max_sockets` connections. `connect_timeout` and `backend_idle_timeout` (how long backends keep
    /// an idle connection open) are in microseconds; `report_fields` are the fields of a load report in the balancer's order.
    #[must_use]
    pub fn new(
        max_sockets: usize,
        connect_timeout: Micros,
        backend_idle_timeout: Micros,
        report_fields: Vec<String>,
    ) -> Rc<Self> {
        Rc::new(Self {
            backends: RefCell::default(),
            open_sockets: Rc::default(),
            max_sockets: Cell::new(max_sockets),
            connect_timeout: Cell::new(Duration::from_micros(connect_timeout)),
            idle_limit: Cell::new(idle_limit(backend_idle_timeout)),
            report_fields,
        })
    }

    /// Replaces the timeouts (microseconds), also for connections that are idle already.
    pub fn set_timeouts(&self, connect_timeout: Micros, backend_idle_timeout: Micros) {
        self.connect_timeout.set(Duration::from_micros(connect_timeout));
        self.idle_limit.set(idle_limit(backend_idle_timeout));
    }

    /// Applies discovery's entry of one backend.
    pub fn update(
        &self,
        id: BackendId,
        address: SocketAddr,
        readiness: Readiness,
        started_at: Option<Micros>,
    ) {
        let mut backends = self.backends.borrow_mut();
        if readiness == Readiness::Removed {
            // Attempts in flight keep a reference; a later backend with this id is another one.
            return backends.remove(&id).iter().for_each(|backend| backend.remove());
        }
        let backend = backends.entry(id).or_insert_with(|| PooledBackend::new(address, started_at));
        backend.is_ready.set(readiness == Readiness::Ready);
        let has_restarted = backend.started_at.replace(started_at) != started_at;
        let has_moved = backend.address.replace(address) != address;
        // The connections of the old process are dead, or will end in a reset.
        if has_restarted || has_moved {
            backend.end_incarnation();
        }
    }

    /// Applies a snapshot: removes the backends that it does not list.
    pub fn retain(&self, is_listed: impl Fn(BackendId) -> bool) {
        self.backends.borrow_mut().retain(|&id, backend| {
            let listed = is_listed(id);
            if !listed {
                backend.remove();
            }
            listed
        });
    }

    /// Closes the idle connections to a backend.
    pub fn close_idle(&self, id: BackendId) {
        if let Some(backend) = self.backend(id) {
            backend.idle.borrow_mut().clear();
        }
    }

    /// The backend with this id, if it is listed.
    #[must_use]
    pub fn backend(&self, id: BackendId) -> Option<Rc<PooledBackend>> {
        self.backends.borrow().get(&id).cloned()
    }

    /// The address of a backend, if it is listed as ready.
    #[must_use]
    pub fn address(&self, id: BackendId) -> Option<SocketAddr> {
        let backends = self.backends.borrow();
        backends.get(&id).filter(|backend| backend.is_ready.get()).map(|backend| backend.address.get())
    }

    /// Closes expired idle connections until the process ends.
    pub async fn close_expired(self: Rc<Self>) {
        loop {
            sleep(EXPIRY_INTERVAL).await;
            for backend in self.backends.borrow().values() {
                backend.idle.borrow_mut().retain(|idle| self.is_usable(idle));
            }
        }
    }

    fn is_usable(&self, idle: &IdleConnection) -> bool {
        !idle.connection.sender.is_closed() && idle.since.elapsed() < self.idle_limit.get()
    }

    /// Replaces the maximum number of connections, and closes idle ones beyond it.
    pub fn set_max_sockets(&self, max_sockets: usize) {
        self.max_sockets.set(max_sockets);
        while self.open_sockets.get() > max_sockets && self.close_longest_idle() {}
    }

    fn take_idle(&self, backend: &PooledBackend) -> Option<BackendConnection> {
        let mut all = backend.idle.borrow_mut();
        while let Some(index) = select_idle(all.iter().map(|idle| idle.since.elapsed())) {
            let idle = all.remove(index);
            let connection = &idle.connection;
            if self.is_usable(&idle) && connection.sender.is_ready() && connection.socket.is_quiet() {
                return Some(idle.connection);
            }
        }
        None
    }

    /// Makes a socket available, by closing an idle connection if necessary; false if all sockets are in use.
    fn reserve_socket(&self) -> bool {
        if self.open_sockets.get() < self.max_sockets.get() {
            return true;
        }
        self.close_longest_idle()
    }

    fn close_longest_idle(&self) -> bool {
        let backends = self.backends.borrow();
        let oldest = backends.values().filter_map(|b| Some((b.idle.borrow().first()?.since, b)));
        let Some((_, backend)) = oldest.min_by_key(|(since, _)| *since) else { return false };
        backend.idle.borrow_mut().remove(0);
        true
    }
}

#[cfg(test)]
mod tests;
