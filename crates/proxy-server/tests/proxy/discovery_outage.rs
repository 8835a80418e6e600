//! Discovery as one service that is down, silent or moved, and how soon a proxy recovers. Times are measured by the scripted
//! service.

mod service;

use crate::support::*;
use serde_json::{Value, json};
use service::{Call, Event, Service, State, Watch};
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// How long after discovery is reachable its list has to be in force.
const RECOVERY_LIMIT: Duration = Duration::from_secs(6);
/// How long after the wait of a silent watch what it missed has to be in force.
const SILENT_WATCH_LIMIT: Duration = Duration::from_secs(2);
/// How long after its address has changed its list has to be in force.
const MOVE_LIMIT: Duration = Duration::from_secs(4);
/// How long the service is down.
const OUTAGE: Duration = Duration::from_secs(8);

fn config_for(name: &str, discovery: SocketAddr, instance: u32, fleet_size: u32, known: &[Value]) -> Value {
    let mut config = config(name, &Discovery::start());
    config["discovery"] = discovery.to_string().into();
    config["known"] = json!({"revision": 1, "complete": true, "members": known});
    config["settings"]["membershipMode"] = "on_request".into();
    config["settings"]["safety"]["askWithinUs"] = 10_000_000.into();
    config["settings"]["me"] = instance.into();
    config["settings"]["balancers"] = fleet_size.into();
    config
}

/// Runs all cases in parallel, since each waits most of its time, and asserts that none failed.
fn run_in_parallel<T: Send + 'static>(
    cases: Vec<T>,
    case: impl Fn(T) -> Result<(), String> + Send + Sync + 'static,
) {
    let case = Arc::new(case);
    let runs: Vec<_> = cases
        .into_iter()
        .map(|given| {
            let case = Arc::clone(&case);
            thread::spawn(move || case(given))
        })
        .collect();
    let failed: Vec<_> = runs
        .into_iter()
        .filter_map(|run| run.join().unwrap_or_else(|_| Err("it panicked".into())).err())
        .collect();
    assert!(failed.is_empty(), "{failed:#?}");
}

/// How long after the recovery of the service one proxy of a fleet has applied the new list.
fn measure_recovery(instance: u32, fleet_size: u32, kind: State) -> Duration {
    let (old, new) = (Backend::start(|_| ok("old")), Backend::start(|_| ok("new")));
    let members = [entry("s-1", old.address, "active", 0)];
    let service = Service::start(&members);
    let name = format!("outage-{instance}-{fleet_size}-{kind:?}");
    let proxy =
        Proxy::start_with_config(&name, &config_for(&name, service.address, instance, fleet_size, &members));
    service.wait_for_watch();
    service.set_state(kind);
    let down_since = Instant::now();
    service.post(&[entry("s-2", new.address, "active", 0)]);
    // The worst moment of the recovery is right after a call; where calls cannot be observed, any moment is as good.
    if matches!(kind, State::NotListening | State::QueueFull) {
        // The outage begins after a scheduled call; the offset varies the moment of the recovery within the schedule.
        thread::sleep(OUTAGE + Duration::from_millis(20) * instance);
    } else {
        while service.next_call().at - down_since < OUTAGE {}
        if kind == State::Rejecting {
            while !matches!(service.next_event(), Event::Failed) {}
        }
    }
    let recovered_at = Instant::now();
    service.set_state(State::Up);
    // The revision of the next watch shows that the list was applied. Responses may have gone to abandoned connections.
    let delay = loop {
        if let Call { at, after: Some(8), wait: Some(_) } = service.next_call() {
            break at - recovered_at;
        }
    };
    assert_eq!(proxy.client().exchange(&request("charge", "1", "x")).body, b"new");
    assert_eq!(old.take_request_count(), 0);
    delay
}

/// Regression: backoff and schedule added up to 7.6 s.
#[test]
fn each_proxy_of_a_hundred_recovers_within_six_seconds() {
    let kinds = [State::NotListening, State::QueueFull, State::Rejecting, State::Silent];
    let cases = [3, 50, 80, 95].into_iter().flat_map(|instance| kinds.map(|kind| (instance, kind))).collect();
    run_in_parallel(cases, |(instance, kind)| {
        let delay = measure_recovery(instance, 100, kind);
        println!("{instance} of 100, {kind:?}: {delay:?}");
        if delay < RECOVERY_LIMIT { Ok(()) } else { Err(format!("{instance} of 100, {kind:?}: {delay:?}")) }
    });
}

#[test]
fn small_fleets_recover_within_six_seconds() {
    let kinds = [State::NotListening, State::QueueFull, State::Rejecting, State::Silent];
    let cases = [(0, 1), (4, 5), (25, 26)].into_iter();
    let cases = cases.flat_map(|of| kinds.map(|kind| (of, kind))).collect();
    run_in_parallel(cases, |((instance, fleet_size), kind)| {
        let delay = measure_recovery(instance, fleet_size, kind);
        println!("{instance} of {fleet_size}, {kind:?}: {delay:?}");
        if delay < RECOVERY_LIMIT {
            Ok(())
        } else {
            Err(format!("{instance} of {fleet_size}, {kind:?}: {delay:?}"))
        }
    });
}

/// What a silent watch misses has to be in force 6 s after it became silent, or 2 s after its wait, if that is later.
#[test]
fn changes_missed_by_a_silent_watch_are_polled_in_time() {
    run_in_parallel(vec![(0, 1), (4, 5), (99, 100), (60, 100)], |(instance, fleet_size)| {
        let (old, new) = (Backend::start(|_| ok("old")), Backend::start(|_| ok("new")));
        let members = [entry("s-1", old.address, "active", 0)];
        let service = Service::start(&members);
        service.set_state(State::SilentWatches);
        let name = format!("silent-{instance}-{fleet_size}");
        let proxy = Proxy::start_with_config(
            &name,
            &config_for(&name, service.address, instance, fleet_size, &members),
        );
        let Watch { at: began, wait } = service.wait_for_watch();
        // This watch is never answered; others are.
        service.set_state(State::Up);
        service.post(&[entry("s-2", new.address, "active", 0)]);
        let delay = service.next_answer() - began;
        println!("{instance} of {fleet_size}, a wait of {wait:?}: {delay:?}");
        service.next_call();
        assert_eq!(proxy.client().exchange(&request("charge", "1", "x")).body, b"new");
        let max_delay = RECOVERY_LIMIT.max(wait + SILENT_WATCH_LIMIT);
        if delay < max_delay {
            Ok(())
        } else {
            Err(format!("{instance} of {fleet_size}: {delay:?}, the limit is {max_delay:?}"))
        }
    });
}

/// The new service's list has to be in force 4 s after the reload.
#[test]
fn each_proxy_of_a_hundred_follows_a_moved_service_within_four_seconds() {
    run_in_parallel(vec![3, 50, 80, 95], |instance| {
        let (old, new) = (Backend::start(|_| ok("old")), Backend::start(|_| ok("new")));
        let members = [entry("s-1", old.address, "active", 0)];
        let (first, second) =
            (Service::start(&members), Service::start(&[entry("s-2", new.address, "active", 0)]));
        let name = format!("moved-{instance}");
        let proxy =
            Proxy::start_with_config(&name, &config_for(&name, first.address, instance, 100, &members));
        first.wait_for_watch();
        let sender = Instant::now();
        proxy.reload(&config_for(&name, second.address, instance, 100, &members).to_string());
        let delay = second.next_answer() - sender;
        println!("{instance} of 100: {delay:?}");
        second.next_call();
        assert_eq!(proxy.client().exchange(&request("charge", "1", "x")).body, b"new");
        if delay < MOVE_LIMIT { Ok(()) } else { Err(format!("{instance}: {delay:?}")) }
    });
}
