//! Tests of instances with few slots, and of the first use of backends that became ready again.

mod common;

use balancer::api::*;
use common::*;
use std::collections::BTreeSet;

/// Sends `per_tick` requests every 10 ms and completes each after `latency`; returns the number of backends
/// that got any.
fn backends_used(
    proxy: &mut EmulatedProxy,
    first: RequestId,
    ticks: u32,
    per_tick: u32,
    latency: Micros,
) -> usize {
    let mut backends = BTreeSet::new();
    for tick in 0..ticks {
        for number in 0..per_tick {
            proxy.request(request(first + tick * per_tick + number, IDEMPOTENT));
        }
        backends.extend(backends_in_flight(proxy));
        proxy.advance(10 * MS);
        proxy.complete(|_| latency);
    }
    backends.len()
}

fn backends_in_flight(proxy: &EmulatedProxy) -> BTreeSet<BackendId> {
    proxy.attempts_in_flight().iter().map(|sent| sent.backend).collect()
}

/// One of `instance_count` instances, with backends in its zone that warmed up long ago; crossing zones costs
/// nothing.
fn instance(instance_index: u32, instance_count: u32, backends: u32) -> EmulatedProxy {
    let settings = Settings { instance_index, instance_count, cross_zone_cost: 0.0, ..settings() };
    EmulatedProxy::new(settings, (0..backends).map(backend_in_zone_0))
}

fn backend_in_zone_0(id: BackendId) -> Backend {
    Backend { zone: 0, ..backend(id) }
}

/// Guards against instances that compete on every backend under load: with 100 instances and 60 backends,
/// each instance had slots on three backends. While no request is rejected, three are right, since two
/// concurrent requests must find free slots.
#[test]
fn a_small_instance_spreads_over_fewer_backends_while_requests_are_rejected() {
    let (mut idle, mut loaded) = (0, 0);
    for instance_index in 0..10 {
        let mut proxy = instance(instance_index, 100, 50);
        idle += backends_used(&mut proxy, 0, 40, 1, 0);
        backends_used(&mut proxy, 1_000, 200, 4, 100 * MS);
        let rejections = proxy.rejections();
        assert!(rejections > 400, "{rejections} of 800");
        loaded += backends_used(&mut proxy, 5_000, 100, 4, 100 * MS);
    }
    assert!(idle >= 25, "ten instances use {idle} backends while nothing is rejected");
    assert!(loaded <= 20, "ten instances use {loaded} backends while most requests are rejected");
}

/// Guards against rejections on an idle fleet. With 200 instances, 60 backends and hardly any traffic, an
/// instance whose limits add up to half a slot had at most two requests in flight, and queued and then
/// rejected the next one.
#[test]
fn a_small_instance_with_an_idle_fleet_queues_nothing() {
    for instance_index in 0..10 {
        let mut proxy = instance(instance_index, 200, 60);
        for id in 0..3 {
            proxy.request(request(id, IDEMPOTENT));
        }
        let in_flight = proxy.attempts_in_flight().len();
        assert!(in_flight >= 2, "instance {instance_index}: {in_flight} of 3 are in flight");
        let backends = backends_in_flight(&proxy).len();
        assert_eq!(backends, in_flight, "instance {instance_index}: each on a backend of its own");
    }
}

/// Guards against an instance with less than one slot in total that cannot have two requests in flight, and
/// rejects the second one although the fleet is idle.
#[test]
fn an_instance_with_few_slots_can_have_several_requests_in_flight_on_different_backends() {
    let sends_two = |instance_index| {
        let settings = Settings { instance_index, instance_count: 100, ..single_zone() };
        let mut proxy = EmulatedProxy::new(settings, one_zone(60));
        (0..4).for_each(|id| _ = proxy.request(request(id, IDEMPOTENT)));
        let backends = backends_in_flight(&proxy).len();
        assert_eq!(backends, proxy.attempts_in_flight().len(), "each on a backend of its own");
        backends >= 2
    };
    assert!((0..40).filter(|&instance_index| sends_two(instance_index)).count() > 20);
}

/// Guards against random rounding offsets for each pair of instance and backend: some instances never had a
/// slot on any backend, and rejected requests that coincided.
#[test]
fn slots_are_distributed_evenly_over_instances_and_backends() {
    let (mut by_backend, mut by_instance) = (vec![0; 60], Vec::new());
    for instance_index in 0..200 {
        let settings = Settings { instance_index, instance_count: 60, ..single_zone() };
        let mut proxy = EmulatedProxy::new(settings, one_zone(60));
        (0..3).for_each(|id| _ = proxy.request(request(id, IDEMPOTENT)));
        let in_flight = proxy.attempts_in_flight();
        by_instance.push(in_flight.len());
        for sent in in_flight {
            by_backend[sent.backend as usize] += 1;
        }
    }
    assert!(by_instance.iter().all(|&slots| slots >= 2), "{by_instance:?}");
    let min = by_backend.iter().min().expect("backends");
    let max = by_backend.iter().max().expect("backends");
    assert!(max - min <= 8, "{by_backend:?}");
}

/// Sends and completes a request while no other one is in flight; returns the backend that got it.
fn send_one(proxy: &mut EmulatedProxy, id: RequestId) -> BackendId {
    proxy.request(request(id, IDEMPOTENT));
    let backend = proxy.attempts_in_flight().first().expect("it was sent").backend;
    proxy.advance(20 * MS);
    proxy.complete(|_| 0);
    backend
}

fn drain(proxy: &mut EmulatedProxy, id: BackendId) {
    let entry = Backend { readiness: Readiness::Draining, ..backend_in_zone_0(id) };
    proxy.update_membership(MembershipUpdate::Delta(&[entry]));
}

fn mark_ready(proxy: &mut EmulatedProxy, id: BackendId) {
    proxy.update_membership(MembershipUpdate::Delta(&[backend_in_zone_0(id)]));
}

/// Guards against backends that get no request after a drain. With one request at a time, all backends have
/// free slots, and the one with the highest limit gets all requests as long as it is never busy.
#[test]
fn a_backend_that_became_ready_again_gets_the_next_request_of_an_idle_fleet() {
    let mut proxy = instance(0, 1, 10);
    (0..400).for_each(|id| _ = send_one(&mut proxy, id));
    for id in 0..10 {
        drain(&mut proxy, id);
        assert_ne!(send_one(&mut proxy, 1_000 + 10 * id), id);
        mark_ready(&mut proxy, id);
        proxy.advance(4 * SECOND + 5 * MS);
        assert_eq!(send_one(&mut proxy, 1_001 + 10 * id), id, "the first request after it became ready");
    }
    // It is preferred once; the ordinary selection applies after that.
    let later: BTreeSet<_> = (0..20).map(|number| send_one(&mut proxy, 2_000 + number)).collect();
    assert!(later != BTreeSet::from([9]), "the last backend that became ready got all later requests");
}

/// An ejected backend gets its trial although others have more free slots.
#[test]
fn an_ejected_backend_gets_its_trial_on_an_idle_fleet() {
    let mut proxy = instance(0, 1, 10);
    (0..400).for_each(|id| _ = send_one(&mut proxy, id));
    let (mut id, mut failing) = (1_000, None);
    while proxy.balancer.ejections() == 0 {
        id += 1;
        proxy.request(request(id, IDEMPOTENT));
        let sent = *proxy.attempts_in_flight().first().expect("it was sent");
        proxy.advance(20 * MS);
        if *failing.get_or_insert(sent.backend) == sent.backend {
            proxy.finish(id, sent.attempt, Outcome::Error);
        }
        proxy.complete(|_| 0);
        assert!(id < 3_000, "nothing was ejected");
    }
    let failing = failing.expect("a backend has failed");
    proxy.advance(4 * SECOND + 5 * MS);
    assert_eq!(send_one(&mut proxy, 5_000), failing, "its trial");
    let later = (0..20).filter(|number| send_one(&mut proxy, 5_100 + number) == failing).count();
    assert!(later < 20, "it is preferred for one request only");
}

/// Guards against many instances that use a backend at the same moment because it became ready. Only
/// instances with a free slot on it use it first, at different times.
#[test]
fn instances_use_a_backend_that_became_ready_again_at_different_times() {
    let mut first_uses = [0; 5];
    for instance_index in 0..200 {
        let mut proxy = instance(instance_index, 200, 10);
        (0..20).for_each(|id| _ = send_one(&mut proxy, id));
        drain(&mut proxy, 3);
        mark_ready(&mut proxy, 3);
        let first_use = (0..5).find(|&second| {
            let backend = send_one(&mut proxy, 1_000 + second);
            proxy.advance(980 * MS);
            backend == 3
        });
        if let Some(second) = first_use {
            first_uses[second as usize] += 1;
        }
    }
    println!("{first_uses:?}");
    assert!(first_uses[0] > 0 && first_uses.iter().all(|&count| count <= 60), "{first_uses:?} by second");
}
