//! Accepts client connections, and evicts some if connections or descriptors run out.

use super::{ClientConnections, ShutdownPhase};
use crate::client_connection::{Activity, EvictionClass};
use socket_io::retry;
use socket2::SockRef;
use std::io;
use std::net::Shutdown;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, timeout};

/// The time that an evicted connection has to close before the next one is evicted.
const EVICTION_TIMEOUT: Duration = Duration::from_millis(5);
/// The delay after a failed accept; it ends early if a connection closes.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The result of accepting everything in the listener's accept queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptQueueResult {
    /// The queue was empty, or the limit of connections is reached.
    Empty,
    /// The queue contained connections, which are served now.
    Accepted,
    /// A system call failed; the queue may contain connections.
    Failed,
}

impl ClientConnections {
    /// Accepts connections until the listener is closed, once the claims of other processes of this proxy are known.
    pub async fn accept(self: Rc<Self>, listener: Rc<TcpListener>) {
        if let Some(claims) = &self.shared_claims {
            claims.wait_for_peers().await;
        }
        loop {
            // Beyond the limit, clients remain in the kernel's accept queue and take no descriptors from
            // backend connections. Connections without an open request are evicted to accept the clients in
            // the queue.
            while self.open_connections.get() >= self.max_connections.get() {
                self.evict_one(EvictionClass::BodyStalled);
                let _ = timeout(EVICTION_TIMEOUT, self.connection_closed.notified()).await;
            }
            match listener.accept().await {
                Ok((stream, _)) => self.spawn_connection(stream),
                // The listener is closed.
                Err(_) if self.phase() == ShutdownPhase::Finishing => return,
                // Descriptors are exhausted, or the client has already disconnected.
                Err(error) => {
                    self.accept_failures.record(&error);
                    if retry::is_resource_exhausted(&error) {
                        // A temporary lack of system resources is no reason to evict connections that were
                        // just accepted.
                        self.evict_one(EvictionClass::HeadOverdue);
                    }
                    let _ = timeout(ACCEPT_RETRY_DELAY, self.connection_closed.notified()).await;
                }
            }
        }
    }

    fn spawn_connection(self: &Rc<Self>, stream: TcpStream) {
        self.last_accept_at.set(Instant::now());
        self.open_connections.set(self.open_connections.get() + 1);
        tokio::task::spawn_local(Rc::clone(self).serve_connection(stream));
    }

    /// Accepts the connections in the kernel's accept queue, up to the limit of connections, whether or not
    /// the runtime has polled the listener.
    pub fn accept_queued(self: &Rc<Self>, listener: &TcpListener) -> AcceptQueueResult {
        let mut drain = AcceptQueueResult::Empty;
        while self.open_connections.get() < self.max_connections.get() {
            match accept_now(listener) {
                Ok(stream) => {
                    drain = AcceptQueueResult::Accepted;
                    self.spawn_connection(stream);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                // The queue may contain connections behind the failed one.
                Err(error) => {
                    self.accept_failures.record(&error);
                    return AcceptQueueResult::Failed;
                }
            }
        }
        drain
    }

    /// Refuses new connections from now on. A listener that can't be closed goes on accepting; its connections are
    /// closed at once.
    pub fn stop_listening(&self, listener: &TcpListener) {
        if let Err(error) = SockRef::from(listener).shutdown(Shutdown::Read) {
            self.accept_failures.record(&error);
        }
    }

    /// Asks the connection that is most suitable for eviction to close, if its class is `max_class` or
    /// precedes it. While others are closing, which takes a moment, none that may send a request is evicted.
    fn evict_one(&self, max_class: EvictionClass) {
        let now = Instant::now();
        let connections = self.connections.borrow();
        let are_closing = connections.iter().any(|(_, other)| other.activity() == Activity::Closing);
        let max_class = if are_closing { max_class.min(EvictionClass::HeadOverdue) } else { max_class };
        let ranked = connections
            .iter()
            .filter_map(|(_, connection)| Some((connection.eviction_rank(now)?, connection)));
        let evictable = ranked.filter(|(rank, _)| rank.class <= max_class);
        if let Some((_, connection)) = evictable.min_by_key(|(rank, _)| *rank) {
            connection.eviction.notify_one();
        }
    }
}

fn accept_now(listener: &TcpListener) -> io::Result<TcpStream> {
    let (socket, _) = SockRef::from(listener).accept()?;
    let stream = std::net::TcpStream::from(socket);
    stream.set_nonblocking(true)?;
    TcpStream::from_std(stream)
}
