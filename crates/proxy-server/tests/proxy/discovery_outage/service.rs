//! The scripted discovery service, whose state the test sets.

use crate::support::*;
use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// How long the service takes for a call; it has one queue.
const CALL_COST: Duration = Duration::from_millis(160);
/// Longer than the longest wait of a watch and its slack.
const EVENT_TIMEOUT: Duration = Duration::from_secs(30);
/// A call that may wait for at least this time is a watch.
const MIN_WATCH_WAIT: Duration = Duration::from_secs(1);

/// The state of the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Up,
    /// Connections are refused.
    NotListening,
    /// Connections are neither refused nor established: the listener's queue is full.
    QueueFull,
    /// Each call is answered with 503 at once.
    Rejecting,
    /// Calls are read and never answered, not even after the recovery.
    Silent,
    /// As `Up`, but new watches are never answered.
    SilentWatches,
}

/// A call to the service.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    pub at: Instant,
    /// The revision that the caller knows.
    pub after: Option<u64>,
    /// How long the caller lets the call wait.
    pub wait: Option<Duration>,
}

/// What the service received and did, in order.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    Call(Call),
    /// A call was answered at this time.
    Answered(Instant),
    /// A call was answered with an error.
    Failed,
}

/// A call that may wait for a second or more.
pub struct Watch {
    pub at: Instant,
    pub wait: Duration,
}

struct ServiceState {
    state: State,
    revision: u64,
    members: Vec<Value>,
    open: Vec<TcpStream>,
    fillers: Vec<TcpStream>,
}

struct Shared {
    service_state: Mutex<ServiceState>,
    changed: Condvar,
    /// Serialises the processing of calls.
    queue: Mutex<()>,
    socket: Socket,
}

impl Shared {
    fn service_state(&self) -> MutexGuard<'_, ServiceState> {
        self.service_state.lock().expect("the state")
    }

    fn state(&self) -> State {
        self.service_state().state
    }
}

/// Discovery as one service for all proxies, whose state the test sets.
pub struct Service {
    pub address: SocketAddr,
    shared: Arc<Shared>,
    events: Receiver<Event>,
}

/// A socket bound to a free port. A port bound by number stays reserved while the socket does not listen.
fn bind_free_port() -> Socket {
    for _ in 0..100 {
        let probe = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = probe.local_addr().expect("an address");
        drop(probe);
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.set_reuse_address(true).expect("an option");
        if socket.bind(&address.into()).is_ok() {
            return socket;
        }
    }
    panic!("no port");
}

fn query_parameter(call: &HttpMessage, name: &str) -> Option<u64> {
    let (_, rest) = call.first_line().split_once(name)?;
    rest.split(['&', ' ']).next()?.parse().ok()
}

fn list(revision: u64, complete: bool, members: &[Value]) -> Vec<u8> {
    json!({"revision": revision, "complete": complete, "members": members}).to_string().into_bytes()
}

fn serve(shared: &Shared, mut stream: TcpStream, sender: &Sender<Event>) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    loop {
        let call = read_message(&mut reader)?;
        let (after, wait) =
            (query_parameter(&call, "after="), query_parameter(&call, "wait_ms=").map(Duration::from_millis));
        let state = shared.state();
        sender.send(Event::Call(Call { at: Instant::now(), after, wait })).ok()?;
        match state {
            State::Up => {}
            State::SilentWatches if wait.is_none_or(|wait| wait < MIN_WATCH_WAIT) => {}
            State::Rejecting | State::NotListening | State::QueueFull => {
                stream.write_all(&response_bytes("503 Service Unavailable", "", b"")).ok()?;
                sender.send(Event::Failed).ok()?;
                continue;
            }
            State::Silent | State::SilentWatches => continue,
        }
        {
            let _processing = shared.queue.lock().expect("the queue");
            thread::sleep(CALL_COST);
        }
        let same = |service_state: &mut ServiceState| {
            (after == Some(service_state.revision))
                && matches!(service_state.state, State::Up | State::SilentWatches)
        };
        let service_state = shared.service_state();
        let (service_state, _) = shared
            .changed
            .wait_timeout_while(service_state, wait.unwrap_or_default(), same)
            .expect("the state");
        if !matches!(service_state.state, State::Up | State::SilentWatches) {
            return None;
        }
        let text = match after {
            Some(after) if after == service_state.revision => list(after, false, &[]),
            _ => list(service_state.revision, true, &service_state.members),
        };
        drop(service_state);
        stream.write_all(&response_bytes("200 OK", "", &text)).ok()?;
        sender.send(Event::Answered(Instant::now())).ok()?;
    }
}

/// Accepts connections whenever the service is reachable.
fn accept_connections(listener: &TcpListener, shared: &Arc<Shared>, sender: &Sender<Event>) {
    loop {
        let accepted = listener.accept();
        let service_state = shared.service_state();
        let is_unreachable = |service_state: &mut ServiceState| {
            matches!(service_state.state, State::NotListening | State::QueueFull)
        };
        let waited = shared.changed.wait_timeout_while(service_state, EVENT_TIMEOUT, is_unreachable);
        if waited.expect("the state").1.timed_out() {
            return;
        }
        let Ok((stream, _)) = accepted else { continue };
        shared.service_state().open.push(stream.try_clone().expect("a clone"));
        let (shared, sender) = (Arc::clone(shared), sender.clone());
        thread::spawn(move || serve(&shared, stream, &sender));
    }
}

impl Service {
    pub fn start(members: &[Value]) -> Self {
        let socket = bind_free_port();
        let address = socket.local_addr().expect("an address").as_socket().expect("IPv4");
        socket.listen(64).expect("it listens");
        let listener = TcpListener::from(socket.try_clone().expect("a clone"));
        let members = members.to_vec();
        let service_state = Mutex::new(ServiceState {
            state: State::Up,
            revision: 7,
            members,
            open: Vec::new(),
            fillers: Vec::new(),
        });
        let shared =
            Arc::new(Shared { service_state, changed: Condvar::new(), queue: Mutex::new(()), socket });
        let (sender, events) = channel();
        let served = Arc::clone(&shared);
        thread::spawn(move || accept_connections(&listener, &served, &sender));
        Self { address, shared, events }
    }

    /// Sets the state. When the service goes down its connections are closed.
    pub fn set_state(&self, state: State) {
        let mut service_state = self.shared.service_state();
        if state == State::NotListening {
            self.shared.socket.shutdown(Shutdown::Both).expect("it stops listening");
        }
        if matches!(service_state.state, State::NotListening | State::QueueFull) {
            self.shared.socket.listen(64).expect("it listens again");
            service_state.fillers.clear();
        }
        if state == State::QueueFull {
            self.shared.socket.listen(0).expect("it listens");
        }
        service_state.state = state;
        if state != State::Up && state != State::SilentWatches {
            for stream in service_state.open.drain(..) {
                drop(stream.shutdown(Shutdown::Both));
            }
        }
        drop(service_state);
        self.shared.changed.notify_all();
        if state == State::QueueFull {
            self.fill_queue();
        }
    }

    /// Opens two connections: one is accepted and left unused, one fills the queue.
    fn fill_queue(&self) {
        let fillers =
            (0..2).map_while(|_| TcpStream::connect_timeout(&self.address, Duration::from_secs(1)).ok());
        let fillers: Vec<_> = fillers.collect();
        self.shared.service_state().fillers = fillers;
    }

    /// Replaces the list.
    pub fn post(&self, members: &[Value]) {
        let mut service_state = self.shared.service_state();
        service_state.revision += 1;
        service_state.members = members.to_vec();
        drop(service_state);
        self.shared.changed.notify_all();
    }

    pub fn next_event(&self) -> Event {
        self.events.recv_timeout(EVENT_TIMEOUT).expect("an event")
    }

    pub fn next_call(&self) -> Call {
        loop {
            if let Event::Call(call) = self.next_event() {
                return call;
            }
        }
    }

    /// When the next call is answered.
    pub fn next_answer(&self) -> Instant {
        loop {
            if let Event::Answered(at) = self.next_event() {
                return at;
            }
        }
    }

    pub fn wait_for_watch(&self) -> Watch {
        loop {
            if let Call { at, wait: Some(wait), .. } = self.next_call()
                && wait >= MIN_WATCH_WAIT
            {
                return Watch { at, wait };
            }
        }
    }
}
