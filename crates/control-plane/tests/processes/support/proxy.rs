//! An emulated proxy: a client of the discovery protocol.

use super::{TIMEOUT, wait_for};
use serde_json::Value;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

/// A backend as it is listed in the discovery protocol.
#[derive(Debug, PartialEq, Eq)]
pub struct ListedBackend {
    /// IP address and port, as in `host_port`.
    pub address: String,
    /// `active` or `leaving`.
    pub phase: String,
}

/// The backends known to a proxy, by id.
pub type ListedBackends = BTreeMap<String, ListedBackend>;

/// Sends one request to discovery. Returns the status and the body of the response.
pub fn request_discovery(discovery: SocketAddr, target: &str) -> (u16, Vec<u8>) {
    let mut stream = TcpStream::connect(discovery).expect("discovery");
    stream.set_read_timeout(Some(TIMEOUT)).expect("a timeout");
    write!(stream, "GET {target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").expect("written");
    let mut response = Vec::new();
    stream.read_to_end(&mut response).expect("a response");
    let head = response.windows(4).position(|w| w == b"\r\n\r\n").expect("a head");
    let status = std::str::from_utf8(&response[9..12]).expect("a status").parse().expect("a number");
    (status, response.split_off(head + 4))
}

/// A proxy that requests the complete list and then watches for changes.
pub struct Proxy {
    discovery: SocketAddr,
    after: Option<u64>,
    /// The backends that were not removed.
    pub backends: ListedBackends,
    /// The ids and phases of all received entries, in order.
    pub received: Vec<(String, String)>,
    /// The number of responses with a complete list.
    pub complete_lists: usize,
}

impl Proxy {
    /// Creates a proxy that has requested nothing from this address yet.
    pub fn new(discovery: SocketAddr) -> Self {
        let (backends, received) = (ListedBackends::new(), Vec::new());
        Self { discovery, after: None, backends, received, complete_lists: 0 }
    }

    /// Requests the complete list, or the changes since the last response. Returns `false` if the agent has
    /// no complete list yet.
    pub fn poll(&mut self) -> bool {
        let target = match self.after {
            None => "/discovery/hosts".to_owned(),
            Some(after) => format!("/discovery/hosts?after={after}&wait_ms=200"),
        };
        let (status, body) = request_discovery(self.discovery, &target);
        if status != 200 {
            assert_eq!(status, 503, "{}", String::from_utf8_lossy(&body));
            return false;
        }
        let list: Value = serde_json::from_slice(&body).expect("a list");
        self.after = list["revision"].as_u64();
        if list["complete"] == true {
            self.complete_lists += 1;
            self.backends.clear();
        }
        for member in list["members"].as_array().expect("members") {
            self.receive(member);
        }
        true
    }

    fn receive(&mut self, member: &Value) {
        let text = |key: &str| member[key].as_str().expect("text").to_owned();
        let (id, phase) = (text("id"), text("phase"));
        self.received.push((id.clone(), phase.clone()));
        match phase.as_str() {
            "left" => self.backends.remove(&id),
            _ => self.backends.insert(id, ListedBackend { address: text("host_port"), phase }),
        };
    }

    /// Watches until the known backends satisfy the condition.
    pub fn wait_until(&mut self, what: &str, condition: impl Fn(&ListedBackends) -> bool) {
        wait_for(what, || {
            let has_list = self.poll();
            (has_list && condition(&self.backends)).then_some(())
        });
    }

    /// Watches until exactly these backends are known, in these phases.
    pub fn wait_for_exactly(&mut self, what: &str, expected: &[(&str, &str)]) {
        let expected: BTreeMap<&str, &str> = expected.iter().copied().collect();
        self.wait_until(what, |backends| {
            let has_phase = |(id, backend): (&String, &ListedBackend)| {
                expected.get(id.as_str()) == Some(&backend.phase.as_str())
            };
            backends.len() == expected.len() && backends.iter().all(has_phase)
        });
    }
}
