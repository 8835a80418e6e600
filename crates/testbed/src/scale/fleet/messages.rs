//! What the rig and its hollow processes say to one another, and the frames of every connection here: a length (u32,
//! big-endian) and the bytes of one value (postcard). The same frames carry control's own messages.

use control_plane::record::{Kind, Record, ServiceId, SourceId, State, Version};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::io;
use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use twox_hash::XxHash3_64;

/// The longest frame between the rig and a hollow process, bytes: the scopes of hundreds of subscribers, or a part of
/// what they counted.
pub const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// The machine's clock, microseconds of Unix time: the same one in all processes of a run.
#[must_use]
pub fn now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as u64)
}

/// Reads one value, and says how many bytes it had. `None`: the connection ended between two frames.
///
/// # Errors
/// Where the connection breaks, a frame is longer than `most`, or it holds something else.
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

/// Writes one value; gives how many bytes it had.
///
/// # Errors
/// Where the connection breaks.
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

/// A hollow proxy, as its process is told.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SimulatedProxySpec {
    /// Its number in the population.
    pub number: u32,
    /// Its name.
    pub name: String,
    /// The group under which it counts: whoever can be reached from the same moment on.
    pub group: u16,
    /// What it wants to hear of, ascending.
    pub scope: Vec<ServiceId>,
    /// The relays that it may call: name and address.
    pub relays: Vec<(String, SocketAddr)>,
}

/// What is wrong, on purpose, between the link and the subscriber of one hollow proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InjectedFault {
    /// Nothing.
    #[default]
    None,
    /// One record is dropped from all batches, and all checks with it.
    Drop,
    /// Its scope is off by one service.
    Scope,
    /// It takes no notice of a source's new life.
    Epoch,
    /// A record's body is corrupted, and digests are never compared.
    Digest,
}

/// The rig, to a hollow process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Begin with these.
    Start {
        /// The hollow proxies.
        proxies: Vec<SimulatedProxySpec>,
        /// For the one with the least number here.
        fault: InjectedFault,
    },
    /// Forget what was counted so far; the planted fault may show from now on.
    Begin,
    /// How many are not as far as this, by source?
    Behind {
        /// How far the sources are.
        heads: Vec<(SourceId, Version)>,
    },
    /// All records, please; of these hollow proxies, or of all that live.
    Dump {
        /// Of whom.
        numbers: Option<Vec<u32>>,
    },
    /// These are gone, with all that they hold.
    End {
        /// Who.
        numbers: Vec<u32>,
    },
    /// These start anew and know nothing; those that run end first.
    Restart {
        /// Who, and how many records each will hold when it holds all.
        numbers: Vec<(u32, u32)>,
    },
    /// What came into force since it was last asked. Whoever started anew since then counts from now on.
    Tallies,
    /// What each one cost since it was last asked, and what was broken.
    Costs,
    /// End.
    Quit,
}

/// One record as a hollow proxy holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaRecord {
    /// Whose ledger it lies in.
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
    /// A record of a source's ledger.
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

/// A key as one number; two keys of a run don't meet but by a chance of one in many millions.
#[must_use]
pub fn key_hash(service: ServiceId, kind: Kind, name: &str) -> u64 {
    XxHash3_64::oneshot_with_seed(u64::from(service) << 8 | kind as u64, name.as_bytes())
}

/// So many subscribers of a group went from one version of a record to another; the last one when.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Of which source.
    pub source: SourceId,
    /// Of which record ([`key_hash`]).
    pub key: u64,
    /// What they held; zero: nothing.
    pub from: Version,
    /// What they hold now.
    pub to: Version,
    /// The group.
    pub group: u16,
    /// How many.
    pub count: u32,
    /// When the last one did ([`now`]).
    pub last: u64,
}

/// What one hollow proxy cost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SimulatedProxyCost {
    /// Its number.
    pub number: u32,
    /// Bytes that came.
    pub bytes: u64,
    /// Bytes that came in the worst ten seconds.
    pub worst_ten: u64,
    /// Records that it holds.
    pub records: u32,
    /// Connections that were welcomed.
    pub welcomes: u32,
    /// When it was started last, and when it held 99 of 100 of what it was to hold, by [`now`]; 0: not yet.
    pub full: (u64, u64),
}

/// A hollow process, to the rig.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Response {
    /// Done.
    Done,
    /// In answer to [`Command::Behind`]: how many, and the first of them.
    Behind {
        /// How many are not as far.
        count: u32,
        /// One of them, and what it lacks.
        example: Option<String>,
    },
    /// In answer to [`Command::Dump`], one for each; [`Response::Done`] comes last.
    Records {
        /// Who.
        number: u32,
        /// What it holds.
        records: Vec<ReplicaRecord>,
    },
    /// In answer to [`Command::Tallies`].
    Tallies {
        /// What came into force.
        tallies: Vec<Tally>,
        /// Had no place: must be 0 for figures to hold.
        forgotten: u64,
    },
    /// In answer to [`Command::Costs`].
    Costs {
        /// By hollow proxy.
        each: Vec<SimulatedProxyCost>,
        /// What the watchers hold, bytes: no part of what a subscriber costs.
        watchers: u64,
        /// What the watchers saw broken.
        breaks: Vec<(u32, String)>,
    },
    /// It can't go on.
    Failed {
        /// Why.
        why: String,
    },
}
