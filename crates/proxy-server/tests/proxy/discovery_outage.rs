//! How soon a proxy recovers when discovery is one central service that is down, does not respond, or has
//! moved. The scripted service measures the times.

mod service;

use crate::support::*;
use serde_json::{Value, json};
use service::{Call, Event, Service, State, Watch};
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The time after discovery is reachable again within which its list has to be in force.
const RECOVERY_LIMIT: Duration = Duration::from_secs(6);
/// The time after the end of an unanswered watch's wait within which the changes it missed have to be in
/// force.
const SILENT_WATCH_LIMIT: Duration = Duration::from_secs(2);
/// The time after a change of the discovery address within which the new service's list has to be in force.
const MOVE_LIMIT: Duration = Duration::from_secs(4);
/// The duration of an outage of the service.
const OUTAGE: Duration = Duration::from_secs(8);

fn config_for(name: &str, discovery: SocketAddr, instance: u32, fleet_size: u32, known: &[Value]) -> Value {
    let mut config = proxy_config(name, &Discovery::start());
    config["discovery"] = discovery.to_string().into();
    config["known"] = json!({"revision": 1, "complete": true, "members": known});
    config["settings"]["membershipMode"] = "on_request".into();
    config["settings"]["safety"]["askWithinUs"] = 10_000_000.into();
    config["settings"]["me"] = instance.into();
    config["settings"]["balancers"] = fleet_size.into();
    config
}

/// Runs all cases in parallel, since each mostly waits, and asserts that none has failed.
fn run_in_parallel<T: Send + 'static>(
    cases: Vec<T>,
    case: impl Fn(T) -> Result<(), String> + Send + Sync + 'static,
) {
    let case = Arc::new(case);
    let runs: Vec<_> = cases
        .into_iter()
        .map(|case_input| {
            let case = Arc::clone(&case);
            thread::spawn(move || case(case_input))
        })
        .collect();
    let failures: Vec<_> = runs
        .into_iter()
        .filter_map(|run| run.join().unwrap_or_else(|_| Err("the case panicked".into())).err())
        .collect();
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Measures how long after the recovery of the service one proxy of a fleet has applied the new list.
fn measure_recovery(instance: u32, fleet_size: u32, outage: State) -> Duration {
    let (old, new) = (Backend::start(|_| ok_response("old")), Backend::start(|_| ok_response("new")));
    let members = [backend_entry("s-1", old.address, "active", 0)];
    let service = Service::start(&members);
    let name = format!("outage-{instance}-{fleet_size}-{outage:?}");
    let proxy =
        Proxy::start_with_config(&name, &config_for(&name, service.address, instance, fleet_size, &members));
    service.wait_for_watch();
    service.set_state(outage);
    let down_since = Instant::now();
    service.post(&[backend_entry("s-2", new.address, "active", 0)]);
    // A recovery right after a call is the worst case. If calls cannot be observed, the moment is arbitrary.
    if matches!(outage, State::NotListening | State::QueueFull) {
        // The outage begins after a scheduled call. The offset varies the moment of the recovery within the
        // schedule.
        thread::sleep(OUTAGE + Duration::from_millis(20) * instance);
    } else {
        while service.next_call_revision().at - down_since < OUTAGE {}
        if outage == State::Rejecting {
            while !matches!(service.next_event(), Event::Failed) {}
        }
    }
    let recovered_at = Instant::now();
    service.set_state(State::Up);
    // A watch from the new revision shows that the list has been applied. Responses alone do not show it,
    // since they may have gone to abandoned connections.
    let delay = loop {
        if let Call { at, after: Some(8), wait: Some(_) } = service.next_call_revision() {
            break at - recovered_at;
        }
    };
    assert_eq!(proxy.client().exchange(&request("charge", "1", "x")).body, b"new");
    assert_eq!(old.take_request_count(), 0);
    delay
}

/// Guards against a backoff that adds to the polling schedule: the sum was up to 7.6 s,
/// beyond the limit of 6 s.
#[test]
fn each_proxy_of_a_hundred_recovers_within_six_seconds() {
    let outages = [State::NotListening, State::QueueFull, State::Rejecting, State::Silent];
    let cases =
        [3, 50, 80, 95].into_iter().flat_map(|instance| outages.map(|outage| (instance, outage))).collect();
    run_in_parallel(cases, |(instance, outage)| {
        let delay = measure_recovery(instance, 100, outage);
        println!("{instance} of 100, {outage:?}: {delay:?}");
        if delay < RECOVERY_LIMIT { Ok(()) } else { Err(format!("{instance} of 100, {outage:?}: {delay:?}")) }
    });
}

#[test]
fn small_fleets_recover_within_six_seconds() {
    let outages = [State::NotListening, State::QueueFull, State::Rejecting, State::Silent];
    let cases = [(0, 1), (4, 5), (25, 26)].into_iter();
    let cases = cases.flat_map(|position| outages.map(|outage| (position, outage))).collect();
    run_in_parallel(cases, |((instance, fleet_size), outage)| {
        let delay = measure_recovery(instance, fleet_size, outage);
        println!("{instance} of {fleet_size}, {outage:?}: {delay:?}");
        if delay < RECOVERY_LIMIT {
            Ok(())
        } else {
            Err(format!("{instance} of {fleet_size}, {outage:?}: {delay:?}"))
        }
    });
}

/// The changes that an unanswered watch misses have to be in force 6 s after its start, or 2 s after the end
/// of its wait, whichever is later.
#[test]
fn changes_missed_by_an_unanswered_watch_are_polled_in_time() {
    run_in_parallel(vec![(0, 1), (4, 5), (99, 100), (60, 100)], |(instance, fleet_size)| {
        let (old, new) = (Backend::start(|_| ok_response("old")), Backend::start(|_| ok_response("new")));
        let members = [backend_entry("s-1", old.address, "active", 0)];
        let service = Service::start(&members);
        service.set_state(State::SilentWatches);
        let name = format!("silent-{instance}-{fleet_size}");
        let proxy = Proxy::start_with_config(
            &name,
            &config_for(&name, service.address, instance, fleet_size, &members),
        );
        let Watch { at: watch_started_at, wait } = service.wait_for_watch();
        // The watch above is never answered; later calls are.
        service.set_state(State::Up);
        service.post(&[backend_entry("s-2", new.address, "active", 0)]);
        let delay = service.next_response_time() - watch_started_at;
        println!("{instance} of {fleet_size}, wait {wait:?}: {delay:?}");
        service.next_call_revision();
        assert_eq!(proxy.client().exchange(&request("charge", "1", "x")).body, b"new");
        let max_delay = RECOVERY_LIMIT.max(wait + SILENT_WATCH_LIMIT);
        if delay < max_delay {
            Ok(())
        } else {
            Err(format!("{instance} of {fleet_size}: {delay:?}, the limit is {max_delay:?}"))
        }
    });
}

/// The new service's list has to be in force within [`MOVE_LIMIT`] after the reload.
#[test]
fn each_proxy_of_a_hundred_follows_a_moved_service_within_four_seconds() {
    run_in_parallel(vec![3, 50, 80, 95], |instance| {
        let (old, new) = (Backend::start(|_| ok_response("old")), Backend::start(|_| ok_response("new")));
        let members = [backend_entry("s-1", old.address, "active", 0)];
        let (old_service, new_service) =
            (Service::start(&members), Service::start(&[backend_entry("s-2", new.address, "active", 0)]));
        let name = format!("moved-{instance}");
        let proxy =
            Proxy::start_with_config(&name, &config_for(&name, old_service.address, instance, 100, &members));
        old_service.wait_for_watch();
        let reloaded_at = Instant::now();
        proxy.reload(&config_for(&name, new_service.address, instance, 100, &members).to_string());
        let delay = new_service.next_response_time() - reloaded_at;
        println!("{instance} of 100: {delay:?}");
        new_service.next_call_revision();
        assert_eq!(proxy.client().exchange(&request("charge", "1", "x")).body, b"new");
        if delay < MOVE_LIMIT { Ok(()) } else { Err(format!("{instance}: {delay:?}")) }
    });
}
