//! A day on loopback sockets: real proxies, each on a thread of its own, between stand-ins for boxes, discovery and
//! clients. Stand-ins record what they saw for the judge. Here one thread holds them all; the process laboratory deals
//! them out among several.

mod backends;
mod clients;
mod discovery;
mod shard;
mod shared_state;
mod threads;

pub(crate) use backends::reset;
pub(crate) use clients::up;
pub(crate) use shard::Shard;
pub(crate) use shared_state::Board;

use crate::invariant_checker::{CheckReport, check};
use crate::plan::Plan;
use crate::script::{Script, ScriptError};
use balancer::api::{Micros, Outcome};
use http_proxy::config::ConfigError;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use thiserror::Error;
use threads::{LIMITS_INTERVAL, PROXY_TIME, Proxy};
use tokio::net::{TcpListener, TcpSocket};
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};

const BACKLOG: u32 = 1_024;

/// A listener that only loopback reaches, on all of its addresses: the one that was called may tell who calls.
pub(crate) fn listen_on_loopback() -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.bind_device(Some(b"lo"))?;
    socket.bind(SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)))?;
    socket.listen(BACKLOG)
}

/// Why a day could not be played.
#[derive(Debug, Error)]
pub enum SocketsError {
    /// A stand-in has no socket.
    #[error("a stand-in: {0}")]
    Io(#[from] io::Error),
    /// The script.
    #[error("{0}")]
    Script(#[from] ScriptError),
    /// The proxy's configuration is refused.
    #[error("the proxy's configuration: {0}")]
    Config(#[from] ConfigError),
    /// A proxy did not come up, or ended early.
    #[error("proxy {0}: {1}")]
    Proxy(usize, String),
}

/// Counts of a running day.
#[derive(Clone, Copy, Debug, Default)]
pub struct Live {
    /// Requests asked.
    pub asked: u64,
    /// Served.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Worth asked for and earned.
    pub worth: (f64, f64),
}

/// A second of a day, for whoever watches.
#[derive(Clone, Debug)]
pub struct Second {
    /// Seconds since its beginning.
    pub at: u64,
    /// Counts so far.
    pub live: Live,
    /// The first proxy's limit and requests in flight for each backend that it knows as ready.
    pub limits: Vec<(f64, u32)>,
    /// Boxes whose process runs.
    pub up: usize,
    /// Boxes that drain.
    pub draining: usize,
    /// Breaks of the four rules so far.
    pub broken: [u64; 4],
}

/// A day that was played.
#[derive(Clone, Debug)]
pub struct Day {
    /// What the stand-ins make of it.
    pub judgement: CheckReport,
    /// How often a trouble of answers or connections hit.
    pub hits: u64,
    /// Ends of attempts at all proxies by outcome, in the order of [`Outcome::ALL`].
    pub outcomes: [u64; Outcome::ALL.len()],
    /// Servers ejected, at all proxies.
    pub ejections: u64,
}

/// Plays a day. `slack` is what this machine may be late by; `watch` is told of each second.
///
/// # Errors
/// Where a stand-in or a proxy can't be started, or the script wants faults of processes or links, for which proxies
/// have to be processes. Broken rules are no error but in the judgement.
pub fn play(script: &Script, slack: Micros, watch: impl FnMut(&Second)) -> Result<Day, SocketsError> {
    if !script.process_faults.is_empty() || !script.link_faults.is_empty() {
        let problem = "faults of processes and links are played by `fleet`";
        return Err(ScriptError::Value("process, link".into(), problem.into()).into());
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, day(script, slack, watch))
}

async fn day(script: &Script, slack: Micros, mut watch: impl FnMut(&Second)) -> Result<Day, SocketsError> {
    let (board, news) = Board::new(script.clone(), Plan::draw(script));
    let mut shard = Shard::open(&board, 0, 1)?;
    shard.open_agents(news).await?;
    let mut proxies = Vec::new();
    for (index, agent) in shard.agents().iter().enumerate() {
        proxies.push(threads::start(script, index, agent.address)?);
    }
    for (index, proxy) in proxies.iter().enumerate() {
        board.entrance(index).listens_at(proxy.address);
        let up = timeout(PROXY_TIME, clients::wait_until_up(proxy.address)).await;
        up.map_err(|_| SocketsError::Proxy(index, "not up in time".into()))?;
        board.entrance(index).set_open(true);
    }
    let began = board.now();
    let asking = shard.begin(began);
    let mut at = 0;
    while !asking.is_finished() || shard.open_requests() > 0 {
        at += 1;
        board.sleep_until(began + at * 1_000_000).await;
        watch(&second(&board, &shard, &proxies[0], at, slack));
    }
    // Whatever a proxy still sends for requests that are over would be seen now.
    sleep(LIMITS_INTERVAL + Duration::from_millis(50)).await;
    let (mut outcomes, mut ejections) = ([0; Outcome::ALL.len()], 0);
    for proxy in &proxies {
        if let Ok(shown) = proxy.shown.lock() {
            ejections += shown.1.ejections;
            outcomes.iter_mut().zip(shown.1.outcomes).for_each(|(sum, more)| *sum += more);
        }
    }
    threads::stop_all(proxies).await?;
    let judgement = check(script, &shard.record(), slack);
    Ok(Day { judgement, hits: shard.hits(), outcomes, ejections })
}

fn second(board: &Board, shard: &Shard, proxy: &Proxy, at: u64, slack: Micros) -> Second {
    let limits = proxy.shown.lock().map(|shown| shown.0.clone()).unwrap_or_default();
    let so_far = check(&board.script, &shard.record(), slack);
    // Those that still wait look lost to the judge.
    let open = so_far.total.requests
        - so_far.total.in_time
        - so_far.total.late
        - so_far.total.rejected
        - so_far.total.failed;
    let mut broken = so_far.violations;
    broken[0] = broken[0].saturating_sub(open);
    let (up, draining) = board.in_service();
    Second { at, live: shard.live(), limits, up, draining, broken }
}
