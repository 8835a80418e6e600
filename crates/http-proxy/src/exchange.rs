//! One request and its response on a backend connection.

use crate::body::{OutboundBody, ResponseBody, StreamedUpload, exact_size, next_chunk};
use crate::client_connection::ClientPresence;
use crate::size_limits::{MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES};
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

/// The header that gives a backend the remaining time in milliseconds.
const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left-ms");

/// The body of a request.
#[derive(Clone, Debug)]
pub enum RequestBody {
    /// In memory, for any number of attempts.
    Buffered(Bytes),
    /// Forwarded while it arrives, in a single attempt.
    Streamed(Rc<StreamedUpload>),
}

impl RequestBody {
    /// The minimum number of bytes that a connection has taken once the complete body is written; `None` while that is not
    /// known.
    #[must_use]
    pub fn min_wire_size(&self) -> Option<u64> {
        match self {
            Self::Buffered(bytes) => Some(bytes.len() as u64),
            Self::Streamed(upload) => upload.completed_at().map(|_| upload.forwarded_bytes()),
        }
    }

    /// Whether it can't be sent any more.
    #[must_use]
    pub fn is_consumed(&self) -> bool {
        matches!(self, Self::Streamed(upload) if upload.is_consumed())
    }
}

/// A request to a backend, the same in every attempt.
#[derive(Debug)]
pub struct ForwardedRequest {
    /// The client's method.
    pub method: Method,
    /// Path and query, unchanged.
    pub target: Uri,
    /// The client's end-to-end headers.
    pub headers: HeaderMap,
    /// The body, unchanged.
    pub body: RequestBody,
    /// How long the client waits from the last byte of its request on.
    pub timeout: Duration,
    /// The client; a health check has none.
    pub client: Option<ClientPresence>,
}

impl ForwardedRequest {
    /// Whether its client has disconnected. Checked right before an attempt starts.
    pub async fn is_abandoned(&self) -> bool {
        match &self.client {
            Some(client) => client.has_disconnected().await,
            None => false,
        }
    }
}

/// A backend's response with status 200.
#[derive(Debug)]
pub struct BackendResponse {
    /// Its body, unchanged.
    pub body: ResponseBody,
    /// Its content type, unchanged.
    pub content_type: Option<HeaderValue>,
}

/// The part of a response body that was received.
pub enum ReceivedBody {
    /// All of it.
    Complete(Bytes),
    /// The beginning of a body that is too large to be buffered.
    Partial(PartialBody),
}

/// The beginning of a response body.
pub struct PartialBody {
    /// The chunks that have arrived.
    pub received: VecDeque<Bytes>,
    /// The rest.
    pub remaining: Incoming,
    /// The length of the complete body in bytes, where the head gives it.
    pub length: Option<u64>,
}

/// A response of any status.
pub struct ReceivedResponse {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: ReceivedBody,
}

/// Why an exchange gave no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeError {
    /// The connection failed.
    ConnectionFailed,
    /// The response is malformed or can't be forwarded.
    Malformed,
    /// The time of the attempt is over.
    TimedOut,
    /// The attempt was cancelled.
    Cancelled,
}

impl From<&hyper::Error> for ExchangeError {
    fn from(error: &hyper::Error) -> Self {
        // A malformed chunked body shows only in the kind of the cause.
        let cause = error.source().and_then(|cause| cause.downcast_ref::<io::Error>()).map(io::Error::kind);
        let is_invalid = matches!(cause, Some(io::ErrorKind::InvalidInput | io::ErrorKind::InvalidData));
        if error.is_parse() || is_invalid { Self::Malformed } else { Self::ConnectionFailed }
    }
}

/// Writes a request and reads its response. A small body is read completely, so that a broken response never reaches the
/// client and another attempt can follow; of a larger one the first [`MAX_BUFFERED_BODY_BYTES`] are read.
///
/// # Errors
/// The connection failed, or the response is malformed or too large.
pub async fn exchange(
    sender: &mut SendRequest<OutboundBody>,
    request: Request<OutboundBody>,
) -> Result<ReceivedResponse, ExchangeError> {
    let response = sender.send_request(request).await.map_err(|error| ExchangeError::from(&error))?;
    if !can_be_forwarded(&response) {
        return Err(ExchangeError::Malformed);
    }
    let (head, body) = response.into_parts();
    let length = exact_size(&body, &head.headers);
    let body = receive_body(body, length).await?;
    Ok(ReceivedResponse { status: head.status, headers: head.headers, body })
}

async fn receive_body(mut remaining: Incoming, length: Option<u64>) -> Result<ReceivedBody, ExchangeError> {
    let (mut received, mut size) = (VecDeque::new(), 0);
    let is_large = length.is_some_and(|length| length > MAX_BUFFERED_BODY_BYTES as u64);
    while !is_large && size <= MAX_BUFFERED_BODY_BYTES {
        let chunk = next_chunk(&mut remaining).await.map_err(|error| ExchangeError::from(&error))?;
        let Some(chunk) = chunk else { return Ok(ReceivedBody::Complete(concatenate(received))) };
        size += chunk.len();
        received.push_back(chunk);
    }
    Ok(ReceivedBody::Partial(PartialBody { received, remaining, length }))
}

/// Chunks as one buffer; a single chunk, the usual case, is not copied.
#[must_use]
pub fn concatenate(mut chunks: VecDeque<Bytes>) -> Bytes {
    if chunks.len() <= 1 {
        return chunks.pop_front().unwrap_or_default();
    }
    let mut buffer = BytesMut::with_capacity(chunks.iter().map(Bytes::len).sum());
    for chunk in &chunks {
        buffer.extend_from_slice(chunk);
    }
    buffer.freeze()
}

/// Whether the head allows a complete response that can be forwarded. Otherwise failing at once leaves time for another
/// attempt: a response of gigabytes would be read in vain, and one that ends only with its connection, without announcing the
/// close, could not be told from a truncated one.
fn can_be_forwarded(response: &Response<Incoming>) -> bool {
    let (length, headers) = (response.body().size_hint(), response.headers());
    let announces_close = || {
        let tokens = headers.get_all(CONNECTION).iter().filter_map(|v| v.to_str().ok());
        tokens.flat_map(|v| v.split(',')).any(|token| token.trim().eq_ignore_ascii_case("close"))
    };
    let has_defined_end = length.exact().is_some()
        || headers.contains_key(TRANSFER_ENCODING)
        || response.version() == Version::HTTP_10
        || announces_close();
    has_defined_end
        && length.lower() <= MAX_BODY_BYTES
        && response.status() != StatusCode::SWITCHING_PROTOCOLS
}

/// Builds the request to a backend at `address`, with `time_left` for it.
#[must_use]
pub fn build_request(
    forwarded: &ForwardedRequest,
    address: SocketAddr,
    time_left: Duration,
) -> Request<OutboundBody> {
    let body = match &forwarded.body {
        RequestBody::Buffered(bytes) => OutboundBody::buffered(bytes.clone()),
        RequestBody::Streamed(upload) => OutboundBody::Streamed(Rc::clone(upload)),
    };
    let mut request = Request::new(body);
    *request.method_mut() = forwarded.method.clone();
    *request.uri_mut() = forwarded.target.clone();
    let headers = request.headers_mut();
    headers.clone_from(&forwarded.headers);
    let millis = u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX);
    headers.insert(TIME_LEFT, HeaderValue::from(millis));
    if let (RequestBody::Buffered(bytes), true) = (&forwarded.body, forwarded.method != Method::GET) {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(bytes.len()));
    }
    if !headers.contains_key(HOST)
        && let Ok(host) = HeaderValue::try_from(address.to_string())
    {
        headers.insert(HOST, host);
    }
    request
}

/// The minimum number of bytes of a request's head on the wire. With fewer bytes written than this and the body, a backend
/// can't have started to process the request.
#[must_use]
pub fn min_head_size(request: &Request<OutboundBody>) -> u64 {
    let target = request.uri().path_and_query().map_or(1, |t| t.as_str().len());
    let line = request.method().as_str().len() + " ".len() + target + " HTTP/1.1\r\n".len();
    let fields =
        request.headers().iter().map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len());
    (line + fields.sum::<usize>() + "\r\n".len()) as u64
}
