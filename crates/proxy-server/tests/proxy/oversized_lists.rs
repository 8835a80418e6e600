//! A list that is longer than what is read.

use crate::support::*;
use serde_json::{Value, json};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The bytes of a list that are read, as the log names them.
const BOUND: usize = 4_194_304;
/// Far more than that, and than what the kernel holds for a connection.
const TOO_LONG: usize = 64 << 20;
/// What of it may be on its way when the reader ends the connection: the kernel's buffers on both sides.
const ON_ITS_WAY: usize = 16 << 20;
/// The shortest and the longest time between two calls for a list that was too long.
const FIRST_PAUSE: Duration = Duration::from_millis(3_700);
const LONGEST_PATIENCE: Duration = Duration::from_secs(45);

/// How a list that is too long is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Form {
    /// Its length is told ahead.
    Length,
    Chunked,
}

/// What is told.
#[derive(Clone, Debug)]
enum List {
    /// A list of this version, whole.
    Of(u64, Vec<Value>),
    TooLong,
}

/// Discovery of one list, which may be too long.
struct Long {
    address: SocketAddr,
    list: Arc<Mutex<List>>,
    calls: Receiver<(Instant, Option<u64>)>,
    /// What was written of lists that are too long.
    written: Arc<AtomicUsize>,
}

fn write_too_long(stream: &mut TcpStream, form: Form, written: &AtomicUsize) -> std::io::Result<()> {
    let part = [b' '; 64 << 10];
    match form {
        Form::Length => write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {TOO_LONG}\r\n\r\n")?,
        Form::Chunked => write!(stream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?,
    }
    for _ in 0..TOO_LONG / part.len() {
        if form == Form::Chunked {
            write!(stream, "{:x}\r\n", part.len())?;
        }
        stream.write_all(&part)?;
        written.fetch_add(part.len(), Ordering::SeqCst);
        if form == Form::Chunked {
            stream.write_all(b"\r\n")?;
        }
    }
    Ok(())
}

fn serve(
    mut stream: TcpStream,
    form: Form,
    list: &Mutex<List>,
    told: &Sender<(Instant, Option<u64>)>,
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
        told.send((Instant::now(), after)).ok()?;
        let list = loop {
            let list = list.lock().expect("a list").clone();
            let news = !matches!(list, List::Of(revision, _) if after == Some(revision));
            if news || Instant::now() >= until {
                break list;
            }
            thread::sleep(Duration::from_millis(5));
        };
        match list {
            List::TooLong => write_too_long(&mut stream, form, written).ok()?,
            List::Of(revision, members) => {
                let news = after != Some(revision);
                let members = if news { members } else { Vec::new() };
                let text = json!({"revision": revision, "complete": news, "members": members}).to_string();
                stream.write_all(&response_bytes("200 OK", "", text.as_bytes())).ok()?;
            }
        }
    }
}

impl Long {
    fn start(form: Form, list: List) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (told, calls) = channel();
        let (list, written) = (Arc::new(Mutex::new(list)), Arc::<AtomicUsize>::default());
        let shared = (Arc::clone(&list), Arc::clone(&written));
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (Ok(stream), told, (list, written)) = (stream, told.clone(), shared.clone()) else {
                    return;
                };
                thread::spawn(move || serve(stream, form, &list, &told, &written));
            }
        });
        Self { address, list, calls, written }
    }

    fn becomes(&self, list: List) {
        *self.list.lock().expect("a list") = list;
    }

    fn next_call(&self) -> (Instant, Option<u64>) {
        self.calls.recv_timeout(LONGEST_PATIENCE).expect("a call")
    }
}

fn config_of(name: &str, discovery: SocketAddr, asked: bool, known: &[Value]) -> Value {
    let mut config = config(name, &Discovery::start());
    config["discovery"] = discovery.to_string().into();
    config["known"] = json!({"revision": 1, "complete": true, "members": known});
    if asked {
        config["settings"]["membershipMode"] = "on_request".into();
        config["settings"]["safety"]["askWithinUs"] = 10_000_000.into();
    }
    config
}

/// Whether each of two calls in a row for such a list is followed by a pause, and nothing much is written for them.
fn is_asked_seldom(long: &Long, first: Instant) {
    let (second, _) = long.next_call();
    assert!(second - first >= FIRST_PAUSE, "asked again after {:?}", second - first);
    let written = long.written.load(Ordering::SeqCst);
    assert!(written <= 2 * ON_ITS_WAY, "{written} bytes for two calls");
}

fn says_it_once(proxy: &mut Proxy, form: Form) {
    proxy.terminate();
    let log = proxy.remaining_log();
    let lines: Vec<_> = log.lines().filter(|line| line.contains("the list is too long")).collect();
    assert_eq!(lines.len(), 1, "{log}");
    let size = match form {
        Form::Length => format!("{TOO_LONG} bytes"),
        Form::Chunked => format!("over {BOUND} bytes"),
    };
    let bound = format!("at most {BOUND}");
    assert!(lines[0].contains(&size) && lines[0].contains(&bound), "{}", lines[0]);
    assert_eq!(log.matches("discovery: ").count(), 1, "{log}");
}

const CASES: [(Form, bool); 4] =
    [(Form::Length, false), (Form::Chunked, false), (Form::Length, true), (Form::Chunked, true)];

/// Runs all of them beside one another, for each waits most of its time.
fn beside(case: impl Fn(Form, bool) + Send + Sync + 'static) {
    let case = Arc::new(case);
    let runs = CASES.map(|(form, asked)| {
        let case = Arc::clone(&case);
        thread::spawn(move || case(form, asked))
    });
    let failed = runs.into_iter().zip(CASES).filter_map(|(run, of)| run.join().err().map(|_| of));
    let failed: Vec<_> = failed.collect();
    assert!(failed.is_empty(), "{failed:?}");
}

/// Seen before: the whole list ten times a second, and no word of its size.
#[test]
fn oversized_list_is_logged_once_and_polled_rarely_until_it_is_shorter() {
    beside(|form, asked| {
        let backend = Backend::start(|_| ok("there"));
        let long = Long::start(form, List::TooLong);
        let name = format!("long-{form:?}-{asked}");
        let mut proxy = Proxy::start_with_config(&name, &config_of(&name, long.address, asked, &[]));
        let (first, _) = long.next_call();
        assert_eq!(proxy.client().exchange(HEALTH_REQUEST).status(), 503, "no list, and none is known");
        is_asked_seldom(&long, first);
        long.becomes(List::Of(9, vec![entry("s-1", backend.address, "active", 0)]));
        while long.next_call().1 != Some(9) {}
        assert_eq!(proxy.client().exchange(HEALTH_REQUEST).status(), 200);
        assert_eq!(proxy.client().exchange(&request("charge", "1", "x")).body, b"there");
        says_it_once(&mut proxy, form);
    });
}

#[test]
fn configured_list_serves_beside_an_oversized_one() {
    beside(|form, asked| {
        let backend = Backend::start(|_| ok("there"));
        let long = Long::start(form, List::TooLong);
        let name = format!("known-{form:?}-{asked}");
        let known = [entry("s-1", backend.address, "active", 0)];
        let mut proxy = Proxy::start_with_config(&name, &config_of(&name, long.address, asked, &known));
        let (first, _) = long.next_call();
        is_asked_seldom(&long, first);
        assert_eq!(proxy.client().exchange(HEALTH_REQUEST).status(), 200);
        assert_eq!(proxy.client().exchange(&request("charge", "1", "x")).body, b"there");
        says_it_once(&mut proxy, form);
    });
}

#[test]
fn current_list_serves_when_discovery_becomes_oversized() {
    beside(|form, asked| {
        let (old, new) = (Backend::start(|_| ok("old")), Backend::start(|_| ok("new")));
        let held = List::Of(5, vec![entry("s-1", old.address, "active", 0)]);
        let long = Long::start(form, held);
        let name = format!("grown-{form:?}-{asked}");
        let mut proxy = Proxy::start_with_config(&name, &config_of(&name, long.address, asked, &[]));
        while long.next_call().1 != Some(5) {}
        long.becomes(List::TooLong);
        let (first, _) = long.next_call();
        is_asked_seldom(&long, first);
        assert_eq!(proxy.client().exchange(HEALTH_REQUEST).status(), 200);
        assert_eq!(proxy.client().exchange(&request("charge", "1", "x")).body, b"old");
        long.becomes(List::Of(6, vec![entry("s-2", new.address, "active", 0)]));
        while long.next_call().1 != Some(6) {}
        assert_eq!(proxy.client().exchange(&request("charge", "2", "x")).body, b"new");
        says_it_once(&mut proxy, form);
    });
}
