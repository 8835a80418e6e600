//! Shutdown: open requests, requests that still arrive, and concurrent signals.

use crate::support::*;
use std::io::{ErrorKind, Read};
use std::sync::mpsc::channel;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// When the platform kills the process: this long after the stop signal and the longest deadline, which counts for at most
/// [`MAX_WAIT`].
const KILL_DELAY: Duration = Duration::from_millis(700);
const MAX_WAIT: Duration = Duration::from_secs(3);

#[test]
fn sigterm_finishes_open_and_arriving_requests() {
    let discovery = Discovery::start();
    let (release, released) = channel();
    let mut released = Some(released);
    let one = Backend::start(move |received| match received.header("x-correlation-id") {
        Some("1") => {
            BackendAction::WaitThen(released.take().expect("asked once"), Box::new(ok("taken before")))
        }
        _ => ok("still comes"),
    });
    let members = [entry("s-1", one.address, "active", 0)];
    let mut proxy = Proxy::start("sigterm", &discovery, &members);
    let (mut idle, mut before) = (proxy.client(), proxy.client());
    assert_eq!(idle.exchange(HEALTH_REQUEST).status(), 200);
    before.send(&request("read", "1", ""));
    one.next_request();
    proxy.terminate();
    // Once /up fails the signal has arrived; connections are still accepted.
    while proxy.client().exchange(HEALTH_REQUEST).status() == 200 {}
    let late = proxy.client().exchange(HEALTH_REQUEST);
    assert_eq!(late.header("connection"), Some("close"));
    assert!(idle.is_closed_cleanly(), "an idle connection is closed, not reset");
    release.send(()).expect("the backend waits");
    let got = before.receive();
    assert_eq!((got.status(), got.body.as_slice()), (200, b"taken before".as_slice()));
    assert_eq!(got.header("connection"), Some("close"));
    assert!(before.is_closed_cleanly());
    drop((idle, before));
    assert_eq!(proxy.wait().code(), Some(0));
}

#[test]
fn restarted_proxy_reuses_its_address() {
    let discovery = Discovery::start();
    // An address that no other test uses: the port stays free in between.
    let mut first = config("first-life", &discovery);
    first["listen"] = "127.77.0.1:0".into();
    let mut proxy = Proxy::start_with_config("first-life", &first);
    let address = proxy.address;
    let mut client = proxy.client();
    assert_eq!(client.exchange(HEALTH_REQUEST).status(), 503);
    proxy.terminate();
    // The proxy closes first, so its side of the connection stays in TIME_WAIT.
    assert!(client.is_closed_cleanly());
    drop(client);
    assert_eq!(proxy.wait().code(), Some(0));
    let mut config = config("second-life", &discovery);
    config["listen"] = address.to_string().into();
    let restarted = Proxy::start_with_config("second-life", &config);
    assert_eq!(restarted.address, address);
    assert_eq!(restarted.client().exchange(HEALTH_REQUEST).status(), 503);
}

/// The status of the response.
fn final_status(client: &mut Client) -> Result<u16, &'static str> {
    read_message(&mut client.reader).map(|received| received.status()).ok_or("no complete response")
}

/// Backends hang, and requests arrive at thirteen moments after the stop signal, on new and on reused connections. Late ones
/// have less time, but each has a response when the process ends, and it ends before the kill.
#[test]
fn requests_during_shutdown_are_answered_before_the_kill() {
    for (millis, kill_after) in [(500, Duration::from_millis(1_200)), (1_000, Duration::from_millis(1_700))] {
        let discovery = Discovery::start();
        let backend = Backend::start(|_| BackendAction::Hang);
        let name = format!("late-{millis}");
        let mut proxy = Proxy::start_with_config(&name, &config_with_deadline(&name, &discovery, millis));
        discovery.post(true, &[entry("s-1", backend.address, "active", 0)]);
        let mut clients: Vec<_> = (0..5).map(|_| proxy.client()).collect();
        for reused in &mut clients {
            assert_eq!(reused.exchange(HEALTH_REQUEST).status(), 200);
        }
        let began = Instant::now();
        proxy.terminate();
        let reused = clients.len();
        for step in 0..13 {
            // The time is part of the scenario.
            sleep((began + Duration::from_millis(60 * step)).saturating_duration_since(Instant::now()));
            let class = ["read", "submit", "charge"][step as usize % 3];
            let text = request(class, &format!("{millis}-{step}"), if class == "read" { "" } else { "x" });
            let mut client = match clients.get_mut(step as usize / 2) {
                Some(client) if step % 2 == 1 && (step as usize / 2) < reused => Client {
                    stream: client.stream.try_clone().expect("a clone"),
                    reader: std::io::BufReader::new(client.stream.try_clone().expect("a clone")),
                },
                _ => proxy.client(),
            };
            client.send(&text);
            clients.push(client);
        }
        let statuses: Vec<_> = clients[reused..].iter_mut().map(final_status).collect();
        assert!(statuses.iter().all(Result::is_ok), "{millis} ms: {statuses:?}");
        drop(clients);
        assert_eq!(proxy.wait().code(), Some(0));
        let took = began.elapsed();
        assert!(took < kill_after, "{millis} ms: it ended after {took:?}");
    }
}

/// The platform waits for 3 s at most, however long clients wait.
#[test]
fn deadline_beyond_the_shutdown_limit_still_gets_a_response() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| BackendAction::Hang);
    let mut proxy = Proxy::start("long", &discovery, &[entry("s-1", backend.address, "active", 0)]);
    let mut client = proxy.client();
    client.send(&request("charge", "1", "x"));
    backend.next_request();
    let began = Instant::now();
    proxy.terminate();
    assert_eq!(final_status(&mut client), Ok(502));
    drop(client);
    assert_eq!(proxy.wait().code(), Some(0));
    let took = began.elapsed();
    assert!(took < MAX_WAIT + KILL_DELAY, "it ended after {took:?}");
}

/// A client connects late and delays its first request, while another client's request keeps the process running.
#[test]
fn new_connection_may_send_its_first_request_during_shutdown() {
    let discovery = Discovery::start();
    let (release, released) = channel();
    let mut released = Some(released);
    let backend = Backend::start(move |_| match released.take() {
        Some(released) => BackendAction::WaitThen(released, Box::new(ok("held"))),
        None => ok("late"),
    });
    let mut proxy = Proxy::start("first-word", &discovery, &[entry("s-1", backend.address, "active", 0)]);
    let (mut idle, mut open) = (proxy.client(), proxy.client());
    assert_eq!(idle.exchange(HEALTH_REQUEST).status(), 200);
    open.send(&request("charge", "held", "x"));
    backend.next_request();
    proxy.terminate();
    assert!(idle.is_closed_cleanly(), "idle connections close now");
    let mut late = proxy.client();
    late.stream.set_read_timeout(Some(Duration::from_millis(150))).expect("a time-out");
    let silence = late.reader.read(&mut [0]).expect_err("it is not closed before it has asked");
    assert!(matches!(silence.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut), "{silence}");
    late.stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
    assert_eq!(late.exchange(&request("read", "late", "")).body, b"late");
    release.send(()).expect("the backend waits");
    assert_eq!(open.receive().body, b"held");
    drop((idle, open, late));
    assert_eq!(proxy.wait().code(), Some(0));
}

/// More clients than the connection limit, all with requests that hang: connections in the kernel's queue when the last open
/// one ends are not reset by the exit.
#[test]
fn accepts_the_listener_queue_before_exit() {
    for round in 0..5 {
        let discovery = Discovery::start();
        let backend = Backend::start(|_| BackendAction::Hang);
        let name = format!("queue-{round}");
        let mut config = config_with_deadline(&name, &discovery, 500);
        config["limits"]["sockets"] = 48.into();
        let mut proxy = Proxy::start_with_config(&name, &config);
        discovery.post(true, &[entry("s-1", backend.address, "active", 0)]);
        let clients = (0..90).map(|id| {
            let mut client = proxy.client();
            client.send(&request("read", &id.to_string(), ""));
            // A client closes after its response.
            std::thread::spawn(move || final_status(&mut client))
        });
        let clients: Vec<_> = clients.collect();
        proxy.terminate();
        let statuses: Vec<_> = clients.into_iter().map(|client| client.join().expect("a client")).collect();
        let unanswered = statuses.iter().filter(|answer| answer.is_err()).count();
        assert_eq!(unanswered, 0, "turn {round}: {statuses:?}");
        assert_eq!(proxy.wait().code(), Some(0));
    }
}

/// Signals that arrive twice, together or one after another.
#[test]
fn concurrent_signals_end_the_process_once_with_code_0() {
    for (round, signals) in
        [["-TERM", "-TERM"], ["-TERM", "-HUP"], ["-HUP", "-TERM"], ["-HUP", "-HUP"]].into_iter().enumerate()
    {
        for together in [false, true] {
            let discovery = Discovery::start();
            let (release, released) = channel();
            let mut released = Some(released);
            let backend = Backend::start(move |_| {
                BackendAction::WaitThen(released.take().expect("once"), Box::new(ok("held")))
            });
            let name = format!("signals-{round}-{together}");
            let mut proxy = Proxy::start(&name, &discovery, &[entry("s-1", backend.address, "active", 0)]);
            let mut open = proxy.client();
            open.send(&request("charge", "held", "x"));
            backend.next_request();
            if together {
                proxy.signal("-STOP");
            }
            for signal in signals {
                proxy.signal(signal);
            }
            if together {
                proxy.signal("-CONT");
            }
            if !signals.contains(&"-TERM") {
                proxy.wait_for_log("reloaded the configuration");
                proxy.terminate();
            }
            while proxy.client().exchange(HEALTH_REQUEST).status() == 200 {}
            release.send(()).expect("the backend waits");
            assert_eq!(open.receive().body, b"held", "{signals:?}");
            drop(open);
            assert_eq!(proxy.wait().code(), Some(0), "{signals:?}");
        }
    }
}

#[test]
fn shutdown_before_the_first_list_answers_and_ends() {
    let discovery = Discovery::start();
    let mut proxy = Proxy::start_without_list("no-list", &discovery);
    let mut client = proxy.client();
    client.send(&request("read", "1", "").replace("15000", "2000"));
    proxy.terminate();
    assert_eq!(final_status(&mut client), Ok(503));
    drop(client);
    assert_eq!(proxy.wait().code(), Some(0));
}

/// During a stall the idle time of a connection passes, and a request arrives on it.
#[test]
fn reads_requests_received_during_a_stall_before_closing_idle_connections() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("read"));
    let proxy = Proxy::start("stood", &discovery, &[entry("s-1", backend.address, "active", 0)]);
    let mut clients: Vec<_> = (0..20).map(|_| proxy.client()).collect();
    for client in &mut clients {
        assert_eq!(client.exchange(HEALTH_REQUEST).status(), 200);
    }
    proxy.signal("-STOP");
    for (id, client) in clients.iter_mut().enumerate() {
        client.send(&request("read", &id.to_string(), ""));
    }
    // Longer than the idle time, 2.5 s.
    sleep(Duration::from_millis(2_600));
    proxy.signal("-CONT");
    let statuses: Vec<_> = clients.iter_mut().map(final_status).collect();
    assert!(statuses.iter().all(|answer| matches!(answer, Ok(200 | 503))), "{statuses:?}");
}
