use super::*;
use proptest::prelude::*;

fn ready(peers: usize) -> ProcessStatus {
    let mut stand = ProcessStatus::default();
    stand.beside(peers);
    stand.holds_list();
    stand
}

#[test]
fn it_is_ready_while_it_serves_only() {
    let mut stand = ProcessStatus::default();
    assert!(matches!(stand.readiness(), ConsoleResponse::Failure(_)));
    assert_eq!(stand.steer(), None);
    stand.holds_list();
    assert!(matches!(stand.readiness(), ConsoleResponse::Success(_)));
    stand.drains();
    assert!(matches!(stand.readiness(), ConsoleResponse::Failure(_)) && !stand.is_ready());
    assert_eq!(stand.steer(), None, "the successor has the connections");
}

#[test]
fn a_successor_takes_the_connections_once_ready_and_keeps_them_when_alone() {
    let mut old = ready(0);
    assert_eq!(old.steer(), Some(0));
    assert!(old.beside(1));
    assert_eq!(old.steer(), None, "the successor is not ready, or has them already");
    let mut new = ready(1);
    assert_eq!((new.steer(), new.steer()), (Some(1), None));
    assert!(new.beside(0) && !new.beside(0));
    assert_eq!((new.steer(), new.steer()), (Some(0), None), "its place moved when the old one left");
    assert!(new.beside(1));
    assert_eq!(new.steer(), None);
}

#[test]
fn a_process_whose_successor_died_takes_the_connections_again() {
    let mut old = ready(0);
    old.steer();
    old.beside(1);
    old.beside(0);
    // The filter may name the place of the dead: no listener has it, and the kernel finds the one there is.
    assert_eq!(old.steer(), None);
}

proptest! {
    #[test]
    fn the_parts_of_all_processes_fit_into_a_limit(limit in 8_usize..100_000, processes in 1_usize..4) {
        let parts = (0..processes).map(|_| ready(processes - 1).part(limit));
        prop_assert!(parts.sum::<usize>() <= limit);
    }
}
