//! Link faults: whether and when a message on a link is delivered. Pure: the seed determines the affected
//! links, and the n-th message of a link has the same outcome in each run.

use crate::script::{Direction, LinkEndpoints, LinkFault, Script, micros, zone_of};
use balancer::api::Micros;

/// Delay of the first TCP retransmission, microseconds; it doubles with each further one.
const RETRANSMIT_DELAY: Micros = 200_000;
/// Largest number of retransmissions of one segment.
const MAX_RETRANSMITS: u32 = 5;
/// Smallest delay of a reordered or duplicated datagram, microseconds.
const REORDER_DELAY: Micros = 20_000;

/// Index of the random stream that selects the affected links.
const LINK_SELECTION: u64 = 1;
/// Index of the first random stream of message outcomes; there is one per [`Direction`].
const MESSAGE_OUTCOME: u64 = 2;

/// A link between a proxy and another endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Link {
    /// The kinds of endpoints.
    pub between: LinkEndpoints,
    /// The proxy; between two proxies, the one with the lower number.
    pub proxy: usize,
    /// The index of the other endpoint; 0 for clients and discovery.
    pub peer: usize,
}

impl Link {
    /// The link between two proxies, and the direction from the first to the second.
    #[must_use]
    pub fn of_proxies(from: usize, to: usize) -> (Self, Direction) {
        let direction = if from < to { Direction::Out } else { Direction::Back };
        (Self { between: LinkEndpoints::Proxies, proxy: from.min(to), peer: from.max(to) }, direction)
    }
}

/// Outcome of a datagram: the additional delay of each copy, microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DatagramDelivery {
    /// The first copy; `None` if the datagram is lost.
    pub first: Option<Micros>,
    /// The duplicate; `None` if there is none.
    pub second: Option<Micros>,
}

/// Delivery of a chunk of a stream, which arrives in order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ChunkDelivery {
    /// Additional delay, microseconds.
    pub delay: Micros,
    /// Earliest arrival since the start of the scenario, microseconds.
    pub not_before: Micros,
}

/// A link fault with its period, microseconds since the start of the scenario.
struct ScheduledFault {
    fault: LinkFault,
    from: Micros,
    to: Micros,
}

/// The link faults of a scenario.
pub struct Links {
    seed: u64,
    zones: u16,
    faults: Vec<ScheduledFault>,
}

impl Links {
    /// Creates the schedule of a script's link faults.
    #[must_use]
    pub fn new(script: &Script) -> Self {
        let schedule = |fault: &LinkFault| ScheduledFault {
            fault: fault.clone(),
            from: micros(fault.at_s),
            to: micros(fault.at_s + fault.for_s),
        };
        Self {
            seed: script.seed,
            zones: script.fleet.zones,
            faults: script.link_faults.iter().map(schedule).collect(),
        }
    }

    /// The random numbers of the n-th message under a fault, the same in each run.
    fn rng(&self, fault: usize, link: Link, purpose: u64, nth: u64) -> fastrand::Rng {
        let stream = (link.proxy as u64) << 40 ^ (link.peer as u64) << 16 ^ (fault as u64) << 8 ^ purpose;
        fastrand::Rng::with_seed(self.seed ^ stream.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ nth.rotate_left(33))
    }

    /// Whether a fault affects a link and direction at this time since the start of the scenario.
    fn affects(&self, index: usize, link: Link, direction: Direction, now: Micros) -> bool {
        let ScheduledFault { fault, from, to } = &self.faults[index];
        let zone = |proxy: usize| zone_of(proxy, self.zones);
        let in_zone = fault.zone.is_none_or(|faulty_zone| {
            // Between proxies, the fault affects only links that cross the boundary of the zone.
            let proxy_inside = zone(link.proxy) == faulty_zone;
            let peer_inside = link.between == LinkEndpoints::Proxies && zone(link.peer) == faulty_zone;
            proxy_inside != peer_inside
        });
        let in_direction = fault.direction == Direction::Both || fault.direction == direction;
        (*from..*to).contains(&now)
            && fault.between == link.between
            && in_direction
            && in_zone
            && (fault.fraction >= 1.0 || self.rng(index, link, LINK_SELECTION, 0).f64() < fault.fraction)
    }

    fn active_faults(
        &self,
        link: Link,
        direction: Direction,
        now: Micros,
    ) -> impl Iterator<Item = (usize, &ScheduledFault)> {
        let affects = move |(index, _): &(usize, &ScheduledFault)| self.affects(*index, link, direction, now);
        self.faults.iter().enumerate().filter(affects)
    }

    /// Outcome of the n-th datagram of a link and direction, sent at `now` since the start of the scenario.
    #[must_use]
    pub fn datagram(&self, link: Link, direction: Direction, now: Micros, nth: u64) -> DatagramDelivery {
        let mut delay = 0;
        let mut duplicated = false;
        for (index, ScheduledFault { fault, .. }) in self.active_faults(link, direction, now) {
            let mut rng = self.rng(index, link, MESSAGE_OUTCOME + direction as u64, nth + 1);
            if fault.cut || rng.f64() < fault.loss_fraction {
                return DatagramDelivery::default();
            }
            delay += draw_delay(fault, &mut rng);
            duplicated |= rng.f64() < fault.duplication_fraction;
            if rng.f64() < fault.reorder_fraction {
                delay += REORDER_DELAY + 2 * micros((fault.delay_ms + fault.jitter_ms) / 1e3);
            }
        }
        DatagramDelivery { first: Some(delay), second: duplicated.then_some(delay + REORDER_DELAY) }
    }

    /// Delivery of the n-th chunk of a stream, sent at `now` since the start of the scenario.
    #[must_use]
    pub fn chunk(&self, link: Link, direction: Direction, now: Micros, nth: u64) -> ChunkDelivery {
        let mut delivery = ChunkDelivery::default();
        for (index, ScheduledFault { fault, to, .. }) in self.active_faults(link, direction, now) {
            let mut rng = self.rng(index, link, MESSAGE_OUTCOME + direction as u64, nth + 1);
            delivery.delay += draw_delay(fault, &mut rng);
            let losses = (0..MAX_RETRANSMITS).take_while(|_| rng.f64() < fault.loss_fraction).count();
            delivery.delay += RETRANSMIT_DELAY * ((1 << losses) - 1);
            if fault.cut {
                delivery.not_before = delivery.not_before.max(*to);
            }
        }
        delivery
    }

    /// Upper bound on the delay of stream data sent between two times, microseconds; the invariant checker
    /// allows for it.
    #[must_use]
    pub fn max_delay(&self, link: Link, direction: Direction, from: Micros, to: Micros) -> Micros {
        let delays = self.faults.iter().enumerate().filter_map(|(index, scheduled)| {
            let now = from.max(scheduled.from);
            if now > to || !self.affects(index, link, direction, now) {
                return None;
            }
            let fault = &scheduled.fault;
            let retransmission =
                if fault.loss_fraction > 0.0 { RETRANSMIT_DELAY << MAX_RETRANSMITS } else { 0 };
            // With limited bandwidth, only the remaining time of the fault bounds the delay.
            let blocked = if fault.cut || fault.bandwidth_kbytes_s > 0.0 { scheduled.to - now } else { 0 };
            Some(micros((fault.delay_ms + fault.jitter_ms) / 1e3) + retransmission + blocked)
        });
        delays.sum()
    }

    /// Smallest bandwidth limit in effect, bytes per second; `None` if unlimited.
    #[must_use]
    pub fn bandwidth(&self, link: Link, direction: Direction, now: Micros) -> Option<f64> {
        let limits = self
            .active_faults(link, direction, now)
            .map(|(_, scheduled)| scheduled.fault.bandwidth_kbytes_s * 1e3);
        limits.filter(|&limit| limit > 0.0).min_by(f64::total_cmp)
    }
}

fn draw_delay(fault: &LinkFault, rng: &mut fastrand::Rng) -> Micros {
    micros((fault.delay_ms + rng.f64() * fault.jitter_ms) / 1e3)
}

/// Transmission queue of a connection over a link with limited bandwidth.
#[derive(Clone, Copy, Debug, Default)]
pub struct BandwidthQueue {
    free_at: Micros,
}

impl BandwidthQueue {
    /// Queues bytes at a time, and returns the time at which the last one is transmitted, microseconds. The
    /// bandwidth is `None` if unlimited.
    pub fn transmit(&mut self, now: Micros, bytes: usize, bytes_per_s: Option<f64>) -> Micros {
        let duration = bytes_per_s.map_or(0, |rate| (bytes as f64 / rate * 1e6) as Micros);
        self.free_at = self.free_at.max(now) + duration;
        self.free_at
    }
}

#[cfg(test)]
mod tests;
