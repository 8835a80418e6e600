//! Backends that answer at once, or hold what comes until they are told: on a thread of their own.

use crate::http1;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::LocalSet;

/// What a backend answers.
pub(super) const BODY: &[u8] = b"served";

/// What the backends have seen.
#[derive(Default)]
struct Counts {
    /// Requests that are held.
    held: AtomicU64,
    /// Connections so far.
    accepted: AtomicU64,
    /// Bytes on the wire so far, both ways.
    bytes: AtomicU64,
}

/// The backends.
pub(super) struct Backends {
    addresses: Vec<SocketAddr>,
    counts: Arc<Counts>,
    /// Whether they answer. Their thread ends when this is gone.
    answers: Option<watch::Sender<bool>>,
    thread: Option<JoinHandle<()>>,
}

impl Drop for Backends {
    fn drop(&mut self) {
        drop(self.answers.take());
        drop(self.thread.take().map(JoinHandle::join));
    }
}

impl Backends {
    /// So many backends, which answer at once if they are to.
    pub(super) fn start(count: usize, answer: bool) -> io::Result<Self> {
        let listeners = (0..count).map(|_| std::net::TcpListener::bind("127.0.0.1:0"));
        let listeners = listeners.collect::<io::Result<Vec<_>>>()?;
        let addresses = listeners.iter().map(std::net::TcpListener::local_addr).collect::<io::Result<_>>()?;
        let counts = Arc::new(Counts::default());
        let (answers, told) = watch::channel(answer);
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let counting = Arc::clone(&counts);
        let thread = thread::spawn(move || {
            LocalSet::new().block_on(&runtime, async move {
                for listener in listeners {
                    tokio::task::spawn_local(listen(listener, Arc::clone(&counting), told.clone()));
                }
                let mut told = told;
                while told.changed().await.is_ok() {}
            });
        });
        Ok(Self { addresses, counts, answers: Some(answers), thread: Some(thread) })
    }

    pub(super) fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// They answer from now on, also what they hold.
    pub(super) fn answer(&self) {
        if let Some(answers) = &self.answers {
            answers.send_replace(true);
        }
    }

    pub(super) fn held(&self) -> u64 {
        self.counts.held.load(Ordering::Acquire)
    }

    pub(super) fn accepted(&self) -> u64 {
        self.counts.accepted.load(Ordering::Acquire)
    }

    pub(super) fn bytes(&self) -> u64 {
        self.counts.bytes.load(Ordering::Acquire)
    }
}

async fn listen(listener: std::net::TcpListener, counts: Arc<Counts>, answers: watch::Receiver<bool>) {
    if listener.set_nonblocking(true).is_err() {
        return;
    }
    let Ok(listener) = TcpListener::from_std(listener) else { return };
    while let Ok((stream, _)) = listener.accept().await {
        counts.accepted.fetch_add(1, Ordering::AcqRel);
        tokio::task::spawn_local(serve(stream, Arc::clone(&counts), answers.clone()));
    }
}

async fn serve(mut stream: TcpStream, counts: Arc<Counts>, mut answers: watch::Receiver<bool>) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", BODY.len());
    while let Ok(Some((length, _))) =
        http1::read_sized(&mut stream, &mut buffer, http1::MessageKind::Request).await
    {
        counts.bytes.fetch_add((length + head.len() + BODY.len()) as u64, Ordering::AcqRel);
        counts.held.fetch_add(1, Ordering::AcqRel);
        let told = answers.wait_for(|&answer| answer).await.is_ok();
        counts.held.fetch_sub(1, Ordering::AcqRel);
        if !told || http1::write_response(&mut stream, "200 OK", "", BODY).await.is_err() {
            return;
        }
    }
}
