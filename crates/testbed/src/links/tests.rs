use super::*;
use std::path::Path;

fn links(faults: &str) -> Links {
    let text = format!(
        "seed = 5\nseconds = 20.0\nfleet = {{ boxes = 6, proxies = 40, zones = 2, cells = 1, cores = 1.0, holds = 8.0 }}\n\
         traffic = {{ per_s = 5.0 }}\nlink = [{faults}]\n[[class]]\nname = \"r\"\neffect = \"safe\"\nshare = 1.0\n\
         work_ms = [1.0, 2.0]\naim_ms = 540\ndeadline_ms = 1500\nworth = 1.0\n"
    );
    Links::new(&Script::parse(&text, Path::new("links.toml")).expect("a valid script"))
}

const fn to_backend(proxy: usize, peer: usize) -> Link {
    Link { between: LinkEndpoints::Backends, proxy, peer }
}

#[test]
fn affects_the_same_links_in_each_run() {
    let faults = "{ between = \"boxes\", at_s = 5.0, for_s = 5.0, part = 0.1, delay_ms = 200.0 }";
    let (links, second_run) = (links(faults), links(faults));
    let all_links = (0..40).flat_map(|p| (0..6).map(move |b| to_backend(p, b)));
    let delayed = |links: &Links, now| -> Vec<Link> {
        all_links.clone().filter(|&link| links.chunk(link, Direction::Out, now, 3).delay == 200_000).collect()
    };
    let affected = delayed(&links, 5_000_000);
    assert!((10..45).contains(&affected.len()), "{} of 240 links", affected.len());
    assert_eq!(affected, delayed(&second_run, 9_999_999));
    assert_eq!((delayed(&links, 4_999_999).len(), delayed(&links, 10_000_000).len()), (0, 0));
}

#[test]
fn cut_delays_streams_and_drops_datagrams_one_way() {
    let faults = "{ between = \"boxes\", at_s = 1.0, for_s = 2.0, cut = true }, \
        { between = \"proxies\", at_s = 1.0, for_s = 2.0, cut = true, way = \"out\" }";
    let links = links(faults);
    assert_eq!(links.chunk(to_backend(1, 1), Direction::Back, 1_500_000, 0).not_before, 3_000_000);
    let max_delay = |from, to| links.max_delay(to_backend(1, 1), Direction::Back, from, to);
    assert_eq!(
        (max_delay(0, 900_000), max_delay(1_500_000, 1_600_000), max_delay(3_000_000, 9_000_000)),
        (0, 1_500_000, 0)
    );
    let is_delivered = |from, to| {
        let (link, direction) = Link::of_proxies(from, to);
        links.datagram(link, direction, 1_500_000, 0).first.is_some()
    };
    assert_eq!((is_delivered(1, 2), is_delivered(2, 1)), (false, true));
}

#[test]
fn zone_fault_affects_only_links_that_leave_the_zone() {
    let links = links("{ between = \"proxies\", at_s = 0.0, for_s = 9.0, cut = true, zone = 1 }");
    let is_delivered = |from, to| {
        let (link, direction) = Link::of_proxies(from, to);
        links.datagram(link, direction, 1, 0).first.is_some()
    };
    assert_eq!(
        (is_delivered(1, 3), is_delivered(0, 2), is_delivered(0, 1), is_delivered(3, 2)),
        (true, true, false, false)
    );
}

#[test]
fn datagrams_are_lost_duplicated_and_reordered_at_the_configured_rates() {
    let faults = "{ between = \"proxies\", at_s = 0.0, for_s = 9.0, drop = 0.4, duplicate = 0.1, reorder = 0.2, \
        delay_ms = 5.0, spread_ms = 10.0 }";
    let links = links(faults);
    let (link, direction) = Link::of_proxies(3, 4);
    let deliveries: Vec<DatagramDelivery> =
        (0..10_000).map(|nth| links.datagram(link, direction, 1, nth)).collect();
    let fraction = |matches: &dyn Fn(&DatagramDelivery) -> bool| {
        deliveries.iter().filter(|d| matches(d)).count() as f64 / 1e4
    };
    assert!((fraction(&|d| d.first.is_none()) - 0.4).abs() < 0.02);
    assert!((fraction(&|d| d.second.is_some()) - 0.06).abs() < 0.01);
    assert!((fraction(&|d| d.first.is_some_and(|delay| delay >= 5_000 + REORDER_DELAY)) - 0.12).abs() < 0.02);
    assert!(deliveries.iter().filter_map(|d| d.first).all(|delay| delay >= 5_000));
    assert!(
        links.chunk(to_backend(3, 4), Direction::Out, 1, 0) == ChunkDelivery::default(),
        "faults of links between proxies do not affect other links"
    );
}

#[test]
fn limited_bandwidth_transmits_one_chunk_after_another() {
    let mut queue = BandwidthQueue::default();
    assert_eq!(queue.transmit(0, 1_000, Some(10_000.0)), 100_000);
    assert_eq!(queue.transmit(50_000, 1_000, Some(10_000.0)), 200_000);
    assert_eq!(queue.transmit(500_000, 1_000, None), 500_000);
}
