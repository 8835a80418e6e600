//! What the stand-ins of all threads share: the script, the day's clock, the boxes as discovery sees them, the proxies as
//! the front sees them.

use crate::plan::Plan;
use crate::script::Script;
use balancer::api::Micros;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// The clock of a day begins here, so that no time is 0.
const START: Micros = 1_000_000;

/// A box as discovery sees it.
#[derive(Default)]
pub(crate) struct Face {
    address: OnceLock<SocketAddr>,
    down: AtomicBool,
    drains: AtomicBool,
    /// When its process started; 0: long ago.
    started: AtomicU64,
}

impl Face {
    pub(crate) fn address(&self) -> Option<SocketAddr> {
        self.address.get().copied()
    }

    pub(crate) fn set_address(&self, address: SocketAddr) {
        let _ = self.address.set(address);
    }

    pub(crate) fn is_up(&self) -> bool {
        !self.down.load(Ordering::Acquire)
    }

    pub(crate) fn drains(&self) -> bool {
        self.drains.load(Ordering::Acquire)
    }

    pub(crate) fn started(&self) -> Option<Micros> {
        Some(self.started.load(Ordering::Acquire)).filter(|&at| at > 0)
    }

    pub(crate) fn set_drains(&self, drains: bool) {
        self.drains.store(drains, Ordering::Release);
    }

    pub(crate) fn dies(&self) {
        self.down.store(true, Ordering::Release);
    }

    pub(crate) fn rises(&self, at: Micros) {
        self.started.store(at, Ordering::Release);
        self.down.store(false, Ordering::Release);
    }
}

/// A proxy as the front sees it.
#[derive(Default)]
pub(crate) struct Entrance {
    listens: Mutex<Option<SocketAddr>>,
    open: AtomicBool,
    openings: AtomicU32,
    kills: AtomicU32,
}

impl Entrance {
    /// Where it listens.
    pub(crate) fn listens(&self) -> Option<SocketAddr> {
        *self.listens.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn listens_at(&self, address: SocketAddr) {
        *self.listens.lock().unwrap_or_else(PoisonError::into_inner) = Some(address);
    }

    /// Whether the front deals requests to it.
    pub(crate) fn is_open(&self) -> bool {
        self.open.load(Ordering::Acquire)
    }

    pub(crate) fn set_open(&self, open: bool) {
        self.openings.fetch_add(u32::from(open), Ordering::AcqRel);
        self.open.store(open, Ordering::Release);
    }

    /// How often the front began to deal to it.
    pub(crate) fn openings(&self) -> u32 {
        self.openings.load(Ordering::Acquire)
    }

    /// Its process is about to be killed.
    pub(crate) fn is_killed(&self) {
        self.kills.fetch_add(1, Ordering::AcqRel);
    }

    /// How often that was so.
    pub(crate) fn kills(&self) -> u32 {
        self.kills.load(Ordering::Acquire)
    }
}

/// What all stand-ins share.
pub(crate) struct Board {
    pub(crate) script: Script,
    pub(crate) plan: Plan,
    origin: Instant,
    faces: Vec<Face>,
    entrances: Vec<Entrance>,
    discovery_down: AtomicU32,
    /// Boxes that have changed, for discovery: at most two for each trouble of a box in the script.
    news: UnboundedSender<usize>,
    /// Where proxies reach boxes through a relay: its port for each box.
    relays: OnceLock<Vec<u16>>,
    /// Where clients reach proxies through a relay: its port.
    client_relay: OnceLock<u16>,
}

impl Board {
    /// A board, and the boxes that change, for discovery.
    pub(crate) fn new(script: Script, plan: Plan) -> (Arc<Self>, UnboundedReceiver<usize>) {
        let (news, changes) = unbounded_channel();
        let faces = (0..script.fleet.backends).map(|_| Face::default()).collect();
        let entrances = (0..script.fleet.proxies).map(|_| Entrance::default()).collect();
        let (relays, client_relay) = (OnceLock::new(), OnceLock::new());
        let (origin, discovery_down) = (Instant::now(), AtomicU32::new(0));
        let board =
            Self { script, plan, origin, faces, entrances, discovery_down, news, relays, client_relay };
        (Arc::new(board), changes)
    }

    pub(crate) fn now(&self) -> Micros {
        START + self.origin.elapsed().as_micros() as Micros
    }

    pub(crate) fn instant(&self, at: Micros) -> tokio::time::Instant {
        (self.origin + Duration::from_micros(at.saturating_sub(START))).into()
    }

    pub(crate) async fn sleep_until(&self, at: Micros) {
        tokio::time::sleep_until(self.instant(at)).await;
    }

    pub(crate) fn face(&self, at_box: usize) -> &Face {
        &self.faces[at_box]
    }

    pub(crate) fn entrance(&self, proxy: usize) -> &Entrance {
        &self.entrances[proxy]
    }

    /// Boxes whose process runs, and boxes that drain.
    pub(crate) fn in_service(&self) -> (usize, usize) {
        let count = |of: fn(&Face) -> bool| self.faces.iter().filter(|face| of(face)).count();
        (count(Face::is_up), count(Face::drains))
    }

    /// A box has changed.
    pub(crate) fn changed(&self, at_box: usize) {
        // Nobody listens any more where the day is over.
        let _ = self.news.send(at_box);
    }

    pub(crate) fn discovery_is_down(&self) -> bool {
        self.discovery_down.load(Ordering::Acquire) > 0
    }

    pub(crate) fn set_discovery_down(&self, down: bool) {
        if down {
            self.discovery_down.fetch_add(1, Ordering::AcqRel);
        } else {
            self.discovery_down.fetch_sub(1, Ordering::AcqRel);
        }
    }

    /// Proxies reach boxes through relays at these ports, each under an address that tells who it is.
    pub(crate) fn relay_boxes(&self, ports: Vec<u16>) {
        let _ = self.relays.set(ports);
    }

    /// Clients reach proxies through a relay at this port.
    pub(crate) fn relay_clients(&self, port: u16) {
        let _ = self.client_relay.set(port);
    }

    /// Where clients reach a proxy.
    pub(crate) fn way_to_proxy(&self, proxy: usize) -> Option<SocketAddr> {
        match self.client_relay.get() {
            Some(&port) => Some(SocketAddr::from((crate::address::at_relay(proxy), port))),
            None => self.entrance(proxy).listens(),
        }
    }

    /// Where a proxy reaches a box.
    pub(crate) fn way_to_box(&self, proxy: usize, at_box: usize) -> Option<SocketAddr> {
        match self.relays.get() {
            Some(ports) => Some(SocketAddr::from((crate::address::at_relay(proxy), ports[at_box]))),
            None => self.face(at_box).address(),
        }
    }

    /// The proxy that gets a request meant for this one: itself while the front deals to it, else one of the same zone
    /// by chance, if there is any.
    pub(crate) fn front(&self, meant: usize, rng: &mut fastrand::Rng) -> Option<usize> {
        if self.entrance(meant).is_open() {
            return Some(meant);
        }
        self.script.in_place_of(meant, |proxy| self.entrance(proxy).is_open(), rng)
    }
}
