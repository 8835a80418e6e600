//! Days on loopback sockets with real proxies. The machine may be a second late: verdicts come from what was
//! seen, not from how fast.

use std::path::Path;
use testbed::script::{BackendFaultKind, Script};
use testbed::sockets;

/// Microseconds.
const SLACK: u64 = 1_000_000;

fn short(boxes: usize, per_s: f64) -> Script {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("scripts/crash-30.toml");
    let mut script = Script::read(&path).expect("a good script");
    (script.fleet.backends, script.fleet.proxies, script.seconds) = (boxes, 2, 5.0);
    script.traffic.per_s = per_s;
    for trouble in &mut script.backend_faults {
        (trouble.at_s, trouble.for_s, trouble.part) = (trouble.at_s / 5.0, 1.5, 0.3);
    }
    script
}

#[test]
fn holds_rules_with_crashing_and_draining_backends() {
    let mut seconds = Vec::new();
    let script = short(10, 60.0);
    let day =
        sockets::play(&script, SLACK, |second| seconds.push(second.clone())).expect("it plays").judgement;
    assert!(day.is_clean(), "{day}");
    assert!(day.total.requests > 200 && day.total.goodput() > 0.3, "{day}");
    assert!(seconds.iter().any(|s| s.up == 7), "three were down: {seconds:?}");
    assert!(seconds.iter().any(|s| s.draining == 3), "three drained: {seconds:?}");
    assert!(seconds.iter().any(|s| !s.limits.is_empty()));
}

#[test]
fn holds_rules_with_hanging_and_malformed_backends() {
    let mut script = short(10, 60.0);
    let mut more = script.backend_faults.clone();
    script.backend_faults.append(&mut more);
    for (trouble, what) in script.backend_faults.iter_mut().zip([
        BackendFaultKind::Hang,
        BackendFaultKind::Reset,
        BackendFaultKind::Spoil,
        BackendFaultKind::Pause,
    ]) {
        (trouble.what, trouble.degree) = (what, 0.5);
    }
    let day = sockets::play(&script, SLACK, |_| ()).expect("it plays").judgement;
    assert!(day.is_clean(), "{day}");
    // The troubles were there: attempts beyond the first ones.
    assert!(day.total.attempts > day.total.in_time + day.total.late, "{day}");
}
