//! Edge cases in which a request or a lease could be lost, duplicated or never released, with a manual clock.

mod harness;

use balancer::api::*;
use harness::*;
use request_engine::engine::*;
use request_engine::lease::{LeaseError, LeaseId};

fn ten_backends() -> Harness {
    Harness::new(settings(), Harness::large_limits(), 0..10)
}

#[test]
fn serves_a_leased_request_on_its_report() {
    let mut harness = ten_backends();
    let (client, grant) = harness.submit_leased(1);
    assert!(grant.is_some());
    harness.advance_time(20 * MS);
    assert_eq!(harness.finish_attempt((client, 0), Outcome::Ok), Ok(()));
    assert_eq!(harness.clients[&client].outcome, Some(FinalOutcome::Served(None)));
    harness.finish();
}

#[test]
fn counts_a_report_after_lease_expiry_and_ignores_it() {
    let mut harness = ten_backends();
    let (client, grant) = harness.submit_leased(1);
    let grant = grant.expect("a lease");
    // The report is in transit while the lease expires. A non-idempotent request that may have been executed
    // fails without a retry.
    harness.advance_time(grant.timeout_at + REPORT_GRACE - harness.now);
    assert_eq!(harness.clients[&client].outcome, Some(FinalOutcome::Failed));
    assert_eq!(harness.finish_attempt((client, 0), Outcome::Ok), Err(LeaseError::Expired));
    assert_eq!(harness.clients[&client].attempts.len(), 1);
    assert_eq!((harness.engine.lease_counts().late, harness.engine.lease_counts().expired), (1, 1));
    harness.finish();
}

#[test]
fn rejects_a_report_at_lease_expiry_before_the_timer_is_handled() {
    let mut harness = ten_backends();
    let (client, grant) = harness.submit_leased(0);
    harness.now = grant.expect("a lease").timeout_at + REPORT_GRACE;
    assert_eq!(harness.finish_attempt((client, 0), Outcome::Ok), Err(LeaseError::Expired));
    harness.advance_time(0);
    assert_ne!(harness.clients[&client].outcome, Some(FinalOutcome::Served(None)));
    harness.finish();
}

#[test]
fn counts_a_duplicate_report_once() {
    let mut harness = ten_backends();
    let (client, _) = harness.submit_leased(0);
    let lease = harness.active_lease(client).expect("a lease").lease;
    harness.finish_attempt((client, 0), Outcome::ConnectFailed).expect("in time");
    let second = harness.active_lease(client).expect("a retry on another backend");
    let duplicate = harness.engine.report_result(harness.now, lease, Outcome::ConnectFailed.into());
    assert_eq!(duplicate, Err(LeaseError::AlreadyReported));
    assert_eq!(harness.active_lease(client), Some(second), "the second attempt continues");
    assert_eq!(harness.clients[&client].attempts.len(), 2);
    harness.finish_attempt((client, 1), Outcome::Ok).expect("in time");
    harness.finish();
}

#[test]
fn rejects_leases_of_an_earlier_incarnation_and_unknown_leases() {
    let mut earlier = Harness::with_incarnation(settings(), Harness::large_limits(), 0..10, 1);
    let (_, old) = earlier.submit_leased(1);
    let old = old.expect("a lease").lease;
    let mut harness = Harness::with_incarnation(settings(), Harness::large_limits(), 0..10, 2);
    let (client, grant) = harness.submit_leased(1);
    let grant = grant.expect("a lease");
    assert_eq!(old.serial, grant.lease.serial, "only the incarnations differ");
    assert_eq!(
        harness.engine.report_result(harness.now, old, Outcome::Ok.into()),
        Err(LeaseError::OtherIncarnation)
    );
    let unknown = LeaseId { serial: grant.lease.serial + 1, ..grant.lease };
    assert_eq!(
        harness.engine.report_result(harness.now, unknown, Outcome::Ok.into()),
        Err(LeaseError::Unknown)
    );
    assert_eq!(harness.active_lease(client), Some(grant));
    let counts = harness.engine.lease_counts();
    assert_eq!((counts.foreign, counts.unknown), (1, 1));
    harness.finish();
}

#[test]
fn releases_the_lease_of_a_disconnected_client_without_a_final_outcome() {
    let mut harness = ten_backends();
    let (client, grant) = harness.submit_leased(2);
    harness.disconnect(client);
    assert_eq!(harness.engine.active_lease_count(), 1, "its attempt may still run");
    harness.advance_time(grant.expect("a lease").timeout_at + REPORT_GRACE - harness.now);
    assert_eq!((harness.engine.open_request_count(), harness.engine.active_lease_count()), (0, 0));
    assert_eq!(harness.clients[&client].outcome, None);
    harness.finish();
}

#[test]
fn revokes_a_lease_when_its_backend_drains_or_is_removed() {
    for readiness in [Readiness::Draining, Readiness::Removed] {
        let mut harness = ten_backends();
        let (client, grant) = harness.submit_leased(1);
        let first = grant.expect("a lease").backend;
        harness.advance_time(10 * MS);
        harness.delta(Backend { readiness, ..backend(first) });
        assert!(harness.attempt((client, 0)).is_revoked);
        // The holder reports that it has not started the attempt, so that even a non-idempotent request is
        // retried on another backend.
        harness.finish_attempt((client, 0), Outcome::NotSent).expect("in time");
        assert_ne!(harness.active_lease(client).expect("another lease").backend, first);
        harness.finish_attempt((client, 1), Outcome::Ok).expect("in time");
        harness.finish();
    }
}

#[test]
fn does_not_revoke_a_lease_after_its_send_window() {
    let mut harness = ten_backends();
    let (client, grant) = harness.submit_leased(1);
    harness.advance_time(SEND_WINDOW);
    harness.snapshot(
        &(0..10).filter(|&id| Some(id) != grant.map(|g| g.backend)).map(backend).collect::<Vec<_>>(),
    );
    assert!(!harness.attempt((client, 0)).is_revoked, "the attempt may have started on the removed backend");
    harness.finish_attempt((client, 0), Outcome::Ok).expect("in time");
    harness.finish();
}

#[test]
fn unreported_leases_use_bounded_memory_and_release_their_slots() {
    let limits = EngineLimits { requests: 3_000, leases: 2_000 };
    let mut harness = Harness::new(settings(), limits, 0..600);
    let mut granted = 0;
    for _ in 0..10_000 {
        if let Some(client) = harness.submit(1, Dispatch::Leased) {
            granted += usize::from(harness.active_lease(client).is_some());
        }
        assert!(
            harness.engine.active_lease_count() <= limits.leases
                && harness.engine.open_request_count() <= limits.requests
        );
        assert!(harness.engine.pending_timer_count() <= 2 * (limits.requests + limits.leases) + 2_048);
        harness.advance_time(5 * MS);
    }
    assert!(granted > 600, "{granted} leases");
    harness.advance_time(5 * SECOND);
    assert_eq!((harness.engine.open_request_count(), harness.engine.active_lease_count()), (0, 0));
    // The backends were ejected because their leases expired, and are readmitted with their first successes.
    let mut served = 0;
    for _ in 0..2_000 {
        harness.advance_time(50 * MS);
        if let Some(client) = harness.submit(0, Dispatch::Proxied(()))
            && harness.has_attempt_in_flight(client)
        {
            harness.finish_attempt((client, 0), Outcome::Ok).expect("a proxied attempt");
            served += 1;
        }
    }
    assert!(served > 1_900, "{served} of 2,000 served afterwards");
    harness.finish();
}

#[test]
fn two_front_ends_share_the_slow_start_budget_of_a_warming_backend() {
    let mut harness = Harness::new(settings(), Harness::large_limits(), 0..4);
    // Steady traffic first: 10 requests per second and backend.
    for round in 0..200 {
        let client = harness.submit(0, Dispatch::Proxied(())).expect("admitted");
        harness.advance_time(25 * MS);
        if harness.has_attempt_in_flight(client) {
            harness.finish_attempt((client, 0), Outcome::Ok).expect("a proxied attempt");
        }
        assert!(round < 200);
    }
    let started = harness.now;
    harness.delta(Backend { started_at: Some(started), ..backend(9) });
    let sent = |harness: &Harness, leased: bool| {
        let all = harness.clients.values().flat_map(|c| &c.attempts);
        all.filter(|a| a.backend == 9 && a.sent_at < started + 2 * SECOND && a.lease.is_some() == leased)
            .count()
    };
    // Each front end submits 400 requests per second during the two seconds of the overload window. They
    // alternate in submitting first, because a token of the slow-start budget goes to the first request after
    // it becomes available.
    for round in 0..800 {
        let (first, second) = (Dispatch::Proxied(()), Dispatch::Leased);
        let (first, second) = if round % 2 == 0 { (first, second) } else { (second, first) };
        harness.submit(0, first);
        harness.submit(0, second);
        harness.advance_time(2_500);
        for key in harness.in_flight() {
            let attempt = harness.attempt(key);
            if attempt.sent_at + 50 * MS <= harness.now {
                let _ = harness.finish_attempt(key, Outcome::Ok);
            }
        }
    }
    let (proxied, leased) = (sent(&harness, false), sent(&harness, true));
    assert!(proxied > 0 && leased > 0, "{proxied} proxied and {leased} leased attempts");
    // A backend that has warmed up has a limit of 20 requests per second at 50 ms each.
    let overload_count = 2 * 20;
    assert!(proxied + leased <= overload_count, "{proxied} and {leased} attempts within two seconds");
    harness.finish();
}

#[test]
fn serves_requests_after_all_backends_were_removed_and_listed_again() {
    let mut harness = ten_backends();
    let (leased, _) = harness.submit_leased(2);
    let proxied = harness.submit(2, Dispatch::Proxied(())).expect("admitted");
    harness.snapshot(&[]);
    assert!(harness.attempt((leased, 0)).is_revoked);
    let during = harness.submit(0, Dispatch::Leased).expect("admitted");
    assert!(harness.active_lease(during).is_none());
    harness.advance_time(SECOND);
    assert!(matches!(harness.clients[&during].outcome, Some(FinalOutcome::Rejected { .. })));
    harness.snapshot(&(0..10).map(backend).collect::<Vec<_>>());
    let after = harness.submit(0, Dispatch::Leased).expect("admitted");
    assert!(harness.active_lease(after).is_some());
    harness.finish_attempt((after, 0), Outcome::Ok).expect("in time");
    harness.finish_attempt((proxied, 0), Outcome::Reset).expect("a proxied attempt");
    harness.finish();
}

#[test]
fn session_occupies_its_slot_until_it_finishes() {
    let mut harness = Harness::new(settings(), Harness::large_limits(), 0..1);
    let client = harness.submit(1, Dispatch::Proxied(())).expect("admitted");
    harness.advance_time(10 * MS);
    harness.establish((client, 0)).expect("a proxied attempt");
    assert_eq!(harness.clients[&client].outcome, Some(FinalOutcome::Served(Some(client))));
    harness.advance_time(3_600 * SECOND);
    assert_eq!(harness.engine.open_request_count(), 1, "the session is still open");
    // The long session does not count as a failure of the backend and occupies one slot.
    let submitted = submit_until_queued(&mut harness);
    assert_eq!(
        submitted.len(),
        submit_until_queued(&mut Harness::new(settings(), Harness::large_limits(), 0..1)).len() - 1
    );
    let queued = submitted.last().copied().expect("a queued request");
    assert!(!harness.has_attempt_in_flight(queued));
    harness.finish_attempt((client, 0), Outcome::Ok).expect("a proxied attempt");
    assert!(harness.has_attempt_in_flight(queued), "the queued request gets the slot");
    harness.finish();
}

/// Submits requests until one is queued; returns their clients in this order.
fn submit_until_queued(harness: &mut Harness) -> Vec<u32> {
    let mut submitted = Vec::new();
    while submitted.last().is_none_or(|&client| harness.has_attempt_in_flight(client)) {
        submitted.push(harness.submit(0, Dispatch::Proxied(())).expect("within the limits"));
    }
    submitted
}

#[test]
fn sessions_on_every_slot_leave_one_slot_for_ordinary_requests() {
    let mut harness = Harness::new(settings(), Harness::large_limits(), 0..1);
    let submitted = submit_until_queued(&mut harness);
    let (queued, sent) = submitted.split_last().expect("a queued request");
    for &client in sent {
        harness.establish((client, 0)).expect("a proxied attempt");
    }
    assert!(harness.has_attempt_in_flight(*queued));
    assert!(
        !submit_until_queued(&mut harness).iter().any(|&client| harness.has_attempt_in_flight(client)),
        "only one"
    );
    harness.finish();
}

#[test]
fn leased_session_expires_without_renewal() {
    let mut harness = ten_backends();
    let (client, grant) = harness.submit_leased(1);
    let lease = grant.expect("a lease").lease;
    assert_eq!(
        harness.engine.renew_session(harness.now, lease),
        Err(LeaseError::WrongState),
        "not a session yet"
    );
    harness.establish((client, 0)).expect("in time");
    assert_eq!(harness.establish((client, 0)), Err(LeaseError::WrongState));
    for _ in 0..200 {
        harness.advance_time(SESSION_LEASE_DURATION - 1);
        assert_eq!(
            harness.engine.renew_session(harness.now, lease),
            Ok(harness.now + SESSION_LEASE_DURATION)
        );
    }
    assert_eq!(harness.engine.active_lease_count(), 1);
    harness.advance_time(SESSION_LEASE_DURATION);
    assert_eq!((harness.engine.open_request_count(), harness.engine.active_lease_count()), (0, 0));
    assert_eq!(harness.engine.renew_session(harness.now, lease), Err(LeaseError::Expired));
    harness.finish();
}

#[test]
fn rejects_requests_at_each_limit() {
    let mut harness = Harness::new(settings(), EngineLimits { requests: 3, leases: 2 }, 0..10);
    let first = harness.submit_leased(0).0;
    harness.submit_leased(0);
    assert_eq!(harness.submit(0, Dispatch::Leased), None, "the limit of leases is reached");
    assert!(harness.submit(0, Dispatch::Proxied(())).is_some());
    assert_eq!(harness.submit(0, Dispatch::Proxied(())), None, "the limit of requests is reached");
    assert_eq!(harness.engine.counts().overloaded, 2);
    harness.finish_attempt((first, 0), Outcome::Ok).expect("in time");
    assert!(harness.submit(0, Dispatch::Leased).is_some());
    harness.finish();
}

#[test]
fn ignores_a_clock_that_goes_back() {
    let mut harness = ten_backends();
    let (client, grant) = harness.submit_leased(0);
    harness.advance_time(100 * MS);
    let lease = grant.expect("a lease").lease;
    harness.engine.report_result(harness.now - 90 * MS, lease, Outcome::Ok.into()).expect("in time");
    harness.engine.advance(0);
    assert_eq!(harness.engine.open_request_count(), 0);
    assert!(harness.clients.contains_key(&client));
}

/// Guards against requests that are open at shutdown, or arrive during it, without a final outcome by the
/// deadline.
#[test]
fn every_request_has_its_final_outcome_by_the_shutdown_deadline() {
    let mut harness = ten_backends();
    let open: Vec<u32> =
        (0..3).map(|class| harness.submit(class, Dispatch::Proxied(())).expect("admitted")).collect();
    let deadline = harness.now + 50 * MS;
    harness.engine.set_response_deadline(harness.now, deadline);
    harness.advance_time(20 * MS);
    let late = harness.submit(0, Dispatch::Proxied(())).expect("admitted");
    harness.advance_time(deadline - DEADLINE_MARGIN - 1 - harness.now);
    assert!(
        open.iter().all(|client| harness.clients[client].outcome.is_none()),
        "failed earlier than necessary"
    );
    harness.advance_time(DEADLINE_MARGIN + 1);
    for client in open.iter().chain([&late]) {
        assert!(harness.clients[client].outcome.is_some(), "client {client} has no final outcome");
    }
    let later = harness.submit(0, Dispatch::Proxied(())).expect("admitted");
    harness.advance_time(0);
    assert!(harness.clients[&later].outcome.is_some(), "admitted after the deadline and not failed at once");
}
