//! Reads request bodies.

use super::ClientConnections;
use super::local_responses::RejectedRequest;
use crate::body::{MemoryReservation, ReceivedBytes, StreamedUpload, UploadSource, next_chunk};
use crate::client_connection::{BodyArrival, ClientConnection, ClientPresence};
use crate::exchange::RequestBody;
use crate::min_transfer_rate::{INACTIVITY_TIMEOUT, timeout_after};
use crate::size_limits::MAX_BUFFERED_BODY_BYTES;
use bytes::Bytes;
use hyper::StatusCode;
use hyper::body::{Body, Incoming};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// The interval at which a body whose time is over, and of which a part waits to be read, is checked.
const UNREAD_CHECK_INTERVAL: Duration = Duration::from_millis(50);

impl ClientConnections {
    /// Buffers a body if it is small or if the memory budget allows it; otherwise the part that has not
    /// arrived is streamed. `length` is that of the complete body in bytes, if it is known.
    pub(super) async fn read_body(
        &self,
        mut body: Incoming,
        length: Option<u64>,
        connection: &Rc<ClientConnection>,
        client: &ClientPresence,
    ) -> Result<RequestBody, RejectedRequest> {
        if body.is_end_stream() {
            return Ok(RequestBody::Buffered(Bytes::new()));
        }
        let started_at = Instant::now();
        let (mut received, mut reservation) = (ReceivedBytes::default(), None::<MemoryReservation>);
        loop {
            let chunk = tokio::select! {
                biased;
                chunk = next_chunk_in_time(&mut body, started_at, received.len(), client) => chunk?,
                () = self.all_requests_due() => return Err(RejectedRequest::SHUTTING_DOWN),
            };
            if connection.is_body_malformed() {
                return Err(RejectedRequest::MALFORMED_BODY);
            }
            let Some(chunk) = chunk else {
                let buffered = received.into_bytes();
                return Ok(RequestBody::Buffered(match reservation {
                    Some(reservation) => reservation.attach_to(buffered),
                    None => buffered,
                }));
            };
            let size = received.len() + chunk.len();
            if size <= MAX_BUFFERED_BODY_BYTES {
                received.push(&chunk, MAX_BUFFERED_BODY_BYTES);
                continue;
            }
            let max_capacity = self.max_capacity(length, size);
            let capacity = max_capacity.map(|max| received.capacity_with(chunk.len(), max));
            let is_reserved = capacity.is_some_and(|capacity| self.reserve(&mut reservation, capacity));
            received.push(&chunk, max_capacity.filter(|_| is_reserved).unwrap_or_default());
            if !is_reserved {
                return Ok(RequestBody::Streamed(StreamedUpload::new(UploadSource {
                    received: received.into_bytes(),
                    reservation,
                    remaining: body,
                    length,
                    connection: Rc::clone(connection),
                })));
            }
        }
    }

    /// The maximum capacity of the buffer for a body of which `size` bytes have arrived, in bytes; `None` if
    /// the body is too large to be buffered.
    fn max_capacity(&self, length: Option<u64>, size: usize) -> Option<usize> {
        let expected_size = length.map_or(size, |length| usize::try_from(length).unwrap_or(usize::MAX));
        let is_small_enough = expected_size <= self.max_large_body_bytes;
        is_small_enough.then(|| length.map_or(self.max_large_body_bytes, |_| expected_size))
    }

    /// Reserves memory for a large body whose buffer has this capacity. Returns false if there is not enough.
    fn reserve(&self, reservation: &mut Option<MemoryReservation>, capacity: usize) -> bool {
        if let Some(reservation) = reservation {
            return reservation.grow_to(capacity);
        }
        *reservation = self.large_body_budget.reserve(capacity);
        reservation.is_some()
    }
}

/// The next chunk of a body of which `received` bytes have been read since `started_at`; `None` at the end of
/// the body. A client is not late while bytes that it sent wait to be read.
async fn next_chunk_in_time(
    body: &mut Incoming,
    started_at: Instant,
    received: usize,
    client: &ClientPresence,
) -> Result<Option<Bytes>, RejectedRequest> {
    let rate_deadline = started_at + timeout_after(received as u64);
    let mut deadline = rate_deadline.min(Instant::now() + INACTIVITY_TIMEOUT);
    loop {
        if let Ok(chunk) = timeout_at(deadline, next_chunk(body)).await {
            return chunk.map_err(|_| RejectedRequest::MALFORMED_BODY);
        }
        if matches!(client.body_arrival(), None | Some(BodyArrival::Read)) {
            return Err(RejectedRequest::new(StatusCode::REQUEST_TIMEOUT, "the body is late\n"));
        }
        deadline = Instant::now() + UNREAD_CHECK_INTERVAL;
    }
}
