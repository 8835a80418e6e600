//! A response body that is forwarded while it arrives.

use super::{BodyError, FramePoll, LateResponse, StreamedBody, compact};
use crate::exchange::PartialBody;
use crate::size_limits::MAX_BODY_BYTES;
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming};
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::time::{Instant, Sleep, sleep_until};

/// The maximum time for which a backend may send nothing within a streamed response.
const INACTIVITY_TIMEOUT: Duration = Duration::from_secs(10);
/// Called once a response is complete, to release the backend connection.
pub type OnComplete = Box<dyn FnOnce()>;

/// The body of a response that is too large to be buffered.
pub struct StreamedResponse {
    received: Option<Bytes>,
    remaining: Incoming,
    length: Option<u64>,
    forwarded_bytes: u64,
    /// Its arrival if the client's time was over before the body was known to be large.
    late: Option<LateResponse>,
    timer: Pin<Box<Sleep>>,
    on_complete: Option<OnComplete>,
}

impl fmt::Debug for StreamedResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StreamedResponse")
            .field("length", &self.length)
            .field("forwarded_bytes", &self.forwarded_bytes)
            .finish_non_exhaustive()
    }
}

impl StreamedResponse {
    /// A body that has arrived in part. `on_complete` is called when the last byte has arrived. If it is
    /// dropped without being called, it closes the backend connection.
    #[must_use]
    pub fn new(partial: PartialBody, on_complete: OnComplete) -> Self {
        let PartialBody { received, remaining, length, late } = partial;
        let due_at = due_at(Instant::now(), late);
        Self {
            received: Some(received).filter(|received| !received.is_empty()),
            remaining,
            length,
            forwarded_bytes: 0,
            late,
            timer: Box::pin(sleep_until(due_at)),
            on_complete: Some(on_complete),
        }
    }

    /// Records bytes that arrived, and sets the timer for the next ones.
    fn receive(&mut self, bytes: usize) {
        let now = Instant::now();
        self.forwarded_bytes += bytes as u64;
        if let Some(late) = &mut self.late {
            late.receive(now, bytes);
        }
        self.timer.as_mut().reset(due_at(now, self.late));
    }
}

/// When a body whose last bytes arrived at `now` has stalled.
fn due_at(now: Instant, late: Option<LateResponse>) -> Instant {
    late.and_then(|late| late.due_at()).unwrap_or(now + INACTIVITY_TIMEOUT)
}

impl StreamedBody for Box<StreamedResponse> {
    fn length(&self) -> Option<u64> {
        self.length
    }

    fn poll_frame(&mut self, cx: &mut Context<'_>) -> FramePoll {
        if let Some(chunk) = self.received.take() {
            self.forwarded_bytes += chunk.len() as u64;
            return Poll::Ready(Some(Ok(Frame::data(chunk))));
        }
        loop {
            match Pin::new(&mut self.remaining).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => {
                    let Ok(chunk) = frame.into_data() else { continue };
                    self.receive(chunk.len());
                    if self.forwarded_bytes > MAX_BODY_BYTES {
                        return Poll::Ready(Some(Err(BodyError::TooLarge)));
                    }
                    return Poll::Ready(Some(Ok(Frame::data(compact(chunk)))));
                }
                Poll::Ready(Some(Err(error))) => return Poll::Ready(Some(Err(error.into()))),
                Poll::Ready(None) => {
                    if let Some(on_complete) = self.on_complete.take() {
                        on_complete();
                    }
                    return Poll::Ready(None);
                }
                Poll::Pending => {
                    ready!(self.timer.as_mut().poll(cx));
                    return Poll::Ready(Some(Err(BodyError::Stalled)));
                }
            }
        }
    }
}
