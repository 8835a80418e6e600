//! Bounded resources: capacity, descriptors, connections.

use crate::support::*;
use crate::{fill, full_backend};

#[test]
fn rejects_without_capacity_with_retry_after() {
    let discovery = Discovery::start();
    let (backend, releases) = full_backend();
    let proxy = Proxy::start("refused", &discovery, &[entry("s-1", backend.address, "active", 0)]);
    let mut first = fill(&proxy, &backend);
    let rejected = proxy.client().exchange(&request("charge", "2", "x").replace("15000", "500"));
    assert_eq!(rejected.status(), 503);
    let wait: f64 = rejected.header("retry-after").expect("Retry-After").parse().expect("seconds");
    assert!(wait > 0.0);
    for (release, client) in releases.iter().zip(first.iter_mut().rev()) {
        release.send(()).expect("the backend waits");
        assert_eq!(client.receive().body, b"first");
    }
    assert_eq!(backend.take_request_count(), 0, "a rejected request is never sent");
}

#[test]
fn forgets_a_queued_request_whose_client_disconnected() {
    let discovery = Discovery::start();
    let (backend, releases) = full_backend();
    let proxy = Proxy::start("left", &discovery, &[entry("s-1", backend.address, "active", 0)]);
    let mut first = fill(&proxy, &backend);
    let mut leaver = proxy.client();
    leaver.send(&request("charge", "2", "x"));
    // Responses on other connections show that the proxy has processed all earlier events. A single one may have been
    // handled in the same poll of the sockets.
    let synchronize =
        || (0..10).for_each(|_| assert_eq!(proxy.client().exchange(HEALTH_REQUEST).status(), 200));
    synchronize();
    drop(leaver);
    synchronize();
    for (release, client) in releases.iter().zip(first.iter_mut().rev()) {
        release.send(()).expect("the backend waits");
        assert_eq!(client.receive().status(), 200);
    }
    assert_eq!(proxy.client().exchange(&request("charge", "3", "x")).status(), 200);
    assert_eq!(backend.next_request().header("x-correlation-id"), Some("3"));
}

/// Each backend receives one request and never responds; there are more backends than descriptors for them.
#[test]
fn descriptor_shortage_ejects_no_backend() {
    let discovery = Discovery::start();
    let backends: Vec<_> = (0..14).map(|_| Backend::start(|_| BackendAction::Hang)).collect();
    let members: Vec<_> =
        backends.iter().enumerate().map(|(i, b)| entry(&format!("s-{i}"), b.address, "active", 0)).collect();
    let mut config = config("shortage", &discovery);
    config["limits"]["sockets"] = 48.into();
    let mut proxy = Proxy::start_with_config("shortage", &config);
    discovery.post(true, &members);
    let clients: Vec<_> = (0..14)
        .map(|i| {
            let mut client = proxy.client();
            client.send(&request("read", &format!("{i}"), "").replace("15000", "1000"));
            client
        })
        .collect();
    let statuses: Vec<_> = clients.into_iter().map(|mut client| client.receive().status()).collect();
    assert!(statuses.contains(&503), "some get no descriptor: {statuses:?}");
    proxy.terminate();
    let log = proxy.remaining_log();
    assert!(!log.contains("ejected"), "{log}");
}

#[test]
fn idle_clients_do_not_block_others() {
    let discovery = Discovery::start();
    let mut config = config("idle", &discovery);
    config["limits"]["sockets"] = 64.into();
    let proxy = Proxy::start_with_config("idle", &config);
    // More connections than the proxy may have, and none sends anything.
    let clients: Vec<_> = (0..64).map(|_| proxy.client()).collect();
    assert_eq!(proxy.client().exchange(HEALTH_REQUEST).status(), 503);
    drop(clients);
}
