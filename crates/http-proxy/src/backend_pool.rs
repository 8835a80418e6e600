//! The backends that discovery lists, and the pool of connections to them.

mod attempt;
mod connect;
mod connection;
mod health_check;
mod idle_selection;
mod response;
mod send_backlog;
mod upload_deadline;

use self::connection::{BackendConnection, IdleConnection};
use self::idle_selection::{idle_limit, select_idle};
use balancer::api::{Backend, BackendId, Micros, Readiness};
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// The interval at which expired idle connections are closed.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);
/// The maximum time after a response until its connection accepts another request.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);

/// A backend as the balancer identifies it, and its address.
#[derive(Clone, Copy, Debug)]
pub struct ListedBackend {
    /// The backend with its id, zone, machine kind, readiness and start time.
    pub backend: Backend,
    /// The address at which it accepts connections.
    pub address: SocketAddr,
}

/// The outcome of an attempt or a health check, with its response and load report.
type AttemptCompletion = request_engine::engine::AttemptCompletion<crate::exchange::BackendResponse>;

/// A listed backend and its idle connections.
pub struct PooledBackend {
    address: Cell<SocketAddr>,
    started_at: Cell<Option<Micros>>,
    is_ready: Cell<bool>,
    /// The number of restarts and address changes. A connection to an earlier incarnation is not reused.
    incarnation: Cell<u64>,
    /// Idle connections, the longest idle first.
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
            self.idle.borrow_mut().push(IdleConnection { connection, idle_since: Instant::now() });
        }
    }

    /// Returns a connection to the pool once it accepts another request.
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

    /// Closes the idle connections, and prevents the reuse of connections that are in use.
    fn end_incarnation(&self) {
        self.incarnation.set(self.incarnation.get() + 1);
        self.idle.borrow_mut().clear();
    }

    /// Ends all use of a removed backend, except by attempts that have already started.
    fn remove(&self) {
        self.is_ready.set(false);
        self.end_incarnation();
    }
}

/// All listed backends, and the connections to them.
pub struct BackendPool {
    backends: RefCell<FxHashMap<BackendId, Rc<PooledBackend>>>,
    open_sockets: Rc<Cell<usize>>,
    max_sockets: Cell<usize>,
    connect_timeout: Cell<Duration>,
    idle_limit: Cell<Duration>,
    report_fields: Vec<String>,
}

impl BackendPool {
    /// An empty pool of at most `max_sockets` connections. `connect_timeout` and `backend_idle_timeout` (the
    /// time for which backends keep an idle connection open) are in microseconds. `report_fields` are the
    /// fields of a load report in the balancer's order.
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

    /// Replaces the timeouts (microseconds). They also apply to connections that are already idle.
    pub fn set_timeouts(&self, connect_timeout: Micros, backend_idle_timeout: Micros) {
        self.connect_timeout.set(Duration::from_micros(connect_timeout));
        self.idle_limit.set(idle_limit(backend_idle_timeout));
    }

    /// Applies a list entry: adds, changes or removes one backend.
    pub fn update(
        &self,
        id: BackendId,
        address: SocketAddr,
        readiness: Readiness,
        started_at: Option<Micros>,
    ) {
        let mut backends = self.backends.borrow_mut();
        if readiness == Readiness::Removed {
            // Attempts in flight keep a reference. A later backend with this id is a different one.
            return backends.remove(&id).iter().for_each(|backend| backend.remove());
        }
        let backend = backends.entry(id).or_insert_with(|| PooledBackend::new(address, started_at));
        backend.is_ready.set(readiness == Readiness::Ready);
        let has_restarted = backend.started_at.replace(started_at) != started_at;
        let has_moved = backend.address.replace(address) != address;
        // Connections to the previous process are closed or will be reset.
        if has_restarted || has_moved {
            backend.end_incarnation();
        }
    }

    /// Removes the backends that a snapshot does not list.
    pub fn retain(&self, is_listed: impl Fn(BackendId) -> bool) {
        self.backends.borrow_mut().retain(|&id, backend| {
            let listed = is_listed(id);
            if !listed {
                backend.remove();
            }
            listed
        });
    }

    /// Closes the idle connections to a backend, if it is listed.
    pub fn close_idle(&self, id: BackendId) {
        if let Some(backend) = self.backend(id) {
            backend.idle.borrow_mut().clear();
        }
    }

    /// The backend with this id; `None` if it is not listed.
    #[must_use]
    pub fn backend(&self, id: BackendId) -> Option<Rc<PooledBackend>> {
        self.backends.borrow().get(&id).cloned()
    }

    /// The address of a backend; `None` unless it is listed as ready.
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
        !idle.connection.sender.is_closed() && idle.idle_since.elapsed() < self.idle_limit.get()
    }

    /// Replaces the maximum number of connections, and closes idle ones that exceed it.
    pub fn set_max_sockets(&self, max_sockets: usize) {
        self.max_sockets.set(max_sockets);
        while self.open_sockets.get() > max_sockets && self.close_longest_idle() {}
    }

    fn take_idle(&self, backend: &PooledBackend) -> Option<BackendConnection> {
        let mut all = backend.idle.borrow_mut();
        while let Some(index) = select_idle(all.iter().map(|idle| idle.idle_since.elapsed())) {
            let idle = all.remove(index);
            let connection = &idle.connection;
            if self.is_usable(&idle) && connection.sender.is_ready() && connection.socket.is_input_empty() {
                return Some(idle.connection);
            }
        }
        None
    }

    /// Makes a socket available, if necessary by closing an idle connection. Returns false if all sockets are
    /// in use.
    fn reserve_socket(&self) -> bool {
        if self.open_sockets.get() < self.max_sockets.get() {
            return true;
        }
        self.close_longest_idle()
    }

    fn close_longest_idle(&self) -> bool {
        let backends = self.backends.borrow();
        let oldest = backends.values().filter_map(|b| Some((b.idle.borrow().first()?.idle_since, b)));
        let Some((_, backend)) = oldest.min_by_key(|(idle_since, _)| *idle_since) else { return false };
        backend.idle.borrow_mut().remove(0);
        true
    }
}

#[cfg(test)]
mod tests;
