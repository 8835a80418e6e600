use super::*;

#[test]
fn data_read_after_a_stall_counts_from_the_beginning_of_the_stall() {
    let began = Instant::now();
    let at = |ms| began + Duration::from_millis(ms);
    let detector = StallDetector::new(began);
    assert_eq!(detector.earliest_event_time(at(60)), at(60), "no stall");
    detector.tick(at(80));
    assert_eq!(detector.earliest_event_time(at(100)), at(100));
    // A stall of 0.8 s. Sockets may be polled before or after the detector's tick.
    assert_eq!(detector.earliest_event_time(at(900)), at(80));
    detector.tick(at(901));
    assert_eq!(detector.earliest_event_time(at(902)), at(80));
    assert_eq!(detector.earliest_event_time(at(930)), at(930), "the stall is over");
}
