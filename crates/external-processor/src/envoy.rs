//! One stream of Envoy's `ext_proc` filter: the messages of one HTTP request in their order, and what is answered to
//! each. No I/O and no clock.
//!
//! Envoy sends the request by itself and once: the box goes out with the answer to the request's headers, and the
//! response's headers tell how the attempt ended. A refusal is an immediate response.

use crate::decision_request::{RequestCatalog, Unusable};
use crate::decision_service::{Fault, Reply, Request, Send};
use crate::settings;
use balancer::api::{Micros, Outcome};
use envoy_types::pb::envoy::config::core::v3::header_value_option::HeaderAppendAction;
use envoy_types::pb::envoy::config::core::v3::{HeaderMap, HeaderValue, HeaderValueOption};
use envoy_types::pb::envoy::extensions::filters::http::ext_proc::v3::ProcessingMode;
use envoy_types::pb::envoy::extensions::filters::http::ext_proc::v3::processing_mode::{
    BodySendMode, HeaderSendMode,
};
use envoy_types::pb::envoy::service::ext_proc::v3::processing_request::Request as Message;
use envoy_types::pb::envoy::service::ext_proc::v3::processing_response::Response as Answer;
use envoy_types::pb::envoy::service::ext_proc::v3::{
    BodyMutation, BodyResponse, CommonResponse, HeaderMutation, HeadersResponse, HttpBody, HttpHeaders,
    ImmediateResponse, ProcessingRequest, ProcessingResponse, StreamedBodyResponse, TrailersResponse,
    body_mutation,
};
use envoy_types::pb::envoy::r#type::v3::HttpStatus;
use envoy_types::pb::google::protobuf::{Struct, Value, value};
use request_engine::idempotency::FinalStatus;
use request_engine::lease::LeaseId;
use std::collections::HashMap;
use thiserror::Error;

/// The header of a backend that turned a request away unseen.
const UNPROCESSED: &str = "x-unprocessed";
/// The header of a load report.
const LOAD: &str = "x-backend-load";
/// The attribute in which Envoy says where a response comes from, if its configuration asks for it.
const CODE_DETAILS: &str = "response.code_details";
/// When a client may try again that met a bound, or a request that another holds, microseconds.
const RETRY: Micros = 1_000_000;

/// What follows from a message.
#[derive(Debug, PartialEq)]
pub enum Step {
    /// Ask for this request; [`Stream::decided`] is owed.
    Ask(Box<Request>),
    /// Report the end of the attempt; [`Stream::reported`] is owed.
    Report {
        /// Its lease.
        lease: LeaseId,
        /// How it ended.
        outcome: Outcome,
        /// The load report that came along, as text.
        load: String,
    },
    /// Answer this.
    Answer(Box<ProcessingResponse>),
    /// Nothing: Envoy does not wait.
    Nothing,
}

/// The order of messages is broken: the stream ends.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Broken {
    /// A message holds nothing.
    #[error("a message of the stream holds none of the kinds that are known")]
    Empty,
    /// Something came before the request's headers.
    #[error("the request's headers come first: request_header_mode must be SEND")]
    NotFirst,
    /// They came again.
    #[error("the request's headers came twice on one stream")]
    Twice,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Nothing has come.
    Start,
    /// The question is out.
    RequestRef,
    /// Envoy has a box.
    Sent(LeaseId),
    /// The report is out.
    Reported { never_ran: bool },
    /// The request has its end.
    Over,
    /// Envoy only shows what it does.
    Watched,
}

/// One stream.
pub struct Stream<'a> {
    catalogue: &'a RequestCatalog,
    settings: &'a settings::Envoy,
    state: State,
    /// Bodies come in pieces that have to be sent back: neither side waits for the other.
    duplex: (bool, bool),
}

fn header(name: &str, value: String) -> HeaderValueOption {
    HeaderValueOption {
        // Envoy reads the bytes only, since it no longer takes both.
        header: Some(HeaderValue { key: name.into(), value: String::new(), raw_value: value.into_bytes() }),
        append_action: HeaderAppendAction::OverwriteIfExistsOrAdd as i32,
        ..HeaderValueOption::default()
    }
}

fn text(value: impl Into<String>) -> Value {
    Value { kind: Some(value::Kind::StringValue(value.into())) }
}

fn object(fields: impl IntoIterator<Item = (String, Value)>) -> Struct {
    Struct { fields: fields.into_iter().collect() }
}

fn answer(answer: Answer) -> Box<ProcessingResponse> {
    Box::new(ProcessingResponse { response: Some(answer), ..ProcessingResponse::default() })
}

fn immediate(code: u16, retry_after: Option<Micros>, why: &str) -> Box<ProcessingResponse> {
    let seconds = retry_after.filter(|&t| t > 0).map(|t| header("retry-after", seconds(t)));
    let mut set_headers = vec![header("content-type", "text/plain".into())];
    set_headers.extend(seconds);
    answer(Answer::ImmediateResponse(ImmediateResponse {
        status: Some(HttpStatus { code: i32::from(code) }),
        headers: Some(HeaderMutation { set_headers, remove_headers: Vec::new() }),
        body: format!("{why}\n").into_bytes(),
        grpc_status: None,
        details: "haventrack".into(),
    }))
}

/// Whole seconds, as Envoy's own retry policy reads them; never 0.
fn seconds(span: Micros) -> String {
    span.div_ceil(1_000_000).max(1).to_string()
}

/// The headers of a head, names in lower case, values as bytes whichever field holds them.
fn headers(map: Option<&HeaderMap>) -> impl Iterator<Item = (&str, &[u8])> {
    map.into_iter().flat_map(|map| &map.headers).map(|h| {
        let value = if h.raw_value.is_empty() { h.value.as_bytes() } else { &h.raw_value };
        (h.key.as_str(), value)
    })
}

/// How an attempt ended, by its response's head and by what Envoy says of where it comes from.
#[must_use]
pub fn outcome(status: Option<u16>, unprocessed: bool, details: &str) -> Outcome {
    // Envoy's own answer, in place of one that a box gave.
    let local = !details.is_empty() && details != "via_upstream";
    if local {
        let has = |word: &str| details.contains(word);
        return match () {
            () if has("connection_failure") || has("connect_timeout") => Outcome::ConnectFailed,
            () if has("timeout") => Outcome::Timeout,
            // Envoy's circuit breaker, or a filter before the router.
            () if has("overflow") || has("no_healthy_upstream") || has("cluster_not_found") => {
                Outcome::NotSent
            }
            () if has("upstream_reset") || has("connection_termination") => Outcome::Reset,
            () => Outcome::Cancelled,
        };
    }
    match status {
        Some(200) => Outcome::Ok,
        Some(500) => Outcome::Error,
        Some(503 | 504) if unprocessed => Outcome::Rejected,
        Some(503 | 504) | None => Outcome::Reset,
        Some(_) => Outcome::Malformed,
    }
}

/// The end of a request as an HTTP client hears it.
fn ended(now: Micros, end: FinalStatus) -> Box<ProcessingResponse> {
    match end {
        FinalStatus::Rejected(until) => immediate(503, Some(until.saturating_sub(now)), "no room"),
        FinalStatus::Failed => immediate(502, None, "failed"),
        FinalStatus::Unknown => immediate(502, None, "whoever held this request vanished: it may have run"),
        FinalStatus::Served => immediate(409, None, "this request was served before"),
    }
}

fn rejected(fault: Fault) -> Box<ProcessingResponse> {
    match fault {
        Fault::Claim(request_engine::idempotency::ClaimError::Full(_))
        | Fault::Overload
        | Fault::TooMany(_)
        | Fault::Draining => immediate(503, Some(RETRY), &fault.to_string()),
        Fault::Claim(_) | Fault::Lease(_) | Fault::Endpoint(_) => immediate(409, None, &fault.to_string()),
    }
}

impl<'a> Stream<'a> {
    /// A stream on which nothing has come.
    #[must_use]
    pub fn new(catalogue: &'a RequestCatalog, settings: &'a settings::Envoy) -> Self {
        Self { catalogue, settings, state: State::Start, duplex: (false, false) }
    }

    /// A message has come.
    ///
    /// # Errors
    /// Where it can't come now.
    pub fn message(&mut self, now: Micros, message: ProcessingRequest) -> Result<Step, Broken> {
        if message.observability_mode {
            self.state = State::Watched;
        }
        if self.state == State::Watched {
            return Ok(Step::Nothing);
        }
        if let Some(modes) = message.protocol_config {
            let is_duplex = |mode: i32| mode == BodySendMode::FullDuplexStreamed as i32;
            self.duplex = (is_duplex(modes.request_body_mode), is_duplex(modes.response_body_mode));
        }
        let kind = message.request.ok_or(Broken::Empty)?;
        match (self.state, &kind) {
            (State::Start, Message::RequestHeaders(_)) => {}
            (State::Start, _) => return Err(Broken::NotFirst),
            (_, Message::RequestHeaders(_)) => return Err(Broken::Twice),
            _ => {}
        }
        Ok(match kind {
            Message::RequestHeaders(head) => self.request_headers(now, &head),
            Message::ResponseHeaders(head) => self.response_headers(&head, &message.attributes),
            Message::RequestBody(body) => {
                Step::Answer(answer(Answer::RequestBody(continued(body, self.duplex.0))))
            }
            Message::ResponseBody(body) => {
                Step::Answer(answer(Answer::ResponseBody(continued(body, self.duplex.1))))
            }
            Message::RequestTrailers(_) => {
                Step::Answer(answer(Answer::RequestTrailers(TrailersResponse::default())))
            }
            Message::ResponseTrailers(_) => {
                Step::Answer(answer(Answer::ResponseTrailers(TrailersResponse::default())))
            }
        })
    }

    fn request_headers(&mut self, now: Micros, head: &HttpHeaders) -> Step {
        match self.catalogue.from_headers(now, headers(head.headers.as_ref()), &self.settings.headers) {
            Ok(request) => {
                self.state = State::RequestRef;
                Step::Ask(Box::new(request))
            }
            Err(error) => {
                self.state = State::Over;
                Step::Answer(unusable(&error))
            }
        }
    }

    fn response_headers(&mut self, head: &HttpHeaders, attributes: &HashMap<String, Struct>) -> Step {
        let State::Sent(lease) = self.state else { return Step::Answer(pass()) };
        let (mut status, mut unprocessed, mut load) = (None, false, String::new());
        for (name, value) in headers(head.headers.as_ref()) {
            let value = std::str::from_utf8(value).unwrap_or_default();
            match name {
                ":status" => status = value.parse().ok(),
                UNPROCESSED => unprocessed = value == "1",
                LOAD => load = value.into(),
                _ => {}
            }
        }
        let outcome = outcome(status, unprocessed, details(attributes));
        self.state = State::Reported { never_ran: outcome.never_executed() };
        Step::Report { lease, outcome, load }
    }

    /// The reply to the question.
    pub fn decided(&mut self, now: Micros, reply: Reply) -> Box<ProcessingResponse> {
        self.state = match reply {
            Reply::Send(Send { grant, .. }) => State::Sent(grant.lease),
            _ => State::Over,
        };
        match reply {
            Reply::Send(send) => self.send(now, &send),
            Reply::Final { end, .. } => ended(now, end),
            Reply::InFlight { .. } => immediate(503, Some(RETRY), "another caller holds this request"),
            Reply::Rejected(fault) => rejected(fault),
            Reply::Booked | Reply::Renewed(_) => immediate(502, None, "failed"),
        }
    }

    /// The reply to the report: what never ran becomes a refusal, all else goes on as the box worded it.
    pub fn reported(&mut self, now: Micros, reply: Reply) -> Box<ProcessingResponse> {
        let was = std::mem::replace(&mut self.state, State::Over);
        match (was, reply) {
            (
                State::Reported { never_ran: true },
                Reply::Final { end: end @ FinalStatus::Rejected(_), .. },
            ) => ended(now, end),
            _ => pass(),
        }
    }

    fn send(&self, now: Micros, send: &Send) -> Box<ProcessingResponse> {
        let endpoint = send.endpoint.to_string();
        let left = send.grant.give_up_at.saturating_sub(now) / 1_000;
        let set_headers = vec![
            header(&self.settings.endpoint_header, endpoint.clone()),
            header(&self.settings.headers.time_left, left.to_string()),
        ];
        let fields = [(self.settings.endpoint_header.clone(), text(endpoint))];
        let namespace = Value { kind: Some(value::Kind::StructValue(object(fields))) };
        let mutation = HeaderMutation { set_headers, remove_headers: Vec::new() };
        let response = CommonResponse { header_mutation: Some(mutation), ..CommonResponse::default() };
        // Bodies and trailers are nothing to this processor, the response's headers are the report.
        let mode = ProcessingMode {
            request_header_mode: HeaderSendMode::Send as i32,
            response_header_mode: HeaderSendMode::Send as i32,
            request_body_mode: BodySendMode::None as i32,
            response_body_mode: BodySendMode::None as i32,
            request_trailer_mode: HeaderSendMode::Skip as i32,
            response_trailer_mode: HeaderSendMode::Skip as i32,
        };
        Box::new(ProcessingResponse {
            dynamic_metadata: Some(object([(self.settings.metadata_namespace.clone(), namespace)])),
            // Envoy takes no override where it streams both ways.
            mode_override: (self.duplex == (false, false)).then_some(mode),
            ..*answer(Answer::RequestHeaders(HeadersResponse { response: Some(response) }))
        })
    }
}

fn details(attributes: &HashMap<String, Struct>) -> &str {
    let found = attributes.values().find_map(|s| s.fields.get(CODE_DETAILS));
    match found.and_then(|v| v.kind.as_ref()) {
        Some(value::Kind::StringValue(details)) => details,
        _ => "",
    }
}

fn unusable(error: &Unusable) -> Box<ProcessingResponse> {
    immediate(400, None, &error.to_string())
}

fn pass() -> Box<ProcessingResponse> {
    answer(Answer::ResponseHeaders(HeadersResponse { response: Some(CommonResponse::default()) }))
}

/// A piece of a body goes on as it is; one that is streamed both ways only by being sent back.
fn continued(body: HttpBody, duplex: bool) -> BodyResponse {
    let mutation = duplex.then(|| {
        body_mutation::Mutation::StreamedResponse(StreamedBodyResponse {
            body: body.body,
            end_of_stream: body.end_of_stream,
            ..StreamedBodyResponse::default()
        })
    });
    let body_mutation = mutation.map(|mutation| BodyMutation { mutation: Some(mutation) });
    BodyResponse { response: Some(CommonResponse { body_mutation, ..CommonResponse::default() }) }
}
