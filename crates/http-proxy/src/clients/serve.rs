//! Serves the requests of a client connection, one after another.

use super::closing::{CloseMode, close};
use super::local_responses::{RejectedRequest, add_connection_close, rejection_response, text_response};
use super::read_request::CORRELATION_ID;
use super::{ClientConnections, ShutdownPhase};
use crate::body::{ResponseBody, TrackedResponse};
use crate::client_connection::{Activity, ClientConnection, ClientPresence, ClientStream, EvictionRank};
use crate::connection_events::ConnectionEvent;
use crate::exchange::RequestBody;
use crate::size_limits::MAX_REQUEST_HEAD_BYTES;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use request_engine::engine::Dispatch;
use std::cell::RefCell;
use std::convert::Infallible;
use std::error::Error;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep};

/// The interval at which the timeouts of a connection are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The same interval while idle connections close during shutdown.
const CLOSING_CHECK_INTERVAL: Duration = Duration::from_millis(25);

type SharedStream = Rc<RefCell<TcpStream>>;

impl ClientConnections {
    /// Serves a connection until it closes.
    pub(super) async fn serve_connection(self: Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (stall_detector, events) = (Rc::clone(&self.stall_detector), Rc::clone(&self.events));
        let connection = ClientConnection::new(Instant::now(), stall_detector, events);
        let index = self.connections.borrow_mut().insert(Rc::clone(&connection));
        let stream = Rc::new(RefCell::new(stream));
        let mode = self.serve_requests(&stream, &connection).await;
        connection.start_closing(Instant::now());
        if let Some(stream) = Rc::into_inner(stream) {
            tokio::select! {
                () = close(stream.into_inner(), mode) => {}
                () = connection.evicted_while_closing() => {
                    record_eviction(&connection, connection.eviction_rank(Instant::now()));
                }
            }
        }
        self.connections.borrow_mut().remove(index);
        self.open_connections.set(self.open_connections.get() - 1);
        self.connection_closed.notify_waiters();
    }

    /// Serves requests until the connection has to close, and returns how to close it.
    async fn serve_requests(
        self: &Rc<Self>,
        stream: &SharedStream,
        connection: &Rc<ClientConnection>,
    ) -> CloseMode {
        let (clients, served, socket) = (Rc::clone(self), Rc::clone(connection), Rc::clone(stream));
        let service = service_fn(move |request: Request<Incoming>| -> Pin<Box<dyn Future<Output = _>>> {
            let (clients, connection, socket) = (Rc::clone(&clients), Rc::clone(&served), Rc::clone(&socket));
            connection.start_request(Instant::now(), request.headers().get(CORRELATION_ID).cloned());
            Box::pin(async move {
                let response = clients.respond(request, &connection, &socket).await;
                Ok::<_, Infallible>(response.map(|body| TrackedResponse::new(body, connection)))
            })
        });
        let io = TokioIo::new(ClientStream::new(Rc::clone(stream), Rc::clone(connection)));
        let mut builder = http1::Builder::new();
        // `ClientConnection` detects that a client closes its sending side; the open request still gets a
        // final response.
        let mut http =
            builder.max_buf_size(MAX_REQUEST_HEAD_BYTES).half_close(true).serve_connection(io, service);
        let mut poll_http = |cx: &mut Context<'_>| {
            let polled = http.poll_without_shutdown(cx);
            if polled.is_pending() {
                connection.poll_read_ahead(&stream.borrow(), cx);
                connection.record_arrivals(&stream.borrow());
            }
            polled
        };
        let mut phase = self.phase.clone();
        loop {
            let current_phase = *phase.borrow_and_update();
            let is_closing = matches!(current_phase, ShutdownPhase::Closing | ShutdownPhase::Finishing);
            let check_interval = if is_closing { CLOSING_CHECK_INTERVAL } else { CHECK_INTERVAL };
            tokio::select! {
                biased;
                ended = std::future::poll_fn(&mut poll_http) => return match ended {
                    // A response was truncated: a client that relies on the close must not consider it
                    // complete.
                    Err(error) if error.is_user() => {
                        let reason = error.source().map_or_else(|| error.to_string(), ToString::to_string);
                        connection.record_event(ConnectionEvent::TruncatedResponse, &reason);
                        CloseMode::Reset
                    }
                    // If the client has disconnected, its `DisconnectGuard` has notified the engine.
                    Ok(()) | Err(_) => CloseMode::Linger,
                },
                Ok(()) = phase.changed() => {}
                () = connection.eviction.notified() => {
                    // Unread bytes may be a request, which the close would lose.
                    let now = Instant::now();
                    if connection.can_be_evicted(now) && connection.is_input_empty(&stream.borrow()) {
                        record_eviction(connection, connection.eviction_rank(now));
                        return CloseMode::Immediate;
                    }
                    connection.postpone_eviction(now);
                }
                () = sleep(check_interval) => {
                    if let Some(mode) = due_close(connection, &stream.borrow(), current_phase) {
                        record_close(connection);
                        return mode;
                    }
                }
            }
        }
    }

    async fn respond(
        &self,
        request: Request<Incoming>,
        connection: &Rc<ClientConnection>,
        stream: &SharedStream,
    ) -> Response<ResponseBody> {
        let mut response = if request.uri().path() == "/up" {
            self.up_response()
        } else {
            let responded = self.process(request, connection, stream).await;
            responded.unwrap_or_else(|rejected| {
                let event = ConnectionEvent::of_rejection(rejected.status);
                connection.record_event(event, rejected.reason.trim_end());
                let mut response = rejection_response(&rejected);
                // Bytes that follow an invalid request may be a part of it.
                add_connection_close(&mut response);
                response
            })
        };
        if connection.has_disconnected() || self.closes_after_response(connection, stream) {
            add_connection_close(&mut response);
        }
        response
    }

    /// During shutdown and close to the connection limit, each response closes its connection. The exception
    /// is a connection with a pipelined request, which would be left without a response.
    fn closes_after_response(&self, connection: &ClientConnection, stream: &SharedStream) -> bool {
        let is_near_limit = self.open_connections.get() * 8 >= self.max_connections.get() * 7;
        let closes = self.phase() != ShutdownPhase::Running || is_near_limit;
        closes && !connection.has_pipelined_bytes(&stream.borrow())
    }

    async fn process(
        &self,
        request: Request<Incoming>,
        connection: &Rc<ClientConnection>,
        stream: &SharedStream,
    ) -> Result<Response<ResponseBody>, RejectedRequest> {
        let client = ClientPresence::new(connection, stream);
        let parsed = self.read_request(request, connection, client).await?;
        let is_streamed = matches!(&parsed.request.dispatch,
            Dispatch::Proxied(forwarded) if matches!(forwarded.body, RequestBody::Streamed(_)));
        if !is_streamed {
            connection.mark_request_complete();
        }
        // The client may have disconnected while the connection was in the accept queue or while the process
        // was stalled.
        connection.read_ahead(&stream.borrow());
        connection.check_closed_behind_unread(&stream.borrow());
        self.submit(parsed, connection).await
    }

    fn up_response(&self) -> Response<ResponseBody> {
        if self.has_backend_list.get() && self.phase() == ShutdownPhase::Running {
            text_response(StatusCode::OK, "up\n")
        } else {
            text_response(StatusCode::SERVICE_UNAVAILABLE, "not serving\n")
        }
    }
}

fn record_eviction(connection: &ClientConnection, rank: Option<EvictionRank>) {
    if let Some(rank) = rank {
        let event = ConnectionEvent::of_eviction(rank.class);
        connection.record_event(event, "another client waits for a connection");
    }
}

/// Records why a connection is closed that has timed out. Idle ones are closed all the time.
fn record_close(connection: &ClientConnection) {
    let event = match connection.activity() {
        Activity::Idle => return,
        Activity::ReadingHead => ConnectionEvent::HeadTimeout,
        Activity::Serving | Activity::Closing => ConnectionEvent::UnreadResponse,
    };
    connection.record_event(event, "the time for it is over");
}

/// How a connection has to close now because of its timeouts or the shutdown; `None` if it stays open.
fn due_close(connection: &ClientConnection, stream: &TcpStream, phase: ShutdownPhase) -> Option<CloseMode> {
    let now = Instant::now();
    connection.record_arrivals(stream);
    connection.check_closed_behind_unread(stream);
    let is_finishing = phase == ShutdownPhase::Finishing;
    if is_finishing && connection.is_responding() {
        return connection.has_final_response_timed_out(now, stream).then_some(CloseMode::Reset);
    }
    let has_timed_out = is_finishing || connection.has_timed_out(now);
    let is_closing = phase == ShutdownPhase::Closing;
    match connection.activity() {
        Activity::Serving if has_timed_out => Some(CloseMode::Linger),
        // Unread bytes may be a request, which the close would lose.
        Activity::ReadingHead if has_timed_out && connection.is_input_empty(stream) => {
            Some(CloseMode::Linger)
        }
        Activity::Idle
            if (has_timed_out || (is_closing && connection.can_close(now)))
                && connection.is_input_empty(stream) =>
        {
            Some(CloseMode::Idle)
        }
        _ => None,
    }
}
