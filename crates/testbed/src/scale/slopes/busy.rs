//! Figures of a proxy under requests: steady ones, and ones that wait.

use super::agent::Agent;
use super::backends::Backends;
use super::idle::REST;
use super::load::{self, Load, Open};
use super::quantities::Family;
use super::sheet::Sheet;
use super::subject::{Shape, Subject};
use super::{Bench, ScaleError, fit};
use crate::http1;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// The steady rate, requests a second: a proxy's part of the plan's peak.
const STEADY: f64 = 540.0;
/// Backends and connections of clients where neither is what changes.
const BACKENDS: usize = 20;
const CLIENTS: usize = 16;
/// What a tenant may send in a second where every request is to be beyond its share.
const NEXT_TO_NOTHING: f64 = 1e-6;
/// Backends for each open request: a proxy begins with room for one request at a backend.
const BACKENDS_PER_OPEN: usize = 2;
/// Listeners that stand for all backends of open requests.
const LISTENERS: usize = 400;
/// How long requests may take to be held.
const HELD_TIMEOUT: Duration = Duration::from_secs(20);
const LOOK_INTERVAL: Duration = Duration::from_millis(5);
/// How long what taking them in set off may go on.
const SETTLE: Duration = Duration::from_millis(100);
/// The part of the requests that may be lost before the figures are none.
const MAX_LOST: f64 = 0.01;

/// What one run of steady requests comes to.
struct Steady {
    requests: f64,
    seconds: f64,
    cpu_us: f64,
    wire_bytes: f64,
    dials: f64,
    added_p99_us: f64,
}

/// One run of steady requests: some that do not count, then those that do.
async fn steady(bench: &Bench, load: Load, shape: Shape) -> Result<Steady, ScaleError> {
    let backends = Backends::start(load.backends.len(), true)?;
    let agent = Agent::start(backends.addresses()).await?;
    let subject = bench.subject(agent.address(), shape).await?;
    agent.settled().await?;
    let mut load = Load { proxy: subject.address(), backends: backends.addresses().to_vec(), ..load };
    let span = std::mem::replace(&mut load.span, bench.span / 4);
    asked(&load).await?;
    load.span = span;
    load.seed ^= 1 << 20;
    // The clients of the streams that did not count have closed; the proxy sees that before the count begins.
    sleep(SETTLE).await;
    let direct_before = (backends.bytes(), backends.accepted());
    let (cpu, began) = (subject.cpu_us()?, Instant::now());
    let [proxied, direct] = asked(&load).await?;
    let (cpu_us, seconds) = (subject.cpu_us()? - cpu, began.elapsed().as_secs_f64());
    let p99 = |times: &[f64]| fit::percentile(times, 0.99).unwrap_or(f64::NAN);
    let requests = proxied.times.len() as f64;
    // What the backends saw of the direct stream is the clients' own account of it.
    let behind = (backends.bytes() - direct_before.0).saturating_sub(direct.bytes);
    let straight = load.clients as u64;
    let dials = (backends.accepted() - direct_before.1).saturating_sub(straight);
    Ok(Steady {
        requests,
        seconds,
        cpu_us,
        wire_bytes: (proxied.bytes + behind) as f64,
        dials: dials as f64 / requests,
        added_p99_us: p99(&proxied.times) - p99(&direct.times),
    })
}

async fn asked(load: &Load) -> Result<[load::Stream; 2], ScaleError> {
    let thread = load::pair(load.clone());
    // The agent has to go on answering on this thread meanwhile.
    while !thread.is_finished() {
        sleep(LOOK_INTERVAL).await;
    }
    let streams = thread.join().map_err(|_| ScaleError::Proxy("the clients ended".into()))??;
    for stream in &streams {
        let all = stream.times.len() + stream.lost;
        if stream.times.is_empty() || stream.lost as f64 > MAX_LOST * all as f64 {
            return Err(ScaleError::Lost { lost: stream.lost, all });
        }
    }
    Ok(streams)
}

/// One run at one size of one of the families with steady requests.
pub(super) async fn requests(
    bench: &Bench,
    family: Family,
    size: usize,
    sheet: &mut Sheet,
) -> Result<(), ScaleError> {
    let (mut backends, mut shape) = (BACKENDS, Shape::default());
    let mut load = Load {
        proxy: ([127, 0, 0, 1], 0).into(),
        backends: Vec::new(),
        clients: CLIENTS,
        per_s: STEADY,
        span: bench.span,
        tenants: 0,
        seed: bench.seed,
    };
    match family {
        Family::Rate => load.per_s = size as f64,
        Family::Fleet => backends = size,
        Family::Clients => load.clients = size,
        _ => {
            load.tenants = size;
            shape = Shape { tenants: size, allowance: NEXT_TO_NOTHING, ..shape };
        }
    }
    // Their addresses come with the backends themselves.
    load.backends = vec![load.proxy; backends];
    let got = steady(bench, load, shape).await?;
    let request_cpu = got.cpu_us / got.requests;
    match family {
        Family::Rate => {
            sheet.add("cpu_us_per_request", size, got.cpu_us / got.seconds);
            sheet.add("wire_bytes_per_request", size, got.wire_bytes / got.seconds);
            sheet.add("added_p99_us_by_rate", size, got.added_p99_us);
        }
        Family::Fleet => {
            sheet.add("request_cpu_us_by_backends", size, request_cpu);
            sheet.add("request_dials_by_backends", size, got.dials);
            sheet.add("added_p99_us_by_backends", size, got.added_p99_us);
        }
        Family::Clients => {
            sheet.add("request_cpu_us_by_clients", size, request_cpu);
            sheet.add("added_p99_us_by_clients", size, got.added_p99_us);
        }
        _ => {
            sheet.add("over_share_request_cpu_us_by_tenants", size, request_cpu);
            sheet.add("over_share_added_p99_us_by_tenants", size, got.added_p99_us);
        }
    }
    Ok(())
}

/// One run at one number of connections that rest: each has asked once whether the proxy is up.
pub(super) async fn idle_clients(bench: &Bench, size: usize, sheet: &mut Sheet) -> Result<(), ScaleError> {
    let backends = Backends::start(BACKENDS, true)?;
    let agent = Agent::start(backends.addresses()).await?;
    let subject = bench.subject(agent.address(), Shape::default()).await?;
    agent.settled().await?;
    let mut clients = Vec::with_capacity(size);
    for _ in 0..size {
        let mut stream = TcpStream::connect(subject.address()).await?;
        stream.write_all(b"GET /up HTTP/1.1\r\nHost: rig\r\n\r\n").await?;
        let answer = http1::read(&mut stream, &mut Vec::new(), http1::MessageKind::Response).await?;
        if answer.is_none_or(|answer| answer.status != 200 || answer.closes()) {
            return Err(ScaleError::Lost { lost: size - clients.len(), all: size });
        }
        clients.push(stream);
    }
    sleep(SETTLE).await;
    sheet.add("memory_bytes_per_idle_client", size, subject.memory()?.resident);
    let (cpu, began) = (subject.cpu_us()?, Instant::now());
    sleep(REST).await;
    let rest_per_s = (subject.cpu_us()? - cpu) / began.elapsed().as_secs_f64();
    sheet.add("rest_cpu_us_per_idle_client", size, rest_per_s);
    // One that the proxy has closed would have been counted as resting.
    let closed = clients.iter().filter(|stream| matches!(stream.try_read(&mut [0; 1]), Ok(0))).count();
    if closed == 0 { Ok(()) } else { Err(ScaleError::Lost { lost: closed, all: size }) }
}

/// One run at one number of requests that wait, beside as many backends as the largest size needs.
pub(super) async fn open(
    bench: &Bench,
    size: usize,
    largest: usize,
    sheet: &mut Sheet,
) -> Result<(), ScaleError> {
    let backends = Backends::start(LISTENERS, false)?;
    let shared = backends.addresses().iter().copied().cycle();
    let agent = Agent::start(&shared.take(largest * BACKENDS_PER_OPEN).collect::<Vec<_>>()).await?;
    let subject: Subject = bench.subject(agent.address(), Shape::default()).await?;
    agent.settled().await?;
    sleep(SETTLE).await;
    let cpu = subject.cpu_us()?;
    let open = Open::send(subject.address(), size);
    let end = Instant::now() + HELD_TIMEOUT;
    while (backends.held() as usize) < size {
        if Instant::now() > end || open.has_ended() {
            return Err(ScaleError::NotHeld { held: backends.held() as usize, all: size });
        }
        sleep(LOOK_INTERVAL).await;
    }
    sheet.add("open_cpu_us_per_open_request", size, subject.cpu_us()? - cpu);
    sleep(SETTLE).await;
    sheet.add("memory_bytes_per_open_request", size, subject.memory()?.resident);
    let (cpu, began) = (subject.cpu_us()?, Instant::now());
    sleep(REST).await;
    let rest_per_s = (subject.cpu_us()? - cpu) / began.elapsed().as_secs_f64();
    sheet.add("rest_cpu_us_per_open_request", size, rest_per_s);
    backends.answer();
    while !open.has_ended() {
        sleep(LOOK_INTERVAL).await;
    }
    let served = open.served()?;
    if served == size { Ok(()) } else { Err(ScaleError::Lost { lost: size - served, all: size }) }
}
