//! Derives the target and headers that are forwarded to backends.

use super::read_request::{CORRELATION_ID, IDEMPOTENCY_KEY};
use hyper::Uri;
use hyper::header::{self, HeaderMap, HeaderName};

/// Headers that apply to a single connection or to a message's framing.
const HOP_BY_HOP_HEADERS: [HeaderName; 10] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// Headers that belong to the request whatever `Connection` names.
const END_TO_END_HEADERS: [HeaderName; 3] = [CORRELATION_ID, IDEMPOTENCY_KEY, header::HOST];

/// Path and query of a target in any form, since backends may not accept the forms meant for proxies. `None`
/// if the target has neither.
pub(super) fn origin_form(target: Uri) -> Option<Uri> {
    match target.scheme() {
        None => Some(target),
        Some(_) => target.into_parts().path_and_query.map(Uri::from),
    }
}

/// Removes the hop-by-hop headers, including those that `Connection` names.
pub(super) fn end_to_end_headers(mut headers: HeaderMap) -> HeaderMap {
    let listed = headers.get_all(header::CONNECTION).iter().filter_map(|v| v.to_str().ok());
    let listed: Vec<HeaderName> =
        listed.flat_map(|v| v.split(',')).filter_map(|name| name.trim().parse().ok()).collect();
    for name in listed.iter().filter(|name| !END_TO_END_HEADERS.contains(name)) {
        headers.remove(name);
    }
    // Few heads have any of them, and a lookup is cheaper than a removal.
    let hop_by_hop: Vec<HeaderName> =
        headers.keys().filter(|name| HOP_BY_HOP_HEADERS.contains(name)).cloned().collect();
    for name in hop_by_hop {
        headers.remove(name);
    }
    headers
}
