//! Events that end a request come from several sources; after a pause of the process they arrive at one time, in any
//! order.

mod harness;

use balancer::api::*;
use harness::*;
use request_engine::engine::*;

/// A harness with one proxied request of this class, whose first attempt is in flight.
fn with_proxied_request(class: u8) -> (Harness, u32) {
    let mut harness = Harness::new(settings(), Harness::large_limits(), 0..10);
    let client = harness.submit(class, Dispatch::Proxied(())).expect("admitted");
    assert!(harness.has_attempt_in_flight(client));
    (harness, client)
}

/// A response and the response deadline at the same time: the first event decides, the other one changes nothing.
#[test]
fn response_and_deadline_at_the_same_time_give_one_final_answer() {
    for class in 0..3 {
        for answer_first in [true, false] {
            let (mut harness, client) = with_proxied_request(class);
            harness.now = harness.clients[&client].deadline - DEADLINE_MARGIN;
            if answer_first {
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
            assert_eq!(harness.clients[&client].attempts.len(), 1, "{class}: no further attempt");
            harness.finish();
        }
    }
}

/// The first attempt fails and the client disconnects. In that order a retry has been started: it is cancelled at once
/// if it has sent nothing.
#[test]
fn failure_and_disconnect_at_the_same_time_leave_no_startable_attempt() {
    for outcome in
        [Outcome::Error, Outcome::Reset, Outcome::Timeout, Outcome::ConnectFailed, Outcome::Rejected]
    {
        let (mut harness, client) = with_proxied_request(0);
        harness.advance_time(10 * MS);
        harness.disconnect(client);
        harness.finish_attempt((client, 0), outcome).expect("a proxied attempt");
        assert_eq!(harness.clients[&client].attempts.len(), 1, "{outcome:?}: it disconnected first");
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
