//! Receives the body of a response, as far as it is read before the response is passed on.

use super::ExchangeError;
use crate::body::{LateResponse, ReceivedBytes, ResponseArrival, next_chunk};
use crate::size_limits::MAX_BUFFERED_BODY_BYTES;
use bytes::Bytes;
use hyper::body::Incoming;
use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// The body of a response, as far as it was received.
pub enum ReceivedBody {
    /// The complete body.
    Complete(Bytes),
    /// The beginning of a body that is too large to be buffered.
    Partial(PartialBody),
}

/// A response body that was received in part.
pub struct PartialBody {
    /// The bytes that have arrived.
    pub received: Bytes,
    /// The bytes that are still to arrive.
    pub remaining: Incoming,
    /// The length of the complete body in bytes, if the head gives it.
    pub length: Option<u64>,
    /// How it arrives if the client's time was over before more than [`MAX_BUFFERED_BODY_BYTES`] had arrived.
    pub late: Option<LateResponse>,
}

/// How much of a response's body had arrived when it was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseProgress {
    /// The length of the complete body in bytes, if the head gives it.
    pub length: Option<u64>,
    /// The number of bytes that had arrived.
    pub received: usize,
    /// The time since the last of them, or since the head if there were none.
    pub pause: Duration,
}

impl fmt::Display for ResponseProgress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} bytes of ", self.received)?;
        match self.length {
            Some(length) => write!(f, "{length}")?,
            None => write!(f, "an unknown number")?,
        }
        write!(f, " have arrived, the last {} ms ago", self.pause.as_millis())
    }
}

/// When the response to an attempt is due.
pub struct ResponseDeadlines<F> {
    /// Completes when the attempt's time is over.
    pub attempt: F,
    /// When the client's time is over, if that may be later: a response that may be large, and is arriving when
    /// the attempt's time is over, has until then.
    pub client: Option<Instant>,
}

/// Receives a body until it is complete, or until enough has arrived that it can be passed on: the first bytes
/// if `length` says that it is large, more than [`MAX_BUFFERED_BODY_BYTES`] if there is no length. At the end
/// of the client's time a body without a length is passed on if it may be large by the way it arrives.
pub(super) async fn receive_body(
    mut remaining: Incoming,
    length: Option<u64>,
    mut attempt_deadline: Pin<&mut impl Future<Output = ()>>,
    client_deadline: Option<Instant>,
) -> Result<ReceivedBody, ExchangeError> {
    let is_large = length.is_some_and(|length| length > MAX_BUFFERED_BODY_BYTES as u64);
    let min_received = if is_large { 1 } else { MAX_BUFFERED_BODY_BYTES + 1 };
    let mut received = ReceivedBytes::default();
    let mut arrival = ResponseArrival::new(Instant::now());
    let mut is_attempt_over = false;
    let incomplete = |received: usize, arrival: &ResponseArrival| {
        let progress = ResponseProgress { length, received, pause: arrival.pause(Instant::now()) };
        ExchangeError::ResponseIncomplete(progress)
    };
    while received.len() < min_received {
        let inactive_at = arrival.inactive_at();
        let wake_at = match client_deadline {
            Some(deadline) if is_large => deadline,
            Some(deadline) => deadline.min(inactive_at),
            None => inactive_at,
        };
        let chunk = tokio::select! {
            biased;
            chunk = next_chunk(&mut remaining) => Some(chunk.map_err(|error| ExchangeError::from(&error))?),
            () = &mut attempt_deadline, if !is_attempt_over => None,
            () = sleep_until(wake_at), if is_attempt_over => None,
        };
        let Some(chunk) = chunk else {
            let now = Instant::now();
            let is_expected = is_large || (length.is_none() && arrival.is_active(now));
            if !is_expected {
                return Err(incomplete(received.len(), &arrival));
            }
            if client_deadline.is_some_and(|deadline| now < deadline) {
                is_attempt_over = true;
                continue;
            }
            // Only a response that a client waits for is passed on.
            if is_large || client_deadline.is_none() || !arrival.may_be_large(now) {
                return Err(incomplete(received.len(), &arrival));
            }
            let (received, late) = (received.into_bytes(), Some(LateResponse::new(now, arrival)));
            return Ok(ReceivedBody::Partial(PartialBody { received, remaining, length, late }));
        };
        let Some(chunk) = chunk else { return Ok(ReceivedBody::Complete(received.into_bytes())) };
        received.push(&chunk, MAX_BUFFERED_BODY_BYTES);
        arrival.receive(Instant::now(), chunk.len());
    }
    let received = received.into_bytes();
    Ok(ReceivedBody::Partial(PartialBody { received, remaining, length, late: None }))
}
