//! Discovery as the proxy on this machine speaks it: the whole list, and watches for changes.

use super::accept;
use super::list::List;
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout_at};
use tracing::{debug, warn};

/// The longest wait of a watch, milliseconds, as the protocol has it.
const MAX_WAIT_MS: u64 = 60_000;
/// How long a request's head may take, and how long a connection may idle between two.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// The only path.
const PATH: &str = "/discovery/hosts";

/// What is served, and to whom changes are told.
#[derive(Clone, Debug)]
pub struct Served {
    /// The list.
    pub list: Rc<RefCell<List>>,
    /// Whether the list was whole once. Before that it is no answer: a proxy would take it for all there is.
    pub ready: Rc<Cell<bool>>,
    /// Told once the list has changed.
    pub changed: watch::Sender<()>,
}

impl Served {
    /// A list that is not whole yet.
    #[must_use]
    pub fn new(list: List) -> Self {
        Self { list: Rc::new(RefCell::new(list)), ready: Rc::default(), changed: watch::Sender::new(()) }
    }
}

/// A question.
#[derive(Debug, PartialEq, Eq)]
struct Question {
    after: Option<u64>,
    wait_ms: u64,
}

impl Question {
    fn parse(query: Option<&str>) -> Result<Self, String> {
        let mut question = Self { after: None, wait_ms: 0 };
        for pair in query.unwrap_or_default().split('&').filter(|pair| !pair.is_empty()) {
            let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
            let number = || value.parse().map_err(|_| format!("`{key}={value}`: must be a whole number"));
            match key {
                "after" => question.after = Some(number()?),
                "wait_ms" => question.wait_ms = number()?.min(MAX_WAIT_MS),
                _ => return Err(format!("`{key}` is not known; `after` and `wait_ms` are")),
            }
        }
        Ok(question)
    }
}

fn text(status: StatusCode, text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(text + "\n"));
    *response.status_mut() = status;
    response
}

async fn answer(served: &Served, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    if request.uri().path() != PATH {
        return text(StatusCode::NOT_FOUND, format!("only {PATH} is here"));
    }
    if request.method() != Method::GET {
        return text(StatusCode::METHOD_NOT_ALLOWED, "only GET is answered".into());
    }
    let question = match Question::parse(request.uri().query()) {
        Ok(question) => question,
        Err(problem) => return text(StatusCode::BAD_REQUEST, problem),
    };
    if !served.ready.get() {
        return text(StatusCode::SERVICE_UNAVAILABLE, "no whole list was heard yet".into());
    }
    if let Some(after) = question.after {
        let until = Instant::now() + Duration::from_millis(question.wait_ms);
        let mut changed = served.changed.subscribe();
        while !served.list.borrow().is_newer(after) && timeout_at(until, changed.changed()).await.is_ok() {}
    }
    let list = served.list.borrow();
    let answer = question.after.map_or_else(|| list.whole(), |after| list.after(after));
    match serde_json::to_vec(&answer) {
        Ok(json) => {
            let mut response = Response::new(Full::from(json));
            response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
            response
        }
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// Serves for as long as the process runs, `most` connections at a time; a further one is closed at once.
pub async fn serve(listener: TcpListener, served: Served, most: usize) -> Infallible {
    let open = Rc::new(Cell::new(0));
    loop {
        let (stream, address) = accept(&listener).await;
        if open.get() >= most {
            warn!(%address, "refused: {most} connections are open, no more are taken (`agent.connections`)");
            continue;
        }
        let _ = stream.set_nodelay(true);
        open.set(open.get() + 1);
        let (served, open) = (served.clone(), Rc::clone(&open));
        spawn_local(async move {
            let service = service_fn(|request| {
                let served = served.clone();
                async move { Ok::<_, Infallible>(answer(&served, &request).await) }
            });
            let mut builder = http1::Builder::new();
            builder.timer(TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT);
            if let Err(error) = builder.serve_connection(TokioIo::new(stream), service).await {
                debug!(%address, "ended: {error}");
            }
            open.set(open.get() - 1);
        });
    }
}
