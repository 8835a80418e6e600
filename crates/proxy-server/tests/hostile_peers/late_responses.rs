//! Responses that arrive slowly, and backends that read slowly.

use crate::support::{Client, Discovery};
use crate::{LEAST_MEMORY_MB, peak_memory, request_with_time, start_backend, start_proxy, write_ok};
use std::io::{BufRead, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

const TIME_LEFT: Duration = Duration::from_millis(700);
/// How long after a client's time an answer still counts as given.
const LATENESS_LIMIT: Duration = Duration::from_millis(500);
/// How long a client reads a response that does not end.
const MAX_READ_TIME: Duration = Duration::from_secs(10);

/// Writes a body in parts with a pause after each; the head gives no length.
fn write_in_parts(stream: &mut TcpStream, is_chunked: bool, parts: usize, part: &[u8], pause: Duration) {
    let framing = if is_chunked { "Transfer-Encoding: chunked" } else { "Connection: close" };
    let _ = stream.write_all(format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n").as_bytes());
    for _ in 0..parts {
        let mut bytes = Vec::new();
        if is_chunked {
            bytes.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
        }
        bytes.extend_from_slice(part);
        if is_chunked {
            bytes.extend_from_slice(b"\r\n");
        }
        if stream.write_all(&bytes).is_err() {
            return;
        }
        thread::sleep(pause);
    }
    if is_chunked {
        let _ = stream.write_all(b"0\r\n\r\n");
    }
}

/// The content of a complete chunked message body; `None` if it is cut off.
fn chunked_content(mut body: &[u8]) -> Option<usize> {
    let mut content = 0;
    loop {
        let end = body.windows(2).position(|window| window == b"\r\n")?;
        let size = usize::from_str_radix(std::str::from_utf8(&body[..end]).ok()?, 16).ok()?;
        if size == 0 {
            return Some(content);
        }
        content += size;
        body = body.get(end + 2 + size + 2..)?;
    }
}

/// Reads what comes until the end of the connection, for `max_time` at most.
pub fn read_to_end(client: &mut Client, max_time: Duration) -> Vec<u8> {
    let (mut bytes, started_at) = (Vec::new(), Instant::now());
    while started_at.elapsed() < max_time {
        match client.arrived() {
            Ok([]) | Err(_) => break,
            Ok(read) => bytes.extend_from_slice(read),
        }
        let count = client.reader.buffer().len();
        client.reader.consume(count);
    }
    bytes
}

/// The head of a response, and the length of its content unless that is cut off.
pub fn split_response(bytes: &[u8]) -> (String, Option<usize>) {
    let head_end = bytes.windows(4).position(|window| window == b"\r\n\r\n").map_or(bytes.len(), |at| at + 4);
    (String::from_utf8_lossy(&bytes[..head_end]).into_owned(), chunked_content(&bytes[head_end..]))
}

/// Reads a response to the end of its connection, for [`MAX_READ_TIME`] at most: the head, and the content unless
/// it is cut off.
fn read_chunked_response(client: &mut Client) -> (String, Option<usize>) {
    split_response(&read_to_end(client, MAX_READ_TIME))
}

/// Over 64 KiB, only the first bytes of a response are due within the client's time.
#[test]
fn response_without_length_that_is_still_arriving_at_the_deadline_is_not_cut_off() {
    const SIZE: usize = 144_000;
    for (parts, pause) in [(24, Duration::from_millis(80)), (8, Duration::from_millis(230))] {
        for is_chunked in [true, false] {
            let discovery = Discovery::start();
            let backend = start_backend(move |_, stream| {
                write_in_parts(stream, is_chunked, parts, &vec![b'z'; SIZE / parts], pause);
                is_chunked
            });
            let proxy = start_proxy("in-parts", &discovery, &[backend; 3]);
            for class in ["read", "submit", "charge"] {
                let mut client = Client::connect(proxy.address);
                let started_at = Instant::now();
                let head = request_with_time(class, class, "", TIME_LEFT.as_millis() as u64);
                client.send(&head.replace("Host:", "Connection: close\r\nHost:"));
                client.arrived().expect("a response");
                let first_byte_after = started_at.elapsed();
                let (head, content) = read_chunked_response(&mut client);
                let case =
                    format!("{class}, chunked {is_chunked}, {parts} parts, {first_byte_after:?}: {head}");
                assert!(first_byte_after < TIME_LEFT && head.starts_with("HTTP/1.1 200"), "{case}");
                assert_eq!(content, Some(SIZE), "{case}");
            }
        }
    }
}

/// A response that has stopped arriving is no reason to keep its client waiting.
#[test]
fn response_without_length_that_has_stopped_by_the_deadline_fails_in_time() {
    for content in ["", "5\r\nhello\r\n"] {
        let discovery = Discovery::start();
        let backend = start_backend(move |_, stream| {
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            let _ = stream.write_all(format!("{head}{content}").as_bytes());
            thread::sleep(Duration::from_secs(5));
            false
        });
        let proxy = start_proxy("stopped", &discovery, &[backend]);
        let started_at = Instant::now();
        let text = request_with_time("charge", "stopped", "", TIME_LEFT.as_millis() as u64);
        let status = Client::connect(proxy.address).exchange(&text).status();
        assert!(status >= 500 && started_at.elapsed() < TIME_LEFT + LATENESS_LIMIT, "{content:?}: {status}");
    }
}

/// A response that may be large and stops after its client's time, before it is over 64 KiB, ends within the slack,
/// and its client can tell that it is not whole.
#[test]
fn response_without_length_that_stops_after_the_deadline_is_cut_off_in_time() {
    let discovery = Discovery::start();
    let backend = start_backend(|_, stream| {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        let part = "z".repeat(12_000);
        for _ in 0..5 {
            let _ = stream.write_all(format!("{:x}\r\n{part}\r\n", part.len()).as_bytes());
            thread::sleep(Duration::from_millis(150));
        }
        thread::sleep(Duration::from_secs(5));
        false
    });
    let proxy = start_proxy("stops", &discovery, &[backend]);
    let mut client = Client::connect(proxy.address);
    let started_at = Instant::now();
    client.send(&request_with_time("charge", "stops", "", TIME_LEFT.as_millis() as u64));
    let (head, content) = read_chunked_response(&mut client);
    let elapsed = started_at.elapsed();
    assert!(elapsed < TIME_LEFT + LATENESS_LIMIT && content.is_none(), "{elapsed:?}: {head}");
    assert!(head.starts_with("HTTP/1.1 200"), "a response that may be large is passed on: {head}");
}

/// A response that never ends: the size of its first part, then a few bytes after each pause.
struct EndlessResponse {
    framing: &'static str,
    first_part: usize,
    pause: Duration,
}

impl EndlessResponse {
    /// Writes until the connection is closed.
    fn write(&self, stream: &mut TcpStream) {
        let is_chunked = self.framing.contains("chunked");
        let _ = stream.write_all(format!("HTTP/1.1 200 OK\r\n{}\r\n\r\n", self.framing).as_bytes());
        for size in [self.first_part].into_iter().chain(std::iter::repeat(64)) {
            let part = "z".repeat(size);
            let bytes = if is_chunked { format!("{size:x}\r\n{part}\r\n") } else { part };
            if stream.write_all(bytes.as_bytes()).is_err() {
                break;
            }
            thread::sleep(self.pause);
        }
    }
}

/// Guards against a request without a final answer: a response that never ends was passed on after its client's
/// time, and each of its bytes extended the time for the next one.
#[test]
fn response_that_never_ends_has_a_final_answer_in_time() {
    for framing in ["Transfer-Encoding: chunked", "Connection: close", "Content-Length: 60000"] {
        for (first_part, pause_ms) in [(64, 100), (1, 10), (2_000, 430), (60_000, 100)] {
            let endless = EndlessResponse { framing, first_part, pause: Duration::from_millis(pause_ms) };
            let endless = std::sync::Arc::new(endless);
            if framing.contains("Length") && first_part == 60_000 {
                continue;
            }
            let (closed, closes) = std::sync::mpsc::channel();
            let discovery = Discovery::start();
            let backend = start_backend(move |_, stream| {
                endless.write(stream);
                let _ = closed.send(Instant::now());
                false
            });
            let proxy = start_proxy("endless", &discovery, &[backend; 3]);
            let started_at = Instant::now();
            let clients = ["read", "submit", "charge"].map(|class| {
                let mut client = Client::connect(proxy.address);
                let head = request_with_time(class, class, "", TIME_LEFT.as_millis() as u64);
                client.send(&head.replace("Host:", "Connection: close\r\nHost:"));
                thread::spawn(move || (class, read_chunked_response(&mut client), started_at.elapsed()))
            });
            for client in clients {
                let (class, (head, content), elapsed) = client.join().expect("the client");
                let case = format!("{framing}, {first_part} bytes, pauses of {pause_ms} ms, {class}");
                assert!(elapsed < TIME_LEFT + LATENESS_LIMIT, "{case}: {elapsed:?}: {head}");
                let is_error = head.starts_with("HTTP/1.1 50");
                assert!(is_error || (first_part == 60_000 && content.is_none()), "{case}: {head}");
                let closed_at =
                    closes.recv_timeout(Duration::from_secs(2)).expect("the connection is closed");
                let held = closed_at.saturating_duration_since(started_at);
                assert!(held < TIME_LEFT + LATENESS_LIMIT * 2, "{case}: the backend was held for {held:?}");
            }
        }
    }
}

/// Guards against a request without a final answer: the head of a large response was passed on, and no byte of
/// its body came.
#[test]
fn large_response_that_stops_after_its_head_fails_in_time() {
    let discovery = Discovery::start();
    let backend = start_backend(|_, stream| {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n");
        thread::sleep(Duration::from_secs(5));
        false
    });
    let proxy = start_proxy("head-only", &discovery, &[backend; 3]);
    for class in ["read", "submit", "charge"] {
        let started_at = Instant::now();
        let text = request_with_time(class, class, "", TIME_LEFT.as_millis() as u64);
        let mut client = Client::connect(proxy.address);
        client.send(&text.replace("Host:", "Connection: close\r\nHost:"));
        let (head, _) = read_chunked_response(&mut client);
        let elapsed = started_at.elapsed();
        assert!(
            elapsed < TIME_LEFT + LATENESS_LIMIT && head.starts_with("HTTP/1.1 50"),
            "{class}: {elapsed:?}: {head}"
        );
    }
}

/// Large responses that never end hold a connection each, and no more, until their clients leave.
#[test]
fn large_responses_that_never_end_leave_room_for_others() {
    const COUNT: usize = 40;
    let (closed, closes) = std::sync::mpsc::channel();
    let discovery = Discovery::start();
    let backend = start_backend(move |request, stream| {
        if request.head.contains("/read") {
            return write_ok(stream, b"small");
        }
        let endless = EndlessResponse {
            framing: "Transfer-Encoding: chunked",
            first_part: 70_000,
            pause: Duration::from_millis(50),
        };
        endless.write(stream);
        let _ = closed.send(());
        false
    });
    let proxy = start_proxy("endless-large", &discovery, &[backend; 4]);
    let clients: Vec<Client> = (0..COUNT)
        .map(|id| {
            let mut client = Client::connect(proxy.address);
            client.send(&request_with_time("charge", &id.to_string(), "", 2_000));
            assert!(client.arrived().expect("a response").starts_with(b"HTTP/1.1 200"));
            client
        })
        .collect();
    for id in 0..20 {
        let started_at = Instant::now();
        let text = request_with_time("read", &format!("small-{id}"), "", TIME_LEFT.as_millis() as u64);
        assert_eq!(Client::connect(proxy.address).exchange(&text).body, b"small");
        assert!(started_at.elapsed() < TIME_LEFT, "{:?}", started_at.elapsed());
    }
    let peak = peak_memory(proxy.child.id());
    assert!(peak < LEAST_MEMORY_MB << 20, "{peak} bytes");
    drop(clients);
    for _ in 0..COUNT {
        closes.recv_timeout(Duration::from_secs(2)).expect("its connection is closed with its client's");
    }
}

#[test]
fn response_deadline_of_a_streamed_request_counts_from_the_client() {
    const SIZE: usize = 5_500_000;
    let discovery = Discovery::start();
    // This backend reads nothing; the kernel's buffers take a part of the body.
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
    let backend = listener.local_addr().expect("local address");
    let proxy = start_proxy("slow-backend", &discovery, &[backend]);
    let mut client = Client::connect(proxy.address);
    let head = request_with_time("charge", "upload", "", 1_000);
    client.send(&head.replace("Length: 0", &format!("Length: {SIZE}")));
    let mut writer = client.stream.try_clone().expect("clone the stream");
    let written = thread::spawn(move || writer.write_all(&vec![0; SIZE]).map(|()| Instant::now()));
    let status = client.receive().status();
    let answered_at = Instant::now();
    assert!(status >= 400, "{status}");
    drop(client);
    if let Ok(written_at) = written.join().expect("the writer") {
        let waited = answered_at.saturating_duration_since(written_at);
        assert!(waited < Duration::from_secs(1) + LATENESS_LIMIT, "answered {waited:?} after the last byte");
    }
}

#[test]
fn time_left_of_pipelined_requests_is_not_overstated() {
    const SLACK: Duration = Duration::from_millis(150);
    const TIME_LEFT_MS: u64 = 3_000;
    for (count, body) in [(300, 0), (100, 400)] {
        let discovery = Discovery::start();
        let (sender, told) = std::sync::mpsc::channel();
        let backend = start_backend(move |request, stream| {
            let time_left = request.header("x-time-left-ms").and_then(|value| value.parse::<u64>().ok());
            let _ = sender.send((Instant::now(), time_left.expect("a time")));
            thread::sleep(Duration::from_millis(20));
            write_ok(stream, b"fine")
        });
        let proxy = start_proxy("pipelined", &discovery, &[backend; 2]);
        let mut client = Client::connect(proxy.address);
        let requests: String = (0..count)
            .map(|id| request_with_time("charge", &format!("l{id}"), &"b".repeat(body), TIME_LEFT_MS))
            .collect();
        client.send(&requests);
        let sent_at = Instant::now();
        for _ in 0..count {
            client.receive();
            let late = sent_at.elapsed().saturating_sub(Duration::from_millis(TIME_LEFT_MS));
            assert!(late < LATENESS_LIMIT, "a response came {late:?} after its time");
        }
        let most_overstated = told
            .try_iter()
            .map(|(at, time_left)| at.saturating_duration_since(sent_at) + Duration::from_millis(time_left))
            .max()
            .expect("attempts")
            .saturating_sub(Duration::from_millis(TIME_LEFT_MS));
        assert!(most_overstated <= SLACK, "{count} requests: {most_overstated:?} too much");
    }
}
