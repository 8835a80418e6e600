//! A local discovery agent that stops responding or restarts.

use crate::support::*;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// An agent that reads each call and responds with the list of its script, or not at all for `None`.
struct Agent {
    address: SocketAddr,
    /// The revision (`after`) of each call, and when the agent received it.
    calls: Receiver<(Option<u64>, Instant)>,
    open_connections: Arc<Mutex<Vec<TcpStream>>>,
}

/// The revision since which a call requests changes; `None` for a call for the complete list.
fn known_revision(call: &HttpMessage) -> Option<u64> {
    let (_, rest) = call.first_line().split_once("after=")?;
    rest.split(['&', ' ']).next()?.parse().ok()
}

impl Agent {
    fn start(script: impl FnMut(Option<u64>) -> Option<serde_json::Value> + Send + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
        let address = listener.local_addr().expect("local address");
        let (sender, calls) = channel();
        let open_connections = Arc::<Mutex<Vec<TcpStream>>>::default();
        let (script, connections) = (Arc::new(Mutex::new(script)), Arc::clone(&open_connections));
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (Ok(mut stream), sender, script) = (stream, sender.clone(), Arc::clone(&script)) else {
                    return;
                };
                connections
                    .lock()
                    .expect("lock the connections")
                    .push(stream.try_clone().expect("clone the stream"));
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().expect("clone the stream"));
                    while let Some(call) = read_message(&mut reader) {
                        let after = known_revision(&call);
                        let list = script.lock().expect("lock the script")(after);
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
        Self { address, calls, open_connections }
    }

    fn next_call_revision(&self) -> (Option<u64>, Instant) {
        self.calls.recv_timeout(TEST_TIMEOUT).expect("a call to the agent")
    }

    /// Closes all connections, as a restart of the agent does.
    fn restart(&self) {
        for stream in self.open_connections.lock().expect("lock the connections").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn config_with_known(name: &str, discovery: SocketAddr, known: &[serde_json::Value]) -> serde_json::Value {
    let unused_discovery = Discovery::start();
    let mut config = proxy_config(name, &unused_discovery);
    config["discovery"] = discovery.to_string().into();
    config["known"] = serde_json::json!({"revision": 1, "complete": true, "members": known});
    config
}

fn list(revision: u64, members: &[serde_json::Value]) -> serde_json::Value {
    serde_json::json!({"revision": revision, "complete": true, "members": members})
}

/// The agent does not respond to two successive watches. The changes that they miss have to be in force 6 s
/// later.
#[test]
fn unanswered_watches_are_replaced_in_time() {
    let (old_backend, new_backend) =
        (Backend::start(|_| ok_response("one")), Backend::start(|_| ok_response("two")));
    let (active_entry, draining_entry) = (
        backend_entry("s-1", old_backend.address, "active", 0),
        backend_entry("s-1", old_backend.address, "leaving", 0),
    );
    let new_entry = backend_entry("s-2", new_backend.address, "active", 0);
    let initial_list = list(4, std::slice::from_ref(&active_entry));
    let changed_list = list(5, &[draining_entry, new_entry]);
    let mut complete_lists = 0;
    let agent = Agent::start(move |known| {
        // Watches get no response. Calls for the complete list get one at once, the second time with the
        // change.
        if known.is_some() {
            return None;
        }
        complete_lists += 1;
        Some(if complete_lists == 1 { initial_list.clone() } else { changed_list.clone() })
    });
    let proxy =
        Proxy::start_with_config("silent-watch", &config_with_known("silent-watch", agent.address, &[]));
    assert_eq!(agent.next_call_revision().0, None);
    let (known, first_watch_at) = agent.next_call_revision();
    assert_eq!(known, Some(4));
    let (known, next_poll_at) = agent.next_call_revision();
    let delay = next_poll_at - first_watch_at;
    assert_eq!(
        known, None,
        "the proxy must request the complete list, because the agent may have been replaced"
    );
    assert!(
        delay < Duration::from_secs(4),
        "polled after {delay:?}, which leaves too little of the limit of 6 s"
    );
    let (known, second_watch_at) = agent.next_call_revision();
    assert_eq!(known, Some(5));
    let (known, next_poll_at) = agent.next_call_revision();
    assert!(known.is_none() && next_poll_at - second_watch_at < Duration::from_secs(4));
    assert_eq!(proxy.client().exchange(&request("charge", "1", "x")).body, b"two");
    assert_eq!(old_backend.take_request_count(), 0);
}

/// While discovery is down, its agent reads calls and never answers them. After the recovery its list has to
/// be in force within the drain grace of one second, so the proxy may not wait long for any call.
#[test]
fn unresponsive_agent_is_polled_within_the_drain_grace() {
    let backend = Backend::start(|_| ok_response("there"));
    let members = [backend_entry("s-1", backend.address, "active", 0)];
    let (has_recovered, recovered_list) = (Arc::new(AtomicBool::new(false)), list(9, &members));
    let has_recovered_in_script = Arc::clone(&has_recovered);
    let agent = Agent::start(move |known| {
        has_recovered_in_script
            .load(Ordering::SeqCst)
            .then(|| known.is_none().then(|| recovered_list.clone()))
            .flatten()
    });
    let proxy = Proxy::start_with_config("outage", &config_with_known("outage", agent.address, &members));
    let mut previous_at = agent.next_call_revision().1;
    for call in 0..6 {
        let (_, at) = agent.next_call_revision();
        let gap = at - previous_at;
        assert!(gap < Duration::from_millis(1_400), "call {call} came {gap:?} after the previous one");
        previous_at = at;
    }
    assert_eq!(
        proxy.client().exchange(&request("read", "1", "")).status(),
        200,
        "the configured list must be in force"
    );
    has_recovered.store(true, Ordering::SeqCst);
    while agent.next_call_revision().0 != Some(9) {}
    assert_eq!(proxy.client().exchange(&request("read", "2", "")).status(), 200);
}

/// Guards against a watch that never ends: a restarted agent counts its revisions from the start, so it would
/// not answer a watch from an old revision.
#[test]
fn restarted_agent_is_polled_for_a_complete_list() {
    let backend = Backend::start(|_| ok_response("there"));
    let members = [backend_entry("s-1", backend.address, "active", 0)];
    let mut revisions = vec![3, 41];
    let agent = Agent::start(move |known| match known {
        Some(_) => None,
        None => revisions.pop().map(|revision| list(revision, &members)),
    });
    let proxy = Proxy::start_with_config("anew", &config_with_known("anew", agent.address, &[]));
    assert_eq!((agent.next_call_revision().0, agent.next_call_revision().0), (None, Some(41)));
    agent.restart();
    assert_eq!(
        (agent.next_call_revision().0, agent.next_call_revision().0),
        (None, Some(3)),
        "the proxy must accept a lower revision"
    );
    assert_eq!(proxy.client().exchange(&request("read", "1", "")).status(), 200);
}

/// If lists are pushed, a new process uses the agent's list from its first request on.
#[test]
fn new_process_waits_for_its_agent_before_using_the_configured_list() {
    let mut was_answered_in_time = false;
    for round in 0..10 {
        let discovery = Discovery::start();
        let (old_backend, new_backend) =
            (Backend::start(|_| ok_response("left")), Backend::start(|_| ok_response("stays")));
        let known = [backend_entry("s-1", old_backend.address, "active", 0)];
        let name = format!("first-moment-{round}");
        let mut proxy = Proxy::start_with_config(&name, &config_with_known(&name, discovery.address, &known));
        let mut client = proxy.client();
        client.send(&request("charge", "1", "x"));
        // The agent responds only after the call and a client's request have arrived.
        assert_eq!(discovery.next_call_revision(), None);
        discovery.publish_and_wait(
            true,
            &[
                backend_entry("s-1", old_backend.address, "leaving", 0),
                backend_entry("s-2", new_backend.address, "active", 0),
            ],
        );
        let response = client.receive();
        proxy.terminate();
        // On a machine so busy that the call timed out, the configured list may have been used.
        was_answered_in_time = !proxy.remaining_log().contains("no answer in time");
        if was_answered_in_time {
            assert_eq!(
                (response.status(), old_backend.take_request_count(), new_backend.take_request_count()),
                (200, 0, 1)
            );
            break;
        }
    }
    assert!(was_answered_in_time, "none of ten processes got the response of its agent in time");
}
