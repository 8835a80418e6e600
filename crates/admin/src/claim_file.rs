//! The requests that the processes of one proxy have claimed, shared through one file of each process while
//! there is more than one: a request that must not run twice is not executed by two of them.
//!
//! A process writes a claim before it reads those of its peers, so that of two processes that claim the same
//! request at the same time at least one finds the other's claim.

use crate::exclusions::Micros;
use crate::file_names::file_name_part;
use crate::process_replacement::MAX_PROCESSES;
use nix::libc::O_NONBLOCK;
use std::collections::{HashMap, VecDeque};
use std::fmt::Write as _;
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

/// The maximum number of claims of this process that are kept for a peer that starts later.
const MAX_RECENT_CLAIMS: usize = 8_192;
/// The maximum number of names that are kept of each peer.
const MAX_PEER_NAMES: usize = 4 * MAX_RECENT_CLAIMS;
/// How long the id of a claim is kept, in microseconds.
const ID_RETENTION: Micros = 30_000_000;

/// A request that this process may execute. Names are hashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Its id.
    pub id: u64,
    /// Its idempotency key.
    pub key: Option<u64>,
    /// How long the key is kept, in microseconds.
    pub key_ttl: Micros,
}

/// What a line of a claim file says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Entry {
    Claimed(Claim, Micros),
    Released(Claim),
}

impl Entry {
    fn append_to(self, text: &mut String) {
        let (sign, claim, at) = match self {
            Self::Claimed(claim, at) => ('+', claim, at),
            Self::Released(claim) => ('-', claim, 0),
        };
        let key = claim.key.map_or_else(|| "-".to_owned(), |key| format!("{key:x}"));
        // Writing to a string does not fail.
        let _ = writeln!(text, "{sign} {:x} {key} {} {at}", claim.id, claim.key_ttl);
    }

    fn parse(line: &str) -> Option<Self> {
        let mut fields = line.split(' ');
        let sign = fields.next()?;
        let id = u64::from_str_radix(fields.next()?, 16).ok()?;
        let key = match fields.next()? {
            "-" => None,
            key => Some(u64::from_str_radix(key, 16).ok()?),
        };
        let claim = Claim { id, key, key_ttl: fields.next()?.parse().ok()? };
        let at = fields.next()?.parse().ok()?;
        match sign {
            "+" => Some(Self::Claimed(claim, at)),
            "-" => Some(Self::Released(claim)),
            _ => None,
        }
    }
}

/// The claims that were read from the file of one peer.
#[derive(Debug)]
struct PeerFile {
    path: PathBuf,
    offset: u64,
    /// When the claim of each name ends.
    ids: HashMap<u64, Micros>,
    keys: HashMap<u64, Micros>,
}

impl PeerFile {
    fn new(path: PathBuf) -> Self {
        Self { path, offset: 0, ids: HashMap::new(), keys: HashMap::new() }
    }

    /// Reads what was appended since the last call.
    fn read(&mut self) -> io::Result<()> {
        let mut file = match OpenOptions::new().read(true).custom_flags(O_NONBLOCK).open(&self.path) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(()),
            opened => opened?,
        };
        let length = file.metadata()?.len();
        if length < self.offset {
            // Another process has the slot now.
            *self = Self::new(std::mem::take(&mut self.path));
        }
        if length == self.offset {
            return Ok(());
        }
        let mut text = String::new();
        file.seek(SeekFrom::Start(self.offset))?;
        file.read_to_string(&mut text)?;
        // The last line may not be complete yet.
        let complete = text.rfind('\n').map_or("", |end| &text[..=end]);
        self.offset += complete.len() as u64;
        complete.lines().filter_map(Entry::parse).for_each(|entry| self.apply(entry));
        Ok(())
    }

    fn apply(&mut self, entry: Entry) {
        if self.ids.len() >= MAX_PEER_NAMES {
            self.ids.clear();
            self.keys.clear();
        }
        match entry {
            Entry::Claimed(claim, at) => {
                self.ids.insert(claim.id, at.saturating_add(ID_RETENTION));
                if let Some(key) = claim.key {
                    self.keys.insert(key, at.saturating_add(claim.key_ttl));
                }
            }
            Entry::Released(claim) => {
                self.ids.remove(&claim.id);
                if let Some(key) = claim.key {
                    self.keys.remove(&key);
                }
            }
        }
    }

    fn contains(&self, now: Micros, claim: &Claim) -> bool {
        let holds = |names: &HashMap<u64, Micros>, name| names.get(&name).is_some_and(|&end| now < end);
        holds(&self.ids, claim.id) || claim.key.is_some_and(|key| holds(&self.keys, key))
    }
}

/// The claims of this process and of its peers. Times are machine time.
#[derive(Debug)]
pub struct ClaimFile {
    path: PathBuf,
    peers: Vec<PeerFile>,
    /// The latest claims, the oldest first, for a peer that starts later.
    recent: VecDeque<(Claim, Micros)>,
    /// The file of this process, while it has a peer.
    shared: Option<File>,
}

impl ClaimFile {
    /// The claims of the process in slot `own_index` of the proxy `name`. An earlier process's file in this
    /// slot is removed.
    #[must_use]
    pub fn new(directory: &Path, name: &str, own_index: usize) -> Self {
        let name = file_name_part(name);
        let path = |index: usize| directory.join(format!("haventrack-{name}.claims-{index}"));
        let others = (0..MAX_PROCESSES).filter(|&index| index != own_index);
        // Without an earlier process there is no file.
        let _ = std::fs::remove_file(path(own_index));
        Self {
            path: path(own_index),
            peers: others.map(|index| PeerFile::new(path(index))).collect(),
            recent: VecDeque::new(),
            shared: None,
        }
    }

    /// Whether the claims are in the file.
    #[must_use]
    pub fn is_shared(&self) -> bool {
        self.shared.is_some()
    }

    /// Whether at least this many peers have shared their claims.
    #[must_use]
    pub fn have_peers_shared(&self, peer_count: usize) -> bool {
        self.peers.iter().filter(|peer| peer.path.exists()).count() >= peer_count
    }

    /// Writes the latest claims to the file, and each later one as it is made. Called when there is a peer.
    ///
    /// # Errors
    /// The file can't be created or written; the claims are not shared then.
    pub fn share(&mut self, now: Micros) -> io::Result<()> {
        let mut text = String::new();
        let is_kept = |at: Micros| now < at.saturating_add(ID_RETENTION);
        for &(claim, at) in self.recent.iter().filter(|(_, at)| is_kept(*at)) {
            Entry::Claimed(claim, at).append_to(&mut text);
        }
        let mut options = OpenOptions::new();
        let mut file =
            options.create(true).append(true).custom_flags(O_NONBLOCK).mode(0o600).open(&self.path)?;
        file.write_all(text.as_bytes())?;
        self.shared = Some(file);
        Ok(())
    }

    /// Removes the file, and the claims of peers that have ended. Called while there is no peer.
    pub fn stop_sharing(&mut self, now: Micros) {
        if self.shared.take().is_some() {
            // A peer that has just ended may have claimed something after the last read.
            let _ = self.read_peers();
            // A file that stays is removed when the slot is acquired again.
            let _ = std::fs::remove_file(&self.path);
        }
        for peer in &mut self.peers {
            peer.ids.retain(|_, end| now < *end);
            peer.keys.retain(|_, end| now < *end);
        }
    }

    fn read_peers(&mut self) -> io::Result<()> {
        self.peers.iter_mut().try_for_each(PeerFile::read)
    }

    /// Claims a request at `now`. Returns false if a peer has claimed it.
    ///
    /// # Errors
    /// A file can't be written or read; whether a peer has claimed the request is unknown.
    pub fn claim(&mut self, now: Micros, claim: Claim) -> io::Result<bool> {
        if self.recent.len() >= MAX_RECENT_CLAIMS {
            self.recent.pop_front();
        }
        self.recent.push_back((claim, now));
        if let Some(file) = &mut self.shared {
            append(file, Entry::Claimed(claim, now))?;
            self.read_peers()?;
        }
        Ok(!self.peers.iter().any(|peer| peer.contains(now, &claim)))
    }

    /// Releases a claim of this process, since nothing of its request was executed.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn release(&mut self, claim: Claim) -> io::Result<()> {
        // Requests are rejected soon after they arrive: the claim is among the latest.
        if let Some(at) = self.recent.iter().rposition(|(recent, _)| *recent == claim) {
            self.recent.remove(at);
        }
        self.shared.as_mut().map_or(Ok(()), |file| append(file, Entry::Released(claim)))
    }
}

fn append(file: &mut File, entry: Entry) -> io::Result<()> {
    let mut line = String::new();
    entry.append_to(&mut line);
    file.write_all(line.as_bytes())
}
