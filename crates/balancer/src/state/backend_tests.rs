//! Tests of the reuse of backend indices.

use super::*;

fn listed(id: BackendId) -> BackendState {
    BackendState { id, is_listed: true, ..BackendState::default() }
}

#[test]
fn reuses_the_indices_of_removed_backends() {
    let mut backends = Backends::default();
    for id in 0..1_000 {
        backends.mark_all_unlisted();
        backends.add(id, listed(id));
        backends.remove_unlisted();
    }
    assert!(backends.capacity() <= 4, "capacity {}", backends.capacity());
    assert_eq!(backends.len(), 1);
}

#[test]
fn keeps_an_index_while_an_attempt_refers_to_it() {
    let mut backends = Backends::default();
    let first = backends.add(1, listed(1));
    backends[first].references = 2;
    backends.mark_all_unlisted();
    backends.remove_unlisted();
    backends.release_reference(first);
    assert_ne!(backends.add(2, listed(2)), first, "one attempt still refers to it");
    backends.release_reference(first);
    assert_eq!(backends.find(1), None);
    assert_eq!(backends.add(3, listed(3)), first);
}
