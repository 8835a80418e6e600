//! Admission: the queue, tenants' quotas, and the advice to rejected clients.

mod common;

use balancer::api::*;
use common::*;

fn tenants(quotas: [f64; 2]) -> Vec<Tenant> {
    quotas.map(|quota_per_s| Tenant { quota_per_s }).to_vec()
}

#[test]
fn serves_the_queued_request_of_the_highest_weight_first() {
    let mut settings = single_zone();
    settings.classes[usize::from(KEYED_ALL)].priority_weight = 10.0;
    let mut proxy = EmulatedProxy::new(settings, one_zone(1));
    (0..10).for_each(|id| _ = proxy.request(request(id, IDEMPOTENT)));
    proxy.request(request(50, KEYED_ALL));
    let first = proxy.attempts_in_flight()[0];
    proxy.advance(50 * MS);
    let actions = proxy.finish(first.request, first.attempt, Outcome::Ok);
    assert!(matches!(actions[..], [Action::Send { request: 50, .. }, ..]), "{actions:?}");
}

#[test]
fn reserves_capacity_for_requests_within_their_quota() {
    let settings = Settings { tenants: tenants([1.0, 1000.0]), ..single_zone() };
    let mut proxy = EmulatedProxy::new(settings, one_zone(4));
    proxy.load(10_000, 100, 2, |_| 20 * MS);
    proxy.complete(|_| 0);
    let mut flood = 0;
    while sent_to(&proxy.request(Request { tenant: 0, ..request(flood, IDEMPOTENT) })).is_some() {
        flood += 1;
    }
    let within = sent_to(&proxy.request(Request { tenant: 1, ..request(9000, IDEMPOTENT) }));
    assert!(within.is_some(), "capacity is left for those within their quota");
}

/// Booking of orders: nearly all that was rejected on a day of half load counted as over quota, often wrongly, and had not
/// been queued for a moment.
#[test]
fn queues_requests_over_quota_and_serves_them_last_while_no_other_is_rejected() {
    let settings = Settings { tenants: tenants([1.0, 1000.0]), ..single_zone() };
    let mut proxy = EmulatedProxy::new(settings, one_zone(4));
    let mut over_quota = 0;
    while sent_to(&proxy.request(Request { tenant: 0, ..request(over_quota, IDEMPOTENT) })).is_some() {
        over_quota += 1;
    }
    assert!(!proxy.requests[&over_quota].ended, "queued, not rejected at once");
    (1_000..1_020).for_each(|id| _ = proxy.request(Request { tenant: 1, ..request(id, IDEMPOTENT) }));
    proxy.advance(20 * MS);
    while proxy.requests[&over_quota].attempts.is_empty() {
        let sent = *proxy.attempts_in_flight().first().expect("one is in flight while one is queued");
        proxy.finish(sent.request, sent.attempt, Outcome::Ok);
    }
    let is_waiting = |id: &RequestId| proxy.requests[id].attempts.is_empty();
    assert_eq!((1_000..1_020).find(is_waiting), None, "those within their quota went first");
}

/// Incident i7e9ee7: where other instances died, this one's traffic is more than its share of every quota, and tenants
/// within their quota were treated as over it.
#[test]
fn a_tenant_that_demands_less_of_its_quota_than_others_is_not_over_it() {
    let settings = Settings { tenants: tenants([100.0, 100.0]), instance_count: 100, ..single_zone() };
    let mut proxy = EmulatedProxy::new(settings, one_zone(40));
    let modest = |id| Request { tenant: 0, ..request(id, IDEMPOTENT) };
    let flood = |id| Request { tenant: 1, ..request(id, IDEMPOTENT) };
    let mut admitted = [0, 0];
    for tick in 0..100 {
        let id = tick * 100;
        (0..20).for_each(|number| _ = proxy.request(flood(id + number)));
        for (tenant, request) in [(0, modest(id + 50)), (1, flood(id + 51))] {
            admitted[tenant] += usize::from(!is_rejected(&proxy.request(request)));
        }
        proxy.advance(20 * MS);
        proxy.complete(|_| 400 * MS);
    }
    assert!(admitted[0] > 95, "the modest tenant is sent or queued, not rejected at once: {admitted:?}");
    assert!(admitted[1] < 60, "the flood is shed: {admitted:?}");
}

/// A rejection because requests coincided should not cost the client its objective; one for a full fleet should keep it
/// away.
#[test]
fn advises_a_shorter_retry_delay_where_an_instance_has_few_slots() {
    let longest_advice = |instance_count| {
        let settings = Settings { instance_count, ..single_zone() };
        let mut proxy = EmulatedProxy::new(settings, one_zone(40));
        (0..200).for_each(|id| _ = proxy.request(request(id, IDEMPOTENT)));
        proxy.advance(300 * MS);
        let delays = proxy.log.iter().filter_map(|(_, action)| match action {
            Action::Reject { retry_after, .. } => Some(*retry_after),
            _ => None,
        });
        delays.max().expect("some are rejected")
    };
    assert!(longest_advice(200) < 100 * MS && longest_advice(1) == 500 * MS);
}
