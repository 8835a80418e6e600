//! Who could be reached when: what a script did to links, processes and zones, as it happened. Pure.

use super::population::Population;
use super::propagation::{Audience, Group};
use control_plane::record::{ServiceId, SourceId};

/// What was written so shortly before something went wrong may have been on its way still, microseconds: two hops, and a
/// relay that is asked once a second by a busy machine.
const ON_ITS_WAY: u64 = 500_000;

/// Something that kept somebody from being reached, from one moment to another by the machine's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outage {
    /// The unreachable part of the fleet.
    pub target: OutageTarget,
    /// From when on.
    pub from: u64,
    /// Until when.
    pub to: u64,
}

/// Who could not be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutageTarget {
    /// A region and all others, by one another.
    Region(usize),
    /// The hollow proxies of a process.
    Process(usize),
    /// The proxies of a zone, which were gone, or started anew and held all when it was over.
    Zone(usize),
}

/// Who has what in scope, and could be reached when.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    regions: Vec<usize>,
    by_service: Vec<Vec<(Group, u32)>>,
    /// What went wrong.
    pub outages: Vec<Outage>,
}

impl Reachability {
    /// Everybody of a population, dealt out to so many processes by number, can be reached.
    #[must_use]
    pub fn new(population: &Population, processes: usize) -> Self {
        let zones = population.proxies.iter().map(|proxy| proxy.zone).max().unwrap_or(0);
        let regions = (0..=zones).map(|zone| population.region_of_zone(zone)).collect();
        let mut by_service: Vec<Vec<(Group, u32)>> = vec![Vec::new(); population.services()];
        for (number, proxy) in population.proxies[..population.hollow].iter().enumerate() {
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

    /// The moment from which anybody at all could be reached with a change of a source that was written then: the latest of
    /// all groups.
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
            if !(outage.from.saturating_sub(ON_ITS_WAY)..outage.to).contains(&written) {
                continue;
            }
            match outage.target {
                OutageTarget::Region(cut) if region != source && (region == cut || source == cut) => {
                    from = from.max(outage.to);
                }
                OutageTarget::Process(process) if process == usize::from(group.process) => {
                    from = from.max(outage.to)
                }
                OutageTarget::Zone(lost) if lost == zone => return None,
                _ => {}
            }
        }
        Some(from)
    }
}
