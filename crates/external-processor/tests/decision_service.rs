//! Tests of the decision service with the real engine and a manual clock: callers get the right replies, and
//! no request that must not run twice does.

mod harness;

use balancer::api::{Idempotency, Outcome};
use external_processor::decision_service::{
    CallerId, ClassMismatch, Counts, MAX_WAITERS, MessageRef, RejectReason, Reply, ReplyDelivery, RetryScope,
    Revocation,
};
use harness::*;
use request_engine::engine::REPORT_GRACE;
use request_engine::idempotency::{ClaimError, FinalStatus};
use request_engine::lease::{LeaseError, LeaseId};

const IDEMPOTENT: u8 = 0;
const NON_IDEMPOTENT: u8 = 1;
const KEYED: u8 = 2;

fn first_outcome(status: FinalStatus) -> Reply {
    Reply::Final { status, is_replayed: false }
}

fn replayed_outcome(status: FinalStatus) -> Reply {
    Reply::Final { status, is_replayed: true }
}

#[test]
fn retains_the_final_outcome_of_a_reported_request() {
    let mut harness = Harness::new(6);
    let request = harness.request(1, NON_IDEMPOTENT, "a");
    let decision = harness.send_decision(request).expect("a backend");
    assert_eq!((decision.retry_scope, decision.grant.attempt), (RetryScope::UnlessExecuted, 0));
    let reported = harness.report(1, decision.grant.lease, Outcome::Ok);
    assert_eq!(harness.reply(reported), Some(first_outcome(FinalStatus::Served)));
    let request = harness.request(2, NON_IDEMPOTENT, "a");
    assert_eq!(harness.reply(request), Some(replayed_outcome(FinalStatus::Served)));
    harness.advance_time(RETENTION + SECOND);
    let request = harness.request(2, NON_IDEMPOTENT, "a");
    assert!(harness.send_decision(request).is_some(), "the outcome is removed after its retention");
    harness.finish();
}

#[test]
fn reply_to_an_unsent_report_is_a_retry_on_another_backend() {
    let mut harness = Harness::new(6);
    let request = harness.request(1, NON_IDEMPOTENT, "a");
    let first = harness.send_decision(request).expect("a backend");
    let reported = harness.report(1, first.grant.lease, Outcome::ConnectFailed);
    let second = harness.send_decision(reported).expect("another backend");
    assert_ne!(first.endpoint, second.endpoint);
    assert_eq!(second.grant.attempt, 1);
    let reported = harness.report(1, second.grant.lease, Outcome::Reset);
    assert_eq!(harness.reply(reported), Some(first_outcome(FinalStatus::Failed)), "it may have run");
    harness.finish();
}

#[test]
fn two_callers_with_one_key_get_one_attempt() {
    let mut harness = Harness::new(6);
    let first = harness.request_keyed(1, "a", "k");
    let decision = harness.send_decision(first).expect("a backend");
    let second = harness.request_keyed(2, "b", "k");
    assert_eq!(harness.reply(second), Some(Reply::InFlight { age: 0, by_key: true }));
    let waiting = harness.request_and_wait(3, KEYED, "c", Some("k"));
    assert_eq!(harness.reply(waiting), None);
    let reported = harness.report(1, decision.grant.lease, Outcome::Ok);
    assert_eq!(harness.reply(reported), Some(first_outcome(FinalStatus::Served)));
    assert_eq!(harness.reply(waiting), Some(replayed_outcome(FinalStatus::Served)));
    let late = harness.request_keyed(4, "d", "k");
    assert_eq!(harness.reply(late), Some(replayed_outcome(FinalStatus::Served)));
    harness.finish();
}

#[test]
fn limits_the_messages_waiting_for_one_request() {
    let mut harness = Harness::new(6);
    let first = harness.request_keyed(1, "a", "k");
    let waiting: Vec<_> =
        (0..MAX_WAITERS as u64).map(|i| harness.request_and_wait(2 + i, KEYED, "a", Some("k"))).collect();
    assert!(waiting.iter().all(|&request| harness.reply(request).is_none()));
    let over_limit = harness.request_and_wait(99, KEYED, "a", Some("k"));
    assert_eq!(harness.reply(over_limit), Some(Reply::InFlight { age: 0, by_key: false }));
    let lease = harness.send_decision(first).expect("a backend").grant.lease;
    harness.report(1, lease, Outcome::Ok);
    assert!(
        waiting.iter().all(|&request| harness.reply(request) == Some(replayed_outcome(FinalStatus::Served)))
    );
    harness.finish();
}

#[test]
fn caller_that_ends_after_a_decision_may_have_sent_the_request() {
    let mut harness = Harness::new(6);
    let request = harness.request_keyed(1, "a", "k");
    let decision = harness.send_decision(request).expect("a backend");
    harness.end_caller(1, ReplyDelivery::Possible);
    assert_eq!(harness.engine.active_lease_count(), 0, "the slot is released");
    for id in ["a", "b"] {
        let request = harness.request_keyed(2, id, "k");
        assert_eq!(harness.reply(request), Some(replayed_outcome(FinalStatus::Unknown)), "{id}");
    }
    let reported = harness.report(1, decision.grant.lease, Outcome::Ok);
    assert_eq!(
        harness.reply(reported),
        Some(Reply::Rejected(RejectReason::Lease(LeaseError::AlreadyReported)))
    );
    harness.finish();
}

#[test]
fn caller_that_ends_before_its_reply_has_sent_nothing() {
    let mut harness = Harness::new(6);
    let request = harness.request_keyed(1, "a", "k");
    assert!(harness.send_decision(request).is_some());
    harness.end_caller(1, ReplyDelivery::None);
    assert_eq!((harness.service.counts().withdrawn, harness.service.counts().unknown), (1, 0));
    let request = harness.request_keyed(2, "a", "k");
    assert!(harness.send_decision(request).is_some(), "nothing has run: a new decision");
    harness.finish();
}

#[test]
fn withdraws_queued_requests_of_an_ended_caller() {
    let mut harness = Harness::new(1);
    let requests: Vec<_> = (0..40).map(|i| harness.request(1, NON_IDEMPOTENT, &format!("r{i}"))).collect();
    let queued = requests.iter().filter(|&&request| harness.reply(request).is_none()).count();
    assert!(queued > 0, "one backend has no capacity for forty");
    harness.end_caller(1, ReplyDelivery::Possible);
    assert!(harness.service.is_empty() && harness.engine.active_lease_count() == 0);
    harness.finish();
}

#[test]
fn expired_lease_ends_the_request_and_its_late_report_is_rejected() {
    let mut harness = Harness::new(6);
    let request = harness.request(1, IDEMPOTENT, "a");
    let decision = harness.send_decision(request).expect("a backend");
    harness.advance_time(decision.grant.timeout_at + REPORT_GRACE - harness.now);
    let reported = harness.report(1, decision.grant.lease, Outcome::Ok);
    assert_eq!(harness.reply(reported), Some(Reply::Rejected(RejectReason::Lease(LeaseError::Expired))));
    assert!(harness.service.is_empty(), "its caller does not wait for another decision");
    harness.finish();
}

#[test]
fn invalid_reports_change_nothing() {
    let mut harness = Harness::new(6);
    let request = harness.request(1, IDEMPOTENT, "a");
    let lease = harness.send_decision(request).expect("a backend").grant.lease;
    let reported = harness.report_with_endpoint(1, lease, Outcome::Ok, "127.0.0.1:9");
    assert!(matches!(harness.reply(reported), Some(Reply::Rejected(RejectReason::EndpointMismatch(_)))));
    let reported = harness.report(1, LeaseId { incarnation: 1, ..lease }, Outcome::Ok);
    assert_eq!(
        harness.reply(reported),
        Some(Reply::Rejected(RejectReason::Lease(LeaseError::OtherIncarnation)))
    );
    let reported = harness.report(1, LeaseId { serial: 999, ..lease }, Outcome::Ok);
    assert_eq!(harness.reply(reported), Some(Reply::Rejected(RejectReason::Lease(LeaseError::Unknown))));
    let reported = harness.report(2, lease, Outcome::Ok);
    assert_eq!(
        harness.reply(reported),
        Some(first_outcome(FinalStatus::Served)),
        "another caller may report the lease"
    );
    let reported = harness.report(1, lease, Outcome::Ok);
    assert_eq!(
        harness.reply(reported),
        Some(Reply::Rejected(RejectReason::Lease(LeaseError::AlreadyReported)))
    );
    harness.finish();
}

#[test]
fn request_with_a_prior_lease_runs_again_only_in_an_idempotent_class() {
    let mut harness = Harness::new(6);
    let prior_lease = LeaseId { incarnation: 0xbad, serial: 7 };
    for (class, key, id) in [(NON_IDEMPOTENT, None, "a"), (KEYED, Some("k"), "b")] {
        let request = harness.request_with_prior_lease(1, class, id, key, prior_lease);
        assert_eq!(
            harness.reply(request),
            Some(first_outcome(FinalStatus::Unknown)),
            "class {class}: it may have run"
        );
        let request = harness.request_with_prior_lease(2, class, id, key, prior_lease);
        assert_eq!(harness.reply(request), Some(replayed_outcome(FinalStatus::Unknown)));
    }
    let request = harness.request_with_prior_lease(1, IDEMPOTENT, "c", None, prior_lease);
    assert!(harness.send_decision(request).is_some(), "an idempotent request may run again");
    harness.finish();
}

#[test]
fn rejects_an_id_with_another_key() {
    let mut harness = Harness::new(6);
    harness.request_keyed(1, "a", "k");
    let other = harness.request_keyed(2, "a", "l");
    assert_eq!(harness.reply(other), Some(Reply::Rejected(RejectReason::Claim(ClaimError::KeyMismatch))));
    harness.finish();
}

#[test]
fn limits_open_decisions_per_caller() {
    let mut harness = Harness::new(60);
    for i in 0..PER_CALLER {
        harness.request(1, IDEMPOTENT, &format!("r{i}"));
    }
    let over_limit = harness.request(1, IDEMPOTENT, "beyond");
    assert_eq!(harness.reply(over_limit), Some(Reply::Rejected(RejectReason::CallerLimit(PER_CALLER))));
    let other = harness.request(2, IDEMPOTENT, "beyond");
    assert!(!matches!(harness.reply(other), Some(Reply::Rejected(_))));
    harness.finish();
}

#[test]
fn draining_rejects_new_requests_and_completes_open_ones() {
    let mut harness = Harness::new(6);
    let request = harness.request(1, IDEMPOTENT, "a");
    let lease = harness.send_decision(request).expect("a backend").grant.lease;
    harness.service.drain();
    let rejected = harness.request(1, IDEMPOTENT, "b");
    assert_eq!(harness.reply(rejected), Some(Reply::Rejected(RejectReason::Draining)));
    let reported = harness.report(1, lease, Outcome::Ok);
    assert_eq!(harness.reply(reported), Some(first_outcome(FinalStatus::Served)));
    harness.finish();
}

#[test]
fn revokes_a_lease_on_a_draining_backend_and_retries_elsewhere() {
    let mut harness = Harness::new(6);
    let request = harness.request(1, NON_IDEMPOTENT, "a");
    let first = harness.send_decision(request).expect("a backend");
    harness.drain_backend(first.grant.backend);
    assert_eq!(harness.revocations, [Revocation { caller: CallerId(1), lease: first.grant.lease }]);
    let reported = harness.report(1, first.grant.lease, Outcome::NotSent);
    let second = harness.send_decision(reported).expect("another backend");
    assert_ne!(second.grant.backend, first.grant.backend);
    harness.finish();
}

#[test]
fn single_attempt_requests_get_no_retry() {
    let mut harness = Harness::new(6);
    let rejected = harness.request_single_attempt(1, IDEMPOTENT, "a");
    let decision = harness.send_decision(rejected).expect("a backend");
    assert_eq!(decision.retry_scope, RetryScope::Never);
    let reported = harness.report(1, decision.grant.lease, Outcome::Rejected);
    assert_eq!(
        harness.reply(reported),
        Some(first_outcome(FinalStatus::Rejected(harness.now))),
        "it never ran"
    );
    let failed = harness.request_single_attempt(1, IDEMPOTENT, "b");
    let lease = harness.send_decision(failed).expect("a backend").grant.lease;
    let reported = harness.report(1, lease, Outcome::Reset);
    assert_eq!(harness.reply(reported), Some(first_outcome(FinalStatus::Failed)));
    harness.finish();
}

#[test]
fn session_is_served_at_once_and_occupies_its_slot_until_its_report() {
    let mut harness = Harness::new(6);
    let request = harness.request(1, NON_IDEMPOTENT, "a");
    let lease = harness.send_decision(request).expect("a backend").grant.lease;
    let reported = harness.establish(1, lease);
    assert!(matches!(harness.reply(reported), Some(Reply::Renewed(_))));
    harness.advance_time(20 * SECOND);
    let reported = harness.renew(2, lease);
    assert!(matches!(harness.reply(reported), Some(Reply::Renewed(_))));
    assert_eq!(harness.engine.active_lease_count(), 1);
    let reported = harness.report(2, lease, Outcome::Ok);
    assert_eq!(harness.reply(reported), Some(Reply::LeaseSettled));
    harness.finish();
}

fn send_random_request(
    rng: &mut fastrand::Rng,
    harness: &mut Harness,
    caller: u64,
    reported_leases: &[LeaseId],
) -> MessageRef {
    let (id, key) = (format!("r{}", rng.u32(0..60)), format!("k{}", rng.u32(0..30)));
    let class = rng.u8(0..3);
    let key = (class == KEYED).then_some(key.as_str());
    // Each id is used in one class only.
    let id = format!("{class}{id}");
    match rng.u32(0..10) {
        0 => harness.request_and_wait(caller, class, &id, key),
        1 if !reported_leases.is_empty() => {
            let prior_lease = reported_leases[rng.usize(..reported_leases.len())];
            harness.request_with_prior_lease(caller, class, &id, key, prior_lease)
        }
        2 => harness.request_single_attempt(caller, class, &id),
        _ => harness.request_with_key(caller, class, &id, key),
    }
}

/// Runs random operations of callers. After each step the harness checks that no id or key that must not run
/// twice did, and at the end that every message got exactly one reply.
fn run_random_operations(seed: u64) -> Counts {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut harness = Harness::new(rng.u32(1..8));
    let mut requests = Vec::new();
    let mut reported_leases: Vec<LeaseId> = Vec::new();
    for _ in 0..400 {
        let caller = rng.u64(1..5);
        match rng.u32(0..100) {
            0..45 => {
                requests.push(send_random_request(&mut rng, &mut harness, caller, &reported_leases));
            }
            45..80 => {
                let Some(index) = (!requests.is_empty()).then(|| rng.usize(..requests.len())) else {
                    continue;
                };
                let Some(decision) = harness.send_decision(requests[index]) else { continue };
                let outcome = Outcome::ALL[rng.usize(..Outcome::ALL.len())];
                requests.swap_remove(index);
                reported_leases.push(decision.grant.lease);
                requests.push(harness.report(caller, decision.grant.lease, outcome));
            }
            80..84 => {
                let Some(index) = (!reported_leases.is_empty()).then(|| rng.usize(..reported_leases.len()))
                else {
                    continue;
                };
                harness.report(caller, reported_leases[index], Outcome::Ok);
            }
            84..86 => harness.end_caller(caller, ReplyDelivery::Possible),
            86..88 => {
                // A unary call that is cancelled before its reply is sent.
                let (call, id) = (1_000 + u64::from(rng.u32(..)), format!("1r{}", rng.u32(0..60)));
                harness.request(call, NON_IDEMPOTENT, &id);
                harness.end_caller(call, ReplyDelivery::None);
            }
            88..91 => harness.drain_backend(rng.u32(0..8)),
            91..94 => harness.start_backend(rng.u32(0..8)),
            _ => harness.advance_time(rng.u64(0..400_000)),
        }
    }
    let counts = harness.service.counts();
    harness.finish();
    counts
}

#[test]
fn random_operations_run_nothing_twice_and_get_one_reply_each() {
    let (mut sends, mut unknown) = (0, 0);
    for seed in 0..300 {
        let counts = run_random_operations(seed);
        (sends, unknown) = (sends + counts.sends, unknown + counts.unknown);
    }
    assert!(
        sends > 5_000 && unknown > 300,
        "too few cases to be meaningful: {sends} attempts, {unknown} requests with unknown outcome"
    );
}

#[test]
fn rejects_requests_that_do_not_match_their_class() {
    let mut harness = Harness::new(6);
    let unknown = harness.request_class(1, &"x".repeat(100), None);
    let quoted = "x".repeat(64).into();
    let rejected = |mismatch| Some(Reply::Rejected(RejectReason::Class(mismatch)));
    assert_eq!(harness.reply(unknown), rejected(ClassMismatch::Unknown(quoted)));
    let keyless = harness.request_with_key(1, KEYED, "a", None);
    assert_eq!(harness.reply(keyless), rejected(ClassMismatch::MissingKey));
    for class in [IDEMPOTENT, NON_IDEMPOTENT] {
        let keyed = harness.request_with_key(1, class, "a", Some("k"));
        assert_eq!(harness.reply(keyed), rejected(ClassMismatch::UnexpectedKey));
    }
    let valid = harness.request_keyed(1, "a", "k");
    assert!(harness.send_decision(valid).is_some(), "a rejected request claims neither its id nor its key");
    harness.finish();
}

/// Guards against callers that are decided by the classes of the process's start, and against an open request
/// whose rules change.
#[test]
fn reload_applies_to_later_requests_but_not_to_open_ones() {
    let mut harness = Harness::new(6);
    let first = harness.request_keyed(1, "a", "k");
    let first = harness.send_decision(first).expect("a backend");
    assert_eq!(first.retry_scope, RetryScope::WithinDedupScope);
    harness.reload(|settings| {
        settings.classes[usize::from(KEYED)].idempotency = Idempotency::NonIdempotent;
        settings.classes[usize::from(IDEMPOTENT)].deadline = SECOND;
        settings.permissions.max_attempts = 1;
    });
    let by_key = harness.request_keyed(2, "b", "k");
    assert_eq!(harness.reply(by_key), Some(Reply::InFlight { age: 0, by_key: true }));
    let keyless = harness.request_with_key(2, KEYED, "c", None);
    let keyless = harness.send_decision(keyless).expect("the class is not keyed any more");
    assert_eq!(keyless.retry_scope, RetryScope::Never);
    harness.report(2, keyless.grant.lease, Outcome::Ok);
    let shorter = harness.request(2, IDEMPOTENT, "d");
    let shorter = harness.send_decision(shorter).expect("a backend");
    assert!(shorter.grant.timeout_at <= harness.now + SECOND, "the new deadline applies");
    harness.report(2, shorter.grant.lease, Outcome::Ok);

    let reported = harness.report(1, first.grant.lease, Outcome::ConnectFailed);
    let second = harness.send_decision(reported).expect("a request with four attempts is retried");
    assert_eq!((second.grant.attempt, second.retry_scope), (1, RetryScope::WithinDedupScope));
    harness.report(1, second.grant.lease, Outcome::Ok);
    harness.advance_time(RETENTION - 1);
    let retained = harness.request_keyed(2, "b", "k");
    assert_eq!(harness.reply(retained), Some(replayed_outcome(FinalStatus::Served)));
    harness.finish();
}
