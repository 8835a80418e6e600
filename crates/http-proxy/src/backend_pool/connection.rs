//! Connections to backends.

use crate::body::OutboundBody;
use crate::counting_socket::CountingSocket;
use hyper::client::conn::http1::SendRequest;
use std::cell::Cell;
use std::rc::Rc;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Counts as an open socket until it is dropped.
pub(super) struct OpenSocket(Rc<Cell<usize>>);

impl OpenSocket {
    pub(super) fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(Rc::clone(count))
    }
}

impl Drop for OpenSocket {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A connection to a backend. Dropping it closes the connection and aborts a request on it.
pub(super) struct BackendConnection {
    pub(super) sender: SendRequest<OutboundBody>,
    pub(super) socket: Rc<CountingSocket>,
    pub(super) task: JoinHandle<()>,
    /// The incarnation of the backend at the time of the connect.
    pub(super) incarnation: u64,
    pub(super) _open_socket: OpenSocket,
}

impl Drop for BackendConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A connection that is available for reuse.
pub(super) struct IdleConnection {
    pub(super) connection: BackendConnection,
    pub(super) idle_since: Instant,
}
