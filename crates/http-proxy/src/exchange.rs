//! One request and its answer on a connection to a backend.

use crate::body::{Outgoing, Upload, exact_size, next_piece};
use crate::client_connection::Requester;
use crate::size_limits::{BODY_CAP, BODY_MOST};
use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::SendRequest;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HOST, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING,
};
use hyper::{Method, Request, Response, StatusCode, Uri, Version};
use std::collections::VecDeque;
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left-ms");

/// The body of a request.
#[derive(Clone, Debug)]
pub enum Payload {
    /// Kept, for as many attempts as it takes.
    Whole(Bytes),
    /// Not kept: it goes out once.
    Passed(Rc<Upload>),
}

impl Payload {
    /// The bytes that a connection has taken at the least when all of it is written; `None` while that is not known.
    #[must_use]
    pub fn written(&self) -> Option<u64> {
        match self {
            Self::Whole(bytes) => Some(bytes.len() as u64),
            Self::Passed(upload) => upload.ended().map(|_| upload.passed()),
        }
    }

    /// Whether it is gone.
    #[must_use]
    pub fn is_spent(&self) -> bool {
        matches!(self, Self::Passed(upload) if upload.is_spent())
    }
}

/// What goes to a backend, the same at every attempt.
#[derive(Debug)]
pub struct Call {
    /// The client's method.
    pub method: Method,
    /// Path and query, unchanged.
    pub target: Uri,
    /// The client's headers that pass through a proxy.
    pub headers: HeaderMap,
    /// The body, unchanged.
    pub body: Payload,
    /// How long the client waits from the last byte of its request on.
    pub patience: Duration,
    /// Whoever asked, where it is a client; a probe has none.
    pub requester: Option<Requester>,
}

impl Call {
    /// Whether nobody waits for the answer any more. Asked right before an attempt begins.
    pub async fn is_forsaken(&self) -> bool {
        match &self.requester {
            Some(requester) => requester.has_left().await,
            None => false,
        }
    }
}

/// A backend's 200 answer.
#[derive(Debug)]
pub struct Served {
    /// Its body, unchanged.
    pub body: crate::body::Content,
    /// What the body is.
    pub content_type: Option<HeaderValue>,
}

/// The body of an answer.
pub enum Answered {
    /// All of it has come.
    Whole(Bytes),
    /// This much has come, and it is too large to be waited for; the length is that of the whole, if it was told.
    Begun(VecDeque<Bytes>, Incoming, Option<u64>),
}

/// An answer.
pub struct Reply {
    /// Its status.
    pub status: StatusCode,
    /// Its head.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Answered,
}

/// Why an exchange gave no answer.
pub enum Broken {
    /// The connection failed.
    Connection,
    /// What came can't be, or become, the answer.
    Spoilt,
    /// It was not there in time.
    TimedOut,
    /// It was withdrawn.
    Cancelled,
}

impl From<&hyper::Error> for Broken {
    fn from(error: &hyper::Error) -> Self {
        // A chunked body that can't be read shows only in the kind of the cause.
        let cause = error.source().and_then(|cause| cause.downcast_ref::<io::Error>()).map(io::Error::kind);
        let unreadable = matches!(cause, Some(io::ErrorKind::InvalidInput | io::ErrorKind::InvalidData));
        if error.is_parse() || unreadable { Self::Spoilt } else { Self::Connection }
    }
}

/// Writes a request and reads its answer: whole where it is small, so that one that breaks off never reaches the client
/// and another attempt can follow, and up to the usual size where it is larger.
///
/// # Errors
/// Why there is none.
pub async fn exchange(
    sender: &mut SendRequest<Outgoing>,
    request: Request<Outgoing>,
) -> Result<Reply, Broken> {
    let response = sender.send_request(request).await.map_err(|error| Broken::from(&error))?;
    if !can_become_whole(&response) {
        return Err(Broken::Spoilt);
    }
    let (head, mut rest) = response.into_parts();
    let length = exact_size(&rest, &head.headers);
    let mut first = VecDeque::new();
    let mut size = 0;
    let large = length.is_some_and(|length| length > BODY_CAP as u64);
    while !large && size <= BODY_CAP {
        match next_piece(&mut rest).await.map_err(|error| Broken::from(&error))? {
            None => {
                return Ok(Reply {
                    status: head.status,
                    headers: head.headers,
                    body: Answered::Whole(join(first)),
                });
            }
            Some(piece) => {
                size += piece.len();
                first.push_back(piece);
            }
        }
    }
    Ok(Reply { status: head.status, headers: head.headers, body: Answered::Begun(first, rest, length) })
}

/// Pieces as one; the usual single piece is not copied.
#[must_use]
pub fn join(mut pieces: VecDeque<Bytes>) -> Bytes {
    if pieces.len() <= 1 {
        return pieces.pop_front().unwrap_or_default();
    }
    let mut whole = BytesMut::with_capacity(pieces.iter().map(Bytes::len).sum());
    pieces.iter().for_each(|piece| whole.extend_from_slice(piece));
    whole.freeze()
}

/// Whether the head leaves hope for a good answer. Where it does not, failing at once leaves time for another
/// attempt: the rest of an answer of gigabytes would be read for nothing, and one that only the end of its
/// connection ends, though nobody said that it would end, could not be told from one that broke off.
fn can_become_whole(response: &Response<Incoming>) -> bool {
    let (length, headers) = (response.body().size_hint(), response.headers());
    let says_close = || {
        let tokens = headers.get_all(CONNECTION).iter().filter_map(|v| v.to_str().ok());
        tokens.flat_map(|v| v.split(',')).any(|token| token.trim().eq_ignore_ascii_case("close"))
    };
    let ends = length.exact().is_some()
        || headers.contains_key(TRANSFER_ENCODING)
        || response.version() == Version::HTTP_10
        || says_close();
    ends && length.lower() <= BODY_MOST && response.status() != StatusCode::SWITCHING_PROTOCOLS
}

/// The request as it goes to a backend at this address, which may take so long.
#[must_use]
pub fn request(call: &Call, address: SocketAddr, left: Duration) -> Request<Outgoing> {
    let body = match &call.body {
        Payload::Whole(bytes) => Outgoing::whole(bytes.clone()),
        Payload::Passed(upload) => Outgoing::Passed(Rc::clone(upload)),
    };
    let mut request = Request::new(body);
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.target.clone();
    let headers = request.headers_mut();
    headers.clone_from(&call.headers);
    let millis = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    headers.insert(TIME_LEFT, HeaderValue::from(millis));
    if let (Payload::Whole(bytes), true) = (&call.body, call.method != Method::GET) {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(bytes.len()));
    }
    if !headers.contains_key(HOST)
        && let Ok(host) = HeaderValue::try_from(address.to_string())
    {
        headers.insert(HOST, host);
    }
    request
}

/// The bytes that a request's head takes on the wire at the least. Fewer written than that and the body: the backend
/// can't have begun it.
#[must_use]
pub fn least_size(request: &Request<Outgoing>) -> u64 {
    let target = request.uri().path_and_query().map_or(1, |t| t.as_str().len());
    let line = request.method().as_str().len() + " ".len() + target + " HTTP/1.1\r\n".len();
    let fields =
        request.headers().iter().map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len());
    (line + fields.sum::<usize>() + "\r\n".len()) as u64
}
