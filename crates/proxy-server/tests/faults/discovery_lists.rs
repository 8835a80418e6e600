//! Slowly sent lists, invalid entries, agents that respond at once, and a log that is not read.

use crate::TwoBackends;
use crate::support::*;
use serde_json::{Value, json};
use std::io::{BufReader, Write};
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long after a drain or removal is in force new requests may still be sent to the backend.
const DRAIN_GRACE: Duration = Duration::from_millis(1_050);

/// Starts a discovery agent that writes each list in ten pieces over `write_time`.
fn start_slow_agent(list: Arc<Mutex<Value>>, write_time: Duration) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port is bound");
    let address = listener.local_addr().expect("the listener has an address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (Ok(mut stream), list) = (stream, Arc::clone(&list)) else { return };
            thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().expect("the socket is cloned"));
                while let Some(call) = read_message(&mut reader) {
                    let list = list.lock().expect("the list is not poisoned").clone();
                    // A watch after the current revision waits.
                    if call.first_line().contains(&format!("after={}&", list["revision"])) {
                        thread::sleep(Duration::from_millis(500));
                    }
                    let text = response_bytes("200 OK", "", list.to_string().as_bytes());
                    for piece in text.chunks(text.len() / 10 + 1) {
                        if stream.write_all(piece).is_err() {
                            return;
                        }
                        thread::sleep(write_time / 10);
                    }
                }
            });
        }
    });
    address
}

/// Requirement: a change is in force 6 s after discovery had it and was reachable, also where a list is sent
/// slowly.
#[test]
fn slowly_sent_list_is_applied() {
    let pair = TwoBackends::new();
    let members = json!(pair.members());
    let list = Arc::new(Mutex::new(json!({"revision": 1, "complete": true, "members": members})));
    let mut config = proxy_config("slow-list", &pair.discovery);
    config["discovery"] =
        json!(start_slow_agent(Arc::clone(&list), Duration::from_millis(1_500)).to_string());
    let proxy = Proxy::start_with_config("slow-list", &config);
    let began = Instant::now();
    while proxy.client().exchange(HEALTH_REQUEST).status() != 200 {
        assert!(began.elapsed() < Duration::from_secs(8), "no list was applied");
        thread::sleep(Duration::from_millis(20));
    }
    assert!(pair.count_served_by_a(&proxy, "before", 30) > 0, "backend a receives nothing at first");
    let mut drained = members;
    drained[0]["phase"] = json!("leaving");
    *list.lock().expect("the list is not poisoned") =
        json!({"revision": 2, "complete": true, "members": drained});
    thread::sleep(Duration::from_secs(6) + DRAIN_GRACE);
    assert_eq!(pair.count_served_by_a(&proxy, "drained", 30), 0);
}

/// Requirement: a draining or removed backend gets no new requests after the drain grace period, also where
/// its entry is invalid.
#[test]
fn backend_with_an_invalid_entry_gets_no_new_requests() {
    let invalidations: [fn(&mut Value); 4] = [
        |entry| entry["host_port"] = json!("nowhere"),
        |entry| entry["locality"] = json!("unheard-of"),
        |entry| entry["phase"] = json!("retired"),
        |entry| entry["cell"] = json!(-1),
    ];
    for (round, invalidate) in invalidations.into_iter().enumerate() {
        let pair = TwoBackends::new();
        let proxy = Proxy::start(&format!("invalid-{round}"), &pair.discovery, &pair.members());
        assert!(pair.count_served_by_a(&proxy, "before", 20) > 0, "backend a receives nothing at first");
        let mut invalid_entry = backend_entry("s-a", pair.a.address, "leaving", 0);
        invalidate(&mut invalid_entry);
        pair.discovery.publish_and_wait(false, &[invalid_entry]);
        assert_eq!(pair.count_served_by_a(&proxy, "invalid", 20), 0, "case {round}");
    }
}

/// An agent may respond at once to a watch without changes. The proxy polls it again within 200 ms, but with
/// a delay.
#[test]
fn agent_that_responds_at_once_is_polled_with_a_delay() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port is bound");
    let address = listener.local_addr().expect("the listener has an address");
    let (call_times, max_gap) = (Arc::new(Mutex::new(Vec::new())), Duration::from_millis(200));
    let recorded = Arc::clone(&call_times);
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut reader = BufReader::new(stream.try_clone().expect("the socket is cloned"));
            while let Some(call) = read_message(&mut reader) {
                recorded.lock().expect("the call times are not poisoned").push(call.received_at);
                let is_complete = !call.first_line().contains("after=");
                let list = json!({"revision": 1, "complete": is_complete, "members": []});
                if stream.write_all(&response_bytes("200 OK", "", list.to_string().as_bytes())).is_err() {
                    break;
                }
            }
        }
    });
    let discovery = Discovery::start();
    let mut config = proxy_config("at-once", &discovery);
    config["discovery"] = json!(address.to_string());
    let _proxy = Proxy::start_with_config("at-once", &config);
    thread::sleep(Duration::from_secs(2));
    let call_times = call_times.lock().expect("the call times are not poisoned").clone();
    assert!(call_times.len() > 8 && call_times.len() < 100, "{} calls in 2 s", call_times.len());
    let longest_gap = call_times.windows(2).map(|pair| pair[1] - pair[0]).max();
    assert!(longest_gap.is_some_and(|gap| gap < max_gap), "longest gap between calls: {longest_gap:?}");
}

/// The proxy keeps serving while it writes many log lines that nothing reads: invalid entries fill the pipe.
#[test]
fn unread_log_does_not_block_serving() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok_response("fine"));
    let invalid_entries: Vec<_> =
        (0..2_000).map(|n| json!({"id": format!("nonsense-{n}"), "phase": "active"})).collect();
    let valid_entry = backend_entry("s-1", backend.address, "active", 0);
    let proxy = Proxy::start("unread-log", &discovery, std::slice::from_ref(&valid_entry));
    let all_served = Arc::new(AtomicBool::new(true));
    let (address, shared) = (proxy.address, Arc::clone(&all_served));
    thread::scope(|scope| {
        let requests = scope.spawn(move || {
            let began = Instant::now();
            let mut number = 0;
            while began.elapsed() < Duration::from_secs(16) {
                let mut client = Client::connect(address);
                client
                    .stream
                    .set_read_timeout(Some(Duration::from_secs(3)))
                    .expect("the read timeout is set");
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
            let mut list = invalid_entries.clone();
            list.push(valid_entry.clone());
            discovery.publish(true, &list);
            thread::sleep(Duration::from_millis(200));
        }
    });
    assert!(all_served.load(Ordering::Acquire), "the log blocked serving");
}
