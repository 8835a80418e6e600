//! The four rules, checked from outside on random legal and odd sequences of events.

mod common;

use balancer::api::*;
use common::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const OUTCOMES: [Outcome; 7] = [
    Outcome::Ok,
    Outcome::Error,
    Outcome::Rejected,
    Outcome::Timeout,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
];

#[derive(Clone, Debug)]
enum Step {
    Request { class: u8, tenant: u16, key: u64, patience: Micros },
    Settle { which: usize, outcome: usize },
    Wait(Micros),
    Change { id: BackendId, readiness: u8, restarted: bool },
    Full(Vec<BackendId>),
    DiscoveryFails,
    ClientLeaves(usize),
    Odd(u8, u32),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..5_u8, 0..3_u16, 0..9_u64, 1..2000 * MS)
            .prop_map(|(class, tenant, key, patience)| Step::Request { class, tenant, key, patience }),
        8 => (any::<usize>(), 0..OUTCOMES.len()).prop_map(|(which, outcome)| Step::Settle { which, outcome }),
        4 => (1..400 * MS).prop_map(Step::Wait),
        1 => (0..8_u32, 0..3_u8, any::<bool>())
            .prop_map(|(id, readiness, restarted)| Step::Change { id, readiness, restarted }),
        1 => prop::collection::vec(0..8_u32, 0..8).prop_map(Step::Full),
        1 => Just(Step::DiscoveryFails),
        1 => any::<usize>().prop_map(Step::ClientLeaves),
        1 => (any::<u8>(), any::<u32>()).prop_map(|(what, number)| Step::Odd(what, number)),
    ]
}

/// An event that no orderly proxy would bring: unknown ids, stale timers, outcomes told twice.
fn odd(proxy: &mut Proxy, what: u8, number: u32) {
    let known = proxy.requests.keys().copied().nth(number as usize % proxy.requests.len().max(1));
    let request = if what & 64 == 0 { 1_000_000 + number } else { known.unwrap_or(number) };
    let settled = |attempt| {
        let (backend, outcome) = (number, Outcome::Ok);
        Event::AttemptFinished(AttemptResult {
            request,
            backend,
            attempt,
            outcome,
            is_answered: false,
            elapsed: 5,
            load_report: &[1.0],
        })
    };
    match what % 4 {
        0 => proxy.event(Event::TimerExpired(number)),
        1 => proxy.event(Event::HealthCheckFinished {
            backend: number,
            outcome: Outcome::Ok,
            load_report: &[],
        }),
        2 => proxy.event(settled(500)),
        _ if known != Some(request) => proxy.event(Event::ClientDisconnected(request)),
        _ => proxy.event(settled(999)),
    };
}

fn play(settings: Settings, steps: &[Step]) -> Vec<(Micros, Action)> {
    let mut proxy = Proxy::new(settings, (0..6).map(backend));
    for (number, step) in steps.iter().enumerate() {
        match *step {
            Step::Request { class, tenant, key, patience } => {
                let key = Some(key).filter(|&k| k > 0);
                proxy.request(Request { tenant, key, timeout: patience, ..request(number as u32, class) });
            }
            Step::Settle { which, outcome } => {
                let out = proxy.out();
                if let Some(&(id, attempt, _)) = out.get(which % out.len().max(1)) {
                    proxy.settle(id, attempt, OUTCOMES[outcome]);
                }
            }
            Step::Wait(time) => proxy.advance(time),
            Step::Change { id, readiness, restarted } => {
                let readiness =
                    [Readiness::Ready, Readiness::Draining, Readiness::Removed][usize::from(readiness)];
                let started = restarted.then_some(proxy.now);
                proxy.list(MembershipUpdate::Delta(&[Backend {
                    readiness,
                    started_at: started,
                    ..backend(id)
                }]));
            }
            Step::Full(ref ids) => {
                let entries: Vec<Backend> = ids.iter().map(|&id| backend(id)).collect();
                proxy.list(MembershipUpdate::Snapshot(&entries));
            }
            Step::DiscoveryFails => _ = proxy.list(MembershipUpdate::Failed),
            Step::ClientLeaves(which) => {
                let open: Vec<_> =
                    proxy.requests.iter().filter(|(_, t)| !t.ended).map(|(&id, _)| id).collect();
                if let Some(&id) = open.get(which % open.len().max(1)) {
                    proxy.requests.get_mut(&id).expect("it was just found").ended = true;
                    proxy.event(Event::ClientDisconnected(id));
                }
            }
            Step::Odd(what, number) => odd(&mut proxy, what, number),
        }
    }
    proxy.advance(3 * SECOND);
    assert!(proxy.requests.values().all(|t| t.ended), "every request has its final answer");
    proxy.log
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: RngSeed::Fixed(6), ..ProptestConfig::default() })]

    #[test]
    fn no_sequence_breaks_a_rule(
        steps in prop::collection::vec(step(), 1..150),
        second_copies: bool,
        warm_keys: bool,
        balancers in 1..40_u32,
        max_attempts in 1..6_u16,
    ) {
        let mut settings = settings();
        settings.permissions.hedging = second_copies;
        settings.permissions.max_attempts = max_attempts;
        settings.instance_count = balancers;
        settings.key_affinity = warm_keys;
        settings.discovery_on_request = max_attempts % 2 == 0;
        settings.tenants = vec![Tenant { quota_per_s: 5.0 }, Tenant { quota_per_s: 50.0 }];
        let log = play(settings.clone(), &steps);
        prop_assert_eq!(log, play(settings, &steps), "the same events lead to the same actions");
    }
}

#[test]
fn an_unsafe_request_that_may_have_run_fails_and_is_not_repeated() {
    for outcome in [Outcome::Error, Outcome::Timeout, Outcome::Reset, Outcome::Cancelled] {
        let mut proxy = Proxy::new(settings(), (0..6).map(backend));
        proxy.request(request(1, 1));
        let actions = proxy.settle(1, 0, outcome);
        assert!(failed(&actions) && sent_to(&actions).is_none(), "{outcome:?}: {actions:?}");
    }
}

#[test]
fn an_unsafe_request_that_never_ran_goes_elsewhere() {
    for outcome in [Outcome::Rejected, Outcome::ConnectFailed, Outcome::NotSent] {
        let mut proxy = Proxy::new(settings(), (0..6).map(backend));
        let first = sent_to(&proxy.request(request(1, 1)));
        let second = sent_to(&proxy.settle(1, 0, outcome));
        assert!(second.is_some() && second != first, "{outcome:?}");
    }
}

#[test]
fn a_keyed_request_that_may_have_run_stays_in_its_group_and_its_time() {
    for (class, same) in [(3_u8, 2_u32), (4, 2)] {
        let mut proxy = Proxy::new(settings(), (0..12).map(backend));
        let first = sent_to(&proxy.request(request(1, class))).expect("there is room");
        let second = sent_to(&proxy.settle(1, 0, Outcome::Error)).expect("the group has room");
        assert_eq!(first % same, second % same);
        let mut proxy = Proxy::new(settings(), (0..12).map(backend));
        proxy.request(request(1, class));
        proxy.now += 601 * MS;
        let actions = proxy.settle(1, 0, Outcome::Error);
        assert!(failed(&actions), "the key's time is over, and a refusal would promise too much");
    }
}

/// What remembers the key is the group in which the attempt was made, wherever the list puts that backend later.
#[test]
fn a_keyed_request_stays_in_the_group_of_its_first_attempt_although_the_list_moves_that_backend() {
    for class in [3_u8, 4] {
        let mut proxy = Proxy::new(settings(), (0..12).map(backend));
        let first = sent_to(&proxy.request(request(1, class))).expect("there is room");
        let Backend { zone, cell, .. } = backend(first + 1);
        proxy.list(MembershipUpdate::Delta(&[Backend { zone, cell, ..backend(first) }]));
        let second = sent_to(&proxy.settle(1, 0, Outcome::Error)).expect("the group has room");
        assert_eq!(first % 2, second % 2, "class {class}");
        // And what comes now goes by where it is now.
        let mut tries = (2..60).filter_map(|id| Some((id, sent_to(&proxy.request(request(id, class)))?)));
        let again = tries.find(|&(_, to)| to == first).map(|(id, _)| id).expect("it serves on");
        let repeat = sent_to(&proxy.settle(again, 0, Outcome::Error));
        assert!(repeat.is_none_or(|to| to % 2 != first % 2), "class {class}: {repeat:?}");
    }
}

#[test]
fn a_drain_binds_at_once_also_for_held_and_repeated_requests() {
    let mut proxy = Proxy::new(settings(), [backend(0)]);
    let sent = (0..200).filter(|&id| sent_to(&proxy.request(request(id, 0))).is_some()).count();
    assert!(sent < 200, "some are held");
    proxy.list(MembershipUpdate::Delta(&[Backend { readiness: Readiness::Draining, ..backend(0) }]));
    for (id, attempt, _) in proxy.out() {
        let actions = proxy.settle(id, attempt, Outcome::Rejected);
        assert_eq!(sent_to(&actions), None);
    }
    proxy.advance(3 * SECOND);
}

#[test]
fn all_proxies_together_stay_under_a_cold_servers_budget() {
    // 20 proxies with a warm fleet of 10, each with a steady trickle; one server restarts.
    let mut settings = settings();
    (settings.zone_count, settings.instance_count) = (1, 20);
    let at_warm = 20.0 * 20.0 / 10.0;
    let mut cold_sends = Vec::new();
    for me in 0..20 {
        let mut proxy = Proxy::new(
            Settings { instance_index: me, ..settings.clone() },
            (0..10).map(|i| Backend { zone: 0, ..backend(i) }),
        );
        let mut id = 0;
        let mut run = |proxy: &mut Proxy, time: Micros, cold_sends: &mut Vec<Micros>| {
            for _ in 0..time / (50 * MS) {
                proxy.advance(50 * MS);
                proxy.serve(|_| 40 * MS);
                id += 1;
                if sent_to(&proxy.request(request(id, 0))) == Some(3) {
                    cold_sends.push(proxy.now);
                }
            }
        };
        run(&mut proxy, 5 * SECOND, &mut Vec::new());
        let started = Some(proxy.now);
        proxy.list(MembershipUpdate::Delta(&[Backend { zone: 0, started_at: started, ..backend(3) }]));
        run(&mut proxy, 4 * SECOND, &mut cold_sends);
    }
    cold_sends.sort_unstable();
    let budget = 2.5 * 0.2 * at_warm * 2.0;
    let most =
        cold_sends.iter().map(|&t| cold_sends.iter().filter(|&&u| u >= t && u < t + 2 * SECOND).count());
    let most = most.max().expect("a cold server gets something");
    assert!(most > 0 && (most as f64) < budget, "{most} sends in the fall time, {budget} allowed");
}
