//! HTTP server of the discovery protocol for the proxy on the same machine: the complete list of backends,
//! and watches (long polls) for changes.

use super::accept;
use super::discovery_list::DiscoveryList;
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout_at};
use tracing::{debug, warn};

/// Maximum wait of a watch in the protocol, milliseconds.
const MAX_WAIT_MS: u64 = 60_000;
/// Timeout for receiving the head of a request, which also limits how long a connection may be idle.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// The only path that is served.
const PATH: &str = "/discovery/hosts";

/// State that the agent shares with all connections of the server.
#[derive(Clone, Debug)]
pub struct DiscoveryState {
    /// The list of backends.
    pub list: Rc<RefCell<DiscoveryList>>,
    /// Whether the list has been complete. It is not served before that, since a proxy would treat missing
    /// backends as removed.
    pub is_ready: Rc<Cell<bool>>,
    /// Notified whenever the list has changed.
    pub changed: watch::Sender<()>,
}

impl DiscoveryState {
    /// The initial state, with a list that is not complete yet.
    #[must_use]
    pub fn new(list: DiscoveryList) -> Self {
        Self { list: Rc::new(RefCell::new(list)), is_ready: Rc::default(), changed: watch::Sender::new(()) }
    }

    /// Waits until the revision of the list differs from `after`, but not beyond `deadline`.
    async fn wait_for_changes(&self, after: u64, deadline: Instant) {
        let mut changed = self.changed.subscribe();
        while !self.list.borrow().differs_from(after) {
            if timeout_at(deadline, changed.changed()).await.is_err() {
                return;
            }
        }
    }
}

/// The query parameters of a request.
#[derive(Debug, Default, PartialEq, Eq)]
struct DiscoveryQuery {
    /// Requests only the changes after this revision; `None`: the complete list.
    after: Option<u64>,
    /// Maximum time to wait for a change, milliseconds.
    wait_ms: u64,
}

/// Why query parameters are invalid. The texts are sent in responses.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
enum QueryError {
    #[error("`{key}={value}`: must be a whole number")]
    NotANumber { key: String, value: String },
    #[error("`{0}` is not known; `after` and `wait_ms` are")]
    UnknownKey(String),
}

impl DiscoveryQuery {
    fn parse(query: Option<&str>) -> Result<Self, QueryError> {
        let mut parsed = Self::default();
        for pair in query.unwrap_or_default().split('&').filter(|pair| !pair.is_empty()) {
            let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
            match key {
                "after" => parsed.after = Some(parse_number(key, value)?),
                "wait_ms" => parsed.wait_ms = parse_number(key, value)?.min(MAX_WAIT_MS),
                _ => return Err(QueryError::UnknownKey(key.to_owned())),
            }
        }
        Ok(parsed)
    }
}

fn parse_number(key: &str, value: &str) -> Result<u64, QueryError> {
    value.parse().map_err(|_| QueryError::NotANumber { key: key.to_owned(), value: value.to_owned() })
}

fn text_response(status: StatusCode, text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(text + "\n"));
    *response.status_mut() = status;
    response
}

async fn respond(state: &DiscoveryState, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    if request.uri().path() != PATH {
        return text_response(StatusCode::NOT_FOUND, format!("only {PATH} is here"));
    }
    if request.method() != Method::GET {
        return text_response(StatusCode::METHOD_NOT_ALLOWED, "only GET is answered".into());
    }
    let query = match DiscoveryQuery::parse(request.uri().query()) {
        Ok(query) => query,
        Err(error) => return text_response(StatusCode::BAD_REQUEST, error.to_string()),
    };
    if !state.is_ready.get() {
        return text_response(StatusCode::SERVICE_UNAVAILABLE, "no whole list was heard yet".into());
    }
    if let Some(after) = query.after {
        state.wait_for_changes(after, Instant::now() + Duration::from_millis(query.wait_ms)).await;
    }
    let list = state.list.borrow();
    let response = query.after.map_or_else(|| list.snapshot(), |after| list.changes_after(after));
    match serde_json::to_vec(&response) {
        Ok(json) => {
            let mut response = Response::new(Full::from(json));
            response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
            response
        }
        Err(error) => text_response(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// Serves discovery requests until the future is dropped, with at most `max_connections` open connections;
/// others are closed immediately. Has to run within a [`LocalSet`](tokio::task::LocalSet).
pub async fn serve(listener: TcpListener, state: DiscoveryState, max_connections: usize) -> Infallible {
    let open_connections = Rc::new(Cell::new(0));
    loop {
        let (stream, address) = accept(&listener).await;
        if open_connections.get() >= max_connections {
            warn!(%address, "connection rejected: {max_connections} are open, the limit of `agent.connections`");
            continue;
        }
        let _ = stream.set_nodelay(true);
        open_connections.set(open_connections.get() + 1);
        let (state, open_connections) = (state.clone(), Rc::clone(&open_connections));
        spawn_local(async move {
            serve_connection(stream, address, state).await;
            open_connections.set(open_connections.get() - 1);
        });
    }
}

async fn serve_connection(stream: TcpStream, address: SocketAddr, state: DiscoveryState) {
    let service = service_fn(|request| {
        let state = state.clone();
        async move { Ok::<_, Infallible>(respond(&state, &request).await) }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT);
    if let Err(error) = builder.serve_connection(TokioIo::new(stream), service).await {
        debug!(%address, "disconnected: {error}");
    }
}
