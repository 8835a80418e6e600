//! Whether real proxies went on sending to backends that their sources had drained or taken away. Pure.

use super::messages::key_hash;
use super::model::Model;
use super::population::Population;
use super::reachability::Reachability;
use control_plane::record::{Kind, SourceId, State};

/// What a change may take until no proxy sends to a backend that drains, microseconds: 4 s until it is in force at the
/// agent, 6 s until the proxy counts as told, 1 s of grace.
pub const DRAINED_TIMEOUT: u64 = 11_000_000;

/// Requests (when, to which backend) that came to a backend long after it was drained or gone, one sentence each.
#[must_use]
pub fn find_stale_sends(
    arrivals: &[(u64, u32)],
    model: &Model,
    population: &Population,
    reach: &Reachability,
) -> Vec<String> {
    let stray = |&(at, number): &(u64, u32)| {
        let instance = population.backends.get(number as usize)?;
        let source = population.region_of_service(instance.service) as SourceId;
        let name = Population::name(number as usize);
        let key = key_hash(instance.service, Kind::Backend, &name);
        let mut since: Option<u64> = None;
        for said in model.get(&source)?.history(key).filter(|said| said.at <= at) {
            since = (said.state != State::Active).then(|| since.unwrap_or(said.at));
        }
        let since = since?;
        let late = (at - since) as f64 / 1e6;
        (at > reach.latest(source, since) + DRAINED_TIMEOUT)
            .then(|| format!("a request came to {name} {late:.1} s after it was drained"))
    };
    arrivals.iter().filter_map(stray).collect()
}
