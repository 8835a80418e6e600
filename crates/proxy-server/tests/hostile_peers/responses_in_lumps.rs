//! Responses without a length that come in lumps, with rests between them.

use crate::late_responses::{read_to_end, split_response};
use crate::support::{Client, Discovery, HttpMessage, Proxy};
use crate::{request_with_time, start_backend, start_proxy};
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// How long after a client's time an answer still counts as given.
const LATENESS_LIMIT: Duration = Duration::from_millis(500);
/// The longest rest of a sound response.
const LONGEST_REST: Duration = Duration::from_secs(2);
/// More than 64 KiB, so that only the first bytes are due within the client's time.
const SIZE: usize = 180_543;
/// How long a client reads at most.
const MAX_READ_TIME: Duration = Duration::from_secs(30);

/// The framings of a response without a length.
const FRAMINGS: [&str; 2] = ["Transfer-Encoding: chunked", "Connection: close"];

/// A response in lumps.
#[derive(Clone, Copy, Debug)]
struct Lumps {
    /// Size of the first lump in bytes.
    first: usize,
    /// The time between two lumps, in milliseconds.
    rest_ms: u64,
    /// The number of the other lumps.
    count: usize,
    /// The size of each of them in bytes.
    size: usize,
}

impl Lumps {
    /// A response of [`SIZE`] bytes.
    const fn whole(first: usize, rest_ms: u64, count: usize) -> Self {
        Self { first, rest_ms, count, size: (SIZE - first) / count }
    }

    fn total(&self) -> usize {
        self.first + self.count * self.size
    }

    fn write(&self, stream: &mut TcpStream, framing: &str) {
        let is_chunked = framing.contains("chunked");
        let _ = stream.write_all(format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n").as_bytes());
        let others = std::iter::repeat_n(self.size, self.count);
        for (position, size) in [self.first].into_iter().chain(others).enumerate() {
            if position > 0 {
                thread::sleep(Duration::from_millis(self.rest_ms));
            }
            let lump = "z".repeat(size);
            let bytes = if is_chunked { format!("{size:x}\r\n{lump}\r\n") } else { lump };
            if stream.write_all(bytes.as_bytes()).is_err() {
                return;
            }
        }
        if is_chunked {
            let _ = stream.write_all(b"0\r\n\r\n");
        }
        let _ = stream.shutdown(Shutdown::Write);
    }
}

/// What a client receives.
struct Received {
    head: String,
    first_byte_after: Duration,
    ended_after: Duration,
    /// The number of bytes of the content; `None` if it is cut off.
    content: Option<usize>,
}

/// Sends a request and reads to the end of its connection.
fn exchange(client: &mut Client, text: &str) -> Received {
    let started_at = Instant::now();
    client.send(text);
    client.arrived().expect("a response");
    let first_byte_after = started_at.elapsed();
    let bytes = read_to_end(client, MAX_READ_TIME);
    let ended_after = started_at.elapsed();
    let (head, content) = split_response(&bytes);
    Received { head, first_byte_after, ended_after, content }
}

/// The number in a correlation id `class-number-framing`.
fn numbers(request: &HttpMessage) -> (usize, usize) {
    let id = request.header("x-correlation-id").expect("an id");
    let mut parts = id.split('-').skip(1).map(|part| part.parse().expect("a number"));
    (parts.next().expect("a case"), parts.next().expect("a framing"))
}

/// Plays all cases at once, for each effect and framing.
fn play(name: &str, cases: &'static [Lumps], time_left: Duration, check: fn(&Lumps, &Received) -> bool) {
    play_with(name, cases, time_left, check, |_| {});
}

/// [`play`] with a step that follows once all requests are sent.
fn play_with(
    name: &str,
    cases: &'static [Lumps],
    time_left: Duration,
    check: fn(&Lumps, &Received) -> bool,
    after_requests: fn(&Proxy),
) {
    let discovery = Discovery::start();
    let backend = start_backend(move |request, stream| {
        let (case, framing) = numbers(request);
        cases[case].write(stream, FRAMINGS[framing]);
        false
    });
    let proxy = start_proxy(name, &discovery, &[backend; 64]);
    let mut clients = Vec::new();
    for class in ["read", "submit", "charge"] {
        for (number, case) in cases.iter().enumerate() {
            for (framing, framing_name) in FRAMINGS.iter().enumerate() {
                let id = format!("{class}-{number}-{framing}");
                let text = request_with_time(class, &id, "", time_left.as_millis() as u64);
                let text = text.replace("Host:", "Connection: close\r\nHost:");
                let mut client = Client::connect(proxy.address);
                let play = thread::spawn(move || exchange(&mut client, &text));
                clients.push((format!("{class}, {framing_name}, {case:?}"), case, play));
                thread::sleep(Duration::from_millis(5));
            }
        }
    }
    after_requests(&proxy);
    let mut failed = Vec::new();
    for (name, case, client) in clients {
        let received = client.join().expect("the client");
        if !check(case, &received) {
            let Received { head, first_byte_after, ended_after, content } = received;
            let status = head.lines().next().unwrap_or_default().to_owned();
            failed.push(format!(
                "{name}: {status}, first byte {first_byte_after:?}, end {ended_after:?}, {content:?}"
            ));
        }
    }
    assert!(failed.is_empty(), "with {time_left:?} left: {failed:#?}");
}

/// Guards against responses cut off in a rest: over 64 KiB only the first bytes are due within the client's time.
#[test]
fn large_response_in_lumps_is_not_cut_off_in_a_rest() {
    const CASES: &[Lumps] = &[
        Lumps::whole(60_000, 900, 2),
        Lumps::whole(60_000, 1_600, 2),
        Lumps::whole(24_500, 1_500, 2),
        Lumps::whole(40_000, 450, 4),
        Lumps::whole(20_000, 500, 6),
        Lumps::whole(1_000, 400, 6),
        Lumps::whole(1_000, 800, 3),
        Lumps::whole(2_000, 1_200, 3),
        Lumps::whole(200, 1_950, 2),
        Lumps::whole(9_000, 400, 20),
    ];
    for time_left_ms in [600, 744, 1_500] {
        play("lumps", CASES, Duration::from_millis(time_left_ms), |case, received| {
            received.head.starts_with("HTTP/1.1 200") && received.content == Some(case.total())
        });
    }
}

/// The same at a planned restart, which begins in the first rest.
#[test]
fn large_response_in_lumps_is_completed_at_a_planned_restart() {
    const CASES: &[Lumps] = &[
        Lumps::whole(60_000, 1_600, 2),
        Lumps::whole(40_000, 450, 4),
        Lumps::whole(1_000, 800, 3),
        Lumps::whole(200, 1_950, 2),
    ];
    let check = |case: &Lumps, received: &Received| received.content == Some(case.total());
    play_with("lumps-restart", CASES, Duration::from_millis(744), check, Proxy::terminate);
}

/// A response that goes on with a few bytes after each rest, and never ends, is no large one.
#[test]
fn response_that_drips_after_each_rest_has_a_final_answer_in_time() {
    const CASES: &[Lumps] = &[
        Lumps { first: 64, rest_ms: 100, count: 300, size: 64 },
        Lumps { first: 2_000, rest_ms: 300, count: 100, size: 200 },
        Lumps { first: 2_000, rest_ms: 490, count: 60, size: 64 },
        Lumps { first: 60_000, rest_ms: 430, count: 60, size: 64 },
    ];
    const TIME_LEFT: Duration = Duration::from_millis(1_300);
    play("drips", CASES, TIME_LEFT, |_, received| received.ended_after < TIME_LEFT + LATENESS_LIMIT);
}

/// A response that stops after its first part can't be told from one in lumps until the longest rest is over.
#[test]
fn response_that_stops_after_its_first_part_ends_after_the_longest_rest() {
    const CASES: &[Lumps] = &[
        Lumps { first: 1_000, rest_ms: 20_000, count: 1, size: 64 },
        Lumps { first: 60_000, rest_ms: 20_000, count: 1, size: 64 },
    ];
    const TIME_LEFT: Duration = Duration::from_millis(700);
    play("stops", CASES, TIME_LEFT, |_, received| {
        received.content.is_none()
            && received.first_byte_after < TIME_LEFT
            && received.ended_after < LONGEST_REST + LATENESS_LIMIT
    });
}
