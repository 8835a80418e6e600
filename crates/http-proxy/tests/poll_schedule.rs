//! Tests of the call slots at a discovery service that a fleet shares.

use balancer::api::Micros;
use http_proxy::poll_schedule::{CallFailure, PollSchedule, ROUND};
use proptest::prelude::*;

const MAX_POLL_INTERVAL: Micros = 10_000_000;
const NOW: Micros = 1_796_148_000_123_456;

/// The schedule of a proxy whose watch has failed; its last call started at `last_call_at`.
fn after_failed_watch(index: u32, fleet_size: u32, last_call_at: Micros) -> PollSchedule {
    let mut schedule = PollSchedule::new(index, fleet_size, MAX_POLL_INTERVAL);
    schedule.call_started(last_call_at);
    schedule.call_succeeded();
    schedule.call_failed(CallFailure::Unreachable);
    schedule
}

#[test]
fn only_a_fleet_of_more_than_six_uses_call_slots() {
    let waits = |index, fleet_size| after_failed_watch(index, fleet_size, 0).next_call_at(NOW, true) - NOW;
    for fleet_size in 1..=6 {
        assert!((0..fleet_size).all(|index| waits(index, fleet_size) == 0), "{fleet_size}");
    }
    for fleet_size in [7, 25, 26, 100, 300] {
        assert!((0..fleet_size).any(|index| waits(index, fleet_size) > 0), "{fleet_size}");
    }
}

/// Proxies that start or fail at the same moment call discovery one after another.
#[test]
fn calls_of_a_fleet_are_spread_evenly_over_the_round() {
    for fleet_size in [7, 26, 100, 300] {
        let mut calls: Vec<_> = (0..fleet_size)
            .map(|index| {
                PollSchedule::new(index, fleet_size, MAX_POLL_INTERVAL).next_call_at(NOW, true) - NOW
            })
            .collect();
        calls.sort_unstable();
        let even = ROUND / Micros::from(fleet_size);
        let gaps = calls.windows(2).map(|pair| pair[1] - pair[0]);
        assert!(gaps.clone().all(|gap| gap.abs_diff(even) <= 1), "{fleet_size}: {:?}", gaps.min());
        assert!(calls.iter().all(|&wait| wait < ROUND));
    }
}

#[test]
fn a_fleet_of_any_size_calls_within_the_maximum_poll_interval() {
    for max_poll_interval in [2_000_000, 4_000_000, MAX_POLL_INTERVAL, 60_000_000] {
        for fleet_size in [1, 7, 26, 100, 1_000, 100_000] {
            let schedule = PollSchedule::new(fleet_size - 1, fleet_size, max_poll_interval);
            let mut last = NOW;
            for _ in 0..5 {
                let next = schedule.next_call_at(last + 1, true);
                assert!(
                    next - last <= (max_poll_interval / 20 * 17).min(ROUND) + 1,
                    "{fleet_size} at {max_poll_interval}"
                );
                last = next;
            }
        }
    }
}

/// A proxy without a backend list can't serve requests.
#[test]
fn only_the_first_call_without_a_list_starts_immediately() {
    let mut schedule = PollSchedule::new(50, 100, MAX_POLL_INTERVAL);
    assert_eq!(schedule.next_call_at(NOW, false), NOW);
    schedule.call_started(NOW);
    schedule.call_failed(CallFailure::Unreachable);
    let next = schedule.next_call_at(NOW + 1, false);
    assert!(next > NOW + 1 && (next + ROUND - ROUND / 2).is_multiple_of(ROUND));
}

/// The unresponsive watch of each proxy times out at a different moment, and the changes that it missed have
/// to be known soon.
#[test]
fn the_call_after_a_watch_timeout_starts_immediately() {
    let mut schedule = after_failed_watch(50, 100, NOW);
    schedule.call_succeeded();
    schedule.call_failed(CallFailure::WatchTimeout);
    assert_eq!(schedule.next_call_at(NOW + 1, true), NOW + 1);
    schedule.call_started(NOW + 1);
    schedule.call_failed(CallFailure::Unreachable);
    assert!(schedule.next_call_at(NOW + 2, true) > NOW + 2, "only one such call");
}

/// With equal wait times, watches that become unresponsive together would time out together.
#[test]
fn watch_waits_of_a_fleet_are_spread_evenly() {
    for fleet_size in [2, 12, 100, 300] {
        let waits: Vec<_> = (0..fleet_size)
            .map(|index| PollSchedule::new(index, fleet_size, MAX_POLL_INTERVAL).watch_wait())
            .collect();
        let even = 10_000_000 / Micros::from(fleet_size);
        assert!(waits.windows(2).all(|pair| (pair[0] - pair[1]).abs_diff(even) <= 1), "{fleet_size}");
        assert!(waits.iter().all(|wait| (10_000_000..=20_000_000).contains(wait)), "{fleet_size}");
    }
}

/// The list of a new address has to be known within 4 s.
#[test]
fn calls_within_four_seconds_of_an_address_change_and_then_within_a_round() {
    for index in 0..100 {
        for last_call_at in [0, NOW - 1, NOW - 2_000_000] {
            let mut schedule = after_failed_watch(index, 100, last_call_at);
            schedule.address_changed();
            let first = schedule.next_call_at(NOW, true);
            assert!(first - NOW < 3_300_000, "{index}: {}", first - NOW);
            schedule.call_started(first);
            schedule.call_failed(CallFailure::Unreachable);
            let second = schedule.next_call_at(first + 1, true) - first;
            assert!((500_000..=5_500_000).contains(&second), "{index}: {second}");
        }
    }
}

/// A single failure of a queued call may be the end of an outage. Two consecutive ones show that the service
/// is overloaded.
#[test]
fn only_an_overloaded_service_gets_calls_less_often() {
    let waits = |failures: &[CallFailure]| {
        let mut schedule = after_failed_watch(299, 300, NOW);
        for &failure in failures {
            schedule.call_failed(failure);
        }
        schedule.call_started(NOW);
        // The maximum time between two calls of a proxy in its slots.
        let first = schedule.next_call_at(NOW + 1, true);
        schedule.next_call_at(first + 1, true) - first
    };
    let (queued, immediate) = (CallFailure::Rejected(2_000_000), CallFailure::Rejected(1_000));
    for failures in
        [&[queued][..], &[queued, immediate], &[queued, CallFailure::Unreachable, queued], &[immediate; 8]]
    {
        assert_eq!(waits(failures), ROUND, "{failures:?}");
    }
    assert_eq!(
        waits(&[queued, queued]),
        300 * 200_000,
        "the highest call cost and a quarter of it for each proxy"
    );
    let mut schedule = after_failed_watch(299, 300, NOW);
    schedule.call_failed(queued);
    schedule.call_failed(queued);
    schedule.call_succeeded();
    let first = schedule.next_call_at(NOW, true);
    assert_eq!(schedule.next_call_at(first + 1, true) - first, ROUND, "a response ends it");
}

proptest! {
    /// Regression test: with a minimum interval of half a round, a call outside the slots delayed the next
    /// call beyond 6 s.
    #[test]
    fn calls_once_a_round_and_only_in_the_slot(
        index in 0_u32..500, fleet_size in 7_u32..500, now in 1_u64 << 40..1 << 52, since in 0_u64..20_000_000,
    ) {
        let last = now.saturating_sub(since);
        let schedule = after_failed_watch(index, fleet_size, last);
        let at = schedule.next_call_at(now, true);
        let offset = Micros::from(index % fleet_size) * ROUND / Micros::from(fleet_size);
        prop_assert_eq!((at + ROUND - offset) % ROUND, 0);
        prop_assert!(at >= last + 500_000 && at >= now);
        prop_assert!(at <= now.max(last + 500_000) + ROUND);
        // After a call in its slot the next call is exactly one round later, even after the longest call and
        // backoff.
        let mut schedule = schedule;
        schedule.call_started(at);
        schedule.call_failed(CallFailure::Unreachable);
        for over in [1, 1_000_000, 2_500_000 + 2_000_000] {
            prop_assert_eq!(schedule.next_call_at(at + over, true), at + ROUND);
        }
    }
}
