//! A caller that uses the plain stream: one connection with many open requests.

use super::{
    CLASSES, CallersError, CampaignContext, CampaignRequest, CampaignResult, PACING_INTERVAL,
    RESPONSE_TIMEOUT, assign_requests,
};
use external_processor::generated as pb;
use external_processor::generated::decisions_client::DecisionsClient;
use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout};
use tokio_stream::wrappers::ReceiverStream;
use tonic::Streaming;

/// Upper bound on the questions queued between a caller and its connection.
const QUESTION_QUEUE_LENGTH: usize = 1_024;

/// A connection to the processor with its open stream.
pub(super) struct CallerConnection {
    questions: mpsc::Sender<pb::Question>,
    pub(super) answers: Streaming<pb::TaggedAnswer>,
}

impl CallerConnection {
    /// Connects to the processor and opens a stream.
    ///
    /// # Errors
    /// Where the processor does not accept the connection or the stream.
    pub(super) async fn connect(address: SocketAddr) -> Result<Self, CallersError> {
        let channel = tonic::transport::Endpoint::from_shared(format!("http://{address}"))?.connect().await?;
        let (questions, outgoing) = mpsc::channel(QUESTION_QUEUE_LENGTH);
        let answers = DecisionsClient::new(channel).converse(ReceiverStream::new(outgoing)).await?;
        Ok(Self { questions, answers: answers.into_inner() })
    }

    /// Sends a question. A failure is not reported here: it ends the stream of answers.
    pub(super) async fn send_question(&self, tag: u64, question: pb::question::Question) {
        let _ = self.questions.send(pb::Question { tag, question: Some(question) }).await;
    }
}

/// A request without its decision, or without its final answer.
struct PendingRequest {
    request: CampaignRequest,
    /// When the decision was requested; `None` once it has arrived.
    asked_at: Option<Instant>,
}

/// A caller. It opens a new connection each time it is killed.
pub(super) struct Caller {
    number: usize,
    context: Arc<CampaignContext>,
    rng: fastrand::Rng,
    queued: VecDeque<CampaignRequest>,
    /// Requests to be sent once more, with the time from which.
    retries: VecDeque<(Instant, CampaignRequest)>,
    open: FxHashMap<u64, PendingRequest>,
    next_tag: u64,
    sent: u64,
    result: CampaignResult,
}

impl Caller {
    /// Creates the caller with this number.
    pub(super) fn new(context: &Arc<CampaignContext>, number: usize) -> Self {
        let (rng, queued) = assign_requests(&context.campaign, number);
        Self {
            number,
            context: Arc::clone(context),
            rng,
            queued,
            retries: VecDeque::new(),
            open: FxHashMap::default(),
            next_tag: 1,
            sent: 0,
            result: CampaignResult::empty(),
        }
    }

    /// Runs until each request has its final answer.
    ///
    /// # Errors
    /// Where an answer is missing or unexpected, or a connection fails.
    pub(super) async fn run(mut self) -> Result<CampaignResult, CallersError> {
        let mut connection = CallerConnection::connect(self.context.address).await?;
        while !(self.queued.is_empty() && self.retries.is_empty() && self.open.is_empty()) {
            self.send_due(&connection).await;
            let next_wake = self.next_wake();
            let answer = tokio::select! {
                answer = timeout(RESPONSE_TIMEOUT, connection.answers.message()) => answer,
                () = sleep_until(next_wake.unwrap_or_else(Instant::now)), if next_wake.is_some() => continue,
            };
            let Ok(answer) = answer else {
                return Err(CallersError::NoAnswer(self.number, self.open.len()));
            };
            let Some(answer) = answer? else {
                return Err(CallersError::UnexpectedAnswer(self.number, "the stream ended".into()));
            };
            if !self.handle_answer(&connection, answer).await? {
                // The caller is killed: answers in flight are lost, and its successor retries all open
                // requests.
                self.result.kills += 1;
                let mut lost: Vec<(u64, PendingRequest)> = self.open.drain().collect();
                lost.sort_unstable_by_key(|(tag, _)| *tag);
                for (_, pending) in lost {
                    self.queued.push_front(pending.request);
                }
                connection = CallerConnection::connect(self.context.address).await?;
            }
        }
        Ok(self.result)
    }

    /// When requests may have to be sent; `None` where there are only answers to wait for.
    fn next_wake(&self) -> Option<Instant> {
        let may_open = self.open.len() < self.context.campaign.open;
        let paced = (may_open && !self.queued.is_empty()).then(|| Instant::now() + PACING_INTERVAL);
        let retries = self.retries.front().map(|(at, _)| *at);
        [paced, retries].into_iter().flatten().min()
    }

    async fn send_due(&mut self, connection: &CallerConnection) {
        let now = Instant::now();
        while self.retries.front().is_some_and(|(at, _)| *at <= now) {
            self.queued.extend(self.retries.pop_front().map(|(_, request)| request));
        }
        while self.open.len() < self.context.campaign.open && self.context.is_due(self.sent) {
            let Some(request) = self.queued.pop_front() else { return };
            self.sent += 1;
            let tag = self.next_tag;
            self.next_tag += 1;
            let class = CLASSES[request.class];
            let key = if class == "submit" { request.number.to_be_bytes().to_vec() } else { Vec::new() };
            let decide = pb::DecideRequest {
                id: request.number.to_be_bytes().to_vec(),
                class: class.into(),
                idempotency_key: key,
                ..pb::DecideRequest::default()
            };
            self.open.insert(tag, PendingRequest { request, asked_at: Some(Instant::now()) });
            connection.send_question(tag, pb::question::Question::Decide(decide)).await;
        }
    }

    /// Handles an answer. Returns false where the caller is killed after it.
    async fn handle_answer(
        &mut self,
        connection: &CallerConnection,
        tagged: pb::TaggedAnswer,
    ) -> Result<bool, CallersError> {
        use pb::answer::Answer as A;
        let unexpected = |what: String| CallersError::UnexpectedAnswer(self.number, what);
        let answer = tagged.answer.and_then(|a| a.answer);
        let answer = answer.ok_or_else(|| unexpected("an empty answer".into()))?;
        if let A::Revoked(_) = answer {
            return Ok(true);
        }
        let pending = self.open.remove(&tagged.tag);
        let mut pending =
            pending.ok_or_else(|| unexpected(format!("{answer:?}, whose tag fits no open request")))?;
        if let Some(asked_at) = pending.asked_at.take() {
            self.result.decisions += 1;
            let micros = u64::try_from(asked_at.elapsed().as_micros()).unwrap_or(u64::MAX);
            self.result.latencies.saturating_record(micros);
        }
        let is_killed =
            self.context.campaign.kill_every > 0 && self.rng.usize(..self.context.campaign.kill_every) == 0;
        match answer {
            A::Send(send) => {
                self.result.attempts += 1;
                let outcome = self.context.send(&send.endpoint, &pending.request);
                let outcome = outcome
                    .ok_or_else(|| unexpected(format!("no backend has the address {}", send.endpoint)))?;
                let report = pb::ReportRequest {
                    lease: send.lease,
                    outcome: outcome as i32,
                    endpoint: send.endpoint,
                    load: Vec::new(),
                };
                self.open.insert(tagged.tag, pending);
                if is_killed {
                    return Ok(false);
                }
                connection.send_question(tagged.tag, pb::question::Question::Report(report)).await;
            }
            A::Final(end) => {
                let count = self.result.final_outcomes.get_mut(end.end as usize);
                *count.ok_or_else(|| unexpected(format!("unknown final outcome {}", end.end)))? += 1;
            }
            A::InFlight(in_flight) => {
                self.result.in_flight += 1;
                self.retry_later(pending.request, u64::from(in_flight.ask_again_ms));
            }
            A::Rejected(pb::Rejected { reason, .. }) if reason == pb::Reason::Overload as i32 => {
                self.result.overloads += 1;
                self.retry_later(pending.request, 50);
            }
            other => return Err(unexpected(format!("{other:?}"))),
        }
        Ok(!is_killed)
    }

    fn retry_later(&mut self, request: CampaignRequest, after_ms: u64) {
        self.retries.push_back((Instant::now() + Duration::from_millis(after_ms), request));
    }
}
