//! Opens connections to backends.

use super::connection::{BackendConnection, OpenSocket};
use super::{BackendPool, PooledBackend};
use crate::counting_socket::{CountingSocket, CountingSocketIo};
use crate::size_limits::MAX_RESPONSE_HEAD_BYTES;
use balancer::api::Outcome;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use std::io;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

/// Why a connection could not be opened.
pub(super) enum ConnectError {
    /// The backend did not accept the connection.
    Backend,
    /// This machine lacks descriptors, ports or memory, or has no route. This is not counted as a failure of
    /// the backend, since healthy backends would be ejected.
    Local,
}

impl ConnectError {
    pub(super) fn outcome(&self) -> Outcome {
        match self {
            Self::Backend => Outcome::ConnectFailed,
            Self::Local => Outcome::NotSent,
        }
    }
}

impl From<io::Error> for ConnectError {
    fn from(error: io::Error) -> Self {
        use io::ErrorKind::{
            ConnectionAborted, ConnectionRefused, ConnectionReset, HostUnreachable, NotConnected, TimedOut,
        };
        match error.kind() {
            ConnectionRefused | ConnectionReset | ConnectionAborted | TimedOut | NotConnected
            | HostUnreachable => Self::Backend,
            _ => Self::Local,
        }
    }
}

impl BackendPool {
    /// Takes an idle connection, or opens one before `deadline`.
    pub(super) async fn take_or_connect(
        &self,
        backend: &PooledBackend,
        deadline: Instant,
    ) -> Result<BackendConnection, ConnectError> {
        match self.take_idle(backend) {
            Some(connection) => Ok(connection),
            None => self.connect(backend, deadline).await,
        }
    }

    pub(super) async fn connect(
        &self,
        backend: &PooledBackend,
        deadline: Instant,
    ) -> Result<BackendConnection, ConnectError> {
        if !self.reserve_socket() {
            return Err(ConnectError::Local);
        }
        let open_socket = OpenSocket::new(&self.open_sockets);
        let incarnation = backend.incarnation.get();
        let deadline = deadline.min(Instant::now() + self.connect_timeout.get());
        let connecting = timeout_at(deadline, TcpStream::connect(backend.address.get())).await;
        let stream = connecting.map_err(|_| ConnectError::Backend)??;
        stream.set_nodelay(true)?;
        let socket = CountingSocket::new(stream);
        let io = TokioIo::new(CountingSocketIo(Rc::clone(&socket)));
        let handshake = http1::Builder::new().max_buf_size(MAX_RESPONSE_HEAD_BYTES).handshake(io).await;
        let (sender, connection) = handshake.map_err(|_| ConnectError::Backend)?;
        let task = tokio::task::spawn_local(async move {
            // The exchange on the connection reports the error.
            let _ = connection.await;
        });
        Ok(BackendConnection { sender, socket, task, incarnation, _open_socket: open_socket })
    }
}
