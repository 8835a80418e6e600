//! Changes of the discovery list and of the address of discovery.

use crate::support::*;
use std::io::Read;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn sends_nothing_new_to_a_draining_or_removed_backend() {
    for phase in ["leaving", "left"] {
        let discovery = Discovery::start();
        let backend = Backend::start(|_| ok_response("there"));
        let proxy = Proxy::start(phase, &discovery, &[backend_entry("s-1", backend.address, "active", 0)]);
        assert_eq!(proxy.client().exchange(&request("read", "1", "")).status(), 200);
        backend.next_request();
        discovery.publish_and_wait(false, &[backend_entry("s-1", backend.address, phase, 0)]);
        let short_request = request("read", "2", "").replace("15000", "300");
        assert_eq!(proxy.client().exchange(&short_request).status(), 503, "{phase}");
        assert_eq!(backend.take_request_count(), 0, "{phase}");
        discovery.publish_and_wait(true, &[backend_entry("s-1", backend.address, "active", 0)]);
        assert_eq!(proxy.client().exchange(&request("read", "3", "")).status(), 200);
    }
}

#[test]
fn opens_a_new_connection_to_a_restarted_backend() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok_response("there"));
    // Slow start begins when the restart is reported, so it is disabled here.
    let mut config = proxy_config("restarted", &discovery);
    config["settings"]["safety"]["coldUs"] = 1.into();
    let proxy = Proxy::start_with_config("restarted", &config);
    discovery.publish_and_wait(true, &[backend_entry("s-1", backend.address, "active", 1_000)]);
    let mut client = proxy.client();
    assert_eq!(client.exchange(&request("charge", "1", "x")).status(), 200);
    assert_eq!(client.exchange(&request("charge", "2", "x")).status(), 200);
    let (first, second) = (backend.next_request().connection, backend.next_request().connection);
    assert_eq!(first, second, "the connection must be reused");
    discovery.publish_and_wait(false, &[backend_entry("s-1", backend.address, "active", 2_000)]);
    assert_eq!(client.exchange(&request("charge", "3", "x")).status(), 200);
    assert_ne!(backend.next_request().connection, second);
}

/// Guards against reuse of a connection that was in use while its backend was removed: its peer is a process
/// that has ended.
#[test]
fn never_reuses_connections_of_a_removed_backend() {
    for complete in [false, true] {
        let discovery = Discovery::start();
        let (release, released) = channel();
        let mut released = Some(released);
        let backend = Backend::start(move |_| match released.take() {
            Some(released) => {
                BackendAction::WaitForSignalThen(released, Box::new(ok_response("of the old one")))
            }
            None => ok_response("of the new one"),
        });
        let active_entry = |id: &str| backend_entry(id, backend.address, "active", 0);
        let proxy = Proxy::start(&format!("gone-{complete}"), &discovery, &[active_entry("s-1")]);
        let mut client = proxy.client();
        client.send(&request("charge", "1", "x"));
        assert_eq!(backend.next_request().connection, 0);
        let removed_entry = backend_entry("s-1", backend.address, "left", 0);
        discovery
            .publish_and_wait(complete, if complete { &[] } else { std::slice::from_ref(&removed_entry) });
        discovery.publish_and_wait(false, &[active_entry("s-1")]);
        release.send(()).expect("signal the backend");
        assert_eq!(client.receive().body, b"of the old one");
        for id in ["2", "3"] {
            assert_eq!(client.exchange(&request("charge", id, "x")).body, b"of the new one");
            assert_eq!(backend.next_request().connection, 1);
        }
        discovery.publish_and_wait(true, &[active_entry("s-2")]);
        assert_eq!(client.exchange(&request("charge", "4", "x")).status(), 200);
        assert_eq!(
            backend.next_request().connection,
            2,
            "another backend at the same address needs a new connection"
        );
    }
}

#[test]
fn skips_invalid_list_entries() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok_response("there"));
    let valid_entry = backend_entry("s-1", backend.address, "active", 0);
    let entry_with = |name: &str, value: serde_json::Value| {
        let mut entry = backend_entry("s-odd", backend.address, "active", 0);
        entry[name] = value;
        entry
    };
    let members = [
        serde_json::Value::Null,
        entry_with("host_port", "nowhere".into()),
        entry_with("phase", "dancing".into()),
        entry_with("locality", "mars".into()),
        entry_with("cell", (-1).into()),
        entry_with("id", 7.into()),
        valid_entry,
    ];
    let proxy = Proxy::start("odd", &discovery, &members);
    assert_eq!(proxy.client().exchange(&request("read", "1", "")).status(), 200);
}

#[test]
fn health_check_fails_until_the_first_list() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok_response("there"));
    let proxy = Proxy::start_without_discovery_list("up", &discovery);
    assert_eq!(proxy.client().exchange(HEALTH_REQUEST).status(), 503);
    discovery.publish_and_wait(true, &[backend_entry("s-1", backend.address, "active", 0)]);
    assert_eq!(proxy.client().exchange(HEALTH_REQUEST).status(), 200);
}

#[test]
fn polled_discovery_is_watched_without_a_valid_configured_list() {
    for known in [serde_json::Value::Null, "nonsense".into()] {
        let discovery = Discovery::start();
        let backend = Backend::start(|_| ok_response("there"));
        let mut config = proxy_config("asked", &discovery);
        config["known"] = known;
        config["settings"]["membershipMode"] = "on_request".into();
        let proxy = Proxy::start_with_config("asked", &config);
        discovery.publish_and_wait(true, &[backend_entry("s-1", backend.address, "active", 0)]);
        assert_eq!(proxy.client().exchange(&request("read", "1", "")).status(), 200);
    }
}

/// In a fleet so large that not all of its watches can be answered at once, a restarted proxy uses the
/// configured list and polls for changes on its schedule. A proxy whose complete list is empty polls at once
/// for the changes since that list. A proxy without any list polls at once for the complete list.
#[test]
fn large_fleet_proxy_uses_the_configured_list_and_polls_for_changes() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok_response("there"));
    let mut config = proxy_config("turns", &discovery);
    config["settings"]["membershipMode"] = "on_request".into();
    config["settings"]["balancers"] = 30.into();
    let proxy = Proxy::start_with_config("turns-new", &config.clone());
    assert_eq!(
        (discovery.next_call_revision(), proxy.client().exchange(HEALTH_REQUEST).status()),
        (Some(0), 503)
    );
    config["known"]["complete"] = false.into();
    let proxy = Proxy::start_with_config("turns-unknown", &config);
    assert_eq!(
        (discovery.next_call_revision(), proxy.client().exchange(HEALTH_REQUEST).status()),
        (None, 503)
    );
    let known = [backend_entry("s-1", backend.address, "active", 0)];
    config["known"] = serde_json::json!({"revision": 7, "complete": true, "members": known});
    let proxy = Proxy::start_with_config("turns-back", &config);
    assert_eq!(proxy.client().exchange(&request("read", "1", "")).status(), 200);
    assert_eq!(discovery.next_call_revision(), Some(7));
    // The call stays open while discovery has no newer list; the configured list remains in force.
    assert_eq!(proxy.client().exchange(&request("read", "2", "")).status(), 200);
}

/// Guards against separate calls for the list and the watch, also after a failed first call: in a large fleet
/// without lists they would load the discovery service twice.
#[test]
fn large_fleet_proxy_without_a_list_requests_it_and_starts_its_watch_in_one_call() {
    let backend = Backend::start(|_| ok_response("there"));
    let members = [backend_entry("s-1", backend.address, "active", 0)];
    let list = serde_json::json!({"revision": 3, "complete": false, "members": members}).to_string();
    let mut calls = 0;
    let service = Backend::start(move |_| {
        calls += 1;
        match calls {
            1 => BackendAction::Write(response_bytes("503 Service Unavailable", "", b"")),
            2 => ok_response(&list),
            _ => BackendAction::Hang,
        }
    });
    let mut config = proxy_config("overloaded", &Discovery::start());
    config["discovery"] = service.address.to_string().into();
    config["settings"]["membershipMode"] = "on_request".into();
    config["settings"]["balancers"] = 30.into();
    let proxy = Proxy::start_with_config("overloaded", &config);
    let request_line = |message: HttpMessage| message.first_line().to_owned();
    for _ in 0..2 {
        let call = request_line(service.next_request());
        assert!(
            call.starts_with("GET /discovery/hosts?after=0&"),
            "the call must be for changes since the configured empty list: {call}"
        );
    }
    assert!(request_line(service.next_request()).starts_with("GET /discovery/hosts?after=3&"));
    assert_eq!(proxy.client().exchange(&request("read", "1", "")).body, b"there");
}

#[test]
fn backend_that_drains_during_connect_receives_nothing() {
    let discovery = Discovery::start();
    let (listener, filler) = listener_with_full_accept_queue();
    let address = listener.local_addr().expect("local address");
    let proxy = Proxy::start("slow-connect", &discovery, &[backend_entry("s-1", address, "active", 0)]);
    let mut client = proxy.client();
    client.send(&request("charge", "1", "x"));
    // The response on another connection shows that the proxy has read the request.
    assert_eq!(proxy.client().exchange(HEALTH_REQUEST).status(), 200);
    discovery.publish_and_wait(false, &[backend_entry("s-1", address, "leaving", 0)]);
    drop(listener.accept().expect("accept the filler connection"));
    let (mut stream, _) = listener.accept().expect("accept the connection of the proxy");
    let response = client.receive();
    assert_eq!(response.status(), 503, "the request has never run, so the client may retry it");
    let mut received_bytes = Vec::new();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set the read timeout");
    let _ = stream.read_to_end(&mut received_bytes);
    assert!(received_bytes.is_empty(), "{}", String::from_utf8_lossy(&received_bytes));
    drop(filler);
}

#[test]
fn reload_switches_discovery_without_interrupting_requests() {
    let (old_discovery, new_discovery) = (Discovery::start(), Discovery::start());
    let (release, released) = channel();
    let mut released = Some(released);
    let old_backend = Backend::start(move |_| match released.take() {
        Some(released) => BackendAction::WaitForSignalThen(released, Box::new(ok_response("taken before"))),
        None => ok_response("before"),
    });
    let new_backend = Backend::start(|_| ok_response("after"));
    let mut proxy =
        Proxy::start("sighup", &old_discovery, &[backend_entry("s-1", old_backend.address, "active", 0)]);
    let mut client = proxy.client();
    client.send(&request("charge", "1", "x"));
    old_backend.next_request();
    // A reload of an invalid file changes nothing.
    proxy.reload("{");
    proxy.wait_for_log("reload failed, the previous configuration remains in force");
    assert_eq!(proxy.client().exchange(&request("read", "2", "")).body, b"before");
    for round in 0..2 {
        let (from, to, name) = if round == 0 {
            (&old_discovery, &new_discovery, "s-2")
        } else {
            (&new_discovery, &old_discovery, "s-3")
        };
        from.take_call_count();
        to.take_call_count();
        proxy.reload(&proxy_config("sighup", to).to_string());
        assert_eq!(to.next_call_revision(), None, "the revision of the previous service must not be used");
        // The old list remains in force until the new service has sent its list.
        assert_eq!(proxy.client().exchange(&request("read", "3", "")).status(), 200);
        to.publish_and_wait(true, &[backend_entry(name, new_backend.address, "active", 0)]);
        assert_eq!(proxy.client().exchange(&request("read", "4", "")).body, b"after");
    }
    release.send(()).expect("signal the backend");
    assert_eq!(client.receive().body, b"taken before");
}

/// The configured discovery address changes to one without a listener and back. The proxy must use the latest
/// address.
#[test]
fn follows_discovery_to_an_unreachable_address_and_back() {
    let (discovery, backend) = (Discovery::start(), Backend::start(|_| ok_response("there")));
    let members = [backend_entry("s-1", backend.address, "active", 0)];
    let mut proxy = Proxy::start("moves", &discovery, &members);
    let unreachable_address = {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
        listener.local_addr().expect("local address")
    };
    for round in 0..3 {
        let mut moved_config = proxy_config("moves", &discovery);
        moved_config["discovery"] = unreachable_address.to_string().into();
        proxy.reload(&moved_config.to_string());
        proxy.wait_for_log("discovery is at");
        let id = format!("{round}");
        assert_eq!(
            proxy.client().exchange(&request("read", &id, "")).status(),
            200,
            "the old list must remain in force"
        );
        discovery.take_call_count();
        proxy.reload(&proxy_config("moves", &discovery).to_string());
        assert_eq!(discovery.next_call_revision(), None);
        discovery.publish_and_wait(true, &members);
    }
    discovery.publish_and_wait(false, &[backend_entry("s-1", backend.address, "leaving", 0)]);
    let short_request = request("read", "drained", "").replace("15000", "300");
    assert_eq!(proxy.client().exchange(&short_request).status(), 503);
    assert_eq!(proxy.client().exchange(HEALTH_REQUEST).status(), 200);
}

/// Guards against use of the old address after one update that reports both a restart and a new address of a
/// backend.
#[test]
fn restarted_backend_receives_requests_only_at_its_new_address() {
    const CLIENTS: usize = 6;
    /// How long clients send requests after the move.
    const AFTER_MOVE: Duration = Duration::from_millis(2_500);
    /// The grace period of a drain, plus the time that discovery may take to post the update and a backend to
    /// record a request.
    const GRACE: Duration = Duration::from_millis(1_050 + 150);

    let response = |body: &str| {
        BackendAction::WriteAndClose(response_bytes("200 OK", "Connection: close\r\n", body.as_bytes()))
    };
    let discovery = Discovery::start();
    let has_moved = Arc::new(AtomicBool::new(false));
    let has_moved_in_script = Arc::clone(&has_moved);
    // Each connection ends with its response. After the move another service uses the port.
    let old = Backend::start(move |_| {
        response(if has_moved_in_script.load(Ordering::Acquire) { "stranger" } else { "old" })
    });
    let new = Backend::start(|_| ok_response("new"));
    let other_backends =
        [Backend::start(|_| ok_response("neighbour")), Backend::start(|_| ok_response("neighbour"))];
    let mut config = proxy_config("moved", &discovery);
    config["settings"]["safety"]["coldUs"] = 1.into();
    let mut proxy = Proxy::start_with_config("moved", &config);
    discovery.publish_and_wait(
        true,
        &[
            backend_entry("s-0", old.address, "active", 1_000),
            backend_entry("s-1", other_backends[0].address, "active", 1_000),
            backend_entry("s-2", other_backends[1].address, "active", 1_000),
        ],
    );

    let stop = AtomicBool::new(false);
    let responses = Mutex::new(Vec::new());
    let moved_at = thread::scope(|scope| {
        for number in 0..CLIENTS {
            let (proxy, stop, responses) = (&proxy, &stop, &responses);
            scope.spawn(move || {
                let mut client = proxy.client();
                for round in 0.. {
                    if stop.load(Ordering::Acquire) {
                        return;
                    }
                    let response = client.exchange(&request("read", &format!("{number}-{round}"), ""));
                    responses.lock().expect("lock the responses").push(response);
                    thread::sleep(Duration::from_millis(20));
                }
            });
        }
        thread::sleep(Duration::from_millis(500));
        has_moved.store(true, Ordering::Release);
        let moved_at = Instant::now();
        discovery.publish(false, &[backend_entry("s-0", new.address, "active", 2_000)]);
        thread::sleep(AFTER_MOVE);
        stop.store(true, Ordering::Release);
        moved_at
    });

    let is_after_grace = |message: &HttpMessage| message.received_at > moved_at + GRACE;
    let requests_at_old_address = old.requests.try_iter().filter(is_after_grace).count();
    assert_eq!(requests_at_old_address, 0, "requests reached the former address of the backend");
    let responses = responses.into_inner().expect("lock the responses");
    let responses_of_other_service =
        responses.iter().filter(|a| is_after_grace(a) && a.body == b"stranger").count();
    assert_eq!(responses_of_other_service, 0, "clients got responses of another service");
    assert!(responses.iter().all(|response| response.status() == 200), "every request must be served");
    let requests_at_new_address = new.requests.try_iter().count();
    let requests_at_other_backends =
        other_backends.iter().map(|n| n.requests.try_iter().filter(|m| m.received_at > moved_at).count());
    let requests_at_other_backends: usize = requests_at_other_backends.sum();
    proxy.terminate();
    let log = proxy.remaining_log();
    println!(
        "requests after the move: {requests_at_new_address} at the new address, \
         {requests_at_other_backends} at the other backends"
    );
    println!("log of the proxy:\n{log}");
}
