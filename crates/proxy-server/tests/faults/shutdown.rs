//! Shutdown after a change of the settings, and with failing calls.

use crate::fault_injection::{Fault, Faults};
use crate::support::*;
use std::time::{Duration, Instant};

/// When the platform kills the process: this long after the stop signal and the longest deadline.
const KILL_DELAY: Duration = Duration::from_millis(700);

/// Operators' terms: SIGKILL may come 0.7 s and the longest deadline after SIGTERM; the longest of the settings in force.
#[test]
fn shutdown_time_follows_the_settings_in_force() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| BackendAction::Hang);
    let mut proxy = Proxy::start_with_config("shorter", &config_with_deadline("shorter", &discovery, 2_500));
    discovery.post(true, &[entry("s-1", backend.address, "active", 0)]);
    proxy.reload(&config_with_deadline("shorter", &discovery, 300).to_string());
    proxy.wait_for_log("reloaded the configuration");
    // Clients with the previous deadline have finished.
    std::thread::sleep(Duration::from_millis(3_100));
    let mut clients: Vec<_> = (0..3).map(|_| proxy.client()).collect();
    let began = Instant::now();
    proxy.terminate();
    let text = |number: usize| request("charge", &number.to_string(), "x").replace("15000", "300");
    for (number, client) in clients.iter_mut().enumerate() {
        client.send(&text(number));
    }
    let answers: Vec<_> =
        clients.iter_mut().map(|client| read_message(&mut client.reader).is_some()).collect();
    assert!(answers.iter().all(|answered| *answered), "{answers:?}");
    // A client that stays connected without a request.
    let _idle = proxy.client();
    assert_eq!(proxy.wait().code(), Some(0));
    let took = began.elapsed();
    assert!(took < Duration::from_millis(300) + KILL_DELAY, "it ended after {took:?}");
}

/// More clients than the connection limit, and failing accepts: connections in the listener's queue have their responses.
#[test]
fn empties_the_listener_queue_despite_failed_accepts() {
    for round in 0..4 {
        let discovery = Discovery::start();
        let backend = Backend::start(|_| BackendAction::Hang);
        let name = format!("queue-{round}");
        let faults = Faults::new(&name);
        let mut config = config_with_deadline(&name, &discovery, 500);
        config["limits"]["sockets"] = 48.into();
        let mut proxy =
            Launch::new(&name, &config.to_string()).with_environment(faults.environment(round + 1)).start();
        discovery.post(true, &[entry("s-1", backend.address, "active", 0)]);
        faults.set(Fault::Accept, 500);
        let clients = (0..60).map(|id| {
            let mut client = proxy.client();
            client.send(&request("read", &id.to_string(), ""));
            std::thread::spawn(move || read_message(&mut client.reader).is_some())
        });
        let clients: Vec<_> = clients.collect();
        proxy.terminate();
        let answers = clients.into_iter().map(|client| client.join().expect("a client"));
        let without = answers.filter(|answered| !answered).count();
        assert_eq!(without, 0, "turn {round}");
        assert_eq!(proxy.wait().code(), Some(0));
    }
}
