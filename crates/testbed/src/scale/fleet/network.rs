//! Sources, relays and the links between them, with the model of the acknowledged changes.

use super::ScaleError;
use super::link_proxy::LinkProxy;
use super::messages::{self, ReplicaRecord};
use super::model::{Model, SourceModel};
use super::population::Population;
use super::programs::{ControlNode, ProcessStarter};
use super::script::ScaleScript;
use control_plane::codec::{CodecError, FrameReader, FrameWriter};
use control_plane::message::{Message, PROTOCOL_VERSION};
use control_plane::record::{Change, Record, RecordState, Scope, ServiceId, SourceId, Version};
use control_plane::runtime::writer::Writer;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use std::{fs, io};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Upper bound of the time to read all records of a source.
const READ_TIMEOUT: Duration = Duration::from_secs(30);
/// Services in one snapshot request of the reader.
const MAX_SERVICES_PER_REQUEST: usize = 500;

struct Source {
    node: ControlNode,
    writer: Option<Writer>,
    snapshot: PathBuf,
    saved_snapshot: Option<Vec<u8>>,
}

/// All sources, relays and links of a run.
pub struct Network {
    sources: Vec<Source>,
    /// The relays, by number.
    pub relays: Vec<ControlNode>,
    // By relay, then by source.
    links: Vec<Vec<LinkProxy>>,
    /// The records and changes that the sources acknowledged.
    pub model: Model,
}

impl Network {
    /// Starts sources, links and relays.
    ///
    /// # Errors
    /// If a process or a link does not start.
    pub async fn start(script: &ScaleScript, starter: &ProcessStarter<'_>) -> Result<Self, ScaleError> {
        let size = &script.size;
        let mut network =
            Self { sources: Vec::new(), relays: Vec::new(), links: Vec::new(), model: Model::new() };
        for number in 0..size.sources {
            let name = format!("source-{number}");
            let snapshot = starter.folder.path().join(format!("{name}.snapshot"));
            let config = |listen: SocketAddr| {
                format!(
                    "[source]\nid = {number}\nname = \"{name}\"\nlisten = \"{listen}\"\nsnapshot = \"{}\"\n",
                    snapshot.display()
                )
            };
            let mut node = ControlNode::new(starter, "source", &name, config)?;
            node.start(starter).await?;
            network.sources.push(Source { node, writer: None, snapshot, saved_snapshot: None });
            network.model.insert(number as SourceId, SourceModel::default());
        }
        for number in 0..size.relays {
            let mut links = Vec::new();
            for source in &network.sources {
                links.push(LinkProxy::start(source.node.address()).await?);
            }
            let name = format!("relay-{number}");
            let addresses: Vec<String> = links
                .iter()
                .enumerate()
                .map(|(id, link)| format!("{{ id = {id}, address = \"{}\" }}", link.address))
                .collect();
            let config = |listen: SocketAddr| {
                let sources = addresses.join(", ");
                format!("[relay]\nname = \"{name}\"\nlisten = \"{listen}\"\nsources = [{sources}]\n")
            };
            let mut node = ControlNode::new(starter, "relay", &name, config)?;
            node.start(starter).await?;
            network.relays.push(node);
            network.links.push(links);
        }
        Ok(network)
    }

    /// Name and address of each relay of a region.
    #[must_use]
    pub fn relays_of(&self, region: usize) -> Vec<(String, SocketAddr)> {
        let of_region =
            self.relays.iter().enumerate().filter(|(n, _)| n % self.sources.len() == region).map(|(_, r)| r);
        of_region.map(|relay| (relay.name.clone(), relay.address())).collect()
    }

    /// Interrupts (`true`) or restores all links between a region and the others, in both directions.
    pub fn set_isolated(&self, region: usize, isolated: bool) {
        for (relay, links) in self.links.iter().enumerate() {
            for (source, link) in links.iter().enumerate() {
                let relay_region = relay % self.sources.len();
                if relay_region != source && (relay_region == region || source == region) {
                    link.set_interrupted(isolated);
                }
            }
        }
    }

    /// Writes changes to a source, and adds them to the model once they are acknowledged.
    ///
    /// # Errors
    /// If the source can't be reached or does not acknowledge them.
    pub async fn write(
        &mut self,
        source: usize,
        changes: Vec<Change>,
        step: Option<usize>,
    ) -> Result<(), ScaleError> {
        let failed = |e: &dyn std::error::Error| ScaleError::Write(source, e.to_string());
        let entry = &mut self.sources[source];
        if entry.writer.is_none() {
            entry.writer = Some(Writer::connect(entry.node.address()).await.map_err(|e| failed(&e))?);
        }
        let Some(writer) = &mut entry.writer else { return Ok(()) };
        let written_at_us = messages::unix_time_us();
        let last = writer.write_parts(changes.clone()).await.map_err(|e| failed(&e))?;
        if let (Some(last), Some(model)) = (last, self.model.get_mut(&(source as SourceId))) {
            model.record_write(&changes, last, written_at_us, step);
        }
        Ok(())
    }

    /// Saves a copy of a source's snapshot file. [`Network::kill_source`] restores it, so that the source
    /// loses the changes written in between.
    ///
    /// # Errors
    /// If the file can't be read.
    pub fn save_snapshot(&mut self, source: usize) -> Result<(), ScaleError> {
        let entry = &mut self.sources[source];
        entry.saved_snapshot = Some(fs::read(&entry.snapshot)?);
        Ok(())
    }

    /// Kills a source, and restores its snapshot file if a copy was saved.
    ///
    /// # Errors
    /// If the file can't be written.
    pub fn kill_source(&mut self, source: usize) -> Result<(), ScaleError> {
        let entry = &mut self.sources[source];
        entry.node.kill();
        entry.writer = None;
        if let Some(saved) = entry.saved_snapshot.take() {
            fs::write(&entry.snapshot, saved)?;
        }
        Ok(())
    }

    /// Restarts a source, reads its records and resets the model to them, if they are the state after a
    /// prefix of the acknowledged changes. Returns the number of lost changes.
    ///
    /// # Errors
    /// Outer: if the source does not start or can't be read. Inner: a description of how its records differ
    /// from any acknowledged state.
    pub async fn restart_source(
        &mut self,
        source: usize,
        starter: &ProcessStarter<'_>,
    ) -> Result<Result<usize, String>, ScaleError> {
        self.sources[source].node.start(starter).await?;
        let (replica, head) = self.read_records(source).await?;
        let Some(model) = self.model.get_mut(&(source as SourceId)) else { return Ok(Ok(0)) };
        Ok(model.reset_to_restarted(&replica, head).map_err(|disagreement| disagreement.0))
    }

    /// Reads all records that are not gone from a source, as a new subscriber without a replica, and its
    /// position.
    async fn read_records(&self, number: usize) -> Result<(Vec<ReplicaRecord>, Version), ScaleError> {
        let failed = |cause: String| ScaleError::Read(number, cause);
        let read =
            timeout(READ_TIMEOUT, read_all_records(number as SourceId, self.sources[number].node.address()));
        let (records, head) = read
            .await
            .map_err(|_| failed(format!("incomplete after {} s", READ_TIMEOUT.as_secs())))?
            .map_err(|e| failed(e.to_string()))?;
        let live = records.iter().filter(|record| record.state != RecordState::Gone);
        Ok((live.map(|record| ReplicaRecord::from_record(number as SourceId, record)).collect(), head))
    }

    /// The position of each source in the model.
    #[must_use]
    pub fn heads(&self) -> BTreeMap<SourceId, Version> {
        self.model.iter().map(|(&source, model)| (source, model.head)).collect()
    }

    /// Number of records in a complete replica with this scope.
    #[must_use]
    pub fn record_count(&self, population: &Population, scope: &[u32]) -> u32 {
        let live = |service: u32| {
            let source = population.region_of_service(service) as SourceId;
            self.model.get(&source).map_or(0, |model| model.live_records(service))
        };
        scope.iter().map(|&service| live(service) as u32).sum()
    }

    /// Processor time so far (seconds), memory (bytes), and bytes received from sources, of each relay.
    #[must_use]
    pub fn relay_usage(&self) -> Vec<(f64, u64, u64)> {
        let usage = |(relay, links): (&ControlNode, &Vec<LinkProxy>)| {
            let received = links.iter().map(LinkProxy::bytes_from_source).sum();
            let (cpu, memory) = relay.program.as_ref().map_or((0.0, 0), |p| (p.cpu_s(), p.memory()));
            (cpu, memory, received)
        };
        self.relays.iter().zip(&self.links).map(usage).collect()
    }

    /// Processor time so far (seconds) and memory (bytes) of each source.
    #[must_use]
    pub fn source_usage(&self) -> Vec<(f64, u64)> {
        let programs = self.sources.iter().map(|source| source.node.program.as_ref());
        programs.map(|p| p.map_or((0.0, 0), |p| (p.cpu_s(), p.memory()))).collect()
    }

    /// Checks that all started programs are running.
    ///
    /// # Errors
    /// The first program that has exited by itself.
    pub fn check_running(&mut self) -> Result<(), ScaleError> {
        let sources = self.sources.iter_mut().map(|source| &mut source.node);
        let programs = sources.chain(&mut self.relays).filter_map(|node| node.program.as_mut());
        for program in programs {
            program.check_running()?;
        }
        Ok(())
    }
}

/// Reads all records of a source by snapshot requests. The source must not receive changes meanwhile.
async fn read_all_records(source: SourceId, address: SocketAddr) -> io::Result<(Vec<Record>, Version)> {
    let other = |e: CodecError| io::Error::other(e.to_string());
    let (from, to) = TcpStream::connect(address).await?.into_split();
    let (mut from, mut to) = (FrameReader::new(from), FrameWriter::new(to));
    let (name, scope) = ("plain reader".into(), Scope::All);
    to.write(&Message::Hello { protocol: PROTOCOL_VERSION, name, scope, positions: Vec::new() })
        .await
        .map_err(other)?;
    let (mut records, mut head) = (Vec::new(), None);
    let (mut missing, mut requested) = (BTreeSet::new(), BTreeSet::new());
    loop {
        let message = from.read().await.map_err(other)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        match message {
            Message::DigestSummary { range, to, digests, .. } => {
                missing.extend(digests.into_iter().map(|digest| digest.service));
                head = (range.last == ServiceId::MAX).then_some(to[0]);
            }
            Message::ServiceSnapshot { service, through, records: received, .. } => {
                records.extend(received);
                if through.is_none() {
                    requested.remove(&service);
                }
            }
            Message::Batch { records: received, .. } if !received.is_empty() => {
                return Err(io::Error::other("its records changed while they were read"));
            }
            Message::Close { reason } => return Err(io::Error::other(reason)),
            _ => {}
        }
        if let (Some(head), true) = (head, requested.is_empty()) {
            if missing.is_empty() {
                return Ok((records, head));
            }
            // A new snapshot request replaces the previous one, so it is sent only once that is answered.
            requested = missing.iter().copied().take(MAX_SERVICES_PER_REQUEST).collect();
            missing.retain(|service| !requested.contains(service));
            let services = requested.iter().copied().collect();
            to.write(&Message::SnapshotRequest { source, services }).await.map_err(other)?;
        }
    }
}
