//! What discovery tells, late, wrongly or not at all.

use crate::support::*;
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn nothing_new_goes_to_a_backend_that_drains_or_is_gone() {
    for phase in ["leaving", "left"] {
        let discovery = Discovery::start();
        let backend = Backend::start(|_| ok("there"));
        let proxy = Proxy::start(phase, &discovery, &[entry("s-1", backend.address, "active", 0)]);
        assert_eq!(proxy.client().exchange(&request("read", "1", "")).status(), 200);
        backend.next_request();
        discovery.post(false, &[entry("s-1", backend.address, phase, 0)]);
        let short = request("read", "2", "").replace("15000", "300");
        assert_eq!(proxy.client().exchange(&short).status(), 503, "{phase}");
        assert_eq!(backend.take_request_count(), 0, "{phase}");
        discovery.post(true, &[entry("s-1", backend.address, "active", 0)]);
        assert_eq!(proxy.client().exchange(&request("read", "3", "")).status(), 200);
    }
}

#[test]
fn a_restarted_backend_gets_a_new_connection() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("there"));
    // Whenever a start is told to have been, it is as young as its news: here backends are warm at once.
    let mut config = config("restarted", &discovery);
    config["settings"]["safety"]["coldUs"] = 1.into();
    let proxy = Proxy::start_with_config("restarted", &config);
    discovery.post(true, &[entry("s-1", backend.address, "active", 1_000)]);
    let mut client = proxy.client();
    assert_eq!(client.exchange(&request("charge", "1", "x")).status(), 200);
    assert_eq!(client.exchange(&request("charge", "2", "x")).status(), 200);
    let (first, second) = (backend.next_request().connection, backend.next_request().connection);
    assert_eq!(first, second, "a connection is used again");
    discovery.post(false, &[entry("s-1", backend.address, "active", 2_000)]);
    assert_eq!(client.exchange(&request("charge", "3", "x")).status(), 200);
    assert_ne!(backend.next_request().connection, second);
}

/// A connection that was in use while its backend left belongs to a process that is gone.
#[test]
fn connections_of_a_backend_that_is_gone_are_never_used_again() {
    for complete in [false, true] {
        let discovery = Discovery::start();
        let (release, word) = channel();
        let mut word = Some(word);
        let backend = Backend::start(move |_| match word.take() {
            Some(word) => BackendAction::WaitThen(word, Box::new(ok("of the old one"))),
            None => ok("of the new one"),
        });
        let here = |id: &str| entry(id, backend.address, "active", 0);
        let proxy = Proxy::start(&format!("gone-{complete}"), &discovery, &[here("s-1")]);
        let mut client = proxy.client();
        client.send(&request("charge", "1", "x"));
        assert_eq!(backend.next_request().connection, 0);
        let left = entry("s-1", backend.address, "left", 0);
        discovery.post(complete, if complete { &[] } else { std::slice::from_ref(&left) });
        discovery.post(false, &[here("s-1")]);
        release.send(()).expect("the backend waits");
        assert_eq!(client.receive().body, b"of the old one");
        for id in ["2", "3"] {
            assert_eq!(client.exchange(&request("charge", id, "x")).body, b"of the new one");
            assert_eq!(backend.next_request().connection, 1);
        }
        discovery.post(true, &[here("s-2")]);
        assert_eq!(client.exchange(&request("charge", "4", "x")).status(), 200);
        assert_eq!(backend.next_request().connection, 2, "another backend at the same address");
    }
}

#[test]
fn odd_entries_of_a_list_are_passed_over() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("there"));
    let good = entry("s-1", backend.address, "active", 0);
    let odd = |name: &str, value: serde_json::Value| {
        let mut entry = entry("s-odd", backend.address, "active", 0);
        entry[name] = value;
        entry
    };
    let members = [
        serde_json::Value::Null,
        odd("host_port", "nowhere".into()),
        odd("phase", "dancing".into()),
        odd("locality", "mars".into()),
        odd("cell", (-1).into()),
        odd("id", 7.into()),
        good,
    ];
    let proxy = Proxy::start("odd", &discovery, &members);
    assert_eq!(proxy.client().exchange(&request("read", "1", "")).status(), 200);
}

#[test]
fn it_is_up_only_once_it_holds_a_list() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("there"));
    let proxy = Proxy::start_without_list("up", &discovery);
    assert_eq!(proxy.client().exchange(HEALTH_REQUEST).status(), 503);
    discovery.post(true, &[entry("s-1", backend.address, "active", 0)]);
    assert_eq!(proxy.client().exchange(HEALTH_REQUEST).status(), 200);
}

#[test]
fn where_discovery_is_asked_the_module_begins_the_watch_whatever_was_known() {
    for known in [serde_json::Value::Null, "nonsense".into()] {
        let discovery = Discovery::start();
        let backend = Backend::start(|_| ok("there"));
        let mut config = config("asked", &discovery);
        config["known"] = known;
        config["settings"]["membershipMode"] = "on_request".into();
        let proxy = Proxy::start_with_config("asked", &config);
        discovery.post(true, &[entry("s-1", backend.address, "active", 0)]);
        assert_eq!(proxy.client().exchange(&request("read", "1", "")).status(), 200);
    }
}

/// A bank so large that all of its watches can't be answered at once: whoever comes back serves from what it knew and
/// asks for changes at its turn, and a proxy that knew nothing asks at once.
#[test]
fn a_proxy_of_a_large_bank_serves_from_what_it_knew_and_asks_for_changes_alone() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("there"));
    let mut config = config("turns", &discovery);
    config["settings"]["membershipMode"] = "on_request".into();
    config["settings"]["balancers"] = 30.into();
    let proxy = Proxy::start_with_config("turns-new", &config.clone());
    assert_eq!((discovery.next_call(), proxy.client().exchange(HEALTH_REQUEST).status()), (None, 503));
    let known = [entry("s-1", backend.address, "active", 0)];
    config["known"] = serde_json::json!({"revision": 7, "complete": true, "members": known});
    let proxy = Proxy::start_with_config("turns-back", &config);
    assert_eq!(proxy.client().exchange(&request("read", "1", "")).status(), 200);
    assert_eq!(discovery.next_call(), Some(7));
    // The call is on its way for as long as discovery has nothing newer; the list that is held serves on.
    assert_eq!(proxy.client().exchange(&request("read", "2", "")).status(), 200);
}

#[test]
fn a_backend_that_began_to_drain_while_its_connection_came_up_gets_nothing() {
    let discovery = Discovery::start();
    let (listener, filler) = listener_with_full_queue();
    let address = listener.local_addr().expect("an address");
    let proxy = Proxy::start("slow-connect", &discovery, &[entry("s-1", address, "active", 0)]);
    let mut client = proxy.client();
    client.send(&request("charge", "1", "x"));
    // An answer on another connection shows that the proxy has seen the request.
    assert_eq!(proxy.client().exchange(HEALTH_REQUEST).status(), 200);
    discovery.post(false, &[entry("s-1", address, "leaving", 0)]);
    drop(listener.accept().expect("the filler"));
    let (mut stream, _) = listener.accept().expect("the proxy's connection");
    let got = client.receive();
    assert_eq!(got.status(), 503, "it never ran, so a repeat is harmless");
    let mut sent = Vec::new();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
    let _ = stream.read_to_end(&mut sent);
    assert!(sent.is_empty(), "{}", String::from_utf8_lossy(&sent));
    drop(filler);
}

#[test]
fn at_sighup_it_goes_over_to_the_new_discovery_and_serves_on() {
    let (old, new) = (Discovery::start(), Discovery::start());
    let (release, word) = channel();
    let mut word = Some(word);
    let before = Backend::start(move |_| match word.take() {
        Some(word) => BackendAction::WaitThen(word, Box::new(ok("taken before"))),
        None => ok("before"),
    });
    let after = Backend::start(|_| ok("after"));
    let mut proxy = Proxy::start("sighup", &old, &[entry("s-1", before.address, "active", 0)]);
    let mut client = proxy.client();
    client.send(&request("charge", "1", "x"));
    before.next_request();
    // A file that can't be used leaves all as it was.
    proxy.reload("{");
    proxy.wait_for_log("reload failed, the previous configuration remains in force");
    assert_eq!(proxy.client().exchange(&request("read", "2", "")).body, b"before");
    for turn in 0..2 {
        let (from, to, name) = if turn == 0 { (&old, &new, "s-2") } else { (&new, &old, "s-3") };
        from.take_call_count();
        to.take_call_count();
        proxy.reload(&config("sighup", to).to_string());
        assert_eq!(to.next_call(), None, "the version of another service means nothing to this one");
        // Until the new service has told its list, the old list serves.
        assert_eq!(proxy.client().exchange(&request("read", "3", "")).status(), 200);
        to.post(true, &[entry(name, after.address, "active", 0)]);
        assert_eq!(proxy.client().exchange(&request("read", "4", "")).body, b"after");
    }
    release.send(()).expect("the backend waits");
    assert_eq!(client.receive().body, b"taken before");
}

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
fn a_watch_that_falls_silent_for_good_is_found_out_in_time_and_again() {
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
fn an_agent_that_says_nothing_is_asked_often_enough_for_the_grace() {
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
fn an_agent_that_was_started_anew_is_asked_for_the_whole_list() {
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
fn a_new_process_sends_nothing_by_the_list_that_it_was_started_with_before_its_agent_was_heard() {
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

/// Two moves at once, one of them to where nobody listens, and back: the newest address is followed.
#[test]
fn discovery_that_moves_to_nowhere_and_back_is_followed() {
    let (discovery, backend) = (Discovery::start(), Backend::start(|_| ok("there")));
    let members = [entry("s-1", backend.address, "active", 0)];
    let mut proxy = Proxy::start("moves", &discovery, &members);
    let nowhere = {
        let gone = TcpListener::bind("127.0.0.1:0").expect("a port");
        gone.local_addr().expect("an address")
    };
    for turn in 0..3 {
        let mut away = config("moves", &discovery);
        away["discovery"] = nowhere.to_string().into();
        proxy.reload(&away.to_string());
        proxy.wait_for_log("discovery is at");
        let id = format!("{turn}");
        assert_eq!(proxy.client().exchange(&request("read", &id, "")).status(), 200, "the old list serves");
        discovery.take_call_count();
        proxy.reload(&config("moves", &discovery).to_string());
        assert_eq!(discovery.next_call(), None);
        discovery.post(true, &members);
    }
    discovery.post(false, &[entry("s-1", backend.address, "leaving", 0)]);
    let short = request("read", "drained", "").replace("15000", "300");
    assert_eq!(proxy.client().exchange(&short).status(), 503);
    assert_eq!(proxy.client().exchange(HEALTH_REQUEST).status(), 200);
}
