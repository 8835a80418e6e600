//! Discovery lists that exceed the size limit of the proxy.

use crate::support::*;
use serde_json::{Value, json};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The largest list that the proxy reads, in bytes, as its log states it.
const MAX_LIST_BYTES: usize = 4_194_304;
/// The size of an oversized list in bytes; far more than the kernel buffers for a connection.
const OVERSIZED_BYTES: usize = 64 << 20;
/// The number of bytes of a list that the kernel's buffers of both sides may contain when the reader closes
/// the connection.
const MAX_BUFFERED_BYTES: usize = 16 << 20;
/// The minimum delay between two calls for an oversized list.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(3_700);
/// Longer than the maximum delay between two calls.
const CALL_TIMEOUT: Duration = Duration::from_secs(45);

/// How the length of an oversized list is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LengthForm {
    /// In a `Content-Length` header.
    Length,
    /// In chunks of the chunked transfer coding.
    Chunked,
}

/// The list that discovery serves.
#[derive(Clone, Debug)]
enum List {
    /// A complete list of this revision.
    Complete(u64, Vec<Value>),
    /// A list of [`OVERSIZED_BYTES`].
    Oversized,
}

/// A discovery service whose list may be oversized.
struct OversizedDiscovery {
    address: SocketAddr,
    list: Arc<Mutex<List>>,
    calls: Receiver<(Instant, Option<u64>)>,
    /// The number of bytes of oversized lists written so far.
    written: Arc<AtomicUsize>,
}

fn write_oversized(stream: &mut TcpStream, form: LengthForm, written: &AtomicUsize) -> std::io::Result<()> {
    let chunk = vec![b' '; 64 << 10];
    match form {
        LengthForm::Length => write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {OVERSIZED_BYTES}\r\n\r\n")?,
        LengthForm::Chunked => write!(stream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?,
    }
    for _ in 0..OVERSIZED_BYTES / chunk.len() {
        if form == LengthForm::Chunked {
            write!(stream, "{:x}\r\n", chunk.len())?;
        }
        stream.write_all(&chunk)?;
        written.fetch_add(chunk.len(), Ordering::SeqCst);
        if form == LengthForm::Chunked {
            stream.write_all(b"\r\n")?;
        }
    }
    Ok(())
}

fn serve(
    mut stream: TcpStream,
    form: LengthForm,
    list: &Mutex<List>,
    sender: &Sender<(Instant, Option<u64>)>,
    written: &AtomicUsize,
) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    loop {
        let call = read_message(&mut reader)?;
        let query_parameter = |name: &str| {
            let (_, rest) = call.first_line().split_once(name)?;
            rest.split(['&', ' ']).next()?.parse::<u64>().ok()
        };
        let (after, wait) = (query_parameter("after="), query_parameter("wait_ms=").unwrap_or_default());
        let wait_end = Instant::now() + Duration::from_millis(wait);
        sender.send((Instant::now(), after)).ok()?;
        let list = loop {
            let list = list.lock().expect("lock the list").clone();
            let has_changed = !matches!(list, List::Complete(revision, _) if after == Some(revision));
            if has_changed || Instant::now() >= wait_end {
                break list;
            }
            thread::sleep(Duration::from_millis(5));
        };
        match list {
            List::Oversized => write_oversized(&mut stream, form, written).ok()?,
            List::Complete(revision, members) => {
                let has_changed = after != Some(revision);
                let members = if has_changed { members } else { Vec::new() };
                let text =
                    json!({"revision": revision, "complete": has_changed, "members": members}).to_string();
                stream.write_all(&response_bytes("200 OK", "", text.as_bytes())).ok()?;
            }
        }
    }
}

impl OversizedDiscovery {
    fn start(form: LengthForm, list: List) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
        let address = listener.local_addr().expect("local address");
        let (sender, calls) = channel();
        let (list, written) = (Arc::new(Mutex::new(list)), Arc::<AtomicUsize>::default());
        let shared = (Arc::clone(&list), Arc::clone(&written));
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (Ok(stream), sender, (list, written)) = (stream, sender.clone(), shared.clone()) else {
                    return;
                };
                thread::spawn(move || serve(stream, form, &list, &sender, &written));
            }
        });
        Self { address, list, calls, written }
    }

    fn set_list(&self, list: List) {
        *self.list.lock().expect("lock the list") = list;
    }

    fn next_call_revision(&self) -> (Instant, Option<u64>) {
        self.calls.recv_timeout(CALL_TIMEOUT).expect("a call to discovery")
    }
}

fn config_for(name: &str, discovery: SocketAddr, is_polled: bool, known: &[Value]) -> Value {
    let mut config = proxy_config(name, &Discovery::start());
    config["discovery"] = discovery.to_string().into();
    config["known"] = json!({"revision": 1, "complete": true, "members": known});
    if is_polled {
        config["settings"]["membershipMode"] = "on_request".into();
        config["settings"]["safety"]["askWithinUs"] = 10_000_000.into();
    }
    config
}

/// Asserts that the proxy delays its next call after an oversized list, and that little of the list is
/// transferred.
fn assert_polled_rarely(discovery: &OversizedDiscovery, first_call_at: Instant) {
    let (second_call_at, _) = discovery.next_call_revision();
    assert!(
        second_call_at - first_call_at >= MIN_RETRY_DELAY,
        "polled after {:?}",
        second_call_at - first_call_at
    );
    let written = discovery.written.load(Ordering::SeqCst);
    assert!(written <= 2 * MAX_BUFFERED_BYTES, "{written} bytes for two calls");
}

fn assert_logged_once(proxy: &mut Proxy, form: LengthForm) {
    proxy.terminate();
    let log = proxy.remaining_log();
    let lines: Vec<_> = log.lines().filter(|line| line.contains("the list is too long")).collect();
    assert_eq!(lines.len(), 1, "{log}");
    let size = match form {
        LengthForm::Length => format!("{OVERSIZED_BYTES} bytes"),
        LengthForm::Chunked => format!("over {MAX_LIST_BYTES} bytes"),
    };
    let limit = format!("at most {MAX_LIST_BYTES}");
    assert!(lines[0].contains(&size) && lines[0].contains(&limit), "{}", lines[0]);
    assert_eq!(log.matches("discovery: ").count(), 1, "{log}");
}

const CASES: [(LengthForm, bool); 4] = [
    (LengthForm::Length, false),
    (LengthForm::Chunked, false),
    (LengthForm::Length, true),
    (LengthForm::Chunked, true),
];

/// Runs all cases in parallel, since each mostly waits, and asserts that none has failed.
fn run_in_parallel(case: impl Fn(LengthForm, bool) + Send + Sync + 'static) {
    let case = Arc::new(case);
    let runs = CASES.map(|(form, is_polled)| {
        let case = Arc::clone(&case);
        thread::spawn(move || case(form, is_polled))
    });
    let failures =
        runs.into_iter().zip(CASES).filter_map(|(run, case_input)| run.join().err().map(|_| case_input));
    let failures: Vec<_> = failures.collect();
    assert!(failures.is_empty(), "{failures:?}");
}

/// Guards against polling an oversized list ten times a second without logging its size.
#[test]
fn oversized_list_is_logged_once_and_polled_rarely_until_it_is_short_enough() {
    run_in_parallel(|form, is_polled| {
        let backend = Backend::start(|_| ok_response("there"));
        let discovery = OversizedDiscovery::start(form, List::Oversized);
        let name = format!("long-{form:?}-{is_polled}");
        let mut proxy =
            Proxy::start_with_config(&name, &config_for(&name, discovery.address, is_polled, &[]));
        let (first_call_at, _) = discovery.next_call_revision();
        assert_eq!(
            proxy.client().exchange(HEALTH_REQUEST).status(),
            503,
            "neither discovery nor the configuration provides a list"
        );
        assert_polled_rarely(&discovery, first_call_at);
        discovery.set_list(List::Complete(9, vec![backend_entry("s-1", backend.address, "active", 0)]));
        while discovery.next_call_revision().1 != Some(9) {}
        assert_eq!(proxy.client().exchange(HEALTH_REQUEST).status(), 200);
        assert_eq!(proxy.client().exchange(&request("charge", "1", "x")).body, b"there");
        assert_logged_once(&mut proxy, form);
    });
}

#[test]
fn configured_list_is_used_while_discovery_is_oversized() {
    run_in_parallel(|form, is_polled| {
        let backend = Backend::start(|_| ok_response("there"));
        let discovery = OversizedDiscovery::start(form, List::Oversized);
        let name = format!("known-{form:?}-{is_polled}");
        let known = [backend_entry("s-1", backend.address, "active", 0)];
        let mut proxy =
            Proxy::start_with_config(&name, &config_for(&name, discovery.address, is_polled, &known));
        let (first_call_at, _) = discovery.next_call_revision();
        assert_polled_rarely(&discovery, first_call_at);
        assert_eq!(proxy.client().exchange(HEALTH_REQUEST).status(), 200);
        assert_eq!(proxy.client().exchange(&request("charge", "1", "x")).body, b"there");
        assert_logged_once(&mut proxy, form);
    });
}

#[test]
fn current_list_remains_in_force_when_discovery_becomes_oversized() {
    run_in_parallel(|form, is_polled| {
        let (old, new) = (Backend::start(|_| ok_response("old")), Backend::start(|_| ok_response("new")));
        let initial = List::Complete(5, vec![backend_entry("s-1", old.address, "active", 0)]);
        let discovery = OversizedDiscovery::start(form, initial);
        let name = format!("grown-{form:?}-{is_polled}");
        let mut proxy =
            Proxy::start_with_config(&name, &config_for(&name, discovery.address, is_polled, &[]));
        while discovery.next_call_revision().1 != Some(5) {}
        discovery.set_list(List::Oversized);
        let (first_call_at, _) = discovery.next_call_revision();
        assert_polled_rarely(&discovery, first_call_at);
        assert_eq!(proxy.client().exchange(HEALTH_REQUEST).status(), 200);
        assert_eq!(proxy.client().exchange(&request("charge", "1", "x")).body, b"old");
        discovery.set_list(List::Complete(6, vec![backend_entry("s-2", new.address, "active", 0)]));
        while discovery.next_call_revision().1 != Some(6) {}
        assert_eq!(proxy.client().exchange(&request("charge", "2", "x")).body, b"new");
        assert_logged_once(&mut proxy, form);
    });
}
