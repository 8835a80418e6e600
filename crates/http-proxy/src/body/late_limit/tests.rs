use super::*;
use proptest::prelude::*;

/// The rate that slow peers send at, in bytes per second.
const SLOW_PEER_RATE: u64 = 64_000;
/// After this time a late response counts as lost.
const LATENESS_LIMIT: Duration = Duration::from_millis(500);

proptest! {
    /// Guards against responses that never end: each part that arrived extended their time.
    #[test]
    fn response_that_drips_after_the_deadline_ends_before_it_counts_as_lost(
        before in 0_u64..58_000, part in 1_u64..300, pause_ms in 20_u64..450,
    ) {
        let start = Instant::now();
        let mut limit = LateLimit::new(start, before);
        let mut now = start;
        while limit.end().is_some_and(|end| now < end) && now < start + LATENESS_LIMIT * 2 {
            now += Duration::from_millis(pause_ms);
            limit.receive(part);
        }
        prop_assert!(limit.end().is_some_and(|end| end < start + LATENESS_LIMIT));
    }

    #[test]
    fn large_response_at_the_rate_of_slow_peers_is_never_cut_off(
        before_ms in 0_u64..1_000, part_ms in 1_u64..300,
    ) {
        let part = SLOW_PEER_RATE * part_ms / 1_000;
        let mut now = Instant::now();
        let mut arrival = ResponseArrival::new(now);
        arrival.receive(now, part as usize);
        for _ in 0..before_ms / part_ms {
            now += Duration::from_millis(part_ms);
            prop_assert!(arrival.may_be_large(now) && arrival.is_active(now));
            arrival.receive(now, part as usize);
        }
        let mut limit = LateLimit::new(now, arrival.bytes);
        while let Some(end) = limit.end() {
            now += Duration::from_millis(part_ms);
            prop_assert!(now < end);
            limit.receive(part);
        }
    }
}

#[test]
fn response_that_drips_is_not_taken_for_a_large_one() {
    let start = Instant::now();
    let mut arrival = ResponseArrival::new(start);
    assert!(!arrival.may_be_large(start) && !arrival.is_active(start));
    for step in 0..10 {
        arrival.receive(start + Duration::from_millis(100) * step, 64);
    }
    let deadline = start + Duration::from_secs(1);
    assert!(arrival.is_active(deadline) && !arrival.may_be_large(deadline));
}
