//! Emulated backends: the backend model behind a TCP listener, with injected connection and response faults.

use super::shard::ShardContext;
use super::shared_state::BackendStatus;
use crate::address::ReservedPort;
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

/// Upper bound on the connections that wait to be accepted on a listener.
const BACKLOG: u32 = 1_024;
/// Delay before the first read from a new connection under [`BackendFaultKind::AcceptLate`].
const ACCEPT_DELAY: Duration = Duration::from_millis(100);

/// One emulated backend.
pub(crate) struct EmulatedBackend {
    context: Rc<ShardContext>,
    index: usize,
    address: ReservedPort,
    /// `None` while the emulated process is down.
    model: RefCell<Option<BackendModel>>,
    /// Wakes the connection whose job the model has completed, by job number.
    waiting: RefCell<FxHashMap<u64, oneshot::Sender<()>>>,
    /// Signals that the time of the model's next event may have changed.
    model_changed: Notify,
    /// Incremented at each crash and restart; the connections and the listener of an earlier incarnation end.
    incarnation: watch::Sender<u64>,
    /// Active faults of responses and connections, with their probability (0 to 1).
    faults: RefCell<FxHashMap<BackendFaultKind, f64>>,
    next_job: Cell<u64>,
    rng: RefCell<fastrand::Rng>,
}

/// Makes the connection end with a TCP reset when it is dropped.
pub(crate) fn reset(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

impl EmulatedBackend {
    /// Starts a backend that has already warmed up. Its address stays reserved while it is down, so that no
    /// other socket gets the port.
    ///
    /// # Errors
    /// Where the address cannot be reserved or listened on.
    pub(crate) fn start(context: &Rc<ShardContext>, index: usize) -> io::Result<Rc<Self>> {
        let (high, low) = (index / 200, index % 200);
        let address = ReservedPort::new(Ipv4Addr::new(127, 0, 10 + high as u8, 1 + low as u8))?;
        let listener = listen(address.address())?;
        let model = BackendModel::new(context.state.script.backend_spec(index), context.state.now(), None);
        let backend = Rc::new(Self {
            context: Rc::clone(context),
            index,
            address,
            model: RefCell::new(Some(model)),
            waiting: RefCell::default(),
            model_changed: Notify::new(),
            incarnation: watch::channel(0).0,
            faults: RefCell::default(),
            next_job: Cell::new(0),
            rng: RefCell::new(fastrand::Rng::with_seed(context.state.script.seed ^ index as u64)),
        });
        context.state.backend_status(index).set_address(backend.address.address());
        tokio::task::spawn_local(Rc::clone(&backend).run_model());
        tokio::task::spawn_local(Rc::clone(&backend).accept_connections(listener));
        Ok(backend)
    }

    pub(crate) fn index(&self) -> usize {
        self.index
    }

    fn is_up(&self) -> bool {
        self.model.borrow().is_some()
    }

    fn backend_status(&self) -> &BackendStatus {
        self.context.state.backend_status(self.index)
    }

    /// Completes the model's jobs when they are due.
    async fn run_model(self: Rc<Self>) {
        loop {
            let next = self.advance();
            let model_changed = self.model_changed.notified();
            match next {
                None => model_changed.await,
                Some(next) => tokio::select! {
                    () = model_changed => {}
                    () = self.context.state.sleep_until(next) => {}
                },
            }
        }
    }

    fn advance(&self) -> Option<Micros> {
        let now = self.context.state.now();
        let mut model = self.model.borrow_mut();
        let model = model.as_mut()?;
        for id in model.advance(now) {
            if let Some(waiting) = self.waiting.borrow_mut().remove(&id) {
                let _ = waiting.send(());
            }
        }
        model.next()
    }

    async fn accept_connections(self: Rc<Self>, first: TcpListener) {
        let mut listener = Some(first);
        let mut incarnation = self.incarnation.subscribe();
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
                        tokio::task::spawn_local(Rc::clone(&self).serve_connection(stream));
                    }
                }
                changed = incarnation.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    listener = if self.is_up() { listen(self.address.address()).ok() } else { None };
                }
            }
        }
    }

    async fn serve_connection(self: Rc<Self>, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        self.context.record(Observation::BackendConnected { backend: self.index });
        let mut incarnation = self.incarnation.subscribe();
        if self.fault_applies(BackendFaultKind::ResetNew, None) {
            reset(&stream);
            return;
        }
        if self.fault_applies(BackendFaultKind::AcceptLate, None) {
            sleep(ACCEPT_DELAY).await;
        }
        let mut buffer = Vec::new();
        let must_reset = tokio::select! {
            _ = incarnation.changed() => true,
            served = self.serve_requests(&mut stream, &mut buffer) => served.is_err(),
        };
        if must_reset {
            // As the kernel does with the connections of a killed process.
            reset(&stream);
        }
    }

    /// Serves requests one after another. An error means that the connection has to be reset.
    async fn serve_requests(&self, stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<()> {
        let mut reused = false;
        while let Some(request) = http1::read(stream, buffer, http1::MessageKind::Request).await? {
            let id = request.id();
            if reused && self.fault_applies(BackendFaultKind::Silence, id) {
                // Does not respond until the proxy closes the connection.
                while stream.read(&mut [0; 1_024]).await? > 0 {}
                return Ok(());
            }
            if self.fault_applies(BackendFaultKind::ResetRequest, id) {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            self.respond(stream, &request).await?;
            if self.fault_applies(BackendFaultKind::CloseAfter, id) {
                return Ok(());
            }
            reused = true;
        }
        Ok(())
    }

    /// Decides at random whether to inject a fault now. For a request, the decision depends only on its id
    /// and on how often this fault was drawn for it before, so that the same requests are hit in whatever
    /// order and at whichever backends they arrive.
    fn fault_applies(&self, kind: BackendFaultKind, id: Option<u64>) -> bool {
        let probability = self.faults.borrow().get(&kind).copied().unwrap_or(0.0);
        if probability == 0.0 {
            return false;
        }
        let draw = match id {
            Some(id) => {
                let mix = (id + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ self.context.state.script.seed;
                // Includes the number of earlier draws, so that a retry gets an independent draw.
                let earlier_draws = self.context.state.count_fault_draw(kind, id);
                fastrand::Rng::with_seed(mix ^ (earlier_draws << 48) ^ kind as u64).f64()
            }
            None => self.rng.borrow_mut().f64(),
        };
        let hit = draw < probability;
        self.context.fault_hits.set(self.context.fault_hits.get() + u64::from(hit));
        hit
    }

    async fn respond(&self, stream: &mut TcpStream, request: &Message) -> io::Result<()> {
        let id = request.id();
        let arrival = |id: u64| self.context.state.plan.arrivals.get(usize::try_from(id).ok()?);
        let work = id.and_then(arrival).map(|arrival| arrival.work);
        let (Some(id), Some(work)) = (id, work) else {
            return http1::write_response(stream, "404 Not Found", "", b"").await;
        };
        self.advance();
        let (backend, job) = (self.index, self.next_job.get());
        self.next_job.set(job + 1);
        let now = self.context.state.now();
        let arrived = self.model.borrow_mut().as_mut().map(|model| model.arrive(now, job, work));
        match arrived {
            None => return Err(io::ErrorKind::ConnectionReset.into()),
            Some(Admission::Rejected) => {
                self.context.record(Observation::AttemptRejected { id, backend });
                return http1::write_response(stream, "503 Service Unavailable", "X-Unprocessed: 1\r\n", b"")
                    .await;
            }
            Some(Admission::Accepted | Admission::Swallowed) => {}
        }
        self.context.record(Observation::AttemptStarted { id, backend, work });
        let (done, waiting) = oneshot::channel();
        self.waiting.borrow_mut().insert(job, done);
        self.model_changed.notify_one();
        if self.fault_applies(BackendFaultKind::Reset, Some(id)) {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        if waiting.await.is_err() {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let served = super::clients::body(id);
        if self.fault_applies(BackendFaultKind::BreakAnswer, Some(id)) {
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", served.len());
            stream.write_all(head.as_bytes()).await?;
            stream.write_all(&served.as_bytes()[..served.len() / 2]).await?;
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        if self.fault_applies(BackendFaultKind::Spoil, Some(id)) {
            stream.write_all(b"HTP/9 what\r\n\r\n").await?;
            return Err(io::ErrorKind::InvalidData.into());
        }
        http1::write_response(stream, "200 OK", "", served.as_bytes()).await
    }

    pub(crate) fn apply_fault(&self, fault: &BackendFault, starts: bool) {
        self.advance();
        let probability = if starts { fault.severity } else { 0.0 };
        match fault.kind {
            BackendFaultKind::Crash if starts => self.crash(),
            BackendFaultKind::Crash => self.restart(),
            BackendFaultKind::Drain => {
                self.backend_status().set_draining(starts);
                self.with_model(|model| model.set_draining(starts));
            }
            BackendFaultKind::Hang => self.with_model(|model| model.set_hanging(starts)),
            BackendFaultKind::Pause => self.with_model(|model| model.set_paused(starts)),
            BackendFaultKind::Slow => self.with_model(|model| model.set_slowdown(probability)),
            BackendFaultKind::DiscoveryDown => {}
            kind => _ = self.faults.borrow_mut().insert(kind, probability),
        }
        self.model_changed.notify_one();
    }

    fn with_model(&self, change: impl FnOnce(&mut BackendModel)) {
        if let Some(model) = self.model.borrow_mut().as_mut() {
            change(model);
        }
    }

    fn crash(&self) {
        self.backend_status().mark_down();
        *self.model.borrow_mut() = None;
        self.waiting.borrow_mut().clear();
        self.incarnation.send_modify(|incarnation| *incarnation += 1);
    }

    fn restart(&self) {
        if self.is_up() {
            return;
        }
        let now = self.context.state.now();
        *self.model.borrow_mut() =
            Some(BackendModel::new(self.context.state.script.backend_spec(self.index), now, Some(now)));
        self.backend_status().mark_up(now);
        self.context.record(Observation::BackendStarted { backend: self.index });
        self.incarnation.send_modify(|incarnation| *incarnation += 1);
    }
}
