//! Deadlines where the process stood, where requests waited, and wall clocks that step.

use crate::fault_injection::{Fault, Faults};
use crate::support::*;
use crate::{Pair, SLACK, id_of, sleep_until, time_left};
use serde_json::json;
use std::collections::HashMap;
use std::thread;
use std::time::{Duration, Instant};

const TIME_LEFT: Duration = Duration::from_secs(5);

fn timed(class: &str, id: &str) -> String {
    request(class, id, if class == "read" { "" } else { "x" }).replace("15000", "5000")
}

/// How much longer the deadlines of these requests were than what their clients had left.
fn too_long(backend: &Backend, sent: &HashMap<String, Instant>) -> Vec<(String, Duration)> {
    let mut out = Vec::new();
    while let Ok(received) = backend.requests.recv_timeout(Duration::from_millis(500)) {
        let id = id_of(&received);
        let Some(sent) = sent.get(&id) else { continue };
        let left = TIME_LEFT.saturating_sub(received.received_at.saturating_duration_since(*sent));
        out.push((id, time_left(&received).saturating_sub(left)));
    }
    out
}

/// "The deadline passed to a backend is at most what the client has left, with 0.15 s of slack", also where the process
/// stood while the request waited in the kernel.
#[test]
fn deadline_never_exceeds_the_client_wait_after_a_stall() {
    for stood in [300, 800] {
        let discovery = Discovery::start();
        let backend =
            Backend::start(|_| BackendAction::DelayThen(Duration::from_millis(50), Box::new(ok("late"))));
        let name = format!("stood-{stood}");
        let proxy = Proxy::start(&name, &discovery, &[entry("s-1", backend.address, "active", 0)]);
        let mut clients: Vec<_> = (0..2).map(|_| proxy.client()).collect();
        clients.iter_mut().for_each(|client| assert_eq!(client.exchange(HEALTH_REQUEST).status(), 200));
        proxy.signal("-STOP");
        clients.extend((0..2).map(|_| proxy.client()));
        let mut sent = HashMap::new();
        for (number, client) in clients.iter_mut().enumerate() {
            let id = format!("{stood}-{number}");
            client.send(&timed("charge", &id));
            sent.insert(id, Instant::now());
        }
        thread::sleep(Duration::from_millis(stood));
        proxy.signal("-CONT");
        let told = too_long(&backend, &sent);
        assert!(!told.is_empty(), "some are sent on");
        assert!(told.iter().all(|(_, over)| *over <= SLACK), "{stood} ms: {told:?}");
    }
}

/// "A request's time counts from its last byte", also where it waits behind another on its connection.
#[test]
fn deadline_of_a_pipelined_request_counts_from_its_last_byte() {
    let discovery = Discovery::start();
    let backend =
        Backend::start(|_| BackendAction::DelayThen(Duration::from_millis(400), Box::new(ok("late"))));
    let proxy = Proxy::start("behind", &discovery, &[entry("s-1", backend.address, "active", 0)]);
    let mut client = proxy.client();
    let ids = ["one", "two", "three"];
    // Read at once, and read ahead while the first is open.
    client.send(&(timed("charge", ids[0]) + &timed("charge", ids[1])));
    let mut sent = HashMap::from([(ids[0].to_owned(), Instant::now()), (ids[1].to_owned(), Instant::now())]);
    thread::sleep(Duration::from_millis(100));
    client.send(&timed("charge", ids[2]));
    sent.insert(ids[2].to_owned(), Instant::now());
    ids.iter().for_each(|_| assert_eq!(client.receive().status(), 200));
    let told = too_long(&backend, &sent);
    assert_eq!(told.len(), 3);
    assert!(told.iter().all(|(_, over)| *over <= SLACK), "{told:?}");
}

/// A new process lets its clients wait until its agent has answered or failed to.
#[test]
fn deadline_of_a_request_before_the_first_list_counts_from_its_last_byte() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("fine"));
    let mut config = config("waits", &discovery);
    config["known"]["members"] = json!([entry("s-1", backend.address, "active", 0)]);
    let proxy = Proxy::start_with_config("waits", &config);
    let mut client = proxy.client();
    client.send(&timed("charge", "1"));
    let sent = HashMap::from([("1".to_owned(), Instant::now())]);
    assert_eq!(client.receive().status(), 200);
    let told = too_long(&backend, &sent);
    assert!(told.iter().all(|(_, over)| *over <= SLACK), "{told:?}");
}

/// The grace, the deadline and `coldUs` are spans of real time: a backend that was called back is cold for 8 s, and neither
/// for an hour nor not at all, whatever the wall clock of the process shows that takes over meanwhile.
#[test]
fn reinclusion_age_survives_wall_clock_steps() {
    for step in [-3_600, 3_600] {
        let pair = Pair::new();
        let discovery = &pair.discovery;
        let name = format!("step{step}");
        let (folder, faults) = (empty_folder(&name), Faults::new(&name));
        let mut config = config("n7", discovery);
        config["console"] = json!("127.0.0.1:0");
        // So cold that nothing at all goes there at first, and warm after two seconds.
        config["settings"]["safety"] =
            json!({"coldFrom": 0.001, "coldUs": 2_000_000, "fallMultiple": 3.0, "fallUs": 2_000_000});
        let (old, console) = Launch::new("old", &config.to_string()).in_folder(&folder).start_with_console();
        pair.post();
        assert!(pair.reaches_a(&old, "before", 20) > 0, "it serves");
        assert!(send_command(console, "exclude s-a\n").starts_with("SUCCESS"));
        assert!(send_command(console, "include s-a\n").starts_with("SUCCESS"));
        let back = Instant::now();
        faults.set(Fault::WallSeconds, step);
        config["listen"] = json!(old.address.to_string());
        let launch = Launch::new("new", &config.to_string())
            .in_folder(&folder)
            .with_environment(faults.environment(1));
        let (new, console) = launch.start_with_console();
        while !send_command(console, "readyz\n").starts_with("SUCCESS") {}
        drop(old);
        let mut client = new.client();
        let mut ask = |id: String| client.exchange(&request("read", &id, "")).body == b"a";
        let early = (0..20).filter(|n| ask(format!("early-{step}-{n}"))).count();
        let soon = back.elapsed() < Duration::from_millis(500);
        assert!(!soon || early <= 1, "{step} s: {early} of 20 within half a second");
        sleep_until(back + Duration::from_millis(2_500));
        let late = (0..60).any(|n| ask(format!("late-{step}-{n}")));
        assert!(late, "{step} s: warm for half a second, and unused");
    }
}
