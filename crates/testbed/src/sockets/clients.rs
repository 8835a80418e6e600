//! Clients: requests by chance at a steady rate, whatever becomes of them, each with the time that it will wait.

use super::Live;
use super::shard::Shared;
use crate::http1::{self, Message};
use crate::invariant_checker::{Observation, ResponseKind};
use crate::plan::Arrival;
use crate::script::IdempotencySpec;
use balancer::api::Micros;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout_at};

/// How long beyond its time a client listens on, so that a late answer is seen.
const LISTENS_ON: Duration = Duration::from_secs(1);
const UP_INTERVAL: Duration = Duration::from_millis(20);

/// What a box answers to a request: nobody else can make it up by chance.
pub(crate) fn body(id: u64) -> String {
    format!("served {id:016x}")
}

/// Waits until a proxy says that it serves.
pub(crate) async fn wait_until_up(address: SocketAddr) {
    loop {
        if let Ok(200) = up(address).await {
            return;
        }
        sleep(UP_INTERVAL).await;
    }
}

pub(crate) async fn up(address: SocketAddr) -> io::Result<u16> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(b"GET /up HTTP/1.1\r\nHost: rig\r\n\r\n").await?;
    let answer = http1::read(&mut stream, &mut Vec::new(), true).await?;
    Ok(answer.map_or(0, |a| a.status))
}

struct Conn {
    stream: TcpStream,
    buffer: Vec<u8>,
}

/// The clients of a thread.
pub(crate) struct Clients {
    shared: Rc<Shared>,
    /// Connections that rest, by proxy.
    idle: Vec<RefCell<Vec<Conn>>>,
    open: Cell<usize>,
    rng: RefCell<fastrand::Rng>,
}

/// How far a request has come.
#[derive(Clone, Copy, PartialEq)]
enum Stage {
    /// It was never written.
    Unwritten,
    /// It was written to a connection that had ended before.
    Untaken,
    /// It was written, and may have been read.
    Written,
}

struct Ask {
    id: u64,
    class: usize,
    proxy: usize,
    tenant: u16,
    /// How often the proxy had been killed before.
    kills: u32,
}

impl Clients {
    pub(crate) fn new(shared: &Rc<Shared>, number: u64) -> Rc<Self> {
        let idle = (0..shared.board.script.fleet.proxies).map(|_| RefCell::default()).collect();
        let rng = RefCell::new(fastrand::Rng::with_seed(shared.board.script.seed ^ number << 40));
        Rc::new(Self { shared: Rc::clone(shared), idle, open: Cell::new(0), rng })
    }

    /// Requests that wait for their answer.
    pub(crate) fn open(&self) -> usize {
        self.open.get()
    }

    /// Asks what the plan has for this thread's part of the proxies.
    pub(crate) async fn ask_all(self: Rc<Self>, began: Micros, number: usize, of: usize) {
        let board = Arc::clone(&self.shared.board);
        for (id, arrival) in board.plan.arrivals.iter().enumerate() {
            if usize::from(arrival.proxy) % of != number {
                continue;
            }
            let at = began + arrival.at;
            board.sleep_until(at).await;
            self.shared.asked_late(board.now().saturating_sub(at));
            self.open.set(self.open.get() + 1);
            let clients = Rc::clone(&self);
            let arrival = *arrival;
            tokio::task::spawn_local(async move {
                clients.arrive(id as u64, arrival).await;
                clients.open.set(clients.open.get() - 1);
            });
        }
    }

    async fn arrive(&self, id: u64, arrival: Arrival) {
        let class = usize::from(arrival.class);
        let proxy = self.shared.board.front(usize::from(arrival.proxy), &mut self.rng.borrow_mut());
        match proxy {
            Some(proxy) => {
                let kills = self.shared.board.entrance(proxy).kills();
                self.ask(&Ask { id, class, proxy, tenant: arrival.tenant, kills }).await;
            }
            None => self.shared.saw(Observation::RequestUndelivered { class }),
        }
    }

    async fn ask(&self, ask: &Ask) {
        let class = &self.shared.board.script.classes[ask.class];
        let end = self.shared.board.now() + class.deadline_ms * 1_000;
        let mut stage = Stage::Unwritten;
        let listening = self.shared.board.instant(end) + LISTENS_ON;
        let answer = timeout_at(listening, self.exchange(ask, end, &mut stage)).await;
        let mut live = self.shared.live.get();
        live.asked += 1;
        live.worth.0 += class.priority_weight;
        let got = match &answer {
            Ok(Ok(answer)) => Some(match answer.status {
                200 if answer.body == body(ask.id).as_bytes() => ResponseKind::Served,
                200 => ResponseKind::Forged,
                429 | 503 => ResponseKind::Rejected,
                _ => ResponseKind::Failed,
            }),
            // A request that was never taken is nobody's to answer; one that was is lost, which the judge sees.
            Ok(Err(_)) | Err(_) => None,
        };
        match got {
            Some(ResponseKind::Served) => {
                live.served += 1;
                let took = self.shared.board.now() + class.deadline_ms * 1_000 - end;
                let in_time = took <= class.latency_objective_ms * 1_000;
                live.worth.1 +=
                    class.priority_weight * if in_time { 1.0 } else { class.late_weight_fraction };
            }
            Some(ResponseKind::Rejected) => live.refused += 1,
            _ => live.failed += 1,
        }
        self.shared.live.set(live);
        match got {
            Some(got) => self.shared.saw(Observation::ResponseReceived { id: ask.id, kind: got }),
            None if stage == Stage::Unwritten => {
                self.shared.saw(Observation::RequestUndelivered { class: ask.class })
            }
            None => {}
        }
    }

    /// Asks on a connection that is kept, or on a new one. Where the proxy's close crosses the request, it is sent
    /// once more on a new one.
    async fn exchange(&self, ask: &Ask, end: Micros, stage: &mut Stage) -> io::Result<Message> {
        let kept = self.idle[ask.proxy].borrow_mut().pop();
        if let Some(conn) = kept
            && let Some(answer) = self.on(conn, ask, end, stage).await?
        {
            return Ok(answer);
        }
        if *stage == Stage::Written {
            if self.shared.board.entrance(ask.proxy).kills() != ask.kills {
                // It was written to a process that was killed, and may have run.
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            *stage = Stage::Untaken;
            self.shared.saw(Observation::RequestNotAccepted { id: ask.id });
        }
        let address = self.shared.board.way_to_proxy(ask.proxy).ok_or(io::ErrorKind::AddrNotAvailable)?;
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let conn = Conn { stream, buffer: Vec::new() };
        self.on(conn, ask, end, stage).await?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }

    /// `None`: the connection ended before the answer's first byte.
    async fn on(
        &self,
        mut conn: Conn,
        ask: &Ask,
        end: Micros,
        stage: &mut Stage,
    ) -> io::Result<Option<Message>> {
        // Its box may have it before this thread goes on.
        let at = self.shared.board.now();
        let written = conn.stream.write_all(self.request(ask, end).as_bytes()).await;
        if written.is_err() {
            return Ok(None);
        }
        if std::mem::replace(stage, Stage::Written) != Stage::Written {
            let (id, class, proxy) = (ask.id, ask.class, ask.proxy);
            self.shared.saw_at(at, Observation::RequestSent { id, class, end, proxy });
        }
        let answer = match http1::read(&mut conn.stream, &mut conn.buffer, true).await {
            Ok(answer) => answer,
            Err(_) if conn.buffer.is_empty() => None,
            Err(error) => return Err(error),
        };
        let Some(answer) = answer else { return Ok(None) };
        if !answer.closes() {
            self.idle[ask.proxy].borrow_mut().push(conn);
        }
        Ok(Some(answer))
    }

    fn request(&self, ask: &Ask, end: Micros) -> String {
        let class = &self.shared.board.script.classes[ask.class];
        let left = end.saturating_sub(self.shared.board.now()) / 1_000;
        let method = if class.idempotency == IdempotencySpec::Safe { "GET" } else { "POST" };
        let keyed = matches!(class.idempotency, IdempotencySpec::KeyedZone | IdempotencySpec::KeyedCell);
        let key = if keyed { format!("Idempotency-Key: {:032x}\r\n", ask.id) } else { String::new() };
        let tenants = self.shared.board.script.traffic.tenants;
        let account = if tenants > 0 { format!("X-Account: t{}\r\n", ask.tenant) } else { String::new() };
        let length = if method == "POST" { "Content-Length: 4\r\n" } else { "" };
        let body = if method == "POST" { "wire" } else { "" };
        format!(
            "{method} /{0}?key={1:x} HTTP/1.1\r\nHost: rig\r\nX-Correlation-Id: {1:016x}\r\n\
             X-Service-Class: {0}\r\nX-Time-Left-Ms: {left}\r\n{key}{account}{length}\r\n{body}",
            class.name, ask.id
        )
    }
}

/// Goodput so far, of a running day.
impl Live {
    /// Worth earned over worth asked for.
    #[must_use]
    pub fn goodput(&self) -> f64 {
        if self.worth.0 > 0.0 { self.worth.1 / self.worth.0 } else { 1.0 }
    }
}
