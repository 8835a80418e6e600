//! Scenarios over loopback sockets: real proxies, each on its own thread, with emulated backends, discovery
//! and clients. The emulators record observations for the invariant checker. Here one thread runs all
//! emulators; `fleet` distributes them over several shards.

mod backends;
mod clients;
mod discovery;
mod shard;
mod shared_state;
mod threads;

pub(crate) use backends::reset;
pub(crate) use clients::up;
pub(crate) use shard::Shard;
pub(crate) use shared_state::SharedState;

use crate::invariant_checker::{CheckReport, check};
use crate::plan::Plan;
use crate::script::{Script, ScriptError};
use balancer::api::{Micros, Outcome, UnservedCounts};
use http_proxy::config::ConfigError;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use thiserror::Error;
use threads::{PROXY_TIMEOUT, Proxy, STATUS_INTERVAL};
use tokio::net::{TcpListener, TcpSocket};
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};

/// Connections that may wait to be accepted on one listener.
const BACKLOG: u32 = 1_024;

/// Opens a listener on all loopback addresses: the destination address of a connection identifies the caller.
///
/// # Errors
/// The error of the kernel where the socket can't be opened, bound or put into the listening state.
pub(crate) fn listen_on_loopback() -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.bind_device(Some(b"lo"))?;
    socket.bind(SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)))?;
    socket.listen(BACKLOG)
}

/// Why a scenario could not be run.
#[derive(Debug, Error)]
pub enum SocketScenarioError {
    /// A socket of an emulator failed.
    #[error("a stand-in: {0}")]
    Io(#[from] io::Error),
    /// The script is invalid.
    #[error("{0}")]
    Script(#[from] ScriptError),
    /// The proxy's configuration is invalid.
    #[error("the proxy's configuration: {0}")]
    Config(#[from] ConfigError),
    /// The proxy with this index did not start in time, or ended early; with the cause.
    #[error("proxy {0}: {1}")]
    Proxy(usize, String),
}

/// Request counts of a running scenario.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProgressCounts {
    /// Requests that clients have finished, whatever the result.
    pub requests: u64,
    /// Requests served with the expected body.
    pub served: u64,
    /// Requests rejected with status 429 or 503.
    pub rejected: u64,
    /// Requests that failed or got no response.
    pub failed: u64,
    /// Sum of the priority weights of all requests.
    pub weight_requested: f64,
    /// Sum of the priority weights earned: full within the latency objective, a fraction of it later.
    pub weight_earned: f64,
}

impl ProgressCounts {
    /// Weight earned over weight requested; 1 before the first request.
    #[must_use]
    pub fn goodput(&self) -> f64 {
        if self.weight_requested > 0.0 { self.weight_earned / self.weight_requested } else { 1.0 }
    }
}

/// The state of a running scenario, reported once a second.
#[derive(Clone, Debug)]
pub struct ProgressReport {
    /// Seconds since the scenario began.
    pub at: u64,
    /// Counts so far.
    pub progress: ProgressCounts,
    /// The first proxy's concurrency limit and requests in flight for each backend that it knows as ready.
    pub limits: Vec<(f64, u32)>,
    /// Backends whose process runs.
    pub up: usize,
    /// Backends that drain.
    pub draining: usize,
    /// Violations of each of the four rules so far.
    pub broken: [u64; 4],
}

/// The result of a completed scenario.
#[derive(Clone, Debug)]
pub struct ScenarioResult {
    /// The invariant checker's report on the emulators' observations.
    pub judgement: CheckReport,
    /// How often a fault was injected into a response or connection.
    pub fault_hits: u64,
    /// Finished attempts of all proxies by outcome, in the order of [`Outcome::ALL`].
    pub outcomes: [u64; Outcome::ALL.len()],
    /// Backends ejected, summed over all proxies.
    pub ejections: u64,
    /// Requests that the balancers ended without a backend's response, by cause.
    pub unserved: UnservedCounts,
}

/// Runs a scenario. `slack` is the timing tolerance of this machine in microseconds; `watch` is called once a
/// second.
///
/// # Errors
/// [`SocketScenarioError`] where an emulator or a proxy can't be started, or the script contains process or
/// link faults, which need proxies in processes of their own. Rule violations are not errors but part of the
/// report.
pub fn play(
    script: &Script,
    slack: Micros,
    watch: impl FnMut(&ProgressReport),
) -> Result<ScenarioResult, SocketScenarioError> {
    if !script.process_faults.is_empty() || !script.link_faults.is_empty() {
        let problem = "faults of processes and links are played by `fleet`";
        return Err(ScriptError::Value("process, link".into(), problem.into()).into());
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, run(script, slack, watch))
}

async fn run(
    script: &Script,
    slack: Micros,
    mut watch: impl FnMut(&ProgressReport),
) -> Result<ScenarioResult, SocketScenarioError> {
    let (shared_state, backend_changes) = SharedState::new(script.clone(), Plan::draw(script));
    let mut shard = Shard::open(&shared_state, 0, 1)?;
    shard.start_discovery(backend_changes).await?;
    let mut proxies = Vec::new();
    for (index, agent) in shard.agents().iter().enumerate() {
        proxies.push(threads::start(script, index, agent.address)?);
    }
    for (index, proxy) in proxies.iter().enumerate() {
        shared_state.proxy_endpoint(index).set_listen_address(proxy.address);
        let up = timeout(PROXY_TIMEOUT, clients::wait_until_up(proxy.address)).await;
        up.map_err(|_| SocketScenarioError::Proxy(index, "not up in time".into()))?;
        shared_state.proxy_endpoint(index).set_open(true);
    }
    let started_at = shared_state.now();
    let sender_task = shard.start(started_at);
    let mut at = 0;
    while !sender_task.is_finished() || shard.open_requests() > 0 {
        at += 1;
        shared_state.sleep_until(started_at + at * 1_000_000).await;
        watch(&progress_report(&shared_state, &shard, &proxies[0], at, slack));
    }
    // Lets the emulators observe stale sends for requests that have already ended.
    sleep(STATUS_INTERVAL + Duration::from_millis(50)).await;
    let (mut outcomes, mut ejections) = ([0; Outcome::ALL.len()], 0);
    let mut unserved = UnservedCounts::default();
    for proxy in &proxies {
        if let Ok(status) = proxy.status.lock() {
            ejections += status.1.ejections;
            unserved += status.1.unserved;
            outcomes.iter_mut().zip(status.1.outcomes).for_each(|(sum, more)| *sum += more);
        }
    }
    threads::stop_all(proxies).await?;
    let judgement = check(script, &shard.record(), slack);
    Ok(ScenarioResult { judgement, fault_hits: shard.fault_hits(), outcomes, ejections, unserved })
}

fn progress_report(
    shared_state: &SharedState,
    shard: &Shard,
    proxy: &Proxy,
    at: u64,
    slack: Micros,
) -> ProgressReport {
    let limits = proxy.status.lock().map(|status| status.0.clone()).unwrap_or_default();
    let so_far = check(&shared_state.script, &shard.record(), slack);
    // The checker counts requests still in flight as lost.
    let open = so_far.total.requests
        - so_far.total.in_time
        - so_far.total.late
        - so_far.total.rejected
        - so_far.total.failed;
    let mut broken = so_far.violations;
    broken[0] = broken[0].saturating_sub(open);
    let (up, draining) = shared_state.in_service();
    ProgressReport { at, progress: shard.progress(), limits, up, draining, broken }
}
