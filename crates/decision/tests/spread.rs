//! How widely a proxy with few slots spreads what it has.

mod common;

use common::*;
use haventrack_decision::api::*;
use std::collections::BTreeSet;

/// The servers that requests go to, so many in each tick of 10 ms, served within so long.
fn used(proxy: &mut Proxy, from: RequestId, ticks: u32, per_tick: u32, latency: Micros) -> usize {
    let mut servers = BTreeSet::new();
    for tick in 0..ticks {
        for n in 0..per_tick {
            proxy.request(request(from + tick * per_tick + n, 0));
        }
        servers.extend(proxy.out().iter().map(|(_, _, server)| *server));
        proxy.advance(10 * MS);
        proxy.serve(|_| latency);
    }
    servers.len()
}

/// A hundred proxies before sixty servers: spread over three, each met on every server what others had sent there. While
/// nothing is refused, three are right: two requests at once have to find room.
#[test]
fn a_small_proxy_narrows_while_requests_are_refused() {
    let (mut idle, mut loaded) = (0, 0);
    for me in 0..10 {
        let one_zone = (0..50).map(|id| Backend { zone: 0, ..backend(id) });
        let settings = Settings { me, balancers: 100, cross_zone_price: 0.0, ..settings() };
        let mut proxy = Proxy::new(settings, one_zone);
        idle += used(&mut proxy, 0, 40, 1, 0);
        used(&mut proxy, 1_000, 200, 4, 100 * MS);
        let refused = proxy.log.iter().filter(|(_, a)| matches!(a, Action::Refuse { .. })).count();
        assert!(refused > 400, "{refused} of 800");
        loaded += used(&mut proxy, 5_000, 100, 4, 100 * MS);
    }
    assert!(idle >= 25, "ten proxies use {idle} servers while nothing is refused");
    assert!(loaded <= 20, "ten proxies use {loaded} servers while most is refused");
}

/// Two hundred proxies before sixty servers, with hardly any traffic. A proxy whose limits add up to half a slot had one
/// or two requests out at the most, held the next and refused it, although every server was idle.
#[test]
fn a_small_proxy_on_a_quiet_fleet_holds_nothing_back() {
    for me in 0..10 {
        let one_zone = (0..60).map(|id| Backend { zone: 0, ..backend(id) });
        let settings = Settings { me, balancers: 200, cross_zone_price: 0.0, ..settings() };
        let mut proxy = Proxy::new(settings, one_zone);
        for id in 0..3 {
            proxy.request(request(id, 0));
        }
        let sent: BTreeSet<_> = proxy.out().iter().map(|(_, _, server)| *server).collect();
        assert!(proxy.out().len() >= 2, "proxy {me}: {} of 3 are out", proxy.out().len());
        assert_eq!(sent.len(), proxy.out().len(), "proxy {me}: each on a server of its own");
    }
}
