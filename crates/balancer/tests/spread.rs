//! How widely a proxy with few slots spreads what it has.

mod common;

use balancer::api::*;
use common::*;
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
        let settings =
            Settings { instance_index: me, instance_count: 100, cross_zone_cost: 0.0, ..settings() };
        let mut proxy = Proxy::new(settings, one_zone);
        idle += used(&mut proxy, 0, 40, 1, 0);
        used(&mut proxy, 1_000, 200, 4, 100 * MS);
        let refused = proxy.log.iter().filter(|(_, a)| matches!(a, Action::Reject { .. })).count();
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
        let settings =
            Settings { instance_index: me, instance_count: 200, cross_zone_cost: 0.0, ..settings() };
        let mut proxy = Proxy::new(settings, one_zone);
        for id in 0..3 {
            proxy.request(request(id, 0));
        }
        let sent: BTreeSet<_> = proxy.out().iter().map(|(_, _, server)| *server).collect();
        assert!(proxy.out().len() >= 2, "proxy {me}: {} of 3 are out", proxy.out().len());
        assert_eq!(sent.len(), proxy.out().len(), "proxy {me}: each on a server of its own");
    }
}

/// Ten servers in one zone, warm, and a proxy of so many before them.
fn ten(me: u32, balancers: u32) -> Proxy {
    let one_zone = (0..10).map(|id| Backend { zone: 0, ..backend(id) });
    Proxy::new(
        Settings { instance_index: me, instance_count: balancers, cross_zone_cost: 0.0, ..settings() },
        one_zone,
    )
}

/// Where one request goes that nothing else is beside; it is served.
fn one_request(proxy: &mut Proxy, id: RequestId) -> BackendId {
    proxy.request(request(id, 0));
    let to = proxy.out().first().map(|&(_, _, server)| server).expect("it was sent");
    proxy.advance(20 * MS);
    proxy.serve(|_| 0);
    to
}

/// One request at a time leaves all servers with room, and the one with the greatest limit gets them all: one that came
/// back from a drain waited for its first request until another one was busy, for good where none ever was.
#[test]
fn a_server_that_came_back_gets_the_next_request_of_a_quiet_fleet() {
    let mut proxy = ten(0, 1);
    (0..400).for_each(|id| _ = one_request(&mut proxy, id));
    for id in 0..10 {
        let entry = Backend { zone: 0, ..backend(id) };
        proxy.list(MembershipUpdate::Delta(&[Backend { readiness: Readiness::Draining, ..entry }]));
        assert_ne!(one_request(&mut proxy, 1_000 + 10 * id), id);
        proxy.list(MembershipUpdate::Delta(&[entry]));
        proxy.advance(4 * SECOND + 5 * MS);
        assert_eq!(one_request(&mut proxy, 1_001 + 10 * id), id, "the first after its return and its turn");
    }
    // Once: after that the usual choice holds, and nobody goes on with the one that was last.
    let later: BTreeSet<_> = (0..20).map(|n| one_request(&mut proxy, 2_000 + n)).collect();
    assert!(later != BTreeSet::from([9]), "the last one to return got all that followed");
}

/// An ejected server gets its trial although others have more room.
#[test]
fn an_ejected_server_gets_its_trial_on_a_quiet_fleet() {
    let mut proxy = ten(0, 1);
    (0..400).for_each(|id| _ = one_request(&mut proxy, id));
    let (mut id, mut sick) = (1_000, None);
    while proxy.balancer.ejections() == 0 {
        id += 1;
        proxy.request(request(id, 0));
        let &(_, attempt, server) = proxy.out().first().expect("it was sent");
        proxy.advance(20 * MS);
        if *sick.get_or_insert(server) == server {
            proxy.settle(id, attempt, Outcome::Error);
        }
        proxy.serve(|_| 0);
        assert!(id < 3_000, "nothing was ejected");
    }
    let sick = sick.expect("the one that failed");
    proxy.advance(4 * SECOND + 5 * MS);
    assert_eq!(one_request(&mut proxy, 5_000), sick, "its trial");
    let trials = (0..20).filter(|n| one_request(&mut proxy, 5_100 + n) == sick).count();
    assert!(trials < 20, "one request was enough");
}

/// Two hundred proxies that all hear of the return at once: those with a slot there come first, at turns, and nothing that
/// has no room is filled further.
#[test]
fn few_of_many_proxies_come_at_once_to_a_server_that_came_back() {
    let mut comers = [0; 5];
    for me in 0..200 {
        let mut proxy = ten(me, 200);
        (0..20).for_each(|id| _ = one_request(&mut proxy, id));
        let entry = Backend { zone: 0, ..backend(3) };
        proxy.list(MembershipUpdate::Delta(&[Backend { readiness: Readiness::Draining, ..entry }]));
        proxy.list(MembershipUpdate::Delta(&[entry]));
        let came = (0..5).find(|&second| {
            let to = one_request(&mut proxy, 1_000 + second);
            proxy.advance(980 * MS);
            to == 3
        });
        came.into_iter().for_each(|second| comers[second as usize] += 1);
    }
    println!("{comers:?}");
    assert!(comers[0] > 0 && comers.iter().all(|&count| count <= 60), "{comers:?} by second");
}
