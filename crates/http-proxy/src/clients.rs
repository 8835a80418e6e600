//! The client side of the proxy: accepts connections, passes requests to the engine and writes the responses.

mod accept;
mod admission;
mod closing;
mod forwarded_head;
mod guards;
mod local_responses;
mod read_body;
mod read_request;
mod request_form;
mod serve;

pub use accept::AcceptQueueResult;

use crate::body::MemoryBudget;
use crate::client_connection::ClientConnection;
use crate::connection_events::{ConnectionEvents, EventCounts};
use crate::log::FailureLog;
use crate::name_index::NameIndex;
use crate::shared_claims::SharedClaims;
use crate::stall_detector::StallDetector;
use crate::transport::EngineHandle;
use hyper::header::HeaderValue;
use request_engine::class_registry::SharedClasses;
use request_engine::driver::clock::Clock;
use request_engine::idempotency;
use rustc_hash::{FxHashMap, FxHashSet};
use slab::Slab;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

/// The maximum size of a single large body is the memory budget for all large bodies, divided by this number.
const LARGE_BODY_BUDGET_DIVISOR: usize = 4;

/// The phases of a shutdown, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownPhase {
    /// No shutdown has begun.
    Running,
    /// Requests are served, and each response closes its connection.
    Draining,
    /// Idle connections close as well, without a request.
    Closing,
    /// All requests are due: only responses that are under way go on.
    Finishing,
}

/// The parameters of [`ClientConnections`].
pub struct ClientConnectionsOptions<'a> {
    /// The engine that receives the requests.
    pub handle: EngineHandle,
    /// The clock of the engine.
    pub clock: Clock,
    /// The request classes that clients may name.
    pub classes: SharedClasses,
    /// The name index, whose tenants clients may name.
    pub names: &'a NameIndex,
    /// True once a backend list is available; until then the proxy does not report itself as up.
    pub has_backend_list: Rc<Cell<bool>>,
    /// The present phase of the shutdown.
    pub phase: watch::Receiver<ShutdownPhase>,
    /// The maximum number of open client connections.
    pub max_connections: usize,
    /// The maximum total size of buffered request bodies that exceed
    /// [`MAX_BUFFERED_BODY_BYTES`](crate::size_limits::MAX_BUFFERED_BODY_BYTES), in bytes.
    pub large_body_budget_bytes: usize,
    /// The idempotency registry that is shared with the gRPC front end; `None` without such a front end.
    pub idempotency_registry: Option<idempotency::SharedRegistry>,
    /// The claims that are shared with the other processes of this proxy; `None` if it can't be replaced.
    pub shared_claims: Option<Rc<SharedClaims>>,
    /// Bounds how long ago the bytes that are read now may have arrived.
    pub stall_detector: Rc<StallDetector>,
}

/// The state that all client connections share.
pub struct ClientConnections {
    handle: EngineHandle,
    clock: Clock,
    classes: SharedClasses,
    /// Indices in the settings by name; empty if the tenant of a request is not checked.
    tenants: FxHashMap<String, u16>,
    has_backend_list: Rc<Cell<bool>>,
    phase: watch::Receiver<ShutdownPhase>,
    max_connections: Cell<usize>,
    open_connections: Cell<usize>,
    connection_closed: Notify,
    connections: RefCell<Slab<Rc<ClientConnection>>>,
    large_body_budget: MemoryBudget,
    max_large_body_bytes: usize,
    last_accept_at: Cell<Instant>,
    stall_detector: Rc<StallDetector>,
    accept_failures: FailureLog,
    events: Rc<ConnectionEvents>,
    /// The correlation ids of the open requests.
    open_request_ids: RefCell<FxHashSet<HeaderValue>>,
    idempotency_registry: Option<idempotency::SharedRegistry>,
    shared_claims: Option<Rc<SharedClaims>>,
}

impl ClientConnections {
    /// A front end without open connections.
    #[must_use]
    pub fn new(options: ClientConnectionsOptions<'_>) -> Rc<Self> {
        Rc::new(Self {
            handle: options.handle,
            clock: options.clock,
            classes: options.classes,
            tenants: options.names.tenants.iter().cloned().zip(0..=u16::MAX).collect(),
            has_backend_list: options.has_backend_list,
            phase: options.phase,
            max_connections: Cell::new(options.max_connections),
            open_connections: Cell::new(0),
            connection_closed: Notify::new(),
            connections: RefCell::default(),
            large_body_budget: MemoryBudget::new(options.large_body_budget_bytes),
            max_large_body_bytes: options.large_body_budget_bytes / LARGE_BODY_BUDGET_DIVISOR,
            last_accept_at: Cell::new(Instant::now()),
            stall_detector: options.stall_detector,
            accept_failures: FailureLog::new("accept"),
            events: Rc::default(),
            open_request_ids: RefCell::default(),
            idempotency_registry: options.idempotency_registry,
            shared_claims: options.shared_claims,
        })
    }

    /// The number of open connections.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.open_connections.get()
    }

    /// The number of connections with an open request, or with a response that is not written completely.
    #[must_use]
    pub fn responding_connections(&self) -> usize {
        let connections = self.connections.borrow();
        connections.iter().filter(|(_, connection)| connection.is_responding()).count()
    }

    /// How often requests were refused and connections closed since the start, by reason.
    #[must_use]
    pub fn event_counts(&self) -> EventCounts {
        self.events.counts()
    }

    /// Replaces the maximum number of open connections.
    pub fn set_max_connections(&self, max_connections: usize) {
        self.max_connections.set(max_connections);
        self.connection_closed.notify_waiters();
    }

    /// The time since a connection was last accepted, or since the start.
    #[must_use]
    pub fn time_since_accept(&self) -> Duration {
        self.last_accept_at.get().elapsed()
    }

    /// Waits until a connection closes.
    pub async fn connection_closed(&self) {
        self.connection_closed.notified().await;
    }

    fn phase(&self) -> ShutdownPhase {
        *self.phase.borrow()
    }

    /// Waits until all requests are due because of the shutdown.
    async fn all_requests_due(&self) {
        let mut phase = self.phase.clone();
        if phase.wait_for(|phase| *phase == ShutdownPhase::Finishing).await.is_err() {
            // The sender is dropped with the process.
            std::future::pending::<()>().await;
        }
    }
}
