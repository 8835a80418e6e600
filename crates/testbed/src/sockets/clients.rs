//! Emulated clients: they send the planned requests at the planned times (an open loop), each with its own
//! deadline.

use super::shard::ShardContext;
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

/// How long after its deadline a client still reads, so that a late response is observed.
const LATE_RESPONSE_WINDOW: Duration = Duration::from_secs(1);
/// Delay between two health checks of a proxy that is starting.
const HEALTH_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The body of a backend's response to a request. It contains the id, so that a forged response is detected.
pub(crate) fn body(id: u64) -> String {
    format!("served {id:016x}")
}

/// Polls a proxy until `/up` returns 200.
pub(crate) async fn wait_until_up(address: SocketAddr) {
    loop {
        if let Ok(200) = fetch_up_status(address).await {
            return;
        }
        sleep(HEALTH_POLL_INTERVAL).await;
    }
}

/// Requests `/up`, and returns the status, or 0 where the connection closes without a response.
///
/// # Errors
/// Where the connection fails or the response is malformed.
pub(crate) async fn fetch_up_status(address: SocketAddr) -> io::Result<u16> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(b"GET /up HTTP/1.1\r\nHost: rig\r\n\r\n").await?;
    let response = http1::read(&mut stream, &mut Vec::new(), http1::MessageKind::Response).await?;
    Ok(response.map_or(0, |a| a.status))
}

struct ClientConnection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

/// The clients of one shard.
pub(crate) struct Clients {
    context: Rc<ShardContext>,
    /// Idle connections, by proxy.
    idle: Vec<RefCell<Vec<ClientConnection>>>,
    in_flight: Cell<usize>,
    rng: RefCell<fastrand::Rng>,
}

/// Progress of sending a request.
#[derive(Clone, Copy, PartialEq)]
enum SendStage {
    /// Not yet written to any connection.
    Unwritten,
    /// Written to a connection that the proxy closed without reading it.
    NotAccepted,
    /// Written to a connection; the proxy may have read it.
    Written,
}

struct PlannedRequest {
    id: u64,
    class: usize,
    proxy: usize,
    tenant: u16,
    /// How often the proxy had been killed when the request was dispatched.
    kill_count: u32,
}

impl Clients {
    pub(crate) fn new(context: &Rc<ShardContext>, shard_index: u64) -> Rc<Self> {
        let idle = (0..context.state.script.fleet.proxies).map(|_| RefCell::default()).collect();
        let rng = RefCell::new(fastrand::Rng::with_seed(context.state.script.seed ^ shard_index << 40));
        Rc::new(Self { context: Rc::clone(context), idle, in_flight: Cell::new(0), rng })
    }

    /// Number of requests without a response.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Sends the planned requests of this shard's proxies, each at its time.
    pub(crate) async fn send_all(self: Rc<Self>, started_at: Micros, shard_index: usize, shard_count: usize) {
        let shared_state = Arc::clone(&self.context.state);
        for (id, arrival) in shared_state.plan.arrivals.iter().enumerate() {
            if usize::from(arrival.proxy) % shard_count != shard_index {
                continue;
            }
            let at = started_at + arrival.at;
            shared_state.sleep_until(at).await;
            self.context.record_start_delay(shared_state.now().saturating_sub(at));
            self.in_flight.set(self.in_flight.get() + 1);
            let clients = Rc::clone(&self);
            let arrival = *arrival;
            tokio::task::spawn_local(async move {
                clients.dispatch(id as u64, arrival).await;
                clients.in_flight.set(clients.in_flight.get() - 1);
            });
        }
    }

    async fn dispatch(&self, id: u64, arrival: Arrival) {
        let class = usize::from(arrival.class);
        let proxy = self.context.state.select_proxy(usize::from(arrival.proxy), &mut self.rng.borrow_mut());
        match proxy {
            Some(proxy) => {
                let kill_count = self.context.state.proxy_endpoint(proxy).kill_count();
                self.send(&PlannedRequest { id, class, proxy, tenant: arrival.tenant, kill_count }).await;
            }
            None => self.context.record(Observation::RequestUndelivered { class }),
        }
    }

    async fn send(&self, planned: &PlannedRequest) {
        let class = &self.context.state.script.classes[planned.class];
        let deadline = self.context.state.now() + class.deadline_ms * 1_000;
        let mut stage = SendStage::Unwritten;
        let response_deadline = self.context.state.instant(deadline) + LATE_RESPONSE_WINDOW;
        let response = timeout_at(response_deadline, self.exchange(planned, deadline, &mut stage)).await;
        let mut progress = self.context.progress.get();
        progress.requests += 1;
        progress.weight_requested += class.priority_weight;
        let kind = match &response {
            Ok(Ok(response)) => Some(match response.status {
                200 if response.body == body(planned.id).as_bytes() => ResponseKind::Served,
                200 => ResponseKind::Forged,
                429 | 503 => ResponseKind::Rejected,
                _ => ResponseKind::Failed,
            }),
            // The checker finds accepted requests without a response by itself.
            Ok(Err(_)) | Err(_) => None,
        };
        match kind {
            Some(ResponseKind::Served) => {
                progress.served += 1;
                let latency = self.context.state.now() + class.deadline_ms * 1_000 - deadline;
                let in_time = latency <= class.latency_objective_ms * 1_000;
                progress.weight_earned +=
                    class.priority_weight * if in_time { 1.0 } else { class.late_weight_fraction };
            }
            Some(ResponseKind::Rejected) => progress.rejected += 1,
            _ => progress.failed += 1,
        }
        self.context.progress.set(progress);
        match kind {
            Some(kind) => self.context.record(Observation::ResponseReceived { id: planned.id, kind }),
            None if stage == SendStage::Unwritten => {
                self.context.record(Observation::RequestUndelivered { class: planned.class });
            }
            None => {}
        }
    }

    /// Sends on an idle connection, or on a new one. Where the proxy closes the idle connection while the
    /// request is on its way, the request is sent once more on a new connection.
    async fn exchange(
        &self,
        planned: &PlannedRequest,
        deadline: Micros,
        stage: &mut SendStage,
    ) -> io::Result<Message> {
        let idle_connection = self.idle[planned.proxy].borrow_mut().pop();
        if let Some(connection) = idle_connection
            && let Some(response) = self.exchange_on(connection, planned, deadline, stage).await?
        {
            return Ok(response);
        }
        if *stage == SendStage::Written {
            if self.context.state.proxy_endpoint(planned.proxy).kill_count() != planned.kill_count {
                // The process that may have read the request was killed: the request may have had its effect.
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            *stage = SendStage::NotAccepted;
            self.context.record(Observation::RequestNotAccepted { id: planned.id });
        }
        let address =
            self.context.state.proxy_address(planned.proxy).ok_or(io::ErrorKind::AddrNotAvailable)?;
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let connection = ClientConnection { stream, buffer: Vec::new() };
        self.exchange_on(connection, planned, deadline, stage)
            .await?
            .ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }

    /// Sends the request and reads its response; `None` where the connection closed before the first byte of
    /// the response.
    async fn exchange_on(
        &self,
        mut connection: ClientConnection,
        planned: &PlannedRequest,
        deadline: Micros,
        stage: &mut SendStage,
    ) -> io::Result<Option<Message>> {
        // Taken before the write: a backend may receive the request before this thread continues.
        let at = self.context.state.now();
        let written = connection.stream.write_all(self.render_request(planned, deadline).as_bytes()).await;
        if written.is_err() {
            return Ok(None);
        }
        if std::mem::replace(stage, SendStage::Written) != SendStage::Written {
            let (id, class, proxy) = (planned.id, planned.class, planned.proxy);
            self.context.record_at(at, Observation::RequestSent { id, class, deadline, proxy });
        }
        let response =
            match http1::read(&mut connection.stream, &mut connection.buffer, http1::MessageKind::Response)
                .await
            {
                Ok(response) => response,
                Err(_) if connection.buffer.is_empty() => None,
                Err(error) => return Err(error),
            };
        let Some(response) = response else { return Ok(None) };
        if !response.closes() {
            self.idle[planned.proxy].borrow_mut().push(connection);
        }
        Ok(Some(response))
    }

    fn render_request(&self, planned: &PlannedRequest, deadline: Micros) -> String {
        let class = &self.context.state.script.classes[planned.class];
        let remaining_ms = deadline.saturating_sub(self.context.state.now()) / 1_000;
        let method = if class.idempotency == IdempotencySpec::Idempotent { "GET" } else { "POST" };
        let has_key = matches!(class.idempotency, IdempotencySpec::KeyedZone | IdempotencySpec::KeyedCell);
        let key = if has_key { format!("Idempotency-Key: {:032x}\r\n", planned.id) } else { String::new() };
        let tenants = self.context.state.script.traffic.tenants;
        let account = if tenants > 0 { format!("X-Account: t{}\r\n", planned.tenant) } else { String::new() };
        let length = if method == "POST" { "Content-Length: 4\r\n" } else { "" };
        let body = if method == "POST" { "wire" } else { "" };
        format!(
            "{method} /{0}?key={1:x} HTTP/1.1\r\nHost: rig\r\nX-Correlation-Id: {1:016x}\r\n\
             X-Service-Class: {0}\r\nX-Time-Left-Ms: {remaining_ms}\r\n{key}{account}{length}\r\n{body}",
            class.name, planned.id
        )
    }
}
