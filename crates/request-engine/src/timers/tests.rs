use super::*;

#[test]
fn timers_expire_in_order_and_not_early() {
    let mut timers = Timers::default();
    for at in [30, 10, 20] {
        timers.add(at, TimerKind::Balancer(at as u32), |_| true);
    }
    assert_eq!(timers.pop(9), None);
    assert_eq!(
        (timers.pop(20), timers.pop(20), timers.pop(20)),
        (Some(TimerKind::Balancer(10)), Some(TimerKind::Balancer(20)), None)
    );
    assert_eq!(timers.next(), Some(30));
}

#[test]
fn timers_of_ended_requests_are_swept() {
    let mut timers = Timers::default();
    for request in 0..1_000_000 {
        timers.add(1_000_000, TimerKind::ResponseDeadline(request), |kind| {
            kind == TimerKind::ResponseDeadline(request)
        });
    }
    assert!(timers.len() <= MIN_SWEEP_SIZE + 1, "{} entries", timers.len());
}
