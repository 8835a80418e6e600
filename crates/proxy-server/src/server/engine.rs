//! Construction of the request engine.

use crate::error::ProxyServerError;
use external_processor::settings::Settings as ExternalProcessorSettings;
use http_proxy::backend_pool::BackendPool;
use http_proxy::config::Config;
use http_proxy::transport::{Handle, ProxyTransport};
use request_engine::driver::clock::Clock;
use request_engine::engine::{Engine, EngineLimits};
use request_engine::lease_events::LeaseEventQueue;
use std::rc::Rc;
use tokio::sync::mpsc;

/// Open requests per client connection. Each connection carries one request, but attempts of disconnected clients go on.
const REQUESTS_PER_CONNECTION: usize = 8;

/// The engine's handle, and its requests to poll discovery.
pub(super) struct EngineParts {
    pub(super) handle: Handle,
    pub(super) poll_requests: mpsc::UnboundedReceiver<()>,
}

impl EngineParts {
    /// Creates the engine with its transport. Nothing runs yet.
    ///
    /// # Errors
    /// Where the balancer rejects the settings.
    pub(super) fn create(
        config: &Config,
        external_processor: Option<&ExternalProcessorSettings>,
        clock: Clock,
    ) -> Result<Self, ProxyServerError> {
        let settings = &config.settings;
        let leases = external_processor.map_or(0, |settings| settings.bounds.leases);
        let requests = config.client_sockets * REQUESTS_PER_CONNECTION + leases;
        let limits = EngineLimits { requests, leases };
        let incarnation = config.seed ^ clock.now();
        let engine = Engine::new(settings.clone(), limits, config.seed, incarnation, clock.now())?;
        let (subscribe, poll_requests) = mpsc::unbounded_channel();
        let transport = ProxyTransport {
            backend_pool: BackendPool::new(
                config.backend_sockets,
                config.connect_timeout,
                settings.permissions.idle_connection_timeout,
                config.names.report.clone(),
            ),
            subscribe,
            report_by_health_check: settings.load_report_by_health_check,
            lease_events: Rc::new(LeaseEventQueue::default()),
        };
        Ok(Self { handle: Handle::new(engine, clock, transport), poll_requests })
    }
}
