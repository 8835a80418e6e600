//! Discovery as each proxy's own agent: it is told late, answers watches, and records what it has told.

use super::shard::Shared;
use crate::http1;
use crate::judge::Seen;
use crate::script::micros;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

/// The longest that a watch waits, milliseconds.
const MOST_WAIT_MS: u64 = 60_000;

/// What the agent holds of one box.
struct Entry {
    /// The version that brought it.
    revision: u64,
    member: Value,
    ready: bool,
    left: bool,
}

/// The agent of one proxy.
pub(crate) struct Agent {
    shared: Rc<Shared>,
    proxy: usize,
    pub(crate) address: SocketAddr,
    revision: Cell<u64>,
    entries: RefCell<Vec<Entry>>,
    changed: Notify,
    rng: RefCell<fastrand::Rng>,
}

impl Agent {
    /// An agent that holds the list as it is.
    pub(crate) async fn start(shared: &Rc<Shared>, proxy: usize) -> io::Result<Rc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let agent = Rc::new(Self {
            shared: Rc::clone(shared),
            proxy,
            address: listener.local_addr()?,
            revision: Cell::new(1),
            entries: RefCell::default(),
            changed: Notify::new(),
            rng: RefCell::new(fastrand::Rng::with_seed(shared.board.script.seed ^ (proxy as u64 + 1) << 32)),
        });
        let entries = (0..shared.board.script.fleet.boxes).map(|at_box| agent.entry(at_box)).collect();
        agent.entries.replace(entries);
        let serving = Rc::clone(&agent);
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::task::spawn_local(Rc::clone(&serving).connection(stream));
            }
        });
        Ok(agent)
    }

    fn entry(&self, at_box: usize) -> Entry {
        let face = self.shared.board.face(at_box);
        let phase = match (face.is_up(), face.drains()) {
            (false, _) => "left",
            (true, true) => "leaving",
            (true, false) => "active",
        };
        // The proxies' clocks count from the epoch.
        let age = face.started().map(|at| Duration::from_micros(self.shared.board.now() - at));
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let started = age.map_or(0, |age| unix.saturating_sub(age).as_millis() as u64);
        let script = &self.shared.board.script;
        let address = self.shared.board.way_to_box(self.proxy, at_box).map(|a| a.to_string());
        let member = json!({"id": format!("b{at_box}"), "host_port": address,
            "locality": format!("z{}", script.zone(at_box)), "flavor": "box", "cell": script.cell(at_box),
            "phase": phase, "size": 1.0, "up_since_ms": started});
        Entry { revision: self.revision.get(), member, ready: phase == "active", left: phase == "left" }
    }

    /// The whole list as it is now, in discovery's form.
    pub(crate) fn list(&self) -> Value {
        let members =
            self.entries.borrow().iter().filter(|e| !e.left).map(|e| e.member.clone()).collect::<Vec<_>>();
        json!({"revision": self.revision.get(), "complete": true, "members": members})
    }

    /// A box has changed: this agent learns of it late.
    pub(crate) fn news(self: Rc<Self>, at_box: usize) {
        let late = self.shared.board.script.fleet.news_s * (1.0 + self.rng.borrow_mut().f64());
        tokio::task::spawn_local(async move {
            sleep(Duration::from_micros(micros(late))).await;
            while self.shared.board.discovery_is_down() {
                self.changed.notified().await;
            }
            self.revision.set(self.revision.get() + 1);
            let entry = self.entry(at_box);
            self.entries.borrow_mut()[at_box] = entry;
            self.changed.notify_waiters();
        });
    }

    /// Discovery is back, or down: whoever waits looks again.
    pub(crate) fn look(&self) {
        self.changed.notify_waiters();
    }

    async fn connection(self: Rc<Self>, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Ok(Some(request)) = http1::read(&mut stream, &mut buffer, false).await {
            self.shared.saw(Seen::Called { proxy: self.proxy });
            let number = |name: &str| {
                let query = request.target.1.split_once('?').map_or("", |(_, query)| query);
                let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                pairs.find(|(n, _)| *n == name).and_then(|(_, value)| value.parse::<u64>().ok())
            };
            let after = number("after");
            let wait = Duration::from_millis(number("wait_ms").unwrap_or(0).min(MOST_WAIT_MS));
            if let Some(after) = after {
                let newer = async {
                    while self.revision.get() <= after || self.shared.board.discovery_is_down() {
                        self.changed.notified().await;
                    }
                };
                let _ = timeout(wait, newer).await;
            }
            if self.tell(&mut stream, after).await.is_err() {
                return;
            }
        }
    }

    async fn tell(&self, stream: &mut TcpStream, after: Option<u64>) -> io::Result<()> {
        let (mut members, mut told) = (Vec::new(), Vec::new());
        for (at_box, entry) in self.entries.borrow().iter().enumerate() {
            let listed = after.map_or(!entry.left, |after| entry.revision > after);
            if listed {
                members.push(entry.member.clone());
            }
            // A whole list tells of those that it leaves out, too.
            if listed || after.is_none() {
                told.push((at_box, entry.ready));
            }
        }
        let revision = self.revision.get();
        let list = json!({"revision": revision, "complete": after.is_none(), "members": members});
        http1::answer(stream, "200 OK", "", list.to_string().as_bytes()).await?;
        for (at_box, ready) in told {
            self.shared.saw(Seen::Told { proxy: self.proxy, at_box, ready });
        }
        Ok(())
    }
}
