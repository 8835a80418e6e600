//! Idle clients use up all descriptors while discovery is down. Other clients must still be served, the
//! console must respond, a replacement process must become ready, and the list must be applied after
//! discovery has recovered.

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

/// The kernel's limit on open descriptors of the proxy.
const DESCRIPTORS: usize = 256;
/// The number of connections that send no complete request: 100 more than [`DESCRIPTORS`].
const IDLE_CONNECTIONS: usize = 356;
/// The number of new clients that send requests in addition to the idle connections.
const NEW_CLIENTS: usize = 10;

/// A discovery service that is down until it recovers, and then serves its list. Calls made before are never
/// answered.
struct DiscoveryOutage {
    address: SocketAddr,
    is_recovered: Arc<AtomicBool>,
    /// Receives a message each time the list has been sent.
    list_sent: Receiver<()>,
}

impl DiscoveryOutage {
    /// Starts the service, which is down. With `closes_connections` it closes each connection until it
    /// recovers; otherwise it reads calls and does not answer them.
    fn start(list: Value, closes_connections: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
        let address = listener.local_addr().expect("local address");
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
                    let mut reader = BufReader::new(stream.try_clone().expect("clone the stream"));
                    let mut is_silent = false;
                    while let Some(call) = read_message(&mut reader) {
                        // A watch from the revision of the list gets no response.
                        is_silent |=
                            !is_recovered.load(Ordering::SeqCst) || call.first_line().contains("after=9");
                        if !is_silent {
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

    /// Makes the service available and waits until it has sent the list.
    fn recover(&self) {
        self.is_recovered.store(true, Ordering::SeqCst);
        self.list_sent.recv_timeout(TEST_TIMEOUT).expect("a call to discovery and its response");
    }
}

/// Returns whether the console reports readiness. The console has to respond within one second.
fn is_ready(console: SocketAddr) -> bool {
    let started_at = Instant::now();
    let response = send_command(console, "readyz\n");
    assert!(started_at.elapsed() < Duration::from_secs(1), "{:?}", started_at.elapsed());
    response.starts_with("SUCCESS")
}

/// Waits for readiness. If discovery is polled, the configured list is used at once, but the process becomes
/// ready only after the first failed call.
fn wait_until_ready(console: SocketAddr, name: &str) {
    let started_at = Instant::now();
    while !is_ready(console) {
        assert!(started_at.elapsed() < TEST_TIMEOUT, "{name}: the process did not become ready");
        thread::yield_now();
    }
}

/// Opens [`IDLE_CONNECTIONS`] connections. The proxy may close some before they have sent anything.
fn open_idle_connections(address: SocketAddr, first_bytes: &str) -> Vec<TcpStream> {
    let connect = |_| {
        let mut stream = TcpStream::connect(address).expect("connect to the proxy");
        let _ = stream.write_all(first_bytes.as_bytes());
        stream
    };
    (0..IDLE_CONNECTIONS).map(connect).collect()
}

/// Counts the connections that the proxy has closed.
fn count_closed(connections: &[TcpStream]) -> usize {
    let has_ended = |stream: &&TcpStream| {
        stream.set_nonblocking(true).expect("set non-blocking mode");
        !stream.peek(&mut [0]).is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
    };
    connections.iter().filter(has_ended).count()
}

/// Sends a request from each new client on a connection of its own; returns the responses as text.
fn responses_to_new_clients(address: SocketAddr, name: &str) -> Vec<String> {
    let exchange = |n| {
        let response = Client::connect(address).exchange(&request("read", &format!("{name}-{n}"), ""));
        match response.status() {
            200 => format!("200 {}", String::from_utf8_lossy(&response.body)),
            // The head shows the reason for a rejection.
            _ => response.head,
        }
    };
    (0..NEW_CLIENTS).map(exchange).collect()
}

fn repeat_for_new_clients(text: &str) -> Vec<String> {
    vec![text.to_owned(); NEW_CLIENTS]
}

/// Sends requests until the new list is in force: the process may not have applied it yet.
fn wait_for_new_list(address: SocketAddr, name: &str) {
    let started_at = Instant::now();
    for n in 0.. {
        let response = Client::connect(address).exchange(&request("read", &format!("{name}-{n}"), ""));
        if response.body == b"new" {
            return;
        }
        assert!(started_at.elapsed() < TEST_TIMEOUT, "the new list is not in force: {}", response.head);
    }
}

fn start_limited(folder: &Path, name: &str, config: &Value) -> (Proxy, SocketAddr) {
    ProxyCommand::new(name, &config.to_string())
        .with_folder(folder)
        .with_descriptor_limit(DESCRIPTORS)
        .start_with_console()
}

fn run_case(mode: &str, first_bytes: &str, closes_connections: bool, is_replaced: bool) {
    let name = format!("crowd-{mode}-{}-{closes_connections}-{is_replaced}", first_bytes.len());
    let (old, new) = (Backend::start(|_| ok_response("old")), Backend::start(|_| ok_response("new")));
    let (old_entry, removed_entry) =
        (backend_entry("s-1", old.address, "active", 0), backend_entry("s-1", old.address, "left", 0));
    let new_entry = backend_entry("s-2", new.address, "active", 0);
    let discovery = DiscoveryOutage::start(
        json!({"revision": 9, "complete": true, "members": [removed_entry, new_entry]}),
        closes_connections,
    );
    let config = |listen: Option<SocketAddr>| {
        let mut config = json!({"name": name, "listen": "127.0.0.1:0", "console": "127.0.0.1:0",
            "discovery": discovery.address.to_string(), "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 32, "sockets": DESCRIPTORS}, "settings": balancer_settings(),
            "known": {"revision": 1, "complete": true, "members": [old_entry]}});
        config["settings"]["membershipMode"] = mode.into();
        if let Some(listen) = listen {
            config["listen"] = listen.to_string().into();
        }
        config
    };
    let folder = create_empty_folder(&name);
    let (mut proxy, console) = start_limited(&folder, "first", &config(None));
    let address = proxy.address;
    wait_until_ready(console, &name);
    let first_idle = open_idle_connections(address, first_bytes);
    assert_eq!(responses_to_new_clients(address, "down"), repeat_for_new_clients("200 old"), "{name}");
    assert!(
        count_closed(&first_idle) >= IDLE_CONNECTIONS - DESCRIPTORS,
        "{name}: the idle connections did not use up the descriptors"
    );
    assert!(is_ready(console), "{name}");
    let second_idle = open_idle_connections(address, first_bytes);
    let replacement = is_replaced.then(|| {
        let (mut replacement, console) = start_limited(&folder, "next", &config(Some(address)));
        wait_until_ready(console, &name);
        let third_idle = open_idle_connections(address, first_bytes);
        proxy.terminate();
        assert!(proxy.wait_for_exit().success(), "{name}: the replaced process must exit with success");
        let responses = responses_to_new_clients(address, "next");
        if responses != repeat_for_new_clients("200 old") {
            replacement.terminate();
            panic!(
                "{name}: responses of the replacement: {responses:?}; its log: {}",
                replacement.remaining_log()
            );
        }
        (replacement, console, third_idle)
    });
    discovery.recover();
    wait_for_new_list(address, "back");
    assert_eq!(responses_to_new_clients(address, "told"), repeat_for_new_clients("200 new"), "{name}");
    assert!(is_ready(replacement.as_ref().map_or(console, |(_, console, _)| *console)), "{name}");
    drop((first_idle, second_idle, replacement));
    let _ = fs::remove_dir_all(folder);
}

/// The first bytes of a request head, after which the client sends nothing.
fn partial_head() -> String {
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
        run_case("pushed", &partial_head(), closes_connections, false);
        run_case("on_request", &partial_head(), closes_connections, false);
    }
}

#[test]
fn replacement_becomes_ready_despite_exhausted_descriptors() {
    for mode in ["pushed", "on_request"] {
        run_case(mode, "", false, true);
        run_case(mode, &partial_head(), false, true);
    }
}
