//! Real proxies in addition to the simulated ones: each has an agent, and forwards requests of test clients
//! to test backends. All backends share one listener on all loopback addresses; the destination address
//! identifies the backend.

use super::ScaleError;
use super::checker::Entry;
use super::messages;
use super::network::Network;
use super::population::Population;
use super::programs::{ControlNode, ProcessStarter};
use crate::fleet::{Process, ProxyInstance, RunEnvironment};
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
/// Clients of each proxy, each with one connection.
const CLIENTS_PER_PROXY: usize = 4;
/// Response deadline of a request, milliseconds.
const DEADLINE_MS: u64 = 1_000;
/// Time after which a client gives up a request: 2 s after its deadline.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(DEADLINE_MS + 2_000);
/// Upper bound of the backends' connections that are not accepted yet.
const BACKLOG: u32 = 1_024;

/// State that clients and backends share: arrivals, and counters of requests.
#[derive(Debug, Default)]
struct SharedState {
    /// Time (microseconds of Unix time) and number of the backend.
    arrivals: Mutex<Vec<(u64, u32)>>,
    sent: AtomicU64,
    served: AtomicU64,
    rejected: AtomicU64,
    failed: AtomicU64,
    unanswered: AtomicU64,
    stopped: AtomicBool,
}

/// Number of requests by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Requests {
    /// Requests sent.
    pub asked: u64,
    /// Requests with a backend's response.
    pub served: u64,
    /// Requests rejected by the proxy (429 or 503).
    pub refused: u64,
    /// Requests with any other response.
    pub failed: u64,
    /// Requests without a response.
    pub unanswered: u64,
}

/// Test backends and clients, which run on a separate thread.
pub struct TestBackends {
    /// The port that all backends share.
    pub port: u16,
    state: Arc<SharedState>,
    // Addresses of proxies, and requests per second to each.
    load_sender: UnboundedSender<(Vec<SocketAddr>, f64)>,
    thread: Option<JoinHandle<()>>,
}

impl TestBackends {
    /// Starts the backends.
    ///
    /// # Errors
    /// If no listening socket can be opened.
    pub fn start() -> io::Result<Self> {
        let (load_sender, load_receiver) = unbounded_channel();
        let (port_sender, port) = mpsc::channel();
        let state = Arc::<SharedState>::default();
        let shared = Arc::clone(&state);
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let result = runtime.and_then(|runtime| {
                LocalSet::new().block_on(&runtime, async {
                    let listener = listen()?;
                    let _ = port_sender.send(Ok(listener.local_addr()?.port()));
                    run_backends_and_clients(listener, load_receiver, shared).await;
                    Ok(())
                })
            });
            if let Err(error) = result {
                let _ = port_sender.send(Err(error));
            }
        });
        let port = port.recv().map_err(io::Error::other)??;
        Ok(Self { port, state, load_sender, thread: Some(thread) })
    }

    /// Starts clients that send this many requests per second to each proxy.
    pub fn start_clients(&self, proxies: Vec<SocketAddr>, per_s: f64) {
        let _ = self.load_sender.send((proxies, per_s));
    }

    /// Number of requests so far, by outcome.
    #[must_use]
    pub fn requests(&self) -> Requests {
        let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        Requests {
            asked: count(&self.state.sent),
            served: count(&self.state.served),
            refused: count(&self.state.rejected),
            failed: count(&self.state.failed),
            unanswered: count(&self.state.unanswered),
        }
    }

    /// Stops the clients after their current requests.
    pub fn stop_clients(&self) {
        self.state.stopped.store(true, Ordering::Relaxed);
    }

    /// Time (microseconds of Unix time) and backend's number of each request that arrived at a backend.
    /// Recording stops at `MAX_ARRIVALS`.
    #[must_use]
    pub fn arrivals(&self) -> Vec<(u64, u32)> {
        self.state.arrivals.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl Drop for TestBackends {
    fn drop(&mut self) {
        let (closed, _) = unbounded_channel();
        self.load_sender = closed;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Opens a listener on all loopback addresses, which is reachable by the loopback interface only.
fn listen() -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.bind_device(Some(b"lo"))?;
    socket.bind(SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)))?;
    socket.listen(BACKLOG)
}

async fn run_backends_and_clients(
    listener: TcpListener,
    mut load_receiver: UnboundedReceiver<(Vec<SocketAddr>, f64)>,
    state: Arc<SharedState>,
) {
    let backend_state = Arc::clone(&state);
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::task::spawn_local(run_backend_connection(stream, Arc::clone(&backend_state)));
        }
    });
    while let Some((proxies, per_s)) = load_receiver.recv().await {
        for (number, proxy) in proxies.into_iter().enumerate() {
            for client in 0..CLIENTS_PER_PROXY {
                let client_number = (number * CLIENTS_PER_PROXY + client) as u64;
                tokio::task::spawn_local(run_client(
                    proxy,
                    per_s / CLIENTS_PER_PROXY as f64,
                    client_number,
                    Arc::clone(&state),
                ));
            }
        }
    }
}

async fn run_backend_connection(mut stream: TcpStream, state: Arc<SharedState>) {
    let number = stream.local_addr().ok().and_then(|address| match address {
        SocketAddr::V4(address) => Population::backend_number(*address.ip()),
        SocketAddr::V6(_) => None,
    });
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Ok(Some(_)) = http1::read(&mut stream, &mut buffer, http1::MessageKind::Request).await {
        if let Some(number) = number {
            let mut arrivals = state.arrivals.lock().unwrap_or_else(PoisonError::into_inner);
            if arrivals.len() < MAX_ARRIVALS {
                arrivals.push((messages::unix_time_us(), number as u32));
            }
        }
        if http1::write_response(&mut stream, "200 OK", "", b"served").await.is_err() {
            return;
        }
    }
}

/// Runs one client: sends one request at a time on one connection, which is reopened after an error.
async fn run_client(proxy: SocketAddr, per_s: f64, client_number: u64, state: Arc<SharedState>) {
    let add = |counter: &AtomicU64| counter.fetch_add(1, Ordering::Relaxed);
    let pause = Duration::from_secs_f64(1.0 / per_s.max(0.01));
    sleep(pause.mul_f64((client_number % 16) as f64 / 16.0)).await;
    let mut connection: Option<TcpStream> = None;
    let mut request_number = client_number << 32;
    while !state.stopped.load(Ordering::Relaxed) {
        request_number += 1;
        let exchange = async {
            let mut stream = match connection.take() {
                Some(stream) => stream,
                None => TcpStream::connect(proxy).await?,
            };
            let request = format!(
                "GET /read?key={request_number:x} HTTP/1.1\r\nHost: rig\r\nX-Correlation-Id: {request_number:016x}\r\n\
                 X-Service-Class: read\r\nX-Time-Left-Ms: {DEADLINE_MS}\r\n\r\n"
            );
            stream.write_all(request.as_bytes()).await?;
            let response = http1::read(&mut stream, &mut Vec::new(), http1::MessageKind::Response).await?;
            Ok::<_, io::Error>((stream, response))
        };
        add(&state.sent);
        match timeout(RESPONSE_TIMEOUT, exchange).await {
            Ok(Ok((stream, Some(response)))) => {
                match (response.status, response.body.as_slice()) {
                    (200, b"served") => add(&state.served),
                    (429 | 503, _) => add(&state.rejected),
                    _ => add(&state.failed),
                };
                connection = (!response.closes()).then_some(stream);
            }
            // No response: the request failed or timed out, or the proxy closed an idle connection while the
            // request was sent.
            Ok(Ok((_, None)) | Err(_)) | Err(_) => {
                add(&state.unanswered);
            }
        }
        sleep(pause).await;
    }
}

/// Real proxies and their agents.
pub struct RealProxies {
    agents: Vec<ControlNode>,
    processes: Vec<Process>,
    // Reserve the addresses of the proxies.
    instances: Vec<ProxyInstance>,
}

impl RealProxies {
    /// Starts the agents, then the proxies, and waits until the proxies are ready.
    ///
    /// # Errors
    /// If an agent or proxy can't be started, or a proxy does not become ready.
    pub async fn start(
        population: &Population,
        network: &Network,
        starter: &ProcessStarter<'_>,
        machine: &RunEnvironment,
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
        let mut real = Self { agents: Vec::new(), processes: Vec::new(), instances: Vec::new() };
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
            let mut instance = ProxyInstance::new(starter.folder, number, agent.address())?;
            let empty_list = json!({"revision": 0, "complete": true, "members": []});
            real.processes.push(instance.start(&script, machine, &empty_list)?);
            real.instances.push(instance);
        }
        for (number, process) in real.processes.iter_mut().enumerate() {
            if !process.is_ready().await {
                let last = process.log_tail();
                return Err(ScaleError::ProgramFailed(
                    format!("proxy {number}"),
                    "did not become ready".into(),
                    last,
                ));
            }
        }
        Ok(real)
    }

    /// The addresses at which clients reach the proxies.
    #[must_use]
    pub fn proxies(&self) -> Vec<SocketAddr> {
        self.instances.iter().map(ProxyInstance::listen).collect()
    }

    /// Reads the complete discovery list that an agent serves to its proxy, by id.
    ///
    /// # Errors
    /// If the agent does not serve a list in time.
    pub async fn discovery_list(&self, number: usize) -> Result<BTreeMap<String, Entry>, ScaleError> {
        let agent = &self.agents[number];
        let failed = |problem: String| ScaleError::ProgramFailed(agent.name.clone(), problem, String::new());
        let read = async {
            let mut stream = TcpStream::connect(agent.address()).await?;
            stream.write_all(b"GET /discovery/hosts HTTP/1.1\r\nHost: rig\r\n\r\n").await?;
            http1::read(&mut stream, &mut Vec::new(), http1::MessageKind::Response).await
        };
        let response = timeout(RESPONSE_TIMEOUT, read).await.map_err(|e| failed(e.to_string()))?;
        let response = response?.filter(|response| response.status == 200);
        let response = response.ok_or_else(|| failed("serves no discovery list".into()))?;
        let list: Value = serde_json::from_slice(&response.body).map_err(|e| failed(e.to_string()))?;
        let members = list["members"].as_array().ok_or_else(|| failed("serves no discovery list".into()))?;
        let text = |member: &Value, key: &str| member[key].as_str().unwrap_or_default().to_owned();
        let entry = |m: &Value| (text(m, "id"), (text(m, "host_port"), text(m, "phase")));
        Ok(members.iter().map(entry).collect())
    }

    /// Memory of all proxies, bytes.
    #[must_use]
    pub fn proxies_memory(&self) -> u64 {
        self.processes.iter().map(Process::resident_bytes).sum()
    }

    /// Processor time so far (seconds) and memory (bytes) of each agent.
    #[must_use]
    pub fn agent_usage(&self) -> Vec<(f64, u64)> {
        let programs = self.agents.iter().filter_map(|agent| agent.program.as_ref());
        programs.map(|program| (program.cpu_s(), program.memory())).collect()
    }

    /// Checks that all agents and proxies are running.
    ///
    /// # Errors
    /// The first process that has exited.
    pub fn check_running(&mut self) -> Result<(), ScaleError> {
        for program in self.agents.iter_mut().filter_map(|agent| agent.program.as_mut()) {
            program.check_running()?;
        }
        for (number, process) in self.processes.iter_mut().enumerate() {
            if let Some(status) = process.exit_status() {
                let (problem, last) = (format!("exited by itself ({status})"), process.log_tail());
                return Err(ScaleError::ProgramFailed(format!("proxy {number}"), problem, last));
            }
        }
        Ok(())
    }
}
