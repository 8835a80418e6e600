//! Clients: requests by chance at a steady rate, whatever becomes of them, each with the time that it will wait.

use super::{Live, Shared};
use crate::http1::{self, Message};
use crate::judge::{Got, Seen};
use crate::script::{EffectSpec, micros};
use haventrack_decision::api::Micros;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until, timeout_at};

/// How long beyond its time a client listens on, so that a late answer is seen.
const LISTENS_ON: Duration = Duration::from_secs(1);
const UP_EVERY: Duration = Duration::from_millis(20);

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
        sleep(UP_EVERY).await;
    }
}

async fn up(address: SocketAddr) -> io::Result<u16> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(b"GET /up HTTP/1.1\r\nHost: rig\r\n\r\n").await?;
    let answer = http1::read(&mut stream, &mut Vec::new(), true).await?;
    Ok(answer.map_or(0, |a| a.status))
}

struct Conn {
    stream: TcpStream,
    buffer: Vec<u8>,
}

/// All clients.
pub(crate) struct Clients {
    shared: Rc<Shared>,
    proxies: Vec<SocketAddr>,
    idle: Vec<RefCell<Vec<Conn>>>,
    open: Cell<usize>,
    rng: RefCell<fastrand::Rng>,
}

struct Ask {
    id: u64,
    class: usize,
    proxy: usize,
    tenant: u16,
}

impl Clients {
    pub(crate) fn new(shared: &Rc<Shared>, proxies: Vec<SocketAddr>) -> Rc<Self> {
        let idle = proxies.iter().map(|_| RefCell::default()).collect();
        let rng = RefCell::new(fastrand::Rng::with_seed(shared.script.seed));
        Rc::new(Self { shared: Rc::clone(shared), proxies, idle, open: Cell::new(0), rng })
    }

    /// Requests that wait for their answer.
    pub(crate) fn open(&self) -> usize {
        self.open.get()
    }

    /// Asks for as long as the script says.
    pub(crate) async fn ask_all(self: Rc<Self>, began: Micros) {
        let (mut at, mut id) = (began, 0);
        let end = began + micros(self.shared.script.seconds);
        loop {
            at += micros(-(1.0 - self.rng.borrow_mut().f64()).ln() / self.shared.script.traffic.per_s);
            if at >= end {
                return;
            }
            sleep_until(self.shared.instant(at)).await;
            id += 1;
            let ask = self.draw(id);
            self.open.set(self.open.get() + 1);
            let clients = Rc::clone(&self);
            tokio::task::spawn_local(async move {
                clients.ask(&ask).await;
                clients.open.set(clients.open.get() - 1);
            });
        }
    }

    fn draw(&self, id: u64) -> Ask {
        let script = &self.shared.script;
        let mut rng = self.rng.borrow_mut();
        let class = script.draw_class(&mut rng);
        let [from, to] = script.class[class].work_ms;
        let work = micros((from + rng.f64() * (to - from)) / 1e3);
        self.shared.work.borrow_mut().insert(id, work);
        let tenant = rng.u16(0..script.traffic.tenants.max(1));
        Ask { id, class, proxy: rng.usize(0..self.proxies.len()), tenant }
    }

    async fn ask(&self, ask: &Ask) {
        let class = &self.shared.script.class[ask.class];
        let end = self.shared.now() + class.deadline_ms * 1_000;
        let mut asked = false;
        let listening = self.shared.instant(end) + LISTENS_ON;
        let answer = timeout_at(listening, self.exchange(ask, end, &mut asked)).await;
        let mut live = self.shared.live.get();
        live.asked += 1;
        live.worth.0 += class.worth;
        let got = match &answer {
            Ok(Ok(answer)) => Some(match answer.status {
                200 if answer.body == body(ask.id).as_bytes() => Got::Served,
                200 => Got::Forged,
                429 | 503 => Got::Refused,
                _ => Got::Failed,
            }),
            // A request that was never taken is nobody's to answer; one that was is lost, which the judge sees.
            Ok(Err(_)) | Err(_) => None,
        };
        match got {
            Some(Got::Served) => {
                live.served += 1;
                let took = self.shared.now() + class.deadline_ms * 1_000 - end;
                let in_time = took <= class.aim_ms * 1_000;
                live.worth.1 += class.worth * if in_time { 1.0 } else { class.late_worth };
            }
            Some(Got::Refused) => live.refused += 1,
            _ => live.failed += 1,
        }
        self.shared.live.set(live);
        if let Some(got) = got {
            self.shared.saw(Seen::Answered { id: ask.id, got });
        }
    }

    /// Asks on a connection that is kept, or on a new one. Where the proxy's close crosses the request, it is sent
    /// once more on a new one.
    async fn exchange(&self, ask: &Ask, end: Micros, asked: &mut bool) -> io::Result<Message> {
        let kept = self.idle[ask.proxy].borrow_mut().pop();
        if let Some(conn) = kept
            && let Some(answer) = self.on(conn, ask, end, asked).await?
        {
            return Ok(answer);
        }
        let stream = TcpStream::connect(self.proxies[ask.proxy]).await?;
        stream.set_nodelay(true)?;
        let conn = Conn { stream, buffer: Vec::new() };
        self.on(conn, ask, end, asked).await?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }

    /// `None`: the connection ended before the answer's first byte.
    async fn on(
        &self,
        mut conn: Conn,
        ask: &Ask,
        end: Micros,
        asked: &mut bool,
    ) -> io::Result<Option<Message>> {
        let written = conn.stream.write_all(self.request(ask, end).as_bytes()).await;
        if written.is_err() {
            return Ok(None);
        }
        if !std::mem::replace(asked, true) {
            self.shared.saw(Seen::Asked { id: ask.id, class: ask.class, end, proxy: ask.proxy });
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
        let class = &self.shared.script.class[ask.class];
        let left = end.saturating_sub(self.shared.now()) / 1_000;
        let method = if class.effect == EffectSpec::Safe { "GET" } else { "POST" };
        let keyed = matches!(class.effect, EffectSpec::KeyedZone | EffectSpec::KeyedCell);
        let key = if keyed { format!("Idempotency-Key: {:032x}\r\n", ask.id) } else { String::new() };
        let tenants = self.shared.script.traffic.tenants;
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
