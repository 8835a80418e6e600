use super::*;
use proptest::prelude::*;

/// When a response is cut off that sends this much at once and then this many bytes a second; `None` if it is not
/// within `time`.
fn cut_off_after(burst: u64, bytes_per_second: u64, time: Duration) -> Option<Duration> {
    let step = Duration::from_millis(25);
    let start = Instant::now();
    let limit = FinalResponseLimit::new(start, SentBytes { forwarded: 90_000, acknowledged: 0 });
    let step_count = time.as_millis() / step.as_millis();
    (1..=step_count as u32).map(|count| step * count).find(|after| {
        let bytes = burst + bytes_per_second * after.as_millis() as u64 / 1_000;
        limit.is_exceeded(start + *after, SentBytes { forwarded: 90_000, acknowledged: bytes })
    })
}

proptest! {
    #[test]
    fn response_at_the_rate_of_slow_peers_is_not_cut_off(rate in 64_000_u64..10_000_000, burst in 0_u64..100_000) {
        prop_assert_eq!(cut_off_after(burst, rate, Duration::from_secs(60)), None);
    }

    /// Guards against a process that does not end beside a response that drips.
    #[test]
    fn response_that_drips_is_cut_off(rate in 0_u64..16_000) {
        prop_assert!(cut_off_after(0, rate, MAX_PAUSE * 2 + Duration::from_millis(25)).is_some());
    }
}

#[test]
fn response_that_never_ends_is_cut_off_at_any_rate() {
    assert!(cut_off_after(0, 10_000_000, MAX_FINAL_RESPONSE_TIME).is_some());
}
