//! The proxy's program over loopback sockets: what must hold whatever backends and clients do.

mod backend_failures;
mod client_disconnects;
mod descriptor_exhaustion;
mod discovery;
mod discovery_outage;
mod oversized_lists;
mod retries_after_disconnect;
mod shutdown;
#[path = "../support/mod.rs"]
mod support;

use std::io::Read;
use std::sync::mpsc::{Sender, channel};
use support::*;

/// What the module lets out to a lone backend at the start.
const ROOM: usize = 2;

/// Clients whose requests take all the room that the module gives a lone backend at its start, the backend, and
/// the words that let it answer them. Further requests are answered at once.
fn full_backend() -> (Backend, Vec<Sender<()>>) {
    let (mut words, mut releases) = (Vec::new(), Vec::new());
    for _ in 0..ROOM {
        let (release, word) = channel();
        words.push(word);
        releases.push(release);
    }
    let backend = Backend::start(move |_| match words.pop() {
        Some(word) => BackendAction::WaitThen(word, Box::new(ok("first"))),
        None => ok("later"),
    });
    (backend, releases)
}

fn fill(proxy: &Proxy, backend: &Backend) -> Vec<Client> {
    let fill = (0..ROOM).map(|i| {
        let mut client = proxy.client();
        client.send(&request("charge", &format!("fill-{i}"), "x"));
        backend.next_request();
        client
    });
    fill.collect()
}

#[test]
fn requests_and_answers_pass_unchanged() {
    let discovery = Discovery::start();
    let backend =
        Backend::start(|_| BackendAction::Write(response_bytes("200 OK", "", b"\x00\xffbody\r\n\r\n")));
    let proxy = Proxy::start("unchanged", &discovery, &[entry("s-1", backend.address, "active", 0)]);
    let got = proxy.client().exchange(&request("submit", "5c0f", "some body"));
    assert_eq!((got.status(), got.body.as_slice()), (200, b"\x00\xffbody\r\n\r\n".as_slice()));
    let received = backend.next_request();
    assert_eq!(received.first_line(), "POST /submit?key=7f3a HTTP/1.1");
    assert_eq!(received.header("x-correlation-id"), Some("5c0f"));
    assert_eq!(received.header("idempotency-key"), Some("5c0f"));
    assert_eq!(received.body, b"some body");
    let left: u64 = received.header("x-time-left-ms").expect("the time left").parse().expect("a number");
    assert!(left < 15_000, "the proxy waits for less than the client does, not {left} ms");
}

#[test]
fn a_connection_serves_one_request_after_another() {
    let discovery = Discovery::start();
    let backend = Backend::start(|received| ok(received.header("x-correlation-id").expect("an id")));
    let proxy = Proxy::start("kept", &discovery, &[entry("s-1", backend.address, "active", 0)]);
    let mut client = proxy.client();
    for id in ["a", "b", "c"] {
        let got = client.exchange(&request("read", id, ""));
        assert_eq!((got.status(), got.body.as_slice()), (200, id.as_bytes()));
    }
}

#[test]
fn what_makes_no_sense_gets_a_plain_4xx_and_does_no_harm() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("fine"));
    let proxy = Proxy::start("nonsense", &discovery, &[entry("s-1", backend.address, "active", 0)]);
    let good = request("submit", "7", "x");
    let cases = [
        ("\x01\x02 nonsense\r\n\r\n".to_owned(), 400),
        (good.replace("/submit", "/nothing"), 400),
        (good.replace("X-Service-Class: submit", "X-Service-Class: read"), 400),
        (good.replace("X-Correlation-Id: 7\r\n", ""), 400),
        (good.replace("X-Time-Left-Ms: 15000\r\n", ""), 400),
        (good.replace("15000", "-5"), 400),
        (good.replace("15000", "99999999999999999999999"), 400),
        (good.replace("Idempotency-Key: 7\r\n", ""), 400),
        (good.replace("POST", "GET"), 405),
        // Numbers that others may read otherwise, and headers of which others may read the other one.
        (good.replace("15000", "+480"), 400),
        (good.replace("15000", " "), 400),
        (good.replace("15000", "480, 15000"), 400),
        (good.replace("X-Time-Left-Ms: 15000\r\n", "X-Time-Left-Ms: 480\r\nX-Time-Left-Ms: 15000\r\n"), 400),
        (good.replace("X-Correlation-Id: 7\r\n", "X-Correlation-Id: 7\r\nX-Correlation-Id: 8\r\n"), 400),
        (good.replace("Idempotency-Key: 7\r\n", "Idempotency-Key: 7\r\nIdempotency-Key: 7\r\n"), 400),
        (good.replace("Content-Length: 1", "Content-Length: +1"), 400),
        (good.replace("Content-Length: 1", "Content-Length: -1"), 400),
        (good.replace("Content-Length: 1", "Content-Length: 1\r\nContent-Length: 2"), 400),
        (good.replace("Content-Length: 1", "Content-Length: 99999999999999999999999"), 400),
        // No byte of such a body has to come for the answer.
        (good.replace("Content-Length: 1\r\n\r\nx", "Content-Length: 60000000\r\n\r\n"), 413),
    ];
    for (text, status) in cases {
        let line = text.lines().next().unwrap_or_default().to_owned();
        let mut client = proxy.client();
        assert_eq!(client.exchange(&text).status(), status, "{line}");
        assert!(client.is_closed_cleanly(), "what follows a malformed request may be a part of it: {line}");
    }
    assert_eq!(backend.take_request_count(), 0);
    assert_eq!(proxy.client().exchange(&good).status(), 200);
}

/// Whoever goes by the length finds another request in the body of the first.
#[test]
fn a_request_with_a_length_and_an_encoding_is_turned_away_with_all_that_follows() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("fine"));
    let proxy = Proxy::start("smuggled", &discovery, &[entry("s-1", backend.address, "active", 0)]);
    let hidden = request("charge", "hidden", "x");
    let body = format!("0\r\n\r\n{hidden}");
    let length = format!("Content-Length: {}\r\n", body.len());
    let encoding = "Transfer-Encoding: chunked\r\n";
    for fields in [format!("{length}{encoding}"), format!("{encoding}{length}")] {
        let mut client = proxy.client();
        let head = request("charge", "outer", "").replace("Content-Length: 0\r\n", &fields);
        let got = client.exchange(&format!("{head}{body}"));
        assert!((400..500).contains(&got.status()), "{}", got.head);
        assert!(client.is_closed_cleanly());
    }
    assert_eq!(proxy.client().exchange(HEALTH_REQUEST).status(), 200);
    assert_eq!(backend.take_request_count(), 0);
}

#[test]
fn a_second_request_with_the_id_of_an_open_one_is_turned_away() {
    let discovery = Discovery::start();
    let (release, word) = channel();
    let mut word = Some(word);
    let backend = Backend::start(move |_| match word.take() {
        Some(word) => BackendAction::WaitThen(word, Box::new(ok("first"))),
        None => ok("later"),
    });
    let proxy = Proxy::start("same-id", &discovery, &[entry("s-1", backend.address, "active", 0)]);
    let mut first = proxy.client();
    first.send(&request("charge", "1", "x"));
    backend.next_request();
    assert_eq!(proxy.client().exchange(&request("charge", "1", "x")).status(), 409);
    assert_eq!(backend.take_request_count(), 0);
    release.send(()).expect("the backend waits");
    assert_eq!(first.receive().body, b"first");
    assert_eq!(proxy.client().exchange(&request("charge", "1", "x")).body, b"later", "the id is free again");
}

/// Clients that are owed an end within 3 s. The span is checked loosely, so that a busy machine changes nothing.
#[test]
fn silence_and_half_a_request_end_with_an_error_or_a_close() {
    let discovery = Discovery::start();
    let proxy = Proxy::start("half", &discovery, &[]);
    let good = request("charge", "1", "body");
    let began = std::time::Instant::now();
    let halves = ["", "P", &good[..40], &good[..good.len() - 2]].map(|half| {
        let mut client = proxy.client();
        client.send(half);
        client
    });
    let mut asked = proxy.client();
    assert_eq!(asked.exchange(HEALTH_REQUEST).status(), 200);
    for mut client in halves {
        let mut rest = Vec::new();
        client.reader.read_to_end(&mut rest).expect("no reset");
        assert!(rest.is_empty() || rest.starts_with(b"HTTP/1.1 408 "), "{}", String::from_utf8_lossy(&rest));
    }
    assert!(asked.is_closed_cleanly(), "a connection that is kept and not used");
    assert!(began.elapsed() < TEST_TIMEOUT / 3, "{:?}", began.elapsed());
}

#[test]
fn a_body_at_the_cap_passes() {
    let discovery = Discovery::start();
    let body = "y".repeat(64 * 1024);
    let answered = body.clone();
    let backend = Backend::start(move |_| ok(&answered));
    let proxy = Proxy::start("cap", &discovery, &[entry("s-1", backend.address, "active", 0)]);
    let got = proxy.client().exchange(&request("submit", "1", &body));
    assert_eq!((got.status(), got.body.len()), (200, body.len()));
    assert_eq!(backend.next_request().body.len(), body.len());
}

/// Backends send good answers beyond the protocol's cap, and as many as come are passed on, one after another.
#[test]
fn a_large_answer_passes() {
    let discovery = Discovery::start();
    let large = "z".repeat(400_000);
    let answered = large.clone();
    let backend = Backend::start(move |_| ok(&answered));
    let mut config = config("large", &discovery);
    config["limits"]["memory_mb"] = 8.into();
    let proxy = Proxy::start_with_config("large", &config);
    discovery.post(true, &[entry("s-1", backend.address, "active", 0)]);
    for id in 0..20 {
        let got = proxy.client().exchange(&request("charge", &id.to_string(), "x"));
        assert_eq!((got.status(), got.body.len()), (200, large.len()));
    }
}

#[test]
fn a_broken_answer_is_never_a_200_and_an_unsafe_request_is_not_sent_again() {
    let breaks: [&[u8]; 3] = [b"", b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf", b"garbage\r\n\r\n"];
    for (i, bytes) in breaks.into_iter().enumerate() {
        let discovery = Discovery::start();
        let one = Backend::start(move |_| BackendAction::WriteAndClose(bytes.to_vec()));
        let two = Backend::start(move |_| BackendAction::WriteAndClose(bytes.to_vec()));
        let members = [entry("s-1", one.address, "active", 0), entry("s-2", two.address, "active", 0)];
        let proxy = Proxy::start(&format!("broken-{i}"), &discovery, &members);
        let got = proxy.client().exchange(&request("charge", "1", "x"));
        assert_eq!(got.status(), 502, "failed: the request may have run");
        // A backend tells of a request that it breaks off only behind the close.
        let mut received = 0;
        while received == 0 {
            received = one.take_request_count() + two.take_request_count();
        }
        (0..10).for_each(|_| assert_eq!(proxy.client().exchange(HEALTH_REQUEST).status(), 200));
        assert_eq!(received + one.take_request_count() + two.take_request_count(), 1);
    }
}

/// What can't become an answer, from a backend that keeps the connection open and says no more. Waiting on would
/// leave no time for another attempt; taking it for a broken connection would blame a healthy backend.
#[test]
fn an_answer_that_cannot_become_good_fails_at_once_and_is_tried_elsewhere_only_where_it_may() {
    let endless_head = format!("HTTP/1.1 200 OK\r\nX-Long: {}", "y".repeat(20_000));
    let spoilt: [&[u8]; 10] = [
        b"\x00\xfe\x17 noise \x9c\r\n\r\n",
        b"HTTP/1.1 2x0 OK\r\nContent-Length: 4\r\n\r\nbody",
        b"HTTP/1.1 200 OK\r\nCont\x00ent: 4\r\n\r\nbody",
        b"HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nbody",
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 9\r\n\r\nbody",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nbody",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nno length\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nwithout an end",
        b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
        endless_head.as_bytes(),
    ];
    for (i, bytes) in spoilt.into_iter().enumerate() {
        let discovery = Discovery::start();
        let shared = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(true));
        let start = |bytes: Vec<u8>| {
            let first = std::sync::Arc::clone(&shared);
            Backend::start(move |_| {
                if first.swap(false, std::sync::atomic::Ordering::SeqCst) {
                    BackendAction::Write(bytes.clone())
                } else {
                    ok("good")
                }
            })
        };
        let (one, two) = (start(bytes.to_vec()), start(bytes.to_vec()));
        let members = [entry("s-1", one.address, "active", 0), entry("s-2", two.address, "active", 0)];
        let proxy = Proxy::start(&format!("spoilt-{i}"), &discovery, &members);
        let got = proxy.client().exchange(&request("read", "1", ""));
        assert_eq!((got.status(), got.body.as_slice()), (200, b"good".as_slice()), "case {i}");
        shared.store(true, std::sync::atomic::Ordering::SeqCst);
        let got = proxy.client().exchange(&request("charge", "2", "x"));
        assert_eq!(got.status(), 502, "case {i}: it may have run");
        assert_eq!(one.take_request_count() + two.take_request_count(), 3, "case {i}");
    }
}

/// A good answer with more behind it is good, its connection is not used again, and nobody is blamed for what
/// lay in it.
#[test]
fn what_comes_behind_a_good_answer_is_served_to_nobody() {
    let behind: [&[u8]; 3] = [b"\x00noise", b"\r\n", b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"];
    for (i, more) in behind.into_iter().enumerate() {
        let discovery = Discovery::start();
        let backend = Backend::start(move |received| {
            let id = received.header("x-correlation-id").expect("an id").as_bytes();
            BackendAction::Write([response_bytes("200 OK", "", id), more.to_vec()].concat())
        });
        let members = [entry("s-1", backend.address, "active", 0)];
        let proxy = Proxy::start(&format!("behind-{i}"), &discovery, &members);
        let mut client = proxy.client();
        for id in ["one", "two", "three", "four"] {
            let got = client.exchange(&request("charge", id, "x"));
            assert_eq!((got.status(), got.body.as_slice()), (200, id.as_bytes()), "case {i}");
        }
        let connections: Vec<_> = (0..4).map(|_| backend.next_request().connection).collect();
        assert_eq!(connections, [0, 1, 2, 3], "case {i}");
    }
}

/// 1xx answers go ahead of the final one, and a load report that can't be read is none.
#[test]
fn early_hints_and_unreadable_reports_do_no_harm() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| {
        let early = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
        let report = "X-Backend-Load: inflight=é,,=;util=NaN,queue\r\n";
        BackendAction::Write([early.to_vec(), response_bytes("200 OK", report, b"good")].concat())
    });
    let proxy = Proxy::start("early", &discovery, &[entry("s-1", backend.address, "active", 0)]);
    for id in ["1", "2"] {
        let got = proxy.client().exchange(&request("charge", id, "x"));
        assert_eq!((got.status(), got.body.as_slice()), (200, b"good".as_slice()));
    }
}

#[test]
fn only_the_mark_tells_that_a_request_was_turned_away() {
    for (more, status, attempts) in
        [("X-Unprocessed: 1\r\n", 503, 2), ("", 502, 1), ("X-Unprocessed: 0\r\n", 502, 1)]
    {
        let discovery = Discovery::start();
        let turn_away =
            move |_: &HttpMessage| BackendAction::Write(response_bytes("503 Service Unavailable", more, b""));
        let (one, two) = (Backend::start(turn_away), Backend::start(turn_away));
        let members = [entry("s-1", one.address, "active", 0), entry("s-2", two.address, "active", 0)];
        let proxy = Proxy::start(&format!("mark-{status}-{}", more.len()), &discovery, &members);
        let got = proxy.client().exchange(&request("charge", "1", "x"));
        assert_eq!(
            (got.status(), one.take_request_count() + two.take_request_count()),
            (status, attempts),
            "with `{more}`"
        );
    }
}

#[test]
fn a_backend_that_cannot_be_reached_leaves_an_unsafe_request_free_to_go_elsewhere() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("there"));
    let nobody =
        std::net::TcpListener::bind("127.77.0.2:0").expect("a port").local_addr().expect("an address");
    let members = [entry("s-1", nobody, "active", 0), entry("s-2", backend.address, "active", 0)];
    let proxy = Proxy::start("unreachable", &discovery, &members);
    for id in ["1", "2", "3"] {
        assert_eq!(proxy.client().exchange(&request("charge", id, "x")).status(), 200);
    }
}

#[test]
fn a_connection_that_its_backend_has_closed_is_not_used_again() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| BackendAction::WriteAndClose(response_bytes("200 OK", "", b"last")));
    let proxy = Proxy::start("closed", &discovery, &[entry("s-1", backend.address, "active", 0)]);
    let mut client = proxy.client();
    for id in ["1", "2", "3", "4"] {
        assert_eq!(client.exchange(&request("charge", id, "x")).status(), 200);
        backend.next_request();
    }
}

#[test]
fn a_request_that_a_backend_never_answers_fails_in_its_time() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| BackendAction::Hang);
    let proxy = Proxy::start("hang", &discovery, &[entry("s-1", backend.address, "active", 0)]);
    let mut client = proxy.client();
    let got = client.exchange(&request("charge", "1", "x").replace("15000", "300"));
    assert_eq!(got.status(), 502);
    assert_eq!(
        client.exchange(HEALTH_REQUEST).status(),
        200,
        "exactly one answer came, and the connection goes on"
    );
}

#[test]
fn without_room_a_request_is_refused_with_a_word_on_when_to_return() {
    let discovery = Discovery::start();
    let (backend, releases) = full_backend();
    let proxy = Proxy::start("refused", &discovery, &[entry("s-1", backend.address, "active", 0)]);
    let mut first = fill(&proxy, &backend);
    let refused = proxy.client().exchange(&request("charge", "2", "x").replace("15000", "500"));
    assert_eq!(refused.status(), 503);
    let wait: f64 = refused.header("retry-after").expect("Retry-After").parse().expect("seconds");
    assert!(wait > 0.0);
    for (release, client) in releases.iter().zip(first.iter_mut().rev()) {
        release.send(()).expect("the backend waits");
        assert_eq!(client.receive().body, b"first");
    }
    assert_eq!(backend.take_request_count(), 0, "a refused request never went out");
}

#[test]
fn a_client_that_left_while_it_was_held_is_forgotten() {
    let discovery = Discovery::start();
    let (backend, releases) = full_backend();
    let proxy = Proxy::start("left", &discovery, &[entry("s-1", backend.address, "active", 0)]);
    let mut first = fill(&proxy, &backend);
    let mut leaver = proxy.client();
    leaver.send(&request("charge", "2", "x"));
    // The answers on other connections show that the proxy has seen what came before them. One alone may have been
    // found in the same look at the sockets.
    let settle = || (0..10).for_each(|_| assert_eq!(proxy.client().exchange(HEALTH_REQUEST).status(), 200));
    settle();
    drop(leaver);
    settle();
    for (release, client) in releases.iter().zip(first.iter_mut().rev()) {
        release.send(()).expect("the backend waits");
        assert_eq!(client.receive().status(), 200);
    }
    assert_eq!(proxy.client().exchange(&request("charge", "3", "x")).status(), 200);
    assert_eq!(backend.next_request().header("x-correlation-id"), Some("3"));
}

/// Each backend takes one request and keeps it; there are more backends than descriptors for them.
#[test]
fn a_shortage_of_descriptors_is_blamed_on_no_backend() {
    let discovery = Discovery::start();
    let backends: Vec<_> = (0..14).map(|_| Backend::start(|_| BackendAction::Hang)).collect();
    let members: Vec<_> =
        backends.iter().enumerate().map(|(i, b)| entry(&format!("s-{i}"), b.address, "active", 0)).collect();
    let mut config = config("shortage", &discovery);
    config["limits"]["sockets"] = 48.into();
    let mut proxy = Proxy::start_with_config("shortage", &config);
    discovery.post(true, &members);
    let clients: Vec<_> = (0..14)
        .map(|i| {
            let mut client = proxy.client();
            client.send(&request("read", &format!("{i}"), "").replace("15000", "1000"));
            client
        })
        .collect();
    let statuses: Vec<_> = clients.into_iter().map(|mut client| client.receive().status()).collect();
    assert!(statuses.contains(&503), "some find no descriptor: {statuses:?}");
    proxy.terminate();
    let log = proxy.remaining_log();
    assert!(!log.contains("ejected"), "{log}");
}

#[test]
fn idle_clients_do_not_keep_others_out() {
    let discovery = Discovery::start();
    let mut config = config("idle", &discovery);
    config["limits"]["sockets"] = 64.into();
    let proxy = Proxy::start_with_config("idle", &config);
    // More than the proxy may hold at a time, and none of them says a word.
    let clients: Vec<_> = (0..64).map(|_| proxy.client()).collect();
    assert_eq!(proxy.client().exchange(HEALTH_REQUEST).status(), 503);
    drop(clients);
}

#[test]
fn a_bad_configuration_ends_the_start_with_one_clear_line() {
    let bad_address = r#"{"listen":"here","discovery":"127.0.0.1:1","settings":{}}"#;
    for (name, config, word) in [
        ("no-json", "{", "malformed configuration"),
        ("no-settings", "{}", "settings"),
        ("bad-address", bad_address, "listen"),
    ] {
        let mut child = spawn_proxy(name, config);
        let mut text = String::new();
        child.stderr.take().expect("standard error").read_to_string(&mut text).expect("text");
        assert_eq!(child.wait().expect("it ends").code(), Some(1));
        assert_eq!(text.lines().count(), 1, "{text}");
        assert!(text.contains(word), "{text}");
    }
}
