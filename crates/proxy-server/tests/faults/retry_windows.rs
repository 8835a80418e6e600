//! The idempotency window, in which a keyed request may be retried.

use crate::support::*;
use crate::{DEADLINE_TOLERANCE, request_id};
use serde_json::json;
use std::thread;
use std::time::{Duration, Instant};

/// Requirement: a keyed request that may have run is retried only on backends of its dedup scope and within
/// their idempotency window, also where the connection for the retry is established late.
#[test]
fn retry_is_not_sent_after_the_idempotency_window() {
    const WINDOW: Duration = Duration::from_millis(400);
    let discovery = Discovery::start();
    let failing = Backend::start(|_| BackendAction::WriteAndClose(Vec::new()));
    let (late_listener, filler) = listener_with_full_accept_queue();
    let address = late_listener.local_addr().expect("the listener has an address");
    let mut config = proxy_config("window", &discovery);
    for class in config["settings"]["classes"].as_array_mut().expect("the classes are an array") {
        class["keyTtlUs"] = json!(WINDOW.as_micros() as u64);
        class["group"] = json!("all");
    }
    let proxy = Proxy::start_with_config("window", &config);
    let members =
        [backend_entry("s-a", failing.address, "active", 0), backend_entry("s-0", address, "active", 0)];
    discovery.publish_and_wait(true, &members);
    // The proxy prefers the failing backend; the other one gets the retry.
    let mut client = proxy.client();
    client.send(&request("submit", "1", "x"));
    let mut first_received = std::collections::HashMap::new();
    while let Ok(received) = failing.requests.recv_timeout(Duration::from_millis(300)) {
        first_received.entry(request_id(&received)).or_insert(received.received_at);
    }
    assert!(!first_received.is_empty(), "no attempt reached the failing backend");
    // Connections to the second backend are established long after the window.
    thread::sleep(WINDOW * 2);
    drop(filler);
    late_listener.set_nonblocking(true).expect("the listener is non-blocking");
    let end = Instant::now() + Duration::from_secs(3);
    while Instant::now() < end {
        let Ok((stream, _)) = late_listener.accept() else {
            thread::sleep(Duration::from_millis(5));
            continue;
        };
        stream.set_nonblocking(false).expect("the connection is blocking");
        stream.set_read_timeout(Some(Duration::from_millis(300))).expect("the read timeout is set");
        if let Some(received) = read_message(&mut std::io::BufReader::new(stream))
            && let Some(first_received_at) = first_received.get(&request_id(&received))
        {
            let elapsed = received.received_at.saturating_duration_since(*first_received_at);
            assert!(
                elapsed <= WINDOW + DEADLINE_TOLERANCE,
                "{} was retried {elapsed:?} after its first attempt",
                request_id(&received)
            );
        }
    }
}
