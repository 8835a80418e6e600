//! Shutdown after a reload of the settings, and with failing system calls.

use crate::fault_injection::{Fault, Faults};
use crate::support::*;
use std::time::{Duration, Instant};

/// The platform kills the process this long after the stop signal plus the longest deadline.
const KILL_DELAY: Duration = Duration::from_millis(700);

/// Requirement: the process ends before SIGKILL, which may come 0.7 s plus the longest deadline after
/// SIGTERM. The longest deadline is that of the settings in force, not of earlier ones.
#[test]
fn shutdown_time_follows_the_deadline_in_force() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| BackendAction::Hang);
    let mut proxy = Proxy::start_with_config("shorter", &config_with_deadline("shorter", &discovery, 2_500));
    discovery.publish_and_wait(true, &[backend_entry("s-1", backend.address, "active", 0)]);
    proxy.reload(&config_with_deadline("shorter", &discovery, 300).to_string());
    proxy.wait_for_log("reloaded the configuration");
    // Requests with the previous deadline have finished by then.
    std::thread::sleep(Duration::from_millis(3_100));
    let mut clients: Vec<_> = (0..3).map(|_| proxy.client()).collect();
    let began = Instant::now();
    proxy.terminate();
    let text = |number: usize| request("charge", &number.to_string(), "x").replace("15000", "300");
    for (number, client) in clients.iter_mut().enumerate() {
        client.send(&text(number));
    }
    let answered: Vec<_> =
        clients.iter_mut().map(|client| read_message(&mut client.reader).is_some()).collect();
    assert!(answered.iter().all(|answered| *answered), "clients with a response: {answered:?}");
    // A client that remains connected without sending a request.
    let _idle = proxy.client();
    assert_eq!(proxy.wait_for_exit().code(), Some(0));
    let elapsed = began.elapsed();
    assert!(elapsed < Duration::from_millis(300) + KILL_DELAY, "the process ended after {elapsed:?}");
}

/// Connections in the listener's queue get their responses during shutdown, also with more clients than the
/// connection limit allows and with failing accepts.
#[test]
fn shutdown_serves_the_listener_queue_despite_failed_accepts() {
    for round in 0..4 {
        let discovery = Discovery::start();
        let backend = Backend::start(|_| BackendAction::Hang);
        let name = format!("queue-{round}");
        let faults = Faults::new(&name);
        let mut config = config_with_deadline(&name, &discovery, 500);
        config["limits"]["sockets"] = 48.into();
        let mut proxy = ProxyCommand::new(&name, &config.to_string())
            .with_environment(faults.environment(round + 1))
            .start();
        discovery.publish_and_wait(true, &[backend_entry("s-1", backend.address, "active", 0)]);
        faults.set(Fault::Accept, 500);
        let clients = (0..60).map(|id| {
            let mut client = proxy.client();
            client.send(&request("read", &id.to_string(), ""));
            std::thread::spawn(move || read_message(&mut client.reader).is_some())
        });
        let clients: Vec<_> = clients.collect();
        proxy.terminate();
        let answered = clients.into_iter().map(|client| client.join().expect("the client thread finishes"));
        let unanswered = answered.filter(|answered| !answered).count();
        assert_eq!(unanswered, 0, "requests without a response in round {round}");
        assert_eq!(proxy.wait_for_exit().code(), Some(0));
    }
}
