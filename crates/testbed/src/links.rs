//! What becomes of a message on a link, by script. Pure: told who sends what to whom and when, it says when that arrives,
//! if at all. The seed fixes what is hit: the n-th message of a link has the same fate in each run.

use crate::script::{Direction, LinkEndpoints, LinkFault, Script, micros, zone_of};
use balancer::api::Micros;

/// A segment that was lost over TCP comes again after this, twice as long each time, up to so many times.
const RETRANSMIT: Micros = 200_000;
const MAX_RETRANSMITS: u32 = 5;
/// A datagram that comes behind later ones comes so much later at the least.
const REORDER: Micros = 20_000;

/// A link between a proxy and somebody.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Link {
    /// What kind of party the other one is.
    pub between: LinkEndpoints,
    /// The proxy; among proxies, the one with the lower number.
    pub proxy: usize,
    /// The other one's number, where it has one.
    pub peer: usize,
}

impl Link {
    /// The link between two proxies, and the way from the first to the second.
    #[must_use]
    pub fn of_proxies(from: usize, to: usize) -> (Self, Direction) {
        let way = if from < to { Direction::Out } else { Direction::Back };
        (Self { between: LinkEndpoints::Proxies, proxy: from.min(to), peer: from.max(to) }, way)
    }
}

/// What becomes of a datagram: how much later each copy of it arrives. None: it is lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DatagramDelivery {
    /// The datagram.
    pub first: Option<Micros>,
    /// Its double.
    pub second: Option<Micros>,
}

/// What becomes of a piece of a stream: it arrives, in order, so much later.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Passage {
    /// How much later.
    pub delay: Micros,
    /// And not before this, from the day's beginning.
    pub not_before: Micros,
}

struct Rule {
    fault: LinkFault,
    from: Micros,
    to: Micros,
}

/// All rules of a day.
pub struct Links {
    seed: u64,
    zones: u16,
    rules: Vec<Rule>,
}

impl Links {
    /// The rules of a script.
    #[must_use]
    pub fn new(script: &Script) -> Self {
        let rule = |fault: &LinkFault| Rule {
            fault: fault.clone(),
            from: micros(fault.at_s),
            to: micros(fault.at_s + fault.for_s),
        };
        Self {
            seed: script.seed,
            zones: script.fleet.zones,
            rules: script.link_faults.iter().map(rule).collect(),
        }
    }

    fn draw(&self, rule: usize, link: Link, what: u64, nth: u64) -> fastrand::Rng {
        let place = (link.proxy as u64) << 40 ^ (link.peer as u64) << 16 ^ (rule as u64) << 8 ^ what;
        fastrand::Rng::with_seed(self.seed ^ place.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ nth.rotate_left(33))
    }

    /// Whether a rule is in force on a link and way at this time.
    fn holds(&self, number: usize, link: Link, way: Direction, now: Micros) -> bool {
        let Rule { fault, from, to } = &self.rules[number];
        let zone = |proxy: usize| zone_of(proxy, self.zones);
        let in_zone = fault.zone.is_none_or(|z| {
            // Among proxies a zone is hit where its links lead outside.
            let (a, b) =
                (zone(link.proxy) == z, link.between == LinkEndpoints::Proxies && zone(link.peer) == z);
            a != b
        });
        let this_way = fault.way == Direction::Both || fault.way == way;
        (*from..*to).contains(&now)
            && fault.between == link.between
            && this_way
            && in_zone
            && (fault.part >= 1.0 || self.draw(number, link, 1, 0).f64() < fault.part)
    }

    fn in_force(&self, link: Link, way: Direction, now: Micros) -> impl Iterator<Item = (usize, &Rule)> {
        let held = move |(number, _): &(usize, &Rule)| self.holds(*number, link, way, now);
        self.rules.iter().enumerate().filter(held)
    }

    /// What becomes of the n-th datagram of a link and way.
    #[must_use]
    pub fn datagram(&self, link: Link, way: Direction, now: Micros, nth: u64) -> DatagramDelivery {
        let (mut delay, mut double) = (0, false);
        for (number, Rule { fault, .. }) in self.in_force(link, way, now) {
            let mut rng = self.draw(number, link, 2 + way as u64, nth + 1);
            if fault.cut || rng.f64() < fault.drop {
                return DatagramDelivery::default();
            }
            delay += late(fault, &mut rng);
            double |= rng.f64() < fault.duplicate;
            if rng.f64() < fault.reorder {
                delay += REORDER + 2 * micros((fault.delay_ms + fault.spread_ms) / 1e3);
            }
        }
        DatagramDelivery { first: Some(delay), second: double.then_some(delay + REORDER) }
    }

    /// What becomes of the n-th piece of a stream.
    #[must_use]
    pub fn piece(&self, link: Link, way: Direction, now: Micros, nth: u64) -> Passage {
        let mut passage = Passage::default();
        for (number, Rule { fault, to, .. }) in self.in_force(link, way, now) {
            let mut rng = self.draw(number, link, 2 + way as u64, nth + 1);
            passage.delay += late(fault, &mut rng);
            let losses = (0..MAX_RETRANSMITS).take_while(|_| rng.f64() < fault.drop).count();
            passage.delay += RETRANSMIT * ((1 << losses) - 1);
            if fault.cut {
                passage.not_before = passage.not_before.max(*to);
            }
        }
        passage
    }

    /// By how much what is sent on a stream between two times may be late at the most: what a judge has to allow for.
    #[must_use]
    pub fn max_delay(&self, link: Link, way: Direction, from: Micros, to: Micros) -> Micros {
        let late = self.rules.iter().enumerate().filter_map(|(number, rule)| {
            let now = from.max(rule.from);
            if now > to || !self.holds(number, link, way, now) {
                return None;
            }
            let fault = &rule.fault;
            let lost = if fault.drop > 0.0 { RETRANSMIT << MAX_RETRANSMITS } else { 0 };
            // A narrow line has no bound of its own: as long as it is narrow.
            let held = if fault.cut || fault.kbytes_s > 0.0 { rule.to - now } else { 0 };
            Some(micros((fault.delay_ms + fault.spread_ms) / 1e3) + lost + held)
        });
        late.sum()
    }

    /// Bytes that may pass in a second; none: any number.
    #[must_use]
    pub fn bandwidth(&self, link: Link, way: Direction, now: Micros) -> Option<f64> {
        let limits = self.in_force(link, way, now).map(|(_, rule)| rule.fault.kbytes_s * 1e3);
        limits.filter(|&limit| limit > 0.0).min_by(f64::total_cmp)
    }
}

fn late(fault: &LinkFault, rng: &mut fastrand::Rng) -> Micros {
    micros((fault.delay_ms + rng.f64() * fault.spread_ms) / 1e3)
}

/// When what is written to a line of limited bandwidth has passed.
#[derive(Clone, Copy, Debug, Default)]
pub struct BandwidthQueue {
    free_at: Micros,
}

impl BandwidthQueue {
    /// So many bytes come at a time; gives when the last one has passed.
    pub fn pass(&mut self, now: Micros, bytes: usize, per_s: Option<f64>) -> Micros {
        let takes = per_s.map_or(0, |per_s| (bytes as f64 / per_s * 1e6) as Micros);
        self.free_at = self.free_at.max(now) + takes;
        self.free_at
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::path::Path;

    fn links(rules: &str) -> Links {
        let text = format!(
            "seed = 5\nseconds = 20.0\nfleet = {{ boxes = 6, proxies = 40, zones = 2, cells = 1, cores = 1.0, holds = 8.0 }}\n\
             traffic = {{ per_s = 5.0 }}\nlink = [{rules}]\n[[class]]\nname = \"r\"\neffect = \"safe\"\nshare = 1.0\n\
             work_ms = [1.0, 2.0]\naim_ms = 540\ndeadline_ms = 1500\nworth = 1.0\n"
        );
        Links::new(&Script::parse(&text, Path::new("links.toml")).expect("a good script"))
    }

    const fn to_box(proxy: usize, peer: usize) -> Link {
        Link { between: LinkEndpoints::Boxes, proxy, peer }
    }

    #[test]
    fn a_part_of_the_links_is_hit_for_its_time_and_the_same_at_each_run() {
        let rules = "{ between = \"boxes\", at_s = 5.0, for_s = 5.0, part = 0.1, delay_ms = 200.0 }";
        let (links, again) = (links(rules), links(rules));
        let all = (0..40).flat_map(|p| (0..6).map(move |b| to_box(p, b)));
        let late = |links: &Links, now| -> Vec<Link> {
            all.clone().filter(|&l| links.piece(l, Direction::Out, now, 3).delay == 200_000).collect()
        };
        let hit = late(&links, 5_000_000);
        assert!((10..45).contains(&hit.len()), "{} of 240 links", hit.len());
        assert_eq!(hit, late(&again, 9_999_999));
        assert_eq!((late(&links, 4_999_999).len(), late(&links, 10_000_000).len()), (0, 0));
    }

    #[test]
    fn a_cut_holds_streams_until_its_end_and_loses_datagrams_one_way() {
        let rules = "{ between = \"boxes\", at_s = 1.0, for_s = 2.0, cut = true }, \
            { between = \"proxies\", at_s = 1.0, for_s = 2.0, cut = true, way = \"out\" }";
        let links = links(rules);
        assert_eq!(links.piece(to_box(1, 1), Direction::Back, 1_500_000, 0).not_before, 3_000_000);
        let late = |from, to| links.max_delay(to_box(1, 1), Direction::Back, from, to);
        assert_eq!(
            (late(0, 900_000), late(1_500_000, 1_600_000), late(3_000_000, 9_000_000)),
            (0, 1_500_000, 0)
        );
        let sent = |from, to| {
            let (link, way) = Link::of_proxies(from, to);
            links.datagram(link, way, 1_500_000, 0).first.is_some()
        };
        assert_eq!((sent(1, 2), sent(2, 1)), (false, true));
    }

    #[test]
    fn a_zone_is_cut_off_from_the_others_and_not_within() {
        let links = links("{ between = \"proxies\", at_s = 0.0, for_s = 9.0, cut = true, zone = 1 }");
        let sent = |from, to| {
            let (link, way) = Link::of_proxies(from, to);
            links.datagram(link, way, 1, 0).first.is_some()
        };
        assert_eq!((sent(1, 3), sent(0, 2), sent(0, 1), sent(3, 2)), (true, true, false, false));
    }

    #[test]
    fn datagrams_are_lost_doubled_and_reordered_as_often_as_the_script_says() {
        let rules = "{ between = \"proxies\", at_s = 0.0, for_s = 9.0, drop = 0.4, duplicate = 0.1, reorder = 0.2, \
            delay_ms = 5.0, spread_ms = 10.0 }";
        let links = links(rules);
        let (link, way) = Link::of_proxies(3, 4);
        let fates: Vec<DatagramDelivery> = (0..10_000).map(|nth| links.datagram(link, way, 1, nth)).collect();
        let part =
            |of: &dyn Fn(&DatagramDelivery) -> bool| fates.iter().filter(|f| of(f)).count() as f64 / 1e4;
        assert!((part(&|f| f.first.is_none()) - 0.4).abs() < 0.02);
        assert!((part(&|f| f.second.is_some()) - 0.06).abs() < 0.01);
        assert!((part(&|f| f.first.is_some_and(|late| late >= 5_000 + REORDER)) - 0.12).abs() < 0.02);
        assert!(fates.iter().filter_map(|f| f.first).all(|late| late >= 5_000));
        assert!(
            links.piece(to_box(3, 4), Direction::Out, 1, 0) == Passage::default(),
            "another kind of link"
        );
    }

    #[test]
    fn a_line_of_limited_bandwidth_passes_one_thing_after_another() {
        let mut line = BandwidthQueue::default();
        assert_eq!(line.pass(0, 1_000, Some(10_000.0)), 100_000);
        assert_eq!(line.pass(50_000, 1_000, Some(10_000.0)), 200_000);
        assert_eq!(line.pass(500_000, 1_000, None), 500_000);
    }
}
