//! Tests of the transfer of learned state from one instance to another.

mod common;

use balancer::api::*;
use common::*;

/// A proxy that has served requests on four backends, one of them far slower than the others.
fn proxy_with_learned_state() -> EmulatedProxy {
    let mut proxy = EmulatedProxy::new(settings(), (0..4).map(backend));
    proxy.load(0, 400, 1, |backend| if backend == 2 { 400 * MS } else { 30 * MS });
    proxy
}

fn limit_in(state: &LearnedState, backend: BackendId) -> f64 {
    state.backends.iter().find(|learned| learned.backend == backend).expect("a ready backend").limit
}

fn limit(proxy: &EmulatedProxy, backend: BackendId) -> f64 {
    limit_in(&proxy.balancer.learned_state(), backend)
}

#[test]
fn a_new_instance_restores_the_learned_state_of_another() {
    let learned = proxy_with_learned_state().balancer.learned_state();
    let fresh = EmulatedProxy::new(settings(), (0..4).map(backend));
    assert_ne!(fresh.balancer.learned_state(), learned, "the state differs from the initial one");
    let mut restored = EmulatedProxy::new(settings(), (0..4).map(backend));
    assert!(restored.balancer.restore(restored.now, &learned));
    assert_eq!(restored.balancer.learned_state(), learned);
}

#[test]
fn does_not_restore_limits_of_removed_or_restarted_backends() {
    let learned = proxy_with_learned_state().balancer.learned_state();
    // Backend 1 was removed, 2 has restarted, and 9 is new.
    let restarted = Backend { started_at: Some(SECOND / 2), ..backend(2) };
    let list = [backend(0), restarted, backend(3), backend(9)];
    let mut proxy = EmulatedProxy::new(settings(), list);
    let (limit_of_restarted, limit_of_new) = (limit(&proxy, 2), limit(&proxy, 9));
    assert!(proxy.balancer.restore(proxy.now, &learned));
    assert_eq!((limit(&proxy, 0), limit(&proxy, 3)), (limit_in(&learned, 0), limit_in(&learned, 3)));
    assert_eq!((limit(&proxy, 2), limit(&proxy, 9)), (limit_of_restarted, limit_of_new));
    assert_eq!(proxy.balancer.learned_state().backends.len(), 4, "no backends are added");
}

#[test]
fn does_not_restore_state_learned_with_other_classes() {
    let learned = proxy_with_learned_state().balancer.learned_state();
    let mut other_settings = settings();
    other_settings.classes.pop();
    let mut proxy = EmulatedProxy::new(other_settings, (0..4).map(backend));
    let before = proxy.balancer.learned_state();
    assert!(!proxy.balancer.restore(proxy.now, &learned));
    assert_eq!(proxy.balancer.learned_state(), before);
}
