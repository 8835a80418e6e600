//! Membership: the watch on discovery, and entries at the bounds of the clock.

mod common;

use balancer::api::*;
use common::*;

#[test]
fn subscribes_on_request_and_again_after_each_failure() {
    let settings = Settings { discovery_on_request: true, ..settings() };
    let mut proxy = EmulatedProxy::new(settings, []);
    let subscriptions =
        |proxy: &EmulatedProxy| proxy.log.iter().filter(|(_, action)| *action == Action::Subscribe).count();
    assert_eq!(subscriptions(&proxy), 1);
    for failures in 1..6 {
        proxy.update_membership(MembershipUpdate::Failed);
        assert_eq!(subscriptions(&proxy), failures, "not at once");
        proxy.advance(5 * SECOND);
        assert_eq!(subscriptions(&proxy), failures + 1);
    }
}

#[test]
fn times_at_the_end_of_the_clock_do_not_overflow() {
    let mut settings = single_zone();
    settings.classes[usize::from(KEYED_ALL)].idempotency =
        Idempotency::Keyed { scope: DedupScope::All, ttl: Micros::MAX };
    let started_last = Backend { started_at: Some(Micros::MAX), ..backend(0) };
    let mut proxy = EmulatedProxy::new(settings, [started_last, backend(2)]);
    for id in 0..4 {
        proxy.request(request(id, KEYED_ALL));
    }
    let first = proxy.attempts_in_flight()[0];
    proxy.finish(first.request, first.attempt, Outcome::Error);
    proxy.advance(3 * SECOND);
}
