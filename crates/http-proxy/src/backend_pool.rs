//! Attempts on backends: connections, their pool, probes, and what came of each.
//!
//! A request is written to a connection once and never again by this side: whether it may be repeated is the
//! module's to say, and it can only say so if it knows whether the last byte went out (`Wire` counts).

use crate::body::{AtEnd, Content, Outgoing, Passing};
use crate::counting_socket::{Wire, WireIo};
use crate::exchange::{Answered, Broken, Call, Payload, Reply, Served, exchange, least_size, request};
use crate::min_transfer_rate;
use crate::size_limits::ANSWER_HEAD_CAP;
use balancer::api::{Backend, BackendId, Micros, Outcome, Readiness};
use bytes::Bytes;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderName};
use hyper::{Method, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use request_engine::driver::AttemptTimes;
use request_engine::driver::cancellation::CancellationSignal;
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

/// How long before its idle limit a connection is no longer used: the backend's clock started earlier.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// How long a probe may take once its connection is up.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// How long a connection may take to become free again behind its answer.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(1);
/// After how long a backend's close behind its answer has been heard of: a round trip within a region, and time for
/// its machine to get to it.
const SETTLED: Duration = Duration::from_millis(5);
/// How often a body that is passed on is looked at.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);
/// Turns of the runtime in which an answer that the kernel has reaches whoever waits for it: the sockets are asked, the head
/// is handed over, its body is, and one to spare. They take microseconds.
const LAST_TURNS: u32 = 4;
const UNPROCESSED: HeaderName = HeaderName::from_static("x-unprocessed");
const LOAD: HeaderName = HeaderName::from_static("x-backend-load");

/// A backend as the list has it, in the module's numbers, and where it listens.
#[derive(Clone, Copy, Debug)]
pub struct ListedBackend {
    /// What the module is told.
    pub backend: Backend,
    /// Where it listens.
    pub address: SocketAddr,
}

/// How an attempt or a probe ended.
type Ended = request_engine::engine::AttemptEnd<Served>;

/// Counts an open socket until it is dropped.
struct Counted(Rc<Cell<usize>>);

impl Counted {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(Rc::clone(count))
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// One connection to a backend. Dropping it closes it, whatever is out on it.
struct Conn {
    sender: SendRequest<Outgoing>,
    wire: Rc<Wire>,
    task: JoinHandle<()>,
    /// The life of the backend that it belongs to.
    life: u64,
    _counted: Counted,
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Idle {
    conn: Conn,
    since: Instant,
}

/// A backend as the sockets know it.
pub struct Server {
    address: Cell<SocketAddr>,
    started: Cell<Option<Micros>>,
    ready: Cell<bool>,
    /// Counts its restarts and moves: a connection of an earlier life is not used again.
    life: Cell<u64>,
    idle: RefCell<Vec<Idle>>,
}

impl Server {
    /// Keeps a connection that is free, unless it is of an earlier life.
    fn rest(&self, conn: Conn) {
        if self.life.get() == conn.life {
            self.idle.borrow_mut().push(Idle { conn, since: Instant::now() });
        }
    }

    /// It is gone: nothing new goes there, and no connection is kept, not even those that are still in use.
    fn depart(&self) {
        self.ready.set(false);
        self.life.set(self.life.get() + 1);
        self.idle.borrow_mut().clear();
    }
}

/// All backends that discovery lists, and the connections to them.
pub struct BackendPool {
    servers: RefCell<FxHashMap<BackendId, Rc<Server>>>,
    sockets: Rc<Cell<usize>>,
    most_sockets: Cell<usize>,
    dial_timeout: Cell<Duration>,
    idle_limit: Cell<Duration>,
    report_fields: Vec<String>,
}

impl BackendPool {
    /// An empty fleet. `conn_idle` is how long backends keep an idle connection, `report_fields` are the fields of a load
    /// report in the order that the module knows.
    #[must_use]
    pub fn new(
        most_sockets: usize,
        dial_timeout: Micros,
        conn_idle: Micros,
        report_fields: Vec<String>,
    ) -> Rc<Self> {
        Rc::new(Self {
            servers: RefCell::default(),
            sockets: Rc::default(),
            most_sockets: Cell::new(most_sockets),
            dial_timeout: Cell::new(Duration::from_micros(dial_timeout)),
            idle_limit: Cell::new(idle_limit(conn_idle)),
            report_fields,
        })
    }

    /// Other settings hold from now on, also for connections that stand idle already.
    pub fn retune(&self, dial_timeout: Micros, conn_idle: Micros) {
        self.dial_timeout.set(Duration::from_micros(dial_timeout));
        self.idle_limit.set(idle_limit(conn_idle));
    }

    /// Takes what discovery says of one backend.
    pub fn update(&self, id: BackendId, address: SocketAddr, readiness: Readiness, started: Option<Micros>) {
        let mut servers = self.servers.borrow_mut();
        if readiness == Readiness::Removed {
            // Attempts that are out there hold it until they end; a backend of its name later is another one.
            return servers.remove(&id).iter().for_each(|server| server.depart());
        }
        let server = servers.entry(id).or_insert_with(|| {
            Rc::new(Server {
                address: Cell::new(address),
                started: Cell::new(started),
                ready: Cell::new(false),
                life: Cell::new(0),
                idle: RefCell::default(),
            })
        });
        server.ready.set(readiness == Readiness::Ready);
        // The connections of the old process are dead, or will end as resets.
        if server.started.replace(started) != started || server.address.replace(address) != address {
            server.life.set(server.life.get() + 1);
            server.idle.borrow_mut().clear();
        }
    }

    /// A complete list has come: what it does not name is gone.
    pub fn retain(&self, listed: impl Fn(BackendId) -> bool) {
        self.servers.borrow_mut().retain(|&id, server| {
            let keep = listed(id);
            if !keep {
                server.depart();
            }
            keep
        });
    }

    /// Closes the idle connections to a backend.
    pub fn close_idle(&self, id: BackendId) {
        if let Some(server) = self.server(id) {
            server.idle.borrow_mut().clear();
        }
    }

    /// The backend of that number, if discovery lists it.
    #[must_use]
    pub fn server(&self, id: BackendId) -> Option<Rc<Server>> {
        self.servers.borrow().get(&id).cloned()
    }

    /// Where it listens, if discovery lists it and it takes requests.
    #[must_use]
    pub fn address(&self, id: BackendId) -> Option<SocketAddr> {
        self.servers.borrow().get(&id).filter(|server| server.ready.get()).map(|server| server.address.get())
    }

    /// Closes connections that have stood idle for too long, for as long as the proxy runs.
    pub async fn sweep(self: Rc<Self>) {
        loop {
            sleep(SWEEP_INTERVAL).await;
            for server in self.servers.borrow().values() {
                server.idle.borrow_mut().retain(|idle| self.is_usable(idle));
            }
        }
    }

    fn is_usable(&self, idle: &Idle) -> bool {
        !idle.conn.sender.is_closed() && idle.since.elapsed() < self.idle_limit.get()
    }

    /// So many connections may be open from now on; idle ones beyond that close.
    pub fn allow(&self, most: usize) {
        self.most_sockets.set(most);
        while self.sockets.get() > most && self.close_oldest_idle() {}
    }

    /// A connection that is free, where there is one.
    fn take_idle(&self, server: &Server) -> Option<Conn> {
        let mut all = server.idle.borrow_mut();
        while let Some(place) = choose_idle(all.iter().map(|idle| idle.since.elapsed())) {
            let idle = all.remove(place);
            if self.is_usable(&idle) && idle.conn.sender.is_ready() && idle.conn.wire.is_quiet() {
                return Some(idle.conn);
            }
        }
        None
    }

    /// Makes room for one more socket; false where every socket is in use.
    fn make_room(&self) -> bool {
        if self.sockets.get() < self.most_sockets.get() {
            return true;
        }
        self.close_oldest_idle()
    }

    fn close_oldest_idle(&self) -> bool {
        let servers = self.servers.borrow();
        let oldest = servers.values().filter_map(|s| Some((s.idle.borrow().first()?.since, s)));
        let Some((_, server)) = oldest.min_by_key(|(since, _)| *since) else { return false };
        server.idle.borrow_mut().remove(0);
        true
    }

    async fn dial(&self, server: &Server, until: Instant) -> Result<Conn, NoConn> {
        if !self.make_room() {
            return Err(NoConn::Own);
        }
        let counted = Counted::new(&self.sockets);
        let life = server.life.get();
        let until = until.min(Instant::now() + self.dial_timeout.get());
        let connecting = timeout_at(until, TcpStream::connect(server.address.get())).await;
        let stream = connecting.map_err(|_| NoConn::Backends)??;
        stream.set_nodelay(true)?;
        let wire = Wire::new(stream);
        let io = TokioIo::new(WireIo(Rc::clone(&wire)));
        let handshake = http1::Builder::new().max_buf_size(ANSWER_HEAD_CAP).handshake(io).await;
        let (sender, connection) = handshake.map_err(|_| NoConn::Backends)?;
        let task = tokio::task::spawn_local(async move {
            // How it ended shows in the exchange that was on it.
            let _ = connection.await;
        });
        Ok(Conn { sender, wire, task, life, _counted: counted })
    }

    /// Keeps a connection for the next attempt once it is free again.
    fn keep(self: &Rc<Self>, server: &Rc<Server>, mut conn: Conn) {
        if conn.sender.is_ready() {
            return server.rest(conn);
        }
        let server = Rc::clone(server);
        tokio::task::spawn_local(async move {
            let free = timeout(SETTLE_TIMEOUT, conn.sender.ready()).await;
            if matches!(free, Ok(Ok(()))) {
                server.rest(conn);
            }
        });
    }

    /// One attempt of a request on a backend, given up as `times` say or when `recall` says so.
    pub async fn attempt(
        self: Rc<Self>,
        server: Rc<Server>,
        call: Rc<Call>,
        AttemptTimes { start_by: begin_by, give_up_at: give_up }: AttemptTimes,
        recall: Rc<CancellationSignal>,
    ) -> Ended {
        // Its client may have left in the same turn.
        if recall.is_start_cancelled() || call.is_forsaken().await {
            return Outcome::NotSent.into();
        }
        let conn = if let Some(conn) = self.take_idle(&server) {
            Ok(conn)
        } else {
            tokio::select! {
                biased;
                () = recall.start_cancelled() => return Outcome::NotSent.into(),
                conn = self.dial(&server, give_up) => conn,
            }
        };
        let mut conn = match conn {
            Ok(conn) => conn,
            Err(no_conn) => return no_conn.outcome().into(),
        };
        // Rule 3: while the connection came up, the backend may have begun to drain or have been replaced.
        if !server.ready.get() || conn.life != server.life.get() {
            return Outcome::NotSent.into();
        }
        // While the connection came up, the client may have left, and nobody here has heard of it yet.
        if call.is_forsaken().await {
            self.keep(&server, conn);
            return Outcome::NotSent.into();
        }
        let began = Instant::now();
        let left = give_up.saturating_duration_since(began).min(call.patience);
        // Rule 2: while the connection came up, the window for a repeat may have ended.
        let is_late = begin_by.is_some_and(|by| began >= by);
        if is_late || left < Duration::from_millis(1) || call.body.is_spent() {
            self.keep(&server, conn);
            return Outcome::NotSent.into();
        }
        let request = request(&call, server.address.get(), left);
        let unsent = conn.wire.written();
        let before = unsent + least_size(&request);
        let wire = Rc::clone(&conn.wire);
        let recalled = async {
            recall.start_cancelled().await;
            // What is on its way goes on without its client, unless the decisions withdraw it.
            if wire.written() > unsent {
                recall.cancelled().await;
            }
        };
        let exchanged = tokio::select! {
            biased;
            exchanged = exchange(&mut conn.sender, request) => exchanged,
            () = recalled => Err(Broken::Cancelled),
            () = time_over_and_unanswered(&call, give_up) => Err(Broken::TimedOut),
        };
        // Rule 2: what the socket did not take whole can't run; of anything else nothing is certain. Reading
        // the count and dropping the connection happen in one step, so nothing more is written in between.
        let all_written = call.body.written().is_some_and(|body| conn.wire.written() >= before + body);
        let mut ended = match exchanged {
            Ok(reply) => self.ended(reply, server, conn),
            // Also ahead of the whole request: nobody knows what an early answer means.
            Err(Broken::Spoilt) => Outcome::Malformed.into(),
            Err(Broken::Cancelled) if all_written => Outcome::Cancelled.into(),
            Err(Broken::TimedOut) if all_written => Outcome::Timeout.into(),
            Err(Broken::Connection) if all_written => Outcome::Reset.into(),
            Err(Broken::Cancelled) => Outcome::NotSent.into(),
            // The client broke it off, or was too slow: that says nothing of the backend.
            Err(_) if matches!(&call.body, Payload::Passed(upload) if upload.has_failed() || upload.ended().is_none()) => {
                Outcome::NotSent.into()
            }
            Err(_) => Outcome::ConnectFailed.into(),
        };
        if let Payload::Passed(upload) = &call.body {
            let waited = upload.ended().unwrap_or_else(Instant::now).saturating_duration_since(began);
            ended.client_wait = u64::try_from(waited.as_micros()).unwrap_or(u64::MAX);
        }
        ended
    }

    /// What an answer means, and what becomes of its connection.
    fn ended(self: &Rc<Self>, reply: Reply, server: Rc<Server>, conn: Conn) -> Ended {
        let outcome = match reply.status {
            StatusCode::OK => Outcome::Ok,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
                if reply.headers.get(UNPROCESSED).is_some_and(|v| v == "1") =>
            {
                Outcome::Rejected
            }
            _ => Outcome::Error,
        };
        let report = reply.headers.get(LOAD).and_then(|v| v.to_str().ok()).map(|text| self.report(text));
        let body = match reply.body {
            Answered::Whole(bytes) => {
                self.keep(&server, conn);
                Some(Content::whole(bytes))
            }
            // The rest of an answer that nobody gets is not worth reading: its connection closes.
            Answered::Begun(..) if outcome != Outcome::Ok => None,
            Answered::Begun(first, rest, length) => {
                let backend_pool = Rc::clone(self);
                let at_end: AtEnd = Box::new(move || backend_pool.keep(&server, conn));
                Some(Content::Passed(Box::new(Passing::new(first, rest, length, at_end))))
            }
        };
        let content_type = reply.headers.get(CONTENT_TYPE).cloned();
        let payload = body.filter(|_| outcome == Outcome::Ok).map(|body| Served { body, content_type });
        Ended { outcome, response: payload, load_report: report.unwrap_or_default(), client_wait: 0 }
    }

    /// A load report (`name=value,...`) in the settings' order; what it leaves out is not a number.
    fn report(&self, text: &str) -> Vec<f32> {
        let value = |field: &String| {
            let mut pairs = text.split(',').filter_map(|pair| pair.split_once('='));
            let found = pairs.find(|(name, _)| name.trim() == field);
            found.and_then(|(_, value)| value.trim().parse().ok()).unwrap_or(f32::NAN)
        };
        self.report_fields.iter().map(value).collect()
    }

    /// Asks a backend whether it lives; with `deep` for its load report as well.
    pub async fn probe(self: Rc<Self>, server: Rc<Server>, deep: bool) -> Ended {
        let until = Instant::now() + self.dial_timeout.get() + PROBE_TIMEOUT;
        let conn = match self.take_idle(&server) {
            Some(conn) => Ok(conn),
            None => self.dial(&server, until).await,
        };
        let mut conn = match conn {
            Ok(conn) => conn,
            Err(no_conn) => return no_conn.outcome().into(),
        };
        let target = Uri::from_static(if deep { "/metrics/load" } else { "/alive" });
        let body = Payload::Whole(Bytes::new());
        let headers = HeaderMap::new();
        let call =
            Call { method: Method::GET, target, headers, body, patience: PROBE_TIMEOUT, requester: None };
        let request = request(&call, server.address.get(), PROBE_TIMEOUT);
        match timeout_at(until, exchange(&mut conn.sender, request)).await {
            Err(_) => Outcome::Timeout.into(),
            Ok(Err(Broken::Spoilt)) => Outcome::Malformed.into(),
            Ok(Err(_)) => Outcome::Reset.into(),
            Ok(Ok(reply)) => {
                let body = match &reply.body {
                    Answered::Whole(bytes) => String::from_utf8_lossy(bytes).into_owned(),
                    Answered::Begun(..) => String::new(),
                };
                let mut ended = self.ended(reply, server, conn);
                ended.response = None;
                if deep && ended.outcome == Outcome::Ok && ended.load_report.is_empty() && !body.is_empty() {
                    ended.load_report = self.report(body.trim());
                }
                ended
            }
        }
    }
}

/// Waits until the time of an attempt is over and what its backend has sent by then has been read: a process that stood is
/// told of timers before sockets.
async fn time_over_and_unanswered(call: &Call, give_up: Instant) {
    time_over(call, give_up).await;
    for _ in 0..LAST_TURNS {
        tokio::task::yield_now().await;
    }
}

/// Waits until the time of an attempt is over. That of a request whose body is passed on as it comes counts from the
/// body's last byte; until then its client has to keep a pace.
async fn time_over(call: &Call, give_up: Instant) {
    let Payload::Passed(upload) = &call.body else { return sleep_until(give_up).await };
    let began = Instant::now();
    let ended = loop {
        if let Some(ended) = upload.ended() {
            break ended;
        }
        let silent_at = upload.heard_at().max(began) + min_transfer_rate::SILENCE;
        if Instant::now() > (began + min_transfer_rate::time_for(upload.passed())).min(silent_at) {
            return;
        }
        sleep(LOOK_INTERVAL).await;
    };
    sleep_until(ended + call.patience).await;
}

/// How long a connection may stand idle and still be used, where backends keep it for so long.
fn idle_limit(conn_idle: Micros) -> Duration {
    let idle = Duration::from_micros(conn_idle);
    idle.saturating_sub(IDLE_MARGIN).max(idle / 2)
}

/// Which of the free connections is taken, from their rests, the longest first: the one that was used last, so that
/// the others may grow old and be closed. But a backend that closes behind its answer is heard of a moment later
/// only, and a request written meanwhile is lost: one that answered just now is taken where all have.
fn choose_idle(rests: impl DoubleEndedIterator<Item = Duration> + ExactSizeIterator) -> Option<usize> {
    let most = rests.len().checked_sub(1)?;
    Some(rests.rev().position(|rest| rest >= SETTLED).map_or(most, |back| most - back))
}

/// Whose fault it is that there is no connection.
enum NoConn {
    Backends,
    /// This machine is out of descriptors, ports or memory, or has no route. That is told of no backend: healthy ones
    /// would be ejected for it.
    Own,
}

impl NoConn {
    fn outcome(&self) -> Outcome {
        match self {
            Self::Backends => Outcome::ConnectFailed,
            Self::Own => Outcome::NotSent,
        }
    }
}

impl From<io::Error> for NoConn {
    fn from(error: io::Error) -> Self {
        use io::ErrorKind::{
            ConnectionAborted, ConnectionRefused, ConnectionReset, HostUnreachable, NotConnected, TimedOut,
        };
        match error.kind() {
            ConnectionRefused | ConnectionReset | ConnectionAborted | TimedOut | NotConnected
            | HostUnreachable => Self::Backends,
            _ => Self::Own,
        }
    }
}

#[cfg(test)]
mod tests;
