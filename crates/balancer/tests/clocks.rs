//! Tests with clocks that go backwards between events.

mod common;

use balancer::api::*;
use balancer::balancer::Balancer;
use common::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const START: Micros = 10 * SECOND;
/// The clock's largest step between two events, in either direction.
const MAX_STEP: i64 = 3 * SECOND as i64;

/// One event, and the change of the clock before it in microseconds.
#[derive(Clone, Debug)]
struct Step {
    clock: i64,
    event: u8,
    choice: u8,
}

fn step() -> impl Strategy<Value = Step> {
    (-MAX_STEP..MAX_STEP, 0..5_u8, any::<u8>()).prop_map(|(clock, event, choice)| Step {
        clock,
        event,
        choice,
    })
}

/// Applies the steps and returns all actions. `reading` gets the value of the clock and its maximum so far,
/// and returns the time that is passed to the balancer.
fn run_steps(steps: &[Step], reading: impl Fn(Micros, Micros) -> Micros) -> Vec<Action> {
    let mut balancer = Balancer::new(settings(), 7, START).expect("valid settings");
    let mut actions = Vec::new();
    let list: Vec<Backend> = (0..6).map(backend).collect();
    balancer.handle(START, Event::Membership(MembershipUpdate::Snapshot(&list)), &mut actions);
    let (mut clock, mut latest) = (START, START);
    let mut next_request = 0;
    for step in steps {
        clock = clock.saturating_add_signed(step.clock);
        latest = latest.max(clock);
        let now = reading(clock, latest);
        let choice = usize::from(step.choice);
        let sends: Vec<_> = actions.iter().filter(|action| matches!(action, Action::Send { .. })).collect();
        match (step.event, sends.get(choice % sends.len().max(1))) {
            (0, _) => {
                let event = Event::Request(request(next_request, step.choice % 5));
                next_request += 1;
                balancer.handle(now, event, &mut actions);
            }
            (1, Some(&&Action::Send { request, backend, .. })) => {
                let outcome = Outcome::ALL[choice % Outcome::ALL.len()];
                let result = AttemptResult {
                    request,
                    backend,
                    attempt: u16::from(step.choice % 2),
                    outcome,
                    has_final_response: outcome == Outcome::Ok,
                    elapsed: 5 * MS,
                    load_report: &[],
                };
                balancer.handle(now, Event::AttemptFinished(result), &mut actions);
            }
            (2, _) => {
                let restarted = Backend { started_at: Some(latest), ..list[choice % list.len()] };
                let update = MembershipUpdate::Delta(std::slice::from_ref(&restarted));
                balancer.handle(now, Event::Membership(update), &mut actions);
            }
            (3, _) => balancer.handle(now, Event::TimerExpired(u32::from(step.choice)), &mut actions),
            _ => balancer.handle(now, Event::Membership(MembershipUpdate::Failed), &mut actions),
        }
    }
    actions
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, rng_seed: RngSeed::Fixed(8), ..ProptestConfig::default() })]

    /// Guards against differences of times that underflow when the clock goes backwards between two events.
    #[test]
    fn clock_that_goes_backwards_counts_as_its_latest_time(steps in prop::collection::vec(step(), 1..120)) {
        prop_assert_eq!(run_steps(&steps, |clock, _| clock), run_steps(&steps, |_, latest| latest));
    }
}
