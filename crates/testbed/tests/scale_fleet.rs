//! A small scale run: simulated proxies, sources, relays and a real proxy as processes. Results follow from events and counts:
//! the changes that the sources acknowledged, compared with the replica of each subscriber.

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

/// The control plane's executable, built once.
fn control_plane_program() -> PathBuf {
    static BUILT: OnceLock<PathBuf> = OnceLock::new();
    BUILT.get_or_init(|| built("control-plane", "control-plane")).clone()
}

fn run_options() -> RunOptions {
    let (control, proxy) = (control_plane_program(), program());
    let machine =
        Machine { proxy, keeper: KEEPER.into(), memory_mb: 32, descriptors: 256, threads: 1, slack: 0 };
    RunOptions { control, machine, lists: Vec::new() }
}

fn small_script() -> ScaleScript {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("scripts/scale-small.toml");
    ScaleScript::read(&path).expect("a good script")
}

fn play_script(script: &ScaleScript) -> Report {
    let report = play(script, &run_options()).expect("it plays to its end");
    println!("{report}");
    report
}

#[test]
fn all_replicas_match_their_sources_after_each_fault() {
    let report = play_script(&small_script());
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

/// Plays one step with sixty simulated proxies; the fault is injected into the first one.
fn play_with_fault(fault: InjectedFault, what: StepKind) -> Report {
    let mut script = small_script();
    script.injected_fault = fault;
    script.patience_s = 12.0;
    let size = &mut script.size;
    (size.subscribers, size.processes, size.relays, size.zones, size.real) = (60, 2, 2, 2, 0);
    (size.services, size.backends, size.services_per_proxy) = (40, 600, 12);
    script.step = vec![Step { what, seconds: 5.0, for_s: 2.0, times: 20.0, which: 0 }];
    play_script(&script)
}

/// Asserts that the first proxy is reported as different, and no other.
fn assert_only_first_proxy_differs(report: &Report, how: &str) {
    let differ: Vec<&String> = report.breaks.iter().filter(|text| text.contains("is not equal")).collect();
    assert!(!differ.is_empty(), "it was found: {:?}", report.breaks);
    assert!(differ.iter().all(|text| text.contains("proxy 0 is not equal")), "{differ:?}");
    assert!(differ.iter().any(|text| text.contains(how)), "{differ:?}");
}

#[test]
fn finds_no_violation_without_an_injected_fault() {
    let report = play_with_fault(InjectedFault::None, StepKind::SourceRestarted);
    assert_eq!(report.breaks, [] as [String; 0]);
    assert!(report.steps[0].lost > 0);
}

#[test]
fn finds_a_silently_dropped_change() {
    let report = play_with_fault(InjectedFault::Drop, StepKind::Ordinary);
    let missed = |how| report.breaks.iter().any(|text| text.contains(how));
    assert_only_first_proxy_differs(&report, "proxy 0");
    assert!(missed("Missing") || missed("Version") || missed("NotThere"), "{:?}", report.breaks);
}

#[test]
fn finds_a_scope_that_lacks_one_service() {
    assert_only_first_proxy_differs(&play_with_fault(InjectedFault::Scope, StepKind::Ordinary), "Missing");
}

#[test]
fn finds_an_ignored_epoch() {
    let report = play_with_fault(InjectedFault::Epoch, StepKind::SourceRestarted);
    assert!(report.steps[0].lost > 0);
    assert_only_first_proxy_differs(&report, "Version");
}

#[test]
fn finds_a_digest_that_is_never_compared() {
    assert_only_first_proxy_differs(&play_with_fault(InjectedFault::Digest, StepKind::Ordinary), "Body");
}

#[test]
fn names_a_program_that_does_not_start() {
    let options = RunOptions { control: "/bin/false".into(), ..run_options() };
    match play(&small_script(), &options) {
        Err(ScaleError::Ended(name, ..)) => assert_eq!(name, "source-0"),
        other => panic!("{other:?}"),
    }
}
