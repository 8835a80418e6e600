//! Boxes on sockets: the model behind a listener, and connections that break when it says so.

use super::shard::Shared;
use super::shared_state::Face;
use crate::address::Held;
use crate::backend_model::{Admission, BackendModel};
use crate::http1::{self, Message};
use crate::invariant_checker::Observation;
use crate::script::{BackendFault, BackendFaultKind};
use balancer::api::Micros;
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Notify, oneshot, watch};
use tokio::time::sleep;

const BACKLOG: u32 = 1_024;
/// How late what is sent on a new connection is read, where that is the trouble.
const LATE: Duration = Duration::from_millis(100);

/// One box.
pub(crate) struct StandIn {
    shared: Rc<Shared>,
    index: usize,
    address: Held,
    /// `None`: its process is dead.
    model: RefCell<Option<BackendModel>>,
    /// Who waits for which of the model's requests.
    waiting: RefCell<FxHashMap<u64, oneshot::Sender<()>>>,
    wake: Notify,
    /// Counts deaths and starts; connections and listener of an earlier life end.
    life: watch::Sender<u64>,
    /// What goes wrong with answers and connections, and how often.
    faults: RefCell<FxHashMap<BackendFaultKind, f64>>,
    next: Cell<u64>,
    rng: RefCell<fastrand::Rng>,
}

/// Has a connection end by a reset when it is dropped.
pub(crate) fn reset(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

impl StandIn {
    /// A warm box. Its address is held, so that nobody takes its port while it is dead.
    pub(crate) fn start(shared: &Rc<Shared>, index: usize) -> io::Result<Rc<Self>> {
        let (high, low) = (index / 200, index % 200);
        let address = Held::new(Ipv4Addr::new(127, 0, 10 + high as u8, 1 + low as u8))?;
        let listener = listen(address.address())?;
        let model = BackendModel::new(shared.board.script.box_spec(index), shared.board.now(), None);
        let stand_in = Rc::new(Self {
            shared: Rc::clone(shared),
            index,
            address,
            model: RefCell::new(Some(model)),
            waiting: RefCell::default(),
            wake: Notify::new(),
            life: watch::channel(0).0,
            faults: RefCell::default(),
            next: Cell::new(0),
            rng: RefCell::new(fastrand::Rng::with_seed(shared.board.script.seed ^ index as u64)),
        });
        shared.board.face(index).set_address(stand_in.address.address());
        tokio::task::spawn_local(Rc::clone(&stand_in).work());
        tokio::task::spawn_local(Rc::clone(&stand_in).accept(listener));
        Ok(stand_in)
    }

    pub(crate) fn index(&self) -> usize {
        self.index
    }

    fn is_up(&self) -> bool {
        self.model.borrow().is_some()
    }

    fn face(&self) -> &Face {
        self.shared.board.face(self.index)
    }

    /// Does what the model has got done, as time passes.
    async fn work(self: Rc<Self>) {
        loop {
            let next = self.advance();
            let woken = self.wake.notified();
            match next {
                None => woken.await,
                Some(next) => tokio::select! {
                    () = woken => {}
                    () = self.shared.board.sleep_until(next) => {}
                },
            }
        }
    }

    fn advance(&self) -> Option<Micros> {
        let now = self.shared.board.now();
        let mut model = self.model.borrow_mut();
        let model = model.as_mut()?;
        for id in model.advance(now) {
            if let Some(waiting) = self.waiting.borrow_mut().remove(&id) {
                let _ = waiting.send(());
            }
        }
        model.next()
    }

    async fn accept(self: Rc<Self>, first: TcpListener) {
        let mut listener = Some(first);
        let mut life = self.life.subscribe();
        loop {
            let accepted = async {
                match &listener {
                    Some(listener) => listener.accept().await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                accepted = accepted => {
                    if let Ok((stream, _)) = accepted {
                        tokio::task::spawn_local(Rc::clone(&self).connection(stream));
                    }
                }
                changed = life.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    listener = if self.is_up() { listen(self.address.address()).ok() } else { None };
                }
            }
        }
    }

    async fn connection(self: Rc<Self>, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        self.shared.saw(Observation::BackendConnected { backend: self.index });
        let mut life = self.life.subscribe();
        if self.strikes(BackendFaultKind::ResetNew, None) {
            reset(&stream);
            return;
        }
        if self.strikes(BackendFaultKind::AcceptLate, None) {
            sleep(LATE).await;
        }
        let mut buffer = Vec::new();
        let died = tokio::select! {
            _ = life.changed() => true,
            served = self.serve(&mut stream, &mut buffer) => served.is_err(),
        };
        if died {
            // The kernel of a dead process resets its connections.
            reset(&stream);
        }
    }

    /// Serves one request after another; an error is a connection that breaks.
    async fn serve(&self, stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<()> {
        let mut kept = false;
        while let Some(request) = http1::read(stream, buffer, false).await? {
            let id = request.id();
            if kept && self.strikes(BackendFaultKind::Silence, id) {
                // Until the proxy closes it.
                while stream.read(&mut [0; 1_024]).await? > 0 {}
                return Ok(());
            }
            if self.strikes(BackendFaultKind::ResetRequest, id) {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            self.respond(stream, &request).await?;
            if self.strikes(BackendFaultKind::CloseAfter, id) {
                return Ok(());
            }
            kept = true;
        }
        Ok(())
    }

    /// Whether a trouble of connections hits now. For a request its id decides, so that the same requests are hit
    /// whatever the order in which they come.
    fn strikes(&self, what: BackendFaultKind, id: Option<u64>) -> bool {
        let degree = self.faults.borrow().get(&what).copied().unwrap_or(0.0);
        if degree == 0.0 {
            return false;
        }
        let draw = match id {
            Some(id) => {
                let mix = (id + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ self.shared.board.script.seed;
                // The next attempt of the request is at another box, where the draw is another one.
                fastrand::Rng::with_seed(mix ^ ((self.index as u64) << 48) ^ what as u64).f64()
            }
            None => self.rng.borrow_mut().f64(),
        };
        let hit = draw < degree;
        self.shared.hits.set(self.shared.hits.get() + u64::from(hit));
        hit
    }

    async fn respond(&self, stream: &mut TcpStream, request: &Message) -> io::Result<()> {
        let id = request.id();
        let arrival = |id: u64| self.shared.board.plan.arrivals.get(usize::try_from(id).ok()?);
        let work = id.and_then(arrival).map(|arrival| arrival.work);
        let (Some(id), Some(work)) = (id, work) else {
            return http1::answer(stream, "404 Not Found", "", b"").await;
        };
        self.advance();
        let (at_box, job) = (self.index, self.next.get());
        self.next.set(job + 1);
        let now = self.shared.board.now();
        let arrived = self.model.borrow_mut().as_mut().map(|model| model.arrive(now, job, work));
        match arrived {
            None => return Err(io::ErrorKind::ConnectionReset.into()),
            Some(Admission::Rejected) => {
                self.shared.saw(Observation::AttemptRejected { id, backend: at_box });
                return http1::answer(stream, "503 Service Unavailable", "X-Unprocessed: 1\r\n", b"").await;
            }
            Some(Admission::Accepted | Admission::Swallowed) => {}
        }
        self.shared.saw(Observation::AttemptStarted { id, backend: at_box, work });
        let (done, waiting) = oneshot::channel();
        self.waiting.borrow_mut().insert(job, done);
        self.wake.notify_one();
        if self.strikes(BackendFaultKind::Reset, Some(id)) {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        if waiting.await.is_err() {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let served = super::clients::body(id);
        if self.strikes(BackendFaultKind::BreakAnswer, Some(id)) {
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", served.len());
            stream.write_all(head.as_bytes()).await?;
            stream.write_all(&served.as_bytes()[..served.len() / 2]).await?;
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        if self.strikes(BackendFaultKind::Spoil, Some(id)) {
            stream.write_all(b"HTP/9 what\r\n\r\n").await?;
            return Err(io::ErrorKind::InvalidData.into());
        }
        http1::answer(stream, "200 OK", "", served.as_bytes()).await
    }

    pub(crate) fn strike(&self, trouble: &BackendFault, begins: bool) {
        self.advance();
        let degree = if begins { trouble.degree } else { 0.0 };
        match trouble.what {
            BackendFaultKind::Crash if begins => self.die(),
            BackendFaultKind::Crash => self.rise(),
            BackendFaultKind::Drain => {
                self.face().set_drains(begins);
                self.with_model(|model| model.set_drains(begins));
            }
            BackendFaultKind::Hang => self.with_model(|model| model.set_hangs(begins)),
            BackendFaultKind::Pause => self.with_model(|model| model.set_stands(begins)),
            BackendFaultKind::Slow => self.with_model(|model| model.set_slow(degree)),
            BackendFaultKind::DiscoveryDown => {}
            what => _ = self.faults.borrow_mut().insert(what, degree),
        }
        self.wake.notify_one();
    }

    fn with_model(&self, change: impl FnOnce(&mut BackendModel)) {
        if let Some(model) = self.model.borrow_mut().as_mut() {
            change(model);
        }
    }

    fn die(&self) {
        self.face().dies();
        *self.model.borrow_mut() = None;
        self.waiting.borrow_mut().clear();
        self.life.send_modify(|life| *life += 1);
    }

    fn rise(&self) {
        if self.is_up() {
            return;
        }
        let now = self.shared.board.now();
        *self.model.borrow_mut() =
            Some(BackendModel::new(self.shared.board.script.box_spec(self.index), now, Some(now)));
        self.face().rises(now);
        self.shared.saw(Observation::BackendStarted { backend: self.index });
        self.life.send_modify(|life| *life += 1);
    }
}
