//! Idle connections that an intermediary may have dropped.

mod common;

use balancer::api::*;
use common::*;

/// `idle_reap` days of kochi-main: connections were dropped silently while idle, and each use of one lost a request. After
/// the first loss, a connection that was idle as long is closed before the next send.
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
    assert!(!closes_after(&mut proxy, SECOND, Outcome::Ok), "trusted until something is lost");
    assert!(!closes_after(&mut proxy, SECOND, Outcome::Timeout));
    assert!(closes_after(&mut proxy, SECOND, Outcome::Ok), "closed before the send");
    assert!(!closes_after(&mut proxy, 100 * MS, Outcome::Ok), "a short idle time is still trusted");
}

/// A request lost on an idle connection is the connection's fault: the backend is not ejected for it. An idle time of a
/// fraction of a second is what every connection has under load, and excuses no backend.
#[test]
fn a_loss_on_an_idle_connection_ejects_no_backend() {
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
        last.expect("a backend that loses all is ejected in the end") - 1
    };
    let without_idling = losses_until_ejection(0);
    assert!((2..=4).contains(&without_idling), "{without_idling}");
    assert_eq!(losses_until_ejection(300 * MS), without_idling);
    assert!(losses_until_ejection(2 * SECOND) > without_idling);
}
