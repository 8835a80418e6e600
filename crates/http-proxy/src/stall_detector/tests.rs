use super::*;

#[test]
fn what_is_read_after_a_stall_may_have_come_at_its_beginning() {
    let began = Instant::now();
    let at = |ms| began + Duration::from_millis(ms);
    let monitor = StallDetector::new(began);
    assert_eq!(monitor.earliest(at(60)), at(60), "as usual");
    monitor.turn(at(80));
    assert_eq!(monitor.earliest(at(100)), at(100));
    // It stands for 0.8 s. Sockets may be told before the monitor has its turn, or after it.
    assert_eq!(monitor.earliest(at(900)), at(80));
    monitor.turn(at(901));
    assert_eq!(monitor.earliest(at(902)), at(80));
    assert_eq!(monitor.earliest(at(930)), at(930), "and then as usual again");
}
