//! Scenarios with proxy processes, and with faults of processes and links. The checks use only what the
//! emulators observed: violations of the rules, and counts with tolerances for a slow machine.

#[path = "shared/machine.rs"]
mod machine;
#[path = "shared/program.rs"]
mod program;
mod shared;

use machine::machine;
use program::{TESTBED_PROGRAM, proxy_program};
use shared::{KillOnDrop, children, is_proxy_running, wait_until};
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use testbed::fleet::report::Row;
use testbed::fleet::{self, FleetError, RunEnvironment};
use testbed::script::{
    BackendFault, BackendFaultKind, Direction, InitialList, LinkEndpoints, LinkFault, ProcessFault,
    ProcessFaultKind, Script, ScriptError,
};

fn script_path() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("scripts/laboratory.toml")
}

fn script() -> Script {
    Script::read(&script_path()).expect("a valid script")
}

fn process_fault(what: ProcessFaultKind, part: f64, for_s: f64) -> ProcessFault {
    ProcessFault {
        kind: what,
        at_s: 1.0,
        for_s,
        fraction: part,
        waves: 1,
        wave_s: 0.0,
        every_s: 0.0,
        list: InitialList::Stale,
    }
}

fn link_fault(between: LinkEndpoints) -> LinkFault {
    LinkFault {
        between,
        at_s: 1.0,
        for_s: 1.0,
        fraction: 1.0,
        zone: None,
        direction: Direction::Both,
        cut: false,
        delay_ms: 0.0,
        jitter_ms: 0.0,
        loss_fraction: 0.0,
        duplication_fraction: 0.0,
        reorder_fraction: 0.0,
        bandwidth_kbytes_s: 0.0,
    }
}

fn run(script: &Script) -> Row {
    let row = fleet::run(script, &machine()).expect("the scenario runs");
    println!("{}", testbed::fleet::report::format_row(&row));
    assert_eq!(row.violations, [0; 4], "{row:?}");
    assert!(row.requests > 450, "{} of about 600 requests were sent", row.requests);
    row
}

#[test]
fn serves_nearly_all_requests_without_faults() {
    let row = run(&script());
    assert!((row.failed, row.undelivered, row.excused) == (0, 0, 0), "{row:?}");
    assert!(row.rejected * 10 <= row.requests, "{row:?}");
    assert!(row.spread.min_load > 0.2 && row.spread.max_load < 2.5, "{:?}", row.spread);
    let cost = row.cost.expect("the cost of the processes");
    assert!(cost.proxy_cpu_s > 0.0 && cost.testbed_cpu_s > 0.0);
}

#[test]
fn recovers_from_mass_kill_with_stale_list_during_drain() {
    let mut script = script();
    script.process_faults = vec![process_fault(ProcessFaultKind::Kill, 0.7, 0.5)];
    let drain = BackendFault {
        kind: BackendFaultKind::Drain,
        at_s: 0.7,
        for_s: 3.0,
        fraction: 0.1,
        zone: None,
        severity: 0.0,
    };
    script.backend_faults = vec![drain];
    let row = run(&script);
    assert!(row.undelivered > 0, "the front end still sent to killed processes for a while: {row:?}");
    assert!(row.undelivered + row.excused < row.requests / 4, "{row:?}");
    assert!(row.in_time > 0.6, "{row:?}");
}

#[test]
fn answers_after_a_two_second_stop() {
    let mut script = script();
    script.process_faults = vec![process_fault(ProcessFaultKind::Stall, 0.33, 2.0)];
    let row = run(&script);
    assert!(
        row.p99_ms > 600.0 || row.excused + row.rejected + row.failed > 0,
        "the stall has an effect: {row:?}"
    );
    assert_eq!(row.undelivered, 0, "a stopped process still accepts connections: {row:?}");
}

#[test]
fn loses_no_request_on_sigterm_or_replacement() {
    let mut script = script();
    let terminated =
        ProcessFault { waves: 3, wave_s: 0.3, ..process_fault(ProcessFaultKind::Terminate, 0.25, 0.5) };
    let replaced =
        ProcessFault { waves: 3, wave_s: 0.3, ..process_fault(ProcessFaultKind::Replace, 0.25, 0.0) };
    script.process_faults = vec![terminated, replaced];
    let row = run(&script);
    assert_eq!((row.excused, row.failed), (0, 0), "{row:?}");
    assert!(row.undelivered * 20 <= row.requests, "{row:?}");
}

#[test]
fn violates_no_rule_with_slow_lossy_and_cut_links() {
    let mut script = script();
    let slow =
        LinkFault { fraction: 0.3, delay_ms: 200.0, jitter_ms: 50.0, ..link_fault(LinkEndpoints::Backends) };
    let lossy =
        LinkFault { at_s: 2.0, fraction: 0.3, loss_fraction: 0.2, ..link_fault(LinkEndpoints::Backends) };
    let cut = LinkFault { fraction: 0.5, cut: true, ..link_fault(LinkEndpoints::Discovery) };
    let clients =
        LinkFault { fraction: 0.2, at_s: 2.0, for_s: 0.5, cut: true, ..link_fault(LinkEndpoints::Clients) };
    script.link_faults = vec![slow, lossy, cut, clients];
    let without_faults = fleet::run(&Script { link_faults: Vec::new(), ..script.clone() }, &machine())
        .expect("the scenario runs");
    let row = run(&script);
    assert!(
        row.p50_ms > without_faults.p50_ms || row.p99_ms > without_faults.p99_ms,
        "{row:?}\n{without_faults:?}"
    );
}

#[test]
fn reports_log_tail_of_a_process_that_never_becomes_ready() {
    let machine = RunEnvironment { proxy: "/bin/false".into(), ..machine() };
    match fleet::run(&script(), &machine) {
        Err(FleetError::NotReady(0, _)) => {}
        other => panic!("{other:?}"),
    }
}

#[test]
fn rejects_too_many_processes_by_key() {
    let mut script = script();
    script.fleet.proxies = 1_000;
    match fleet::run(&script, &machine()) {
        Err(FleetError::Script(ScriptError::Value(key, _))) => assert_eq!(key, "fleet.proxies"),
        other => panic!("{other:?}"),
    }
}

#[test]
fn ends_all_processes_when_the_testbed_is_killed() {
    let mut command = Command::new(TESTBED_PROGRAM);
    // The killed testbed leaves its temporary folder behind: it lies in this folder, which the test removes.
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("killed-laboratory");
    fs::create_dir_all(&folder).expect("the folder is created");
    command.env("TMPDIR", &folder);
    command.arg("fleet").arg(script_path()).arg("--no-references").arg("--proxy").arg(proxy_program());
    let mut testbed_process =
        KillOnDrop(command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().expect("the testbed starts"));
    let mut processes = Vec::new();
    wait_until("24 processes run", || {
        processes = children(testbed_process.0.id()).into_iter().filter(|&id| is_proxy_running(id)).collect();
        processes.len() == 24
    });
    testbed_process.0.kill().expect("the testbed is killed");
    testbed_process.0.wait().expect("the testbed exits");
    wait_until("all processes have exited", || !processes.iter().any(|&id| is_proxy_running(id)));
    fs::remove_dir_all(&folder).expect("the folder is removed, as only this test uses it");
}
