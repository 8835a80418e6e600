//! Tests of the selection of a backend.

mod common;

use balancer::api::*;
use common::*;

#[test]
fn selects_the_backend_with_the_most_free_slots() {
    let mut full = EmulatedProxy::new(single_zone(), one_zone(5));
    (0..100).for_each(|id| _ = full.request(request(id, IDEMPOTENT)));
    let mut proxy = EmulatedProxy::new(single_zone(), one_zone(5));
    for id in 0..full.attempts_in_flight().len() as u32 {
        let free: Vec<usize> =
            (0..5).map(|backend| full.in_flight(backend) - proxy.in_flight(backend)).collect();
        let selected = sent_to(&proxy.request(request(id, IDEMPOTENT))).expect("a free slot");
        assert_eq!(Some(&free[selected as usize]), free.iter().max());
    }
}

#[test]
fn uses_other_zones_only_when_the_local_zone_is_full() {
    let mut proxy = EmulatedProxy::new(settings(), (0..6).map(backend));
    let zones: Vec<u32> = (0..30)
        .filter_map(|id| sent_to(&proxy.request(request(id, IDEMPOTENT))))
        .map(|backend| backend % 2)
        .collect();
    assert!(zones.contains(&0) && zones.contains(&1), "even ids are in the local zone: {zones:?}");
    assert!(zones.is_sorted(), "the local zone is filled first: {zones:?}");
}

/// Guards against sending all requests to a backend that rejects them, because it has the fewest in flight.
#[test]
fn skips_a_backend_that_rejected_a_request_for_a_while() {
    let mut proxy = EmulatedProxy::new(single_zone(), one_zone(3));
    let full = sent_to(&proxy.request(request(0, IDEMPOTENT))).expect("a free slot");
    proxy.finish(0, 0, Outcome::Rejected);
    assert_eq!(proxy.in_flight(full), 0);
    (1..9).for_each(|id| _ = proxy.request(request(id, IDEMPOTENT)));
    assert_eq!(proxy.in_flight(full), 0, "it has the most free slots, but has just rejected a request");
}

/// Hedging of overdue requests is not used: on fleets with high load, it did more harm than good.
#[test]
fn skips_a_hung_backend_and_does_not_hedge_its_requests() {
    let mut proxy = EmulatedProxy::new(single_zone(), one_zone(3));
    proxy.load(0, 100, 2, |_| 30 * MS);
    proxy.complete(|_| 0);
    let hung = sent_to(&proxy.request(request(5000, IDEMPOTENT))).expect("a free slot");
    for tick in 0..60 {
        let backend = sent_to(&proxy.request(request(5001 + tick, IDEMPOTENT)));
        assert!(tick < 25 || backend != Some(hung), "a quarter of a second without a response");
        proxy.advance(10 * MS);
        for sent in proxy.attempts_in_flight() {
            if sent.backend != hung {
                proxy.finish(sent.request, sent.attempt, Outcome::Ok);
            }
        }
    }
    assert_eq!(proxy.requests[&5000].attempts.len(), 1);
}

/// If the limits of the backends are divided among many instances, an instance may have no slot at all.
#[test]
fn an_instance_without_any_slot_still_serves() {
    for instance_index in 0..40 {
        let settings = Settings { instance_index, instance_count: 40, ..single_zone() };
        let mut proxy = EmulatedProxy::new(settings, one_zone(1));
        assert_eq!(sent_to(&proxy.request(request(1, IDEMPOTENT))), Some(0));
    }
}

#[test]
fn samples_a_large_fleet_local_zone_first_and_spreads_the_load() {
    let mut proxy = EmulatedProxy::new(settings(), (0..1_000).map(backend));
    let local: Vec<BackendId> =
        (0..400).filter_map(|id| sent_to(&proxy.request(request(id, IDEMPOTENT)))).collect();
    assert_eq!(local.len(), 400, "none is queued");
    assert!(local.iter().all(|id| id % 2 == 0), "the local zone has free slots");
    let max = local.iter().map(|&id| proxy.in_flight(id)).max();
    assert!(max <= Some(2), "{max:?} on one backend");
    // Once the local zone is draining, the second sample finds backends of the other one.
    let draining: Vec<Backend> =
        (0..500).map(|half| Backend { readiness: Readiness::Draining, ..backend(half * 2) }).collect();
    proxy.update_membership(MembershipUpdate::Delta(&draining));
    let remote = sent_to(&proxy.request(request(1_000, IDEMPOTENT)));
    assert!(remote.is_some_and(|id| id % 2 == 1), "{remote:?}");
    // A retry that must stay in its cell examines all backends; a sample might contain none of the cell.
    let first = sent_to(&proxy.request(request(1_001, KEYED_CELL))).expect("a free slot");
    proxy.finish(1_001, 0, Outcome::Reset);
    let second = proxy.requests[&1_001].attempts.get(1).map(|attempt| attempt.backend);
    assert!(second.is_some_and(|id| backend(id).cell == backend(first).cell && id != first), "{second:?}");
}
