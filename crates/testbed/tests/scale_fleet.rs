//! A small scale run: hollow proxies, sources, relays and a real proxy as processes. Verdicts come from events and counts:
//! what the rig wrote and was acknowledged, against what each subscriber holds.

#[path = "shared/program.rs"]
mod program;

use program::{KEEPER, built, program};
use std::path::{Path, PathBuf};
use std::sync::OnceLock;
use testbed::fleet::Machine;
use testbed::scale::fleet::messages::InjectedFault;
use testbed::scale::fleet::report::Report;
use testbed::scale::fleet::script::{ScaleScript, Step, StepKind};
use testbed::scale::fleet::{RunOptions, ScaleError, play};

/// Control's program.
fn control() -> PathBuf {
    static BUILT: OnceLock<PathBuf> = OnceLock::new();
    BUILT.get_or_init(|| built("control-plane", "control-plane")).clone()
}

fn setting() -> RunOptions {
    let (control, proxy) = (control(), program());
    let machine =
        Machine { proxy, keeper: KEEPER.into(), memory_mb: 32, descriptors: 256, threads: 1, slack: 0 };
    RunOptions { control, machine, lists: Vec::new() }
}

fn small() -> ScaleScript {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("scripts/scale-small.toml");
    ScaleScript::read(&path).expect("a good script")
}

fn played(script: &ScaleScript) -> Report {
    let report = play(script, &setting()).expect("it plays to its end");
    println!("{report}");
    report
}

#[test]
fn all_hold_exactly_what_their_sources_say_after_each_fault() {
    let report = played(&small());
    assert_eq!(report.breaks, [] as [String; 0]);
    assert_eq!(report.steps.len(), 3);
    for step in &report.steps {
        assert!(step.in_force.changes > 20, "{step:?}");
        assert_eq!(step.in_force.never, 0, "{step:?}");
        let (proxies, records) = step.compared;
        assert_eq!(proxies, 500, "all were compared");
        assert_eq!(step.lists_compared, 1, "and the real proxy's list");
        assert!(records > 100 * 500, "{records} records were compared");
        assert!(step.taken.mean > 0.0 && step.relays.most_memory > 0.0, "costs were measured: {step:?}");
    }
    assert!(report.steps[2].lost > 0, "the source lost something: {:?}", report.steps[2]);
    let requests = report.requests;
    assert!(requests.served > 50, "{requests:?}");
    assert_eq!(requests.failed, 0, "{requests:?}");
}

/// Sixty hollow proxies, of which the first has a fault planted; one step.
fn planted(plant: InjectedFault, what: StepKind) -> Report {
    let mut script = small();
    script.injected_fault = plant;
    script.patience_s = 12.0;
    let size = &mut script.size;
    (size.subscribers, size.processes, size.relays, size.zones, size.real) = (60, 2, 2, 2, 0);
    (size.services, size.backends, size.services_per_proxy) = (40, 600, 12);
    script.step = vec![Step { what, seconds: 5.0, for_s: 2.0, times: 20.0, which: 0 }];
    played(&script)
}

/// The first proxy differs, nobody else does.
fn found(report: &Report, how: &str) {
    let differ: Vec<&String> = report.breaks.iter().filter(|text| text.contains("is not equal")).collect();
    assert!(!differ.is_empty(), "it was found: {:?}", report.breaks);
    assert!(differ.iter().all(|text| text.contains("proxy 0 is not equal")), "{differ:?}");
    assert!(differ.iter().any(|text| text.contains(how)), "{differ:?}");
}

#[test]
fn without_a_planted_fault_nothing_is_found() {
    let report = planted(InjectedFault::None, StepKind::SourceRestarted);
    assert_eq!(report.breaks, [] as [String; 0]);
    assert!(report.steps[0].lost > 0);
}

#[test]
fn a_change_that_is_dropped_silently_is_found() {
    let report = planted(InjectedFault::Drop, StepKind::Ordinary);
    let missed = |how| report.breaks.iter().any(|text| text.contains(how));
    found(&report, "proxy 0");
    assert!(missed("Missing") || missed("Version") || missed("NotThere"), "{:?}", report.breaks);
}

#[test]
fn a_scope_that_is_off_by_one_service_is_found() {
    found(&planted(InjectedFault::Scope, StepKind::Ordinary), "Missing");
}

#[test]
fn an_epoch_that_is_ignored_is_found() {
    let report = planted(InjectedFault::Epoch, StepKind::SourceRestarted);
    assert!(report.steps[0].lost > 0);
    found(&report, "Version");
}

#[test]
fn a_digest_that_is_never_compared_is_found() {
    found(&planted(InjectedFault::Digest, StepKind::Ordinary), "Body");
}

#[test]
fn a_program_that_does_not_come_up_is_named() {
    let setting = RunOptions { control: "/bin/false".into(), ..setting() };
    match play(&small(), &setting) {
        Err(ScaleError::Ended(name, ..)) => assert_eq!(name, "source-0"),
        other => panic!("{other:?}"),
    }
}
