//! Console commands: readiness and exclusions.

use crate::support::*;
use crate::{list_entries, serving_backends, start_backends, wait_for_response};
use std::fs;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

#[test]
fn readyz_reports_readiness_until_shutdown() {
    let discovery = Discovery::start();
    let (a, b) = start_backends();
    let (mut proxy, console) = Proxy::start_with_console(
        &create_empty_folder("ready"),
        "ready",
        &config_with_console(&discovery, None),
    );
    assert!(send_command(console, "readyz\n").starts_with("FAILURE no list"));
    discovery.publish_and_wait(true, &list_entries(&a, &b));
    assert!(send_command(console, "readyz\n").starts_with("SUCCESS"));
    // A request in flight keeps the process running after the stop signal.
    let (release, released) = std::sync::mpsc::channel();
    let mut released = Some(released);
    let slow = Backend::start(move |_| match released.take() {
        Some(released) => BackendAction::WaitForSignalThen(released, Box::new(ok_response("slow"))),
        None => ok_response("quick"),
    });
    discovery.publish_and_wait(true, &[backend_entry("s-c", slow.address, "active", 0)]);
    let mut client = proxy.client();
    client.send(&request("read", "open", ""));
    slow.next_request();
    proxy.terminate();
    wait_for_response(console, "readyz\n", "FAILURE this process was told to end");
    release.send(()).expect("the backend waits");
    assert_eq!(client.receive().body, b"slow");
    drop(client);
    assert!(proxy.wait_for_exit().success());
}

/// Guards against rejections whose cause is not visible to operators: console and log report the causes.
#[test]
fn causes_of_requests_without_a_response_are_reported() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| BackendAction::Hang);
    let config = config_with_console(&discovery, None);
    let (mut proxy, console) = Proxy::start_with_console(&create_empty_folder("causes"), "causes", &config);
    discovery.publish_and_wait(true, &[backend_entry("s-a", backend.address, "active", 0)]);
    assert_eq!(send_command(console, "readyz\n"), "SUCCESS serving\n");
    let _occupying = [0, 1].map(|n| {
        let mut client = proxy.client();
        client.send(&request("charge", &format!("open-{n}"), "x"));
        backend.next_request();
        client
    });
    let rejected = proxy.client().exchange(&request("charge", "late", "x"));
    assert_eq!(rejected.status(), 503);
    let expected = "SUCCESS serving; without a backend's response: queue_timeout 1\n";
    assert_eq!(send_command(console, "readyz\n"), expected);
    let line = proxy.wait_for_log("requests ended without a backend's response");
    assert!(line.trim().ends_with("queue_timeout 1"), "{line}");
}

#[test]
fn excluded_backend_receives_nothing_until_included() {
    let discovery = Discovery::start();
    let (a, b) = start_backends();
    let (proxy, console) = Proxy::start_with_console(
        &create_empty_folder("exclusion"),
        "exclusion",
        &config_with_console(&discovery, None),
    );
    discovery.publish_and_wait(true, &list_entries(&a, &b));
    let mut client = proxy.client();
    assert!(send_command(console, "exclude s-none\n").starts_with("FAILURE no backend is called s-none"));
    assert!(send_command(console, "exclude s-a\n").starts_with("SUCCESS"));
    assert!(send_command(console, "exclude s-a\n").starts_with("SUCCESS"));
    assert_eq!(serving_backends(&mut client, "excluded", 40), "b".repeat(40));
    // The exclusion lasts whatever the list reports: the backend as active, as removed, as restarted.
    discovery.publish_and_wait(false, &[backend_entry("s-a", a.address, "active", 0)]);
    assert_eq!(serving_backends(&mut client, "active", 20), "b".repeat(20));
    discovery.publish_and_wait(false, &[backend_entry("s-a", a.address, "left", 0)]);
    discovery.publish_and_wait(false, &[backend_entry("s-a", a.address, "active", 77_000)]);
    assert_eq!(serving_backends(&mut client, "restarted", 20), "b".repeat(20));
    // One inclusion ends the exclusion, although the command to exclude was sent twice.
    assert!(send_command(console, "include s-a\n").starts_with("SUCCESS s-a may serve"));
    assert!(send_command(console, "exclude s-b\n").starts_with("SUCCESS"));
    // The backend is in slow start, so it may not receive the first requests.
    let mut requests = 0..50;
    let is_reincluded =
        requests.any(|n| client.exchange(&request("read", &format!("included-{n}"), "")).body == b"a");
    assert!(is_reincluded, "the included backend served none of 50 requests");
    assert!(send_command(console, "include s-a\n").starts_with("SUCCESS s-a was not out"));
    assert!(send_command(console, "include s-none\n").starts_with("FAILURE"));
}

#[test]
fn damaged_exclusions_file_is_set_aside_at_start() {
    let discovery = Discovery::start();
    let (a, b) = start_backends();
    let folder = create_empty_folder("damaged");
    fs::write(folder.join("haventrack-n7.bans.json"), "{\"version\":1,\"bans\":{\"out\":{\"s-a\":1")
        .expect("the file is written");
    let (mut proxy, console) =
        Proxy::start_with_console(&folder, "damaged", &config_with_console(&discovery, None));
    discovery.publish_and_wait(true, &list_entries(&a, &b));
    assert!(send_command(console, "exclude s-b\n").starts_with("SUCCESS"));
    assert!(folder.join("haventrack-n7.bans.damaged").exists());
    let mut client = proxy.client();
    assert_eq!(serving_backends(&mut client, "damaged", 10), "a".repeat(10));
    drop(client);
    proxy.terminate();
    assert!(proxy.remaining_log().contains("set aside"));
}

/// Console commands are answered within 1 s while clients send requests without pause.
#[test]
fn console_answers_in_time_under_full_load() {
    let discovery = Discovery::start();
    let (a, b) = start_backends();
    let (proxy, console) = Proxy::start_with_console(
        &create_empty_folder("load"),
        "load",
        &config_with_console(&discovery, None),
    );
    discovery.publish_and_wait(true, &list_entries(&a, &b));
    wait_for_response(console, "readyz\n", "SUCCESS");
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..8)
        .map(|number| {
            let (stop, address) = (Arc::clone(&stop), proxy.address);
            thread::spawn(move || {
                let mut client = Client::connect(address);
                for n in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        break;
                    }
                    client.exchange(&request("read", &format!("busy-{number}-{n}"), ""));
                }
            })
        })
        .collect();
    let response_times = (0..60).map(|n| {
        let began = std::time::Instant::now();
        let line = ["readyz\n", "exclude s-a\n", "include s-a\n"][n % 3];
        assert!(send_command(console, line).starts_with("SUCCESS"), "{line}");
        began.elapsed()
    });
    let slowest = response_times.max();
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().expect("the client thread finishes");
    }
    assert!(slowest < Some(std::time::Duration::from_secs(1)), "slowest response: {slowest:?}");
}
