//! One request and its response on a backend connection.

mod receive;

pub use receive::{PartialBody, ReceivedBody, ResponseDeadlines, ResponseProgress};

use self::receive::receive_body;
use crate::body::{OutboundBody, ResponseBody, StreamedUpload, exact_size};
use crate::client_connection::ClientPresence;
use crate::size_limits::MAX_BODY_BYTES;
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::SendRequest;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HOST, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING,
};
use hyper::{Method, Request, Response, StatusCode, Uri, Version};
use std::error::Error;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// The header that gives a backend the remaining time of its request in milliseconds.
const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left-ms");

/// The body of a request.
#[derive(Clone, Debug)]
pub enum RequestBody {
    /// Buffered in memory and available to any number of attempts.
    Buffered(Bytes),
    /// Forwarded while it arrives, in a single attempt.
    Streamed(Rc<StreamedUpload>),
}

impl RequestBody {
    /// The minimum number of bytes that the socket has accepted once the complete body is written; `None` as
    /// long as that is unknown.
    #[must_use]
    pub fn min_wire_size(&self) -> Option<u64> {
        match self {
            Self::Buffered(bytes) => Some(bytes.len() as u64),
            Self::Streamed(upload) => upload.completed_at().map(|_| upload.forwarded_bytes()),
        }
    }

    /// Whether it can no longer be sent, since a part of it was forwarded already.
    #[must_use]
    pub fn is_consumed(&self) -> bool {
        matches!(self, Self::Streamed(upload) if upload.is_consumed())
    }
}

/// A request to a backend. All of its attempts send the same method, target, headers and body.
#[derive(Debug)]
pub struct ForwardedRequest {
    /// The method of the client's request.
    pub method: Method,
    /// Path and query of the client's request.
    pub target: Uri,
    /// The headers of the client's request without the hop-by-hop headers.
    pub headers: HeaderMap,
    /// The body of the client's request.
    pub body: RequestBody,
    /// The time limit for the response, counted from the last byte of the request.
    pub timeout: Duration,
    /// When the client's time is over, less the time to respond; `None` if that is not known yet.
    pub deadline: Option<Instant>,
    /// The client that waits for the response; `None` for a health check.
    pub client: Option<ClientPresence>,
}

impl ForwardedRequest {
    /// Whether its client has disconnected. Checked immediately before an attempt starts.
    pub async fn has_client_disconnected(&self) -> bool {
        match &self.client {
            Some(client) => client.has_disconnected().await,
            None => false,
        }
    }
}

/// A backend's response with status 200.
#[derive(Debug)]
pub struct BackendResponse {
    /// The body as the backend sent it.
    pub body: ResponseBody,
    /// The content type as the backend sent it.
    pub content_type: Option<HeaderValue>,
}

/// A response of any status.
pub struct ReceivedResponse {
    /// The status code as the backend sent it.
    pub status: StatusCode,
    /// All headers, hop-by-hop headers included.
    pub headers: HeaderMap,
    /// The body, complete or in part.
    pub body: ReceivedBody,
}

/// Why an exchange gave no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeError {
    /// The connection failed before the response was received.
    ConnectionFailed,
    /// The response is malformed or can't be forwarded.
    Malformed,
    /// The time limit of the attempt has passed.
    TimedOut,
    /// The same within the body of a response.
    ResponseIncomplete(ResponseProgress),
    /// The attempt was cancelled before the response was received.
    Cancelled,
}

impl From<&hyper::Error> for ExchangeError {
    fn from(error: &hyper::Error) -> Self {
        // For a malformed chunked body only the kind of the causing I/O error shows that the response is
        // invalid.
        let cause = error.source().and_then(|cause| cause.downcast_ref::<io::Error>()).map(io::Error::kind);
        let is_invalid = matches!(cause, Some(io::ErrorKind::InvalidInput | io::ErrorKind::InvalidData));
        if error.is_parse() || is_invalid { Self::Malformed } else { Self::ConnectionFailed }
    }
}

/// Writes a request and reads its response. A small body is read completely, so that a truncated or malformed
/// response never reaches the client and another attempt can follow. Of a larger body only the beginning is
/// read.
///
/// # Errors
/// The connection failed, the response is malformed or too large, or it was not received in time.
pub async fn exchange(
    sender: &mut SendRequest<OutboundBody>,
    request: Request<OutboundBody>,
    deadlines: ResponseDeadlines<impl Future<Output = ()>>,
) -> Result<ReceivedResponse, ExchangeError> {
    let mut attempt_deadline = std::pin::pin!(deadlines.attempt);
    let response = tokio::select! {
        biased;
        response = sender.send_request(request) => response.map_err(|error| ExchangeError::from(&error))?,
        () = &mut attempt_deadline => return Err(ExchangeError::TimedOut),
    };
    if !can_be_forwarded(&response) {
        return Err(ExchangeError::Malformed);
    }
    let (head, body) = response.into_parts();
    let length = exact_size(&body, &head.headers);
    // Only the body of a served response is passed on.
    let client_deadline = deadlines.client.filter(|_| head.status == StatusCode::OK);
    let body = receive_body(body, length, attempt_deadline, client_deadline).await?;
    Ok(ReceivedResponse { status: head.status, headers: head.headers, body })
}

/// Whether the head announces a response that can be forwarded completely. Rejecting others at this point
/// leaves time for another attempt. A response that is too large would be read in vain. A response that ends
/// only with its connection, without announcing the close, cannot be distinguished from a truncated one.
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

/// Builds the request to a backend at `address`. `time_left` is the time that the backend has for it.
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

/// The minimum number of bytes of a request's head on the wire. As long as fewer bytes than this and the body
/// are written, the backend can't have the complete request and can't have executed it.
#[must_use]
pub fn min_head_size(request: &Request<OutboundBody>) -> u64 {
    let target = request.uri().path_and_query().map_or(1, |t| t.as_str().len());
    let line = request.method().as_str().len() + " ".len() + target + " HTTP/1.1\r\n".len();
    let fields =
        request.headers().iter().map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len());
    (line + fields.sum::<usize>() + "\r\n".len()) as u64
}
