//! Events that end a request, handled at the same time in either order. They come from several sources, and
//! after a pause of the process all of them are due at once.

mod harness;

use balancer::api::*;
use harness::*;
use request_engine::engine::*;

/// A harness and the client of a proxied request of this class, whose first attempt is in flight.
fn with_proxied_request(class: u8) -> (Harness, u32) {
    let mut harness = Harness::new(settings(), Harness::large_limits(), 0..10);
    let client = harness.submit(class, Dispatch::Proxied(())).expect("admitted");
    assert!(harness.has_attempt_in_flight(client));
    (harness, client)
}

/// Guards against two final outcomes when the response and the response deadline are handled at the same
/// time: the first event decides, the second one is ignored.
#[test]
fn response_and_deadline_at_the_same_time_give_one_final_outcome() {
    for class in 0..3 {
        for is_response_first in [true, false] {
            let (mut harness, client) = with_proxied_request(class);
            harness.now = harness.clients[&client].deadline - DEADLINE_MARGIN;
            if is_response_first {
                harness.finish_attempt((client, 0), Outcome::Ok).expect("a proxied attempt");
                assert_eq!(
                    harness.clients[&client].outcome,
                    Some(FinalOutcome::Served(Some(client))),
                    "{class}"
                );
                harness.advance_time(0);
            } else {
                harness.advance_time(0);
                assert_eq!(harness.clients[&client].outcome, Some(FinalOutcome::Failed), "{class}");
                harness.finish_attempt((client, 0), Outcome::Ok).expect("a proxied attempt");
                assert_eq!(harness.clients[&client].outcome, Some(FinalOutcome::Failed), "{class}");
            }
            assert_eq!(harness.clients[&client].attempts.len(), 1, "{class}: no retry");
            harness.finish();
        }
    }
}

/// Guards against attempts without a client when the first attempt fails and the client disconnects at the
/// same time. If the failure is handled first, its retry must be cancelled unless it has sent anything.
#[test]
fn failure_and_disconnect_at_the_same_time_leave_no_startable_attempt() {
    for outcome in
        [Outcome::Error, Outcome::Reset, Outcome::Timeout, Outcome::ConnectFailed, Outcome::Rejected]
    {
        let (mut harness, client) = with_proxied_request(0);
        harness.advance_time(10 * MS);
        harness.disconnect(client);
        harness.finish_attempt((client, 0), outcome).expect("a proxied attempt");
        assert_eq!(harness.clients[&client].attempts.len(), 1, "{outcome:?}: a retry after the disconnect");
        harness.finish();

        let (mut harness, client) = with_proxied_request(0);
        harness.advance_time(10 * MS);
        harness.finish_attempt((client, 0), outcome).expect("a proxied attempt");
        let retry = harness.attempt((client, 1)).clone();
        harness.engine.client_disconnected(harness.now, retry.request);
        let commands: Vec<_> = std::iter::from_fn(|| harness.engine.next_command()).collect();
        let cancellation = Command::CancelUnsentAttempt { request: retry.request, attempt: retry.number };
        assert!(commands.contains(&cancellation), "{outcome:?}: {commands:?}");
    }
}
