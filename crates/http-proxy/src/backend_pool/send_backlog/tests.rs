use super::*;
use std::time::Duration;

const MEBIBYTE: u64 = 1 << 20;

fn unread(received: u64, count: u64, not_arrived: Option<u64>, at: Instant) -> UnreadBody {
    UnreadBody { last_arrival: at, count, received, not_arrived }
}

/// Guards against a deadline that moves on with each part that the backend makes room for.
#[test]
fn body_that_waited_as_a_whole_was_written_when_the_window_filled() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    for total in [None, Some(6 * MEBIBYTE)] {
        let mut backlog = SendBacklog::default();
        for step in 0..=40 {
            let received = 2 * MEBIBYTE + step * MEBIBYTE / 10;
            let not_arrived = total.map(|total| total - received);
            backlog.record(&unread(received, MEBIBYTE, not_arrived, at(step * 100)));
            assert_eq!(backlog.earliest_end(), Some(at(0)), "step {step}");
        }
    }
}

#[test]
fn bytes_beyond_a_send_buffer_were_written_later() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut backlog = SendBacklog::default();
    for second in 0..32 {
        backlog.record(&unread(second * MEBIBYTE, MEBIBYTE, None, at(second * 1_000)));
    }
    assert_eq!(backlog.earliest_end(), Some(at(27_000)));
    assert!(backlog.samples.len() <= 5, "memory is bounded");
    // The end of a body of known length can't have been written before room for it was made.
    backlog.record(&unread(32 * MEBIBYTE, MEBIBYTE, Some(8 * MEBIBYTE), at(32_000)));
    assert_eq!(backlog.earliest_end(), None);
    backlog.clear();
    assert_eq!(backlog.earliest_end(), None);
}

#[test]
fn nothing_waits_before_an_open_window() {
    let now = Instant::now();
    let mut backlog = SendBacklog::default();
    backlog.record(&unread(MEBIBYTE, MIN_WINDOW_BYTES - 1, None, now));
    assert_eq!(backlog.earliest_end(), None);
}
