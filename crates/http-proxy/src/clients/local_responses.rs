//! Answers that this side makes itself.

use crate::body::Content;
use balancer::api::Micros;
use bytes::Bytes;
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};

/// A request that is answered here because the module can't be asked about it.
pub(super) struct Rejected(pub(super) StatusCode, pub(super) &'static str);

pub(super) const TOO_LARGE: Rejected = Rejected(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large\n");

pub(super) fn plain(status: StatusCode, text: &'static str) -> Response<Content> {
    let mut response = Response::new(Content::whole(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}

pub(super) fn failure() -> Response<Content> {
    plain(StatusCode::BAD_GATEWAY, "failed\n")
}

pub(super) fn refusal(retry_after: Micros) -> Response<Content> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "no room\n");
    if retry_after > 0
        && let Ok(seconds) = HeaderValue::try_from(format!("{:.3}", retry_after as f64 / 1e6))
    {
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    response
}

pub(super) fn close(response: &mut Response<Content>) {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
}
