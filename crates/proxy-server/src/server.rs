//! One real proxy from its configuration to its end.

use crate::admin_handler::{AdminHandler, Sockets};
use crate::config_reload::ConfigReload;
use crate::persistence::PersistentState;
use admin::console;
use balancer::api::{Micros, Settings, SettingsError};
use external_processor::bridge::{self, Bridge};
use external_processor::decision_request::RequestCatalog;
use external_processor::server::{self, RunningServer, ServerContext};
use external_processor::{decision_service, settings as extproc};
use http_proxy::backend_list::BackendList;
use http_proxy::backend_pool::BackendPool;
use http_proxy::clients::{BacklogDrain, ClientConnections, ClientConnectionsOptions, ShutdownPhase};
use http_proxy::config::Config;
use http_proxy::discovery::{DiscoveryWatcher, DiscoveryWatcherOptions, ListTranslator, OnRequestDiscovery};
use http_proxy::log::log;
use http_proxy::name_index::NameIndex;
use http_proxy::poll_schedule::PollSchedule;
use http_proxy::stall_detector::StallDetector;
use http_proxy::transport::{Handle, ProxyTransport};
use request_engine::driver::clock::Clock;
use request_engine::engine::{Engine, EngineLimits};
use request_engine::idempotency::{self, IdempotencyRegistry};
use request_engine::lease_events::LeaseEventQueue;
use settings::reload::ReloadError;
use socket_io::retry;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::Signal;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, timeout_at};

/// The kernel's queue of connections that are not accepted yet.
const BACKLOG: u32 = 1_024;
/// For how long a listener that can't be had for a moment is asked for again.
const LISTEN_TIMEOUT: Duration = Duration::from_secs(4);
/// After SIGTERM, connections still come for a while: how long the proxy goes on at the least, and how long
/// nobody must have connected.
const MIN_DRAIN: Duration = Duration::from_millis(800);
/// New connections come for so long after SIGTERM; with short deadlines the process goes on for that and the deadline.
const CONNECTIONS_COME: Duration = Duration::from_millis(400);
const DRAIN_QUIET: Duration = Duration::from_millis(300);
const DRAIN_STEP: Duration = Duration::from_millis(50);
/// How soon the listener's queue is looked at again where a look failed.
const LOOK_RETRY_DELAY: Duration = Duration::from_millis(5);
/// Requests that may be open for each client connection that there may be. Attempts of clients that have left go on.
const OPEN_PER_CLIENT: usize = 8;
/// The longest deadline that an ending process is given the time for. The platform kills it 0.7 s after that.
const DRAIN_LONGEST: Duration = Duration::from_secs(3);
/// How long beyond that everything has its answer, and the process ends with clients still connected: in between, answers
/// are written and taken.
const ANSWER_SLACK: Duration = Duration::from_millis(450);
const DRAIN_SLACK: Duration = Duration::from_millis(550);

/// `shared`: another process of the same proxy may listen at the same address.
fn listen(address: SocketAddr, shared: bool) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    // A restarted proxy takes its old address although connections of the old process linger.
    socket.set_reuseaddr(true)?;
    if shared {
        socket.set_reuseport(true)?;
    }
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Why the program ended, or could not begin.
#[derive(Debug, Error)]
pub enum ProxyServerError {
    /// Its address can't be had.
    #[error("cannot listen on {0}: {1}")]
    Listen(SocketAddr, io::Error),
    /// The bans and the other processes can't be followed.
    #[error("{0}: {1}")]
    PersistentState(PathBuf, io::Error),
    /// The settings make no sense.
    #[error("{0}")]
    Settings(#[from] SettingsError),
    /// The classes can't be told apart.
    #[error("{0}")]
    Classes(#[from] ReloadError),
    /// The external processor can't begin.
    #[error("external processor: {0}")]
    ExternalProcessor(#[from] server::ServerError),
    /// The engine panicked.
    #[error("the engine ended: {0}")]
    Engine(String),
}

/// What the program serves.
#[derive(Debug)]
pub struct FrontEnds {
    /// The proxy for clients.
    pub http: Config,
    /// The external processor, if it is switched on.
    pub extproc: Option<extproc::Settings>,
}

impl From<Config> for FrontEnds {
    fn from(http: Config) -> Self {
        Self { http, extproc: None }
    }
}

/// What is told once the listeners are open.
#[derive(Clone, Copy, Debug)]
pub struct Listening {
    /// Where clients connect.
    pub clients: SocketAddr,
    /// Where callers of the external processor connect.
    pub callers: Option<SocketAddr>,
    /// Where the operators's calls come.
    pub console: Option<SocketAddr>,
}

/// The external processor: its desk on this thread, its services on theirs.
struct ExternalProcessor {
    bridge: Bridge<ProxyTransport>,
    services: RunningServer,
}

impl ExternalProcessor {
    fn start(
        settings: &extproc::Settings,
        decisions: &Settings,
        names: &NameIndex,
        claims: idempotency::SharedRegistry,
        handle: &Handle,
    ) -> Result<Self, server::ServerError> {
        let (safe_memory, unsafe_memory) = settings.memories();
        let bounds =
            decision_service::Bounds { per_caller: settings.bounds.per_caller, safe_memory, unsafe_memory };
        let carrier = handle.transport();
        let backend_pool = Rc::clone(&carrier.backend_pool);
        let endpoints = Box::new(move |backend| backend_pool.address(backend));
        let inbox = Rc::clone(&carrier.lease_events);
        let bridge = Bridge::new(decisions, bounds, claims, handle.clone(), inbox, endpoints);
        let (way, ends) = bridge::way(settings.bounds.queue);
        let subject = ServerContext {
            catalogue: RequestCatalog::new(decisions, &names.classes, &names.tenants),
            load_fields: names.report.clone(),
            clock: handle.clock(),
            way,
        };
        let services = server::start(settings.clone(), subject)?;
        tokio::task::spawn_local(bridge.clone().run(ends));
        Ok(Self { bridge, services })
    }

    /// Takes no request any more, and waits for what callers hold.
    async fn drain(&self, longest: Duration) {
        self.bridge.drain();
        self.services.drain();
        let end = Instant::now() + longest + DRAIN_SLACK;
        while self.bridge.held() > 0 && Instant::now() < end {
            sleep(DRAIN_STEP).await;
        }
        let counts = self.bridge.counts();
        log(format_args!("external processor: {} held at the end, {counts:?}", self.bridge.held()));
    }
}

/// Serves until `stop`, and then until all that was taken is answered. `reload` tells when to read the configuration
/// again; `started` is told once the listener is open.
///
/// # Errors
/// Where it can't begin, or the engine ends early.
pub async fn serve(
    fronts: impl Into<FrontEnds>,
    stop: impl Future<Output = ()>,
    reload: Option<Signal>,
    started: impl FnOnce(&Handle, Listening),
) -> Result<(), ProxyServerError> {
    let clock = Clock::start();
    let FrontEnds { http: config, extproc } = fronts.into();
    let settings = config.settings;
    let asked = settings.discovery_on_request;
    let backend_pool = BackendPool::new(
        config.backend_sockets,
        config.connect_timeout,
        settings.permissions.idle_connection_timeout,
        config.names.report.clone(),
    );
    let learns = Rc::<Cell<u64>>::default();
    // The place among the processes of this proxy comes before the listener: whoever listens is seen.
    let (files, bans) = match config.console {
        Some(_) => {
            let folder = std::env::temp_dir();
            let opened = PersistentState::open(&folder, &config.name, clock.now(), Rc::clone(&learns)).await;
            let (files, bans) = opened.map_err(|error| ProxyServerError::PersistentState(folder, error))?;
            (Some(files), bans)
        }
        None => Default::default(),
    };
    let unheard = |error| ProxyServerError::Listen(config.listen, error);
    let listens = || listen(config.listen, config.console.is_some());
    let listener = retry::until(Instant::now() + LISTEN_TIMEOUT, retry::is_local, listens).await;
    let listener = Rc::new(listener.map_err(unheard)?);
    let opened = Instant::now();
    let monitor = StallDetector::new(opened);
    let address = listener.local_addr().map_err(unheard)?;
    log(format_args!("{} listens on {address}", config.name));
    // Each client connection carries one request, and one whose client has left may run on for a while.
    let leases = extproc.as_ref().map_or(0, |e| e.bounds.leases);
    let requests = config.client_sockets * OPEN_PER_CLIENT + leases;
    let bounds = EngineLimits { requests, leases };
    let engine = Engine::new(settings.clone(), bounds, config.seed, config.seed ^ clock.now(), clock.now())?;
    let (subscribe, subscriptions) = mpsc::unbounded_channel();
    let report_by_health_check = settings.load_report_by_health_check;
    let lease_events = Rc::new(LeaseEventQueue::default());
    let carrier = ProxyTransport {
        backend_pool: Rc::clone(&backend_pool),
        subscribe,
        report_by_health_check,
        lease_events,
    };
    let handle = Handle::new(engine, clock, carrier);
    // Clients' requests are held beside those of callers, so that both fronts share the table.
    let claims = extproc.as_ref().map(|e| shared_claims(e.bounds.remembered));
    let extproc = match (&extproc, &claims) {
        (Some(own), Some(claims)) => {
            Some(ExternalProcessor::start(own, &settings, &config.names, Rc::clone(claims), &handle)?)
        }
        _ => None,
    };
    let held = Rc::new(Cell::new(false));
    let translator = ListTranslator::new(clock, &config.names, &settings.safety);
    let (discovery, addresses) = watch::channel(config.discovery);
    let on_request = asked.then(|| OnRequestDiscovery {
        subscribe_requests: subscriptions,
        schedule: PollSchedule::new(
            settings.instance_index,
            settings.instance_count,
            settings.safety.max_poll_interval,
        ),
    });
    let backend_list = Rc::new(RefCell::new(BackendList::new(bans)));
    let mut watcher = DiscoveryWatcher::new(DiscoveryWatcherOptions {
        addresses,
        translator,
        backend_list: Rc::clone(&backend_list),
        handle: handle.clone(),
        has_backend_list: Rc::clone(&held),
        on_request,
    });
    watcher.start_from(config.known_backends);
    let heard = watcher.call_ended();
    let config_reload =
        ConfigReload::new(config.shape, settings.clone(), config.names.clone(), handle.clone(), learns)?;
    let (phase, phases) = watch::channel(ShutdownPhase::Running);
    let most = config.client_sockets;
    let clients = ClientConnections::new(ClientConnectionsOptions {
        handle: handle.clone(),
        clock,
        classes: config_reload.client_classes(clock.now()),
        names: &config.names,
        has_backend_list: Rc::clone(&held),
        phase: phases,
        max_connections: most,
        large_body_bytes: config.large_body_bytes,
        idempotency_registry: claims,
        stall_detector: Rc::clone(&monitor),
    });
    let sockets = Sockets { clients: most, backends: config.backend_sockets };
    let admin_handler = files.map(|files| {
        let (listener, clients) = (Rc::clone(&listener), Rc::clone(&clients));
        AdminHandler::new(files, backend_list, held, handle.clone(), listener, clients, sockets)
    });
    let console = match (config.console, &admin_handler) {
        (Some(console), Some(admin_handler)) => Some(open_console(console, admin_handler).await?),
        _ => None,
    };
    if let Some(console) = console {
        log(format_args!("{} answers operators on {console}", config.name));
    }

    let longest = config_reload.longest();
    // Kept alive to the end: a watch whose sender is gone ends.
    let _discovery = match reload {
        Some(reload) => {
            tokio::task::spawn_local(config_reload.follow(reload, discovery, Rc::clone(&clients)));
            None
        }
        None => Some(discovery),
    };
    let callers = extproc.as_ref().map(|e| e.services.address);
    if let Some(callers) = callers {
        log(format_args!("{} answers callers on {callers}", config.name));
    }
    started(&handle, Listening { clients: address, callers, console });
    let ending = handle.clone();
    let engine = tokio::task::spawn_local(handle.run());
    tokio::task::spawn_local(watcher.run());
    tokio::task::spawn_local(backend_pool.close_expired());
    tokio::task::spawn_local(Rc::clone(&monitor).run());
    let accepting = Rc::clone(&clients).accept(Rc::clone(&listener), opened);
    tokio::task::spawn_local(async move {
        // What an agent has counts as told: a request that was sent by an older list might go to a backend that leaves.
        // Until the agent has answered, or failed to, clients wait in the kernel's queue.
        if !asked {
            heard.notified().await;
        }
        accepting.await;
    });
    let served = tokio::select! {
        ended = engine => Err(ProxyServerError::Engine(format!("{ended:?}"))),
        () = stop => {
            if let Some(admin_handler) = &admin_handler {
                admin_handler.drains();
            }
            let longest = Duration::from_micros(longest.get());
            // The signal may have come at any moment of a time in which this process stood.
            let began = monitor.earliest(Instant::now());
            let drained = drain(&clients, &ending, &listener, &phase, began, longest);
            match &extproc {
                Some(extproc) => {
                    tokio::join!(drained, extproc.drain(longest));
                }
                None => drained.await,
            }
            Ok(())
        }
    };
    if let Some(extproc) = extproc {
        extproc.services.end();
    }
    served
}

/// Answers the operators's calls from now on; gives where.
async fn open_console(
    address: SocketAddr,
    admin_handler: &Rc<AdminHandler>,
) -> Result<SocketAddr, ProxyServerError> {
    let unheard = |error| ProxyServerError::Listen(address, error);
    let listener =
        retry::until(Instant::now() + LISTEN_TIMEOUT, retry::is_local, || listen(address, false)).await;
    let listener = listener.map_err(unheard)?;
    let address = listener.local_addr().map_err(unheard)?;
    let answers = Rc::clone(admin_handler);
    tokio::task::spawn_local(console::serve(listener, move |call| Rc::clone(&answers).answer(call)));
    tokio::task::spawn_local(Rc::clone(admin_handler).follow());
    Ok(address)
}

fn shared_claims(most: usize) -> idempotency::SharedRegistry {
    Rc::new(RefCell::new(IdempotencyRegistry::new(most)))
}

/// Finishes what was taken, and what still comes. Whatever hangs then, everything that came has its answer before the
/// platform's patience ends: what comes late has less time for it.
async fn drain(
    clients: &Rc<ClientConnections>,
    handle: &Handle,
    listener: &TcpListener,
    phase: &watch::Sender<ShutdownPhase>,
    began: Instant,
    longest: Duration,
) {
    let longest = longest.min(DRAIN_LONGEST);
    let least = MIN_DRAIN.min(longest + CONNECTIONS_COME);
    handle.set_response_deadline(handle.clock().at(began) + micros(longest + ANSWER_SLACK));
    let _ = phase.send(ShutdownPhase::Draining);
    while began.elapsed() < least || (clients.time_since_accept() < DRAIN_QUIET && began.elapsed() < longest)
    {
        sleep(DRAIN_STEP).await;
    }
    let _ = phase.send(ShutdownPhase::Closing);
    let end = began + longest + DRAIN_SLACK;
    loop {
        while clients.open() > 0 {
            if timeout_at(end, clients.connection_closed()).await.is_err() {
                return;
            }
        }
        // The exit resets what stands in the listener's queue. Nothing comes between this look and the exit but what the
        // kernel completes in that moment.
        match clients.drain_backlog(listener) {
            BacklogDrain::Accepted => {}
            BacklogDrain::Failed if Instant::now() < end => sleep(LOOK_RETRY_DELAY).await,
            BacklogDrain::Empty | BacklogDrain::Failed => return,
        }
    }
}

fn micros(span: Duration) -> Micros {
    Micros::try_from(span.as_micros()).unwrap_or(Micros::MAX)
}
