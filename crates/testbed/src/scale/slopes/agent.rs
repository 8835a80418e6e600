//! Emulated discovery agent. On request it publishes a change of one backend, a replacement or the complete
//! list.

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

const BACKENDS_PER_CELL: usize = 50;
/// Time limit for the proxy to apply a list or a change.
const APPLY_TIMEOUT: Duration = Duration::from_secs(20);

struct Member {
    address: SocketAddr,
    /// How often it was replaced by another backend.
    generation: u32,
    is_draining: bool,
    /// Revision of its last change.
    revision: u64,
    /// Its JSON entry. Serialized once for each revision, because the proxy's wait for a list is limited.
    json: String,
}

impl Member {
    fn serialize(&mut self, number: usize, phase: &str) {
        // The factor is odd, so different numbers give different names.
        let name = (number as u32 | self.generation << 20).wrapping_mul(0x9e37_79b9);
        let up_since = if self.generation == 0 { 0 } else { unix_ms() };
        self.json =
            json!({"id": format!("s-{name:08x}"), "host_port": self.address.to_string(), "locality": "z0",
            "flavor": "box", "cell": number / BACKENDS_PER_CELL, "phase": phase, "size": 1.0, "up_since_ms": up_since})
            .to_string();
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

#[derive(Default)]
struct State {
    members: RefCell<Vec<Member>>,
    /// Replaced backends: revision and JSON entry.
    replaced: RefCell<Vec<(u64, String)>>,
    revision: Cell<u64>,
    /// Polls after an earlier revision receive the complete list.
    complete_since: Cell<u64>,
    /// The latest revision that the proxy has acknowledged.
    acknowledged: Cell<u64>,
    /// Bytes on the wire, in both directions.
    wire_bytes: Cell<u64>,
    on_change: Notify,
    on_acknowledgment: Notify,
}

/// The agent; stops on drop.
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

/// Second byte of the loopback addresses without a listener: 127.192.0.0/10.
const UNUSED_NETWORK: u8 = 0xc0;

/// Addresses of backends that receive no requests; none has a listener.
pub(super) fn unused_addresses(count: usize) -> Vec<SocketAddr> {
    let address = |number: usize| {
        let [.., high, middle, low] = number.to_be_bytes();
        SocketAddr::from((Ipv4Addr::new(127, UNUSED_NETWORK | high, middle, low), 3_000))
    };
    (0..count).map(address).collect()
}

impl Agent {
    /// Starts an agent that lists these backends, all of them past their slow start.
    pub(super) async fn start(backends: &[SocketAddr]) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let member = |(number, &address): (usize, &SocketAddr)| {
            let mut member =
                Member { address, generation: 0, is_draining: false, revision: 1, json: String::new() };
            member.serialize(number, "active");
            member
        };
        let members = backends.iter().enumerate().map(member);
        let state = Rc::new(State { revision: Cell::new(1), ..State::default() });
        state.members.replace(members.collect());
        let shared = Rc::clone(&state);
        let task = tokio::task::spawn_local(async move {
            let mut connections = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                connections.spawn_local(serve(Rc::clone(&shared), stream));
            }
        });
        Ok(Self { state, address, task })
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Bytes on the wire so far, in both directions.
    pub(super) fn wire_bytes(&self) -> u64 {
        self.state.wire_bytes.get()
    }

    /// Toggles the draining state of a backend; returns when the proxy polls after this revision.
    pub(super) async fn toggle_draining(&self, member: usize) -> Result<(), ScaleError> {
        let revision = self.state.revision.get() + 1;
        if let Some(entry) = self.state.members.borrow_mut().get_mut(member) {
            (entry.is_draining, entry.revision) = (!entry.is_draining, revision);
            entry.serialize(member, if entry.is_draining { "leaving" } else { "active" });
        }
        self.publish(revision).await
    }

    /// Replaces a backend by another one; returns when the proxy polls after this revision.
    pub(super) async fn replace(&self, member: usize) -> Result<(), ScaleError> {
        let revision = self.state.revision.get() + 1;
        if let Some(entry) = self.state.members.borrow_mut().get_mut(member) {
            entry.serialize(member, "left");
            self.state.replaced.borrow_mut().push((revision, std::mem::take(&mut entry.json)));
            (entry.generation, entry.is_draining, entry.revision) = (entry.generation + 1, false, revision);
            entry.serialize(member, "active");
        }
        self.publish(revision).await
    }

    /// Sends the complete list; returns when the proxy polls after this revision.
    pub(super) async fn send_complete_list(&self) -> Result<(), ScaleError> {
        let revision = self.state.revision.get() + 1;
        self.state.complete_since.set(revision);
        self.publish(revision).await
    }

    /// Waits until the proxy has applied the current list and polls for changes.
    pub(super) async fn wait_until_applied(&self) -> Result<(), ScaleError> {
        let applied = async {
            while self.state.acknowledged.get() < self.state.revision.get() {
                self.state.on_acknowledgment.notified().await;
            }
        };
        timeout(APPLY_TIMEOUT, applied).await.map_err(|_| {
            let seconds = APPLY_TIMEOUT.as_secs();
            ScaleError::Proxy(format!("it did not apply the list within {seconds} s"))
        })
    }

    async fn publish(&self, revision: u64) -> Result<(), ScaleError> {
        self.state.revision.set(revision);
        self.state.on_change.notify_waiters();
        self.wait_until_applied().await
    }
}

impl State {
    fn response(&self, after: Option<u64>) -> Vec<u8> {
        let whole = after.is_none_or(|after| after < self.complete_since.get());
        let (members, replaced) = (self.members.borrow(), self.replaced.borrow());
        let is_newer = |revision: u64| after.is_some_and(|after| revision > after);
        let removed = replaced
            .iter()
            .filter(|(revision, _)| !whole && is_newer(*revision))
            .map(|(_, json)| json.as_str());
        let listed = members.iter().filter(|m| whole || is_newer(m.revision)).map(|m| m.json.as_str());
        let entries = removed.chain(listed).collect::<Vec<_>>().join(",");
        let revision = self.revision.get();
        let body = format!(r#"{{"revision":{revision},"complete":{whole},"members":[{entries}]}}"#);
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
    }
}

async fn serve(state: Rc<State>, mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Ok(Some((length, request))) =
        http1::read_sized(&mut stream, &mut buffer, http1::MessageKind::Request).await
    {
        state.wire_bytes.set(state.wire_bytes.get() + length as u64);
        let query = request.path.split_once('?').map_or("", |(_, query)| query);
        let number = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(n, _)| *n == name).and_then(|(_, value)| value.parse::<u64>().ok())
        };
        let after = number("after");
        if let Some(after) = after {
            state.acknowledged.set(after);
            state.on_acknowledgment.notify_waiters();
            let change = async {
                while state.revision.get() <= after {
                    state.on_change.notified().await;
                }
            };
            let _ = timeout(Duration::from_millis(number("wait_ms").unwrap_or(0)), change).await;
        }
        let response = state.response(after);
        state.wire_bytes.set(state.wire_bytes.get() + response.len() as u64);
        if stream.write_all(&response).await.is_err() {
            return;
        }
    }
}
