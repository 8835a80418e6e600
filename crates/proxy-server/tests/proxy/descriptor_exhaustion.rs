//! Idle clients take every descriptor while discovery is down: others are served, the staff is answered, a replacement gets
//! ready, and the list comes at discovery's return.

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

/// What the kernel gives the proxy.
const DESCRIPTORS: usize = 256;
/// Clients that say nothing, or not enough: 100 more than that.
const CROWD: usize = 356;
/// New clients that ask while the crowd is there.
const ASKING: usize = 10;

/// Discovery that says nothing until it is back, and from then on tells its list. It answers no call that came before.
struct Outage {
    address: SocketAddr,
    back: Arc<AtomicBool>,
    /// That the list went out.
    told: Receiver<()>,
}

impl Outage {
    /// `refuses`: while it is down it closes each connection at once, and else it takes calls and says nothing.
    fn start(list: Value, refuses: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let back = Arc::new(AtomicBool::new(false));
        let ((tell, told), is_back) = (channel(), Arc::clone(&back));
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { return };
                let (tell, list, is_back) = (tell.clone(), list.clone(), Arc::clone(&is_back));
                if refuses && !is_back.load(Ordering::SeqCst) {
                    continue;
                }
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
                    let mut silent = false;
                    while let Some(call) = read_message(&mut reader) {
                        // A watch that knows the list has nothing to hear.
                        silent |= !is_back.load(Ordering::SeqCst) || call.first_line().contains("after=9");
                        if !silent {
                            let text = list.to_string();
                            write_bytes(&stream, &response_bytes("200 OK", "", text.as_bytes()));
                            let _ = tell.send(());
                        }
                    }
                });
            }
        });
        Self { address, back, told }
    }

    fn returns(&self) {
        self.back.store(true, Ordering::SeqCst);
        self.told.recv_timeout(TEST_TIMEOUT).expect("it is asked, and answers");
    }
}

/// Within its second, as its users are told.
fn is_ready(console: SocketAddr) -> bool {
    let began = Instant::now();
    let answer = send_command(console, "readyz\n");
    assert!(began.elapsed() < Duration::from_secs(1), "{:?}", began.elapsed());
    answer.starts_with("SUCCESS")
}

/// Where discovery is asked, the list that was known serves at once, and makes ready once the first call has failed.
fn wait_until_ready(console: SocketAddr, name: &str) {
    let began = Instant::now();
    while !is_ready(console) {
        assert!(began.elapsed() < TEST_TIMEOUT, "{name}: it does not get ready");
        thread::yield_now();
    }
}

/// The whole crowd, which stays for as long as this is kept. Who is asked to go may be gone before it has said a word.
fn crowd(address: SocketAddr, says: &str) -> Vec<TcpStream> {
    let come = |_| {
        let mut stream = TcpStream::connect(address).expect("the kernel completes it");
        let _ = stream.write_all(says.as_bytes());
        stream
    };
    (0..CROWD).map(come).collect()
}

/// How many of a crowd have been asked to go.
fn gone(crowd: &[TcpStream]) -> usize {
    let has_ended = |stream: &&TcpStream| {
        stream.set_nonblocking(true).expect("it does not wait");
        !stream.peek(&mut [0]).is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
    };
    crowd.iter().filter(has_ended).count()
}

/// Who answers new clients, each on a connection of its own.
fn answers(address: SocketAddr, name: &str) -> Vec<String> {
    let ask = |n| {
        let got = Client::connect(address).exchange(&request("read", &format!("{name}-{n}"), ""));
        match got.status() {
            200 => format!("200 {}", String::from_utf8_lossy(&got.body)),
            // All that is known of a refusal.
            _ => got.head,
        }
    };
    (0..ASKING).map(ask).collect()
}

fn all(answer: &str) -> Vec<String> {
    vec![answer.to_owned(); ASKING]
}

/// Asks until the new list serves: the process may not have read it yet.
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

fn one_case(mode: &str, says: &str, refuses: bool, replaced: bool) {
    let name = format!("crowd-{mode}-{}-{refuses}-{replaced}", says.len());
    let (old, new) = (Backend::start(|_| ok("old")), Backend::start(|_| ok("new")));
    let (before, left) = (entry("s-1", old.address, "active", 0), entry("s-1", old.address, "left", 0));
    let fresh = entry("s-2", new.address, "active", 0);
    let discovery =
        Outage::start(json!({"revision": 9, "complete": true, "members": [left, fresh]}), refuses);
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
    let first = crowd(address, says);
    assert_eq!(answers(address, "down"), all("200 old"), "{name}");
    assert!(gone(&first) >= CROWD - DESCRIPTORS, "{name}: the shortage was there");
    assert!(is_ready(console), "{name}");
    let second = crowd(address, says);
    let successor = replaced.then(|| {
        let (mut successor, console) = start_limited(&folder, "next", &config(Some(address)));
        wait_until_ready(console, &name);
        let third = crowd(address, says);
        proxy.terminate();
        assert!(proxy.wait().success(), "{name}: the old one ends");
        let got = answers(address, "next");
        if got != all("200 old") {
            successor.terminate();
            panic!("{name}: {got:?}, and its log is: {}", successor.remaining_log());
        }
        (successor, console, third)
    });
    discovery.returns();
    wait_for_new(address, "back");
    assert_eq!(answers(address, "told"), all("200 new"), "{name}");
    assert!(is_ready(successor.as_ref().map_or(console, |(_, console, _)| *console)), "{name}");
    drop((first, second, successor));
    let _ = fs::remove_dir_all(folder);
}

/// A part of a head, as clients send that then fall silent.
fn half() -> String {
    request("read", "half", "")[..40].to_owned()
}

#[test]
fn idle_connections_block_neither_clients_nor_discovery() {
    for refuses in [false, true] {
        one_case("pushed", "", refuses, false);
        one_case("on_request", "", refuses, false);
    }
}

#[test]
fn partial_heads_block_neither_clients_nor_discovery() {
    for refuses in [false, true] {
        one_case("pushed", &half(), refuses, false);
        one_case("on_request", &half(), refuses, false);
    }
}

#[test]
fn replacement_becomes_ready_despite_exhausted_descriptors() {
    for mode in ["pushed", "on_request"] {
        one_case(mode, "", false, true);
        one_case(mode, &half(), false, true);
    }
}
