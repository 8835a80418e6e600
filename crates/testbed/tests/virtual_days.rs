//! Scenarios in virtual time: the rules hold, and the same seed gives the same result.

use std::path::Path;
use testbed::script::{BackendFaultKind, InitialList, ProcessFault, ProcessFaultKind, Script};
use testbed::virtual_time::run;

fn script(name: &str) -> Script {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("scripts").join(name);
    Script::read(&path).expect("a valid script")
}

/// A script, shortened to a fraction of its time so that a debug build runs it in seconds.
fn shortened_script(name: &str, fraction: f64) -> Script {
    let mut script = script(name);
    script.seconds *= fraction;
    for fault in &mut script.backend_faults {
        fault.at_s *= fraction;
        fault.for_s *= fraction;
    }
    script
}

#[test]
fn fleet_of_300_backends_and_50_proxies_keeps_the_rules_and_gives_the_same_result_twice() {
    let script = shortened_script("fleet-300.toml", 0.25);
    let (first, second) = (run(&script).expect("a completed run"), run(&script).expect("a completed run"));
    assert!(first.check_report.is_clean(), "{}", first.check_report);
    assert_eq!(first.open_at_end, 0);
    assert!(first.leases.granted > 1_000 && first.leases.expired > 0, "{:?}", first.leases);
    assert_eq!(first, second, "the same seed gives the same result");
}

#[test]
fn thirty_backends_keep_the_rules_with_many_seeds() {
    let mut script = shortened_script("crash-30.toml", 0.5);
    script.traffic.leased_fraction = 0.3;
    script.traffic.lost_report_fraction = 0.05;
    script.traffic.delayed_send_fraction = 0.1;
    for seed in 1..=8 {
        script.seed = seed;
        let report = run(&script).expect("a completed run");
        assert!(report.check_report.is_clean(), "seed {seed}: {}", report.check_report);
        assert_eq!(report.open_at_end, 0, "seed {seed}");
        assert!(report.check_report.total.goodput() > 0.5, "seed {seed}: {}", report.check_report);
    }
}

#[test]
fn every_kind_of_fault_at_half_the_fleet_keeps_the_rules() {
    for what in [
        BackendFaultKind::Crash,
        BackendFaultKind::Hang,
        BackendFaultKind::Pause,
        BackendFaultKind::Slow,
        BackendFaultKind::Reset,
        BackendFaultKind::Spoil,
        BackendFaultKind::Drain,
        BackendFaultKind::DiscoveryDown,
    ] {
        let mut script = shortened_script("crash-30.toml", 0.3);
        script.backend_faults.truncate(1);
        let fault = &mut script.backend_faults[0];
        (fault.kind, fault.fraction) = (what, 0.5);
        fault.severity = if what == BackendFaultKind::Slow { 4.0 } else { 0.5 };
        let report = run(&script).expect("a completed run");
        assert!(report.check_report.is_clean(), "{what:?}: {}", report.check_report);
        assert_eq!(report.open_at_end, 0, "{what:?}");
        // The fault had an effect: the same scenario without it has a better result.
        let mut without_fault = script.clone();
        without_fault.backend_faults.clear();
        let (without_fault, with_fault) =
            (run(&without_fault).expect("a completed run").check_report, report.check_report);
        // Discovery that is down has no effect while no backend changes.
        let harm = with_fault.total.goodput() < without_fault.total.goodput()
            || with_fault.percentile(0.99) > without_fault.percentile(0.99);
        assert!(
            harm || what == BackendFaultKind::DiscoveryDown,
            "{what:?} had no effect: {with_fault}\n{without_fault}"
        );
    }
}

/// A scenario of six seconds with 200 proxies and one process fault.
fn script_with_process_fault(what: ProcessFaultKind, part: f64, list: InitialList) -> Script {
    let mut script = script("spread-200.toml");
    (script.seconds, script.fleet.notification_delay_s) = (6.0, 0.1);
    script.process_faults = vec![ProcessFault {
        kind: what,
        at_s: 2.0,
        for_s: 1.0,
        fraction: part,
        waves: 1,
        wave_s: 0.0,
        every_s: 0.0,
        list,
    }];
    script
}

#[test]
fn killed_stopped_and_terminated_processes_come_back_without_a_violation() {
    for (what, part, list) in [
        (ProcessFaultKind::Kill, 0.7, InitialList::Stale),
        (ProcessFaultKind::Kill, 0.7, InitialList::Empty),
        (ProcessFaultKind::Stall, 0.33, InitialList::Stale),
        (ProcessFaultKind::Terminate, 0.1, InitialList::Stale),
    ] {
        let script = script_with_process_fault(what, part, list);
        let report = run(&script).expect("a completed run");
        let total = &report.check_report.total;
        assert!(report.check_report.is_clean(), "{what:?}: {}", report.check_report);
        let without_fault = run(&Script { process_faults: Vec::new(), ..script.clone() })
            .expect("a completed run")
            .check_report
            .total;
        let harm = without_fault.goodput() - total.goodput();
        assert!(harm > 0.0 || what == ProcessFaultKind::Terminate, "{what:?} had no effect: {harm}");
        assert_eq!(
            total.excused + total.undelivered > 0,
            what == ProcessFaultKind::Kill,
            "{what:?}: {}",
            report.check_report
        );
        assert_eq!(report, run(&script).expect("a completed run"), "the same seed gives the same result");
    }
}
