//! What a request costs: the same load three ways in turn, direct to the boxes, through a minimal pass-through on the
//! same HTTP library, and through the proxy. The middle is a process of its own, so that its CPU time and memory are
//! the operating system's own account.

use crate::fleet::{cpu_s, memory};
use crate::http1;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
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

/// The most boxes and requests of one measurement.
const MAX_BOXES: usize = 5_000;
const MAX_REQUESTS: usize = 5_000_000;
/// Requests before the count begins.
const WARM_UP: usize = 5_000;

/// Why nothing was measured.
#[derive(Debug, Error)]
pub enum CostError {
    /// A socket or process.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// What was asked for is too much.
    #[error("at most {MAX_BOXES} boxes and {MAX_REQUESTS} requests")]
    TooMuch,
    /// The middle did not begin to listen, or an answer was not the box's.
    #[error("{0}")]
    Middle(String),
}

/// What is measured.
#[derive(Clone, Debug)]
pub struct Load {
    /// Boxes, each answering at once.
    pub boxes: usize,
    /// Connections of clients, each with one request at a time.
    pub clients: usize,
    /// Requests that count.
    pub requests: usize,
    /// Turns of all three ways.
    pub turns: usize,
    /// The proxy's program.
    pub proxy: PathBuf,
}

/// One way's figures in one turn.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// CPU time of the middle for a request, microseconds; 0: there is no middle.
    pub cpu_us: f64,
    /// Requests a second.
    pub per_s: f64,
    /// Median time of a request, microseconds.
    pub p50_us: f64,
    /// 99th percentile, microseconds.
    pub p99_us: f64,
    /// Memory of the middle at its end, MB.
    pub memory_mb: f64,
}

/// Boxes that answer at once: the cheapest that there can be.
async fn boxes(count: usize) -> io::Result<Vec<SocketAddr>> {
    let mut addresses = Vec::new();
    for _ in 0..count {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        addresses.push(listener.local_addr()?);
        tokio::task::spawn_local(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                tokio::task::spawn_local(async move {
                    let _ = stream.set_nodelay(true);
                    let mut buffer = Vec::new();
                    while let Ok(Some(_)) = http1::read(&mut stream, &mut buffer, false).await {
                        if http1::answer(&mut stream, "200 OK", "", b"served").await.is_err() {
                            return;
                        }
                    }
                });
            }
        });
    }
    Ok(addresses)
}

/// Serves lists of these boxes, so many to a cell, to a proxy.
pub(crate) async fn discovery(boxes: &[SocketAddr], cell: usize) -> io::Result<SocketAddr> {
    let members = boxes.iter().enumerate().map(|(i, address)| {
        json!({"id": format!("b{i}"), "host_port": address.to_string(), "locality": "z0", "flavor": "box",
            "cell": i / cell, "phase": "active", "size": 1.0, "up_since_ms": 0})
    });
    let list = json!({"revision": 1, "complete": true, "members": members.collect::<Vec<_>>()}).to_string();
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let list = list.clone();
            tokio::task::spawn_local(async move {
                let mut buffer = Vec::new();
                while let Ok(Some(request)) = http1::read(&mut stream, &mut buffer, false).await {
                    let body = if request.target.1.contains("after=") {
                        sleep(Duration::from_secs(2)).await;
                        r#"{"revision":1,"complete":false,"members":[]}"#
                    } else {
                        &list
                    };
                    if http1::answer(&mut stream, "200 OK", "", body.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok(address)
}

pub(crate) struct Middle {
    child: Child,
    pub(crate) address: SocketAddr,
    /// Where it listens beside that, if it was waited for.
    pub(crate) second: Option<SocketAddr>,
}

/// The address that stands behind these words in a line of the log.
fn told(log: &mut impl BufRead, words: &str) -> Result<SocketAddr, CostError> {
    let mut line = String::new();
    loop {
        line.clear();
        if log.read_line(&mut line)? == 0 {
            return Err(CostError::Middle(format!("the middle ended before it told what it {words}")));
        }
        if let Some((_, address)) = line.trim().rsplit_once(words) {
            return address.parse().map_err(|_| CostError::Middle(line.clone()));
        }
    }
}

impl Drop for Middle {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Middle {
    /// Starts it and waits until it tells where it listens, and where `also` if these words are given.
    pub(crate) fn start(mut command: Command, also: Option<&str>) -> Result<Self, CostError> {
        let mut child = command.stdin(Stdio::null()).stderr(Stdio::piped()).spawn()?;
        let log = child.stderr.take().ok_or_else(|| CostError::Middle("no log".into()))?;
        let mut log = BufReader::new(log);
        let address = told(&mut log, "listens on ")?;
        let second = also.map(|words| told(&mut log, words)).transpose()?;
        std::thread::spawn(move || io::copy(&mut log, &mut io::sink()));
        Ok(Self { child, address, second })
    }

    /// CPU seconds so far, and resident memory in MB.
    pub(crate) fn used(&self) -> Result<(f64, f64), CostError> {
        let id = self.child.id();
        let spent = cpu_s(id).ok_or_else(|| CostError::Middle("the middle has no account".into()))?;
        Ok((spent, memory(id) as f64 / f64::from(1 << 20)))
    }
}

/// Sends the load to these addresses in turn; gives the times of the requests in microseconds, ascending, and the
/// whole span.
async fn drive(to: &[SocketAddr], load: &Load, requests: usize) -> Result<(Vec<f64>, Duration), CostError> {
    let (left, times) = (Rc::new(Cell::new(requests)), Rc::new(RefCell::new(Vec::with_capacity(requests))));
    let to: Rc<[SocketAddr]> = to.into();
    let began = Instant::now();
    let clients = (0..load.clients).map(|client| {
        let (left, times, to) = (Rc::clone(&left), Rc::clone(&times), Rc::clone(&to));
        tokio::task::spawn_local(async move {
            let mut conns: Vec<Option<(TcpStream, Vec<u8>)>> = (0..to.len()).map(|_| None).collect();
            let mut turn = client;
            while left.get() > 0 {
                let number = left.get();
                left.set(number - 1);
                turn = (turn + 1) % to.len();
                let (mut stream, mut buffer) = if let Some(conn) = conns[turn].take() {
                    conn
                } else {
                    let stream = TcpStream::connect(to[turn]).await?;
                    stream.set_nodelay(true)?;
                    (stream, Vec::new())
                };
                let sent = Instant::now();
                let request = format!(
                    "GET /read?key={number:x} HTTP/1.1\r\nHost: rig\r\nX-Correlation-Id: {number:016x}\r\n\
                     X-Service-Class: read\r\nX-Time-Left-Ms: 5000\r\n\r\n"
                );
                stream.write_all(request.as_bytes()).await?;
                let answer = http1::read(&mut stream, &mut buffer, true).await?;
                let answer = answer.filter(|a| a.status == 200 && a.body == b"served");
                let Some(answer) = answer else {
                    return Err(io::Error::other("an answer that is not a box's"));
                };
                times.borrow_mut().push(sent.elapsed().as_nanos() as f64 / 1e3);
                if !answer.closes() {
                    conns[turn] = Some((stream, buffer));
                }
            }
            Ok(())
        })
    });
    for client in clients.collect::<Vec<_>>() {
        client.await.map_err(|e| CostError::Middle(e.to_string()))??;
    }
    let span = began.elapsed();
    let mut times = times.take();
    times.sort_unstable_by(f64::total_cmp);
    Ok((times, span))
}

async fn way(to: &[SocketAddr], load: &Load, middle: Option<&Middle>) -> Result<Figures, CostError> {
    drive(to, load, WARM_UP).await?;
    let before = middle.map_or(Ok((0.0, 0.0)), Middle::used)?;
    let (times, span) = drive(to, load, load.requests).await?;
    let after = middle.map_or(Ok((0.0, 0.0)), Middle::used)?;
    let part = |p: f64| times[((times.len() - 1) as f64 * p) as usize];
    Ok(Figures {
        cpu_us: (after.0 - before.0) * 1e6 / load.requests as f64,
        per_s: load.requests as f64 / span.as_secs_f64(),
        p50_us: part(0.5),
        p99_us: part(0.99),
        memory_mb: after.1,
    })
}

fn config(boxes: usize, discovery: SocketAddr) -> String {
    json!({"name": "cost", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "7",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024 + 4 * boxes},
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

/// The three ways' figures: direct, pass-through, proxy; one row a turn.
///
/// # Errors
/// Where a socket or process fails, or an answer is not a box's.
pub fn measure(load: &Load) -> Result<Vec<[Figures; 3]>, CostError> {
    if load.boxes > MAX_BOXES || load.requests * load.turns > MAX_REQUESTS || load.boxes * load.clients == 0 {
        return Err(CostError::TooMuch);
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let boxes = boxes(load.boxes).await?;
        let discovery = discovery(&boxes, boxes.len()).await?;
        let path = env::temp_dir().join(format!("testbed-cost-{}.json", std::process::id()));
        let mut rows = Vec::new();
        for _ in 0..load.turns {
            let direct = way(&boxes, load, None).await?;
            let mut command = Command::new(env::current_exe()?);
            command.arg("pass").args(boxes.iter().map(SocketAddr::to_string));
            let pass = Middle::start(command, None)?;
            let passed = way(&[pass.address], load, Some(&pass)).await?;
            drop(pass);
            fs::write(&path, config(load.boxes, discovery))?;
            let mut command = Command::new(&load.proxy);
            command.env("EDGE_CONFIG", &path);
            let proxy = Middle::start(command, None)?;
            wait_until_up(proxy.address).await?;
            let proxied = way(&[proxy.address], load, Some(&proxy)).await?;
            rows.push([direct, passed, proxied]);
        }
        let _ = fs::remove_file(path);
        Ok(rows)
    })
}

pub(crate) async fn wait_until_up(address: SocketAddr) -> Result<(), CostError> {
    for _ in 0..500 {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(b"GET /up HTTP/1.1\r\nHost: rig\r\n\r\n").await?;
        if http1::read(&mut stream, &mut Vec::new(), true).await?.is_some_and(|a| a.status == 200) {
            return Ok(());
        }
        sleep(Duration::from_millis(20)).await;
    }
    Err(CostError::Middle("the proxy is not up in ten seconds".into()))
}

type Idle = Rc<RefCell<Vec<Vec<SendRequest<Full<Bytes>>>>>>;

/// The minimal pass-through: reads a request whole, sends it to the next box in turn over a kept connection, passes
/// the answer on. It chooses nothing, bounds nothing and counts nothing.
///
/// # Errors
/// Where it has no socket.
pub fn pass_through(boxes: &[SocketAddr]) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        eprintln!("listens on {}", listener.local_addr()?);
        let boxes: Rc<[SocketAddr]> = boxes.into();
        let idle: Idle = Rc::new(RefCell::new(boxes.iter().map(|_| Vec::new()).collect()));
        let turn = Rc::new(Cell::new(0));
        loop {
            let (stream, _) = listener.accept().await?;
            stream.set_nodelay(true)?;
            let (boxes, idle, turn) = (Rc::clone(&boxes), Rc::clone(&idle), Rc::clone(&turn));
            let service = service_fn(move |request| {
                let (boxes, idle) = (Rc::clone(&boxes), Rc::clone(&idle));
                turn.set((turn.get() + 1) % boxes.len());
                let to = turn.get();
                async move { Ok::<_, Infallible>(pass(request, boxes[to], &idle, to).await) }
            });
            tokio::task::spawn_local(async move {
                let _ = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    })
}

async fn pass(
    request: Request<Incoming>,
    to: SocketAddr,
    idle: &Idle,
    index: usize,
) -> Response<Full<Bytes>> {
    exchange(request, to, idle, index).await.unwrap_or_else(|_| {
        let mut response = Response::new(Full::new(Bytes::new()));
        *response.status_mut() = StatusCode::BAD_GATEWAY;
        response
    })
}

async fn exchange(
    request: Request<Incoming>,
    to: SocketAddr,
    idle: &Idle,
    index: usize,
) -> Result<Response<Full<Bytes>>, Box<dyn std::error::Error>> {
    let (head, body) = request.into_parts();
    let body = body.collect().await?.to_bytes();
    let kept = idle.borrow_mut()[index].pop().filter(SendRequest::is_ready);
    let mut sender = if let Some(sender) = kept {
        sender
    } else {
        let stream = TcpStream::connect(to).await?;
        stream.set_nodelay(true)?;
        let (sender, conn) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
        tokio::task::spawn_local(conn);
        sender
    };
    let response = sender.send_request(Request::from_parts(head, Full::new(body))).await?;
    let (head, body) = response.into_parts();
    let body = body.collect().await?.to_bytes();
    sender.ready().await?;
    idle.borrow_mut()[index].push(sender);
    Ok(Response::from_parts(head, Full::new(body)))
}
