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

/// A part of a response: the pause before it and its size.
type Part = (u64, usize);

/// Whether a response that stops after these parts, read in pieces of 16 KiB, is passed on at `deadline_ms`, and when
/// it ends in milliseconds; `None` if it is then known to be large.
fn play(parts: &[Part], deadline_ms: u64) -> (bool, Option<u64>) {
    let start = Instant::now();
    let deadline = start + Duration::from_millis(deadline_ms);
    let mut arrival = ResponseArrival::new(start);
    let mut late: Option<LateResponse> = None;
    let mut now = start;
    for &(pause_ms, size) in parts {
        now += Duration::from_millis(pause_ms);
        if late.is_none() && now >= deadline {
            if !arrival.may_be_large(deadline) {
                return (false, Some(deadline_ms));
            }
            late = Some(LateResponse::new(deadline, arrival));
        }
        if let Some(end) = late.and_then(|late| late.due_at()).filter(|&end| end <= now) {
            return (true, Some(end.saturating_duration_since(start).as_millis() as u64));
        }
        for piece in vec![0; size].chunks(16_384) {
            match &mut late {
                Some(late) => late.receive(now, piece.len()),
                None => arrival.receive(now, piece.len()),
            }
        }
    }
    if late.is_none() && !arrival.may_be_large(deadline) {
        return (false, Some(deadline_ms));
    }
    let due_at = late.unwrap_or_else(|| LateResponse::new(deadline, arrival)).due_at();
    (true, due_at.map(|end| end.saturating_duration_since(start).as_millis() as u64))
}

proptest! {
    /// Guards against large responses cut off in a pause: a pause is no end.
    #[test]
    fn large_response_in_parts_is_never_cut_off(
        first in 64_usize..65_000, deadline_ms in 50_u64..2_000,
        parts in proptest::collection::vec((400_u64..2_000, 17_000_usize..60_000), 6),
    ) {
        let all: Vec<Part> = [(0, first)].into_iter().chain(parts).collect();
        prop_assert_eq!(play(&all, deadline_ms).1, None);
    }

    /// Guards against responses that never end: a few bytes after each pause do not extend their time.
    #[test]
    fn response_that_drips_after_pauses_ends(
        first in 0_usize..60_000, drip in 1_usize..400, pause_ms in 300_u64..2_000, deadline_ms in 700_u64..2_000,
    ) {
        let drips = std::iter::repeat_n((pause_ms, drip), 40);
        let all: Vec<Part> = [(0, first)].into_iter().chain(drips).collect();
        let end = play(&all, deadline_ms).1.expect("an end");
        prop_assert!(end <= deadline_ms.max(pause_ms) + LATENESS_LIMIT.as_millis() as u64, "{end}");
    }
}

#[test]
fn response_that_stops_is_waited_for_as_long_as_the_way_it_arrived_allows() {
    assert_eq!(play(&[(0, 40)], 700), (false, Some(700)), "too few bytes");
    assert_eq!(play(&[(0, 1_000)], 700), (true, Some(2_200)), "perhaps the first of several parts");
    let continuous: Vec<Part> = std::iter::repeat_n((150, 12_000), 5).collect();
    assert_eq!(play(&continuous, 800), (true, Some(1_200)), "it arrived without pauses");
}
