//! One stream of Envoy's `ext_proc` filter: the messages of one HTTP request in order, and the response to each. No
//! I/O and no clock.
//!
//! Envoy sends the request itself, once: the response to the request's headers names the backend, and the HTTP
//! response's headers are the report of the attempt. A rejection is an immediate response.

use crate::decision_request::{InvalidRequest, RequestCatalog};
use crate::decision_service::{DecisionRequest, RejectReason, Reply, SendDecision};
use crate::settings;
use balancer::api::{Micros, Outcome};
use envoy_types::pb::envoy::config::core::v3::header_value_option::HeaderAppendAction;
use envoy_types::pb::envoy::config::core::v3::{HeaderMap, HeaderValue, HeaderValueOption};
use envoy_types::pb::envoy::extensions::filters::http::ext_proc::v3::ProcessingMode;
use envoy_types::pb::envoy::extensions::filters::http::ext_proc::v3::processing_mode::{
    BodySendMode, HeaderSendMode,
};
use envoy_types::pb::envoy::service::ext_proc::v3::processing_request::Request as MessageKind;
use envoy_types::pb::envoy::service::ext_proc::v3::processing_response::Response as ResponseKind;
use envoy_types::pb::envoy::service::ext_proc::v3::{
    BodyMutation, BodyResponse, CommonResponse, HeaderMutation, HeadersResponse, HttpBody, HttpHeaders,
    ImmediateResponse, ProcessingRequest, ProcessingResponse, StreamedBodyResponse, TrailersResponse,
    body_mutation,
};
use envoy_types::pb::envoy::r#type::v3::HttpStatus;
use envoy_types::pb::google::protobuf::{Struct, Value, value};
use request_engine::idempotency::{ClaimError, FinalStatus};
use request_engine::lease::LeaseId;
use std::collections::HashMap;
use thiserror::Error;

/// The header of a backend that rejected a request without processing it.
const UNPROCESSED_HEADER: &str = "x-unprocessed";
/// The header of a load report.
const LOAD_REPORT_HEADER: &str = "x-backend-load";
/// Envoy's attribute for the origin of a response, if its configuration includes it.
const CODE_DETAILS: &str = "response.code_details";
/// After how long a client may retry that met a limit, or a request in flight elsewhere, microseconds.
const RETRY_DELAY: Micros = 1_000_000;

/// What to do after a message.
#[derive(Debug, PartialEq)]
pub enum StreamAction {
    /// Request a decision, and pass the reply to [`ProcessingStream::decided`].
    Decide(Box<DecisionRequest>),
    /// Report the result of the attempt, and pass the reply to [`ProcessingStream::reported`].
    Report {
        /// Its lease.
        lease: LeaseId,
        /// How it ended.
        outcome: Outcome,
        /// The backend's load report, as text.
        load_report: String,
    },
    /// Send this response.
    Respond(Box<ProcessingResponse>),
    /// Nothing: Envoy does not wait for a response.
    None,
}

/// The stream violates the protocol and has to end.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ProtocolError {
    /// A message of no known kind.
    #[error("a message of the stream holds none of the kinds that are known")]
    Empty,
    /// A message before the request's headers.
    #[error("the request's headers come first: request_header_mode must be SEND")]
    MissingHeaders,
    /// A second message with the request's headers.
    #[error("the request's headers came twice on one stream")]
    DuplicateHeaders,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// No message has arrived.
    Start,
    /// The decision is pending.
    Deciding,
    /// Envoy has a backend and this lease.
    Sent(LeaseId),
    /// The reply to the report is pending.
    Reported { never_executed: bool },
    /// The request has its final answer.
    Finished,
    /// Envoy ignores all responses.
    Observed,
}

/// One stream.
pub struct ProcessingStream<'a> {
    catalog: &'a RequestCatalog,
    settings: &'a settings::Envoy,
    state: State,
    body_modes: BodyModes,
}

/// Which bodies arrive in chunks that have to be sent back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct BodyModes {
    is_request_duplex: bool,
    is_response_duplex: bool,
}

fn header(name: &str, value: String) -> HeaderValueOption {
    HeaderValueOption {
        // Envoy accepts only one of the two values, and the raw one holds any bytes.
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

fn response(kind: ResponseKind) -> Box<ProcessingResponse> {
    Box::new(ProcessingResponse { response: Some(kind), ..ProcessingResponse::default() })
}

fn immediate_response(status: u16, retry_after: Option<Micros>, reason: &str) -> Box<ProcessingResponse> {
    let retry_after = retry_after.filter(|&delay| delay > 0);
    let retry_after = retry_after.map(|delay| header("retry-after", seconds(delay)));
    let mut set_headers = vec![header("content-type", "text/plain".into())];
    set_headers.extend(retry_after);
    response(ResponseKind::ImmediateResponse(ImmediateResponse {
        status: Some(HttpStatus { code: i32::from(status) }),
        headers: Some(HeaderMutation { set_headers, remove_headers: Vec::new() }),
        body: format!("{reason}\n").into_bytes(),
        grpc_status: None,
        details: "haventrack".into(),
    }))
}

/// Seconds as text, rounded up and at least 1: Envoy's retry policy reads no fractions.
fn seconds(duration: Micros) -> String {
    duration.div_ceil(1_000_000).max(1).to_string()
}

/// Names (in lower case) and values of headers, whichever field holds the value.
fn headers(map: Option<&HeaderMap>) -> impl Iterator<Item = (&str, &[u8])> {
    map.into_iter().flat_map(|map| &map.headers).map(|h| {
        let value = if h.raw_value.is_empty() { h.value.as_bytes() } else { &h.raw_value };
        (h.key.as_str(), value)
    })
}

/// The outcome of an attempt, from the response's status, its unprocessed header and Envoy's details on its origin.
#[must_use]
pub fn outcome(status: Option<u16>, is_unprocessed: bool, details: &str) -> Outcome {
    // A response of Envoy itself instead of the backend's.
    let is_local = !details.is_empty() && details != "via_upstream";
    if is_local {
        let has = |cause: &str| details.contains(cause);
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
        Some(503 | 504) if is_unprocessed => Outcome::Rejected,
        Some(503 | 504) | None => Outcome::Reset,
        Some(_) => Outcome::Malformed,
    }
}

/// The final answer to an HTTP client.
fn final_response(now: Micros, status: FinalStatus) -> Box<ProcessingResponse> {
    match status {
        FinalStatus::Rejected(retry_at) => {
            immediate_response(503, Some(retry_at.saturating_sub(now)), "no room")
        }
        FinalStatus::Failed => immediate_response(502, None, "failed"),
        FinalStatus::Unknown => {
            immediate_response(502, None, "whoever held this request vanished: it may have run")
        }
        FinalStatus::Served => immediate_response(409, None, "this request was served before"),
    }
}

fn rejection_response(reason: RejectReason) -> Box<ProcessingResponse> {
    match reason {
        RejectReason::Claim(ClaimError::Full(_))
        | RejectReason::Overload
        | RejectReason::CallerLimit(_)
        | RejectReason::Draining => immediate_response(503, Some(RETRY_DELAY), &reason.to_string()),
        RejectReason::Claim(_) | RejectReason::Lease(_) | RejectReason::EndpointMismatch(_) => {
            immediate_response(409, None, &reason.to_string())
        }
    }
}

impl<'a> ProcessingStream<'a> {
    /// A stream without messages.
    #[must_use]
    pub fn new(catalog: &'a RequestCatalog, settings: &'a settings::Envoy) -> Self {
        Self { catalog, settings, state: State::Start, body_modes: BodyModes::default() }
    }

    /// Handles the next message, which arrived at `now`.
    ///
    /// # Errors
    /// Where the protocol does not allow it at this point.
    pub fn message(
        &mut self,
        now: Micros,
        message: ProcessingRequest,
    ) -> Result<StreamAction, ProtocolError> {
        if message.observability_mode {
            self.state = State::Observed;
        }
        if self.state == State::Observed {
            return Ok(StreamAction::None);
        }
        if let Some(modes) = message.protocol_config {
            let is_duplex = |mode: i32| mode == BodySendMode::FullDuplexStreamed as i32;
            self.body_modes = BodyModes {
                is_request_duplex: is_duplex(modes.request_body_mode),
                is_response_duplex: is_duplex(modes.response_body_mode),
            };
        }
        let kind = message.request.ok_or(ProtocolError::Empty)?;
        match (self.state, &kind) {
            (State::Start, MessageKind::RequestHeaders(_)) => {}
            (State::Start, _) => return Err(ProtocolError::MissingHeaders),
            (_, MessageKind::RequestHeaders(_)) => return Err(ProtocolError::DuplicateHeaders),
            _ => {}
        }
        Ok(match kind {
            MessageKind::RequestHeaders(head) => self.request_headers(now, &head),
            MessageKind::ResponseHeaders(head) => self.response_headers(&head, &message.attributes),
            MessageKind::RequestBody(body) => StreamAction::Respond(response(ResponseKind::RequestBody(
                body_response(body, self.body_modes.is_request_duplex),
            ))),
            MessageKind::ResponseBody(body) => StreamAction::Respond(response(ResponseKind::ResponseBody(
                body_response(body, self.body_modes.is_response_duplex),
            ))),
            MessageKind::RequestTrailers(_) => {
                StreamAction::Respond(response(ResponseKind::RequestTrailers(TrailersResponse::default())))
            }
            MessageKind::ResponseTrailers(_) => {
                StreamAction::Respond(response(ResponseKind::ResponseTrailers(TrailersResponse::default())))
            }
        })
    }

    fn request_headers(&mut self, now: Micros, head: &HttpHeaders) -> StreamAction {
        match self.catalog.request_from_headers(now, headers(head.headers.as_ref()), &self.settings.headers) {
            Ok(request) => {
                self.state = State::Deciding;
                StreamAction::Decide(Box::new(request))
            }
            Err(error) => {
                self.state = State::Finished;
                StreamAction::Respond(invalid_request_response(&error))
            }
        }
    }

    fn response_headers(&mut self, head: &HttpHeaders, attributes: &HashMap<String, Struct>) -> StreamAction {
        let State::Sent(lease) = self.state else { return StreamAction::Respond(pass_through()) };
        let (mut status, mut is_unprocessed, mut load_report) = (None, false, String::new());
        for (name, value) in headers(head.headers.as_ref()) {
            let value = std::str::from_utf8(value).unwrap_or_default();
            match name {
                ":status" => status = value.parse().ok(),
                UNPROCESSED_HEADER => is_unprocessed = value == "1",
                LOAD_REPORT_HEADER => load_report = value.into(),
                _ => {}
            }
        }
        let outcome = outcome(status, is_unprocessed, code_details(attributes));
        self.state = State::Reported { never_executed: outcome.never_executed() };
        StreamAction::Report { lease, outcome, load_report }
    }

    /// The response for the reply to the request for a decision.
    pub fn decided(&mut self, now: Micros, reply: Reply) -> Box<ProcessingResponse> {
        self.state = match reply {
            Reply::Send(SendDecision { grant, .. }) => State::Sent(grant.lease),
            _ => State::Finished,
        };
        match reply {
            Reply::Send(decision) => self.send_response(now, &decision),
            Reply::Final { status, .. } => final_response(now, status),
            Reply::InFlight { .. } => {
                immediate_response(503, Some(RETRY_DELAY), "another caller holds this request")
            }
            Reply::Rejected(reason) => rejection_response(reason),
            Reply::LeaseSettled | Reply::Renewed(_) => immediate_response(502, None, "failed"),
        }
    }

    /// The response for the reply to the report: a request that never ran is rejected, any other backend response
    /// passes unchanged.
    pub fn reported(&mut self, now: Micros, reply: Reply) -> Box<ProcessingResponse> {
        let previous = std::mem::replace(&mut self.state, State::Finished);
        match (previous, reply) {
            (
                State::Reported { never_executed: true },
                Reply::Final { status: status @ FinalStatus::Rejected(_), .. },
            ) => final_response(now, status),
            _ => pass_through(),
        }
    }

    fn send_response(&self, now: Micros, decision: &SendDecision) -> Box<ProcessingResponse> {
        let endpoint = decision.endpoint.to_string();
        let time_left_ms = decision.grant.give_up_at.saturating_sub(now) / 1_000;
        let set_headers = vec![
            header(&self.settings.endpoint_header, endpoint.clone()),
            header(&self.settings.headers.time_left, time_left_ms.to_string()),
        ];
        let fields = [(self.settings.endpoint_header.clone(), text(endpoint))];
        let namespace = Value { kind: Some(value::Kind::StructValue(object(fields))) };
        let mutation = HeaderMutation { set_headers, remove_headers: Vec::new() };
        let common = CommonResponse { header_mutation: Some(mutation), ..CommonResponse::default() };
        // This processor needs no bodies and trailers; the response's headers are the report.
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
            // Envoy accepts no override while a body is in duplex mode.
            mode_override: (self.body_modes == BodyModes::default()).then_some(mode),
            ..*response(ResponseKind::RequestHeaders(HeadersResponse { response: Some(common) }))
        })
    }
}

fn code_details(attributes: &HashMap<String, Struct>) -> &str {
    let found = attributes.values().find_map(|s| s.fields.get(CODE_DETAILS));
    match found.and_then(|v| v.kind.as_ref()) {
        Some(value::Kind::StringValue(details)) => details,
        _ => "",
    }
}

fn invalid_request_response(error: &InvalidRequest) -> Box<ProcessingResponse> {
    immediate_response(400, None, &error.to_string())
}

fn pass_through() -> Box<ProcessingResponse> {
    response(ResponseKind::ResponseHeaders(HeadersResponse { response: Some(CommonResponse::default()) }))
}

/// Passes a chunk of a body unchanged; in duplex mode by sending it back.
fn body_response(body: HttpBody, is_duplex: bool) -> BodyResponse {
    let mutation = is_duplex.then(|| {
        body_mutation::Mutation::StreamedResponse(StreamedBodyResponse {
            body: body.body,
            end_of_stream: body.end_of_stream,
            ..StreamedBodyResponse::default()
        })
    });
    let body_mutation = mutation.map(|mutation| BodyMutation { mutation: Some(mutation) });
    BodyResponse { response: Some(CommonResponse { body_mutation, ..CommonResponse::default() }) }
}
