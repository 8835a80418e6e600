//! A request as it came from its client, checked and put into the engine's terms.

use super::ClientConnections;
use super::replies::{Rejected, TOO_LARGE};
use crate::body::{Reserved, Upload, exact_size, next_piece};
use crate::bounds::{BODY_CAP, BODY_MOST};
use crate::classes::Misfit;
use crate::connection::{ClientConnection, Requester};
use crate::exchange::{Call, Payload, join};
use crate::min_transfer_rate;
use balancer::api::Micros;
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Request, StatusCode, Uri};
use request_engine::engine::{Dispatch, IncomingRequest, RESPONSE_MARGIN};
use request_engine::request_key::request_key;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// A time left beyond this makes no sense.
const MAX_TIME_LEFT_MS: u64 = 3_600_000;

const CORRELATION_ID: HeaderName = HeaderName::from_static("x-correlation-id");
const SERVICE_CLASS: HeaderName = HeaderName::from_static("x-service-class");
const ACCOUNT: HeaderName = HeaderName::from_static("x-account");
const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left-ms");
pub(super) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// The headers that decide what a request is.
const ONCE: [HeaderName; 5] = [CORRELATION_ID, SERVICE_CLASS, ACCOUNT, TIME_LEFT, IDEMPOTENCY_KEY];
const REPEAT: HeaderName = HeaderName::from_static("x-repeat");
const WEIGHT_HINT: HeaderName = HeaderName::from_static("x-weight-hint");

impl ClientConnections {
    pub(super) async fn inbound(
        &self,
        request: Request<Incoming>,
        connection: &ClientConnection,
        requester: Requester,
    ) -> Result<(IncomingRequest<Rc<Call>>, HeaderValue), Rejected> {
        let (head, body) = request.into_parts();
        let bad = |why| Rejected(StatusCode::BAD_REQUEST, why);
        let text = |name| head.headers.get(name).and_then(|v: &HeaderValue| v.to_str().ok());
        // Rule 2: whoever goes by the length may find a further request in the body.
        if head.headers.contains_key(header::TRANSFER_ENCODING) && connection.has_length_and_encoding() {
            return Err(bad("Content-Length beside Transfer-Encoding\n"));
        }
        if body.size_hint().lower() > BODY_MOST {
            return Err(TOO_LARGE);
        }
        // Whoever reads the other one of two takes the request for something else.
        if ONCE.iter().any(|name| head.headers.get_all(name).iter().nth(1).is_some()) {
            return Err(bad("a header comes twice\n"));
        }
        let in_path = head.uri.path().split('/').nth(1).unwrap_or_default();
        if head.headers.contains_key(SERVICE_CLASS) && text(SERVICE_CLASS) != Some(in_path) {
            return Err(bad("the class of the header is not that of the path\n"));
        }
        let has_key = text(IDEMPOTENCY_KEY).is_some_and(|key| !key.is_empty());
        let class = self.classes.borrow().find(self.clock.now(), in_path, &head.method, has_key).cloned();
        let class = class.map_err(|misfit| match misfit {
            Misfit::Unknown => bad("unknown class\n"),
            Misfit::Method => Rejected(StatusCode::METHOD_NOT_ALLOWED, "not the method of this class\n"),
            Misfit::NoKey => bad("Idempotency-Key is missing\n"),
        })?;
        let id =
            head.headers.get(CORRELATION_ID).filter(|_| text(CORRELATION_ID).is_some_and(|t| !t.is_empty()));
        let id = id.cloned().ok_or(bad("X-Correlation-Id is missing\n"))?;
        let tenant = match text(ACCOUNT) {
            _ if self.tenants.is_empty() => 0,
            account => *account.and_then(|a| self.tenants.get(a)).ok_or(bad("unknown account\n"))?,
        };
        // The type's own parser would take a sign.
        let digits = text(TIME_LEFT).filter(|v| v.bytes().all(|b| b.is_ascii_digit()));
        let time_left = digits.and_then(|v| v.parse::<u64>().ok());
        let time_left = time_left.filter(|&ms| ms <= MAX_TIME_LEFT_MS);
        let patience = time_left.ok_or(bad("X-Time-Left-Ms is missing or makes no sense\n"))? * 1_000;
        let (class, patience) = (class.place, patience.min(class.deadline));
        let key = head.uri.query().and_then(request_key);
        let work = text(WEIGHT_HINT).and_then(|v| v.trim().parse().ok());
        let repeat = text(REPEAT) == Some("1");
        let length = exact_size(&body, &head.headers);
        let body = self.gather(body, length).await?;
        // The time of a request counts from its last byte. One that is passed on as it comes has not ended yet.
        let arrived = self.clock.at(connection.heard_at());
        let headers = forwarded(head.headers);
        let target = origin_form(head.uri).ok_or(bad("the target makes no sense\n"))?;
        let own = Duration::from_micros(patience.saturating_sub(RESPONSE_MARGIN.min(patience / 2)));
        let patience = match &body {
            Payload::Whole(_) => patience,
            Payload::Passed(_) => patience + micros(min_transfer_rate::time_for(length.unwrap_or(BODY_MOST))),
        };
        let call = Rc::new(Call {
            method: head.method,
            target,
            headers,
            body,
            patience: own,
            requester: Some(requester),
        });
        let conduct = Dispatch::Proxied(call);
        Ok((
            IncomingRequest {
                class,
                tenant,
                key,
                arrived_at: arrived,
                timeout: patience,
                expected_work: work,
                is_retry: repeat,
                dispatch: conduct,
            },
            id,
        ))
    }

    /// A request's body: whole where that is small or there is room for it, and otherwise passed on as it comes.
    async fn gather(&self, mut body: Incoming, length: Option<u64>) -> Result<Payload, Rejected> {
        if body.is_end_stream() {
            return Ok(Payload::Whole(Bytes::new()));
        }
        let (began, mut size) = (Instant::now(), 0);
        let (mut pieces, mut room) = (VecDeque::new(), None::<Reserved>);
        loop {
            let by = (began + min_transfer_rate::time_for(size as u64))
                .min(Instant::now() + min_transfer_rate::SILENCE);
            let piece = timeout_at(by, next_piece(&mut body)).await;
            let piece = piece.map_err(|_| Rejected(StatusCode::REQUEST_TIMEOUT, "the body is late\n"))?;
            let piece = piece.map_err(|_| Rejected(StatusCode::BAD_REQUEST, "the body is broken\n"))?;
            let Some(piece) = piece else {
                let whole = join(pieces);
                return Ok(Payload::Whole(match room {
                    Some(room) => room.hold(whole),
                    None => whole,
                }));
            };
            let more = piece.len();
            size += more;
            pieces.push_back(piece);
            if size <= BODY_CAP {
                continue;
            }
            // The whole is joined at the end, so that for a moment there are two of it.
            let whole = length.map_or(size, |length| usize::try_from(length).unwrap_or(usize::MAX));
            let kept = whole <= self.large_most
                && match (&mut room, length) {
                    (Some(_), Some(_)) => true,
                    (Some(room), None) => room.grow(2 * more),
                    (None, _) => {
                        room = self.large.reserve(2 * whole);
                        room.is_some()
                    }
                };
            if !kept {
                return Ok(Payload::Passed(Upload::new(pieces, room, body, length)));
            }
        }
    }
}

/// Path and query alone, whatever form the target came in: backends are no proxies.
fn origin_form(target: Uri) -> Option<Uri> {
    match target.scheme() {
        None => Some(target),
        Some(_) => target.into_parts().path_and_query.map(Uri::from),
    }
}

fn micros(span: Duration) -> Micros {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

/// Headers that speak of one connection or of a message's framing.
const HOP: [HeaderName; 10] = [
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

/// The headers that go on: all but those that speak of this one connection or of the message's framing.
fn forwarded(mut headers: HeaderMap) -> HeaderMap {
    let named = headers.get_all(header::CONNECTION).iter().filter_map(|v| v.to_str().ok());
    let named: Vec<HeaderName> =
        named.flat_map(|v| v.split(',')).filter_map(|name| name.trim().parse().ok()).collect();
    for name in named.iter().filter(|name| **name != CORRELATION_ID && **name != IDEMPOTENCY_KEY) {
        headers.remove(name);
    }
    // Few heads hold any of them; looking is cheaper than taking out what is not there.
    let hop: Vec<HeaderName> = headers.keys().filter(|name| HOP.contains(name)).cloned().collect();
    for name in hop {
        headers.remove(name);
    }
    headers
}
