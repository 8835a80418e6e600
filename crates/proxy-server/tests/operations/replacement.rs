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
    let mut kept = old.client();
    assert_eq!(served(&mut kept, "kept", 3), "bbb");
    let (new, new_console) =
        Proxy::start_with_console(&folder, "new", &config_with_console(&discovery, Some(old.address)));
    wait_for_response(new_console, "readyz\n", "SUCCESS");
    let mut fresh = new.client();
    assert_eq!(served(&mut fresh, "fresh", 20), "b".repeat(20), "the ban was there from the start");
    // Said to the new process, it binds the old one as well.
    assert!(send_command(new_console, "include s-a\n").starts_with("SUCCESS s-a may serve"));
    old.wait_for_log("excluded backends now: none");
    assert!(send_command(new_console, "exclude s-b\n").starts_with("SUCCESS"));
    old.wait_for_log("excluded backends now: s-b");
    while b.take_request_count() > 0 {}
    let answer = kept.exchange(&request("read", "kept-last", ""));
    assert!(answer.body != b"b", "{}", answer.head);
    old.terminate();
    drop(kept);
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

/// Clients that never stop, on kept connections and on new ones, see nothing of replacements that follow one another.
#[test]
fn replacement_rejects_and_resets_nothing() {
    let discovery = Discovery::start();
    let (a, b) = backends();
    let folder = empty_folder("replaced");
    let (mut old, console) = Proxy::start_with_console(&folder, "p0", &config_with_console(&discovery, None));
    discovery.post(true, &list(&a, &b));
    wait_for_response(console, "readyz\n", "SUCCESS");
    let (address, stop, asked) =
        (old.address, Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let clients: Vec<_> = (0..6)
        .map(|number| {
            let (stop, asked) = (Arc::clone(&stop), Arc::clone(&asked));
            thread::spawn(move || {
                let connect = || Client::connect(address);
                let mut client = connect();
                for n in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let answer = client.exchange(&request("read", &format!("load-{number}-{n}"), ""));
                    assert_eq!(answer.status(), 200, "{}", answer.head);
                    asked.fetch_add(1, Ordering::Relaxed);
                    // Half of them come anew each time; the others go when they are told to.
                    if number % 2 == 0 || answer.header("connection") == Some("close") {
                        client = connect();
                    }
                }
            })
        })
        .collect();
    let go_on = |more: usize| {
        let until = asked.load(Ordering::Relaxed) + more;
        while asked.load(Ordering::Relaxed) < until && clients.iter().all(|c| !c.is_finished()) {
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
    clients.into_iter().for_each(|client| client.join().expect("a client that saw nothing"));
}

/// What was learnt goes over; what can't be read means a plain start.
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
    // One of another proxy has another name, and this one can't be read at all.
    fs::remove_file(&file).expect("the file is there");
    fs::create_dir(&file).expect("a folder in its place");
    assert!(successor("cannot-read", "learned limits were not restored").contains("directory"));
    assert_eq!(old.client().exchange(&request("read", "after", "")).status(), 200);
}

/// A request that may not be sent twice is open in the old process when it is told to end: it ends there, once.
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
    // What comes now is the new one's.
    assert_eq!(new.client().exchange(&request("read", "other", "")).body, b"later");
    release.send(()).expect("the backend waits");
    assert_eq!(client.receive().body, b"first");
    assert!(old.wait().success());
    assert_eq!(backend.next_request().header("x-correlation-id"), Some("other"));
    assert_eq!(backend.take_request_count(), 0, "nothing was sent twice");
}

/// Connections at rest close at the end, but none that has begun to say something.
#[test]
fn partial_head_is_answered_during_shutdown() {
    let discovery = Discovery::start();
    let (a, b) = backends();
    let (mut proxy, console) =
        Proxy::start_with_console(&empty_folder("half"), "half", &config_with_console(&discovery, None));
    discovery.post(true, &list(&a, &b));
    wait_for_response(console, "readyz\n", "SUCCESS");
    let (mut resting, mut heading) = (proxy.client(), proxy.client());
    for (client, id) in [(&mut resting, "1"), (&mut heading, "2")] {
        assert_eq!(client.exchange(&request("read", id, "")).status(), 200);
    }
    proxy.terminate();
    wait_for_response(console, "readyz\n", "FAILURE");
    let whole = request("read", "3", "");
    let (begun, rest) = whole.split_at(30);
    // It begins when the other one rests for so long that it is about to close.
    heading.send(begun);
    assert!(resting.is_closed_cleanly(), "it is at rest");
    heading.send(rest);
    let got = heading.receive();
    assert_eq!((got.status(), got.header("connection")), (200, Some("close")), "{}", got.head);
    assert!(heading.is_closed_cleanly());
    drop((resting, heading));
    assert!(proxy.wait().success());
}
