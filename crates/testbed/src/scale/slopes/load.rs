//! Emulated clients on a thread of their own: two concurrent streams at a steady rate, one through the proxy
//! and one direct to the backends, so that other load of the machine affects both alike; and requests that
//! stay in flight.

use super::ScaleError;
use super::backends::BODY;
use super::proxy_process::{class_name, tenant_name};
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

/// Time limit for the requests in flight at the end of a stream.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);
/// The clients' response deadline (`X-Time-Left-Ms`), milliseconds.
const TIME_LEFT_MS: u64 = 100_000;
/// Connections that are opened concurrently; fewer than the kernel's accept queue of a listener.
const CONCURRENT_CONNECTS: usize = 64;

/// The load of one measurement; both streams have the same rate.
#[derive(Clone, Debug)]
pub(super) struct Load {
    /// Address of the proxy, for the proxied stream.
    pub(super) proxy: SocketAddr,
    /// Addresses of the backends, for the direct stream.
    pub(super) backends: Vec<SocketAddr>,
    /// Connections of each stream at the start; more are opened while all are busy.
    pub(super) clients: usize,
    /// Requests per second of each stream.
    pub(super) per_s: f64,
    pub(super) duration: Duration,
    /// Number of tenants that send in round-robin order; with 0, requests name no tenant.
    pub(super) tenants: usize,
    pub(super) seed: u64,
}

/// Results of one stream.
#[derive(Clone, Debug, Default)]
pub(super) struct StreamResult {
    /// Response times, microseconds.
    pub(super) response_times: Vec<f64>,
    /// Requests without a response from a backend.
    pub(super) unserved: usize,
    /// Bytes on the wire, in both directions.
    pub(super) wire_bytes: u64,
}

struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

async fn connect(to: SocketAddr) -> io::Result<Connection> {
    let stream = TcpStream::connect(to).await?;
    stream.set_nodelay(true)?;
    Ok(Connection { stream, buffer: Vec::new() })
}

fn request(number: u64, tenants: usize) -> String {
    let account = match tenants {
        0 => String::new(),
        tenants => format!("X-Account: {}\r\n", tenant_name(number as usize % tenants)),
    };
    format!(
        "GET /{0}?key={number:x} HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {number:016x}\r\n\
         X-Service-Class: {0}\r\nX-Time-Left-Ms: {TIME_LEFT_MS}\r\n{account}\r\n",
        class_name(0)
    )
}

/// Sends a request and reads the response; returns the bytes of both, or `None` if the response is not a
/// backend's.
async fn exchange(connection: &mut Connection, request: &str) -> io::Result<Option<usize>> {
    connection.stream.write_all(request.as_bytes()).await?;
    let response =
        http1::read_sized(&mut connection.stream, &mut connection.buffer, http1::MessageKind::Response)
            .await?;
    let served = response.filter(|(_, response)| response.status == 200 && response.body == BODY);
    Ok(served.map(|(length, _)| length + request.len()))
}

/// Sends requests at a steady rate with jitter, regardless of their outcome.
async fn run_stream(load: Rc<Load>, to: Vec<SocketAddr>, seed: u64, first: u64) -> StreamResult {
    let idle = Rc::new(RefCell::new(VecDeque::new()));
    for &to in &to {
        // A connection that fails here is opened again when a request needs it.
        let connection = connect(to).await.ok();
        idle.borrow_mut().push_back((to, connection));
    }
    let (result, mut requests) = (Rc::new(RefCell::new(StreamResult::default())), JoinSet::new());
    let mut rng = fastrand::Rng::with_seed(seed);
    let (period, mut next_address) = (1.0 / load.per_s, 0);
    let began = Instant::now();
    for number in 0..(load.per_s * load.duration.as_secs_f64()) as u64 {
        let due = began + Duration::from_secs_f64(period * (number as f64 + rng.f64()));
        sleep_until(due.into()).await;
        while requests.try_join_next().is_some() {}
        let idle_connection =
            idle.borrow_mut().pop_front().unwrap_or_else(|| (to[next_address % to.len()], None));
        next_address += 1;
        let (idle, result, tenants) = (Rc::clone(&idle), Rc::clone(&result), load.tenants);
        requests.spawn_local(async move {
            let request = request(first + number, tenants);
            let outcome = async {
                let mut connection = match idle_connection.1 {
                    Some(connection) => connection,
                    None => connect(idle_connection.0).await?,
                };
                let sent = Instant::now();
                let bytes = exchange(&mut connection, &request).await?;
                Ok::<_, io::Error>((bytes, sent.elapsed(), connection))
            };
            let outcome = outcome.await;
            let mut result = result.borrow_mut();
            if let Ok((Some(bytes), response_time, connection)) = outcome {
                result.response_times.push(response_time.as_secs_f64() * 1e6);
                result.wire_bytes += bytes as u64;
                idle.borrow_mut().push_back((idle_connection.0, Some(connection)));
            } else {
                result.unserved += 1;
                idle.borrow_mut().push_back((idle_connection.0, None));
            }
        });
    }
    let drained = timeout(DRAIN_TIMEOUT, async { while requests.join_next().await.is_some() {} }).await;
    let unfinished = if drained.is_ok() { 0 } else { requests.len() };
    drop(requests);
    let mut result = result.take();
    result.unserved += unfinished;
    result
}

/// Runs both streams: the proxied and the direct one.
pub(super) fn run_both(load: Load) -> JoinHandle<io::Result<[StreamResult; 2]>> {
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let load = Rc::new(load);
        let proxied_addresses = vec![load.proxy; load.clients];
        let direct_addresses = load.backends.iter().copied().cycle().take(load.clients).collect();
        let seed = load.seed;
        Ok(LocalSet::new().block_on(&runtime, async {
            let (proxied, direct) = tokio::join!(
                run_stream(Rc::clone(&load), proxied_addresses, seed, seed << 24),
                run_stream(Rc::clone(&load), direct_addresses, seed ^ 1 << 40, seed << 24 | 1 << 60),
            );
            [proxied, direct]
        }))
    })
}

/// Requests in flight, each on a connection of its own, until their responses arrive.
pub(super) struct OpenRequests {
    thread: JoinHandle<io::Result<usize>>,
}

impl OpenRequests {
    /// Sends `count` requests.
    pub(super) fn send(proxy: SocketAddr, count: usize) -> Self {
        Self { thread: thread::spawn(move || send(proxy, count)) }
    }

    /// Whether all requests have ended.
    pub(super) fn has_ended(&self) -> bool {
        self.thread.is_finished()
    }

    /// Waits until all requests have ended; returns how many were served by a backend.
    pub(super) fn served(self) -> Result<usize, ScaleError> {
        let served =
            self.thread.join().map_err(|_| ScaleError::Proxy("the client thread panicked".into()))?;
        Ok(served?)
    }
}

fn send(proxy: SocketAddr, count: usize) -> io::Result<usize> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let served = Rc::new(Cell::new(0));
        let mut requests = JoinSet::new();
        for first in (0..count).step_by(CONCURRENT_CONNECTS) {
            let mut connects = JoinSet::new();
            for number in first..count.min(first + CONCURRENT_CONNECTS) {
                connects.spawn_local(async move { (number, connect(proxy).await) });
            }
            while let Some(Ok((number, connection))) = connects.join_next().await {
                let mut connection = connection?;
                let served = Rc::clone(&served);
                requests.spawn_local(async move {
                    if let Ok(Some(_)) = exchange(&mut connection, &request(number as u64 + 1, 0)).await {
                        served.set(served.get() + 1);
                    }
                });
            }
        }
        while requests.join_next().await.is_some() {}
        Ok(served.get())
    })
}
