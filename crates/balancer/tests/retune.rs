//! Settings that change while requests are open.

mod common;

use balancer::api::*;
use common::*;

/// Fails every attempt of a request that may be sent once more; gives how many there were, and whether it was refused.
fn attempts(proxy: &mut Proxy, id: RequestId, first: Vec<Action>) -> (usize, bool) {
    let (mut actions, mut count) = (first, 0);
    while sent_to(&actions).is_some() {
        actions = proxy.settle(id, count as u16, Outcome::Reset);
        count += 1;
    }
    (count, refused(&actions))
}

#[test]
fn an_open_request_keeps_the_attempts_and_the_class_that_it_came_under() {
    let mut proxy = Proxy::new(settings(), (0..8).map(backend));
    let old = proxy.request(request(1, 0));
    let keyed = proxy.request(request(2, 2));
    // One attempt from now on, and a further class, which is unsafe.
    let mut other = settings();
    other.classes.push(class(Idempotency::NonIdempotent));
    other.permissions.max_attempts = 1;
    assert!(proxy.event(Event::SettingsChanged(&other)).is_empty());
    let before = std::mem::replace(&mut proxy.settings, other);
    let new = proxy.request(request(3, 0));
    assert_eq!(attempts(&mut proxy, 3, new), (1, true), "it came under one attempt");
    let added = proxy.request(request(4, 5));
    assert_eq!(attempts(&mut proxy, 4, added), (1, false), "unsafe: it may have run, and fails");
    // What came before has all its attempts.
    proxy.settings = before;
    assert_eq!(attempts(&mut proxy, 1, old), (4, true));
    assert_eq!(attempts(&mut proxy, 2, keyed), (4, true));
}

#[test]
fn what_was_learnt_of_servers_stays() {
    let mut proxy = Proxy::new(settings(), (0..3).map(backend));
    let at_first: Vec<_> = proxy.balancer.limits().collect();
    for id in 0..200 {
        proxy.request(request(id, 0));
        proxy.advance(10 * MS);
        proxy.serve(|_| 40 * MS);
    }
    let before: Vec<_> = proxy.balancer.limits().collect();
    assert_ne!(before, at_first, "something was learnt");
    let mut other = settings();
    other.classes.push(class(Idempotency::Idempotent));
    proxy.event(Event::SettingsChanged(&other));
    assert_eq!(proxy.balancer.limits().collect::<Vec<_>>(), before);
}
