//! Seeded soak tests that overlap at least two of: short deadlines, failing system calls, clock steps,
//! stalls, drains, successive reloads and signals, idle connections, and SIGKILL at the earliest time that
//! the platform sends it. Clients use their open connections until the kill.
//!
//! `SOAK_SEEDS=60 cargo test -p proxy-server --test faults soak` runs 60 seeds, the first of which `SOAK_FROM`
//! sets.

mod clients;
mod violations;

use crate::fault_injection::{Fault, Faults};
use crate::support::*;
use crate::{request_id, sleep_until};
use clients::{RequestRecord, open_idle_connections, run_client};
use fastrand::Rng;
use serde_json::{Value, json};
use std::env;
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use violations::violations;

const DEFAULT_FIRST_SEED: u64 = 20_261_202;
const DEFAULT_SEED_COUNT: u64 = 8;
const PARALLEL_SEEDS: usize = 4;
const CLIENTS: usize = 8;
const BACKENDS: usize = 6;
/// How many of the backends stop responding at a random time.
const HANGING_BACKENDS: usize = 2;
/// The time from the start of the soak to the stop signal.
const STOP_SIGNAL_AFTER: Duration = Duration::from_millis(2_600);
/// The platform kills the process this long after the stop signal plus the longest deadline.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// How long after the stop signal clients open new connections.
const CONNECT_TIME_AFTER_STOP: Duration = Duration::from_millis(400);

fn env_number(name: &str, default: u64) -> u64 {
    env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// The state that the threads of one soak share.
struct Soak {
    rng: Rng,
    deadline: Duration,
    began: Instant,
    stop_connecting: AtomicBool,
    stop: AtomicBool,
    /// The total time for which the process was stalled, in milliseconds.
    stalled_ms: AtomicU64,
}

impl Soak {
    /// Stops the process, and continues it after this time.
    fn stall(&self, proxy: &Proxy, milliseconds: u64) {
        proxy.signal("-STOP");
        thread::sleep(Duration::from_millis(milliseconds));
        proxy.signal("-CONT");
        self.stalled_ms.fetch_add(milliseconds, Ordering::AcqRel);
    }
}

/// The backend that was drained, by its index.
struct DrainedBackend {
    index: usize,
    drained_at: Instant,
}

struct Shutdown {
    signalled_at: Instant,
    ended_at: Instant,
    /// The process exited with code 0 before the kill.
    is_clean: bool,
}

/// A request that a backend received.
struct ReceivedRequest {
    backend: usize,
    message: HttpMessage,
}

/// The records of one soak.
struct Outcome {
    requests: Vec<RequestRecord>,
    received: Vec<ReceivedRequest>,
    /// The IDs of requests that backends rejected as unprocessed, once per rejection.
    unprocessed: Vec<String>,
    drained: DrainedBackend,
    shutdown: Shutdown,
    log: String,
    /// The total time for which the process was stalled.
    stalled_time: Duration,
}

/// A configuration with this deadline in all classes, and with a low or the usual limit on descriptors.
fn soak_config(name: &str, discovery: &Discovery, deadline: Duration, has_few_descriptors: bool) -> Value {
    let mut config = proxy_config(name, discovery);
    for class in config["settings"]["classes"].as_array_mut().expect("the classes are an array") {
        class["aimUs"] = json!(deadline.as_micros() as u64 / 2);
        class["deadlineUs"] = json!(deadline.as_micros() as u64);
        class["keyTtlUs"] = json!(deadline.as_micros() as u64 / 2);
    }
    config["settings"]["permissions"]["dialTimeoutUs"] = json!(250_000);
    if has_few_descriptors {
        config["limits"]["sockets"] = json!(128);
    }
    config
}

type UnprocessedIds = Arc<Mutex<Vec<String>>>;

/// Starts a backend that serves most requests, and closes, rejects or does not answer some; from `hangs_from`
/// on it answers none.
fn start_backend(seed: u64, hangs_from: Option<Instant>, unprocessed: UnprocessedIds) -> Backend {
    let mut rng = Rng::with_seed(seed);
    Backend::start(move |request| {
        let delay = Duration::from_millis(rng.u64(2..25));
        let hangs = hangs_from.is_some_and(|from| Instant::now() >= from);
        let action = match rng.u32(0..40) {
            _ if hangs => return BackendAction::Hang,
            0 => return BackendAction::WriteAndClose(Vec::new()),
            1 => {
                unprocessed.lock().expect("the list is not poisoned").push(request_id(request));
                BackendAction::Write(response_bytes("503 Service Unavailable", "X-Unprocessed: 1\r\n", b""))
            }
            2 => return BackendAction::Hang,
            _ => ok_response("served"),
        };
        BackendAction::DelayThen(delay, Box::new(action))
    })
}

fn start_backends(rng: &mut Rng, hangs_from: Instant, unprocessed: &UnprocessedIds) -> Vec<Backend> {
    let start = |index: usize, seed: u64| {
        start_backend(seed, (index < HANGING_BACKENDS).then_some(hangs_from), Arc::clone(unprocessed))
    };
    (0..BACKENDS).map(|index| start(index, rng.u64(..))).collect()
}

/// Injects two kinds of failing system calls at a time, and clock steps.
fn inject_faults(soak: &Soak, faults: &Faults, mut rng: Rng) {
    let kinds = [
        (Fault::ShortRead, 300),
        (Fault::InterruptedRead, 200),
        (Fault::ShortWrite, 300),
        (Fault::InterruptedWrite, 200),
        (Fault::Accept, 300),
        (Fault::Socket, 150),
        (Fault::Connect, 150),
        (Fault::ConnectLocal, 200),
        (Fault::Wait, 300),
    ];
    while !soak.stop.load(Ordering::Acquire) {
        let (first, second) = (kinds[rng.usize(0..kinds.len())], kinds[rng.usize(0..kinds.len())]);
        faults.set(first.0, first.1);
        faults.set(second.0, second.1);
        faults.set(Fault::WallSeconds, rng.i32(-3_600..3_600));
        thread::sleep(Duration::from_millis(rng.u64(50..400)));
        faults.set(first.0, 0);
        faults.set(second.0, 0);
        thread::sleep(Duration::from_millis(rng.u64(0..200)));
    }
}

fn run_seed(seed: u64) -> Outcome {
    let mut rng = Rng::with_seed(seed);
    let deadline = Duration::from_millis([120, 300, 1_350][rng.usize(0..3)]);
    let (discovery, next_discovery) = (Discovery::start(), Discovery::start());
    let began = Instant::now() + Duration::from_millis(300);
    let hangs_from = began + Duration::from_millis(rng.u64(500..2_600));
    let unprocessed = UnprocessedIds::default();
    let backends = start_backends(&mut rng, hangs_from, &unprocessed);
    let members: Vec<_> = backends
        .iter()
        .enumerate()
        .map(|(n, b)| backend_entry(&format!("s-{n}"), b.address, "active", 0))
        .collect();
    let name = format!("soak-{seed}");
    let faults = Faults::new(&name);
    let config = soak_config(&name, &discovery, deadline, rng.bool());
    let launch = ProxyCommand::new(&name, &config.to_string()).with_environment(faults.environment(seed));
    let mut proxy = launch.start();
    discovery.publish_and_wait(true, &members);
    let soak = Soak {
        rng: rng.fork(),
        deadline,
        began,
        stop_connecting: AtomicBool::new(false),
        stop: AtomicBool::new(false),
        stalled_ms: AtomicU64::new(0),
    };
    let requests = Mutex::new(Vec::new());
    let address = proxy.address;
    let idle_connections = if rng.u32(0..3) == 0 { 90 } else { 0 };
    println!(
        "seed {seed}: deadlines of {deadline:?}, {} descriptors, {idle_connections} idle connections",
        config["limits"]["sockets"]
    );
    let drained_index = rng.usize(0..6);
    let (drained, shutdown) = thread::scope(|scope| {
        for number in 0..CLIENTS {
            let (soak, requests, seed) = (&soak, &requests, rng.u64(..));
            scope.spawn(move || {
                let records = run_client(soak, address, number, seed);
                requests.lock().expect("the list is not poisoned").extend(records);
            });
        }
        scope.spawn(|| open_idle_connections(&soak, address, idle_connections));
        let fault_rng = rng.fork();
        scope.spawn(|| inject_faults(&soak, &faults, fault_rng));
        let scenario = Scenario { discovery, next_discovery, members, config, drained_index };
        let result = scenario.run(&soak, &mut proxy);
        soak.stop.store(true, Ordering::Release);
        result
    });
    let log = proxy.remaining_log();
    let received = backends.iter().enumerate().flat_map(|(backend, b)| {
        b.requests.try_iter().map(move |message| ReceivedRequest { backend, message })
    });
    Outcome {
        requests: requests.into_inner().expect("the list"),
        received: received.collect(),
        unprocessed: std::mem::take(&mut unprocessed.lock().expect("the list is not poisoned")),
        log,
        drained,
        shutdown,
        stalled_time: Duration::from_millis(soak.stalled_ms.load(Ordering::Acquire)),
    }
}

/// The events that the process goes through: a drain, stalls, successive reloads, and the shutdown.
struct Scenario {
    discovery: Discovery,
    next_discovery: Discovery,
    members: Vec<Value>,
    config: Value,
    drained_index: usize,
}

impl Scenario {
    fn run(mut self, soak: &Soak, proxy: &mut Proxy) -> (DrainedBackend, Shutdown) {
        let mut rng = soak.rng.clone();
        let at = |milliseconds: u64| soak.began + Duration::from_millis(milliseconds);
        sleep_until(at(rng.u64(100..500)));
        self.members[self.drained_index]["phase"] = json!("leaving");
        self.discovery.publish(true, &self.members);
        let drained = DrainedBackend { index: self.drained_index, drained_at: Instant::now() };
        sleep_until(at(rng.u64(600..1_300)));
        soak.stall(proxy, rng.u64(20..140));
        self.reload_repeatedly(proxy);
        sleep_until(soak.began + STOP_SIGNAL_AFTER);
        if rng.bool() {
            proxy.signal("-HUP");
        }
        if proxy.child.try_wait().expect("the process can be queried").is_some() {
            soak.stop_connecting.store(true, Ordering::Release);
            let now = Instant::now();
            return (drained, Shutdown { signalled_at: now, ended_at: now, is_clean: false });
        }
        (drained, shut_down(soak, proxy, &mut rng))
    }

    /// Reloads three files in succession: with discovery at another address, malformed, and the first one.
    fn reload_repeatedly(&mut self, proxy: &Proxy) {
        self.next_discovery.publish(true, &self.members);
        self.config["discovery"] = json!(self.next_discovery.address.to_string());
        proxy.reload(&self.config.to_string());
        proxy.reload("{ broken");
        proxy.reload(&self.config.to_string());
    }
}

/// Sends the stop signal, at random further signals and a stall, and waits for the exit of the process; kills
/// it when its time is over.
fn shut_down(soak: &Soak, proxy: &mut Proxy, rng: &mut Rng) -> Shutdown {
    proxy.terminate();
    let signalled_at = Instant::now();
    let kill_at = signalled_at + soak.deadline + KILL_DELAY;
    if rng.bool() {
        soak.stall(proxy, rng.u64(20..140));
    }
    for signal in ["-HUP", "-TERM"] {
        if rng.bool() {
            // Fails if the process has ended already.
            let _ = Command::new("kill").args([signal, &proxy.child.id().to_string()]).status();
        }
    }
    sleep_until(signalled_at + CONNECT_TIME_AFTER_STOP);
    soak.stop_connecting.store(true, Ordering::Release);
    while Instant::now() < kill_at {
        if let Some(status) = proxy.child.try_wait().expect("the process can be queried") {
            return Shutdown { signalled_at, ended_at: Instant::now(), is_clean: status.code() == Some(0) };
        }
        thread::sleep(Duration::from_millis(2));
    }
    println!("the process had not ended when SIGKILL was due:\n{}", describe_threads(proxy.child.id()));
    let _ = proxy.child.kill();
    Shutdown { signalled_at, ended_at: Instant::now(), is_clean: false }
}

fn print_summary(seed: u64, outcome: &Outcome) {
    let answered = outcome.requests.iter().filter(|request| request.response.is_some()).count();
    let served =
        outcome.requests.iter().filter(|r| r.response.is_some_and(|response| response.status == 200));
    let shutdown = &outcome.shutdown;
    println!(
        "seed {seed}: {answered} of {} requests answered, {} served, process ended {:?} after SIGTERM",
        outcome.requests.len(),
        served.count(),
        shutdown.ended_at.saturating_duration_since(shutdown.signalled_at)
    );
}

/// Runs seeds until `end`, which is exclusive; returns the violations by seed.
fn run_seeds(next_seed: &AtomicU64, end: u64) -> Vec<(u64, Vec<String>)> {
    let mut failed = Vec::new();
    loop {
        let seed = next_seed.fetch_add(1, Ordering::AcqRel);
        if seed >= end {
            return failed;
        }
        let outcome = run_seed(seed);
        print_summary(seed, &outcome);
        let violations = violations(&outcome);
        if !violations.is_empty() {
            failed.push((seed, violations));
        }
    }
}

#[test]
fn soak_violates_no_requirement() {
    let first = env_number("SOAK_FROM", DEFAULT_FIRST_SEED);
    let end = first + env_number("SOAK_SEEDS", DEFAULT_SEED_COUNT);
    let next_seed = Arc::new(AtomicU64::new(first));
    let workers: Vec<_> = (0..PARALLEL_SEEDS)
        .map(|_| {
            let next_seed = Arc::clone(&next_seed);
            thread::spawn(move || run_seeds(&next_seed, end))
        })
        .collect();
    let failed: Vec<_> =
        workers.into_iter().flat_map(|worker| worker.join().expect("the worker thread finishes")).collect();
    assert!(failed.is_empty(), "violations by seed: {failed:#?}");
}
