//! Reads and checks a client's request, and converts it to the engine's form.

use super::ClientConnections;
use super::forwarded_head::{end_to_end_headers, origin_form};
use super::local_responses::RejectedRequest;
use super::request_form::{check_form, check_host, target_host};
use crate::body::exact_size;
use crate::class_check::{ClassMismatch, find_class};
use crate::client_connection::{ClientConnection, ClientPresence};
use crate::exchange::{ForwardedRequest, RequestBody};
use crate::min_transfer_rate;
use crate::size_limits::MAX_BODY_BYTES;
use balancer::api::{Idempotency, Micros, RequestIdentity};
use hyper::body::{Body, Incoming};
use hyper::header::{HOST, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, StatusCode};
use request_engine::class_registry::RequestClass;
use request_engine::engine::{Dispatch, IncomingRequest, RESPONSE_MARGIN};
use request_engine::request_identity::request_identity;
use request_engine::request_key::request_key;
use request_engine::time_left::parse_time_left;
use std::rc::Rc;
use std::time::Duration;

pub(super) const CORRELATION_ID: HeaderName = HeaderName::from_static("x-correlation-id");
pub(super) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
const SERVICE_CLASS: HeaderName = HeaderName::from_static("x-service-class");
const ACCOUNT: HeaderName = HeaderName::from_static("x-account");
const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left-ms");
const RETRY: HeaderName = HeaderName::from_static("x-repeat");
const EXPECTED_WORK: HeaderName = HeaderName::from_static("x-weight-hint");
/// Headers that may occur only once: of two values the proxy and a backend could use different ones.
const SINGLE_VALUE_HEADERS: [HeaderName; 5] =
    [CORRELATION_ID, SERVICE_CLASS, ACCOUNT, TIME_LEFT, IDEMPOTENCY_KEY];

/// A request that has passed all checks.
pub(super) struct ParsedRequest {
    /// The request in the form that the engine accepts.
    pub(super) request: IncomingRequest<Rc<ForwardedRequest>>,
    /// The class under which it arrived.
    pub(super) class: RequestClass,
    /// Its correlation id.
    pub(super) correlation_id: HeaderValue,
}

/// The parameters that the head of a request gives.
struct RequestParameters {
    class: RequestClass,
    correlation_id: HeaderValue,
    tenant: u16,
    /// The time for which the client waits for its response, in microseconds.
    timeout: Micros,
}

impl ClientConnections {
    /// Checks the head of a request and reads its body.
    pub(super) async fn read_request(
        &self,
        request: Request<Incoming>,
        connection: &Rc<ClientConnection>,
        client: ClientPresence,
    ) -> Result<ParsedRequest, RejectedRequest> {
        let (head, body) = request.into_parts();
        check_form(&head, connection)?;
        check_limits(&head.headers, &body)?;
        let target_host = target_host(&head);
        let RequestParameters { class, correlation_id, tenant, timeout } = self.parameters(&head)?;
        check_host(head.version, &head.headers)?;
        let key = head.uri.query().and_then(request_key);
        let expected_work = header_text(&head.headers, &EXPECTED_WORK).and_then(|v| v.trim().parse().ok());
        let is_retry = header_text(&head.headers, &RETRY) == Some("1");
        let length = exact_size(&body, &head.headers);
        let body = self.read_body(body, length, connection, &client).await?;
        // The response deadline counts from the last byte of the request. The end of a streamed body is still
        // to come.
        let arrived_at = self.clock.at(connection.last_byte_at());
        let mut headers = end_to_end_headers(head.headers);
        if let Some(host) = target_host {
            headers.insert(HOST, host);
        }
        let target =
            origin_form(head.uri).ok_or(RejectedRequest::bad_request("the target makes no sense\n"))?;
        let attempt_timeout = timeout.saturating_sub(RESPONSE_MARGIN.min(timeout / 2));
        let is_complete = matches!(body, RequestBody::Buffered(_));
        let attempt_timeout = Duration::from_micros(attempt_timeout);
        let deadline = is_complete.then(|| connection.last_byte_at() + attempt_timeout);
        let upload_time = if is_complete { 0 } else { max_upload_time(length) };
        let forwarded = Rc::new(ForwardedRequest {
            method: head.method,
            target,
            headers,
            body,
            timeout: attempt_timeout,
            deadline,
            client: Some(client),
        });
        let request = IncomingRequest {
            class: class.index,
            idempotency: Some(class.idempotency),
            tenant,
            key,
            arrived_at,
            timeout,
            upload_time,
            expected_work,
            is_retry,
            identity: identity(&forwarded, &class, &correlation_id),
            dispatch: Dispatch::Proxied(forwarded),
        };
        Ok(ParsedRequest { request, class, correlation_id })
    }

    fn parameters(&self, head: &Parts) -> Result<RequestParameters, RejectedRequest> {
        let headers = &head.headers;
        let class = self.request_class(head)?;
        let correlation_id = headers
            .get(CORRELATION_ID)
            .filter(|_| header_text(headers, &CORRELATION_ID).is_some_and(|id| !id.is_empty()))
            .cloned()
            .ok_or(RejectedRequest::bad_request("X-Correlation-Id is missing\n"))?;
        let tenant = self.tenant(headers)?;
        let timeout = time_left(headers)?.min(class.deadline);
        Ok(RequestParameters { class, correlation_id, tenant, timeout })
    }

    fn request_class(&self, head: &Parts) -> Result<RequestClass, RejectedRequest> {
        let headers = &head.headers;
        let name = head.uri.path().split('/').nth(1).unwrap_or_default();
        if headers.contains_key(SERVICE_CLASS) && header_text(headers, &SERVICE_CLASS) != Some(name) {
            return Err(RejectedRequest::bad_request("the class of the header is not that of the path\n"));
        }
        let has_key = header_text(headers, &IDEMPOTENCY_KEY).is_some_and(|key| !key.is_empty());
        let class = find_class(&self.classes.borrow(), self.clock.now(), name, &head.method, has_key);
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
        let tenant = header_text(headers, &ACCOUNT).and_then(|account| self.tenants.get(account));
        tenant.copied().ok_or(RejectedRequest::bad_request("unknown account\n"))
    }
}

/// What identifies a request whose effect must not occur twice.
fn identity(
    forwarded: &ForwardedRequest,
    class: &RequestClass,
    correlation_id: &HeaderValue,
) -> Option<RequestIdentity> {
    if class.idempotency == Idempotency::Idempotent {
        return None;
    }
    let key = forwarded.headers.get(IDEMPOTENCY_KEY).map(HeaderValue::as_bytes);
    Some(request_identity(correlation_id.as_bytes(), class, key))
}

/// The value of a header, if it consists of visible ASCII.
fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Rejects bodies that are too large and headers that a backend could read differently than this proxy.
fn check_limits(headers: &HeaderMap, body: &Incoming) -> Result<(), RejectedRequest> {
    if body.size_hint().lower() > MAX_BODY_BYTES {
        return Err(RejectedRequest::BODY_TOO_LARGE);
    }
    if SINGLE_VALUE_HEADERS.iter().any(|name| headers.get_all(name).iter().nth(1).is_some()) {
        return Err(RejectedRequest::bad_request("a header comes twice\n"));
    }
    Ok(())
}

/// The remaining time for which the client waits, in microseconds.
fn time_left(headers: &HeaderMap) -> Result<Micros, RejectedRequest> {
    let time_left = header_text(headers, &TIME_LEFT).and_then(parse_time_left);
    time_left.ok_or(RejectedRequest::bad_request("X-Time-Left-Ms is missing or makes no sense\n"))
}

/// The maximum time of a streamed upload, in microseconds. `length` is that of the body in bytes, if it is
/// known.
fn max_upload_time(length: Option<u64>) -> Micros {
    let max_time = min_transfer_rate::timeout_after(length.unwrap_or(MAX_BODY_BYTES));
    u64::try_from(max_time.as_micros()).unwrap_or(u64::MAX)
}
