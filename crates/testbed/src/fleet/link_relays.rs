//! The relays that apply the link faults of a scenario between proxies and their peers.

use super::relay::{self, Clock};
use super::scenario::FleetError;
use crate::links::Links;
use crate::script::LinkEndpoints;
use crate::sockets::SharedState;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, OnceLock, mpsc};
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::sleep;

/// The relays of a scenario, on a thread that ends with the scenario's shared state.
pub(super) struct Relays {
    /// Port of the discovery relay, and its target for each proxy.
    discovery: Option<(u16, Arc<OnceLock<Vec<SocketAddr>>>)>,
}

impl Relays {
    /// Sets the agents as targets of the discovery relay, and returns the addresses at which proxies reach
    /// them.
    pub(super) fn proxy_targets(&self, agents: &[SocketAddr]) -> Vec<SocketAddr> {
        let Some((port, targets)) = &self.discovery else { return agents.to_vec() };
        let _ = targets.set(agents.to_vec());
        let relayed = |proxy| SocketAddr::from((crate::address::relay_address(proxy), *port));
        (0..agents.len()).map(relayed).collect()
    }
}

/// Starts the relays on a separate thread; `None` if the script has no link faults.
///
/// # Errors
/// A relay's socket can't be opened, or the thread ends early.
pub(super) fn start(shared_state: &Arc<SharedState>, clock: &Clock) -> Result<Option<Relays>, FleetError> {
    if shared_state.script.link_faults.is_empty() {
        return Ok(None);
    }
    let (sender, receiver) = mpsc::channel();
    let (shared_state, clock) = (Arc::clone(shared_state), clock.clone());
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let Ok(runtime) = runtime else { return };
        LocalSet::new().block_on(&runtime, async {
            let opened = open(&shared_state, &clock);
            let is_open = opened.is_ok();
            let _ = sender.send(opened);
            if is_open {
                // Relays run until all other owners have dropped the shared state.
                while Arc::strong_count(&shared_state) > 1 {
                    sleep(Duration::from_millis(100)).await;
                }
            }
        });
    });
    Ok(Some(receiver.recv().map_err(|_| FleetError::EmulatorEnded)??))
}

fn open(shared_state: &Arc<SharedState>, clock: &Clock) -> io::Result<Relays> {
    let (script, links) = (&shared_state.script, Rc::new(Links::new(&shared_state.script)));
    if script.has_links(LinkEndpoints::Backends) {
        let relay_port = |backend: usize| {
            let address = shared_state.backend_status(backend).address();
            relay::streams(&links, clock, LinkEndpoints::Backends, backend, Rc::new(move |_| address))
        };
        shared_state
            .set_backend_relays((0..script.fleet.backends).map(relay_port).collect::<io::Result<Vec<_>>>()?);
    }
    let mut discovery = None;
    if script.has_links(LinkEndpoints::Discovery) {
        let targets: Arc<OnceLock<Vec<SocketAddr>>> = Arc::default();
        let agents_by_proxy = Arc::clone(&targets);
        let target = move |proxy: usize| agents_by_proxy.get().and_then(|agents| agents.get(proxy).copied());
        discovery =
            Some((relay::streams(&links, clock, LinkEndpoints::Discovery, 0, Rc::new(target))?, targets));
    }
    if script.has_links(LinkEndpoints::Clients) {
        let weak_state = Arc::downgrade(shared_state);
        let target = move |proxy: usize| {
            weak_state.upgrade().and_then(|shared_state| shared_state.proxy_endpoint(proxy).listen_address())
        };
        shared_state.set_client_relay(relay::streams(
            &links,
            clock,
            LinkEndpoints::Clients,
            0,
            Rc::new(target),
        )?);
    }
    Ok(Relays { discovery })
}
