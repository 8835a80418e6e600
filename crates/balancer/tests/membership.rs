//! Tests of membership: the watch on discovery, and changed entries of backends.

mod common;

use balancer::api::*;
use common::*;

#[test]
fn subscribes_when_discovery_is_on_request_and_after_each_failure() {
    let settings = Settings { discovery_on_request: true, ..settings() };
    let mut proxy = EmulatedProxy::new(settings, []);
    let subscriptions =
        |proxy: &EmulatedProxy| proxy.log.iter().filter(|(_, action)| *action == Action::Subscribe).count();
    assert_eq!(subscriptions(&proxy), 1);
    for failures in 1..6 {
        proxy.update_membership(MembershipUpdate::Failed);
        assert_eq!(subscriptions(&proxy), failures, "not immediately");
        proxy.advance(5 * SECOND);
        assert_eq!(subscriptions(&proxy), failures + 1);
    }
}

#[test]
fn times_near_the_maximum_do_not_overflow() {
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

/// Guards against a backend that restarts on another machine kind with the limit of its first kind.
#[test]
fn a_restarted_backend_has_the_limit_of_its_current_machine_kind() {
    let limits = |proxy: &EmulatedProxy| {
        let learned = proxy.balancer.learned_state().backends;
        [0, 2].map(|id| learned.iter().find(|learned| learned.backend == id).map(|learned| learned.limit))
    };
    let of_kind = |id, machine_kind| Backend { machine_kind, ..backend(id) };
    let settings = Settings { machine_kind_count: 2, ..settings() };
    let mut proxy = EmulatedProxy::new(settings, [of_kind(0, 0), of_kind(2, 1)]);
    let kind_limit = |limit| LearnedKindLimit { limit, is_doubling: false };
    let learned = LearnedState {
        machine_kinds: vec![kind_limit(4.0), kind_limit(32.0)],
        ..proxy.balancer.learned_state()
    };
    assert!(proxy.balancer.restore(proxy.now, &learned));
    proxy.advance(20 * SECOND);
    let restarted_at = Some(proxy.now - 15 * SECOND);
    let restarted = |id, machine_kind| Backend { started_at: restarted_at, ..of_kind(id, machine_kind) };
    proxy.update_membership(MembershipUpdate::Delta(&[restarted(0, 0), restarted(2, 1)]));
    let same_kinds = limits(&proxy);
    let moved_at = Some(proxy.now - 12 * SECOND);
    let moved = |id, machine_kind| Backend { started_at: moved_at, ..of_kind(id, machine_kind) };
    proxy.update_membership(MembershipUpdate::Delta(&[moved(0, 1), moved(2, 0)]));
    assert!(same_kinds[0] < same_kinds[1], "{same_kinds:?}");
    assert_eq!(limits(&proxy), [same_kinds[1], same_kinds[0]]);
}
