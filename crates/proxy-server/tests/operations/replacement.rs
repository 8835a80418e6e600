//! Process replacement while clients send requests, and shutdown.

use crate::support::*;
use crate::{list_entries, serving_backends, start_backends, wait_for_response};
use std::io::Write;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;
use std::{fs, thread};

#[test]
fn exclusion_lasts_over_a_replacement_and_applies_to_both_processes() {
    let discovery = Discovery::start();
    let (a, b) = start_backends();
    let folder = create_empty_folder("outlives");
    let (mut old, old_console) =
        Proxy::start_with_console(&folder, "old", &config_with_console(&discovery, None));
    discovery.publish_and_wait(true, &list_entries(&a, &b));
    assert!(send_command(old_console, "exclude s-a\n").starts_with("SUCCESS"));
    let mut reused_client = old.client();
    assert_eq!(serving_backends(&mut reused_client, "reused", 3), "bbb");
    let (new, new_console) =
        Proxy::start_with_console(&folder, "new", &config_with_console(&discovery, Some(old.address)));
    wait_for_response(new_console, "readyz\n", "SUCCESS");
    let mut new_client = new.client();
    assert_eq!(
        serving_backends(&mut new_client, "new", 20),
        "b".repeat(20),
        "the exclusion did not apply from the start"
    );
    // A command to the new process applies to the old one as well.
    assert!(send_command(new_console, "include s-a\n").starts_with("SUCCESS s-a may serve"));
    old.wait_for_log("excluded backends now: none");
    assert!(send_command(new_console, "exclude s-b\n").starts_with("SUCCESS"));
    old.wait_for_log("excluded backends now: s-b");
    while b.take_request_count() > 0 {}
    let response = reused_client.exchange(&request("read", "reused-last", ""));
    assert!(response.body != b"b", "the old process used an excluded backend: {}", response.head);
    old.terminate();
    drop(reused_client);
    assert!(old.wait_for_exit().success());
    assert_eq!(b.take_request_count(), 0);
}

#[test]
fn new_process_that_ends_before_readiness_does_not_affect_the_old_one() {
    let discovery = Discovery::start();
    let (a, b) = start_backends();
    let folder = create_empty_folder("never-ready");
    let (old, console) = Proxy::start_with_console(&folder, "old", &config_with_console(&discovery, None));
    discovery.publish_and_wait(true, &list_entries(&a, &b));
    wait_for_response(console, "readyz\n", "SUCCESS");
    let unresponsive_discovery = Discovery::start();
    for n in 0..3 {
        let (new, new_console) = Proxy::start_with_console(
            &folder,
            "new",
            &config_with_console(&unresponsive_discovery, Some(old.address)),
        );
        assert!(send_command(new_console, "readyz\n").starts_with("FAILURE"));
        for m in 0..20 {
            let response = old.client().exchange(&request("read", &format!("during-{n}-{m}"), ""));
            assert_eq!(response.status(), 200, "{}", response.head);
        }
        drop(new);
    }
    let mut client = old.client();
    assert_eq!(serving_backends(&mut client, "after", 10).len(), 10);
}

/// Clients that send requests without pause, on reused and on new connections, observe no failure during
/// successive process replacements.
#[test]
fn replacement_rejects_and_resets_nothing() {
    let discovery = Discovery::start();
    let (a, b) = start_backends();
    let folder = create_empty_folder("replaced");
    let (mut old, console) = Proxy::start_with_console(&folder, "p0", &config_with_console(&discovery, None));
    discovery.publish_and_wait(true, &list_entries(&a, &b));
    wait_for_response(console, "readyz\n", "SUCCESS");
    let (address, stop, exchanged) =
        (old.address, Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let clients: Vec<_> = (0..6)
        .map(|number| {
            let (stop, exchanged) = (Arc::clone(&stop), Arc::clone(&exchanged));
            thread::spawn(move || {
                let connect = || Client::connect(address);
                let mut client = connect();
                for n in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let response = client.exchange(&request("read", &format!("load-{number}-{n}"), ""));
                    assert_eq!(response.status(), 200, "{}", response.head);
                    exchanged.fetch_add(1, Ordering::Relaxed);
                    // Half of the clients reconnect after each response, the others when the proxy requests
                    // it.
                    if number % 2 == 0 || response.header("connection") == Some("close") {
                        client = connect();
                    }
                }
            })
        })
        .collect();
    let wait_for_exchanges = |count: usize| {
        let target = exchanged.load(Ordering::Relaxed) + count;
        while exchanged.load(Ordering::Relaxed) < target && clients.iter().all(|c| !c.is_finished()) {
            thread::yield_now();
        }
    };
    for name in ["p1", "p2"] {
        wait_for_exchanges(200);
        let (new, console) =
            Proxy::start_with_console(&folder, name, &config_with_console(&discovery, Some(address)));
        wait_for_response(console, "readyz\n", "SUCCESS");
        old.terminate();
        wait_for_exchanges(200);
        assert!(old.wait_for_exit().success());
        old = new;
    }
    wait_for_exchanges(200);
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().expect("the client observed no failure");
    }
}

/// Learned limits are restored from the snapshot; an unreadable snapshot is logged and ignored.
#[test]
fn new_process_restores_learned_limits() {
    let discovery = Discovery::start();
    let (a, b) = start_backends();
    let folder = create_empty_folder("learnt");
    let (old, console) = Proxy::start_with_console(&folder, "old", &config_with_console(&discovery, None));
    discovery.publish_and_wait(true, &list_entries(&a, &b));
    wait_for_response(console, "readyz\n", "SUCCESS");
    let file = folder.join("haventrack-n7.learnt.json");
    while !file.exists() {
        thread::yield_now();
    }
    let logged_by_new_process = |name: &str, text: &str| {
        let config = config_with_console(&discovery, Some(old.address));
        let (mut new, _) = Proxy::start_with_console(&folder, name, &config);
        new.wait_for_log(text)
    };
    logged_by_new_process("reads", "restored learned limits from the snapshot");
    // A folder in place of the snapshot cannot be read.
    fs::remove_file(&file).expect("the snapshot is removed");
    fs::create_dir(&file).expect("the folder is created");
    assert!(logged_by_new_process("cannot-read", "learned limits were not restored").contains("directory"));
    assert_eq!(old.client().exchange(&request("read", "after", "")).status(), 200);
}

/// A keyed request that is in flight in the old process at the stop signal completes there, with one attempt.
#[test]
fn request_in_flight_completes_once_in_the_old_process() {
    let discovery = Discovery::start();
    let (release, released) = std::sync::mpsc::channel::<()>();
    let mut released = Some(released);
    let backend = Backend::start(move |_| match released.take() {
        Some(released) => BackendAction::WaitForSignalThen(released, Box::new(ok_response("first"))),
        None => ok_response("later"),
    });
    let folder = create_empty_folder("open");
    let (mut old, console) =
        Proxy::start_with_console(&folder, "old", &config_with_console(&discovery, None));
    discovery.publish_and_wait(true, &[backend_entry("s-a", backend.address, "active", 0)]);
    wait_for_response(console, "readyz\n", "SUCCESS");
    let mut client = old.client();
    client.send(&request("submit", "keyed", "x"));
    assert_eq!(backend.next_request().header("idempotency-key"), Some("keyed"));
    let (new, new_console) =
        Proxy::start_with_console(&folder, "new", &config_with_console(&discovery, Some(old.address)));
    wait_for_response(new_console, "readyz\n", "SUCCESS");
    old.terminate();
    wait_for_response(console, "readyz\n", "FAILURE");
    // New connections reach the new process.
    assert_eq!(new.client().exchange(&request("read", "other", "")).body, b"later");
    release.send(()).expect("the backend waits");
    assert_eq!(client.receive().body, b"first");
    assert!(old.wait_for_exit().success());
    assert_eq!(backend.next_request().header("x-correlation-id"), Some("other"));
    assert_eq!(backend.take_request_count(), 0, "nothing was retried");
}

/// Idle connections are closed during shutdown, but not a connection on which the head of a request has
/// begun.
#[test]
fn partially_sent_request_is_answered_during_shutdown() {
    let discovery = Discovery::start();
    let (a, b) = start_backends();
    let (mut proxy, console) = Proxy::start_with_console(
        &create_empty_folder("partial-head"),
        "partial-head",
        &config_with_console(&discovery, None),
    );
    discovery.publish_and_wait(true, &list_entries(&a, &b));
    wait_for_response(console, "readyz\n", "SUCCESS");
    let (mut idle, mut partial) = (proxy.client(), proxy.client());
    for (client, id) in [(&mut idle, "1"), (&mut partial, "2")] {
        assert_eq!(client.exchange(&request("read", id, "")).status(), 200);
    }
    proxy.terminate();
    wait_for_response(console, "readyz\n", "FAILURE");
    let complete = request("read", "3", "");
    let (first_part, rest) = complete.split_at(30);
    // The request begins while the other connection is idle and about to be closed.
    partial.send(first_part);
    assert!(idle.is_closed_cleanly(), "the idle connection was not closed");
    partial.send(rest);
    let response = partial.receive();
    assert_eq!((response.status(), response.header("connection")), (200, Some("close")), "{}", response.head);
    assert!(partial.is_closed_cleanly());
    drop((idle, partial));
    assert!(proxy.wait_for_exit().success());
}

/// Guards against a replacement that cuts off a response which its backend still gives: the old process ends after
/// it, and the new one serves everybody else meanwhile.
#[test]
fn long_response_is_completed_by_the_old_process() {
    const PART: usize = 40_000;
    const PARTS: usize = 60;
    let discovery = Discovery::start();
    let (listener, folder) = (
        TcpListener::bind("127.0.0.1:0").expect("bind to a free port"),
        create_empty_folder("long-response"),
    );
    let address = listener.local_addr().expect("local address");
    let slow = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut reader = std::io::BufReader::new(stream.try_clone().expect("clone the stream"));
        read_message(&mut reader).expect("a request");
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", PART * PARTS);
        stream.write_all(head.as_bytes()).expect("write the head");
        for _ in 0..PARTS {
            stream.write_all(&vec![b'z'; PART]).expect("the proxy reads on");
            thread::sleep(Duration::from_millis(80));
        }
    });
    let mut config = config_with_deadline("n7", &discovery, 500);
    config["console"] = serde_json::json!("127.0.0.1:0");
    let (mut old, console) = Proxy::start_with_console(&folder, "old", &config);
    discovery.publish_and_wait(true, &[backend_entry("s-slow", address, "active", 0)]);
    wait_for_response(console, "readyz\n", "SUCCESS");
    let mut client = old.client();
    client.send(&request("charge", "long", "x").replace("15000", "500"));
    assert!(client.arrived().expect("a response").starts_with(b"HTTP/1.1 200"));
    let quick = Backend::start(|_| ok_response("quick"));
    discovery.publish_and_wait(true, &[backend_entry("s-quick", quick.address, "active", 0)]);
    config["listen"] = serde_json::json!(old.address.to_string());
    let (new, new_console) = Proxy::start_with_console(&folder, "new", &config);
    wait_for_response(new_console, "readyz\n", "SUCCESS");
    old.terminate();
    let reading = thread::spawn(move || client.receive());
    let mut served = 0;
    while !reading.is_finished() {
        let response = new.client().exchange(&request("read", &format!("quick-{served}"), ""));
        assert_eq!(response.body, b"quick", "{}", response.head);
        served += 1;
        thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(reading.join().expect("the reader").body.len(), PART * PARTS);
    assert!(old.wait_for_exit().success());
    slow.join().expect("the backend wrote everything");
    assert_eq!(new.client().exchange(&request("read", "last", "")).body, b"quick");
}

/// Guards against a duplicate execution: a process that started right after a reload knew only the new version of
/// a class, and retried requests of clients that still used the previous one in another cell.
#[test]
fn new_process_knows_the_versions_that_clients_may_still_use() {
    let discovery = Discovery::start();
    let backends: Vec<Backend> =
        (0..4).map(|_| Backend::start(|_| BackendAction::WriteAndClose(Vec::new()))).collect();
    let entry = |(cell, backend): (usize, &Backend)| {
        let mut entry = backend_entry(&format!("s-{cell}"), backend.address, "active", 0);
        entry["cell"] = cell.into();
        entry
    };
    let folder = create_empty_folder("class-versions");
    let mut config = config_with_console(&discovery, None);
    let (mut old, console) = Proxy::start_with_console(&folder, "old", &config);
    discovery.publish_and_wait(true, &backends.iter().enumerate().map(entry).collect::<Vec<_>>());
    wait_for_response(console, "readyz\n", "SUCCESS");
    // The second reload replaces the version in between, too.
    for objective in [10_000_000, 9_000_000] {
        config["settings"]["classes"][1]["group"] = "all".into();
        config["settings"]["classes"][1]["aimUs"] = objective.into();
        fs::write(folder.join("old.json"), config.to_string()).expect("write the configuration");
        old.signal("-HUP");
        old.wait_for_log("reloaded the configuration");
    }
    config["listen"] = serde_json::json!(old.address.to_string());
    let (new, new_console) = Proxy::start_with_console(&folder, "new", &config);
    wait_for_response(new_console, "readyz\n", "SUCCESS");
    old.terminate();
    for id in 0..2 {
        let text = request("submit", &format!("key-{id}"), "x").replace("15000", "5000");
        let status = new.client().exchange(&text).status();
        let cells = backends.iter().filter(|backend| backend.take_request_count() > 0).count();
        assert_eq!((status, cells), (502, 1), "key-{id} may have run, and was sent in other cells");
    }
}
