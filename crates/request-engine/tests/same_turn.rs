//! What ends a request comes from several sides, and a process that stood hears of them in one turn, in any order.

mod world;

use balancer::api::*;
use request_engine::engine::*;
use world::*;

/// A world with one carried request of this class, whose first attempt is out.
fn carried(class: u8) -> (World, u32) {
    let mut world = World::new(settings(), World::roomy(), 0..10);
    let client = world.ask(class, Dispatch::Proxied(())).expect("there is room");
    assert!(world.attempt_is_out(client));
    (world, client)
}

/// The answer is there, and so is the last moment in which the client can be answered: whichever is told first holds, and
/// the other one changes nothing.
#[test]
fn an_answer_and_the_time_out_in_the_same_turn_make_one_final_answer() {
    for class in 0..3 {
        for answer_first in [true, false] {
            let (mut world, client) = carried(class);
            world.now = world.clients[&client].end - LAST_MARGIN;
            if answer_first {
                world.end((client, 0), Outcome::Ok).expect("a carried attempt");
                assert_eq!(
                    world.clients[&client].verdict,
                    Some(FinalOutcome::Served(Some(client))),
                    "{class}"
                );
                world.pass(0);
            } else {
                world.pass(0);
                let told = format!("{:?}", world.clients[&client].verdict);
                assert!(told.contains("Failed") || told.contains("Refused"), "{class}: {told}");
                world.end((client, 0), Outcome::Ok).expect("a carried attempt");
                assert_eq!(format!("{:?}", world.clients[&client].verdict), told, "{class}");
            }
            assert_eq!(world.clients[&client].attempts.len(), 1, "{class}: nothing more is sent");
            world.finish();
        }
    }
}

/// The first attempt fails and the client leaves. Told in that order, a further attempt has been ordered: it is taken back
/// in the same turn, where nothing of it has left.
#[test]
fn a_failure_and_a_client_that_left_in_the_same_turn_leave_no_attempt_that_may_begin() {
    for outcome in
        [Outcome::Error, Outcome::Reset, Outcome::Timeout, Outcome::ConnectFailed, Outcome::Rejected]
    {
        let (mut world, client) = carried(0);
        world.pass(10 * MS);
        world.leave(client);
        world.end((client, 0), outcome).expect("a carried attempt");
        assert_eq!(world.clients[&client].attempts.len(), 1, "{outcome:?}: it left first");
        world.finish();

        let (mut world, client) = carried(0);
        world.pass(10 * MS);
        world.end((client, 0), outcome).expect("a carried attempt");
        let further = world.attempt((client, 1)).clone();
        world.engine.client_disconnected(world.now, further.request);
        let orders: Vec<_> = std::iter::from_fn(|| world.engine.next_command()).collect();
        let taken_back = Command::CancelUnsentAttempt { request: further.request, attempt: further.number };
        assert!(orders.contains(&taken_back), "{outcome:?}: {orders:?}");
    }
}
