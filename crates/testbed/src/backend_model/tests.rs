use super::*;

const SPEC: BackendSpec =
    BackendSpec { cores: 2.0, speed: 1.0, capacity: 4, initial_capacity: 0.5, warm_up_duration: 1_000_000 };

#[test]
fn requests_share_the_cores() {
    let mut model = BackendModel::new(SPEC, 0, None);
    for id in 0..4 {
        assert_eq!(model.arrive(0, id, 10_000), Admission::Accepted);
    }
    assert_eq!(model.arrive(0, 4, 10_000), Admission::Rejected);
    assert!(model.advance(19_999).is_empty());
    assert_eq!(model.advance(20_001), [0, 1, 2, 3]);
    assert_eq!(model.arrive(20_001, 5, 10_000), Admission::Accepted);
    assert_eq!(model.next(), Some(30_001), "a single request has one core to itself");
}

#[test]
fn backend_is_slower_while_warming_up() {
    let mut model = BackendModel::new(SPEC, 0, Some(0));
    assert_eq!((model.capacity(0), model.capacity(500_000), model.capacity(9_000_000)), (1.0, 1.5, 2.0));
    model.arrive(0, 1, 100_000);
    model.arrive(0, 2, 100_000);
    let finished_at = (100_000..400_000).step_by(1_000).find(|&t| !model.advance(t).is_empty());
    assert!(finished_at.is_some_and(|t| (150_000..200_000).contains(&t)), "{finished_at:?}");
}

#[test]
fn hanging_backend_swallows_requests_and_paused_backend_resumes() {
    let mut model = BackendModel::new(SPEC, 0, None);
    model.set_hanging(true);
    assert_eq!(model.arrive(0, 1, 10), Admission::Swallowed);
    assert!(model.advance(1_000_000).is_empty());
    model.set_hanging(false);
    model.arrive(1_000_000, 2, 10_000);
    model.set_paused(true);
    assert_eq!((model.next(), model.advance(2_000_000)), (None, Vec::new()));
    model.set_paused(false);
    assert_eq!(model.advance(2_010_001), [2]);
}
