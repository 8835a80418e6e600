//! Requests whose work is several times the mean, where most are light.

mod common;

use balancer::api::*;
use common::*;

/// Seen at 200 proxies before 60 boxes, exponential work with a mean of 40 ms: a proxy that had met light requests first
/// gave a heavy one up after a quarter of its aim, again and again, four times in all, and refused it on an idle fleet.
#[test]
fn a_request_that_is_heavy_everywhere_is_given_twice_the_time_at_each_attempt() {
    let mut proxy = Proxy::new(settings(), (0..8).map(backend));
    for id in 0..200 {
        proxy.request(request(id, 0));
        proxy.advance(10 * MS);
        proxy.serve(|_| 10 * MS);
    }
    proxy.request(request(1_000, 0));
    let began = proxy.now;
    // Three hundred milliseconds of work, wherever it goes; its aim is 500.
    while !proxy.requests[&1_000].ended && proxy.now < began + 2 * SECOND {
        proxy.advance(5 * MS);
        proxy.serve(|_| 300 * MS);
    }
    let attempts = &proxy.requests[&1_000].attempts;
    let times: Vec<Micros> = attempts.iter().map(|a| (a.give_up_at - a.sent_at) / MS).collect();
    assert_eq!(times.first(), Some(&125), "a lost answer is still told in time for another attempt");
    assert!(times.windows(2).all(|pair| pair[1] > pair[0]), "{times:?}");
    assert_eq!(attempts.last().map(|a| a.state), Some(State::MayHaveRun));
    assert!(!proxy.log.iter().any(|(_, a)| matches!(a, Action::Reject { request: 1_000, .. })), "{times:?}");
}
