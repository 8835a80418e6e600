//! A request body that is forwarded while it arrives.

use super::{BodyError, FramePoll, MemoryReservation, StreamedBody, compact};
use crate::client_connection::ClientConnection;
use crate::size_limits::MAX_BODY_BYTES;
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming};
use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::time::Instant;

/// Where the bytes of a [`StreamedUpload`] come from.
#[derive(Debug)]
pub struct UploadSource {
    /// The bytes that have arrived.
    pub received: Bytes,
    /// The reservation of their memory.
    pub reservation: Option<MemoryReservation>,
    /// The bytes that are still to arrive.
    pub remaining: Incoming,
    /// The length of the complete body in bytes, if the client gave one.
    pub length: Option<u64>,
    /// The connection of the client.
    pub connection: Rc<ClientConnection>,
}

/// A request body that is not buffered. It can be sent only once, to a single backend.
#[derive(Debug)]
pub struct StreamedUpload {
    received: RefCell<Option<Bytes>>,
    remaining: RefCell<Incoming>,
    length: Option<u64>,
    connection: Rc<ClientConnection>,
    _reservation: Option<MemoryReservation>,
    forwarded_bytes: Cell<u64>,
    completed_at: Cell<Option<Instant>>,
    client_failed: Cell<bool>,
    is_blocked: Cell<bool>,
}

impl StreamedUpload {
    /// A body that has arrived in part.
    #[must_use]
    pub fn new(source: UploadSource) -> Rc<Self> {
        let UploadSource { received, reservation, remaining, length, connection } = source;
        Rc::new(Self {
            received: RefCell::new(Some(received)),
            remaining: RefCell::new(remaining),
            length,
            connection,
            _reservation: reservation,
            forwarded_bytes: Cell::new(0),
            completed_at: Cell::new(None),
            client_failed: Cell::new(false),
            is_blocked: Cell::new(false),
        })
    }

    /// The time at which the client's last byte arrived; `None` until it is forwarded.
    #[must_use]
    pub fn completed_at(&self) -> Option<Instant> {
        self.completed_at.get()
    }

    /// Whether reading the body from the client failed.
    #[must_use]
    pub fn has_client_failed(&self) -> bool {
        self.client_failed.get()
    }

    /// The earliest time at which the last bytes that were read may have arrived.
    #[must_use]
    pub fn last_arrival(&self) -> Instant {
        self.connection.last_byte_at()
    }

    /// The number of bytes that were forwarded so far.
    #[must_use]
    pub fn forwarded_bytes(&self) -> u64 {
        self.forwarded_bytes.get()
    }

    /// Whether a part of it was forwarded, so that it can't be sent in another attempt.
    #[must_use]
    pub fn is_consumed(&self) -> bool {
        self.forwarded_bytes.get() > 0 || self.completed_at.get().is_some()
    }

    /// Records that the client's time is over although all of its bytes that were read are forwarded: its
    /// backend does not read on.
    pub fn mark_blocked(&self) {
        self.is_blocked.set(true);
    }

    /// Whether the backend kept the body from being forwarded.
    #[must_use]
    pub fn is_blocked(&self) -> bool {
        self.is_blocked.get()
    }

    fn count_forwarded(&self, chunk: &Bytes) {
        self.forwarded_bytes.set(self.forwarded_bytes.get() + chunk.len() as u64);
    }

    fn fail(&self, error: BodyError) -> FramePoll {
        self.client_failed.set(true);
        Poll::Ready(Some(Err(error)))
    }
}

impl StreamedBody for Rc<StreamedUpload> {
    fn length(&self) -> Option<u64> {
        self.length
    }

    fn poll_frame(&mut self, cx: &mut Context<'_>) -> FramePoll {
        if let Some(chunk) = self.received.borrow_mut().take() {
            self.count_forwarded(&chunk);
            return Poll::Ready(Some(Ok(Frame::data(chunk))));
        }
        let mut remaining = self.remaining.borrow_mut();
        loop {
            let polled = ready!(Pin::new(&mut *remaining).poll_frame(cx));
            if self.connection.is_body_malformed() {
                return self.fail(BodyError::Malformed);
            }
            let frame = match polled {
                None => {
                    self.completed_at.set(Some(self.connection.last_byte_at()));
                    return Poll::Ready(None);
                }
                Some(Err(error)) => return self.fail(error.into()),
                Some(Ok(frame)) => frame,
            };
            // Trailers belong to the client's framing, which is not forwarded.
            let Ok(chunk) = frame.into_data() else { continue };
            self.count_forwarded(&chunk);
            if self.forwarded_bytes() > MAX_BODY_BYTES {
                return self.fail(BodyError::TooLarge);
            }
            if self.length == Some(self.forwarded_bytes()) {
                self.completed_at.set(Some(self.connection.last_byte_at()));
            }
            return Poll::Ready(Some(Ok(Frame::data(compact(chunk)))));
        }
    }
}
