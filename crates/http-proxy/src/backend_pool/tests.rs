use super::*;

#[test]
fn a_connection_that_answered_just_now_is_taken_only_where_all_have() {
    let choose = |ms: &[u64]| choose_idle(ms.iter().map(|&ms| Duration::from_millis(ms)));
    assert_eq!(choose(&[]), None);
    assert_eq!(choose(&[900, 40, 5]), Some(2), "the one that was used last");
    assert_eq!(choose(&[900, 40, 4]), Some(1), "its backend may be closing it");
    assert_eq!(choose(&[4, 3, 0]), Some(2));
    assert_eq!(choose(&[5, 4, 4]), Some(0));
}

#[test]
fn backends_that_are_gone_are_forgotten() {
    let backend_pool = BackendPool::new(10, 1, 1, Vec::new());
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    for id in 0..100 {
        backend_pool.update(id, address, Readiness::Ready, None);
        if id % 2 == 0 {
            backend_pool.update(id, address, Readiness::Removed, None);
        } else {
            backend_pool.retain(|listed| listed > id);
        }
    }
    assert_eq!(backend_pool.servers.borrow().len(), 0);
}

/// Backends' clocks started earlier: at least a second is kept, or half of what they keep where that is less.
#[test]
fn a_connection_is_never_used_in_the_last_part_of_its_idle_time_however_short_that_is() {
    for (ms, used_ms) in
        [(0, 0), (1, 0), (600, 300), (1_000, 500), (1_500, 750), (2_000, 1_000), (15_000, 14_000)]
    {
        let limit = idle_limit(ms * 1_000);
        assert!(limit.as_millis() == used_ms, "{ms}: {limit:?}");
    }
}
