//! Handles one stream of Envoy's `ext_proc` filter: the messages about one HTTP request in order, and the
//! response to each. No I/O and no clock.
//!
//! Envoy makes the one attempt itself. The response to the request's headers names the backend, and the
//! headers of the HTTP response are the report on the attempt. A rejection is sent as an immediate response.

use crate::decision_request::{InvalidRequest, RequestParser};
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

/// The response header, with the value `1`, of a backend that rejected a request without processing it.
const UNPROCESSED_HEADER: &str = "x-unprocessed";
/// The response header that contains a backend's load report.
const LOAD_REPORT_HEADER: &str = "x-backend-load";
/// Envoy's attribute that tells where a response originated. Sent only if Envoy's configuration requests it.
const CODE_DETAILS: &str = "response.code_details";
/// How long a client should wait before a retry if a limit was reached or its request is in flight elsewhere,
/// microseconds.
const RETRY_DELAY: Micros = 1_000_000;

/// The statuses that tell a client that nothing was executed, so that a retry is safe.
const REJECTION_STATUSES: [u16; 2] = [429, 503];

/// What the caller of [`ProcessingStream::handle_message`] has to do next.
#[derive(Debug, PartialEq)]
pub enum StreamAction {
    /// Request a decision and pass the reply to [`ProcessingStream::handle_decision_reply`].
    Decide(Box<DecisionRequest>),
    /// Report the result of the attempt and pass the reply to [`ProcessingStream::handle_report_reply`].
    Report {
        /// The lease of the attempt.
        lease: LeaseId,
        /// How the attempt ended.
        outcome: Outcome,
        /// The value of the backend's load report header; empty if missing.
        load_report: String,
    },
    /// Send this response to Envoy.
    Respond(Box<ProcessingResponse>),
    /// Do nothing: Envoy does not wait for a response.
    None,
}

/// A message that violates the protocol. The stream has to end.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ProtocolError {
    /// The message is of no known kind.
    #[error("a message of the stream holds none of the kinds that are known")]
    UnknownKind,
    /// The first message does not contain the request's headers.
    #[error("the request's headers come first: request_header_mode must be SEND")]
    MissingHeaders,
    /// A second message contains request headers.
    #[error("the request's headers came twice on one stream")]
    DuplicateHeaders,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamState {
    /// No message has arrived yet.
    AwaitingHeaders,
    /// A decision has been requested, and its reply is pending.
    AwaitingDecision,
    /// Envoy may make its attempt under this lease.
    AttemptInFlight { lease: LeaseId, is_retry_safe: bool },
    /// The attempt has been reported, and the reply is pending.
    AwaitingReportReply { never_executed: bool, is_false_rejection: bool },
    /// The final response has been determined.
    Finished,
    /// Envoy runs in observability mode and ignores all responses.
    ObserveOnly,
}

/// The state of one stream.
pub struct ProcessingStream<'a> {
    parser: &'a RequestParser,
    settings: &'a settings::Envoy,
    state: StreamState,
    body_modes: BodyModes,
}

/// Which bodies Envoy streams in full-duplex mode: their chunks have to be sent back to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct BodyModes {
    is_request_duplex: bool,
    is_response_duplex: bool,
}

fn set_header(name: &str, value: String) -> HeaderValueOption {
    HeaderValueOption {
        // Envoy accepts only one of the two values; the raw one may contain any bytes.
        header: Some(HeaderValue { key: name.into(), value: String::new(), raw_value: value.into_bytes() }),
        append_action: HeaderAppendAction::OverwriteIfExistsOrAdd as i32,
        ..HeaderValueOption::default()
    }
}

fn string_value(value: impl Into<String>) -> Value {
    Value { kind: Some(value::Kind::StringValue(value.into())) }
}

fn protobuf_struct(fields: impl IntoIterator<Item = (String, Value)>) -> Struct {
    Struct { fields: fields.into_iter().collect() }
}

fn response(kind: ResponseKind) -> Box<ProcessingResponse> {
    Box::new(ProcessingResponse { response: Some(kind), ..ProcessingResponse::default() })
}

fn immediate_response(status: u16, retry_after: Option<Micros>, reason: &str) -> Box<ProcessingResponse> {
    let retry_after = retry_after.filter(|&delay| delay > 0);
    let retry_after = retry_after.map(|delay| set_header("retry-after", retry_after_seconds(delay)));
    let mut set_headers = vec![set_header("content-type", "text/plain".into())];
    set_headers.extend(retry_after);
    response(ResponseKind::ImmediateResponse(ImmediateResponse {
        status: Some(HttpStatus { code: i32::from(status) }),
        headers: Some(HeaderMutation { set_headers, remove_headers: Vec::new() }),
        body: format!("{reason}\n").into_bytes(),
        grpc_status: None,
        details: "haventrack".into(),
    }))
}

/// The value of a `retry-after` header: seconds, rounded up and at least 1, since Envoy's retry policy does
/// not parse fractions.
fn retry_after_seconds(duration: Micros) -> String {
    duration.div_ceil(1_000_000).max(1).to_string()
}

/// Names (in lower case) and values of headers. Envoy sets either `raw_value` or `value`.
fn header_pairs(map: Option<&HeaderMap>) -> impl Iterator<Item = (&str, &[u8])> {
    map.into_iter().flat_map(|map| &map.headers).map(|h| {
        let value = if h.raw_value.is_empty() { h.value.as_bytes() } else { &h.raw_value };
        (h.key.as_str(), value)
    })
}

/// Derives the outcome of an attempt from the response's status, its unprocessed header and Envoy's response
/// code details; `details` is empty if Envoy does not send them.
#[must_use]
pub fn attempt_outcome(status: Option<u16>, is_unprocessed: bool, details: &str) -> Outcome {
    // Envoy generated the response itself instead of forwarding one of the backend.
    let is_local = !details.is_empty() && details != "via_upstream";
    if is_local {
        let has = |cause: &str| details.contains(cause);
        return match () {
            () if has("connection_failure") || has("connect_timeout") => Outcome::ConnectFailed,
            () if has("timeout") => Outcome::Timeout,
            // From Envoy's circuit breaker or a filter ahead of the router: no attempt was sent.
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

/// The response to an HTTP client whose request has its final outcome.
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

/// `names` are the names of the headers in errors.
fn rejection_response(reason: &RejectReason, names: &settings::Headers) -> Box<ProcessingResponse> {
    match reason {
        RejectReason::Class(mismatch) => {
            invalid_request_response(&InvalidRequest::class_mismatch(mismatch, names))
        }
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
    /// Creates a stream that has received no message.
    #[must_use]
    pub fn new(parser: &'a RequestParser, settings: &'a settings::Envoy) -> Self {
        Self { parser, settings, state: StreamState::AwaitingHeaders, body_modes: BodyModes::default() }
    }

    /// Handles the next message, which arrived at `now`.
    ///
    /// # Errors
    /// If the protocol does not allow the message at this point.
    pub fn handle_message(
        &mut self,
        now: Micros,
        message: ProcessingRequest,
    ) -> Result<StreamAction, ProtocolError> {
        if message.observability_mode {
            self.state = StreamState::ObserveOnly;
        }
        if self.state == StreamState::ObserveOnly {
            return Ok(StreamAction::None);
        }
        if let Some(modes) = message.protocol_config {
            let is_duplex = |mode: i32| mode == BodySendMode::FullDuplexStreamed as i32;
            self.body_modes = BodyModes {
                is_request_duplex: is_duplex(modes.request_body_mode),
                is_response_duplex: is_duplex(modes.response_body_mode),
            };
        }
        let kind = message.request.ok_or(ProtocolError::UnknownKind)?;
        match (self.state, &kind) {
            (StreamState::AwaitingHeaders, MessageKind::RequestHeaders(_)) => {}
            (StreamState::AwaitingHeaders, _) => return Err(ProtocolError::MissingHeaders),
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
        match self.parser.request_from_headers(
            now,
            header_pairs(head.headers.as_ref()),
            &self.settings.headers,
        ) {
            Ok(request) => {
                self.state = StreamState::AwaitingDecision;
                StreamAction::Decide(Box::new(request))
            }
            Err(error) => {
                self.state = StreamState::Finished;
                StreamAction::Respond(invalid_request_response(&error))
            }
        }
    }

    fn response_headers(&mut self, head: &HttpHeaders, attributes: &HashMap<String, Struct>) -> StreamAction {
        let StreamState::AttemptInFlight { lease, is_retry_safe } = self.state else {
            return StreamAction::Respond(pass_through());
        };
        let (mut status, mut is_unprocessed, mut load_report) = (None, false, String::new());
        for (name, value) in header_pairs(head.headers.as_ref()) {
            let value = std::str::from_utf8(value).unwrap_or_default();
            match name {
                ":status" => status = value.parse().ok(),
                UNPROCESSED_HEADER => is_unprocessed = value == "1",
                LOAD_REPORT_HEADER => load_report = value.into(),
                _ => {}
            }
        }
        let outcome = attempt_outcome(status, is_unprocessed, code_details(attributes));
        let never_executed = outcome.never_executed();
        let is_rejection = status.is_some_and(|status| REJECTION_STATUSES.contains(&status));
        let is_false_rejection = is_rejection && !never_executed && !is_retry_safe;
        self.state = StreamState::AwaitingReportReply { never_executed, is_false_rejection };
        StreamAction::Report { lease, outcome, load_report }
    }

    /// Converts the reply to the request for a decision to the response to the request's headers.
    pub fn handle_decision_reply(&mut self, now: Micros, reply: Reply) -> Box<ProcessingResponse> {
        self.state = match &reply {
            &Reply::Send(SendDecision { grant, is_retry_safe, .. }) => {
                StreamState::AttemptInFlight { lease: grant.lease, is_retry_safe }
            }
            _ => StreamState::Finished,
        };
        match reply {
            Reply::Send(decision) => self.send_response(now, &decision),
            Reply::Final { status, .. } => final_response(now, status),
            Reply::InFlight { .. } => {
                immediate_response(503, Some(RETRY_DELAY), "another caller holds this request")
            }
            Reply::Rejected(reason) => rejection_response(&reason, &self.settings.headers),
            Reply::LeaseSettled | Reply::Renewed(_) => immediate_response(502, None, "failed"),
        }
    }

    /// Converts the reply to the report to the response to the HTTP response's headers: if the attempt never
    /// ran and the request is rejected, the rejection replaces the response. If it may have run, and the response
    /// tells the client that a retry is safe although it is not, a failure replaces it. Any other response passes
    /// unchanged.
    pub fn handle_report_reply(&mut self, now: Micros, reply: Reply) -> Box<ProcessingResponse> {
        let previous = std::mem::replace(&mut self.state, StreamState::Finished);
        match (previous, reply) {
            (
                StreamState::AwaitingReportReply { never_executed: true, .. },
                Reply::Final { status: status @ FinalStatus::Rejected(_), .. },
            ) => final_response(now, status),
            (StreamState::AwaitingReportReply { is_false_rejection: true, .. }, _) => {
                final_response(now, FinalStatus::Failed)
            }
            _ => pass_through(),
        }
    }

    fn send_response(&self, now: Micros, decision: &SendDecision) -> Box<ProcessingResponse> {
        let endpoint = decision.endpoint.to_string();
        let time_left_ms = decision.grant.timeout_at.saturating_sub(now) / 1_000;
        let set_headers = vec![
            set_header(&self.settings.endpoint_header, endpoint.clone()),
            set_header(&self.settings.headers.time_left, time_left_ms.to_string()),
        ];
        let fields = [(self.settings.endpoint_header.clone(), string_value(endpoint))];
        let namespace = Value { kind: Some(value::Kind::StructValue(protobuf_struct(fields))) };
        let mutation = HeaderMutation { set_headers, remove_headers: Vec::new() };
        let common = CommonResponse { header_mutation: Some(mutation), ..CommonResponse::default() };
        // Bodies and trailers are not needed; the response's headers are the report on the attempt.
        let mode = ProcessingMode {
            request_header_mode: HeaderSendMode::Send as i32,
            response_header_mode: HeaderSendMode::Send as i32,
            request_body_mode: BodySendMode::None as i32,
            response_body_mode: BodySendMode::None as i32,
            request_trailer_mode: HeaderSendMode::Skip as i32,
            response_trailer_mode: HeaderSendMode::Skip as i32,
        };
        Box::new(ProcessingResponse {
            dynamic_metadata: Some(protobuf_struct([(self.settings.metadata_namespace.clone(), namespace)])),
            // Envoy does not accept an override while a body is in full-duplex mode.
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

/// Passes a chunk of a body unchanged; in full-duplex mode by sending it back.
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
