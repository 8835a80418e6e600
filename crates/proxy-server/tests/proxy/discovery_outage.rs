//! Discovery that is down, silent or too long, and how soon it is heard again. The spans are those of the stand-in's record.

use crate::support::*;
use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// What discovery has counts as told so long after it could be reached.
const TOLD: Duration = Duration::from_secs(6);
/// What a watch that has fallen silent missed counts as told so long after its wait.
const AFTER_WAIT: Duration = Duration::from_secs(2);
/// After its address has changed, what it has counts so much later.
const MOVED: Duration = Duration::from_secs(4);
/// What a call costs the service; it has one queue.
const CALL: Duration = Duration::from_millis(160);
/// The platform's outage.
const OUTAGE: Duration = Duration::from_secs(8);
/// Longer than the longest wait of a watch and its slack.
const LONG_PATIENCE: Duration = Duration::from_secs(30);

/// What calls meet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Up,
    /// No connection comes up.
    Closed,
    /// Connections are neither refused nor do they come up: the listener's queue is full.
    Full,
    /// Each call is answered 503 at once.
    Refuses,
    /// Calls are read and never answered, not even later.
    Silent,
    /// As `Up`, but watches that come now are never answered.
    SilentWatches,
}

/// What the service saw and did, in order.
#[derive(Clone, Copy, Debug)]
enum Event {
    Call { after: Option<u64>, wait: Option<Duration> },
    Answered,
    Failed,
}

struct Board {
    state: State,
    revision: u64,
    members: Vec<Value>,
    open: Vec<TcpStream>,
    fillers: Vec<TcpStream>,
}

struct Shared {
    board: Mutex<Board>,
    changed: Condvar,
    /// The one queue.
    queue: Mutex<()>,
    socket: Socket,
}

impl Shared {
    fn board(&self) -> MutexGuard<'_, Board> {
        self.board.lock().expect("the board")
    }

    fn state(&self) -> State {
        self.board().state
    }
}

/// Discovery as one service for all proxies, which can go down and come back.
struct Service {
    address: SocketAddr,
    shared: Arc<Shared>,
    received: Receiver<(Instant, Event)>,
}

/// A socket at a port of its own. A port that was asked for by number stays taken while nobody listens there.
fn bound() -> Socket {
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

fn number(call: &HttpMessage, name: &str) -> Option<u64> {
    let (_, rest) = call.first_line().split_once(name)?;
    rest.split(['&', ' ']).next()?.parse().ok()
}

fn list(revision: u64, complete: bool, members: &[Value]) -> Vec<u8> {
    json!({"revision": revision, "complete": complete, "members": members}).to_string().into_bytes()
}

fn serve(shared: &Shared, mut stream: TcpStream, told: &Sender<(Instant, Event)>) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    loop {
        let call = read_message(&mut reader)?;
        let (after, wait) = (number(&call, "after="), number(&call, "wait_ms=").map(Duration::from_millis));
        let state = shared.state();
        told.send((Instant::now(), Event::Call { after, wait })).ok()?;
        match state {
            State::Up => {}
            State::SilentWatches if wait.is_none_or(|wait| wait < Duration::from_secs(1)) => {}
            State::Refuses | State::Closed | State::Full => {
                stream.write_all(&response_bytes("503 Service Unavailable", "", b"")).ok()?;
                told.send((Instant::now(), Event::Failed)).ok()?;
                continue;
            }
            State::Silent | State::SilentWatches => continue,
        }
        {
            let _turn = shared.queue.lock().expect("the queue");
            thread::sleep(CALL);
        }
        let same = |board: &mut Board| {
            (after == Some(board.revision)) && matches!(board.state, State::Up | State::SilentWatches)
        };
        let board = shared.board();
        let (board, _) =
            shared.changed.wait_timeout_while(board, wait.unwrap_or_default(), same).expect("the board");
        if !matches!(board.state, State::Up | State::SilentWatches) {
            return None;
        }
        let text = match after {
            Some(after) if after == board.revision => list(after, false, &[]),
            _ => list(board.revision, true, &board.members),
        };
        drop(board);
        stream.write_all(&response_bytes("200 OK", "", &text)).ok()?;
        told.send((Instant::now(), Event::Answered)).ok()?;
    }
}

impl Service {
    fn start(members: &[Value]) -> Self {
        let socket = bound();
        let address = socket.local_addr().expect("an address").as_socket().expect("IPv4");
        socket.listen(64).expect("it listens");
        let listener = TcpListener::from(socket.try_clone().expect("a clone"));
        let members = members.to_vec();
        let board = Mutex::new(Board {
            state: State::Up,
            revision: 7,
            members,
            open: Vec::new(),
            fillers: Vec::new(),
        });
        let shared = Arc::new(Shared { board, changed: Condvar::new(), queue: Mutex::new(()), socket });
        let (told, received) = channel();
        let served = Arc::clone(&shared);
        thread::spawn(move || {
            loop {
                let accepted = listener.accept();
                // Nobody listens or takes a connection until the service is back.
                let board = served.board();
                let away = |board: &mut Board| matches!(board.state, State::Closed | State::Full);
                let waited = served.changed.wait_timeout_while(board, LONG_PATIENCE, away);
                if waited.expect("the board").1.timed_out() {
                    return;
                }
                let Ok((stream, _)) = accepted else { continue };
                served.board().open.push(stream.try_clone().expect("a clone"));
                let (shared, told) = (Arc::clone(&served), told.clone());
                thread::spawn(move || serve(&shared, stream, &told));
            }
        });
        Self { address, shared, received }
    }

    /// The state changes. When the service goes down its watches end.
    fn turn(&self, state: State) {
        let mut board = self.shared.board();
        if state == State::Closed {
            self.shared.socket.shutdown(Shutdown::Both).expect("it stops listening");
        }
        if matches!(board.state, State::Closed | State::Full) {
            self.shared.socket.listen(64).expect("it listens again");
            board.fillers.clear();
        }
        if state == State::Full {
            self.shared.socket.listen(0).expect("it listens");
        }
        board.state = state;
        if state != State::Up && state != State::SilentWatches {
            board.open.drain(..).for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
        }
        drop(board);
        self.shared.changed.notify_all();
        if state == State::Full {
            // One is accepted and left alone, one fills the queue.
            let fillers = (0..2).map_while(|_| {
                let filler = TcpStream::connect_timeout(&self.address, Duration::from_secs(1));
                filler.ok()
            });
            let fillers: Vec<_> = fillers.collect();
            self.shared.board().fillers = fillers;
        }
    }

    /// Another list from now on.
    fn post(&self, members: &[Value]) {
        let mut board = self.shared.board();
        board.revision += 1;
        board.members = members.to_vec();
        drop(board);
        self.shared.changed.notify_all();
    }

    fn next(&self) -> (Instant, Event) {
        self.received.recv_timeout(LONG_PATIENCE).expect("a call")
    }

    fn next_call(&self) -> (Instant, Option<u64>, Option<Duration>) {
        loop {
            if let (at, Event::Call { after, wait }) = self.next() {
                return (at, after, wait);
            }
        }
    }

    fn next_answer(&self) -> Instant {
        loop {
            if let (at, Event::Answered) = self.next() {
                return at;
            }
        }
    }

    /// Waits until a watch is up: a call that follows an answer and may wait long.
    fn watched(&self) -> (Instant, Duration) {
        loop {
            if let (at, _, Some(wait)) = self.next_call()
                && wait >= Duration::from_secs(1)
            {
                return (at, wait);
            }
        }
    }
}

fn config_of(name: &str, discovery: SocketAddr, me: u32, balancers: u32, known: &[Value]) -> Value {
    let mut config = config(name, &Discovery::start());
    config["discovery"] = discovery.to_string().into();
    config["known"] = json!({"revision": 1, "complete": true, "members": known});
    config["settings"]["membershipMode"] = "on_request".into();
    config["settings"]["safety"]["askWithinUs"] = 10_000_000.into();
    config["settings"]["me"] = me.into();
    config["settings"]["balancers"] = balancers.into();
    config
}

/// Runs all of them beside one another, for each waits most of its time; gives what failed.
fn beside<T: Send + 'static>(cases: Vec<T>, case: impl Fn(T) -> Result<(), String> + Send + Sync + 'static) {
    let case = Arc::new(case);
    let runs: Vec<_> = cases
        .into_iter()
        .map(|given| {
            let case = Arc::clone(&case);
            thread::spawn(move || case(given))
        })
        .collect();
    let failed: Vec<_> = runs
        .into_iter()
        .filter_map(|run| run.join().unwrap_or_else(|_| Err("it panicked".into())).err())
        .collect();
    assert!(failed.is_empty(), "{failed:#?}");
}

/// One proxy of so many before a service that is down for a while; how long after the return it had heard.
fn first_answer(me: u32, balancers: u32, kind: State) -> Duration {
    let (old, new) = (Backend::start(|_| ok("old")), Backend::start(|_| ok("new")));
    let members = [entry("s-1", old.address, "active", 0)];
    let service = Service::start(&members);
    let name = format!("outage-{me}-{balancers}-{kind:?}");
    let proxy = Proxy::start_with_config(&name, &config_of(&name, service.address, me, balancers, &members));
    service.watched();
    service.turn(kind);
    let down = Instant::now();
    service.post(&[entry("s-2", new.address, "active", 0)]);
    // The worst moment is right after a call was made; where none can be seen, any moment is as good.
    if matches!(kind, State::Closed | State::Full) {
        // The outage began behind a turn: so the return comes at other moments of the round.
        thread::sleep(OUTAGE + Duration::from_millis(20) * me);
    } else {
        while service.next_call().0 - down < OUTAGE {}
        if kind == State::Refuses {
            while !matches!(service.next().1, Event::Failed) {}
        }
    }
    let back = Instant::now();
    service.turn(State::Up);
    // It has heard what the watch says that it begins then. Answers alone may have gone to connections that were given up.
    let span = loop {
        if let (at, Some(8), Some(_)) = service.next_call() {
            break at - back;
        }
    };
    assert_eq!(proxy.client().exchange(&request("charge", "1", "x")).body, b"new");
    assert_eq!(old.take_request_count(), 0);
    span
}

/// Seen from outside as up to 7.6 s: the backoff and the wait for a turn added up.
#[test]
fn each_proxy_of_a_hundred_recovers_within_six_seconds() {
    let kinds = [State::Closed, State::Full, State::Refuses, State::Silent];
    let cases = [3, 50, 80, 95].into_iter().flat_map(|me| kinds.map(|kind| (me, kind))).collect();
    beside(cases, |(me, kind)| {
        let span = first_answer(me, 100, kind);
        println!("{me} of 100, {kind:?}: {span:?}");
        if span < TOLD { Ok(()) } else { Err(format!("{me} of 100, {kind:?}: {span:?}")) }
    });
}

#[test]
fn small_fleets_recover_within_six_seconds() {
    let kinds = [State::Closed, State::Full, State::Refuses, State::Silent];
    let cases = [(0, 1), (4, 5), (25, 26)].into_iter();
    let cases = cases.flat_map(|of| kinds.map(|kind| (of, kind))).collect();
    beside(cases, |((me, balancers), kind)| {
        let span = first_answer(me, balancers, kind);
        println!("{me} of {balancers}, {kind:?}: {span:?}");
        if span < TOLD { Ok(()) } else { Err(format!("{me} of {balancers}, {kind:?}: {span:?}")) }
    });
}

/// What it misses holds 6 s after it fell silent, or 2 s after its wait is over, if that is later.
#[test]
fn changes_missed_by_a_silent_watch_are_polled_in_time() {
    beside(vec![(0, 1), (4, 5), (99, 100), (60, 100)], |(me, balancers)| {
        let (old, new) = (Backend::start(|_| ok("old")), Backend::start(|_| ok("new")));
        let members = [entry("s-1", old.address, "active", 0)];
        let service = Service::start(&members);
        service.turn(State::SilentWatches);
        let name = format!("silent-{me}-{balancers}");
        let proxy =
            Proxy::start_with_config(&name, &config_of(&name, service.address, me, balancers, &members));
        let (began, wait) = service.watched();
        // That one is never answered; others are.
        service.turn(State::Up);
        service.post(&[entry("s-2", new.address, "active", 0)]);
        let span = service.next_answer() - began;
        println!("{me} of {balancers}, a wait of {wait:?}: {span:?}");
        service.next_call();
        assert_eq!(proxy.client().exchange(&request("charge", "1", "x")).body, b"new");
        let most = TOLD.max(wait + AFTER_WAIT);
        if span < most {
            Ok(())
        } else {
            Err(format!("{me} of {balancers}: {span:?}, {most:?} are all there is"))
        }
    });
}

/// The new service's list counts 4 s after the new configuration.
#[test]
fn each_proxy_of_a_hundred_follows_a_moved_service_within_four_seconds() {
    beside(vec![3, 50, 80, 95], |me| {
        let (old, new) = (Backend::start(|_| ok("old")), Backend::start(|_| ok("new")));
        let members = [entry("s-1", old.address, "active", 0)];
        let (first, second) =
            (Service::start(&members), Service::start(&[entry("s-2", new.address, "active", 0)]));
        let name = format!("moved-{me}");
        let proxy = Proxy::start_with_config(&name, &config_of(&name, first.address, me, 100, &members));
        first.watched();
        let told = Instant::now();
        proxy.reload(&config_of(&name, second.address, me, 100, &members).to_string());
        let span = second.next_answer() - told;
        println!("{me} of 100: {span:?}");
        second.next_call();
        assert_eq!(proxy.client().exchange(&request("charge", "1", "x")).body, b"new");
        if span < MOVED { Ok(()) } else { Err(format!("{me}: {span:?}")) }
    });
}
