//! A process of simulated proxies. Each has the real subscriber, its own connection and the real selection of
//! a relay, but no traffic. All of them share one thread. The testbed sends commands over one connection, and
//! reads their replicas.

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

/// Length of the window over which the maximum of received bytes is computed, seconds.
const WINDOW_S: usize = 10;

/// Bytes received in total, and the maximum over any [`WINDOW_S`] seconds.
#[derive(Debug, Default)]
struct ReceivedBytes {
    total: u64,
    max_in_window: u64,
    /// Bytes of the last seconds: a ring buffer, indexed by second.
    per_second: [u64; WINDOW_S],
    second: u64,
}

impl ReceivedBytes {
    fn add(&mut self, second: u64, bytes: u64) {
        let elapsed = second.saturating_sub(self.second).min(WINDOW_S as u64);
        for past in 0..elapsed {
            self.per_second[((second - past) % WINDOW_S as u64) as usize] = 0;
        }
        self.second = self.second.max(second);
        self.per_second[(self.second % WINDOW_S as u64) as usize] += bytes;
        self.total += bytes;
        self.max_in_window = self.max_in_window.max(self.per_second.iter().sum());
    }
}

/// One simulated proxy, from one start to the next.
struct SimulatedProxy {
    shared: Rc<Shared>,
    subscriber: Subscriber,
    fault_injector: FaultInjector,
    version_monitor: VersionMonitor,
    bytes: ReceivedBytes,
    group: u16,
    /// Whether updates are counted: not while the replica is filled after a start.
    counts_updates: bool,
    welcomes: u32,
    /// Number of records of the complete replica.
    expected_records: u32,
    /// As [`SimulatedProxyCost::full`].
    full: (u64, u64),
}

/// A simulated proxy with its configuration; it is running while it has a task.
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
    fn new(
        spec: &SimulatedProxySpec,
        fault: InjectedFault,
        expected_records: u32,
        shared: &Rc<Shared>,
    ) -> Self {
        let scope = Scope::Services(spec.scope.iter().copied().collect());
        Self {
            shared: Rc::clone(shared),
            subscriber: Subscriber::new(&spec.name, scope),
            fault_injector: FaultInjector::new(fault),
            version_monitor: VersionMonitor::default(),
            bytes: ReceivedBytes::default(),
            group: spec.group,
            counts_updates: false,
            welcomes: 0,
            expected_records,
            full: (messages::unix_time_us(), 0),
        }
    }

    fn heads(&self) -> BTreeMap<SourceId, Version> {
        self.subscriber.stores().map(|(source, store)| (source, store.head())).collect()
    }

    fn records(&self) -> Vec<ReplicaRecord> {
        let all = self.subscriber.stores();
        all.flat_map(|(source, store)| {
            store.live_records().map(move |r| ReplicaRecord::from_record(source, r))
        })
        .collect()
    }
}

impl DownstreamNode for SimulatedProxy {
    fn hello(&mut self) -> Message {
        self.fault_injector.outgoing(self.subscriber.hello())
    }

    fn on_message(&mut self, message: Message, now: Millis) -> Result<Vec<Message>, SessionError> {
        self.version_monitor.observe_epoch(&message);
        let Some(message) = self.fault_injector.incoming(message) else { return Ok(Vec::new()) };
        let source = match &message {
            Message::Batch { source, .. } | Message::ServiceSnapshot { source, .. } => Some(*source),
            _ => None,
        };
        let update = self.subscriber.on_message(message, now)?;
        if let Some(source) = source {
            let at = messages::unix_time_us();
            for applied in &update.applied {
                let from = self.version_monitor.on_applied(source, &applied.record);
                if self.counts_updates {
                    self.shared.tallies.borrow_mut().add(source, &applied.record, from, self.group, at);
                }
            }
            let (live, expected) =
                (u64::from(self.version_monitor.live_records()), u64::from(self.expected_records));
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

    fn on_transferred(&mut self, received: u64, _sent: u64) {
        self.bytes.add(self.shared.clock.now() / 1_000, received);
    }
}

/// All simulated proxies of a process.
struct ProxyHost {
    shared: Rc<Shared>,
    slots: BTreeMap<u32, ProxySlot>,
    faulty_proxy: FaultyProxy,
}

impl ProxyHost {
    fn start(&mut self, number: u32, expected_records: u32) {
        let Some(slot) = self.slots.get_mut(&number) else { return };
        if let Some(task) = slot.task.take() {
            task.abort();
        }
        let fault = self.faulty_proxy.fault_of(number);
        slot.proxy =
            Rc::new(RefCell::new(SimulatedProxy::new(&slot.spec, fault, expected_records, &self.shared)));
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
            let positions = proxy.heads();
            let lacking = |&&(source, head): &&(SourceId, Version)| positions.get(&source) != Some(&head);
            heads.iter().find(lacking).map(|(source, head)| {
                format!(
                    "{} is at {:?} of source {source}, not at {head:?}",
                    slot.spec.name,
                    positions.get(source)
                )
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
        let (mut proxies, mut violations, mut monitor_memory_bytes) = (Vec::new(), Vec::new(), 0);
        for (number, slot) in self.running() {
            let mut proxy = slot.proxy.borrow_mut();
            let bytes = std::mem::take(&mut proxy.bytes);
            proxies.push(SimulatedProxyCost {
                number,
                bytes: bytes.total,
                worst_ten: bytes.max_in_window,
                records: proxy.version_monitor.live_records(),
                welcomes: proxy.welcomes,
                full: proxy.full,
            });
            monitor_memory_bytes += proxy.version_monitor.memory_bytes();
            violations.extend(proxy.version_monitor.violations().iter().map(|text| (number, text.clone())));
        }
        Response::Costs { proxies, monitor_memory_bytes, violations }
    }

    fn assign(&mut self, specs: Vec<SimulatedProxySpec>, fault: InjectedFault) {
        self.faulty_proxy.assign(specs.iter().map(|spec| spec.number), fault);
        for spec in specs {
            let proxy = self.stopped_proxy(&spec);
            self.slots.insert(spec.number, ProxySlot { spec, proxy, task: None });
        }
    }

    /// Stops proxies and discards their replicas. All tasks are aborted before the first replica is
    /// discarded.
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

    /// Executes a command and sends the response. Returns `false` if the process must exit.
    async fn execute(&mut self, command: Command, to: &mut OwnedWriteHalf) -> io::Result<bool> {
        let response = match command {
            Command::Start { proxies, fault } => {
                self.assign(proxies, fault);
                Response::Done
            }
            Command::StartCounting => {
                let _ = self.shared.tallies.borrow_mut().take();
                for (_, slot) in self.running() {
                    let mut proxy = slot.proxy.borrow_mut();
                    proxy.counts_updates = true;
                    proxy.fault_injector.arm();
                }
                Response::Done
            }
            Command::Behind { heads } => self.behind(&heads),
            Command::ReadReplicas { numbers } => {
                let requested: Option<HashSet<u32>> = numbers.map(|numbers| numbers.into_iter().collect());
                for (number, slot) in self.running() {
                    if requested.as_ref().is_none_or(|requested| requested.contains(&number)) {
                        let records = slot.proxy.borrow().records();
                        messages::write(to, &Response::Records { number, records }).await?;
                    }
                }
                Response::Done
            }
            Command::Stop { numbers } => {
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
                let (tallies, uncounted) = self.shared.tallies.borrow_mut().take();
                self.running().for_each(|(_, slot)| slot.proxy.borrow_mut().counts_updates = true);
                Response::Tallies { tallies, uncounted }
            }
            Command::Costs => self.costs(),
            Command::Quit => return Ok(false),
        };
        messages::write(to, &response).await?;
        Ok(true)
    }
}

/// Executes the commands of the testbed that listens at this address, until it sends [`Command::Quit`] or
/// closes the connection.
///
/// # Errors
/// If the testbed can't be reached, the connection breaks, or a command is invalid.
pub fn serve(testbed: SocketAddr) -> io::Result<()> {
    crate::fleet::process_guard::raise_descriptor_limit()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let stream = TcpStream::connect(testbed).await?;
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
