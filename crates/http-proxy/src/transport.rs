//! Carries out the engine's commands over connections to backends.

use crate::backend_pool::{BackendPool, ListedBackend};
use crate::exchange::{BackendResponse, ForwardedRequest, RequestBody};
use crate::log::log;
use balancer::api::{Backend, BackendId, MembershipUpdate, Outcome};
use request_engine::driver::cancellation::CancellationSignal;
use request_engine::driver::{self, AttemptTimes, Transport};
use request_engine::engine::{AttemptCompletion, FinalOutcome, LeaseGrant, MessageTypes};
use request_engine::lease::LeaseId;
use request_engine::lease_events::{LeaseEvent, LeaseEventQueue, RequestHandle};
use rustc_hash::FxHashSet;
use std::future::Future;
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};

/// The message types that the engine exchanges with the HTTP front end.
#[derive(Debug)]
pub struct HttpMessages;

/// The recipient of a final outcome.
#[derive(Debug)]
pub enum Responder {
    /// The connection of a client that waits for its response.
    HttpClient(oneshot::Sender<FinalOutcome<BackendResponse>>),
    /// The gRPC front end, whose callers make their attempts under leases.
    LeaseHolder(RequestHandle),
}

impl From<RequestHandle> for Responder {
    fn from(request: RequestHandle) -> Self {
        Self::LeaseHolder(request)
    }
}

impl MessageTypes for HttpMessages {
    type OutboundRequest = Rc<ForwardedRequest>;
    type Responder = Responder;
    type Response = BackendResponse;

    fn is_single_use(request: &Rc<ForwardedRequest>) -> bool {
        matches!(request.body, RequestBody::Streamed(_))
    }
}

/// The handle of an engine with this proxy's transport.
pub type EngineHandle = driver::EngineHandle<ProxyTransport>;

/// Executes attempts and health checks over this proxy's own connections.
pub struct ProxyTransport {
    /// The listed backends, and the connections to them.
    pub backend_pool: Rc<BackendPool>,
    /// Receives a message when the balancer requests a subscription to changes, which matters only if
    /// discovery is a shared service.
    pub subscribe: mpsc::UnboundedSender<()>,
    /// Whether backends send load reports only with health checks.
    pub report_by_health_check: bool,
    /// The queue of events for lease holders; unused without a gRPC front end.
    pub lease_events: Rc<LeaseEventQueue>,
}

impl Transport for ProxyTransport {
    type Messages = HttpMessages;

    fn start_attempt(
        &self,
        backend: BackendId,
        request: Rc<ForwardedRequest>,
        times: AttemptTimes,
        cancellation: Rc<CancellationSignal>,
    ) -> impl Future<Output = AttemptCompletion<BackendResponse>> + 'static {
        let (pool, backend) = (Rc::clone(&self.backend_pool), self.backend_pool.backend(backend));
        async move {
            match backend {
                Some(backend) => pool.attempt(backend, request, times, cancellation).await,
                None => Outcome::NotSent.into(),
            }
        }
    }

    fn check_health(
        &self,
        backend: BackendId,
    ) -> impl Future<Output = AttemptCompletion<BackendResponse>> + 'static {
        let (pool, backend) = (Rc::clone(&self.backend_pool), self.backend_pool.backend(backend));
        let with_load_report = self.report_by_health_check;
        async move {
            match backend {
                Some(backend) => pool.check_health(backend, with_load_report).await,
                None => Outcome::NotSent.into(),
            }
        }
    }

    fn respond(&self, responder: Responder, outcome: FinalOutcome<BackendResponse>) {
        match responder {
            // If the client has disconnected, its `DisconnectGuard` notifies the engine.
            Responder::HttpClient(sender) => drop(sender.send(outcome)),
            Responder::LeaseHolder(request) => {
                let outcome = match outcome {
                    FinalOutcome::Served(_) => FinalOutcome::Served(None),
                    FinalOutcome::Rejected { retry_after } => FinalOutcome::Rejected { retry_after },
                    FinalOutcome::Failed => FinalOutcome::Failed,
                };
                self.lease_events.push(LeaseEvent::RequestCompleted(request, outcome));
            }
        }
    }

    fn grant_lease(&self, responder: Option<&Responder>, grant: LeaseGrant) {
        match responder {
            Some(&Responder::LeaseHolder(request)) => {
                self.lease_events.push(LeaseEvent::Granted(request, grant));
            }
            // HTTP clients do not request leases. Such a lease expires.
            Some(Responder::HttpClient(_)) | None => {
                log(format_args!("lease {} was granted to no caller and will expire", grant.lease));
            }
        }
    }

    fn revoke_lease(&self, responder: Option<&Responder>, lease: LeaseId) {
        if let Some(&Responder::LeaseHolder(request)) = responder {
            self.lease_events.push(LeaseEvent::Revoked(request, lease));
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

/// What an update of the backend list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateKind {
    /// The entries that have changed.
    Delta,
    /// All entries, as discovery lists them now.
    Snapshot,
    /// The last known complete list, which may be outdated.
    CachedSnapshot,
    /// No entries: a call to discovery failed.
    Failed,
}

/// Applies a list to the connection pool and then to the engine, so that an attempt that the list triggers
/// finds its backend in the pool.
pub fn update_backends(handle: &EngineHandle, kind: UpdateKind, entries: &[ListedBackend]) {
    let backend_pool = &handle.transport().backend_pool;
    if matches!(kind, UpdateKind::Snapshot | UpdateKind::CachedSnapshot) {
        let listed: FxHashSet<_> = entries.iter().map(|e| e.backend.id).collect();
        backend_pool.retain(|id| listed.contains(&id));
    }
    for ListedBackend { backend, address } in entries {
        backend_pool.update(backend.id, *address, backend.readiness, backend.started_at);
    }
    let backends: Vec<Backend> = entries.iter().map(|e| e.backend).collect();
    handle.update_membership(match kind {
        UpdateKind::Delta => MembershipUpdate::Delta(&backends),
        UpdateKind::Snapshot => MembershipUpdate::Snapshot(&backends),
        UpdateKind::CachedSnapshot => MembershipUpdate::CachedSnapshot(&backends),
        UpdateKind::Failed => MembershipUpdate::Failed,
    });
}
