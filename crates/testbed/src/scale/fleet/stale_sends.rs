//! Finds requests that real proxies sent to backends too long after these were drained or removed. Does no
//! I/O.

use super::messages::key_hash;
use super::model::Model;
use super::population::Population;
use super::reachability::Reachability;
use control_plane::record::{RecordKind, RecordState, SourceId};

/// Time allowed from the drain of a backend until no proxy sends to it, microseconds: 4 s of propagation to
/// the agent, 6 s from there to the proxy, and 1 s of tolerance.
pub const DRAIN_TIMEOUT_US: u64 = 11_000_000;

/// Describes each arrival (time in microseconds of Unix time, number of the backend) at a backend that was
/// drained or removed more than [`DRAIN_TIMEOUT_US`] before. Time in which a proxy could not be reached does
/// not count.
#[must_use]
pub fn find_stale_sends(
    arrivals: &[(u64, u32)],
    model: &Model,
    population: &Population,
    reachability: &Reachability,
) -> Vec<String> {
    let describe_stale_send = |&(at, number): &(u64, u32)| {
        let instance = population.backends.get(number as usize)?;
        let source = population.region_of_service(instance.service) as SourceId;
        let name = Population::backend_name(number as usize);
        let key = key_hash(instance.service, RecordKind::Backend, &name);
        let mut since: Option<u64> = None;
        for change in model.get(&source)?.history(key).filter(|change| change.written_at_us <= at) {
            since = (change.state != RecordState::Active).then(|| since.unwrap_or(change.written_at_us));
        }
        let since = since?;
        let late_s = (at - since) as f64 / 1e6;
        (at > reachability.all_reachable_from_us(source, since) + DRAIN_TIMEOUT_US)
            .then(|| format!("{name} received a request {late_s:.1} s after it was drained"))
    };
    arrivals.iter().filter_map(describe_stale_send).collect()
}
