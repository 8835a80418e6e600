//! Days over processes of the program, with faults of processes and links. Verdicts come from what the stand-ins saw:
//! rules, and counts with room for a slow machine.

#[path = "shared/machine.rs"]
mod machine;
#[path = "shared/program.rs"]
mod program;
mod shared;

use machine::machine;
use program::{KEEPER, program};
use shared::{Ended, children, runs, wait_until};
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use testbed::fleet::report::Row;
use testbed::fleet::{FleetError, Machine, play};
use testbed::script::{
    BackendFault, BackendFaultKind, Direction, InitialList, LinkEndpoints, LinkFault, ProcessFault,
    ProcessFaultKind, Script, ScriptError,
};

fn script_path() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("scripts/laboratory.toml")
}

fn script() -> Script {
    Script::read(&script_path()).expect("a good script")
}

fn process(what: ProcessFaultKind, part: f64, for_s: f64) -> ProcessFault {
    ProcessFault { what, at_s: 1.0, for_s, part, waves: 1, wave_s: 0.0, every_s: 0.0, list: InitialList::Old }
}

fn link(between: LinkEndpoints) -> LinkFault {
    LinkFault {
        between,
        at_s: 1.0,
        for_s: 1.0,
        part: 1.0,
        zone: None,
        way: Direction::Both,
        cut: false,
        delay_ms: 0.0,
        spread_ms: 0.0,
        drop: 0.0,
        duplicate: 0.0,
        reorder: 0.0,
        kbytes_s: 0.0,
    }
}

fn played(script: &Script) -> Row {
    let row = play(script, &machine()).expect("it plays");
    println!("{}", testbed::fleet::report::line(&row));
    assert_eq!(row.broken, [0; 4], "{row:?}");
    assert!(row.asked > 450, "{} of some 600 requests were asked", row.asked);
    row
}

#[test]
fn serves_nearly_all_requests_without_faults() {
    let row = played(&script());
    assert!((row.failed, row.missed, row.excused) == (0, 0, 0), "{row:?}");
    assert!(row.refused * 10 <= row.asked, "{row:?}");
    assert!(row.spread.least > 0.2 && row.spread.busiest < 2.5, "{:?}", row.spread);
    let cost = row.cost.expect("processes cost");
    assert!(cost.proxy_cpu_s > 0.0 && cost.rig_cpu_s > 0.0);
}

#[test]
fn recovers_from_mass_kill_with_stale_list_during_drain() {
    let mut script = script();
    script.process_faults = vec![process(ProcessFaultKind::Kill, 0.7, 0.5)];
    let drain = BackendFault {
        what: BackendFaultKind::Drain,
        at_s: 0.7,
        for_s: 3.0,
        part: 0.1,
        zone: None,
        degree: 0.0,
    };
    script.backend_faults = vec![drain];
    let row = played(&script);
    assert!(row.missed > 0, "the front went on sending for a while: {row:?}");
    assert!(row.missed + row.excused < row.asked / 4, "{row:?}");
    assert!(row.in_time > 0.6, "{row:?}");
}

#[test]
fn answers_after_a_two_second_stop() {
    let mut script = script();
    script.process_faults = vec![process(ProcessFaultKind::Stall, 0.33, 2.0)];
    let row = played(&script);
    assert!(row.p99_ms > 600.0 || row.excused + row.refused + row.failed > 0, "the stall shows: {row:?}");
    assert_eq!(row.missed, 0, "a process that stands is not gone: {row:?}");
}

#[test]
fn loses_no_request_on_sigterm_or_replacement() {
    let mut script = script();
    let ended = ProcessFault { waves: 3, wave_s: 0.3, ..process(ProcessFaultKind::End, 0.25, 0.5) };
    let replaced = ProcessFault { waves: 3, wave_s: 0.3, ..process(ProcessFaultKind::Replace, 0.25, 0.0) };
    script.process_faults = vec![ended, replaced];
    let row = played(&script);
    assert_eq!((row.excused, row.failed), (0, 0), "{row:?}");
    assert!(row.missed * 20 <= row.asked, "{row:?}");
}

#[test]
fn holds_rules_with_slow_lossy_and_cut_links() {
    let mut script = script();
    let slow = LinkFault { part: 0.3, delay_ms: 200.0, spread_ms: 50.0, ..link(LinkEndpoints::Boxes) };
    let lossy = LinkFault { at_s: 2.0, part: 0.3, drop: 0.2, ..link(LinkEndpoints::Boxes) };
    let cut = LinkFault { part: 0.5, cut: true, ..link(LinkEndpoints::Discovery) };
    let clients = LinkFault { part: 0.2, at_s: 2.0, for_s: 0.5, cut: true, ..link(LinkEndpoints::Clients) };
    script.link_faults = vec![slow, lossy, cut, clients];
    let calm = play(&Script { link_faults: Vec::new(), ..script.clone() }, &machine()).expect("it plays");
    let row = played(&script);
    assert!(row.p50_ms > calm.p50_ms || row.p99_ms > calm.p99_ms, "{row:?}\n{calm:?}");
}

#[test]
fn reports_log_tail_of_a_process_that_never_becomes_ready() {
    let machine = Machine { proxy: "/bin/false".into(), ..machine() };
    match play(&script(), &machine) {
        Err(FleetError::NotReady(0, _)) => {}
        other => panic!("{other:?}"),
    }
}

#[test]
fn rejects_too_many_processes_by_key() {
    let mut script = script();
    script.fleet.proxies = 1_000;
    match play(&script, &machine()) {
        Err(FleetError::Script(ScriptError::Value(key, _))) => assert_eq!(key, "fleet.proxies"),
        other => panic!("{other:?}"),
    }
}

#[test]
fn ends_all_processes_when_the_testbed_is_killed() {
    let mut command = Command::new(KEEPER);
    // What a killed laboratory leaves behind goes with the test.
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("killed-laboratory");
    fs::create_dir_all(&folder).expect("a folder");
    command.env("TMPDIR", &folder);
    command.arg("fleet").arg(script_path()).arg("--no-references").arg("--proxy").arg(program());
    let mut laboratory =
        Ended(command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().expect("it starts"));
    let mut processes = Vec::new();
    wait_until("24 processes run", || {
        processes = children(laboratory.0.id()).into_iter().filter(|&id| runs(id)).collect();
        processes.len() == 24
    });
    laboratory.0.kill().expect("it is killed");
    laboratory.0.wait().expect("it ends");
    wait_until("all of them are gone", || !processes.iter().any(|&id| runs(id)));
    fs::remove_dir_all(&folder).expect("only this test uses it");
}
