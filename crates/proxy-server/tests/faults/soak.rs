//! Seeded soaks: short deadlines, calls that fail, clocks that step, processes that stand, drains, configurations in a row,
//! signals in series, a crowd, and the kill at its earliest; two of these at least in each window. Clients use open
//! connections until the kill.
//!
//! `SOAK_SEEDS=60 cargo test -p proxy-server --test faults soak` plays more of them; `SOAK_FROM` begins elsewhere.

use crate::fault_injection::{Fault, Faults};
use crate::support::*;
use crate::{id_of, sleep_until, time_left};
use fastrand::Rng;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SEEDS: u64 = 8;
const AT_ONCE: usize = 4;
/// When the signal to end comes, and the kill after it beside the longest deadline.
const ENDS_AT: Duration = Duration::from_millis(2_600);
const KILL_DELAY: Duration = Duration::from_millis(700);
/// New connections go on coming for so long after SIGTERM.
const CONNECTIONS_COME: Duration = Duration::from_millis(400);
/// Up to half a second after its time an answer only earns nothing.
const LATE: Duration = Duration::from_millis(500);
/// The grace of drains, each limit 50 ms longer, and what a stand-in may take to be told and to tell.
const GRACE: Duration = Duration::from_millis(1_050 + 150);
const DEADLINE_SLACK: Duration = Duration::from_millis(150);
const CLIENTS: usize = 8;

fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// What a client saw of a request.
struct Asked {
    id: String,
    sent: Instant,
    patience: Duration,
    /// The answer's status and when it was whole; `None` where the connection ended without one.
    answer: Option<(u16, Instant)>,
    ended: Instant,
    /// The connection had served before: a close may have crossed the request.
    kept: bool,
    /// The kernel of the proxy's machine took all of it.
    taken: bool,
}

struct Soak {
    rng: Rng,
    deadline: Duration,
    began: Instant,
    stop_connecting: AtomicBool,
    stop: AtomicBool,
    /// How long the process stood in all, in milliseconds.
    stood: AtomicU64,
}

fn settings_with(config: &mut Value, deadline: Duration) {
    for class in config["settings"]["classes"].as_array_mut().expect("classes") {
        class["aimUs"] = json!(deadline.as_micros() as u64 / 2);
        class["deadlineUs"] = json!(deadline.as_micros() as u64);
        class["keyTtlUs"] = json!(deadline.as_micros() as u64 / 2);
    }
    config["settings"]["permissions"]["dialTimeoutUs"] = json!(250_000);
}

/// The requests that backends turned away unseen, each as often as it was.
type TurnedAway = Arc<Mutex<Vec<String>>>;

/// A backend that serves, and now and then resets, turns away or hangs.
fn backend(seed: u64, hangs_from: Option<Instant>, turned_away: TurnedAway) -> Backend {
    let mut rng = Rng::with_seed(seed);
    Backend::start(move |received| {
        let work = Duration::from_millis(rng.u64(2..25));
        let hangs = hangs_from.is_some_and(|from| Instant::now() >= from);
        let then = match rng.u32(0..40) {
            _ if hangs => return BackendAction::Hang,
            0 => return BackendAction::WriteAndClose(Vec::new()),
            1 => {
                turned_away.lock().expect("the list").push(id_of(received));
                BackendAction::Write(response_bytes("503 Service Unavailable", "X-Unprocessed: 1\r\n", b""))
            }
            2 => return BackendAction::Hang,
            _ => ok("served"),
        };
        BackendAction::DelayThen(work, Box::new(then))
    })
}

fn text_of(class: &str, id: &str, patience: Duration) -> String {
    let body = if class == "read" { "" } else { "a body" };
    request(class, id, body).replace("15000", &patience.as_millis().to_string())
}

/// One client until the soak stops.
fn client(soak: &Soak, address: SocketAddr, number: usize, seed: u64) -> Vec<Asked> {
    let mut rng = Rng::with_seed(seed);
    let mut kept: Option<Client> = None;
    let mut all = Vec::new();
    for turn in 0.. {
        if soak.stop.load(Ordering::Acquire) {
            break;
        }
        thread::sleep(Duration::from_millis(rng.u64(2..30)));
        if rng.u32(0..4) == 0 {
            kept = None;
        }
        let is_kept = kept.is_some();
        if !is_kept {
            if soak.stop_connecting.load(Ordering::Acquire) {
                break;
            }
            let Ok(stream) = TcpStream::connect(address) else { continue };
            stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
            kept = Some(Client {
                reader: std::io::BufReader::new(stream.try_clone().expect("a clone")),
                stream,
            });
        }
        let Some(connection) = &mut kept else { continue };
        let class = ["read", "submit", "charge"][rng.usize(0..3)];
        let id = format!("{class}-{number}-{turn}");
        let patience = soak.deadline.mul_f64(0.5 + rng.f64() / 2.0);
        let text = text_of(class, &id, patience);
        // Some are written in two pieces.
        let cut = if rng.u32(0..4) == 0 { rng.usize(1..text.len()) } else { text.len() };
        let mut taken = connection.stream.write_all(&text.as_bytes()[..cut]).is_ok();
        if cut < text.len() {
            thread::sleep(Duration::from_millis(rng.u64(1..20)));
            taken &= connection.stream.write_all(&text.as_bytes()[cut..]).is_ok();
        }
        let sent = Instant::now();
        let got = read_message(&mut connection.reader);
        let answer = got.as_ref().map(|received| (received.status(), Instant::now()));
        if got.is_none_or(|received| received.header("connection") == Some("close")) {
            kept = None;
        }
        let ended = Instant::now();
        all.push(Asked { id, sent, patience, answer, ended, kept: is_kept, taken });
    }
    all
}

/// Connections that say nothing, or half a head.
fn crowd(soak: &Soak, address: SocketAddr, size: usize) {
    let mut idle = Vec::new();
    while !soak.stop_connecting.load(Ordering::Acquire) {
        if idle.len() < size
            && let Ok(mut stream) = TcpStream::connect(address)
        {
            if idle.len() % 2 == 0 {
                let _ = stream.write_all(b"GET /read HT");
            }
            idle.push(stream);
        }
        thread::sleep(Duration::from_millis(3));
    }
}

/// Calls that fail, for windows that overlap.
fn trouble(soak: &Soak, faults: &Faults, mut rng: Rng) {
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
        let (one, two) = (kinds[rng.usize(0..kinds.len())], kinds[rng.usize(0..kinds.len())]);
        faults.set(one.0, one.1);
        faults.set(two.0, two.1);
        faults.set(Fault::WallSeconds, rng.i32(-3_600..3_600));
        thread::sleep(Duration::from_millis(rng.u64(50..400)));
        faults.set(one.0, 0);
        faults.set(two.0, 0);
        thread::sleep(Duration::from_millis(rng.u64(0..200)));
    }
}

struct Outcome {
    asked: Vec<Asked>,
    received: Vec<(usize, HttpMessage)>,
    turned_away: Vec<String>,
    drained: (usize, Instant),
    /// When the process was told to end, and when it had.
    ends: (Instant, Instant),
    by_itself: bool,
    log: String,
    stood: Duration,
}

fn play(seed: u64) -> Outcome {
    let mut rng = Rng::with_seed(seed);
    let deadline = Duration::from_millis([120, 300, 1_350][rng.usize(0..3)]);
    let (discovery, next) = (Discovery::start(), Discovery::start());
    let began = Instant::now() + Duration::from_millis(300);
    let hangs = began + Duration::from_millis(rng.u64(500..2_600));
    let turned_away = TurnedAway::default();
    let backends: Vec<_> =
        (0..6).map(|n| backend(rng.u64(..), (n < 2).then_some(hangs), Arc::clone(&turned_away))).collect();
    let mut members: Vec<_> =
        backends.iter().enumerate().map(|(n, b)| entry(&format!("s-{n}"), b.address, "active", 0)).collect();
    let name = format!("soak-{seed}");
    let faults = Faults::new(&name);
    let mut config = config(&name, &discovery);
    settings_with(&mut config, deadline);
    if rng.bool() {
        config["limits"]["sockets"] = json!(128);
    }
    let mut proxy =
        Launch::new(&name, &config.to_string()).with_environment(faults.environment(seed)).start();
    discovery.post(true, &members);
    let soak = Soak {
        rng: rng.fork(),
        deadline,
        began,
        stop_connecting: AtomicBool::new(false),
        stop: AtomicBool::new(false),
        stood: AtomicU64::new(0),
    };
    let asked = Mutex::new(Vec::new());
    let address = proxy.address;
    let crowd_size = if rng.u32(0..3) == 0 { 90 } else { 0 };
    println!(
        "seed {seed}: deadlines of {deadline:?}, {} descriptors, a crowd of {crowd_size}",
        config["limits"]["sockets"]
    );
    let drains = rng.usize(0..6);
    let (drained, ends, by_itself) = thread::scope(|scope| {
        for number in 0..CLIENTS {
            let (soak, asked, seed) = (&soak, &asked, rng.u64(..));
            scope.spawn(move || {
                let own = client(soak, address, number, seed);
                asked.lock().expect("the list").extend(own);
            });
        }
        scope.spawn(|| crowd(&soak, address, crowd_size));
        let troubles = rng.fork();
        scope.spawn(|| trouble(&soak, &faults, troubles));
        let done = signals(&soak, &mut proxy, &mut members, drains, (&discovery, &next), config);
        soak.stop.store(true, Ordering::Release);
        done
    });
    let log = proxy.remaining_log();
    let received = backends
        .iter()
        .enumerate()
        .flat_map(|(n, b)| b.requests.try_iter().map(move |received| (n, received)));
    Outcome {
        asked: asked.into_inner().expect("the list"),
        received: received.collect(),
        turned_away: std::mem::take(&mut turned_away.lock().expect("the list")),
        log,
        drained: (drains, drained),
        ends,
        by_itself,
        stood: Duration::from_millis(soak.stood.load(Ordering::Acquire)),
    }
}

/// A drain, stops, configurations in a row, and the end.
fn signals(
    soak: &Soak,
    proxy: &mut Proxy,
    members: &mut [Value],
    drains: usize,
    (discovery, next): (&Discovery, &Discovery),
    mut config: Value,
) -> (Instant, (Instant, Instant), bool) {
    let mut rng = soak.rng.clone();
    let at = |ms: u64| soak.began + Duration::from_millis(ms);
    sleep_until(at(rng.u64(100..500)));
    members[drains]["phase"] = json!("leaving");
    discovery.post_without_waiting(true, members);
    let drained = Instant::now();
    let stand = |proxy: &Proxy, ms: u64| {
        proxy.signal("-STOP");
        thread::sleep(Duration::from_millis(ms));
        proxy.signal("-CONT");
        soak.stood.fetch_add(ms, Ordering::AcqRel);
    };
    sleep_until(at(rng.u64(600..1_300)));
    stand(proxy, rng.u64(20..140));
    // The same settings, discovery elsewhere and back, and a broken file, in a row.
    next.post_without_waiting(true, members);
    config["discovery"] = json!(next.address.to_string());
    proxy.reload(&config.to_string());
    proxy.reload("{ broken");
    proxy.reload(&config.to_string());
    sleep_until(soak.began + ENDS_AT);
    if rng.bool() {
        proxy.signal("-HUP");
    }
    if proxy.child.try_wait().expect("a status").is_some() {
        soak.stop_connecting.store(true, Ordering::Release);
        return (drained, (Instant::now(), Instant::now()), false);
    }
    proxy.terminate();
    let told = Instant::now();
    let kill = told + soak.deadline + KILL_DELAY;
    if rng.bool() {
        stand(proxy, rng.u64(20..140));
    }
    for signal in ["-HUP", "-TERM"] {
        if rng.bool() {
            // It may have ended.
            let _ = std::process::Command::new("kill").args([signal, &proxy.child.id().to_string()]).status();
        }
    }
    sleep_until(told + CONNECTIONS_COME);
    soak.stop_connecting.store(true, Ordering::Release);
    while Instant::now() < kill {
        if let Some(status) = proxy.child.try_wait().expect("a status") {
            return (drained, (told, Instant::now()), status.code() == Some(0));
        }
        thread::sleep(Duration::from_millis(2));
    }
    let _ = proxy.child.kill();
    (drained, (told, Instant::now()), false)
}

/// What the clauses say of it, one line for each break.
fn breaks(played: &Outcome) -> Vec<String> {
    let mut out = Vec::new();
    let (told, ended) = played.ends;
    if !played.by_itself {
        let after = ended.saturating_duration_since(told);
        out.push(format!("it had not ended well {after:?} after SIGTERM; {}", played.log));
    }
    for asked in &played.asked {
        let limit = asked.patience + LATE + played.stood;
        match asked.answer {
            Some((_, at)) if at.saturating_duration_since(asked.sent) > limit => {
                out.push(format!(
                    "{} was answered {:?} late",
                    asked.id,
                    at.saturating_duration_since(asked.sent + asked.patience)
                ));
            }
            Some(_) => {}
            // What crosses the close of a resting connection is sent once more elsewhere.
            None if asked.kept || !asked.taken => {}
            None => out.push(format!(
                "{} on a new connection had no answer, {:?} after SIGTERM, ended after {:?}",
                asked.id,
                asked.sent.checked_duration_since(told),
                asked.ended.saturating_duration_since(asked.sent),
            )),
        }
    }
    let sent: HashMap<_, _> = played.asked.iter().map(|asked| (asked.id.as_str(), asked)).collect();
    let mut runs: HashMap<String, Vec<Instant>> = HashMap::new();
    for (number, received) in &played.received {
        let id = id_of(received);
        if let Some(asked) = sent.get(id.as_str()) {
            let left =
                asked.patience.saturating_sub(received.received_at.saturating_duration_since(asked.sent));
            if time_left(received) > left + DEADLINE_SLACK {
                out.push(format!("{id} was told {:?} and had {left:?}", time_left(received)));
            }
            // What was read and then closed with no answer is lost, whatever connection it came on.
            if asked.answer.is_none() && asked.taken {
                out.push(format!("{id} reached a backend and had no answer"));
            }
        }
        if *number == played.drained.0 && received.received_at > played.drained.1 + GRACE {
            out.push(format!(
                "{id} reached a drained backend {:?} after the word",
                received.received_at - played.drained.1
            ));
        }
        runs.entry(id).or_default().push(received.received_at);
    }
    for (id, runs) in runs {
        let turned_away = played.turned_away.iter().filter(|turned| **turned == id).count();
        if id.starts_with("charge") && runs.len() > 1 + turned_away {
            out.push(format!("{id} reached backends {} times", runs.len()));
        }
    }
    out
}

#[test]
fn soak_keeps_the_rules() {
    let (from, count) = (env_number("SOAK_FROM", 20_261_202), env_number("SOAK_SEEDS", SEEDS));
    let next = Arc::new(AtomicU64::new(from));
    let players: Vec<_> = (0..AT_ONCE)
        .map(|_| {
            let next = Arc::clone(&next);
            thread::spawn(move || {
                let mut failed = Vec::new();
                loop {
                    let seed = next.fetch_add(1, Ordering::AcqRel);
                    if seed >= from + count {
                        return failed;
                    }
                    let played = play(seed);
                    let answered = played.asked.iter().filter(|asked| asked.answer.is_some()).count();
                    let served =
                        played.asked.iter().filter(|a| a.answer.is_some_and(|(status, _)| status == 200));
                    let took = played.ends.1.saturating_duration_since(played.ends.0);
                    println!(
                        "seed {seed}: {answered} of {} answered, {} served, ended after {took:?}",
                        played.asked.len(),
                        served.count()
                    );
                    let breaks = breaks(&played);
                    if !breaks.is_empty() {
                        failed.push((seed, breaks));
                    }
                }
            })
        })
        .collect();
    let failed: Vec<_> = players.into_iter().flat_map(|player| player.join().expect("a player")).collect();
    assert!(failed.is_empty(), "{failed:#?}");
}
