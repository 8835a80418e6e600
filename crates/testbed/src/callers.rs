//! Emulated callers of the external processor. A campaign sends requests over the plain stream or `ext_proc`,
//! kills callers at random, lets backends crash, records all effects independently of the processor, and
//! measures the cost of a decision.
//!
//! Backends exist only as entries of the ledger: no traffic leaves the callers and the processor, which
//! communicate over loopback sockets.

mod envoy;
mod ledger;
mod processor;
mod results;
mod stream_caller;

pub use results::CampaignResult;

use crate::cost::CostError;
use external_processor::generated as pb;
use ledger::Ledger;
use processor::Processor;
use std::collections::VecDeque;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use stream_caller::{Caller, CallerConnection};
use thiserror::Error;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep, timeout};

/// Upper bound on the requests of a campaign.
const MAX_REQUESTS: usize = 5_000_000;
/// Upper bound on the callers of a campaign.
const MAX_CALLERS: usize = 64;
/// Upper bound on the backends of a campaign.
const MAX_BACKENDS: usize = 8_000;
/// An answer that takes longer than this counts as missing.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);
/// Interval at which a caller checks for requests that are due.
const PACING_INTERVAL: Duration = Duration::from_millis(1);
/// The request classes; each request gets a random one.
const CLASSES: [&str; 3] = ["read", "submit", "charge"];

/// Why a campaign could not be run.
#[derive(Debug, Error)]
pub enum CallersError {
    /// The processor's process failed.
    #[error(transparent)]
    Process(#[from] CostError),
    /// A file or runtime could not be created.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// The processor rejected a call.
    #[error("the processor rejected a call: {0}")]
    Call(#[from] tonic::Status),
    /// A connection to the processor failed.
    #[error("cannot connect to the processor: {0}")]
    Connect(#[from] tonic::transport::Error),
    /// This caller received no answer in time, with this number of requests open.
    #[error("caller {0} received no answer for {RESPONSE_TIMEOUT:?}, with {1} requests open")]
    NoAnswer(usize, usize),
    /// This caller received an answer that the protocol does not allow here; with a description.
    #[error("caller {0} received an unexpected answer: {1}")]
    UnexpectedAnswer(usize, String),
    /// A value of the campaign is out of range.
    #[error(
        "a campaign has 1 to {MAX_REQUESTS} requests, 1 to {MAX_CALLERS} callers, 1 to {MAX_BACKENDS} backends, \
         and at least 1 open request for each caller"
    )]
    OutOfRange,
}

/// The size, load, faults and seed of a campaign.
#[derive(Clone, Debug, clap::Args)]
pub struct Campaign {
    /// Number of requests of all callers.
    #[arg(long, default_value_t = 200_000)]
    pub requests: usize,
    /// Number of callers, each with a connection and a stream.
    #[arg(long, default_value_t = 4)]
    pub callers: usize,
    /// Number of open requests of each caller.
    #[arg(long, default_value_t = 64)]
    pub open: usize,
    /// Number of backends.
    #[arg(long = "boxes", value_name = "BOXES", default_value_t = 100)]
    pub backends: usize,
    /// Requests per second of all callers; 0: limited only by the open requests.
    #[arg(long, default_value_t = 0.0)]
    pub rate: f64,
    /// Mean number of answers after which a caller is killed; 0: never.
    #[arg(long, default_value_t = 2_000)]
    pub kill_every: usize,
    /// One in this number of attempts meets a fault, and a tenth of the faults crash their backend; 0: none.
    #[arg(long = "trouble-every", value_name = "TROUBLE_EVERY", default_value_t = 50)]
    pub fault_interval: usize,
    /// Use the protocol of Envoy's filter, with a stream for each request.
    #[arg(long)]
    pub envoy: bool,
    /// Seed of all random numbers.
    #[arg(long, default_value_t = 20_261_201)]
    pub seed: u64,
    /// Path of the proxy's executable; without it the processor is a thread, and its CPU time and memory are
    /// not reported.
    #[arg(long, default_value = "target/release/load-balancing-proxy")]
    pub program: Option<PathBuf>,
}

impl fmt::Display for Campaign {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { requests, callers, open, backends, rate, envoy, seed, .. } = self;
        let protocol = if *envoy { "ext_proc" } else { "plain stream" };
        write!(
            f,
            "{requests} requests, {callers} callers over the {protocol}, {open} open each, {backends} backends, "
        )?;
        if *rate > 0.0 {
            write!(f, "{rate} requests/s, seed {seed}")
        } else {
            write!(f, "unpaced, seed {seed}")
        }
    }
}

/// A planned request: its number, and the index of its class in [`CLASSES`].
#[derive(Clone, Debug)]
struct CampaignRequest {
    number: u64,
    class: usize,
}

/// State shared by the callers of a campaign.
struct CampaignContext {
    campaign: Campaign,
    address: SocketAddr,
    ledger: Mutex<Ledger>,
    started_at: Instant,
}

impl CampaignContext {
    /// Whether a caller that has sent this number of requests may send the next one.
    fn is_due(&self, sent: u64) -> bool {
        let rate = self.campaign.rate / self.campaign.callers as f64;
        rate <= 0.0 || (sent as f64) < self.started_at.elapsed().as_secs_f64() * rate
    }

    /// Emulates an attempt at a backend; `None` where no backend has this address.
    fn send(&self, address: &str, request: &CampaignRequest) -> Option<pb::Outcome> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner).send(address, request)
    }
}

/// Runs a campaign against a processor that it starts.
///
/// # Errors
/// Where the campaign is out of range, the processor does not start, or an answer is missing or unexpected.
pub fn run(campaign: &Campaign) -> Result<CampaignResult, CallersError> {
    let in_range = |value: usize, max: usize| (1..=max).contains(&value);
    if !in_range(campaign.requests, MAX_REQUESTS)
        || !in_range(campaign.callers, MAX_CALLERS)
        || !in_range(campaign.backends, MAX_BACKENDS)
        || campaign.open == 0
    {
        return Err(CallersError::OutOfRange);
    }
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let local = LocalSet::new();
    local.block_on(&runtime, async {
        let processor = Processor::start(campaign.program.as_deref(), campaign.backends).await?;
        let address = processor.caller_address()?;
        let context = Arc::new(CampaignContext {
            campaign: campaign.clone(),
            address,
            ledger: Mutex::new(Ledger::new(campaign)),
            started_at: Instant::now(),
        });
        let cpu_before = processor.usage()?.0;
        let callers: Vec<_> = (0..campaign.callers)
            .map(|number| {
                if campaign.envoy {
                    tokio::spawn(envoy::run(Arc::clone(&context), number))
                } else {
                    tokio::spawn(Caller::new(&context, number).run())
                }
            })
            .collect();
        let mut total = CampaignResult::empty();
        for caller in callers {
            let result = caller.await.map_err(|e| CallersError::UnexpectedAnswer(0, e.to_string()))??;
            total.add(&result);
        }
        total.duration = context.started_at.elapsed();
        let (cpu_s, memory_mb) = processor.usage()?;
        (total.cpu_s, total.memory_mb) = (cpu_s - cpu_before, memory_mb);
        let ledger = context.ledger.lock().unwrap_or_else(PoisonError::into_inner);
        total.effects = (ledger.effects, ledger.duplicate_effects);
        Ok(total)
    })
}

/// The random number generator of the caller with this number, and the requests assigned to it.
fn assign_requests(campaign: &Campaign, number: usize) -> (fastrand::Rng, VecDeque<CampaignRequest>) {
    let mut rng = fastrand::Rng::with_seed(campaign.seed.wrapping_add(1 + number as u64));
    let numbers = (number..campaign.requests).step_by(campaign.callers);
    let queued =
        numbers.map(|n| CampaignRequest { number: n as u64, class: rng.usize(..CLASSES.len()) }).collect();
    (rng, queued)
}

/// Measures the processor's memory for this number of open leases. Returns its memory without them and with
/// them, MB, and the number of leases granted.
///
/// # Errors
/// Where the processor does not start, or an answer is missing.
pub fn measure_lease_memory(campaign: &Campaign, leases: usize) -> Result<(f64, f64, usize), CallersError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = LocalSet::new();
    local.block_on(&runtime, async {
        let processor = Processor::start(campaign.program.as_deref(), campaign.backends).await?;
        let address = processor.caller_address()?;
        let mut connection = CallerConnection::connect(address).await?;
        let memory_before = processor.usage()?.1;
        let mut granted = 0;
        for tag in 1..=leases as u64 {
            let id = tag.to_be_bytes().to_vec();
            let decide = pb::DecideRequest { id, class: "charge".into(), ..pb::DecideRequest::default() };
            connection.send_question(tag, pb::question::Question::Decide(decide)).await;
            let answer = timeout(RESPONSE_TIMEOUT, connection.answers.message()).await;
            let answer = answer.map_err(|_| CallersError::NoAnswer(0, 1))??.and_then(|t| t.answer);
            granted +=
                usize::from(matches!(answer.and_then(|a| a.answer), Some(pb::answer::Answer::Send(_))));
        }
        sleep(PACING_INTERVAL).await;
        Ok((memory_before, processor.usage()?.1, granted))
    })
}
