//! The terms of the pages at their extremes: calls of the system that fail, clocks that step, disks that refuse, processes
//! that stand, and two of these inside one window. The judge of each test is the clause that it names.

mod clocks;
mod discovery_lists;
mod disk;
mod fault_injection;
mod interrupted_messages;
mod retry_windows;
mod shutdown;
mod soak;
#[path = "../support/mod.rs"]
mod support;
mod system_calls;

use serde_json::Value;
use std::collections::HashMap;
use std::io::Write;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};
use support::{Backend, Client, Discovery, HttpMessage, Proxy, entry, ok, read_message, request};

/// How late an attempt may begin, and how much too long its deadline may be: the slack of the pages.
const SLACK: Duration = Duration::from_millis(150);

/// What became of the requests of many clients.
struct Played {
    /// The final answer of each request, in no order.
    answers: Vec<(String, Option<u16>)>,
    /// How often each request reached a backend.
    runs: HashMap<String, usize>,
}

impl Played {
    fn unanswered(&self) -> Vec<&str> {
        self.answers.iter().filter(|(_, got)| got.is_none()).map(|(id, _)| id.as_str()).collect()
    }

    fn served(&self) -> usize {
        self.answers.iter().filter(|(_, got)| *got == Some(200)).count()
    }

    /// Rules 1 and 2: every request has its one final answer, and nothing unsafe ran twice.
    fn keeps_the_rules(&self) {
        assert!(
            self.unanswered().is_empty(),
            "{} of {}: {:?}",
            self.unanswered().len(),
            self.answers.len(),
            self.unanswered()
        );
        let twice: Vec<_> =
            self.runs.iter().filter(|(id, runs)| id.starts_with("charge") && **runs > 1).collect();
        assert!(twice.is_empty(), "{twice:?}");
    }
}

/// Asks on the connection that is kept, or on a new one; `None` where there is no answer. "A proxy may close one between
/// requests; if that crosses a request that it has not read, the client sends the request once more on a new one."
fn ask(client: &mut Option<Client>, address: SocketAddr, text: &str) -> Option<u16> {
    let (was_kept, began) = (client.is_some(), Instant::now());
    let got = ask_once(client, address, text);
    if got.is_some() || !was_kept || began.elapsed() > Duration::from_secs(5) {
        return got;
    }
    ask_once(client, address, text)
}

fn ask_once(client: &mut Option<Client>, address: SocketAddr, text: &str) -> Option<u16> {
    let kept = client.get_or_insert_with(|| Client::connect(address));
    kept.stream.set_read_timeout(Some(Duration::from_secs(6))).expect("a time-out");
    if kept.stream.write_all(text.as_bytes()).is_err() {
        *client = None;
        return None;
    }
    let got = read_message(&mut kept.reader);
    if got.as_ref().is_none_or(|received| received.header("connection") == Some("close")) {
        *client = None;
    }
    got.map(|received| received.status())
}

/// So many clients at a time, each with so many requests one after another, two in five on new connections.
fn play(address: SocketAddr, backends: &[Backend], clients: usize, requests: usize) -> Played {
    let clients: Vec<_> = (0..clients)
        .map(|number| {
            thread::spawn(move || {
                let mut kept = None;
                let mut answers = Vec::new();
                for turn in 0..requests {
                    let class = ["read", "submit", "charge"][(number + turn) % 3];
                    let id = format!("{class}-{number}-{turn}");
                    if turn % 5 < 2 {
                        kept = None;
                    }
                    let body = if class == "read" { "" } else { "some body of a request" };
                    answers.push((id.clone(), ask(&mut kept, address, &request(class, &id, body))));
                }
                answers
            })
        })
        .collect();
    let answers: Vec<_> = clients.into_iter().flat_map(|client| client.join().expect("a client")).collect();
    let mut runs = HashMap::new();
    for received in backends.iter().flat_map(|backend| backend.requests.try_iter()) {
        *runs.entry(id_of(&received)).or_default() += 1;
    }
    Played { answers, runs }
}

/// Two backends that say who they are, `a` being the one that a quiet proxy prefers.
struct Pair {
    discovery: Discovery,
    a: Backend,
    b: Backend,
}

impl Pair {
    fn new() -> Self {
        let (a, b) = (Backend::start(|_| ok("a")), Backend::start(|_| ok("b")));
        Self { discovery: Discovery::start(), a, b }
    }

    /// Their entries. Of equal backends a lone proxy gives the one whose number is higher a slot more.
    fn members(&self) -> [Value; 2] {
        [entry("s-a", self.a.address, "active", 0), entry("s-0", self.b.address, "active", 0)]
    }

    fn post(&self) {
        self.discovery.post(true, &self.members());
    }

    /// How many of so many requests, one after another, backend `a` gets.
    fn reaches_a(&self, proxy: &Proxy, name: &str, count: usize) -> usize {
        self.a.take_request_count();
        let mut client = proxy.client();
        for n in 0..count {
            assert_eq!(client.exchange(&request("read", &format!("{name}-{n}"), "")).status(), 200);
        }
        self.a.take_request_count()
    }
}

fn id_of(received: &HttpMessage) -> String {
    received.header("x-correlation-id").expect("an id").to_owned()
}

/// The deadline that a backend was told.
fn time_left(received: &HttpMessage) -> Duration {
    Duration::from_millis(
        received.header("x-time-left-ms").expect("the time left").parse().expect("a number"),
    )
}

/// Waits until a moment.
fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}
