//! Callers as Envoy's `ext_proc` filter: a stream for each request over one connection, headers as `raw_value`, the
//! response's headers as the report, local replies named by `response.code_details`. `failure_mode_allow` is off: without
//! the processor's word nothing is sent, and the client hears an error.
//!
//! A client whose Envoy is killed under its request sends it again, as clients do: with a new id and the same key, and
//! not at all where the class must not run twice.

use super::{CLASSES, CallersError, PACE, Played, SILENCE, Shared, Wanted, add, nothing_played, part};
use envoy_types::pb::envoy::config::core::v3::{HeaderMap, HeaderValue};
use envoy_types::pb::envoy::service::ext_proc::v3::external_processor_client::ExternalProcessorClient;
use envoy_types::pb::envoy::service::ext_proc::v3::processing_request::Request as Message;
use envoy_types::pb::envoy::service::ext_proc::v3::processing_response::Response as Said;
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

/// What the clients of one Envoy want, and its connection.
struct Envoy {
    shared: Arc<Shared>,
    number: usize,
    todo: Mutex<VecDeque<(Wanted, u32)>>,
    asked: AtomicU64,
    /// Its present life: it is killed by being replaced.
    life: watch::Sender<Channel>,
}

/// How one request went.
enum Went {
    /// The client has its answer: which [`pb::End`] it comes to.
    Ended(pb::End),
    /// Envoy is killed here, together with all its other requests.
    Killed,
}

async fn connect(address: SocketAddr) -> Result<Channel, CallersError> {
    Ok(tonic::transport::Endpoint::from_shared(format!("http://{address}"))?.connect().await?)
}

/// Plays one Envoy's part of a campaign.
pub(super) async fn live(shared: Arc<Shared>, number: usize) -> Result<Played, CallersError> {
    let (mut rng, todo) = part(&shared.campaign, number);
    let open = shared.campaign.open;
    let todo = Mutex::new(todo.into_iter().map(|wanted| (wanted, 0)).collect());
    let life = watch::channel(connect(shared.address).await?).0;
    let envoy = Arc::new(Envoy { shared, number, todo, asked: AtomicU64::new(0), life });
    let clients: Vec<_> = (0..open)
        .map(|_| tokio::spawn(client(Arc::clone(&envoy), fastrand::Rng::with_seed(rng.u64(..)))))
        .collect();
    let mut all = nothing_played();
    for client in clients {
        let one = client.await.map_err(|e| CallersError::Senseless(number, e.to_string()))??;
        add(&mut all, &one);
    }
    Ok(all)
}

/// One client after the other, each with one request at a time.
async fn client(envoy: Arc<Envoy>, mut rng: fastrand::Rng) -> Result<Played, CallersError> {
    let mut played = nothing_played();
    let mut life = envoy.life.subscribe();
    loop {
        while !envoy.shared.is_due(envoy.asked.load(Ordering::Relaxed)) {
            sleep(PACE).await;
        }
        envoy.asked.fetch_add(1, Ordering::Relaxed);
        let next = envoy.todo.lock().unwrap_or_else(PoisonError::into_inner).pop_front();
        let Some((wanted, tries)) = next else { return Ok(played) };
        let channel = life.borrow_and_update().clone();
        let went = tokio::select! {
            biased;
            _ = life.changed() => Went::Killed,
            went = envoy.exchange(channel, &wanted, tries, &mut rng, &mut played) => went?,
        };
        match went {
            Went::Ended(end) => played.ends[end as usize] += 1,
            Went::Killed if CLASSES[wanted.class] == "charge" => {
                played.ends[pb::End::Unknown as usize] += 1;
            }
            Went::Killed => {
                envoy.todo.lock().unwrap_or_else(PoisonError::into_inner).push_front((wanted, tries + 1));
            }
        }
    }
}

fn header(key: &str, value: impl Into<Vec<u8>>) -> HeaderValue {
    HeaderValue { key: key.into(), value: String::new(), raw_value: value.into() }
}

fn head(headers: Vec<HeaderValue>) -> HttpHeaders {
    HttpHeaders { headers: Some(HeaderMap { headers }), ..HttpHeaders::default() }
}

fn request(wanted: &Wanted, tries: u32) -> ProcessingRequest {
    let class = CLASSES[wanted.class];
    let mut headers = vec![
        header(":method", if class == "read" { "GET" } else { "POST" }),
        header(":path", format!("/{class}")),
        header("x-correlation-id", format!("{:x}-{tries}", wanted.number)),
    ];
    if class == "submit" {
        headers.push(header("idempotency-key", format!("{:x}", wanted.number)));
    }
    ProcessingRequest {
        request: Some(Message::RequestHeaders(head(headers))),
        ..ProcessingRequest::default()
    }
}

/// The response that Envoy gets from a box, or words itself.
fn response(outcome: pb::Outcome) -> ProcessingRequest {
    let (status, more, details) = match outcome {
        pb::Outcome::Served => ("200", None, "via_upstream"),
        pb::Outcome::TurnedAway => ("503", Some(header("x-unprocessed", "1")), "via_upstream"),
        pb::Outcome::CouldNotConnect => {
            ("503", None, "upstream_reset_before_response_started{connection_failure}")
        }
        _ => ("503", None, "upstream_reset_before_response_started{connection_termination}"),
    };
    let mut headers = vec![header(":status", status)];
    headers.extend(more);
    let details = Value { kind: Some(value::Kind::StringValue(details.into())) };
    let attributes = Struct { fields: [("response.code_details".to_owned(), details)].into() };
    ProcessingRequest {
        request: Some(Message::ResponseHeaders(head(headers))),
        attributes: [("envoy.filters.http.ext_proc".to_owned(), attributes)].into(),
        ..ProcessingRequest::default()
    }
}

/// What a client makes of an immediate response.
fn heard(code: i32) -> pb::End {
    match code {
        503 => pb::End::Refused,
        409 => pb::End::Booked,
        _ => pb::End::Failed,
    }
}

/// The box that the headers' response names.
fn destination(said: &HeadersResponse) -> Option<String> {
    let mutation = said.response.as_ref()?.header_mutation.as_ref()?;
    let mut set = mutation.set_headers.iter().filter_map(|option| option.header.as_ref());
    let named = set.find(|h| h.key == "x-gateway-destination-endpoint")?;
    String::from_utf8(named.raw_value.clone()).ok()
}

impl Envoy {
    fn senseless(&self, what: impl Into<String>) -> CallersError {
        CallersError::Senseless(self.number, what.into())
    }

    async fn hear(&self, from: &mut Streaming<ProcessingResponse>) -> Result<Said, CallersError> {
        let heard = timeout(SILENCE, from.message()).await;
        let heard = heard.map_err(|_| CallersError::Silence(self.number, 1))??;
        heard.and_then(|r| r.response).ok_or_else(|| self.senseless("no response"))
    }

    async fn exchange(
        &self,
        channel: Channel,
        wanted: &Wanted,
        tries: u32,
        rng: &mut fastrand::Rng,
        played: &mut Played,
    ) -> Result<Went, CallersError> {
        let (messages, outgoing) = mpsc::channel(2);
        let began = Instant::now();
        let _ = messages.send(request(wanted, tries)).await;
        let mut client = ExternalProcessorClient::new(channel);
        let mut said = client.process(ReceiverStream::new(outgoing)).await?.into_inner();
        let first = self.hear(&mut said).await?;
        played.decisions += 1;
        played.times.saturating_record(u64::try_from(began.elapsed().as_micros()).unwrap_or(u64::MAX));
        let to = match first {
            Said::ImmediateResponse(said) => {
                return Ok(Went::Ended(heard(said.status.map_or(0, |status| status.code))));
            }
            Said::RequestHeaders(said) => destination(&said).ok_or_else(|| self.senseless("no box"))?,
            other => return Err(self.senseless(format!("{other:?}"))),
        };
        played.sends += 1;
        let outcome = self.shared.send(&to, wanted).ok_or_else(|| self.senseless(format!("no box {to}")))?;
        let kill_every = self.shared.campaign.kill_every;
        if kill_every > 0 && rng.usize(..kill_every) == 0 {
            played.kills += 1;
            self.life.send_replace(connect(self.shared.address).await?);
            return Ok(Went::Killed);
        }
        let _ = messages.send(response(outcome)).await;
        Ok(Went::Ended(match self.hear(&mut said).await? {
            Said::ImmediateResponse(said) => heard(said.status.map_or(0, |status| status.code)),
            Said::ResponseHeaders(_) if outcome == pb::Outcome::Served => pb::End::Served,
            Said::ResponseHeaders(_) => pb::End::Failed,
            other => return Err(self.senseless(format!("{other:?}"))),
        }))
    }
}
