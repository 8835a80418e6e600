//! Parses discovery's lists.

use super::DiscoveryError;
use super::start_times::StartTimes;
use crate::backend_list::NamedBackend;
use crate::backend_pool::ListedBackend;
use crate::log::log;
use crate::name_index::NameIndex;
use balancer::api::{Backend, BackendId, Micros, Readiness, SafetyLimits};
use request_engine::driver::clock::Clock;
use rustc_hash::{FxHashMap, FxHashSet};
use serde::Deserialize;
use serde_json::Value;
use thiserror::Error;

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

/// A list entry, parsed if it is valid.
struct ListMember {
    /// Its name, if at least that can be read.
    name: Option<String>,
    parsed: Result<RawMember, MemberError>,
}

impl ListMember {
    fn parse(member: Value) -> Self {
        let name = member.get("id").and_then(Value::as_str).map(str::to_owned);
        Self { name, parsed: serde_json::from_value(member).map_err(MemberError::Malformed) }
    }
}

/// Why a list entry is skipped.
#[derive(Debug, Error)]
enum MemberError {
    /// Not JSON of the expected form.
    #[error("{0}")]
    Malformed(serde_json::Error),
    #[error("`{0}` is not a valid address")]
    Address(String),
    #[error("unknown phase `{0}`")]
    Phase(String),
    #[error("unknown locality `{0}`")]
    Locality(String),
}

/// A list, translated to the balancer's ids and indices.
#[derive(Debug)]
pub struct DiscoveryList {
    /// The revision that the service assigned to it.
    pub revision: u64,
    /// True for a snapshot of all backends, false for changes since an earlier revision.
    pub is_complete: bool,
    /// The valid entries.
    pub backends: Vec<NamedBackend>,
    /// The names of the invalid entries, as far as the names can be read.
    pub invalid_names: Vec<String>,
}

/// Translates discovery's names to the balancer's indices and ids.
pub struct ListTranslator {
    clock: Clock,
    zones: FxHashMap<String, u16>,
    kinds: FxHashMap<String, u8>,
    ids: FxHashMap<String, BackendId>,
    used_ids: FxHashSet<BackendId>,
    start_times: StartTimes,
}

impl ListTranslator {
    /// A translator without ids and start times. `names` gives the zones and machine kinds in the order of
    /// the settings.
    #[must_use]
    pub fn new(clock: Clock, names: &NameIndex, safety: &SafetyLimits) -> Self {
        let zones = names.zones.iter().cloned().zip(0..).collect();
        let kinds = names.machine_kinds.iter().cloned().zip(0..=u8::MAX).collect();
        Self {
            clock,
            zones,
            kinds,
            ids: FxHashMap::default(),
            used_ids: FxHashSet::default(),
            start_times: StartTimes::new(safety),
        }
    }

    /// Parses a list. Invalid entries are logged and skipped.
    ///
    /// # Errors
    /// The list is not JSON of the expected form.
    pub fn list(&mut self, json: Value) -> Result<DiscoveryList, DiscoveryError> {
        let raw: RawList = serde_json::from_value(json).map_err(DiscoveryError::Malformed)?;
        let (mut backends, mut invalid_names) = (Vec::with_capacity(raw.members.len()), Vec::new());
        let members: Vec<_> = raw.members.into_iter().map(ListMember::parse).collect();
        let now = self.clock.now();
        let newest_start_ms = self.newest_start_ms(&members);
        for ListMember { name, parsed } in members {
            match parsed.and_then(|member| self.backend(member, now, newest_start_ms)) {
                Ok(backend) => backends.push(backend),
                Err(error) => {
                    log(format_args!("skipped an invalid entry of the backend list: {error}"));
                    invalid_names.extend(name);
                }
            }
        }
        let list =
            DiscoveryList { revision: raw.revision, is_complete: raw.complete, backends, invalid_names };
        self.drop_removed(&list);
        Ok(list)
    }

    /// Drops the ids of removed backends. They would accumulate in a fleet that gives every new backend a new
    /// name.
    fn drop_removed(&mut self, list: &DiscoveryList) {
        let is_present = |listed: &ListedBackend| listed.backend.readiness != Readiness::Removed;
        let listed = || list.backends.iter().map(|named| named.listed);
        let ids = |present: bool| {
            listed().filter(move |listed| is_present(listed) == present).map(|listed| listed.backend.id)
        };
        let (present, removed): (FxHashSet<_>, FxHashSet<_>) = (ids(true).collect(), ids(false).collect());
        if list.is_complete || !removed.is_empty() {
            let is_retained =
                |id: &BackendId| present.contains(id) || (!list.is_complete && !removed.contains(id));
            self.ids.retain(|_, id| is_retained(id));
            self.used_ids.retain(is_retained);
            self.start_times.expire_removed(self.clock.now(), |id| is_retained(&id));
        }
    }

    /// The latest of the start times that these entries report for the first time, in Unix milliseconds; 0 if
    /// there is none.
    fn newest_start_ms(&mut self, members: &[ListMember]) -> u64 {
        let parsed = members.iter().filter_map(|member| member.parsed.as_ref().ok());
        let starts: Vec<_> = parsed.map(|raw| (self.id(&raw.id), raw.up_since_ms)).collect();
        let new_starts =
            starts.into_iter().filter(|&(id, start_ms)| !self.start_times.is_known(id, start_ms));
        new_starts.map(|(_, start_ms)| start_ms).max().unwrap_or_default()
    }

    fn backend(
        &mut self,
        raw: RawMember,
        now: Micros,
        newest_start_ms: u64,
    ) -> Result<NamedBackend, MemberError> {
        let address = raw.host_port.parse();
        let address = address.map_err(|_| MemberError::Address(raw.host_port))?;
        let readiness = match raw.phase.as_str() {
            "active" => Readiness::Ready,
            "leaving" => Readiness::Draining,
            "left" => Readiness::Removed,
            _ => return Err(MemberError::Phase(raw.phase)),
        };
        let zone = self.zones.get(&raw.locality).copied();
        let zone = zone.ok_or(MemberError::Locality(raw.locality))?;
        // A backend whose machine kind is missing in the settings can still serve.
        let machine_kind = self.kinds.get(&raw.flavor).copied().unwrap_or(0);
        let id = self.id(&raw.id);
        let started_at = self.start_times.started_at(now, id, raw.up_since_ms, newest_start_ms);
        let backend = Backend { id, zone, machine_kind, cell: raw.cell, readiness, started_at };
        Ok(NamedBackend { name: raw.id, listed: ListedBackend { backend, address } })
    }

    /// The id of a backend: the hash of its name, which is the same at every proxy. If two names have the
    /// same hash (one pair in millions), the later one gets the next free id, which may differ between
    /// proxies.
    fn id(&mut self, name: &str) -> BackendId {
        if let Some(&id) = self.ids.get(name) {
            return id;
        }
        let mut id = fnv1a(name.as_bytes());
        while !self.used_ids.insert(id) {
            id = id.wrapping_add(1);
        }
        self.ids.insert(name.to_owned(), id);
        id
    }
}

/// FNV-1a, 32 bits: the same in every build and on every machine.
fn fnv1a(bytes: &[u8]) -> u32 {
    bytes.iter().fold(0x811c_9dc5, |hash, &byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193))
}

#[cfg(test)]
mod tests;
