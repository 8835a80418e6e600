use super::*;
use proptest::prelude::*;

fn ready_with_peers(peer_count: usize) -> ProcessStatus {
    let mut status = ProcessStatus::default();
    status.set_peer_count(peer_count);
    status.set_backend_list_received();
    status
}

#[test]
fn is_ready_only_with_a_backend_list_and_before_draining() {
    let mut status = ProcessStatus::default();
    assert!(matches!(status.readiness_response(), ConsoleResponse::Failure(_)));
    assert_eq!(status.update_steering(), None);
    status.set_backend_list_received();
    assert!(matches!(status.readiness_response(), ConsoleResponse::Success(_)));
    status.begin_draining();
    assert!(matches!(status.readiness_response(), ConsoleResponse::Failure(_)) && !status.is_ready());
    assert_eq!(status.update_steering(), None, "a draining process does not steer connections to itself");
}

#[test]
fn successor_receives_connections_once_ready_and_still_when_alone() {
    let mut old = ready_with_peers(0);
    assert_eq!(old.update_steering(), Some(0));
    assert!(old.set_peer_count(1));
    assert_eq!(old.update_steering(), None, "must not take connections back from the successor");
    let mut new = ready_with_peers(1);
    assert_eq!((new.update_steering(), new.update_steering()), (Some(1), None));
    assert!(new.set_peer_count(0) && !new.set_peer_count(0));
    assert_eq!(
        (new.update_steering(), new.update_steering()),
        (Some(0), None),
        "its listener index changed when the old process exited"
    );
    assert!(new.set_peer_count(1));
    assert_eq!(new.update_steering(), None);
}

#[test]
fn receives_connections_after_successor_exits_without_a_new_filter() {
    let mut old = ready_with_peers(0);
    old.update_steering();
    old.set_peer_count(1);
    old.set_peer_count(0);
    // The filter may still contain the index of the exited process. No listener has that index any more, so
    // the kernel selects the remaining listener.
    assert_eq!(old.update_steering(), None);
}

proptest! {
    #[test]
    fn quotas_of_all_processes_do_not_exceed_the_limit(limit in 8_usize..100_000, processes in 1_usize..4) {
        let quotas = (0..processes).map(|_| ready_with_peers(processes - 1).quota_of(limit));
        prop_assert!(quotas.sum::<usize>() <= limit);
    }
}
