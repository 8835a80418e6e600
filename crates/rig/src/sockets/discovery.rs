//! Discovery as each proxy's own agent: it is told late, answers watches, and records what it has told.

use super::Shared;
use super::boxes::StandIn;
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
    boxes: Rc<[Rc<StandIn>]>,
    proxy: usize,
    pub(crate) address: SocketAddr,
    revision: Cell<u64>,
    entries: RefCell<Vec<Entry>>,
    changed: Notify,
    rng: RefCell<fastrand::Rng>,
}

impl Agent {
    /// An agent that holds the list as it is.
    pub(crate) async fn start(
        shared: &Rc<Shared>,
        boxes: &Rc<[Rc<StandIn>]>,
        proxy: usize,
    ) -> io::Result<Rc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let agent = Rc::new(Self {
            shared: Rc::clone(shared),
            boxes: Rc::clone(boxes),
            proxy,
            address: listener.local_addr()?,
            revision: Cell::new(1),
            entries: RefCell::default(),
            changed: Notify::new(),
            rng: RefCell::new(fastrand::Rng::with_seed(shared.script.seed ^ (proxy as u64 + 1) << 32)),
        });
        let entries = (0..boxes.len()).map(|at_box| agent.entry(at_box)).collect();
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
        let stand_in = &self.boxes[at_box];
        let phase = match (stand_in.is_up(), stand_in.drains()) {
            (false, _) => "left",
            (true, true) => "leaving",
            (true, false) => "active",
        };
        // The proxies' clocks count from the epoch.
        let age = stand_in.started().map(|at| Duration::from_micros(self.shared.now() - at));
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let started = age.map_or(0, |age| unix.saturating_sub(age).as_millis() as u64);
        let script = &self.shared.script;
        let member = json!({"id": format!("b{at_box}"), "host_port": stand_in.address.to_string(),
            "locality": format!("z{}", script.zone(at_box)), "flavor": "box", "cell": script.cell(at_box),
            "phase": phase, "size": 1.0, "up_since_ms": started});
        Entry { revision: self.revision.get(), member, ready: phase == "active", left: phase == "left" }
    }

    /// A box has changed: this agent learns of it late.
    pub(crate) fn news(self: Rc<Self>, at_box: usize) {
        let late = self.shared.script.fleet.news_s * (1.0 + self.rng.borrow_mut().f64());
        tokio::task::spawn_local(async move {
            sleep(Duration::from_micros(micros(late))).await;
            while self.shared.discovery_down.get() > 0 {
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
            let number = |name: &str| {
                let query = request.target.1.split_once('?').map_or("", |(_, query)| query);
                let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                pairs.find(|(n, _)| *n == name).and_then(|(_, value)| value.parse::<u64>().ok())
            };
            let after = number("after");
            let wait = Duration::from_millis(number("wait_ms").unwrap_or(0).min(MOST_WAIT_MS));
            if let Some(after) = after {
                let newer = async {
                    while self.revision.get() <= after || self.shared.discovery_down.get() > 0 {
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
            if after.map_or(!entry.left, |after| entry.revision > after) {
                members.push(entry.member.clone());
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
