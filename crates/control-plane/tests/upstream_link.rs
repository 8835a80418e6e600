//! Many subscribers on one thread over real connections, in virtual time: it runs on where nobody has anything to do.

use control_plane::Millis;
use control_plane::codec::{FrameReader, FrameWriter};
use control_plane::config::{RateLimitConfig, RelayConfig, SourceAddress, SourceConfig};
use control_plane::failover::Failover;
use control_plane::message::Message;
use control_plane::record::{Change, Key, Kind, Scope, State};
use control_plane::runtime::Clock;
use control_plane::runtime::upstream_link::{DownstreamNode, LinkError, UpstreamAddress, follow};
use control_plane::runtime::writer::Writer;
use control_plane::runtime::{relay, source};
use control_plane::session::SessionError;
use control_plane::subscriber::Subscriber;
use std::cell::{Cell, RefCell};
use std::future::pending;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout};

/// Virtual time that is far beyond what anything takes.
const TIMEOUT: Duration = Duration::from_secs(7_200);
const FOLLOWERS: usize = 120;

/// Addresses of this process's own, unlike those of tests over processes.
fn address() -> SocketAddr {
    static TAKEN: AtomicU16 = AtomicU16::new(0);
    let [high, low, ..] = (std::process::id() as u16).to_be_bytes();
    let taken = TAKEN.fetch_add(1, Ordering::Relaxed);
    SocketAddrV4::new(Ipv4Addr::new(127, 192 + (taken % 32) as u8, high, low), 7500 + taken / 32).into()
}

/// A party with all its connections, which ends with this.
struct TaskGuard(JoinHandle<()>);

impl Drop for TaskGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

fn start_relay(config: RelayConfig, rate_limit: RateLimitConfig) -> TaskGuard {
    // A set of its own, so that connections end with it.
    TaskGuard(spawn_local(async move {
        LocalSet::new().run_until(relay::run(&config, &rate_limit, pending())).await.expect("it runs");
    }))
}

/// A folder of a test's own, removed with it.
struct TestDirectory(PathBuf);

impl TestDirectory {
    fn new(test: &str) -> Self {
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{test}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        Self(path)
    }
}

impl Drop for TestDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn start_source(directory: &TestDirectory, listen: SocketAddr) -> TaskGuard {
    let config = SourceConfig {
        id: 1,
        name: "s".into(),
        listen,
        snapshot: directory.0.join("source.snapshot"),
        snapshot_interval_ms: 3_600_000,
        connections: 8,
    };
    TaskGuard(spawn_local(async move {
        let rate_limit = RateLimitConfig::default();
        LocalSet::new().run_until(source::run(&config, &rate_limit, pending())).await.expect("it runs");
    }))
}

struct CountingNode {
    subscriber: Subscriber,
    /// The relay that it follows.
    current_relay: Option<String>,
    /// How often it was said to follow one, and how many welcomes it heard.
    connections: (usize, usize),
    moves: usize,
    losses: usize,
    applied: usize,
    received_bytes: u64,
}

impl DownstreamNode for CountingNode {
    fn hello(&mut self) -> Message {
        self.subscriber.hello()
    }
    fn on_message(&mut self, message: Message, now: Millis) -> Result<Vec<Message>, SessionError> {
        self.connections.1 += usize::from(matches!(message, Message::Welcome { .. }));
        let outcome = self.subscriber.on_message(message, now)?;
        self.applied += outcome.applied.len();
        Ok(outcome.replies)
    }
    fn tick(&mut self, now: Millis) -> Vec<Message> {
        self.subscriber.tick(now)
    }
    fn on_connected(&mut self, upstream: &str) {
        self.connections.0 += 1;
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

/// Takes connections and says nothing on them. Counts them.
async fn accept_silently(address: SocketAddr) -> (TaskGuard, Rc<Cell<usize>>) {
    let (listener, taken) = (TcpListener::bind(address).await.expect("free"), Rc::new(Cell::new(0)));
    let count = Rc::clone(&taken);
    let running = TaskGuard(spawn_local(async move {
        let mut stored_records = Vec::new();
        loop {
            stored_records.push(listener.accept().await.expect("a call"));
            count.set(count.get() + 1);
        }
    }));
    (running, taken)
}

async fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !holds() {
        assert!(Instant::now() < end, "waited in vain for: {what}");
        sleep(Duration::from_millis(100)).await;
    }
}

fn change(name: String) -> Change {
    sized(name, 30)
}

fn sized(name: String, bytes: usize) -> Change {
    let key = Key { service: 1, kind: Kind::Route, name: name.into() };
    Change { key, state: State::Active, body: vec![1; bytes].into() }
}

#[tokio::test(start_paused = true)]
async fn followers_spread_over_relays_and_return_to_a_restored_one() {
    LocalSet::new().run_until(run_failover()).await;
}

async fn run_failover() {
    let (directory, at) = (TestDirectory::new("spread"), address());
    let _source = start_source(&directory, at);
    let relays: Vec<UpstreamAddress> =
        (0..3).map(|n| UpstreamAddress { name: format!("relay-{n}"), address: address() }).collect();
    let relay = |place: usize| {
        start_relay(
            RelayConfig {
                name: relays[place].name.clone(),
                listen: relays[place].address,
                sources: vec![SourceAddress { id: 1, address: at }],
                connections: FOLLOWERS,
            },
            RateLimitConfig::default(),
        )
    };
    let mut running: Vec<_> = (0..3).map(|place| Some(relay(place))).collect();
    let names: Vec<String> = relays.iter().map(|relay| relay.name.clone()).collect();
    let clock = Clock::start();
    let nodes: Vec<_> = (0..FOLLOWERS)
        .map(|n| {
            let name = format!("agent-{n}");
            let scope = Scope::Services([1].into());
            let subscriber = Subscriber::new(&name, scope);
            let node = CountingNode {
                subscriber,
                current_relay: None,
                connections: (0, 0),
                moves: 0,
                losses: 0,
                applied: 0,
                received_bytes: 0,
            };
            let node = Rc::new(RefCell::new(node));
            let (followed, relays) = (Rc::clone(&node), relays.clone());
            spawn_local(async move { follow(followed, relays, &name, n as u64, clock).await });
            node
        })
        .collect();
    let preferred: Vec<&String> =
        (0..FOLLOWERS).map(|n| &names[Failover::new(&format!("agent-{n}"), &names, 0).order()[0]]).collect();
    let all_on_preferred = || {
        nodes
            .iter()
            .zip(&preferred)
            .all(|(p, current_relay)| p.borrow().current_relay.as_ref() == Some(*current_relay))
    };
    wait_for("all on the relay that they prefer", all_on_preferred).await;
    let of_first = preferred.iter().filter(|current_relay| **current_relay == &names[0]).count();
    assert!(
        (FOLLOWERS / 6..FOLLOWERS / 2).contains(&of_first),
        "{of_first} of {FOLLOWERS} prefer one of three"
    );

    let mut writer = Writer::connect(at).await.expect("the source");
    writer.write((0..10).map(|n| change(format!("r-{n}"))).collect()).await.expect("written");
    wait_for("all records", || nodes.iter().all(|p| p.borrow().applied == 10)).await;

    // Those of the relay that dies move, nobody else does.
    running[0] = None;
    let elsewhere = || {
        nodes.iter().all(|p| {
            p.borrow().current_relay.as_ref().is_some_and(|current_relay| *current_relay != names[0])
        })
    };
    wait_for("all on the others", elsewhere).await;
    let lost = nodes.iter().filter(|p| p.borrow().losses > 0).count();
    assert_eq!(lost, of_first);
    writer.write(vec![change("r-10".into())]).await.expect("written");
    wait_for("the next record", || nodes.iter().all(|p| p.borrow().applied == 11)).await;

    // Somebody is there again who says nothing: they try it beside the connection that works, and stay.
    let losses = || nodes.iter().map(|p| p.borrow().losses).sum::<usize>();
    let before = losses();
    let accept_silently = accept_silently(relays[0].address).await;
    wait_for("calls, again after no answer came", || accept_silently.1.get() > of_first).await;
    sleep(Duration::from_secs(10)).await;
    assert!(elsewhere());
    assert_eq!(losses(), before);
    assert_eq!(nodes.iter().map(|p| p.borrow().moves).sum::<usize>(), 0);
    drop(accept_silently);

    // It is back: they return by themselves, without a loss, and without hearing anything again.
    running[0] = Some(relay(0));
    wait_for("all back on the relay that they prefer", all_on_preferred).await;
    writer.write(vec![change("r-11".into())]).await.expect("written");
    wait_for("the last record", || nodes.iter().all(|p| p.borrow().applied == 12)).await;
    assert_eq!(losses(), before);
    assert_eq!(nodes.iter().map(|p| p.borrow().moves).sum::<usize>(), of_first);
    assert!(nodes.iter().all(|p| p.borrow().received_bytes > 0));
    // Each welcome, also that of the relay it returned to, is heard by the party: it asks again what was not answered.
    assert!(nodes.iter().all(|p| p.borrow().connections.0 == p.borrow().connections.1));
}

/// Whoever takes nothing for half a minute has its connection ended, and may come back and say how far it is.
#[tokio::test(start_paused = true)]
async fn disconnects_a_stalled_subscriber_which_resumes_at_its_position() {
    LocalSet::new().run_until(run_stalled_subscriber()).await;
}

async fn run_stalled_subscriber() {
    const RECORDS: usize = 40;
    const BYTES: usize = 60_000;
    let (directory, at, relay) = (TestDirectory::new("stands"), address(), address());
    let _source = start_source(&directory, at);
    let sources = vec![SourceAddress { id: 1, address: at }];
    let config = RelayConfig { name: "r".into(), listen: relay, sources, connections: 4 };
    let rate_limit =
        RateLimitConfig { agent_bytes_per_s: 1 << 29, agent_burst: 1 << 29, ..RateLimitConfig::default() };
    let _relay = start_relay(config, rate_limit);
    let mut writer = loop {
        match Writer::connect(at).await {
            Ok(writer) => break writer,
            Err(_) => sleep(Duration::from_millis(10)).await,
        }
    };
    writer
        .write_parts((0..RECORDS).map(|n| sized(format!("r-{n}"), BYTES)).collect())
        .await
        .expect("written");

    let mut subscriber = Subscriber::new("stands", Scope::All);
    let mut ends = 0;
    let stored_records =
        |subscriber: &Subscriber| subscriber.stores().map(|(_, store)| store.live_count()).sum::<usize>();
    let end = Instant::now() + TIMEOUT;
    while stored_records(&subscriber) < RECORDS {
        assert!(Instant::now() < end, "{} of {RECORDS} after {ends} ends", stored_records(&subscriber));
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_recv_buffer_size(128 << 10).expect("a buffer");
        let Ok(stream) = socket.connect(relay).await else {
            sleep(Duration::from_millis(10)).await;
            continue;
        };
        let (reader, writer) = stream.into_split();
        let (mut reader, mut writer) = (FrameReader::new(reader), FrameWriter::new(writer));
        writer.write(&subscriber.hello()).await.expect("said");
        // The first time it only answers what has to be asked for, and then stands.
        let mut has_stalled = ends > 0;
        while let Ok(Some(message)) = timeout(TIMEOUT, reader.read()).await.expect("a word each second") {
            // In parts of a whole service, or in batches where the relay heard of it before the records were written.
            let some = matches!(&message, Message::ServiceSnapshot { records, .. } | Message::Batch { records, .. } if !records.is_empty());
            for reply in subscriber.on_message(message, 0).expect("sense").replies {
                writer.write(&reply).await.expect("said");
            }
            if some && !std::mem::replace(&mut has_stalled, true) {
                sleep(Duration::from_secs(120)).await;
            }
            if stored_records(&subscriber) == RECORDS {
                break;
            }
        }
        ends += 1;
    }
    assert_eq!(ends, 2, "it was let go once, and had all after that");
}
