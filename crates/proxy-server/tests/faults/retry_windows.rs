//! Windows in which a keyed request may be retried.

use crate::support::*;
use crate::{DEADLINE_TOLERANCE, id_of};
use serde_json::json;
use std::thread;
use std::time::{Duration, Instant};

/// Operators' terms: a keyed request that may have run is retried only within the group of backends that deduplicates it, and
/// only within their idempotency window, also where the connection for the retry is established late.
#[test]
fn retry_is_not_sent_after_the_idempotency_window() {
    const WINDOW: Duration = Duration::from_millis(400);
    let discovery = Discovery::start();
    let first = Backend::start(|_| BackendAction::WriteAndClose(Vec::new()));
    let (late, filler) = listener_with_full_queue();
    let address = late.local_addr().expect("an address");
    let mut config = config("window", &discovery);
    for class in config["settings"]["classes"].as_array_mut().expect("classes") {
        class["keyTtlUs"] = json!(WINDOW.as_micros() as u64);
        class["group"] = json!("all");
    }
    let proxy = Proxy::start_with_config("window", &config);
    let members = [entry("s-a", first.address, "active", 0), entry("s-0", address, "active", 0)];
    discovery.post(true, &members);
    // The failing backend is preferred, and the other one gets the retry.
    let mut client = proxy.client();
    client.send(&request("submit", "1", "x"));
    let mut began = std::collections::HashMap::new();
    while let Ok(received) = first.requests.recv_timeout(Duration::from_millis(300)) {
        began.entry(id_of(&received)).or_insert(received.received_at);
    }
    assert!(!began.is_empty(), "an attempt may have run");
    // The queue is emptied long after the window.
    thread::sleep(WINDOW * 2);
    drop(filler);
    late.set_nonblocking(true).expect("it does not wait");
    let until = Instant::now() + Duration::from_secs(3);
    while Instant::now() < until {
        let Ok((stream, _)) = late.accept() else {
            thread::sleep(Duration::from_millis(5));
            continue;
        };
        stream.set_nonblocking(false).expect("it waits");
        stream.set_read_timeout(Some(Duration::from_millis(300))).expect("a time-out");
        if let Some(received) = read_message(&mut std::io::BufReader::new(stream))
            && let Some(first) = began.get(&id_of(&received))
        {
            let after = received.received_at.saturating_duration_since(*first);
            assert!(
                after <= WINDOW + DEADLINE_TOLERANCE,
                "{} was sent again after {after:?}",
                id_of(&received)
            );
        }
    }
}
