//! Discovery as an agent of the proxy's machine that is told what to tell: a change, a
//! replacement, or the whole list again.

use super::ScaleError;
use crate::http1;
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Backends of a cell.
const CELL: usize = 50;
/// How long a proxy may take for what it is told.
const TAKEN_TIMEOUT: Duration = Duration::from_secs(20);

struct Member {
    address: SocketAddr,
    /// How often another backend took its place.
    generation: u32,
    drains: bool,
    /// The version that brought it.
    revision: u64,
    /// As it is told. Written once for each version: a proxy waits only so long for a list.
    text: String,
}

impl Member {
    fn write(&mut self, number: usize, phase: &str) {
        // Numbers that differ give names that differ: the factor is odd.
        let name = (number as u32 | self.generation << 20).wrapping_mul(0x9e37_79b9);
        let up_since = if self.generation == 0 { 0 } else { unix_ms() };
        self.text =
            json!({"id": format!("s-{name:08x}"), "host_port": self.address.to_string(), "locality": "z0",
            "flavor": "box", "cell": number / CELL, "phase": phase, "size": 1.0, "up_since_ms": up_since})
            .to_string();
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

#[derive(Default)]
struct State {
    members: RefCell<Vec<Member>>,
    /// Those that were replaced: the version, and what is told of them.
    gone: RefCell<Vec<(u64, String)>>,
    revision: Cell<u64>,
    /// Watches from before this version get the whole list.
    whole: Cell<u64>,
    /// The latest version that the proxy has said that it holds.
    held: Cell<u64>,
    /// Bytes on the wire, both ways.
    bytes: Cell<u64>,
    changed: Notify,
    heard: Notify,
}

/// The agent.
pub(super) struct Agent {
    state: Rc<State>,
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Drop for Agent {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Second byte of the loopback addresses that have no listener: 127.192.0.0/10.
const SILENT_NETWORK: u8 = 0xc0;

/// Addresses of backends that nobody asks anything: none has a listener.
pub(super) fn silent(count: usize) -> Vec<SocketAddr> {
    let address = |number: usize| {
        let [.., high, middle, low] = number.to_be_bytes();
        SocketAddr::from((Ipv4Addr::new(127, SILENT_NETWORK | high, middle, low), 3_000))
    };
    (0..count).map(address).collect()
}

impl Agent {
    /// An agent that tells of these backends, all of them long since ready.
    pub(super) async fn start(backends: &[SocketAddr]) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let member = |(number, &address): (usize, &SocketAddr)| {
            let mut member =
                Member { address, generation: 0, drains: false, revision: 1, text: String::new() };
            member.write(number, "active");
            member
        };
        let members = backends.iter().enumerate().map(member);
        let state = Rc::new(State { revision: Cell::new(1), ..State::default() });
        state.members.replace(members.collect());
        let serving = Rc::clone(&state);
        let task = tokio::task::spawn_local(async move {
            let mut connections = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                connections.spawn_local(connection(Rc::clone(&serving), stream));
            }
        });
        Ok(Self { state, address, task })
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Bytes on the wire so far, both ways.
    pub(super) fn bytes(&self) -> u64 {
        self.state.bytes.get()
    }

    /// Whether a backend drains changes; back once the proxy asks for what comes after that.
    pub(super) async fn change(&self, member: usize) -> Result<(), ScaleError> {
        let revision = self.state.revision.get() + 1;
        if let Some(entry) = self.state.members.borrow_mut().get_mut(member) {
            (entry.drains, entry.revision) = (!entry.drains, revision);
            entry.write(member, if entry.drains { "leaving" } else { "active" });
        }
        self.tell(revision).await
    }

    /// A backend has left and another one is there in its place; back once the proxy asks for what comes after that.
    pub(super) async fn replace(&self, member: usize) -> Result<(), ScaleError> {
        let revision = self.state.revision.get() + 1;
        if let Some(entry) = self.state.members.borrow_mut().get_mut(member) {
            entry.write(member, "left");
            self.state.gone.borrow_mut().push((revision, std::mem::take(&mut entry.text)));
            (entry.generation, entry.drains, entry.revision) = (entry.generation + 1, false, revision);
            entry.write(member, "active");
        }
        self.tell(revision).await
    }

    /// Tells the whole list again; back once the proxy asks for what comes after that.
    pub(super) async fn tell_all(&self) -> Result<(), ScaleError> {
        let revision = self.state.revision.get() + 1;
        self.state.whole.set(revision);
        self.tell(revision).await
    }

    /// Back once the proxy holds the list as it is and watches.
    pub(super) async fn settled(&self) -> Result<(), ScaleError> {
        let taken = async {
            while self.state.held.get() < self.state.revision.get() {
                self.state.heard.notified().await;
            }
        };
        timeout(TAKEN_TIMEOUT, taken).await.map_err(|_| {
            let seconds = TAKEN_TIMEOUT.as_secs();
            ScaleError::Proxy(format!("it did not take the list within {seconds} s"))
        })
    }

    async fn tell(&self, revision: u64) -> Result<(), ScaleError> {
        self.state.revision.set(revision);
        self.state.changed.notify_waiters();
        self.settled().await
    }
}

impl State {
    fn answer(&self, after: Option<u64>) -> Vec<u8> {
        let whole = after.is_none_or(|after| after < self.whole.get());
        let (members, gone) = (self.members.borrow(), self.gone.borrow());
        let newer = |revision: u64| after.is_some_and(|after| revision > after);
        let left =
            gone.iter().filter(|(revision, _)| !whole && newer(*revision)).map(|(_, text)| text.as_str());
        let listed = members.iter().filter(|m| whole || newer(m.revision)).map(|m| m.text.as_str());
        let entries = left.chain(listed).collect::<Vec<_>>().join(",");
        let revision = self.revision.get();
        let body = format!(r#"{{"revision":{revision},"complete":{whole},"members":[{entries}]}}"#);
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
    }
}

async fn connection(state: Rc<State>, mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Ok(Some((length, request))) =
        http1::read_sized(&mut stream, &mut buffer, http1::MessageKind::Request).await
    {
        state.bytes.set(state.bytes.get() + length as u64);
        let query = request.path.split_once('?').map_or("", |(_, query)| query);
        let number = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(n, _)| *n == name).and_then(|(_, value)| value.parse::<u64>().ok())
        };
        let after = number("after");
        if let Some(after) = after {
            state.held.set(after);
            state.heard.notify_waiters();
            let newer = async {
                while state.revision.get() <= after {
                    state.changed.notified().await;
                }
            };
            let _ = timeout(Duration::from_millis(number("wait_ms").unwrap_or(0)), newer).await;
        }
        let answer = state.answer(after);
        state.bytes.set(state.bytes.get() + answer.len() as u64);
        if stream.write_all(&answer).await.is_err() {
            return;
        }
    }
}
