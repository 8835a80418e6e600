//! Message bodies: small ones are buffered, larger ones are streamed.

mod late_limit;
mod memory_budget;
mod received_bytes;
mod streamed_response;
mod streamed_upload;
mod tracked_response;

pub use late_limit::{LateResponse, ResponseArrival};
pub use memory_budget::{MemoryBudget, MemoryReservation};
pub use received_bytes::{ReceivedBytes, compact};
pub use streamed_response::{OnComplete, StreamedResponse};
pub use streamed_upload::{StreamedUpload, UploadSource};
pub use tracked_response::TrackedResponse;

use crate::size_limits::MAX_BODY_BYTES;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{HeaderMap, TRANSFER_ENCODING};
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use thiserror::Error;

/// Why forwarding a body failed.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The connection that the body is read from failed.
    #[error("connection failed: {0}")]
    Connection(#[from] hyper::Error),
    /// The sender paused for longer than allowed.
    #[error("no data received within the time limit")]
    Stalled,
    /// The sender violates the chunked transfer coding.
    #[error("malformed chunked transfer coding")]
    Malformed,
    /// The body exceeds [`MAX_BODY_BYTES`].
    #[error("body exceeds {MAX_BODY_BYTES} bytes")]
    TooLarge,
}

/// The result of polling a body for its next frame; `None` at the end of the body.
pub type FramePoll = Poll<Option<Result<Frame<Bytes>, BodyError>>>;

/// A body that is forwarded while it arrives.
pub trait StreamedBody: Unpin {
    /// Polls for the next frame, like [`Body::poll_frame`].
    fn poll_frame(&mut self, cx: &mut Context<'_>) -> FramePoll;

    /// The length of the complete body in bytes, if its head gives it.
    fn length(&self) -> Option<u64>;
}

/// A body that is forwarded to a backend or a client.
#[derive(Debug)]
pub enum ForwardedBody<S> {
    /// Buffered in memory.
    Buffered(Full<Bytes>),
    /// Forwarded while it arrives.
    Streamed(S),
}

/// The body of a request to a backend. Only a buffered one can be sent more than once.
pub type OutboundBody = ForwardedBody<Rc<StreamedUpload>>;
/// The body of a response to a client.
pub type ResponseBody = ForwardedBody<Box<StreamedResponse>>;

impl<S> ForwardedBody<S> {
    /// A body in memory that consists of these bytes.
    #[must_use]
    pub fn buffered(bytes: Bytes) -> Self {
        Self::Buffered(Full::new(bytes))
    }
}

impl<S: StreamedBody> Body for ForwardedBody<S> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context<'_>) -> FramePoll {
        match self.get_mut() {
            Self::Buffered(body) => Pin::new(body).poll_frame(cx).map_err(|never: Infallible| match never {}),
            Self::Streamed(body) => body.poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(body) => body.is_end_stream(),
            Self::Streamed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(body) => body.size_hint(),
            Self::Streamed(body) => body.length().map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}

/// The length of a body in bytes, if its head gives one.
#[must_use]
pub fn exact_size(body: &Incoming, headers: &HeaderMap) -> Option<u64> {
    body.size_hint().exact().filter(|_| !headers.contains_key(TRANSFER_ENCODING))
}

/// Reads the next chunk of a body; `None` at the end of the body. Trailers are skipped.
///
/// # Errors
/// The connection failed, or its framing is invalid.
pub async fn next_chunk(body: &mut Incoming) -> Result<Option<Bytes>, hyper::Error> {
    loop {
        match std::future::poll_fn(|cx| Pin::new(&mut *body).poll_frame(cx)).await {
            None => return Ok(None),
            Some(Err(error)) => return Err(error),
            Some(Ok(frame)) => {
                if let Ok(bytes) = frame.into_data() {
                    return Ok(Some(bytes));
                }
            }
        }
    }
}
