//! Limits on capacity, descriptors and connections.

use crate::support::*;
use crate::{fill_concurrency_limit, start_blocking_backend};

#[test]
fn rejection_for_lack_of_capacity_has_retry_after() {
    let discovery = Discovery::start();
    let (backend, release_senders) = start_blocking_backend();
    let proxy = Proxy::start("refused", &discovery, &[backend_entry("s-1", backend.address, "active", 0)]);
    let mut blocked_clients = fill_concurrency_limit(&proxy, &backend);
    let rejected = proxy.client().exchange(&request("charge", "2", "x").replace("15000", "500"));
    assert_eq!(rejected.status(), 503);
    let retry_after_s: f64 =
        rejected.header("retry-after").expect("a Retry-After header").parse().expect("a number of seconds");
    assert!(retry_after_s > 0.0);
    for (release, client) in release_senders.iter().zip(blocked_clients.iter_mut().rev()) {
        release.send(()).expect("signal the backend");
        assert_eq!(client.receive().body, b"first");
    }
    assert_eq!(backend.take_request_count(), 0, "a rejected request is never sent");
}

#[test]
fn drops_queued_request_after_client_disconnect() {
    let discovery = Discovery::start();
    let (backend, release_senders) = start_blocking_backend();
    let proxy = Proxy::start("left", &discovery, &[backend_entry("s-1", backend.address, "active", 0)]);
    let mut blocked_clients = fill_concurrency_limit(&proxy, &backend);
    let mut disconnecting_client = proxy.client();
    disconnecting_client.send(&request("charge", "2", "x"));
    // Responses on other connections show that the proxy has processed all earlier events. One response is
    // not enough: its request may have been handled in the same poll of the sockets as an earlier event.
    let synchronize =
        || (0..10).for_each(|_| assert_eq!(proxy.client().exchange(HEALTH_REQUEST).status(), 200));
    synchronize();
    drop(disconnecting_client);
    synchronize();
    for (release, client) in release_senders.iter().zip(blocked_clients.iter_mut().rev()) {
        release.send(()).expect("signal the backend");
        assert_eq!(client.receive().status(), 200);
    }
    assert_eq!(proxy.client().exchange(&request("charge", "3", "x")).status(), 200);
    assert_eq!(backend.next_request().header("x-correlation-id"), Some("3"));
}

/// Each backend receives one request and never responds. The proxy has fewer descriptors than it needs for
/// connections to all backends.
#[test]
fn descriptor_shortage_ejects_no_backend() {
    let discovery = Discovery::start();
    let backends: Vec<_> = (0..14).map(|_| Backend::start(|_| BackendAction::Hang)).collect();
    let members: Vec<_> = backends
        .iter()
        .enumerate()
        .map(|(i, b)| backend_entry(&format!("s-{i}"), b.address, "active", 0))
        .collect();
    let mut config = proxy_config("shortage", &discovery);
    config["limits"]["sockets"] = 48.into();
    let mut proxy = Proxy::start_with_config("shortage", &config);
    discovery.publish_and_wait(true, &members);
    let clients: Vec<_> = (0..14)
        .map(|i| {
            let mut client = proxy.client();
            client.send(&request("read", &format!("{i}"), "").replace("15000", "1000"));
            client
        })
        .collect();
    let statuses: Vec<_> = clients.into_iter().map(|mut client| client.receive().status()).collect();
    assert!(statuses.contains(&503), "no request was rejected for lack of descriptors: {statuses:?}");
    proxy.terminate();
    let log = proxy.remaining_log();
    assert!(!log.contains("ejected"), "{log}");
}

#[test]
fn idle_clients_do_not_block_others() {
    let discovery = Discovery::start();
    let mut config = proxy_config("idle", &discovery);
    config["limits"]["sockets"] = 64.into();
    let proxy = Proxy::start_with_config("idle", &config);
    // More connections than the proxy may open, none of which sends anything.
    let clients: Vec<_> = (0..64).map(|_| proxy.client()).collect();
    assert_eq!(proxy.client().exchange(HEALTH_REQUEST).status(), 503);
    drop(clients);
}
