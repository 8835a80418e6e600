//! Tests of the four rules: independent checks on random sequences of events, and scenarios for each rule.

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

/// One step of a random sequence.
#[derive(Clone, Debug)]
enum Step {
    Request { class: u8, tenant: u16, key: u64, timeout: Micros },
    Finish { index: usize, outcome: usize },
    Wait(Micros),
    UpdateBackend { id: BackendId, readiness: u8, restarted: bool },
    Snapshot(Vec<BackendId>),
    DiscoveryFails,
    ClientDisconnects(usize),
    Unexpected { kind: u8, number: u32 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..5_u8, 0..3_u16, 0..9_u64, 1..2000 * MS)
            .prop_map(|(class, tenant, key, timeout)| Step::Request { class, tenant, key, timeout }),
        8 => (any::<usize>(), 0..OUTCOMES.len()).prop_map(|(index, outcome)| Step::Finish { index, outcome }),
        4 => (1..400 * MS).prop_map(Step::Wait),
        1 => (0..8_u32, 0..3_u8, any::<bool>())
            .prop_map(|(id, readiness, restarted)| Step::UpdateBackend { id, readiness, restarted }),
        1 => prop::collection::vec(0..8_u32, 0..8).prop_map(Step::Snapshot),
        1 => Just(Step::DiscoveryFails),
        1 => any::<usize>().prop_map(Step::ClientDisconnects),
        1 => (any::<u8>(), any::<u32>()).prop_map(|(kind, number)| Step::Unexpected { kind, number }),
    ]
}

/// Passes an event that no correct proxy would pass: an unknown id, a stale timer, or an outcome that was
/// already reported.
fn send_unexpected_event(proxy: &mut EmulatedProxy, kind: u8, number: u32) {
    let known = proxy.requests.keys().copied().nth(number as usize % proxy.requests.len().max(1));
    let request = if kind & 64 == 0 { 1_000_000 + number } else { known.unwrap_or(number) };
    let finished = |attempt| {
        Event::AttemptFinished(AttemptResult {
            request,
            backend: number,
            attempt,
            outcome: Outcome::Ok,
            has_final_response: false,
            elapsed: 5,
            load_report: &[1.0],
        })
    };
    match kind % 4 {
        0 => proxy.event(Event::TimerExpired(number)),
        1 => proxy.event(Event::HealthCheckFinished {
            backend: number,
            outcome: Outcome::Ok,
            load_report: &[],
        }),
        2 => proxy.event(finished(500)),
        _ if known != Some(request) => proxy.event(Event::ClientDisconnected(request)),
        _ => proxy.event(finished(999)),
    };
}

fn update_backend(proxy: &mut EmulatedProxy, id: BackendId, readiness: u8, restarted: bool) {
    let readiness = [Readiness::Ready, Readiness::Draining, Readiness::Removed][usize::from(readiness)];
    let started_at = restarted.then_some(proxy.now);
    let entry = Backend { readiness, started_at, ..backend(id) };
    proxy.update_membership(MembershipUpdate::Delta(&[entry]));
}

fn disconnect_client(proxy: &mut EmulatedProxy, index: usize) {
    let open: Vec<RequestId> =
        proxy.requests.iter().filter(|(_, tracked)| !tracked.ended).map(|(&id, _)| id).collect();
    if let Some(&id) = open.get(index % open.len().max(1)) {
        proxy.requests.get_mut(&id).expect("it was just found").ended = true;
        proxy.event(Event::ClientDisconnected(id));
    }
}

/// Applies a sequence of steps and returns the resulting actions, with their times.
fn run_steps(settings: Settings, steps: &[Step]) -> Vec<(Micros, Action)> {
    let mut proxy = EmulatedProxy::new(settings, (0..6).map(backend));
    for (number, step) in steps.iter().enumerate() {
        match *step {
            Step::Request { class, tenant, key, timeout } => {
                let key = Some(key).filter(|&key| key > 0);
                proxy.request(Request { tenant, key, timeout, ..request(number as u32, class) });
            }
            Step::Finish { index, outcome } => {
                let in_flight = proxy.attempts_in_flight();
                if let Some(sent) = in_flight.get(index % in_flight.len().max(1)) {
                    proxy.finish(sent.request, sent.attempt, OUTCOMES[outcome]);
                }
            }
            Step::Wait(duration) => proxy.advance(duration),
            Step::UpdateBackend { id, readiness, restarted } => {
                update_backend(&mut proxy, id, readiness, restarted);
            }
            Step::Snapshot(ref ids) => {
                let entries: Vec<Backend> = ids.iter().map(|&id| backend(id)).collect();
                proxy.update_membership(MembershipUpdate::Snapshot(&entries));
            }
            Step::DiscoveryFails => _ = proxy.update_membership(MembershipUpdate::Failed),
            Step::ClientDisconnects(index) => disconnect_client(&mut proxy, index),
            Step::Unexpected { kind, number } => send_unexpected_event(&mut proxy, kind, number),
        }
    }
    proxy.advance(3 * SECOND);
    let all_ended = proxy.requests.values().all(|tracked| tracked.ended);
    assert!(all_ended, "every request has its final response");
    proxy.log
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: RngSeed::Fixed(6), ..ProptestConfig::default() })]

    #[test]
    fn random_sequences_break_no_rule_and_are_deterministic(
        steps in prop::collection::vec(step(), 1..150),
        hedging: bool,
        key_affinity: bool,
        instance_count in 1..40_u32,
        max_attempts in 1..6_u16,
    ) {
        let mut settings = settings();
        settings.permissions.hedging = hedging;
        settings.permissions.max_attempts = max_attempts;
        settings.instance_count = instance_count;
        settings.key_affinity = key_affinity;
        settings.discovery_on_request = max_attempts % 2 == 0;
        settings.tenants = vec![Tenant { quota_per_s: 5.0 }, Tenant { quota_per_s: 50.0 }];
        let log = run_steps(settings.clone(), &steps);
        prop_assert_eq!(log, run_steps(settings, &steps), "the same events lead to the same actions");
    }
}

#[test]
fn a_non_idempotent_request_that_may_have_executed_fails_without_a_retry() {
    for outcome in [Outcome::Error, Outcome::Timeout, Outcome::Reset, Outcome::Cancelled] {
        let mut proxy = EmulatedProxy::new(settings(), (0..6).map(backend));
        proxy.request(request(1, NON_IDEMPOTENT));
        let actions = proxy.finish(1, 0, outcome);
        assert!(is_failed(&actions) && sent_to(&actions).is_none(), "{outcome:?}: {actions:?}");
    }
}

#[test]
fn a_non_idempotent_request_that_was_never_executed_is_retried_elsewhere() {
    for outcome in [Outcome::Rejected, Outcome::ConnectFailed, Outcome::NotSent] {
        let mut proxy = EmulatedProxy::new(settings(), (0..6).map(backend));
        let first = sent_to(&proxy.request(request(1, NON_IDEMPOTENT)));
        let second = sent_to(&proxy.finish(1, 0, outcome));
        assert!(second.is_some() && second != first, "{outcome:?}");
    }
}

#[test]
fn a_keyed_request_that_may_have_executed_is_retried_only_in_its_group_and_before_its_ttl() {
    for (class, group_count) in [(KEYED_ZONE, 2_u32), (KEYED_CELL, 2)] {
        let mut proxy = EmulatedProxy::new(settings(), (0..12).map(backend));
        let first = sent_to(&proxy.request(request(1, class))).expect("a free slot");
        let second = sent_to(&proxy.finish(1, 0, Outcome::Error)).expect("a free slot in the group");
        assert_eq!(first % group_count, second % group_count);
        let mut proxy = EmulatedProxy::new(settings(), (0..12).map(backend));
        proxy.request(request(1, class));
        proxy.now += 601 * MS;
        let actions = proxy.finish(1, 0, Outcome::Error);
        assert!(is_failed(&actions), "the key has expired, so a rejection would not be safe to retry");
    }
}

/// The key is remembered by the group in which the backend was at the time of the attempt, even if discovery
/// assigns the backend to another group later.
#[test]
fn a_keyed_request_stays_in_the_group_of_its_first_attempt_although_its_backend_moves() {
    for class in [KEYED_ZONE, KEYED_CELL] {
        let mut proxy = EmulatedProxy::new(settings(), (0..12).map(backend));
        let first = sent_to(&proxy.request(request(1, class))).expect("a free slot");
        let Backend { zone, cell, .. } = backend(first + 1);
        proxy.update_membership(MembershipUpdate::Delta(&[Backend { zone, cell, ..backend(first) }]));
        let second = sent_to(&proxy.finish(1, 0, Outcome::Error)).expect("a free slot in the group");
        assert_eq!(first % 2, second % 2, "class {class}");
        // For new requests, the current group of the backend applies.
        let mut sent = (2..60).filter_map(|id| Some((id, sent_to(&proxy.request(request(id, class)))?)));
        let (later, _) = sent.find(|&(_, backend)| backend == first).expect("it still serves");
        let retried_on = sent_to(&proxy.finish(later, 0, Outcome::Error));
        assert!(retried_on.is_none_or(|backend| backend % 2 != first % 2), "class {class}: {retried_on:?}");
    }
}

#[test]
fn a_draining_backend_immediately_gets_no_queued_or_retried_requests() {
    let mut proxy = EmulatedProxy::new(settings(), [backend(0)]);
    let sent = (0..200).filter(|&id| sent_to(&proxy.request(request(id, IDEMPOTENT))).is_some()).count();
    assert!(sent < 200, "some are queued");
    let draining = Backend { readiness: Readiness::Draining, ..backend(0) };
    proxy.update_membership(MembershipUpdate::Delta(&[draining]));
    for sent in proxy.attempts_in_flight() {
        let actions = proxy.finish(sent.request, sent.attempt, Outcome::Rejected);
        assert_eq!(sent_to(&actions), None);
    }
    proxy.advance(3 * SECOND);
}

/// Sends a request every 50 ms; returns the times at which backend 3 got one.
fn serve_steadily(proxy: &mut EmulatedProxy, next_id: &mut RequestId, duration: Micros) -> Vec<Micros> {
    let mut sends = Vec::new();
    for _ in 0..duration / (50 * MS) {
        proxy.advance(50 * MS);
        proxy.complete(|_| 40 * MS);
        *next_id += 1;
        if sent_to(&proxy.request(request(*next_id, IDEMPOTENT))) == Some(3) {
            sends.push(proxy.now);
        }
    }
    sends
}

/// 20 instances with steady traffic use 10 backends that warmed up long ago, one of which restarts.
#[test]
fn all_instances_together_stay_within_the_budget_of_a_warming_backend() {
    let mut settings = settings();
    (settings.zone_count, settings.instance_count) = (1, 20);
    let warm_rate = 20.0 * 20.0 / 10.0;
    let mut sends = Vec::new();
    for instance_index in 0..20 {
        let in_zone_0 = |id| Backend { zone: 0, ..backend(id) };
        let settings = Settings { instance_index, ..settings.clone() };
        let mut proxy = EmulatedProxy::new(settings, (0..10).map(in_zone_0));
        let mut next_id = 0;
        serve_steadily(&mut proxy, &mut next_id, 5 * SECOND);
        let restarted = Backend { started_at: Some(proxy.now), ..in_zone_0(3) };
        proxy.update_membership(MembershipUpdate::Delta(&[restarted]));
        sends.extend(serve_steadily(&mut proxy, &mut next_id, 4 * SECOND));
    }
    sends.sort_unstable();
    let budget = 2.5 * 0.2 * warm_rate * 2.0;
    let in_window_from =
        |start: Micros| sends.iter().filter(|&&time| time >= start && time < start + 2 * SECOND).count();
    let max = sends.iter().map(|&start| in_window_from(start)).max();
    let max = max.expect("a warming backend gets some requests");
    assert!(max > 0 && (max as f64) < budget, "{max} sends in the overload window, {budget} allowed");
}
