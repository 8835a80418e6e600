//! Exclusions while the disk of the persistent folder fails.

use crate::fault_injection::{Fault, Faults};
use crate::support::*;
use crate::{TwoBackends, sleep_until};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

const SEED: u64 = 7;
/// When an exclusion is in force at the latest.
const EXCLUSION_DELAY: Duration = Duration::from_secs(1);
/// How long after that new requests may still be sent.
const GRACE: Duration = Duration::from_millis(1_050);

fn start(folder: &Path, name: &str, config: &Value, faults: &Faults) -> (Proxy, SocketAddr) {
    Launch::new(name, &config.to_string())
        .in_folder(folder)
        .with_environment(faults.environment(SEED))
        .start_with_console()
}

/// Operators' terms: an exclusion is in force once the proxy has confirmed it or 1 s has passed, plus the grace of drains. It
/// lasts until the inclusion, whatever the list reports, and across a replacement of the process.
#[test]
fn exclusion_applies_and_lasts_despite_transient_disk_failures() {
    let refusals = [Fault::Sync, Fault::FileWrite, Fault::FileRename, Fault::FileOpen];
    let outcome: Vec<_> =
        refusals.into_iter().map(|fault| thread::spawn(move || exclude_during(fault))).collect();
    let failed: Vec<_> =
        outcome.into_iter().filter_map(|run_traffic| run_traffic.join().expect("a play").err()).collect();
    assert!(failed.is_empty(), "{failed:#?}");
}

fn exclude_during(fault: Fault) -> Result<(), String> {
    let pair = TwoBackends::new();
    let name = format!("refuses-{fault:?}");
    let (folder, faults) = (empty_folder(&name), Faults::new(&name));
    let (old, console) = start(&folder, "old", &config_with_console(&pair.discovery, None), &faults);
    pair.post();
    assert!(pair.count_served_by_a(&old, "before", 20) > 0, "it serves");
    faults.set(fault, 1_000);
    let asked = Instant::now();
    let answer = send_command(console, "exclude s-a\n");
    sleep_until(asked + EXCLUSION_DELAY + GRACE);
    let late = pair.count_served_by_a(&old, "refused", 40);
    if late > 0 {
        return Err(format!("{fault:?}: {late} of 40 after the grace; the answer was {answer}"));
    }
    faults.set(fault, 0);
    // The disk works again. The exclusion also applies to a process that replaces this one soon after.
    thread::sleep(Duration::from_secs(1));
    let (new, console) =
        start(&folder, "new", &config_with_console(&pair.discovery, Some(old.address)), &faults);
    while !send_command(console, "readyz\n").starts_with("SUCCESS") {}
    drop(old);
    let late = pair.count_served_by_a(&new, "replaced", 40);
    if late > 0 {
        return Err(format!("{fault:?}: {late} of 40 over a replacement; the answer was {answer}"));
    }
    let answer = send_command(console, "include s-a\n");
    if !answer.starts_with("SUCCESS") {
        return Err(format!("{fault:?}: {answer}"));
    }
    Ok(())
}

/// Exclusions that a process cannot read at its start apply all the same.
#[test]
fn initially_unreadable_exclusions_apply_from_the_start() {
    for fault in [Fault::FileRead, Fault::FileOpen] {
        let pair = TwoBackends::new();
        let name = format!("unread-{fault:?}");
        let (folder, faults) = (empty_folder(&name), Faults::new(&name));
        let (old, console) = start(&folder, "old", &config_with_console(&pair.discovery, None), &faults);
        pair.post();
        assert!(send_command(console, "exclude s-a\n").starts_with("SUCCESS"));
        drop(old);
        let startup_faults = Faults::new(&format!("{name}-new"));
        if matches!(fault, Fault::FileRead) {
            startup_faults.set(fault, 1_000);
        }
        let began = Instant::now();
        let launch = Launch::new("new", &config_with_console(&pair.discovery, None).to_string());
        let (new, console) = thread::scope(|scope| {
            let healed = scope.spawn(|| {
                sleep_until(began + Duration::from_millis(1_200));
                startup_faults.set(fault, 0);
            });
            let started = launch
                .in_folder(&folder)
                .with_environment(startup_faults.environment(SEED))
                .start_with_console();
            healed.join().expect("the disk works again");
            started
        });
        while !send_command(console, "readyz\n").starts_with("SUCCESS") {}
        assert!(began.elapsed() < Duration::from_secs(6), "readiness is due within 6 s");
        assert_eq!(pair.count_served_by_a(&new, "start", 40), 0, "{fault:?}");
        drop(new);
    }
}

/// Guards against an exclusion that ends with the process it was given to, where the disk refuses until that process has ended.
#[test]
fn exclusion_lasts_over_an_upgrade_with_a_disk_that_refuses_throughout() {
    for fault in [Fault::FileWrite, Fault::FileRename] {
        let pair = TwoBackends::new();
        let name = format!("refuses-throughout-{fault:?}");
        let (folder, faults) = (empty_folder(&name), Faults::new(&name));
        let (mut old, console) = start(&folder, "old", &config_with_console(&pair.discovery, None), &faults);
        pair.post();
        assert!(pair.count_served_by_a(&old, "before", 20) > 0, "it serves");
        faults.set(fault, 1_000);
        let answer = send_command(console, "exclude s-a\n");
        let config = config_with_console(&pair.discovery, Some(old.address));
        let (new, console) = start(&folder, "new", &config, &faults);
        while !send_command(console, "readyz\n").starts_with("SUCCESS") {}
        old.terminate();
        assert!(old.wait().success());
        sleep_until(Instant::now() + GRACE);
        let late = pair.count_served_by_a(&new, "replaced", 40);
        assert_eq!(late, 0, "{fault:?}: the answer was {answer}");
    }
}
