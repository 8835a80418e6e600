//! Long series of signals during traffic.

use crate::fault_injection::Faults;
use crate::run_traffic;
use crate::support::*;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const SIGNAL_INTERVAL: Duration = Duration::from_micros(100);
const TRAFFIC_TIME: Duration = Duration::from_secs(6);
const PARALLEL_PROCESSES: usize = 3;
/// How long a process without requests in flight may take to end after SIGTERM.
const EXIT_TIMEOUT: Duration = Duration::from_secs(4);

/// Sends requests to a process while it receives signals, and then shuts it down.
fn run_with_signals(name: &str, environment: Vec<(&'static str, String)>) {
    let discovery = Discovery::start();
    let backends: Vec<_> = (0..2).map(|_| Backend::start(|_| ok_response("fine"))).collect();
    let members: Vec<_> = backends
        .iter()
        .enumerate()
        .map(|(n, b)| backend_entry(&format!("s-{n}"), b.address, "active", 0))
        .collect();
    let config = proxy_config(name, &discovery).to_string();
    let mut proxy = ProxyCommand::new(name, &config).with_environment(environment).start();
    discovery.publish_and_wait(true, &members);
    let process = Pid::from_raw(proxy.child.id().cast_signed());
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| {
            while !stop.load(Ordering::Acquire) {
                kill(process, Signal::SIGHUP).expect("the process runs");
                thread::sleep(SIGNAL_INTERVAL);
            }
        });
        let began = Instant::now();
        while began.elapsed() < TRAFFIC_TIME {
            let outcome = run_traffic(proxy.address, &backends, 6, 5);
            if !outcome.unanswered().is_empty() {
                break;
            }
        }
        stop.store(true, Ordering::Release);
    });
    proxy.terminate();
    assert_eq!(proxy.wait_for_exit_within(EXIT_TIMEOUT).code(), Some(0));
}

fn run_in_parallel(environment: impl Fn(usize) -> Vec<(&'static str, String)>) {
    thread::scope(|scope| {
        for number in 0..PARALLEL_PROCESSES {
            let environment = environment(number);
            scope.spawn(move || {
                run_with_signals(&format!("signals-{}-{number}", environment.len()), environment);
            });
        }
    });
}

/// Guards against a process that hangs after a signal that arrives at an unfavourable moment.
#[test]
fn series_of_signals_does_not_hang_the_process() {
    run_in_parallel(|_| Vec::new());
}

/// Guards against a deadlock in the fault injection: a signal handler must not wait for a lock that the
/// interrupted thread has taken.
#[test]
fn series_of_signals_does_not_hang_a_process_with_injected_faults() {
    let faults: Vec<_> =
        (0..PARALLEL_PROCESSES).map(|number| Faults::new(&format!("signals-{number}"))).collect();
    run_in_parallel(|number| faults[number].environment(number as u64 + 1));
}
