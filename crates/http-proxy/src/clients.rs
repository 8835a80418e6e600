//! The clients' side: the listener, requests in, answers out.

mod closing;
mod local_responses;
mod read_request;

use self::closing::{End, linger, part};
use self::local_responses::{Rejected, close, failure, plain, refusal};
use self::read_request::IDEMPOTENCY_KEY;
use crate::body::{Content, Large, Tracked};
use crate::class_registry::Classes;
use crate::client_connection::{ClientConnection, ClientStream, Doing, Requester, Spared, is_quiet};
use crate::exchange::{Call, Payload};
use crate::idempotency_claim::{Claim, Taken};
use crate::log::FailureLog;
use crate::name_index::NameIndex;
use crate::size_limits::REQUEST_HEAD_CAP;
use crate::stall_detector::StallDetector;
use crate::transport::{Handle, Reply};
use balancer::api::{Micros, RequestId};
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use request_engine::driver::clock::Clock;
use request_engine::engine::{Dispatch, FinalOutcome, IncomingRequest, Overload};
use request_engine::idempotency;
use rustc_hash::{FxHashMap, FxHashSet};
use slab::Slab;
use socket_io::retry;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, oneshot, watch};
use tokio::time::{Instant, sleep, timeout};

/// How often a connection is looked at: whether its time is over, and, while the proxy ends, whether it can close.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);
const LOOK_AT_END: Duration = Duration::from_millis(25);
/// How long the one that was asked to make room may take before the next is asked.
const ROOM_WAIT: Duration = Duration::from_millis(5);
/// The part of what large bodies may hold that a single one may.
const OF_LARGE: usize = 4;
/// When a client that met a bound of this proxy may try again, microseconds.
const OVERLOAD_RETRY: Micros = 1_000_000;
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// How far the proxy is on its way out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It serves.
    Running,
    /// It serves, and each answer closes its connection.
    Draining,
    /// Idle connections close as well.
    Closing,
}

/// What stood in the listener's queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completed {
    /// Nothing.
    None,
    /// Connections, which are served now.
    Taken,
    /// That is not known: a call failed.
    Failed,
}

/// What all client connections share.
pub struct ClientConnections {
    handle: Handle,
    clock: Clock,
    classes: RefCell<Classes>,
    tenants: FxHashMap<String, u16>,
    held: Rc<Cell<bool>>,
    phase: watch::Receiver<Phase>,
    most: Cell<usize>,
    open: Cell<usize>,
    freed: Notify,
    /// Those that are open.
    connections: RefCell<Slab<Rc<ClientConnection>>>,
    /// What large bodies may hold, and how much of it a single one may.
    large: Large,
    large_most: usize,
    accepted_at: Cell<Instant>,
    monitor: Rc<StallDetector>,
    accept_failures: FailureLog,
    /// The ids of the requests that have no answer yet.
    ids: RefCell<FxHashSet<HeaderValue>>,
    /// Who holds which request, where callers outside hold some as well.
    claims: Option<idempotency::SharedRegistry>,
}

/// What [`ClientConnections`] needs at its start.
pub struct ClientConnectionsOptions<'a> {
    /// The engine that requests are handed to.
    pub handle: Handle,
    /// The engine's clock.
    pub clock: Clock,
    /// The request classes that clients may name.
    pub classes: Classes,
    /// The tenants that clients may name.
    pub names: &'a NameIndex,
    /// Whether a backend list is available, so that the proxy reports itself as up.
    pub has_backend_list: Rc<Cell<bool>>,
    /// How far the shutdown has come.
    pub phase: watch::Receiver<Phase>,
    /// How many client connections may be open at a time.
    pub max_connections: usize,
    /// The bytes that buffered bodies of requests over [`BODY_CAP`](crate::size_limits::BODY_CAP) may take in total.
    pub large_body_bytes: usize,
    /// The idempotency registry that the gRPC front end shares; `None` where there is no such front end.
    pub idempotency_registry: Option<idempotency::SharedRegistry>,
    /// Bounds how long ago bytes that are read now may have arrived.
    pub stall_detector: Rc<StallDetector>,
}

impl ClientConnections {
    /// A front end without connections.
    #[must_use]
    pub fn new(options: ClientConnectionsOptions<'_>) -> Rc<Self> {
        Rc::new(Self {
            handle: options.handle,
            clock: options.clock,
            classes: RefCell::new(options.classes),
            tenants: options.names.tenants.iter().cloned().zip(0..=u16::MAX).collect(),
            held: options.has_backend_list,
            phase: options.phase,
            most: Cell::new(options.max_connections),
            open: Cell::new(0),
            freed: Notify::new(),
            connections: RefCell::default(),
            large: Large::new(options.large_body_bytes),
            large_most: options.large_body_bytes / OF_LARGE,
            accepted_at: Cell::new(Instant::now()),
            monitor: options.stall_detector,
            accept_failures: FailureLog::of("accept"),
            ids: RefCell::default(),
            claims: options.idempotency_registry,
        })
    }

    /// Open client connections.
    #[must_use]
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// The classes that clients may name.
    #[must_use]
    pub fn classes(&self) -> &RefCell<Classes> {
        &self.classes
    }

    /// So many may be open from now on.
    pub fn allow(&self, most: usize) {
        self.most.set(most);
        self.freed.notify_waiters();
    }

    /// Time since a client last connected.
    #[must_use]
    pub fn quiet(&self) -> Duration {
        self.accepted_at.get().elapsed()
    }

    /// Waits until a client connection has ended.
    pub async fn one_ended(&self) {
        self.freed.notified().await;
    }

    /// Accepts connections for as long as the proxy runs. Those that come first may have waited since `opened`.
    pub async fn accept(self: Rc<Self>, listener: Rc<TcpListener>, opened: Instant) {
        let mut waited_since = Some(opened);
        loop {
            // Beyond the cap clients wait in the kernel's queue instead of taking the backends' descriptors. Those
            // that say nothing would hold those up for long: they make room.
            while self.open.get() >= self.most.get() {
                self.make_room(Spared::Heading);
                let _ = timeout(ROOM_WAIT, self.freed.notified()).await;
            }
            let accepted = std::future::poll_fn(|cx| {
                let polled = listener.poll_accept(cx);
                if polled.is_pending() {
                    waited_since = None;
                }
                polled
            });
            match accepted.await {
                Ok((stream, _)) => self.take(stream, waited_since),
                // Out of descriptors, or a client that is gone already: neither ends the proxy.
                Err(error) => {
                    self.accept_failures.note(&error);
                    if retry::is_exhausted(&error) {
                        // The system lacks something for a moment: nobody who has just come makes room for that.
                        self.make_room(Spared::Overdue);
                    }
                    let _ = timeout(ACCEPT_BACKOFF, self.freed.notified()).await;
                }
            }
        }
    }

    fn take(self: &Rc<Self>, stream: TcpStream, waited_since: Option<Instant>) {
        self.accepted_at.set(Instant::now());
        self.open.set(self.open.get() + 1);
        let waited_since = waited_since.filter(|_| !is_quiet(&stream));
        tokio::task::spawn_local(Rc::clone(self).connection(stream, waited_since));
    }

    /// Takes the connections that the kernel has completed and nobody has accepted, whether or not the runtime has been
    /// told of them.
    pub fn take_completed(self: &Rc<Self>, listener: &TcpListener) -> Completed {
        let mut completed = Completed::None;
        while self.open.get() < self.most.get() {
            let accepted = SockRef::from(listener).accept().and_then(|(socket, _)| {
                let stream = std::net::TcpStream::from(socket);
                stream.set_nonblocking(true)?;
                TcpStream::from_std(stream)
            });
            match accepted {
                Ok(stream) => {
                    completed = Completed::Taken;
                    self.take(stream, None);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                // Others may stand behind the one that failed.
                Err(error) => {
                    self.accept_failures.note(&error);
                    return Completed::Failed;
                }
            }
        }
        completed
    }

    /// Asks the connection that can best be spared to close, of those that can be spared so well.
    fn make_room(&self, most: Spared) {
        let now = Instant::now();
        let connections = self.connections.borrow();
        let spare =
            connections.iter().filter_map(|(_, connection)| Some((connection.spare_rank(now)?, connection)));
        let spare = spare.filter(|((spared, _), _)| *spared <= most);
        if let Some((_, connection)) = spare.min_by_key(|(turn, _)| *turn) {
            connection.closes.notify_one();
        }
    }

    async fn connection(self: Rc<Self>, stream: TcpStream, waited_since: Option<Instant>) {
        let _ = stream.set_nodelay(true);
        let connection = ClientConnection::new(Instant::now(), Rc::clone(&self.monitor), waited_since);
        let place = self.connections.borrow_mut().insert(Rc::clone(&connection));
        let stream = Rc::new(RefCell::new(stream));
        let end = self.converse(&stream, &connection).await;
        if let Some(stream) = Rc::into_inner(stream) {
            match end {
                End::Answered => linger(stream.into_inner()).await,
                End::Unasked => part(stream.into_inner()).await,
                End::Broken => drop(stream.into_inner().set_zero_linger()),
                End::Closed => {}
            }
        }
        self.connections.borrow_mut().remove(place);
        self.open.set(self.open.get() - 1);
        self.freed.notify_waiters();
    }

    /// Answers the requests of a connection, one after another, and tells how it has to end.
    async fn converse(
        self: &Rc<Self>,
        stream: &Rc<RefCell<TcpStream>>,
        connection: &Rc<ClientConnection>,
    ) -> End {
        let (clients, own, socket) = (Rc::clone(self), Rc::clone(connection), Rc::clone(stream));
        let service = service_fn(move |request| -> Pin<Box<dyn Future<Output = _>>> {
            let (clients, connection, socket) = (Rc::clone(&clients), Rc::clone(&own), Rc::clone(&socket));
            connection.asks(Instant::now());
            Box::pin(async move {
                let response = clients.respond(request, &connection, &socket).await;
                Ok::<_, Infallible>(response.map(|content| Tracked::new(content, connection)))
            })
        });
        let io = TokioIo::new(ClientStream::new(Rc::clone(stream), Rc::clone(connection)));
        let mut http = http1::Builder::new();
        // A client that ends its sending has left, but its open request has an answer all the same: the connection tells.
        let mut conn = http.max_buf_size(REQUEST_HEAD_CAP).half_close(true).serve_connection(io, service);
        let mut converse = |cx: &mut Context<'_>| {
            let polled = conn.poll_without_shutdown(cx);
            if polled.is_pending() {
                connection.listen(&stream.borrow(), cx);
            }
            polled
        };
        let mut phase = self.phase.clone();
        loop {
            let closing = *phase.borrow_and_update() == Phase::Closing;
            // Bytes that wait unread are a request that would be lost by a close.
            let is_quiet = || connection.is_quiet(&stream.borrow());
            tokio::select! {
                biased;
                ended = std::future::poll_fn(&mut converse) => return match ended {
                    // A client that left has been reported by its guard.
                    Ok(()) => End::Answered,
                    // An answer broke off. Whoever goes by the end of the connection must not take it for whole.
                    Err(error) if error.is_user() => End::Broken,
                    Err(_) => End::Answered,
                },
                Ok(()) = phase.changed() => {}
                () = connection.closes.notified() => {
                    if connection.may_close() && is_quiet() {
                        return End::Closed;
                    }
                }
                () = sleep(if closing { LOOK_AT_END } else { LOOK_INTERVAL }) => {
                    let now = Instant::now();
                    connection.look_behind(&stream.borrow());
                    match connection.doing() {
                        Doing::Asking if connection.is_over(now) => return End::Answered,
                        Doing::Heading if connection.is_over(now) && is_quiet() => return End::Answered,
                        Doing::Resting if (connection.is_over(now) || (closing && connection.can_end(now))) && is_quiet() => {
                            return End::Unasked;
                        }
                        _ => {}
                    }
                }
            }
        }
    }

    async fn respond(
        &self,
        request: Request<Incoming>,
        connection: &Rc<ClientConnection>,
        stream: &Rc<RefCell<TcpStream>>,
    ) -> Response<Content> {
        let mut response = if request.uri().path() == "/up" {
            self.up()
        } else {
            let answered = match self.inbound(request, connection, Requester::new(connection, stream)).await {
                Ok((arrival, id)) => {
                    // It may have written, and left, while it stood in the kernel's queue or this process stood.
                    match &arrival.dispatch {
                        Dispatch::Proxied(call) if matches!(call.body, Payload::Passed(_)) => {}
                        _ => connection.is_whole(),
                    }
                    connection.look_ahead(&stream.borrow());
                    connection.look_behind(&stream.borrow());
                    self.ask(arrival, id, connection).await
                }
                Err(rejected) => Err(rejected),
            };
            answered.unwrap_or_else(|Rejected(status, why)| {
                let mut response = plain(status, why);
                if status == StatusCode::METHOD_NOT_ALLOWED {
                    response.headers_mut().insert(header::ALLOW, HeaderValue::from_static("GET, POST"));
                }
                // What follows a request that makes no sense may be a part of it.
                close(&mut response);
                response
            })
        };
        // Close to the cap, connections are given back after each answer, but for those on which more has come: a close
        // would leave that without an answer. Whoever has left asks nothing more.
        let gives_back = *self.phase.borrow() != Phase::Running || self.open.get() * 8 >= self.most.get() * 7;
        if connection.has_left() || (gives_back && !connection.has_more(&stream.borrow())) {
            close(&mut response);
        }
        response
    }

    fn up(&self) -> Response<Content> {
        if self.held.get() && *self.phase.borrow() == Phase::Running {
            plain(StatusCode::OK, "up\n")
        } else {
            plain(StatusCode::SERVICE_UNAVAILABLE, "not serving\n")
        }
    }

    async fn ask(
        &self,
        arrival: IncomingRequest<Rc<Call>>,
        id: HeaderValue,
        connection: &ClientConnection,
    ) -> Result<Response<Content>, Rejected> {
        // Nothing of it has run.
        if connection.has_left() {
            return Ok(refusal(0));
        }
        // Rule 2: passed on, a second request of the same id would be a second copy of the first.
        let Some(open) = OpenId::claim(&self.ids, id) else {
            return Err(Rejected(StatusCode::CONFLICT, "a request of this id is open\n"));
        };
        let claim = match self.claim(&arrival, &open.id) {
            Ok(claim) => claim,
            Err(Taken::Refused(retry_after)) => return Ok(refusal(retry_after)),
            Err(Taken::NoAnswer(why)) => return Err(Rejected(StatusCode::CONFLICT, why)),
            Err(Taken::Senseless(why)) => return Err(Rejected(StatusCode::BAD_REQUEST, why)),
        };
        let (sender, answer) = oneshot::channel();
        let request = match self.handle.admit(arrival, Reply::Client(sender)) {
            Ok(request) => request,
            // Nothing of it has run.
            Err(Overload::Requests(_) | Overload::Leases(_)) => {
                if let Some(claim) = claim {
                    claim.settle(Some(&FinalOutcome::Rejected { retry_after: OVERLOAD_RETRY }));
                }
                return Ok(refusal(OVERLOAD_RETRY));
            }
        };
        let guard = Guard { handle: &self.handle, request, answered: false };
        let answer = tokio::select! {
            biased;
            answer = answer => answer,
            // Its guard tells the engine. Where only the sending has ended, there is a final answer all the same.
            () = connection.left() => return Ok(failure()),
        };
        guard.answered();
        if let Some(claim) = claim {
            claim.settle(answer.as_ref().ok());
        }
        Ok(match answer {
            Ok(FinalOutcome::Served(Some(served))) => {
                let mut response = Response::new(served.body);
                if let Some(content_type) = served.content_type {
                    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
                }
                response
            }
            Ok(FinalOutcome::Rejected { retry_after }) => refusal(retry_after),
            Ok(FinalOutcome::Served(None) | FinalOutcome::Failed) | Err(_) => failure(),
        })
    }

    /// The claim of a request, where callers outside might ask for it too.
    fn claim(
        &self,
        arrival: &IncomingRequest<Rc<Call>>,
        id: &HeaderValue,
    ) -> Result<Option<Claim<'_>>, Taken> {
        let (Some(claims), Dispatch::Proxied(call)) = (&self.claims, &arrival.dispatch) else {
            return Ok(None);
        };
        let key = call.headers.get(IDEMPOTENCY_KEY).map(HeaderValue::as_bytes);
        let Some(terms) = self.classes.borrow().terms(arrival.class) else { return Ok(None) };
        Claim::take(claims, self.clock, id.as_bytes(), arrival.class, key, terms)
    }
}

/// Tells the engine when a client leaves while its request is open: its connection then drops the answer's
/// future.
struct Guard<'a> {
    handle: &'a Handle,
    request: RequestId,
    answered: bool,
}

impl Guard<'_> {
    fn answered(mut self) {
        self.answered = true;
    }
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        if !self.answered {
            self.handle.client_disconnected(self.request);
        }
    }
}

/// The id of an open request; free again when this is dropped.
struct OpenId<'a> {
    ids: &'a RefCell<FxHashSet<HeaderValue>>,
    id: HeaderValue,
}

impl<'a> OpenId<'a> {
    fn claim(ids: &'a RefCell<FxHashSet<HeaderValue>>, id: HeaderValue) -> Option<Self> {
        let is_new = ids.borrow_mut().insert(id.clone());
        is_new.then(|| Self { ids, id })
    }
}

impl Drop for OpenId<'_> {
    fn drop(&mut self) {
        self.ids.borrow_mut().remove(&self.id);
    }
}
