//! Tests of changes of settings while requests are open.

mod common;

use balancer::api::*;
use common::*;

#[derive(Debug, PartialEq)]
struct FinalOutcome {
    attempts: usize,
    is_rejected: bool,
}

/// Fails each attempt of a request until no other one is sent. `actions` are those returned on its arrival.
fn fail_all_attempts(proxy: &mut EmulatedProxy, id: RequestId, mut actions: Vec<Action>) -> FinalOutcome {
    let mut attempts = 0;
    while sent_to(&actions).is_some() {
        actions = proxy.finish(id, attempts as u16, Outcome::Reset);
        attempts += 1;
    }
    FinalOutcome { attempts, is_rejected: is_rejected(&actions) }
}

#[test]
fn an_open_request_keeps_its_class_and_its_number_of_attempts() {
    let mut proxy = EmulatedProxy::new(settings(), (0..8).map(backend));
    let old = proxy.request(request(1, IDEMPOTENT));
    let keyed = proxy.request(request(2, KEYED_ALL));
    // From now on, one attempt per request, and an additional class that is not idempotent.
    let mut changed = settings();
    changed.classes.push(class(Idempotency::NonIdempotent));
    changed.permissions.max_attempts = 1;
    assert!(proxy.event(Event::SettingsChanged(&changed)).is_empty());
    let before = std::mem::replace(&mut proxy.settings, changed);
    let new = proxy.request(request(3, IDEMPOTENT));
    let one_attempt = FinalOutcome { attempts: 1, is_rejected: true };
    assert_eq!(fail_all_attempts(&mut proxy, 3, new), one_attempt, "it arrived after the change");
    let added = proxy.request(request(4, 5));
    let failed = FinalOutcome { attempts: 1, is_rejected: false };
    assert_eq!(fail_all_attempts(&mut proxy, 4, added), failed, "it may have executed, and fails");
    // Requests that arrived before the change get all four attempts.
    proxy.settings = before;
    assert_eq!(fail_all_attempts(&mut proxy, 1, old), FinalOutcome { attempts: 4, is_rejected: true });
    assert_eq!(fail_all_attempts(&mut proxy, 2, keyed), FinalOutcome { attempts: 4, is_rejected: true });
}

#[test]
fn learned_limits_survive_a_change_of_settings() {
    let mut proxy = EmulatedProxy::new(settings(), (0..3).map(backend));
    let initial: Vec<_> = proxy.balancer.backend_limits().collect();
    proxy.load(0, 200, 1, |_| 40 * MS);
    let before: Vec<_> = proxy.balancer.backend_limits().collect();
    assert_ne!(before, initial, "the limits differ from the initial ones");
    let mut changed = settings();
    changed.classes.push(class(Idempotency::Idempotent));
    proxy.event(Event::SettingsChanged(&changed));
    assert_eq!(proxy.balancer.backend_limits().collect::<Vec<_>>(), before);
}
