//! Requests of clients, valid and not.

use crate::support::*;
use std::io::Read;
use std::sync::mpsc::channel;

#[test]
fn requests_and_responses_pass_unchanged() {
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
fn connection_serves_successive_requests() {
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
fn rejects_malformed_requests_with_4xx() {
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
        // Numbers and duplicate headers that other implementations may interpret differently.
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
        // The response does not wait for the body.
        (good.replace("Content-Length: 1\r\n\r\nx", "Content-Length: 60000000\r\n\r\n"), 413),
    ];
    for (text, status) in cases {
        let line = text.lines().next().unwrap_or_default().to_owned();
        let mut client = proxy.client();
        assert_eq!(client.exchange(&text).status(), status, "{line}");
        assert!(client.is_closed_cleanly(), "what follows a malformed request may belong to it: {line}");
    }
    assert_eq!(backend.take_request_count(), 0);
    assert_eq!(proxy.client().exchange(&good).status(), 200);
}

/// Request smuggling: an implementation that uses the length finds another request in the body.
#[test]
fn rejects_requests_with_both_length_and_transfer_encoding() {
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
fn rejects_a_second_request_with_an_open_id() {
    let discovery = Discovery::start();
    let (release, released) = channel();
    let mut released = Some(released);
    let backend = Backend::start(move |_| match released.take() {
        Some(released) => BackendAction::WaitThen(released, Box::new(ok("first"))),
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
    assert_eq!(
        proxy.client().exchange(&request("charge", "1", "x")).body,
        b"later",
        "the id is available again"
    );
}

/// The connections have to end within 3 s. The time is checked loosely for busy machines.
#[test]
fn idle_and_incomplete_requests_end_with_an_error_or_a_close() {
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
    assert!(asked.is_closed_cleanly(), "an open connection that is not used");
    assert!(began.elapsed() < TEST_TIMEOUT / 3, "{:?}", began.elapsed());
}

#[test]
fn body_at_the_limit_passes() {
    let discovery = Discovery::start();
    let body = "y".repeat(64 * 1024);
    let answered = body.clone();
    let backend = Backend::start(move |_| ok(&answered));
    let proxy = Proxy::start("cap", &discovery, &[entry("s-1", backend.address, "active", 0)]);
    let got = proxy.client().exchange(&request("submit", "1", &body));
    assert_eq!((got.status(), got.body.len()), (200, body.len()));
    assert_eq!(backend.next_request().body.len(), body.len());
}
