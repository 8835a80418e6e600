//! Starts a proxy from its configuration, serves, and drains it.

mod client_front_end;
mod console;
mod discovery;
mod drain;
mod engine;
mod grpc_front_end;
mod listener;

use crate::admin_handler::{AdminContext, AdminHandler, ConnectionLimits};
use crate::class_versions::SharedClassVersions;
use crate::config_reload::ConfigReload;
use crate::error::ProxyServerError;
use crate::persistence::{OpenedState, PersistentState};
use crate::unserved_log::log_unserved;
use admin::class_version_file::ClassVersionFile;
use admin::exclusions::Exclusions;
use admin::machine_time::MachineTime;
use balancer::api::Micros;
use client_front_end::{ClientFrontEnd, ClientFrontEndOptions};
use discovery::DiscoveryParts;
use drain::Drain;
use engine::EngineParts;
use external_processor::settings::Settings as ExternalProcessorSettings;
use grpc_front_end::{GrpcFrontEnd, SharedRegistries};
use http_proxy::config::Config;
use http_proxy::discovery::DiscoveryWatcher;
use http_proxy::log::log;
use http_proxy::shared_claims::SharedClaims;
use http_proxy::transport::EngineHandle;
use listener::ClientListener;
use request_engine::driver::clock::Clock;
use request_engine::idempotency::{IdempotencyRegistry, SharedRegistry};
use std::cell::{Cell, RefCell};
use std::env;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// The configurations of the front ends of one process.
#[derive(Debug)]
pub struct FrontEnds {
    /// The configuration of the HTTP proxy, and all settings that the front ends share.
    pub http: Config,
    /// The settings of the external processor, if it is enabled.
    pub external_processor: Option<ExternalProcessorSettings>,
}

impl From<Config> for FrontEnds {
    fn from(http: Config) -> Self {
        Self { http, external_processor: None }
    }
}

/// The actual addresses on which a started proxy listens.
#[derive(Clone, Copy, Debug)]
pub struct BoundAddresses {
    /// For HTTP clients.
    pub clients: SocketAddr,
    /// For callers of the external processor, if it is enabled.
    pub external_processor: Option<SocketAddr>,
    /// For console commands, if a console is configured.
    pub console: Option<SocketAddr>,
}

/// Serves until `stop` completes, and then drains: returns when all requests have been answered or their time
/// has passed.
///
/// Each signal of `reload` reloads the configuration. `on_started` is called once all listeners are open. Has
/// to run within a `LocalSet`.
///
/// # Errors
/// If the proxy cannot start, or the request engine ends before `stop` completes.
pub async fn serve(
    front_ends: impl Into<FrontEnds>,
    stop: impl Future<Output = ()>,
    reload: Option<Signal>,
    on_started: impl FnOnce(&EngineHandle, BoundAddresses),
) -> Result<(), ProxyServerError> {
    let clock = Clock::start();
    let front_ends = front_ends.into();
    let accept_immediately = front_ends.http.settings.discovery_on_request;
    let (server, watcher) = Server::start(front_ends, clock, reload).await?;
    on_started(&server.handle, server.addresses);
    let engine_task = server.spawn_tasks(watcher, accept_immediately);
    let result = tokio::select! {
        ended = engine_task => Err(ProxyServerError::EngineEnded(ended)),
        () = stop => {
            server.drain().await;
            Ok(())
        }
    };
    if let Some(grpc_front_end) = server.grpc_front_end {
        grpc_front_end.end();
    }
    result
}

/// The parts of a started proxy that are needed until it has drained.
struct Server {
    handle: EngineHandle,
    addresses: BoundAddresses,
    listener: ClientListener,
    client_front_end: ClientFrontEnd,
    grpc_front_end: Option<GrpcFrontEnd>,
    admin_handler: Option<Rc<AdminHandler>>,
    /// The longest deadline of the request classes in force, in microseconds.
    longest_deadline: Rc<Cell<Micros>>,
    /// The sender of discovery's address if there is no reload task to own it. The watcher's channel has to
    /// remain open.
    _discovery_address: Option<watch::Sender<SocketAddr>>,
}

impl Server {
    /// Opens all listeners and assembles the parts. Only the tasks of [`Self::spawn_tasks`] remain to be
    /// spawned.
    async fn start(
        front_ends: FrontEnds,
        clock: Clock,
        reload: Option<Signal>,
    ) -> Result<(Self, DiscoveryWatcher), ProxyServerError> {
        let FrontEnds { http: mut config, external_processor } = front_ends;
        let fingerprint = Rc::<Cell<u64>>::default();
        // The instance slot is acquired before the listener is opened: a process that listens is counted by
        // its peers.
        let (state, exclusions) = open_persistent_state(&config, clock, &fingerprint).await?;
        let listener = ClientListener::open(&config).await?;
        let EngineParts { handle, poll_requests } =
            EngineParts::create(&config, external_processor.as_ref(), clock)?;
        // Both front ends use one registry, so that an idempotency key applies to the requests of both.
        let registry = external_processor.as_ref().map(|settings| shared_registry(settings.limits.retained));
        let DiscoveryParts { watcher, backend_list, has_backend_list, address_sender } =
            DiscoveryParts::create(&mut config, exclusions, poll_requests, &handle);
        let shared_versions = state.as_ref().map(|_| {
            let machine_time = MachineTime::new(clock.now());
            SharedClassVersions::new(ClassVersionFile::new(&env::temp_dir(), &config.name, machine_time))
        });
        let config_reload = ConfigReload::new(&config, handle.clone(), fingerprint, shared_versions)?;
        let classes = config_reload.classes();
        let grpc_front_end = match external_processor.as_ref().zip(registry.as_ref()) {
            Some((settings, registry)) => {
                let shared = SharedRegistries { claims: Rc::clone(registry), classes: Rc::clone(&classes) };
                Some(GrpcFrontEnd::start(settings, &config, shared, &handle)?)
            }
            None => None,
        };
        let shared_claims = state.as_ref().map(|state| {
            let file = state.claim_file(&env::temp_dir(), &config.name);
            Rc::new(SharedClaims::new(file, clock))
        });
        let client_front_end = ClientFrontEnd::create(ClientFrontEndOptions {
            config: &config,
            handle: &handle,
            classes,
            has_backend_list: Rc::clone(&has_backend_list),
            registry,
            shared_claims: shared_claims.clone(),
            stall_detector: Rc::clone(&listener.stall_detector),
        });
        let admin_handler = state.zip(shared_claims).map(|(state, claims)| {
            AdminHandler::new(AdminContext {
                state,
                claims,
                backend_list,
                has_backend_list,
                handle: handle.clone(),
                listener: Rc::clone(&listener.socket),
                clients: Rc::clone(&client_front_end.connections),
                limits: ConnectionLimits {
                    clients: config.max_client_connections,
                    backends: config.max_backend_connections,
                },
            })
        });
        let console = console::open(&config, admin_handler.as_ref()).await?;
        let longest_deadline = config_reload.longest_deadline();
        let discovery_address = spawn_reload_task(config_reload, reload, address_sender);
        let external_processor = grpc_front_end.as_ref().map(GrpcFrontEnd::address);
        if let Some(address) = external_processor {
            log(format_args!("{} answers callers on {address}", config.name));
        }
        let server = Self {
            addresses: BoundAddresses { clients: listener.address, external_processor, console },
            handle,
            listener,
            client_front_end,
            grpc_front_end,
            admin_handler,
            longest_deadline,
            _discovery_address: discovery_address,
        };
        Ok((server, watcher))
    }

    /// Spawns the engine and the background tasks. Returns the engine's task, which ends only after a fault.
    fn spawn_tasks(&self, watcher: DiscoveryWatcher, accept_immediately: bool) -> JoinHandle<()> {
        let first_response = watcher.call_ended();
        let engine_task = tokio::task::spawn_local(self.handle.clone().run());
        tokio::task::spawn_local(watcher.run());
        tokio::task::spawn_local(Rc::clone(&self.handle.transport().backend_pool).close_expired());
        tokio::task::spawn_local(Rc::clone(&self.listener.stall_detector).run());
        let clients = Rc::clone(&self.client_front_end.connections);
        tokio::task::spawn_local(log_unserved(self.handle.clone(), Rc::clone(&clients)));
        let accepting = clients.accept(Rc::clone(&self.listener.socket));
        tokio::task::spawn_local(async move {
            // A request that is routed by an older list could reach a backend that the discovery agent
            // already reports as leaving. Clients therefore wait in the kernel's accept queue until
            // discovery's first response or failure.
            if !accept_immediately {
                first_response.notified().await;
            }
            accepting.await;
        });
        engine_task
    }

    /// Drains both front ends at the same time.
    async fn drain(&self) {
        if let Some(admin_handler) = &self.admin_handler {
            admin_handler.begin_draining();
        }
        let longest_deadline = Duration::from_micros(self.longest_deadline.get());
        let drain = Drain {
            clients: &self.client_front_end.connections,
            handle: &self.handle,
            listener: &self.listener.socket,
            phase: &self.client_front_end.phase,
            // If this process was stalled, the signal may have arrived at any moment of the stall.
            stop_requested_at: self.listener.stall_detector.earliest_event_time(Instant::now()),
            longest_deadline,
        };
        match &self.grpc_front_end {
            Some(grpc_front_end) => {
                tokio::join!(drain.run(), grpc_front_end.drain(longest_deadline));
            }
            None => drain.run().await,
        }
    }
}

/// Opens the state that is shared with the other processes of this proxy. A proxy without a console has none:
/// it does not support process replacement.
async fn open_persistent_state(
    config: &Config,
    clock: Clock,
    fingerprint: &Rc<Cell<u64>>,
) -> Result<(Option<PersistentState>, Exclusions), ProxyServerError> {
    if config.console.is_none() {
        return Ok((None, Exclusions::default()));
    }
    let directory = env::temp_dir();
    let opened = PersistentState::open(&directory, &config.name, clock.now(), Rc::clone(fingerprint)).await;
    let OpenedState { state, exclusions } =
        opened.map_err(|error| ProxyServerError::PersistentState(directory, error))?;
    Ok((Some(state), exclusions))
}

fn shared_registry(capacity: usize) -> SharedRegistry {
    Rc::new(RefCell::new(IdempotencyRegistry::new(capacity)))
}

/// Spawns the task that reloads the configuration at each signal. Without signals, returns the sender of
/// discovery's address, which must not be dropped.
fn spawn_reload_task(
    config_reload: ConfigReload,
    reload: Option<Signal>,
    discovery_address: watch::Sender<SocketAddr>,
) -> Option<watch::Sender<SocketAddr>> {
    let Some(reload) = reload else {
        return Some(discovery_address);
    };
    tokio::task::spawn_local(config_reload.reload_on_signals(reload, discovery_address));
    None
}
