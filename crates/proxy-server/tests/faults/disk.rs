//! Exclusions of backends while the disk that persists them fails.

use crate::fault_injection::{Fault, Faults};
use crate::support::*;
use crate::{TwoBackends, sleep_until};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

const SEED: u64 = 7;
/// The time after the command within which an exclusion is in force, also if it cannot be persisted.
const EXCLUSION_DELAY: Duration = Duration::from_secs(1);
/// How long after that new requests may still be sent to the backend.
const DRAIN_GRACE: Duration = Duration::from_millis(1_050);

fn start(folder: &Path, name: &str, config: &Value, faults: &Faults) -> (Proxy, SocketAddr) {
    ProxyCommand::new(name, &config.to_string())
        .with_folder(folder)
        .with_environment(faults.environment(SEED))
        .start_with_console()
}

/// Requirement: an exclusion is in force once the proxy has confirmed it or 1 s has passed, plus the drain
/// grace period. It lasts until the inclusion, whatever the list reports, and across a process replacement.
#[test]
fn exclusion_applies_and_lasts_despite_transient_disk_failures() {
    let disk_faults = [Fault::Sync, Fault::FileWrite, Fault::FileRename, Fault::FileOpen];
    let tests: Vec<_> =
        disk_faults.into_iter().map(|fault| thread::spawn(move || exclude_during_fault(fault))).collect();
    let failed: Vec<_> =
        tests.into_iter().filter_map(|test| test.join().expect("the thread finishes").err()).collect();
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Excludes a backend while the disk fails in this way, replaces the process after the fault, and includes
/// the backend.
fn exclude_during_fault(fault: Fault) -> Result<(), String> {
    let pair = TwoBackends::new();
    let name = format!("refuses-{fault:?}");
    let (folder, faults) = (create_empty_folder(&name), Faults::new(&name));
    let (old, console) = start(&folder, "old", &config_with_console(&pair.discovery, None), &faults);
    pair.post();
    assert!(
        pair.count_served_by_a(&old, "before", 20) > 0,
        "backend a receives nothing before its exclusion"
    );
    faults.set(fault, 1_000);
    let commanded_at = Instant::now();
    let response = send_command(console, "exclude s-a\n");
    sleep_until(commanded_at + EXCLUSION_DELAY + DRAIN_GRACE);
    let received = pair.count_served_by_a(&old, "refused", 40);
    if received > 0 {
        return Err(format!(
            "{fault:?}: the excluded backend received {received} of 40 requests after the grace period; the response was {response}"
        ));
    }
    faults.set(fault, 0);
    // Once the disk works, the exclusion is persisted: it applies to a process that replaces this one soon
    // after.
    thread::sleep(Duration::from_secs(1));
    let (new, console) =
        start(&folder, "new", &config_with_console(&pair.discovery, Some(old.address)), &faults);
    while !send_command(console, "readyz\n").starts_with("SUCCESS") {}
    drop(old);
    let received = pair.count_served_by_a(&new, "replaced", 40);
    if received > 0 {
        return Err(format!(
            "{fault:?}: the excluded backend received {received} of 40 requests after a replacement; the response was {response}"
        ));
    }
    let response = send_command(console, "include s-a\n");
    if !response.starts_with("SUCCESS") {
        return Err(format!("{fault:?}: {response}"));
    }
    Ok(())
}

/// Exclusions that cannot be read when the process starts apply nevertheless once it is ready.
#[test]
fn initially_unreadable_exclusions_apply_from_the_start() {
    for fault in [Fault::FileRead, Fault::FileOpen] {
        let pair = TwoBackends::new();
        let name = format!("unread-{fault:?}");
        let (folder, faults) = (create_empty_folder(&name), Faults::new(&name));
        let (old, console) = start(&folder, "old", &config_with_console(&pair.discovery, None), &faults);
        pair.post();
        assert!(send_command(console, "exclude s-a\n").starts_with("SUCCESS"));
        drop(old);
        let startup_faults = Faults::new(&format!("{name}-new"));
        if matches!(fault, Fault::FileRead) {
            startup_faults.set(fault, 1_000);
        }
        let began = Instant::now();
        let launch = ProxyCommand::new("new", &config_with_console(&pair.discovery, None).to_string());
        let (new, console) = thread::scope(|scope| {
            let clears_fault = scope.spawn(|| {
                sleep_until(began + Duration::from_millis(1_200));
                startup_faults.set(fault, 0);
            });
            let started = launch
                .with_folder(&folder)
                .with_environment(startup_faults.environment(SEED))
                .start_with_console();
            clears_fault.join().expect("the fault is cleared");
            started
        });
        while !send_command(console, "readyz\n").starts_with("SUCCESS") {}
        assert!(began.elapsed() < Duration::from_secs(6), "the process was not ready within 6 s");
        assert_eq!(pair.count_served_by_a(&new, "start", 40), 0, "{fault:?}");
        drop(new);
    }
}

/// Guards against the loss of an exclusion at a process replacement if the disk rejects writes until the
/// process that received the command has ended.
#[test]
fn exclusion_lasts_over_an_upgrade_with_a_disk_that_refuses_throughout() {
    for fault in [Fault::FileWrite, Fault::FileRename] {
        let pair = TwoBackends::new();
        let name = format!("refuses-throughout-{fault:?}");
        let (folder, faults) = (create_empty_folder(&name), Faults::new(&name));
        let (mut old, console) = start(&folder, "old", &config_with_console(&pair.discovery, None), &faults);
        pair.post();
        assert!(
            pair.count_served_by_a(&old, "before", 20) > 0,
            "backend a receives nothing before its exclusion"
        );
        faults.set(fault, 1_000);
        let response = send_command(console, "exclude s-a\n");
        let config = config_with_console(&pair.discovery, Some(old.address));
        let (new, console) = start(&folder, "new", &config, &faults);
        while !send_command(console, "readyz\n").starts_with("SUCCESS") {}
        old.terminate();
        assert!(old.wait_for_exit().success());
        sleep_until(Instant::now() + DRAIN_GRACE);
        let received = pair.count_served_by_a(&new, "replaced", 40);
        assert_eq!(received, 0, "{fault:?}: the response was {response}");
    }
}
