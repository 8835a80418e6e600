use super::*;
use proptest::prelude::*;

const SECOND: Micros = 1_000_000;
/// An arbitrary time on this proxy's clock.
const NOW: Micros = 1_796_000_000 * SECOND;
const NOW_MS: u64 = NOW / 1_000;
const HOUR_MS: u64 = 3_600_000;

fn starts() -> StartTimes {
    StartTimes::new(&safety(0.33, 8 * SECOND))
}

pub fn safety(initial_capacity: f64, warm_up_us: Micros) -> SafetyLimits {
    let text = format!(
        r#"{{"balancers": 1, "me": 0, "zone": 0, "membershipMode": "pushed", "classes": [{{"aimUs": 1, "deadlineUs": 1,
        "worth": 1, "effect": "retryable"}}], "permissions": {{"maxAttempts": 1}},
        "safety": {{"coldFrom": {initial_capacity}, "coldUs": {warm_up_us}, "fallMultiple": 3, "fallUs": 1}}}}"#
    );
    settings::parse_settings(text.as_bytes()).expect("settings").safety
}

#[test]
fn uses_the_reported_start_when_clocks_agree() {
    let mut starts = starts();
    assert_eq!(starts.started_at(NOW, 1, 0, NOW_MS), None, "long ago");
    assert_eq!(starts.started_at(NOW, 2, NOW_MS - 2_500, NOW_MS - 2_500), Some(NOW - 2_500_000));
    // A snapshot: the latest start is recent, and another one was long before it.
    assert_eq!(starts.started_at(NOW, 3, NOW_MS - 60_000, NOW_MS - 500), Some(NOW - 60 * SECOND));
    assert_eq!(starts.started_at(NOW, 4, NOW_MS + 300, NOW_MS + 300), Some(NOW), "a little ahead");
}

#[test]
fn a_start_reported_by_a_clock_an_hour_behind_is_bounded_by_its_first_report() {
    let mut starts = starts();
    let reported = NOW_MS - HOUR_MS;
    let first = starts.started_at(NOW, 1, reported, reported).expect("a start");
    assert!((NOW - 4 * SECOND..=NOW).contains(&first));
    // Neither another list nor a temporary removal changes the start.
    assert_eq!(starts.started_at(NOW + 5 * SECOND, 1, reported, reported), Some(first));
    starts.expire_removed(NOW + 6 * SECOND, |_| false);
    assert_eq!(starts.started_at(NOW + 60 * SECOND, 1, reported, reported), Some(first));
    // Earlier start times in the same list precede it by the reported difference.
    assert_eq!(starts.started_at(NOW, 2, reported - 20_000, reported), Some(first - 20 * SECOND));
}

#[test]
fn a_start_reported_by_a_clock_an_hour_ahead_is_bounded_by_its_first_report() {
    let mut starts = starts();
    let reported = NOW_MS + HOUR_MS;
    let newest = starts.started_at(NOW, 1, reported, reported).expect("a start");
    assert!((NOW - 4 * SECOND..=NOW).contains(&newest));
    assert_eq!(
        starts.started_at(NOW, 2, reported - 600_000, reported),
        Some(newest - 600 * SECOND),
        "warmed up"
    );
}

#[test]
fn drops_starts_of_backends_removed_long_ago() {
    let mut starts = starts();
    starts.started_at(NOW, 1, NOW_MS, NOW_MS);
    starts.expire_removed(NOW, |_| false);
    starts.expire_removed(NOW + REMOVED_RETENTION - 1, |_| false);
    assert!(starts.is_known(1, NOW_MS));
    starts.expire_removed(NOW + REMOVED_RETENTION, |_| false);
    assert!(!starts.is_known(1, NOW_MS));
}

#[test]
fn bounds_the_number_of_retained_removed_backends() {
    let mut starts = starts();
    for id in 0..2 * MAX_RETAINED_REMOVED as u32 {
        let now = NOW + u64::from(id);
        starts.started_at(now, id, NOW_MS, NOW_MS);
        starts.expire_removed(now, |listed| listed == 0);
    }
    assert!(starts.known.len() <= MAX_RETAINED_REMOVED + 1, "{}", starts.known.len());
    assert!(starts.is_known(0, NOW_MS), "it is listed");
}

proptest! {
    /// A backend that has just started counts for at most twice the initial capacity in the settings, and its
    /// start time is never in the future.
    #[test]
    fn no_clock_difference_makes_a_restarted_backend_count_as_warmed_up(
        reported in 1_u64..2 * NOW_MS, initial_capacity in 0.01_f64..0.99, warm_up_us in 1_u64..60 * SECOND,
    ) {
        let mut starts = StartTimes::new(&safety(initial_capacity, warm_up_us));
        let started_at = starts.started_at(NOW, 1, reported, reported).expect("a start");
        prop_assert!(started_at <= NOW);
        let age = ((NOW - started_at) as f64 / warm_up_us as f64).min(1.0);
        let capacity = initial_capacity + (1.0 - initial_capacity) * age;
        prop_assert!(capacity <= 2.0 * initial_capacity + 1e-5 || capacity <= 1.0 + 1e-9 && initial_capacity >= 0.5, "{capacity} of {initial_capacity}");
    }
}
