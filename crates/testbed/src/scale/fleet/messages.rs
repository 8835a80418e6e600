//! Messages between the testbed and its processes of simulated proxies. A frame is a length (u32, big-endian)
//! and one value encoded by postcard. The order of variants and fields is the format.

use control_plane::record::{Record, RecordKind, RecordState, ServiceId, SourceId, Version};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::io;
use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use twox_hash::XxHash3_64;

/// Upper bound of a frame between the testbed and a process of simulated proxies, bytes.
pub const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// Returns the machine's clock in microseconds of Unix time. All processes of a run share this clock.
#[must_use]
pub fn unix_time_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as u64)
}

/// Reads one value and the size of its frame in bytes. `None`: the connection ended between two frames.
///
/// # Errors
/// If the connection breaks, the value is longer than `max_bytes`, or it can't be decoded.
pub async fn read<T: DeserializeOwned>(
    from: &mut (impl AsyncRead + Unpin),
    max_bytes: usize,
) -> io::Result<Option<(usize, T)>> {
    let mut length = [0; 4];
    match from.read_exact(&mut length).await {
        Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => return Ok(None),
        read => read?,
    };
    let length = u32::from_be_bytes(length) as usize;
    if length > max_bytes {
        let text = format!("a frame has {length} bytes, {max_bytes} are allowed");
        return Err(io::Error::new(io::ErrorKind::InvalidData, text));
    }
    let mut bytes = vec![0; length];
    from.read_exact(&mut bytes).await?;
    let value = postcard::from_bytes(&bytes).map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))?;
    Ok(Some((length + 4, value)))
}

/// Writes one value and returns the size of its frame in bytes.
///
/// # Errors
/// If the connection breaks, or the value is too large for a frame.
pub async fn write<T: Serialize + ?Sized>(
    to: &mut (impl AsyncWrite + Unpin),
    value: &T,
) -> io::Result<usize> {
    let mut bytes =
        postcard::to_extend(value, vec![0; 4]).map_err(|e| io::Error::new(io::ErrorKind::InvalidInput, e))?;
    let length =
        u32::try_from(bytes.len() - 4).map_err(|e| io::Error::new(io::ErrorKind::InvalidInput, e))?;
    bytes[..4].copy_from_slice(&length.to_be_bytes());
    to.write_all(&bytes).await?;
    Ok(bytes.len())
}

/// Configuration of one simulated proxy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SimulatedProxySpec {
    /// The proxy's number in the population.
    pub number: u32,
    /// The name by which it introduces itself to relays.
    pub name: String,
    /// The group in which its updates are counted: its zone.
    pub group: u16,
    /// Services to which it subscribes, ascending.
    pub scope: Vec<ServiceId>,
    /// Relays that it may connect to: name and address.
    pub relays: Vec<(String, SocketAddr)>,
}

/// A fault injected between the connection and the subscriber of one simulated proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InjectedFault {
    /// No fault.
    #[default]
    None,
    /// One record and all digests are dropped from all batches.
    Drop,
    /// The scope that it sends to the relay lacks one service.
    Scope,
    /// A new epoch of a source is ignored.
    Epoch,
    /// One record's body is corrupted, and digests are never compared.
    Digest,
}

/// A command from the testbed to a process of simulated proxies.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Adds proxies, which are started by [`Command::Restart`].
    Start {
        /// The simulated proxies.
        proxies: Vec<SimulatedProxySpec>,
        /// Fault of the proxy with the smallest number of the process.
        fault: InjectedFault,
    },
    /// Discards the counts so far, and arms the injected fault.
    StartCounting,
    /// Requests the number of proxies that lag behind these positions.
    Behind {
        /// Position of each source.
        heads: Vec<(SourceId, Version)>,
    },
    /// Requests all records of these simulated proxies, or of all running ones.
    ReadReplicas {
        /// Numbers of the proxies; `None`: all.
        numbers: Option<Vec<u32>>,
    },
    /// Stops proxies and discards their replicas.
    Stop {
        /// Numbers of the proxies.
        numbers: Vec<u32>,
    },
    /// Restarts proxies with an empty replica.
    Restart {
        /// Number of each proxy, and the number of records of its complete replica.
        numbers: Vec<(u32, u32)>,
    },
    /// Requests the updates since the last request. Updates of proxies restarted since then are counted from
    /// now on.
    Tallies,
    /// Requests the costs since the last request, and all violations found so far.
    Costs,
    /// Ends the process.
    Quit,
}

/// One record in a simulated proxy's replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaRecord {
    /// The source that owns it.
    pub source: SourceId,
    /// The service to which it belongs.
    pub service: ServiceId,
    /// The kind, first part of its key within the service.
    pub kind: RecordKind,
    /// The name, second part of its key within the service.
    pub name: String,
    /// The version of its last change.
    pub version: Version,
    /// The state after its last change.
    pub state: RecordState,
    /// The body's hash (XXH3, 64 bits).
    pub body: u64,
}

impl ReplicaRecord {
    /// Converts a record of this source, with its body replaced by the hash.
    #[must_use]
    pub fn from_record(source: SourceId, record: &Record) -> Self {
        Self {
            source,
            service: record.key.service,
            kind: record.key.kind,
            name: record.key.name.to_string(),
            version: record.version,
            state: record.state,
            body: XxHash3_64::oneshot(&record.body),
        }
    }
}

/// Hash of a record's key. Collisions within a run are improbable enough to be ignored.
#[must_use]
pub fn key_hash(service: ServiceId, kind: RecordKind, name: &str) -> u64 {
    XxHash3_64::oneshot_with_seed(u64::from(service) << 8 | kind as u64, name.as_bytes())
}

/// How many subscribers of a group replaced one version of a record with another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// The source that owns the record.
    pub source: SourceId,
    /// The record's key ([`key_hash`]).
    pub key: u64,
    /// The replaced version; zero if there was none.
    pub from: Version,
    /// The new version.
    pub to: Version,
    /// The group of the subscribers.
    pub group: u16,
    /// Number of subscribers.
    pub count: u32,
    /// Time of the last replacement ([`unix_time_us`]).
    pub last: u64,
}

/// Costs of one simulated proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SimulatedProxyCost {
    /// The proxy's number.
    pub number: u32,
    /// Bytes received since the last request.
    pub bytes: u64,
    /// Maximum of the bytes received over any ten seconds since the last request.
    pub worst_ten: u64,
    /// Records in its replica that are not gone.
    pub records: u32,
    /// Connections that a relay accepted since the proxy's start.
    pub welcomes: u32,
    /// Time of its last start, and time at which its replica had 99% of its expected records, by
    /// [`unix_time_us`]; 0: not yet.
    pub full: (u64, u64),
}

/// A response of a process of simulated proxies to the testbed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Response {
    /// The command is completed.
    Done,
    /// Response to [`Command::Behind`].
    Behind {
        /// Number of lagging proxies.
        count: u32,
        /// Description of the first lagging proxy, with the position that it lacks.
        example: Option<String>,
    },
    /// Response to [`Command::ReadReplicas`], one for each proxy; [`Response::Done`] comes last.
    Records {
        /// Number of the proxy.
        number: u32,
        /// All records of its replica.
        records: Vec<ReplicaRecord>,
    },
    /// Response to [`Command::Tallies`].
    Tallies {
        /// Updates since the last request.
        tallies: Vec<Tally>,
        /// Updates that exceeded the table's bound; must be 0 for the results to be valid.
        uncounted: u64,
    },
    /// Response to [`Command::Costs`].
    Costs {
        /// One entry for each simulated proxy.
        proxies: Vec<SimulatedProxyCost>,
        /// Memory of the version monitors, bytes. It is no cost of the subscribers.
        monitor_memory_bytes: u64,
        /// Violations that the version monitors found, each with the proxy's number.
        violations: Vec<(u32, String)>,
    },
    /// The process can't continue.
    Failed {
        /// Description of the error.
        error: String,
    },
}
