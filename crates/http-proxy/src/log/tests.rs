use super::*;

#[test]
fn drops_and_counts_lines_beyond_the_rate_limit() {
    let (count, began) = (Cell::default(), Instant::now());
    let allowed = (0..250).filter(|_| allow_line(began, &count).is_some()).count();
    assert_eq!(allowed as u32, MAX_LINES_PER_SECOND);
    assert_eq!(allow_line(began + Duration::from_secs(2), &count), Some(150));
    assert_eq!(allow_line(began + Duration::from_secs(2), &count), Some(0));
}

#[test]
fn logs_the_first_failure_at_once_and_later_ones_as_a_sum() {
    let (failures, began) = (FailureLog::new("accept"), Instant::now());
    assert_eq!(failures.count(began), Some(1));
    let logged = (0..300).filter_map(|_| failures.count(began + Duration::from_secs(1))).count();
    assert_eq!(logged, 0);
    assert_eq!(failures.count(began + SUMMARY_INTERVAL), Some(301));
    assert_eq!(failures.count(began + 3 * SUMMARY_INTERVAL), Some(1));
}
