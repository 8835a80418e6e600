//! Tests of concurrency limits.

mod common;

use balancer::api::*;
use common::*;

#[test]
fn bounds_requests_in_flight_by_the_limits_and_queues_then_rejects_the_rest() {
    let mut proxy = EmulatedProxy::new(single_zone(), one_zone(4));
    (0..100).for_each(|id| _ = proxy.request(request(id, IDEMPOTENT)));
    let sent = proxy.attempts_in_flight().len();
    assert!((4..=8).contains(&sent), "the initial limit is 1.5 per backend; {sent} were sent to four");
    proxy.advance(150 * MS);
    let ended = proxy.requests.values().filter(|tracked| tracked.ended).count();
    assert_eq!(ended, 0, "queued for a tenth of the timeout of 2 s");
    proxy.advance(60 * MS);
    let rejections =
        proxy.log.iter().filter(|(_, action)| matches!(action, Action::Reject { retry_after: 1.., .. }));
    assert_eq!(rejections.count(), 100 - sent);
}

#[test]
fn limits_rise_with_quick_responses_and_fall_with_slow_ones() {
    let mut proxy = EmulatedProxy::new(single_zone(), one_zone(2));
    proxy.load(0, 300, 4, |_| 40 * MS);
    let quick = proxy.attempts_in_flight().len();
    assert!(quick >= 8, "the limits of two quick backends exceed the initial ones: {quick}");
    proxy.load(10_000, 500, 4, |_| 450 * MS);
    let slow = proxy.attempts_in_flight().len();
    assert!(slow <= 6, "the limits fall at latencies near the objective: {slow}");
}

/// A lost attempt does not indicate load on its backend.
#[test]
fn lost_attempts_do_not_lower_a_limit() {
    let admitted_after = |losses: u32| {
        let mut proxy = EmulatedProxy::new(single_zone(), one_zone(1));
        proxy.load(1000, 200, 3, |_| 5 * MS);
        proxy.advance(50 * MS);
        proxy.complete(|_| 0);
        for id in 0..losses {
            proxy.request(request(id, IDEMPOTENT));
            proxy.advance(130 * MS);
        }
        (5000..5300).for_each(|id| _ = proxy.request(request(id, IDEMPOTENT)));
        proxy.attempts_in_flight().len()
    };
    assert_eq!(admitted_after(8), admitted_after(0));
}

/// The latency of quick errors is low, but they do not show that the backend has capacity.
#[test]
fn quick_errors_do_not_raise_a_limit() {
    let mut proxy = EmulatedProxy::new(single_zone(), one_zone(1));
    for id in 0..40 {
        proxy.request(request(id, IDEMPOTENT));
        let outcome = if id % 3 == 0 { Outcome::Error } else { Outcome::Rejected };
        proxy.finish_all(|_| outcome);
        proxy.advance(50 * MS);
    }
    proxy.advance(5 * SECOND);
    (1000..1100).for_each(|id| _ = proxy.request(request(id, IDEMPOTENT)));
    let in_flight = proxy.attempts_in_flight().len();
    assert!(in_flight <= 2, "{in_flight} in flight");
}

#[test]
fn the_admitted_sum_does_not_grow_with_the_number_of_instances() {
    let admitted = |instance_count| {
        let by_instance = |instance_index| {
            let settings = Settings { instance_index, instance_count, ..single_zone() };
            let mut proxy = EmulatedProxy::new(settings, one_zone(50));
            (0..200).for_each(|id| _ = proxy.request(request(id, IDEMPOTENT)));
            proxy.attempts_in_flight().len()
        };
        (0..instance_count).map(by_instance).sum::<usize>()
    };
    let (few, many) = (admitted(2), admitted(20));
    assert!(few.abs_diff(many) * 4 < few, "2 instances admit {few}, 20 admit {many}");
    // With less than three slots per instance, their square root is added for requests that coincide.
    let slots: f64 = 50.0 * 1.5 / 40.0;
    assert!(admitted(40) as f64 <= 40.0 * (slots + slots.sqrt() + 1.0));
}

/// Guards against limits that fall although the queues on the backends drain. When limits backed off at 1.8
/// times the baseline latency, one request in ten was rejected with the fleet half idle, although clients
/// wait for twelve times the work.
#[test]
fn limits_tolerate_a_draining_queue_and_not_a_standing_one() {
    let mut proxy = EmulatedProxy::new(single_zone(), one_zone(2));
    let min_limit = |proxy: &EmulatedProxy| {
        proxy.balancer.backend_limits().map(|(limit, _)| limit).fold(f64::MAX, f64::min)
    };
    proxy.load(0, 300, 1, |_| 20 * MS);
    proxy.load(1_000, 400, 1, |_| 80 * MS);
    assert_eq!(proxy.rejections(), 0, "the queue drains");
    let limit = min_limit(&proxy);
    assert!(limit >= 4.0, "eight concurrent requests for two backends: {limit}");
    proxy.load(10_000, 300, 20, |_| 80 * MS);
    assert!(proxy.rejections() > 3_000, "ten times the capacity of two backends");
    let limit = min_limit(&proxy);
    assert!(limit < 3.0, "the same latency lowers limits with standing queues: {limit}");
    proxy.load(20_000, 800, 1, |_| 20 * MS);
    let before = proxy.rejections();
    proxy.load(30_000, 200, 1, |_| 80 * MS);
    assert_eq!(proxy.rejections(), before, "the overload has no lasting effect");
}

/// Guards against limits that stay at their minimum because of short waits. Work of a few milliseconds waited
/// for ten, which lowered the limits; the resulting rejections kept the back-off threshold low, and one of
/// two instances rejected half of its requests permanently.
#[test]
fn limits_recover_from_waits_that_are_short_relative_to_the_objective() {
    let mut settings = single_zone();
    settings.classes[0].latency_objective = 2 * SECOND;
    settings.classes[0].deadline = 5 * SECOND;
    let mut proxy = EmulatedProxy::new(settings, one_zone(2));
    proxy.load(0, 300, 1, |_| 10 * MS);
    proxy.load(1_000, 300, 4, |_| 90 * MS);
    let before = proxy.rejections();
    proxy.load(10_000, 500, 4, |_| 90 * MS);
    assert_eq!(
        proxy.rejections(),
        before,
        "18 concurrent requests per backend, all within a twentieth of the objective"
    );
}

/// With many instances and backends, windows never fill, so a single load report has to suffice.
#[test]
fn a_load_report_lowers_the_limit_of_a_slow_backend_at_once_where_an_instance_has_few_slots() {
    let mut settings = Settings { instance_count: 100, ..single_zone() };
    settings.load_report_fields.mean_service_ms = Some(0);
    let sends_to_even = |even_are_slow: bool| {
        let mut sends = 0;
        for instance_index in 0..20 {
            let settings = Settings { instance_index, ..settings.clone() };
            let mut proxy = EmulatedProxy::new(settings, one_zone(60));
            for id in 0..100 {
                proxy.request(request(id, IDEMPOTENT));
                proxy.advance(5 * MS);
                if id % 3 != 0 {
                    continue;
                }
                for sent in proxy.attempts_in_flight() {
                    let is_even = sent.backend % 2 == 0;
                    sends += u32::from(is_even);
                    let service_ms = if even_are_slow && is_even { 900.0 } else { 100.0 };
                    proxy.finish_with_report(sent.request, sent.attempt, Outcome::Ok, &[service_ms]);
                }
            }
        }
        sends
    };
    let (sends_if_slow, sends_if_equal) = (sends_to_even(true), sends_to_even(false));
    assert!(
        sends_if_slow * 4 < sends_if_equal * 3,
        "{sends_if_slow} sends to slow backends, {sends_if_equal} when they are not slow"
    );
}
