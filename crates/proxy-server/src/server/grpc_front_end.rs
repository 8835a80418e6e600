//! The external processor. Its decisions are made on the engine's thread; its gRPC services run on separate
//! threads.

use super::drain::{DRAIN_POLL_INTERVAL, DRAIN_SLACK};
use external_processor::bridge::{self, Bridge, EngineContext};
use external_processor::decision_request::RequestParser;
use external_processor::decision_service::DecisionLimits;
use external_processor::server::{self, RunningServer, ServerContext, ServerError};
use external_processor::settings::Settings as ExternalProcessorSettings;
use http_proxy::config::Config;
use http_proxy::log::log;
use http_proxy::transport::{EngineHandle, ProxyTransport};
use request_engine::class_registry::SharedClasses;
use request_engine::idempotency::SharedRegistry;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// The registries that the external processor shares with the HTTP front end.
pub(super) struct SharedRegistries {
    /// The claims of requests.
    pub(super) claims: SharedRegistry,
    /// The request classes in force.
    pub(super) classes: SharedClasses,
}

/// The running external processor.
pub(super) struct GrpcFrontEnd {
    bridge: Bridge<ProxyTransport>,
    services: RunningServer,
}

impl GrpcFrontEnd {
    /// Starts the gRPC services, and the task that connects them to the engine.
    ///
    /// # Errors
    /// If the services cannot start.
    pub(super) fn start(
        settings: &ExternalProcessorSettings,
        config: &Config,
        shared: SharedRegistries,
        handle: &EngineHandle,
    ) -> Result<Self, ServerError> {
        let limits = DecisionLimits {
            open_decisions_per_caller: settings.limits.open_decisions_per_caller,
            idempotent_retention: settings.retention.idempotent(),
            non_idempotent_retention: settings.retention.non_idempotent(),
        };
        let transport = handle.transport();
        let backend_pool = Rc::clone(&transport.backend_pool);
        let engine = EngineContext {
            handle: handle.clone(),
            lease_events: Rc::clone(&transport.lease_events),
            endpoint_lookup: Box::new(move |backend| backend_pool.address(backend)),
        };
        let bridge = Bridge::new(limits, shared.claims, shared.classes, engine);
        let (decisions, receivers) = bridge::channels(settings.limits.queue);
        let context = ServerContext {
            parser: RequestParser::new(&config.names.tenants),
            load_report_fields: config.names.report_fields.clone(),
            clock: handle.clock(),
            decisions,
        };
        let services = server::start(settings.clone(), context)?;
        tokio::task::spawn_local(bridge.clone().run(receivers));
        Ok(Self { bridge, services })
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.services.address
    }

    /// Rejects new requests, and waits for those in flight, for at most the longest deadline and
    /// [`DRAIN_SLACK`].
    pub(super) async fn drain(&self, longest_deadline: Duration) {
        self.bridge.drain();
        self.services.drain();
        let end = Instant::now() + longest_deadline + DRAIN_SLACK;
        while self.bridge.open_requests() > 0 && Instant::now() < end {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
        let in_flight = self.bridge.open_requests();
        let counts = self.bridge.counts();
        log(format_args!("external processor: {in_flight} requests in flight after draining, {counts:?}"));
    }

    pub(super) fn end(self) {
        self.services.stop();
    }
}
