//! Ejection and readmission of backends.

mod common;

use balancer::api::*;
use common::*;

#[test]
fn ejects_a_failing_backend_and_readmits_it_after_one_trial_of_a_retryable_request() {
    let mut proxy = EmulatedProxy::new(single_zone(), one_zone(4));
    let mut id = 0;
    while proxy.log_lines("ejected server 2") == 0 {
        id += 1;
        assert!(id < 400, "backend 2 fails every request and must be ejected");
        proxy.request(request(id, IDEMPOTENT));
        proxy.finish_all(|sent| if sent.backend == 2 { Outcome::Error } else { Outcome::Ok });
        proxy.advance(20 * MS);
    }
    proxy.advance(1300 * MS);
    (1000..1030).for_each(|id| _ = proxy.request(request(id, NON_IDEMPOTENT)));
    assert_eq!(proxy.in_flight(2), 0, "no trial with a request that must not run twice");
    proxy.advance(3 * SECOND);
    (2000..2030).for_each(|id| _ = proxy.request(request(id, IDEMPOTENT)));
    assert_eq!(proxy.in_flight(2), 1, "a single trial");
    let in_flight = proxy.attempts_in_flight();
    let trial = in_flight.iter().find(|sent| sent.backend == 2).expect("the trial");
    proxy.finish(trial.request, trial.attempt, Outcome::Ok);
    assert!(proxy.log_lines("readmitted server 2") > 0);
}

#[test]
fn does_not_eject_all_backends_at_once() {
    let mut proxy = EmulatedProxy::new(single_zone(), one_zone(5));
    for id in 0..300 {
        proxy.request(request(id, IDEMPOTENT));
        proxy.finish_all(|_| Outcome::Error);
        proxy.advance(5 * MS);
    }
    while let Some(&sent) = proxy.attempts_in_flight().first() {
        proxy.finish(sent.request, sent.attempt, Outcome::Error);
    }
    assert!(proxy.log_lines("ejected") >= 3);
    let sent = (1000..1040).filter(|&id| sent_to(&proxy.request(request(id, IDEMPOTENT))).is_some()).count();
    assert!(sent > 0, "some backend still serves");
}

/// Intermediaries corrupt responses of any backend alike. Counted like a lost connection, one of them ejected a healthy
/// backend, and a few of them most of the fleet. A backend whose responses are all corrupt is ejected like one that responds
/// with errors.
#[test]
fn occasional_malformed_responses_cost_no_backend_its_place_or_its_limit() {
    struct Result {
        ejections: usize,
        in_flight: usize,
    }
    let malformed_one_in = |period: u32| {
        let mut proxy = EmulatedProxy::new(single_zone(), one_zone(4));
        for id in 0..800 {
            proxy.request(request(id, IDEMPOTENT));
            proxy.advance(10 * MS);
            proxy.finish_all(|sent| {
                let is_malformed = id % period == 0 && sent.request == id && sent.attempt == 0;
                if is_malformed { Outcome::Malformed } else { Outcome::Ok }
            });
        }
        (0..200).for_each(|number| _ = proxy.request(request(1000 + number, IDEMPOTENT)));
        Result { ejections: proxy.log_lines("ejected"), in_flight: proxy.attempts_in_flight().len() }
    };
    let (none, some) = (malformed_one_in(u32::MAX), malformed_one_in(10));
    assert_eq!(some.ejections, 0, "a tenth is malformed, from any backend");
    assert!(
        some.in_flight * 2 > none.in_flight,
        "limits stay: {} and {} in flight",
        some.in_flight,
        none.in_flight
    );
    assert!(malformed_one_in(1).ejections > 0, "all are malformed");
}

/// First incident of accra-register: hundreds of ejections and no readmission, as no class there is idempotent.
#[test]
fn a_keyed_request_may_be_the_trial_of_an_ejected_backend() {
    let mut proxy = EmulatedProxy::new(single_zone(), one_zone(3));
    let broken = sent_to(&proxy.request(request(0, KEYED_CELL))).expect("a free slot");
    proxy.finish(0, 0, Outcome::Reset);
    proxy.advance(3 * SECOND);
    let trial = (1..20).any(|id| sent_to(&proxy.request(request(id, KEYED_CELL))) == Some(broken));
    assert!(trial, "the ejection ends with a keyed request");
}

/// Connections break everywhere on some days: one in eight of a healthy fleet's requests was lost, single losses ejected
/// their backends, and half of the requests were rejected although every backend served.
#[test]
fn failures_of_the_whole_fleet_eject_no_backend_and_cost_no_limit() {
    for outcome in [Outcome::Reset, Outcome::ConnectFailed, Outcome::Malformed] {
        let mut proxy = EmulatedProxy::new(single_zone(), one_zone(6));
        let mut rng = fastrand::Rng::with_seed(5);
        let mut rejected = 0;
        for id in 0..800 {
            proxy.request(request(id, IDEMPOTENT));
            proxy.advance(10 * MS);
            for sent in proxy.attempts_in_flight() {
                let outcome = if rng.u32(0..8) == 0 { outcome } else { Outcome::Ok };
                proxy.finish(sent.request, sent.attempt, outcome);
            }
            rejected += usize::from(proxy.requests[&id].ended && proxy.requests[&id].attempts.is_empty());
        }
        let ejections = proxy.log_lines("ejected");
        assert!(ejections <= 2, "{outcome:?}: {ejections} times in 800 requests");
        assert_eq!(rejected, 0, "{outcome:?}");
    }
}

/// Where connections break everywhere, a backend that fails all its requests is still detected, and so is one where a third
/// of the fleet fails at once: those failures must not excuse each other.
#[test]
fn ejects_a_backend_that_serves_nothing_among_others_that_fail_occasionally() {
    for (sick, usual) in [(1, 8), (2, 8), (2, u32::MAX)] {
        let mut proxy = EmulatedProxy::new(single_zone(), one_zone(6));
        let mut rng = fastrand::Rng::with_seed(5);
        let mut wasted = 0;
        for turn in 0..120 {
            (0..12).for_each(|number| _ = proxy.request(request(turn * 12 + number, IDEMPOTENT)));
            proxy.advance(20 * MS);
            for sent in proxy.attempts_in_flight() {
                let is_dead = turn >= 40 && sent.backend < sick;
                wasted += u32::from(is_dead);
                let fails = is_dead || rng.u32(0..usual) == 0;
                let outcome = if fails { Outcome::ConnectFailed } else { Outcome::Ok };
                proxy.finish(sent.request, sent.attempt, outcome);
            }
        }
        assert!(wasted <= 16 * sick, "{wasted} requests went to {sick} dead backends, usual 1 in {usual}");
        assert!(wasted >= sick);
    }
}
