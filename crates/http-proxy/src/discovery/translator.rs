//! Reads discovery's lists: its names to the module's numbers.

use super::DiscoveryError;
use super::start_times::StartTimes;
use crate::backend_list::Entry;
use crate::backend_pool::ListedBackend;
use crate::log::log;
use crate::name_index::NameIndex;
use balancer::api::{Backend, BackendId, Micros, Readiness, SafetyLimits};
use request_engine::driver::clock::Clock;
use rustc_hash::{FxHashMap, FxHashSet};
use serde::Deserialize;
use serde_json::Value;

#[derive(Deserialize)]
struct RawList {
    revision: u64,
    #[serde(default)]
    complete: bool,
    #[serde(default)]
    members: Vec<Value>,
}

#[derive(Deserialize)]
struct RawMember {
    id: String,
    host_port: String,
    locality: String,
    #[serde(default)]
    flavor: String,
    #[serde(default)]
    cell: u16,
    phase: String,
    #[serde(default)]
    up_since_ms: u64,
}

/// An entry as it came.
struct Member {
    /// Its name, as far as it can be read.
    name: Option<String>,
    read: Result<RawMember, String>,
}

impl Member {
    fn read(member: Value) -> Self {
        let name = member.get("id").and_then(Value::as_str).map(str::to_owned);
        Self { name, read: serde_json::from_value(member).map_err(|e| e.to_string()) }
    }
}

/// A list in the module's terms.
#[derive(Debug)]
pub struct List {
    /// Its version.
    pub revision: u64,
    /// Whether it names all backends.
    pub complete: bool,
    /// The entries that make sense.
    pub entries: Vec<Entry>,
    /// The names of those that do not, as far as they can be read.
    pub unreadable: Vec<String>,
}

/// Translates discovery's names.
pub struct ListTranslator {
    clock: Clock,
    zones: FxHashMap<String, u16>,
    kinds: FxHashMap<String, u8>,
    numbers: FxHashMap<String, BackendId>,
    taken: FxHashSet<BackendId>,
    starts: StartTimes,
}

impl ListTranslator {
    /// A translator that knows no backends yet.
    #[must_use]
    pub fn new(clock: Clock, names: &NameIndex, safety: &SafetyLimits) -> Self {
        let zones = names.zones.iter().cloned().zip(0..).collect();
        let kinds = names.kinds.iter().cloned().zip(0..=u8::MAX).collect();
        Self {
            clock,
            zones,
            kinds,
            numbers: FxHashMap::default(),
            taken: FxHashSet::default(),
            starts: StartTimes::new(safety),
        }
    }

    /// Reads a list. Entries that make no sense are logged.
    ///
    /// # Errors
    /// Where the list as a whole is not what is wanted.
    pub fn list(&mut self, json: Value) -> Result<List, DiscoveryError> {
        let raw: RawList = serde_json::from_value(json).map_err(DiscoveryError::Malformed)?;
        let (mut entries, mut unreadable) = (Vec::with_capacity(raw.members.len()), Vec::new());
        let members: Vec<_> = raw.members.into_iter().map(Member::read).collect();
        let now = self.clock.now();
        let newest = self.newest_start(&members);
        for Member { name, read } in members {
            match read.and_then(|member| self.entry(member, now, newest)) {
                Ok(entry) => entries.push(entry),
                Err(problem) => {
                    log(format_args!("passing over an entry of the list: {problem}"));
                    unreadable.extend(name);
                }
            }
        }
        let list = List { revision: raw.revision, complete: raw.complete, entries, unreadable };
        self.forget_gone(&list);
        Ok(list)
    }

    /// Where every backend has a new name, those that are gone must not pile up.
    fn forget_gone(&mut self, list: &List) {
        let stays = |l: &ListedBackend| l.backend.readiness != Readiness::Removed;
        let listed = || list.entries.iter().map(|e| e.listed);
        let named = |stay: bool| listed().filter(move |l| stays(l) == stay).map(|l| l.backend.id);
        let (stay, gone): (FxHashSet<_>, FxHashSet<_>) = (named(true).collect(), named(false).collect());
        if list.complete || !gone.is_empty() {
            let keep = |id: &BackendId| stay.contains(id) || (!list.complete && !gone.contains(id));
            self.numbers.retain(|_, id| keep(id));
            self.taken.retain(keep);
            self.starts.forget(self.clock.now(), |id| keep(&id));
        }
    }

    /// The latest of the starts that these tell for the first time.
    fn newest_start(&mut self, members: &[Member]) -> u64 {
        let read = members.iter().filter_map(|member| member.read.as_ref().ok());
        let told: Vec<_> = read.map(|raw| (self.number(&raw.id), raw.up_since_ms)).collect();
        let new = told.into_iter().filter(|&(id, told)| !self.starts.is_known(id, told));
        new.map(|(_, told)| told).max().unwrap_or_default()
    }

    fn entry(&mut self, raw: RawMember, now: Micros, newest: u64) -> Result<Entry, String> {
        let address = raw.host_port.parse();
        let address = address.map_err(|_| format!("`{}` is no address", raw.host_port))?;
        let readiness = match raw.phase.as_str() {
            "active" => Readiness::Ready,
            "leaving" => Readiness::Draining,
            "left" => Readiness::Removed,
            other => return Err(format!("unknown phase `{other}`")),
        };
        let zone = self.zones.get(&raw.locality).copied();
        let zone = zone.ok_or_else(|| format!("unknown locality `{}`", raw.locality))?;
        // A kind that the settings don't name can still be sent to.
        let kind = self.kinds.get(&raw.flavor).copied().unwrap_or(0);
        let id = self.number(&raw.id);
        let started = self.starts.place(now, id, raw.up_since_ms, newest);
        let backend =
            Backend { id, zone, machine_kind: kind, cell: raw.cell, readiness, started_at: started };
        Ok(Entry { name: raw.id, listed: ListedBackend { backend, address } })
    }

    /// A backend's number, the same at every proxy: the hash of its name. Two names that share a hash (one in
    /// millions) are told apart by order, which costs nothing but that sameness.
    fn number(&mut self, name: &str) -> BackendId {
        if let Some(&number) = self.numbers.get(name) {
            return number;
        }
        let mut number = fnv(name.as_bytes());
        while !self.taken.insert(number) {
            number = number.wrapping_add(1);
        }
        self.numbers.insert(name.to_owned(), number);
        number
    }
}

/// FNV-1a, 32 bits: stable from one build and machine to the next.
fn fnv(bytes: &[u8]) -> u32 {
    bytes.iter().fold(0x811c_9dc5, |hash, &byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193))
}

#[cfg(test)]
mod tests;
