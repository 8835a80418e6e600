//! Replacement of the process while it serves, and its shutdown.

use crate::support::*;
use crate::{backends, list, served, wait_for_response};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::{fs, thread};

#[test]
fn exclusion_outlives_the_process_and_applies_to_both() {
    let discovery = Discovery::start();
    let (a, b) = backends();
    let folder = empty_folder("outlives");
    let (mut old, old_console) =
        Proxy::start_with_console(&folder, "old", &config_with_console(&discovery, None));
    discovery.post(true, &list(&a, &b));
    assert!(send_command(old_console, "exclude s-a\n").starts_with("SUCCESS"));
    let mut reused = old.client();
    assert_eq!(served(&mut reused, "kept", 3), "bbb");
    let (new, new_console) =
        Proxy::start_with_console(&folder, "new", &config_with_console(&discovery, Some(old.address)));
    wait_for_response(new_console, "readyz\n", "SUCCESS");
    let mut fresh = new.client();
    assert_eq!(served(&mut fresh, "fresh", 20), "b".repeat(20), "the exclusion applied from the start");
    // A command to the new process applies to the old one as well.
    assert!(send_command(new_console, "include s-a\n").starts_with("SUCCESS s-a may serve"));
    old.wait_for_log("excluded backends now: none");
    assert!(send_command(new_console, "exclude s-b\n").starts_with("SUCCESS"));
    old.wait_for_log("excluded backends now: s-b");
    while b.take_request_count() > 0 {}
    let answer = reused.exchange(&request("read", "kept-last", ""));
    assert!(answer.body != b"b", "{}", answer.head);
    old.terminate();
    drop(reused);
    assert!(old.wait().success());
    assert_eq!(b.take_request_count(), 0);
}

#[test]
fn new_process_that_dies_before_ready_changes_nothing() {
    let discovery = Discovery::start();
    let (a, b) = backends();
    let folder = empty_folder("dies");
    let (old, console) = Proxy::start_with_console(&folder, "old", &config_with_console(&discovery, None));
    discovery.post(true, &list(&a, &b));
    wait_for_response(console, "readyz\n", "SUCCESS");
    let silent = Discovery::start();
    for n in 0..3 {
        let (new, new_console) =
            Proxy::start_with_console(&folder, "new", &config_with_console(&silent, Some(old.address)));
        assert!(send_command(new_console, "readyz\n").starts_with("FAILURE"));
        for m in 0..20 {
            let answer = old.client().exchange(&request("read", &format!("beside-{n}-{m}"), ""));
            assert_eq!(answer.status(), 200, "{}", answer.head);
        }
        drop(new);
    }
    let mut client = old.client();
    assert_eq!(served(&mut client, "after", 10).len(), 10);
}

/// Continuous clients, on reused and on new connections, observe no fault during successive replacements.
#[test]
fn replacement_rejects_and_resets_nothing() {
    let discovery = Discovery::start();
    let (a, b) = backends();
    let folder = empty_folder("replaced");
    let (mut old, console) = Proxy::start_with_console(&folder, "p0", &config_with_console(&discovery, None));
    discovery.post(true, &list(&a, &b));
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
                    let answer = client.exchange(&request("read", &format!("load-{number}-{n}"), ""));
                    assert_eq!(answer.status(), 200, "{}", answer.head);
                    exchanged.fetch_add(1, Ordering::Relaxed);
                    // Half of them reconnect each time; the others when the proxy requests it.
                    if number % 2 == 0 || answer.header("connection") == Some("close") {
                        client = connect();
                    }
                }
            })
        })
        .collect();
    let go_on = |more: usize| {
        let until = exchanged.load(Ordering::Relaxed) + more;
        while exchanged.load(Ordering::Relaxed) < until && clients.iter().all(|c| !c.is_finished()) {
            thread::yield_now();
        }
    };
    for name in ["p1", "p2"] {
        go_on(200);
        let (new, console) =
            Proxy::start_with_console(&folder, name, &config_with_console(&discovery, Some(address)));
        wait_for_response(console, "readyz\n", "SUCCESS");
        old.terminate();
        go_on(200);
        assert!(old.wait().success());
        old = new;
    }
    go_on(200);
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().expect("a client that observed no fault");
    }
}

/// Learned limits are restored; an unreadable snapshot is ignored.
#[test]
fn new_process_restores_learned_limits() {
    let discovery = Discovery::start();
    let (a, b) = backends();
    let folder = empty_folder("learnt");
    let (old, console) = Proxy::start_with_console(&folder, "old", &config_with_console(&discovery, None));
    discovery.post(true, &list(&a, &b));
    wait_for_response(console, "readyz\n", "SUCCESS");
    let file = folder.join("haventrack-n7.learnt.json");
    while !file.exists() {
        thread::yield_now();
    }
    let successor = |name: &str, receivers: &str| {
        let config = config_with_console(&discovery, Some(old.address));
        let (mut new, _) = Proxy::start_with_console(&folder, name, &config);
        new.wait_for_log(receivers)
    };
    successor("reads", "restored learned limits from the snapshot");
    // A folder in place of the snapshot cannot be read.
    fs::remove_file(&file).expect("the file is there");
    fs::create_dir(&file).expect("a folder in its place");
    assert!(successor("cannot-read", "learned limits were not restored").contains("directory"));
    assert_eq!(old.client().exchange(&request("read", "after", "")).status(), 200);
}

/// A keyed request that is open in the old process at its stop signal finishes there, once.
#[test]
fn open_requests_finish_once_in_the_old_process() {
    let discovery = Discovery::start();
    let (release, released) = std::sync::mpsc::channel::<()>();
    let mut released = Some(released);
    let backend = Backend::start(move |_| match released.take() {
        Some(released) => BackendAction::WaitThen(released, Box::new(ok("first"))),
        None => ok("later"),
    });
    let folder = empty_folder("open");
    let (mut old, console) =
        Proxy::start_with_console(&folder, "old", &config_with_console(&discovery, None));
    discovery.post(true, &[entry("s-a", backend.address, "active", 0)]);
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
    assert!(old.wait().success());
    assert_eq!(backend.next_request().header("x-correlation-id"), Some("other"));
    assert_eq!(backend.take_request_count(), 0, "nothing was retried");
}

/// Idle connections are closed during shutdown, but none on which a request has begun.
#[test]
fn partial_head_is_answered_during_shutdown() {
    let discovery = Discovery::start();
    let (a, b) = backends();
    let (mut proxy, console) =
        Proxy::start_with_console(&empty_folder("half"), "half", &config_with_console(&discovery, None));
    discovery.post(true, &list(&a, &b));
    wait_for_response(console, "readyz\n", "SUCCESS");
    let (mut idle, mut partial) = (proxy.client(), proxy.client());
    for (client, id) in [(&mut idle, "1"), (&mut partial, "2")] {
        assert_eq!(client.exchange(&request("read", id, "")).status(), 200);
    }
    proxy.terminate();
    wait_for_response(console, "readyz\n", "FAILURE");
    let complete = request("read", "3", "");
    let (begun, rest) = complete.split_at(30);
    // The request begins while the other connection is idle and about to be closed.
    partial.send(begun);
    assert!(idle.is_closed_cleanly(), "it is idle");
    partial.send(rest);
    let got = partial.receive();
    assert_eq!((got.status(), got.header("connection")), (200, Some("close")), "{}", got.head);
    assert!(partial.is_closed_cleanly());
    drop((idle, partial));
    assert!(proxy.wait().success());
}
