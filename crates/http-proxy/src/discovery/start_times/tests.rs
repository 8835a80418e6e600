use super::*;
use proptest::prelude::*;

const SECOND: Micros = 1_000_000;
/// Some time on this proxy's clock.
const NOW: Micros = 1_796_000_000 * SECOND;
const NOW_MS: u64 = NOW / 1_000;
const HOUR_MS: u64 = 3_600_000;

fn starts() -> StartTimes {
    StartTimes::new(&safety(0.33, 8 * SECOND))
}

pub fn safety(cold_from: f64, cold_time: Micros) -> SafetyLimits {
    let text = format!(
        r#"{{"balancers": 1, "me": 0, "zone": 0, "membershipMode": "pushed", "classes": [{{"aimUs": 1, "deadlineUs": 1,
        "worth": 1, "effect": "retryable"}}], "permissions": {{"maxAttempts": 1}},
        "safety": {{"coldFrom": {cold_from}, "coldUs": {cold_time}, "fallMultiple": 3, "fallUs": 1}}}}"#
    );
    settings::parse_settings(text.as_bytes()).expect("settings").safety
}

#[test]
fn clocks_that_agree_are_believed() {
    let mut starts = starts();
    assert_eq!(starts.place(NOW, 1, 0, NOW_MS), None, "long ago");
    assert_eq!(starts.place(NOW, 2, NOW_MS - 2_500, NOW_MS - 2_500), Some(NOW - 2_500_000));
    // A whole list: the youngest started a moment ago, another one long before.
    assert_eq!(starts.place(NOW, 3, NOW_MS - 60_000, NOW_MS - 500), Some(NOW - 60 * SECOND));
    assert_eq!(starts.place(NOW, 4, NOW_MS + 300, NOW_MS + 300), Some(NOW), "a little ahead");
}

#[test]
fn a_start_that_is_told_by_a_clock_an_hour_behind_is_as_young_as_its_news() {
    let mut starts = starts();
    let told = NOW_MS - HOUR_MS;
    let first = starts.place(NOW, 1, told, told).expect("a start");
    assert!((NOW - 4 * SECOND..=NOW).contains(&first));
    // It does not start anew with each list, nor when it has left the list for a while.
    assert_eq!(starts.place(NOW + 5 * SECOND, 1, told, told), Some(first));
    starts.forget(NOW + 6 * SECOND, |_| false);
    assert_eq!(starts.place(NOW + 60 * SECOND, 1, told, told), Some(first));
    // The others of its list are older than it by as much as they are told to be.
    assert_eq!(starts.place(NOW, 2, told - 20_000, told), Some(first - 20 * SECOND));
}

#[test]
fn a_start_that_is_told_by_a_clock_an_hour_ahead_is_as_young_as_its_news() {
    let mut starts = starts();
    let told = NOW_MS + HOUR_MS;
    let youngest = starts.place(NOW, 1, told, told).expect("a start");
    assert!((NOW - 4 * SECOND..=NOW).contains(&youngest));
    assert_eq!(starts.place(NOW, 2, told - 600_000, told), Some(youngest - 600 * SECOND), "warm since long");
}

#[test]
fn those_that_left_long_ago_are_forgotten() {
    let mut starts = starts();
    starts.place(NOW, 1, NOW_MS, NOW_MS);
    starts.forget(NOW, |_| false);
    starts.forget(NOW + REMEMBERED - 1, |_| false);
    assert!(starts.is_known(1, NOW_MS));
    starts.forget(NOW + REMEMBERED, |_| false);
    assert!(!starts.is_known(1, NOW_MS));
}

#[test]
fn so_many_that_left_are_remembered_and_no_more() {
    let mut starts = starts();
    for id in 0..2 * MAX_REMEMBERED as u32 {
        let now = NOW + u64::from(id);
        starts.place(now, id, NOW_MS, NOW_MS);
        starts.forget(now, |listed| listed == 0);
    }
    assert!(starts.known.len() <= MAX_REMEMBERED + 1, "{}", starts.known.len());
    assert!(starts.is_known(0, NOW_MS), "it is listed");
}

proptest! {
    /// Whatever the clocks show, a backend that has just started is never taken for more than twice the capacity that the
    /// settings say it begins with, and never for one of the future.
    #[test]
    fn no_clock_makes_a_young_backend_warm(
        told in 1_u64..2 * NOW_MS, cold_from in 0.01_f64..0.99, cold_time in 1_u64..60 * SECOND,
    ) {
        let mut starts = StartTimes::new(&safety(cold_from, cold_time));
        let started = starts.place(NOW, 1, told, told).expect("a start");
        prop_assert!(started <= NOW);
        let age = ((NOW - started) as f64 / cold_time as f64).min(1.0);
        let part = cold_from + (1.0 - cold_from) * age;
        prop_assert!(part <= 2.0 * cold_from + 1e-5 || part <= 1.0 + 1e-9 && cold_from >= 0.5, "{part} of {cold_from}");
    }
}
