//! Scenarios on loopback sockets with real proxies. The machine may add a second of delay: the tests check
//! which events were observed, not how fast.

use std::path::Path;
use testbed::script::{BackendFaultKind, Script};
use testbed::sockets;

/// Scheduling delay that the machine may add, microseconds.
const SLACK: u64 = 1_000_000;

/// A shortened crash and drain scenario with two proxies.
fn short_scenario(backends: usize, per_s: f64) -> Script {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("scripts/crash-30.toml");
    let mut script = Script::read(&path).expect("a valid script");
    (script.fleet.backends, script.fleet.proxies, script.seconds) = (backends, 2, 5.0);
    script.traffic.per_s = per_s;
    for fault in &mut script.backend_faults {
        (fault.at_s, fault.for_s, fault.fraction) = (fault.at_s / 5.0, 1.5, 0.3);
    }
    script
}

#[test]
fn holds_rules_with_crashing_and_draining_backends() {
    let mut reports = Vec::new();
    let script = short_scenario(10, 60.0);
    let check_report = sockets::run(&script, SLACK, |report| reports.push(report.clone()))
        .expect("a completed run")
        .check_report;
    assert!(check_report.is_clean(), "{check_report}");
    assert!(check_report.total.requests > 200 && check_report.total.goodput() > 0.3, "{check_report}");
    assert!(reports.iter().any(|report| report.up == 7), "three were down: {reports:?}");
    assert!(reports.iter().any(|report| report.draining == 3), "three drained: {reports:?}");
    assert!(reports.iter().any(|report| !report.limits.is_empty()));
}

#[test]
fn holds_rules_with_hanging_and_malformed_backends() {
    let mut script = short_scenario(10, 60.0);
    let mut second_faults = script.backend_faults.clone();
    script.backend_faults.append(&mut second_faults);
    for (fault, kind) in script.backend_faults.iter_mut().zip([
        BackendFaultKind::Hang,
        BackendFaultKind::Reset,
        BackendFaultKind::Spoil,
        BackendFaultKind::Pause,
    ]) {
        (fault.kind, fault.severity) = (kind, 0.5);
    }
    let check_report = sockets::run(&script, SLACK, |_| ()).expect("a completed run").check_report;
    assert!(check_report.is_clean(), "{check_report}");
    // The faults had an effect: some requests took more than one attempt.
    assert!(
        check_report.total.attempts > check_report.total.in_time + check_report.total.late,
        "{check_report}"
    );
}
