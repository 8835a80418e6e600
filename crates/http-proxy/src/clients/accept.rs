//! Accepts client connections, and evicts some where connections or descriptors run out.

use super::ClientConnections;
use crate::client_connection::EvictionClass;
use socket_io::retry;
use socket2::SockRef;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, timeout};

/// How long an evicted connection may take to close before the next one is evicted.
const EVICTION_TIMEOUT: Duration = Duration::from_millis(5);
/// The delay after a failed accept, unless a connection closes before.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// What the listener's accept queue contained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BacklogDrain {
    /// Nothing.
    Empty,
    /// Connections, which are served now.
    Accepted,
    /// Unknown: a system call failed.
    Failed,
}

impl ClientConnections {
    /// Accepts connections until the process ends.
    pub async fn accept(self: Rc<Self>, listener: Rc<TcpListener>) {
        loop {
            // Beyond the limit clients stay in the kernel's accept queue and take no descriptors from backend connections.
            // Connections without an open request are evicted, so that the queue does not wait for them.
            while self.open_connections.get() >= self.max_connections.get() {
                self.evict_one(EvictionClass::ReadingHead);
                let _ = timeout(EVICTION_TIMEOUT, self.connection_closed.notified()).await;
            }
            match listener.accept().await {
                Ok((stream, _)) => self.spawn_connection(stream),
                // Out of descriptors, or the client has disconnected already.
                Err(error) => {
                    self.accept_failures.note(&error);
                    if retry::is_exhausted(&error) {
                        // A temporary lack of system resources is no reason to evict connections that were just opened.
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

    /// Accepts the connections in the kernel's accept queue, whether or not the runtime has polled the listener.
    pub fn drain_backlog(self: &Rc<Self>, listener: &TcpListener) -> BacklogDrain {
        let mut drain = BacklogDrain::Empty;
        while self.open_connections.get() < self.max_connections.get() {
            match accept_now(listener) {
                Ok(stream) => {
                    drain = BacklogDrain::Accepted;
                    self.spawn_connection(stream);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                // Further connections may be queued behind the failed one.
                Err(error) => {
                    self.accept_failures.note(&error);
                    return BacklogDrain::Failed;
                }
            }
        }
        drain
    }

    /// Asks the connection that is most suitable for eviction to close, if one is in `max_class` or before.
    fn evict_one(&self, max_class: EvictionClass) {
        let now = Instant::now();
        let connections = self.connections.borrow();
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
