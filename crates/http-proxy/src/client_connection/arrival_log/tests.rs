use super::*;
use std::time::Duration;

#[test]
fn bytes_that_wait_to_be_read_keep_the_time_of_their_arrival() {
    let began = Instant::now();
    let at = |ms: u64| began + Duration::from_millis(ms);
    let mut log = ArrivalLog::default();
    assert_eq!((log.unread(), log.read(0)), (None, None));
    log.record(100, at(0));
    log.record(100, at(5));
    log.record(250, at(40));
    assert_eq!(log.unread(), Some(UnreadBytes { count: 250, last_arrival: at(40), received: 250 }));
    assert_eq!(log.read(60), Some(at(0)));
    assert_eq!(log.read(60), Some(at(40)), "a part of the second sample");
    assert_eq!(log.read(130), Some(at(40)));
    assert_eq!(log.unread(), None);
    assert_eq!(log.read(10), None, "bytes that no sample covers");
}

#[test]
fn memory_is_bounded_and_no_byte_counts_as_arrived_too_late() {
    let began = Instant::now();
    let mut log = ArrivalLog::default();
    for n in 1..=1_000 {
        log.record(n, began + Duration::from_millis(n));
    }
    assert_eq!(log.samples.len(), MAX_SAMPLES);
    for n in 1..=1_000 {
        assert!(log.read(1).expect("a sample") <= began + Duration::from_millis(n));
    }
}
