//! What one instance has learnt, and another goes on from.

mod common;

use balancer::api::*;
use common::*;

fn learnt() -> Proxy {
    let mut proxy = Proxy::new(settings(), (0..4).map(backend));
    for id in 0..400 {
        proxy.request(request(id, 0));
        proxy.advance(10 * MS);
        // One server is far slower than the others.
        proxy.serve(|server| if server == 2 { 400 * MS } else { 30 * MS });
    }
    proxy
}

fn limit(proxy: &Proxy, backend: BackendId) -> f64 {
    let servers = proxy.balancer.learned_state().backends;
    servers.iter().find(|s| s.backend == backend).expect("a ready server").limit
}

#[test]
fn another_instance_goes_on_from_what_was_learnt() {
    let old = learnt();
    let memory = old.balancer.learned_state();
    let fresh = Proxy::new(settings(), (0..4).map(backend));
    assert_ne!(fresh.balancer.learned_state(), memory, "something was learnt");
    let mut new = Proxy::new(settings(), (0..4).map(backend));
    assert!(new.balancer.restore(new.now, &memory));
    assert_eq!(new.balancer.learned_state(), memory);
}

#[test]
fn servers_that_left_or_started_anew_are_not_taken_for_those_that_were() {
    let memory = learnt().balancer.learned_state();
    // Server 1 is gone, 2 has started anew, 9 has come.
    let again = Backend { started_at: Some(SECOND / 2), ..backend(2) };
    let list = [backend(0), again, backend(3), backend(9)];
    let mut new = Proxy::new(settings(), list);
    let (anew, come) = (limit(&new, 2), limit(&new, 9));
    assert!(new.balancer.restore(new.now, &memory));
    let of = |id| memory.backends.iter().find(|s| s.backend == id).expect("it was learnt").limit;
    assert_eq!((limit(&new, 0), limit(&new, 3)), (of(0), of(3)));
    assert_eq!((limit(&new, 2), limit(&new, 9)), (anew, come));
    assert_eq!(new.balancer.learned_state().backends.len(), 4, "nothing is listed by it");
}

#[test]
fn what_was_learnt_under_other_classes_is_left() {
    let memory = learnt().balancer.learned_state();
    let mut other = settings();
    other.classes.pop();
    let mut new = Proxy::new(other, (0..4).map(backend));
    let before = new.balancer.learned_state();
    assert!(!new.balancer.restore(new.now, &memory));
    assert_eq!(new.balancer.learned_state(), before);
}
