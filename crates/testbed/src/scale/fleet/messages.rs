//! Messages between the testbed and its processes of simulated proxies. A frame is a length (u32, big-endian) and one value
//! encoded by postcard.

use control_plane::record::{Kind, Record, ServiceId, SourceId, State, Version};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::io;
use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use twox_hash::XxHash3_64;

/// Upper bound of a frame between the testbed and a process of simulated proxies, bytes.
pub const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// The machine's clock, microseconds of Unix time: all processes of a run share it.
#[must_use]
pub fn now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as u64)
}

/// Reads one value and its size in bytes. `None`: the connection ended between two frames.
///
/// # Errors
/// If the connection breaks, a frame is longer than `most`, or its value can't be decoded.
pub async fn read<T: DeserializeOwned>(
    from: &mut (impl AsyncRead + Unpin),
    most: usize,
) -> io::Result<Option<(usize, T)>> {
    let mut length = [0; 4];
    match from.read_exact(&mut length).await {
        Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => return Ok(None),
        read => read?,
    };
    let length = u32::from_be_bytes(length) as usize;
    if length > most {
        let text = format!("a frame of {length} bytes, {most} at most");
        return Err(io::Error::new(io::ErrorKind::InvalidData, text));
    }
    let mut bytes = vec![0; length];
    from.read_exact(&mut bytes).await?;
    let value = postcard::from_bytes(&bytes).map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))?;
    Ok(Some((length + 4, value)))
}

/// Writes one value and returns its size in bytes.
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
    /// Its number in the population.
    pub number: u32,
    /// Its name.
    pub name: String,
    /// The group in which its updates are counted: its zone.
    pub group: u16,
    /// Services that it subscribes to, ascending.
    pub scope: Vec<ServiceId>,
    /// Relays that it may connect to: name and address.
    pub relays: Vec<(String, SocketAddr)>,
}

/// A fault injected between the link and the subscriber of one simulated proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InjectedFault {
    /// No fault.
    #[default]
    None,
    /// One record, and all digests, are dropped from all batches.
    Drop,
    /// Its scope lacks one service.
    Scope,
    /// A new epoch of a source is ignored.
    Epoch,
    /// A record's body is corrupted, and digests are never compared.
    Digest,
}

/// A command from the testbed to a process of simulated proxies.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Adds proxies; none of them starts yet.
    Start {
        /// The simulated proxies.
        proxies: Vec<SimulatedProxySpec>,
        /// Fault of the proxy with the smallest number here.
        fault: InjectedFault,
    },
    /// Discards the counts so far, and arms the injected fault.
    Begin,
    /// Requests the number of proxies that lag behind these positions.
    Behind {
        /// Position of each source.
        heads: Vec<(SourceId, Version)>,
    },
    /// Requests all records of these simulated proxies, or of all that run.
    Dump {
        /// Numbers of the proxies; `None`: all.
        numbers: Option<Vec<u32>>,
    },
    /// Stops proxies and discards their replicas.
    End {
        /// Number of the proxy, or numbers of the proxies.
        numbers: Vec<u32>,
    },
    /// Restarts proxies with an empty replica.
    Restart {
        /// Number of each proxy, and the number of records of its complete replica.
        numbers: Vec<(u32, u32)>,
    },
    /// Requests the updates since the last request. Proxies restarted since then are counted from now on.
    Tallies,
    /// Requests the costs since the last request, and the violations found.
    Costs,
    /// Ends the process.
    Quit,
}

/// One record in a simulated proxy's replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaRecord {
    /// The source that owns it.
    pub source: SourceId,
    /// The service.
    pub service: ServiceId,
    /// The kind.
    pub kind: Kind,
    /// The name.
    pub name: String,
    /// The version.
    pub version: Version,
    /// The state.
    pub state: State,
    /// The body's hash.
    pub body: u64,
}

impl ReplicaRecord {
    /// The replica's form of a record of this source.
    #[must_use]
    pub fn of(source: SourceId, record: &Record) -> Self {
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

/// Hash of a record's key; collisions within a run are improbable enough to be ignored.
#[must_use]
pub fn key_hash(service: ServiceId, kind: Kind, name: &str) -> u64 {
    XxHash3_64::oneshot_with_seed(u64::from(service) << 8 | kind as u64, name.as_bytes())
}

/// How many subscribers of a group replaced one version of a record with another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// The source.
    pub source: SourceId,
    /// The record's key ([`key_hash`]).
    pub key: u64,
    /// The version before; zero: none.
    pub from: Version,
    /// The version after.
    pub to: Version,
    /// The group.
    pub group: u16,
    /// Number of subscribers.
    pub count: u32,
    /// Time of the last replacement ([`now`]).
    pub last: u64,
}

/// Costs of one simulated proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SimulatedProxyCost {
    /// Its number.
    pub number: u32,
    /// Bytes received.
    pub bytes: u64,
    /// Bytes received in the worst ten seconds.
    pub worst_ten: u64,
    /// Records in force.
    pub records: u32,
    /// Connections that a relay accepted.
    pub welcomes: u32,
    /// Times of its last start and of holding 99% of its expected records, by [`now`]; 0: not yet.
    pub full: (u64, u64),
}

/// A response of a process of simulated proxies to the testbed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Response {
    /// Done.
    Done,
    /// Response to [`Command::Behind`]: how many, and the first of them.
    Behind {
        /// Number of lagging proxies.
        count: u32,
        /// One of them, with what it lacks.
        example: Option<String>,
    },
    /// Response to [`Command::Dump`], one for each; [`Response::Done`] comes last.
    Records {
        /// Number of the proxy, or numbers of the proxies.
        number: u32,
        /// Its replica.
        records: Vec<ReplicaRecord>,
    },
    /// Response to [`Command::Tallies`].
    Tallies {
        /// Updates since the last request.
        tallies: Vec<Tally>,
        /// Updates that exceeded the table's bound; must be 0 for the results to be valid.
        forgotten: u64,
    },
    /// Response to [`Command::Costs`].
    Costs {
        /// One entry for each simulated proxy.
        each: Vec<SimulatedProxyCost>,
        /// Memory of the version monitors, bytes: not a cost of the subscribers.
        watchers: u64,
        /// Violations that the version monitors found, by proxy number.
        breaks: Vec<(u32, String)>,
    },
    /// The process can't continue.
    Failed {
        /// The reason.
        why: String,
    },
}
