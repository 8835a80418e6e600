//! A response body that ends the open request of its client connection when it is dropped.

use super::{BodyError, FramePoll, ResponseBody};
use crate::client_connection::ClientConnection;
use bytes::Bytes;
use hyper::body::{Body, SizeHint};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::time::Instant;

/// The body of the response to the open request of a client connection. Dropping it ends that request.
pub struct TrackedResponse {
    body: ResponseBody,
    connection: Rc<ClientConnection>,
}

impl TrackedResponse {
    /// Wraps the response to the request that is open on this connection.
    #[must_use]
    pub fn new(body: ResponseBody, connection: Rc<ClientConnection>) -> Self {
        Self { body, connection }
    }
}

impl Drop for TrackedResponse {
    fn drop(&mut self) {
        self.connection.finish_request(Instant::now());
    }
}

impl Body for TrackedResponse {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> FramePoll {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if let Poll::Ready(Some(Ok(frame))) = &polled {
            self.connection.record_forwarded(frame.data_ref().map_or(0, Bytes::len));
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
