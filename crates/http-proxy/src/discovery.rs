//! Discovery: the whole list, then a watch for changes; names to numbers.

mod start_times;
mod translator;

pub use translator::{List, ListTranslator};

use crate::backend_list::{BackendList, Entry};
use crate::log::log;
use crate::poll_schedule::{Failure, OPENING_LIMIT, OPENING_WAIT, PollSchedule, WATCH_SLACK};
use crate::transport::{Handle, Scope, update_backends};
use balancer::api::{Micros, Readiness};
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Empty, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use socket_io::{Stream, retry};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

/// How long a watch on an agent may wait. It costs nothing to ask, so a short wait bounds how long a call that has fallen
/// silent goes unnoticed.
const PUSHED_WAIT: Duration = Duration::from_secs(1);
/// How long an agent may take beyond that: it answers at once, but this proxy may have a small part of a core.
const PUSHED_SLACK: Duration = Duration::from_millis(750);
/// How long an agent may take for the whole list, which it has. While discovery is down it says nothing, and a call that
/// was begun then may never be answered: what the agent gets at the return holds at once, so that it is asked often.
const PUSHED_LIST: Duration = Duration::from_millis(400);
/// One call in so many may take longer, for a proxy whose core others have.
const PATIENT_EVERY: u32 = 4;
const PATIENT_LIST: Duration = Duration::from_millis(800);
/// How long after a failure an agent is asked again, at first and at the most.
const FIRST_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_millis(100);
/// How long a list that has begun to come may pause, and how long it may take in all: what discovery had 6 s ago counts as
/// told, and a list that comes slowly is news all the same.
const LIST_SILENCE: Duration = Duration::from_millis(750);
const LIST_TIMEOUT: Duration = Duration::from_secs(4);
/// A watch that nothing is new for and that was answered within this did not wait. The next one comes after a pause, well
/// within the 200 ms in which it goes on.
const AT_ONCE: Duration = Duration::from_millis(20);
const PAUSE: Duration = Duration::from_millis(50);
/// How soon a connect that failed on this machine is tried again.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The largest list that is read, in bytes; some 25,000 entries fit in.
pub const LIST_CAP: usize = 4 << 20;
/// How long after a list that is too long another one is asked for, at first and at the most: each costs the service the
/// writing of it, and only whoever keeps the list can make it shorter. A part of it is left to chance, so that not all
/// proxies ask at once.
const FIRST_OVERSIZED: Duration = Duration::from_secs(5);
const MAX_OVERSIZED: Duration = Duration::from_secs(30);
const OVERSIZED_CHANCE: f64 = 0.25;

/// Why a call to discovery brought nothing.
#[derive(Debug, Error)]
pub enum DiscoveryError {
    /// No connection came up.
    #[error("the connection failed")]
    Unreachable,
    /// The connection broke before the whole answer had come.
    #[error("the connection broke")]
    Broken,
    /// Nothing came in time.
    #[error("no answer in time")]
    Timeout,
    /// An answer other than 200.
    #[error("answered {0}")]
    Status(StatusCode),
    /// A list of more than [`LIST_CAP`] bytes; how many, where that was told ahead.
    #[error(
        "the list is too long: {}, and at most {LIST_CAP} are read, some 25000 backends; the list that is held serves on, \
         and a shorter one is asked for after {} s, later each {} s",
        size(.0), FIRST_OVERSIZED.as_secs(), MAX_OVERSIZED.as_secs()
    )]
    Oversized(Option<u64>),
    /// Not the JSON that is wanted.
    #[error("malformed list: {0}")]
    Malformed(serde_json::Error),
}

fn size(told: &Option<u64>) -> String {
    match told {
        Some(bytes) => format!("{bytes} bytes"),
        None => format!("over {LIST_CAP} bytes"),
    }
}

impl DiscoveryError {
    /// What this says of a service that all proxies ask, of a call that took so long. `watched`: of a watch that was up.
    fn failure(&self, watched: bool, took: Micros) -> Failure {
        match self {
            Self::Timeout if watched => Failure::Silent,
            Self::Broken | Self::Status(_) if !watched => Failure::Refused(took),
            _ => Failure::Unreached,
        }
    }
}

/// How long to wait after so many lists in a row that were too long. `chance` is drawn from 0..1.
fn oversized_pause(in_a_row: u32, chance: f64) -> Duration {
    let most = FIRST_OVERSIZED * 2_u32.saturating_pow(in_a_row.saturating_sub(1).min(8));
    most.min(MAX_OVERSIZED).mul_f64(1.0 - OVERSIZED_CHANCE * chance)
}

struct Conn {
    sender: SendRequest<Empty<Bytes>>,
    task: JoinHandle<()>,
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Follows discovery.
pub struct DiscoveryWatcher {
    /// Where discovery is, which a new configuration may change while the proxy runs.
    addresses: watch::Receiver<SocketAddr>,
    translator: ListTranslator,
    backend_list: Rc<RefCell<BackendList>>,
    handle: Handle,
    /// Set once a list is held.
    held: Rc<Cell<bool>>,
    /// The module's calls for changes, where discovery has to be asked.
    asked: Option<mpsc::UnboundedReceiver<()>>,
    conn: Option<Conn>,
    revision: Option<u64>,
    /// Discovery is at a new address: it is called without the module's asking.
    moved: bool,
    /// When it may call a service that the whole fleet shares.
    turns: Option<PollSchedule>,
    /// The watch is up: its last call was answered.
    watches: bool,
    /// A watch has to be begun. The module decides when, where a service is asked.
    begins: bool,
    /// The list of the configuration can be served from.
    fallback: bool,
    /// That list, while the module has not been told of it: what an agent has goes before.
    known: Option<Vec<Entry>>,
    /// Failures in a row.
    failures: u32,
    /// Lists in a row that were too long.
    oversized: u32,
    /// Told once discovery has answered or failed to.
    heard: Rc<Notify>,
}

/// How a discovery service that the whole fleet shares is called.
pub struct OnRequestDiscovery {
    /// The balancer's requests to subscribe to changes.
    pub subscribe_requests: mpsc::UnboundedReceiver<()>,
    /// When this proxy may call the service.
    pub schedule: PollSchedule,
}

/// What [`DiscoveryWatcher`] needs at its start.
pub struct DiscoveryWatcherOptions {
    /// The address of discovery; a reloaded configuration may change it.
    pub addresses: watch::Receiver<SocketAddr>,
    /// Reads discovery's lists.
    pub translator: ListTranslator,
    /// The listed backends and the exclusions.
    pub backend_list: Rc<RefCell<BackendList>>,
    /// The engine that membership updates are handed to.
    pub handle: Handle,
    /// Set once a backend list is available.
    pub has_backend_list: Rc<Cell<bool>>,
    /// How a shared service is called; `None` for an agent on this machine, which is watched all the time.
    pub on_request: Option<OnRequestDiscovery>,
}

impl DiscoveryWatcher {
    /// A watcher that has made no call.
    #[must_use]
    pub fn new(options: DiscoveryWatcherOptions) -> Self {
        let on_request =
            options.on_request.map(|on_request| (on_request.subscribe_requests, on_request.schedule));
        let (asked, turns) = on_request.unzip();
        Self {
            addresses: options.addresses,
            translator: options.translator,
            backend_list: options.backend_list,
            handle: options.handle,
            held: options.has_backend_list,
            asked,
            conn: None,
            revision: None,
            moved: false,
            turns,
            watches: false,
            begins: true,
            fallback: false,
            known: None,
            failures: 0,
            oversized: 0,
            heard: Rc::default(),
        }
    }

    /// Told once discovery has answered or failed to. Before that nothing is known of what an agent has.
    #[must_use]
    pub fn heard(&self) -> Rc<Notify> {
        Rc::clone(&self.heard)
    }

    /// Takes the list that the configuration holds. It may be old: the next call asks for the whole list, or, where
    /// many proxies that come back at once would ask for more lists than the service can write, for what has changed.
    /// What an agent has counts as told from the first moment, so that the module hears of this list only once a call to
    /// the agent has failed.
    pub fn start_from(&mut self, known: Value) {
        let list = self.translator.list(known).unwrap_or_else(|error| {
            log(format_args!("`known`: {error}"));
            List { revision: 0, complete: false, entries: Vec::new(), unreadable: Vec::new() }
        });
        self.fallback = list.entries.iter().any(|e| e.listed.backend.readiness == Readiness::Ready);
        if self.turns.is_some_and(|turns| turns.is_crowded()) && self.fallback {
            self.revision = list.complete.then_some(list.revision);
            self.held.set(true);
        }
        self.known = Some(list.entries);
        // Also where nothing is known: the module asks for changes when it is told so.
        if self.asked.is_some() {
            self.tell_known();
        }
    }

    fn tell_known(&mut self) {
        if let Some(known) = self.known.take() {
            let entries = self.backend_list.borrow_mut().take(true, known);
            update_backends(&self.handle, Scope::Cached, &entries);
        }
    }

    /// Follows discovery for as long as the proxy runs, at whatever address it is.
    pub async fn run(mut self) {
        let mut addresses = self.addresses.clone();
        addresses.mark_unchanged();
        loop {
            tokio::select! {
                () = self.follow() => return,
                Ok(()) = addresses.changed() => self.leave(),
            }
        }
    }

    /// Discovery has moved. The watch ends at once, for the old service is about to close it, and versions are
    /// each service's own: one taken along would make the new service leave out what this proxy lacks. The list
    /// that is held serves on until the new one has come.
    fn leave(&mut self) {
        (self.conn, self.revision, self.moved, self.begins) = (None, None, true, true);
        (self.watches, self.failures, self.oversized) = (false, 0, 0);
        if let Some(turns) = &mut self.turns {
            turns.moved();
        }
    }

    /// Follows discovery where it is now. Ends with the process.
    async fn follow(&mut self) {
        loop {
            if std::mem::take(&mut self.begins) {
                if !std::mem::take(&mut self.moved) {
                    self.wait_for_call().await;
                }
                self.wait_for_turn().await;
            }
            let began = self.handle.clock().now();
            match self.call().await {
                Ok(list) => {
                    (self.watches, self.failures, self.oversized) = (true, 0, 0);
                    if let Some(turns) = &mut self.turns {
                        turns.answered();
                    }
                    let says_nothing = !list.complete && list.entries.is_empty();
                    self.pass_on(list);
                    self.heard.notify_one();
                    let took = self.handle.clock().now().saturating_sub(began);
                    if says_nothing && Duration::from_micros(took) < AT_ONCE {
                        sleep(PAUSE).await;
                    }
                }
                Err(error) => {
                    let took = self.handle.clock().now().saturating_sub(began);
                    let pause = self.note_failure(&error, took);
                    self.after_failure(pause).await;
                }
            }
        }
    }

    /// An outage is logged once, and so is a list that is too long, whatever else fails meanwhile. Gives how long nothing is
    /// asked after such a list.
    fn note_failure(&mut self, error: &DiscoveryError, took: Micros) -> Option<Duration> {
        let oversized = matches!(error, DiscoveryError::Oversized(_));
        if if oversized { self.oversized == 0 } else { self.failures == 0 } {
            log(format_args!("discovery: {error}"));
        }
        self.oversized = self.oversized.saturating_add(u32::from(oversized));
        self.failures = self.failures.saturating_add(1);
        if let Some(turns) = &mut self.turns {
            turns.failed(error.failure(self.watches, took));
        }
        (self.conn, self.begins, self.watches) = (None, true, false);
        oversized.then(|| oversized_pause(self.oversized, fastrand::f64()))
    }

    async fn wait_for_call(&mut self) {
        if let Some(asked) = &mut self.asked {
            // The engine ends only with the process.
            if asked.recv().await.is_none() {
                std::future::pending::<()>().await;
            }
            while asked.try_recv().is_ok() {}
        }
    }

    async fn wait_for_turn(&mut self) {
        let Some(turns) = &mut self.turns else { return };
        let clock = self.handle.clock();
        let at = turns.at(clock.now(), self.held.get());
        sleep_until(clock.instant(at)).await;
        turns.begun(at);
    }

    fn pass_on(&mut self, list: List) {
        self.revision = Some(list.revision);
        self.held.set(true);
        if list.complete {
            self.known = None;
        } else {
            self.tell_known();
        }
        let mut backend_list = self.backend_list.borrow_mut();
        let mut entries = backend_list.take(list.complete, list.entries);
        entries.extend(backend_list.drain(&list.unreadable));
        drop(backend_list);
        if list.complete {
            update_backends(&self.handle, Scope::Full, &entries);
        } else if !entries.is_empty() {
            update_backends(&self.handle, Scope::Delta, &entries);
        }
    }

    /// The module decides when a service is asked again; an agent is asked again after a moment, for the whole list: it may
    /// be another one that counts its versions anew.
    async fn after_failure(&mut self, pause: Option<Duration>) {
        self.tell_known();
        // Without discovery an old list is better than none.
        if self.fallback {
            self.held.set(true);
        }
        self.heard.notify_one();
        if self.asked.is_some() {
            if let Some(pause) = pause {
                sleep(pause).await;
            }
            return update_backends(&self.handle, Scope::Failed, &Vec::new());
        }
        self.revision = None;
        sleep(pause.unwrap_or((FIRST_BACKOFF * self.failures).min(MAX_BACKOFF))).await;
    }

    /// What the next call asks for, and how long it may take.
    fn target(&self) -> (String, Duration) {
        let (wait, slack) = match &self.turns {
            None => (PUSHED_WAIT, PUSHED_SLACK),
            Some(turns) if self.watches => {
                (Duration::from_micros(turns.watch_wait()), Duration::from_micros(WATCH_SLACK))
            }
            Some(_) => {
                (Duration::from_micros(OPENING_WAIT), Duration::from_micros(OPENING_LIMIT - OPENING_WAIT))
            }
        };
        let whole = match &self.turns {
            Some(_) => Duration::from_micros(OPENING_LIMIT),
            None if (self.failures + 1).is_multiple_of(PATIENT_EVERY) => PATIENT_LIST,
            None => PUSHED_LIST,
        };
        match self.revision {
            None => ("/discovery/hosts".to_owned(), whole),
            Some(after) => {
                (format!("/discovery/hosts?after={after}&wait_ms={}", wait.as_millis()), wait + slack)
            }
        }
    }

    async fn call(&mut self) -> Result<List, DiscoveryError> {
        let (target, limit) = self.target();
        let asked = timeout(limit, self.ask(&target)).await;
        let (response, conn) = asked.map_err(|_| DiscoveryError::Timeout)??;
        let body = read_list(response.into_body()).await?;
        self.conn = Some(conn);
        self.translator.list(serde_json::from_slice(&body).map_err(DiscoveryError::Malformed)?)
    }

    /// Makes a call and waits until its answer begins.
    async fn ask(&mut self, target: &str) -> Result<(Response<Incoming>, Conn), DiscoveryError> {
        let address = *self.addresses.borrow();
        let mut kept = self.conn.take();
        if let Some(conn) = &mut kept
            && conn.sender.ready().await.is_err()
        {
            kept = None;
        }
        let mut conn = match kept {
            Some(conn) => conn,
            None => dial(address).await.ok_or(DiscoveryError::Unreachable)?,
        };
        let mut request = Request::new(Empty::new());
        *request.uri_mut() = target.parse::<Uri>().unwrap_or_default();
        if let Ok(host) = HeaderValue::try_from(address.to_string()) {
            request.headers_mut().insert(HOST, host);
        }
        let sent = conn.sender.send_request(request).await;
        let response = sent.map_err(|_| DiscoveryError::Broken)?;
        let status = response.status();
        if status != StatusCode::OK {
            return Err(DiscoveryError::Status(status));
        }
        Ok((response, conn))
    }
}

/// Reads a list as it comes: for as long as more of it comes, within a bound.
async fn read_list(body: Incoming) -> Result<Bytes, DiscoveryError> {
    let told = body.size_hint().exact();
    if told.is_some_and(|bytes| bytes > LIST_CAP as u64) {
        return Err(DiscoveryError::Oversized(told));
    }
    let end = Instant::now() + LIST_TIMEOUT;
    let (mut body, mut list) = (Limited::new(body, LIST_CAP), BytesMut::new());
    loop {
        let piece = timeout_at(end.min(Instant::now() + LIST_SILENCE), body.frame()).await;
        match piece.map_err(|_| DiscoveryError::Timeout)? {
            None => return Ok(list.freeze()),
            Some(Ok(frame)) => list.extend(frame.into_data()),
            Some(Err(error)) if error.is::<LengthLimitError>() => {
                return Err(DiscoveryError::Oversized(None));
            }
            Some(Err(_)) => return Err(DiscoveryError::Broken),
        }
    }
}

/// Connects. Where this machine lacks something for a moment it is tried again: the service has heard nothing of it.
async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    loop {
        match TcpStream::connect(address).await {
            Err(error) if retry::is_local(&error) => sleep(CONNECT_RETRY_DELAY).await,
            connected => return connected,
        }
    }
}

async fn dial(address: SocketAddr) -> Option<Conn> {
    let stream = connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(Stream::from(stream))).await.ok()?;
    let task = tokio::task::spawn_local(async move {
        let _ = connection.await;
    });
    Some(Conn { sender, task })
}
