//! Tests of idle connections that an intermediary may have dropped.

mod common;

use balancer::api::*;
use common::*;

/// Guards against losing a request on each idle connection that an intermediary has dropped silently. After
/// the first loss, connections that were idle as long are closed before the next send.
#[test]
fn closes_connections_idle_as_long_as_one_that_lost_a_request() {
    let mut proxy = EmulatedProxy::new(single_zone(), one_zone(1));
    let mut id = 0;
    let mut closes_after = |proxy: &mut EmulatedProxy, idle_time: Micros, outcome: Outcome| {
        proxy.advance(idle_time);
        id += 1;
        let actions = proxy.request(Request { timeout: 300 * MS, ..request(id, NON_IDEMPOTENT) });
        assert_eq!(sent_to(&actions), Some(0));
        match outcome {
            Outcome::Timeout => proxy.advance(300 * MS),
            _ => _ = proxy.finish(id, 0, outcome),
        }
        closes_connections(&actions)
    };
    closes_after(&mut proxy, 0, Outcome::Ok);
    assert!(!closes_after(&mut proxy, SECOND, Outcome::Ok), "reused until a request is lost");
    assert!(!closes_after(&mut proxy, SECOND, Outcome::Timeout));
    assert!(closes_after(&mut proxy, SECOND, Outcome::Ok), "closed before the send");
    assert!(!closes_after(&mut proxy, 100 * MS, Outcome::Ok), "still reused after a short idle time");
}

/// A loss after a long idle time is attributed to the connection, and does not eject the backend. A loss
/// after a fraction of a second is attributed to the backend: all connections are idle for so long under
/// load.
#[test]
fn a_loss_on_a_long_idle_connection_does_not_eject_its_backend() {
    let losses_until_ejection = |idle_time: Micros| {
        let mut proxy = EmulatedProxy::new(single_zone(), one_zone(2));
        for id in 0..2 {
            let backend = sent_to(&proxy.request(request(id, NON_IDEMPOTENT))).expect("a free slot");
            assert!(backend < 2);
        }
        (0..2).for_each(|id| _ = proxy.finish(id, 0, Outcome::Ok));
        let last = (2..40).find(|&id| {
            proxy.advance(idle_time);
            proxy.request(request(id, NON_IDEMPOTENT));
            proxy.finish(id, 0, Outcome::Reset);
            proxy.log_lines("ejected") > 0
        });
        last.expect("a backend that loses all requests is ejected eventually") - 1
    };
    let without_idling = losses_until_ejection(0);
    assert!((2..=4).contains(&without_idling), "{without_idling}");
    assert_eq!(losses_until_ejection(300 * MS), without_idling);
    assert!(losses_until_ejection(2 * SECOND) > without_idling);
}
