//! Measurements of a proxy with client connections: requests at a steady rate, idle connections and requests
//! in flight.

use super::agent::Agent;
use super::backends::Backends;
use super::idle::IDLE_TIME;
use super::load::{self, Load, OpenRequests};
use super::proxy_process::{ProxyProcess, SettingsSpec};
use super::quantities::Family;
use super::samples::Samples;
use super::{MeasurementSettings, ScaleError, fit};
use crate::http1;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// The steady rate, requests per second: one proxy's part of the planned peak.
const STEADY_PER_S: f64 = 540.0;
/// Number of backends, in families that do not vary it.
const BACKENDS: usize = 20;
/// Number of client connections, in families that do not vary it.
const CLIENTS: usize = 16;
/// Quota of a tenant, requests per second, so low that every request exceeds it.
const TINY_QUOTA_PER_S: f64 = 1e-6;
/// Backends per open request. A proxy starts with a concurrency limit of one request per backend.
const BACKENDS_PER_OPEN_REQUEST: usize = 2;
/// Listeners that all backends of open requests share.
const LISTENERS: usize = 400;
/// Time limit until all open requests are in flight at backends.
const IN_FLIGHT_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// How long the proxy may still process closed or accepted connections.
const SETTLE_TIME: Duration = Duration::from_millis(100);
/// Largest accepted fraction of unserved requests.
const MAX_UNSERVED: f64 = 0.01;

/// Results of one run at a steady rate.
struct SteadyResult {
    requests: f64,
    seconds: f64,
    cpu_us: f64,
    wire_bytes: f64,
    dials_per_request: f64,
    /// 99th percentile of the response time through the proxy minus that of direct requests, microseconds.
    added_p99_us: f64,
}

/// Runs the load twice: a warm-up of a quarter of the duration, then the measurement.
async fn run_steady(
    settings: &MeasurementSettings,
    load: Load,
    spec: SettingsSpec,
) -> Result<SteadyResult, ScaleError> {
    let backends = Backends::start(load.backends.len(), true)?;
    let agent = Agent::start(backends.addresses()).await?;
    let proxy = settings.start_proxy(agent.address(), spec).await?;
    agent.wait_until_applied().await?;
    let mut load = Load { proxy: proxy.address(), backends: backends.addresses().to_vec(), ..load };
    let duration = std::mem::replace(&mut load.duration, settings.duration / 4);
    run_load(&load).await?;
    load.duration = duration;
    load.seed ^= 1 << 20;
    // The warm-up's clients have closed their connections; the proxy processes that before the measurement.
    sleep(SETTLE_TIME).await;
    let before = (backends.wire_bytes(), backends.accepted());
    let (cpu, began) = (proxy.cpu_us()?, Instant::now());
    let [proxied, direct] = run_load(&load).await?;
    let (cpu_us, seconds) = (proxy.cpu_us()? - cpu, began.elapsed().as_secs_f64());
    let p99 = |response_times: &[f64]| fit::percentile(response_times, 0.99).unwrap_or(f64::NAN);
    let requests = proxied.response_times.len() as f64;
    // Both streams reach the same backends; what the clients counted of the direct stream is subtracted.
    let proxied_backend_bytes = (backends.wire_bytes() - before.0).saturating_sub(direct.wire_bytes);
    let direct_connections = load.clients as u64;
    let dials = (backends.accepted() - before.1).saturating_sub(direct_connections);
    Ok(SteadyResult {
        requests,
        seconds,
        cpu_us,
        wire_bytes: (proxied.wire_bytes + proxied_backend_bytes) as f64,
        dials_per_request: dials as f64 / requests,
        added_p99_us: p99(&proxied.response_times) - p99(&direct.response_times),
    })
}

async fn run_load(load: &Load) -> Result<[load::StreamResult; 2], ScaleError> {
    let thread = load::run_both(load.clone());
    // The agent runs on this thread and must respond in the meantime.
    while !thread.is_finished() {
        sleep(POLL_INTERVAL).await;
    }
    let streams = thread.join().map_err(|_| ScaleError::Proxy("the client thread panicked".into()))??;
    for stream in &streams {
        let total = stream.response_times.len() + stream.unserved;
        if stream.response_times.is_empty() || stream.unserved as f64 > MAX_UNSERVED * total as f64 {
            return Err(ScaleError::Unserved { unserved: stream.unserved, total });
        }
    }
    Ok(streams)
}

/// Measures one run of a family with a steady rate at this size.
pub(super) async fn requests(
    settings: &MeasurementSettings,
    family: Family,
    size: usize,
    samples: &mut Samples,
) -> Result<(), ScaleError> {
    let (mut backends, mut spec) = (BACKENDS, SettingsSpec::default());
    let mut load = Load {
        proxy: ([127, 0, 0, 1], 0).into(),
        backends: Vec::new(),
        clients: CLIENTS,
        per_s: STEADY_PER_S,
        duration: settings.duration,
        tenants: 0,
        seed: settings.seed,
    };
    match family {
        Family::Rate => load.per_s = size as f64,
        Family::Fleet => backends = size,
        Family::Clients => load.clients = size,
        _ => {
            load.tenants = size;
            spec = SettingsSpec { tenants: size, allowance_per_s: TINY_QUOTA_PER_S, ..spec };
        }
    }
    // Placeholders: only their number counts until the backends have started.
    load.backends = vec![load.proxy; backends];
    let result = run_steady(settings, load, spec).await?;
    let request_cpu_us = result.cpu_us / result.requests;
    match family {
        Family::Rate => {
            samples.add("cpu_us_per_request", size, result.cpu_us / result.seconds);
            samples.add("wire_bytes_per_request", size, result.wire_bytes / result.seconds);
            samples.add("added_p99_us_by_rate", size, result.added_p99_us);
        }
        Family::Fleet => {
            samples.add("request_cpu_us_by_backends", size, request_cpu_us);
            samples.add("request_dials_by_backends", size, result.dials_per_request);
            samples.add("added_p99_us_by_backends", size, result.added_p99_us);
        }
        Family::Clients => {
            samples.add("request_cpu_us_by_clients", size, request_cpu_us);
            samples.add("added_p99_us_by_clients", size, result.added_p99_us);
        }
        _ => {
            samples.add("over_share_request_cpu_us_by_tenants", size, request_cpu_us);
            samples.add("over_share_added_p99_us_by_tenants", size, result.added_p99_us);
        }
    }
    Ok(())
}

/// Measures one run with this number of idle connections, each after one `/up` request.
pub(super) async fn idle_clients(
    settings: &MeasurementSettings,
    size: usize,
    samples: &mut Samples,
) -> Result<(), ScaleError> {
    let backends = Backends::start(BACKENDS, true)?;
    let agent = Agent::start(backends.addresses()).await?;
    let proxy = settings.start_proxy(agent.address(), SettingsSpec::default()).await?;
    agent.wait_until_applied().await?;
    let mut clients = Vec::with_capacity(size);
    for _ in 0..size {
        let mut stream = TcpStream::connect(proxy.address()).await?;
        stream.write_all(b"GET /up HTTP/1.1\r\nHost: rig\r\n\r\n").await?;
        let response = http1::read(&mut stream, &mut Vec::new(), http1::MessageKind::Response).await?;
        if response.is_none_or(|response| response.status != 200 || response.closes()) {
            return Err(ScaleError::Unserved { unserved: size - clients.len(), total: size });
        }
        clients.push(stream);
    }
    sleep(SETTLE_TIME).await;
    samples.add("memory_bytes_per_idle_client", size, proxy.memory()?.resident);
    let (cpu, began) = (proxy.cpu_us()?, Instant::now());
    sleep(IDLE_TIME).await;
    let idle_cpu_us_per_s = (proxy.cpu_us()? - cpu) / began.elapsed().as_secs_f64();
    samples.add("rest_cpu_us_per_idle_client", size, idle_cpu_us_per_s);
    // A connection that the proxy has closed would distort the result.
    let closed = clients.iter().filter(|stream| matches!(stream.try_read(&mut [0; 1]), Ok(0))).count();
    if closed == 0 { Ok(()) } else { Err(ScaleError::Unserved { unserved: closed, total: size }) }
}

/// Measures one run with this number of requests in flight. Each run has as many backends as the largest size
/// needs.
pub(super) async fn open_requests(
    settings: &MeasurementSettings,
    size: usize,
    largest: usize,
    samples: &mut Samples,
) -> Result<(), ScaleError> {
    let backends = Backends::start(LISTENERS, false)?;
    let addresses = backends.addresses().iter().copied().cycle();
    let agent =
        Agent::start(&addresses.take(largest * BACKENDS_PER_OPEN_REQUEST).collect::<Vec<_>>()).await?;
    let proxy: ProxyProcess = settings.start_proxy(agent.address(), SettingsSpec::default()).await?;
    agent.wait_until_applied().await?;
    sleep(SETTLE_TIME).await;
    let cpu = proxy.cpu_us()?;
    let open = OpenRequests::send(proxy.address(), size);
    let deadline = Instant::now() + IN_FLIGHT_TIMEOUT;
    while (backends.in_flight() as usize) < size {
        if Instant::now() > deadline || open.has_ended() {
            return Err(ScaleError::NotInFlight { in_flight: backends.in_flight() as usize, total: size });
        }
        sleep(POLL_INTERVAL).await;
    }
    samples.add("open_cpu_us_per_open_request", size, proxy.cpu_us()? - cpu);
    sleep(SETTLE_TIME).await;
    samples.add("memory_bytes_per_open_request", size, proxy.memory()?.resident);
    let (cpu, began) = (proxy.cpu_us()?, Instant::now());
    sleep(IDLE_TIME).await;
    let idle_cpu_us_per_s = (proxy.cpu_us()? - cpu) / began.elapsed().as_secs_f64();
    samples.add("rest_cpu_us_per_open_request", size, idle_cpu_us_per_s);
    backends.respond();
    while !open.has_ended() {
        sleep(POLL_INTERVAL).await;
    }
    let served = open.served()?;
    if served == size { Ok(()) } else { Err(ScaleError::Unserved { unserved: size - served, total: size }) }
}
