//! Small scale runs with simulated proxies, sources, relays and a real proxy as processes. The assertions use
//! events and counts, not times: the changes that the sources acknowledged, compared with the replica of each
//! subscriber.

#[path = "shared/program.rs"]
mod program;

use program::{TESTBED_PROGRAM, build_program, proxy_program};
use std::path::{Path, PathBuf};
use std::sync::OnceLock;
use testbed::fleet::RunEnvironment;
use testbed::scale::fleet::messages::InjectedFault;
use testbed::scale::fleet::report::Report;
use testbed::scale::fleet::script::{ScaleScript, Step, StepKind};
use testbed::scale::fleet::{RunOptions, ScaleError, play};

/// The control plane's executable, built once.
fn control_plane_program() -> PathBuf {
    static BUILT: OnceLock<PathBuf> = OnceLock::new();
    BUILT.get_or_init(|| build_program("control-plane", "control-plane")).clone()
}

fn run_options() -> RunOptions {
    let (control, proxy) = (control_plane_program(), proxy_program());
    let machine = RunEnvironment {
        proxy,
        testbed_binary: TESTBED_PROGRAM.into(),
        memory_mb: 32,
        descriptors: 256,
        threads: 1,
        timing_tolerance_us: 0,
    };
    RunOptions { control_plane: control, machine, list_sizes: Vec::new() }
}

fn small_script() -> ScaleScript {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("scripts/scale-small.toml");
    ScaleScript::read(&path).expect("a valid script")
}

fn play_script(script: &ScaleScript) -> Report {
    let report = play(script, &run_options()).expect("a complete run");
    println!("{report}");
    report
}

#[test]
fn all_replicas_match_their_sources_after_each_fault() {
    let report = play_script(&small_script());
    assert_eq!(report.violations, [] as [String; 0]);
    assert_eq!(report.steps.len(), 3);
    for step in &report.steps {
        assert!(step.propagation.changes > 20, "{step:?}");
        assert_eq!(step.propagation.never_received, 0, "{step:?}");
        let (proxies, records) = step.compared;
        assert_eq!(proxies, 500, "compared proxies");
        assert_eq!(step.lists_compared, 1, "compared lists");
        assert!(records > 100 * 500, "compared records: {records}");
        assert!(
            step.receive_rate.mean > 0.0 && step.relays.max_memory_bytes > 0.0,
            "no measured costs: {step:?}"
        );
    }
    assert!(report.steps[2].lost_changes > 0, "the source lost no change: {:?}", report.steps[2]);
    let requests = report.requests;
    assert!(requests.served > 50, "{requests:?}");
    assert_eq!(requests.failed, 0, "{requests:?}");
}

/// Plays one step with sixty simulated proxies; the fault is injected into the first proxy.
fn play_with_fault(fault: InjectedFault, kind: StepKind) -> Report {
    let mut script = small_script();
    script.injected_fault = fault;
    script.convergence_timeout_s = 12.0;
    let size = &mut script.size;
    (size.subscribers, size.processes, size.relays, size.zones, size.real_proxies) = (60, 2, 2, 2, 0);
    (size.services, size.backends, size.services_per_proxy) = (40, 600, 12);
    script.steps = vec![Step { kind, seconds: 5.0, fault_s: 2.0, rate_factor: 20.0, target: 0 }];
    play_script(&script)
}

/// Asserts that the first proxy is reported as different, with this text, and that no other proxy is
/// reported.
fn assert_only_first_proxy_differs(report: &Report, mismatch: &str) {
    let differing: Vec<&String> =
        report.violations.iter().filter(|text| text.contains("differs from its sources")).collect();
    assert!(!differing.is_empty(), "no difference reported: {:?}", report.violations);
    assert!(differing.iter().all(|text| text.contains("proxy 0 differs from its sources")), "{differing:?}");
    assert!(differing.iter().any(|text| text.contains(mismatch)), "{differing:?}");
}

#[test]
fn finds_no_violation_without_an_injected_fault() {
    let report = play_with_fault(InjectedFault::None, StepKind::SourceRestarted);
    assert_eq!(report.violations, [] as [String; 0]);
    assert!(report.steps[0].lost_changes > 0);
}

#[test]
fn finds_a_silently_dropped_change() {
    let report = play_with_fault(InjectedFault::Drop, StepKind::Ordinary);
    let reports = |mismatch| report.violations.iter().any(|text| text.contains(mismatch));
    assert_only_first_proxy_differs(&report, "proxy 0");
    assert!(reports("Missing") || reports("Version") || reports("Unexpected"), "{:?}", report.violations);
}

#[test]
fn finds_a_scope_that_lacks_one_service() {
    assert_only_first_proxy_differs(&play_with_fault(InjectedFault::Scope, StepKind::Ordinary), "Missing");
}

#[test]
fn finds_an_ignored_epoch() {
    let report = play_with_fault(InjectedFault::Epoch, StepKind::SourceRestarted);
    assert!(report.steps[0].lost_changes > 0);
    assert_only_first_proxy_differs(&report, "Version");
}

#[test]
fn finds_a_digest_that_is_never_compared() {
    assert_only_first_proxy_differs(&play_with_fault(InjectedFault::Digest, StepKind::Ordinary), "Body");
}

#[test]
fn names_a_program_that_does_not_start() {
    let options = RunOptions { control_plane: "/bin/false".into(), ..run_options() };
    match play(&small_script(), &options) {
        Err(ScaleError::ProgramFailed(name, ..)) => assert_eq!(name, "source-0"),
        other => panic!("{other:?}"),
    }
}
