//! Backends that fail at each point of an exchange, and settings that change while connections are open.

use crate::support::*;
use std::io::{BufRead, BufReader, Read};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::Duration;

/// At an idle limit of 0 no connection is reused, and a change applies to open connections.
#[test]
fn idle_limit_follows_the_settings() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("there"));
    let mut proxy = Proxy::start("idle-limit", &discovery, &[entry("s-1", backend.address, "active", 0)]);
    let ask = |proxy: &Proxy, id: &str| {
        assert_eq!(proxy.client().exchange(&request("charge", id, "x")).status(), 200);
        backend.next_request().connection
    };
    let (first, second) = (ask(&proxy, "1"), ask(&proxy, "2"));
    assert_eq!(first, second, "an open connection is reused");
    let mut changed = config("idle-limit", &discovery);
    changed["settings"]["permissions"]["connIdleUs"] = 0.into();
    proxy.reload(&changed.to_string());
    proxy.wait_for_log("reloaded the configuration");
    let (third, fourth) = (ask(&proxy, "3"), ask(&proxy, "4"));
    assert!(third != second && fourth != third, "{second} {third} {fourth}");
    proxy.reload(&config("idle-limit", &discovery).to_string());
    proxy.wait_for_log("reloaded the configuration");
    let (fifth, sixth) = (ask(&proxy, "5"), ask(&proxy, "6"));
    assert_eq!(fifth, sixth);
}

/// Settings that only a restart applies are logged at each reload while they differ from those in force.
#[test]
fn names_settings_that_require_a_restart() {
    let discovery = Discovery::start();
    let mut proxy = Proxy::start("stays", &discovery, &[]);
    let mut changed = config("stays", &discovery);
    changed["settings"]["failureDomains"] = serde_json::json!(["a", "b"]);
    changed["settings"]["kinds"] = serde_json::json!(["n"]);
    for _ in 0..2 {
        proxy.reload(&changed.to_string());
        let line = proxy.wait_for_log("settings that require a restart were not applied");
        assert!(line.contains("settings.failureDomains settings.kinds"), "{line}");
        proxy.wait_for_log("reloaded the configuration");
    }
    // Settings that are in force again are not named.
    proxy.reload(&config("stays", &discovery).to_string());
    proxy.wait_for_log("reloaded the configuration");
    proxy.terminate();
    let log = proxy.remaining_log();
    assert!(!log.contains("settings that require a restart were not applied"), "{log}");
}

/// Where a backend ends the exchange.
#[derive(Clone, Copy, Debug)]
enum BreakPoint {
    /// Before reading anything.
    Start,
    /// After reading a part of the request's head.
    WithinRequestHead,
    /// After reading the head, while a large body is being sent.
    WithinRequestBody,
    /// After reading the complete request.
    AfterRequest,
    /// After writing a part of the response's head.
    WithinResponseHead,
    /// After writing a part of the response's body.
    WithinResponseBody,
}

const BREAK_POINTS: [BreakPoint; 6] = [
    BreakPoint::Start,
    BreakPoint::WithinRequestHead,
    BreakPoint::WithinRequestBody,
    BreakPoint::AfterRequest,
    BreakPoint::WithinResponseHead,
    BreakPoint::WithinResponseBody,
];

/// How a connection ends.
#[derive(Clone, Copy, Debug)]
enum ConnectionEnd {
    Close,
    Reset,
    /// The backend shuts down its sending side and continues to read.
    HalfClose,
}

/// A backend that fails at this point, and reports the id of each request that it read completely.
fn start_failing_backend(
    break_point: BreakPoint,
    connection_end: ConnectionEnd,
    sender: Sender<String>,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (Ok(stream), sender) = (stream, sender.clone()) else { return };
            thread::spawn(move || fail_connection(&stream, break_point, connection_end, &sender));
        }
    });
    address
}

fn fail_connection(
    stream: &TcpStream,
    break_point: BreakPoint,
    connection_end: ConnectionEnd,
    sender: &Sender<String>,
) -> Option<()> {
    stream.set_read_timeout(Some(TEST_TIMEOUT)).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    match break_point {
        BreakPoint::Start => {}
        BreakPoint::WithinRequestHead => {
            reader.read_line(&mut String::new()).ok()?;
        }
        BreakPoint::WithinRequestBody => {
            let mut head = String::new();
            while !head.ends_with("\r\n\r\n") {
                reader.read_line(&mut head).ok().filter(|&read| read > 0)?;
            }
        }
        BreakPoint::AfterRequest | BreakPoint::WithinResponseHead | BreakPoint::WithinResponseBody => {
            let request = read_message(&mut reader)?;
            sender.send(request.header("x-correlation-id")?.to_owned()).ok()?;
        }
    }
    match break_point {
        BreakPoint::WithinResponseHead => write_bytes(stream, b"HTTP/1.1 200 O"),
        BreakPoint::WithinResponseBody => {
            write_bytes(stream, b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
        }
        _ => true,
    };
    match connection_end {
        ConnectionEnd::Close => {}
        ConnectionEnd::Reset => socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO)).ok()?,
        ConnectionEnd::HalfClose => {
            stream.shutdown(Shutdown::Write).ok()?;
            let _ = reader.read_to_end(&mut Vec::new());
        }
    }
    Some(())
}

/// An unsafe request never reaches two backends completely, and is never retried after one may have started it, wherever
/// and however the first one fails.
#[test]
fn unsafe_request_reaches_at_most_one_backend_completely() {
    for (index, break_point) in BREAK_POINTS.into_iter().enumerate() {
        for connection_end in [ConnectionEnd::Close, ConnectionEnd::Reset, ConnectionEnd::HalfClose] {
            let discovery = Discovery::start();
            let (sender, completed): (_, Receiver<String>) = channel();
            let members: Vec<_> = (0..2)
                .map(|i| {
                    entry(
                        &format!("s-{i}"),
                        start_failing_backend(break_point, connection_end, sender.clone()),
                        "active",
                        0,
                    )
                })
                .collect();
            let name = format!("breaks-{index}-{connection_end:?}");
            let proxy = Proxy::start(&name, &discovery, &members);
            let body =
                "y".repeat(if matches!(break_point, BreakPoint::WithinRequestBody) { 60_000 } else { 1 });
            for round in 0..3 {
                let id = format!("{round}");
                let got = proxy.client().exchange(&request("charge", &id, &body));
                assert!(
                    matches!(got.status(), 502 | 503),
                    "{break_point:?} {connection_end:?}: {}",
                    got.status()
                );
                // The id is reported before the failure, and the response follows it.
                let copies = completed.try_iter().filter(|received| *received == id).count();
                let max_copies = usize::from(matches!(
                    break_point,
                    BreakPoint::AfterRequest
                        | BreakPoint::WithinResponseHead
                        | BreakPoint::WithinResponseBody
                ));
                assert!(
                    copies <= max_copies,
                    "{break_point:?} {connection_end:?}: {copies} backends received it completely"
                );
                assert!(
                    got.status() == 502 || copies == 0,
                    "{break_point:?} {connection_end:?}: rejected, and may have run"
                );
            }
        }
    }
}

/// A second response arrives on an idle connection: the next request is sent on another connection and gets its own
/// response.
#[test]
fn second_response_on_an_idle_connection_is_discarded() {
    let discovery = Discovery::start();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (sender, connections) = channel();
    let (write_second, released) = channel::<()>();
    thread::spawn(move || {
        for (number, stream) in listener.incoming().enumerate() {
            let Ok(stream) = stream else { return };
            let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
            let Some(request) = read_message(&mut reader) else { return };
            let id = request.header("x-correlation-id").expect("an id").to_owned();
            write_bytes(&stream, &response_bytes("200 OK", "", id.as_bytes()));
            let _ = sender.send((number, id.clone()));
            if released.recv().is_err() {
                return;
            }
            write_bytes(&stream, &response_bytes("200 OK", "", format!("{id} again").as_bytes()));
            let _ = sender.send((number, id));
            // The connection stays open while the next one is served.
            std::mem::forget(stream);
        }
    });
    let proxy = Proxy::start("second-answer", &discovery, &[entry("s-1", address, "active", 0)]);
    for (round, id) in ["a", "b", "c"].into_iter().enumerate() {
        assert_eq!(proxy.client().exchange(&request("charge", id, "x")).body, id.as_bytes());
        let received = connections.recv_timeout(TEST_TIMEOUT).expect("it came");
        assert_eq!(received, (round, id.to_owned()), "on a connection of its own");
        write_second.send(()).expect("the backend waits");
        connections.recv_timeout(TEST_TIMEOUT).expect("the second answer is written");
    }
}

/// An idle limit shorter than the safety margin: connections are reused for half of the limit, and never later.
#[test]
fn does_not_reuse_connections_beyond_a_short_idle_limit() {
    const IDLE: Duration = Duration::from_millis(800);
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("there"));
    let mut config = config("short-idle", &discovery);
    config["settings"]["permissions"]["connIdleUs"] = 800_000.into();
    let proxy = Proxy::start_with_config("short-idle", &config);
    discovery.post(true, &[entry("s-1", backend.address, "active", 0)]);
    let ask = |id: &str| {
        assert_eq!(proxy.client().exchange(&request("charge", id, "x")).status(), 200);
        backend.next_request().connection
    };
    let mut used = 0;
    for round in 0..3 {
        let began = std::time::Instant::now();
        let (first, second) = (ask(&format!("a-{round}")), ask(&format!("b-{round}")));
        // On a busy machine more than half of the limit may have passed between the two.
        let quick = began.elapsed() < IDLE / 2;
        assert!(!quick || first == second, "it was idle for less");
        used += usize::from(quick);
        thread::sleep(IDLE / 2);
        assert!(ask(&format!("c-{round}")) > second, "it was idle for half of the limit");
    }
    assert!(used > 0, "the machine is too busy to tell");
}

/// A retryable class becomes unsafe while a request of it is in flight. That request keeps its rules; later ones are sent
/// once.
#[test]
fn class_that_becomes_unsafe_applies_to_later_requests() {
    let discovery = Discovery::start();
    let (release, released) = channel::<()>();
    let released = std::sync::Arc::new(std::sync::Mutex::new(Some(released)));
    let backends = [0, 1].map(|_| {
        let released = std::sync::Arc::clone(&released);
        Backend::start(move |received| {
            let breaks = || Box::new(BackendAction::WriteAndClose(Vec::new()));
            match received.header("x-correlation-id") {
                Some("before") => match released.lock().expect("a word").take() {
                    Some(released) => BackendAction::WaitThen(released, breaks()),
                    None => ok("again"),
                },
                Some("after") => *breaks(),
                _ => ok("there"),
            }
        })
    });
    let proxy_config = config("turns-unsafe", &discovery);
    let mut proxy = Proxy::start_with_config("turns-unsafe", &proxy_config.clone());
    discovery.post(true, &[0, 1].map(|i| entry(&format!("s-{i}"), backends[i].address, "active", 0)));
    let mut before = proxy.client();
    before.send(&request("submit", "before", "x"));
    while released.lock().expect("a word").is_some() {
        thread::yield_now();
    }
    let mut changed = proxy_config;
    changed["settings"]["classes"][1]["effect"] = "fragile".into();
    proxy.reload(&changed.to_string());
    proxy.wait_for_log("reloaded the configuration");
    release.send(()).expect("the backend waits");
    assert_eq!(before.receive().body, b"again", "it was accepted with a key");
    // Without a key the request is valid only under the new settings.
    let after = request("submit", "after", "x").replace("Idempotency-Key: after\r\n", "");
    assert_eq!(proxy.client().exchange(&after).status(), 502, "it may have run");
    assert_eq!(proxy.client().exchange(&request("read", "last", "")).status(), 200);
    let received = backends.iter().flat_map(|b| b.requests.try_iter());
    let ids: Vec<_> =
        received.filter_map(|received| received.header("x-correlation-id").map(str::to_owned)).collect();
    let copies = |wanted: &str| ids.iter().filter(|id| *id == wanted).count();
    assert_eq!((copies("before"), copies("after")), (2, 1), "{ids:?}");
}

/// During a stall the response arrives and then the attempt times out: the response counts, the request is not retried, and
/// the backend has no fault.
#[test]
fn response_received_during_a_stall_precedes_the_time_out() {
    /// A first attempt times out after a quarter of this, which is shorter than the stall.
    const LATENCY_OBJECTIVE_US: u64 = 2_400_000;
    const STALL: Duration = Duration::from_secs(1);
    let discovery = Discovery::start();
    let (release, released) = channel::<()>();
    let released = std::sync::Arc::new(std::sync::Mutex::new(Some(released)));
    let backends = [0, 1].map(|_| {
        let released = std::sync::Arc::clone(&released);
        Backend::start(move |received| {
            let first = || released.lock().expect("a word").take();
            match (received.header("x-correlation-id") == Some("late")).then(first).flatten() {
                Some(released) => BackendAction::WaitThen(released, Box::new(ok("first"))),
                None => ok("there"),
            }
        })
    });
    let mut config = config("stood-answer", &discovery);
    config["settings"]["classes"][0]["aimUs"] = LATENCY_OBJECTIVE_US.into();
    let proxy = Proxy::start_with_config("stood-answer", &config);
    discovery.post(true, &[0, 1].map(|i| entry(&format!("s-{i}"), backends[i].address, "active", 0)));
    for n in 0..8 {
        assert_eq!(proxy.client().exchange(&request("read", &format!("usual-{n}"), "")).status(), 200);
    }
    let mut client = proxy.client();
    client.send(&request("read", "late", ""));
    while released.lock().expect("a word").is_some() {
        thread::yield_now();
    }
    proxy.signal("-STOP");
    release.send(()).expect("the backend waits");
    thread::sleep(STALL);
    proxy.signal("-CONT");
    assert_eq!(client.receive().body, b"first");
    let received = backends.iter().flat_map(|b| b.requests.try_iter());
    assert_eq!(received.filter(|received| received.header("x-correlation-id") == Some("late")).count(), 1);
}
