//! Responses that the proxy generates itself, without a backend.

use crate::body::ResponseBody;
use balancer::api::Micros;
use bytes::Bytes;
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};

/// A request that is rejected before it reaches the engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct RejectedRequest {
    pub(super) status: StatusCode,
    /// The body of the response.
    pub(super) reason: &'static str,
}

impl RejectedRequest {
    pub(super) const BODY_TOO_LARGE: Self =
        Self::new(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large\n");

    /// The request did not arrive in time, so that nothing of it was executed.
    pub(super) const SHUTTING_DOWN: Self = Self::new(StatusCode::SERVICE_UNAVAILABLE, "shutting down\n");

    pub(super) const MALFORMED_BODY: Self = Self::bad_request("the body is broken\n");

    pub(super) const fn new(status: StatusCode, reason: &'static str) -> Self {
        Self { status, reason }
    }

    pub(super) const fn bad_request(reason: &'static str) -> Self {
        Self::new(StatusCode::BAD_REQUEST, reason)
    }
}

pub(super) fn text_response(status: StatusCode, text: &'static str) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::buffered(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}

pub(super) fn rejection_response(rejected: &RejectedRequest) -> Response<ResponseBody> {
    let mut response = text_response(rejected.status, rejected.reason);
    if rejected.status == StatusCode::METHOD_NOT_ALLOWED {
        response.headers_mut().insert(header::ALLOW, HeaderValue::from_static("GET, POST"));
    }
    response
}

pub(super) fn failure_response() -> Response<ResponseBody> {
    text_response(StatusCode::BAD_GATEWAY, "failed\n")
}

/// The response to a request that was shed. `retry_after` is in microseconds; 0 omits the header.
pub(super) fn overload_response(retry_after: Micros) -> Response<ResponseBody> {
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "no room\n");
    if retry_after > 0
        && let Ok(seconds) = HeaderValue::try_from(format!("{:.3}", retry_after as f64 / 1e6))
    {
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    response
}

pub(super) fn add_connection_close(response: &mut Response<ResponseBody>) {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
}
