//! A scripted discovery service whose availability the test sets.

use crate::support::*;
use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// The time that the service spends on a call. It processes one call at a time.
const CALL_COST: Duration = Duration::from_millis(160);
/// Longer than the longest wait of a watch and its slack together.
const EVENT_TIMEOUT: Duration = Duration::from_secs(30);
/// A call whose wait is at least this long counts as a watch.
const MIN_WATCH_WAIT: Duration = Duration::from_secs(1);

/// The availability of the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Calls are answered.
    Up,
    /// Connections are refused.
    NotListening,
    /// Connections are neither refused nor established, because the accept queue is full.
    QueueFull,
    /// Each call is answered with 503 at once.
    Rejecting,
    /// Calls are read and never answered, not even after the recovery.
    Silent,
    /// Like [`State::Up`], but new watches are never answered.
    SilentWatches,
}

/// A call to the service.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// When the service received it.
    pub at: Instant,
    /// The revision since which the caller requests changes; `None` requests the complete list.
    pub after: Option<u64>,
    /// How long the service may wait for a change before it responds.
    pub wait: Option<Duration>,
}

/// An event of the service. Events are reported in order.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    Call(Call),
    /// The time at which a call was answered.
    Answered(Instant),
    /// A call was answered with an error.
    Failed,
}

/// A call whose wait is at least [`MIN_WATCH_WAIT`].
pub struct Watch {
    pub at: Instant,
    pub wait: Duration,
}

struct ServiceState {
    state: State,
    revision: u64,
    members: Vec<Value>,
    connections: Vec<TcpStream>,
    fillers: Vec<TcpStream>,
}

struct Shared {
    service_state: Mutex<ServiceState>,
    changed: Condvar,
    /// Serializes the processing of calls.
    queue: Mutex<()>,
    socket: Socket,
}

impl Shared {
    fn service_state(&self) -> MutexGuard<'_, ServiceState> {
        self.service_state.lock().expect("lock the state")
    }

    fn state(&self) -> State {
        self.service_state().state
    }
}

/// One central discovery service for all proxies.
pub struct Service {
    pub address: SocketAddr,
    shared: Arc<Shared>,
    events: Receiver<Event>,
}

/// Creates a socket bound to a free port. The port is bound by its number, so that it stays reserved while
/// the socket does not listen.
fn bind_free_port() -> Socket {
    for _ in 0..100 {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
        let address = listener.local_addr().expect("local address");
        drop(listener);
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("create a socket");
        socket.set_reuse_address(true).expect("set SO_REUSEADDR");
        if socket.bind(&address.into()).is_ok() {
            return socket;
        }
    }
    panic!("no free port");
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
            let _processing = shared.queue.lock().expect("lock the queue");
            thread::sleep(CALL_COST);
        }
        let has_no_change = |service_state: &mut ServiceState| {
            (after == Some(service_state.revision))
                && matches!(service_state.state, State::Up | State::SilentWatches)
        };
        let service_state = shared.service_state();
        let (service_state, _) = shared
            .changed
            .wait_timeout_while(service_state, wait.unwrap_or_default(), has_no_change)
            .expect("lock the state");
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

/// Accepts connections while the service is reachable.
fn accept_connections(listener: &TcpListener, shared: &Arc<Shared>, sender: &Sender<Event>) {
    loop {
        let accepted = listener.accept();
        let service_state = shared.service_state();
        let is_unreachable = |service_state: &mut ServiceState| {
            matches!(service_state.state, State::NotListening | State::QueueFull)
        };
        let wait_result = shared.changed.wait_timeout_while(service_state, EVENT_TIMEOUT, is_unreachable);
        if wait_result.expect("lock the state").1.timed_out() {
            return;
        }
        let Ok((stream, _)) = accepted else { continue };
        shared.service_state().connections.push(stream.try_clone().expect("clone the stream"));
        let (shared, sender) = (Arc::clone(shared), sender.clone());
        thread::spawn(move || serve(&shared, stream, &sender));
    }
}

impl Service {
    /// Starts a service that is up and serves these backends.
    pub fn start(members: &[Value]) -> Self {
        let socket = bind_free_port();
        let address = socket.local_addr().expect("local address").as_socket().expect("an IPv4 address");
        socket.listen(64).expect("listen on the socket");
        let listener = TcpListener::from(socket.try_clone().expect("clone the socket"));
        let members = members.to_vec();
        let service_state = Mutex::new(ServiceState {
            state: State::Up,
            revision: 7,
            members,
            connections: Vec::new(),
            fillers: Vec::new(),
        });
        let shared =
            Arc::new(Shared { service_state, changed: Condvar::new(), queue: Mutex::new(()), socket });
        let (sender, events) = channel();
        let shared_with_listener = Arc::clone(&shared);
        thread::spawn(move || accept_connections(&listener, &shared_with_listener, &sender));
        Self { address, shared, events }
    }

    /// Sets the availability. Closes all connections when the service becomes unavailable.
    pub fn set_state(&self, state: State) {
        let mut service_state = self.shared.service_state();
        if state == State::NotListening {
            self.shared.socket.shutdown(Shutdown::Both).expect("stop listening on the socket");
        }
        if matches!(service_state.state, State::NotListening | State::QueueFull) {
            self.shared.socket.listen(64).expect("listen on the socket again");
            service_state.fillers.clear();
        }
        if state == State::QueueFull {
            self.shared.socket.listen(0).expect("listen on the socket");
        }
        service_state.state = state;
        if state != State::Up && state != State::SilentWatches {
            for stream in service_state.connections.drain(..) {
                drop(stream.shutdown(Shutdown::Both));
            }
        }
        drop(service_state);
        self.shared.changed.notify_all();
        if state == State::QueueFull {
            self.fill_queue();
        }
    }

    /// Opens two connections: one is accepted and left unused, the other fills the accept queue.
    fn fill_queue(&self) {
        let fillers =
            (0..2).map_while(|_| TcpStream::connect_timeout(&self.address, Duration::from_secs(1)).ok());
        let fillers: Vec<_> = fillers.collect();
        self.shared.service_state().fillers = fillers;
    }

    /// Replaces the list and increments its revision.
    pub fn post(&self, members: &[Value]) {
        let mut service_state = self.shared.service_state();
        service_state.revision += 1;
        service_state.members = members.to_vec();
        drop(service_state);
        self.shared.changed.notify_all();
    }

    /// Waits for the next event.
    pub fn next_event(&self) -> Event {
        self.events.recv_timeout(EVENT_TIMEOUT).expect("an event of the service")
    }

    /// Waits for the next call and skips other events.
    pub fn next_call_revision(&self) -> Call {
        loop {
            if let Event::Call(call) = self.next_event() {
                return call;
            }
        }
    }

    /// Waits until a call is answered, and returns the time of the response.
    pub fn next_response_time(&self) -> Instant {
        loop {
            if let Event::Answered(at) = self.next_event() {
                return at;
            }
        }
    }

    /// Waits for the next watch.
    pub fn wait_for_watch(&self) -> Watch {
        loop {
            if let Call { at, wait: Some(wait), .. } = self.next_call_revision()
                && wait >= MIN_WATCH_WAIT
            {
                return Watch { at, wait };
            }
        }
    }
}
