//! Responses that the proxy generates itself.

use crate::body::ResponseBody;
use balancer::api::Micros;
use bytes::Bytes;
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};

/// A request that is rejected before it reaches the engine: the status and the body of its response.
#[derive(Clone, Copy, Debug)]
pub(super) struct RejectedRequest(pub(super) StatusCode, pub(super) &'static str);

pub(super) const BODY_TOO_LARGE: RejectedRequest =
    RejectedRequest(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large\n");

pub(super) fn text_response(status: StatusCode, text: &'static str) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::buffered(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}

pub(super) fn rejection_response(rejected: &RejectedRequest) -> Response<ResponseBody> {
    let &RejectedRequest(status, reason) = rejected;
    let mut response = text_response(status, reason);
    if status == StatusCode::METHOD_NOT_ALLOWED {
        response.headers_mut().insert(header::ALLOW, HeaderValue::from_static("GET, POST"));
    }
    response
}

pub(super) fn failure_response() -> Response<ResponseBody> {
    text_response(StatusCode::BAD_GATEWAY, "failed\n")
}

/// The response to a request that was shed; `retry_after` is in microseconds, 0 for no hint.
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
