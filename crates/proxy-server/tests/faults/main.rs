//! The service requirements under faults: failing system calls, clock steps, failing disks, stalled
//! processes, and combinations of two. Comments of tests state the requirement that is checked.

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
use support::{
    Backend, Client, Discovery, HttpMessage, Proxy, backend_entry, ok_response, read_message, request,
};

/// How late an attempt may start, and by how much its deadline may exceed the client's remaining time.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(150);

/// The results of the requests of concurrent clients.
struct TrafficOutcome {
    /// The ID and the response status of each request, unordered; `None` where there was no response.
    responses: Vec<(String, Option<u16>)>,
    /// The number of attempts that reached a backend, by request ID.
    received_attempts: HashMap<String, usize>,
}

impl TrafficOutcome {
    fn unanswered(&self) -> Vec<&str> {
        self.responses.iter().filter(|(_, status)| status.is_none()).map(|(id, _)| id.as_str()).collect()
    }

    fn served(&self) -> usize {
        self.responses.iter().filter(|(_, status)| *status == Some(200)).count()
    }

    /// Every request has a response, and no non-idempotent request reached a backend more than once.
    fn assert_answered_without_duplicates(&self) {
        assert!(
            self.unanswered().is_empty(),
            "{} of {} requests without a response: {:?}",
            self.unanswered().len(),
            self.responses.len(),
            self.unanswered()
        );
        let duplicates: Vec<_> = self
            .received_attempts
            .iter()
            .filter(|(id, attempts)| id.starts_with("charge") && **attempts > 1)
            .collect();
        assert!(duplicates.is_empty(), "non-idempotent requests with several attempts: {duplicates:?}");
    }
}

/// Sends a request on the open connection or on a new one, and returns the status of the response, if any.
/// The proxy may close an idle connection: a request that crosses the close is sent once more on a new
/// connection.
fn send_request(client: &mut Option<Client>, address: SocketAddr, text: &str) -> Option<u16> {
    let (is_reused, began) = (client.is_some(), Instant::now());
    let status = send_request_once(client, address, text);
    if status.is_some() || !is_reused || began.elapsed() > Duration::from_secs(5) {
        return status;
    }
    send_request_once(client, address, text)
}

fn send_request_once(client: &mut Option<Client>, address: SocketAddr, text: &str) -> Option<u16> {
    let connected = client.get_or_insert_with(|| Client::connect(address));
    connected.stream.set_read_timeout(Some(Duration::from_secs(6))).expect("the read timeout is set");
    if connected.stream.write_all(text.as_bytes()).is_err() {
        *client = None;
        return None;
    }
    let response = read_message(&mut connected.reader);
    if response.as_ref().is_none_or(|received| received.header("connection") == Some("close")) {
        *client = None;
    }
    response.map(|received| received.status())
}

/// Runs concurrent clients with successive requests each, two in five of them on new connections.
fn run_traffic(address: SocketAddr, backends: &[Backend], clients: usize, requests: usize) -> TrafficOutcome {
    let clients: Vec<_> = (0..clients)
        .map(|number| {
            thread::spawn(move || {
                let mut connection = None;
                let mut responses = Vec::new();
                for round in 0..requests {
                    let class = ["read", "submit", "charge"][(number + round) % 3];
                    let id = format!("{class}-{number}-{round}");
                    if round % 5 < 2 {
                        connection = None;
                    }
                    let body = if class == "read" { "" } else { "some body of a request" };
                    responses.push((
                        id.clone(),
                        send_request(&mut connection, address, &request(class, &id, body)),
                    ));
                }
                responses
            })
        })
        .collect();
    let responses: Vec<_> =
        clients.into_iter().flat_map(|client| client.join().expect("the client thread finishes")).collect();
    let mut received_attempts = HashMap::new();
    for received in backends.iter().flat_map(|backend| backend.requests.try_iter()) {
        *received_attempts.entry(request_id(&received)).or_default() += 1;
    }
    TrafficOutcome { responses, received_attempts }
}

/// Two backends that respond with their names; without load, the proxy prefers `a`.
struct TwoBackends {
    discovery: Discovery,
    a: Backend,
    b: Backend,
}

impl TwoBackends {
    fn new() -> Self {
        let (a, b) = (Backend::start(|_| ok_response("a")), Backend::start(|_| ok_response("b")));
        Self { discovery: Discovery::start(), a, b }
    }

    /// Their entries in discovery's list. Among equal backends, a single proxy gives the one with the higher
    /// number one more slot.
    fn members(&self) -> [Value; 2] {
        [backend_entry("s-a", self.a.address, "active", 0), backend_entry("s-0", self.b.address, "active", 0)]
    }

    fn post(&self) {
        self.discovery.publish_and_wait(true, &self.members());
    }

    /// Sends successive requests and returns how many of them backend `a` received.
    fn count_served_by_a(&self, proxy: &Proxy, name: &str, count: usize) -> usize {
        self.a.take_request_count();
        let mut client = proxy.client();
        for n in 0..count {
            assert_eq!(client.exchange(&request("read", &format!("{name}-{n}"), "")).status(), 200);
        }
        self.a.take_request_count()
    }
}

fn request_id(received: &HttpMessage) -> String {
    received.header("x-correlation-id").expect("the request has an ID").to_owned()
}

/// The remaining time that the proxy sent to a backend as the request's deadline.
fn time_left(received: &HttpMessage) -> Duration {
    Duration::from_millis(
        received.header("x-time-left-ms").expect("the request has a deadline").parse().expect("a number"),
    )
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}
