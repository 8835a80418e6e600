//! Tests of ejection and readmission of backends.

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
    assert_eq!(proxy.in_flight(2), 0, "no trial with a non-idempotent request");
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
    assert!(sent > 0, "some backend still gets requests");
}

/// Guards against ejecting healthy backends because intermediaries corrupt some responses of all backends.
/// When a malformed response weighed as much as a lost connection, one ejected a backend, and a few ejected
/// most of the fleet. A backend whose responses are all malformed is still ejected.
#[test]
fn occasional_malformed_responses_neither_eject_a_backend_nor_lower_its_limit() {
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
    assert_eq!(some.ejections, 0, "a tenth of the responses is malformed, on all backends");
    assert!(
        some.in_flight * 2 > none.in_flight,
        "limits are not lowered: {} and {} in flight",
        some.in_flight,
        none.in_flight
    );
    assert!(malformed_one_in(1).ejections > 0, "all are malformed");
}

/// Guards against backends that are never readmitted in a deployment without idempotent classes. Hundreds of
/// ejections without a readmission occurred while only idempotent requests could be trials.
#[test]
fn a_keyed_request_may_be_the_trial_of_an_ejected_backend() {
    let mut proxy = EmulatedProxy::new(single_zone(), one_zone(3));
    let broken = sent_to(&proxy.request(request(0, KEYED_CELL))).expect("a free slot");
    proxy.finish(0, 0, Outcome::Reset);
    proxy.advance(3 * SECOND);
    let trial = (1..20).any(|id| sent_to(&proxy.request(request(id, KEYED_CELL))) == Some(broken));
    assert!(trial, "a keyed request is the trial");
}

/// Guards against ejections when connections to all backends break equally often. With one in eight requests
/// of a healthy fleet lost, single losses ejected backends, and half of the requests were rejected although
/// every backend served.
#[test]
fn failures_across_the_whole_fleet_neither_eject_backends_nor_lower_limits() {
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
        assert!(ejections <= 2, "{outcome:?}: {ejections} ejections in 800 requests");
        assert_eq!(rejected, 0, "{outcome:?}");
    }
}

/// Guards against a baseline of failures that hides dead backends. They must be ejected although connections
/// to all backends break occasionally, and although a third of the fleet fails at once and so raises the
/// baseline.
#[test]
fn ejects_dead_backends_among_others_that_fail_occasionally() {
    for (dead_count, failure_period) in [(1, 8), (2, 8), (2, u32::MAX)] {
        let mut proxy = EmulatedProxy::new(single_zone(), one_zone(6));
        let mut rng = fastrand::Rng::with_seed(5);
        let mut wasted = 0;
        for round in 0..120 {
            (0..12).for_each(|number| _ = proxy.request(request(round * 12 + number, IDEMPOTENT)));
            proxy.advance(20 * MS);
            for sent in proxy.attempts_in_flight() {
                let is_dead = round >= 40 && sent.backend < dead_count;
                wasted += u32::from(is_dead);
                let fails = is_dead || rng.u32(0..failure_period) == 0;
                let outcome = if fails { Outcome::ConnectFailed } else { Outcome::Ok };
                proxy.finish(sent.request, sent.attempt, outcome);
            }
        }
        assert!(
            wasted <= 16 * dead_count,
            "{wasted} requests to {dead_count} dead backends; others fail 1 in {failure_period}"
        );
        assert!(wasted >= dead_count);
    }
}
