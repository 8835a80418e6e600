//! Outages of links, processes and zones during a run, and which proxies were reachable when. Does no I/O.

use super::population::Population;
use super::propagation::{Audience, Group};
use control_plane::record::{ServiceId, SourceId};

/// A change written this shortly before an outage may still be in flight when it begins, microseconds.
const MAX_IN_FLIGHT: u64 = 500_000;

/// A part of the fleet was unreachable for some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outage {
    /// The unreachable part of the fleet.
    pub target: OutageTarget,
    /// Start, microseconds of Unix time.
    pub from: u64,
    /// End, microseconds of Unix time.
    pub to: u64,
}

/// The unreachable part of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutageTarget {
    /// A region: its links to all other regions are interrupted.
    Region(usize),
    /// The simulated proxies of a process.
    Process(usize),
    /// The proxies of a zone: stopped or restarted, with a complete replica at the end.
    Zone(usize),
}

/// Subscribers of each service, and the outages of a run.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    regions: Vec<usize>,
    by_service: Vec<Vec<(Group, u32)>>,
    /// All outages so far.
    pub outages: Vec<Outage>,
}

impl Reachability {
    /// A population without outages, its simulated proxies distributed over this many processes by number.
    #[must_use]
    pub fn new(population: &Population, processes: usize) -> Self {
        let zones = population.proxies.iter().map(|proxy| proxy.zone).max().unwrap_or(0);
        let regions = (0..=zones).map(|zone| population.region_of_zone(zone)).collect();
        let mut by_service: Vec<Vec<(Group, u32)>> = vec![Vec::new(); population.services()];
        for (number, proxy) in population.proxies[..population.simulated].iter().enumerate() {
            let group = Group { process: (number % processes) as u16, zone: proxy.zone as u16 };
            for &service in &proxy.scope {
                let groups = &mut by_service[service as usize];
                match groups.iter_mut().find(|(other, _)| *other == group) {
                    Some((_, count)) => *count += 1,
                    None => groups.push((group, 1)),
                }
            }
        }
        Self { regions, by_service, outages: Vec::new() }
    }

    /// The time from which a change of a source that was written at `written` could reach every group, microseconds.
    #[must_use]
    pub fn latest(&self, source: SourceId, written: u64) -> u64 {
        let zones = (0..self.regions.len()).map(|zone| Group { process: 0, zone: zone as u16 });
        zones.filter_map(|group| self.reachable(source, group, written)).max().unwrap_or(written)
    }
}

impl Audience for Reachability {
    fn of(&self, service: ServiceId) -> &[(Group, u32)] {
        self.by_service.get(service as usize).map_or(&[], Vec::as_slice)
    }

    fn reachable(&self, source: SourceId, group: Group, written: u64) -> Option<u64> {
        let (source, zone) = (usize::from(source), usize::from(group.zone));
        let region = self.regions.get(zone).copied().unwrap_or(0);
        let mut from = written;
        for outage in &self.outages {
            if !(outage.from.saturating_sub(MAX_IN_FLIGHT)..outage.to).contains(&written) {
                continue;
            }
            match outage.target {
                OutageTarget::Region(cut) if region != source && (region == cut || source == cut) => {
                    from = from.max(outage.to);
                }
                OutageTarget::Process(process) if process == usize::from(group.process) => {
                    from = from.max(outage.to);
                }
                OutageTarget::Zone(lost) if lost == zone => return None,
                _ => {}
            }
        }
        Some(from)
    }
}
