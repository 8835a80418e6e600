//! Finds requests that real proxies sent to backends long after these were drained or removed. Does no I/O.

use super::messages::key_hash;
use super::model::Model;
use super::population::Population;
use super::reachability::Reachability;
use control_plane::record::{Kind, SourceId, State};

/// Time allowed from the drain of a backend until no proxy sends to it, microseconds: 4 s of propagation to the agent, 6 s
/// from there to the proxy, 1 s of grace.
pub const DRAINED_TIMEOUT: u64 = 11_000_000;

/// Describes each arrival (time in microseconds, number of the backend) that came after [`DRAINED_TIMEOUT`].
#[must_use]
pub fn find_stale_sends(
    arrivals: &[(u64, u32)],
    model: &Model,
    population: &Population,
    reach: &Reachability,
) -> Vec<String> {
    let describe_stale_send = |&(at, number): &(u64, u32)| {
        let instance = population.backends.get(number as usize)?;
        let source = population.region_of_service(instance.service) as SourceId;
        let name = Population::name(number as usize);
        let key = key_hash(instance.service, Kind::Backend, &name);
        let mut since: Option<u64> = None;
        for change in model.get(&source)?.history(key).filter(|change| change.at <= at) {
            since = (change.state != State::Active).then(|| since.unwrap_or(change.at));
        }
        let since = since?;
        let late = (at - since) as f64 / 1e6;
        (at > reach.latest(source, since) + DRAINED_TIMEOUT)
            .then(|| format!("a request came to {name} {late:.1} s after it was drained"))
    };
    arrivals.iter().filter_map(describe_stale_send).collect()
}
