//! A region: one source with its relays and agents, and their configuration files.

use super::{Process, TestDirectory, address};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The name and address of a relay.
pub struct RelayEndpoint {
    pub name: String,
    pub address: SocketAddr,
}

/// The addresses of a source and its relays, and the directory of their files.
pub struct Region {
    pub directory: TestDirectory,
    /// The address of the source, whether or not it runs.
    pub source: SocketAddr,
    pub relays: Vec<RelayEndpoint>,
    /// Additional lines of the configuration files, by section.
    pub extra_keys: BTreeMap<&'static str, String>,
}

impl Region {
    /// Creates a region with this number of relays, and starts no process.
    pub fn new(test: &str, relays: usize) -> Self {
        let relays =
            (1..=relays).map(|n| RelayEndpoint { name: format!("relay-{n}"), address: address() }).collect();
        Self { directory: TestDirectory::new(test), source: address(), relays, extra_keys: BTreeMap::new() }
    }

    fn extra_keys(&self, section: &str) -> &str {
        self.extra_keys.get(section).map_or("", String::as_str)
    }

    /// The path of the source's snapshot file.
    pub fn snapshot(&self) -> PathBuf {
        self.directory.file("source.snapshot")
    }

    /// Writes the configuration file of the source. Returns its path.
    pub fn source_config(&self) -> PathBuf {
        let (listen, snapshot) = (self.source, self.snapshot());
        let snapshot = snapshot.display();
        let text = format!(
            "[source]\nid = 1\nname = \"s\"\nlisten = \"{listen}\"\nsnapshot = \"{snapshot}\"\n{}\n[pace]\n{}\n",
            self.extra_keys("source"),
            self.extra_keys("pace")
        );
        self.directory.write("source.toml", &text)
    }

    pub fn start_source(&self) -> Process {
        Process::start("source", &self.source_config())
    }

    pub fn start_relay(&self, index: usize) -> Process {
        let RelayEndpoint { name, address } = &self.relays[index];
        let text = format!(
            "[relay]\nname = \"{name}\"\nlisten = \"{address}\"\nsources = [{{ id = 1, address = \"{}\" }}]\n{}\n[pace]\n{}\n",
            self.source,
            self.extra_keys("relay"),
            self.extra_keys("pace")
        );
        Process::start("relay", &self.directory.write(&format!("{name}.toml"), &text))
    }

    /// Starts an agent with these services in scope. Returns it and the address of its discovery.
    pub fn start_agent(&self, name: &str, services: &[u32]) -> (Process, SocketAddr) {
        let listen = address();
        let mut text = format!(
            "[agent]\nname = \"{name}\"\nlisten = \"{listen}\"\nservices = {services:?}\nsources = [1]\n{}\n",
            self.extra_keys("agent")
        );
        for RelayEndpoint { name, address } in &self.relays {
            write!(text, "[[agent.relays]]\nname = \"{name}\"\naddress = \"{address}\"\n").expect("text");
        }
        (Process::start("agent", &self.directory.write(&format!("{name}.toml"), &text)), listen)
    }

    /// Waits until an agent logs a connection to a relay after the first `skipped` log lines. Returns the
    /// relay's index, and the number of lines up to and including that line.
    pub fn wait_for_relay(&self, agent: &Process, skipped: usize) -> (usize, usize) {
        let (line, lines) = agent.wait_for_line_after(skipped, "connected to relay");
        let index = self.relays.iter().position(|relay| line.contains(&format!("`{}`", relay.name)));
        (index.expect("a relay of the region"), lines)
    }
}
