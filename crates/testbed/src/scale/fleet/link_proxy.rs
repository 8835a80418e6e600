//! A TCP proxy between a relay and a source that can be interrupted: bytes sent during an interruption wait at its ends, as
//! they would while segments are lost, and are delivered afterwards. New connections are accepted and stay silent.

use std::cell::Cell;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// Size of the buffer of one transfer, bytes.
const BUFFER_BYTES: usize = 64 * 1024;

#[derive(Debug, Default)]
struct Gate {
    cut: Cell<bool>,
    changed: Notify,
    carried: Cell<u64>,
}

impl Gate {
    async fn wait_until_open(&self) {
        while self.cut.get() {
            self.changed.notified().await;
        }
    }
}

/// One link between a relay and a source.
#[derive(Clone, Debug)]
pub struct LinkProxy {
    /// The address at which the relay reaches the source.
    pub address: SocketAddr,
    gate: Rc<Gate>,
}

impl LinkProxy {
    /// Starts a link to a source, on this thread's local tasks.
    ///
    /// # Errors
    /// If no listening socket can be opened.
    pub async fn start(source: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let link_proxy = Self { address: listener.local_addr()?, gate: Rc::default() };
        let gate = Rc::clone(&link_proxy.gate);
        tokio::task::spawn_local(async move {
            while let Ok((near, _)) = listener.accept().await {
                tokio::task::spawn_local(forward_connection(Rc::clone(&gate), near, source));
            }
        });
        Ok(link_proxy)
    }

    /// Interrupts the link, or restores it.
    pub fn cut(&self, cut: bool) {
        self.gate.cut.set(cut);
        self.gate.changed.notify_waiters();
    }

    /// Bytes transferred from the source to the relay.
    #[must_use]
    pub fn carried(&self) -> u64 {
        self.gate.carried.get()
    }
}

async fn forward_connection(gate: Rc<Gate>, near: TcpStream, source: SocketAddr) {
    gate.wait_until_open().await;
    // If the source refuses the connection, the relay's connection is closed as well.
    let Ok(far) = TcpStream::connect(source).await else { return };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_in, near_out) = near.into_split();
    let (far_in, far_out) = far.into_split();
    // The protocol has no half-closed connections: the end of one direction closes both.
    tokio::select! {
        _ = forward_bytes(&gate, near_in, far_out, false) => {}
        _ = forward_bytes(&gate, far_in, near_out, true) => {}
    }
}

async fn forward_bytes(
    gate: &Gate,
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    down: bool,
) -> io::Result<()> {
    let mut buffer = Vec::new();
    loop {
        gate.wait_until_open().await;
        buffer.clear();
        buffer.reserve(BUFFER_BYTES);
        if from.read_buf(&mut buffer).await? == 0 {
            gate.wait_until_open().await;
            return Ok(());
        }
        gate.wait_until_open().await;
        to.write_all(&buffer).await?;
        if down {
            gate.carried.set(gate.carried.get() + buffer.len() as u64);
        }
        if buffer.capacity() > 4_096 && buffer.len() < 4_096 {
            // Frees the buffer: hundreds of links are idle most of the time.
            buffer = Vec::new();
        }
    }
}
