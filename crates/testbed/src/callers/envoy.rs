//! Callers that behave as Envoy's `ext_proc` filter: a stream for each request over one connection, header
//! values as `raw_value`, the response headers as the report, and `response.code_details` to identify Envoy's
//! local replies. `failure_mode_allow` is off: without the processor's decision nothing is sent, and the
//! client receives an error.
//!
//! A client whose Envoy is killed during its request retries it with a new id and the same idempotency key; a
//! request of a non-idempotent class is not retried.

use super::{
    CLASSES, CallersError, CampaignContext, CampaignRequest, CampaignResult, PACING_INTERVAL,
    RESPONSE_TIMEOUT, assign_requests,
};
use envoy_types::pb::envoy::config::core::v3::{HeaderMap, HeaderValue};
use envoy_types::pb::envoy::service::ext_proc::v3::external_processor_client::ExternalProcessorClient;
use envoy_types::pb::envoy::service::ext_proc::v3::processing_request::Request as Message;
use envoy_types::pb::envoy::service::ext_proc::v3::processing_response::Response as ProcessingAnswer;
use envoy_types::pb::envoy::service::ext_proc::v3::{
    HeadersResponse, HttpHeaders, ProcessingRequest, ProcessingResponse,
};
use envoy_types::pb::google::protobuf::{Struct, Value, value};
use external_processor::generated as pb;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, timeout};
use tokio_stream::wrappers::ReceiverStream;
use tonic::Streaming;
use tonic::transport::Channel;

/// One emulated Envoy: the requests of its clients, and its connection.
struct Envoy {
    context: Arc<CampaignContext>,
    number: usize,
    queued: Mutex<VecDeque<(CampaignRequest, u32)>>,
    sent: AtomicU64,
    /// Its current connection; replacing it emulates a kill and a restart.
    connection: watch::Sender<Channel>,
}

/// How an exchange ended.
enum ExchangeOutcome {
    /// The client received its final response.
    Ended(pb::End),
    /// Envoy was killed, which ended all its open requests.
    Killed,
}

async fn connect(address: SocketAddr) -> Result<Channel, CallersError> {
    Ok(tonic::transport::Endpoint::from_shared(format!("http://{address}"))?.connect().await?)
}

/// Runs the requests assigned to one Envoy.
///
/// # Errors
/// Where an answer is missing or unexpected, or a connection fails.
pub(super) async fn run(
    context: Arc<CampaignContext>,
    number: usize,
) -> Result<CampaignResult, CallersError> {
    let (mut rng, queued) = assign_requests(&context.campaign, number);
    let open = context.campaign.open;
    let queued = Mutex::new(queued.into_iter().map(|request| (request, 0)).collect());
    let connection = watch::channel(connect(context.address).await?).0;
    let envoy = Arc::new(Envoy { context, number, queued, sent: AtomicU64::new(0), connection });
    let clients: Vec<_> = (0..open)
        .map(|_| tokio::spawn(run_client(Arc::clone(&envoy), fastrand::Rng::with_seed(rng.u64(..)))))
        .collect();
    let mut total = CampaignResult::empty();
    for client in clients {
        let result = client.await.map_err(|e| CallersError::UnexpectedAnswer(number, e.to_string()))??;
        total.add(&result);
    }
    Ok(total)
}

/// Runs a client: it sends one request at a time, until none is queued.
async fn run_client(envoy: Arc<Envoy>, mut rng: fastrand::Rng) -> Result<CampaignResult, CallersError> {
    let mut result = CampaignResult::empty();
    let mut connection = envoy.connection.subscribe();
    loop {
        while !envoy.context.is_due(envoy.sent.load(Ordering::Relaxed)) {
            sleep(PACING_INTERVAL).await;
        }
        envoy.sent.fetch_add(1, Ordering::Relaxed);
        let next = envoy.queued.lock().unwrap_or_else(PoisonError::into_inner).pop_front();
        let Some((request, retries)) = next else { return Ok(result) };
        let channel = connection.borrow_and_update().clone();
        let exchange_outcome = tokio::select! {
            biased;
            _ = connection.changed() => ExchangeOutcome::Killed,
            exchange_outcome = envoy.exchange(channel, &request, retries, &mut rng, &mut result) => exchange_outcome?,
        };
        match exchange_outcome {
            ExchangeOutcome::Ended(end) => result.final_outcomes[end as usize] += 1,
            ExchangeOutcome::Killed if CLASSES[request.class] == "charge" => {
                result.final_outcomes[pb::End::Unknown as usize] += 1;
            }
            ExchangeOutcome::Killed => {
                envoy
                    .queued
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .push_front((request, retries + 1));
            }
        }
    }
}

fn header(key: &str, value: impl Into<Vec<u8>>) -> HeaderValue {
    HeaderValue { key: key.into(), value: String::new(), raw_value: value.into() }
}

fn http_headers(headers: Vec<HeaderValue>) -> HttpHeaders {
    HttpHeaders { headers: Some(HeaderMap { headers }), ..HttpHeaders::default() }
}

fn request_headers(request: &CampaignRequest, retries: u32) -> ProcessingRequest {
    let class = CLASSES[request.class];
    let mut headers = vec![
        header(":method", if class == "read" { "GET" } else { "POST" }),
        header(":path", format!("/{class}")),
        header("x-correlation-id", format!("{:x}-{retries}", request.number)),
    ];
    if class == "submit" {
        headers.push(header("idempotency-key", format!("{:x}", request.number)));
    }
    ProcessingRequest {
        request: Some(Message::RequestHeaders(http_headers(headers))),
        ..ProcessingRequest::default()
    }
}

/// The headers of a backend's response, or of Envoy's local reply, for the outcome of an attempt.
fn response_headers(outcome: pb::Outcome) -> ProcessingRequest {
    let (status, extra_header, details) = match outcome {
        pb::Outcome::Served => ("200", None, "via_upstream"),
        pb::Outcome::TurnedAway => ("503", Some(header("x-unprocessed", "1")), "via_upstream"),
        pb::Outcome::CouldNotConnect => {
            ("503", None, "upstream_reset_before_response_started{connection_failure}")
        }
        _ => ("503", None, "upstream_reset_before_response_started{connection_termination}"),
    };
    let mut headers = vec![header(":status", status)];
    headers.extend(extra_header);
    let details = Value { kind: Some(value::Kind::StringValue(details.into())) };
    let attributes = Struct { fields: [("response.code_details".to_owned(), details)].into() };
    ProcessingRequest {
        request: Some(Message::ResponseHeaders(http_headers(headers))),
        attributes: [("envoy.filters.http.ext_proc".to_owned(), attributes)].into(),
        ..ProcessingRequest::default()
    }
}

/// The final outcome that the status of an immediate response represents.
fn outcome_of_status(code: i32) -> pb::End {
    match code {
        503 => pb::End::Refused,
        409 => pb::End::Booked,
        _ => pb::End::Failed,
    }
}

/// The address of the backend that the processor selects in its response to the request headers.
fn destination(answer: &HeadersResponse) -> Option<String> {
    let mutation = answer.response.as_ref()?.header_mutation.as_ref()?;
    let mut set = mutation.set_headers.iter().filter_map(|option| option.header.as_ref());
    let endpoint = set.find(|h| h.key == "x-gateway-destination-endpoint")?;
    String::from_utf8(endpoint.raw_value.clone()).ok()
}

impl Envoy {
    fn unexpected(&self, description: impl Into<String>) -> CallersError {
        CallersError::UnexpectedAnswer(self.number, description.into())
    }

    async fn receive(
        &self,
        from: &mut Streaming<ProcessingResponse>,
    ) -> Result<ProcessingAnswer, CallersError> {
        let message = timeout(RESPONSE_TIMEOUT, from.message()).await;
        let message = message.map_err(|_| CallersError::NoAnswer(self.number, 1))??;
        message.and_then(|r| r.response).ok_or_else(|| self.unexpected("a message without a response"))
    }

    async fn exchange(
        &self,
        channel: Channel,
        request: &CampaignRequest,
        retries: u32,
        rng: &mut fastrand::Rng,
        result: &mut CampaignResult,
    ) -> Result<ExchangeOutcome, CallersError> {
        let (messages, outgoing) = mpsc::channel(2);
        let sent_at = Instant::now();
        let _ = messages.send(request_headers(request, retries)).await;
        let mut client = ExternalProcessorClient::new(channel);
        let mut answer = client.process(ReceiverStream::new(outgoing)).await?.into_inner();
        let first = self.receive(&mut answer).await?;
        result.decisions += 1;
        result.latencies.saturating_record(u64::try_from(sent_at.elapsed().as_micros()).unwrap_or(u64::MAX));
        let address = match first {
            ProcessingAnswer::ImmediateResponse(answer) => {
                return Ok(ExchangeOutcome::Ended(outcome_of_status(
                    answer.status.map_or(0, |status| status.code),
                )));
            }
            ProcessingAnswer::RequestHeaders(answer) => {
                destination(&answer).ok_or_else(|| self.unexpected("a decision without an endpoint"))?
            }
            other => return Err(self.unexpected(format!("{other:?}"))),
        };
        result.attempts += 1;
        let outcome = self
            .context
            .send(&address, request)
            .ok_or_else(|| self.unexpected(format!("no backend has the address {address}")))?;
        let kill_every = self.context.campaign.kill_every;
        if kill_every > 0 && rng.usize(..kill_every) == 0 {
            result.kills += 1;
            self.connection.send_replace(connect(self.context.address).await?);
            return Ok(ExchangeOutcome::Killed);
        }
        let _ = messages.send(response_headers(outcome)).await;
        Ok(ExchangeOutcome::Ended(match self.receive(&mut answer).await? {
            ProcessingAnswer::ImmediateResponse(answer) => {
                outcome_of_status(answer.status.map_or(0, |status| status.code))
            }
            ProcessingAnswer::ResponseHeaders(_) if outcome == pb::Outcome::Served => pb::End::Served,
            ProcessingAnswer::ResponseHeaders(_) => pb::End::Failed,
            other => return Err(self.unexpected(format!("{other:?}"))),
        }))
    }
}
