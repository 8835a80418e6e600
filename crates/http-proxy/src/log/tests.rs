use super::*;

#[test]
fn a_flood_of_lines_is_cut_off_and_counted() {
    let (lines, began) = (Cell::default(), Instant::now());
    let written = (0..250).filter(|_| admit(began, &lines).is_some()).count();
    assert_eq!(written as u32, LINES_A_SECOND);
    assert_eq!(admit(began + Duration::from_secs(2), &lines), Some(150));
    assert_eq!(admit(began + Duration::from_secs(2), &lines), Some(0));
}

#[test]
fn failures_of_one_kind_are_told_at_once_and_then_in_sums() {
    let (failures, began) = (FailureLog::of("accept"), Instant::now());
    assert_eq!(failures.due(began), Some(1));
    let soon = (0..300).filter_map(|_| failures.due(began + Duration::from_secs(1))).count();
    assert_eq!(soon, 0);
    assert_eq!(failures.due(began + SUM_INTERVAL), Some(301));
    assert_eq!(failures.due(began + 3 * SUM_INTERVAL), Some(1));
}
