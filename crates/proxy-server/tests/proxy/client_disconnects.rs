//! Clients that disconnect while their request waits: it is not sent to a backend.

use crate::support::*;
use crate::{fill, full_backend};
use socket2::SockRef;
use std::io::BufReader;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

/// How long after its client's disconnect an attempt, first or retry, may still start.
pub const DISCONNECT_BOUND: Duration = Duration::from_millis(100);
/// When the kernel has retried a connect that found its backend's queue full.
pub const CONNECT_RETRY_AFTER: Duration = Duration::from_millis(1_300);
const CLASSES: [&str; 3] = ["read", "submit", "charge"];

/// A backend to which connections are established only once its queue is emptied.
pub struct SlowBackend {
    listener: TcpListener,
    pub address: SocketAddr,
    _filler: TcpStream,
}

impl SlowBackend {
    pub fn start() -> Self {
        let (listener, filler) = listener_with_full_queue();
        // Ends a test in which no connection arrives.
        SockRef::from(&listener).set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
        let address = listener.local_addr().expect("an address");
        Self { listener, address, _filler: filler }
    }

    /// Answers the request on this connection and returns its id; `None` where none is sent.
    fn serve_connection(stream: &TcpStream) -> Option<String> {
        stream.set_nonblocking(false).expect("blocking");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
        let request = read_message(&mut BufReader::new(stream))?;
        write_bytes(stream, &response_bytes("200 OK", "Connection: close\r\n", b"late"));
        Some(request.header("x-correlation-id").expect("an id").to_owned())
    }

    /// Empties the queue and returns the ids of the requests on all connections that are established then, and of a client
    /// that connects now and stays.
    fn accept_all(&self, proxy: &Proxy) -> Vec<String> {
        drop(self.listener.accept().expect("the filler"));
        let mut received = Vec::new();
        self.listener.set_nonblocking(true).expect("non-blocking");
        let emptied = Instant::now();
        // A kernel that found the queue full retries after a second.
        while emptied.elapsed() < CONNECT_RETRY_AFTER {
            synchronize(proxy);
            if let Ok((stream, _)) = self.listener.accept() {
                received.extend(Self::serve_connection(&stream));
            }
        }
        self.listener.set_nonblocking(false).expect("blocking");
        let mut stays = proxy.client();
        stays.send(&request("read", "stays", ""));
        let (stream, _) = self.listener.accept().expect("a connection");
        received.extend(Self::serve_connection(&stream));
        assert_eq!(stays.receive().body, b"late");
        received
    }
}

/// Waits until the proxy has processed all earlier events: responses on other connections show that. A single one may have
/// been handled in the same poll of the sockets.
pub fn synchronize(proxy: &Proxy) {
    (0..10).for_each(|_| assert_eq!(proxy.client().exchange(HEALTH_REQUEST).status(), 200));
}

/// Sends requests until [`DISCONNECT_BOUND`] has passed.
fn wait_for_disconnect_bound(proxy: &Proxy) {
    let left = Instant::now();
    while left.elapsed() < DISCONNECT_BOUND {
        synchronize(proxy);
    }
}

/// Closes the connection with a reset.
fn reset(client: Client) {
    SockRef::from(&client.stream).set_linger(Some(Duration::ZERO)).expect("a linger");
    drop(client);
}

#[test]
fn request_is_dropped_after_disconnect_during_connect() {
    for (class, resets) in [("read", false), ("submit", false), ("charge", false), ("charge", true)] {
        let (discovery, slow_backend) = (Discovery::start(), SlowBackend::start());
        let name = format!("left-dialling-{class}-{resets}");
        let proxy = Proxy::start(&name, &discovery, &[entry("s-1", slow_backend.address, "active", 0)]);
        let mut leaver = proxy.client();
        leaver.send(&request(class, "leaver", if class == "read" { "" } else { "x" }));
        synchronize(&proxy);
        if resets {
            reset(leaver);
        } else {
            drop(leaver);
        }
        synchronize(&proxy);
        assert_eq!(slow_backend.accept_all(&proxy), ["stays"], "{class}");
    }
}

/// The close follows bytes of a pipelined request, behind which the HTTP library does not detect it.
#[test]
fn detects_disconnect_behind_pipelined_bytes() {
    for pipelined in ["G", "GET /up HTTP/1.1\r\nHost: x\r\n\r\n"] {
        let (discovery, slow_backend) = (Discovery::start(), SlowBackend::start());
        let name = format!("left-pipelining-{}", pipelined.len());
        let proxy = Proxy::start(&name, &discovery, &[entry("s-1", slow_backend.address, "active", 0)]);
        let mut leaver = proxy.client();
        leaver.send(&format!("{}{pipelined}", request("charge", "leaver", "x")));
        synchronize(&proxy);
        drop(leaver);
        synchronize(&proxy);
        assert_eq!(slow_backend.accept_all(&proxy), ["stays"], "{pipelined:?}");
    }
}

/// More bytes than the proxy reads ahead precede the close, or a part of a body that is streamed.
#[test]
fn detects_disconnect_behind_unread_bytes_in_time() {
    for (name, text) in [
        ("left-far-ahead", format!("{}{}", request("charge", "leaver", "x"), "G".repeat(60_000))),
        ("left-in-a-body", request("charge", "leaver", &"y".repeat(2_000_000))[..120_000].to_owned()),
    ] {
        let (discovery, slow_backend) = (Discovery::start(), SlowBackend::start());
        let mut config = config(name, &discovery);
        config["limits"]["memory_mb"] = 8.into();
        let proxy = Proxy::start_with_config(name, &config);
        discovery.post(true, &[entry("s-1", slow_backend.address, "active", 0)]);
        let mut leaver = proxy.client();
        // The kernel buffers all of it: otherwise the close does not arrive.
        leaver.send(&text);
        synchronize(&proxy);
        drop(leaver);
        wait_for_disconnect_bound(&proxy);
        assert_eq!(slow_backend.accept_all(&proxy), ["stays"], "{name}");
    }
}

/// The client wrote and closed during a stall, or while its connection was in the kernel's queue: the proxy finds the
/// request and the close in the same poll.
#[test]
fn request_is_dropped_after_disconnect_before_it_is_read() {
    for (class, resets) in CLASSES.into_iter().flat_map(|class| [(class, false), (class, true)]) {
        let discovery = Discovery::start();
        let backend = Backend::start(|_| ok("there"));
        let name = format!("left-unheard-{class}-{resets}");
        let proxy = Proxy::start(&name, &discovery, &[entry("s-1", backend.address, "active", 0)]);
        for (round, connected) in [false, true].into_iter().enumerate() {
            let before = connected.then(|| {
                let mut client = proxy.client();
                assert_eq!(client.exchange(HEALTH_REQUEST).status(), 200);
                client
            });
            proxy.signal("-STOP");
            let mut leaver = before.unwrap_or_else(|| proxy.client());
            let body = if class == "read" { "" } else { "x" };
            leaver.send(&request(class, &format!("leaver-{round}"), body));
            if resets {
                reset(leaver);
            } else {
                drop(leaver);
            }
            proxy.signal("-CONT");
            synchronize(&proxy);
            let id = format!("stays-{round}");
            assert_eq!(proxy.client().exchange(&request(class, &id, body)).status(), 200);
            assert_eq!(
                backend.next_request().header("x-correlation-id"),
                Some(id.as_str()),
                "{class} {connected}"
            );
        }
    }
}

/// A half-closed connection looks like a closed one to the proxy, so its request is not sent to a backend. The client may
/// wait for a response, and gets one at once.
#[test]
fn half_closed_client_gets_a_response_and_no_attempt() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| BackendAction::Hang);
    let proxy = Proxy::start("half-closed", &discovery, &[entry("s-1", backend.address, "active", 0)]);
    // Before the request was read: nothing ran.
    proxy.signal("-STOP");
    let mut early = proxy.client();
    early.send(&request("charge", "early", "x"));
    early.stream.shutdown(Shutdown::Write).expect("shut down");
    proxy.signal("-CONT");
    assert_eq!(early.receive().status(), 503);
    assert!(early.is_closed_cleanly());
    // While the request is in flight: it may have run.
    let mut late = proxy.client();
    late.send(&request("charge", "late", "x"));
    assert_eq!(backend.next_request().header("x-correlation-id"), Some("late"));
    late.stream.shutdown(Shutdown::Write).expect("shut down");
    assert_eq!(late.receive().status(), 502);
    assert!(late.is_closed_cleanly());
    assert_eq!(backend.take_request_count(), 0);
}

/// A client disconnects while its attempt runs and reconnects with the same key: the second request is independent, and the
/// first attempt is not cancelled.
#[test]
fn client_that_reconnects_with_its_key_is_served() {
    let discovery = Discovery::start();
    let (release, released) = std::sync::mpsc::channel();
    let mut released = Some(released);
    let backend = Backend::start(move |_| match released.take() {
        Some(released) => BackendAction::WaitThen(released, Box::new(ok("first"))),
        None => ok("again"),
    });
    let proxy = Proxy::start("comes-again", &discovery, &[entry("s-1", backend.address, "active", 0)]);
    let text = request("submit", "first", "x");
    let mut leaver = proxy.client();
    leaver.send(&text);
    backend.next_request();
    drop(leaver);
    synchronize(&proxy);
    let repeated = text.replace("Correlation-Id: first", "Correlation-Id: second");
    assert_eq!(proxy.client().exchange(&repeated).body, b"again");
    assert_eq!(backend.next_request().header("idempotency-key"), Some("first"));
    release.send(()).expect("the backend waits");
}

/// During a stall the connection is established and the client disconnects: the proxy finds both in the same poll.
#[test]
fn connection_established_during_a_stall_carries_no_abandoned_request() {
    let mut broken = Vec::new();
    for (class, leaves_first) in CLASSES.into_iter().flat_map(|class| [(class, false), (class, true)]) {
        let (discovery, slow_backend) = (Discovery::start(), SlowBackend::start());
        let name = format!("left-dialled-{class}-{leaves_first}");
        let proxy = Proxy::start(&name, &discovery, &[entry("s-1", slow_backend.address, "active", 0)]);
        let mut leaver = proxy.client();
        leaver.send(&request(class, "leaver", if class == "read" { "" } else { "x" }));
        synchronize(&proxy);
        proxy.signal("-STOP");
        let mut leaver = Some(leaver);
        if leaves_first {
            drop(leaver.take());
        }
        drop(slow_backend.listener.accept().expect("the filler"));
        let (came_up, _) = slow_backend.listener.accept().expect("the retried connection");
        drop(leaver);
        std::thread::sleep(DISCONNECT_BOUND);
        proxy.signal("-CONT");
        synchronize(&proxy);
        let mut stays = proxy.client();
        stays.send(&request("read", "stays", ""));
        // The connection may be reused for the next request, or may have been closed.
        let first = SlowBackend::serve_connection(&came_up).or_else(|| {
            SlowBackend::serve_connection(&slow_backend.listener.accept().expect("another connection").0)
        });
        if first.as_deref() != Some("stays") {
            broken.push((class, leaves_first, first));
        }
    }
    assert!(broken.is_empty(), "{broken:?}");
}

/// Pipelined requests follow the open one, within or beyond what the proxy reads ahead; the response to the open one is
/// small, or streamed and never read.
#[test]
fn no_pipelined_request_starts_after_disconnect() {
    for (name, body_size, size, is_stalled) in [
        ("several", 0, 5, false),
        ("several-stood", 0, 5, true),
        ("several-far", 20_000, 5, false),
        ("several-far-stood", 20_000, 5, true),
        ("several-passing", 0, 8_000_000, false),
        ("several-passing-stood", 0, 8_000_000, true),
    ] {
        let discovery = Discovery::start();
        let (release, released) = channel();
        let mut released = Some(released);
        let backend = Backend::start(move |_| match released.take() {
            Some(released) => BackendAction::WaitThen(
                released,
                Box::new(BackendAction::Write(response_bytes("200 OK", "", &vec![b'z'; size]))),
            ),
            None => ok("there"),
        });
        let proxy = Proxy::start(name, &discovery, &[entry("s-1", backend.address, "active", 0)]);
        let mut leaver = proxy.client();
        leaver.send(&request("charge", "open", "x"));
        backend.next_request();
        (0..3).for_each(|n| leaver.send(&request("charge", &format!("behind-{n}"), &"y".repeat(body_size))));
        synchronize(&proxy);
        if is_stalled {
            proxy.signal("-STOP");
        }
        drop(leaver);
        std::thread::sleep(DISCONNECT_BOUND);
        release.send(()).expect("the backend waits");
        std::thread::sleep(DISCONNECT_BOUND);
        proxy.signal("-CONT");
        synchronize(&proxy);
        assert_eq!(proxy.client().exchange(&request("charge", "stays", "x")).status(), 200);
        assert_eq!(backend.next_request().header("x-correlation-id"), Some("stays"), "{name}");
        assert_eq!(backend.take_request_count(), 0, "{name}");
    }
}

/// At the limit of connections others wait in the kernel's queue: a request whose client disconnected there is not sent to
/// a backend.
#[test]
fn request_is_dropped_after_disconnect_in_the_listener_queue() {
    let discovery = Discovery::start();
    let (backend, releases) = full_backend();
    let mut config = config("left-queued", &discovery);
    config["limits"]["sockets"] = 48.into();
    let proxy = Proxy::start_with_config("left-queued", &config);
    discovery.post(true, &[entry("s-1", backend.address, "active", 0)]);
    let mut first = fill(&proxy, &backend);
    // Open requests keep their connections; those without capacity in the backend are queued.
    let waiting: Vec<_> = (0..48)
        .map(|n| {
            let mut client = proxy.client();
            client.send(&request("read", &format!("waits-{n}"), ""));
            client
        })
        .collect();
    std::thread::sleep(DISCONNECT_BOUND);
    let leavers = (0..6).map(|n| {
        let mut leaver = proxy.client();
        leaver.send(&request("charge", &format!("leaver-{n}"), "x"));
        leaver
    });
    drop(leavers.collect::<Vec<_>>());
    std::thread::sleep(DISCONNECT_BOUND);
    for (release, client) in releases.iter().zip(first.iter_mut().rev()) {
        release.send(()).expect("the backend waits");
        assert_eq!(client.receive().status(), 200);
    }
    drop(first);
    for mut client in waiting {
        assert!(matches!(client.receive().status(), 200 | 503));
    }
    assert_eq!(proxy.client().exchange(&request("charge", "stays", "x")).status(), 200);
    let ids: Vec<_> = backend
        .requests
        .try_iter()
        .map(|received| received.header("x-correlation-id").expect("an id").to_owned())
        .collect();
    assert!(ids.iter().all(|id| !id.starts_with("leaver")), "{ids:?}");
}
