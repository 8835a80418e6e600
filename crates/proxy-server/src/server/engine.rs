//! Construction of the request engine.

use crate::error::ProxyServerError;
use external_processor::settings::Settings as ExternalProcessorSettings;
use http_proxy::backend_pool::BackendPool;
use http_proxy::config::Config;
use http_proxy::transport::{EngineHandle, ProxyTransport};
use request_engine::driver::clock::Clock;
use request_engine::engine::{Engine, EngineLimits};
use request_engine::lease_events::LeaseEventQueue;
use std::rc::Rc;
use tokio::sync::mpsc;

/// The number of open requests for which the engine has capacity per client connection. A connection carries
/// one request at a time, but attempts for disconnected clients continue.
const REQUESTS_PER_CONNECTION: usize = 8;

/// The engine's handle, and the channel of its requests to poll discovery.
pub(super) struct EngineParts {
    pub(super) handle: EngineHandle,
    pub(super) poll_requests: mpsc::UnboundedReceiver<()>,
}

impl EngineParts {
    /// Creates the engine with its transport, without running it.
    ///
    /// # Errors
    /// If the balancer rejects the settings.
    pub(super) fn create(
        config: &Config,
        external_processor: Option<&ExternalProcessorSettings>,
        clock: Clock,
    ) -> Result<Self, ProxyServerError> {
        let settings = &config.settings;
        let leases = external_processor.map_or(0, |settings| settings.limits.leases);
        let requests = config.max_client_connections * REQUESTS_PER_CONNECTION + leases;
        let limits = EngineLimits { requests, leases };
        let incarnation = config.seed ^ clock.now();
        let engine = Engine::new(settings.clone(), limits, config.seed, incarnation, clock.now())?;
        let (subscribe, poll_requests) = mpsc::unbounded_channel();
        let transport = ProxyTransport {
            backend_pool: BackendPool::new(
                config.max_backend_connections,
                config.connect_timeout,
                settings.permissions.idle_connection_timeout,
                config.names.report_fields.clone(),
            ),
            subscribe,
            report_by_health_check: settings.load_report_by_health_check,
            lease_events: Rc::new(LeaseEventQueue::default()),
        };
        Ok(Self { handle: EngineHandle::new(engine, clock, transport), poll_requests })
    }
}
