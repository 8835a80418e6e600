//! Clients: two steady streams side by side, one through the proxy and one straight to the backends, so that both meet the
//! same machine at the same time; and requests that are sent and left open. On a thread of their own.

use super::ScaleError;
use super::backends::BODY;
use super::subject::{class, tenant};
use crate::http1;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::{JoinSet, LocalSet};
use tokio::time::{sleep_until, timeout};

/// How long clients wait for what is open at a stream's end.
const ENDS_TIMEOUT: Duration = Duration::from_secs(10);
/// What clients say that they will wait, milliseconds.
const WAITS_MS: u64 = 100_000;
/// Connections that are opened at the same time; the kernel's queue of a listener holds more.
const AT_ONCE: usize = 64;

/// What is asked.
#[derive(Clone, Debug)]
pub(super) struct Load {
    /// Through the proxy: its address, as often as there are connections.
    pub(super) proxy: SocketAddr,
    /// Straight: the backends.
    pub(super) backends: Vec<SocketAddr>,
    /// Connections to the proxy at the start; others are opened where all are busy.
    pub(super) clients: usize,
    /// Requests a second, of either stream.
    pub(super) per_s: f64,
    pub(super) span: Duration,
    /// Tenants that ask in turn; 0: none are named.
    pub(super) tenants: usize,
    pub(super) seed: u64,
}

/// What came of one stream.
#[derive(Clone, Debug, Default)]
pub(super) struct Stream {
    /// Times of the answers, microseconds.
    pub(super) times: Vec<f64>,
    /// Answers other than a backend's, or none.
    pub(super) lost: usize,
    /// Bytes on the wire, both ways.
    pub(super) bytes: u64,
}

struct Conn {
    stream: TcpStream,
    buffer: Vec<u8>,
}

async fn connect(to: SocketAddr) -> io::Result<Conn> {
    let stream = TcpStream::connect(to).await?;
    stream.set_nodelay(true)?;
    Ok(Conn { stream, buffer: Vec::new() })
}

fn request(number: u64, tenants: usize) -> String {
    let account = match tenants {
        0 => String::new(),
        tenants => format!("X-Account: {}\r\n", tenant(number as usize % tenants)),
    };
    format!(
        "GET /{0}?key={number:x} HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {number:016x}\r\n\
         X-Service-Class: {0}\r\nX-Time-Left-Ms: {WAITS_MS}\r\n{account}\r\n",
        class(0)
    )
}

/// The bytes of a request and its answer; `None`: not a backend's answer.
async fn exchange(conn: &mut Conn, request: &str) -> io::Result<Option<usize>> {
    conn.stream.write_all(request.as_bytes()).await?;
    let answer = http1::read_sized(&mut conn.stream, &mut conn.buffer, http1::MessageKind::Response).await?;
    let served = answer.filter(|(_, answer)| answer.status == 200 && answer.body == BODY);
    Ok(served.map(|(length, _)| length + request.len()))
}

/// A stream of requests at a steady rate with some jitter, whatever becomes of them.
async fn stream(load: Rc<Load>, to: Vec<SocketAddr>, seed: u64, first: u64) -> Stream {
    let idle = Rc::new(RefCell::new(VecDeque::new()));
    for &to in &to {
        // One that can't be opened is opened, or seen to be lost, when it is used.
        let conn = connect(to).await.ok();
        idle.borrow_mut().push_back((to, conn));
    }
    let (seen, mut asked) = (Rc::new(RefCell::new(Stream::default())), JoinSet::new());
    let mut rng = fastrand::Rng::with_seed(seed);
    let (period, mut turn) = (1.0 / load.per_s, 0);
    let began = Instant::now();
    for number in 0..(load.per_s * load.span.as_secs_f64()) as u64 {
        let due = began + Duration::from_secs_f64(period * (number as f64 + rng.f64()));
        sleep_until(due.into()).await;
        while asked.try_join_next().is_some() {}
        let conn = idle.borrow_mut().pop_front().unwrap_or_else(|| (to[turn % to.len()], None));
        turn += 1;
        let (idle, seen, tenants) = (Rc::clone(&idle), Rc::clone(&seen), load.tenants);
        asked.spawn_local(async move {
            let request = request(first + number, tenants);
            let answered = async {
                let mut at = match conn.1 {
                    Some(at) => at,
                    None => connect(conn.0).await?,
                };
                let sent = Instant::now();
                let bytes = exchange(&mut at, &request).await?;
                Ok::<_, io::Error>((bytes, sent.elapsed(), at))
            };
            let answered = answered.await;
            let mut seen = seen.borrow_mut();
            if let Ok((Some(bytes), took, at)) = answered {
                seen.times.push(took.as_secs_f64() * 1e6);
                seen.bytes += bytes as u64;
                idle.borrow_mut().push_back((conn.0, Some(at)));
            } else {
                seen.lost += 1;
                idle.borrow_mut().push_back((conn.0, None));
            }
        });
    }
    let ended = timeout(ENDS_TIMEOUT, async { while asked.join_next().await.is_some() {} }).await;
    let left = if ended.is_ok() { 0 } else { asked.len() };
    drop(asked);
    let mut seen = seen.take();
    seen.lost += left;
    seen
}

/// Both streams: through the proxy, and straight.
pub(super) fn pair(load: Load) -> JoinHandle<io::Result<[Stream; 2]>> {
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let load = Rc::new(load);
        let through = vec![load.proxy; load.clients];
        let straight = load.backends.iter().copied().cycle().take(load.clients).collect();
        let seed = load.seed;
        Ok(LocalSet::new().block_on(&runtime, async {
            let (proxied, direct) = tokio::join!(
                stream(Rc::clone(&load), through, seed, seed << 24),
                stream(Rc::clone(&load), straight, seed ^ 1 << 40, seed << 24 | 1 << 60),
            );
            [proxied, direct]
        }))
    })
}

/// Requests that are left open, each on a connection of its own, until their answers have come.
pub(super) struct Open {
    thread: JoinHandle<io::Result<usize>>,
}

impl Open {
    /// Sends so many.
    pub(super) fn send(proxy: SocketAddr, count: usize) -> Self {
        Self { thread: thread::spawn(move || send(proxy, count)) }
    }

    /// Whether all have ended.
    pub(super) fn has_ended(&self) -> bool {
        self.thread.is_finished()
    }

    /// How many were answered by a backend, once all have ended.
    pub(super) fn served(self) -> Result<usize, ScaleError> {
        let served = self.thread.join().map_err(|_| ScaleError::Proxy("the clients ended".into()))?;
        Ok(served?)
    }
}

fn send(proxy: SocketAddr, count: usize) -> io::Result<usize> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let served = Rc::new(Cell::new(0));
        let mut open = JoinSet::new();
        for first in (0..count).step_by(AT_ONCE) {
            let mut opened = JoinSet::new();
            for number in first..count.min(first + AT_ONCE) {
                opened.spawn_local(async move { (number, connect(proxy).await) });
            }
            while let Some(Ok((number, conn))) = opened.join_next().await {
                let mut conn = conn?;
                let served = Rc::clone(&served);
                open.spawn_local(async move {
                    if let Ok(Some(_)) = exchange(&mut conn, &request(number as u64 + 1, 0)).await {
                        served.set(served.get() + 1);
                    }
                });
            }
        }
        while open.join_next().await.is_some() {}
        Ok(served.get())
    })
}
