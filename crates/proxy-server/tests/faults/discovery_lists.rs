//! Slow lists, invalid entries, agents that answer at once, and a log that is not read.

use crate::TwoBackends;
use crate::support::*;
use serde_json::{Value, json};
use std::io::{BufReader, Write};
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const GRACE: Duration = Duration::from_millis(1_050);

/// An agent that writes each list in pieces over this time.
fn start_slow_agent(list: Arc<Mutex<Value>>, over: Duration) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (Ok(mut stream), list) = (stream, Arc::clone(&list)) else { return };
            thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
                while let Some(asked) = read_message(&mut reader) {
                    let list = list.lock().expect("a list").clone();
                    // A watch that knows this revision waits.
                    if asked.first_line().contains(&format!("after={}&", list["revision"])) {
                        thread::sleep(Duration::from_millis(500));
                    }
                    let text = response_bytes("200 OK", "", list.to_string().as_bytes());
                    for piece in text.chunks(text.len() / 10 + 1) {
                        if stream.write_all(piece).is_err() {
                            return;
                        }
                        thread::sleep(over / 10);
                    }
                }
            });
        }
    });
    address
}

/// Operators' terms: a change is in force 6 s after discovery had it and was reachable, also where a list is sent slowly.
#[test]
fn slowly_sent_list_is_applied() {
    let pair = TwoBackends::new();
    let members = json!(pair.members());
    let list = Arc::new(Mutex::new(json!({"revision": 1, "complete": true, "members": members})));
    let mut config = config("slow-list", &pair.discovery);
    config["discovery"] =
        json!(start_slow_agent(Arc::clone(&list), Duration::from_millis(1_500)).to_string());
    let proxy = Proxy::start_with_config("slow-list", &config);
    let began = Instant::now();
    while proxy.client().exchange(HEALTH_REQUEST).status() != 200 {
        assert!(began.elapsed() < Duration::from_secs(8), "no list was taken");
        thread::sleep(Duration::from_millis(20));
    }
    assert!(pair.count_served_by_a(&proxy, "before", 30) > 0, "it serves");
    let mut drained = members;
    drained[0]["phase"] = json!("leaving");
    *list.lock().expect("a list") = json!({"revision": 2, "complete": true, "members": drained});
    thread::sleep(Duration::from_secs(6) + GRACE);
    assert_eq!(pair.count_served_by_a(&proxy, "drained", 30), 0);
}

/// Operators' terms: nothing new goes to a draining or removed backend after the grace, also where its entry is invalid.
#[test]
fn backend_with_an_invalid_entry_gets_no_new_requests() {
    let broken: [fn(&mut Value); 4] = [
        |entry| entry["host_port"] = json!("nowhere"),
        |entry| entry["locality"] = json!("unheard-of"),
        |entry| entry["phase"] = json!("retired"),
        |entry| entry["cell"] = json!(-1),
    ];
    for (round, invalidate) in broken.into_iter().enumerate() {
        let pair = TwoBackends::new();
        let proxy = Proxy::start(&format!("unread-{round}"), &pair.discovery, &pair.members());
        assert!(pair.count_served_by_a(&proxy, "before", 20) > 0, "it serves");
        let mut invalid_entry = entry("s-a", pair.a.address, "leaving", 0);
        invalidate(&mut invalid_entry);
        pair.discovery.post(false, &[invalid_entry]);
        assert_eq!(pair.count_served_by_a(&proxy, "told", 20), 0, "case {round}");
    }
}

/// An agent may answer a watch without changes at once. The proxy polls again within 200 ms, and not without a delay.
#[test]
fn agent_that_answers_at_once_is_not_polled_without_a_delay() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (calls, max_gap) = (Arc::new(Mutex::new(Vec::new())), Duration::from_millis(200));
    let counted = Arc::clone(&calls);
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
            while let Some(asked) = read_message(&mut reader) {
                counted.lock().expect("the calls").push(asked.received_at);
                let is_complete = !asked.first_line().contains("after=");
                let list = json!({"revision": 1, "complete": is_complete, "members": []});
                if stream.write_all(&response_bytes("200 OK", "", list.to_string().as_bytes())).is_err() {
                    break;
                }
            }
        }
    });
    let discovery = Discovery::start();
    let mut config = config("at-once", &discovery);
    config["discovery"] = json!(address.to_string());
    let _proxy = Proxy::start_with_config("at-once", &config);
    thread::sleep(Duration::from_secs(2));
    let calls = calls.lock().expect("the calls").clone();
    assert!(calls.len() > 8 && calls.len() < 100, "{} calls in 2 s", calls.len());
    let longest = calls.windows(2).map(|pair| pair[1] - pair[0]).max();
    assert!(longest.is_some_and(|gap| gap < max_gap), "{longest:?}");
}

/// The log is not read while many lines are written: serving continues.
#[test]
fn unread_log_does_not_block_serving() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("fine"));
    let members: Vec<_> =
        (0..2_000).map(|n| json!({"id": format!("nonsense-{n}"), "phase": "active"})).collect();
    let good = entry("s-1", backend.address, "active", 0);
    let proxy = Proxy::start("unread-log", &discovery, std::slice::from_ref(&good));
    let served = Arc::new(AtomicBool::new(true));
    let (address, shared) = (proxy.address, Arc::clone(&served));
    thread::scope(|scope| {
        let requests = scope.spawn(move || {
            let began = Instant::now();
            let mut number = 0;
            while began.elapsed() < Duration::from_secs(16) {
                let mut client = Client::connect(address);
                client.stream.set_read_timeout(Some(Duration::from_secs(3))).expect("a time-out");
                client.send(&request("read", &number.to_string(), ""));
                if read_message(&mut client.reader).is_none() {
                    shared.store(false, Ordering::Release);
                    return;
                }
                number += 1;
                thread::sleep(Duration::from_millis(20));
            }
        });
        while !requests.is_finished() {
            let mut list = members.clone();
            list.push(good.clone());
            discovery.post_without_waiting(true, &list);
            thread::sleep(Duration::from_millis(200));
        }
    });
    assert!(served.load(Ordering::Acquire), "the log blocked serving");
}
