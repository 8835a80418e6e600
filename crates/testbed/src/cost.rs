//! Measures the cost of a request: the same load one after another direct to the backends, through a minimal
//! pass-through on the same HTTP library, and through the proxy. The measured intermediary is a process of
//! its own, so that the operating system reports its CPU time and memory.

mod pass_through;

pub use pass_through::pass_through;

use crate::fleet::{cpu_s, resident_bytes};
use crate::http1;
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::Duration;
use std::{env, fs, io};
use thiserror::Error;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep};

/// Upper bound on the backends of one measurement.
const MAX_BACKENDS: usize = 5_000;
/// Upper bound on the requests of one measurement.
const MAX_REQUESTS: usize = 5_000_000;
/// Requests sent before each measurement.
const WARM_UP_REQUESTS: usize = 5_000;

/// Why a measurement failed.
#[derive(Debug, Error)]
pub enum CostError {
    /// A socket or process failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The load is out of range.
    #[error(
        "at least one backend and one client are required, and at most {MAX_BACKENDS} backends and {MAX_REQUESTS} requests"
    )]
    OutOfRange,
    /// The intermediary did not start, or a client failed.
    #[error("{0}")]
    Intermediary(String),
}

/// The load of a measurement.
#[derive(Clone, Debug)]
pub struct Load {
    /// Backends, each of which responds at once.
    pub backends: usize,
    /// Client connections, each with one request at a time.
    pub clients: usize,
    /// Measured requests per path and round.
    pub requests: usize,
    /// Rounds over all three paths.
    pub rounds: usize,
    /// Path of the proxy's program.
    pub proxy: PathBuf,
}

/// The results of one path in one round.
#[derive(Clone, Copy, Debug, Default)]
pub struct PathResult {
    /// CPU time of the intermediary per request, microseconds; 0 without one.
    pub cpu_us: f64,
    /// Requests per second.
    pub per_s: f64,
    /// Median response time, microseconds.
    pub p50_us: f64,
    /// 99th percentile of the response time, microseconds.
    pub p99_us: f64,
    /// Resident memory of the intermediary at the end, MiB; 0 without one.
    pub memory_mb: f64,
}

/// Starts backends that respond at once.
async fn start_backends(count: usize) -> io::Result<Vec<SocketAddr>> {
    let mut addresses = Vec::new();
    for _ in 0..count {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        addresses.push(listener.local_addr()?);
        tokio::task::spawn_local(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                tokio::task::spawn_local(async move {
                    let _ = stream.set_nodelay(true);
                    let mut buffer = Vec::new();
                    while let Ok(Some(_)) =
                        http1::read(&mut stream, &mut buffer, http1::MessageKind::Request).await
                    {
                        if http1::write_response(&mut stream, "200 OK", "", b"served").await.is_err() {
                            return;
                        }
                    }
                });
            }
        });
    }
    Ok(addresses)
}

/// Serves the list of these backends to a proxy, with `cell_size` backends in each cell.
///
/// # Errors
/// If the listener can't be opened.
pub(crate) async fn serve_backend_list(backends: &[SocketAddr], cell_size: usize) -> io::Result<SocketAddr> {
    let members = backends.iter().enumerate().map(|(i, address)| {
        json!({"id": format!("b{i}"), "host_port": address.to_string(), "locality": "z0", "flavor": "box",
            "cell": i / cell_size, "phase": "active", "size": 1.0, "up_since_ms": 0})
    });
    let list = json!({"revision": 1, "complete": true, "members": members.collect::<Vec<_>>()}).to_string();
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let list = list.clone();
            tokio::task::spawn_local(async move {
                let mut buffer = Vec::new();
                while let Ok(Some(request)) =
                    http1::read(&mut stream, &mut buffer, http1::MessageKind::Request).await
                {
                    let body = if request.path.contains("after=") {
                        sleep(Duration::from_secs(2)).await;
                        r#"{"revision":1,"complete":false,"members":[]}"#
                    } else {
                        &list
                    };
                    if http1::write_response(&mut stream, "200 OK", "", body.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok(address)
}

/// The process between clients and backends: the proxy or the pass-through. Killed on drop.
pub(crate) struct Intermediary {
    child: Child,
    pub(crate) address: SocketAddr,
    /// The second address it listens on, if one was requested at the start.
    pub(crate) second_address: Option<SocketAddr>,
}

/// Reads the log until a line contains `prefix`, and returns the address that follows it.
fn read_address(log: &mut impl BufRead, prefix: &str) -> Result<SocketAddr, CostError> {
    let mut line = String::new();
    loop {
        line.clear();
        if log.read_line(&mut line)? == 0 {
            return Err(CostError::Intermediary(format!(
                "the intermediary ended before it logged `{prefix}` and an address"
            )));
        }
        if let Some((_, address)) = line.trim().rsplit_once(prefix) {
            return address.parse().map_err(|_| CostError::Intermediary(line.clone()));
        }
    }
}

impl Drop for Intermediary {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Intermediary {
    /// Starts the process and waits until it has logged its address, and the address after `second_prefix` if
    /// given.
    ///
    /// # Errors
    /// If it can't be started or ends before it has logged an address.
    pub(crate) fn start(mut command: Command, second_prefix: Option<&str>) -> Result<Self, CostError> {
        let mut child = command.stdin(Stdio::null()).stderr(Stdio::piped()).spawn()?;
        let log = child.stderr.take().ok_or_else(|| {
            CostError::Intermediary("the intermediary's standard error is not captured".into())
        })?;
        let mut log = BufReader::new(log);
        let address = read_address(&mut log, "listens on ")?;
        let second = second_prefix.map(|prefix| read_address(&mut log, prefix)).transpose()?;
        std::thread::spawn(move || io::copy(&mut log, &mut io::sink()));
        Ok(Self { child, address, second_address: second })
    }

    /// CPU seconds so far, and resident memory in MiB.
    ///
    /// # Errors
    /// If the process has ended.
    pub(crate) fn resource_use(&self) -> Result<(f64, f64), CostError> {
        let id = self.child.id();
        let cpu_s = cpu_s(id).ok_or_else(|| {
            CostError::Intermediary("the CPU time of the intermediary can't be read".into())
        })?;
        Ok((cpu_s, resident_bytes(id) as f64 / f64::from(1 << 20)))
    }
}

/// Sends the load to these addresses in round-robin order; returns the response times in microseconds,
/// ascending, and the total duration.
async fn send_load(
    to: &[SocketAddr],
    load: &Load,
    requests: usize,
) -> Result<(Vec<f64>, Duration), CostError> {
    let (remaining, times) =
        (Rc::new(Cell::new(requests)), Rc::new(RefCell::new(Vec::with_capacity(requests))));
    let to: Rc<[SocketAddr]> = to.into();
    let began = Instant::now();
    let clients = (0..load.clients).map(|client| {
        let (remaining, times, to) = (Rc::clone(&remaining), Rc::clone(&times), Rc::clone(&to));
        tokio::task::spawn_local(async move {
            let mut connections: Vec<Option<(TcpStream, Vec<u8>)>> = (0..to.len()).map(|_| None).collect();
            let mut next_backend = client;
            while remaining.get() > 0 {
                let number = remaining.get();
                remaining.set(number - 1);
                next_backend = (next_backend + 1) % to.len();
                let (mut stream, mut buffer) = if let Some(connection) = connections[next_backend].take() {
                    connection
                } else {
                    let stream = TcpStream::connect(to[next_backend]).await?;
                    stream.set_nodelay(true)?;
                    (stream, Vec::new())
                };
                let sent = Instant::now();
                let request = format!(
                    "GET /read?key={number:x} HTTP/1.1\r\nHost: rig\r\nX-Correlation-Id: {number:016x}\r\n\
                     X-Service-Class: read\r\nX-Time-Left-Ms: 5000\r\n\r\n"
                );
                stream.write_all(request.as_bytes()).await?;
                let response = http1::read(&mut stream, &mut buffer, http1::MessageKind::Response).await?;
                let response = response.filter(|r| r.status == 200 && r.body == b"served");
                let Some(response) = response else {
                    return Err(io::Error::other("a response that is not a backend's"));
                };
                times.borrow_mut().push(sent.elapsed().as_nanos() as f64 / 1e3);
                if !response.closes() {
                    connections[next_backend] = Some((stream, buffer));
                }
            }
            Ok(())
        })
    });
    for client in clients.collect::<Vec<_>>() {
        client.await.map_err(|e| CostError::Intermediary(e.to_string()))??;
    }
    let duration = began.elapsed();
    let mut times = times.take();
    times.sort_unstable_by(f64::total_cmp);
    Ok((times, duration))
}

/// Measures one path, after a warm-up.
async fn measure_path(
    to: &[SocketAddr],
    load: &Load,
    intermediary: Option<&Intermediary>,
) -> Result<PathResult, CostError> {
    send_load(to, load, WARM_UP_REQUESTS).await?;
    let before = intermediary.map_or(Ok((0.0, 0.0)), Intermediary::resource_use)?;
    let (times, duration) = send_load(to, load, load.requests).await?;
    let after = intermediary.map_or(Ok((0.0, 0.0)), Intermediary::resource_use)?;
    let quantile = |p: f64| times[((times.len() - 1) as f64 * p) as usize];
    Ok(PathResult {
        cpu_us: (after.0 - before.0) * 1e6 / load.requests as f64,
        per_s: load.requests as f64 / duration.as_secs_f64(),
        p50_us: quantile(0.5),
        p99_us: quantile(0.99),
        memory_mb: after.1,
    })
}

fn config(backends: usize, discovery: SocketAddr) -> String {
    json!({"name": "cost", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "7",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024 + 4 * backends},
        "known": {"revision": 0, "complete": true, "members": []},
        "settings": {"me": 0, "balancers": 1, "zone": 0, "failureDomains": ["z0"], "kinds": ["box"],
            "membershipMode": "pushed",
            "classes": [{"name": "read", "aimUs": 2_000_000, "deadlineUs": 5_000_000, "worth": 1.0,
                "lateWorth": 0.5, "effect": "retryable"}],
            "permissions": {"maxAttempts": 3, "connIdleUs": 60_000_000, "retryAfter": true,
                "maxRetryAfterUs": 1_000_000, "dialTimeoutUs": 250_000},
            "safety": {"coldFrom": 0.33, "coldUs": 8_000_000, "fallMultiple": 3.0, "fallUs": 2_000_000}}})
    .to_string()
}

/// Measures the three paths: direct, pass-through, proxy; one row for each round.
///
/// # Errors
/// If a socket or process fails, or a response is not a backend's.
pub fn measure(load: &Load) -> Result<Vec<[PathResult; 3]>, CostError> {
    if load.backends > MAX_BACKENDS
        || load.requests * load.rounds > MAX_REQUESTS
        || load.backends * load.clients == 0
    {
        return Err(CostError::OutOfRange);
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let backends = start_backends(load.backends).await?;
        let discovery = serve_backend_list(&backends, backends.len()).await?;
        let path = env::temp_dir().join(format!("testbed-cost-{}.json", std::process::id()));
        let mut rows = Vec::new();
        for _ in 0..load.rounds {
            let direct = measure_path(&backends, load, None).await?;
            let mut command = Command::new(env::current_exe()?);
            command.arg("pass").args(backends.iter().map(SocketAddr::to_string));
            let pass_through = Intermediary::start(command, None)?;
            let pass_through_figures =
                measure_path(&[pass_through.address], load, Some(&pass_through)).await?;
            drop(pass_through);
            fs::write(&path, config(load.backends, discovery))?;
            let mut command = Command::new(&load.proxy);
            command.env("EDGE_CONFIG", &path);
            let proxy = Intermediary::start(command, None)?;
            wait_until_up(proxy.address).await?;
            let proxied = measure_path(&[proxy.address], load, Some(&proxy)).await?;
            rows.push([direct, pass_through_figures, proxied]);
        }
        let _ = fs::remove_file(path);
        Ok(rows)
    })
}

/// Polls `/up` until it returns 200, for about ten seconds.
///
/// # Errors
/// If the proxy can't be reached or is not up in time.
pub(crate) async fn wait_until_up(address: SocketAddr) -> Result<(), CostError> {
    for _ in 0..500 {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(b"GET /up HTTP/1.1\r\nHost: rig\r\n\r\n").await?;
        if http1::read(&mut stream, &mut Vec::new(), http1::MessageKind::Response)
            .await?
            .is_some_and(|response| response.status == 200)
        {
            return Ok(());
        }
        sleep(Duration::from_millis(20)).await;
    }
    Err(CostError::Intermediary("the proxy is not up after ten seconds".into()))
}
