//! One real proxy: start-up, signals, exit code.
#![forbid(unsafe_code)]

use haventrack_engine::engine::{Bounds, Engine};
use haventrack_engine::shell::clock::Clock;
use haventrack_proxy::backends::Fleet;
use haventrack_proxy::carrier::{Carrier, Handle};
use haventrack_proxy::clients::{Clients, Phase};
use haventrack_proxy::config::Config;
use haventrack_proxy::discovery::{Translator, Watcher};
use haventrack_proxy::log::log;
use std::cell::Cell;
use std::error::Error;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep, timeout_at};

/// The kernel's queue of connections that are not accepted yet.
const BACKLOG: u32 = 1_024;
/// After SIGTERM, connections still come for a while: how long the proxy goes on at the least, and how long
/// nobody must have connected.
const DRAIN_LEAST: Duration = Duration::from_millis(800);
const DRAIN_QUIET: Duration = Duration::from_millis(300);
const DRAIN_STEP: Duration = Duration::from_millis(50);
/// Requests that may be open for each client connection that there may be. Attempts of clients that have left go on.
const OPEN_PER_CLIENT: usize = 8;
/// What the proxy takes beyond the longest deadline before it ends with clients still connected.
const DRAIN_SLACK: Duration = Duration::from_millis(500);

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    // A restarted proxy takes its old address although connections of the old process linger.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// The signals that do not end the process.
struct Signals {
    stop: Signal,
    reload: Signal,
}

impl Signals {
    /// Takes them over. Until then either ends the process, so this comes before anything else.
    fn install() -> std::io::Result<Self> {
        Ok(Self { stop: signal(SignalKind::terminate())?, reload: signal(SignalKind::hangup())? })
    }
}

/// Reads the configuration again at each SIGHUP, for as long as the proxy runs, and tells where discovery is
/// now. Serving goes on meanwhile; a file that can't be used changes nothing.
async fn follow_configuration(mut reload: Signal, discovery: watch::Sender<SocketAddr>) {
    while reload.recv().await.is_some() {
        match Config::from_env() {
            Ok(config) => {
                log(format_args!("read the configuration again: discovery is at {}", config.discovery));
                discovery
                    .send_if_modified(|now| std::mem::replace(now, config.discovery) != config.discovery);
            }
            Err(error) => log(format_args!("kept the old configuration: {error}")),
        }
    }
}

async fn run(config: Config, signals: Signals) -> Result<(), Box<dyn Error>> {
    let clock = Clock::start();
    let settings = config.settings;
    let longest = settings.classes.iter().map(|c| c.deadline).max().unwrap_or_default();
    let asked = settings.discovery_on_request;
    let fleet = Fleet::new(
        config.backend_sockets,
        config.large_answers,
        config.dial_timeout,
        settings.permissions.conn_idle,
        config.names.report.clone(),
    );
    let listener = listen(config.listen).map_err(|e| format!("cannot listen on {}: {e}", config.listen))?;
    log(format_args!("{} listens on {}", config.name, listener.local_addr()?));
    // Each client connection carries one request, and one whose client has left may run on for a while.
    let bounds = Bounds { requests: config.client_sockets * OPEN_PER_CLIENT, leases: 0 };
    let engine = Engine::new(settings.clone(), bounds, config.seed, config.seed ^ clock.now(), clock.now())?;
    let (subscribe, subscriptions) = mpsc::unbounded_channel();
    let report_by_probe = settings.report_by_probe;
    let handle = Handle::new(engine, clock, Carrier { fleet: Rc::clone(&fleet), subscribe, report_by_probe });
    let held = Rc::new(Cell::new(false));
    let translator = Translator::new(clock, &config.names);
    let subscriptions = asked.then_some(subscriptions);
    let (discovery, addresses) = watch::channel(config.discovery);
    let mut watcher = Watcher::new(addresses, translator, handle.clone(), Rc::clone(&held), subscriptions);
    watcher.start_from(config.known);
    let (phase, phases) = watch::channel(Phase::Running);
    let clients =
        Clients::new(handle.clone(), clock, &settings, &config.names, held, phases, config.client_sockets);

    let Signals { mut stop, reload } = signals;
    tokio::task::spawn_local(follow_configuration(reload, discovery));
    let engine = tokio::task::spawn_local(handle.run());
    tokio::task::spawn_local(watcher.run());
    tokio::task::spawn_local(fleet.sweep());
    tokio::task::spawn_local(Rc::clone(&clients).accept(listener));
    tokio::select! {
        ended = engine => Err(format!("the engine ended: {ended:?}").into()),
        _ = stop.recv() => {
            drain(&clients, &phase, Duration::from_micros(longest)).await;
            Ok(())
        }
    }
}

/// Finishes what was taken, and what still comes.
async fn drain(clients: &Clients, phase: &watch::Sender<Phase>, longest: Duration) {
    let began = Instant::now();
    let _ = phase.send(Phase::Draining);
    while began.elapsed() < DRAIN_LEAST || (clients.quiet() < DRAIN_QUIET && began.elapsed() < longest) {
        sleep(DRAIN_STEP).await;
    }
    let _ = phase.send(Phase::Closing);
    let end = began + longest + DRAIN_SLACK;
    while clients.open() > 0 && timeout_at(end, clients.one_ended()).await.is_ok() {}
}

fn start() -> Result<(), Box<dyn Error>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let signals = Signals::install()?;
        run(Config::from_env()?, signals).await
    })
}

fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log(format_args!("haventrack-proxy: {error}"));
            ExitCode::FAILURE
        }
    }
}
