//! A TCP proxy between a relay and a source that can be interrupted. Bytes sent during an interruption stay
//! in the buffers of both ends, as they do while segments are lost, and are delivered afterwards. New
//! connections are accepted, but nothing is transferred.

use std::cell::Cell;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// Bytes read at once from one direction of a connection.
const BUFFER_BYTES: usize = 64 * 1024;

#[derive(Debug, Default)]
struct LinkState {
    interrupted: Cell<bool>,
    changed: Notify,
    bytes_from_source: Cell<u64>,
}

impl LinkState {
    async fn wait_while_interrupted(&self) {
        while self.interrupted.get() {
            self.changed.notified().await;
        }
    }
}

/// One link between a relay and a source.
#[derive(Clone, Debug)]
pub struct LinkProxy {
    /// The address at which the relay reaches the source.
    pub address: SocketAddr,
    state: Rc<LinkState>,
}

impl LinkProxy {
    /// Starts a link to a source, in local tasks of this thread.
    ///
    /// # Errors
    /// If no listening socket can be opened.
    pub async fn start(source: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let link_proxy = Self { address: listener.local_addr()?, state: Rc::default() };
        let state = Rc::clone(&link_proxy.state);
        tokio::task::spawn_local(async move {
            while let Ok((relay_stream, _)) = listener.accept().await {
                tokio::task::spawn_local(forward_connection(Rc::clone(&state), relay_stream, source));
            }
        });
        Ok(link_proxy)
    }

    /// Interrupts the link (`true`) or restores it.
    pub fn set_interrupted(&self, interrupted: bool) {
        self.state.interrupted.set(interrupted);
        self.state.changed.notify_waiters();
    }

    /// Bytes transferred from the source to the relay.
    #[must_use]
    pub fn bytes_from_source(&self) -> u64 {
        self.state.bytes_from_source.get()
    }
}

async fn forward_connection(state: Rc<LinkState>, relay_stream: TcpStream, source: SocketAddr) {
    state.wait_while_interrupted().await;
    // If the source refuses the connection, the relay's connection is closed as well.
    let Ok(source_stream) = TcpStream::connect(source).await else { return };
    let _ = (relay_stream.set_nodelay(true), source_stream.set_nodelay(true));
    let (from_relay, to_relay) = relay_stream.into_split();
    let (from_source, to_source) = source_stream.into_split();
    // The protocol has no half-closed connections: the end of one direction closes both.
    tokio::select! {
        _ = forward_bytes(&state, from_relay, to_source, false) => {}
        _ = forward_bytes(&state, from_source, to_relay, true) => {}
    }
}

async fn forward_bytes(
    state: &LinkState,
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    is_from_source: bool,
) -> io::Result<()> {
    let mut buffer = Vec::new();
    loop {
        state.wait_while_interrupted().await;
        buffer.clear();
        buffer.reserve(BUFFER_BYTES);
        if from.read_buf(&mut buffer).await? == 0 {
            state.wait_while_interrupted().await;
            return Ok(());
        }
        state.wait_while_interrupted().await;
        to.write_all(&buffer).await?;
        if is_from_source {
            state.bytes_from_source.set(state.bytes_from_source.get() + buffer.len() as u64);
        }
        if buffer.capacity() > 4_096 && buffer.len() < 4_096 {
            // Hundreds of links are idle most of the time, so a large buffer is freed after a small transfer.
            buffer = Vec::new();
        }
    }
}
