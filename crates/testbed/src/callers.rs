//! Stand-in callers of the external processor: a campaign of requests over the plain stream, callers that are killed at
//! random, boxes that crash, and a ledger of what ran that believes no caller. It measures what a decision costs.
//!
//! Boxes are entries of the ledger: callers and the processor talk over loopback sockets, a caller and a box do not.

mod envoy;
mod ledger;
mod processor;

use crate::cost::CostError;
use external_processor::generated as pb;
use external_processor::generated::decisions_client::DecisionsClient;
use hdrhistogram::Histogram;
use ledger::Ledger;
use processor::Processor;
use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use tokio_stream::wrappers::ReceiverStream;
use tonic::Streaming;

/// The most requests, callers and boxes of a campaign.
const MAX_REQUESTS: usize = 5_000_000;
const MAX_CALLERS: usize = 64;
const MAX_BOXES: usize = 8_000;
/// A caller that hears nothing for so long has found a lost answer.
const SILENCE: Duration = Duration::from_secs(15);
/// How often a paced caller looks whether something is due.
const PACE: Duration = Duration::from_millis(1);
/// Questions on their way from a caller to its connection.
const QUEUE: usize = 1_024;
const CLASSES: [&str; 3] = ["read", "submit", "charge"];

/// Why a campaign could not be played.
#[derive(Debug, Error)]
pub enum CallersError {
    /// The processor's process.
    #[error(transparent)]
    Process(#[from] CostError),
    /// A file.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// A call that the processor should have taken.
    #[error("a caller: {0}")]
    Call(#[from] tonic::Status),
    /// A connection that it should have taken.
    #[error("a caller: {0}")]
    Connect(#[from] tonic::transport::Error),
    /// A request whose answer did not come.
    #[error("caller {0} heard nothing for {SILENCE:?}, {1} questions open")]
    Silence(usize, usize),
    /// An answer that fits no question.
    #[error("caller {0}: {1}")]
    Senseless(usize, String),
    /// What was asked for is too much or nothing.
    #[error("1 to {MAX_REQUESTS} requests, 1 to {MAX_CALLERS} callers, 1 to {MAX_BOXES} boxes")]
    TooMuch,
}

/// A campaign.
#[derive(Clone, Debug, clap::Args)]
pub struct Campaign {
    /// Requests of all callers.
    #[arg(long, default_value_t = 200_000)]
    pub requests: usize,
    /// Callers, each with a connection and a stream.
    #[arg(long, default_value_t = 4)]
    pub callers: usize,
    /// Requests that each has open.
    #[arg(long, default_value_t = 64)]
    pub open: usize,
    /// Boxes.
    #[arg(long, default_value_t = 100)]
    pub boxes: usize,
    /// Requests a second of all callers; 0: as many as there is room for.
    #[arg(long, default_value_t = 0.0)]
    pub rate: f64,
    /// A caller is killed after so many answers in the mean; 0: never.
    #[arg(long, default_value_t = 2_000)]
    pub kill_every: usize,
    /// One attempt in so many meets trouble, and a tenth of these crash their box; 0: none.
    #[arg(long, default_value_t = 50)]
    pub trouble_every: usize,
    /// Speak as Envoy's filter does, a stream for each request.
    #[arg(long)]
    pub envoy: bool,
    /// For all random numbers.
    #[arg(long, default_value_t = 20_261_201)]
    pub seed: u64,
    /// The proxy's program; without it the processor is a thread, and nothing is said of its CPU and memory.
    #[arg(long, default_value = "target/release/load-balancing-proxy")]
    pub program: Option<PathBuf>,
}

impl fmt::Display for Campaign {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { requests, callers, open, boxes, rate, envoy, seed, .. } = self;
        let protocol = if *envoy { "ext_proc" } else { "plain stream" };
        write!(
            f,
            "{requests} requests, {callers} callers over the {protocol}, {open} open each, {boxes} boxes, "
        )?;
        if *rate > 0.0 {
            write!(f, "{rate} a second, seed {seed}")
        } else {
            write!(f, "unpaced, seed {seed}")
        }
    }
}

/// What became of a campaign.
#[derive(Clone, Debug)]
pub struct Played {
    /// Final answers in the order of [`pb::End`].
    pub ends: [u64; 6],
    /// Decisions: answers to questions for a request.
    pub decisions: u64,
    /// Attempts that callers were told of.
    pub sends: u64,
    /// Answers that another caller holds the request.
    pub in_flight: u64,
    /// Rejections at a bound.
    pub overload: u64,
    /// Callers killed.
    pub kills: u64,
    /// Effects at boxes that must not be doubled, and those that were.
    pub effects: (u64, u64),
    /// Time from a question for a request to its answer, microseconds.
    pub times: Histogram<u64>,
    /// How long it took.
    pub span: Duration,
    /// CPU time of the processor, seconds.
    pub cpu_s: f64,
    /// Its memory at the end, MB.
    pub memory_mb: f64,
}

impl Played {
    /// Requests that got their final answer.
    #[must_use]
    pub fn ended(&self) -> u64 {
        self.ends.iter().sum()
    }
}

impl fmt::Display for Played {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [_, served, refused, failed, unknown, _] = self.ends;
        writeln!(
            f,
            "ended {}: served {served}, refused {refused}, failed {failed}, may have run {unknown}",
            self.ended()
        )?;
        writeln!(
            f,
            "decisions {}, attempts {}, held by another {}, at a bound {}, callers killed {}",
            self.decisions, self.sends, self.in_flight, self.overload, self.kills
        )?;
        writeln!(f, "effects that must not be doubled {}, doubled {}", self.effects.0, self.effects.1)?;
        let at = |q| self.times.value_at_quantile(q);
        let per_s = self.decisions as f64 / self.span.as_secs_f64();
        write!(
            f,
            "{:.1} s, {per_s:.0} decisions/s; p50 {} p99 {} us",
            self.span.as_secs_f64(),
            at(0.5),
            at(0.99)
        )?;
        if self.cpu_s > 0.0 {
            let per_core = self.decisions as f64 / self.cpu_s;
            write!(
                f,
                "; CPU {:.1} s: {per_core:.0} decisions/s a core; {:.1} MB",
                self.cpu_s, self.memory_mb
            )?;
        }
        Ok(())
    }
}

#[derive(Clone, Debug)]
struct Wanted {
    number: u64,
    class: usize,
}

struct Shared {
    campaign: Campaign,
    address: SocketAddr,
    ledger: Mutex<Ledger>,
    began: Instant,
}

impl Shared {
    /// Whether a caller that has asked so often may ask again.
    fn is_due(&self, asked: u64) -> bool {
        let rate = self.campaign.rate / self.campaign.callers as f64;
        rate <= 0.0 || (asked as f64) < self.began.elapsed().as_secs_f64() * rate
    }

    fn send(&self, to: &str, wanted: &Wanted) -> Option<pb::Outcome> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner).send(to, wanted)
    }
}

/// One connection's life.
struct Life {
    questions: mpsc::Sender<pb::Question>,
    answers: Streaming<pb::TaggedAnswer>,
}

impl Life {
    async fn begin(address: SocketAddr) -> Result<Self, CallersError> {
        let channel = tonic::transport::Endpoint::from_shared(format!("http://{address}"))?.connect().await?;
        let (questions, outgoing) = mpsc::channel(QUEUE);
        let answers = DecisionsClient::new(channel).converse(ReceiverStream::new(outgoing)).await?;
        Ok(Self { questions, answers: answers.into_inner() })
    }

    async fn ask(&self, tag: u64, question: pb::question::Question) {
        // A connection that has ended is heard of by its answers.
        let _ = self.questions.send(pb::Question { tag, question: Some(question) }).await;
    }
}

struct Pending {
    wanted: Wanted,
    /// When it was asked for, until its decision has come.
    asked: Option<Instant>,
}

/// A caller, through all its lives.
struct Caller {
    number: usize,
    shared: Arc<Shared>,
    rng: fastrand::Rng,
    todo: VecDeque<Wanted>,
    later: VecDeque<(Instant, Wanted)>,
    open: FxHashMap<u64, Pending>,
    next_tag: u64,
    asked: u64,
    played: Played,
}

fn nothing_played() -> Played {
    Played {
        ends: [0; 6],
        decisions: 0,
        sends: 0,
        in_flight: 0,
        overload: 0,
        kills: 0,
        effects: (0, 0),
        // Three digits up to a minute: these bounds can't fail.
        times: Histogram::new_with_bounds(1, 60_000_000, 3).unwrap_or_else(|e| unreachable!("{e}")),
        span: Duration::ZERO,
        cpu_s: 0.0,
        memory_mb: 0.0,
    }
}

impl Caller {
    async fn live(mut self) -> Result<Played, CallersError> {
        let mut life = Life::begin(self.shared.address).await?;
        while !(self.todo.is_empty() && self.later.is_empty() && self.open.is_empty()) {
            self.ask_what_is_due(&life).await;
            let wake = self.wake();
            let answer = tokio::select! {
                answer = timeout(SILENCE, life.answers.message()) => answer,
                () = sleep_until(wake.unwrap_or_else(Instant::now)), if wake.is_some() => continue,
            };
            let Ok(answer) = answer else {
                return Err(CallersError::Silence(self.number, self.open.len()));
            };
            let Some(answer) = answer? else {
                return Err(CallersError::Senseless(self.number, "the stream ended".into()));
            };
            if !self.hear(&life, answer).await? {
                // Killed: nothing that was on its way is heard of any more, and its requests are asked for again.
                self.played.kills += 1;
                let mut lost: Vec<(u64, Pending)> = self.open.drain().collect();
                lost.sort_unstable_by_key(|(tag, _)| *tag);
                for (_, pending) in lost {
                    self.todo.push_front(pending.wanted);
                }
                life = Life::begin(self.shared.address).await?;
            }
        }
        Ok(self.played)
    }

    /// When there is something to do beside hearing answers.
    fn wake(&self) -> Option<Instant> {
        let room = self.open.len() < self.shared.campaign.open;
        let paced = (room && !self.todo.is_empty()).then(|| Instant::now() + PACE);
        let later = self.later.front().map(|(at, _)| *at);
        [paced, later].into_iter().flatten().min()
    }

    async fn ask_what_is_due(&mut self, life: &Life) {
        let now = Instant::now();
        while self.later.front().is_some_and(|(at, _)| *at <= now) {
            self.todo.extend(self.later.pop_front().map(|(_, wanted)| wanted));
        }
        while self.open.len() < self.shared.campaign.open && self.shared.is_due(self.asked) {
            let Some(wanted) = self.todo.pop_front() else { return };
            self.asked += 1;
            let tag = self.next_tag;
            self.next_tag += 1;
            let class = CLASSES[wanted.class];
            let key = if class == "submit" { wanted.number.to_be_bytes().to_vec() } else { Vec::new() };
            let decide = pb::DecideRequest {
                id: wanted.number.to_be_bytes().to_vec(),
                class: class.into(),
                idempotency_key: key,
                ..pb::DecideRequest::default()
            };
            self.open.insert(tag, Pending { wanted, asked: Some(Instant::now()) });
            life.ask(tag, pb::question::Question::Decide(decide)).await;
        }
    }

    /// Heeds an answer; false where that was the caller's last deed.
    async fn hear(&mut self, life: &Life, tagged: pb::TaggedAnswer) -> Result<bool, CallersError> {
        use pb::answer::Answer as A;
        let senseless = |what: String| CallersError::Senseless(self.number, what);
        let answer = tagged.answer.and_then(|a| a.answer);
        let answer = answer.ok_or_else(|| senseless("an empty answer".into()))?;
        if let A::Revoked(_) = answer {
            return Ok(true);
        }
        let pending = self.open.remove(&tagged.tag);
        let mut pending = pending.ok_or_else(|| senseless(format!("{answer:?} answers nothing")))?;
        if let Some(asked) = pending.asked.take() {
            self.played.decisions += 1;
            let micros = u64::try_from(asked.elapsed().as_micros()).unwrap_or(u64::MAX);
            self.played.times.saturating_record(micros);
        }
        let dies =
            self.shared.campaign.kill_every > 0 && self.rng.usize(..self.shared.campaign.kill_every) == 0;
        match answer {
            A::Send(send) => {
                self.played.sends += 1;
                let outcome = self.shared.send(&send.endpoint, &pending.wanted);
                let outcome = outcome.ok_or_else(|| senseless(format!("no box {}", send.endpoint)))?;
                let report = pb::ReportRequest {
                    lease: send.lease,
                    outcome: outcome as i32,
                    endpoint: send.endpoint,
                    load: Vec::new(),
                };
                self.open.insert(tagged.tag, pending);
                if dies {
                    return Ok(false);
                }
                life.ask(tagged.tag, pb::question::Question::Report(report)).await;
            }
            A::Final(end) => {
                let count = self.played.ends.get_mut(end.end as usize);
                *count.ok_or_else(|| senseless(format!("end {}", end.end)))? += 1;
            }
            A::InFlight(held) => {
                self.played.in_flight += 1;
                self.again(pending.wanted, u64::from(held.ask_again_ms));
            }
            A::Rejected(pb::Rejected { reason, .. }) if reason == pb::Reason::Overload as i32 => {
                self.played.overload += 1;
                self.again(pending.wanted, 50);
            }
            other => return Err(senseless(format!("{other:?}"))),
        }
        Ok(!dies)
    }

    fn again(&mut self, wanted: Wanted, after_ms: u64) {
        self.later.push_back((Instant::now() + Duration::from_millis(after_ms), wanted));
    }
}

/// Plays a campaign against a processor of its own.
///
/// # Errors
/// Where the processor does not come up, or an answer does not come or makes no sense.
pub fn play(campaign: &Campaign) -> Result<Played, CallersError> {
    let in_range = |value: usize, most: usize| (1..=most).contains(&value);
    if !in_range(campaign.requests, MAX_REQUESTS)
        || !in_range(campaign.callers, MAX_CALLERS)
        || !in_range(campaign.boxes, MAX_BOXES)
        || campaign.open == 0
    {
        return Err(CallersError::TooMuch);
    }
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let local = LocalSet::new();
    local.block_on(&runtime, async {
        let processor = Processor::start(campaign.program.as_deref(), campaign.boxes).await?;
        let address = processor.callers()?;
        let shared = Arc::new(Shared {
            campaign: campaign.clone(),
            address,
            ledger: Mutex::new(Ledger::new(campaign)),
            began: Instant::now(),
        });
        let before = processor.used()?.0;
        let callers: Vec<_> = (0..campaign.callers)
            .map(|number| {
                if campaign.envoy {
                    tokio::spawn(envoy::live(Arc::clone(&shared), number))
                } else {
                    tokio::spawn(caller(&shared, number).live())
                }
            })
            .collect();
        let mut all = nothing_played();
        for caller in callers {
            let one = caller.await.map_err(|e| CallersError::Senseless(0, e.to_string()))??;
            add(&mut all, &one);
        }
        all.span = shared.began.elapsed();
        let (cpu_s, memory_mb) = processor.used()?;
        (all.cpu_s, all.memory_mb) = (cpu_s - before, memory_mb);
        let ledger = shared.ledger.lock().unwrap_or_else(PoisonError::into_inner);
        all.effects = (ledger.effects, ledger.doubled);
        Ok(all)
    })
}

/// A caller's own random numbers, and its part of the requests.
fn part(campaign: &Campaign, number: usize) -> (fastrand::Rng, VecDeque<Wanted>) {
    let mut rng = fastrand::Rng::with_seed(campaign.seed.wrapping_add(1 + number as u64));
    let wanted = (number..campaign.requests).step_by(campaign.callers);
    let todo = wanted.map(|n| Wanted { number: n as u64, class: rng.usize(..CLASSES.len()) }).collect();
    (rng, todo)
}

fn caller(shared: &Arc<Shared>, number: usize) -> Caller {
    let (rng, todo) = part(&shared.campaign, number);
    Caller {
        number,
        shared: Arc::clone(shared),
        rng,
        todo,
        later: VecDeque::new(),
        open: FxHashMap::default(),
        next_tag: 1,
        asked: 0,
        played: nothing_played(),
    }
}

fn add(all: &mut Played, one: &Played) {
    all.ends.iter_mut().zip(one.ends).for_each(|(sum, more)| *sum += more);
    all.decisions += one.decisions;
    all.sends += one.sends;
    all.in_flight += one.in_flight;
    all.overload += one.overload;
    all.kills += one.kills;
    // The same bounds: it always fits.
    let _ = all.times.add(&one.times);
}

/// How much memory leases take that are out: MB before, MB with them, and how many there are.
///
/// # Errors
/// Where the processor does not come up, or does not grant them.
pub fn hold(campaign: &Campaign, leases: usize) -> Result<(f64, f64, usize), CallersError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = LocalSet::new();
    local.block_on(&runtime, async {
        let processor = Processor::start(campaign.program.as_deref(), campaign.boxes).await?;
        let address = processor.callers()?;
        let mut life = Life::begin(address).await?;
        let before = processor.used()?.1;
        let mut held = 0;
        for tag in 1..=leases as u64 {
            let id = tag.to_be_bytes().to_vec();
            let decide = pb::DecideRequest { id, class: "charge".into(), ..pb::DecideRequest::default() };
            life.ask(tag, pb::question::Question::Decide(decide)).await;
            let answer = timeout(SILENCE, life.answers.message()).await;
            let answer = answer.map_err(|_| CallersError::Silence(0, 1))??.and_then(|t| t.answer);
            held += usize::from(matches!(answer.and_then(|a| a.answer), Some(pb::answer::Answer::Send(_))));
        }
        sleep(PACE).await;
        Ok((before, processor.used()?.1, held))
    })
}
