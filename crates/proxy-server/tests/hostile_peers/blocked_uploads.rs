//! Large requests before backends that read slowly or stop reading.

use crate::least_config;
use crate::support::{Client, Discovery, Proxy, listener_with_full_accept_queue};
use crate::{entries, request_with_time};
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// How long after a client's time an answer still counts as given.
const LATENESS_LIMIT: Duration = Duration::from_millis(500);
/// The time of the requests.
const TIME_LEFT: Duration = Duration::from_millis(744);
/// A backend that stops reading has read this many bytes.
const BYTES_BEFORE_STOP: usize = 27_033;
/// The receive buffer of a backend, so small that the rest of a body waits at the proxy.
const RECEIVE_BUFFER_BYTES: usize = 16 * 1_024;
/// The size of a chunk of a chunked body, in bytes.
const CHUNK_SIZE: usize = 60_000;

/// The number of proxies that were started, for their names.
static PROXIES: AtomicUsize = AtomicUsize::new(0);

/// How a backend reads requests. It answers none.
#[derive(Clone, Copy, Debug)]
enum Reading {
    Stops,
    /// Bytes per second.
    Slowly(usize),
}

fn start_backend(reading: Reading) -> SocketAddr {
    const INTERVAL: Duration = Duration::from_millis(10);
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("create a socket");
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("set the size of the receive buffer");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("bind to a free port");
    socket.listen(128).expect("listen on the socket");
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().expect("local address");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || match reading {
                Reading::Stops => {
                    let _ = stream.read_exact(&mut vec![0; BYTES_BEFORE_STOP]);
                    thread::sleep(Duration::from_secs(10));
                }
                Reading::Slowly(rate) => {
                    let mut part = vec![0; rate / 100];
                    while stream.read(&mut part).is_ok_and(|count| count > 0) {
                        thread::sleep(INTERVAL);
                    }
                }
            });
        }
    });
    address
}

fn start_proxy(name: &str, memory_mb: u64, discovery: &Discovery, backends: &[SocketAddr]) -> Proxy {
    let mut config = least_config(name, discovery);
    config["limits"]["memory_mb"] = memory_mb.into();
    let proxy = Proxy::start_with_config(name, &config);
    discovery.publish_and_wait(true, &entries(backends));
    proxy
}

/// The bytes of a request with a body of this size.
fn request_bytes(id: &str, size: usize, is_chunked: bool) -> Vec<u8> {
    // Both effects that have a body.
    let class = if is_chunked { "submit" } else { "charge" };
    let head = request_with_time(class, id, "", TIME_LEFT.as_millis() as u64);
    if !is_chunked {
        let mut bytes = head.replace("Length: 0", &format!("Length: {size}")).into_bytes();
        bytes.resize(bytes.len() + size, b'x');
        return bytes;
    }
    let mut bytes = head.replace("Content-Length: 0", "Transfer-Encoding: chunked").into_bytes();
    let chunk = vec![b'x'; CHUNK_SIZE];
    for start in (0..size).step_by(CHUNK_SIZE) {
        let chunk = &chunk[..CHUNK_SIZE.min(size - start)];
        bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        bytes.extend_from_slice(chunk);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\n\r\n");
    bytes
}

/// The answer to an upload.
struct Answer {
    status: u16,
    /// How long after its last byte it came; `None` if the request was not taken whole before it.
    waited: Option<Duration>,
}

impl Answer {
    fn is_late(&self) -> bool {
        self.waited.is_some_and(|waited| waited >= TIME_LEFT + LATENESS_LIMIT)
    }
}

/// Writes a request, its last `rest` bytes after a pause, and waits for the answer.
fn upload(address: SocketAddr, bytes: Vec<u8>, rest: usize, pause: Duration) -> Answer {
    let mut client = Client::connect(address);
    let mut writer = client.stream.try_clone().expect("clone the stream");
    let writing = thread::spawn(move || {
        let (first, last) = bytes.split_at(bytes.len() - rest);
        writer.write_all(first).ok()?;
        thread::sleep(pause);
        writer.write_all(last).ok()?;
        Some(Instant::now())
    });
    let status = client.receive().status();
    let answered_at = Instant::now();
    assert!(status >= 400, "{status}");
    drop(client);
    let written_at = writing.join().expect("the writer");
    Answer { status, waited: written_at.map(|written_at| answered_at.saturating_duration_since(written_at)) }
}

/// Plays uploads of these sizes with and without a length, one after another, and returns those answered late.
fn late_answers(
    memory_mb: u64,
    reading: Reading,
    sizes: &[usize],
    rest: usize,
    pause: Duration,
) -> Vec<String> {
    let plays: Vec<_> = [false, true]
        .map(|is_chunked| {
            let sizes = sizes.to_vec();
            thread::spawn(move || {
                let discovery = Discovery::start();
                let backend = start_backend(reading);
                let name = format!("blocked-{}", PROXIES.fetch_add(1, Ordering::Relaxed));
                let proxy = start_proxy(&name, memory_mb, &discovery, &[backend; 20]);
                let mut late = Vec::new();
                for (n, size) in sizes.into_iter().enumerate() {
                    let bytes = request_bytes(&format!("upload-{n}"), size, is_chunked);
                    let answer = upload(proxy.address, bytes, rest, pause);
                    if answer.is_late() {
                        let waited = answer.waited;
                        late.push(format!(
                            "{memory_mb} MB, chunked {is_chunked}, {size}, {reading:?}: {waited:?}"
                        ));
                    }
                }
                late
            })
        })
        .into_iter()
        .collect();
    plays.into_iter().flat_map(|play| play.join().expect("a play")).collect()
}

/// Sizes about that of the largest body that is buffered, a twentieth of the memory.
fn sizes_about_largest_buffered(memory_mb: u64) -> Vec<usize> {
    let largest = (memory_mb as usize) * (1 << 20) / 20;
    [0, 1, 112, 4_000, 8_000, 16_000, 70_000].map(|beyond| largest + beyond).to_vec()
}

/// The size of the smallest body that does not fit into the kernel's buffers on the way to a backend that has
/// stopped to read, to within [`CHUNK_SIZE`] / 4: a smaller one may have run, and is answered 502.
fn size_of_kernel_buffers(address: SocketAddr, is_chunked: bool) -> usize {
    let (mut fits, mut blocks) = (1_700_000, 8_000_000);
    while blocks - fits > CHUNK_SIZE / 4 {
        let size = usize::midpoint(fits, blocks);
        let bytes = request_bytes(&format!("search-{size}"), size, is_chunked);
        let answer = upload(address, bytes, 0, Duration::ZERO);
        *(if answer.status == 502 { &mut fits } else { &mut blocks }) = size;
    }
    blocks
}

/// Guards against an answer seconds late: what the backend's socket did not take had arrived, and lay in the HTTP
/// library's buffer, while the kernel held nothing.
#[test]
fn end_of_a_body_in_the_read_buffer_counts_as_arrived() {
    const STEP: usize = 2_500;
    const STEPS: usize = 40;
    let plays = [false, true].map(|is_chunked| {
        thread::spawn(move || {
            let discovery = Discovery::start();
            let backend = start_backend(Reading::Stops);
            let name = format!("read-buffer-{is_chunked}");
            let proxy = start_proxy(&name, 32, &discovery, &[backend; 40]);
            let first = size_of_kernel_buffers(proxy.address, is_chunked) - STEPS / 2 * STEP;
            let mut late = Vec::new();
            for lane in 0..STEPS {
                let size = first + lane * STEP;
                let bytes = request_bytes(&format!("upload-{size}"), size, is_chunked);
                let answer = upload(proxy.address, bytes, 0, Duration::ZERO);
                if answer.is_late() {
                    late.push(format!(
                        "chunked {is_chunked}, {size}: {}, {:?}",
                        answer.status, answer.waited
                    ));
                }
            }
            late
        })
    });
    let late: Vec<_> = plays.into_iter().flat_map(|play| play.join().expect("a play")).collect();
    assert!(late.is_empty(), "{late:#?}");
}

/// The same about the size of the largest body that is buffered.
#[test]
fn end_of_a_body_beyond_the_largest_buffered_counts_as_arrived() {
    let late: Vec<_> = [32, 48]
        .into_iter()
        .flat_map(|memory_mb| {
            let sizes = sizes_about_largest_buffered(memory_mb);
            late_answers(memory_mb, Reading::Stops, &sizes, 0, Duration::ZERO)
        })
        .collect();
    assert!(late.is_empty(), "{late:#?}");
}

/// The same if the end arrives by itself, before and after the backend has stopped to read.
#[test]
fn end_of_a_body_that_arrives_alone_counts_as_arrived() {
    let sizes = sizes_about_largest_buffered(32);
    for (rest, pause_ms) in [(5, 30), (40, 300), (3_000, 100)] {
        let late = late_answers(32, Reading::Stops, &sizes[1..5], rest, Duration::from_millis(pause_ms));
        assert!(late.is_empty(), "the last {rest} bytes after {pause_ms} ms: {late:#?}");
    }
}

/// Guards against an answer late by as long as the backend reads: what waits behind a full window was written.
#[test]
fn body_that_waits_behind_a_full_window_counts_as_arrived() {
    for rate in [200_000, 1_000_000, 3_000_000] {
        let sizes = [500_000, 2_516_694, 5_500_000, 8_000_000];
        let late = late_answers(32, Reading::Slowly(rate), &sizes, 0, Duration::ZERO);
        assert!(late.is_empty(), "{late:#?}");
    }
}

/// The time before an attempt counts: while connections to the backends do not come up, or all of them are busy.
#[test]
fn upload_that_waits_before_its_attempt_is_answered_in_time() {
    let (full_listener, _filler) = listener_with_full_accept_queue();
    let unreachable = full_listener.local_addr().expect("local address");
    for (name, backend) in [("unreachable", unreachable), ("busy", start_backend(Reading::Stops))] {
        let discovery = Discovery::start();
        let proxy = start_proxy(name, 32, &discovery, &[backend; 2]);
        let plays: Vec<_> = (0..24)
            .map(|n| {
                let (address, is_chunked) = (proxy.address, n % 2 == 0);
                thread::spawn(move || {
                    let bytes = request_bytes(&format!("{name}-{n}"), 100_000 + n * 100_000, is_chunked);
                    let answer = upload(address, bytes, 0, Duration::ZERO);
                    answer.is_late().then(|| format!("{name} {n}: {}, {:?}", answer.status, answer.waited))
                })
            })
            .collect();
        let late: Vec<_> = plays.into_iter().filter_map(|play| play.join().expect("a play")).collect();
        assert!(late.is_empty(), "{late:#?}");
    }
}
