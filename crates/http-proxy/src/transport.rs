//! Carries the engine's commands out over connections to backends.

use crate::backend_pool::{BackendPool, ListedBackend};
use crate::exchange::{Call, Payload, Served};
use crate::log::log;
use balancer::api::{Backend, BackendId, MembershipUpdate, Outcome};
use request_engine::driver::cancellation::CancellationSignal;
use request_engine::driver::{self, AttemptTimes, Transport};
use request_engine::engine::{AttemptEnd, FinalOutcome, LeaseGrant, MessageTypes};
use request_engine::lease::LeaseId;
use request_engine::lease_events::{LeaseEvent, LeaseEventQueue, RequestHandle};
use rustc_hash::FxHashSet;
use std::future::Future;
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};

/// What travels between clients and backends.
#[derive(Debug)]
pub struct Http;

/// Where a final answer goes.
#[derive(Debug)]
pub enum Reply {
    /// To a client's connection.
    Client(oneshot::Sender<FinalOutcome<Served>>),
    /// To the front whose callers make their attempts themselves.
    Outside(RequestHandle),
}

impl From<RequestHandle> for Reply {
    fn from(ticket: RequestHandle) -> Self {
        Self::Outside(ticket)
    }
}

impl MessageTypes for Http {
    type OutboundRequest = Rc<Call>;
    type Responder = Reply;
    type Response = Served;

    fn is_single_use(work: &Rc<Call>) -> bool {
        matches!(work.body, Payload::Passed(_))
    }
}

/// The way to the engine.
pub type Handle = driver::Handle<ProxyTransport>;

/// The transport of this proxy's own connections.
pub struct ProxyTransport {
    /// The backends, and the connections to them.
    pub backend_pool: Rc<BackendPool>,
    /// Asks discovery for changes, where it has to be asked.
    pub subscribe: mpsc::UnboundedSender<()>,
    /// Whether load reports come with probes alone.
    pub report_by_probe: bool,
    /// What is said to callers that make their attempts themselves; nothing where there are none.
    pub outside: Rc<LeaseEventQueue>,
}

impl Transport for ProxyTransport {
    type Messages = Http;

    fn start_attempt(
        &self,
        backend: BackendId,
        work: Rc<Call>,
        times: AttemptTimes,
        recall: Rc<CancellationSignal>,
    ) -> impl Future<Output = AttemptEnd<Served>> + 'static {
        let (backend_pool, server) = (Rc::clone(&self.backend_pool), self.backend_pool.server(backend));
        async move {
            match server {
                Some(server) => backend_pool.attempt(server, work, times, recall).await,
                None => Outcome::NotSent.into(),
            }
        }
    }

    fn check_health(&self, backend: BackendId) -> impl Future<Output = AttemptEnd<Served>> + 'static {
        let (backend_pool, server, deep) =
            (Rc::clone(&self.backend_pool), self.backend_pool.server(backend), self.report_by_probe);
        async move {
            match server {
                Some(server) => backend_pool.probe(server, deep).await,
                None => Outcome::NotSent.into(),
            }
        }
    }

    fn respond(&self, reply: Reply, verdict: FinalOutcome<Served>) {
        match reply {
            // A client that has left meanwhile is told of by its own guard.
            Reply::Client(sender) => drop(sender.send(verdict)),
            Reply::Outside(ticket) => {
                let verdict = match verdict {
                    FinalOutcome::Served(_) => FinalOutcome::Served(None),
                    FinalOutcome::Rejected { retry_after } => FinalOutcome::Rejected { retry_after },
                    FinalOutcome::Failed => FinalOutcome::Failed,
                };
                self.outside.push(LeaseEvent::Completed(ticket, verdict));
            }
        }
    }

    fn grant_lease(&self, reply: Option<&Reply>, grant: LeaseGrant) {
        match reply {
            Some(&Reply::Outside(ticket)) => self.outside.push(LeaseEvent::Granted(ticket, grant)),
            // A client asks for none; one that is granted all the same runs out by itself.
            Some(Reply::Client(_)) | None => log(format_args!("nobody asked for lease {}", grant.lease)),
        }
    }

    fn revoke_lease(&self, reply: Option<&Reply>, lease: LeaseId) {
        if let Some(&Reply::Outside(ticket)) = reply {
            self.outside.push(LeaseEvent::Revoked(ticket, lease));
        }
    }

    fn subscribe(&self) {
        let _ = self.subscribe.send(());
    }

    fn close_idle_connections(&self, backend: BackendId) {
        self.backend_pool.close_idle(backend);
    }

    fn log(&self, line: &str) {
        log(format_args!("{line}"));
    }
}

/// How a list of backends is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Changed entries.
    Delta,
    /// The complete list.
    Full,
    /// The complete list as last held.
    Cached,
    /// A call to discovery failed.
    Failed,
}

/// Hands a list on: to the sockets first, so that an attempt which this very list starts finds its backend.
pub fn update_backends(handle: &Handle, scope: Scope, entries: &[ListedBackend]) {
    let backend_pool = &handle.transport().backend_pool;
    if matches!(scope, Scope::Full | Scope::Cached) {
        let listed: FxHashSet<_> = entries.iter().map(|e| e.backend.id).collect();
        backend_pool.retain(|id| listed.contains(&id));
    }
    for ListedBackend { backend, address } in entries {
        backend_pool.update(backend.id, *address, backend.readiness, backend.started_at);
    }
    let backends: Vec<Backend> = entries.iter().map(|e| e.backend).collect();
    handle.update_membership(match scope {
        Scope::Delta => MembershipUpdate::Delta(&backends),
        Scope::Full => MembershipUpdate::Snapshot(&backends),
        Scope::Cached => MembershipUpdate::CachedSnapshot(&backends),
        Scope::Failed => MembershipUpdate::Failed,
    });
}
