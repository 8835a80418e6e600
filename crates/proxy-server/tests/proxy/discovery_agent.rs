//! A discovery agent on the same machine that becomes silent or restarts.

use crate::support::*;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// An agent that reads every call and answers by its script; `None` means no answer.
struct Agent {
    address: SocketAddr,
    calls: Receiver<(Option<u64>, Instant)>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

/// The revision that a call knows.
fn known_revision(call: &HttpMessage) -> Option<u64> {
    let (_, rest) = call.first_line().split_once("after=")?;
    rest.split(['&', ' ']).next()?.parse().ok()
}

impl Agent {
    fn start(script: impl FnMut(Option<u64>) -> Option<serde_json::Value> + Send + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (sender, calls) = channel();
        let open = Arc::<Mutex<Vec<TcpStream>>>::default();
        let (script, connections) = (Arc::new(Mutex::new(script)), Arc::clone(&open));
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (Ok(mut stream), sender, script) = (stream, sender.clone(), Arc::clone(&script)) else {
                    return;
                };
                connections.lock().expect("the list").push(stream.try_clone().expect("a clone"));
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
                    while let Some(call) = read_message(&mut reader) {
                        let after = known_revision(&call);
                        let list = script.lock().expect("a script")(after);
                        if sender.send((after, Instant::now())).is_err() {
                            return;
                        }
                        let Some(list) = list else { continue };
                        let text = list.to_string();
                        if stream.write_all(&response_bytes("200 OK", "", text.as_bytes())).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Self { address, calls, open }
    }

    fn next_call(&self) -> (Option<u64>, Instant) {
        self.calls.recv_timeout(TEST_TIMEOUT).expect("a call")
    }

    /// Closes all connections, as a restart does.
    fn restart(&self) {
        for stream in self.open.lock().expect("the list").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn config_with_known(name: &str, discovery: SocketAddr, known: &[serde_json::Value]) -> serde_json::Value {
    let nowhere = Discovery::start();
    let mut config = config(name, &nowhere);
    config["discovery"] = discovery.to_string().into();
    config["known"] = serde_json::json!({"revision": 1, "complete": true, "members": known});
    config
}

fn list(revision: u64, members: &[serde_json::Value]) -> serde_json::Value {
    serde_json::json!({"revision": revision, "complete": true, "members": members})
}

/// Two successive watches become silent. What they miss has to be in force 6 s later.
#[test]
fn silent_watches_are_replaced_in_time() {
    let (one, two) = (Backend::start(|_| ok("one")), Backend::start(|_| ok("two")));
    let (first, then) = (entry("s-1", one.address, "active", 0), entry("s-1", one.address, "leaving", 0));
    let other = entry("s-2", two.address, "active", 0);
    let before = list(4, std::slice::from_ref(&first));
    let after = list(5, &[then, other]);
    let mut complete_lists = 0;
    let agent = Agent::start(move |known| {
        // Both watches are silent; a complete list is sent at once, the second time with the change.
        if known.is_some() {
            return None;
        }
        complete_lists += 1;
        Some(if complete_lists == 1 { before.clone() } else { after.clone() })
    });
    let proxy =
        Proxy::start_with_config("silent-watch", &config_with_known("silent-watch", agent.address, &[]));
    assert_eq!(agent.next_call().0, None);
    let (known, silent_since) = agent.next_call();
    assert_eq!(known, Some(4));
    let (known, polled_again_at) = agent.next_call();
    let delay = polled_again_at - silent_since;
    assert_eq!(known, None, "a complete list: the silent agent may have been replaced");
    assert!(delay < Duration::from_secs(4), "polled again after {delay:?}, and the limit is 6 s");
    let (known, silent_again_since) = agent.next_call();
    assert_eq!(known, Some(5));
    let (known, polled_again_at) = agent.next_call();
    assert!(known.is_none() && polled_again_at - silent_again_since < Duration::from_secs(4));
    assert_eq!(proxy.client().exchange(&request("charge", "1", "x")).body, b"two");
    assert_eq!(one.take_request_count(), 0);
}

/// While discovery is down its agent reads calls and never answers them. After the recovery its list has to be in force
/// within the drain grace of a second, so that no call may wait long.
#[test]
fn silent_agent_is_polled_within_the_drain_grace() {
    let backend = Backend::start(|_| ok("there"));
    let members = [entry("s-1", backend.address, "active", 0)];
    let (back, returned) = (Arc::new(AtomicBool::new(false)), list(9, &members));
    let is_back = Arc::clone(&back);
    let agent = Agent::start(move |known| {
        is_back.load(Ordering::SeqCst).then(|| known.is_none().then(|| returned.clone())).flatten()
    });
    let proxy = Proxy::start_with_config("outage", &config_with_known("outage", agent.address, &members));
    let mut last = agent.next_call().1;
    for call in 0..6 {
        let (_, at) = agent.next_call();
        let gap = at - last;
        assert!(gap < Duration::from_millis(1_400), "call {call} came {gap:?} after the one before");
        last = at;
    }
    assert_eq!(
        proxy.client().exchange(&request("read", "1", "")).status(),
        200,
        "the configured list serves"
    );
    back.store(true, Ordering::SeqCst);
    while agent.next_call().0 != Some(9) {}
    assert_eq!(proxy.client().exchange(&request("read", "2", "")).status(), 200);
}

/// A restarted agent restarts its revisions: a watch from an old revision would wait forever.
#[test]
fn restarted_agent_is_polled_for_a_complete_list() {
    let backend = Backend::start(|_| ok("there"));
    let members = [entry("s-1", backend.address, "active", 0)];
    let mut revisions = vec![3, 41];
    let agent = Agent::start(move |known| match known {
        Some(_) => None,
        None => revisions.pop().map(|revision| list(revision, &members)),
    });
    let proxy = Proxy::start_with_config("anew", &config_with_known("anew", agent.address, &[]));
    assert_eq!((agent.next_call().0, agent.next_call().0), (None, Some(41)));
    agent.restart();
    assert_eq!((agent.next_call().0, agent.next_call().0), (None, Some(3)), "the revision may decrease");
    assert_eq!(proxy.client().exchange(&request("read", "1", "")).status(), 200);
}

/// Where lists are pushed, the agent's list is in force from the start of a new process.
#[test]
fn new_process_waits_for_its_agent_before_using_the_configured_list() {
    let mut was_answered_in_time = false;
    for round in 0..10 {
        let discovery = Discovery::start();
        let (left, stays) = (Backend::start(|_| ok("left")), Backend::start(|_| ok("stays")));
        let known = [entry("s-1", left.address, "active", 0)];
        let name = format!("first-moment-{round}");
        let mut proxy = Proxy::start_with_config(&name, &config_with_known(&name, discovery.address, &known));
        let mut client = proxy.client();
        client.send(&request("charge", "1", "x"));
        // The agent answers only after it has the call and a request has arrived.
        assert_eq!(discovery.next_call(), None);
        discovery.post(
            true,
            &[entry("s-1", left.address, "leaving", 0), entry("s-2", stays.address, "active", 0)],
        );
        let got = client.receive();
        proxy.terminate();
        // On a machine so busy that the call timed out, the configured list may serve.
        was_answered_in_time = !proxy.remaining_log().contains("no answer in time");
        if was_answered_in_time {
            assert_eq!((got.status(), left.take_request_count(), stays.take_request_count()), (200, 0, 1));
            break;
        }
    }
    assert!(was_answered_in_time, "ten starts, and none had its agent's answer in time");
}
