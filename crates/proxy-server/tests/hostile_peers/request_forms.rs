//! The forms of requests that RFC 9110 and 9112 rule out or allow, and what of them reaches a backend.

use crate::start_proxy;
use crate::support::{Backend, BackendAction, Client, Discovery, response_bytes};
use std::io::{Read, Write};
use std::time::Duration;

pub const LINE: &str = "POST /charge?key=7f HTTP/1.1";
pub const HOST: &str = "Host: a\r\n";
pub const LENGTH: &str = "Content-Length: 5\r\n";
pub const CHUNKED: &str = "Transfer-Encoding: chunked\r\n";
const CHUNKS: &str = "5\r\nhello\r\n0\r\n\r\n";
/// How long the test waits for the response to a form; longer than the proxy waits for the rest of a body.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);

/// A request line, the fields beside those that every request has, and the body.
pub struct Form(pub &'static str, pub String, pub &'static str);

pub fn form(fields: &str, body: &'static str) -> Form {
    Form(LINE, format!("{HOST}{fields}"), body)
}

pub fn line(line: &'static str) -> Form {
    Form(line, format!("{HOST}{LENGTH}"), "hello")
}

pub fn host(fields: &str) -> Form {
    Form(LINE, format!("{fields}{LENGTH}"), "hello")
}

pub fn field(text: &str) -> Form {
    form(&format!("{text}{LENGTH}"), "hello")
}

fn coding(name: &str) -> Form {
    form(&format!("Transfer-Encoding: {name}\r\n"), CHUNKS)
}

pub fn chunks(body: &'static str) -> Form {
    form(CHUNKED, body)
}

impl Form {
    pub fn text(&self, id: &str) -> String {
        let Self(line, fields, body) = self;
        format!(
            "{line}\r\n{fields}X-Correlation-Id: {id}\r\nX-Service-Class: charge\r\n\
             X-Time-Left-Ms: 3000\r\n\r\n{body}"
        )
    }
}

/// Forms that a recipient has to reject, by the section that says so.
fn unsound_forms() -> Vec<(&'static str, Form)> {
    vec![
        (
            "9112 2.2: white space before the first field",
            Form(LINE, format!(" X-A: b\r\n{HOST}{LENGTH}"), "hello"),
        ),
        ("9112 3: no version", line("POST /charge?key=7f")),
        ("9112 3: two spaces", line("POST  /charge?key=7f HTTP/1.1")),
        ("9112 3: white space in the target", line("POST /charge?key=7 f HTTP/1.1")),
        ("9112 2.3: version in lower case", line("POST /charge?key=7f http/1.1")),
        ("9112 2.3: another major version", line("POST /charge?key=7f HTTP/2.0")),
        ("9112 3.2: target without a slash", line("POST charge?key=7f HTTP/1.1")),
        ("9112 3.2: fragment in the target", line("POST /charge?key=7f#part HTTP/1.1")),
        ("9112 3.2: authority form beside CONNECT", line("POST a:80 HTTP/1.1")),
        ("9112 3.2: asterisk form beside OPTIONS", line("POST * HTTP/1.1")),
        ("9110 4.2.4: user information in the target", line("POST http://u@a/charge?key=7f HTTP/1.1")),
        ("9110 7.4: scheme that is not served", line("POST ftp://a/charge?key=7f HTTP/1.1")),
        ("9112 3.2: no Host", host("")),
        ("9112 3.2: two Hosts", host("Host: a\r\nHost: b\r\n")),
        ("9112 3.2: equal Hosts", host("Host: a\r\nHost: a\r\n")),
        ("9112 3.2: Host with white space", host("Host: a b\r\n")),
        ("9112 3.2: Host with a list", host("Host: a, b\r\n")),
        ("9112 3.2: Host with user information", host("Host: u@a\r\n")),
        ("9112 3.2: Host with a path", host("Host: a/b\r\n")),
        ("9112 3.2: Host with no number as its port", host("Host: a:x\r\n")),
        ("9112 5.1: white space before the colon", field("X-A : b\r\n")),
        (
            "9112 5.1: white space before the colon of a framing field",
            form("Transfer-Encoding : chunked\r\n", CHUNKS),
        ),
        ("9112 5.2: folded field", field("X-A: b\r\n c\r\n")),
        ("9110 5.1: empty name", field(": b\r\n")),
        ("9110 5.1: delimiter in a name", field("X(A): b\r\n")),
        ("9110 5.1: control character in a name", field("X\u{1}A: b\r\n")),
        ("9112 5: no colon", field("X-A\r\n")),
        ("9110 5.5: NUL in a value", field("X-A: a\0b\r\n")),
        ("9110 5.5: CR in a value", field("X-A: a\rb\r\n")),
        ("9112 6.1: length beside a coding", form(&format!("{LENGTH}{CHUNKED}"), CHUNKS)),
        ("9112 6.1: unknown coding", coding("gzip")),
        ("9112 6.1: unknown coding before chunked", coding("gzip, chunked")),
        ("9112 6.1: chunked is not the last coding", coding("chunked, gzip")),
        ("9112 6.1: chunked twice in a list", coding("chunked, chunked")),
        ("9112 6.1: chunked twice in two fields", form(&format!("{CHUNKED}{CHUNKED}"), CHUNKS)),
        ("9112 7: parameter of chunked", coding("chunked;q=1")),
        (
            "9112 6.1: identity beside a length",
            form(&format!("Transfer-Encoding: identity\r\n{LENGTH}"), "hello"),
        ),
        (
            "9112 6.1: empty coding beside a length",
            form(&format!("Transfer-Encoding: \r\n{LENGTH}"), "hello"),
        ),
        (
            "9112 6.1: coding in HTTP/1.0",
            Form("POST /charge?key=7f HTTP/1.0", format!("{HOST}{CHUNKED}"), CHUNKS),
        ),
        ("9112 6.3: lengths that differ", form(&format!("{LENGTH}Content-Length: 6\r\n"), "hello")),
        ("9112 6.3: list of lengths that differ", form("Content-Length: 5, 6\r\n", "hello")),
        ("9110 8.6: signed length", form("Content-Length: +5\r\n", "hello")),
        ("9110 8.6: negative length", form("Content-Length: -5\r\n", "hello")),
        ("9110 8.6: hexadecimal length", form("Content-Length: 0x5\r\n", "hello")),
        ("9110 8.6: empty length", form("Content-Length: \r\n", "hello")),
        ("9110 8.6: length that overflows", form("Content-Length: 99999999999999999999999\r\n", "hello")),
        ("9112 7.1: chunk size with a prefix", chunks("0x5\r\nhello\r\n0\r\n\r\n")),
        ("9112 7.1: signed chunk size", chunks("+5\r\nhello\r\n0\r\n\r\n")),
        ("9112 7.1: no chunk size", chunks("\r\nhello\r\n0\r\n\r\n")),
        ("9112 7.1: white space before a chunk size", chunks(" 5\r\nhello\r\n0\r\n\r\n")),
        ("9112 7.1: white space after a chunk size", chunks("5 \r\nhello\r\n0\r\n\r\n")),
        ("9112 7.1: chunk size that overflows", chunks("10000000000000005\r\nhello\r\n0\r\n\r\n")),
        ("9112 7.1: chunk longer than its size", chunks("4\r\nhello\r\n0\r\n\r\n")),
        ("9112 7.1: chunk shorter than its size", chunks("6\r\nhello\r\n0\r\n\r\n")),
        ("9112 7.1: line feed alone after a chunk", chunks("5\r\nhello\n0\r\n\r\n")),
        ("9112 7.1: line feeds alone", chunks("5\nhello\n0\n\n")),
        ("9112 7.1.1: control character in a chunk extension", chunks("5;a=\u{1}\r\nhello\r\n0\r\n\r\n")),
        ("9112 7.1.1: line feed in a chunk extension", chunks("5;a\nb\r\nhello\r\n0\r\n\r\n")),
        ("9112 7.1.1: carriage return in a chunk extension", chunks("5;a\rb\r\nhello\r\n0\r\n\r\n")),
        ("9112 7.1.2: trailer without a colon", chunks("5\r\nhello\r\n0\r\nabc\r\n\r\n")),
        (
            "9112 7.1.2: white space before the colon of a trailer",
            chunks("5\r\nhello\r\n0\r\nX-T : 1\r\n\r\n"),
        ),
        ("9112 7.1.2: folded trailer", chunks("5\r\nhello\r\n0\r\nX-T: 1\r\n 2\r\n\r\n")),
        ("9112 8: chunked body without its end", chunks("5\r\nhello\r\n")),
        ("9112 8: body shorter than its length", form("Content-Length: 9\r\n", "hello")),
    ]
}

/// Forms that a recipient has to accept.
fn sound_forms() -> Vec<(&'static str, Form)> {
    vec![
        ("length", form(LENGTH, "hello")),
        ("chunked", chunks(CHUNKS)),
        (
            "9112 2.2: empty line before the request",
            Form("\r\nPOST /charge?key=7f HTTP/1.1", format!("{HOST}{LENGTH}"), "hello"),
        ),
        ("9112 3.2.2: absolute form", line("POST http://b:81/charge?key=7f HTTP/1.1")),
        ("9112 3.2: Host with a port", host("Host: a:80\r\n")),
        ("9112 3.2: Host with an IPv6 address", host("Host: [::1]:80\r\n")),
        ("9112 3.2: empty Host", host("Host: \r\n")),
        ("9112 3.2: HTTP/1.0 without Host", Form("POST /charge?key=7f HTTP/1.0", LENGTH.into(), "hello")),
        ("9112 5.1: white space around a value", field("X-A: \t b \t\r\n")),
        ("9110 5.5: other bytes in a value", field("X-A: \u{e9}\r\n")),
        ("9112 7: name of the coding in capitals", coding("CHUNKED")),
        ("9112 6.3: equal lengths", form(&format!("{LENGTH}{LENGTH}"), "hello")),
        ("9112 7.1: zeros before a chunk size", chunks("0005\r\nhello\r\n000\r\n\r\n")),
        ("9112 7.1: chunks of one byte", chunks("1\r\nh\r\n1\r\ne\r\n2\r\nll\r\n1\r\no\r\n0\r\n\r\n")),
        ("9112 7.1.1: chunk extensions", chunks("5;a;b=c\r\nhello\r\n0;d\r\n\r\n")),
        ("9112 7.1.1: white space before a chunk extension", chunks("5 ; a = b\r\nhello\r\n0\r\n\r\n")),
        ("9112 7.1.1: quoted chunk extension", chunks("5;a=\"b;\\\"c\"\r\nhello\r\n0\r\n\r\n")),
        ("9112 7.1.2: trailers", chunks("5\r\nhello\r\n0\r\nX-T: 1\r\nContent-Length: 9\r\n\r\n")),
        (
            "9110 7.6.1: option that names a field of the message",
            field("Connection: X-Hop, Host\r\nX-Hop: 1\r\n"),
        ),
        ("9110 10.1.1: expectation in capitals", field("Expect: 100-Continue\r\n")),
    ]
}

/// What the client receives until the connection closes; empty if nothing comes in time.
fn received(client: &mut Client) -> String {
    client.stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).expect("set the read timeout");
    let (mut bytes, mut buffer) = (Vec::new(), [0; 1_024]);
    while let Ok(count @ 1..) = client.reader.read(&mut buffer) {
        bytes.extend_from_slice(&buffer[..count]);
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// How the bytes of a form are written.
#[derive(Clone, Copy, Debug)]
pub enum Pieces {
    Whole,
    SingleBytes,
}

fn send(client: &mut Client, text: &str, pieces: Pieces) {
    client.stream.set_nodelay(true).expect("set TCP_NODELAY");
    match pieces {
        Pieces::Whole => drop(client.stream.write_all(text.as_bytes())),
        Pieces::SingleBytes => {
            for byte in text.as_bytes().chunks(1) {
                if client.stream.write_all(byte).is_err() {
                    return;
                }
                std::thread::yield_now();
            }
        }
    }
}

/// Checks that each of these forms is rejected and that nothing of it reaches a backend.
pub fn check_unsound_forms(name: &str, forms: Vec<(&'static str, Form)>, pieces: Pieces) {
    let discovery = Discovery::start();
    let backend = Backend::start(|request| BackendAction::Write(response_bytes("200 OK", "", &request.body)));
    let proxy = start_proxy(name, &discovery, &[backend.address]);
    let checks: Vec<_> = forms
        .into_iter()
        .enumerate()
        .map(|(n, (rule, form))| {
            let mut client = proxy.client();
            std::thread::spawn(move || {
                send(&mut client, &form.text(&format!("u{n}")), pieces);
                (rule, received(&mut client))
            })
        })
        .collect();
    let responses: Vec<_> = checks.into_iter().map(|check| check.join().expect("a check")).collect();
    let forwarded: Vec<_> = backend.requests.try_iter().map(|request| request.head).collect();
    let accepted: Vec<_> = responses
        .iter()
        .filter(|(_, response)| {
            !response.is_empty()
                && !response.starts_with("HTTP/1.1 4")
                && !response.starts_with("HTTP/1.1 501")
                && !response.starts_with("HTTP/1.0 4")
        })
        .collect();
    assert!(
        accepted.is_empty() && forwarded.is_empty(),
        "accepted: {accepted:#?}, forwarded: {forwarded:#?}"
    );
}

#[test]
fn requests_that_are_not_sound_reach_no_backend() {
    check_unsound_forms("unsound", unsound_forms(), Pieces::Whole);
}

#[test]
fn requests_that_are_not_sound_reach_no_backend_in_single_bytes() {
    check_unsound_forms("unsound-bytes", unsound_forms(), Pieces::SingleBytes);
}

#[test]
fn sound_requests_of_every_form_reach_a_backend_whole() {
    check_sound_forms("sound", sound_forms);
}

/// Checks that each of these forms reaches a backend whole.
pub fn check_sound_forms(name: &str, forms: fn() -> Vec<(&'static str, Form)>) {
    let discovery = Discovery::start();
    let backend = Backend::start(|request| BackendAction::Write(response_bytes("200 OK", "", &request.body)));
    let proxy = start_proxy(name, &discovery, &[backend.address]);
    for pieces in [Pieces::Whole, Pieces::SingleBytes] {
        for (n, (rule, form)) in forms().into_iter().enumerate() {
            let mut client = proxy.client();
            let id = format!("{pieces:?}{n}");
            let text = form.text(&id).replace("X-Service", "Connection: close\r\nX-Service");
            send(&mut client, &text, pieces);
            let response = received(&mut client);
            assert!(response.contains(" 200 ") && response.ends_with("hello"), "{rule}: {response}");
            let request = backend.next_request();
            let has_one_host = request.head.to_ascii_lowercase().matches("\r\nhost:").count() == 1;
            assert!(request.body == b"hello" && has_one_host, "{rule}: {}", request.head);
            assert_eq!(request.header("x-correlation-id"), Some(id.as_str()), "{rule}");
            assert!(
                request.header("transfer-encoding").is_none() && request.header("x-hop").is_none(),
                "{rule}"
            );
            let expected_host = if rule.contains("absolute") { Some("b:81") } else { None };
            assert!(
                expected_host.is_none_or(|host| request.header("host") == Some(host)),
                "{rule}: {}",
                request.head
            );
        }
    }
}

/// A body that turns out to be unsound only after a part of it was passed on never becomes a whole request.
#[test]
fn streamed_body_that_is_not_sound_reaches_no_backend_whole() {
    const SIZE: usize = 4 << 20;
    let discovery = Discovery::start();
    let backend = Backend::start(|_| BackendAction::Write(response_bytes("200 OK", "", b"fine")));
    let proxy = start_proxy("unsound-stream", &discovery, &[backend.address]);
    let mut client = proxy.client();
    let text = Form(LINE, format!("{HOST}{CHUNKED}"), "").text("stream");
    client.send(&text);
    let part = vec![b'x'; 60_000];
    for _ in 0..SIZE / part.len() {
        client.send("ea60\r\n");
        client.stream.write_all(&part).expect("write to the proxy");
        client.send("\r\n");
    }
    client.send("5 \r\nhello\r\n0\r\n\r\n");
    let response = received(&mut client);
    assert!(!response.starts_with("HTTP/1.1 200"), "{response}");
    assert_eq!(backend.take_request_count(), 0);
}
