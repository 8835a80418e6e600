//! Emulated backends on a thread of their own. They respond at once, or leave requests in flight until
//! responses are enabled.

use crate::http1;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::LocalSet;

/// Body of a backend's response.
pub(super) const BODY: &[u8] = b"served";

/// Counters of all backends together.
#[derive(Default)]
struct Counts {
    in_flight: AtomicU64,
    /// Connections accepted so far.
    accepted: AtomicU64,
    /// Bytes on the wire so far, in both directions.
    wire_bytes: AtomicU64,
}

/// The backends; their thread ends on drop.
pub(super) struct Backends {
    addresses: Vec<SocketAddr>,
    counts: Arc<Counts>,
    /// Whether they respond. Their thread ends when this sender is dropped.
    responding: Option<watch::Sender<bool>>,
    thread: Option<JoinHandle<()>>,
}

impl Drop for Backends {
    fn drop(&mut self) {
        drop(self.responding.take());
        drop(self.thread.take().map(JoinHandle::join));
    }
}

impl Backends {
    /// Starts `count` backends; without `respond`, requests stay in flight until [`Self::respond`] is called.
    pub(super) fn start(count: usize, respond: bool) -> io::Result<Self> {
        let listeners = (0..count).map(|_| std::net::TcpListener::bind("127.0.0.1:0"));
        let listeners = listeners.collect::<io::Result<Vec<_>>>()?;
        let addresses = listeners.iter().map(std::net::TcpListener::local_addr).collect::<io::Result<_>>()?;
        let counts = Arc::new(Counts::default());
        let (sender, receiver) = watch::channel(respond);
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let shared_counts = Arc::clone(&counts);
        let thread = thread::spawn(move || {
            LocalSet::new().block_on(&runtime, async move {
                for listener in listeners {
                    tokio::task::spawn_local(listen(listener, Arc::clone(&shared_counts), receiver.clone()));
                }
                let mut receiver = receiver;
                while receiver.changed().await.is_ok() {}
            });
        });
        Ok(Self { addresses, counts, responding: Some(sender), thread: Some(thread) })
    }

    pub(super) fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Responds to all requests from now on, including those in flight.
    pub(super) fn respond(&self) {
        if let Some(sender) = &self.responding {
            sender.send_replace(true);
        }
    }

    pub(super) fn in_flight(&self) -> u64 {
        self.counts.in_flight.load(Ordering::Acquire)
    }

    pub(super) fn accepted(&self) -> u64 {
        self.counts.accepted.load(Ordering::Acquire)
    }

    pub(super) fn wire_bytes(&self) -> u64 {
        self.counts.wire_bytes.load(Ordering::Acquire)
    }
}

async fn listen(listener: std::net::TcpListener, counts: Arc<Counts>, responding: watch::Receiver<bool>) {
    if listener.set_nonblocking(true).is_err() {
        return;
    }
    let Ok(listener) = TcpListener::from_std(listener) else { return };
    while let Ok((stream, _)) = listener.accept().await {
        counts.accepted.fetch_add(1, Ordering::AcqRel);
        tokio::task::spawn_local(serve(stream, Arc::clone(&counts), responding.clone()));
    }
}

async fn serve(mut stream: TcpStream, counts: Arc<Counts>, mut responding: watch::Receiver<bool>) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", BODY.len());
    while let Ok(Some((length, _))) =
        http1::read_sized(&mut stream, &mut buffer, http1::MessageKind::Request).await
    {
        counts.wire_bytes.fetch_add((length + head.len() + BODY.len()) as u64, Ordering::AcqRel);
        counts.in_flight.fetch_add(1, Ordering::AcqRel);
        let is_responding = responding.wait_for(|&responds| responds).await.is_ok();
        counts.in_flight.fetch_sub(1, Ordering::AcqRel);
        if !is_responding || http1::write_response(&mut stream, "200 OK", "", BODY).await.is_err() {
            return;
        }
    }
}
