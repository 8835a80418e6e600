//! The operators' terms under faults: failing system calls, clock steps, failing disks, stalled processes, and two of these at
//! once. Each test names the term that it checks.

mod clocks;
mod discovery_lists;
mod disk;
mod fault_injection;
mod interrupted_messages;
mod retry_windows;
mod shutdown;
mod signals;
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

/// How late an attempt may start, and how much longer than allowed its deadline may be, by the operators' terms.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(150);

/// The outcome of the requests of many clients.
struct TrafficOutcome {
    /// The id and the response status of each request, unordered.
    answers: Vec<(String, Option<u16>)>,
    /// How often each request reached a backend.
    runs: HashMap<String, usize>,
}

impl TrafficOutcome {
    fn unanswered(&self) -> Vec<&str> {
        self.answers.iter().filter(|(_, got)| got.is_none()).map(|(id, _)| id.as_str()).collect()
    }

    fn served(&self) -> usize {
        self.answers.iter().filter(|(_, got)| *got == Some(200)).count()
    }

    /// Rules 1 and 2: every request has its one final response, and nothing unsafe ran twice.
    fn assert_rules(&self) {
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

/// Sends a request on the reused connection or on a new one; `None` where there is no response. The
/// proxy may close an idle connection; a request that crosses the close is sent once more on a new connection.
fn send_request(client: &mut Option<Client>, address: SocketAddr, text: &str) -> Option<u16> {
    let (was_reused, began) = (client.is_some(), Instant::now());
    let got = send_request_once(client, address, text);
    if got.is_some() || !was_reused || began.elapsed() > Duration::from_secs(5) {
        return got;
    }
    send_request_once(client, address, text)
}

fn send_request_once(client: &mut Option<Client>, address: SocketAddr, text: &str) -> Option<u16> {
    let reusable = client.get_or_insert_with(|| Client::connect(address));
    reusable.stream.set_read_timeout(Some(Duration::from_secs(6))).expect("a time-out");
    if reusable.stream.write_all(text.as_bytes()).is_err() {
        *client = None;
        return None;
    }
    let got = read_message(&mut reusable.reader);
    if got.as_ref().is_none_or(|received| received.header("connection") == Some("close")) {
        *client = None;
    }
    got.map(|received| received.status())
}

/// Runs concurrent clients, each with successive requests, two in five on new connections.
fn run_traffic(address: SocketAddr, backends: &[Backend], clients: usize, requests: usize) -> TrafficOutcome {
    let clients: Vec<_> = (0..clients)
        .map(|number| {
            thread::spawn(move || {
                let mut reusable = None;
                let mut answers = Vec::new();
                for round in 0..requests {
                    let class = ["read", "submit", "charge"][(number + round) % 3];
                    let id = format!("{class}-{number}-{round}");
                    if round % 5 < 2 {
                        reusable = None;
                    }
                    let body = if class == "read" { "" } else { "some body of a request" };
                    answers
                        .push((id.clone(), send_request(&mut reusable, address, &request(class, &id, body))));
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
    TrafficOutcome { answers, runs }
}

/// Two backends that respond with their names; an idle proxy prefers `a`.
struct TwoBackends {
    discovery: Discovery,
    a: Backend,
    b: Backend,
}

impl TwoBackends {
    fn new() -> Self {
        let (a, b) = (Backend::start(|_| ok("a")), Backend::start(|_| ok("b")));
        Self { discovery: Discovery::start(), a, b }
    }

    /// Their entries. Of equal backends a single proxy gives the one with the higher number one slot more.
    fn members(&self) -> [Value; 2] {
        [entry("s-a", self.a.address, "active", 0), entry("s-0", self.b.address, "active", 0)]
    }

    fn post(&self) {
        self.discovery.post(true, &self.members());
    }

    /// The number of successive requests that backend `a` receives.
    fn count_served_by_a(&self, proxy: &Proxy, name: &str, count: usize) -> usize {
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

/// The deadline that a backend received.
fn time_left(received: &HttpMessage) -> Duration {
    Duration::from_millis(
        received.header("x-time-left-ms").expect("the time left").parse().expect("a number"),
    )
}

/// Sleeps until a point in time.
fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}
