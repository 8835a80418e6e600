//! Many subscribers in one thread over TCP connections, with a paused clock that advances while all tasks
//! wait.

mod test_directory;

use control_plane::Millis;
use control_plane::codec::{FrameReader, FrameWriter};
use control_plane::config::{RateLimitConfig, RelayConfig, SourceAddress, SourceConfig};
use control_plane::failover::Failover;
use control_plane::message::Message;
use control_plane::record::{Change, RecordKey, RecordKind, RecordState, Scope};
use control_plane::runtime::Clock;
use control_plane::runtime::upstream_link::{DownstreamNode, LinkError, UpstreamAddress, follow};
use control_plane::runtime::writer::Writer;
use control_plane::runtime::{relay, source};
use control_plane::session::SessionError;
use control_plane::subscriber::Subscriber;
use std::cell::{Cell, RefCell};
use std::future::pending;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;
use test_directory::TestDirectory;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout};

/// Time limit of each wait, in virtual time.
const TIMEOUT: Duration = Duration::from_secs(7_200);
const FOLLOWERS: usize = 120;

/// An unused address, outside the range of the tests with real processes.
fn address() -> SocketAddr {
    static USED: AtomicU16 = AtomicU16::new(0);
    let [high, low, ..] = (std::process::id() as u16).to_be_bytes();
    let used = USED.fetch_add(1, Ordering::Relaxed);
    SocketAddrV4::new(Ipv4Addr::new(127, 192 + (used % 32) as u8, high, low), 7500 + used / 32).into()
}

/// The task of a node with all its connections, aborted when this is dropped.
struct TaskGuard(JoinHandle<()>);

impl Drop for TaskGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

fn start_relay(config: RelayConfig, rate_limit: RateLimitConfig) -> TaskGuard {
    // The relay has its own task set, so aborting the task ends its connections too.
    TaskGuard(spawn_local(async move {
        LocalSet::new().run_until(relay::run(&config, &rate_limit, pending())).await.expect("it runs");
    }))
}

fn start_source(directory: &TestDirectory, listen: SocketAddr) -> TaskGuard {
    let config = SourceConfig {
        id: 1,
        name: "s".into(),
        listen,
        snapshot_path: directory.file("source.snapshot"),
        snapshot_interval_ms: 3_600_000,
        max_connections: 8,
    };
    TaskGuard(spawn_local(async move {
        let rate_limit = RateLimitConfig::default();
        LocalSet::new().run_until(source::run(&config, &rate_limit, pending())).await.expect("it runs");
    }))
}

/// A subscriber that counts its connections and messages.
struct CountingNode {
    subscriber: Subscriber,
    /// The connected relay.
    current_relay: Option<String>,
    /// Calls of `on_connected`.
    connections: usize,
    /// Received welcomes.
    welcomes: usize,
    /// Connections that replaced an open one.
    moves: usize,
    losses: usize,
    applied_records: usize,
    received_bytes: u64,
}

impl CountingNode {
    /// A subscriber of service 1.
    fn new(name: &str) -> Self {
        Self {
            subscriber: Subscriber::new(name, Scope::Services([1].into())),
            current_relay: None,
            connections: 0,
            welcomes: 0,
            moves: 0,
            losses: 0,
            applied_records: 0,
            received_bytes: 0,
        }
    }
}

impl DownstreamNode for CountingNode {
    fn hello(&mut self) -> Message {
        self.subscriber.hello()
    }
    fn on_message(&mut self, message: Message, now: Millis) -> Result<Vec<Message>, SessionError> {
        self.welcomes += usize::from(matches!(message, Message::Welcome { .. }));
        let outcome = self.subscriber.on_message(message, now)?;
        self.applied_records += outcome.applied.len();
        Ok(outcome.replies)
    }
    fn tick(&mut self, now: Millis) -> Vec<Message> {
        self.subscriber.tick(now)
    }
    fn on_connected(&mut self, upstream: &str) {
        self.connections += 1;
        if self.current_relay.replace(upstream.to_owned()).is_some() {
            self.moves += 1;
        }
    }
    fn on_lost(&mut self, _: &str, _: &LinkError) {
        self.current_relay = None;
        self.losses += 1;
    }
    fn on_transferred(&mut self, received_bytes: u64, _: u64) {
        self.received_bytes += received_bytes;
    }
}

/// A listener that accepts connections and sends nothing on them.
struct SilentListener {
    accepted: Rc<Cell<usize>>,
    _task: TaskGuard,
}

impl SilentListener {
    async fn bind(address: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).await.expect("a free address");
        let accepted = Rc::new(Cell::new(0));
        let count = Rc::clone(&accepted);
        let task = TaskGuard(spawn_local(async move {
            let mut connections = Vec::new();
            loop {
                connections.push(listener.accept().await.expect("a connection"));
                count.set(count.get() + 1);
            }
        }));
        Self { accepted, _task: task }
    }
}

async fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting for: {what}");
        sleep(Duration::from_millis(100)).await;
    }
}

fn change(name: String) -> Change {
    change_of_size(name, 30)
}

fn change_of_size(name: String, bytes: usize) -> Change {
    let key = RecordKey { service: 1, kind: RecordKind::Route, name: name.into() };
    Change { key, state: RecordState::Active, body: vec![1; bytes].into() }
}

/// Nodes each of which is connected to one of several relays.
struct Followers {
    relays: Vec<String>,
    nodes: Vec<Rc<RefCell<CountingNode>>>,
    /// The names of the preferred relays, by node.
    preferred_relays: Vec<String>,
}

impl Followers {
    fn start(relays: &[UpstreamAddress]) -> Self {
        let clock = Clock::start();
        let names: Vec<String> = relays.iter().map(|relay| relay.name.clone()).collect();
        let start = |n: usize| {
            let name = format!("agent-{n}");
            let node = Rc::new(RefCell::new(CountingNode::new(&name)));
            let (followed, relays) = (Rc::clone(&node), relays.to_vec());
            spawn_local(async move { follow(followed, relays, &name, n as u64, clock).await });
            node
        };
        let nodes = (0..FOLLOWERS).map(start).collect();
        let preferred = |n| Failover::new(&format!("agent-{n}"), &names, 0).order()[0];
        let preferred_relays = (0..FOLLOWERS).map(|n| names[preferred(n)].clone()).collect();
        Self { relays: names, nodes, preferred_relays }
    }

    /// Whether each node is connected to its preferred relay.
    fn all_on_preferred(&self) -> bool {
        let mut nodes = self.nodes.iter().zip(&self.preferred_relays);
        nodes.all(|(node, preferred)| node.borrow().current_relay.as_ref() == Some(preferred))
    }

    /// Whether each node is connected, and none to the first relay.
    fn none_on_first(&self) -> bool {
        self.all(|node| node.current_relay.as_ref().is_some_and(|relay| *relay != self.relays[0]))
    }

    /// The number of nodes that prefer the first relay.
    fn count_preferring_first(&self) -> usize {
        self.preferred_relays.iter().filter(|relay| **relay == self.relays[0]).count()
    }

    fn all(&self, condition: impl Fn(&CountingNode) -> bool) -> bool {
        self.nodes.iter().all(|node| condition(&node.borrow()))
    }

    fn losses(&self) -> usize {
        self.nodes.iter().map(|node| node.borrow().losses).sum()
    }

    fn moves(&self) -> usize {
        self.nodes.iter().map(|node| node.borrow().moves).sum()
    }
}

#[tokio::test(start_paused = true)]
async fn followers_spread_over_relays_and_return_to_a_restored_one() {
    LocalSet::new().run_until(run_failover()).await;
}

async fn run_failover() {
    let (directory, source) = (TestDirectory::new("spread"), address());
    let _source = start_source(&directory, source);
    let relays: Vec<UpstreamAddress> =
        (0..3).map(|n| UpstreamAddress { name: format!("relay-{n}"), address: address() }).collect();
    let start = |relay: &UpstreamAddress| {
        let sources = vec![SourceAddress { id: 1, address: source }];
        let (name, listen) = (relay.name.clone(), relay.address);
        let config = RelayConfig { name, listen, sources, max_connections: FOLLOWERS };
        start_relay(config, RateLimitConfig::default())
    };
    let mut running: Vec<_> = relays.iter().map(|relay| Some(start(relay))).collect();
    let followers = Followers::start(&relays);
    wait_for("all connected to the preferred relay", || followers.all_on_preferred()).await;
    let preferring_first = followers.count_preferring_first();
    assert!(
        (FOLLOWERS / 6..FOLLOWERS / 2).contains(&preferring_first),
        "{preferring_first} of {FOLLOWERS} prefer one of three"
    );

    let mut writer = Writer::connect(source).await.expect("the source");
    writer.write((0..10).map(|n| change(format!("r-{n}"))).collect()).await.expect("written");
    wait_for("all records", || followers.all(|node| node.applied_records == 10)).await;

    // Only the subscribers of the stopped relay connect to another one.
    running[0] = None;
    wait_for("all on the others", || followers.none_on_first()).await;
    let disconnected = followers.nodes.iter().filter(|node| node.borrow().losses > 0).count();
    assert_eq!(disconnected, preferring_first);
    writer.write(vec![change("r-10".into())]).await.expect("written");
    wait_for("the next record", || followers.all(|node| node.applied_records == 11)).await;

    // A listener that sends nothing: the subscribers probe it without closing their working connection.
    let losses = followers.losses();
    let listener = SilentListener::bind(relays[0].address).await;
    wait_for("retried probes", || listener.accepted.get() > preferring_first).await;
    sleep(Duration::from_secs(10)).await;
    assert!(followers.none_on_first());
    assert_eq!(followers.losses(), losses);
    assert_eq!(followers.moves(), 0);
    drop(listener);

    // The relay is restored: the subscribers return to it without a lost connection or a duplicate record.
    running[0] = Some(start(&relays[0]));
    wait_for("all back at the preferred relay", || followers.all_on_preferred()).await;
    writer.write(vec![change("r-11".into())]).await.expect("written");
    wait_for("the last record", || followers.all(|node| node.applied_records == 12)).await;
    assert_eq!(followers.losses(), losses);
    assert_eq!(followers.moves(), preferring_first);
    assert!(followers.all(|node| node.received_bytes > 0));
    // Each new connection delivers its welcome, after which the node retries its pending requests.
    assert!(followers.all(|node| node.connections == node.welcomes));
}

/// A subscriber that reads nothing for half a minute is disconnected. It can reconnect and resume at its
/// position.
#[tokio::test(start_paused = true)]
async fn disconnects_a_stalled_subscriber_which_resumes_at_its_position() {
    LocalSet::new().run_until(run_stalled_subscriber()).await;
}

/// Number of records, which exceed the buffers of a connection in total.
const RECORDS: usize = 40;
/// Length of their bodies.
const BODY_BYTES: usize = 60_000;

async fn run_stalled_subscriber() {
    let (directory, source, relay) = (TestDirectory::new("stalled"), address(), address());
    let _source = start_source(&directory, source);
    let sources = vec![SourceAddress { id: 1, address: source }];
    let config = RelayConfig { name: "r".into(), listen: relay, sources, max_connections: 4 };
    let rate_limit = RateLimitConfig {
        agent_bytes_per_s: 1 << 29,
        agent_burst_bytes: 1 << 29,
        ..RateLimitConfig::default()
    };
    let _relay = start_relay(config, rate_limit);
    let mut writer = loop {
        match Writer::connect(source).await {
            Ok(writer) => break writer,
            Err(_) => sleep(Duration::from_millis(10)).await,
        }
    };
    let changes = (0..RECORDS).map(|n| change_of_size(format!("r-{n}"), BODY_BYTES)).collect();
    writer.write_parts(changes).await.expect("written");

    let mut subscriber = Subscriber::new("stalled", Scope::All);
    let mut connections = 0;
    let deadline = Instant::now() + TIMEOUT;
    while stored_records(&subscriber) < RECORDS {
        let stored = stored_records(&subscriber);
        assert!(Instant::now() < deadline, "{stored} of {RECORDS} after {connections} connections");
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_recv_buffer_size(128 << 10).expect("a buffer");
        let Ok(stream) = socket.connect(relay).await else {
            sleep(Duration::from_millis(10)).await;
            continue;
        };
        // On the first connection the subscriber stalls after the first records.
        receive_records(&mut subscriber, stream, connections == 0).await;
        connections += 1;
    }
    assert_eq!(connections, 2, "disconnected once, and complete after that");
}

fn stored_records(subscriber: &Subscriber) -> usize {
    subscriber.stores().map(|(_, store)| store.live_count()).sum()
}

/// Receives from a relay until the connection ends or all records are stored. If `stalls` is set, reading
/// pauses for two minutes after the first records.
async fn receive_records(subscriber: &mut Subscriber, stream: TcpStream, mut stalls: bool) {
    let (reader, writer) = stream.into_split();
    let (mut reader, mut writer) = (FrameReader::new(reader), FrameWriter::new(writer));
    writer.write(&subscriber.hello()).await.expect("sent");
    while let Ok(Some(message)) = timeout(TIMEOUT, reader.read()).await.expect("a message in time") {
        // The records arrive in a snapshot, or in batches if the relay connected before they were written.
        let has_records = match &message {
            Message::ServiceSnapshot { records, .. } | Message::Batch { records, .. } => !records.is_empty(),
            _ => false,
        };
        for reply in subscriber.on_message(message, 0).expect("accepted").replies {
            writer.write(&reply).await.expect("sent");
        }
        if has_records && std::mem::take(&mut stalls) {
            sleep(Duration::from_secs(120)).await;
        }
        if stored_records(subscriber) == RECORDS {
            return;
        }
    }
}
