use super::*;

#[test]
fn uses_the_new_address_of_a_backend_that_restarted_elsewhere() {
    let pool = BackendPool::new(10, 1, 1, Vec::new());
    let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
    pool.update(7, address(9), Readiness::Ready, Some(1));
    pool.update(7, address(10), Readiness::Ready, Some(2));
    assert_eq!(pool.address(7), Some(address(10)));
}

#[test]
fn drops_backends_that_are_no_longer_listed() {
    let pool = BackendPool::new(10, 1, 1, Vec::new());
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    for id in 0..100 {
        pool.update(id, address, Readiness::Ready, None);
        if id % 2 == 0 {
            pool.update(id, address, Readiness::Removed, None);
        } else {
            pool.retain(|listed| listed > id);
        }
    }
    assert_eq!(pool.backends.borrow().len(), 0);
}
