//! A discovery agent on the same machine that falls silent or restarts.

use crate::support::*;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// An agent that hears every call and answers as its script says; `None`: with silence for good.
struct Agent {
    address: SocketAddr,
    calls: Receiver<(Option<u64>, Instant)>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

/// The version that a call knows.
fn known_version(call: &HttpMessage) -> Option<u64> {
    let (_, rest) = call.first_line().split_once("after=")?;
    rest.split(['&', ' ']).next()?.parse().ok()
}

impl Agent {
    fn start(script: impl FnMut(Option<u64>) -> Option<serde_json::Value> + Send + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (told, calls) = channel();
        let open = Arc::<Mutex<Vec<TcpStream>>>::default();
        let (script, held) = (Arc::new(Mutex::new(script)), Arc::clone(&open));
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (Ok(mut stream), told, script) = (stream, told.clone(), Arc::clone(&script)) else {
                    return;
                };
                held.lock().expect("the list").push(stream.try_clone().expect("a clone"));
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
                    while let Some(call) = read_message(&mut reader) {
                        let after = known_version(&call);
                        let list = script.lock().expect("a script")(after);
                        if told.send((after, Instant::now())).is_err() {
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

    /// Ends all its connections, as an agent that is started anew does.
    fn restart(&self) {
        for stream in self.open.lock().expect("the list").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn config_at(name: &str, discovery: SocketAddr, known: &[serde_json::Value]) -> serde_json::Value {
    let nowhere = Discovery::start();
    let mut config = config(name, &nowhere);
    config["discovery"] = discovery.to_string().into();
    config["known"] = serde_json::json!({"revision": 1, "complete": true, "members": known});
    config
}

fn list(revision: u64, members: &[serde_json::Value]) -> serde_json::Value {
    serde_json::json!({"revision": revision, "complete": true, "members": members})
}

/// A watch that never speaks again, and a second one that does not either. What they miss holds 6 s after the silence.
#[test]
fn silent_watches_are_replaced_in_time() {
    let (one, two) = (Backend::start(|_| ok("one")), Backend::start(|_| ok("two")));
    let (first, then) = (entry("s-1", one.address, "active", 0), entry("s-1", one.address, "leaving", 0));
    let other = entry("s-2", two.address, "active", 0);
    let before = list(4, std::slice::from_ref(&first));
    let after = list(5, &[then, other]);
    let mut whole = 0;
    let agent = Agent::start(move |known| match known {
        // Both watches are silent; the whole list is there at once, the second time with the news.
        Some(_) => None,
        None => {
            whole += 1;
            Some(if whole == 1 { before.clone() } else { after.clone() })
        }
    });
    let proxy = Proxy::start_with_config("silent-watch", &config_at("silent-watch", agent.address, &[]));
    assert_eq!(agent.next_call().0, None);
    let (known, fell_silent) = agent.next_call();
    assert_eq!(known, Some(4));
    let (known, asked_again) = agent.next_call();
    let news = asked_again - fell_silent;
    assert_eq!(known, None, "the whole list: whoever was silent may be another one now");
    assert!(news < Duration::from_secs(4), "asked again after {news:?}, and 6 s are all there is");
    let (known, second_silent) = agent.next_call();
    assert_eq!(known, Some(5));
    let (known, asked_again) = agent.next_call();
    assert!(known.is_none() && asked_again - second_silent < Duration::from_secs(4));
    assert_eq!(proxy.client().exchange(&request("charge", "1", "x")).body, b"two");
    assert_eq!(one.take_request_count(), 0);
}

/// While discovery is down its agent takes calls and answers none, not even after its return. What it gets then holds at
/// once, so that no call may be waited for long: backends that begin to drain have their grace of a second.
#[test]
fn silent_agent_is_polled_within_the_drain_grace() {
    let backend = Backend::start(|_| ok("there"));
    let members = [entry("s-1", backend.address, "active", 0)];
    let (back, returned) = (Arc::new(AtomicBool::new(false)), list(9, &members));
    let is_back = Arc::clone(&back);
    let agent = Agent::start(move |known| {
        is_back.load(Ordering::SeqCst).then(|| known.is_none().then(|| returned.clone())).flatten()
    });
    let proxy = Proxy::start_with_config("outage", &config_at("outage", agent.address, &members));
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
        "the list that was known serves"
    );
    back.store(true, Ordering::SeqCst);
    while agent.next_call().0 != Some(9) {}
    assert_eq!(proxy.client().exchange(&request("read", "2", "")).status(), 200);
}

/// An agent that was started anew counts its versions anew: a watch from the old ones would wait for ever.
#[test]
fn restarted_agent_is_polled_for_a_complete_list() {
    let backend = Backend::start(|_| ok("there"));
    let members = [entry("s-1", backend.address, "active", 0)];
    let mut revisions = vec![3, 41];
    let agent = Agent::start(move |known| match known {
        Some(_) => None,
        None => revisions.pop().map(|revision| list(revision, &members)),
    });
    let proxy = Proxy::start_with_config("anew", &config_at("anew", agent.address, &[]));
    assert_eq!((agent.next_call().0, agent.next_call().0), (None, Some(41)));
    agent.restart();
    assert_eq!((agent.next_call().0, agent.next_call().0), (None, Some(3)), "the version may go back");
    assert_eq!(proxy.client().exchange(&request("read", "1", "")).status(), 200);
}

/// Where lists are pushed, what the agent has counts as told from the first moment of a new process.
#[test]
fn new_process_waits_for_its_agent_before_using_the_configured_list() {
    let mut heard_in_time = false;
    for turn in 0..10 {
        let discovery = Discovery::start();
        let (left, stays) = (Backend::start(|_| ok("left")), Backend::start(|_| ok("stays")));
        let known = [entry("s-1", left.address, "active", 0)];
        let name = format!("first-moment-{turn}");
        let mut proxy = Proxy::start_with_config(&name, &config_at(&name, discovery.address, &known));
        let mut client = proxy.client();
        client.send(&request("charge", "1", "x"));
        // The agent has the call and a request is there: only now it answers.
        assert_eq!(discovery.next_call(), None);
        discovery.post(
            true,
            &[entry("s-1", left.address, "leaving", 0), entry("s-2", stays.address, "active", 0)],
        );
        let got = client.receive();
        proxy.terminate();
        // On a machine so busy that the answer came after the agent's time, the known list may serve.
        heard_in_time = !proxy.remaining_log().contains("no answer in time");
        if heard_in_time {
            assert_eq!((got.status(), left.take_request_count(), stays.take_request_count()), (200, 0, 1));
            break;
        }
    }
    assert!(heard_in_time, "ten starts, and none heard its agent in time");
}
