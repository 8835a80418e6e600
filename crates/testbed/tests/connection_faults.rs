//! Connection faults at healthy backends: the proxy must not take them for failing backends and eject these.
//! The tests check counts of events: outcomes of attempts, ejections, and violations of the rules. Before the
//! balancer weighed evidence, it ejected healthy backends 8 to 17 times in the cases with a
//! constant fault rate.

use balancer::api::Outcome;
use testbed::connection_fault_matrix::{Case, Pattern, Row};
use testbed::script::BackendFaultKind;

/// Runs a case with six backends and about 360 requests.
fn run(kind: BackendFaultKind, pattern: Pattern) -> Row {
    let case = Case { kind, pattern, backends: 6, seconds: 4.0, seed: 20_261_201 };
    let row = case.run().expect("a completed case");
    println!("{row}");
    assert!(row.result.check_report.is_clean(), "{row}\n{}", row.result.check_report);
    row
}

fn outcome_count(row: &Row, outcome: Outcome) -> u64 {
    row.result.outcomes[outcome as usize]
}

/// Enough faults were injected, and the proxy tolerated them: few ejections and rejections, and nearly all
/// requests served.
fn assert_tolerated(row: &Row) {
    assert!(row.result.fault_hits >= 20, "{row}");
    assert!(row.result.ejections <= 4, "{row}");
    let total = &row.result.check_report.total;
    assert!(
        total.rejected * 50 <= total.requests,
        "requests were rejected although backends had capacity: {row}"
    );
    assert!((total.in_time + total.late) * 20 >= total.requests * 19, "{row}");
}

#[test]
fn resets_of_running_requests_do_not_eject_healthy_backends() {
    let row = run(BackendFaultKind::Reset, Pattern::Steady(0.1));
    assert_tolerated(&row);
    assert!(outcome_count(&row, Outcome::Reset) >= 20, "reset attempts may have run: {row}");
}

#[test]
fn resets_of_arriving_requests_do_not_eject_healthy_backends() {
    let row = run(BackendFaultKind::ResetRequest, Pattern::Steady(0.1));
    assert_tolerated(&row);
    assert!(outcome_count(&row, Outcome::Reset) + outcome_count(&row, Outcome::ConnectFailed) >= 20, "{row}");
}

#[test]
fn truncated_responses_do_not_eject_healthy_backends() {
    let row = run(BackendFaultKind::BreakAnswer, Pattern::Steady(0.1));
    assert_tolerated(&row);
    assert!(outcome_count(&row, Outcome::Reset) >= 20, "{row}");
}

#[test]
fn closes_after_responses_lose_few_requests() {
    let row = run(BackendFaultKind::CloseAfter, Pattern::Steady(0.2));
    assert_tolerated(&row);
    let lost = outcome_count(&row, Outcome::Reset) + outcome_count(&row, Outcome::ConnectFailed);
    assert!(
        lost * 10 <= row.result.fault_hits,
        "too many requests were written to a closing connection: {row}"
    );
}

#[test]
fn resets_of_new_connections_do_not_eject_healthy_backends() {
    let row = run(BackendFaultKind::ResetNew, Pattern::Steady(0.1));
    // A request that was written before the proxy noticed the reset may have run.
    let lost = outcome_count(&row, Outcome::Reset) + outcome_count(&row, Outcome::ConnectFailed);
    assert!(row.result.fault_hits >= 1 && lost >= 1, "{row}");
    assert!(row.result.ejections <= 2, "{row}");
}

#[test]
fn silent_reused_connections_do_not_eject_healthy_backends() {
    let row = run(BackendFaultKind::Silence, Pattern::Steady(0.1));
    assert_tolerated(&row);
    assert!(
        outcome_count(&row, Outcome::Timeout) >= 20,
        "each times out early enough for another attempt: {row}"
    );
}

#[test]
fn late_reads_from_new_connections_cause_no_ejection_or_failure() {
    let row = run(BackendFaultKind::AcceptLate, Pattern::Steady(0.5));
    let total = &row.result.check_report.total;
    assert!(row.result.fault_hits >= 1, "{row}");
    assert_eq!((row.result.ejections, total.rejected, total.failed), (0, 0, 0), "{row}");
}
