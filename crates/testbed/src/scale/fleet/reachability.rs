//! Outages of links, processes and zones during a run, and the times at which proxies were reachable. Does no
//! I/O.

use super::population::Population;
use super::propagation::{Group, Subscribers};
use control_plane::record::{ServiceId, SourceId};

/// A change written less than this before an outage may still be in flight when the outage begins,
/// microseconds.
const MAX_IN_FLIGHT_US: u64 = 500_000;

/// A period in which a part of the fleet was unreachable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outage {
    /// The unreachable part of the fleet.
    pub target: OutageTarget,
    /// Start, microseconds of Unix time.
    pub from_us: u64,
    /// End, microseconds of Unix time; [`u64::MAX`] until it has ended.
    pub to_us: u64,
}

/// The unreachable part of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutageTarget {
    /// A region: its links to all other regions are interrupted.
    Region(usize),
    /// The simulated proxies of a process.
    Process(usize),
    /// The proxies of a zone: they are stopped or restarted, and have a complete replica at the end.
    Zone(usize),
}

/// Subscribers of each service, and the outages of a run.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    /// The region of each zone.
    regions: Vec<usize>,
    groups_by_service: Vec<Vec<(Group, u32)>>,
    /// All outages so far.
    pub outages: Vec<Outage>,
}

impl Reachability {
    /// The subscribers of a population whose simulated proxies are distributed over this many processes by
    /// number, without outages.
    #[must_use]
    pub fn new(population: &Population, processes: usize) -> Self {
        let zones = population.proxies.iter().map(|proxy| proxy.zone).max().unwrap_or(0);
        let regions = (0..=zones).map(|zone| population.region_of_zone(zone)).collect();
        let mut groups_by_service: Vec<Vec<(Group, u32)>> = vec![Vec::new(); population.services()];
        for (number, proxy) in population.proxies[..population.simulated].iter().enumerate() {
            let group = Group { process: (number % processes) as u16, zone: proxy.zone as u16 };
            for &service in &proxy.scope {
                let groups = &mut groups_by_service[service as usize];
                match groups.iter_mut().find(|(other, _)| *other == group) {
                    Some((_, count)) => *count += 1,
                    None => groups.push((group, 1)),
                }
            }
        }
        Self { regions, groups_by_service, outages: Vec::new() }
    }

    /// The time from which a change that a source wrote at `written_at_us` could reach every zone,
    /// microseconds.
    #[must_use]
    pub fn all_reachable_from_us(&self, source: SourceId, written_at_us: u64) -> u64 {
        let zones = (0..self.regions.len()).map(|zone| Group { process: 0, zone: zone as u16 });
        zones
            .filter_map(|group| self.reachable_from_us(source, group, written_at_us))
            .max()
            .unwrap_or(written_at_us)
    }
}

impl Subscribers for Reachability {
    fn groups(&self, service: ServiceId) -> &[(Group, u32)] {
        self.groups_by_service.get(service as usize).map_or(&[], Vec::as_slice)
    }

    fn reachable_from_us(&self, source: SourceId, group: Group, written_at_us: u64) -> Option<u64> {
        let (source, zone) = (usize::from(source), usize::from(group.zone));
        let region = self.regions.get(zone).copied().unwrap_or(0);
        let mut from = written_at_us;
        for outage in &self.outages {
            if !(outage.from_us.saturating_sub(MAX_IN_FLIGHT_US)..outage.to_us).contains(&written_at_us) {
                continue;
            }
            match outage.target {
                OutageTarget::Region(isolated)
                    if region != source && (region == isolated || source == isolated) =>
                {
                    from = from.max(outage.to_us);
                }
                OutageTarget::Process(process) if process == usize::from(group.process) => {
                    from = from.max(outage.to_us);
                }
                OutageTarget::Zone(lost) if lost == zone => return None,
                _ => {}
            }
        }
        Some(from)
    }
}
