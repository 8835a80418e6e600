//! Real proxies beside the simulated ones: each with its agent, before test backends under load. All backends share one
//! listener on all loopback addresses; the destination address identifies the backend.

use super::ScaleError;
use super::checker::Entry;
use super::messages;
use super::network::Network;
use super::population::Population;
use super::programs::{ControlNode, ProcessStarter};
use crate::fleet::{Machine, Process, ProxyInstance};
use crate::http1;
use crate::script::Script;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError, mpsc};
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};

/// Upper bound of the recorded arrivals.
const MAX_ARRIVALS: usize = 2_000_000;
/// Client connections to each proxy.
const CLIENTS: usize = 4;
/// How long a client waits beyond a request's deadline, and the deadline.
const DEADLINE_MS: u64 = 1_000;
const ANSWER_TIMEOUT: Duration = Duration::from_millis(DEADLINE_MS + 2_000);
const BACKLOG: u32 = 1_024;

/// Counters and arrivals of clients and backends.
#[derive(Debug, Default)]
struct Seen {
    arrivals: Mutex<Vec<(u64, u32)>>,
    asked: AtomicU64,
    served: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    unanswered: AtomicU64,
    quiet: AtomicBool,
}

/// Outcomes of all requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Requests {
    /// Asked.
    pub asked: u64,
    /// Answered by a backend.
    pub served: u64,
    /// Refused by the proxy.
    pub refused: u64,
    /// Answered otherwise.
    pub failed: u64,
    /// Never answered.
    pub unanswered: u64,
}

/// Test backends and clients, on a thread of their own.
pub struct TestBackends {
    /// The port of all backends.
    pub port: u16,
    seen: Arc<Seen>,
    load: UnboundedSender<(Vec<SocketAddr>, f64)>,
    thread: Option<JoinHandle<()>>,
}

impl TestBackends {
    /// Starts the backends.
    ///
    /// # Errors
    /// If no listening socket can be opened.
    pub fn start() -> io::Result<Self> {
        let (load, loads) = unbounded_channel();
        let (said, port) = mpsc::channel();
        let seen = Arc::<Seen>::default();
        let shared = Arc::clone(&seen);
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let served = runtime.and_then(|runtime| {
                LocalSet::new().block_on(&runtime, async {
                    let listener = listen()?;
                    let _ = said.send(Ok(listener.local_addr()?.port()));
                    stand(listener, loads, shared).await;
                    Ok(())
                })
            });
            if let Err(error) = served {
                let _ = said.send(Err(error));
            }
        });
        let port = port.recv().map_err(io::Error::other)??;
        Ok(Self { port, seen, load, thread: Some(thread) })
    }

    /// Starts clients that send this many requests per second to each proxy.
    pub fn ask(&self, proxies: Vec<SocketAddr>, per_s: f64) {
        let _ = self.load.send((proxies, per_s));
    }

    /// Outcomes of the requests so far.
    #[must_use]
    pub fn requests(&self) -> Requests {
        let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        Requests {
            asked: count(&self.seen.asked),
            served: count(&self.seen.served),
            refused: count(&self.seen.refused),
            failed: count(&self.seen.failed),
            unanswered: count(&self.seen.unanswered),
        }
    }

    /// Stops sending requests.
    pub fn rest(&self) {
        self.seen.quiet.store(true, Ordering::Relaxed);
    }

    /// Time (microseconds of Unix time) and backend of each arrival.
    #[must_use]
    pub fn arrivals(&self) -> Vec<(u64, u32)> {
        self.seen.arrivals.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl Drop for TestBackends {
    fn drop(&mut self) {
        let (closed, _) = unbounded_channel();
        self.load = closed;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// A listener that only loopback reaches, on all of its addresses.
fn listen() -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.bind_device(Some(b"lo"))?;
    socket.bind(SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)))?;
    socket.listen(BACKLOG)
}

async fn stand(listener: TcpListener, mut loads: UnboundedReceiver<(Vec<SocketAddr>, f64)>, seen: Arc<Seen>) {
    let backends = Arc::clone(&seen);
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::task::spawn_local(serve(stream, Arc::clone(&backends)));
        }
    });
    while let Some((proxies, per_s)) = loads.recv().await {
        for (number, proxy) in proxies.into_iter().enumerate() {
            for client in 0..CLIENTS {
                let place = (number * CLIENTS + client) as u64;
                tokio::task::spawn_local(ask(proxy, per_s / CLIENTS as f64, place, Arc::clone(&seen)));
            }
        }
    }
}

async fn serve(mut stream: TcpStream, seen: Arc<Seen>) {
    let number = stream.local_addr().ok().and_then(|address| match address {
        SocketAddr::V4(address) => Population::number(*address.ip()),
        SocketAddr::V6(_) => None,
    });
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Ok(Some(_)) = http1::read(&mut stream, &mut buffer, http1::MessageKind::Request).await {
        if let Some(number) = number {
            let mut arrivals = seen.arrivals.lock().unwrap_or_else(PoisonError::into_inner);
            if arrivals.len() < MAX_ARRIVALS {
                arrivals.push((messages::now(), number as u32));
            }
        }
        if http1::write_response(&mut stream, "200 OK", "", b"served").await.is_err() {
            return;
        }
    }
}

/// One client: one request at a time on one connection, which is reopened after an error.
async fn ask(proxy: SocketAddr, per_s: f64, place: u64, seen: Arc<Seen>) {
    let add = |counter: &AtomicU64| counter.fetch_add(1, Ordering::Relaxed);
    let pause = Duration::from_secs_f64(1.0 / per_s.max(0.01));
    sleep(pause.mul_f64((place % 16) as f64 / 16.0)).await;
    let mut connection: Option<TcpStream> = None;
    let mut number = place << 32;
    while !seen.quiet.load(Ordering::Relaxed) {
        number += 1;
        let once = async {
            let mut stream = match connection.take() {
                Some(stream) => stream,
                None => TcpStream::connect(proxy).await?,
            };
            let request = format!(
                "GET /read?key={number:x} HTTP/1.1\r\nHost: rig\r\nX-Correlation-Id: {number:016x}\r\n\
                 X-Service-Class: read\r\nX-Time-Left-Ms: {DEADLINE_MS}\r\n\r\n"
            );
            stream.write_all(request.as_bytes()).await?;
            let answer = http1::read(&mut stream, &mut Vec::new(), http1::MessageKind::Response).await?;
            Ok::<_, io::Error>((stream, answer))
        };
        add(&seen.asked);
        match timeout(ANSWER_TIMEOUT, once).await {
            Ok(Ok((stream, Some(answer)))) => {
                match (answer.status, answer.body.as_slice()) {
                    (200, b"served") => add(&seen.served),
                    (429 | 503, _) => add(&seen.refused),
                    _ => add(&seen.failed),
                };
                connection = (!answer.closes()).then_some(stream);
            }
            // The proxy closes idle connections as clients ask: nobody took that request.
            Ok(Ok((_, None)) | Err(_)) | Err(_) => {
                add(&seen.unanswered);
            }
        }
        sleep(pause).await;
    }
}

/// The proxies and their agents.
pub struct RealProxies {
    agents: Vec<ControlNode>,
    processes: Vec<Process>,
    // Their addresses are theirs while this lives.
    places: Vec<ProxyInstance>,
}

impl RealProxies {
    /// Starts agents, then proxies, and waits until these are ready.
    ///
    /// # Errors
    /// Where one is not.
    pub async fn start(
        population: &Population,
        network: &Network,
        starter: &ProcessStarter<'_>,
        machine: &Machine,
        seed: u64,
    ) -> Result<Self, ScaleError> {
        let count = population.proxies.len() - population.simulated;
        let text = format!(
            "seed = {seed}\nseconds = 60.0\n\
             fleet = {{ boxes = 1000, proxies = {}, zones = {}, cells = 1, cores = 1.0, holds = 8.0 }}\n\
             traffic = {{ per_s = 1000.0 }}\n[[class]]\nname = \"read\"\neffect = \"safe\"\nshare = 1.0\n\
             work_ms = [1.0, 2.0]\naim_ms = 500\ndeadline_ms = {DEADLINE_MS}\nworth = 1.0\n",
            count.max(1),
            population.zones(),
        );
        let script = Script::parse(&text, Path::new("real proxies"))?;
        let mut real = Self { agents: Vec::new(), processes: Vec::new(), places: Vec::new() };
        for (number, proxy) in population.proxies[population.simulated..].iter().enumerate() {
            let name = format!("agent-{number}");
            let relays = network.relays_of(population.region_of_zone(proxy.zone));
            let relays: Vec<String> = relays
                .iter()
                .map(|(name, address)| format!("{{ name = \"{name}\", address = \"{address}\" }}"))
                .collect();
            let sources: Vec<u16> = network.model.keys().copied().collect();
            let config = |listen: SocketAddr| {
                format!(
                    "[agent]\nname = \"{name}\"\nlisten = \"{listen}\"\nservices = {:?}\nsources = {sources:?}\n\
                     relays = [{}]\n",
                    proxy.scope,
                    relays.join(", ")
                )
            };
            let mut agent = ControlNode::new(starter, "agent", &name, config)?;
            agent.start(starter).await?;
            real.agents.push(agent);
        }
        for (number, agent) in real.agents.iter().enumerate() {
            let mut place = ProxyInstance::new(starter.folder, number, agent.address())?;
            let nothing = json!({"revision": 0, "complete": true, "members": []});
            real.processes.push(place.start(&script, machine, &nothing)?);
            real.places.push(place);
        }
        for (number, process) in real.processes.iter_mut().enumerate() {
            if !process.is_ready().await {
                let last = process.log_tail();
                return Err(ScaleError::Ended(format!("proxy {number}"), "is not ready".into(), last));
            }
        }
        Ok(real)
    }

    /// Where clients reach the proxies.
    #[must_use]
    pub fn proxies(&self) -> Vec<SocketAddr> {
        self.places.iter().map(ProxyInstance::listen).collect()
    }

    /// What an agent serves to its proxy: the whole list, by id.
    ///
    /// # Errors
    /// Where it serves none.
    pub async fn list(&self, number: usize) -> Result<BTreeMap<String, Entry>, ScaleError> {
        let agent = &self.agents[number];
        let failed = |what: String| ScaleError::Ended(agent.name.clone(), what, String::new());
        let read = async {
            let mut stream = TcpStream::connect(agent.address()).await?;
            stream.write_all(b"GET /discovery/hosts HTTP/1.1\r\nHost: rig\r\n\r\n").await?;
            http1::read(&mut stream, &mut Vec::new(), http1::MessageKind::Response).await
        };
        let answer = timeout(ANSWER_TIMEOUT, read).await.map_err(|e| failed(e.to_string()))?;
        let answer = answer?.filter(|answer| answer.status == 200);
        let answer = answer.ok_or_else(|| failed("serves no list".into()))?;
        let list: Value = serde_json::from_slice(&answer.body).map_err(|e| failed(e.to_string()))?;
        let members = list["members"].as_array().ok_or_else(|| failed("serves no list".into()))?;
        let text = |member: &Value, key: &str| member[key].as_str().unwrap_or_default().to_owned();
        let entry = |m: &Value| (text(m, "id"), (text(m, "host_port"), text(m, "phase")));
        Ok(members.iter().map(entry).collect())
    }

    /// Memory of all proxies, bytes.
    #[must_use]
    pub fn proxies_memory(&self) -> u64 {
        self.processes.iter().map(Process::memory).sum()
    }

    /// Processor time so far (seconds) and memory of each agent.
    #[must_use]
    pub fn agent_usage(&self) -> Vec<(f64, u64)> {
        let programs = self.agents.iter().filter_map(|agent| agent.program.as_ref());
        programs.map(|program| (program.cpu_s(), program.memory())).collect()
    }

    /// Whether all of them run.
    ///
    /// # Errors
    /// The first that has ended.
    pub fn run(&mut self) -> Result<(), ScaleError> {
        for program in self.agents.iter_mut().filter_map(|agent| agent.program.as_mut()) {
            program.runs()?;
        }
        for (number, process) in self.processes.iter_mut().enumerate() {
            if let Some(status) = process.ended() {
                let (what, last) = (format!("ended by itself ({status})"), process.log_tail());
                return Err(ScaleError::Ended(format!("proxy {number}"), what, last));
            }
        }
        Ok(())
    }
}
