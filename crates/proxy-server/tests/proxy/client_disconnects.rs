//! Clients that leave while their request waits: it is not sent on.

use crate::support::*;
use crate::{fill, full_backend};
use socket2::SockRef;
use std::io::BufReader;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

/// How long after its client left an attempt, first or further, may still begin.
pub const BOUND: Duration = Duration::from_millis(100);
/// When a connection that found its backend's queue full has been tried again.
pub const RETRIED: Duration = Duration::from_millis(1_300);
const CLASSES: [&str; 3] = ["read", "submit", "charge"];

/// A backend to which connections come up only when its queue is emptied.
pub struct Slow {
    listener: TcpListener,
    pub address: SocketAddr,
    _filler: TcpStream,
}

impl Slow {
    pub fn start() -> Self {
        let (listener, filler) = listener_with_full_queue();
        // Ends a test in which nobody connects any more.
        SockRef::from(&listener).set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
        let address = listener.local_addr().expect("an address");
        Self { listener, address, _filler: filler }
    }

    /// What is sent on a connection that has come, answered; `None` where nothing is.
    fn sent_on(stream: &TcpStream) -> Option<String> {
        stream.set_nonblocking(false).expect("it waits");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
        let request = read_message(&mut BufReader::new(stream))?;
        write_bytes(stream, &response_bytes("200 OK", "Connection: close\r\n", b"late"));
        Some(request.header("x-correlation-id").expect("an id").to_owned())
    }

    /// Lets connections come up, and gives the ids of what is sent on them: of all that stand open by then, and of a
    /// client that comes now and stays.
    fn received(&self, proxy: &Proxy) -> Vec<String> {
        drop(self.listener.accept().expect("the filler"));
        let mut received = Vec::new();
        self.listener.set_nonblocking(true).expect("it does not wait");
        let emptied = Instant::now();
        // A kernel that found the queue full tries again after a second.
        while emptied.elapsed() < RETRIED {
            settle(proxy);
            if let Ok((stream, _)) = self.listener.accept() {
                received.extend(Self::sent_on(&stream));
            }
        }
        self.listener.set_nonblocking(false).expect("it waits");
        let mut stays = proxy.client();
        stays.send(&request("read", "stays", ""));
        let (stream, _) = self.listener.accept().expect("a connection");
        received.extend(Self::sent_on(&stream));
        assert_eq!(stays.receive().body, b"late");
        received
    }
}

/// Answers on other connections show that the proxy has seen what came before them. One alone may have been found in the
/// same look at the sockets.
pub fn settle(proxy: &Proxy) {
    (0..10).for_each(|_| assert_eq!(proxy.client().exchange(HEALTH_REQUEST).status(), 200));
}

/// Asks on until a request of a client that left now may not be sent on any more.
fn pass_the_bound(proxy: &Proxy) {
    let left = Instant::now();
    while left.elapsed() < BOUND {
        settle(proxy);
    }
}

fn reset(client: Client) {
    SockRef::from(&client.stream).set_linger(Some(Duration::ZERO)).expect("a linger");
}

#[test]
fn request_is_dropped_after_disconnect_during_connect() {
    for (class, resets) in [("read", false), ("submit", false), ("charge", false), ("charge", true)] {
        let (discovery, slow) = (Discovery::start(), Slow::start());
        let name = format!("left-dialling-{class}-{resets}");
        let proxy = Proxy::start(&name, &discovery, &[entry("s-1", slow.address, "active", 0)]);
        let mut leaver = proxy.client();
        leaver.send(&request(class, "leaver", if class == "read" { "" } else { "x" }));
        settle(&proxy);
        if resets {
            reset(leaver);
        } else {
            drop(leaver);
        }
        settle(&proxy);
        assert_eq!(slow.received(&proxy), ["stays"], "{class}");
    }
}

/// The close stands behind bytes of a further request, and the HTTP library does not look behind those.
#[test]
fn detects_disconnect_behind_pipelined_bytes() {
    for more in ["G", "GET /up HTTP/1.1\r\nHost: x\r\n\r\n"] {
        let (discovery, slow) = (Discovery::start(), Slow::start());
        let name = format!("left-pipelining-{}", more.len());
        let proxy = Proxy::start(&name, &discovery, &[entry("s-1", slow.address, "active", 0)]);
        let mut leaver = proxy.client();
        leaver.send(&format!("{}{more}", request("charge", "leaver", "x")));
        settle(&proxy);
        drop(leaver);
        settle(&proxy);
        assert_eq!(slow.received(&proxy), ["stays"], "{more:?}");
    }
}

/// More than is read ahead stands before the close; and a body that is not kept, of which a part has come.
#[test]
fn detects_disconnect_behind_unread_bytes_in_time() {
    for (name, text) in [
        ("left-far-ahead", format!("{}{}", request("charge", "leaver", "x"), "G".repeat(60_000))),
        ("left-in-a-body", request("charge", "leaver", &"y".repeat(2_000_000))[..120_000].to_owned()),
    ] {
        let (discovery, slow) = (Discovery::start(), Slow::start());
        let mut config = config(name, &discovery);
        config["limits"]["memory_mb"] = 8.into();
        let proxy = Proxy::start_with_config(name, &config);
        discovery.post(true, &[entry("s-1", slow.address, "active", 0)]);
        let mut leaver = proxy.client();
        // The kernel holds all of it: where it can't, the close does not arrive and nobody can know of it.
        leaver.send(&text);
        settle(&proxy);
        drop(leaver);
        pass_the_bound(&proxy);
        assert_eq!(slow.received(&proxy), ["stays"], "{name}");
    }
}

/// It wrote and closed while the process stood, or while it stood in the kernel's queue: the request and the close are
/// found in the same look.
#[test]
fn request_is_dropped_after_disconnect_before_it_is_read() {
    for (class, resets) in CLASSES.into_iter().flat_map(|class| [(class, false), (class, true)]) {
        let discovery = Discovery::start();
        let backend = Backend::start(|_| ok("there"));
        let name = format!("left-unheard-{class}-{resets}");
        let proxy = Proxy::start(&name, &discovery, &[entry("s-1", backend.address, "active", 0)]);
        for (turn, connected) in [false, true].into_iter().enumerate() {
            let before = connected.then(|| {
                let mut client = proxy.client();
                assert_eq!(client.exchange(HEALTH_REQUEST).status(), 200);
                client
            });
            proxy.signal("-STOP");
            let mut leaver = before.unwrap_or_else(|| proxy.client());
            let body = if class == "read" { "" } else { "x" };
            leaver.send(&request(class, &format!("leaver-{turn}"), body));
            if resets {
                reset(leaver);
            } else {
                drop(leaver);
            }
            proxy.signal("-CONT");
            settle(&proxy);
            let id = format!("stays-{turn}");
            assert_eq!(proxy.client().exchange(&request(class, &id, body)).status(), 200);
            assert_eq!(
                backend.next_request().header("x-correlation-id"),
                Some(id.as_str()),
                "{class} {connected}"
            );
        }
    }
}

/// Whoever ends the sending looks the same from here as whoever closes, and counts as left: its request is not sent on.
/// But it may wait for an answer, and gets one at once.
#[test]
fn half_closed_client_gets_a_response_and_no_attempt() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| BackendAction::Hang);
    let proxy = Proxy::start("half-closed", &discovery, &[entry("s-1", backend.address, "active", 0)]);
    // Before it was heard: nothing ran.
    proxy.signal("-STOP");
    let mut early = proxy.client();
    early.send(&request("charge", "early", "x"));
    early.stream.shutdown(Shutdown::Write).expect("it ends its sending");
    proxy.signal("-CONT");
    assert_eq!(early.receive().status(), 503);
    assert!(early.is_closed_cleanly());
    // While its request runs: it may have.
    let mut late = proxy.client();
    late.send(&request("charge", "late", "x"));
    assert_eq!(backend.next_request().header("x-correlation-id"), Some("late"));
    late.stream.shutdown(Shutdown::Write).expect("it ends its sending");
    assert_eq!(late.receive().status(), 502);
    assert!(late.is_closed_cleanly());
    assert_eq!(backend.take_request_count(), 0);
}

/// It left while its attempt runs, and comes again with the same key: the second is a request of its own, and the first
/// attempt is not cut off.
#[test]
fn client_that_reconnects_with_its_key_is_served() {
    let discovery = Discovery::start();
    let (release, word) = std::sync::mpsc::channel();
    let mut word = Some(word);
    let backend = Backend::start(move |_| match word.take() {
        Some(word) => BackendAction::WaitThen(word, Box::new(ok("first"))),
        None => ok("again"),
    });
    let proxy = Proxy::start("comes-again", &discovery, &[entry("s-1", backend.address, "active", 0)]);
    let text = request("submit", "first", "x");
    let mut leaver = proxy.client();
    leaver.send(&text);
    backend.next_request();
    drop(leaver);
    settle(&proxy);
    let again = text.replace("Correlation-Id: first", "Correlation-Id: second");
    assert_eq!(proxy.client().exchange(&again).body, b"again");
    assert_eq!(backend.next_request().header("idempotency-key"), Some("first"));
    release.send(()).expect("the backend waits");
}

/// The connection came up and the client left, both while the process stood: it finds both in the same look.
#[test]
fn connection_established_during_a_stall_carries_no_abandoned_request() {
    let mut broken = Vec::new();
    for (class, leaves_first) in CLASSES.into_iter().flat_map(|class| [(class, false), (class, true)]) {
        let (discovery, slow) = (Discovery::start(), Slow::start());
        let name = format!("left-dialled-{class}-{leaves_first}");
        let proxy = Proxy::start(&name, &discovery, &[entry("s-1", slow.address, "active", 0)]);
        let mut leaver = proxy.client();
        leaver.send(&request(class, "leaver", if class == "read" { "" } else { "x" }));
        settle(&proxy);
        proxy.signal("-STOP");
        let mut leaver = Some(leaver);
        if leaves_first {
            drop(leaver.take());
        }
        drop(slow.listener.accept().expect("the filler"));
        let (came_up, _) = slow.listener.accept().expect("the connection that was tried again");
        drop(leaver);
        std::thread::sleep(BOUND);
        proxy.signal("-CONT");
        settle(&proxy);
        let mut stays = proxy.client();
        stays.send(&request("read", "stays", ""));
        // The connection may be kept for whoever comes next, or may have been closed.
        let first = Slow::sent_on(&came_up)
            .or_else(|| Slow::sent_on(&slow.listener.accept().expect("another connection").0));
        if first.as_deref() != Some("stays") {
            broken.push((class, leaves_first, first));
        }
    }
    assert!(broken.is_empty(), "{broken:?}");
}

/// Further requests stand behind the open one, few or more than is read ahead; the answer to that is small, or so large
/// that it is passed on and never taken.
#[test]
fn no_pipelined_request_starts_after_disconnect() {
    for (name, padding, size, stands) in [
        ("several", 0, 5, false),
        ("several-stood", 0, 5, true),
        ("several-far", 20_000, 5, false),
        ("several-far-stood", 20_000, 5, true),
        ("several-passing", 0, 8_000_000, false),
        ("several-passing-stood", 0, 8_000_000, true),
    ] {
        let discovery = Discovery::start();
        let (release, word) = channel();
        let mut word = Some(word);
        let backend = Backend::start(move |_| match word.take() {
            Some(word) => BackendAction::WaitThen(
                word,
                Box::new(BackendAction::Write(response_bytes("200 OK", "", &vec![b'z'; size]))),
            ),
            None => ok("there"),
        });
        let proxy = Proxy::start(name, &discovery, &[entry("s-1", backend.address, "active", 0)]);
        let mut leaver = proxy.client();
        leaver.send(&request("charge", "open", "x"));
        backend.next_request();
        (0..3).for_each(|n| leaver.send(&request("charge", &format!("behind-{n}"), &"y".repeat(padding))));
        settle(&proxy);
        if stands {
            proxy.signal("-STOP");
        }
        drop(leaver);
        std::thread::sleep(BOUND);
        release.send(()).expect("the backend waits");
        std::thread::sleep(BOUND);
        proxy.signal("-CONT");
        settle(&proxy);
        assert_eq!(proxy.client().exchange(&request("charge", "stays", "x")).status(), 200);
        assert_eq!(backend.next_request().header("x-correlation-id"), Some("stays"), "{name}");
        assert_eq!(backend.take_request_count(), 0, "{name}");
    }
}

/// Answers that are being passed on hold their clients' connections, and beyond the cap others wait in the kernel's queue:
/// whoever wrote and left there is not sent on once there is room.
#[test]
fn request_is_dropped_after_disconnect_in_the_listener_queue() {
    let discovery = Discovery::start();
    let (backend, releases) = full_backend();
    let mut config = config("left-queued", &discovery);
    config["limits"]["sockets"] = 48.into();
    let proxy = Proxy::start_with_config("left-queued", &config);
    discovery.post(true, &[entry("s-1", backend.address, "active", 0)]);
    let mut first = fill(&proxy, &backend);
    // Open requests never make room; those that find none in the backend wait for it.
    let waiting: Vec<_> = (0..48)
        .map(|n| {
            let mut client = proxy.client();
            client.send(&request("read", &format!("waits-{n}"), ""));
            client
        })
        .collect();
    std::thread::sleep(BOUND);
    let leavers = (0..6).map(|n| {
        let mut leaver = proxy.client();
        leaver.send(&request("charge", &format!("leaver-{n}"), "x"));
        leaver
    });
    drop(leavers.collect::<Vec<_>>());
    std::thread::sleep(BOUND);
    for (release, client) in releases.iter().zip(first.iter_mut().rev()) {
        release.send(()).expect("the backend waits");
        assert_eq!(client.receive().status(), 200);
    }
    drop(first);
    waiting.into_iter().for_each(|mut client| assert!(matches!(client.receive().status(), 200 | 503)));
    assert_eq!(proxy.client().exchange(&request("charge", "stays", "x")).status(), 200);
    let ids: Vec<_> = backend
        .requests
        .try_iter()
        .map(|received| received.header("x-correlation-id").expect("an id").to_owned())
        .collect();
    assert!(ids.iter().all(|id| !id.starts_with("leaver")), "{ids:?}");
}
