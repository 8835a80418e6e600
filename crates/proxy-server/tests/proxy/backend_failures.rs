//! Settings that change while connections stand, and backends that break at each point of an exchange.

use crate::support::*;
use std::io::{BufRead, BufReader, Read};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::Duration;

/// The idle limit is the backends' word: at 0 no connection is used twice, and a change counts for those that stand.
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
    assert_eq!(first, second, "a connection that stands is used again");
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

/// What only a restart changes is said, at each reading for as long as it differs from what holds.
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
    // What holds again is not named any more.
    proxy.reload(&config("stays", &discovery).to_string());
    proxy.wait_for_log("reloaded the configuration");
    proxy.terminate();
    let log = proxy.remaining_log();
    assert!(!log.contains("settings that require a restart were not applied"), "{log}");
}

/// Where a backend breaks off.
#[derive(Clone, Copy, Debug)]
enum At {
    /// Before it has read anything.
    Start,
    /// With a part of the head read.
    PartOfHead,
    /// With the head read, and a large body on its way.
    InBody,
    /// With all of it read.
    Whole,
    /// Having written a part of the answer's head.
    AnswersHead,
    /// Having written a part of the answer's body.
    AnswersBody,
}

const POINTS: [At; 6] = [At::Start, At::PartOfHead, At::InBody, At::Whole, At::AnswersHead, At::AnswersBody];

/// How a connection ends.
#[derive(Clone, Copy, Debug)]
enum How {
    Close,
    Reset,
    /// The backend ends its sending and reads on.
    HalfClose,
}

/// A backend that breaks off there, and tells of each request of which the last byte came.
fn breaking(at: At, how: How, told: Sender<String>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (Ok(stream), told) = (stream, told.clone()) else { return };
            thread::spawn(move || break_off(&stream, at, how, &told));
        }
    });
    address
}

fn break_off(stream: &TcpStream, at: At, how: How, told: &Sender<String>) -> Option<()> {
    stream.set_read_timeout(Some(TEST_TIMEOUT)).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    match at {
        At::Start => {}
        At::PartOfHead => {
            reader.read_line(&mut String::new()).ok()?;
        }
        At::InBody => {
            let mut head = String::new();
            while !head.ends_with("\r\n\r\n") {
                reader.read_line(&mut head).ok().filter(|&read| read > 0)?;
            }
        }
        At::Whole | At::AnswersHead | At::AnswersBody => {
            let request = read_message(&mut reader)?;
            told.send(request.header("x-correlation-id")?.to_owned()).ok()?;
        }
    }
    match at {
        At::AnswersHead => write_bytes(stream, b"HTTP/1.1 200 O"),
        At::AnswersBody => write_bytes(stream, b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"),
        _ => true,
    };
    match how {
        How::Close => {}
        How::Reset => socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO)).ok()?,
        How::HalfClose => {
            stream.shutdown(Shutdown::Write).ok()?;
            let _ = reader.read_to_end(&mut Vec::new());
        }
    }
    Some(())
}

/// An unsafe request is never at two backends whole, and never comes a second time after one may have begun it, wherever
/// the first breaks off and however. A safe one is served by the other backend.
#[test]
fn unsafe_request_reaches_at_most_one_backend_completely() {
    for (place, at) in POINTS.into_iter().enumerate() {
        for how in [How::Close, How::Reset, How::HalfClose] {
            let discovery = Discovery::start();
            let (told, whole): (_, Receiver<String>) = channel();
            let members: Vec<_> = (0..2)
                .map(|i| entry(&format!("s-{i}"), breaking(at, how, told.clone()), "active", 0))
                .collect();
            let name = format!("breaks-{place}-{how:?}");
            let proxy = Proxy::start(&name, &discovery, &members);
            let body = "y".repeat(if matches!(at, At::InBody) { 60_000 } else { 1 });
            for turn in 0..3 {
                let id = format!("{turn}");
                let got = proxy.client().exchange(&request("charge", &id, &body));
                assert!(matches!(got.status(), 502 | 503), "{at:?} {how:?}: {}", got.status());
                // What is told comes before the break, and the answer after it.
                let copies = whole.try_iter().filter(|received| *received == id).count();
                let most = usize::from(matches!(at, At::Whole | At::AnswersHead | At::AnswersBody));
                assert!(copies <= most, "{at:?} {how:?}: {copies} backends had it whole");
                assert!(got.status() == 502 || copies == 0, "{at:?} {how:?}: refused, and may have run");
            }
        }
    }
}

/// An answer behind the answer, which comes while the connection rests: the next request goes out on another connection
/// and gets its own answer.
#[test]
fn second_response_on_an_idle_connection_is_discarded() {
    let discovery = Discovery::start();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (told, connections) = channel();
    let (go, word) = channel::<()>();
    thread::spawn(move || {
        for (number, stream) in listener.incoming().enumerate() {
            let Ok(stream) = stream else { return };
            let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
            let Some(request) = read_message(&mut reader) else { return };
            let id = request.header("x-correlation-id").expect("an id").to_owned();
            write_bytes(&stream, &response_bytes("200 OK", "", id.as_bytes()));
            let _ = told.send((number, id.clone()));
            if word.recv().is_err() {
                return;
            }
            write_bytes(&stream, &response_bytes("200 OK", "", format!("{id} again").as_bytes()));
            let _ = told.send((number, id));
            // The connection stays open; the next one is served beside it.
            std::mem::forget(stream);
        }
    });
    let proxy = Proxy::start("second-answer", &discovery, &[entry("s-1", address, "active", 0)]);
    for (turn, id) in ["a", "b", "c"].into_iter().enumerate() {
        assert_eq!(proxy.client().exchange(&request("charge", id, "x")).body, id.as_bytes());
        let received = connections.recv_timeout(TEST_TIMEOUT).expect("it came");
        assert_eq!(received, (turn, id.to_owned()), "on a connection of its own");
        go.send(()).expect("the backend waits");
        connections.recv_timeout(TEST_TIMEOUT).expect("the second answer is written");
    }
}

/// An idle time of the backends that is shorter than the margin which is kept from it: half of it is used, and a connection
/// that has rested for longer never is.
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
    for turn in 0..3 {
        let began = std::time::Instant::now();
        let (first, second) = (ask(&format!("a-{turn}")), ask(&format!("b-{turn}")));
        // A busy machine may have taken longer than that between the two.
        let quick = began.elapsed() < IDLE / 2;
        assert!(!quick || first == second, "it rested for less");
        used += usize::from(quick);
        thread::sleep(IDLE / 2);
        assert!(ask(&format!("c-{turn}")) > second, "it rested for half of the time");
    }
    assert!(used > 0, "the machine is too busy to tell");
}

/// A class that may be repeated becomes unsafe while a request of it is out. That request goes on by the rules that it came
/// under; whatever comes from then on is sent once.
#[test]
fn class_that_becomes_unsafe_applies_to_later_requests() {
    let discovery = Discovery::start();
    let (release, word) = channel::<()>();
    let word = std::sync::Arc::new(std::sync::Mutex::new(Some(word)));
    let backends = [0, 1].map(|_| {
        let word = std::sync::Arc::clone(&word);
        Backend::start(move |received| {
            let breaks = || Box::new(BackendAction::WriteAndClose(Vec::new()));
            match received.header("x-correlation-id") {
                Some("before") => match word.lock().expect("a word").take() {
                    Some(word) => BackendAction::WaitThen(word, breaks()),
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
    while word.lock().expect("a word").is_some() {
        thread::yield_now();
    }
    let mut changed = proxy_config;
    changed["settings"]["classes"][1]["effect"] = "fragile".into();
    proxy.reload(&changed.to_string());
    proxy.wait_for_log("reloaded the configuration");
    release.send(()).expect("the backend waits");
    assert_eq!(before.receive().body, b"again", "it came under a key");
    // Without a key it fits only what the class is now.
    let after = request("submit", "after", "x").replace("Idempotency-Key: after\r\n", "");
    assert_eq!(proxy.client().exchange(&after).status(), 502, "it may have run");
    assert_eq!(proxy.client().exchange(&request("read", "last", "")).status(), 200);
    let received = backends.iter().flat_map(|b| b.requests.try_iter());
    let ids: Vec<_> =
        received.filter_map(|received| received.header("x-correlation-id").map(str::to_owned)).collect();
    let copies = |wanted: &str| ids.iter().filter(|id| *id == wanted).count();
    assert_eq!((copies("before"), copies("after")), (2, 1), "{ids:?}");
}

/// The answer came, and then the time of its attempt ran out, both while the process stood: it is the answer that counts, and
/// neither is the request sent again nor its backend blamed.
#[test]
fn response_received_during_a_stall_precedes_the_time_out() {
    /// A first attempt is given up after a quarter of this, and the process stands for longer than that.
    const AIM_US: u64 = 2_400_000;
    const STANDS: Duration = Duration::from_secs(1);
    let discovery = Discovery::start();
    let (release, word) = channel::<()>();
    let word = std::sync::Arc::new(std::sync::Mutex::new(Some(word)));
    let backends = [0, 1].map(|_| {
        let word = std::sync::Arc::clone(&word);
        Backend::start(move |received| {
            let first = || word.lock().expect("a word").take();
            match (received.header("x-correlation-id") == Some("late")).then(first).flatten() {
                Some(word) => BackendAction::WaitThen(word, Box::new(ok("first"))),
                None => ok("there"),
            }
        })
    });
    let mut config = config("stood-answer", &discovery);
    config["settings"]["classes"][0]["aimUs"] = AIM_US.into();
    let proxy = Proxy::start_with_config("stood-answer", &config);
    discovery.post(true, &[0, 1].map(|i| entry(&format!("s-{i}"), backends[i].address, "active", 0)));
    for n in 0..8 {
        assert_eq!(proxy.client().exchange(&request("read", &format!("usual-{n}"), "")).status(), 200);
    }
    let mut client = proxy.client();
    client.send(&request("read", "late", ""));
    while word.lock().expect("a word").is_some() {
        thread::yield_now();
    }
    proxy.signal("-STOP");
    release.send(()).expect("the backend waits");
    thread::sleep(STANDS);
    proxy.signal("-CONT");
    assert_eq!(client.receive().body, b"first");
    let received = backends.iter().flat_map(|b| b.requests.try_iter());
    assert_eq!(received.filter(|received| received.header("x-correlation-id") == Some("late")).count(), 1);
}
