//! Reads and checks a client's request, and translates it to the engine's terms.

use super::ClientConnections;
use super::forwarded_head::{end_to_end_headers, origin_form};
use super::local_responses::RejectedRequest;
use crate::body::exact_size;
use crate::class_registry::{ClassMismatch, RequestClass};
use crate::client_connection::{ClientConnection, ClientPresence};
use crate::exchange::{ForwardedRequest, RequestBody};
use crate::min_transfer_rate;
use crate::size_limits::MAX_BODY_BYTES;
use balancer::api::Micros;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{Request, StatusCode};
use request_engine::engine::{Dispatch, IncomingRequest, RESPONSE_MARGIN};
use request_engine::request_key::request_key;
use std::rc::Rc;
use std::time::Duration;

/// The largest valid remaining time, in milliseconds.
const MAX_TIME_LEFT_MS: u64 = 3_600_000;

pub(super) const CORRELATION_ID: HeaderName = HeaderName::from_static("x-correlation-id");
pub(super) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
const SERVICE_CLASS: HeaderName = HeaderName::from_static("x-service-class");
const ACCOUNT: HeaderName = HeaderName::from_static("x-account");
const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left-ms");
const RETRY: HeaderName = HeaderName::from_static("x-repeat");
const EXPECTED_WORK: HeaderName = HeaderName::from_static("x-weight-hint");
/// The headers that may occur only once: of two values the proxy and a backend could use different ones.
const UNIQUE: [HeaderName; 5] = [CORRELATION_ID, SERVICE_CLASS, ACCOUNT, TIME_LEFT, IDEMPOTENCY_KEY];

/// A checked request.
pub(super) struct ParsedRequest {
    /// The request in the engine's terms.
    pub(super) request: IncomingRequest<Rc<ForwardedRequest>>,
    /// Its correlation id.
    pub(super) correlation_id: HeaderValue,
}

/// What the head of a request gives.
struct RequestParameters {
    class: RequestClass,
    correlation_id: HeaderValue,
    tenant: u16,
    /// How long the client waits, in microseconds.
    timeout: Micros,
}

impl ClientConnections {
    /// Reads the body of a request and checks its head.
    pub(super) async fn read_request(
        &self,
        request: Request<Incoming>,
        connection: &ClientConnection,
        client: ClientPresence,
    ) -> Result<ParsedRequest, RejectedRequest> {
        let (head, body) = request.into_parts();
        check_framing(&head.headers, &body, connection)?;
        let RequestParameters { class, correlation_id, tenant, timeout } = self.parameters(&head)?;
        let key = head.uri.query().and_then(request_key);
        let expected_work = text(&head.headers, &EXPECTED_WORK).and_then(|v| v.trim().parse().ok());
        let is_retry = text(&head.headers, &RETRY) == Some("1");
        let length = exact_size(&body, &head.headers);
        let body = self.read_body(body, length).await?;
        // The time of a request counts from its last byte. The end of a streamed body is still to come.
        let arrived_at = self.clock.at(connection.last_byte_at());
        let headers = end_to_end_headers(head.headers);
        let target =
            origin_form(head.uri).ok_or(RejectedRequest::bad_request("the target makes no sense\n"))?;
        let attempt_timeout = timeout.saturating_sub(RESPONSE_MARGIN.min(timeout / 2));
        let timeout = match &body {
            RequestBody::Buffered(_) => timeout,
            RequestBody::Streamed(_) => timeout + max_upload_time(length),
        };
        let forwarded = Rc::new(ForwardedRequest {
            method: head.method,
            target,
            headers,
            body,
            timeout: Duration::from_micros(attempt_timeout),
            client: Some(client),
        });
        let request = IncomingRequest {
            class: class.index,
            tenant,
            key,
            arrived_at,
            timeout,
            expected_work,
            is_retry,
            dispatch: Dispatch::Proxied(forwarded),
        };
        Ok(ParsedRequest { request, correlation_id })
    }

    fn parameters(&self, head: &Parts) -> Result<RequestParameters, RejectedRequest> {
        let headers = &head.headers;
        let class = self.request_class(head)?;
        let correlation_id = headers
            .get(CORRELATION_ID)
            .filter(|_| text(headers, &CORRELATION_ID).is_some_and(|id| !id.is_empty()))
            .cloned()
            .ok_or(RejectedRequest::bad_request("X-Correlation-Id is missing\n"))?;
        let tenant = self.tenant(headers)?;
        let timeout = time_left(headers)?.min(class.deadline);
        Ok(RequestParameters { class, correlation_id, tenant, timeout })
    }

    fn request_class(&self, head: &Parts) -> Result<RequestClass, RejectedRequest> {
        let headers = &head.headers;
        let name = head.uri.path().split('/').nth(1).unwrap_or_default();
        if headers.contains_key(SERVICE_CLASS) && text(headers, &SERVICE_CLASS) != Some(name) {
            return Err(RejectedRequest::bad_request("the class of the header is not that of the path\n"));
        }
        let has_key = text(headers, &IDEMPOTENCY_KEY).is_some_and(|key| !key.is_empty());
        let class = self.classes.borrow().find(self.clock.now(), name, &head.method, has_key).cloned();
        class.map_err(|mismatch| match mismatch {
            ClassMismatch::UnknownClass => RejectedRequest::bad_request("unknown class\n"),
            ClassMismatch::MethodNotAllowed => {
                RejectedRequest::new(StatusCode::METHOD_NOT_ALLOWED, "not the method of this class\n")
            }
            ClassMismatch::MissingKey => RejectedRequest::bad_request("Idempotency-Key is missing\n"),
        })
    }

    fn tenant(&self, headers: &HeaderMap) -> Result<u16, RejectedRequest> {
        if self.tenants.is_empty() {
            return Ok(0);
        }
        let tenant = text(headers, &ACCOUNT).and_then(|account| self.tenants.get(account));
        tenant.copied().ok_or(RejectedRequest::bad_request("unknown account\n"))
    }
}

/// The value of a header that is visible ASCII.
fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Rejects heads that a backend could frame or route differently than this proxy, and bodies that are too large.
fn check_framing(
    headers: &HeaderMap,
    body: &Incoming,
    connection: &ClientConnection,
) -> Result<(), RejectedRequest> {
    // Rule 2: a server that relies on the length may find another request within the body.
    if headers.contains_key(TRANSFER_ENCODING) && connection.has_length_and_encoding() {
        return Err(RejectedRequest::bad_request("Content-Length beside Transfer-Encoding\n"));
    }
    if body.size_hint().lower() > MAX_BODY_BYTES {
        return Err(RejectedRequest::BODY_TOO_LARGE);
    }
    if UNIQUE.iter().any(|name| headers.get_all(name).iter().nth(1).is_some()) {
        return Err(RejectedRequest::bad_request("a header comes twice\n"));
    }
    Ok(())
}

/// The time that the client still waits, in microseconds.
fn time_left(headers: &HeaderMap) -> Result<Micros, RejectedRequest> {
    // The integer's own parser would accept a sign.
    let digits = text(headers, &TIME_LEFT).filter(|v| v.bytes().all(|b| b.is_ascii_digit()));
    let millis = digits.and_then(|v| v.parse::<u64>().ok()).filter(|&ms| ms <= MAX_TIME_LEFT_MS);
    let millis =
        millis.ok_or(RejectedRequest::bad_request("X-Time-Left-Ms is missing or makes no sense\n"))?;
    Ok(millis * 1_000)
}

/// How long a streamed upload may take, in microseconds.
fn max_upload_time(length: Option<u64>) -> Micros {
    let max_time = min_transfer_rate::timeout_after(length.unwrap_or(MAX_BODY_BYTES));
    u64::try_from(max_time.as_micros()).unwrap_or(u64::MAX)
}
