//! One real proxy from its configuration to its end.

use crate::backends::Fleet;
use crate::carrier::{Carrier, Handle};
use crate::clients::{Clients, Phase};
use crate::config::Config;
use crate::discovery::{Translator, Watcher};
use crate::log::log;
use haventrack_decision::api::SettingsError;
use haventrack_engine::engine::{Bounds, Engine};
use haventrack_engine::shell::clock::Clock;
use std::cell::Cell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::Signal;
use tokio::sync::{mpsc, watch};
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

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    // A restarted proxy takes its old address although connections of the old process linger.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
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

/// Why the program ended, or could not begin.
#[derive(Debug, Error)]
pub enum ProgramError {
    /// Its address can't be had.
    #[error("cannot listen on {0}: {1}")]
    Listen(SocketAddr, io::Error),
    /// The settings make no sense.
    #[error("{0}")]
    Settings(#[from] SettingsError),
    /// The engine panicked.
    #[error("the engine ended: {0}")]
    Engine(String),
}

/// Serves until `stop`, and then until all that was taken is answered. `reload` tells when to read the configuration
/// again; `started` is told once the listener is open.
///
/// # Errors
/// Where it can't begin, or the engine ends early.
pub async fn serve(
    config: Config,
    stop: impl Future<Output = ()>,
    reload: Option<Signal>,
    started: impl FnOnce(&Handle, SocketAddr),
) -> Result<(), ProgramError> {
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
    let unheard = |error| ProgramError::Listen(config.listen, error);
    let listener = listen(config.listen).map_err(unheard)?;
    let address = listener.local_addr().map_err(unheard)?;
    log(format_args!("{} listens on {address}", config.name));
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

    // Kept alive to the end: a watch whose sender is gone ends.
    let _discovery = match reload {
        Some(reload) => {
            tokio::task::spawn_local(follow_configuration(reload, discovery));
            None
        }
        None => Some(discovery),
    };
    started(&handle, address);
    let engine = tokio::task::spawn_local(handle.run());
    tokio::task::spawn_local(watcher.run());
    tokio::task::spawn_local(fleet.sweep());
    tokio::task::spawn_local(Rc::clone(&clients).accept(listener));
    tokio::select! {
        ended = engine => Err(ProgramError::Engine(format!("{ended:?}"))),
        () = stop => {
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
