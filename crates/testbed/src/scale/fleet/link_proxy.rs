//! The link between a relay and a source, which the rig can cut: what is sent into a cut link waits at its ends, as it
//! would while segments are lost, and goes on when the cut ends. New connections come up and are silent.

use std::cell::Cell;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// What is carried at a time, bytes.
const PIECE: usize = 64 * 1024;

#[derive(Debug, Default)]
struct Gate {
    cut: Cell<bool>,
    changed: Notify,
    carried: Cell<u64>,
}

impl Gate {
    async fn whole(&self) {
        while self.cut.get() {
            self.changed.notified().await;
        }
    }
}

/// One link.
#[derive(Clone, Debug)]
pub struct LinkProxy {
    /// Where the relay finds the source.
    pub address: SocketAddr,
    gate: Rc<Gate>,
}

impl LinkProxy {
    /// Leads to a source. Runs on this thread until its tasks end.
    ///
    /// # Errors
    /// Where there is no socket for it.
    pub async fn start(source: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let link_proxy = Self { address: listener.local_addr()?, gate: Rc::default() };
        let gate = Rc::clone(&link_proxy.gate);
        tokio::task::spawn_local(async move {
            while let Ok((near, _)) = listener.accept().await {
                tokio::task::spawn_local(carry(Rc::clone(&gate), near, source));
            }
        });
        Ok(link_proxy)
    }

    /// Cuts it, or makes it whole.
    pub fn cut(&self, cut: bool) {
        self.gate.cut.set(cut);
        self.gate.changed.notify_waiters();
    }

    /// Bytes that went from the source to the relay.
    #[must_use]
    pub fn carried(&self) -> u64 {
        self.gate.carried.get()
    }
}

async fn carry(gate: Rc<Gate>, near: TcpStream, source: SocketAddr) {
    gate.whole().await;
    // A source that is down refuses; so does this end.
    let Ok(far) = TcpStream::connect(source).await else { return };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_in, near_out) = near.into_split();
    let (far_in, far_out) = far.into_split();
    // Whichever side ends first takes the connection with it: nobody here says anything after its end.
    tokio::select! {
        _ = pump(&gate, near_in, far_out, false) => {}
        _ = pump(&gate, far_in, near_out, true) => {}
    }
}

async fn pump(gate: &Gate, mut from: OwnedReadHalf, mut to: OwnedWriteHalf, down: bool) -> io::Result<()> {
    let mut piece = Vec::new();
    loop {
        gate.whole().await;
        piece.clear();
        piece.reserve(PIECE);
        if from.read_buf(&mut piece).await? == 0 {
            gate.whole().await;
            return Ok(());
        }
        gate.whole().await;
        to.write_all(&piece).await?;
        if down {
            gate.carried.set(gate.carried.get() + piece.len() as u64);
        }
        if piece.capacity() > 4_096 && piece.len() < 4_096 {
            // Hundreds of links are idle most of the time.
            piece = Vec::new();
        }
    }
}
