//! The end of a process: what it took, what still comes, and signals that cross.

use crate::support::*;
use std::io::{ErrorKind, Read};
use std::sync::mpsc::channel;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// When the platform kills a process that was told to end: so long after the longest deadline, 3 s at most.
const KILL_DELAY: Duration = Duration::from_millis(700);
const LONGEST: Duration = Duration::from_secs(3);

#[test]
fn sigterm_finishes_open_and_arriving_requests() {
    let discovery = Discovery::start();
    let (release, word) = channel();
    let mut word = Some(word);
    let one = Backend::start(move |received| match received.header("x-correlation-id") {
        Some("1") => BackendAction::WaitThen(word.take().expect("asked once"), Box::new(ok("taken before"))),
        _ => ok("still comes"),
    });
    let members = [entry("s-1", one.address, "active", 0)];
    let mut proxy = Proxy::start("sigterm", &discovery, &members);
    let (mut idle, mut before) = (proxy.client(), proxy.client());
    assert_eq!(idle.exchange(HEALTH_REQUEST).status(), 200);
    before.send(&request("read", "1", ""));
    one.next_request();
    proxy.terminate();
    // Once /up says so, the signal has arrived; connections are still accepted.
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
    // An address of its own: no other test can be given the port in between.
    let mut first = config("first-life", &discovery);
    first["listen"] = "127.77.0.1:0".into();
    let mut proxy = Proxy::start_with_config("first-life", &first);
    let address = proxy.address;
    let mut client = proxy.client();
    assert_eq!(client.exchange(HEALTH_REQUEST).status(), 503);
    proxy.terminate();
    // The proxy closes first, so the kernel keeps its side of the connection for a while.
    assert!(client.is_closed_cleanly());
    drop(client);
    assert_eq!(proxy.wait().code(), Some(0));
    let mut config = config("second-life", &discovery);
    config["listen"] = address.to_string().into();
    let again = Proxy::start_with_config("second-life", &config);
    assert_eq!(again.address, address);
    assert_eq!(again.client().exchange(HEALTH_REQUEST).status(), 503);
}

/// Its final answer, whatever it is; the reason where there is none.
fn final_answer(client: &mut Client) -> Result<u16, &'static str> {
    read_message(&mut client.reader).map(|received| received.status()).ok_or("no whole answer")
}

/// Backends hang, and requests come at thirteen moments from the signal on, on new connections and on kept ones. Whoever
/// comes late has less time, but nobody is left without an answer when the process ends, and it ends before it is killed.
#[test]
fn requests_during_shutdown_are_answered_before_the_kill() {
    for (millis, killed) in [(500, Duration::from_millis(1_200)), (1_000, Duration::from_millis(1_700))] {
        let discovery = Discovery::start();
        let backend = Backend::start(|_| BackendAction::Hang);
        let name = format!("late-{millis}");
        let mut proxy = Proxy::start_with_config(&name, &config_with_deadline(&name, &discovery, millis));
        discovery.post(true, &[entry("s-1", backend.address, "active", 0)]);
        let mut clients: Vec<_> = (0..5).map(|_| proxy.client()).collect();
        clients.iter_mut().for_each(|kept| assert_eq!(kept.exchange(HEALTH_REQUEST).status(), 200));
        let began = Instant::now();
        proxy.terminate();
        let kept = clients.len();
        for at in 0..13 {
            // The moments are what is played; nothing waits for them.
            sleep((began + Duration::from_millis(60 * at)).saturating_duration_since(Instant::now()));
            let class = ["read", "submit", "charge"][at as usize % 3];
            let text = request(class, &format!("{millis}-{at}"), if class == "read" { "" } else { "x" });
            let mut client = match clients.get_mut(at as usize / 2) {
                Some(client) if at % 2 == 1 && (at as usize / 2) < kept => Client {
                    stream: client.stream.try_clone().expect("a clone"),
                    reader: std::io::BufReader::new(client.stream.try_clone().expect("a clone")),
                },
                _ => proxy.client(),
            };
            client.send(&text);
            clients.push(client);
        }
        let answers: Vec<_> = clients[kept..].iter_mut().map(final_answer).collect();
        assert!(answers.iter().all(Result::is_ok), "{millis} ms: {answers:?}");
        drop(clients);
        assert_eq!(proxy.wait().code(), Some(0));
        let took = began.elapsed();
        assert!(took < killed, "{millis} ms: it ended after {took:?}");
    }
}

/// The platform gives 3 s at most, however long clients would wait.
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
    assert_eq!(final_answer(&mut client), Ok(502));
    drop(client);
    assert_eq!(proxy.wait().code(), Some(0));
    let took = began.elapsed();
    assert!(took < LONGEST + KILL_DELAY, "it ended after {took:?}");
}

/// A client that connects late and takes a moment for its first word, while another's request keeps the process alive.
#[test]
fn new_connection_may_send_its_first_request_during_shutdown() {
    let discovery = Discovery::start();
    let (release, word) = channel();
    let mut word = Some(word);
    let backend = Backend::start(move |_| match word.take() {
        Some(word) => BackendAction::WaitThen(word, Box::new(ok("held"))),
        None => ok("late"),
    });
    let mut proxy = Proxy::start("first-word", &discovery, &[entry("s-1", backend.address, "active", 0)]);
    let (mut idle, mut held) = (proxy.client(), proxy.client());
    assert_eq!(idle.exchange(HEALTH_REQUEST).status(), 200);
    held.send(&request("charge", "held", "x"));
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
    assert_eq!(held.receive().body, b"held");
    drop((idle, held, late));
    assert_eq!(proxy.wait().code(), Some(0));
}

/// More clients than it may hold, all with a request that hangs: those that stand in the kernel's queue when the last open
/// one ends are not reset by the exit.
#[test]
fn accepts_the_listener_queue_before_exit() {
    for turn in 0..5 {
        let discovery = Discovery::start();
        let backend = Backend::start(|_| BackendAction::Hang);
        let name = format!("queue-{turn}");
        let mut config = config_with_deadline(&name, &discovery, 500);
        config["limits"]["sockets"] = 48.into();
        let mut proxy = Proxy::start_with_config(&name, &config);
        discovery.post(true, &[entry("s-1", backend.address, "active", 0)]);
        let clients = (0..90).map(|id| {
            let mut client = proxy.client();
            client.send(&request("read", &id.to_string(), ""));
            // Whoever has its answer closes, as clients do.
            std::thread::spawn(move || final_answer(&mut client))
        });
        let clients: Vec<_> = clients.collect();
        proxy.terminate();
        let answers: Vec<_> = clients.into_iter().map(|client| client.join().expect("a client")).collect();
        let without = answers.iter().filter(|answer| answer.is_err()).count();
        assert_eq!(without, 0, "turn {turn}: {answers:?}");
        assert_eq!(proxy.wait().code(), Some(0));
    }
}

/// Signals that come twice, together, after one another, or before there is anything to serve from.
#[test]
fn concurrent_signals_end_the_process_once_with_code_0() {
    for (turn, signals) in
        [["-TERM", "-TERM"], ["-TERM", "-HUP"], ["-HUP", "-TERM"], ["-HUP", "-HUP"]].into_iter().enumerate()
    {
        for together in [false, true] {
            let discovery = Discovery::start();
            let (release, word) = channel();
            let mut word = Some(word);
            let backend = Backend::start(move |_| {
                BackendAction::WaitThen(word.take().expect("once"), Box::new(ok("held")))
            });
            let name = format!("signals-{turn}-{together}");
            let mut proxy = Proxy::start(&name, &discovery, &[entry("s-1", backend.address, "active", 0)]);
            let mut held = proxy.client();
            held.send(&request("charge", "held", "x"));
            backend.next_request();
            if together {
                proxy.signal("-STOP");
            }
            signals.into_iter().for_each(|signal| proxy.signal(signal));
            if together {
                proxy.signal("-CONT");
            }
            if !signals.contains(&"-TERM") {
                proxy.wait_for_log("reloaded the configuration");
                proxy.terminate();
            }
            while proxy.client().exchange(HEALTH_REQUEST).status() == 200 {}
            release.send(()).expect("the backend waits");
            assert_eq!(held.receive().body, b"held", "{signals:?}");
            drop(held);
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
    assert_eq!(final_answer(&mut client), Ok(503));
    drop(client);
    assert_eq!(proxy.wait().code(), Some(0));
}

/// Its idle time ran out while the process stood, and a request has come meanwhile.
#[test]
fn reads_requests_received_during_a_stall_before_closing_idle_connections() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("read"));
    let proxy = Proxy::start("stood", &discovery, &[entry("s-1", backend.address, "active", 0)]);
    let mut clients: Vec<_> = (0..20).map(|_| proxy.client()).collect();
    clients.iter_mut().for_each(|client| assert_eq!(client.exchange(HEALTH_REQUEST).status(), 200));
    proxy.signal("-STOP");
    for (id, client) in clients.iter_mut().enumerate() {
        client.send(&request("read", &id.to_string(), ""));
    }
    // The idle time itself: 2.5 s.
    sleep(Duration::from_millis(2_600));
    proxy.signal("-CONT");
    let answers: Vec<_> = clients.iter_mut().map(final_answer).collect();
    assert!(answers.iter().all(|answer| matches!(answer, Ok(200 | 503))), "{answers:?}");
}
