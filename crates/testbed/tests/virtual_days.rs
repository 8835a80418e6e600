//! Days in virtual time: the rules hold, and the same seed gives the same day.

use std::path::Path;
use testbed::script::{BackendFaultKind, InitialList, ProcessFault, ProcessFaultKind, Script};
use testbed::virtual_time::play;

fn script(name: &str) -> Script {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("scripts").join(name);
    Script::read(&path).expect("a good script")
}

/// The day of a script, shortened so that a debug build plays it in seconds.
fn short(name: &str, part: f64) -> Script {
    let mut script = script(name);
    script.seconds *= part;
    for trouble in &mut script.backend_faults {
        trouble.at_s *= part;
        trouble.for_s *= part;
    }
    script
}

#[test]
fn a_fleet_of_300_boxes_and_50_proxies_keeps_the_rules_twice_alike() {
    let script = short("fleet-300.toml", 0.25);
    let (first, second) = (play(&script).expect("it plays"), play(&script).expect("it plays"));
    assert!(first.judgement.is_clean(), "{}", first.judgement);
    assert_eq!(first.left_open, 0);
    assert!(first.leases.granted > 1_000 && first.leases.expired > 0, "{:?}", first.leases);
    assert_eq!(first, second, "the same seed, the same day");
}

#[test]
fn thirty_boxes_keep_the_rules_on_many_seeds() {
    let mut script = short("crash-30.toml", 0.5);
    script.traffic.leased = 0.3;
    script.traffic.lost_reports = 0.05;
    script.traffic.slow_callers = 0.1;
    for seed in 1..=8 {
        script.seed = seed;
        let report = play(&script).expect("it plays");
        assert!(report.judgement.is_clean(), "seed {seed}: {}", report.judgement);
        assert_eq!(report.left_open, 0, "seed {seed}");
        assert!(report.judgement.total.goodput() > 0.5, "seed {seed}: {}", report.judgement);
    }
}

#[test]
fn every_kind_of_trouble_on_half_the_fleet_keeps_the_rules() {
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
        let mut script = short("crash-30.toml", 0.3);
        script.backend_faults.truncate(1);
        let trouble = &mut script.backend_faults[0];
        (trouble.what, trouble.part) = (what, 0.5);
        trouble.degree = if what == BackendFaultKind::Slow { 4.0 } else { 0.5 };
        let report = play(&script).expect("it plays");
        assert!(report.judgement.is_clean(), "{what:?}: {}", report.judgement);
        assert_eq!(report.left_open, 0, "{what:?}");
        // The trouble was there: a calm day is better.
        let mut calm = script.clone();
        calm.backend_faults.clear();
        let (calm, rough) = (play(&calm).expect("it plays").judgement, report.judgement);
        // A silent discovery does none while no box changes.
        let harm =
            rough.total.goodput() < calm.total.goodput() || rough.percentile(0.99) > calm.percentile(0.99);
        assert!(harm || what == BackendFaultKind::DiscoveryDown, "{what:?} did no harm: {rough}\n{calm}");
    }
}

/// Two hundred proxies, a second long before and after, and one fault of processes.
fn with_fault(what: ProcessFaultKind, part: f64, list: InitialList) -> Script {
    let mut script = script("spread-200.toml");
    (script.seconds, script.fleet.notification_delay_s) = (6.0, 0.1);
    script.process_faults =
        vec![ProcessFault { what, at_s: 2.0, for_s: 1.0, part, waves: 1, wave_s: 0.0, every_s: 0.0, list }];
    script
}

#[test]
fn processes_that_are_killed_stopped_or_told_to_end_come_back_and_no_rule_breaks() {
    for (what, part, list) in [
        (ProcessFaultKind::Kill, 0.7, InitialList::Old),
        (ProcessFaultKind::Kill, 0.7, InitialList::Nothing),
        (ProcessFaultKind::Stall, 0.33, InitialList::Old),
        (ProcessFaultKind::End, 0.1, InitialList::Old),
    ] {
        let script = with_fault(what, part, list);
        let report = play(&script).expect("it plays");
        let all = &report.judgement.total;
        assert!(report.judgement.is_clean(), "{what:?}: {}", report.judgement);
        let calm =
            play(&Script { process_faults: Vec::new(), ..script.clone() }).expect("it plays").judgement.total;
        let harm = calm.goodput() - all.goodput();
        assert!(harm > 0.0 || what == ProcessFaultKind::End, "{what:?} does no harm: {harm}");
        assert_eq!(
            all.excused + all.undelivered > 0,
            what == ProcessFaultKind::Kill,
            "{what:?}: {}",
            report.judgement
        );
        assert_eq!(report, play(&script).expect("it plays"), "the same seed, the same day");
    }
}
