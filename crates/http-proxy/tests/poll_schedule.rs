//! Turns at a discovery service that a whole fleet asks.

use balancer::api::Micros;
use http_proxy::poll_schedule::{Failure, PollSchedule, ROUND};
use proptest::prelude::*;

const ASK_TIMEOUT: Micros = 10_000_000;
const NOW: Micros = 1_796_148_000_123_456;

/// Proxy `me`, which was answered once and now begins anew.
fn again(me: u32, balancers: u32, called: Micros) -> PollSchedule {
    let mut turns = PollSchedule::of(me, balancers, ASK_TIMEOUT);
    turns.begun(called);
    turns.answered();
    turns.failed(Failure::Unreached);
    turns
}

#[test]
fn a_handful_begins_at_once_and_a_larger_fleet_takes_turns() {
    let waits = |me, balancers| again(me, balancers, 0).at(NOW, true) - NOW;
    for balancers in 1..=6 {
        assert!((0..balancers).all(|me| waits(me, balancers) == 0), "{balancers}");
    }
    for balancers in [7, 25, 26, 100, 300] {
        assert!((0..balancers).any(|me| waits(me, balancers) > 0), "{balancers}");
    }
}

/// Proxies that start or fail at the same moment come to discovery one by one, evenly over the round.
#[test]
fn a_herd_is_spread_over_the_whole_round() {
    for balancers in [7, 26, 100, 300] {
        let mut calls: Vec<_> = (0..balancers)
            .map(|me| PollSchedule::of(me, balancers, ASK_TIMEOUT).at(NOW, true) - NOW)
            .collect();
        calls.sort_unstable();
        let even = ROUND / Micros::from(balancers);
        let gaps = calls.windows(2).map(|pair| pair[1] - pair[0]);
        assert!(gaps.clone().all(|gap| gap.abs_diff(even) <= 1), "{balancers}: {:?}", gaps.min());
        assert!(calls.iter().all(|&wait| wait < ROUND));
    }
}

#[test]
fn a_fleet_of_any_size_asks_before_it_is_taken_to_know() {
    for ask_within in [2_000_000, 4_000_000, ASK_TIMEOUT, 60_000_000] {
        for balancers in [1, 7, 26, 100, 1_000, 100_000] {
            let turns = PollSchedule::of(balancers - 1, balancers, ask_within);
            let mut last = NOW;
            for _ in 0..5 {
                let next = turns.at(last + 1, true);
                assert!(next - last <= (ask_within / 20 * 17).min(ROUND) + 1, "{balancers} at {ask_within}");
                last = next;
            }
        }
    }
}

/// Who has no list can't serve.
#[test]
fn the_first_call_without_a_list_is_made_at_once_and_the_next_at_a_turn() {
    let mut turns = PollSchedule::of(50, 100, ASK_TIMEOUT);
    assert_eq!(turns.at(NOW, false), NOW);
    turns.begun(NOW);
    turns.failed(Failure::Unreached);
    let next = turns.at(NOW + 1, false);
    assert!(next > NOW + 1 && (next + ROUND - ROUND / 2).is_multiple_of(ROUND));
}

/// A silent watch is given up at a moment that is its own, and what it missed holds soon.
#[test]
fn after_a_silent_watch_the_call_is_made_at_once() {
    let mut turns = again(50, 100, NOW);
    turns.answered();
    turns.failed(Failure::Silent);
    assert_eq!(turns.at(NOW + 1, true), NOW + 1);
    turns.begun(NOW + 1);
    turns.failed(Failure::Unreached);
    assert!(turns.at(NOW + 2, true) > NOW + 2, "one such call");
}

/// Watches that fell silent together would be given up together, if all waited as long.
#[test]
fn the_waits_of_a_fleet_are_spread_evenly() {
    for balancers in [2, 12, 100, 300] {
        let waits: Vec<_> =
            (0..balancers).map(|me| PollSchedule::of(me, balancers, ASK_TIMEOUT).watch_wait()).collect();
        let even = 10_000_000 / Micros::from(balancers);
        assert!(waits.windows(2).all(|pair| (pair[0] - pair[1]).abs_diff(even) <= 1), "{balancers}");
        assert!(waits.iter().all(|wait| (10_000_000..=20_000_000).contains(wait)), "{balancers}");
    }
}

/// What discovery has counts 4 s after it has moved.
#[test]
fn after_a_move_the_call_is_made_within_four_seconds_and_the_next_within_a_round() {
    for me in 0..100 {
        for called in [0, NOW - 1, NOW - 2_000_000] {
            let mut turns = again(me, 100, called);
            turns.moved();
            let first = turns.at(NOW, true);
            assert!(first - NOW < 3_300_000, "{me}: {}", first - NOW);
            turns.begun(first);
            turns.failed(Failure::Unreached);
            let second = turns.at(first + 1, true) - first;
            assert!((500_000..=5_500_000).contains(&second), "{me}: {second}");
        }
    }
}

/// One late failure may be the end of an outage, two in a row are a service in debt.
#[test]
fn a_service_in_debt_is_asked_more_seldom_and_no_other_is() {
    let waits = |failures: &[Failure]| {
        let mut turns = again(299, 300, NOW);
        failures.iter().for_each(|&failure| turns.failed(failure));
        turns.begun(NOW);
        // The longest distance between two calls of a proxy at its turns.
        let first = turns.at(NOW + 1, true);
        turns.at(first + 1, true) - first
    };
    let (late, soon) = (Failure::Refused(2_000_000), Failure::Refused(1_000));
    for failures in [&[late][..], &[late, soon], &[late, Failure::Unreached, late], &[soon; 8]] {
        assert_eq!(waits(failures), ROUND, "{failures:?}");
    }
    assert_eq!(waits(&[late, late]), 300 * 200_000, "the dearest call and a quarter for each proxy");
    let mut turns = again(299, 300, NOW);
    turns.failed(late);
    turns.failed(late);
    turns.answered();
    let first = turns.at(NOW, true);
    assert_eq!(turns.at(first + 1, true) - first, ROUND, "an answer ends it");
}

proptest! {
    /// The gap was half a round, which after a call outside the turns could be half a round more than 6 s allow.
    #[test]
    fn a_turn_comes_once_a_round_and_at_no_other_time(
        me in 0_u32..500, balancers in 7_u32..500, now in 1_u64 << 40..1 << 52, since in 0_u64..20_000_000,
    ) {
        let last = now.saturating_sub(since);
        let turns = again(me, balancers, last);
        let at = turns.at(now, true);
        let offset = Micros::from(me % balancers) * ROUND / Micros::from(balancers);
        prop_assert_eq!((at + ROUND - offset) % ROUND, 0);
        prop_assert!(at >= last + 500_000 && at >= now);
        prop_assert!(at <= now.max(last + 500_000) + ROUND);
        // Called at its turn it comes again exactly a round later, also after the longest call and backoff.
        let mut turns = turns;
        turns.begun(at);
        turns.failed(Failure::Unreached);
        for over in [1, 1_000_000, 2_500_000 + 2_000_000] {
            prop_assert_eq!(turns.at(at + over, true), at + ROUND);
        }
    }
}
