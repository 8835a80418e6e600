//! Backends that fail at each point of an exchange, and settings that change while connections are open or
//! requests are in flight.

use crate::support::*;
use std::io::{BufRead, BufReader, Read};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::Duration;

/// With an idle limit of 0 no connection is reused, and a changed limit applies to open connections.
#[test]
fn idle_limit_follows_the_settings() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok_response("there"));
    let mut proxy =
        Proxy::start("idle-limit", &discovery, &[backend_entry("s-1", backend.address, "active", 0)]);
    let send_and_get_connection = |proxy: &Proxy, id: &str| {
        assert_eq!(proxy.client().exchange(&request("charge", id, "x")).status(), 200);
        backend.next_request().connection
    };
    let (first, second) = (send_and_get_connection(&proxy, "1"), send_and_get_connection(&proxy, "2"));
    assert_eq!(first, second, "an open connection must be reused");
    let mut changed = proxy_config("idle-limit", &discovery);
    changed["settings"]["permissions"]["connIdleUs"] = 0.into();
    proxy.reload(&changed.to_string());
    proxy.wait_for_log("reloaded the configuration");
    let (third, fourth) = (send_and_get_connection(&proxy, "3"), send_and_get_connection(&proxy, "4"));
    assert!(third != second && fourth != third, "{second} {third} {fourth}");
    proxy.reload(&proxy_config("idle-limit", &discovery).to_string());
    proxy.wait_for_log("reloaded the configuration");
    let (fifth, sixth) = (send_and_get_connection(&proxy, "5"), send_and_get_connection(&proxy, "6"));
    assert_eq!(fifth, sixth);
}

/// Settings that only a restart can apply are logged at each reload, as long as they differ from those in
/// force.
#[test]
fn logs_settings_that_require_a_restart() {
    let discovery = Discovery::start();
    let mut proxy = Proxy::start("stays", &discovery, &[]);
    let mut changed = proxy_config("stays", &discovery);
    changed["settings"]["failureDomains"] = serde_json::json!(["a", "b"]);
    changed["settings"]["kinds"] = serde_json::json!(["n"]);
    for _ in 0..2 {
        proxy.reload(&changed.to_string());
        let line = proxy.wait_for_log("settings that require a restart were not applied");
        assert!(line.contains("settings.failureDomains settings.kinds"), "{line}");
        proxy.wait_for_log("reloaded the configuration");
    }
    // Settings that equal those in force again are not logged.
    proxy.reload(&proxy_config("stays", &discovery).to_string());
    proxy.wait_for_log("reloaded the configuration");
    proxy.terminate();
    let log = proxy.remaining_log();
    assert!(!log.contains("settings that require a restart were not applied"), "{log}");
}

/// The point of the exchange at which a backend ends the connection.
#[derive(Clone, Copy, Debug)]
enum BreakPoint {
    /// Before it reads anything.
    Start,
    /// After it has read a part of the request head.
    WithinRequestHead,
    /// After it has read the head, while the proxy sends a large body.
    WithinRequestBody,
    /// After it has read the complete request.
    AfterRequest,
    /// After it has written a part of the response head.
    WithinResponseHead,
    /// After it has written a part of the response body.
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

/// How a backend ends a connection.
#[derive(Clone, Copy, Debug)]
enum ConnectionEnd {
    Close,
    Reset,
    /// The backend shuts down its sending side and reads until the proxy closes.
    HalfClose,
}

/// Starts a backend that fails at this point. It reports the id of each request that it has read completely.
fn start_failing_backend(
    break_point: BreakPoint,
    connection_end: ConnectionEnd,
    sender: Sender<String>,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
    let address = listener.local_addr().expect("local address");
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

/// A non-idempotent request never reaches two backends completely, and is never retried after a backend may
/// have started to process it, at whichever point and in whichever way the first backend fails.
#[test]
fn non_idempotent_request_reaches_at_most_one_backend_completely() {
    for (index, break_point) in BREAK_POINTS.into_iter().enumerate() {
        for connection_end in [ConnectionEnd::Close, ConnectionEnd::Reset, ConnectionEnd::HalfClose] {
            let discovery = Discovery::start();
            let (sender, complete_requests): (_, Receiver<String>) = channel();
            let members: Vec<_> = (0..2)
                .map(|i| {
                    backend_entry(
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
                let response = proxy.client().exchange(&request("charge", &id, &body));
                assert!(
                    matches!(response.status(), 502 | 503),
                    "{break_point:?} {connection_end:?}: {}",
                    response.status()
                );
                // The backend reports the id before it fails, and the response follows the failure.
                let copies = complete_requests.try_iter().filter(|received| *received == id).count();
                let max_copies = usize::from(matches!(
                    break_point,
                    BreakPoint::AfterRequest
                        | BreakPoint::WithinResponseHead
                        | BreakPoint::WithinResponseBody
                ));
                assert!(
                    copies <= max_copies,
                    "{break_point:?} {connection_end:?}: {copies} backends received the complete request"
                );
                assert!(
                    response.status() == 502 || copies == 0,
                    "{break_point:?} {connection_end:?}: rejected although it may have run"
                );
            }
        }
    }
}

/// A second response arrives on an idle connection. The next request must be sent on another connection and
/// get its own response.
#[test]
fn second_response_on_an_idle_connection_is_discarded() {
    let discovery = Discovery::start();
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
    let address = listener.local_addr().expect("local address");
    let (sender, connections) = channel();
    let (write_second_response, released) = channel::<()>();
    thread::spawn(move || {
        for (number, stream) in listener.incoming().enumerate() {
            let Ok(stream) = stream else { return };
            let mut reader = BufReader::new(stream.try_clone().expect("clone the stream"));
            let Some(request) = read_message(&mut reader) else { return };
            let id = request.header("x-correlation-id").expect("a correlation id").to_owned();
            write_bytes(&stream, &response_bytes("200 OK", "", id.as_bytes()));
            let _ = sender.send((number, id.clone()));
            if released.recv().is_err() {
                return;
            }
            write_bytes(&stream, &response_bytes("200 OK", "", format!("{id} again").as_bytes()));
            let _ = sender.send((number, id));
            // Leaves the connection open while the next one is served.
            std::mem::forget(stream);
        }
    });
    let proxy = Proxy::start("second-answer", &discovery, &[backend_entry("s-1", address, "active", 0)]);
    for (round, id) in ["a", "b", "c"].into_iter().enumerate() {
        assert_eq!(proxy.client().exchange(&request("charge", id, "x")).body, id.as_bytes());
        let received = connections.recv_timeout(TEST_TIMEOUT).expect("a report of the request");
        assert_eq!(received, (round, id.to_owned()), "each request must be sent on a connection of its own");
        write_second_response.send(()).expect("signal the backend");
        connections.recv_timeout(TEST_TIMEOUT).expect("a report of the second response");
    }
}

/// With an idle limit shorter than the safety margin, connections are reused for half of the limit and never
/// later.
#[test]
fn does_not_reuse_connections_beyond_a_short_idle_limit() {
    const IDLE_LIMIT: Duration = Duration::from_millis(800);
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok_response("there"));
    let mut config = proxy_config("short-idle", &discovery);
    config["settings"]["permissions"]["connIdleUs"] = 800_000.into();
    let proxy = Proxy::start_with_config("short-idle", &config);
    discovery.publish_and_wait(true, &[backend_entry("s-1", backend.address, "active", 0)]);
    let send_and_get_connection = |id: &str| {
        assert_eq!(proxy.client().exchange(&request("charge", id, "x")).status(), 200);
        backend.next_request().connection
    };
    let mut checked_reuses = 0;
    for round in 0..3 {
        let started_at = std::time::Instant::now();
        let (first, second) =
            (send_and_get_connection(&format!("a-{round}")), send_and_get_connection(&format!("b-{round}")));
        // On a busy machine more than half of the limit may have passed between the two requests.
        let within_reuse_limit = started_at.elapsed() < IDLE_LIMIT / 2;
        assert!(
            !within_reuse_limit || first == second,
            "a connection must be reused within half of the limit"
        );
        checked_reuses += usize::from(within_reuse_limit);
        thread::sleep(IDLE_LIMIT / 2);
        assert!(
            send_and_get_connection(&format!("c-{round}")) > second,
            "a connection must not be reused after half of the limit"
        );
    }
    assert!(checked_reuses > 0, "the machine was too busy to check any reuse");
}

/// A keyed class becomes non-idempotent while a request of it is in flight. That request is still retried by
/// its old rules; later requests are sent once.
#[test]
fn class_that_becomes_non_idempotent_applies_to_later_requests() {
    let discovery = Discovery::start();
    let (release, released) = channel::<()>();
    let released = std::sync::Arc::new(std::sync::Mutex::new(Some(released)));
    let backends = [0, 1].map(|_| {
        let released = std::sync::Arc::clone(&released);
        Backend::start(move |received| {
            let close = || Box::new(BackendAction::WriteAndClose(Vec::new()));
            match received.header("x-correlation-id") {
                Some("before") => match released.lock().expect("lock the receiver").take() {
                    Some(released) => BackendAction::WaitForSignalThen(released, close()),
                    None => ok_response("again"),
                },
                Some("after") => *close(),
                _ => ok_response("there"),
            }
        })
    });
    let proxy_config = proxy_config("turns-unsafe", &discovery);
    let mut proxy = Proxy::start_with_config("turns-unsafe", &proxy_config.clone());
    discovery.publish_and_wait(
        true,
        &[0, 1].map(|i| backend_entry(&format!("s-{i}"), backends[i].address, "active", 0)),
    );
    let mut client_before_reload = proxy.client();
    client_before_reload.send(&request("submit", "before", "x"));
    while released.lock().expect("lock the receiver").is_some() {
        thread::yield_now();
    }
    let mut changed = proxy_config;
    changed["settings"]["classes"][1]["effect"] = "fragile".into();
    proxy.reload(&changed.to_string());
    proxy.wait_for_log("reloaded the configuration");
    release.send(()).expect("signal the backend");
    assert_eq!(
        client_before_reload.receive().body,
        b"again",
        "a request accepted with a key must be retried"
    );
    // A request without a key is valid only under the new settings.
    let request_after_reload = request("submit", "after", "x").replace("Idempotency-Key: after\r\n", "");
    assert_eq!(proxy.client().exchange(&request_after_reload).status(), 502, "the request may have run");
    assert_eq!(proxy.client().exchange(&request("read", "last", "")).status(), 200);
    let received = backends.iter().flat_map(|b| b.requests.try_iter());
    let ids: Vec<_> =
        received.filter_map(|received| received.header("x-correlation-id").map(str::to_owned)).collect();
    let attempts = |request_id: &str| ids.iter().filter(|id| *id == request_id).count();
    assert_eq!((attempts("before"), attempts("after")), (2, 1), "{ids:?}");
}

/// While the process is stopped, the response arrives and then the attempt times out. The response is used,
/// the request is not retried, and the backend is not charged with a failure.
#[test]
fn response_received_during_a_stall_precedes_the_timeout() {
    /// Microseconds. A first attempt times out after a quarter of this, which is shorter than [`STALL`].
    const LATENCY_OBJECTIVE_US: u64 = 2_400_000;
    const STALL: Duration = Duration::from_secs(1);
    let discovery = Discovery::start();
    let (release, released) = channel::<()>();
    let released = std::sync::Arc::new(std::sync::Mutex::new(Some(released)));
    let backends = [0, 1].map(|_| {
        let released = std::sync::Arc::clone(&released);
        Backend::start(move |received| {
            let take_release = || released.lock().expect("lock the receiver").take();
            match (received.header("x-correlation-id") == Some("late")).then(take_release).flatten() {
                Some(released) => BackendAction::WaitForSignalThen(released, Box::new(ok_response("first"))),
                None => ok_response("there"),
            }
        })
    });
    let mut config = proxy_config("stood-answer", &discovery);
    config["settings"]["classes"][0]["aimUs"] = LATENCY_OBJECTIVE_US.into();
    let proxy = Proxy::start_with_config("stood-answer", &config);
    discovery.publish_and_wait(
        true,
        &[0, 1].map(|i| backend_entry(&format!("s-{i}"), backends[i].address, "active", 0)),
    );
    for n in 0..8 {
        assert_eq!(proxy.client().exchange(&request("read", &format!("usual-{n}"), "")).status(), 200);
    }
    let mut client = proxy.client();
    client.send(&request("read", "late", ""));
    while released.lock().expect("lock the receiver").is_some() {
        thread::yield_now();
    }
    proxy.signal("-STOP");
    release.send(()).expect("signal the backend");
    thread::sleep(STALL);
    proxy.signal("-CONT");
    assert_eq!(client.receive().body, b"first");
    let received = backends.iter().flat_map(|b| b.requests.try_iter());
    assert_eq!(received.filter(|received| received.header("x-correlation-id") == Some("late")).count(), 1);
}
