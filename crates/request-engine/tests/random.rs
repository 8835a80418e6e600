//! The engine under a random driver that tells it things out of order, twice, late and of others' leases. The four
//! rules are checked after every step (`world`). proptest prints the steps of a failure, cut down.

mod world;

use balancer::api::*;
use proptest::prelude::*;
use request_engine::engine::*;
use request_engine::lease::LeaseId;
use world::*;

const OUTCOMES: [Outcome; 9] = [
    Outcome::Ok,
    Outcome::Error,
    Outcome::Malformed,
    Outcome::Rejected,
    Outcome::Timeout,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::NotSent,
];

#[derive(Clone, Debug)]
enum Step {
    Ask { class: u8, leased: bool, patience_ms: u64 },
    End { which: usize, outcome: usize },
    EndAgain { which: usize, outcome: usize },
    Establish { which: usize },
    Renew { which: usize },
    Forge { life: u64, serial: u64 },
    Leave { which: usize },
    Pass { ms: u64 },
    Drain { id: BackendId },
    Gone { id: BackendId },
    Back { id: BackendId, cold: bool },
    AllGone,
    Stray { request: RequestId, attempt: u16, outcome: usize },
}

fn step() -> impl Strategy<Value = Step> {
    let (which, outcome) = (0..64_usize, 0..OUTCOMES.len());
    let id = 0..9_u32;
    prop_oneof![
        8 => (0..3_u8, any::<bool>(), prop_oneof![Just(2_000_u64), 0..60_u64])
            .prop_map(|(class, leased, patience_ms)| Step::Ask { class, leased, patience_ms }),
        6 => (which.clone(), outcome.clone()).prop_map(|(which, outcome)| Step::End { which, outcome }),
        2 => (which.clone(), outcome.clone()).prop_map(|(which, outcome)| Step::EndAgain { which, outcome }),
        1 => which.clone().prop_map(|which| Step::Establish { which }),
        1 => which.clone().prop_map(|which| Step::Renew { which }),
        1 => (0..3_u64, 0..99_u64).prop_map(|(life, serial)| Step::Forge { life: life + 0xfeed, serial }),
        1 => which.prop_map(|which| Step::Leave { which }),
        4 => prop_oneof![0..30_u64, 0..900_u64].prop_map(|ms| Step::Pass { ms }),
        1 => id.clone().prop_map(|id| Step::Drain { id }),
        1 => id.clone().prop_map(|id| Step::Gone { id }),
        2 => (id, any::<bool>()).prop_map(|(id, cold)| Step::Back { id, cold }),
        1 => Just(Step::AllGone),
        1 => (0..200_u32, 0..4_u16, outcome)
            .prop_map(|(request, attempt, outcome)| Step::Stray { request, attempt, outcome }),
    ]
}

fn pick<T: Copy>(from: &[T], which: usize) -> Option<T> {
    (!from.is_empty()).then(|| from[which % from.len()])
}

fn play(world: &mut World, step: &Step) {
    match *step {
        Step::Ask { class, leased, patience_ms } => {
            let conduct = if leased { Dispatch::Leased } else { Dispatch::Proxied(()) };
            world.ask_for(class, conduct, patience_ms * MS);
        }
        Step::End { which, outcome } => {
            if let Some(which) = pick(&world.out(), which) {
                let _ = world.end(which, OUTCOMES[outcome]);
            }
        }
        Step::EndAgain { which, outcome } => {
            let over = world.clients.values().flat_map(|c| &c.attempts).filter(|a| a.ran != Ran::Out);
            let over: Vec<_> = over.map(|a| (a.request, a.number, a.lease)).collect();
            let Some((request, number, lease)) = pick(&over, which) else { return };
            let before =
                (world.engine.open_requests(), world.engine.active_leases(), world.engine.counts().served);
            match lease {
                None => world.engine.attempt_finished(world.now, request, number, OUTCOMES[outcome].into()),
                Some(grant) => {
                    let said = world.engine.report_result(world.now, grant.lease, OUTCOMES[outcome].into());
                    assert!(said.is_err(), "a second report was taken");
                }
            }
            assert_eq!(
                before,
                (world.engine.open_requests(), world.engine.active_leases(), world.engine.counts().served)
            );
        }
        Step::Establish { which } => {
            if let Some(which) = pick(&world.out(), which) {
                let _ = world.establish(which);
            }
        }
        Step::Renew { which } => {
            if let Some(grant) = pick(&world.out(), which).and_then(|w| world.attempt(w).lease) {
                let _ = world.engine.renew_session(world.now, grant.lease);
            }
        }
        Step::Forge { life, serial } => {
            let lease = LeaseId { incarnation: life, serial };
            let is_out =
                world.out().iter().any(|w| world.attempt(*w).lease.is_some_and(|g| g.lease == lease));
            if !is_out {
                assert!(world.engine.report_result(world.now, lease, Outcome::Ok.into()).is_err());
            }
        }
        Step::Leave { which } => {
            let clients: Vec<u32> = world.clients.keys().copied().collect();
            if let Some(client) = pick(&clients, which) {
                world.leave(client);
            }
        }
        Step::Pass { ms } => world.pass(ms * MS),
        Step::Drain { id } => {
            if world.listed.contains_key(&id) {
                world.delta(Backend { readiness: Readiness::Draining, ..backend(id) });
            }
        }
        Step::Gone { id } => world.delta(Backend { readiness: Readiness::Removed, ..backend(id) }),
        Step::Back { id, cold } => {
            let started = cold.then_some(world.now);
            world.delta(Backend { started_at: started, ..backend(id) });
        }
        Step::AllGone => world.full(Vec::new()),
        Step::Stray { request, attempt, outcome } => {
            let known = world.out().iter().any(|w| {
                let out = world.attempt(*w);
                out.lease.is_none() && (out.request, out.number) == (request, attempt)
            });
            if !known {
                world.engine.attempt_finished(world.now, request, attempt, OUTCOMES[outcome].into());
            }
        }
    }
    world.check_answers();
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    #[test]
    fn the_rules_hold_whatever_is_told_in_whatever_order(steps in prop::collection::vec(step(), 1..250)) {
        let mut world = World::new(settings(), EngineLimits { requests: 60, leases: 40 }, 0..9);
        for step in &steps {
            play(&mut world, step);
        }
        world.finish();
    }
}
