//! Reads request bodies.

use super::ClientConnections;
use super::local_responses::RejectedRequest;
use crate::body::{MemoryReservation, StreamedUpload, next_chunk};
use crate::exchange::{RequestBody, concatenate};
use crate::min_transfer_rate::{INACTIVITY_TIMEOUT, timeout_after};
use crate::size_limits::MAX_BUFFERED_BODY_BYTES;
use bytes::Bytes;
use hyper::StatusCode;
use hyper::body::{Body, Incoming};
use std::collections::VecDeque;
use tokio::time::{Instant, timeout_at};

impl ClientConnections {
    /// Buffers a body if it is small or if the memory budget allows it; otherwise the part that has not
    /// arrived is streamed. `length` is that of the complete body in bytes, if it is known.
    pub(super) async fn read_body(
        &self,
        mut body: Incoming,
        length: Option<u64>,
    ) -> Result<RequestBody, RejectedRequest> {
        if body.is_end_stream() {
            return Ok(RequestBody::Buffered(Bytes::new()));
        }
        let (started_at, mut size) = (Instant::now(), 0);
        let (mut chunks, mut reservation) = (VecDeque::new(), None::<MemoryReservation>);
        loop {
            let Some(chunk) = next_chunk_in_time(&mut body, started_at, size).await? else {
                let buffered = concatenate(chunks);
                return Ok(RequestBody::Buffered(match reservation {
                    Some(reservation) => reservation.attach_to(buffered),
                    None => buffered,
                }));
            };
            let chunk_size = chunk.len();
            size += chunk_size;
            chunks.push_back(chunk);
            if size <= MAX_BUFFERED_BODY_BYTES {
                continue;
            }
            if !self.reserve_for_body(&mut reservation, length, size, chunk_size) {
                return Ok(RequestBody::Streamed(StreamedUpload::new(chunks, reservation, body, length)));
            }
        }
    }

    /// Reserves memory for a large body of which `size` bytes have arrived, including the `chunk_size` bytes
    /// of the latest chunk. Returns false if the body has to be streamed. Twice the size is reserved, since
    /// the chunks are copied into one buffer at the end.
    fn reserve_for_body(
        &self,
        reservation: &mut Option<MemoryReservation>,
        length: Option<u64>,
        size: usize,
        chunk_size: usize,
    ) -> bool {
        let expected_size = length.map_or(size, |length| usize::try_from(length).unwrap_or(usize::MAX));
        if expected_size > self.max_large_body_bytes {
            return false;
        }
        match (&mut *reservation, length) {
            (Some(_), Some(_)) => true,
            (Some(reservation), None) => reservation.grow(2 * chunk_size),
            (None, _) => {
                *reservation = self.large_body_budget.reserve(2 * expected_size);
                reservation.is_some()
            }
        }
    }
}

/// The next chunk of a body of which `received` bytes have arrived since `started_at`; `None` at the end of
/// the body.
async fn next_chunk_in_time(
    body: &mut Incoming,
    started_at: Instant,
    received: usize,
) -> Result<Option<Bytes>, RejectedRequest> {
    let rate_deadline = started_at + timeout_after(received as u64);
    let deadline = rate_deadline.min(Instant::now() + INACTIVITY_TIMEOUT);
    let chunk = timeout_at(deadline, next_chunk(body)).await;
    let chunk = chunk.map_err(|_| RejectedRequest::new(StatusCode::REQUEST_TIMEOUT, "the body is late\n"))?;
    chunk.map_err(|_| RejectedRequest::bad_request("the body is broken\n"))
}
