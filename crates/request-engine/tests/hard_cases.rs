//! The cases in which a request or a lease could be lost, doubled or kept for ever. Each is caused, by a clock that
//! the test moves.

mod world;

use balancer::api::*;
use request_engine::engine::*;
use request_engine::lease::{LeaseError, LeaseId};
use world::*;

fn ten() -> World {
    World::new(settings(), World::roomy(), 0..10)
}

#[test]
fn a_leased_request_is_served_by_its_holders_report() {
    let mut world = ten();
    let (client, grant) = world.lease(1);
    assert!(grant.is_some());
    world.pass(20 * MS);
    assert_eq!(world.end((client, 0), Outcome::Ok), Ok(()));
    assert_eq!(world.clients[&client].verdict, Some(FinalOutcome::Served(None)));
    world.finish();
}

#[test]
fn a_report_that_the_lease_outran_changes_nothing_and_is_counted() {
    let mut world = ten();
    let (client, grant) = world.lease(1);
    let grant = grant.expect("a lease");
    // The report is on its way while the lease ends: unsafe, may have run, so it failed and is not tried again.
    world.pass(grant.give_up_at + REPORT_GRACE - world.now);
    assert_eq!(world.clients[&client].verdict, Some(FinalOutcome::Failed));
    assert_eq!(world.end((client, 0), Outcome::Ok), Err(LeaseError::Late));
    assert_eq!(world.clients[&client].attempts.len(), 1);
    assert_eq!((world.engine.lease_counts().late, world.engine.lease_counts().expired), (1, 1));
    world.finish();
}

#[test]
fn a_report_at_the_very_end_is_late_even_before_the_timer_has_its_turn() {
    let mut world = ten();
    let (client, grant) = world.lease(0);
    world.now = grant.expect("a lease").give_up_at + REPORT_GRACE;
    assert_eq!(world.end((client, 0), Outcome::Ok), Err(LeaseError::Late));
    world.pass(0);
    assert_ne!(world.clients[&client].verdict, Some(FinalOutcome::Served(None)));
    world.finish();
}

#[test]
fn the_same_report_twice_counts_once() {
    let mut world = ten();
    let (client, _) = world.lease(0);
    let lease = world.granted(client).expect("a lease").lease;
    world.end((client, 0), Outcome::ConnectFailed).expect("in time");
    let second = world.granted(client).expect("sent elsewhere");
    let again = world.engine.report_result(world.now, lease, Outcome::ConnectFailed.into());
    assert_eq!(again, Err(LeaseError::AlreadyReported));
    assert_eq!(world.granted(client), Some(second), "the second attempt goes on");
    assert_eq!(world.clients[&client].attempts.len(), 2);
    world.end((client, 1), Outcome::Ok).expect("in time");
    world.finish();
}

#[test]
fn the_lease_of_an_earlier_life_or_of_nobody_is_refused() {
    let mut before = World::with_life(settings(), World::roomy(), 0..10, 1);
    let (_, old) = before.lease(1);
    let old = old.expect("a lease").lease;
    let mut world = World::with_life(settings(), World::roomy(), 0..10, 2);
    let (client, grant) = world.lease(1);
    let grant = grant.expect("a lease");
    assert_eq!(old.serial, grant.lease.serial, "the numbers alone could be mistaken for one another");
    assert_eq!(world.engine.report_result(world.now, old, Outcome::Ok.into()), Err(LeaseError::Foreign));
    let unknown = LeaseId { serial: grant.lease.serial + 1, ..grant.lease };
    assert_eq!(world.engine.report_result(world.now, unknown, Outcome::Ok.into()), Err(LeaseError::Unknown));
    assert_eq!(world.granted(client), Some(grant));
    let counts = world.engine.lease_counts();
    assert_eq!((counts.foreign, counts.unknown), (1, 1));
    world.finish();
}

#[test]
fn a_caller_that_left_gets_nothing_more_and_its_slot_comes_back() {
    let mut world = ten();
    let (client, grant) = world.lease(2);
    world.leave(client);
    assert_eq!(world.engine.active_leases(), 1, "its attempt may run on");
    world.pass(grant.expect("a lease").give_up_at + REPORT_GRACE - world.now);
    assert_eq!((world.engine.open_requests(), world.engine.active_leases()), (0, 0));
    assert_eq!(world.clients[&client].verdict, None);
    world.finish();
}

#[test]
fn a_lease_is_asked_back_when_its_backend_drains_or_is_gone() {
    for gone in [Readiness::Draining, Readiness::Removed] {
        let mut world = ten();
        let (client, grant) = world.lease(1);
        let first = grant.expect("a lease").backend;
        world.pass(10 * MS);
        world.delta(Backend { readiness: gone, ..backend(first) });
        assert!(world.attempt((client, 0)).revoked);
        // The holder had not begun: it says so, and the request goes elsewhere although it must not run twice.
        world.end((client, 0), Outcome::NotSent).expect("in time");
        assert_ne!(world.granted(client).expect("another lease").backend, first);
        world.end((client, 1), Outcome::Ok).expect("in time");
        world.finish();
    }
}

#[test]
fn a_lease_that_must_have_been_used_by_now_is_not_asked_back() {
    let mut world = ten();
    let (client, grant) = world.lease(1);
    world.pass(SEND_WINDOW);
    world.full((0..10).filter(|&id| Some(id) != grant.map(|g| g.backend)).map(backend).collect());
    assert!(!world.attempt((client, 0)).revoked, "it runs there, and the backend finishes it");
    world.end((client, 0), Outcome::Ok).expect("in time");
    world.finish();
}

#[test]
fn ten_thousand_leases_that_are_never_reported_take_bounded_memory_and_give_their_slots_back() {
    let bounds = EngineLimits { requests: 3_000, leases: 2_000 };
    let mut world = World::new(settings(), bounds, 0..600);
    let mut granted = 0;
    for _ in 0..10_000 {
        if let Some(client) = world.ask(1, Dispatch::Leased) {
            granted += usize::from(world.granted(client).is_some());
        }
        assert!(
            world.engine.active_leases() <= bounds.leases && world.engine.open_requests() <= bounds.requests
        );
        assert!(world.engine.pending_timers() <= 2 * (bounds.requests + bounds.leases) + 2_048);
        world.pass(5 * MS);
    }
    assert!(granted > 600, "{granted} leases");
    world.pass(5 * SECOND);
    assert_eq!((world.engine.open_requests(), world.engine.active_leases()), (0, 0));
    // Ejected as silent meanwhile, the backends come back with the first good trials.
    let mut served = 0;
    for _ in 0..2_000 {
        world.pass(50 * MS);
        if let Some(client) = world.ask(0, Dispatch::Proxied(()))
            && world.attempt_is_out(client)
        {
            world.end((client, 0), Outcome::Ok).expect("carried");
            served += 1;
        }
    }
    assert!(served > 1_900, "{served} of 2,000 served afterwards");
    world.finish();
}

#[test]
fn a_cold_backend_and_two_fronts_at_once_stay_under_its_budget() {
    let mut world = World::new(settings(), World::roomy(), 0..4);
    // Warm traffic shows what a backend takes: 10 a second each.
    for round in 0..200 {
        let client = world.ask(0, Dispatch::Proxied(())).expect("room");
        world.pass(25 * MS);
        if world.attempt_is_out(client) {
            world.end((client, 0), Outcome::Ok).expect("carried");
        }
        assert!(round < 200);
    }
    let started = world.now;
    world.delta(Backend { started_at: Some(started), ..backend(9) });
    let sent = |world: &World, leased: bool| {
        let all = world.clients.values().flat_map(|c| &c.attempts);
        all.filter(|a| a.backend == 9 && a.sent_at < started + 2 * SECOND && a.lease.is_some() == leased)
            .count()
    };
    // Both fronts flood: 400 requests a second each for the two seconds in which it could fall over.
    // They take turns in asking first: a token goes to whoever asks once it is there.
    for round in 0..800 {
        let (first, then) = (Dispatch::Proxied(()), Dispatch::Leased);
        let (first, then) = if round % 2 == 0 { (first, then) } else { (then, first) };
        world.ask(0, first);
        world.ask(0, then);
        world.pass(2_500);
        for which in world.out() {
            let attempt = world.attempt(which);
            if attempt.sent_at + 50 * MS <= world.now {
                let _ = world.end(which, Outcome::Ok);
            }
        }
    }
    let (carried, leased) = (sent(&world, false), sent(&world, true));
    assert!(carried > 0 && leased > 0, "{carried} carried and {leased} leased attempts");
    // At a third of its capacity, three times that is what a warm one does: at 50 ms an answer 20 a second.
    let fall = 2 * 20;
    assert!(carried + leased <= fall, "{carried} and {leased} attempts within two seconds");
    world.finish();
}

#[test]
fn all_backends_gone_and_back() {
    let mut world = ten();
    let (leased, _) = world.lease(2);
    let carried = world.ask(2, Dispatch::Proxied(())).expect("room");
    world.full(Vec::new());
    assert!(world.attempt((leased, 0)).revoked);
    let during = world.ask(0, Dispatch::Leased).expect("room");
    assert!(world.granted(during).is_none());
    world.pass(SECOND);
    assert!(matches!(world.clients[&during].verdict, Some(FinalOutcome::Rejected { .. })));
    world.full((0..10).map(backend).collect());
    let after = world.ask(0, Dispatch::Leased).expect("room");
    assert!(world.granted(after).is_some());
    world.end((after, 0), Outcome::Ok).expect("in time");
    world.end((carried, 0), Outcome::Reset).expect("carried");
    world.finish();
}

#[test]
fn a_session_holds_its_slot_for_hours_owes_nothing_and_gives_it_back() {
    let mut world = World::new(settings(), World::roomy(), 0..1);
    let client = world.ask(1, Dispatch::Proxied(())).expect("room");
    world.pass(10 * MS);
    world.establish((client, 0)).expect("carried");
    assert_eq!(world.clients[&client].verdict, Some(FinalOutcome::Served(Some(client))));
    world.pass(3_600 * SECOND);
    assert_eq!(world.engine.open_requests(), 1, "it is still held");
    // Its silence is not held against the backend, and its slot is taken.
    let asked = fill(&mut world);
    assert_eq!(asked.len(), fill(&mut World::new(settings(), World::roomy(), 0..1)).len() - 1);
    let held = asked.last().copied().expect("one that found no room");
    assert!(!world.attempt_is_out(held));
    world.end((client, 0), Outcome::Ok).expect("carried");
    assert!(world.attempt_is_out(held), "the slot came back to the request that waits");
    world.finish();
}

/// Asks until a request finds no room; gives all that asked.
fn fill(world: &mut World) -> Vec<u32> {
    let mut asked = Vec::new();
    while asked.last().is_none_or(|&client| world.attempt_is_out(client)) {
        asked.push(world.ask(0, Dispatch::Proxied(())).expect("within the bounds"));
    }
    asked
}

#[test]
fn sessions_on_every_slot_leave_a_way_for_an_ordinary_request() {
    let mut world = World::new(settings(), World::roomy(), 0..1);
    let asked = fill(&mut world);
    let (held, sent) = asked.split_last().expect("one that found no room");
    for &client in sent {
        world.establish((client, 0)).expect("carried");
    }
    assert!(world.attempt_is_out(*held));
    assert!(!fill(&mut world).iter().any(|&client| world.attempt_is_out(client)), "one, and no more");
    world.finish();
}

#[test]
fn a_leased_session_lives_while_it_is_renewed_and_no_longer() {
    let mut world = ten();
    let (client, grant) = world.lease(1);
    let lease = grant.expect("a lease").lease;
    assert_eq!(
        world.engine.renew_session(world.now, lease),
        Err(LeaseError::WrongState),
        "not a session yet"
    );
    world.establish((client, 0)).expect("in time");
    assert_eq!(world.establish((client, 0)), Err(LeaseError::WrongState));
    for _ in 0..200 {
        world.pass(SESSION_LEASE - 1);
        assert_eq!(world.engine.renew_session(world.now, lease), Ok(world.now + SESSION_LEASE));
    }
    assert_eq!(world.engine.active_leases(), 1);
    world.pass(SESSION_LEASE);
    assert_eq!((world.engine.open_requests(), world.engine.active_leases()), (0, 0));
    assert_eq!(world.engine.renew_session(world.now, lease), Err(LeaseError::Late));
    world.finish();
}

#[test]
fn at_its_bounds_the_engine_takes_nothing_more_and_says_which() {
    let mut world = World::new(settings(), EngineLimits { requests: 3, leases: 2 }, 0..10);
    let first = world.lease(0).0;
    world.lease(0);
    assert_eq!(world.ask(0, Dispatch::Leased), None, "no lease is free");
    assert!(world.ask(0, Dispatch::Proxied(())).is_some());
    assert_eq!(world.ask(0, Dispatch::Proxied(())), None, "too many requests");
    assert_eq!(world.engine.counts().overloaded, 2);
    world.end((first, 0), Outcome::Ok).expect("in time");
    assert!(world.ask(0, Dispatch::Leased).is_some());
    world.finish();
}

#[test]
fn a_clock_that_goes_back_moves_nothing_back() {
    let mut world = ten();
    let (client, grant) = world.lease(0);
    world.pass(100 * MS);
    let lease = grant.expect("a lease").lease;
    world.engine.report_result(world.now - 90 * MS, lease, Outcome::Ok.into()).expect("in time");
    world.engine.advance(0);
    assert_eq!(world.engine.open_requests(), 0);
    assert!(world.clients.contains_key(&client));
}

/// The process ends: what is open and what still comes is answered by then, and nobody is sent on whose client has left.
#[test]
fn all_is_answered_by_the_end_of_the_process() {
    let mut world = ten();
    let open: Vec<_> = (0..3).map(|class| world.ask(class, Dispatch::Proxied(())).expect("taken")).collect();
    let by = world.now + 50 * MS;
    world.engine.set_response_deadline(world.now, by);
    world.pass(20 * MS);
    let late = world.ask(0, Dispatch::Proxied(())).expect("taken");
    world.pass(by - LAST_MARGIN - 1 - world.now);
    assert!(open.iter().all(|client| world.clients[client].verdict.is_none()), "not before it has to be");
    world.pass(LAST_MARGIN + 1);
    for client in open.iter().chain([&late]) {
        assert!(world.clients[client].verdict.is_some(), "client {client} has no answer");
    }
    let later = world.ask(0, Dispatch::Proxied(())).expect("taken");
    world.pass(0);
    assert!(world.clients[&later].verdict.is_some(), "there is no time left for it");
}
