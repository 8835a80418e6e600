//! Connections that break before healthy boxes. What counts is events: which outcomes the decisions were
//! told, how many servers were ejected although none was sick, and that the rules held. On the decisions
//! before they weighed evidence the steady cases ejected healthy boxes 8 to 17 times.

use balancer::api::Outcome;
use testbed::connection_fault_matrix::{Case, Pattern, Row};
use testbed::script::BackendFaultKind;

/// Six boxes, some 360 requests.
fn play(what: BackendFaultKind, pattern: Pattern) -> Row {
    let case = Case { what, pattern, boxes: 6, seconds: 4.0, seed: 20_261_201 };
    let row = case.play().expect("it plays");
    println!("{row}");
    assert!(row.day.judgement.is_clean(), "{row}\n{}", row.day.judgement);
    row
}

fn told(row: &Row, outcome: Outcome) -> u64 {
    row.day.outcomes[outcome as usize]
}

/// Hits enough to judge by, few ejections, and nearly all that may be repeated served.
fn is_borne(row: &Row) {
    assert!(row.day.fault_hits >= 20, "{row}");
    assert!(row.day.ejections <= 4, "{row}");
    let all = &row.day.judgement.total;
    assert!(all.rejected * 50 <= all.requests, "boxes with room were passed over: {row}");
    assert!((all.in_time + all.late) * 20 >= all.requests * 19, "{row}");
}

#[test]
fn resets_under_requests_are_no_sick_boxes() {
    let row = play(BackendFaultKind::Reset, Pattern::Steady(0.1));
    is_borne(&row);
    assert!(told(&row, Outcome::Reset) >= 20, "they may have run: {row}");
}

#[test]
fn resets_while_requests_come_are_no_sick_boxes() {
    let row = play(BackendFaultKind::ResetRequest, Pattern::Steady(0.1));
    is_borne(&row);
    assert!(told(&row, Outcome::Reset) + told(&row, Outcome::ConnectFailed) >= 20, "{row}");
}

#[test]
fn answers_that_break_off_are_no_sick_boxes() {
    let row = play(BackendFaultKind::BreakAnswer, Pattern::Steady(0.1));
    is_borne(&row);
    assert!(told(&row, Outcome::Reset) >= 20, "{row}");
}

#[test]
fn closes_behind_answers_cost_next_to_nothing() {
    let row = play(BackendFaultKind::CloseAfter, Pattern::Steady(0.2));
    is_borne(&row);
    let lost = told(&row, Outcome::Reset) + told(&row, Outcome::ConnectFailed);
    assert!(
        lost * 10 <= row.day.fault_hits,
        "few requests were written to a connection that was closing: {row}"
    );
}

#[test]
fn new_connections_that_are_reset_are_no_sick_boxes() {
    let row = play(BackendFaultKind::ResetNew, Pattern::Steady(0.1));
    // A request that was written before the reset was seen may have run.
    let lost = told(&row, Outcome::Reset) + told(&row, Outcome::ConnectFailed);
    assert!(row.day.fault_hits >= 1 && lost >= 1, "{row}");
    assert!(row.day.ejections <= 2, "{row}");
}

#[test]
fn kept_connections_that_fall_silent_are_no_sick_boxes() {
    let row = play(BackendFaultKind::Silence, Pattern::Steady(0.1));
    is_borne(&row);
    assert!(told(&row, Outcome::Timeout) >= 20, "each is given up in time for another attempt: {row}");
}

#[test]
fn new_connections_that_are_read_late_cost_time_and_nothing_else() {
    let row = play(BackendFaultKind::AcceptLate, Pattern::Steady(0.5));
    let all = &row.day.judgement.total;
    assert!(row.day.fault_hits >= 1, "{row}");
    assert_eq!((row.day.ejections, all.rejected, all.failed), (0, 0, 0), "{row}");
}
