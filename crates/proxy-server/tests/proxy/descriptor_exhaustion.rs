//! Idle clients take every descriptor while discovery is down: other clients are served, the console responds, a replacement
//! becomes ready, and the list is applied when discovery recovers.

use crate::support::*;
use serde_json::{Value, json};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};
use std::{fs, thread};

/// The kernel's limit for the proxy.
const DESCRIPTORS: usize = 256;
/// Connections that send no complete request: 100 more than [`DESCRIPTORS`].
const IDLE_CONNECTIONS: usize = 356;
/// New clients beside the idle connections.
const NEW_CLIENTS: usize = 10;

/// Discovery that is down until it recovers, and then serves its list. Earlier calls are never answered.
struct DiscoveryOutage {
    address: SocketAddr,
    is_recovered: Arc<AtomicBool>,
    /// Notified when the list was sent.
    list_sent: Receiver<()>,
}

impl DiscoveryOutage {
    /// With `closes_connections` it closes each connection while it is down; otherwise it reads calls and stays silent.
    fn start(list: Value, closes_connections: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let is_recovered = Arc::new(AtomicBool::new(false));
        let (sender, list_sent) = channel();
        let shared = Arc::clone(&is_recovered);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { return };
                let (sender, list, is_recovered) = (sender.clone(), list.clone(), Arc::clone(&shared));
                if closes_connections && !is_recovered.load(Ordering::SeqCst) {
                    continue;
                }
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
                    let mut silent = false;
                    while let Some(call) = read_message(&mut reader) {
                        // A watch that knows the list gets no response.
                        silent |=
                            !is_recovered.load(Ordering::SeqCst) || call.first_line().contains("after=9");
                        if !silent {
                            let text = list.to_string();
                            write_bytes(&stream, &response_bytes("200 OK", "", text.as_bytes()));
                            let _ = sender.send(());
                        }
                    }
                });
            }
        });
        Self { address, is_recovered, list_sent }
    }

    fn recover(&self) {
        self.is_recovered.store(true, Ordering::SeqCst);
        self.list_sent.recv_timeout(TEST_TIMEOUT).expect("a call, and its response");
    }
}

/// Whether the console reports readiness; it has to respond within a second.
fn is_ready(console: SocketAddr) -> bool {
    let began = Instant::now();
    let answer = send_command(console, "readyz\n");
    assert!(began.elapsed() < Duration::from_secs(1), "{:?}", began.elapsed());
    answer.starts_with("SUCCESS")
}

/// Where discovery is polled, the configured list serves at once, and makes the process ready after the first failed call.
fn wait_until_ready(console: SocketAddr, name: &str) {
    let began = Instant::now();
    while !is_ready(console) {
        assert!(began.elapsed() < TEST_TIMEOUT, "{name}: it does not get ready");
        thread::yield_now();
    }
}

/// Opens all idle connections. The proxy may close some before they have sent anything.
fn open_idle_connections(address: SocketAddr, first_bytes: &str) -> Vec<TcpStream> {
    let come = |_| {
        let mut stream = TcpStream::connect(address).expect("the kernel completes it");
        let _ = stream.write_all(first_bytes.as_bytes());
        stream
    };
    (0..IDLE_CONNECTIONS).map(come).collect()
}

/// The number of connections that the proxy has closed.
fn count_closed(connections: &[TcpStream]) -> usize {
    let has_ended = |stream: &&TcpStream| {
        stream.set_nonblocking(true).expect("non-blocking");
        !stream.peek(&mut [0]).is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
    };
    connections.iter().filter(has_ended).count()
}

/// The responses to new clients, each on a connection of its own.
fn responses_to_new_clients(address: SocketAddr, name: &str) -> Vec<String> {
    let ask = |n| {
        let got = Client::connect(address).exchange(&request("read", &format!("{name}-{n}"), ""));
        match got.status() {
            200 => format!("200 {}", String::from_utf8_lossy(&got.body)),
            // The head describes a rejection.
            _ => got.head,
        }
    };
    (0..NEW_CLIENTS).map(ask).collect()
}

fn all(answer: &str) -> Vec<String> {
    vec![answer.to_owned(); NEW_CLIENTS]
}

/// Repeats requests until the new list serves: the process may not have applied it yet.
fn wait_for_new(address: SocketAddr, name: &str) {
    let began = Instant::now();
    for n in 0.. {
        let got = Client::connect(address).exchange(&request("read", &format!("{name}-{n}"), ""));
        if got.body == b"new" {
            return;
        }
        assert!(began.elapsed() < TEST_TIMEOUT, "still {}", got.head);
    }
}

fn start_limited(folder: &Path, name: &str, config: &Value) -> (Proxy, SocketAddr) {
    Launch::new(name, &config.to_string())
        .in_folder(folder)
        .with_descriptor_limit(DESCRIPTORS)
        .start_with_console()
}

fn run_case(mode: &str, first_bytes: &str, closes_connections: bool, is_replaced: bool) {
    let name = format!("crowd-{mode}-{}-{closes_connections}-{is_replaced}", first_bytes.len());
    let (old, new) = (Backend::start(|_| ok("old")), Backend::start(|_| ok("new")));
    let (before, left) = (entry("s-1", old.address, "active", 0), entry("s-1", old.address, "left", 0));
    let fresh = entry("s-2", new.address, "active", 0);
    let discovery = DiscoveryOutage::start(
        json!({"revision": 9, "complete": true, "members": [left, fresh]}),
        closes_connections,
    );
    let config = |listen: Option<SocketAddr>| {
        let mut config = json!({"name": name, "listen": "127.0.0.1:0", "console": "127.0.0.1:0",
            "discovery": discovery.address.to_string(), "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 32, "sockets": DESCRIPTORS}, "settings": settings(),
            "known": {"revision": 1, "complete": true, "members": [before]}});
        config["settings"]["membershipMode"] = mode.into();
        if let Some(listen) = listen {
            config["listen"] = listen.to_string().into();
        }
        config
    };
    let folder = empty_folder(&name);
    let (mut proxy, console) = start_limited(&folder, "first", &config(None));
    let address = proxy.address;
    wait_until_ready(console, &name);
    let first = open_idle_connections(address, first_bytes);
    assert_eq!(responses_to_new_clients(address, "down"), all("200 old"), "{name}");
    assert!(count_closed(&first) >= IDLE_CONNECTIONS - DESCRIPTORS, "{name}: the shortage was there");
    assert!(is_ready(console), "{name}");
    let second = open_idle_connections(address, first_bytes);
    let successor = is_replaced.then(|| {
        let (mut successor, console) = start_limited(&folder, "next", &config(Some(address)));
        wait_until_ready(console, &name);
        let third = open_idle_connections(address, first_bytes);
        proxy.terminate();
        assert!(proxy.wait().success(), "{name}: the old one ends");
        let got = responses_to_new_clients(address, "next");
        if got != all("200 old") {
            successor.terminate();
            panic!("{name}: {got:?}, and its log is: {}", successor.remaining_log());
        }
        (successor, console, third)
    });
    discovery.recover();
    wait_for_new(address, "back");
    assert_eq!(responses_to_new_clients(address, "told"), all("200 new"), "{name}");
    assert!(is_ready(successor.as_ref().map_or(console, |(_, console, _)| *console)), "{name}");
    drop((first, second, successor));
    let _ = fs::remove_dir_all(folder);
}

/// A part of a head, after which the client is silent.
fn half_head() -> String {
    request("read", "half", "")[..40].to_owned()
}

#[test]
fn idle_connections_block_neither_clients_nor_discovery() {
    for closes_connections in [false, true] {
        run_case("pushed", "", closes_connections, false);
        run_case("on_request", "", closes_connections, false);
    }
}

#[test]
fn partial_heads_block_neither_clients_nor_discovery() {
    for closes_connections in [false, true] {
        run_case("pushed", &half_head(), closes_connections, false);
        run_case("on_request", &half_head(), closes_connections, false);
    }
}

#[test]
fn replacement_becomes_ready_despite_exhausted_descriptors() {
    for mode in ["pushed", "on_request"] {
        run_case(mode, "", false, true);
        run_case(mode, &half_head(), false, true);
    }
}
