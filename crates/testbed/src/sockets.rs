//! Scenarios over loopback sockets: real proxies, each on its own thread, with emulated backends, discovery
//! and clients. The emulators record observations for the invariant checker. Here one thread runs all
//! emulators; `fleet` distributes them over several threads.

mod backends;
mod clients;
mod discovery;
mod shard;
mod shared_state;
mod threads;

pub(crate) use backends::reset;
pub(crate) use clients::fetch_up_status;
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

/// Upper bound on the connections that wait to be accepted on a listener.
const BACKLOG: u32 = 1_024;

/// Opens a listener on all loopback addresses: the destination address of a connection identifies the caller.
///
/// # Errors
/// The error of the kernel where the socket cannot be opened, bound or put into the listening state.
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
    #[error("socket of an emulator: {0}")]
    Io(#[from] io::Error),
    /// The script is invalid.
    #[error("{0}")]
    Script(#[from] ScriptError),
    /// The proxy's configuration is invalid.
    #[error("configuration of the proxy: {0}")]
    Config(#[from] ConfigError),
    /// The proxy with this index did not start in time, or ended early; with the cause.
    #[error("proxy {0}: {1}")]
    Proxy(usize, String),
}

/// Request counts of a running scenario.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProgressCounts {
    /// Requests that clients have finished, with any result.
    pub requests: u64,
    /// Requests served with the expected body.
    pub served: u64,
    /// Requests rejected with status 429 or 503.
    pub rejected: u64,
    /// Requests that failed or got no response.
    pub failed: u64,
    /// Sum of the priority weights of all requests.
    pub weight_requested: f64,
    /// Sum of the priority weights earned by served requests: the full weight within the latency objective, a
    /// fraction of it later.
    pub weight_earned: f64,
}

impl ProgressCounts {
    /// Weight earned over weight requested, 0 to 1; 1 before the first request.
    #[must_use]
    pub fn goodput(&self) -> f64 {
        if self.weight_requested > 0.0 { self.weight_earned / self.weight_requested } else { 1.0 }
    }
}

/// The state of a running scenario, reported once a second.
#[derive(Clone, Debug)]
pub struct ProgressReport {
    /// Seconds since the scenario started.
    pub elapsed_s: u64,
    /// Counts so far.
    pub progress: ProgressCounts,
    /// Concurrency limit and requests in flight at the first proxy, for each backend that this proxy knows as
    /// ready.
    pub limits: Vec<(f64, u32)>,
    /// Number of backends whose process runs.
    pub up: usize,
    /// Number of backends that are draining.
    pub draining: usize,
    /// Violations of each of the four rules so far; see [`CheckReport::violations`].
    pub violations: [u64; 4],
}

/// The result of a completed scenario.
#[derive(Clone, Debug)]
pub struct ScenarioResult {
    /// The invariant checker's report on the emulators' observations.
    pub check_report: CheckReport,
    /// How often a fault was injected into a response or connection.
    pub fault_hits: u64,
    /// Finished attempts of all proxies by outcome, in the order of [`Outcome::ALL`].
    pub outcomes: [u64; Outcome::ALL.len()],
    /// Number of ejections of backends, summed over all proxies.
    pub ejections: u64,
    /// Requests that the balancers ended without a backend's response, by cause.
    pub unserved: UnservedCounts,
}

/// Runs a scenario. `slack` is the scheduling delay, in microseconds, that this machine may add; `watch` is
/// called once a second.
///
/// # Errors
/// [`SocketScenarioError`] where an emulator or a proxy cannot be started, or where the script contains
/// process or link faults, which need each proxy in its own process. Rule violations are not errors, but part
/// of the report.
pub fn run(
    script: &Script,
    slack: Micros,
    watch: impl FnMut(&ProgressReport),
) -> Result<ScenarioResult, SocketScenarioError> {
    if !script.process_faults.is_empty() || !script.link_faults.is_empty() {
        let problem = "faults of processes and links require `fleet`";
        return Err(ScriptError::Value("process, link".into(), problem.into()).into());
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, run_on_this_thread(script, slack, watch))
}

async fn run_on_this_thread(
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
        up.map_err(|_| SocketScenarioError::Proxy(index, "was not up within the time limit".into()))?;
        shared_state.proxy_endpoint(index).set_open(true);
    }
    let started_at = shared_state.now();
    let sender_task = shard.start(started_at);
    let mut elapsed_s = 0;
    while !sender_task.is_finished() || shard.open_requests() > 0 {
        elapsed_s += 1;
        shared_state.sleep_until(started_at + elapsed_s * 1_000_000).await;
        watch(&progress_report(&shared_state, &shard, &proxies[0], elapsed_s, slack));
    }
    // Waits so that the emulators also observe attempts for requests that have already ended, and the proxies
    // publish their last status.
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
    let check_report = check(script, &shard.observations(), slack);
    Ok(ScenarioResult { check_report, fault_hits: shard.fault_hits(), outcomes, ejections, unserved })
}

fn progress_report(
    shared_state: &SharedState,
    shard: &Shard,
    proxy: &Proxy,
    elapsed_s: u64,
    slack: Micros,
) -> ProgressReport {
    let limits = proxy.status.lock().map(|status| status.0.clone()).unwrap_or_default();
    let so_far = check(&shared_state.script, &shard.observations(), slack);
    // The checker counts requests that are still in flight as violations of rule 1.
    let open_requests = so_far.total.requests
        - so_far.total.in_time
        - so_far.total.late
        - so_far.total.rejected
        - so_far.total.failed;
    let mut violations = so_far.violations;
    violations[0] = violations[0].saturating_sub(open_requests);
    let (up, draining) = shared_state.count_up_and_draining();
    ProgressReport { elapsed_s, progress: shard.progress(), limits, up, draining, violations }
}
