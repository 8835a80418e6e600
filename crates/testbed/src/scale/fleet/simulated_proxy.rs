//! A process of simulated proxies: each is the real subscriber with its own connection and the real choice of a relay, but
//! no traffic. They share one thread. The testbed sends commands over one connection, and reads their replicas.

use super::fault_injection::{FaultInjector, FaultyProxy};
use super::messages::{
    self, Command, InjectedFault, MAX_MESSAGE_BYTES, ReplicaRecord, Response, SimulatedProxyCost,
    SimulatedProxySpec,
};
use super::version_monitor::{Tallies, VersionMonitor};
use control_plane::Millis;
use control_plane::message::Message;
use control_plane::record::{Scope, SourceId, Version};
use control_plane::runtime::Clock;
use control_plane::runtime::upstream_link::{DownstreamNode, UpstreamAddress, follow};
use control_plane::session::SessionError;
use control_plane::subscriber::Subscriber;
use std::cell::RefCell;
use std::collections::{BTreeMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::task::{JoinHandle, LocalSet};

/// Seconds of which the worst sum of bytes is kept.
const WINDOW: usize = 10;

/// Bytes received, and the maximum over any ten seconds.
#[derive(Debug, Default)]
struct Bytes {
    all: u64,
    worst: u64,
    seconds: [u64; WINDOW],
    second: u64,
}

impl Bytes {
    fn add(&mut self, second: u64, bytes: u64) {
        let passed = second.saturating_sub(self.second).min(WINDOW as u64);
        for gone in 0..passed {
            self.seconds[((second - gone) % WINDOW as u64) as usize] = 0;
        }
        self.second = self.second.max(second);
        self.seconds[(self.second % WINDOW as u64) as usize] += bytes;
        self.all += bytes;
        self.worst = self.worst.max(self.seconds.iter().sum());
    }
}

/// One simulated proxy, from a start to the next.
struct SimulatedProxy {
    shared: Rc<Shared>,
    subscriber: Subscriber,
    fault_injector: FaultInjector,
    version_monitor: VersionMonitor,
    bytes: Bytes,
    group: u16,
    /// Whether updates are counted: not while the replica is filled after a start.
    counts: bool,
    welcomes: u32,
    expected: u32,
    full: (u64, u64),
}

struct ProxySlot {
    spec: SimulatedProxySpec,
    proxy: Rc<RefCell<SimulatedProxy>>,
    task: Option<JoinHandle<()>>,
}

/// State that all simulated proxies of a process share.
struct Shared {
    clock: Clock,
    tallies: RefCell<Tallies>,
}

impl SimulatedProxy {
    fn new(spec: &SimulatedProxySpec, fault: InjectedFault, expected: u32, shared: &Rc<Shared>) -> Self {
        let scope = Scope::Services(spec.scope.iter().copied().collect());
        Self {
            shared: Rc::clone(shared),
            subscriber: Subscriber::new(&spec.name, scope),
            fault_injector: FaultInjector::new(fault),
            version_monitor: VersionMonitor::default(),
            bytes: Bytes::default(),
            group: spec.group,
            counts: false,
            welcomes: 0,
            expected,
            full: (messages::now(), 0),
        }
    }

    fn heads(&self) -> BTreeMap<SourceId, Version> {
        self.subscriber.stores().map(|(source, store)| (source, store.head())).collect()
    }

    fn records(&self) -> Vec<ReplicaRecord> {
        let all = self.subscriber.stores();
        all.flat_map(|(source, store)| store.live_records().map(move |r| ReplicaRecord::of(source, r)))
            .collect()
    }
}

impl DownstreamNode for SimulatedProxy {
    fn hello(&mut self) -> Message {
        self.fault_injector.out(self.subscriber.hello())
    }

    fn on_message(&mut self, message: Message, now: Millis) -> Result<Vec<Message>, SessionError> {
        self.version_monitor.observe_epoch(&message);
        let Some(message) = self.fault_injector.pass(message) else { return Ok(Vec::new()) };
        let source = match &message {
            Message::Batch { source, .. } | Message::ServiceSnapshot { source, .. } => Some(*source),
            _ => None,
        };
        let update = self.subscriber.on_message(message, now)?;
        if let Some(source) = source {
            let at = messages::now();
            for applied in &update.applied {
                let from = self.version_monitor.applied(source, &applied.record);
                if self.counts {
                    self.shared.tallies.borrow_mut().add(source, &applied.record, from, self.group, at);
                }
            }
            let (live, expected) = (u64::from(self.version_monitor.live()), u64::from(self.expected));
            if self.full.1 == 0 && live * 100 >= expected * 99 {
                self.full.1 = at;
            }
        }
        Ok(update.replies)
    }

    fn tick(&mut self, now: Millis) -> Vec<Message> {
        self.subscriber.tick(now)
    }

    fn on_connected(&mut self, _upstream: &str) {
        self.welcomes += 1;
    }

    fn on_transferred(&mut self, came: u64, _went: u64) {
        self.bytes.add(self.shared.clock.now() / 1_000, came);
    }
}

/// All simulated proxies of a process.
struct ProxyHost {
    shared: Rc<Shared>,
    slots: BTreeMap<u32, ProxySlot>,
    faulty_proxy: FaultyProxy,
}

impl ProxyHost {
    fn start(&mut self, number: u32, expected: u32) {
        let Some(slot) = self.slots.get_mut(&number) else { return };
        if let Some(task) = slot.task.take() {
            task.abort();
        }
        let fault = self.faulty_proxy.fault_of(number);
        slot.proxy = Rc::new(RefCell::new(SimulatedProxy::new(&slot.spec, fault, expected, &self.shared)));
        let (node, spec, clock) = (Rc::clone(&slot.proxy), slot.spec.clone(), self.shared.clock);
        slot.task = Some(tokio::task::spawn_local(async move {
            let relays =
                spec.relays.into_iter().map(|(name, address)| UpstreamAddress { name, address }).collect();
            follow(node, relays, &spec.name, u64::from(number), clock).await;
        }));
    }

    fn running(&self) -> impl Iterator<Item = (u32, &ProxySlot)> {
        self.slots.iter().filter(|(_, slot)| slot.task.is_some()).map(|(&number, slot)| (number, slot))
    }

    fn behind(&self, heads: &[(SourceId, Version)]) -> Response {
        let describe_lag = |slot: &ProxySlot| {
            let proxy = slot.proxy.borrow();
            let has = proxy.heads();
            let lacking = |&&(source, head): &&(SourceId, Version)| has.get(&source) != Some(&head);
            heads.iter().find(lacking).map(|(source, head)| {
                format!("{} has {:?} of source {source}, not {head:?}", slot.spec.name, has.get(source))
            })
        };
        let mut count = 0;
        let mut example = None;
        for text in self.running().filter_map(|(_, slot)| describe_lag(slot)) {
            count += 1;
            example.get_or_insert(text);
        }
        Response::Behind { count, example }
    }

    fn costs(&self) -> Response {
        let (mut each, mut breaks, mut watchers) = (Vec::new(), Vec::new(), 0);
        for (number, slot) in self.running() {
            let mut proxy = slot.proxy.borrow_mut();
            let bytes = std::mem::take(&mut proxy.bytes);
            each.push(SimulatedProxyCost {
                number,
                bytes: bytes.all,
                worst_ten: bytes.worst,
                records: proxy.version_monitor.live(),
                welcomes: proxy.welcomes,
                full: proxy.full,
            });
            watchers += proxy.version_monitor.bytes();
            breaks.extend(proxy.version_monitor.breaks().iter().map(|text| (number, text.clone())));
        }
        Response::Costs { each, watchers, breaks }
    }

    fn assign(&mut self, specs: Vec<SimulatedProxySpec>, fault: InjectedFault) {
        self.faulty_proxy.assign(specs.iter().map(|spec| spec.number), fault);
        for spec in specs {
            let proxy = self.stopped_proxy(&spec);
            self.slots.insert(spec.number, ProxySlot { spec, proxy, task: None });
        }
    }

    /// Aborts all tasks before the first replica is discarded.
    fn stop(&mut self, numbers: &[u32]) {
        for slot in numbers.iter().filter_map(|number| self.slots.get(number)) {
            if let Some(task) = &slot.task {
                task.abort();
            }
        }
        for number in numbers {
            let Some(spec) = self.slots.get(number).map(|slot| slot.spec.clone()) else { continue };
            let proxy = self.stopped_proxy(&spec);
            self.slots.insert(*number, ProxySlot { spec, proxy, task: None });
        }
    }

    fn stopped_proxy(&self, spec: &SimulatedProxySpec) -> Rc<RefCell<SimulatedProxy>> {
        let proxy = SimulatedProxy::new(spec, InjectedFault::None, u32::MAX, &self.shared);
        Rc::new(RefCell::new(proxy))
    }

    /// Executes a command and sends the response. Returns whether the process continues.
    async fn execute(&mut self, command: Command, to: &mut OwnedWriteHalf) -> io::Result<bool> {
        let response = match command {
            Command::Start { proxies, fault } => {
                self.assign(proxies, fault);
                Response::Done
            }
            Command::Begin => {
                let _ = self.shared.tallies.borrow_mut().take();
                for (_, slot) in self.running() {
                    let mut proxy = slot.proxy.borrow_mut();
                    proxy.counts = true;
                    proxy.fault_injector.arm();
                }
                Response::Done
            }
            Command::Behind { heads } => self.behind(&heads),
            Command::Dump { numbers } => {
                let asked: Option<HashSet<u32>> = numbers.map(|numbers| numbers.into_iter().collect());
                for (number, slot) in self.running() {
                    if asked.as_ref().is_none_or(|asked| asked.contains(&number)) {
                        let records = slot.proxy.borrow().records();
                        messages::write(to, &Response::Records { number, records }).await?;
                    }
                }
                Response::Done
            }
            Command::End { numbers } => {
                self.stop(&numbers);
                Response::Done
            }
            Command::Restart { numbers } => {
                for (number, expected) in numbers {
                    self.start(number, expected);
                }
                Response::Done
            }
            Command::Tallies => {
                let (tallies, forgotten) = self.shared.tallies.borrow_mut().take();
                self.running().for_each(|(_, slot)| slot.proxy.borrow_mut().counts = true);
                Response::Tallies { tallies, forgotten }
            }
            Command::Costs => self.costs(),
            Command::Quit => return Ok(false),
        };
        messages::write(to, &response).await?;
        Ok(true)
    }
}

/// Serves the testbed that listens at this address, until it sends [`Command::Quit`] or closes the connection.
///
/// # Errors
/// If it can't be reached, or sends an invalid command.
pub fn serve(rig: SocketAddr) -> io::Result<()> {
    crate::fleet::process_guard::all_descriptors()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let stream = TcpStream::connect(rig).await?;
        stream.set_nodelay(true)?;
        let (mut from, mut to) = stream.into_split();
        let shared = Rc::new(Shared { clock: Clock::start(), tallies: RefCell::default() });
        let mut host = ProxyHost { shared, slots: BTreeMap::new(), faulty_proxy: FaultyProxy::default() };
        while let Some((_, command)) = messages::read(&mut from, MAX_MESSAGE_BYTES).await? {
            if !host.execute(command, &mut to).await? {
                break;
            }
        }
        Ok(())
    })
}
