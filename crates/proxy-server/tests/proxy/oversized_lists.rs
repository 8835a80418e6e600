//! Lists that are longer than the proxy reads.

use crate::support::*;
use serde_json::{Value, json};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The largest list that is read, in bytes, as the log states it.
const MAX_LIST_BYTES: usize = 4_194_304;
/// The size of an oversized list, in bytes: far more than the kernel buffers for a connection.
const OVERSIZED_BYTES: usize = 64 << 20;
/// The bytes of a list that may be in the kernel's buffers of both sides when the reader closes the connection.
const MAX_BUFFERED_BYTES: usize = 16 << 20;
/// The shortest delay between two calls for an oversized list.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(3_700);
/// Longer than the longest delay between two calls.
const CALL_TIMEOUT: Duration = Duration::from_secs(45);

/// How the length of an oversized list is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LengthForm {
    /// In a `Content-Length` header.
    Length,
    Chunked,
}

/// What discovery serves.
#[derive(Clone, Debug)]
enum List {
    /// A complete list of this revision.
    Of(u64, Vec<Value>),
    Oversized,
}

/// Discovery whose list may be oversized.
struct OversizedDiscovery {
    address: SocketAddr,
    list: Arc<Mutex<List>>,
    calls: Receiver<(Instant, Option<u64>)>,
    /// Bytes written of oversized lists.
    written: Arc<AtomicUsize>,
}

fn write_oversized(stream: &mut TcpStream, form: LengthForm, written: &AtomicUsize) -> std::io::Result<()> {
    let part = vec![b' '; 64 << 10];
    match form {
        LengthForm::Length => write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {OVERSIZED_BYTES}\r\n\r\n")?,
        LengthForm::Chunked => write!(stream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?,
    }
    for _ in 0..OVERSIZED_BYTES / part.len() {
        if form == LengthForm::Chunked {
            write!(stream, "{:x}\r\n", part.len())?;
        }
        stream.write_all(&part)?;
        written.fetch_add(part.len(), Ordering::SeqCst);
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
        let number = |name: &str| {
            let (_, rest) = call.first_line().split_once(name)?;
            rest.split(['&', ' ']).next()?.parse::<u64>().ok()
        };
        let (after, wait) = (number("after="), number("wait_ms=").unwrap_or_default());
        let until = Instant::now() + Duration::from_millis(wait);
        sender.send((Instant::now(), after)).ok()?;
        let list = loop {
            let list = list.lock().expect("a list").clone();
            let has_changed = !matches!(list, List::Of(revision, _) if after == Some(revision));
            if has_changed || Instant::now() >= until {
                break list;
            }
            thread::sleep(Duration::from_millis(5));
        };
        match list {
            List::Oversized => write_oversized(&mut stream, form, written).ok()?,
            List::Of(revision, members) => {
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
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
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
        *self.list.lock().expect("a list") = list;
    }

    fn next_call(&self) -> (Instant, Option<u64>) {
        self.calls.recv_timeout(CALL_TIMEOUT).expect("a call")
    }
}

fn config_for(name: &str, discovery: SocketAddr, is_polled: bool, known: &[Value]) -> Value {
    let mut config = config(name, &Discovery::start());
    config["discovery"] = discovery.to_string().into();
    config["known"] = json!({"revision": 1, "complete": true, "members": known});
    if is_polled {
        config["settings"]["membershipMode"] = "on_request".into();
        config["settings"]["safety"]["askWithinUs"] = 10_000_000.into();
    }
    config
}

/// Asserts that a delay follows a call for an oversized list, and that little of it is transferred.
fn assert_polled_rarely(discovery: &OversizedDiscovery, first: Instant) {
    let (second, _) = discovery.next_call();
    assert!(second - first >= MIN_RETRY_DELAY, "polled again after {:?}", second - first);
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
    let bound = format!("at most {MAX_LIST_BYTES}");
    assert!(lines[0].contains(&size) && lines[0].contains(&bound), "{}", lines[0]);
    assert_eq!(log.matches("discovery: ").count(), 1, "{log}");
}

const CASES: [(LengthForm, bool); 4] = [
    (LengthForm::Length, false),
    (LengthForm::Chunked, false),
    (LengthForm::Length, true),
    (LengthForm::Chunked, true),
];

/// Runs all cases in parallel, since each waits most of its time.
fn run_in_parallel(case: impl Fn(LengthForm, bool) + Send + Sync + 'static) {
    let case = Arc::new(case);
    let runs = CASES.map(|(form, is_polled)| {
        let case = Arc::clone(&case);
        thread::spawn(move || case(form, is_polled))
    });
    let failed = runs.into_iter().zip(CASES).filter_map(|(run, of)| run.join().err().map(|_| of));
    let failed: Vec<_> = failed.collect();
    assert!(failed.is_empty(), "{failed:?}");
}

/// Regression: the list was polled ten times a second, and its size was not logged.
#[test]
fn oversized_list_is_logged_once_and_polled_rarely_until_it_is_shorter() {
    run_in_parallel(|form, is_polled| {
        let backend = Backend::start(|_| ok("there"));
        let discovery = OversizedDiscovery::start(form, List::Oversized);
        let name = format!("long-{form:?}-{is_polled}");
        let mut proxy =
            Proxy::start_with_config(&name, &config_for(&name, discovery.address, is_polled, &[]));
        let (first, _) = discovery.next_call();
        assert_eq!(proxy.client().exchange(HEALTH_REQUEST).status(), 503, "no list, and none is configured");
        assert_polled_rarely(&discovery, first);
        discovery.set_list(List::Of(9, vec![entry("s-1", backend.address, "active", 0)]));
        while discovery.next_call().1 != Some(9) {}
        assert_eq!(proxy.client().exchange(HEALTH_REQUEST).status(), 200);
        assert_eq!(proxy.client().exchange(&request("charge", "1", "x")).body, b"there");
        assert_logged_once(&mut proxy, form);
    });
}

#[test]
fn configured_list_serves_beside_an_oversized_one() {
    run_in_parallel(|form, is_polled| {
        let backend = Backend::start(|_| ok("there"));
        let discovery = OversizedDiscovery::start(form, List::Oversized);
        let name = format!("known-{form:?}-{is_polled}");
        let known = [entry("s-1", backend.address, "active", 0)];
        let mut proxy =
            Proxy::start_with_config(&name, &config_for(&name, discovery.address, is_polled, &known));
        let (first, _) = discovery.next_call();
        assert_polled_rarely(&discovery, first);
        assert_eq!(proxy.client().exchange(HEALTH_REQUEST).status(), 200);
        assert_eq!(proxy.client().exchange(&request("charge", "1", "x")).body, b"there");
        assert_logged_once(&mut proxy, form);
    });
}

#[test]
fn current_list_serves_when_discovery_becomes_oversized() {
    run_in_parallel(|form, is_polled| {
        let (old, new) = (Backend::start(|_| ok("old")), Backend::start(|_| ok("new")));
        let initial = List::Of(5, vec![entry("s-1", old.address, "active", 0)]);
        let discovery = OversizedDiscovery::start(form, initial);
        let name = format!("grown-{form:?}-{is_polled}");
        let mut proxy =
            Proxy::start_with_config(&name, &config_for(&name, discovery.address, is_polled, &[]));
        while discovery.next_call().1 != Some(5) {}
        discovery.set_list(List::Oversized);
        let (first, _) = discovery.next_call();
        assert_polled_rarely(&discovery, first);
        assert_eq!(proxy.client().exchange(HEALTH_REQUEST).status(), 200);
        assert_eq!(proxy.client().exchange(&request("charge", "1", "x")).body, b"old");
        discovery.set_list(List::Of(6, vec![entry("s-2", new.address, "active", 0)]));
        while discovery.next_call().1 != Some(6) {}
        assert_eq!(proxy.client().exchange(&request("charge", "2", "x")).body, b"new");
        assert_logged_once(&mut proxy, form);
    });
}
