//! Long responses, uploads and other things that are under way when the process is told to end.

use crate::support::*;
use std::io::{BufRead, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// The longest response deadline in these tests.
const DEADLINE_MS: u64 = 500;
/// When a process ends after the stop signal if no response is under way.
const ORDINARY_END: Duration = Duration::from_millis(DEADLINE_MS + 550);
/// How long a response may pause that delays the end of the process.
const MAX_PAUSE: Duration = Duration::from_secs(2);
/// Time for closing connections and for delays of the machine.
const TOLERANCE: Duration = Duration::from_secs(1);

/// A response in parts, with a pause after each.
#[derive(Clone)]
struct SlowResponse {
    framing: &'static str,
    first_part: usize,
    part: usize,
    pause: Duration,
    /// The number of parts after the first one; `None` if it never ends.
    parts: Option<usize>,
}

impl SlowResponse {
    fn size(&self) -> usize {
        self.first_part + self.part * self.parts.unwrap_or_default()
    }

    fn write(&self, stream: &mut TcpStream) {
        let _ = stream.write_all(format!("HTTP/1.1 200 OK\r\n{}\r\n\r\n", self.framing).as_bytes());
        let is_chunked = self.framing.contains("chunked");
        let later = std::iter::repeat_n(self.part, self.parts.unwrap_or(usize::MAX));
        for size in std::iter::once(self.first_part).chain(later) {
            let part = "z".repeat(size);
            let bytes = if is_chunked { format!("{size:x}\r\n{part}\r\n") } else { part };
            if stream.write_all(bytes.as_bytes()).is_err() {
                return;
            }
            thread::sleep(self.pause);
        }
        if is_chunked {
            let _ = stream.write_all(b"0\r\n\r\n");
        }
    }
}

/// Starts a backend that gives this response once on each connection.
fn start_slow_backend(response: SlowResponse) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
    let address = listener.local_addr().expect("local address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (Ok(mut stream), response) = (stream, response.clone()) else { return };
            let _ = stream.set_nodelay(true);
            thread::spawn(move || {
                let mut reader = std::io::BufReader::new(stream.try_clone().expect("clone the stream"));
                if read_message(&mut reader).is_some() {
                    response.write(&mut stream);
                }
            });
        }
    });
    address
}

fn start_proxy(name: &str, backend: SocketAddr) -> (Proxy, Discovery) {
    let discovery = Discovery::start();
    let proxy = Proxy::start_with_config(name, &config_with_deadline(name, &discovery, DEADLINE_MS));
    discovery.publish_and_wait(true, &[backend_entry("s-1", backend, "active", 0)]);
    (proxy, discovery)
}

/// Sends a request and waits for the head of its response.
fn start_response(proxy: &Proxy, id: &str, version: &str) -> Client {
    let mut client = proxy.client();
    let text = request("charge", id, "x").replace("15000", &DEADLINE_MS.to_string());
    client.send(&text.replace("HTTP/1.1", version));
    let first = client.arrived().expect("a response");
    assert!(first.starts_with(b"HTTP/1.1 200") || first.starts_with(b"HTTP/1.0 200"), "{id}");
    client
}

/// Reads to the end of a connection; returns the content without its head, and whether the connection was reset.
fn read_to_end(client: &mut Client) -> (Vec<u8>, bool) {
    let mut bytes = Vec::new();
    let is_reset = loop {
        match client.arrived() {
            Ok([]) => break false,
            Ok(read) => bytes.extend_from_slice(read),
            Err(error) => break error.kind() == ErrorKind::ConnectionReset,
        }
        let count = client.reader.buffer().len();
        client.reader.consume(count);
    };
    let head_end = bytes.windows(4).position(|window| window == b"\r\n\r\n").map_or(bytes.len(), |at| at + 4);
    (bytes.split_off(head_end), is_reset)
}

fn content_count(body: &[u8]) -> usize {
    String::from_utf8_lossy(body).matches('z').count()
}

/// Guards against a planned restart that cuts off responses which their backends still give.
#[test]
fn responses_under_way_at_the_stop_signal_are_completed() {
    for framing in ["Content-Length: 1640000", "Transfer-Encoding: chunked", "Connection: close"] {
        let response = SlowResponse {
            framing,
            first_part: 40_000,
            part: 40_000,
            pause: Duration::from_millis(80),
            parts: Some(40),
        };
        let size = response.size();
        let (mut proxy, _discovery) = start_proxy("under-way", start_slow_backend(response));
        let clients: Vec<_> = ["HTTP/1.1", "HTTP/1.0", "HTTP/1.1"]
            .into_iter()
            .enumerate()
            .map(|(id, version)| start_response(&proxy, &id.to_string(), version))
            .collect();
        let stopped_at = Instant::now();
        proxy.terminate();
        let readers: Vec<_> =
            clients.into_iter().map(|mut client| thread::spawn(move || read_to_end(&mut client))).collect();
        // All requests are due by then: new connections are refused, as by a process that has ended.
        thread::sleep(ORDINARY_END + Duration::from_millis(300));
        let refused = TcpStream::connect(proxy.address).expect_err("the listener is closed");
        assert_eq!(refused.kind(), ErrorKind::ConnectionRefused, "{framing}");
        for reader in readers {
            let (body, is_reset) = reader.join().expect("the reader");
            assert_eq!((content_count(&body), is_reset), (size, false), "{framing}");
        }
        assert!(stopped_at.elapsed() > ORDINARY_END, "the responses were not long enough");
        let finished_at = Instant::now();
        assert_eq!(proxy.wait_for_exit().code(), Some(0));
        assert!(finished_at.elapsed() < TOLERANCE, "{framing}: {:?}", finished_at.elapsed());
    }
}

/// Guards against a process that does not end because of responses that never do. Their clients can tell that they
/// are not whole.
#[test]
fn responses_that_never_end_do_not_keep_the_process() {
    for framing in ["Transfer-Encoding: chunked", "Connection: close", "Content-Length: 40000000"] {
        for (part, pause_ms) in [(64, 100), (1, 1_000)] {
            let response = SlowResponse {
                framing,
                first_part: 70_000,
                part,
                pause: Duration::from_millis(pause_ms),
                parts: None,
            };
            let (mut proxy, _discovery) = start_proxy("never-ends", start_slow_backend(response));
            let mut clients =
                [start_response(&proxy, "1", "HTTP/1.1"), start_response(&proxy, "2", "HTTP/1.0")];
            let stopped_at = Instant::now();
            proxy.terminate();
            assert_eq!(proxy.wait_for_exit().code(), Some(0));
            let exit_time = stopped_at.elapsed();
            let case = format!("{framing}, {part} bytes each {pause_ms} ms");
            assert!(exit_time < ORDINARY_END + MAX_PAUSE + TOLERANCE, "{case}: {exit_time:?}");
            for client in &mut clients {
                let (_, is_reset) = read_to_end(client);
                assert!(is_reset, "{case}: the client can't tell that the response is not whole");
            }
        }
    }
}

/// A client that reads nothing keeps the process no longer than one that pauses.
#[test]
fn client_that_does_not_read_does_not_keep_the_process() {
    let response = SlowResponse {
        framing: "Content-Length: 30000000",
        first_part: 30_000_000,
        part: 0,
        pause: Duration::ZERO,
        parts: Some(0),
    };
    let (mut proxy, _discovery) = start_proxy("no-reader", start_slow_backend(response));
    let _client = start_response(&proxy, "1", "HTTP/1.1");
    let stopped_at = Instant::now();
    proxy.terminate();
    assert_eq!(proxy.wait_for_exit().code(), Some(0));
    let exit_time = stopped_at.elapsed();
    assert!(exit_time < ORDINARY_END + MAX_PAUSE + TOLERANCE, "{exit_time:?}");
}

/// Requests whose bodies have not arrived when all are due: nothing of them has run, and their clients are told so.
#[test]
fn uploads_under_way_at_the_end_are_rejected() {
    for (size, is_chunked) in [(2_000, false), (400_000, false), (2_000, true), (30_000_000, false)] {
        let backend = Backend::start(|_| ok_response("served"));
        let (mut proxy, _discovery) = start_proxy("uploads", backend.address);
        let mut client = proxy.client();
        let framing = if is_chunked {
            "Transfer-Encoding: chunked".to_owned()
        } else {
            format!("Content-Length: {size}")
        };
        let head = request("charge", "1", "").replace("Content-Length: 0", &framing);
        client.send(&head);
        let mut writer = client.stream.try_clone().expect("clone the stream");
        let upload = thread::spawn(move || {
            for _ in 0..100 {
                let part = "b".repeat(1_000);
                let bytes = if is_chunked { format!("3e8\r\n{part}\r\n") } else { part };
                let slow_part = if size == 2_000 { &bytes[..1] } else { &bytes[..] };
                if writer.write_all(slow_part.as_bytes()).is_err() {
                    return;
                }
                if is_chunked {
                    let _ = writer.write_all(&bytes.as_bytes()[1..]);
                }
                thread::sleep(Duration::from_millis(50));
            }
        });
        let stopped_at = Instant::now();
        proxy.terminate();
        let status = client.receive().status();
        assert!(matches!(status, 502 | 503), "{size} bytes, chunked {is_chunked}: {status}");
        drop(client);
        upload.join().expect("the upload");
        assert_eq!(proxy.wait_for_exit().code(), Some(0));
        assert!(stopped_at.elapsed() < ORDINARY_END + MAX_PAUSE + TOLERANCE, "{:?}", stopped_at.elapsed());
        assert_eq!(backend.take_request_count(), 0, "{size} bytes, chunked {is_chunked}: it has run");
    }
}

/// A request that arrives behind a long response on its connection, when all others are due, gets its response too.
#[test]
fn request_behind_a_long_response_is_answered() {
    let response = SlowResponse {
        framing: "Content-Length: 1240000",
        first_part: 40_000,
        part: 40_000,
        pause: Duration::from_millis(80),
        parts: Some(30),
    };
    let size = response.size();
    let (mut proxy, _discovery) = start_proxy("behind-long", start_slow_backend(response));
    let mut client = start_response(&proxy, "1", "HTTP/1.1");
    proxy.terminate();
    thread::sleep(ORDINARY_END + Duration::from_millis(300));
    client.send(&request("charge", "2", "x").replace("15000", &DEADLINE_MS.to_string()));
    assert_eq!(client.receive().body.len(), size);
    let status = client.receive().status();
    assert!(matches!(status, 502 | 503), "{status}");
    assert_eq!(proxy.wait_for_exit().code(), Some(0));
}
