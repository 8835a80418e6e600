//! Construction of the HTTP front end for clients.

use http_proxy::clients::{ClientConnections, ClientConnectionsOptions, ShutdownPhase};
use http_proxy::config::Config;
use http_proxy::shared_claims::SharedClaims;
use http_proxy::stall_detector::StallDetector;
use http_proxy::transport::EngineHandle;
use request_engine::class_registry::SharedClasses;
use request_engine::idempotency::SharedRegistry;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::watch;

/// The parameters of [`ClientFrontEnd::create`].
pub(super) struct ClientFrontEndOptions<'a> {
    pub(super) config: &'a Config,
    pub(super) handle: &'a EngineHandle,
    pub(super) classes: SharedClasses,
    pub(super) has_backend_list: Rc<Cell<bool>>,
    /// The idempotency registry that is shared with the external processor; `None` if that is disabled.
    pub(super) registry: Option<SharedRegistry>,
    pub(super) shared_claims: Option<Rc<SharedClaims>>,
    pub(super) stall_detector: Rc<StallDetector>,
}

/// The client connections, and the sender of the shutdown phase that controls them.
pub(super) struct ClientFrontEnd {
    pub(super) connections: Rc<ClientConnections>,
    pub(super) phase: watch::Sender<ShutdownPhase>,
}

impl ClientFrontEnd {
    pub(super) fn create(options: ClientFrontEndOptions<'_>) -> Self {
        let ClientFrontEndOptions {
            config,
            handle,
            classes,
            has_backend_list,
            registry,
            shared_claims,
            stall_detector,
        } = options;
        let (phase, phases) = watch::channel(ShutdownPhase::Running);
        let connections = ClientConnections::new(ClientConnectionsOptions {
            handle: handle.clone(),
            clock: handle.clock(),
            classes,
            names: &config.names,
            has_backend_list,
            phase: phases,
            max_connections: config.max_client_connections,
            large_body_budget_bytes: config.large_body_budget_bytes,
            idempotency_registry: registry,
            shared_claims,
            stall_detector,
        });
        Self { connections, phase }
    }
}
