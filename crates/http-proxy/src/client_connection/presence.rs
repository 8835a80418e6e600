//! Checks whether the client of an open request is still connected.

use super::{BodyArrival, ClientConnection};
use crate::connection_events::ConnectionEvent;
use std::cell::RefCell;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// The time for which a check that found the client connected remains valid. It saves a system call for the
/// first attempt, which starts right after its request was checked. It is a twentieth of the time after which
/// an attempt may no longer start.
const CHECK_VALIDITY: Duration = Duration::from_millis(5);

/// The client of an open request. Does not keep its socket open.
#[derive(Debug)]
pub struct ClientPresence {
    connection: Rc<ClientConnection>,
    stream: Weak<RefCell<TcpStream>>,
}

impl ClientPresence {
    /// The client on this connection.
    #[must_use]
    pub fn new(connection: &Rc<ClientConnection>, stream: &Rc<RefCell<TcpStream>>) -> Self {
        Self { connection: Rc::clone(connection), stream: Rc::downgrade(stream) }
    }

    /// Counts an event that concerns the request.
    pub fn record_event(&self, event: ConnectionEvent, reason: &str) {
        self.connection.record_event(event, reason);
    }

    /// How much of the request's body has arrived; `None` if the connection is closed.
    #[must_use]
    pub fn body_arrival(&self) -> Option<BodyArrival> {
        let stream = self.stream.upgrade()?;
        let stream = stream.borrow();
        Some(self.connection.body_arrival(&stream))
    }

    /// Whether the client has disconnected by now. Asks the kernel, since the runtime may not have polled the
    /// socket: after a stall it runs timers first, and a new backend connection is used during the same poll
    /// that reports the client's close.
    pub async fn has_disconnected(&self) -> bool {
        let connection = &self.connection;
        let was_just_checked =
            connection.presence_checked_at.get().is_some_and(|at| at.elapsed() < CHECK_VALIDITY);
        if connection.has_disconnected() || was_just_checked {
            return connection.has_disconnected();
        }
        match self.stream.upgrade() {
            None => return true,
            Some(stream) => connection.read_ahead(&stream.borrow()),
        }
        if !connection.can_read_ahead() {
            // Only the runtime can see a close behind unread bytes: it polls the kernel before this task runs
            // again.
            tokio::task::yield_now().await;
            match self.stream.upgrade() {
                None => return true,
                Some(stream) => connection.check_closed_behind_unread(&stream.borrow()),
            }
            connection.presence_checked_at.set(Some(Instant::now()));
        }
        connection.has_disconnected()
    }
}
