//! Random events in any order: duplicated, late, and on leases of other engines. The harness checks the rules
//! after every step.

mod harness;

use balancer::api::*;
use harness::*;
use proptest::prelude::*;
use request_engine::engine::*;
use request_engine::lease::LeaseId;

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
    Submit { class: u8, is_leased: bool, timeout_ms: u64 },
    Finish { index: usize, outcome: usize },
    FinishTwice { index: usize, outcome: usize },
    Establish { index: usize },
    Renew { index: usize },
    ReportAnyLease { incarnation: u64, serial: u64 },
    Disconnect { index: usize },
    AdvanceTime { ms: u64 },
    Drain { id: BackendId },
    Remove { id: BackendId },
    ListAgain { id: BackendId, is_warming_up: bool },
    RemoveAll,
    Unmatched { request: RequestId, attempt: u16, outcome: usize },
}

fn step() -> impl Strategy<Value = Step> {
    let (index, outcome) = (0..64_usize, 0..OUTCOMES.len());
    let id = 0..9_u32;
    prop_oneof![
        8 => (0..3_u8, any::<bool>(), prop_oneof![Just(2_000_u64), 0..60_u64])
            .prop_map(|(class, is_leased, timeout_ms)| Step::Submit { class, is_leased, timeout_ms }),
        6 => (index.clone(), outcome.clone()).prop_map(|(index, outcome)| Step::Finish { index, outcome }),
        2 => (index.clone(), outcome.clone()).prop_map(|(index, outcome)| Step::FinishTwice { index, outcome }),
        1 => index.clone().prop_map(|index| Step::Establish { index }),
        1 => index.clone().prop_map(|index| Step::Renew { index }),
        1 => (0..3_u64, 0..99_u64)
            .prop_map(|(offset, serial)| Step::ReportAnyLease { incarnation: offset + 0xfeed, serial }),
        1 => index.prop_map(|index| Step::Disconnect { index }),
        4 => prop_oneof![0..30_u64, 0..900_u64].prop_map(|ms| Step::AdvanceTime { ms }),
        1 => id.clone().prop_map(|id| Step::Drain { id }),
        1 => id.clone().prop_map(|id| Step::Remove { id }),
        2 => (id, any::<bool>()).prop_map(|(id, is_warming_up)| Step::ListAgain { id, is_warming_up }),
        1 => Just(Step::RemoveAll),
        1 => (0..200_u32, 0..4_u16, outcome)
            .prop_map(|(request, attempt, outcome)| Step::Unmatched { request, attempt, outcome }),
    ]
}

fn pick<T: Copy>(from: &[T], index: usize) -> Option<T> {
    (!from.is_empty()).then(|| from[index % from.len()])
}

fn run_step(harness: &mut Harness, step: &Step) {
    match *step {
        Step::Submit { class, is_leased, timeout_ms } => {
            let dispatch = if is_leased { Dispatch::Leased } else { Dispatch::Proxied(()) };
            harness.submit_with_timeout(class, dispatch, timeout_ms * MS);
        }
        Step::Finish { index, outcome } => {
            if let Some(key) = pick(&harness.in_flight(), index) {
                let _ = harness.finish_attempt(key, OUTCOMES[outcome]);
            }
        }
        Step::FinishTwice { index, outcome } => {
            let finished = harness
                .clients
                .values()
                .flat_map(|c| &c.attempts)
                .filter(|a| a.execution != Execution::InFlight);
            let finished: Vec<_> = finished.map(|a| (a.request, a.number, a.lease)).collect();
            let Some((request, number, lease)) = pick(&finished, index) else { return };
            let before = (
                harness.engine.open_request_count(),
                harness.engine.active_lease_count(),
                harness.engine.counts().served,
            );
            match lease {
                None => {
                    harness.engine.attempt_finished(harness.now, request, number, OUTCOMES[outcome].into());
                }
                Some(grant) => {
                    let result =
                        harness.engine.report_result(harness.now, grant.lease, OUTCOMES[outcome].into());
                    assert!(result.is_err(), "a second report was accepted");
                }
            }
            assert_eq!(
                before,
                (
                    harness.engine.open_request_count(),
                    harness.engine.active_lease_count(),
                    harness.engine.counts().served
                )
            );
        }
        Step::Establish { index } => {
            if let Some(key) = pick(&harness.in_flight(), index) {
                let _ = harness.establish(key);
            }
        }
        Step::Renew { index } => {
            if let Some(grant) = pick(&harness.in_flight(), index).and_then(|key| harness.attempt(key).lease)
            {
                let _ = harness.engine.renew_session(harness.now, grant.lease);
            }
        }
        Step::ReportAnyLease { incarnation, serial } => {
            let lease = LeaseId { incarnation, serial };
            let is_active = harness
                .in_flight()
                .iter()
                .any(|key| harness.attempt(*key).lease.is_some_and(|g| g.lease == lease));
            if !is_active {
                assert!(harness.engine.report_result(harness.now, lease, Outcome::Ok.into()).is_err());
            }
        }
        Step::Disconnect { index } => {
            let clients: Vec<u32> = harness.clients.keys().copied().collect();
            if let Some(client) = pick(&clients, index) {
                harness.disconnect(client);
            }
        }
        Step::AdvanceTime { ms } => harness.advance_time(ms * MS),
        Step::Drain { id } => {
            if harness.backends.contains_key(&id) {
                harness.delta(Backend { readiness: Readiness::Draining, ..backend(id) });
            }
        }
        Step::Remove { id } => harness.delta(Backend { readiness: Readiness::Removed, ..backend(id) }),
        Step::ListAgain { id, is_warming_up } => {
            let started = is_warming_up.then_some(harness.now);
            harness.delta(Backend { started_at: started, ..backend(id) });
        }
        Step::RemoveAll => harness.snapshot(&[]),
        Step::Unmatched { request, attempt, outcome } => {
            let is_in_flight = harness.in_flight().iter().any(|key| {
                let attempt_in_flight = harness.attempt(*key);
                attempt_in_flight.lease.is_none()
                    && (attempt_in_flight.request, attempt_in_flight.number) == (request, attempt)
            });
            if !is_in_flight {
                harness.engine.attempt_finished(harness.now, request, attempt, OUTCOMES[outcome].into());
            }
        }
    }
    harness.check_deadlines();
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    #[test]
    fn rules_hold_for_any_events_in_any_order(steps in prop::collection::vec(step(), 1..250)) {
        let mut harness = Harness::new(settings(), EngineLimits { requests: 60, leases: 40 }, 0..9);
        for step in &steps {
            run_step(&mut harness, step);
        }
        harness.finish();
    }
}
