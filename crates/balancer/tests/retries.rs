//! Tests of retries and of the timeouts of attempts.

mod common;

use balancer::api::*;
use common::*;

/// Guards against a retry budget that is too small for malformed responses. With two retries per hundred
/// requests, and bursts of at most two, most malformed responses were not retried although their class
/// permits it.
#[test]
fn retries_each_of_several_malformed_responses_in_a_row() {
    let mut proxy = EmulatedProxy::new(single_zone(), one_zone(8));
    proxy.load(1000, 100, 2, |_| 5 * MS);
    proxy.advance(100 * MS);
    proxy.complete(|_| 0);
    for id in 0..6 {
        proxy.request(request(id, IDEMPOTENT));
        proxy.finish(id, 0, Outcome::Malformed);
        assert_eq!(proxy.requests[&id].attempts.len(), 2, "request {id}");
        proxy.advance(5 * MS);
        proxy.finish(id, 1, Outcome::Ok);
    }
}

/// A connection broke silently, and its backend responds to all other requests. The lost attempt must time
/// out early enough for a retry, and the backend must not count as hung meanwhile. If work takes long
/// compared with the time that clients wait, or if the request must not be retried, the timeout is the
/// deadline.
#[test]
fn a_lost_attempt_times_out_early_enough_for_a_retry() {
    let timeout_after = |class: u8, latency: Micros| {
        let mut proxy = EmulatedProxy::new(single_zone(), one_zone(4));
        for id in 1000..1400 {
            proxy.request(request(id, class));
            proxy.advance(latency);
            proxy.complete(|_| 0);
        }
        proxy.request(request(0, class));
        let attempt = &proxy.requests[&0].attempts[0];
        (attempt.timeout_at - attempt.sent_at, proxy)
    };
    let (timeout, mut proxy) = timeout_after(IDEMPOTENT, 5 * MS);
    assert!((100 * MS..200 * MS).contains(&timeout), "{timeout} us with an objective of 500 ms");
    let unresponsive = proxy.requests[&0].attempts[0].backend;
    proxy.advance(timeout + 5 * MS);
    assert_eq!(proxy.requests[&0].attempts.len(), 2, "it was retried");
    proxy.complete(|_| 0);
    (2000..2004).for_each(|id| _ = proxy.request(request(id, IDEMPOTENT)));
    assert!(proxy.in_flight(unresponsive) > 0, "a backend that lost one request still gets others");
    assert_eq!(timeout_after(IDEMPOTENT, 100 * MS).0, 2 * SECOND, "work takes long");
    assert_eq!(timeout_after(NON_IDEMPOTENT, 5 * MS).0, 2 * SECOND, "not idempotent");
}

/// Guards against rejecting heavy requests on an idle fleet. With 200 instances, 60 backends and
/// exponentially distributed work of 40 ms on average, an instance whose first requests were light timed out
/// each of the four attempts of a heavy one after a quarter of the objective.
#[test]
fn doubles_the_timeout_of_a_heavy_request_at_each_attempt() {
    let mut proxy = EmulatedProxy::new(settings(), (0..8).map(backend));
    for id in 0..200 {
        proxy.request(request(id, IDEMPOTENT));
        proxy.advance(10 * MS);
        proxy.complete(|_| 10 * MS);
    }
    proxy.request(request(1_000, IDEMPOTENT));
    let start = proxy.now;
    // 300 ms of work on every backend; the objective is 500 ms.
    while !proxy.requests[&1_000].ended && proxy.now < start + 2 * SECOND {
        proxy.advance(5 * MS);
        proxy.complete(|_| 300 * MS);
    }
    let attempts = &proxy.requests[&1_000].attempts;
    let timeouts: Vec<Micros> =
        attempts.iter().map(|attempt| (attempt.timeout_at - attempt.sent_at) / MS).collect();
    assert_eq!(timeouts.first(), Some(&125), "a lost response still leaves time for a retry");
    assert!(timeouts.windows(2).all(|pair| pair[1] > pair[0]), "{timeouts:?}");
    assert_eq!(attempts.last().map(|attempt| attempt.state), Some(AttemptState::MayHaveExecuted));
    let is_rejection = |action: &Action| matches!(action, Action::Reject { request: 1_000, .. });
    assert!(!proxy.log.iter().any(|(_, action)| is_rejection(action)), "{timeouts:?}");
}

#[test]
fn does_not_cancel_or_fail_a_streaming_response() {
    let mut proxy = EmulatedProxy::new(single_zone(), one_zone(3));
    proxy.request(request(1, IDEMPOTENT));
    proxy.event(Event::ResponseStarted { request: 1, attempt: 0 });
    proxy.now += SECOND;
    proxy.advance(SECOND / 2);
    let ends = |action: &Action| matches!(action, Action::Cancel { .. } | Action::Fail { .. });
    assert!(!proxy.log.iter().any(|(_, action)| ends(action)));
}

/// Sends requests one after another; the connection of each attempt breaks with this probability.
fn load_with_broken_connections(probability: f64, seed: u64) -> EmulatedProxy {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut proxy = EmulatedProxy::new(single_zone(), one_zone(8));
    for id in 0..1_000 {
        proxy.request(request(id, IDEMPOTENT));
        for attempt in 0.. {
            if proxy.requests[&id].attempts.len() <= usize::from(attempt) {
                break;
            }
            let is_broken = rng.f64() < probability;
            proxy.finish(id, attempt, if is_broken { Outcome::Reset } else { Outcome::Ok });
        }
        proxy.advance(10 * MS);
    }
    proxy
}

/// Guards against requests that are not served by an idle fleet while a tenth of all connections break.
#[test]
fn retry_budget_lasts_while_a_tenth_of_connections_break() {
    for seed in 0..8 {
        let proxy = load_with_broken_connections(0.1, seed);
        let unserved = proxy.balancer.unserved();
        assert_eq!(unserved.count(UnservedCause::RetryBudget), 0, "seed {seed}: {unserved}");
    }
}

/// Guards against a retry budget without effect. The connection of every attempt breaks, as with a request
/// that crashes its backends.
#[test]
fn retry_budget_bounds_retries_where_every_connection_breaks() {
    let proxy = load_with_broken_connections(1.0, 7);
    let requests = proxy.requests.len();
    let attempts: usize = proxy.requests.values().map(|request| request.attempts.len()).sum();
    assert!(attempts <= requests + requests / 5 + 20, "{attempts} attempts of {requests} requests");
    assert!(proxy.balancer.unserved().total() > 0);
}
