//! Opening of listening sockets, with retries.

use crate::error::ProxyServerError;
use http_proxy::config::Config;
use http_proxy::log::log;
use http_proxy::stall_detector::StallDetector;
use socket_io::retry;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::time::Instant;

/// The maximum length of the kernel's queue of connections that are not accepted yet.
const BACKLOG: u32 = 1_024;
/// How long the opening of a listener is retried after transient local errors.
const LISTEN_TIMEOUT: Duration = Duration::from_secs(4);

/// Whether other processes of the same proxy may listen on the same address at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AddressSharing {
    Exclusive,
    Shared,
}

/// The listener for HTTP clients.
pub(super) struct ClientListener {
    pub(super) socket: Rc<TcpListener>,
    pub(super) address: SocketAddr,
    /// Detects stalls of this process since it began to listen.
    pub(super) stall_detector: Rc<StallDetector>,
}

impl ClientListener {
    /// Listens on the configured address. Only a proxy with a console shares it with other processes, since
    /// only such a proxy supports process replacement.
    ///
    /// # Errors
    /// If the listener cannot be opened.
    pub(super) async fn open(config: &Config) -> Result<Self, ProxyServerError> {
        let sharing =
            if config.console.is_some() { AddressSharing::Shared } else { AddressSharing::Exclusive };
        let (socket, address) = open_listener(config.listen, sharing).await?;
        let stall_detector = StallDetector::new(Instant::now());
        log(format_args!("{} listens on {address}", config.name));
        Ok(Self { socket: Rc::new(socket), address, stall_detector })
    }
}

/// Listens on an address, with retries for up to [`LISTEN_TIMEOUT`]. Returns the listener and its actual
/// address.
///
/// # Errors
/// The error of the last attempt, with the requested address.
pub(super) async fn open_listener(
    address: SocketAddr,
    sharing: AddressSharing,
) -> Result<(TcpListener, SocketAddr), ProxyServerError> {
    let listen_error = |error| ProxyServerError::Listen(address, error);
    let end = Instant::now() + LISTEN_TIMEOUT;
    let listener =
        retry::retry_until(end, retry::is_transient_local_error, || listen(address, sharing)).await;
    let listener = listener.map_err(listen_error)?;
    let bound = listener.local_addr().map_err(listen_error)?;
    Ok((listener, bound))
}

fn listen(address: SocketAddr, sharing: AddressSharing) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    // A restarted proxy can reuse its address while the kernel still has connections of the previous process.
    socket.set_reuseaddr(true)?;
    if sharing == AddressSharing::Shared {
        socket.set_reuseport(true)?;
    }
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
