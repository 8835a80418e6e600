//! Clients that disconnect before their request is sent: it must not reach a backend.

use crate::support::*;
use crate::{fill_concurrency_limit, start_blocking_backend};
use socket2::SockRef;
use std::io::BufReader;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

/// How long after the disconnect of its client a request's first attempt or retry may still start.
pub const DISCONNECT_BOUND: Duration = Duration::from_millis(100);
/// Longer than the kernel waits before it retries a connect to a full accept queue, which is one second.
pub const CONNECT_RETRY_TIME: Duration = Duration::from_millis(1_300);
const CLASSES: [&str; 3] = ["read", "submit", "charge"];

/// A backend with a full accept queue: connections to it are established only after the test has emptied the
/// queue.
pub struct SlowConnectBackend {
    listener: TcpListener,
    pub address: SocketAddr,
    _filler: TcpStream,
}

impl SlowConnectBackend {
    /// Starts the backend with its accept queue filled.
    pub fn start() -> Self {
        let (listener, filler) = listener_with_full_accept_queue();
        // Fails a test in which no connection arrives.
        SockRef::from(&listener).set_read_timeout(Some(TEST_TIMEOUT)).expect("set the read timeout");
        let address = listener.local_addr().expect("local address");
        Self { listener, address, _filler: filler }
    }

    /// Answers the request on this connection and returns its id. Returns `None` if the connection ends
    /// without a request.
    fn serve_connection(stream: &TcpStream) -> Option<String> {
        stream.set_nonblocking(false).expect("set blocking mode");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set the read timeout");
        let request = read_message(&mut BufReader::new(stream))?;
        write_bytes(stream, &response_bytes("200 OK", "Connection: close\r\n", b"late"));
        Some(request.header("x-correlation-id").expect("a correlation id").to_owned())
    }

    /// Empties the accept queue and serves all connections that are established then, and a new client that
    /// stays connected. Returns the ids of all received requests.
    fn accept_all(&self, proxy: &Proxy) -> Vec<String> {
        drop(self.listener.accept().expect("accept the filler connection"));
        let mut received = Vec::new();
        self.listener.set_nonblocking(true).expect("set non-blocking mode");
        let emptied_at = Instant::now();
        // A kernel that found the queue full retries the connect after one second.
        while emptied_at.elapsed() < CONNECT_RETRY_TIME {
            synchronize(proxy);
            if let Ok((stream, _)) = self.listener.accept() {
                received.extend(Self::serve_connection(&stream));
            }
        }
        self.listener.set_nonblocking(false).expect("set blocking mode");
        let mut connected_client = proxy.client();
        connected_client.send(&request("read", "stays", ""));
        let (stream, _) = self.listener.accept().expect("accept a connection");
        received.extend(Self::serve_connection(&stream));
        assert_eq!(connected_client.receive().body, b"late");
        received
    }
}

/// Waits until the proxy has processed all earlier events, which responses on other connections show. One
/// response is not enough: its request may have been handled in the same poll of the sockets as an earlier
/// event.
pub fn synchronize(proxy: &Proxy) {
    (0..10).for_each(|_| assert_eq!(proxy.client().exchange(HEALTH_REQUEST).status(), 200));
}

/// Sends health checks until [`DISCONNECT_BOUND`] has passed.
fn wait_for_disconnect_bound(proxy: &Proxy) {
    let started_at = Instant::now();
    while started_at.elapsed() < DISCONNECT_BOUND {
        synchronize(proxy);
    }
}

/// Closes the connection of a client with a reset.
fn reset(client: Client) {
    SockRef::from(&client.stream).set_linger(Some(Duration::ZERO)).expect("set SO_LINGER");
    drop(client);
}

#[test]
fn request_is_dropped_after_disconnect_during_connect() {
    for (class, closes_with_reset) in
        [("read", false), ("submit", false), ("charge", false), ("charge", true)]
    {
        let (discovery, slow_connect_backend) = (Discovery::start(), SlowConnectBackend::start());
        let name = format!("left-dialling-{class}-{closes_with_reset}");
        let proxy = Proxy::start(
            &name,
            &discovery,
            &[backend_entry("s-1", slow_connect_backend.address, "active", 0)],
        );
        let mut disconnecting_client = proxy.client();
        disconnecting_client.send(&request(class, "leaver", if class == "read" { "" } else { "x" }));
        synchronize(&proxy);
        if closes_with_reset {
            reset(disconnecting_client);
        } else {
            drop(disconnecting_client);
        }
        synchronize(&proxy);
        assert_eq!(slow_connect_backend.accept_all(&proxy), ["stays"], "{class}");
    }
}

/// The close follows bytes of a pipelined request. The HTTP library does not detect a close behind unread
/// bytes.
#[test]
fn detects_disconnect_behind_pipelined_bytes() {
    for pipelined in ["G", "GET /up HTTP/1.1\r\nHost: x\r\n\r\n"] {
        let (discovery, slow_connect_backend) = (Discovery::start(), SlowConnectBackend::start());
        let name = format!("left-pipelining-{}", pipelined.len());
        let proxy = Proxy::start(
            &name,
            &discovery,
            &[backend_entry("s-1", slow_connect_backend.address, "active", 0)],
        );
        let mut disconnecting_client = proxy.client();
        disconnecting_client.send(&format!("{}{pipelined}", request("charge", "leaver", "x")));
        synchronize(&proxy);
        drop(disconnecting_client);
        synchronize(&proxy);
        assert_eq!(slow_connect_backend.accept_all(&proxy), ["stays"], "{pipelined:?}");
    }
}

/// The close follows more bytes than the proxy reads ahead, or a part of a streamed body.
#[test]
fn detects_disconnect_behind_unread_bytes_within_the_bound() {
    for (name, text) in [
        ("left-far-ahead", format!("{}{}", request("charge", "leaver", "x"), "G".repeat(60_000))),
        ("left-in-a-body", request("charge", "leaver", &"y".repeat(2_000_000))[..120_000].to_owned()),
    ] {
        let (discovery, slow_connect_backend) = (Discovery::start(), SlowConnectBackend::start());
        let mut config = proxy_config(name, &discovery);
        config["limits"]["memory_mb"] = 8.into();
        let proxy = Proxy::start_with_config(name, &config);
        discovery.publish_and_wait(true, &[backend_entry("s-1", slow_connect_backend.address, "active", 0)]);
        let mut disconnecting_client = proxy.client();
        // Few enough bytes for the kernel's buffers: otherwise the close would not reach the proxy.
        disconnecting_client.send(&text);
        synchronize(&proxy);
        drop(disconnecting_client);
        wait_for_disconnect_bound(&proxy);
        assert_eq!(slow_connect_backend.accept_all(&proxy), ["stays"], "{name}");
    }
}

/// The client sends its request and closes while the process is stopped, on an accepted connection or one in
/// the accept queue. The proxy finds the request and the close in the same poll.
#[test]
fn request_is_dropped_after_disconnect_before_it_is_read() {
    for (class, closes_with_reset) in CLASSES.into_iter().flat_map(|class| [(class, false), (class, true)]) {
        let discovery = Discovery::start();
        let backend = Backend::start(|_| ok_response("there"));
        let name = format!("left-unheard-{class}-{closes_with_reset}");
        let proxy = Proxy::start(&name, &discovery, &[backend_entry("s-1", backend.address, "active", 0)]);
        for (round, is_accepted) in [false, true].into_iter().enumerate() {
            let accepted_client = is_accepted.then(|| {
                let mut client = proxy.client();
                assert_eq!(client.exchange(HEALTH_REQUEST).status(), 200);
                client
            });
            proxy.signal("-STOP");
            let mut disconnecting_client = accepted_client.unwrap_or_else(|| proxy.client());
            let body = if class == "read" { "" } else { "x" };
            disconnecting_client.send(&request(class, &format!("leaver-{round}"), body));
            if closes_with_reset {
                reset(disconnecting_client);
            } else {
                drop(disconnecting_client);
            }
            proxy.signal("-CONT");
            synchronize(&proxy);
            let id = format!("stays-{round}");
            assert_eq!(proxy.client().exchange(&request(class, &id, body)).status(), 200);
            assert_eq!(
                backend.next_request().header("x-correlation-id"),
                Some(id.as_str()),
                "{class} {is_accepted}"
            );
        }
    }
}

/// The proxy cannot distinguish a half-closed connection from a closed one, so it does not send the request
/// to a backend. The client may still wait for a response, and gets one at once.
#[test]
fn half_closed_client_gets_a_response_without_a_new_attempt() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| BackendAction::Hang);
    let proxy =
        Proxy::start("half-closed", &discovery, &[backend_entry("s-1", backend.address, "active", 0)]);
    // Closed before the proxy has read the request: nothing has run.
    proxy.signal("-STOP");
    let mut client_before_read = proxy.client();
    client_before_read.send(&request("charge", "early", "x"));
    client_before_read.stream.shutdown(Shutdown::Write).expect("shut down the sending side");
    proxy.signal("-CONT");
    assert_eq!(client_before_read.receive().status(), 503);
    assert!(client_before_read.is_closed_cleanly());
    // Closed while the request is in flight: it may have run.
    let mut client_in_flight = proxy.client();
    client_in_flight.send(&request("charge", "late", "x"));
    assert_eq!(backend.next_request().header("x-correlation-id"), Some("late"));
    client_in_flight.stream.shutdown(Shutdown::Write).expect("shut down the sending side");
    assert_eq!(client_in_flight.receive().status(), 502);
    assert!(client_in_flight.is_closed_cleanly());
    assert_eq!(backend.take_request_count(), 0);
}

/// A client disconnects while its request is in flight and sends another request with the same idempotency
/// key: the second request is served independently, and the first attempt is not cancelled.
#[test]
fn client_that_reconnects_with_its_idempotency_key_is_served() {
    let discovery = Discovery::start();
    let (release, released) = std::sync::mpsc::channel();
    let mut released = Some(released);
    let backend = Backend::start(move |_| match released.take() {
        Some(released) => BackendAction::WaitForSignalThen(released, Box::new(ok_response("first"))),
        None => ok_response("again"),
    });
    let proxy =
        Proxy::start("comes-again", &discovery, &[backend_entry("s-1", backend.address, "active", 0)]);
    let text = request("submit", "first", "x");
    let mut disconnecting_client = proxy.client();
    disconnecting_client.send(&text);
    backend.next_request();
    drop(disconnecting_client);
    synchronize(&proxy);
    let request_with_same_key = text.replace("Correlation-Id: first", "Correlation-Id: second");
    assert_eq!(proxy.client().exchange(&request_with_same_key).body, b"again");
    assert_eq!(backend.next_request().header("idempotency-key"), Some("first"));
    release.send(()).expect("signal the backend");
}

/// While the process is stopped, the connection to the backend is established and the client disconnects. The
/// proxy finds both events in the same poll.
#[test]
fn connection_established_during_a_stall_carries_no_request_of_a_disconnected_client() {
    let mut failures = Vec::new();
    for (class, disconnects_first) in CLASSES.into_iter().flat_map(|class| [(class, false), (class, true)]) {
        let (discovery, slow_connect_backend) = (Discovery::start(), SlowConnectBackend::start());
        let name = format!("left-dialled-{class}-{disconnects_first}");
        let proxy = Proxy::start(
            &name,
            &discovery,
            &[backend_entry("s-1", slow_connect_backend.address, "active", 0)],
        );
        let mut disconnecting_client = proxy.client();
        disconnecting_client.send(&request(class, "leaver", if class == "read" { "" } else { "x" }));
        synchronize(&proxy);
        proxy.signal("-STOP");
        let mut disconnecting_client = Some(disconnecting_client);
        if disconnects_first {
            drop(disconnecting_client.take());
        }
        drop(slow_connect_backend.listener.accept().expect("accept the filler connection"));
        let (established, _) = slow_connect_backend.listener.accept().expect("accept the retried connection");
        drop(disconnecting_client);
        std::thread::sleep(DISCONNECT_BOUND);
        proxy.signal("-CONT");
        synchronize(&proxy);
        let mut connected_client = proxy.client();
        connected_client.send(&request("read", "stays", ""));
        // The proxy may reuse the connection for the next request, or may have closed it.
        let received_id = SlowConnectBackend::serve_connection(&established).or_else(|| {
            SlowConnectBackend::serve_connection(
                &slow_connect_backend.listener.accept().expect("accept another connection").0,
            )
        });
        if received_id.as_deref() != Some("stays") {
            failures.push((class, disconnects_first, received_id));
        }
    }
    assert!(failures.is_empty(), "{failures:?}");
}

/// Pipelined requests follow the request in flight, within or beyond the bytes that the proxy reads ahead.
/// The response to the request in flight is small, or streamed and never read.
#[test]
fn no_pipelined_request_starts_after_disconnect() {
    for (name, body_size, response_size, is_stalled) in [
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
            Some(released) => BackendAction::WaitForSignalThen(
                released,
                Box::new(BackendAction::Write(response_bytes("200 OK", "", &vec![b'z'; response_size]))),
            ),
            None => ok_response("there"),
        });
        let proxy = Proxy::start(name, &discovery, &[backend_entry("s-1", backend.address, "active", 0)]);
        let mut client = proxy.client();
        client.send(&request("charge", "open", "x"));
        backend.next_request();
        (0..3).for_each(|n| client.send(&request("charge", &format!("behind-{n}"), &"y".repeat(body_size))));
        synchronize(&proxy);
        if is_stalled {
            proxy.signal("-STOP");
        }
        drop(client);
        std::thread::sleep(DISCONNECT_BOUND);
        release.send(()).expect("signal the backend");
        std::thread::sleep(DISCONNECT_BOUND);
        proxy.signal("-CONT");
        synchronize(&proxy);
        assert_eq!(proxy.client().exchange(&request("charge", "stays", "x")).status(), 200);
        assert_eq!(backend.next_request().header("x-correlation-id"), Some("stays"), "{name}");
        assert_eq!(backend.take_request_count(), 0, "{name}");
    }
}

/// At the connection limit new connections wait in the accept queue. A request must not be sent to a backend
/// if its client disconnected there.
#[test]
fn request_is_dropped_after_disconnect_in_the_accept_queue() {
    let discovery = Discovery::start();
    let (backend, release_senders) = start_blocking_backend();
    let mut config = proxy_config("left-queued", &discovery);
    config["limits"]["sockets"] = 48.into();
    let proxy = Proxy::start_with_config("left-queued", &config);
    discovery.publish_and_wait(true, &[backend_entry("s-1", backend.address, "active", 0)]);
    let mut blocked_clients = fill_concurrency_limit(&proxy, &backend);
    // These requests find no capacity in the backend and are queued, with their connections open.
    let queued_clients: Vec<_> = (0..48)
        .map(|n| {
            let mut client = proxy.client();
            client.send(&request("read", &format!("waits-{n}"), ""));
            client
        })
        .collect();
    std::thread::sleep(DISCONNECT_BOUND);
    let disconnecting_clients = (0..6).map(|n| {
        let mut disconnecting_client = proxy.client();
        disconnecting_client.send(&request("charge", &format!("leaver-{n}"), "x"));
        disconnecting_client
    });
    drop(disconnecting_clients.collect::<Vec<_>>());
    std::thread::sleep(DISCONNECT_BOUND);
    for (release, client) in release_senders.iter().zip(blocked_clients.iter_mut().rev()) {
        release.send(()).expect("signal the backend");
        assert_eq!(client.receive().status(), 200);
    }
    drop(blocked_clients);
    for mut client in queued_clients {
        assert!(matches!(client.receive().status(), 200 | 503));
    }
    assert_eq!(proxy.client().exchange(&request("charge", "stays", "x")).status(), 200);
    let ids: Vec<_> = backend
        .requests
        .try_iter()
        .map(|received| received.header("x-correlation-id").expect("a correlation id").to_owned())
        .collect();
    assert!(ids.iter().all(|id| !id.starts_with("leaver")), "{ids:?}");
}
