//! Deadlines of requests that waited before the proxy read them, and steps of the wall clock.

use crate::fault_injection::{Fault, Faults};
use crate::support::*;
use crate::{DEADLINE_TOLERANCE, TwoBackends, request_id, sleep_until, time_left};
use serde_json::json;
use std::collections::HashMap;
use std::thread;
use std::time::{Duration, Instant};

const DEFAULT_CLIENT_TIMEOUT: Duration = Duration::from_secs(5);

/// A request with the time-out [`DEFAULT_CLIENT_TIMEOUT`].
fn timed_request(class: &str, id: &str) -> String {
    request(class, id, if class == "read" { "" } else { "x" }).replace("15000", "5000")
}

/// By how much the deadlines of the received requests exceeded the remaining time of their clients, with the
/// requests' IDs.
fn excess_deadlines(backend: &Backend, sent_at: &HashMap<String, Instant>) -> Vec<(String, Duration)> {
    let mut excess = Vec::new();
    while let Ok(received) = backend.requests.recv_timeout(Duration::from_millis(500)) {
        let id = request_id(&received);
        let Some(sent_at) = sent_at.get(&id) else { continue };
        let remaining =
            DEFAULT_CLIENT_TIMEOUT.saturating_sub(received.received_at.saturating_duration_since(*sent_at));
        excess.push((id, time_left(&received).saturating_sub(remaining)));
    }
    excess
}

/// Requirement: the deadline sent to a backend exceeds the client's remaining time by at most 0.15 s, also
/// after a stall of the process during which the request waited in the kernel.
#[test]
fn deadline_counts_the_wait_during_a_stalled_process() {
    for stall_ms in [300, 800] {
        let discovery = Discovery::start();
        let backend = Backend::start(|_| {
            BackendAction::DelayThen(Duration::from_millis(50), Box::new(ok_response("late")))
        });
        let name = format!("stalled-{stall_ms}");
        let proxy = Proxy::start(&name, &discovery, &[backend_entry("s-1", backend.address, "active", 0)]);
        let mut clients: Vec<_> = (0..2).map(|_| proxy.client()).collect();
        for client in &mut clients {
            assert_eq!(client.exchange(HEALTH_REQUEST).status(), 200);
        }
        proxy.signal("-STOP");
        clients.extend((0..2).map(|_| proxy.client()));
        let mut sent_at = HashMap::new();
        for (number, client) in clients.iter_mut().enumerate() {
            let id = format!("{stall_ms}-{number}");
            client.send(&timed_request("charge", &id));
            sent_at.insert(id, Instant::now());
        }
        thread::sleep(Duration::from_millis(stall_ms));
        proxy.signal("-CONT");
        let excess = excess_deadlines(&backend, &sent_at);
        assert!(!excess.is_empty(), "no request was forwarded");
        assert!(
            excess.iter().all(|(_, excess)| *excess <= DEADLINE_TOLERANCE),
            "deadlines too long after {stall_ms} ms: {excess:?}"
        );
    }
}

/// Requirement: a request's time counts from its last byte, also where it is pipelined behind another.
#[test]
fn deadline_of_a_pipelined_request_counts_from_its_last_byte() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| {
        BackendAction::DelayThen(Duration::from_millis(400), Box::new(ok_response("late")))
    });
    let proxy = Proxy::start("behind", &discovery, &[backend_entry("s-1", backend.address, "active", 0)]);
    let mut client = proxy.client();
    let ids = ["one", "two", "three"];
    // The first two are read together; the third is read while the first is in flight.
    client.send(&(timed_request("charge", ids[0]) + &timed_request("charge", ids[1])));
    let mut sent_at =
        HashMap::from([(ids[0].to_owned(), Instant::now()), (ids[1].to_owned(), Instant::now())]);
    thread::sleep(Duration::from_millis(100));
    client.send(&timed_request("charge", ids[2]));
    sent_at.insert(ids[2].to_owned(), Instant::now());
    for _ in &ids {
        assert_eq!(client.receive().status(), 200);
    }
    let excess = excess_deadlines(&backend, &sent_at);
    assert_eq!(excess.len(), 3);
    assert!(excess.iter().all(|(_, excess)| *excess <= DEADLINE_TOLERANCE), "deadlines too long: {excess:?}");
}

/// A new process accepts clients only after its discovery agent has responded or failed; the request waits
/// until then.
#[test]
fn deadline_of_a_request_before_the_first_list_counts_from_its_last_byte() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok_response("fine"));
    let mut config = proxy_config("waits", &discovery);
    config["known"]["members"] = json!([backend_entry("s-1", backend.address, "active", 0)]);
    let proxy = Proxy::start_with_config("waits", &config);
    let mut client = proxy.client();
    client.send(&timed_request("charge", "1"));
    let sent_at = HashMap::from([("1".to_owned(), Instant::now())]);
    assert_eq!(client.receive().status(), 200);
    let excess = excess_deadlines(&backend, &sent_at);
    assert!(excess.iter().all(|(_, excess)| *excess <= DEADLINE_TOLERANCE), "deadlines too long: {excess:?}");
}

/// Guards against a deadline that ignores the wait in the listener's queue while accepts fail, also during
/// shutdown.
#[test]
fn deadline_counts_the_wait_behind_failing_accepts() {
    for (round, shuts_down) in [false, true].into_iter().enumerate() {
        let discovery = Discovery::start();
        let backend = Backend::start(|_| ok_response("fine"));
        let name = format!("accepts-{round}");
        let faults = Faults::new(&name);
        let config = proxy_config(&name, &discovery).to_string();
        let proxy = ProxyCommand::new(&name, &config).with_environment(faults.environment(1)).start();
        discovery.publish_and_wait(true, &[backend_entry("s-1", backend.address, "active", 0)]);
        assert_eq!(proxy.client().exchange(HEALTH_REQUEST).status(), 200);
        faults.set(Fault::Accept, 1_000);
        let mut client = proxy.client();
        client.send(&timed_request("charge", "1"));
        let sent_at = HashMap::from([("1".to_owned(), Instant::now())]);
        if shuts_down {
            proxy.terminate();
        }
        thread::sleep(Duration::from_millis(400));
        faults.set(Fault::Accept, 0);
        assert_eq!(client.receive().status(), 200);
        let excess = excess_deadlines(&backend, &sent_at);
        assert!(!excess.is_empty(), "the request was not forwarded");
        assert!(
            excess.iter().all(|(_, excess)| *excess <= DEADLINE_TOLERANCE),
            "deadlines too long (shutdown: {shuts_down}): {excess:?}"
        );
    }
}

/// Guards against charging the wait of one request behind failing accepts to later requests, which were then
/// rejected although they had time left.
#[test]
fn requests_behind_failing_accepts_are_served_while_they_have_time() {
    const CLIENT_TIMEOUT: Duration = Duration::from_millis(1_350);
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok_response("fine"));
    let faults = Faults::new("one-in-twenty");
    let config = proxy_config("one-in-twenty", &discovery).to_string();
    let proxy = ProxyCommand::new("one-in-twenty", &config).with_environment(faults.environment(1)).start();
    discovery.publish_and_wait(true, &[backend_entry("s-1", backend.address, "active", 0)]);
    faults.set(Fault::Accept, 950);
    let mut violations = Vec::new();
    for number in 0..40 {
        let mut client = proxy.client();
        let text = timed_request("charge", &number.to_string()).replace("5000", "1350");
        client.send(&text);
        let sent_at = Instant::now();
        let status = client.receive().status();
        let elapsed = sent_at.elapsed();
        if status != 200 && elapsed + DEADLINE_TOLERANCE < CLIENT_TIMEOUT {
            violations.push(format!("{number}: {status} after {elapsed:?}"));
        }
        for received in backend.requests.try_iter() {
            let elapsed = received.received_at.saturating_duration_since(sent_at);
            let excess = time_left(&received).saturating_sub(CLIENT_TIMEOUT.saturating_sub(elapsed));
            if excess > DEADLINE_TOLERANCE {
                violations.push(format!("{number}: a deadline {excess:?} too long after {elapsed:?}"));
            }
        }
    }
    assert!(violations.is_empty(), "early rejections or long deadlines: {violations:?}");
}

/// Guards against a deadline that ignores the wait in the listener's queue beyond the connection limit.
#[test]
fn deadline_counts_the_wait_beyond_the_connection_limit() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| {
        BackendAction::DelayThen(Duration::from_millis(400), Box::new(ok_response("late")))
    });
    let mut config = proxy_config("beyond", &discovery);
    config["limits"]["sockets"] = json!(48);
    let proxy = Proxy::start_with_config("beyond", &config);
    discovery.publish_and_wait(true, &[backend_entry("s-1", backend.address, "active", 0)]);
    let mut sent_at = HashMap::new();
    let mut clients = Vec::new();
    for number in 0..60 {
        let mut client = proxy.client();
        client.send(&timed_request("charge", &number.to_string()));
        sent_at.insert(number.to_string(), Instant::now());
        clients.push(client);
    }
    let excess = excess_deadlines(&backend, &sent_at);
    assert!(!excess.is_empty(), "no request was forwarded");
    assert!(excess.iter().all(|(_, excess)| *excess <= DEADLINE_TOLERANCE), "deadlines too long: {excess:?}");
}

/// Durations such as the drain grace period, the deadline and `coldUs` are measured in real time: a
/// re-included backend is in slow start for `coldUs`, whatever the wall clock of the replacing process shows.
#[test]
fn slow_start_after_reinclusion_is_independent_of_wall_clock_steps() {
    for step in [-3_600, 3_600] {
        let pair = TwoBackends::new();
        let discovery = &pair.discovery;
        let name = format!("step{step}");
        let (folder, faults) = (create_empty_folder(&name), Faults::new(&name));
        let mut config = proxy_config("n7", discovery);
        config["console"] = json!("127.0.0.1:0");
        // Slow start takes 2 s and allows almost no requests at first.
        config["settings"]["safety"] =
            json!({"coldFrom": 0.001, "coldUs": 2_000_000, "fallMultiple": 3.0, "fallUs": 2_000_000});
        let (old, console) =
            ProxyCommand::new("old", &config.to_string()).with_folder(&folder).start_with_console();
        pair.post();
        assert!(
            pair.count_served_by_a(&old, "before", 20) > 0,
            "backend a receives nothing before its exclusion"
        );
        assert!(send_command(console, "exclude s-a\n").starts_with("SUCCESS"));
        assert!(send_command(console, "include s-a\n").starts_with("SUCCESS"));
        let included_at = Instant::now();
        faults.set(Fault::WallSeconds, step);
        config["listen"] = json!(old.address.to_string());
        let launch = ProxyCommand::new("new", &config.to_string())
            .with_folder(&folder)
            .with_environment(faults.environment(1));
        let (new, console) = launch.start_with_console();
        while !send_command(console, "readyz\n").starts_with("SUCCESS") {}
        drop(old);
        let mut client = new.client();
        let mut send_request = |id: String| client.exchange(&request("read", &id, "")).body == b"a";
        let early = (0..20).filter(|n| send_request(format!("early-{step}-{n}"))).count();
        let is_soon = included_at.elapsed() < Duration::from_millis(500);
        assert!(!is_soon || early <= 1, "step of {step} s: {early} of 20 within 0.5 s of the inclusion");
        sleep_until(included_at + Duration::from_millis(2_500));
        let late = (0..60).any(|n| send_request(format!("late-{step}-{n}")));
        assert!(late, "step of {step} s: nothing reached the backend 0.5 s after its slow start");
    }
}
